//! A planned stop. Connections keep arriving for a while after the signal, and what arrives is owed an answer.

use super::{DRAIN_TIMER, Role, STOP_TIMER, Server, Token};
use crate::interface::Micros;

/// New requests may arrive for this long after the signal.
const ARRIVALS: Micros = 700_000;
/// Idle connections of frontends are closed after this, so that their clients turn elsewhere.
const CLOSE_IDLE: Micros = 450_000;
/// While every other dispatcher is stopping too or gone, clients have nowhere to turn: their connections are kept for
/// this long at most. What comes later could hardly end in time.
const HOLD: Micros = 2_000_000;
/// The machine may be taken away this long after the signal: what is open by then is answered as failed.
const LAST: Micros = 3_400_000;
/// Out of service, a connection is closed once it has been idle for this long.
const DRAIN_IDLE: Micros = 250_000;
/// A connection that has been idle for less than this may have its request on the way.
pub(super) const FRESH: Micros = 30_000;
const STEP: Micros = 25_000;

impl Server {
    pub(super) fn stop(&mut self) {
        if self.stopping.is_none() {
            self.stopping = Some(self.now);
            tracing::info!("stopping: asked to; open={}", self.core.ledger.open());
            self.core.remind(self.now + STEP, STOP_TIMER);
            self.tell_state();
        }
    }

    /// Sends clients elsewhere while the program goes on, or takes them again. Whatever comes is still served.
    pub(super) fn drain(&mut self, on: bool) {
        if on == self.drained.is_some() {
            return; // asked for again: nothing starts anew
        }
        self.drained = on.then_some(self.now);
        tracing::info!(
            "{}: open={}",
            if on { "out of service" } else { "in service" },
            self.core.ledger.open()
        );
        if !std::mem::replace(&mut self.drain_due, true) {
            self.core.remind(self.now + STEP, DRAIN_TIMER);
        }
        self.tell_state();
    }

    /// Goes on with the drain of the process that this one takes over from.
    pub(super) fn drain_again(&mut self) {
        self.drain_due = true;
        self.core.remind(self.now + STEP, DRAIN_TIMER);
    }

    /// While out of service, closes connections of clients that have asked for nothing since the front could know.
    pub(super) fn drain_step(&mut self) {
        self.drain_due = false;
        let Some(since) = self.drained.filter(|_| self.stopping.is_none()) else { return };
        if self.now >= since + CLOSE_IDLE {
            let quiet = self.idle_fronts.iter().take_while(|(idle, _)| idle + DRAIN_IDLE <= self.now);
            for token in quiet.map(|(_, token)| *token).collect::<Vec<_>>() {
                match self.take(token) {
                    // Workers tell of their jobs until the last one is done.
                    Some((conn, Role::Front(front))) if !front.calls_back => {
                        self.close_idle(token, conn, front);
                    }
                    Some((conn, role)) => self.put(token, conn, role),
                    None => {}
                }
            }
        }
        self.drain_due = true;
        self.core.remind(self.now + STEP, DRAIN_TIMER);
    }

    /// Whether clients are to turn to other dispatchers.
    pub(super) fn takes_leave(&self) -> bool {
        self.stopping.is_some() || self.drained.is_some()
    }

    /// Whether clients keep their connections: all the time while serving, and while stopping as long as no other
    /// dispatcher could take them. Out of service they are let go in any case.
    pub(super) fn keeps_clients(&self) -> bool {
        // They go over to the younger process as they are.
        self.handed
            || self.drained.is_none()
                && self.stopping.is_none_or(|since| self.now < since + HOLD && self.peers_stopped())
    }

    pub(super) fn stop_step(&mut self) {
        let Some(since) = self.stopping else { return };
        let age = self.now.saturating_sub(since);
        let keeps = self.keeps_clients();
        if age >= CLOSE_IDLE && !keeps {
            while self.drop_idle_front(FRESH) {}
        }
        if age >= LAST {
            self.core.fail_all(self.now);
            self.run_commands();
        }
        if self.handed || age >= ARRIVALS && !keeps {
            // What the kernel has accepted is taken too.
            if !self.handed {
                self.accept(false);
                self.accept(true);
            }
            let settled = self.now.saturating_sub(FRESH);
            let busy = |role: &Role| matches!(role, Role::Front(front) if front.is_busy(settled));
            let writing = self.slots.iter().filter_map(|s| s.held.as_ref());
            let waits = |role: &Role| matches!(role, Role::Front(front) if self.handed && front.is_reading());
            let busy = writing.filter(|(conn, role)| !conn.outbox.is_empty() || busy(role) || waits(role));
            let busy = busy.count();
            if (self.core.ledger.open() == 0 && busy == 0) || age >= LAST + STEP * 8 {
                tracing::info!("stopped: open={}", self.core.ledger.open());
                self.done = true;
                return;
            }
        }
        self.core.remind(self.now + STEP, STOP_TIMER);
    }

    /// Closes the connection of a frontend that has been idle for longest, and for at least so long.
    pub(super) fn drop_idle_front(&mut self, least: Micros) -> bool {
        while let Some((since, token)) = self.idle_fronts.first().copied() {
            if since + least > self.now {
                return false; // nor is any other that came later
            }
            match self.take(token) {
                Some((conn, Role::Front(front))) => {
                    if self.close_idle(token, conn, front) {
                        return true;
                    }
                }
                _ => {
                    crate::invariant!(false, "an idle connection that is none");
                    self.idle_fronts.pop_first();
                }
            }
        }
        false
    }

    pub(super) fn close_token(&mut self, token: Token) {
        if let Some((conn, role)) = self.take(token) {
            self.close(token, conn, role);
        }
    }
}
