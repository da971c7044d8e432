//! What this member says of the list service, and when it may publish that.

use super::PUBLISH_INTERVAL;
use crate::Micros;
use crate::poll_scheduler::ServiceStatus;

/// Between two facts of the service that others need not act upon, in microseconds.
const IDLE_STATUS_INTERVAL: Micros = 5_000_000;

/// The own status of the service, and what of it was published.
#[derive(Debug)]
pub(super) struct OwnServiceStatus {
    current: Option<ServiceStatus>,
    /// It changes what the others do.
    is_urgent: bool,
    published: Option<ServiceStatus>,
    published_at: Micros,
}

impl OwnServiceStatus {
    /// Nothing to say yet; a first status that is urgent may be published at once.
    pub fn new(now: Micros) -> OwnServiceStatus {
        OwnServiceStatus {
            current: None,
            is_urgent: false,
            published: None,
            published_at: now.saturating_sub(PUBLISH_INTERVAL),
        }
    }

    /// Replaces the status; urgent where it changes what the others do.
    pub fn set(&mut self, status: ServiceStatus, is_urgent: bool) {
        self.current = Some(status);
        self.is_urgent = is_urgent;
    }

    /// The status, if it was not published yet.
    pub fn unpublished(&self) -> Option<ServiceStatus> {
        self.current.filter(|status| Some(*status) != self.published)
    }

    /// When it may be published next.
    pub fn due_at(&self) -> Micros {
        self.published_at + if self.is_urgent { PUBLISH_INTERVAL } else { IDLE_STATUS_INTERVAL }
    }

    /// It was published now.
    pub fn record_published(&mut self, now: Micros, status: ServiceStatus) {
        self.published = Some(status);
        self.published_at = now;
        self.is_urgent = false;
    }
}
