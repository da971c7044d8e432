//! The end of an exchange: its connection is over, or its time.

use super::UpstreamPool;
use super::connection::{
    AttemptId, CancelRequest, Exchange, ResponseBody, UpstreamConnection, UpstreamState,
};
use crate::core::AttemptOutcome;
use crate::http::MAX_HEAD;
use crate::policy::interface::{Outcome, WorkerId};
use crate::server::connection::{Connection, ReadEnd};
use crate::server::connection_table::Role;
use crate::server::context::Context;
use crate::server::pending_requests::PendingRequests;
use crate::server::tokens::Token;

impl UpstreamPool {
    /// The other side has ended its sending.
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

    /// The other side does not keep to the protocol. Where that was its response to an attempt it may have taken it, and then
    /// only a cancel stops it, which is returned.
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
                context.core.request_name(attempt.request_id, attempt.number)
            }
            _ => None,
        };
        let worker = upstream.worker;
        self.on_closed(context, pending, token, connection, upstream);
        taken.map(|name| CancelRequest { worker, name, ending: None })
    }

    /// The connection is over; so is what it was used for.
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
                // Before its last byte is written a request has not begun anywhere.
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
            UpstreamState::ReadingBody(_) => {} // what its head said has been used
        }
        context.reactor.close(context.core, token, connection, Role::Upstream(upstream));
    }

    /// An exchange is over without a response. `token` is its connection, if it had one.
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
            // Answered or not, its connection is closed and its time over.
            Exchange::Cancel { ending: Some(attempt) } => {
                self.attempts.remove(&attempt);
                end_attempt(context, attempt, Outcome::Cancelled);
            }
            Exchange::Cancel { ending: None } => {}
        }
    }

    /// A load probe has failed: without a connection it never went out; with one it fails once.
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

    /// The deadline of a connection has come. Returns the cancel that is to be sent.
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
            // After a long turn its response may be here, unread.
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

    /// An attempt that is written has no response in time. The worker may have read it. Closing the connection gives it up, and
    /// the request is retried elsewhere instead of waiting until its deadline. Where a response is lost or in flight, the
    /// worker has taken the job: then only a cancel stops it, which is returned.
    fn on_attempt_unanswered(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        connection: Connection,
        upstream: UpstreamConnection,
        attempt: AttemptId,
    ) -> Option<CancelRequest> {
        // That is no fault of the worker, whose other connections serve: it is not held against it. If its
        // machine is gone, new connections to it will not come up, which is.
        context.metrics.untaken += 1;
        pending.record_broken_attempt(attempt.request_id);
        let worker = upstream.worker;
        let name = context.core.request_name(attempt.request_id, attempt.number);
        // Where no two attempts may be under way, the next one starts only after the cancel is written.
        let ending = Some(attempt).filter(|_| !context.config.settings.may_hedge);
        self.attempts.remove(&attempt);
        context.reactor.close(context.core, token, connection, Role::Upstream(upstream));
        if ending.is_none() || name.is_none() {
            self.on_exchange_failed(context, None, worker, Exchange::Attempt(attempt), Outcome::Cancelled);
        }
        name.map(|name| CancelRequest { worker, name, ending })
    }
}

/// What a connection that breaks before a response shows. A kept one that breaks under the next request was closed in the
/// meantime, which shows nothing of the worker: not held against it. If its process died, new connections are refused, which
/// is.
fn outcome_of_break(is_written: bool, is_reused: bool) -> Outcome {
    match (is_written, is_reused) {
        (true, true) => Outcome::Cancelled,
        (true, false) => Outcome::Reset,
        (false, true) => Outcome::NeverSent,
        (false, false) => Outcome::ConnectFailed,
    }
}

/// An attempt has come to nothing.
pub(super) fn end_attempt(context: &mut Context<'_>, attempt: AttemptId, outcome: Outcome) {
    let AttemptId { request_id, number } = attempt;
    context.core.on_attempt_ended(context.now(), request_id, number, AttemptOutcome::Unserved(outcome), None);
}
