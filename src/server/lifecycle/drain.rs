//! Drain: clients are sent elsewhere while the program keeps running.
//!
//! 1. A call of `out-of-service` at the admin address starts it. From then on readiness is refused, and the peers are notified.
//! 2. After a delay in which the load balancer in front notices, each firing of the timer closes the client connections that
//!    have been idle for long enough.
//! 3. A call of `in-service` ends it. Requests that arrive meanwhile are still served.

use crate::policy::interface::Micros;
use crate::server::Server;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::context::client_context;
use crate::server::lifecycle::shutdown::STEP_INTERVAL;
use crate::server::tokens::{DRAIN_TIMER, Token};

/// Client connections are closed only after this delay from the start of the drain, in microseconds. By then the load balancer
/// in front knows of the drain.
const DRAIN_CLOSE_DELAY: Micros = 450_000;
/// While draining, a connection is closed once it has been idle for this long, in microseconds.
const DRAIN_IDLE_TIME: Micros = 250_000;

/// Which idle client connections to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleClients {
    /// All.
    All,
    /// Those on which no worker sends status callbacks.
    WithoutCallbacks,
}

impl Server {
    /// Starts the drain, unless it has started. Requests that arrive are still served.
    pub(in crate::server) fn start_drain(&mut self) {
        if self.lifecycle.drained_since.is_some() {
            return; // a repeated call changes nothing
        }
        self.lifecycle.drained_since = Some(self.clock.now());
        tracing::info!(open = self.core.ledger().open(), "drain started");
        self.on_drain_changed();
    }

    /// Ends the drain, if there is one: this dispatcher takes clients again.
    pub(in crate::server) fn end_drain(&mut self) {
        if self.lifecycle.drained_since.take().is_none() {
            return;
        }
        tracing::info!(open = self.core.ledger().open(), "drain ended");
        self.on_drain_changed();
    }

    /// Sets the drain timer, unless it is set, and announces to the peers whether this dispatcher drains.
    fn on_drain_changed(&mut self) {
        if !self.lifecycle.is_drain_timer_set {
            self.resume_drain();
        }
        self.peers.announce_state(&mut context!(self));
    }

    /// Sets the drain timer. A successor calls this too, to continue the drain of its predecessor.
    pub(in crate::server) fn resume_drain(&mut self) {
        self.lifecycle.is_drain_timer_set = true;
        self.core.set_timer(self.clock.now() + STEP_INTERVAL, DRAIN_TIMER);
    }

    /// The drain timer has fired. While draining, closes idle client connections once the load balancer knows of the drain.
    pub(in crate::server) fn on_drain_timer(&mut self) {
        self.lifecycle.is_drain_timer_set = false;
        let since = self.lifecycle.drained_since.filter(|_| !self.lifecycle.is_shutting_down());
        let Some(since) = since else { return };
        if self.clock.now() >= since + DRAIN_CLOSE_DELAY {
            self.close_idle_clients(DRAIN_IDLE_TIME, IdleClients::WithoutCallbacks);
        }
        self.resume_drain();
    }

    /// Closes the client connections that have been idle for at least `min_idle`.
    pub(super) fn close_idle_clients(&mut self, min_idle: Micros, which: IdleClients) {
        let idle: Vec<Token> = self.clients.idle_for(min_idle, self.clock.now()).collect();
        for token in idle {
            match self.reactor.take(token) {
                Some((connection, Role::Client(client)))
                    if which == IdleClients::All || !client.has_callbacks =>
                {
                    let context = &mut client_context!(self);
                    self.clients.close_idle(context, token, connection, client);
                }
                Some((connection, role)) => self.reactor.put(token, connection, role),
                None => {}
            }
        }
    }
}
