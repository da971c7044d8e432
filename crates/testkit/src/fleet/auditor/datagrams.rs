//! The rule that no datagram of a dispatcher is too long.

use super::Finding;
use crate::fleet::event_log::{Event, LoggedEvent};

/// Datagrams that were too long.
pub(super) fn find(events: &[LoggedEvent]) -> Vec<Finding> {
    let finding = |logged: &LoggedEvent| match logged.event {
        Event::LongDatagram { dispatcher, length } => {
            Some(Finding::LongDatagram { at: logged.at, dispatcher, length })
        }
        _ => None,
    };
    events.iter().filter_map(finding).collect()
}
