//! One client's connection: what it has sent, and what it awaits.

use crate::core::RequestId;
use crate::http::{Chunked, RequestHead};
use crate::policy::interface::Micros;
use crate::protocol::event_streams::StreamFraming;
use crate::server::transferred::TransferredClient;
use mothproxy_streams::WatcherId;
use std::rc::Rc;

/// What goes on on a client's connection.
pub(in crate::server) enum ClientState {
    /// It is idle, or a part of a request has come.
    Reading,
    /// A chunked body is being read.
    ReadingChunks(ChunkedRequest),
    /// Its request is open in the core.
    AwaitingResponse {
        request_id: RequestId,
        keep_alive: bool,
        /// Where the response is a stream of events.
        stream: Option<ResponseStream>,
    },
    /// It watches a job that was submitted before.
    Watching(StreamWatch),
    /// The last response is being written.
    Closing,
    /// This side has ended, and the client's end is awaited.
    Lingering { since: Micros },
}

/// A request whose chunked body is not complete.
pub(in crate::server) struct ChunkedRequest {
    /// Its head as it came.
    pub bytes: Rc<Vec<u8>>,
    pub head: RequestHead,
    pub decoder: Chunked,
    /// What has been decoded of the body.
    pub body: Vec<u8>,
}

/// A client's stream of a job's events.
pub(in crate::server) struct StreamWatch {
    pub watcher: WatcherId,
    pub keep_alive: bool,
    pub frame: StreamFraming,
    /// When something was last written on it.
    pub last_write: Micros,
}

/// The stream that a request is answered by.
#[derive(Clone, Copy)]
pub(in crate::server) struct ResponseStream {
    /// Its head is written.
    pub has_begun: bool,
    /// When something was last written on it.
    pub last_write: Micros,
}

/// A client's connection.
pub(in crate::server) struct ClientConnection {
    /// It came to the address of event streams.
    pub(super) is_sse: bool,
    pub(super) state: ClientState,
    pub(super) idle_since: Option<Micros>,
    /// When it was accepted, until its first whole request; and when a later one began, until that is whole.
    pub(super) awaiting_request_since: Option<Micros>,
    /// When that was, or its last bytes came.
    pub(super) last_read: Micros,
    /// A worker sends its callbacks on it.
    pub(in crate::server) has_callbacks: bool,
}

impl ClientConnection {
    /// A connection that was accepted just now.
    pub(super) fn new(is_sse: bool, now: Micros) -> ClientConnection {
        ClientConnection {
            is_sse,
            state: ClientState::Reading,
            idle_since: None,
            awaiting_request_since: Some(now),
            last_read: now,
            has_callbacks: false,
        }
    }

    /// A connection that another process has handed over.
    pub(in crate::server) fn adopt(transferred: &TransferredClient, now: Micros) -> ClientConnection {
        ClientConnection {
            awaiting_request_since: transferred.is_awaiting_request.then_some(now),
            has_callbacks: transferred.has_callbacks,
            ..ClientConnection::new(transferred.is_sse, now)
        }
    }

    /// What another process must know of it; its request is for the caller to fill in.
    pub(in crate::server) fn to_transferred(&self) -> TransferredClient {
        TransferredClient {
            is_sse: self.is_sse,
            is_awaiting_request: self.is_awaiting_request(),
            has_callbacks: self.has_callbacks,
            request: None,
        }
    }

    /// Whether it has no open request: idle, or with a part of a request.
    pub(in crate::server) fn is_reading(&self) -> bool {
        matches!(self.state, ClientState::Reading)
    }

    /// Whether a job's events are written on it.
    pub(super) fn is_watching(&self) -> bool {
        matches!(self.state, ClientState::Watching(_))
    }

    /// Whether this side ends it, or has ended it.
    pub(super) fn is_ending(&self) -> bool {
        matches!(self.state, ClientState::Closing | ClientState::Lingering { .. })
    }

    /// Whether a response, or a job's events, are awaited on it.
    pub(super) fn is_awaiting_response(&self) -> bool {
        matches!(self.state, ClientState::AwaitingResponse { .. } | ClientState::Watching(_))
    }

    /// Whether a whole request is awaited on it.
    pub(in crate::server) fn is_awaiting_request(&self) -> bool {
        self.awaiting_request_since.is_some()
    }

    /// The request whose response it awaits.
    pub(in crate::server) fn awaited_request(&self) -> Option<RequestId> {
        match self.state {
            ClientState::AwaitingResponse { request_id, .. } => Some(request_id),
            _ => None,
        }
    }

    /// Whether it is kept after the response that it awaits.
    pub(in crate::server) fn keeps_alive(&self) -> bool {
        match self.state {
            ClientState::AwaitingResponse { keep_alive, .. } => keep_alive,
            _ => true,
        }
    }

    /// Where the response that it awaits is a stream: whether that has begun.
    pub(in crate::server) fn has_stream_begun(&self) -> Option<bool> {
        match self.state {
            ClientState::AwaitingResponse { stream, .. } => stream.map(|stream| stream.has_begun),
            _ => None,
        }
    }

    /// The request that it awaits a response to has another number now.
    pub(in crate::server) fn replace_awaited_request(&mut self, new: RequestId) {
        if let ClientState::AwaitingResponse { request_id, .. } = &mut self.state {
            *request_id = new;
        }
    }

    /// It awaits a response from now on; `has_stream_begun` is given where that is a stream.
    pub(in crate::server) fn await_response(
        &mut self,
        request_id: RequestId,
        keep_alive: bool,
        has_stream_begun: Option<bool>,
        now: Micros,
    ) {
        let stream = has_stream_begun.map(|has_begun| ResponseStream { has_begun, last_write: now });
        self.state = ClientState::AwaitingResponse { request_id, keep_alive, stream };
    }

    /// What follows a response: the next request, or the end.
    pub(super) fn finish_response(&mut self, keep_alive: bool) {
        self.state = if keep_alive { ClientState::Reading } else { ClientState::Closing };
    }

    /// Whether it has a request that is not answered, or a part of one, or its client has not ended yet, or became idle
    /// only after this time.
    pub(in crate::server) fn is_busy(&self, idle_before: Micros) -> bool {
        self.idle_since.is_none_or(|since| since > idle_before)
    }
}
