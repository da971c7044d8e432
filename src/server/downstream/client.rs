//! The state of one client's connection: which request is being read, and which response is awaited.

use crate::core::RequestId;
use crate::http::{Chunked, MAX_HEAD, RequestHead};
use crate::policy::interface::Micros;
use crate::protocol::event_streams::StreamFraming;
use crate::server::downstream::MAX_READ_BUFFER;
use crate::server::downstream::read_times::ReadTimes;
use crate::server::transferred::TransferredClient;
use mothproxy_streams::WatcherId;
use std::rc::Rc;

/// The maximum number of bytes of a chunked body that are read before they are decoded.
const MAX_CHUNKED_READ: usize = 4 * 1024;

/// The state of a client's connection.
pub(in crate::server) enum ClientState {
    /// The connection is idle, or a part of a request has been read.
    Reading,
    /// A chunked body is being read.
    ReadingChunks(ChunkedRequest),
    /// The request is open in the core.
    AwaitingResponse {
        request_id: RequestId,
        keep_alive: bool,
        /// Set if the response is an event stream.
        stream: Option<ResponseStream>,
    },
    /// The client watches a job that was submitted before.
    Watching(StreamWatch),
    /// The last response on the connection is being written.
    Closing,
    /// This side has ended the connection and waits for the client to end it too.
    Lingering { since: Micros },
}

/// A request whose chunked body is not complete.
pub(in crate::server) struct ChunkedRequest {
    /// The bytes of the head, as received.
    pub bytes: Rc<Vec<u8>>,
    pub head: RequestHead,
    pub decoder: Chunked,
    /// The part of the body decoded so far.
    pub body: Vec<u8>,
}

/// The stream on which a client watches a job's events.
pub(in crate::server) struct StreamWatch {
    pub watcher: WatcherId,
    pub keep_alive: bool,
    pub framing: StreamFraming,
    /// When bytes were last written to the stream.
    pub last_write: Micros,
}

/// The event stream that answers a request.
#[derive(Clone, Copy)]
pub(in crate::server) struct ResponseStream {
    /// Whether the head of the response has been written.
    pub has_begun: bool,
    /// When bytes were last written to the stream.
    pub last_write: Micros,
}

/// A client's connection.
pub(in crate::server) struct ClientConnection {
    /// Whether the connection was accepted at the SSE listener.
    pub(super) is_from_sse_listener: bool,
    pub(super) state: ClientState,
    /// When the connection became idle; `None` if it is not idle.
    pub(super) idle_since: Option<Micros>,
    /// When the connection was accepted, until its first request is complete. After that, when a later request began, until
    /// that one is complete.
    pub(super) awaiting_request_since: Option<Micros>,
    /// When bytes were last read, or the time of `awaiting_request_since` if none were read since.
    pub(super) last_read: Micros,
    /// Whether a worker has sent status callbacks on the connection.
    pub(in crate::server) has_callbacks: bool,
    /// Whether bytes that were read wait for the next turn of the event loop.
    pub(super) is_deferred: bool,
    /// When the bytes in the read buffer arrived.
    pub(super) read_times: ReadTimes,
    /// When the last byte of the latest request arrived, at the earliest.
    pub(super) request_arrived_at: Micros,
}

impl ClientConnection {
    /// Creates the state of a connection accepted at `now`, whose first request is awaited. The connection, and bytes on it, may
    /// have been waiting since `waiting_since`.
    pub(super) fn new(is_from_sse_listener: bool, now: Micros, waiting_since: Micros) -> ClientConnection {
        ClientConnection {
            is_from_sse_listener,
            state: ClientState::Reading,
            idle_since: None,
            awaiting_request_since: Some(now),
            last_read: now,
            has_callbacks: false,
            is_deferred: false,
            read_times: ReadTimes::waiting_since(waiting_since),
            request_arrived_at: waiting_since,
        }
    }

    /// Up to which length the read buffer may be filled now, in bytes, if it holds `buffered` bytes. A chunked body is decoded piece
    /// by piece, and no more than a head is read before the head is complete, so that no connection occupies the event loop.
    pub(super) fn max_read_buffer(&self, buffered: usize) -> usize {
        match self.state {
            ClientState::ReadingChunks(_) => MAX_CHUNKED_READ,
            ClientState::Reading if buffered < MAX_HEAD => MAX_HEAD,
            _ => MAX_READ_BUFFER,
        }
    }

    /// Records that the read buffer of an adopted connection holds `length` bytes, which may have been waiting since
    /// `waiting_since`.
    pub(in crate::server) fn on_adopted_bytes(&mut self, length: usize, waiting_since: Micros) {
        self.read_times.on_read(length, waiting_since, false);
    }

