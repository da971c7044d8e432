//! Connections to the second address. They have descriptors of their own and are served before anything else of a turn, so
//! that neither a crowd of clients nor callers that stop half way keep a call waiting.

use crate::http::{self, Framing};
use crate::policy::interface::Micros;
use crate::protocol::admin::{self, AdminCall, ClassMetrics, MetricsSnapshot};
use crate::protocol::platform::{self, Reject};
use crate::server::connection::{Connection, ReadEnd};
use crate::server::downstream::event_streams::EventStreams;
use crate::server::{ADMIN, Role, Server, Token};
use rustix::event::epoll::EventFlags;
use rustix::net::SocketFlags;
use std::net::TcpStream;

/// Connections held at most, out of the descriptors that no other connection may use. The oldest half call gives way.
const MOST: usize = 16;
/// A call must be complete by then, and its answer read.
const CALL_TIME: Micros = 5_000_000;
/// The largest call: its head, and a body that nobody reads.
const MOST_BYTES: usize = 16 * 1024;

/// A connection to the second address.
pub(in crate::server) struct Caller {
    /// Its answer is being written.
    answered: bool,
}

impl Server {
    pub(in crate::server) fn accept_admin(&mut self) {
        for _ in 0..crate::server::MAX_ACCEPTS_PER_TURN {
            let Some(listener) = &self.admin else { return };
            let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
            let Ok(fd) = rustix::net::accept_with(listener, flags) else { return };
            if self.callers.len() >= MOST
                && let Some(oldest) = self.callers.pop_front()
            {
                self.close_token(oldest);
            }
            let conn = Connection::new(TcpStream::from(fd));
            let Some(token) = self.add(conn, |_| Role::Admin(Caller { answered: false })) else { continue };
            self.callers.push_back(token);
            if let Some((mut conn, Role::Admin(caller))) = self.take(token) {
                self.set_timer(token, &mut conn, Some(self.now + CALL_TIME));
                self.admin_ready(token, conn, caller, EventFlags::IN);
            }
        }
    }

    /// Whether this event is the second address's.
    pub(in crate::server) fn is_admin(&self, token: Token) -> bool {
        token == ADMIN || self.callers.contains(&token)
    }

    pub(in crate::server) fn admin_ready(
        &mut self,
        token: Token,
        mut conn: Connection,
        mut caller: Caller,
        flags: EventFlags,
    ) {
        if !caller.answered && flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP) {
            let end = conn.fill(MOST_BYTES);
            if let Some(answer) = self.admin_call(&conn, end) {
                conn.outbox.push(answer);
                caller.answered = true;
            } else if end != ReadEnd::WouldBlock {
                return self.close(token, conn, Role::Admin(caller));
            }
        }
        let broken = !conn.flush() || flags.intersects(EventFlags::HUP | EventFlags::ERR);
        if broken || caller.answered && conn.outbox.is_empty() {
            return self.close(token, conn, Role::Admin(caller));
        }
        self.update_interest(token, &mut conn, !caller.answered);
        self.put(token, conn, Role::Admin(caller));
    }

    /// The answer to what has been read, once it is a whole call or can be none.
    fn admin_call(&mut self, conn: &Connection, end: ReadEnd) -> Option<Vec<http::Piece>> {
        let refused = |why: Reject| Some(platform::reject(why, false));
        let head = match http::read_request(&conn.inbox) {
            Ok(Some(head)) => head,
            Ok(None) if end == ReadEnd::LimitReached => return refused(Reject::HeadTooLarge),
            Ok(None) => return None,
            Err(error) => return refused(error.into()),
        };
        let length = match head.framing {
            Framing::Length(length) => head.len + length,
            Framing::Absent => head.len,
            Framing::Chunked => return refused(Reject::BadRequest), // no call has a body to speak of
        };
        if length > MOST_BYTES {
            return refused(Reject::BodyTooLarge);
        }
        if conn.inbox.len() < length {
            return None;
        }
        Some(match admin::route(&conn.inbox, &head) {
            Ok(AdminCall::Ready) if self.has_handed_over() => admin::unavailable_page(), // its successor takes them
            Ok(AdminCall::Ready) => admin::ok_page(),
            Ok(AdminCall::Counters) => admin::counters_page(&self.figures()),
            Ok(AdminCall::Members) => match self.members_page() {
                Some(page) => admin::members_page(&page),
                None => platform::reject(Reject::NoSuchPath, false),
            },
            Ok(AdminCall::OutOfService | AdminCall::InService) if self.has_handed_over() => {
                admin::unavailable_page()
            } // that is up to its successor
            Ok(AdminCall::OutOfService) => {
                self.start_drain();
                admin::ok_page()
            }
            Ok(AdminCall::InService) => {
                self.end_drain();
                admin::ok_page()
            }
            Err(why) => platform::reject(why, false),
        })
    }

    fn figures(&self) -> MetricsSnapshot {
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
            avoided: self.core.ejected_endpoints(self.now),
            reloads: self.metrics.reloads,
            bad_reloads: self.metrics.bad_reloads,
            state: self.state_figures(),
            streams: self.event_streams.as_ref().map(EventStreams::metrics),
            members: self.members_page(),
            learners: self.core.learners.figures(),
        }
    }
}
