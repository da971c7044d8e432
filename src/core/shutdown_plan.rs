//! The schedule of a graceful shutdown, derived from the protocol's figures and the longest deadline in force.

use crate::policy::interface::Micros;

/// How long after the signal new connections may still arrive, in microseconds.
const ARRIVAL_WINDOW: Micros = 400_000;
/// The time after the signal, in microseconds, from which on a request counts as lost if the process is killed before the
/// response. An earlier request is answered by its own deadline as usual, and does not count as lost if the process is killed
/// before that.
const LATE_ARRIVAL_LIMIT: Micros = 700_000;
/// The cap on the longest deadline, in microseconds, in the calculation of the time from which the process may be killed.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// How long before the process may be killed a job ends that arrives with the last connections and uses all its time, in
/// microseconds. The other late requests get the same margin, because on a busy core the signal is seen late and the last
/// responses take time.
const ANSWER_MARGIN: Micros = LATE_ARRIVAL_LIMIT - ARRIVAL_WINDOW;
/// How long after the signal idle downstream connections are closed, in microseconds, so that their clients go elsewhere. No
/// connection is new by then, and a request that was on its way on the last one has arrived.
const IDLE_CLOSE_DELAY: Micros = ARRIVAL_WINDOW + 50_000;

/// The moments of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// When the signal was seen.
    pub started_at: Micros,
    /// From when on idle downstream connections are closed.
    pub close_idle_at: Micros,
    /// Until when the connections of clients with nowhere else to go are kept. Half of the longest deadline is left for the last
    /// of their requests.
    pub keep_clients_until: Micros,
    /// After this nothing new arrives, and the process ends once no request is left.
    pub arrivals_end_at: Micros,
    /// By when late requests must be answered.
    pub answer_late_by: Micros,
    /// When the process stops waiting, because the deadline of every job has passed.
    pub give_up_at: Micros,
}

impl ShutdownPlan {
    /// The plan of a shutdown that begins `now`. `longest_deadline` is the longest of the current classes,
    /// `longest_open_deadline` that of all classes with open jobs, some of which a reload may have removed. Both are in
    /// microseconds.
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

    /// How long a request that arrives now may take, in microseconds, if its client waits for `time_budget`.
    pub fn time_budget(&self, now: Micros, time_budget: Micros) -> Micros {
        if now <= self.started_at + ARRIVAL_WINDOW {
            time_budget
        } else {
            time_budget.min(self.answer_late_by.saturating_sub(now))
        }
    }
}
