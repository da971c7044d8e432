//! The admin address. Its connections use reserved descriptors and are served first in each turn of the loop, so that calls are
//! delayed neither by many clients nor by callers that stop half way through a call.

use crate::http::{self, Framing, Piece};
use crate::policy::interface::Micros;
use crate::protocol::admin::{self, AdminCall, ClassMetrics, MetricsSnapshot};
use crate::protocol::platform::{self, Reject};
use crate::server::connection::{Connection, ReadEnd};
use crate::server::connection_table::Role;
use crate::server::context::{Context, context};
use crate::server::downstream::event_streams::EventStreams;
use crate::server::reactor::Reading;
use crate::server::tokens::{ADMIN, Token};
use crate::server::{MAX_ARRIVALS_PER_TURN, Server};
use rustix::event::epoll::EventFlags;
use rustix::net::SocketFlags;
use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};

/// The maximum number of connections; they use descriptors that no other connection may use. A further connection closes the
/// oldest one.
const MAX_CONNECTIONS: usize = 16;
/// The time, from accepting a connection, within which its call must be complete and its response read, in microseconds.
const CALL_TIMEOUT: Micros = 5_000_000;
/// The maximum size of a call in bytes: its head, and a body that is ignored.
const MAX_CALL_BYTES: usize = 16 * 1024;

/// The listening socket of the admin address, if it is on, and the connections to it.
pub(in crate::server) struct AdminServer {
    listener: Option<TcpListener>,
    /// The open connections, oldest first.
    connections: VecDeque<Token>,
}

/// A connection to the admin address, which carries one call.
pub(in crate::server) struct AdminConnection {
    /// Whether the response is being written.
    is_responding: bool,
}

impl AdminServer {
    /// Creates the admin server for a listening socket; `None` if the admin address is off.
    pub(in crate::server) fn new(listener: Option<TcpListener>) -> AdminServer {
        AdminServer { listener, connections: VecDeque::new() }
    }

    /// The listening socket, if the admin address is on.
    pub(in crate::server) fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Whether a token belongs to the listening socket or to one of the connections.
    pub(in crate::server) fn owns(&self, token: Token) -> bool {
        token == ADMIN || self.connections.contains(&token)
    }

    /// Accepts the next waiting connection; `None` if none is waiting or the system call fails.
    fn accept(&self) -> Option<Connection> {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = rustix::net::accept_with(self.listener.as_ref()?, flags).ok()?;
        Some(Connection::new(TcpStream::from(fd)))
    }

    /// Adds a new connection and sets its deadline. Closes the oldest one if the maximum is reached. Returns `None` if epoll
    /// refuses the new one.
    fn add(&mut self, context: &mut Context<'_>, connection: Connection) -> Option<Token> {
        if let Some(oldest) = self.take_excess() {
            context.reactor.close_token(context.core, oldest);
        }
        let token = context.reactor.add(connection, Role::Admin(AdminConnection { is_responding: false }))?;
        self.connections.push_back(token);
        if let Some((mut connection, role)) = context.reactor.take(token) {
            connection.set_timer(context.core, token, Some(context.clock.now() + CALL_TIMEOUT));
            context.reactor.put(token, connection, role);
        }
        Some(token)
    }

    /// Removes and returns the oldest connection if the maximum is reached.
    fn take_excess(&mut self) -> Option<Token> {
        if self.connections.len() >= MAX_CONNECTIONS { self.connections.pop_front() } else { None }
    }

    /// Writes the response of a call, and closes the connection once the response is written or the connection is broken.
    fn write_response(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        mut connection: Connection,
        caller: AdminConnection,
        flags: EventFlags,
    ) {
        let is_broken = !connection.flush() || flags.intersects(EventFlags::HUP | EventFlags::ERR);
        if is_broken || caller.is_responding && connection.write_queue.is_empty() {
            return self.close(context, token, connection, caller);
        }
        let reading = if caller.is_responding { Reading::Paused } else { Reading::Wanted };
        context.reactor.update_interest(token, &mut connection, reading);
        context.reactor.put(token, connection, Role::Admin(caller));
    }

    /// Closes a connection whose response is written, whose deadline has passed, or which has ended.
    pub(in crate::server) fn close(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: Connection,
        caller: AdminConnection,
    ) {
        self.connections.retain(|other| *other != token);
        context.reactor.close(context.core, token, connection, Role::Admin(caller));
    }
}

/// The result of reading a call.
enum CallRead {
    /// The call is not complete yet, or its response is already being written.
    Pending,
    /// The call is complete, or known to be invalid.
    Complete(Result<AdminCall, Reject>),
    /// The caller has disconnected.
    Ended,
}

