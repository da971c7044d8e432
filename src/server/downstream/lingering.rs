//! Connections of clients that this side has ended.
//!
//! Bytes that arrive on such a connection are read and dropped until the client has ended it too. Closing a connection with
//! unread bytes would reset it, and the client could lose its response. Nothing read here is ever forwarded. A client whose
//! request crossed the end of the connection sends the request again on another one.

use crate::policy::interface::Micros;
use crate::server::connection::{Connection, ReadEnd};
use crate::server::connection_table::Role;
use crate::server::downstream::{
    ClientConnection, ClientConnections, ClientContext, ClientState, MAX_READ_BUFFER, TimedToken,
};
use crate::server::tokens::Token;
use std::collections::BTreeSet;
use std::net::Shutdown;

/// How long to wait for the client to end its side, in microseconds. This is many times the round trip to any client, and
/// short compared with all deadlines.
const LINGER_TIMEOUT: Micros = 1_000_000;

/// The connections that this side has ended, the oldest first.
#[derive(Default)]
pub(super) struct LingeringConnections(BTreeSet<TimedToken>);

impl LingeringConnections {
    /// The number of lingering connections.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Adds a connection that lingers since `since`.
    fn insert(&mut self, since: Micros, token: Token) {
        self.0.insert((since, token));
    }

    /// Removes a connection that is over.
    pub fn remove(&mut self, since: Micros, token: Token) {
        self.0.remove(&(since, token));
    }

    /// Removes the connection that has lingered for longest, and returns it.
    fn pop_oldest(&mut self) -> Option<Token> {
        self.0.pop_first().map(|(_, token)| token)
    }
}

impl ClientConnections {
    /// Ends this side of a connection on which everything has been written, and lets it linger.
    pub(super) fn half_close(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        connection: &mut Connection,
        client: &mut ClientConnection,
    ) {
        let _ = connection.stream.shutdown(Shutdown::Write); // the client may be gone; then the timer ends the connection
        self.untrack(token, client);
        connection.read_buffer = Vec::new();
        client.read_times.clear();
        client.state = ClientState::Lingering { since: context.now() };
        self.lingering.insert(context.now(), token);
        connection.set_timer(context.shared.core, token, Some(context.now() + LINGER_TIMEOUT));
        // Lingering connections have their own part of the budget, apart from the clients that are served. Under a flood the
        // oldest are closed.
        if self.lingering.len() > context.budget.max_lingering() {
            self.close_oldest_lingering(context);
        }
    }

    /// Closes the connection that has lingered for longest, to free its descriptor. Returns false if none lingers.
    pub(in crate::server) fn close_oldest_lingering(&mut self, context: &mut ClientContext<'_>) -> bool {
        let Some(token) = self.lingering.pop_oldest() else { return false };
        match context.shared.reactor.take(token) {
            Some((connection, Role::Client(client))) => {
                self.on_linger_timeout(context, token, connection, client);
            }
            Some((connection, role)) => context.shared.reactor.put(token, connection, role),
            None => {} // its handler is running: the connection is closed at its linger timeout
        }
        true
    }

    /// Closes a connection whose client did not end it in time. First reads what the client has sent so far, since unread bytes
    /// would cause a reset.
    pub(super) fn on_linger_timeout(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        mut connection: Connection,
        client: ClientConnection,
    ) {
        connection.read_buffer.clear();
        let _: ReadEnd = connection.fill(MAX_READ_BUFFER);
        self.on_closed(context, token, connection, client);
    }
}
