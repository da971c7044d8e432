//! The rule that a process exits only after SIGTERM, and then with code 0.

use super::Finding;
use crate::fleet::event_log::{Event, LoggedEvent};
use std::collections::BTreeSet;

/// The processes that exited without SIGTERM, or not with code 0.
pub(super) fn find(events: &[LoggedEvent]) -> Vec<Finding> {
    let mut terminated = BTreeSet::new();
    let mut findings = Vec::new();
    for LoggedEvent { at, event } in events {
        match *event {
            Event::Started { dispatcher } => _ = terminated.remove(&dispatcher),
            Event::Terminated { dispatcher } => _ = terminated.insert(dispatcher),
            Event::Exited { dispatcher, is_clean } if !is_clean || !terminated.contains(&dispatcher) => {
                findings.push(Finding::Crashed { at: *at, dispatcher });
            }
            _ => {}
        }
    }
    findings
}
