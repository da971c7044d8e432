//! The auditor, which checks the recorded traffic of a fleet against a set of rules.
//!
//! The only input of the auditor is the event log, and it uses no part of the program. Each rule is a separate module with a
//! function from events to findings, which are violations of the rule.

mod datagrams;
mod executions;
mod exits;
mod late_sends;
mod outages;
mod replies;
mod warm_up;

use super::event_log::LoggedEvent;
use outages::OutageHistory;

/// The parameters of the rules; all durations are in microseconds. The default is the small deployment of [`crate::site`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AuditRules {
    /// The maximum time for which a dispatcher may send jobs to a worker after it was notified that the worker drains or is gone.
    pub stop_deadline: u64,
    /// The time after a change from which every dispatcher counts as notified, whether or not it was. `None`: a dispatcher counts
    /// as notified only once the change has been written to it.
    pub assume_notified_after: Option<u64>,
    /// The maximum time after the client's timeout at which a reply may arrive. `None`: the time of replies is not checked.
    pub answer_slack: Option<u64>,
    /// The fraction of its capacity with which a worker starts.
    pub initial_capacity: f64,
    /// The time from a worker's start until it has its full capacity.
    pub warm_up_time: u64,
    /// A worker that is warming up is overloaded if it gets more work in `overload_window` than this multiple of its capacity.
    pub overload_multiple: f64,
    /// The window in which the work of a worker that is warming up is limited; see `overload_multiple`.
    pub overload_window: u64,
    /// The capacity of a warm worker in microseconds of work per microsecond: its slots times its speed.
    pub capacity: f64,
    /// The mean work of a job, in microseconds.
    pub mean_work: u64,
}

impl Default for AuditRules {
    fn default() -> Self {
        AuditRules {
            stop_deadline: 450_000,
            assume_notified_after: None,
            answer_slack: None,
            initial_capacity: 0.38,
            warm_up_time: 8_400_000,
            overload_multiple: 4.0,
            overload_window: 1_500_000,
            capacity: 4.0,
            mean_work: 20_000,
        }
    }
}

/// A violation of a rule. `at` is a time in microseconds of the harness's clock, `dispatcher` and `worker` are numbers from
/// 0, `id` is that of a job, and durations are in microseconds.
#[allow(missing_docs)] // the fields are the same in all variants: documented above
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// A job was sent to a worker too long after the dispatcher was notified that the worker drains or is gone. `after` is
    /// the time since then.
    LateSend { at: u64, dispatcher: usize, worker: usize, id: String, after: u64 },
    /// An accepted job got no complete reply, although its dispatcher was not killed.
    NeverAnswered { at: u64, dispatcher: usize, id: String },
    /// A job was answered more than once, or a client received bytes without a request.
    AnsweredTwice { at: u64, dispatcher: usize, id: String },
    /// A job was answered too long after its client's timeout. `late` is the time since then.
    AnsweredLate { at: u64, dispatcher: usize, id: String, late: u64 },
    /// A job was answered with a result that no worker reported for it.
    UnknownResult { at: u64, dispatcher: usize, id: String },
    /// A datagram was too long.
    LongDatagram { at: u64, dispatcher: usize, length: usize },
    /// An idempotency key was executed more than once. `runs` is the number of executions.
    ExecutedTwice { key: String, runs: usize },
    /// A worker that was warming up got more work than its budget in one window. `jobs` is what it got and `allowed` is the
    /// budget, both in jobs of mean work.
    WarmUpExceeded { at: u64, worker: usize, jobs: f64, allowed: f64 },
    /// A process exited without a request, or not with code 0.
    Crashed { at: u64, dispatcher: usize },
    /// Events are missing from the log, so the audit is not reliable. `missing` is their number.
    Incomplete { missing: u64 },
}

/// Checks events, which must be in order of their times. Returns the violations by rule, those of each rule in order of their
/// times.
pub fn audit(events: &[LoggedEvent], rules: &AuditRules) -> Vec<Finding> {
    let outages = OutageHistory::from_events(events);
    let mut findings = late_sends::find(events, rules, &outages);
    findings.extend(replies::find(events, rules, &outages));
    findings.extend(executions::find(events));
    findings.extend(warm_up::find(events, rules, &outages));
    findings.extend(datagrams::find(events));
    findings.extend(exits::find(events));
    findings
}
