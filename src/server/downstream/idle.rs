//! Closing connections of clients that are idle or silent, where others need their descriptors.
//!
//! A client whose request crosses the close sends it again, while a new client would count a refusal. So connections that have
//! been served are closed before a new one is refused, and those that never sent a request are closed first of all.

use crate::policy::interface::Micros;
use crate::protocol::platform::Reject;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::downstream::respond::reject;
use crate::server::downstream::{ClientConnection, ClientConnections, ClientContext, TimedToken};
use crate::server::reactor::Reactor;
use crate::server::tokens::Token;
use rustix::event::epoll::EventFlags;
use std::io::ErrorKind;

/// A connection that has been idle for less than this may have a request in flight.
pub(in crate::server) const MIN_IDLE_BEFORE_CLOSE: Micros = 30_000;
/// A connection that has sent no whole request, and has been silent for this long, may be closed for others ...
pub(in crate::server) const SILENT_GRACE: Micros = 300_000;
/// ... but if it has sent a part of a request, only after idle ones, until it has been silent for this long. Well-behaved
/// clients that write slowly go on writing; those that stop half way do not.
pub(in crate::server) const PARTIAL_REQUEST_GRACE: Micros = 1_000_000;

impl ClientConnections {
    /// Connections of clients whose end has not begun.
    pub(in crate::server) fn active(&self, reactor: &Reactor) -> usize {
        reactor.connections().clients() - self.lingering.len()
    }

    /// Closes idle connections until those of clients keep within their budget. False where they do not.
    pub(super) fn ensure_capacity(&mut self, context: &mut ClientContext<'_>) -> bool {
        while self.active(context.shared.reactor) > context.budget.clients {
            // A whole request outranks a connection that may have one in flight.
            if !self.close_any_idle(context, 0) {
                return false;
            }
        }
        true
    }

    /// Closes a connection of a client to make room: one that is silent, one that has been idle for `min_idle`, or one with a
    /// partial request. False where there is none.
    pub(super) fn close_any_idle(&mut self, context: &mut ClientContext<'_>, min_idle: Micros) -> bool {
        self.close_silent(context, PARTIAL_REQUEST_GRACE)
            || self.close_oldest_served(context, min_idle)
            || self.close_oldest_idle(context, min_idle)
            || self.close_silent(context, SILENT_GRACE)
    }

    /// Ends an idle connection, unless a request has arrived on it that was not read yet: that one is served. True where it
    /// was ended.
    pub(in crate::server) fn close_idle(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        mut connection: Connection,
        mut client: ClientConnection,
    ) -> bool {
        match connection.stream.peek(&mut [0]) {
            Ok(read) if read > 0 => {
                self.on_ready(context, token, connection, client, EventFlags::IN);
                return false;
            }
            // A request that comes from now on crosses the close.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.half_close(context, token, &mut connection, &mut client);
                context.shared.reactor.put(token, connection, Role::Client(client));
            }
            // Its client has ended it.
            _ => {
                self.untrack(token, &mut client);
                self.on_closed(context, token, connection, client);
            }
        }
        true
    }

    /// Closes the connection of a client that has been idle for longest, and for at least so long, of those that have
    /// been served: a request that the close crosses is sent once more, while a new client would count it as refused.
    pub(in crate::server) fn close_oldest_served(
        &mut self,
        context: &mut ClientContext<'_>,
        min_idle: Micros,
    ) -> bool {
        while let Some(token) = self.oldest_served(context, min_idle) {
            match context.shared.reactor.take(token) {
                Some((connection, Role::Client(client))) => {
                    if self.close_idle(context, token, connection, client) {
                        return true;
                    }
                }
                Some((connection, role)) => context.shared.reactor.put(token, connection, role),
                None => return false,
            }
        }
        false
    }

    /// The connection that has been idle for longest of those that have been served, if it has been for so long.
    fn oldest_served(&self, context: &ClientContext<'_>, min_idle: Micros) -> Option<Token> {
        self.idle_for(min_idle, context.now()).find(|token| {
            let entry = context.shared.reactor.connections().get(*token);
            matches!(entry, Some((_, Role::Client(client))) if !client.is_awaiting_request())
        })
    }

    /// Closes the connection of a client that has been idle for longest, and for at least so long.
    pub(in crate::server) fn close_oldest_idle(
        &mut self,
        context: &mut ClientContext<'_>,
        min_idle: Micros,
    ) -> bool {
        while let Some(token) = self.oldest_idle(context, min_idle) {
            if let Some((connection, Role::Client(client))) = context.shared.reactor.take(token) {
                if self.close_idle(context, token, connection, client) {
                    return true;
                }
            } else {
                mothproxy_invariant::invariant!(false, "an idle connection that is none");
                self.idle.pop_first();
            }
        }
        false
    }

    /// The connection that has been idle for longest, if it has been for so long.
    fn oldest_idle(&self, context: &ClientContext<'_>, min_idle: Micros) -> Option<Token> {
        self.idle_for(min_idle, context.now()).next()
    }

    /// Closes the connection that has been silent for longest, and for at least [`SILENT_GRACE`], of those that a whole
    /// request is awaited on; with a part of a request, for at least `partial_grace`. False where there is none.
    pub(in crate::server) fn close_silent(
        &mut self,
        context: &mut ClientContext<'_>,
        partial_grace: Micros,
    ) -> bool {
        let silent: Vec<TimedToken> = self.silent_for(SILENT_GRACE, context.now()).collect();
        for (last_read, token) in silent {
            // Closed, or in use right now; in the first case it is not in the set any more.
            let Some((connection, role)) = context.shared.reactor.take(token) else { continue };
            let Role::Client(client) = role else {
                mothproxy_invariant::invariant!(
                    false,
                    "a connection that asked for nothing is none of a frontend's"
                );
                context.shared.reactor.put(token, connection, role);
                self.awaiting_request.remove(&(last_read, token));
                continue;
            };
            let is_partial_grace_over = last_read + partial_grace <= context.now();
            if self.close_if_silent(context, token, connection, client, is_partial_grace_over) {
                return true;
            }
        }
        false
    }

    /// Ends a silent connection; one with a part of a request only once its grace is over. True where it was ended.
    fn close_if_silent(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        mut connection: Connection,
        mut client: ClientConnection,
        is_partial_grace_over: bool,
    ) -> bool {
        if client.idle_since.is_some() {
            return self.close_idle(context, token, connection, client);
        }
        if !is_partial_grace_over {
            context.shared.reactor.put(token, connection, Role::Client(client));
            return false;
        }
        if client.is_ending() {
            self.on_closed(context, token, connection, client);
        } else {
            // The rest of its request is not read; the response says that the client may try again.
            reject(context, &mut connection, &mut client, Reject::Overloaded);
            self.finish_event(context, token, connection, client);
        }
        true
    }
}
