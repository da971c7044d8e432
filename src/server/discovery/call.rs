//! One call to discovery: the head of its response, its body split into JSON objects, and the reasons why a call fails. This
//! module uses no socket and no clock: its input is bytes, its output is objects.

use crate::core::endpoint_table::{ListRejection, ListSource};
use crate::core::watch_liveness::ObjectSplitter;
use crate::http::{self, Body, ResponseHead};
use crate::policy::interface::Micros;
use crate::server::discovery::list_intake::ListIntake;

/// The maximum length of an object of a watch, or of a full list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// The longest `Retry-After` that is accepted. A longer one is ignored, because changes made during that wait would count as
/// notified before the next call.
const MAX_RETRY_AFTER_SECONDS: f64 = 10.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::server) enum CallKind {
    /// The list and its changes, until the connection ends.
    Watch,
    /// The full list, once.
    FullList,
}

impl CallKind {
    /// The name of the call in log lines.
    pub(super) fn log_name(self) -> &'static str {
        match self {
            CallKind::Watch => "watch",
            CallKind::FullList => "list",
        }
    }
}

/// Why a call failed. The messages are part of the log lines about failed calls.
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
    /// An answered watch sent neither a complete list nor a heartbeat before its deadline.
    #[error("fell silent")]
    WatchTimedOut,
    /// The status is not 200. `retry_after` is the delay that the response requests; `None` if there is none or it is ignored.
    #[error("refused")]
    Refused { retry_after: Option<Micros> },
    #[error("not HTTP")]
    NotHttp,
    #[error("broken chunks")]
    BrokenFraming,
    #[error("not a list")]
    NotAList,
    /// The list is older than the current one.
    #[error("list out of date")]
    OutOfDate,
    /// The list is empty, or holds changes although the full list was requested.
    #[error("no whole list")]
    NotFullList,
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
            ListRejection::Empty | ListRejection::Partial => CallError::NotFullList,
        }
    }
}

/// How a watch, or the call that opens it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// The service refused the call. `retry_after` is the delay that it requests; `None` if there is none or it is ignored.
    Refused { retry_after: Option<Micros> },
    /// No connection was established.
    Unreachable,
    /// The connection ended.
    Failed,
    /// The call was not answered, or the open watch sent no list and no heartbeat, before its deadline.
    Silent,
}

/// Whether a call needs more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallProgress {
    /// More bytes are needed.
    Pending,
    /// A list is not finished; the next turn of the event loop goes on with it.
    Busy,
    /// The requested list has been received.
    Complete,
}

/// The state of one call, apart from its connection.
pub(in crate::server) struct DiscoveryCall {
    pub(super) kind: CallKind,
    pub(super) is_connecting: bool,
    /// Whether a list of this call has been accepted; the call then counts as answered.
    pub(super) is_answered: bool,
    /// The response body, once the head has been read.
    body: Option<Body>,
    objects: ObjectSplitter,
    /// The list that is being read or applied.
    pub(super) intake: ListIntake,
    /// The error of malformed framing, which counts once the objects before it have been read.
    framing_error: Option<CallError>,
}

impl DiscoveryCall {
    /// Creates a call whose connection is being established.
    pub(super) fn new(kind: CallKind) -> DiscoveryCall {
        DiscoveryCall {
            kind,
            is_connecting: true,
            is_answered: false,
            body: None,
            objects: ObjectSplitter::default(),
            intake: ListIntake::Idle,
            framing_error: None,
        }
    }

    /// Whether this call is the watch, or is to open it.
    pub(super) fn is_watch(&self) -> bool {
        self.kind == CallKind::Watch
    }

    /// How the next list of this call relates to the current list.
    pub(super) fn list_source(&self) -> ListSource {
        match (self.kind, self.is_answered) {
            (CallKind::FullList, _) => ListSource::FullList,
            (CallKind::Watch, false) => ListSource::WatchStart,
            (CallKind::Watch, true) => ListSource::WatchUpdate,
        }
    }

    /// Parses the response head and removes it from the read buffer, unless it has been read already. Returns whether the head is
    /// complete.
    ///
    /// # Errors
    /// If the bytes are not an HTTP response head, or the status is not 200.
    pub(super) fn read_head(&mut self, read_buffer: &mut Vec<u8>) -> Result<bool, CallError> {
        if self.body.is_some() {
            return Ok(true);
        }
        let Some(head) = http::read_response(read_buffer).map_err(|_| CallError::NotHttp)? else {
            return Ok(false);
        };
        if head.status != 200 {
            return Err(CallError::Refused { retry_after: retry_after(read_buffer, &head) });
        }
        read_buffer.drain(..head.len);
        self.body = Some(Body::new(head.framing));
        Ok(true)
    }

    /// Moves the bytes of the body out of the read buffer. [`DiscoveryCall::next_object`] then returns the objects in them. An
    /// error of the framing is kept for [`DiscoveryCall::take_framing_error`]: objects before it are valid.
    pub(super) fn read_body(&mut self, read_buffer: &mut Vec<u8>) {
        let Some(body) = &mut self.body else { return };
        let mut content = Vec::new();
        if body.feed(read_buffer, &mut content).is_err() {
            self.framing_error = Some(CallError::BrokenFraming);
        }
        self.objects.feed(&content);
    }

    /// Checks the framing of the body that was read.
    ///
    /// # Errors
    /// If the framing is malformed.
    pub(super) fn check_framing(&mut self) -> Result<(), CallError> {
        self.framing_error.take().map_or(Ok(()), Err)
    }

    /// Returns the next complete object of the body; `None` if more bytes are needed.
    pub(super) fn next_object(&mut self) -> Option<Vec<u8>> {
        self.objects.next_object()
    }

    /// Returns whether an empty line, the heartbeat of a watch, has arrived since the last call of this function.
    pub(super) fn take_heartbeat(&mut self) -> bool {
        self.objects.take_empty_line()
    }

    /// Whether an object has begun and is not complete yet.
    pub(super) fn has_partial_object(&self) -> bool {
        self.objects.is_partial()
    }

    /// Returns how the call ends if it fails with this error.
    pub(super) fn end(&self, error: CallError) -> CallEnd {
        match error {
            CallError::Refused { retry_after } => CallEnd::Refused { retry_after },
            _ if self.is_connecting => CallEnd::Unreachable,
            CallError::TimedOut | CallError::WatchTimedOut => CallEnd::Silent,
            _ => CallEnd::Failed,
        }
    }

    /// Returns whether the call needs more bytes. Must be called once all complete objects have been read.
    ///
    /// # Errors
    /// If the response has ended, or the partial object is longer than [`MAX_LIST_BYTES`].
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

/// Returns the delay in `Retry-After`, in microseconds. `None` if there is none, it is longer than
/// [`MAX_RETRY_AFTER_SECONDS`], or it is not a number of seconds.
fn retry_after(read_buffer: &[u8], head: &ResponseHead) -> Option<Micros> {
    let seconds: f64 = head.fields.text(read_buffer, "Retry-After")?.trim().parse().ok()?;
    let is_accepted = (0.0..=MAX_RETRY_AFTER_SECONDS).contains(&seconds);
    is_accepted.then_some((seconds * MICROS_PER_SECOND) as Micros)
}

#[cfg(test)]
mod tests;
