//! Downstream: connections of clients, and of workers with their callbacks.
//!
//! - `accept` accepts connections.
//! - `read` assembles requests from the bytes read.
//! - `request` routes each request.
//! - `respond` writes the core's responses.
//! - `deadline` sets and handles the connections' deadlines.
//! - `idle` closes connections to make room for others.
//! - `lingering` ends a connection without losing its last response.
//! - `event_streams` serves submitted jobs, whose clients reconnect to read the events.
//!
//! Except in `accept`, the handlers are methods of [`ClientConnections`] and get a [`ClientContext`].

mod accept;
mod buffers;
mod client;
pub(in crate::server) mod context;
mod deadline;
pub(in crate::server) mod event_streams;
mod idle;
mod lingering;
mod read;
mod read_times;
mod request;
mod respond;

pub(in crate::server) use client::{ClientConnection, ClientState, StreamWatch};
pub(in crate::server) use context::ClientContext;
pub(in crate::server) use idle::{MIN_IDLE_BEFORE_CLOSE, PARTIAL_REQUEST_GRACE, SILENT_GRACE};

use crate::core::DownstreamId;
use crate::http::{MAX_BODY, MAX_HEAD};
use crate::policy::interface::Micros;
use crate::server::tokens::Token;
use lingering::LingeringConnections;
use mothproxy_streams::JobId;
use std::collections::BTreeSet;

/// Maximum number of bytes buffered from a client: one complete request. Clients send one request at a time. If a client sends
/// this much more before it has its response, its connection is closed: bytes beyond the limit are not read, so the end of the
/// connection could not be detected.
const MAX_READ_BUFFER: usize = MAX_HEAD + MAX_BODY;
/// Progress events are dropped while a client has this many bytes left to read. Final events are never dropped.
const MAX_UNREAD_PROGRESS: usize = 16 * 1024;

/// The bit that marks a [`DownstreamId`] as that of a job; the other bits are the job's number. A connection's token never
/// has this bit set.
const JOB_FLAG: u64 = 1 << 63;

/// The recipient of the final response to a request. The core identifies it by a [`DownstreamId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::server) enum Downstream {
    /// A client's connection.
    Connection(Token),
    /// A job of the event streams.
    Job(JobId),
}

impl Downstream {
    /// Decodes an id made by [`Downstream::to_id`].
    pub fn from_id(DownstreamId(number): DownstreamId) -> Downstream {
        match number & JOB_FLAG {
            0 => Downstream::Connection(Token(number)),
            _ => Downstream::Job(JobId(number & !JOB_FLAG)),
        }
    }

    /// Encodes the recipient as the id that the core keeps.
    pub fn to_id(self) -> DownstreamId {
        match self {
            Downstream::Connection(token) => DownstreamId(token.0),
            Downstream::Job(job) => DownstreamId(JOB_FLAG | job.0),
        }
    }
}

/// A connection, with the time by which connections are ordered.
type TimedToken = (Micros, Token);

/// Connections of clients that may be closed to make room, grouped by the reason why they may be, the oldest first.
#[derive(Default)]
pub(in crate::server) struct ClientConnections {
    /// Connections without a request, by the time at which they became idle.
    idle: BTreeSet<TimedToken>,
    /// Connections whose first request, or a later one that has begun, is incomplete, by the time of the last read.
    awaiting_request: BTreeSet<TimedToken>,
    /// Connections that this side has ended.
    lingering: LingeringConnections,
}

impl ClientConnections {
    /// Connections that have been idle for at least `min_idle`, the oldest first.
    pub fn idle_for(&self, min_idle: Micros, now: Micros) -> impl Iterator<Item = Token> {
        let is_old = move |(since, _): &&TimedToken| since + min_idle <= now;
        self.idle.iter().take_while(is_old).map(|(_, token)| *token)
    }

    /// Connections that have not completed a request and have been silent for at least `min_silence`, the oldest first.
    fn silent_for(&self, min_silence: Micros, now: Micros) -> impl Iterator<Item = TimedToken> {
        let is_silent = move |(last_read, _): &&TimedToken| last_read + min_silence <= now;
        self.awaiting_request.iter().take_while(is_silent).copied()
    }

    /// Records that a connection is idle from now on.
    fn track_idle(&mut self, token: Token, client: &mut ClientConnection, now: Micros) {
        client.idle_since = Some(now);
        self.idle.insert((now, token));
    }

    /// Records that a connection is no longer idle. Returns false if it was not idle.
    fn untrack_idle(&mut self, token: Token, client: &mut ClientConnection) -> bool {
        let since = client.idle_since.take();
        if let Some(since) = since {
            self.idle.remove(&(since, token));
        }
        since.is_some()
    }

    /// Records that a request is awaited on a connection.
    pub fn track_awaiting_request(&mut self, token: Token, client: &ClientConnection) {
        self.awaiting_request.insert((client.last_read, token));
    }

    /// Records that a connection has completed its request. Returns false if none was awaited.
    fn untrack_awaiting_request(&mut self, token: Token, client: &mut ClientConnection) -> bool {
        let was_awaiting = client.awaiting_request_since.take().is_some();
        if was_awaiting {
            self.awaiting_request.remove(&(client.last_read, token));
        }
        was_awaiting
    }

    /// Records that bytes were read on a connection, which restarts the measurement of its silence.
    fn on_bytes_read(&mut self, token: Token, client: &mut ClientConnection, now: Micros) {
        if client.is_awaiting_request() {
            self.awaiting_request.remove(&(client.last_read, token));
            client.last_read = now;
            self.awaiting_request.insert((now, token));
        }
    }

    /// Removes a connection from the idle connections and from those with an incomplete request.
    fn untrack(&mut self, token: Token, client: &mut ClientConnection) {
        self.untrack_idle(token, client);
        self.untrack_awaiting_request(token, client);
    }
}
