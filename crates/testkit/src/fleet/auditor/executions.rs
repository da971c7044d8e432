//! The rule that a key is executed once.

use super::Finding;
use crate::fleet::event_log::{Event, LoggedEvent};
use std::collections::BTreeMap;

/// The keys that were executed more than once, in order of keys.
pub(super) fn find(events: &[LoggedEvent]) -> Vec<Finding> {
    let mut runs_by_key: BTreeMap<&str, usize> = BTreeMap::new();
    for logged in events {
        if let Event::Executed { key: Some(key), .. } = &logged.event {
            *runs_by_key.entry(key).or_default() += 1;
        }
    }
    let repeated = runs_by_key.into_iter().filter(|(_, runs)| *runs > 1);
    repeated.map(|(key, runs)| Finding::ExecutedTwice { key: key.to_owned(), runs }).collect()
}
