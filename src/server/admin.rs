//! The admin address. Its connections have descriptors of their own and are served before anything else of a turn, so that
//! neither a crowd of clients nor callers that stop half way keep a call waiting.

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
use crate::server::{MAX_ACCEPTS_PER_TURN, Server};
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

    /// The next connection that waits to be accepted.
    fn accept(&self) -> Option<Connection> {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = rustix::net::accept_with(self.listener.as_ref()?, flags).ok()?;
        Some(Connection::new(TcpStream::from(fd)))
    }

    /// Takes a new connection in; the oldest one gives way where no more may be held. `None` where epoll refuses it.
    fn add(&mut self, context: &mut Context<'_>, connection: Connection) -> Option<Token> {
        if let Some(oldest) = self.take_excess() {
            context.reactor.close_token(context.core, oldest);
        }
        let token = context.reactor.add(connection, Role::Admin(AdminConnection { is_answered: false }))?;
        self.connections.push_back(token);
        if let Some((mut connection, role)) = context.reactor.take(token) {
            connection.set_timer(context.core, token, Some(context.clock.now() + CALL_TIMEOUT));
            context.reactor.put(token, connection, role);
        }
        Some(token)
    }

    /// The connection that gives way to a new one, where no more may be held.
    fn take_excess(&mut self) -> Option<Token> {
        if self.connections.len() >= MAX_CONNECTIONS { self.connections.pop_front() } else { None }
    }

    /// Writes the answer of a call, and closes its connection once that is written.
    fn write_answer(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        mut connection: Connection,
        caller: AdminConnection,
        flags: EventFlags,
    ) {
        let is_broken = !connection.flush() || flags.intersects(EventFlags::HUP | EventFlags::ERR);
        if is_broken || caller.is_answered && connection.outbox.is_empty() {
            return self.close(context, token, connection, caller);
        }
        let reading = if caller.is_answered { Reading::Paused } else { Reading::Wanted };
        context.reactor.update_interest(token, &mut connection, reading);
        context.reactor.put(token, connection, Role::Admin(caller));
    }

    /// Closes a connection: it has had its answer, or its time.
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

/// What has come of a call.
enum CallRead {
    /// Nothing new: it is not whole yet, or answered already.
    Pending,
    /// It is whole, or known to be none.
    Complete(Result<AdminCall, Reject>),
    /// Its caller has gone.
    Ended,
}

impl AdminConnection {
    /// Reads what has come, as the flags say.
    fn read_call(&self, connection: &mut Connection, flags: EventFlags) -> CallRead {
        let is_readable = flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP);
        if self.is_answered || !is_readable {
            return CallRead::Pending;
        }
        let end = connection.fill(MAX_CALL_BYTES);
        match parse_call(&connection.inbox, end) {
            Some(call) => CallRead::Complete(call),
            None if end != ReadEnd::WouldBlock => CallRead::Ended,
            None => CallRead::Pending,
        }
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

/// What needs all parts: the calls are answered out of them.
impl Server {
    /// Connections wait to be accepted. Often the call is there already.
    pub(in crate::server) fn accept_admin(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(connection) = self.admin.accept() else { return };
            if let Some(token) = self.admin.add(&mut context!(self), connection) {
                self.on_ready(token, EventFlags::IN);
            }
        }
    }

    /// A connection is readable, writable or closed.
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
                connection.outbox.push(self.answer_admin_call(call));
                caller.is_answered = true;
            }
            CallRead::Ended => return self.admin.close(&mut context!(self), token, connection, caller),
        }
        self.admin.write_answer(&mut context!(self), token, connection, caller, flags);
    }

    /// The response to a call, which is carried out.
    fn answer_admin_call(&mut self, call: Result<AdminCall, Reject>) -> Vec<Piece> {
        match call {
            // Whether it takes clients is up to its successor.
            Ok(AdminCall::Ready | AdminCall::OutOfService | AdminCall::InService)
                if self.lifecycle.has_handed_over() =>
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

    /// What all parts count, at this moment.
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
            idempotency: self.records.as_ref().and_then(|records| records.metrics(&self.core)),
            streams: self.event_streams.as_ref().map(EventStreams::metrics),
            members: self.membership.members_page(&self.config, self.clock.now()),
            learners: self.core.learners.metrics(),
        }
    }
}

#[cfg(test)]
mod tests;
