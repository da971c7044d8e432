//! Tracks whether the full endpoint list of a new discovery service must still be fetched.
//!
//! A new service may answer a watch with changes only, although the full list was requested. Endpoints unknown to that service
//! would then stay in the endpoint table. Therefore its full list is fetched once, in addition to the watch.

/// The progress of fetching the full list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FullListState {
    /// The full list of this service is known.
    Known,
    /// The full list must be fetched once the service's watch has sent something.
    Needed,
    /// A call for the full list is in progress.
    Requested,
    /// The call for the full list has failed; a timer starts the next one.
    RetryScheduled,
}

impl FullListState {
    /// The service that answered a new call has restarted its generations: its full list is needed.
    pub(super) fn on_generation_reset(&mut self) {
        if *self == FullListState::Known {
            *self = FullListState::Needed;
        }
    }

    /// Returns whether the caller must start a call for the full list now; the call then counts as started.
    pub(super) fn start_request(&mut self) -> bool {
        let is_needed = *self == FullListState::Needed;
        if is_needed {
            *self = FullListState::Requested;
        }
        is_needed
    }

    /// A call for a full list has failed. Returns whether it was the call tracked here, which must then be retried.
    pub(super) fn on_request_failed(&mut self) -> bool {
        let was_requested = *self == FullListState::Requested;
        if was_requested {
            *self = FullListState::RetryScheduled;
        }
        was_requested
    }

    /// The timer of the retry has fired.
    pub(super) fn on_retry_timer(&mut self) {
        if *self == FullListState::RetryScheduled {
            *self = FullListState::Needed;
        }
    }
}

#[cfg(test)]
mod tests;