    /// Records that the first `bytes` bytes of the read buffer, which belong to a request, have been removed from it.
    pub(super) fn on_consumed(&mut self, bytes: usize) {
        if let Some(arrived_at) = self.read_times.consume(bytes) {
            self.request_arrived_at = arrived_at;
        }
    }

    /// The memory of a request whose chunked body is not complete, in bytes.
    pub(in crate::server) fn buffered_bytes(&self) -> usize {
        match &self.state {
            ClientState::ReadingChunks(request) => request.bytes.len() + request.body.capacity(),
            _ => 0,
        }
    }

    /// Creates the state of a connection that another process has handed over. Bytes on it that were not read before may have
    /// been waiting since `waiting_since`.
    pub(in crate::server) fn adopt(
        transferred: &TransferredClient,
        now: Micros,
        waiting_since: Micros,
    ) -> ClientConnection {
        ClientConnection {
            awaiting_request_since: transferred.is_awaiting_request.then_some(now),
            has_callbacks: transferred.has_callbacks,
            ..ClientConnection::new(transferred.is_from_sse_listener, now, waiting_since)
        }
    }

    /// The state that the successor needs. The caller fills in the request. Bytes that were not read may have been waiting since
    /// `unread_since`.
    pub(in crate::server) fn to_transferred(&self, now: Micros, unread_since: Micros) -> TransferredClient {
        let oldest = self.read_times.oldest().map_or(unread_since, |oldest| oldest.min(unread_since));
        TransferredClient {
            unread_for: Some(now.saturating_sub(oldest)),
            is_from_sse_listener: self.is_from_sse_listener,
            is_awaiting_request: self.is_awaiting_request(),
            has_callbacks: self.has_callbacks,
            request: None,
        }
    }

    /// Whether there is no open request and no chunked body being read: the connection is idle, or a part of a request has
    /// been read.
    pub(in crate::server) fn is_reading(&self) -> bool {
        matches!(self.state, ClientState::Reading)
    }

    /// Whether the client watches a job's events.
    pub(super) fn is_watching(&self) -> bool {
        matches!(self.state, ClientState::Watching(_))
    }

    /// Whether this side is ending the connection, or has ended it.
    pub(super) fn is_ending(&self) -> bool {
        matches!(self.state, ClientState::Closing | ClientState::Lingering { .. })
    }

    /// Whether the client awaits a response or watches a job.
    pub(super) fn is_awaiting_response(&self) -> bool {
        matches!(self.state, ClientState::AwaitingResponse { .. } | ClientState::Watching(_))
    }

    /// Whether the client must still complete a request, which has a deadline.
    pub(in crate::server) fn is_awaiting_request(&self) -> bool {
        self.awaiting_request_since.is_some()
    }

    /// The request whose response the client awaits.
    pub(in crate::server) fn awaited_request(&self) -> Option<RequestId> {
        match self.state {
            ClientState::AwaitingResponse { request_id, .. } => Some(request_id),
            _ => None,
        }
    }

    /// Whether the connection stays open after the awaited response; true if none is awaited.
    pub(in crate::server) fn keeps_alive(&self) -> bool {
        match self.state {
            ClientState::AwaitingResponse { keep_alive, .. } => keep_alive,
            _ => true,
        }
    }

    /// If the awaited response is an event stream, whether the stream has begun.
    pub(in crate::server) fn has_stream_begun(&self) -> Option<bool> {
        match self.state {
            ClientState::AwaitingResponse { stream, .. } => stream.map(|stream| stream.has_begun),
            _ => None,
        }
    }

    /// Replaces the id of the request whose response the client awaits.
    pub(in crate::server) fn replace_awaited_request(&mut self, new: RequestId) {
        if let ClientState::AwaitingResponse { request_id, .. } = &mut self.state {
            *request_id = new;
        }
    }

    /// Records that the client awaits a response. `has_stream_begun` is given if the response is an event stream.
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

    /// Sets the state after a response: the next request is read, or the connection ends.
    pub(super) fn finish_response(&mut self, keep_alive: bool) {
        self.state = if keep_alive { ClientState::Reading } else { ClientState::Closing };
    }

    /// Whether the connection is not idle, or became idle only after `idle_before`. It is not idle while a request is
    /// incomplete or has no response yet, or while the client has not ended a connection that this side has ended.
    pub(in crate::server) fn is_busy(&self, idle_before: Micros) -> bool {
        self.idle_since.is_none_or(|since| since > idle_before)
    }
}
