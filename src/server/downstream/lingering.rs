//! Connections of clients that this side has ended. What arrives on one is read and dropped until the client has ended too:
//! closing over bytes that were not read would reset it, and take a response with it. Nothing read here is ever forwarded; a
//! client whose request crossed the end sends it again elsewhere.

use crate::policy::interface::Micros;
use crate::server::connection::{Connection, ReadEnd};
use crate::server::connection_table::Role;
use crate::server::downstream::{
    ClientConnection, ClientConnections, ClientContext, ClientState, MAX_INBOX, TimedToken,
};
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

impl ClientConnections {
    /// Ends this side of a connection on which all is written.
    pub(super) fn half_close(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        connection: &mut Connection,
        client: &mut ClientConnection,
    ) {
        let _ = connection.stream.shutdown(Shutdown::Write); // it may be gone; the timer ends it
        self.untrack(token, client);
        connection.inbox = Vec::new();
        client.state = ClientState::Lingering { since: context.now() };
        self.lingering.insert(context.now(), token);
        connection.set_timer(context.shared.core, token, Some(context.now() + LINGER_TIMEOUT));
        // They have a part of the budget of their own beside the clients that are served; under a flood the oldest are closed.
        if self.lingering.len() > context.budget.max_lingering() {
            self.close_oldest_lingering(context);
        }
    }

    /// Closes the connection that has lingered for longest, for its descriptor. False where none lingers.
    pub(in crate::server) fn close_oldest_lingering(&mut self, context: &mut ClientContext<'_>) -> bool {
        let Some(token) = self.lingering.pop_oldest() else { return false };
        match context.shared.reactor.take(token) {
            Some((connection, Role::Client(client))) => {
                self.on_linger_timeout(context, token, connection, client);
            }
            // The one in use right now sees it when its turn is over.
            Some((connection, role)) => context.shared.reactor.put(token, connection, role),
            None => {}
        }
        true
    }

    /// Closes a connection whose client has had its time; what it has sent by now is read.
    pub(super) fn on_linger_timeout(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        mut connection: Connection,
        client: ClientConnection,
    ) {
        connection.inbox.clear();
        let _: ReadEnd = connection.fill(MAX_INBOX);
        self.on_closed(context, token, connection, client);
    }
}
