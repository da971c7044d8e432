//! The counters of the network side, and the log line that shows them together with the core's.

use crate::core::ledger::Ledger;
use crate::core::send_gate::SendTally;
use crate::policy::interface::Micros;
use crate::server::context::Context;

/// The interval of the log line of counters, in microseconds. The line is written only if a counter has changed.
pub(super) const METRICS_INTERVAL: Micros = 10_000_000;

/// The counters of the network side, in addition to the core's ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Metrics {
    /// Attempts that the core started while their client was connected.
    pub attempts: u64,
    /// Attempts whose last byte has been written.
    pub attempts_written: u64,
    /// Attempts that were ended before their last byte was written, because they may no longer be sent.
    pub attempts_withheld: u64,
    /// Why attempts were withheld, and how many were sent late.
    pub sends: SendTally,
    /// Configurations reloaded.
    pub reloads: u64,
    /// Reloads whose configuration was rejected.
    pub bad_reloads: u64,
    /// New connections to workers that exchanges needed, including those that could not be started.
    pub connects: u64,
    /// Connections to workers that could not be established, also for lack of a descriptor.
    pub connect_failures: u64,
    /// Connections to workers that broke while a response was awaited.
    pub resets: u64,
    /// Attempts that were written and got no response from the worker in time.
    pub attempts_unanswered: u64,
    /// Requests and messages that were rejected.
    pub rejects: u64,
    /// Datagrams from unknown addresses, and datagrams that were too long.
    pub bad_datagrams: u64,
    /// Endpoint lists that could not be used.
    pub bad_lists: u64,
    /// The number of times that accepting was paused.
    pub accept_pauses: u64,
}

/// The counters as last logged.
#[derive(Default, PartialEq)]
pub(super) struct LoggedMetrics {
    network: Metrics,
    ledger: Ledger,
}

impl LoggedMetrics {
    /// Logs one line of counters, if any has changed since the last line.
    pub fn log_changed(&mut self, context: &Context<'_>) {
        for message in mothproxy_invariant::take_messages(env!("CARGO_PKG_NAME")) {
            tracing::error!("broken invariant: {message}");
        }
        let core = &*context.core;
        let current = LoggedMetrics { network: *context.metrics, ledger: *core.ledger() };
        if current == *self {
            return;
        }
        if current.network.sends != self.network.sends {
            tracing::info!("sends {}", current.network.sends);
        }
        *self = current;
        let (network, ledger) = (&self.network, &self.ledger);
        tracing::info!(
            "figures taken={} served={} denied={} failed={} gone={} moved={} open={} dispatches={} written={} withheld={} connects={} \
             connect_failures={} resets={} untaken={} rejects={} stale_news={} bad_rows={} bad_lists={} stale_lists={} \
             bad_datagrams={} accept_pauses={} reloads={} bad_reloads={} connections={} workers={} broken_invariants={}",
            ledger.accepted(),
            ledger.served(),
            ledger.rejected(),
            ledger.failed(),
            ledger.disconnected(),
            ledger.transferred(),
            ledger.open(),
            network.attempts,
            network.attempts_written,
            network.attempts_withheld,
            network.connects,
            network.connect_failures,
            network.resets,
            network.attempts_unanswered,
            network.rejects,
            core.stale_status_callbacks(),
            core.endpoints().bad_rows(),
            network.bad_lists,
            core.endpoints().stale_lists(),
            network.bad_datagrams,
            network.accept_pauses,
            network.reloads,
            network.bad_reloads,
            context.reactor.connections().open_connections(),
            core.endpoints().ready_count(),
            mothproxy_invariant::violations(env!("CARGO_PKG_NAME")),
        );
    }
}
