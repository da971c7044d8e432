//! The rule that no process exits by itself, and that each exits with code 0 when it is asked to.

use super::Finding;
use crate::fleet::event_log::{Event, LoggedEvent};
use std::collections::BTreeSet;

/// Processes that exited without having been asked to, or not with code 0.
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
