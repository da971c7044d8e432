//! Whether the whole endpoint list of a new discovery service is still to be fetched.
//!
//! A new service may answer a watch with changes although it was asked for everything; endpoints that it does not know would
//! then stay in the table. So its whole list is fetched once, beside the watch.

/// The progress of the fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FullListState {
    /// The list of this service is whole.
    Known,
    /// It is to be fetched once the service's watch has sent something.
    Needed,
    /// A call for it is under way.
    Requested,
    /// The call failed; the next one waits for a timer.
    RetryScheduled,
}

impl FullListState {
    /// A new call was answered by a service that counts its generations anew: its whole list is needed.
    pub(super) fn on_generation_reset(&mut self) {
        if *self == FullListState::Known {
            *self = FullListState::Needed;
        }
    }

    /// Whether a call for the list is to be started now; it then counts as started.
    pub(super) fn start_request(&mut self) -> bool {
        let is_needed = *self == FullListState::Needed;
        if is_needed {
            *self = FullListState::Requested;
        }
        is_needed
    }

    /// A call for a whole list failed. Whether it was this one, which is to be retried.
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
