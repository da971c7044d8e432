//! A planned stop. Connections keep arriving for a while after the signal, and what arrives is owed an answer.

use super::{Role, STOP_TIMER, Server, Token};
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
const STEP: Micros = 25_000;

impl Server {
    pub(super) fn stop(&mut self) {
        if self.stopping.is_none() {
            self.stopping = Some(self.now);
            eprintln!("stopping: asked to; open={}", self.core.ledger.open());
            self.core.remind(self.now + STEP, STOP_TIMER);
            self.tell_state();
        }
    }

    /// Whether clients keep their connections: all the time while serving, and while stopping as long as no other
    /// dispatcher could take them.
    pub(super) fn keeps_clients(&self) -> bool {
        self.stopping.is_none_or(|since| self.now < since + HOLD && self.peers_stopped())
    }

    pub(super) fn stop_step(&mut self) {
        let Some(since) = self.stopping else { return };
        let age = self.now.saturating_sub(since);
        let keeps = self.keeps_clients();
        if age >= CLOSE_IDLE && !keeps {
            while self.drop_idle_front() {}
        }
        if age >= LAST {
            self.core.fail_all();
            self.run_commands();
        }
        if age >= ARRIVALS && !keeps {
            // What the kernel has accepted is taken too.
            self.accept(false);
            self.accept(true);
            let busy = |role: &Role| matches!(role, Role::Front(front) if front.is_busy());
            let writing = self.slots.iter().filter_map(|s| s.held.as_ref());
            let busy = writing.filter(|(conn, role)| !conn.outbox.is_empty() || busy(role)).count();
            if (self.core.ledger.open() == 0 && busy == 0) || age >= LAST + STEP * 8 {
                eprintln!("stopped: open={}", self.core.ledger.open());
                self.done = true;
                return;
            }
        }
        self.core.remind(self.now + STEP, STOP_TIMER);
    }

    /// Closes the connection of a frontend that has been idle for longest.
    pub(super) fn drop_idle_front(&mut self) -> bool {
        while let Some((_, token)) = self.idle_fronts.first().copied() {
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
