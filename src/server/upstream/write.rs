//! Writing to workers, and what is awaited of them next.

use super::UpstreamPool;
use super::connection::{AttemptId, Exchange, UpstreamConnection, UpstreamState};
use super::{SIDE_EXCHANGE_TIMEOUT, max_idle_time};
use crate::policy::interface::Outcome;
use crate::protocol::platform;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::Context;
use crate::server::pending_requests::PendingRequests;
use crate::server::reactor::Reading;
use crate::server::tokens::Token;

impl UpstreamPool {
    /// Writes what it can, and counts an attempt at its last byte. Only here do bytes of an attempt leave, so here it
    /// is checked whether they still may. False if the connection is of no more use.
    pub(super) fn flush(
        &mut self,
        context: &mut Context<'_>,
        pending: &PendingRequests,
        token: Token,
        connection: &mut Connection,
        upstream: &mut UpstreamConnection,
    ) -> bool {
        if let Some(length) = upstream.unwritten_length
            && let UpstreamState::Awaiting(Exchange::Attempt(attempt)) = upstream.state
        {
            let has_begun = connection.outbox.len() < length;
            context.clock.update(); // a turn may be long, and the last bytes of it late
            let is_usable = is_endpoint_usable(context, upstream);
            let AttemptId { request_id, number } = attempt;
            let may_write =
                context.core.may_write(context.now(), request_id, number, upstream.transit_allowance);
            if !may_write || !(is_usable || has_begun) {
                self.withhold_attempt(context, token, connection, upstream, attempt);
                return is_usable && !has_begun;
            }
            if !has_begun {
                encode_attempt(context, pending, connection, upstream, attempt);
            }
        }
        let is_sound = connection.flush();
        if is_sound && connection.outbox.is_empty() {
            self.on_exchange_written(context, upstream);
        }
        is_sound
    }

    /// Gives an attempt up whose last byte has not left: it never ran, and nobody is to blame. If nothing of it has left, the
    /// connection can carry another one.
    fn withhold_attempt(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: &mut Connection,
        upstream: &mut UpstreamConnection,
        attempt: AttemptId,
    ) {
        connection.outbox.clear();
        upstream.state = UpstreamState::Idle;
        upstream.unwritten_length = None;
        context.metrics.withheld += 1;
        let exchange = Exchange::Attempt(attempt);
        self.on_exchange_failed(context, Some(token), upstream.worker, exchange, Outcome::NeverSent);
    }

    /// All of an exchange's message has been written.
    fn on_exchange_written(&mut self, context: &mut Context<'_>, upstream: &mut UpstreamConnection) {
        if upstream.unwritten_length.take().is_some() {
            context.metrics.attempts_written += 1;
        }
        if let UpstreamState::Awaiting(cancel @ Exchange::Cancel { ending: Some(_) }) = upstream.state {
            upstream.state = UpstreamState::Awaiting(Exchange::Cancel { ending: None });
            self.on_exchange_failed(context, None, upstream.worker, cancel, Outcome::Cancelled);
        }
    }

    /// Ends the handling of an event: writes what is there to write, sets the deadline and what epoll watches for, and puts
    /// the connection back, also into the pool if it is idle.
    pub(super) fn finish_event(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        mut connection: Connection,
        mut upstream: UpstreamConnection,
    ) {
        if !self.flush(context, pending, token, &mut connection, &mut upstream) {
            return self.on_closed(context, pending, token, connection, upstream);
        }
        match upstream.state {
            // Its request's deadline ends it.
            UpstreamState::Streaming(_) => connection.set_timer(context.core, token, None),
            // A response may never end.
            UpstreamState::ReadingBody(_) if connection.timer.is_none() => {
                connection.set_timer(context.core, token, Some(context.now() + SIDE_EXCHANGE_TIMEOUT));
            }
            UpstreamState::Idle => self.rest(context, token, &mut connection, &upstream),
            _ => {}
        }
        context.reactor.update_interest(token, &mut connection, Reading::Wanted);
        context.reactor.put(token, connection, Role::Upstream(upstream));
    }

    /// Keeps an idle connection: in the pool, or out of it until it has rested.
    fn rest(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: &mut Connection,
        upstream: &UpstreamConnection,
    ) {
        let max_idle = max_idle_time(context.config);
        let cooldown = upstream.cooldown.min(max_idle / 2);
        let until = context.now() + if cooldown > 0 { cooldown } else { max_idle };
        connection.set_timer(context.core, token, Some(until));
        if cooldown == 0 && connection.outbox.is_empty() {
            self.add_idle(upstream.worker, token);
        }
    }
}

/// Whether attempts may go to a connection's worker, and it is still where the connection leads.
fn is_endpoint_usable(context: &Context<'_>, upstream: &UpstreamConnection) -> bool {
    let endpoint = context.core.endpoints.get(upstream.worker);
    let takes_attempts = endpoint
        .is_some_and(|endpoint| endpoint.stopped.is_none() && upstream.address == Some(endpoint.address));
    !context.core.endpoints.stale && takes_attempts
}

/// Puts an attempt's request into its connection's outbox. It says how much time the client has left, which must be right
/// at the first byte: the connection may have taken long to come up.
fn encode_attempt(
    context: &Context<'_>,
    pending: &PendingRequests,
    connection: &mut Connection,
    upstream: &mut UpstreamConnection,
    attempt: AttemptId,
) {
    let Some(raw) = pending.get(attempt.request_id) else { return };
    let time_left = context.core.time_left(context.now(), attempt.request_id, attempt.number);
    connection.outbox.clear();
    connection.outbox.push(platform::forwarded_request(raw, time_left));
    upstream.unwritten_length = Some(connection.outbox.len());
}
