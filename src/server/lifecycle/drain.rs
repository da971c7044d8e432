//! Drain: clients move to other dispatchers while this process keeps running.
//!
//! 1. A call of `/control/out-of-service` at the admin address starts the drain. From then on the readiness check `/up` fails,
//!    and the peers are notified.
//! 2. After a delay in which the load balancer detects the drain, each firing of the timer closes the client connections that
//!    have been idle for [`DRAIN_IDLE_TIME`].
//! 3. A call of `/control/in-service` ends the drain. Requests that arrive during the drain are still served.

use crate::policy::interface::Micros;
use crate::server::Server;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::context::client_context;
use crate::server::lifecycle::shutdown::STEP_INTERVAL;
use crate::server::tokens::{DRAIN_TIMER, Token};

/// The time from the start of a drain until client connections are closed, in microseconds. By then the load balancer has
/// detected the drain.
const DRAIN_CLOSE_DELAY: Micros = 450_000;
/// How long a client connection must have been idle to be closed during a drain, in microseconds.
const DRAIN_IDLE_TIME: Micros = 250_000;

/// Which idle client connections to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleClients {
    /// All idle connections.
    All,
    /// The idle connections on which no worker sends status callbacks.
    WithoutCallbacks,
}

impl Server {
    /// Starts a drain, unless this process is draining already. Requests that arrive are still served.
    pub(in crate::server) fn start_drain(&mut self) {
        if self.lifecycle.drained_since.is_some() {
            return; // a repeated call has no effect
        }
        self.lifecycle.drained_since = Some(self.clock.now());
        tracing::info!(open = self.core.ledger().open(), "drain started");
        self.on_drain_changed();
    }

    /// Ends the drain, if there is one: this dispatcher accepts clients again.
    pub(in crate::server) fn end_drain(&mut self) {
        if self.lifecycle.drained_since.take().is_none() {
            return;
        }
        tracing::info!(open = self.core.ledger().open(), "drain ended");
        self.on_drain_changed();
    }

    /// Sets the drain timer, unless it is set, and announces to the peers whether this dispatcher is draining.
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

    /// The drain timer has fired. While draining, closes idle client connections once [`DRAIN_CLOSE_DELAY`] has passed, and sets
    /// the timer again.
    pub(in crate::server) fn on_drain_timer(&mut self) {
        self.lifecycle.is_drain_timer_set = false;
        let since = self.lifecycle.drained_since.filter(|_| !self.lifecycle.is_shutting_down());
        let Some(since) = since else { return };
        if self.clock.now() >= since + DRAIN_CLOSE_DELAY {
            self.close_idle_clients(DRAIN_IDLE_TIME, IdleClients::WithoutCallbacks);
        }
        self.resume_drain();
    }

    /// Closes the client connections that `which` selects and that have been idle for at least `min_idle` microseconds.
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
