//! The deadlines of clients' connections: by when each is handled again, and what happens then.

use crate::policy::interface::Micros;
use crate::protocol::platform::Reject;
use crate::protocol::{event_streams, sse};
use crate::server::connection::Connection;
use crate::server::downstream::respond::reject;
use crate::server::downstream::{ClientConnection, ClientConnections, ClientContext, ClientState};
use crate::server::tokens::Token;

/// A client that sends what cannot be read, or nothing, is owed an error or a close within 3 s of connecting. Its
/// first request must be complete this long after it connected, later ones this long after their first byte.
const REQUEST_TIMEOUT: Micros = 2_500_000;
/// An idle connection is closed after this.
const IDLE_TIMEOUT: Micros = 120_000_000;
/// A client that reads nothing of a finished response for this long is given up: it is owed a close within 3 s as well.
const WRITE_STALL_TIMEOUT: Micros = 2_500_000;

impl ClientConnections {
    /// The deadline of a connection has come.
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
        match &mut client.state {
            ClientState::Closing | ClientState::Lingering { .. } => {
                return self.on_linger_timeout(context, token, connection, client);
            }
            ClientState::AwaitingResponse { stream: Some(stream), .. } => {
                stream.last_write = context.now();
                if connection.outbox.is_empty() {
                    connection.outbox.push(sse::heartbeat());
                }
            }
            ClientState::Watching(watch) => {
                if watch.last_write + context.heartbeat <= context.now() {
                    watch.last_write = context.now();
                    if connection.outbox.is_empty() {
                        connection.outbox.push(event_streams::heartbeat(watch.frame));
                    }
                }
            }
            ClientState::AwaitingResponse { .. } => {}
            ClientState::Reading | ClientState::ReadingChunks(_) if !connection.outbox.is_empty() => {
                return self.on_closed(context, token, connection, client); // it does not read its response
            }
            ClientState::Reading | ClientState::ReadingChunks(_) => {
                reject(context, &mut connection, &mut client, Reject::TooSlow);
            }
        }
        self.finish_event(context, token, connection, client);
    }
}

/// When a connection is to be handled again at the latest.
pub(super) fn deadline(
    context: &ClientContext<'_>,
    connection: &mut Connection,
    client: &ClientConnection,
) -> Option<Micros> {
    let has_progressed = std::mem::take(&mut connection.has_written);
    let stall_deadline = connection.timer.filter(|_| !has_progressed);
    let heartbeat = context.heartbeat;
    match &client.state {
        ClientState::Lingering { .. } => connection.timer,
        ClientState::Reading | ClientState::ReadingChunks(_) if client.is_awaiting_request() => {
            Some(client.awaiting_request_since.unwrap_or(context.now()) + REQUEST_TIMEOUT)
        }
        ClientState::Reading if connection.outbox.is_empty() => Some(context.now() + IDLE_TIMEOUT),
        ClientState::Closing | ClientState::Reading | ClientState::ReadingChunks(_) => {
            Some(stall_deadline.unwrap_or(context.now() + WRITE_STALL_TIMEOUT))
        }
        ClientState::AwaitingResponse { stream: Some(stream), .. } if stream.has_begun => {
            Some(stream.last_write + heartbeat)
        }
        // Set anew only once it is due: an event more does not move it.
        ClientState::Watching(watch) => Some(connection.timer.unwrap_or(watch.last_write + heartbeat)),
        ClientState::AwaitingResponse { .. } => None,
    }
}
