//! Connections of frontends that this side has ended. What arrives on one is read and dropped until the client has ended too:
//! closing over bytes that were not read would reset it, and take an answer with it. Nothing read here is ever sent on; a
//! client whose request crossed the end sends it again elsewhere.

use crate::http::{MAX_BODY, MAX_HEAD};
use crate::policy::interface::Micros;
use crate::server::connection::{Conn, ReadEnd};
use crate::server::downstream::{Front, State};
use crate::server::{Role, Server, Token};
use std::collections::BTreeSet;
use std::net::Shutdown;

/// A client is waited for this long: many times as long as the way to any, short beside all deadlines.
const LINGER: Micros = 1_000_000;

/// Those connections, the oldest first.
#[derive(Default)]
pub(in crate::server) struct Lingering(BTreeSet<(Micros, Token)>);

impl Lingering {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// It is over.
    pub fn forget(&mut self, since: Micros, token: Token) {
        self.0.remove(&(since, token));
    }
}

impl Server {
    /// Ends this side of a connection on which all is written.
    pub(in crate::server) fn half_close(&mut self, token: Token, conn: &mut Conn, front: &mut Front) {
        let _ = conn.stream.shutdown(Shutdown::Write); // it may be gone; the timer ends it
        self.settle_idle(token, front);
        conn.inbox = Vec::new();
        front.state = State::Ending { since: Some(self.now) };
        self.lingering.0.insert((self.now, token));
        self.set_timer(token, conn, Some(self.now + LINGER));
        // They have a share of their own beside the clients that are served; under a flood the oldest are closed.
        if self.lingering.len() > self.budget.last_fronts - self.budget.fronts {
            self.drop_lingering();
        }
    }

    /// Closes the connection that has lingered for longest, for its descriptor.
    pub(in crate::server) fn drop_lingering(&mut self) -> bool {
        let Some((_, token)) = self.lingering.0.pop_first() else { return false };
        match self.take(token) {
            Some((conn, Role::Front(front))) => self.linger_over(token, conn, front),
            // The one in use right now is told when its turn is over.
            Some((conn, role)) => self.put(token, conn, role),
            None => {}
        }
        true
    }

    /// Closes a connection whose client has had its time; what it has sent by now is read.
    pub(in crate::server) fn linger_over(&mut self, token: Token, mut conn: Conn, front: Front) {
        conn.inbox.clear();
        let _: ReadEnd = conn.fill(MAX_HEAD + MAX_BODY);
        self.front_gone(token, conn, front);
    }
}
