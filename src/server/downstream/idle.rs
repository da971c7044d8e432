//! Closing connections of clients that are idle or silent, when others need their descriptors.
//!
//! A client whose request crosses the close on the wire sends the request again, whereas a new client would count its request
//! as refused. So connections that have been served are closed before a new one is refused. Connections that never sent a
//! request are closed before those.

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

/// A connection that has been idle for less than this may have a request in flight, in microseconds.
pub(in crate::server) const MIN_IDLE_BEFORE_CLOSE: Micros = 30_000;
/// A connection whose request is not complete yet may be closed to make room once it has been silent for this long, in
/// microseconds.
pub(in crate::server) const SILENT_GRACE: Micros = 300_000;
/// Until a connection with a partial request has been silent for this long, in microseconds, it is closed only after idle
/// ones. A slow but well-behaved client writes more within this time; a client that has stopped half way does not.
pub(in crate::server) const PARTIAL_REQUEST_GRACE: Micros = 1_000_000;

impl ClientConnections {
    /// The number of clients' connections that are not lingering.
    pub(in crate::server) fn active(&self, reactor: &Reactor) -> usize {
        reactor.connections().clients() - self.lingering.len()
    }

    /// Closes idle connections until the clients' connections are within their budget. Returns false if they still exceed it.
    pub(super) fn ensure_capacity(&mut self, context: &mut ClientContext<'_>) -> bool {
        while self.active(context.shared.reactor) > context.budget.clients {
            // A complete request takes precedence over a connection that may have one in flight.
            if !self.close_any_idle(context, 0) {
                return false;
            }
        }
        true
    }

    /// Closes one connection of a client to make room. Returns false if there is none to close. The order is:
    /// 1. a connection that has sent no request and been silent for [`SILENT_GRACE`], or has a partial request and been silent
    ///    for [`PARTIAL_REQUEST_GRACE`];
    /// 2. a connection that has been idle for `min_idle`; those that have been served come before others;
    /// 3. a connection with a partial request that has been silent for [`SILENT_GRACE`].
    pub(super) fn close_any_idle(&mut self, context: &mut ClientContext<'_>, min_idle: Micros) -> bool {
        self.close_silent(context, PARTIAL_REQUEST_GRACE)
            || self.close_oldest_served(context, min_idle)
            || self.close_oldest_idle(context, min_idle)
            || self.close_silent(context, SILENT_GRACE)
    }

    /// Ends an idle connection and returns true. If a request has arrived on it that was not read yet, serves that request
    /// instead and returns false.
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
            // A request that arrives after this check crosses the close and is not served.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.half_close(context, token, &mut connection, &mut client);
                context.shared.reactor.put(token, connection, Role::Client(client));
            }
            // The client has ended the connection.
            _ => {
                self.untrack(token, &mut client);
                self.on_closed(context, token, connection, client);
            }
        }
        true
    }

    /// Closes, of the connections that have been served, the one that has been idle for longest, if it has been idle for at
    /// least `min_idle`. Returns false if there is none.
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

    /// Returns, of the connections that have been served, the one that has been idle for longest, if it has been idle for at
    /// least `min_idle`.
    fn oldest_served(&self, context: &ClientContext<'_>, min_idle: Micros) -> Option<Token> {
        self.idle_for(min_idle, context.now()).find(|token| {
            let entry = context.shared.reactor.connections().get(*token);
            matches!(entry, Some((_, Role::Client(client))) if !client.is_awaiting_request())
        })
    }

    /// Closes the connection that has been idle for longest, if it has been idle for at least `min_idle`. Returns false if
    /// there is none.
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
                mothproxy_invariant::invariant!(false, "a connection tracked as idle is not a client's");
                self.idle.pop_first();
            }
        }
        false
    }

    /// The connection that has been idle for longest, if it has been idle for at least `min_idle`.
    fn oldest_idle(&self, context: &ClientContext<'_>, min_idle: Micros) -> Option<Token> {
        self.idle_for(min_idle, context.now()).next()
    }

    /// Closes, of the connections whose request is not complete, the one that has been silent for longest. The connection must
    /// have been silent for at least [`SILENT_GRACE`], or for at least `partial_grace` if it has a partial request. Returns
    /// false if there is none.
    pub(in crate::server) fn close_silent(
        &mut self,
        context: &mut ClientContext<'_>,
        partial_grace: Micros,
    ) -> bool {
        let silent: Vec<TimedToken> = self.silent_for(SILENT_GRACE, context.now()).collect();
        for (last_read, token) in silent {
            // An earlier step of this loop has closed the connection and removed it from the set, or its handler is running.
            let Some((connection, role)) = context.shared.reactor.take(token) else { continue };
            let Role::Client(client) = role else {
                mothproxy_invariant::invariant!(
                    false,
                    "a connection tracked as awaiting a request is not a client's"
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

    /// Ends a silent connection. One with a partial request is ended only once its grace period is over. Returns true if the
    /// connection was ended.
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
            // The rest of the request is not read. The response says that the client may try again.
            reject(context, &mut connection, &mut client, Reject::Overloaded);
            self.finish_event(context, token, connection, client);
        }
        true
    }
}
