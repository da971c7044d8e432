//! One connection to a worker, and the exchange on it.

use crate::core::AttemptId;
use crate::http::{Body, EventStream};
use crate::policy::interface::{Micros, WorkerId};
use rustix::event::epoll::EventFlags;
use std::net::{SocketAddr, TcpStream};

/// How long the last byte of an attempt on a new connection may be in transit, as a multiple of the time that the connection
/// took to come up. That time is one round trip, and a handshake is up to two more (PROTOCOL, "Dispatchers to workers").
const HANDSHAKE_ROUND_TRIPS: Micros = 3;
/// A cancel to send to a worker.
pub(super) struct CancelRequest {
    pub worker: WorkerId,
    /// The request's name, by which the worker knows the job.
    pub name: String,
    /// The attempt that counts as ended only once the cancel is written.
    pub ending: Option<AttemptId>,
}

/// What a connection is used for. It carries one exchange at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exchange {
    /// An attempt: a client's request is forwarded.
    Attempt(AttemptId),
    /// A cancel: the worker is told to give a job up.
    Cancel {
        /// The attempt that counts as ended only once the cancel is written.
        ending: Option<AttemptId>,
    },
    /// A load probe.
    Probe,
}

impl Exchange {
    /// Whether it is an attempt.
    pub fn is_attempt(self) -> bool {
        matches!(self, Exchange::Attempt(_))
    }
}

/// The state of a connection and of the exchange on it.
pub(super) enum UpstreamState {
    /// The connection is not up yet.
    Connecting(Exchange),
    /// The response's head is awaited.
    Awaiting(Exchange),
    /// The body of a response is being read.
    ReadingBody(ResponseBody),
    /// The worker sends job statuses in an event stream.
    Streaming(StatusStream),
    /// There is no exchange.
    Idle,
}

/// The body of a response. That of a load probe is the load report.
pub(super) struct ResponseBody {
    pub exchange: Exchange,
    pub status: u16,
    pub body: Body,
    /// The decoded bytes of the body read so far.
    pub read: Vec<u8>,
    pub keep_alive: bool,
}

/// The event stream that answers an attempt.
pub(super) struct StatusStream {
    pub attempt: AttemptId,
    pub body: Body,
    pub events: EventStream,
}

/// How far the establishment of a connection has come.
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
    /// The address it is connected to. The worker may have another address by now.
    pub(super) address: Option<SocketAddr>,
    pub(super) state: UpstreamState,
    /// Whether it has carried an exchange before, or was adopted from another process.
    pub(super) is_reused: bool,
    /// The length of its attempt's request in bytes until the last byte is written; 0 before the request is encoded.
    pub(super) unwritten_length: Option<usize>,
    /// How long the first response of its exchange may take, in microseconds. An attempt's deadline ends it in any case.
    pub(super) response_timeout: Option<Micros>,
    /// When connecting began.
    pub(super) connect_started: Micros,
    /// How long the last byte of an attempt may be in transit, in microseconds.
    pub(super) transit_allowance: Micros,
    /// How long it must rest before it is used again, in microseconds; 0 if it need not.
    pub(super) cooldown: Micros,
}

impl UpstreamConnection {
    /// A connection that begins connecting at `now`, for an exchange.
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

    /// Tells from an event's flags, and the socket's error, whether the connection has come up.
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

    /// Records that the connection has come up and that the response to its exchange is awaited. Returns the time by which the
    /// first response must have come, if there is a limit.
    pub(super) fn on_connected(&mut self, exchange: Exchange, now: Micros) -> Option<Micros> {
        self.state = UpstreamState::Awaiting(exchange);
        let connect_time = now.saturating_sub(self.connect_started);
        self.transit_allowance = HANDSHAKE_ROUND_TRIPS * connect_time;
        self.response_timeout.map(|timeout| now + timeout)
    }

    /// The worker, if the connection is idle and need not rest.
    pub(in crate::server) fn idle_worker(&self) -> Option<WorkerId> {
        (matches!(self.state, UpstreamState::Idle) && self.cooldown == 0).then_some(self.worker)
    }
}
