//! Writing to workers, and setting what to wait for next.

use super::UpstreamPool;
use super::connection::{Exchange, UpstreamConnection, UpstreamState};
use super::{CANCEL_OR_PROBE_TIMEOUT, max_idle_time};
use crate::core::AttemptId;
use crate::core::send_gate::{SendConditions, SendPermit};
use crate::policy::interface::Outcome;
use crate::protocol::platform;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::Context;
use crate::server::pending_requests::PendingRequests;
use crate::server::reactor::Reading;
use crate::server::tokens::Token;

impl UpstreamPool {
    /// Writes as much as the socket accepts, and counts an attempt as written at its last byte. Bytes of an attempt are sent only
    /// here, so this checks whether they may still be sent. Returns false if the connection cannot be used any more.
    pub(super) fn flush(
        &mut self,
        context: &mut Context<'_>,
        pending: &PendingRequests,
        token: Token,
        connection: &mut Connection,
        upstream: &mut UpstreamConnection,
    ) -> bool {
        let mut permit = None;
        if let Some(length) = upstream.unwritten_length
            && let UpstreamState::AwaitingResponse(Exchange::Attempt(attempt)) = upstream.state
        {
            let has_begun = connection.write_queue.len() < length;
            context.clock.update(); // in a long turn, the time of the poll is too old for this check
            let conditions = SendConditions {
                transit_time: upstream.transit_allowance,
                is_worker_available: is_endpoint_usable(context, upstream),
                has_begun,
            };
            match context.core.check_send(context.now(), attempt, conditions) {
                Ok(granted) => permit = Some(granted),
                Err(reason) => {
                    context.metrics.sends.record_refusal(reason);
                    self.withhold_attempt(context, token, connection, upstream, attempt);
                    return conditions.is_worker_available && !has_begun;
                }
            }
            if let Some(permit) = permit.filter(|_| !has_begun) {
                encode_attempt(pending, connection, upstream, attempt, permit);
            }
        }
        let is_connected = connection.flush();
        if let Some(permit) = permit {
            context.metrics.sends.record_sent(permit, context.clock.current_time());
        }
        if is_connected && connection.write_queue.is_empty() {
            self.on_exchange_written(context, upstream);
        }
        is_connected
    }

    /// Ends an attempt whose last byte was not sent. It never ran, and the worker is not at fault. If no byte of it was sent, the
    /// connection can carry another attempt.
    fn withhold_attempt(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: &mut Connection,
        upstream: &mut UpstreamConnection,
        attempt: AttemptId,
    ) {
        connection.write_queue.clear();
        upstream.state = UpstreamState::Idle;
        upstream.unwritten_length = None;
        context.metrics.attempts_withheld += 1;
        let exchange = Exchange::Attempt(attempt);
        self.on_exchange_failed(context, Some(token), upstream.worker, exchange, Outcome::NeverSent);
    }

    /// Handles an exchange whose message has been written completely: counts an attempt, or ends the attempt that waits for a
    /// cancel to be written.
    fn on_exchange_written(&mut self, context: &mut Context<'_>, upstream: &mut UpstreamConnection) {
        if upstream.unwritten_length.take().is_some() {
            context.metrics.attempts_written += 1;
        }
        if let UpstreamState::AwaitingResponse(cancel @ Exchange::Cancel { ending_attempt: Some(_) }) =
            upstream.state
        {
            upstream.state = UpstreamState::AwaitingResponse(Exchange::Cancel { ending_attempt: None });
            self.on_exchange_failed(context, None, upstream.worker, cancel, Outcome::Cancelled);
        }
    }

    /// Ends the handling of an event: writes what can be written, sets the deadline and the epoll interest, and puts the
    /// connection back. An idle connection goes into the pool too.
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
            // The stream needs no deadline of its own: that of its request ends it.
            UpstreamState::Streaming(_) => connection.set_timer(context.core, token, None),
            // Without a deadline, the body might never end. The limit for cancels and probes applies to it too.
            UpstreamState::ReadingBody(_) if connection.timer.is_none() => {
                connection.set_timer(context.core, token, Some(context.now() + CANCEL_OR_PROBE_TIMEOUT));
            }
            UpstreamState::Idle => self.keep_idle(context, token, &mut connection, &upstream),
            _ => {}
        }
        context.reactor.update_interest(token, &mut connection, Reading::Wanted);
        context.reactor.put(token, connection, Role::Upstream(upstream));
    }

    /// Keeps an idle connection in the pool. Its timer closes the connection once it has been idle for too long.
    fn keep_idle(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: &mut Connection,
        upstream: &UpstreamConnection,
    ) {
        let until = context.now() + max_idle_time(context.config);
        connection.set_timer(context.core, token, Some(until));
        if connection.write_queue.is_empty() {
            self.idle.add(token, upstream);
        }
    }
}

/// Whether attempts may be sent on a connection: the endpoint list is not stale, and the worker accepts work and still has the
/// connection's address.
fn is_endpoint_usable(context: &Context<'_>, upstream: &UpstreamConnection) -> bool {
    let endpoint = context.core.endpoints().get(upstream.worker);
    let takes_attempts = endpoint
        .is_some_and(|endpoint| endpoint.takes_work() && upstream.address == Some(endpoint.address()));
    !context.core.endpoints().is_stale() && takes_attempts
}

/// Puts an attempt's request into the write queue of its connection. The request states how much time the client has left. It is
/// encoded only when its first byte is about to be sent, because the connection may have taken long to be established.
fn encode_attempt(
    pending: &PendingRequests,
    connection: &mut Connection,
    upstream: &mut UpstreamConnection,
    attempt: AttemptId,
    permit: SendPermit,
) {
    let Some(raw) = pending.get(attempt.request_id) else { return };
    connection.write_queue.clear();
    connection.write_queue.push(platform::forwarded_request(raw, permit.time_left));
    upstream.unwritten_length = Some(connection.write_queue.len());
}
