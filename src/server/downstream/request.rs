//! Handling a complete request: routing it, and accepting or rejecting it.

use crate::core::NewRequest;
use crate::http::{self, Framing};
use crate::protocol::platform::{self, RawRequest, Reject, Route};
use crate::protocol::{event_streams, sse};
use crate::server::connection::Connection;
use crate::server::downstream::client::ResponseStream;
use crate::server::downstream::event_streams::submit_job;
use crate::server::downstream::event_streams::watchers::on_stream_request;
use crate::server::downstream::respond::reject;
use crate::server::downstream::{
    ClientConnection, ClientConnections, ClientContext, ClientState, Downstream,
};
use crate::server::tokens::Token;

impl ClientConnections {
    /// Handles a complete request: answers it at once, or passes it to the core and awaits the response.
    pub(super) fn on_request(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        connection: &mut Connection,
        client: &mut ClientConnection,
        raw: RawRequest,
    ) {
        if context.shared.lifecycle.has_handed_over() {
            // The last chunk arrived after the handover began. The request is handed over as it was received, and the
            // successor handles it.
            connection.read_buffer = encode_chunked(&raw, &connection.read_buffer);
            client.read_times.clear();
            client.read_times.on_read(connection.read_buffer.len(), client.request_arrived_at, false);
            client.state = ClientState::Reading;
            return;
        }
        if self.untrack_awaiting_request(token, client) {
            connection.set_timer(context.shared.core, token, None);
        }
        let keep_alive = raw.head.keep_alive && context.keeps_connections();
        client.finish_response(keep_alive);
        // The bytes that follow cannot begin a request, so the body is longer than its stated length. A truncated body must not
        // be processed as if it were complete.
        if raw.head.framing != Framing::Absent && !http::may_begin_request(&connection.read_buffer) {
            return reject(context, connection, client, Reject::BadRequest);
        }
        if client.is_from_sse_listener
            && on_stream_request(context, token, connection, client, &raw, keep_alive)
        {
            return;
        }
        let Err(reason) = self.route_request(context, token, connection, client, raw, keep_alive) else {
            return;
        };
        if reason.closes_connection() {
            return reject(context, connection, client, reason);
        }
        context.shared.metrics.rejects += u64::from(reason != Reject::NotReady);
        connection.write_queue.push(platform::reject(reason, keep_alive));
    }

    /// Routes a request and handles it.
    ///
    /// # Errors
    /// Returns the reason why the request is refused.
    fn route_request(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        connection: &mut Connection,
        client: &mut ClientConnection,
        raw: RawRequest,
        keep_alive: bool,
    ) -> Result<(), Reject> {
        match platform::route(
            context.shared.core.names(),
            &context.shared.config.settings.classes,
            &raw,
            !client.is_from_sse_listener,
        )? {
            Route::Ready
                if context.shared.lifecycle.is_draining() || context.shared.core.endpoints().is_stale() =>
            {
                Err(Reject::NotReady)
            }
            Route::Ready => {
                connection.write_queue.push(platform::ready());
                Ok(())
            }
            Route::StatusCallback => on_status_callback(context, connection, client, &raw, keep_alive),
            Route::Submit(mut request) => {
                let waited = context.now().saturating_sub(client.request_arrived_at);
                request.time_budget = request.time_budget.saturating_sub(waited);
                if let Some(plan) = context.shared.lifecycle.shutdown() {
                    request.time_budget = plan.time_budget(context.now(), request.time_budget);
                }
                // If all descriptors for clients, or all memory for requests, are in use, the request is rejected here, before anything has run. Had its
                // connection been left in the listener's queue, the request would be lost at its deadline.
                let has_capacity = self.ensure_capacity(context);
                if !has_capacity || !self.ensure_buffer_capacity(context, raw.memory()) {
                    context.shared.core.count_rejected(request.class);
                    return Err(Reject::Overloaded);
                }
                if client.is_from_sse_listener && event_streams::prefers_async(&raw) {
                    on_job_submitted(context, connection, request, raw, keep_alive)
                } else {
                    on_request_submitted(context, token, client, request, raw, keep_alive)
                }
            }
        }
    }
}

