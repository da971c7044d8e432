//! The deadlines of clients' connections: when each connection is handled again, and what happens then.

use crate::policy::interface::Micros;
use crate::protocol::platform::Reject;
use crate::protocol::{event_streams, sse};
use crate::server::connection::Connection;
use crate::server::downstream::respond::reject;
use crate::server::downstream::{ClientConnection, ClientConnections, ClientContext, ClientState};
use crate::server::tokens::Token;

/// How long a client may take to complete a request, in microseconds: the first one from the time it connected, later ones
/// from their first byte. A client that sends nothing, or something that cannot be parsed, must get an error or a close
/// within 3 s of connecting.
const REQUEST_TIMEOUT: Micros = 2_500_000;
/// An idle connection is closed after this time, in microseconds.
const IDLE_TIMEOUT: Micros = 120_000_000;
/// A connection whose client reads nothing of a finished response for this long is closed, in microseconds. The client must
/// get a close within 3 s in this case too.
const WRITE_STALL_TIMEOUT: Micros = 2_500_000;

impl ClientConnections {
    /// Handles the deadline of a connection. Depending on its state, closes the connection, rejects a request that is too slow,
    /// or writes a heartbeat.
    pub(in crate::server) fn on_timer(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        mut connection: Connection,
        mut client: ClientConnection,
    ) {
        if client.idle_since.is_some() {
            self.close_idle(context, token, connection, client);
            return;
        }
        if client.is_deferred {
            return self.advance(context, token, connection, client);
        }
        match &mut client.state {
            ClientState::Closing | ClientState::Lingering { .. } => {
                return self.on_linger_timeout(context, token, connection, client);
            }
            ClientState::AwaitingResponse { stream: Some(stream), .. } => {
                stream.last_write = context.now();
                if connection.write_queue.is_empty() {
                    connection.write_queue.push(sse::heartbeat());
                }
            }
            ClientState::Watching(watch) => {
                if watch.last_write + context.heartbeat_interval <= context.now() {
                    watch.last_write = context.now();
                    if connection.write_queue.is_empty() {
                        connection.write_queue.push(event_streams::heartbeat(watch.framing));
                    }
                }
            }
            ClientState::AwaitingResponse { .. } => {}
            ClientState::Reading | ClientState::ReadingChunks(_) if !connection.write_queue.is_empty() => {
                return self.on_closed(context, token, connection, client); // the client does not read its response
            }
            ClientState::Reading | ClientState::ReadingChunks(_) => {
                reject(context, &mut connection, &mut client, Reject::RequestTimeout);
            }
        }
        self.finish_event(context, token, connection, client);
    }
}

/// The time by which a connection must be handled again, if any. Clears the connection's `has_written` flag.
pub(super) fn deadline(
    context: &ClientContext<'_>,
    connection: &mut Connection,
    client: &ClientConnection,
) -> Option<Micros> {
    let has_progressed = std::mem::take(&mut connection.has_written);
    let stall_deadline = connection.timer.filter(|_| !has_progressed);
    let heartbeat_interval = context.heartbeat_interval;
    match &client.state {
        ClientState::Lingering { .. } => connection.timer,
        ClientState::Reading | ClientState::ReadingChunks(_) if client.is_awaiting_request() => {
            Some(client.awaiting_request_since.unwrap_or(context.now()) + REQUEST_TIMEOUT)
        }
        ClientState::Reading if connection.write_queue.is_empty() => Some(context.now() + IDLE_TIMEOUT),
        ClientState::Closing | ClientState::Reading | ClientState::ReadingChunks(_) => {
            Some(stall_deadline.unwrap_or(context.now() + WRITE_STALL_TIMEOUT))
        }
        ClientState::AwaitingResponse { stream: Some(stream), .. } if stream.has_begun => {
            Some(stream.last_write + heartbeat_interval)
        }
        // The timer is set again only once it is due; other events do not move it.
        ClientState::Watching(watch) => {
            Some(connection.timer.unwrap_or(watch.last_write + heartbeat_interval))
        }
        ClientState::AwaitingResponse { .. } => None,
    }
}
