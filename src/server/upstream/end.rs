//! The end of an exchange, because its connection has ended or its deadline has passed.

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
    /// Handles the end of the bytes that the worker sends. The response to a load probe may be delimited by the end of its
    /// connection, and is complete then.
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
            let body = std::mem::take(&mut response.decoded);
            self.on_load_probe_response(context, token, response.status, &body);
        }
        self.on_closed(context, pending, token, connection, upstream);
    }

    /// Closes a connection whose worker violates the protocol. If the invalid bytes came in response to an attempt that was
    /// written completely, the worker may have accepted the job. Then only a cancel stops the job, and that cancel is returned.
    pub(super) fn on_protocol_violation(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        connection: Connection,
        upstream: UpstreamConnection,
    ) -> Option<CancelRequest> {
        let accepted_request = match upstream.state {
            UpstreamState::AwaitingResponse(Exchange::Attempt(attempt))
                if connection.write_queue.is_empty() =>
            {
                context.core.request_name(attempt)
            }
            _ => None,
        };
        let worker = upstream.worker;
        self.on_closed(context, pending, token, connection, upstream);
        accepted_request.map(|name| CancelRequest { worker, name, ending_attempt: None })
    }

    /// Closes a connection that is over, and ends its exchange with an outcome that depends on the state of the exchange.
    pub(super) fn on_closed(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        connection: Connection,
        upstream: UpstreamConnection,
    ) {
        let is_written = connection.write_queue.is_empty();
        let worker = upstream.worker;
        match &upstream.state {
            UpstreamState::Idle => self.remove_idle(worker, token),
            UpstreamState::Connecting(exchange) => {
                context.metrics.connect_failures += 1;
                self.on_exchange_failed(context, Some(token), worker, *exchange, Outcome::ConnectFailed);
            }
            UpstreamState::AwaitingResponse(exchange) => {
                // Until its last byte is written, a request has not begun on any worker.
                if let Exchange::Attempt(attempt) = exchange
                    && upstream.is_reused
                {
                    pending.record_broken_attempt(attempt.request_id);
                }
                context.metrics.resets += 1;
                let outcome = outcome_of_broken_connection(is_written, upstream.is_reused);
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
            // With or without a response to the cancel, the attempt's connection is closed and its time has passed.
            Exchange::Cancel { ending_attempt: Some(attempt) } => {
                self.attempts.remove(&attempt);
                end_attempt(context, attempt, Outcome::Cancelled);
            }
            Exchange::Cancel { ending_attempt: None } => {}
        }
    }

    /// Reports a failed load probe to the core. A probe without a connection was never sent, and its failure is reported with
    /// an elapsed time of 0. The failure of a probe with a connection is reported only once.
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
        let is_written = connection.write_queue.is_empty();
        if is_written && matches!(upstream.state, UpstreamState::AwaitingResponse(Exchange::Attempt(_))) {
            // After a long turn, the response may have arrived and not been read yet.
            let end = connection.fill(MAX_HEAD);
            let is_valid = self.read(context, token, &mut connection, &mut upstream);
            let has_response = !matches!(upstream.state, UpstreamState::AwaitingResponse(_));
            let is_open = matches!(end, ReadEnd::WouldBlock | ReadEnd::LimitReached);
            if has_response && is_valid && is_open {
                self.finish_event(context, pending, token, connection, upstream);
                return None;
            }
            if has_response {
                self.on_eof(context, pending, token, connection, upstream);
                return None;
            }
        }
        match upstream.state {
            UpstreamState::AwaitingResponse(Exchange::Attempt(attempt)) if is_written => {
                return self.on_attempt_unanswered(context, pending, token, connection, upstream, attempt);
            }
            _ => self.on_closed(context, pending, token, connection, upstream),
        }
        None
    }

    /// Ends an attempt that was written and got no response in time. The worker may have read it. Closing the connection cancels
    /// the attempt, and the request is retried elsewhere instead of waiting until its deadline. If a response was lost or is in
    /// flight, the worker has accepted the job. Then only a cancel stops the job, so a cancel is returned.
    fn on_attempt_unanswered(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        connection: Connection,
        upstream: UpstreamConnection,
        attempt: AttemptId,
    ) -> Option<CancelRequest> {
        // The worker's other connections may be working, so this does not count as its failure. If its machine is down, new
        // connections to it fail, and those do count.
        context.metrics.attempts_unanswered += 1;
        pending.record_broken_attempt(attempt.request_id);
        let worker = upstream.worker;
        let name = context.core.request_name(attempt);
        // If two attempts of a request must not run at once, the next one starts only after the cancel is written.
        let ending_attempt = Some(attempt).filter(|_| !context.config.settings.may_hedge);
        self.attempts.remove(&attempt);
        context.reactor.close(context.core, token, connection, Role::Upstream(upstream));
        if ending_attempt.is_none() || name.is_none() {
            self.on_exchange_failed(context, None, worker, Exchange::Attempt(attempt), Outcome::Cancelled);
        }
        name.map(|name| CancelRequest { worker, name, ending_attempt })
    }
}

/// The outcome of an exchange whose connection broke before a response. A reused connection that breaks under the next request
/// was closed in the meantime. That does not indicate a fault of the worker, so it does not count as its failure. If the worker's
/// process has ended, new connections are refused, and those do count.
fn outcome_of_broken_connection(is_written: bool, is_reused: bool) -> Outcome {
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
