//! A planned stop. Connections keep arriving for a while after the signal, and what arrives is owed an answer.

use crate::core::shutdown_plan::ShutdownPlan;
use crate::policy::interface::Micros;
use crate::server::connection::Conn;
use crate::server::{DRAIN_TIMER, Role, STOP_TIMER, Server, Token};

/// Out of service, clients' connections are closed from now on: the front has been told by then.
const CLOSE_IDLE: Micros = 450_000;
/// Out of service, a connection is closed once it has been idle for this long.
const DRAIN_IDLE: Micros = 250_000;
/// A connection that has been idle for less than this may have its request on the way.
pub(in crate::server) const FRESH: Micros = 30_000;
const STEP: Micros = 25_000;

impl Server {
    pub(in crate::server) fn stop(&mut self) {
        if self.stopping.is_none() {
            // A class that a reload took away has kept its number, but goes by no name.
            let names = &self.core.names().0.classes;
            let named =
                |n: &usize| names.names().get(*n).and_then(|name| names.find(name)) == Some(*n as u32);
            let deadlines = || self.classes.iter().map(|class| class.deadline).enumerate();
            let longest = deadlines().filter(|(n, _)| named(n)).map(|(_, deadline)| deadline).max();
            let ever = deadlines().map(|(_, deadline)| deadline).max();
            self.stopping = Some(ShutdownPlan::new(self.now, longest.unwrap_or(0), ever.unwrap_or(0)));
            tracing::info!("stopping: asked to; open={}", self.core.ledger.open());
            self.core.set_timer(self.now + STEP, STOP_TIMER);
            self.announce_state();
        }
    }

    /// Sends clients elsewhere while the program goes on, or takes them again. Whatever comes is still served.
    pub(in crate::server) fn drain(&mut self, on: bool) {
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
            self.core.set_timer(self.now + STEP, DRAIN_TIMER);
        }
        self.announce_state();
    }

    /// Goes on with the drain of the process that this one takes over from.
    pub(in crate::server) fn drain_again(&mut self) {
        self.drain_due = true;
        self.core.set_timer(self.now + STEP, DRAIN_TIMER);
    }

    /// While out of service, closes connections of clients that have asked for nothing since the front could know.
    pub(in crate::server) fn drain_step(&mut self) {
        self.drain_due = false;
        let Some(since) = self.drained.filter(|_| self.stopping.is_none()) else { return };
        if self.now >= since + CLOSE_IDLE {
            self.close_quiet(DRAIN_IDLE, false);
        }
        self.drain_due = true;
        self.core.set_timer(self.now + STEP, DRAIN_TIMER);
    }

    /// Closes the connections of frontends that have been idle for so long, those on which workers call back if `all`.
    fn close_quiet(&mut self, least: Micros, all: bool) {
        let quiet = self.idle_fronts.iter().take_while(|(idle, _)| idle + least <= self.now);
        for token in quiet.map(|(_, token)| *token).collect::<Vec<_>>() {
            match self.take(token) {
                Some((conn, Role::Front(front))) if all || !front.calls_back => {
                    self.close_idle(token, conn, front);
                }
                Some((conn, role)) => self.put(token, conn, role),
                None => {}
            }
        }
    }

    /// Whether clients are to turn to other dispatchers.
    pub(in crate::server) fn takes_leave(&self) -> bool {
        self.stopping.is_some() || self.drained.is_some()
    }

    /// Whether clients keep their connections: all the time while serving, and while stopping as long as no other
    /// dispatcher could take them. Out of service they are let go in any case.
    pub(in crate::server) fn keeps_clients(&self) -> bool {
        // They go over to the younger process as they are.
        self.handed
            || self.drained.is_none()
                && self
                    .stopping
                    .is_none_or(|plan| self.now < plan.keep_clients_until && self.peers.have_all_stopped())
    }

    pub(in crate::server) fn stop_step(&mut self) {
        let Some(plan) = self.stopping else { return };
        let keeps = self.keeps_clients();
        if self.now >= plan.close_idle_at && !keeps {
            // Workers tell of their jobs until the last one is done.
            self.close_quiet(FRESH, self.core.ledger.open() == 0);
        }
        if self.now >= plan.give_up_at {
            self.core.fail_all(self.now);
            self.run_commands();
        }
        if (self.handed || self.now >= plan.arrivals_end_at && !keeps) && self.is_quiet(plan) {
            // A client whose last connection has just ended may be back with a new one.
            if self.now >= *self.quiet_since.get_or_insert(self.now) + FRESH {
                tracing::info!("stopped: open={}", self.core.ledger.open());
                self.done = true;
                return;
            }
        } else {
            self.quiet_since = None;
        }
        self.core.set_timer(self.now + STEP, STOP_TIMER);
    }

    /// Whether nothing is left to answer or to be read: what the kernel has accepted by now is taken too.
    fn is_quiet(&mut self, plan: ShutdownPlan) -> bool {
        if !self.handed {
            self.accept(false);
            self.accept(true);
        }
        let settled = self.now.saturating_sub(FRESH);
        let busy = |conn: &Conn, role: &Role| match role {
            Role::Front(front) if front.is_busy(settled) || self.handed && front.is_reading() => true,
            _ => !conn.outbox.is_empty(),
        };
        let mut held = self.slots.iter().filter_map(|slot| slot.held.as_ref());
        let left = self.core.ledger.open() > 0 || held.any(|(conn, role)| busy(conn, role));
        !left || self.now >= plan.give_up_at + STEP * 8
    }

    /// Closes the connection of a frontend that has been idle for longest, and for at least so long.
    pub(in crate::server) fn drop_idle_front(&mut self, least: Micros) -> bool {
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

    pub(in crate::server) fn close_token(&mut self, token: Token) {
        if let Some((conn, role)) = self.take(token) {
            self.close(token, conn, role);
        }
    }
}
