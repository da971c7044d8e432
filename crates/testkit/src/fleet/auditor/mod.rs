//! The auditor. It reads what crossed the wires and nothing else, and names what must not have happened. It knows no part
//! of the program. Each rule is a module of its own: a function from the events to findings.

mod datagrams;
mod executions;
mod exits;
mod late_sends;
mod outages;
mod replies;
mod warm_up;

use super::event_log::LoggedEvent;
use outages::OutageHistory;

/// What must hold, all durations in microseconds. The default is the small deployment of [`crate::site`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AuditRules {
    /// A dispatcher sends no job to a worker later than this after it was notified that the worker drains or is gone.
    pub stop_deadline: u64,
    /// Every change counts as notified this long after it was made, arrived or not; `None`: only what was written counts.
    pub assume_notified_after: Option<u64>,
    /// A reply comes at most this long after its client's timeout; `None`: only that it comes is checked.
    pub answer_slack: Option<u64>,
    /// A worker that was just started has this fraction of its capacity ...
    pub initial_capacity: f64,
    /// ... and all of it after this time.
    pub warm_up_time: u64,
    /// More work than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... in a window of this length makes a worker that is warming up collapse.
    pub overload_window: u64,
    /// Microseconds of work that a warm worker does in a microsecond: its slots times its speed.
    pub capacity: f64,
    /// The mean work of a job.
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

/// What must not have happened. `at` is a time in microseconds of the harness's clock, `dispatcher` and `worker` are numbers
/// from 0, `id` is a job's, and durations are in microseconds.
#[allow(missing_docs)] // the fields are the same in all variants: documented above
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// A job was sent to a worker this long after the dispatcher was notified that it drains or is gone.
    LateSend { at: u64, dispatcher: usize, worker: usize, id: String, after: u64 },
    /// A job that was taken got no whole reply, and its dispatcher had not been killed.
    NeverAnswered { at: u64, dispatcher: usize, id: String },
    /// A job was answered more than once, or bytes came that no request had asked for.
    AnsweredTwice { at: u64, dispatcher: usize, id: String },
    /// A job was answered this long after its client's timeout.
    AnsweredLate { at: u64, dispatcher: usize, id: String, late: u64 },
    /// A job was answered with a result that no worker made for it.
    UnknownResult { at: u64, dispatcher: usize, id: String },
    /// A datagram was too long.
    LongDatagram { at: u64, dispatcher: usize, length: usize },
    /// A key was executed more than once; how often.
    ExecutedTwice { key: String, runs: usize },
    /// A worker that was warming up got more than its budget in one window: jobs of mean work, and how many are allowed.
    WarmUpExceeded { at: u64, worker: usize, jobs: f64, allowed: f64 },
    /// A process exited by itself, or not with code 0.
    Crashed { at: u64, dispatcher: usize },
    /// This many events are missing from the log: nothing is certain.
    Incomplete { missing: u64 },
}

/// Reads events in the order of their times, and returns what must not have happened: findings by rule, those of one rule in
/// the order of their times.
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