impl AdminConnection {
    /// Reads the available bytes, if the flags indicate that there may be any.
    fn read_call(&self, connection: &mut Connection, flags: EventFlags) -> CallRead {
        let is_readable = flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP);
        if self.is_responding || !is_readable {
            return CallRead::Pending;
        }
        let end = connection.fill(MAX_CALL_BYTES);
        match parse_call(&connection.read_buffer, end) {
            Some(call) => CallRead::Complete(call),
            None if end != ReadEnd::WouldBlock => CallRead::Ended,
            None => CallRead::Pending,
        }
    }
}

/// Parses a call. Returns `None` until the call is complete or known to be invalid.
fn parse_call(read_buffer: &[u8], end: ReadEnd) -> Option<Result<AdminCall, Reject>> {
    let head = match http::read_request(read_buffer) {
        Ok(Some(head)) => head,
        Ok(None) if end == ReadEnd::LimitReached => return Some(Err(Reject::HeadTooLarge)),
        Ok(None) => return None,
        Err(error) => return Some(Err(error.into())),
    };
    let length = match head.framing {
        Framing::Length(length) => head.len + length,
        Framing::Absent => head.len,
        Framing::Chunked => return Some(Err(Reject::BadRequest)), // calls have no meaningful body
    };
    if length > MAX_CALL_BYTES {
        return Some(Err(Reject::BodyTooLarge));
    }
    if read_buffer.len() < length {
        return None;
    }
    Some(admin::route(read_buffer, &head))
}

/// Accepting and executing calls. These are methods of the server because the responses need all its parts.
impl Server {
    /// Accepts the waiting connections, and serves each one at once, because its call has often arrived already.
    pub(in crate::server) fn accept_admin(&mut self) {
        for _ in 0..MAX_ARRIVALS_PER_TURN {
            let Some(connection) = self.admin.accept() else { return };
            if let Some(token) = self.admin.add(&mut context!(self), connection) {
                self.on_ready(token, EventFlags::IN);
            }
        }
    }

    /// Handles a connection to the admin address that is readable, writable or closed.
    pub(in crate::server) fn on_admin_ready(
        &mut self,
        token: Token,
        mut connection: Connection,
        mut caller: AdminConnection,
        flags: EventFlags,
    ) {
        match caller.read_call(&mut connection, flags) {
            CallRead::Pending => {}
            CallRead::Complete(call) => {
                connection.write_queue.push(self.execute_admin_call(call));
                caller.is_responding = true;
            }
            CallRead::Ended => return self.admin.close(&mut context!(self), token, connection, caller),
        }
        self.admin.write_response(&mut context!(self), token, connection, caller, flags);
    }

    /// Executes a call and returns its response.
    fn execute_admin_call(&mut self, call: Result<AdminCall, Reject>) -> Vec<Piece> {
        match call {
            // After a handover the successor decides whether this dispatcher accepts clients.
            Ok(AdminCall::Ready | AdminCall::OutOfService | AdminCall::InService)
                if self.lifecycle.has_handed_over() =>
            {
                admin::unavailable_page()
            }
            Ok(AdminCall::Ready) => admin::ok_page(),
            Ok(AdminCall::Counters) => admin::counters_page(&self.metrics_snapshot()),
            Ok(AdminCall::Members) => match self.membership.members_page(&self.config, self.clock.now()) {
                Some(page) => admin::members_page(&page),
                None => platform::reject(Reject::NotFound, false),
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

    /// Collects the current counters of all parts.
    fn metrics_snapshot(&self) -> MetricsSnapshot {
        let tallies = self.core.tallies_by_class();
        let classes = tallies.into_iter().map(|(name, tally)| ClassMetrics {
            name: name.to_owned(),
            served: tally.served,
            rejected: tally.rejected,
            failed: tally.failed,
        });
        MetricsSnapshot {
            classes: classes.collect(),
            attempts_written: self.metrics.attempts_written,
            open: self.core.ledger().open(),
            listed_workers: self.core.endpoints().listed_count(),
            unavailable_workers: self.core.unavailable_workers(self.clock.now()),
            reloads: self.metrics.reloads,
            bad_reloads: self.metrics.bad_reloads,
            idempotency: self.records.as_ref().and_then(|records| records.metrics(&self.core)),
            streams: self.event_streams.as_ref().map(EventStreams::metrics),
            members: self.membership.members_page(&self.config, self.clock.now()),
            learners: self.core.learners().metrics(),
        }
    }
}

#[cfg(test)]
mod tests;
