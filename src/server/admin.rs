//! The admin address. Its connections have descriptors of their own and are served before anything else of a turn, so that
//! neither a crowd of clients nor callers that stop half way keep a call waiting.

use crate::http::{self, Framing, Piece};
use crate::policy::interface::Micros;
use crate::protocol::admin::{self, AdminCall, ClassMetrics, MetricsSnapshot};
use crate::protocol::platform::{self, Reject};
use crate::server::connection::{Connection, ReadEnd};
use crate::server::downstream::event_streams::EventStreams;
use crate::server::{ADMIN, Role, Server, Token};
use rustix::event::epoll::EventFlags;
use rustix::net::SocketFlags;
use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};

/// Connections held at most, out of the descriptors that no other connection may use. The oldest one gives way.
const MAX_CONNECTIONS: usize = 16;
/// A call must be complete, and its response read, this long after its connection was accepted.
const CALL_TIMEOUT: Micros = 5_000_000;
/// The largest call: its head, and a body that nobody reads.
const MAX_CALL_BYTES: usize = 16 * 1024;

/// The listening socket of the admin address, where it is on, and the connections to it.
pub(in crate::server) struct AdminServer {
    listener: Option<TcpListener>,
    /// The oldest first.
    connections: VecDeque<Token>,
}

/// A connection to the admin address; it carries one call.
pub(in crate::server) struct AdminConnection {
    /// Its response is being written.
    is_answered: bool,
}

impl AdminServer {
    /// The admin address over this listening socket, if it is on.
    pub(in crate::server) fn new(listener: Option<TcpListener>) -> AdminServer {
        AdminServer { listener, connections: VecDeque::new() }
    }

    /// The listening socket.
    pub(in crate::server) fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Whether an event is for the listening socket or one of the connections.
    pub(in crate::server) fn owns(&self, token: Token) -> bool {
        token == ADMIN || self.connections.contains(&token)
    }

    /// A connection has been closed.
    fn on_closed(&mut self, token: Token) {
        self.connections.retain(|connection| *connection != token);
    }

    /// The next connection that waits to be accepted.
    fn accept(&self) -> Option<Connection> {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = rustix::net::accept_with(self.listener.as_ref()?, flags).ok()?;
        Some(Connection::new(TcpStream::from(fd)))
    }

    /// The connection that gives way to a new one, where no more may be held.
    fn take_excess(&mut self) -> Option<Token> {
        if self.connections.len() >= MAX_CONNECTIONS { self.connections.pop_front() } else { None }
    }
}

/// Reads a call. `None` until it is whole, or known to be none.
fn parse_call(inbox: &[u8], end: ReadEnd) -> Option<Result<AdminCall, Reject>> {
    let head = match http::read_request(inbox) {
        Ok(Some(head)) => head,
        Ok(None) if end == ReadEnd::LimitReached => return Some(Err(Reject::HeadTooLarge)),
        Ok(None) => return None,
        Err(error) => return Some(Err(error.into())),
    };
    let length = match head.framing {
        Framing::Length(length) => head.len + length,
        Framing::Absent => head.len,
        Framing::Chunked => return Some(Err(Reject::BadRequest)), // no call has a body to speak of
    };
    if length > MAX_CALL_BYTES {
        return Some(Err(Reject::BodyTooLarge));
    }
    if inbox.len() < length {
        return None;
    }
    Some(admin::route(inbox, &head))
}

impl Server {
    /// Connections wait to be accepted.
    pub(in crate::server) fn accept_admin(&mut self) {
        for _ in 0..crate::server::MAX_ACCEPTS_PER_TURN {
            let Some(conn) = self.admin.accept() else { return };
            if let Some(oldest) = self.admin.take_excess() {
                self.reactor.close_token(&mut self.core, oldest);
            }
            let connection = AdminConnection { is_answered: false };
            let Some(token) = self.reactor.add(conn, Role::Admin(connection)) else { continue };
            self.admin.connections.push_back(token);
            if let Some((mut conn, Role::Admin(connection))) = self.reactor.take(token) {
                conn.set_timer(&mut self.core, token, Some(self.clock.now() + CALL_TIMEOUT));
                self.on_admin_ready(token, conn, connection, EventFlags::IN);
            }
        }
    }

    /// A connection is readable, writable or closed.
    pub(in crate::server) fn on_admin_ready(
        &mut self,
        token: Token,
        mut conn: Connection,
        mut connection: AdminConnection,
        flags: EventFlags,
    ) {
        let is_readable = flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP);
        if !connection.is_answered && is_readable {
            let end = conn.fill(MAX_CALL_BYTES);
            if let Some(call) = parse_call(&conn.inbox, end) {
                conn.outbox.push(self.answer_admin_call(call));
                connection.is_answered = true;
            } else if end != ReadEnd::WouldBlock {
                return self.close_admin(token, conn, connection);
            }
        }
        let is_broken = !conn.flush() || flags.intersects(EventFlags::HUP | EventFlags::ERR);
        if is_broken || connection.is_answered && conn.outbox.is_empty() {
            return self.close_admin(token, conn, connection);
        }
        self.reactor.update_interest(token, &mut conn, !connection.is_answered);
        self.reactor.put(token, conn, Role::Admin(connection));
    }

    /// Closes a connection to the admin address: it has had its response, or its time.
    pub(in crate::server) fn close_admin(
        &mut self,
        token: Token,
        conn: Connection,
        connection: AdminConnection,
    ) {
        self.admin.on_closed(token);
        self.reactor.close(&mut self.core, token, conn, Role::Admin(connection));
    }

    fn answer_admin_call(&mut self, call: Result<AdminCall, Reject>) -> Vec<Piece> {
        match call {
            // Whether it takes clients is up to its successor.
            Ok(AdminCall::Ready | AdminCall::OutOfService | AdminCall::InService)
                if self.lifecycle.has_handed_over =>
            {
                admin::unavailable_page()
            }
            Ok(AdminCall::Ready) => admin::ok_page(),
            Ok(AdminCall::Counters) => admin::counters_page(&self.metrics_snapshot()),
            Ok(AdminCall::Members) => match self.membership.members_page(&self.config, self.clock.now()) {
                Some(page) => admin::members_page(&page),
                None => platform::reject(Reject::NoSuchPath, false),
            },
            Ok(AdminCall::OutOfService) => {
                self.start_drain();
                admin::ok_page()
            }
            Ok(AdminCall::InService) => {
                self.end_drain();
                admin::ok_page()
            }
            Err(reason) => platform::reject(reason, false),
        }
    }

    fn metrics_snapshot(&self) -> MetricsSnapshot {
        let tallies = self.core.tallies();
        let classes = tallies.into_iter().map(|(name, tally)| ClassMetrics {
            name: name.to_owned(),
            served: tally.served,
            rejected: tally.rejected,
            failed: tally.failed,
        });
        MetricsSnapshot {
            classes: classes.collect(),
            attempts_written: self.metrics.attempts_written,
            open: self.core.ledger.open(),
            listed: self.core.endpoints.listed(),
            avoided: self.core.ejected_endpoints(self.clock.now()),
            reloads: self.metrics.reloads,
            bad_reloads: self.metrics.bad_reloads,
            idempotency: self.idempotency_metrics(),
            streams: self.event_streams.as_ref().map(EventStreams::metrics),
            members: self.membership.members_page(&self.config, self.clock.now()),
            learners: self.core.learners.metrics(),
        }
    }
}

#[cfg(test)]
mod tests;
