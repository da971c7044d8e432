//! One call to discovery: the head of its response, the body split into JSON objects, and why a call fails. No socket and no
//! clock: bytes go in, objects come out.

use crate::core::endpoint_table::{ListRejection, ListSource};
use crate::core::watch_liveness::ObjectSplitter;
use crate::http::{self, Body, ResponseHead};
use crate::policy::interface::Micros;

/// The longest object of a watch, or whole list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// A longer `Retry-After` is ignored: what changes meanwhile counts as notified.
const MAX_RETRY_AFTER_SECONDS: f64 = 10.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::server) enum CallKind {
    /// The list and its changes, for as long as the connection holds.
    Watch,
    /// The whole list, once.
    FullList,
}

impl CallKind {
    /// How the log names it.
    pub(super) fn log_name(self) -> &'static str {
        match self {
            CallKind::Watch => "watch",
            CallKind::FullList => "list",
        }
    }
}

/// Why a call failed. The messages go to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CallError {
    #[error("no connection")]
    NotConnected,
    #[error("connection lost")]
    ConnectionLost,
    #[error("ended")]
    Ended,
    #[error("no answer in time")]
    TimedOut,
    #[error("fell silent")]
    FellSilent,
    /// The status is not 200. `retry_after` is the wait that the response asks for, unless it is ignored.
    #[error("refused")]
    Refused { retry_after: Option<Micros> },
    #[error("not HTTP")]
    NotHttp,
    #[error("broken chunks")]
    BrokenFraming,
    #[error("not a list")]
    NotAList,
    /// The list is older than the one that is held.
    #[error("list out of date")]
    OutOfDate,
    /// The list is empty, or holds changes where the whole was asked for.
    #[error("no whole list")]
    NotWhole,
    #[error("list too long")]
    TooLong,
    /// The response has ended without a list.
    #[error("no list in it")]
    NoList,
}

impl From<ListRejection> for CallError {
    fn from(rejection: ListRejection) -> CallError {
        match rejection {
            ListRejection::Stale | ListRejection::GenerationReset => CallError::OutOfDate,
            ListRejection::Empty | ListRejection::Partial => CallError::NotWhole,
        }
    }
}

/// How a call for a watch, or the watch that it opened, came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// Refused; `retry_after` is the wait that the service asks for, unless it is ignored.
    Refused { retry_after: Option<Micros> },
    /// No connection came up.
    Unreachable,
    /// The connection ended.
    Failed,
    /// It sent nothing for too long.
    Silent,
}

/// What a call does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallProgress {
    /// It waits for more bytes.
    Pending,
    /// It has got its list.
    Complete,
}

/// The state of one call, beside its connection.
pub(in crate::server) struct DiscoveryCall {
    pub(super) kind: CallKind,
    pub(super) is_connecting: bool,
    /// A list of it was taken in, so that it counts as answered.
    pub(super) is_answered: bool,
    /// The body, once the head has come.
    body: Option<Body>,
    objects: ObjectSplitter,
}

impl DiscoveryCall {
    /// A call whose connection is being established.
    pub(super) fn new(kind: CallKind) -> DiscoveryCall {
        DiscoveryCall {
            kind,
            is_connecting: true,
            is_answered: false,
            body: None,
            objects: ObjectSplitter::default(),
        }
    }

    /// Whether it is the watch, or the call for it.
    pub(super) fn is_watch(&self) -> bool {
        self.kind == CallKind::Watch
    }

    /// How its next list relates to the one that is held.
    pub(super) fn list_source(&self) -> ListSource {
        match (self.kind, self.is_answered) {
            (CallKind::FullList, _) => ListSource::FullList,
            (CallKind::Watch, false) => ListSource::WatchStart,
            (CallKind::Watch, true) => ListSource::WatchUpdate,
        }
    }

    /// Takes the head out of the inbox, unless it was taken before. Returns whether it has come.
    ///
    /// # Errors
    /// If the bytes are no HTTP, or the call is refused.
    pub(super) fn read_head(&mut self, inbox: &mut Vec<u8>) -> Result<bool, CallError> {
        if self.body.is_some() {
            return Ok(true);
        }
        let Some(head) = http::read_response(inbox).map_err(|_| CallError::NotHttp)? else {
            return Ok(false);
        };
        if head.status != 200 {
            return Err(CallError::Refused { retry_after: retry_after(inbox, &head) });
        }
        inbox.drain(..head.len);
        self.body = Some(Body::new(head.framing));
        Ok(true)
    }

    /// Takes what belongs to the body out of the inbox; its objects are then to be taken by [`DiscoveryCall::next_object`].
    ///
    /// # Errors
    /// If the framing is broken. What came before that counts and can still be taken.
    pub(super) fn read_body(&mut self, inbox: &mut Vec<u8>) -> Result<(), CallError> {
        let Some(body) = &mut self.body else { return Ok(()) };
        let mut content = Vec::new();
        let framing = body.feed(inbox, &mut content);
        self.objects.feed(&content);
        framing.map_err(|_| CallError::BrokenFraming)
    }

    /// The next object of the body that is whole.
    pub(super) fn next_object(&mut self) -> Option<Vec<u8>> {
        self.objects.next_object()
    }

    /// Whether an empty line, a watch's heartbeat, has come since this was called last.
    pub(super) fn take_heartbeat(&mut self) -> bool {
        self.objects.take_empty_line()
    }

    /// Whether an object has begun and not ended.
    pub(super) fn has_partial_object(&self) -> bool {
        self.objects.is_partial()
    }

    /// How the call ends by this error.
    pub(super) fn end(&self, error: CallError) -> CallEnd {
        match error {
            CallError::Refused { retry_after } => CallEnd::Refused { retry_after },
            _ if self.is_connecting => CallEnd::Unreachable,
            CallError::TimedOut | CallError::FellSilent => CallEnd::Silent,
            _ => CallEnd::Failed,
        }
    }

    /// What follows once all whole objects were taken.
    ///
    /// # Errors
    /// If nothing more may come, or the object under way is too long.
    pub(super) fn progress(&self) -> Result<CallProgress, CallError> {
        if self.kind == CallKind::FullList && self.is_answered {
            return Ok(CallProgress::Complete);
        }
        if self.objects.len() > MAX_LIST_BYTES {
            return Err(CallError::TooLong);
        }
        let has_ended = self.body.as_ref().is_some_and(Body::is_done);
        match (has_ended, self.kind) {
            (false, _) => Ok(CallProgress::Pending),
            (true, CallKind::Watch) => Err(CallError::Ended),
            (true, CallKind::FullList) => Err(CallError::NoList),
        }
    }
}

/// The wait in `Retry-After`, unless it is too long or not a number of seconds.
fn retry_after(inbox: &[u8], head: &ResponseHead) -> Option<Micros> {
    let seconds: f64 = head.fields.text(inbox, "Retry-After")?.trim().parse().ok()?;
    let is_heeded = (0.0..=MAX_RETRY_AFTER_SECONDS).contains(&seconds);
    is_heeded.then_some((seconds * MICROS_PER_SECOND) as Micros)
}

#[cfg(test)]
mod tests;