/// Handles a worker's status callback. It is forwarded to the other process of a hot restart if the job is open there and not
/// here.
///
/// # Errors
/// `BadRequest` if the callback cannot be parsed; `Overloaded` if it cannot be forwarded now.
fn on_status_callback(
    context: &mut ClientContext<'_>,
    connection: &mut Connection,
    client: &mut ClientConnection,
    raw: &RawRequest,
    keep_alive: bool,
) -> Result<(), Reject> {
    let body = raw.body.bytes();
    let callback =
        platform::parse_status_callback(context.shared.core.names(), body, None).ok_or(Reject::BadRequest)?;
    client.has_callbacks = true;
    if context.hot_restart.is_open_in_peer_process(&callback.id)
        && !context.shared.core.has_request(&callback.id)
    {
        if !context.hot_restart.forward_status_callback(body) {
            return Err(Reject::Overloaded); // the worker retries
        }
        connection.write_queue.push(platform::callback_accepted(keep_alive));
        return Ok(());
    }
    let keep_alive = raw.head.keep_alive && (keep_alive || !context.shared.lifecycle.is_shutting_down());
    if keep_alive {
        client.state = ClientState::Reading;
    }
    context.shared.core.on_job_status(
        context.now(),
        &callback.id,
        &callback.from,
        callback.status,
        callback.report,
    );
    connection.write_queue.push(platform::callback_accepted(keep_alive));
    Ok(())
}

/// Sets a request's idempotency key from its headers, if idempotency keys are enabled.
fn read_idempotency_key(context: &ClientContext<'_>, request: &mut NewRequest, raw: &RawRequest) {
    if context.shared.core.idempotency().is_some() {
        request.idempotency_key =
            platform::idempotency_key(&context.shared.config.settings.classes, raw, request.class);
    }
}

/// Accepts a job whose events the client will read on other connections.
///
/// # Errors
/// `DuplicateId` if the other process of a hot restart has a request with this id; `KeyReused` if the idempotency key was used
/// with another body or class; else the errors of [`submit_job`].
fn on_job_submitted(
    context: &mut ClientContext<'_>,
    connection: &mut Connection,
    mut request: NewRequest,
    raw: RawRequest,
    keep_alive: bool,
) -> Result<(), Reject> {
    read_idempotency_key(context, &mut request, &raw);
    let is_open_elsewhere = context.hot_restart.is_open_in_peer_process(&request.name);
    let is_key_reused = context.shared.core.is_key_reused(context.now(), &request);
    if is_open_elsewhere {
        return Err(Reject::DuplicateId);
    }
    if is_key_reused {
        return Err(Reject::KeyReused);
    }
    submit_job(context, connection, raw, request, keep_alive)
}

/// Accepts a request whose response the client awaits on this connection.
///
/// # Errors
/// `KeyReused` if the idempotency key was used with another body or class; `DuplicateId` if a request with this id is open, here
/// or in the other process of a hot restart.
fn on_request_submitted(
    context: &mut ClientContext<'_>,
    token: Token,
    client: &mut ClientConnection,
    mut request: NewRequest,
    raw: RawRequest,
    keep_alive: bool,
) -> Result<(), Reject> {
    request.downstream = Downstream::Connection(token).to_id();
    read_idempotency_key(context, &mut request, &raw);
    let is_open_elsewhere = context.hot_restart.is_open_in_peer_process(&request.name);
    if context.shared.core.is_key_reused(context.now(), &request) {
        return Err(Reject::KeyReused);
    }
    if is_open_elsewhere {
        return Err(Reject::DuplicateId);
    }
    let has_stream = client.is_from_sse_listener && sse::wants_stream(&raw);
    let request_id = context.shared.core.accept(context.now(), request).ok_or(Reject::DuplicateId)?;
    context.pending.insert(request_id, raw);
    let stream = has_stream.then_some(ResponseStream { has_begun: false, last_write: context.now() });
    client.state = ClientState::AwaitingResponse { request_id, keep_alive, stream };
    Ok(())
}

/// Encodes a chunked request again, as one chunk, followed by the bytes that were read after it.
fn encode_chunked(raw: &RawRequest, rest: &[u8]) -> Vec<u8> {
    let mut bytes = raw.bytes.to_vec();
    let body = raw.body.bytes();
    if !body.is_empty() {
        bytes.extend(format!("{:x}\r\n", body.len()).into_bytes());
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes.extend_from_slice(rest);
    bytes
}
