//! Graceful shutdown. Connections keep arriving for a while after the signal, and every request that arrives must be answered.
//!
//! 1. At the signal a plan is made from the deadlines of the classes, and the peers are notified.
//! 2. From `close_idle_at` on, idle client connections are closed, unless no other dispatcher could take those clients.
//! 3. At `give_up_at`, every request that is still open fails.
//! 4. From `arrivals_end_at` on, or after a handover, the event loop ends once no work has been left for
//!    [`MIN_IDLE_BEFORE_CLOSE`].

use crate::core::shutdown_plan::{ShutdownPlan, SignalTime};
use crate::policy::interface::{ClassId, Micros};
use crate::server::Server;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::MIN_IDLE_BEFORE_CLOSE;
use crate::server::lifecycle::drain::IdleClients;
use crate::server::listeners::ListenerKind;
use crate::server::tokens::SHUTDOWN_TIMER;

/// The interval between two steps of a shutdown or drain, in microseconds.
pub(super) const STEP_INTERVAL: Micros = 25_000;
/// How long after the plan's `give_up_at` the shutdown still waits for busy connections, in microseconds. After that they are
/// dropped.
const MAX_OVERTIME: Micros = STEP_INTERVAL * 8;

impl Server {
    /// Starts the shutdown, unless this process is shutting down already.
    pub(in crate::server) fn start_shutdown(&mut self) {
        if self.lifecycle.is_shutting_down() {
            return;
        }
        self.lifecycle.shutdown = Some(self.plan_shutdown());
        tracing::info!(open = self.core.ledger().open(), "shutdown started");
        self.core.set_timer(self.clock.now() + STEP_INTERVAL, SHUTDOWN_TIMER);
        self.peers.announce_state(&mut context!(self));
    }

    /// Returns the plan of a shutdown that starts now.
    fn plan_shutdown(&self) -> ShutdownPlan {
        let is_current = |number: usize| self.core.names().is_current_class(ClassId(number as u16));
        let deadlines = || self.config.settings.classes.iter().map(|class| class.deadline).enumerate();
        let current = deadlines().filter(|(number, _)| is_current(*number));
        let longest_current = current.map(|(_, deadline)| deadline).max();
        let longest = deadlines().map(|(_, deadline)| deadline).max();
        let signal = SignalTime { earliest: self.polls.earliest_arrival(), noticed: self.clock.now() };
        ShutdownPlan::new(signal, longest_current.unwrap_or(0), longest.unwrap_or(0))
    }

    /// The shutdown timer has fired: takes the steps of the plan that are due, and sets the timer again unless the shutdown is
    /// complete.
    pub(in crate::server) fn on_shutdown_timer(&mut self) {
        let Some(plan) = self.lifecycle.shutdown else { return };
        let keeps_clients = self.lifecycle.keeps_client_connections(self.clock.now(), &self.peers);
        if self.clock.now() >= plan.close_idle_at && !keeps_clients {
            // Workers send status callbacks until the last job has ended.
            let which = match self.core.ledger().open() {
                0 => IdleClients::All,
                _ => IdleClients::WithoutCallbacks,
            };
            self.close_idle_clients(MIN_IDLE_BEFORE_CLOSE, which);
        }
        if self.clock.now() >= plan.give_up_at {
            self.core.fail_all(self.clock.now());
            self.run_commands();
        }
        let may_end =
            self.lifecycle.has_handed_over || self.clock.now() >= plan.arrivals_end_at && !keeps_clients;
        if may_end && self.is_quiescent(plan) {
            // A client whose last connection has just ended may open a new one.
            let since = *self.lifecycle.quiescent_since.get_or_insert(self.clock.now());
            if self.clock.now() >= since + MIN_IDLE_BEFORE_CLOSE {
                tracing::info!(open = self.core.ledger().open(), "shutdown complete");
                self.lifecycle.is_done = true;
                return;
            }
        } else {
            self.lifecycle.quiescent_since = None;
        }
        self.core.set_timer(self.clock.now() + STEP_INTERVAL, SHUTDOWN_TIMER);
    }

    /// Returns whether nothing is left to answer or to read, and no client is expected to come back for a
    /// final event, and no job is left to hand over. First accepts the connections that wait in the listeners' backlogs.
    fn is_quiescent(&mut self, plan: ShutdownPlan) -> bool {
        if !self.lifecycle.has_handed_over {
            self.accept_clients(ListenerKind::Platform);
            self.accept_clients(ListenerKind::Sse);
        }
        let now = self.clock.now();
        let is_work_left = self.core.ledger().open() > 0
            || self.event_streams.as_ref().is_some_and(|streams| streams.awaits_watchers(now))
            || self.lifecycle.has_handed_over && !self.stream_jobs().is_empty()
            || self.reactor.connections().iter().any(|(connection, role)| self.is_busy(connection, role));
        !is_work_left || now >= plan.give_up_at + MAX_OVERTIME
    }

    /// Whether a connection may still have a response to send or bytes to read.
    fn is_busy(&self, connection: &Connection, role: &Role) -> bool {
        let idle_before = self.clock.now().saturating_sub(MIN_IDLE_BEFORE_CLOSE);
        let has_output = !connection.write_queue.is_empty();
        match role {
            Role::Client(client) => {
                client.is_busy(idle_before)
                    || self.lifecycle.has_handed_over && client.is_reading()
                    || has_output
            }
            _ => has_output,
        }
    }
}
