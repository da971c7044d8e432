//! Drain: clients are sent elsewhere while the program goes on.
//!
//! 1. `out-of-service` is called at the admin address: readiness is refused from then on, and the peers are notified.
//! 2. Once the load balancer in front can know, connections of clients that have been idle for long enough are closed, each
//!    time that the timer fires.
//! 3. `in-service` ends it. Whatever comes meanwhile is still served.

use crate::policy::interface::Micros;
use crate::server::Server;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::context::client_context;
use crate::server::lifecycle::shutdown::STEP_INTERVAL;
use crate::server::tokens::{DRAIN_TIMER, Token};

/// Connections of clients are closed from so long after the start of the drain: the load balancer in front knows by
/// then.
const DRAIN_CLOSE_DELAY: Micros = 450_000;
/// While draining, a connection is closed once it has been idle for this long.
const DRAIN_IDLE_TIME: Micros = 250_000;

/// Which idle connections of clients are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleClients {
    /// All.
    All,
    /// Those that no worker sends its callbacks on.
    WithoutCallbacks,
}

impl Server {
    /// Sends clients elsewhere while the program goes on. Whatever comes is still served.
    pub(in crate::server) fn start_drain(&mut self) {
        if self.lifecycle.drained_since.is_some() {
            return; // a repeated call starts nothing anew
        }
        self.lifecycle.drained_since = Some(self.clock.now());
        tracing::info!(open = self.core.ledger.open(), "drain started");
        self.on_drain_changed();
    }

    /// Takes clients again.
    pub(in crate::server) fn end_drain(&mut self) {
        if self.lifecycle.drained_since.take().is_none() {
            return;
        }
        tracing::info!(open = self.core.ledger.open(), "drain ended");
        self.on_drain_changed();
    }

    /// Sets the timer of the drain, unless it is set, and announces whether clients are to turn elsewhere.
    fn on_drain_changed(&mut self) {
        if !self.lifecycle.is_drain_timer_set {
            self.resume_drain();
        }
        self.peers.announce_state(&mut context!(self));
    }

    /// Sets the timer of the drain, also that of the process that this one takes over from.
    pub(in crate::server) fn resume_drain(&mut self) {
        self.lifecycle.is_drain_timer_set = true;
        self.core.set_timer(self.clock.now() + STEP_INTERVAL, DRAIN_TIMER);
    }

    /// While draining, closes connections of clients that have been idle since the load balancer could know.
    pub(in crate::server) fn on_drain_timer(&mut self) {
        self.lifecycle.is_drain_timer_set = false;
        let since = self.lifecycle.drained_since.filter(|_| !self.lifecycle.is_shutting_down());
        let Some(since) = since else { return };
        if self.clock.now() >= since + DRAIN_CLOSE_DELAY {
            self.close_idle_clients(DRAIN_IDLE_TIME, IdleClients::WithoutCallbacks);
        }
        self.resume_drain();
    }

    /// Closes connections of clients that have been idle for so long.
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
