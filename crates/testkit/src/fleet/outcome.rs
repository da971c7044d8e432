//! The outcome of a fleet's run: notifications of the dispatchers, the audit, and waiting for conditions.

use super::Fleet;
use super::auditor::{AuditRules, Finding, audit};
use super::event_log::Event;
use std::time::{Duration, Instant};

/// The interval at which [`Fleet::time_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

impl Fleet {
    /// The time at which each dispatcher was first notified of a generation or a later one, not counting notifications before
    /// `since`; `None` for those that were not. All times are in microseconds of the harness's clock.
    pub fn notified_at(&self, generation: u64, since: u64) -> Vec<Option<u64>> {
        let mut notified_at = vec![None; self.size()];
        self.event_log.for_each(|logged| match logged.event {
            Event::Notified { dispatcher, generation: of_list, .. }
                if of_list >= generation && logged.at >= since =>
            {
                notified_at[dispatcher].get_or_insert(logged.at);
            }
            _ => {}
        });
        notified_at
    }

    /// Waits until these dispatchers have been notified of a generation or a later one since a time, in microseconds of the
    /// harness's clock.
    ///
    /// # Panics
    ///
    /// If they are not within [`crate::WAIT_TIMEOUT`].
    pub fn wait_until_notified(&self, dispatchers: &[usize], generation: u64, since: u64) {
        let what = format!("generation {generation} reaches {dispatchers:?}");
        self.wait_until(&what, || {
            let notified_at = self.notified_at(generation, since);
            dispatchers.iter().all(|dispatcher| notified_at[*dispatcher].is_some())
        });
    }

    /// Checks the traffic so far and returns the violations of these rules. Loads should have finished before.
    pub fn audit(&self, rules: &AuditRules) -> Vec<Finding> {
        self.clients.check_idle_connections();
        self.log_exits();
        let (events, missing) = self.event_log.events();
        let mut findings = audit(&events, rules);
        if missing > 0 {
            findings.push(Finding::Incomplete { missing });
        }
        findings
    }

    /// Polls a condition until it holds, as [`crate::wait_until`] does.
    ///
    /// # Panics
    ///
    /// If the condition does not hold within [`crate::WAIT_TIMEOUT`].
    pub fn wait_until(&self, what: &str, holds: impl FnMut() -> bool) {
        crate::wait_until(what, holds);
    }

    /// Waits for a condition, at most for `limit`. Returns the time until it held, or `None` if it did not.
    pub fn time_until(&self, limit: Duration, mut holds: impl FnMut() -> bool) -> Option<Duration> {
        let started = Instant::now();
        loop {
            if holds() {
                return Some(started.elapsed());
            }
            if started.elapsed() > limit {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
