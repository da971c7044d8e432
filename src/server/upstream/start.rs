//! Starting exchanges: each attempt, cancel or load probe gets an idle connection to its worker, or a new one.

use super::UpstreamPool;
use super::attribution::Attribution;
use super::connection::{CancelRequest, Exchange, UpstreamConnection, UpstreamState};
use super::end::end_attempt;
use super::idle_pool::Reuse;
use super::{CANCEL_OR_PROBE_TIMEOUT, PendingProbe, copy_window, max_idle_time};
use crate::core::AttemptId;
use crate::core::endpoint_table::Endpoint;
use crate::http::Piece;
use crate::policy::interface::{Micros, Outcome, WorkerId};
use crate::protocol::platform;
use crate::server::Server;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::{Context, context};
use crate::server::downstream::context::client_context;
use crate::server::pending_requests::PendingRequests;
use crate::server::reactor::Reactor;
use crate::server::tokens::Token;
use std::net::SocketAddr;

/// A message to send to a worker, and how to send it.
struct OutgoingExchange {
    worker: WorkerId,
    exchange: Exchange,
    /// How long the first response may take, in microseconds.
    response_timeout: Option<Micros>,
    /// The message. It is empty for an attempt, whose request is encoded just before its first byte is written.
    message: Vec<Piece>,
    /// Whether an idle connection must not be used.
    needs_new_connection: bool,
    /// Which idle connections may be used.
    reuse: Reuse,
}

/// A connection that was taken out of the pool.
struct IdleUpstream {
    token: Token,
    connection: Connection,
    upstream: UpstreamConnection,
}

/// Methods of the server, since they involve clients too: the client of an attempt may have disconnected, and a new connection
/// needs a descriptor, for which an idle connection of a client may be closed.
impl Server {
    /// Starts an attempt: forwards a request to a worker. If its client has disconnected, the attempt ends as
    /// [`Outcome::NeverSent`].
    pub(in crate::server) fn start_attempt(&mut self, attempt: AttemptId, worker: WorkerId) {
        let request_id = attempt.request_id;
        if self.polls.is_old(self.clock.now()) {
            self.refresh_before_send();
        }
        let is_poll_old = self.polls.is_old(self.clock.now());
        let context = &mut client_context!(self);
        if is_poll_old || self.clients.has_bytes_after(context, request_id) {
            self.clients.cancel_if_disconnected(context, request_id);
        }
        if !self.pending.contains(request_id) {
            // The client has disconnected in the meantime. Nothing is sent, and the worker is not at fault.
            return end_attempt(&mut context!(self), attempt, Outcome::NeverSent);
        }
        self.metrics.attempts += 1;
        let outgoing = OutgoingExchange {
            worker,
            exchange: Exchange::Attempt(attempt),
            // A worker responds as soon as it has read the request. If there is no response within the connect timeout, the
            // connection is taken to be dead, although it was not reset. A request that could not be retried has no such limit:
            // its response is awaited.
            response_timeout: self.core.accept_timeout(request_id, self.config.connect_timeout),
            message: Vec::new(),
            // A request has few attempts. Once it has lost one to a broken reused connection, the others use new connections.
            needs_new_connection: self.pending.has_broken_attempt(request_id),
            // The response to an earlier exchange must not be taken for a proof that this attempt never ran.
            reuse: if self.core.may_repeat_anywhere(request_id) { Reuse::Rested } else { Reuse::Certain },
        };
        if let Some(token) = self.assign_connection(outgoing) {
            self.upstream.attempts.insert(attempt, token);
            self.upstream.start_exchange(&mut context!(self), &mut self.pending, token);
        }
    }

    /// Cancels an attempt: by closing its connection, or by a cancel message if its first response has been read.
    pub(in crate::server) fn cancel_attempt(&mut self, attempt: AttemptId, worker: WorkerId, name: String) {
        match self.upstream.attempts.remove(&attempt) {
            // The attempt has no response yet, or its event stream is being read: closing the connection cancels it.
            Some(token) => self.reactor.close_token(&mut self.core, token),
            None => self.send_cancel(&CancelRequest { worker, name, ending_attempt: None }),
        }
    }

