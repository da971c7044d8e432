//! The schedule of a graceful shutdown: all of it from the protocol's figures and the longest deadline in force.

use crate::policy::interface::Micros;

/// New connections keep arriving for at most this long after the signal.
const ARRIVAL_WINDOW: Micros = 400_000;
/// A request that comes later than this after the signal is lost if the process is killed before it is answered. What came sooner
/// is answered by its own deadline as always, and does not count as lost with a process that is killed before that.
const LATE_ARRIVAL_LIMIT: Micros = 700_000;
/// A longest deadline above this counts as this when the moment is determined from which the process may be killed.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// A job that comes with the last connections, and takes all its time, ends this long before the process may be killed.
/// The same is left to answer whatever else came late: the signal is seen late on a busy core, and the last answers
/// take their time there.
const ANSWER_MARGIN: Micros = LATE_ARRIVAL_LIMIT - ARRIVAL_WINDOW;
/// Idle downstream connections are closed after this, so that their clients turn elsewhere: none is new any more, and a
/// request that was on its way with the last of them has come.
const IDLE_CLOSE_DELAY: Micros = ARRIVAL_WINDOW + 50_000;

/// The moments of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// When the signal was seen.
    pub started_at: Micros,
    /// From now on idle downstream connections are closed.
    pub close_idle_at: Micros,
    /// Where clients have nowhere else to go, their connections are kept until now: half of the longest deadline is left for
    /// the last of their requests.
    pub keep_clients_until: Micros,
    /// Nothing new arrives after this: the process ends once nothing is left.
    pub arrivals_end_at: Micros,
    /// What comes late must be answered by now.
    pub answer_late_by: Micros,
    /// Every job has had its deadline: nothing is waited for any longer.
    pub give_up_at: Micros,
}

impl ShutdownPlan {
    /// The plan of a shutdown that begins `now`. `longest_deadline` is that of the classes in force, `longest_open_deadline` that
    /// of all classes with open jobs: a reload may have removed some.
    pub fn new(now: Micros, longest_deadline: Micros, longest_open_deadline: Micros) -> ShutdownPlan {
        let counted = longest_deadline.min(MAX_COUNTED_DEADLINE);
        ShutdownPlan {
            started_at: now,
            close_idle_at: now + IDLE_CLOSE_DELAY,
            keep_clients_until: now + ARRIVAL_WINDOW + counted / 2,
            arrivals_end_at: now + LATE_ARRIVAL_LIMIT,
            answer_late_by: now + counted + LATE_ARRIVAL_LIMIT - ANSWER_MARGIN,
            give_up_at: now + longest_deadline.max(longest_open_deadline) + LATE_ARRIVAL_LIMIT,
        }
    }

    /// How long a request may take that comes now and whose client waits for `time_budget`.
    pub fn time_budget(&self, now: Micros, time_budget: Micros) -> Micros {
        if now <= self.started_at + ARRIVAL_WINDOW {
            time_budget
        } else {
            time_budget.min(self.answer_late_by.saturating_sub(now))
        }
    }
}
