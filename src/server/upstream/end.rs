//! The end of an exchange: its connection is over, or its time is up.

use super::UpstreamPool;
use super::connection::{CancelRequest, Exchange, ResponseBody, UpstreamConnection, UpstreamState};
use crate::core::{AttemptId, AttemptOutcome};
use crate::http::MAX_HEAD;
use crate::policy::interface::{Outcome, WorkerId};
use crate::server::connection::{Connection, ReadEnd};
use crate::server::connection_table::Role;
use crate::server::context::Context;
use crate::server::pending_requests::PendingRequests;
use crate::server::tokens::Token;

impl UpstreamPool {
    /// Handles the end of what the other side sends. A load probe's response may end with its connection; it counts then.
    pub(super) fn on_eof(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        connection: Connection,
        mut upstream: UpstreamConnection,
    ) {
        if let UpstreamState::ReadingBody(response) = &mut upstream.state
            && response.exchange == Exchange::Probe
            && response.body.ends_with_connection()
        {
            let body = std::mem::take(&mut response.read);
            self.on_load_probe_response(context, token, response.status, &body);
        }
        self.on_closed(context, pending, token, connection, upstream);
    }

    /// Closes a connection whose other side violates the protocol. If the faulty bytes came in response to an attempt that was
    /// written whole, the worker may have accepted it. Then only a cancel stops it, and that cancel is returned.
    pub(super) fn on_protocol_violation(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        connection: Connection,
        upstream: UpstreamConnection,
    ) -> Option<CancelRequest> {
        let taken = match upstream.state {
            UpstreamState::Awaiting(Exchange::Attempt(attempt)) if connection.outbox.is_empty() => {
                context.core.request_name(attempt)
            }
            _ => None,
        };
        let worker = upstream.worker;
        self.on_closed(context, pending, token, connection, upstream);
        taken.map(|name| CancelRequest { worker, name, ending: None })
    }

    /// Closes a connection that is over, and ends its exchange with an outcome that depends on how far it had come.
    pub(super) fn on_closed(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        connection: Connection,
        upstream: UpstreamConnection,
    ) {
        let is_written = connection.outbox.is_empty();
        let worker = upstream.worker;
        match &upstream.state {
            UpstreamState::Idle => self.remove_idle(worker, token),
            UpstreamState::Connecting(exchange) => {
                context.metrics.connect_failures += 1;
                self.on_exchange_failed(context, Some(token), worker, *exchange, Outcome::ConnectFailed);
            }
            UpstreamState::Awaiting(exchange) => {
                // Until its last byte is written, a request has not begun on any worker.
                if let Exchange::Attempt(attempt) = exchange
                    && upstream.is_reused
                {
                    pending.record_broken_attempt(attempt.request_id);
                }
                context.metrics.resets += 1;
                let outcome = outcome_of_break(is_written, upstream.is_reused);
                self.on_exchange_failed(context, Some(token), worker, *exchange, outcome);
            }
            UpstreamState::Streaming(stream) => {
                let exchange = Exchange::Attempt(stream.attempt);
                self.on_exchange_failed(context, Some(token), worker, exchange, Outcome::Reset);
            }
            UpstreamState::ReadingBody(ResponseBody { exchange: Exchange::Probe, .. }) => {
                self.on_exchange_failed(context, Some(token), worker, Exchange::Probe, Outcome::Reset);
            }
            UpstreamState::ReadingBody(_) => {} // the response's head has been processed
        }
        context.reactor.close(context.core, token, connection, Role::Upstream(upstream));
    }

    /// Ends an exchange that has got no response, or whose event stream broke off. `token` is its connection, if it had one.
    pub(super) fn on_exchange_failed(
        &mut self,
        context: &mut Context<'_>,
        token: Option<Token>,
        worker: WorkerId,
        exchange: Exchange,
        outcome: Outcome,
    ) {
        match exchange {
            Exchange::Attempt(attempt) => {
                self.attempts.remove(&attempt);
                end_attempt(context, attempt, outcome);
            }
            Exchange::Probe => self.on_load_probe_failed(context, token, worker, outcome),
            // Whether the cancel was answered or not, the attempt's connection is closed and its time is over.
            Exchange::Cancel { ending: Some(attempt) } => {
                self.attempts.remove(&attempt);
                end_attempt(context, attempt, Outcome::Cancelled);
            }
            Exchange::Cancel { ending: None } => {}
        }
    }