    /// Sends a worker the cancel of a job, if the settings allow cancels and the worker is listed. The attempt in
    /// [`CancelRequest::ending_attempt`] ends once the cancel is written, or at once if no cancel is sent.
    pub(super) fn send_cancel(&mut self, cancel: &CancelRequest) {
        let CancelRequest { worker, ref name, ending_attempt } = *cancel;
        let exchange = Exchange::Cancel { ending_attempt };
        let is_listed = self.core.endpoints().get(worker).is_some_and(|endpoint| !endpoint.is_removed());
        if !is_listed || !self.config.settings.may_cancel {
            let context = &mut context!(self);
            return self.upstream.on_exchange_failed(context, None, worker, exchange, Outcome::Cancelled);
        }
        let outgoing = OutgoingExchange {
            worker,
            exchange,
            response_timeout: Some(CANCEL_OR_PROBE_TIMEOUT),
            message: platform::cancel(name),
            needs_new_connection: false,
            reuse: Reuse::Rested,
        };
        if let Some(token) = self.assign_connection(outgoing) {
            if let Some(attempt) = ending_attempt {
                self.upstream.attempts.insert(attempt, token);
            }
            self.upstream.start_exchange(&mut context!(self), &mut self.pending, token);
        }
    }

    pub(in crate::server) fn send_load_probe(&mut self, worker: WorkerId) {
        let outgoing = OutgoingExchange {
            worker,
            exchange: Exchange::Probe,
            response_timeout: Some(CANCEL_OR_PROBE_TIMEOUT),
            message: platform::load_probe(),
            needs_new_connection: false,
            reuse: Reuse::Rested,
        };
        if let Some(token) = self.assign_connection(outgoing) {
            let probe = PendingProbe { worker, sent_at: self.clock.now() };
            self.upstream.probes.insert(token, probe);
            self.upstream.start_exchange(&mut context!(self), &mut self.pending, token);
        }
    }

    /// Assigns an idle connection, or a new one, to an exchange. Returns `None` if there is neither; the failure of the exchange
    /// has been reported then.
    fn assign_connection(&mut self, outgoing: OutgoingExchange) -> Option<Token> {
        let address = self.core.endpoints().get(outgoing.worker).map(Endpoint::address);
        if !outgoing.needs_new_connection
            && let Some(idle) = self.upstream.take_idle(&mut context!(self), &outgoing, address)
        {
            return Some(idle.reuse(&mut self.reactor, outgoing, self.clock.now()));
        }
        if address.is_some() && !self.ensure_descriptor(0) {
            self.upstream.on_no_descriptor(&mut context!(self), &outgoing);
            return None;
        }
        self.upstream.connect(&mut context!(self), outgoing, address)
    }
}

impl IdleUpstream {
    /// Uses the connection for an exchange.
    fn reuse(self, reactor: &mut Reactor, outgoing: OutgoingExchange, now: Micros) -> Token {
        let IdleUpstream { token, mut connection, mut upstream } = self;
        connection.write_queue.push(outgoing.message);
        upstream.reuse(outgoing.exchange, outgoing.response_timeout, now);
        reactor.put(token, connection, Role::Upstream(upstream));
        token
    }
}

impl UpstreamPool {
    /// Adopts an idle connection from another process. The connection may stay idle for `idle_time_left` microseconds, but no
    /// longer than [`max_idle_time`].
    pub(in crate::server) fn adopt(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        worker: WorkerId,
        connection: Connection,
        idle_time_left: Micros,
    ) {
        let (address, now) = (connection.stream.peer_addr().ok(), context.now());
        let upstream = UpstreamConnection::adopted(
            worker,
            address,
            now,
            Attribution::adopted(now, copy_window(context.config)),
        );
        let Some(token) = context.reactor.add(connection, Role::Upstream(upstream)) else { return };
        let Some((connection, Role::Upstream(upstream))) = context.reactor.take(token) else { return };
        self.finish_event(context, pending, token, connection, upstream);
        if let Some((mut connection, role)) = context.reactor.take(token) {
            let until = context.now() + idle_time_left.min(max_idle_time(context.config));
            connection.set_timer(context.core, token, Some(until));
            context.reactor.put(token, connection, role);
        }
    }

