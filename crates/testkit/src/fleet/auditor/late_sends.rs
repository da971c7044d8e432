//! The rule that no job is sent to a worker long after its dispatcher was notified that the worker drains or is gone.

use super::outages::OutageHistory;
use super::{AuditRules, Finding};
use crate::fleet::event_log::{Event, Lifecycle, LoggedEvent, NotifiedEndpoint};
use std::collections::{BTreeSet, HashMap};

/// Jobs that were sent too late.
pub(super) fn find(events: &[LoggedEvent], rules: &AuditRules, outages: &OutageHistory) -> Vec<Finding> {
    let mut audit = SendAudit { rules, notified: HashMap::new(), changes: HashMap::new() };
    let mut findings = Vec::new();
    for LoggedEvent { at, event } in events {
        match event {
            Event::Started { dispatcher } => audit.on_started(*at, *dispatcher),
            Event::EndpointChanged { endpoint, .. } => audit.on_endpoint_changed(*at, endpoint),
            Event::Notified { dispatcher, is_full, endpoints, .. } => {
                let known_at = outages.known_at(*dispatcher, *at);
                audit.notified.entry(*dispatcher).or_default().apply(known_at, *is_full, endpoints);
            }
            Event::Reached { dispatcher, worker, id, .. } => {
                let (at, dispatcher, worker) = (*at, *dispatcher, *worker);
                if let Some(after) = audit.lateness(at, dispatcher, worker) {
                    findings.push(Finding::LateSend { at, dispatcher, worker, id: id.clone(), after });
                }
            }
            _ => {}
        }
    }
    findings
}

/// The notifications of one process since its start.
#[derive(Default)]
struct NotifiedState {
    started_at: u64,
    /// The workers to which the process must send no more jobs, with the time since which it knows this.
    stopped: HashMap<usize, u64>,
    listed: BTreeSet<usize>,
}

impl NotifiedState {
    fn apply(&mut self, known_at: u64, is_full: bool, endpoints: &[NotifiedEndpoint]) {
        for endpoint in endpoints {
            if endpoint.lifecycle == Lifecycle::Up {
                self.stopped.remove(&endpoint.worker);
            } else {
                self.stopped.entry(endpoint.worker).or_insert(known_at);
            }
        }
        let received: BTreeSet<usize> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
        if is_full {
            for gone in self.listed.difference(&received) {
                self.stopped.entry(*gone).or_insert(known_at);
            }
            self.listed = received;
        } else {
            self.listed.extend(received);
        }
    }
}

/// An endpoint's last change at the discovery service.
struct EndpointChange {
    at: u64,
    lifecycle: Lifecycle,
}

struct SendAudit<'a> {
    rules: &'a AuditRules,
    /// The notifications, by dispatcher.
    notified: HashMap<usize, NotifiedState>,
    /// The last change of each endpoint, by worker.
    changes: HashMap<usize, EndpointChange>,
}

impl SendAudit<'_> {
    fn on_started(&mut self, at: u64, dispatcher: usize) {
        self.notified.insert(dispatcher, NotifiedState { started_at: at, ..NotifiedState::default() });
    }

    fn on_endpoint_changed(&mut self, at: u64, endpoint: &NotifiedEndpoint) {
        self.changes.insert(endpoint.worker, EndpointChange { at, lifecycle: endpoint.lifecycle });
    }

    /// The time for which a dispatcher has known at `at` that it must not send to a worker, if that exceeds the deadline.
    fn lateness(&self, at: u64, dispatcher: usize, worker: usize) -> Option<u64> {
        let since = self.stopped_since(dispatcher, worker)?;
        (at > since + self.rules.stop_deadline).then(|| at - since)
    }

    /// The time since which a dispatcher knows, or is assumed to know, that it must not send to a worker.
    fn stopped_since(&self, dispatcher: usize, worker: usize) -> Option<u64> {
        let state = self.notified.get(&dispatcher);
        let notified = state.and_then(|state| state.stopped.get(&worker).copied());
        let started_at = state.map_or(0, |state| state.started_at);
        notified.into_iter().chain(self.assumed_stopped_since(started_at, worker)).min()
    }

    /// The time since which a process that started at `started_at` is assumed to know that a worker stopped.
    fn assumed_stopped_since(&self, started_at: u64, worker: usize) -> Option<u64> {
        let after = self.rules.assume_notified_after?;
        let change = self.changes.get(&worker)?;
        (change.lifecycle != Lifecycle::Up).then_some(change.at.max(started_at) + after)
    }
}
