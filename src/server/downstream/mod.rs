//! Downstream: connections of clients, and of workers with their callbacks.
//!
//! `accept` takes them in, `read` puts requests together, `request` routes each of them, `respond` writes what the core
//! answers, `idle` closes those that must make room, and `lingering` ends a connection without losing its last response.
//! `event_streams` serves jobs whose clients come back for their events.
//!
//! All but `accept` are methods of [`ClientConnections`], which are given a [`ClientContext`].

mod accept;
mod client;
pub(in crate::server) mod context;
mod deadline;
pub(in crate::server) mod event_streams;
mod idle;
mod lingering;
mod read;
mod request;
mod respond;

pub(in crate::server) use client::{ClientConnection, ClientState, StreamWatch};
pub(in crate::server) use context::ClientContext;
pub(in crate::server) use idle::{MIN_IDLE_BEFORE_CLOSE, PARTIAL_REQUEST_GRACE, SILENT_GRACE};

use crate::http::{MAX_BODY, MAX_HEAD};
use crate::policy::interface::Micros;
use crate::server::tokens::Token;
use lingering::LingeringConnections;
use mothproxy_streams::JobId;
use std::collections::BTreeSet;

/// The most bytes buffered of what a client sends: a whole request. Clients send one at a time; one that sends as much again
/// before it has its response is closed, since what comes behind could not be seen, the end of the connection among it.
const MAX_INBOX: usize = MAX_HEAD + MAX_BODY;
/// No attempt may begin for a client that disconnected longer ago than this.
const MAX_DISCONNECT_AGE: Micros = 100_000;
/// Progress is dropped for a client that has this much left to read; final events never are.
const MAX_UNREAD_PROGRESS: usize = 16 * 1024;

/// The core's number of a job's client: this and the job's number. Tokens of connections have no such bit.
const JOB_FLAG: u64 = 1 << 63;

/// Who awaits the response to a request. The core knows it as a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::server) enum Downstream {
    /// A client's connection.
    Connection(Token),
    /// A job of the event streams.
    Job(JobId),
}

impl Downstream {
    /// The one of this number.
    pub fn from_number(number: u64) -> Downstream {
        match number & JOB_FLAG {
            0 => Downstream::Connection(Token(number)),
            _ => Downstream::Job(JobId(number & !JOB_FLAG)),
        }
    }

    /// Its number.
    pub fn to_number(self) -> u64 {
        match self {
            Downstream::Connection(token) => token.0,
            Downstream::Job(job) => JOB_FLAG | job.0,
        }
    }
}

/// When all connections were last polled for what has come on them.
#[derive(Clone, Copy, Default)]
pub(in crate::server) struct PollTime {
    at: Micros,
    /// More may have come than was shown.
    is_partial: bool,
}

impl PollTime {
    /// All connections were polled at this time; `is_partial` where more events may be waiting than were taken.
    pub fn new(at: Micros, is_partial: bool) -> PollTime {
        PollTime { at, is_partial }
    }

    /// Whether a client may have disconnected since, or unseen, for so long that its connection must be read before an
    /// attempt begins. The attempt has the rest of [`MAX_DISCONNECT_AGE`] to get under way.
    pub fn is_old(&self, now: Micros) -> bool {
        self.is_partial || now > self.at + MAX_DISCONNECT_AGE / 4
    }
}

/// A connection and a time that it is ordered by.
type TimedToken = (Micros, Token);

/// Connections of clients that may be closed to make room, by why, the oldest first.
#[derive(Default)]
pub(in crate::server) struct ClientConnections {
    /// Those without a request, by the time since which they are idle.
    idle: BTreeSet<TimedToken>,
    /// Those that have not sent a whole first request, or have begun a later one, by when bytes were last read.
    awaiting_request: BTreeSet<TimedToken>,
    /// Those that this side has ended.
    lingering: LingeringConnections,
}

impl ClientConnections {
    /// Connections that have been idle for at least `min_idle`, the oldest first.
    pub fn idle_for(&self, min_idle: Micros, now: Micros) -> impl Iterator<Item = Token> {
        let is_old = move |(since, _): &&TimedToken| since + min_idle <= now;
        self.idle.iter().take_while(is_old).map(|(_, token)| *token)
    }

    /// Connections that a whole request is awaited on, and that have been silent for so long, the oldest first.
    fn silent_for(&self, min_silence: Micros, now: Micros) -> impl Iterator<Item = TimedToken> {
        let is_silent = move |(last_read, _): &&TimedToken| last_read + min_silence <= now;
        self.awaiting_request.iter().take_while(is_silent).copied()
    }

    /// A connection is idle from now on.
    fn track_idle(&mut self, token: Token, client: &mut ClientConnection, now: Micros) {
        client.idle_since = Some(now);
        self.idle.insert((now, token));
    }

    /// A connection is not idle any more; false where it was not.
    fn untrack_idle(&mut self, token: Token, client: &mut ClientConnection) -> bool {
        let since = client.idle_since.take();
        if let Some(since) = since {
            self.idle.remove(&(since, token));
        }
        since.is_some()
    }

    /// A whole request is awaited on a connection.
    pub fn track_awaiting_request(&mut self, token: Token, client: &ClientConnection) {
        self.awaiting_request.insert((client.last_read, token));
    }

    /// A whole request has come; false where none was awaited.
    fn untrack_awaiting_request(&mut self, token: Token, client: &mut ClientConnection) -> bool {
        let was_awaiting = client.awaiting_request_since.take().is_some();
        if was_awaiting {
            self.awaiting_request.remove(&(client.last_read, token));
        }
        was_awaiting
    }

    /// Bytes have been read on a connection.
    fn on_bytes_read(&mut self, token: Token, client: &mut ClientConnection, now: Micros) {
        if client.is_awaiting_request() {
            self.awaiting_request.remove(&(client.last_read, token));
            client.last_read = now;
            self.awaiting_request.insert((now, token));
        }
    }

    /// A connection is neither idle nor without a request any more.
    fn untrack(&mut self, token: Token, client: &mut ClientConnection) {
        self.untrack_idle(token, client);
        self.untrack_awaiting_request(token, client);
    }
}
