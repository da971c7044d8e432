//! The bound on the memory of requests: those that clients are still sending, and those that are open.

use crate::protocol::platform::Reject;
use crate::server::connection_table::Role;
use crate::server::downstream::respond::reject;
use crate::server::downstream::{ClientConnections, ClientContext};
use crate::server::tokens::Token;

impl ClientConnections {
    /// Makes room for `needed` bytes of an open request: rejects incomplete requests, the largest first, until the memory of all
    /// requests is within the budget. Returns false if it is not, because open requests alone take too much.
    pub(super) fn ensure_buffer_capacity(&mut self, context: &mut ClientContext<'_>, needed: usize) -> bool {
        while needed + buffered_bytes(context) > max_buffered_bytes(context) {
            let Some(token) = self.largest_incomplete(context) else { return false };
            self.reject_incomplete(context, token);
        }
        true
    }

    /// The connection whose incomplete request takes the most memory; `None` if no request is incomplete.
    fn largest_incomplete(&self, context: &ClientContext<'_>) -> Option<Token> {
        let connections = context.shared.reactor.connections();
        let sizes =
            self.awaiting_request.iter().map(|(_, token)| (connections.buffered_bytes_of(*token), *token));
        sizes.filter(|(bytes, _)| *bytes > 0).max_by_key(|(bytes, _)| *bytes).map(|(_, token)| token)
    }

    /// Rejects an incomplete request. Its client may send it again.
    fn reject_incomplete(&mut self, context: &mut ClientContext<'_>, token: Token) {
        let Some((mut connection, role)) = context.shared.reactor.take(token) else { return };
        let Role::Client(mut client) = role else {
            return context.shared.reactor.put(token, connection, role);
        };
        reject(context, &mut connection, &mut client, Reject::Overloaded);
        connection.read_buffer = Vec::new();
        client.read_times.clear();
        self.untrack_awaiting_request(token, &mut client);
        self.finish_event(context, token, connection, client);
    }
}

/// The memory of all requests and unwritten responses, in bytes.
fn buffered_bytes(context: &ClientContext<'_>) -> usize {
    context.shared.reactor.connections().buffered_bytes() + context.pending.bytes()
}

/// The maximum of [`buffered_bytes`]. During a hot restart the other process has as much.
fn max_buffered_bytes(context: &ClientContext<'_>) -> usize {
    let processes = if context.hot_restart.has_peer_process() { 2 } else { 1 };
    context.budget.buffered_bytes / processes
}
