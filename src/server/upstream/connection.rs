//! One connection to a worker, and the exchange on it.

use crate::core::RequestId;
use crate::http::{Body, EventStream};
use crate::policy::interface::{Micros, WorkerId};
use rustix::event::epoll::EventFlags;
use std::net::{SocketAddr, TcpStream};

/// The last byte of an attempt on a new connection may arrive so many times later as the connection took: that is one
/// round trip, and a handshake is up to two more (PROTOCOL, "Dispatchers to workers").
const HANDSHAKE_ROUND_TRIPS: Micros = 3;
/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptId {
    pub request_id: RequestId,
    /// Its number within the request, from 0.
    pub number: u32,
}

/// A cancel that is to be sent to a worker.
pub(super) struct CancelRequest {
    pub worker: WorkerId,
    /// The request's name, by which the worker knows the job.
    pub name: String,
    /// The attempt that counts as ended only once the cancel is written.
    pub ending: Option<AttemptId>,
}

/// What a connection is used for, one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exchange {
    /// A client's request is forwarded.
    Attempt(AttemptId),
    /// A worker is to give a job up.
    Cancel {
        /// The attempt that counts as ended only once the cancel is written.
        ending: Option<AttemptId>,
    },
    /// A load probe.
    Probe,
}

impl Exchange {
    /// Whether a client's request is forwarded.
    pub fn is_attempt(self) -> bool {
        matches!(self, Exchange::Attempt(_))
    }
}

/// How far the exchange is.
pub(super) enum UpstreamState {
    /// The connection is not up yet.
    Connecting(Exchange),
    /// The response's head is awaited.
    Awaiting(Exchange),
    /// The rest of a response is read.
    ReadingBody(ResponseBody),
    /// A worker says in an event stream how a job gets on.
    Streaming(StatusStream),
    /// There is none.
    Idle,
}

/// The rest of a response; a load probe's is its report.
pub(super) struct ResponseBody {
    pub exchange: Exchange,
    pub status: u16,
    pub body: Body,
    /// What has been read of it.
    pub read: Vec<u8>,
    pub keep_alive: bool,
}

/// The event stream that an attempt is answered by.
pub(super) struct StatusStream {
    pub attempt: AttemptId,
    pub body: Body,
    pub events: EventStream,
}

/// How far a connection is that is being established.
pub(super) enum ConnectProgress {
    /// It was up before.
    Established,
    /// It has just come up, for this exchange.
    Connected(Exchange),
    /// It is not up yet.
    Pending,
    /// It will not come up.
    Failed,
}

/// A connection to a worker.
pub(in crate::server) struct UpstreamConnection {
    pub(super) worker: WorkerId,
    /// Where it leads: its worker may have come back elsewhere since.
    pub(super) address: Option<SocketAddr>,
    pub(super) state: UpstreamState,
    /// It has carried an exchange before.
    pub(super) is_reused: bool,
    /// The length of its attempt's request while the last byte is not written; 0 before it is encoded.
    pub(super) unwritten_length: Option<usize>,
    /// How long its exchange's first response may take; an attempt's deadline ends it in any case.
    pub(super) response_timeout: Option<Micros>,
    /// When it was begun.
    pub(super) connect_started: Micros,
    /// How long the last byte of an attempt may be in transit.
    pub(super) transit_allowance: Micros,
    /// How long it rests before it is used again.
    pub(super) cooldown: Micros,
}

impl UpstreamConnection {
    /// A connection that is begun now, for an exchange.
    pub(super) fn connecting(
        worker: WorkerId,
        address: Option<SocketAddr>,
        exchange: Exchange,
        response_timeout: Option<Micros>,
        now: Micros,
    ) -> UpstreamConnection {
        UpstreamConnection {
            worker,
            address,
            state: UpstreamState::Connecting(exchange),
            is_reused: false,
            unwritten_length: exchange.is_attempt().then_some(0),
            response_timeout,
            connect_started: now,
            transit_allowance: 0,
            cooldown: 0,
        }
    }

    /// An idle connection that another process has handed over.
    pub(super) fn adopted(worker: WorkerId, address: Option<SocketAddr>, now: Micros) -> UpstreamConnection {
        UpstreamConnection {
            worker,
            address,
            state: UpstreamState::Idle,
            is_reused: true,
            unwritten_length: None,
            response_timeout: None,
            connect_started: now,
            transit_allowance: 0,
            cooldown: 0,
        }
    }

    /// Uses an idle connection for an exchange.
    pub(super) fn reuse(&mut self, exchange: Exchange, response_timeout: Option<Micros>) {
        self.state = UpstreamState::Awaiting(exchange);
        self.is_reused = true;
        self.unwritten_length = exchange.is_attempt().then_some(0);
        self.response_timeout = response_timeout;
        self.transit_allowance = 0;
    }

    /// Whether the connection has come up by an event with these flags.
    pub(super) fn connect_progress(&self, stream: &TcpStream, flags: EventFlags) -> ConnectProgress {
        let UpstreamState::Connecting(exchange) = self.state else { return ConnectProgress::Established };
        let has_failed = stream.take_error().map_or(true, |error| error.is_some());
        if has_failed || flags.contains(EventFlags::ERR) {
            ConnectProgress::Failed
        } else if flags.contains(EventFlags::OUT) {
            ConnectProgress::Connected(exchange)
        } else {
            ConnectProgress::Pending
        }
    }

    /// The connection is up: the exchange that it was begun for goes on. Returns by when its first response must have come.
    pub(super) fn on_connected(&mut self, exchange: Exchange, now: Micros) -> Option<Micros> {
        self.state = UpstreamState::Awaiting(exchange);
        let connect_time = now.saturating_sub(self.connect_started);
        self.transit_allowance = HANDSHAKE_ROUND_TRIPS * connect_time;
        self.response_timeout.map(|timeout| now + timeout)
    }

    /// Its worker, if it is idle and may be used.
    pub(in crate::server) fn idle_worker(&self) -> Option<WorkerId> {
        (matches!(self.state, UpstreamState::Idle) && self.cooldown == 0).then_some(self.worker)
    }
}
