//! Attempts, cancels and load probes: each gets an idle connection to its worker, or a new one.

use super::UpstreamPool;
use super::connection::{AttemptId, CancelRequest, Exchange, UpstreamConnection, UpstreamState};
use super::end::end_attempt;
use super::{PendingProbe, SIDE_EXCHANGE_TIMEOUT, max_idle_time};
use crate::core::RequestId;
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

/// What is to be sent to a worker, and how.
struct OutgoingExchange {
    worker: WorkerId,
    exchange: Exchange,
    /// How long the first response may take.
    response_timeout: Option<Micros>,
    /// The message; an attempt's is encoded at its first byte.
    pieces: Vec<Piece>,
    /// An idle connection will not do.
    needs_new_connection: bool,
}

/// A connection that was taken out of the pool.
struct IdleUpstream {
    token: Token,
    connection: Connection,
    upstream: UpstreamConnection,
}

/// What concerns clients as well: the client of an attempt may have disconnected, and a new connection needs a descriptor, for
/// which an idle one of a client may be closed.
impl Server {
    /// Forwards a request to a worker, unless its client has disconnected.
    pub(in crate::server) fn start_attempt(&mut self, request_id: RequestId, number: u32, worker: WorkerId) {
        if self.polled_at.is_old(self.clock.elapsed()) {
            self.clients.cancel_if_disconnected(&mut client_context!(self), request_id);
        }
        let attempt = AttemptId { request_id, number };
        if !self.pending.contains(request_id) {
            // Its client left in the meantime: nothing goes out any more, which shows nothing of the worker.
            return end_attempt(&mut context!(self), attempt, Outcome::NeverSent);
        }
        self.metrics.attempts += 1;
        let outgoing = OutgoingExchange {
            worker,
            exchange: Exchange::Attempt(attempt),
            // A worker answers as soon as it has read: one that says nothing for as long as its machine may take to answer
            // a connection has one that fell silent, and no reset comes. What could not be sent again is waited for.
            response_timeout: self.core.accept_timeout(request_id, self.config.connect_timeout),
            pieces: Vec::new(),
            // A request has few attempts: once a kept connection has cost it one, the others go out on new ones.
            needs_new_connection: self.pending.has_broken_attempt(request_id),
        };
        if let Some(token) = self.assign_connection(outgoing) {
            self.upstream.attempts.insert(attempt, token);
            self.upstream.start_exchange(&mut context!(self), &mut self.pending, token);
        }
    }

    /// Gives an attempt up: by closing its connection, or by a cancel where its response has come.
    pub(in crate::server) fn cancel_attempt(
        &mut self,
        request_id: RequestId,
        number: u32,
        worker: WorkerId,
        name: String,
    ) {
        match self.upstream.attempts.remove(&AttemptId { request_id, number }) {
            // Not answered yet, or streaming: closing the connection cancels it.
            Some(token) => self.reactor.close_token(&mut self.core, token),
            None => self.send_cancel(&CancelRequest { worker, name, ending: None }),
        }
    }

    /// Sends a worker a cancel of a job, where that is allowed. The attempt that is ending counts as ended then.
    pub(super) fn send_cancel(&mut self, cancel: &CancelRequest) {
        let CancelRequest { worker, ref name, ending } = *cancel;
        let exchange = Exchange::Cancel { ending };
        let is_listed = self.core.endpoints.get(worker).is_some_and(|endpoint| !endpoint.removed);
        if !is_listed || !self.config.settings.may_cancel {
            let context = &mut context!(self);
            return self.upstream.on_exchange_failed(context, None, worker, exchange, Outcome::Cancelled);
        }
        let outgoing = OutgoingExchange {
            worker,
            exchange,
            response_timeout: Some(SIDE_EXCHANGE_TIMEOUT),
            pieces: platform::cancel(name),
            needs_new_connection: false,
        };
        if let Some(token) = self.assign_connection(outgoing) {
            if let Some(attempt) = ending {
                self.upstream.attempts.insert(attempt, token);
            }
            self.upstream.start_exchange(&mut context!(self), &mut self.pending, token);
        }
    }

    /// Sends a worker a load probe.
    pub(in crate::server) fn send_load_probe(&mut self, worker: WorkerId) {
        let outgoing = OutgoingExchange {
            worker,
            exchange: Exchange::Probe,
            response_timeout: Some(SIDE_EXCHANGE_TIMEOUT),
            pieces: platform::load_probe(),
            needs_new_connection: false,
        };
        if let Some(token) = self.assign_connection(outgoing) {
            let probe = PendingProbe { worker, sent_at: self.clock.now() };
            self.upstream.probes.insert(token, probe);
            self.upstream.start_exchange(&mut context!(self), &mut self.pending, token);
        }
    }