    /// Takes an idle connection to a worker that an exchange may use, and closes the unusable ones that it finds before.
    fn take_idle(
        &mut self,
        context: &mut Context<'_>,
        outgoing: &OutgoingExchange,
        address: Option<SocketAddr>,
    ) -> Option<IdleUpstream> {
        let now = context.now();
        while let Some(token) = self
            .idle
            .take_rested(outgoing.worker, now, outgoing.reuse, |attempt| context.core.has_started(attempt))
        {
            let Some((mut connection, Role::Upstream(upstream))) = context.reactor.take(token) else {
                continue;
            };
            // Unusable: the worker has another address now, has ended the connection, or has sent unsolicited bytes.
            // Bytes that arrive before a request is sent cannot be the response to it.
            let is_unusable = upstream.address != address || connection.has_ended(1);
            let has_bytes = !connection.read_buffer.is_empty();
            if has_bytes && upstream.uncertain_attempt.is_some() {
                // The event for these bytes, which is still to come, reads the response to the attempt.
                context.reactor.put(token, connection, Role::Upstream(upstream));
                continue;
            }
            if has_bytes {
                self.unsolicited.record(context, &connection, &upstream);
            }
            if is_unusable || has_bytes {
                context.reactor.close(context.core, token, connection, Role::Upstream(upstream));
                continue;
            }
            return Some(IdleUpstream { token, connection, upstream });
        }
        None
    }

    /// Begins a new connection to a worker for an exchange. Returns `None` if that fails or there is no address; the exchange
    /// has then ended as [`Outcome::ConnectFailed`].
    fn connect(
        &mut self,
        context: &mut Context<'_>,
        outgoing: OutgoingExchange,
        address: Option<SocketAddr>,
    ) -> Option<Token> {
        let OutgoingExchange { worker, exchange, response_timeout, message, .. } = outgoing;
        let connection = address.and_then(|at| Connection::connect(at).ok());
        context.metrics.connects += 1;
        let token = connection.and_then(|mut connection| {
            connection.write_queue.push(message);
            let now = context.now();
            let upstream = UpstreamConnection::connecting(worker, address, exchange, response_timeout, now);
            context.reactor.add(connection, Role::Upstream(upstream))
        });
        if token.is_none() {
            context.metrics.connect_failures += 1;
            self.on_exchange_failed(context, None, worker, exchange, Outcome::ConnectFailed);
        }
        token
    }

    /// Ends an exchange that gets no connection because all descriptors of this process are in use. That is not a failure of the
    /// worker.
    fn on_no_descriptor(&mut self, context: &mut Context<'_>, outgoing: &OutgoingExchange) {
        context.metrics.connects += 1;
        context.metrics.connect_failures += 1;
        self.on_exchange_failed(context, None, outgoing.worker, outgoing.exchange, Outcome::NeverSent);
    }

    /// Starts an exchange on its connection: sets the deadline, and writes the message if the connection is established.
    fn start_exchange(&mut self, context: &mut Context<'_>, pending: &mut PendingRequests, token: Token) {
        let Some((mut connection, Role::Upstream(upstream))) = context.reactor.take(token) else { return };
        let timeout = match upstream.state {
            UpstreamState::Connecting(_) => Some(context.config.connect_timeout),
            UpstreamState::AwaitingResponse(_) => upstream.response_timeout,
            _ => None,
        };
        let deadline = timeout.map(|timeout| context.now() + timeout);
        connection.set_timer(context.core, token, deadline);
        if matches!(upstream.state, UpstreamState::Connecting(_)) {
            context.reactor.await_connected(token, &mut connection); // the message is written once the connection is established
            return context.reactor.put(token, connection, Role::Upstream(upstream));
        }
        self.finish_event(context, pending, token, connection, upstream);
    }
}