    /// Reports a failed load probe to the core. Without a connection, the probe was never sent, and its failure is reported with
    /// no elapsed time. With one, the failure is reported once only.
    fn on_load_probe_failed(
        &mut self,
        context: &mut Context<'_>,
        token: Option<Token>,
        worker: WorkerId,
        outcome: Outcome,
    ) {
        let sent_at = match token {
            None => context.now(),
            Some(token) => match self.probes.remove(&token) {
                Some(probe) => probe.sent_at,
                None => return,
            },
        };
        context.core.on_probe_response(worker, outcome, context.now().saturating_sub(sent_at), None);
    }

    /// Handles the deadline of a connection. Returns the cancel to send, if any.
    pub(super) fn on_timer(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        mut connection: Connection,
        mut upstream: UpstreamConnection,
    ) -> Option<CancelRequest> {
        let is_written = connection.outbox.is_empty();
        if is_written && matches!(upstream.state, UpstreamState::Awaiting(Exchange::Attempt(_))) {
            // After a long turn, the response may have arrived and not been read yet.
            let end = connection.fill(MAX_HEAD);
            let is_sound = self.read(context, token, &mut connection, &mut upstream);
            let is_answered = !matches!(upstream.state, UpstreamState::Awaiting(_));
            let is_open = matches!(end, ReadEnd::WouldBlock | ReadEnd::LimitReached);
            if is_answered && is_sound && is_open {
                self.finish_event(context, pending, token, connection, upstream);
                return None;
            }
            if is_answered {
                self.on_eof(context, pending, token, connection, upstream);
                return None;
            }
        }
        match upstream.state {
            UpstreamState::Idle if upstream.cooldown > 0 => {
                upstream.cooldown = 0;
                self.finish_event(context, pending, token, connection, upstream);
            }
            UpstreamState::Awaiting(Exchange::Attempt(attempt)) if is_written => {
                return self.on_attempt_unanswered(context, pending, token, connection, upstream, attempt);
            }
            _ => self.on_closed(context, pending, token, connection, upstream),
        }
        None
    }

    /// Ends an attempt that was written and got no response in time. The worker may have read it. Closing the connection gives
    /// the attempt up, and the request is retried elsewhere instead of waiting until its deadline. If a response was lost or is
    /// in flight, the worker has accepted the job. Then only a cancel stops it, so a cancel is returned.
    fn on_attempt_unanswered(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        connection: Connection,
        upstream: UpstreamConnection,
        attempt: AttemptId,
    ) -> Option<CancelRequest> {
        // This is no fault of the worker, whose other connections serve, so it does not count against it. If its machine is
        // gone, new connections to it will not come up, and that does count.
        context.metrics.untaken += 1;
        pending.record_broken_attempt(attempt.request_id);
        let worker = upstream.worker;
        let name = context.core.request_name(attempt);
        // If two attempts must not be under way at once, the next one starts only after the cancel is written.
        let ending = Some(attempt).filter(|_| !context.config.settings.may_hedge);
        self.attempts.remove(&attempt);
        context.reactor.close(context.core, token, connection, Role::Upstream(upstream));
        if ending.is_none() || name.is_none() {
            self.on_exchange_failed(context, None, worker, Exchange::Attempt(attempt), Outcome::Cancelled);
        }
        name.map(|name| CancelRequest { worker, name, ending })
    }
}

/// The outcome of an exchange whose connection broke before a response. A reused connection that breaks under the next request
/// was closed in the meantime. That says nothing about the worker, so it does not count against it. If the worker's process
/// died, new connections are refused, and that does count.
fn outcome_of_break(is_written: bool, is_reused: bool) -> Outcome {
    match (is_written, is_reused) {
        (true, true) => Outcome::Cancelled,
        (true, false) => Outcome::Reset,
        (false, true) => Outcome::NeverSent,
        (false, false) => Outcome::ConnectFailed,
    }
}

/// Reports to the core that an attempt has ended without a result.
pub(super) fn end_attempt(context: &mut Context<'_>, attempt: AttemptId, outcome: Outcome) {
    context.core.on_attempt_ended(context.now(), attempt, AttemptOutcome::Unserved(outcome), None);
}
