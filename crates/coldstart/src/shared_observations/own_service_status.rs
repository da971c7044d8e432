//! This member's own status of the list service, and when it may be published.

use super::PUBLISH_INTERVAL;
use crate::Micros;
use crate::poll_scheduler::ServiceStatus;

/// The minimum interval between the last publication and one of a status that is not urgent, in microseconds.
const IDLE_STATUS_INTERVAL: Micros = 5_000_000;

/// The current status of the service, and the last one published.
#[derive(Debug)]
pub(super) struct OwnServiceStatus {
    current: Option<ServiceStatus>,
    /// Whether the current status changes the behaviour of other members.
    is_urgent: bool,
    published: Option<ServiceStatus>,
    published_at: Micros,
}

impl OwnServiceStatus {
    /// Creates the state without any status. A first status that is urgent may be published at once.
    pub fn new(now: Micros) -> OwnServiceStatus {
        OwnServiceStatus {
            current: None,
            is_urgent: false,
            published: None,
            published_at: now.saturating_sub(PUBLISH_INTERVAL),
        }
    }

    /// Replaces the current status. It is urgent if it changes the behaviour of other members.
    pub fn set(&mut self, status: ServiceStatus, is_urgent: bool) {
        self.current = Some(status);
        self.is_urgent = is_urgent;
    }

    /// The current status, unless it was the last one published.
    pub fn unpublished(&self) -> Option<ServiceStatus> {
        self.current.filter(|status| Some(*status) != self.published)
    }

    /// The earliest time for the next publication.
    pub fn due_at(&self) -> Micros {
        self.published_at + if self.is_urgent { PUBLISH_INTERVAL } else { IDLE_STATUS_INTERVAL }
    }

    /// Records that `status` was published at `now`.
    pub fn record_published(&mut self, now: Micros, status: ServiceStatus) {
        self.published = Some(status);
        self.published_at = now;
        self.is_urgent = false;
    }
}