    /// Gives an exchange an idle connection, or a new one. `None` if there can be none: then it has failed already.
    fn assign_connection(&mut self, outgoing: OutgoingExchange) -> Option<Token> {
        let address = self.core.endpoints.get(outgoing.worker).map(|endpoint| endpoint.address);
        if !outgoing.needs_new_connection
            && let Some(idle) = self.upstream.take_idle(&mut context!(self), outgoing.worker, address)
        {
            return Some(idle.reuse(&mut self.reactor, outgoing));
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
    fn reuse(self, reactor: &mut Reactor, outgoing: OutgoingExchange) -> Token {
        let IdleUpstream { token, mut connection, mut upstream } = self;
        connection.outbox.push(outgoing.pieces);
        upstream.reuse(outgoing.exchange, outgoing.response_timeout);
        reactor.put(token, connection, Role::Upstream(upstream));
        token
    }
}

impl UpstreamPool {
    /// Takes an idle connection over from another process; it may stay idle for so long.
    pub(in crate::server) fn adopt(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        worker: WorkerId,
        connection: Connection,
        idle_time_left: Micros,
    ) {
        let upstream = UpstreamConnection::adopted(worker, connection.stream.peer_addr().ok(), context.now());
        let Some(token) = context.reactor.add(connection, Role::Upstream(upstream)) else { return };
        let Some((connection, Role::Upstream(upstream))) = context.reactor.take(token) else { return };
        self.finish_event(context, pending, token, connection, upstream);
        if let Some((mut connection, role)) = context.reactor.take(token) {
            let until = context.now() + idle_time_left.min(max_idle_time(context.config));
            connection.set_timer(context.core, token, Some(until));
            context.reactor.put(token, connection, role);
        }
    }

    /// Takes the freshest idle connection to a worker that can still be used, and closes those that cannot.
    fn take_idle(
        &mut self,
        context: &mut Context<'_>,
        worker: WorkerId,
        address: Option<SocketAddr>,
    ) -> Option<IdleUpstream> {
        while let Some(token) = self.pop_idle(worker) {
            let Some((mut connection, Role::Upstream(upstream))) = context.reactor.take(token) else {
                continue;
            };
            // Its worker has another address now, or has ended it, or has sent something unsolicited: what arrives before a
            // request cannot be the response to it.
            if upstream.address != address || connection.has_ended(1) || !connection.inbox.is_empty() {
                context.reactor.close(context.core, token, connection, Role::Upstream(upstream));
                continue;
            }
            return Some(IdleUpstream { token, connection, upstream });
        }
        None
    }

    /// Begins a new connection to a worker for an exchange.
    fn connect(
        &mut self,
        context: &mut Context<'_>,
        outgoing: OutgoingExchange,
        address: Option<SocketAddr>,
    ) -> Option<Token> {
        let OutgoingExchange { worker, exchange, response_timeout, pieces, .. } = outgoing;
        let connection = address.and_then(|at| Connection::connect(at).ok());
        context.metrics.connects += 1;
        let token = connection.and_then(|mut connection| {
            connection.outbox.push(pieces);
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

    /// An exchange has no connection since all descriptors are at work here, which shows nothing of the worker.
    fn on_no_descriptor(&mut self, context: &mut Context<'_>, outgoing: &OutgoingExchange) {
        context.metrics.connects += 1;
        context.metrics.connect_failures += 1;
        self.on_exchange_failed(context, None, outgoing.worker, outgoing.exchange, Outcome::NeverSent);
    }

    /// Sets an exchange going on its connection.
    fn start_exchange(&mut self, context: &mut Context<'_>, pending: &mut PendingRequests, token: Token) {
        let Some((mut connection, Role::Upstream(upstream))) = context.reactor.take(token) else { return };
        let timeout = match upstream.state {
            UpstreamState::Connecting(_) => Some(context.config.connect_timeout),
            UpstreamState::Awaiting(_) => upstream.response_timeout,
            _ => None,
        };
        let deadline = timeout.map(|timeout| context.now() + timeout);
        connection.set_timer(context.core, token, deadline);
        if matches!(upstream.state, UpstreamState::Connecting(_)) {
            context.reactor.await_connected(token, &mut connection); // the message waits until then
            return context.reactor.put(token, connection, Role::Upstream(upstream));
        }
        self.finish_event(context, pending, token, connection, upstream);
    }
}
