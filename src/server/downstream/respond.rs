//! Writing to clients: final responses, progress, and rejections of requests that cannot be accepted.

use crate::core::{FinalResponse, RequestId};
use crate::protocol::platform::{self, Reject};
use crate::protocol::sse;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::downstream::{
    ClientConnection, ClientConnections, ClientContext, ClientState, MAX_UNREAD_PROGRESS,
};
use crate::server::tokens::Token;

impl ClientConnections {
    /// Writes the final response to a request, and processes the bytes that the client has sent after the request.
    pub(in crate::server) fn send_response(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        request_id: RequestId,
        response: FinalResponse,
    ) {
        let Some((mut connection, role)) = context.shared.reactor.take(token) else { return };
        let Role::Client(mut client) = role else {
            mothproxy_invariant::invariant!(
                false,
                "a final response for a connection that is not a client's"
            );
            return context.shared.reactor.put(token, connection, role);
        };
        let ClientState::AwaitingResponse { request_id: awaited, keep_alive, stream } = client.state else {
            mothproxy_invariant::invariant!(false, "a final response for a client that awaits none");
            return context.shared.reactor.put(token, connection, Role::Client(client));
        };
        mothproxy_invariant::invariant!(
            awaited == request_id,
            "a final response for a request other than the awaited one"
        );
        let has_stream_begun = stream.is_some_and(|stream| stream.has_begun);
        let keep_alive = keep_alive && (context.keeps_connections() || has_stream_begun);
        match (stream, &response) {
            (Some(_), _) if has_stream_begun => connection.write_queue.push(sse::final_event(response)),
            (Some(_), FinalResponse::Served(_)) => {
                connection.write_queue.push(sse::head(keep_alive));
                connection.write_queue.push(sse::started());
                connection.write_queue.push(sse::final_event(response));
            }
            _ => connection.write_queue.push(platform::final_response(response, keep_alive)),
        }
        client.finish_response(keep_alive);
        connection.set_timer(context.shared.core, token, None);
        self.advance(context, token, connection, client);
    }

    /// Writes the progress of a request to a client that has asked for an event stream. `fraction` is the part of the job that
    /// is done; `None` means that the job has started. The fraction is not written while the client has
    /// [`MAX_UNREAD_PROGRESS`] bytes or more left to read.
    pub(in crate::server) fn send_progress(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        fraction: Option<f64>,
    ) {
        let Some((mut connection, role)) = context.shared.reactor.take(token) else { return };
        let Role::Client(mut client) = role else {
            return context.shared.reactor.put(token, connection, role);
        };
        let ClientState::AwaitingResponse { keep_alive, stream: Some(stream), .. } = &mut client.state else {
            return context.shared.reactor.put(token, connection, Role::Client(client));
        };
        if !std::mem::replace(&mut stream.has_begun, true) {
            connection.write_queue.push(sse::head(*keep_alive));
            connection.write_queue.push(sse::started());
        }
        if let Some(fraction) = fraction.filter(|_| connection.write_queue.len() < MAX_UNREAD_PROGRESS) {
            connection.write_queue.push(sse::progress(fraction));
        }
        stream.last_write = context.now();
        self.finish_event(context, token, connection, client);
    }
}

/// Rejects the bytes read so far, and ends the connection once the rejection is written.
pub(super) fn reject(
    context: &mut ClientContext<'_>,
    connection: &mut Connection,
    client: &mut ClientConnection,
    reason: Reject,
) {
    context.shared.metrics.rejects += u64::from(reason != Reject::NotReady);
    connection.write_queue.push(platform::reject(reason, false));
    client.state = ClientState::Closing;
}
