//! One connection to a worker, and the exchange on it.

use super::attribution::Attribution;
use crate::core::AttemptId;
use crate::http::{Body, EventStream};
use crate::policy::interface::{Micros, WorkerId};
use rustix::event::epoll::EventFlags;
use std::net::{SocketAddr, TcpStream};

/// How long the last byte of an attempt on a new connection may be in transit, as a multiple of the time that connecting took.
/// Connecting takes one round trip, and a handshake up to two more (PROTOCOL, "Dispatchers to workers").
const HANDSHAKE_ROUND_TRIPS: Micros = 3;

/// A cancel to send to a worker.
pub(super) struct CancelRequest {
    pub worker: WorkerId,
    /// The request's id, by which the worker identifies the job.
    pub name: String,
    /// The attempt that ends only once the cancel is written; `None` if no attempt depends on it.
    pub ending_attempt: Option<AttemptId>,
}

/// The exchange that a connection carries, of which there is at most one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exchange {
    /// An attempt: a forwarded client request.
    Attempt(AttemptId),
    /// A cancel: the worker is asked to stop a job.
    Cancel {
        /// The attempt that ends only once the cancel is written; `None` if no attempt depends on it.
        ending_attempt: Option<AttemptId>,
    },
    /// A load probe.
    Probe,
}

impl Exchange {
    pub fn is_attempt(self) -> bool {
        matches!(self, Exchange::Attempt(_))
    }
}

/// The state of a connection and of the exchange on it.
pub(super) enum UpstreamState {
    /// The connection is not established yet.
    Connecting(Exchange),
    /// The response's head is awaited.
    AwaitingResponse(Exchange),
    /// The body of a response is being read.
    ReadingBody(ResponseBody),
    /// The worker sends job statuses in an event stream.
    Streaming(StatusStream),
    /// There is no exchange.
    Idle,
}

/// A response whose body is being read. The body of the response to a load probe is the load report.
pub(super) struct ResponseBody {
    pub exchange: Exchange,
    pub status: u16,
    pub body: Body,
    /// The decoded bytes of the body read so far.
    pub decoded: Vec<u8>,
    pub keep_alive: bool,
}

/// The event stream with which a worker responds to an attempt.
pub(super) struct StatusStream {
    pub attempt: AttemptId,
    pub body: Body,
    pub events: EventStream,
}

/// The progress of establishing a connection.
pub(super) enum ConnectProgress {
    /// The connection had been established before.
    Established,
    /// The connection has just been established, for this exchange.
    Connected(Exchange),
    /// The connection is not established yet.
    Pending,
    /// The connection could not be established.
    Failed,
}

/// A connection to a worker.
pub(in crate::server) struct UpstreamConnection {
    pub(super) worker: WorkerId,
    /// The address that the connection was made to. The worker may have another address by now.
    pub(super) address: Option<SocketAddr>,
    pub(super) state: UpstreamState,
    /// Whether the connection has carried an exchange before, or was adopted from another process.
    pub(super) is_reused: bool,
    /// The length of the attempt's request in bytes, until its last byte is written; 0 before the request is encoded.
    pub(super) unwritten_length: Option<usize>,
    /// How long the first response of the exchange may take, in microseconds; `None` if there is no limit other than the
    /// attempt's deadline.
    pub(super) response_timeout: Option<Micros>,
    /// When connecting began.
    pub(super) connect_started: Micros,
    /// How long the last byte of an attempt may be in transit, in microseconds.
    pub(super) transit_allowance: Micros,
    pub(super) attribution: Attribution,
    /// The attempt whose acceptance is the last response, if that response may be a copy of an earlier one. The attempt's own
    /// response may still arrive.
    pub(super) uncertain_attempt: Option<AttemptId>,
    /// Whether more responses have arrived than requests were written. Such a connection is not used again.
    pub(super) has_surplus_response: bool,
}

impl UpstreamConnection {
    /// Creates the state of a connection that begins connecting at `now`, for an exchange.
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
            attribution: Attribution::default(),
            uncertain_attempt: None,
            has_surplus_response: false,
        }
    }

    /// Creates the state of an idle connection that another process has handed over.
    pub(super) fn adopted(
        worker: WorkerId,
        address: Option<SocketAddr>,
        now: Micros,
        attribution: Attribution,
    ) -> UpstreamConnection {
        UpstreamConnection {
            worker,
            address,
            state: UpstreamState::Idle,
            is_reused: true,
            unwritten_length: None,
            response_timeout: None,
            connect_started: now,
            transit_allowance: 0,
            attribution,
            uncertain_attempt: None,
            has_surplus_response: false,
        }
    }

    /// Uses an idle connection for an exchange that starts at `now`.
    pub(super) fn reuse(&mut self, exchange: Exchange, response_timeout: Option<Micros>, now: Micros) {
        self.state = UpstreamState::AwaitingResponse(exchange);
        self.is_reused = true;
        self.unwritten_length = exchange.is_attempt().then_some(0);
        self.response_timeout = response_timeout;
        self.transit_allowance = 0;
        self.attribution.on_exchange_started(now);
        self.uncertain_attempt = None;
    }

    /// Determines from an event's flags and the socket's error whether the connection is established.
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

    /// Records that the connection is established and that the response to its exchange is awaited. Returns the time by which
    /// the first response must have arrived, if there is a limit.
    pub(super) fn on_connected(&mut self, exchange: Exchange, now: Micros) -> Option<Micros> {
        self.state = UpstreamState::AwaitingResponse(exchange);
        let connect_time = now.saturating_sub(self.connect_started);
        self.transit_allowance = HANDSHAKE_ROUND_TRIPS * connect_time;
        self.response_timeout.map(|timeout| now + timeout)
    }

    /// The worker, if the connection is idle and may carry an exchange.
    pub(in crate::server) fn rested_worker(&self, now: Micros) -> Option<WorkerId> {
        let is_rested = matches!(self.state, UpstreamState::Idle) && self.attribution.rested_at() <= now;
        is_rested.then_some(self.worker)
    }
}
