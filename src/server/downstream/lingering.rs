//! Connections of clients that this side has ended. What arrives on one is read and dropped until the client has ended too:
//! closing over bytes that were not read would reset it, and take a response with it. Nothing read here is ever forwarded; a
//! client whose request crossed the end sends it again elsewhere.

use crate::policy::interface::Micros;
use crate::server::Server;
use crate::server::connection::{Connection, ReadEnd};
use crate::server::connection_table::Role;
use crate::server::downstream::{ClientConnection, ClientState, MAX_INBOX, TimedToken};
use crate::server::tokens::Token;
use std::collections::BTreeSet;
use std::net::Shutdown;

/// A client's end is awaited for this long: many times the round trip to any, short beside all deadlines.
const LINGER_TIMEOUT: Micros = 1_000_000;

/// Those connections, the oldest first.
#[derive(Default)]
pub(super) struct LingeringConnections(BTreeSet<TimedToken>);

impl LingeringConnections {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// A connection lingers from now on.
    fn insert(&mut self, since: Micros, token: Token) {
        self.0.insert((since, token));
    }

    /// A connection is over.
    pub fn remove(&mut self, since: Micros, token: Token) {
        self.0.remove(&(since, token));
    }

    fn pop_oldest(&mut self) -> Option<Token> {
        self.0.pop_first().map(|(_, token)| token)
    }
}

impl Server {
    /// Ends this side of a connection on which all is written.
    pub(super) fn half_close_client(
        &mut self,
        token: Token,
        connection: &mut Connection,
        client: &mut ClientConnection,
    ) {
        let _ = connection.stream.shutdown(Shutdown::Write); // it may be gone; the timer ends it
        self.clients.untrack(token, client);
        connection.inbox = Vec::new();
        client.state = ClientState::Lingering { since: self.clock.now() };
        self.clients.lingering.insert(self.clock.now(), token);
        connection.set_timer(&mut self.core, token, Some(self.clock.now() + LINGER_TIMEOUT));
        // They have a part of the budget of their own beside the clients that are served; under a flood the oldest are closed.
        if self.clients.lingering.len() > self.budget.max_lingering() {
            self.close_oldest_lingering();
        }
    }

    /// Closes the connection that has lingered for longest, for its descriptor. False where none lingers.
    pub(in crate::server) fn close_oldest_lingering(&mut self) -> bool {
        let Some(token) = self.clients.lingering.pop_oldest() else { return false };
        match self.reactor.take(token) {
            Some((connection, Role::Client(client))) => self.on_linger_timeout(token, connection, client),
            // The one in use right now sees it when its turn is over.
            Some((connection, role)) => self.reactor.put(token, connection, role),
            None => {}
        }
        true
    }

    /// Closes a connection whose client has had its time; what it has sent by now is read.
    pub(super) fn on_linger_timeout(
        &mut self,
        token: Token,
        mut connection: Connection,
        client: ClientConnection,
    ) {
        connection.inbox.clear();
        let _: ReadEnd = connection.fill(MAX_INBOX);
        self.on_client_closed(token, connection, client);
    }
}
