//! The schedule of a graceful shutdown, derived from the protocol's time limits and the longest deadline of the settings.

use crate::policy::interface::Micros;

/// How long after the signal new connections may still arrive, in microseconds.
const ARRIVAL_WINDOW: Micros = 400_000;
/// The time after the signal, in microseconds, from which on an arriving request counts as lost if the process is killed before the
/// response. An earlier request must be answered by its own deadline as usual, and does not count as lost if the process is killed
/// before that deadline.
const LATE_ARRIVAL_LIMIT: Micros = 700_000;
/// The cap on the longest deadline, in microseconds, in the calculation of the time from which the process may be killed.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// The time from the end of a job that arrives with the last connections and uses its whole deadline to the time from which the
/// process may be killed, in microseconds. The other late requests get the same margin, because on a busy core the signal is
/// detected late and the last responses take time.
const ANSWER_MARGIN: Micros = LATE_ARRIVAL_LIMIT - ARRIVAL_WINDOW;
/// How long after the signal idle downstream connections are closed, in microseconds, so that their clients move to another
/// dispatcher. No new connection arrives after that, and a request that was in transit on the last one has arrived.
const IDLE_CLOSE_DELAY: Micros = ARRIVAL_WINDOW + 50_000;

/// When the signal to end was sent: between these two times, in microseconds. The signal may have waited while the process was
/// busy or held up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SignalTime {
    /// The earliest time.
    pub earliest: Micros,
    /// When the process noticed the signal.
    pub noticed: Micros,
}

/// The times of the steps of a graceful shutdown, on the decision module's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// When the process received the signal.
    pub started_at: Micros,
    /// When the process begins to close idle downstream connections.
    pub close_idle_at: Micros,
    /// Until when connections are kept if clients have no other dispatcher to move to. Half of the longest deadline is left for
    /// the last requests on those connections.
    pub keep_clients_until: Micros,
    /// When no new request is expected any more. From then on the process ends once no request is left.
    pub arrivals_end_at: Micros,
    /// By when late requests must be answered.
    pub answer_late_by: Micros,
    /// When the process ends in any case, because the deadline of every job has passed.
    pub give_up_at: Micros,
}

impl ShutdownPlan {
    /// Creates the plan of a shutdown that begins when the signal is noticed. `longest_deadline` is the longest deadline of the current classes, and
    /// `longest_open_deadline` that of all classes with open jobs, some of which a reload may have removed. Both are in
    /// microseconds.
    pub fn new(signal: SignalTime, longest_deadline: Micros, longest_open_deadline: Micros) -> ShutdownPlan {
        let now = signal.noticed;
        let counted = longest_deadline.min(MAX_COUNTED_DEADLINE);
        ShutdownPlan {
            started_at: now,
            close_idle_at: now + IDLE_CLOSE_DELAY,
            keep_clients_until: now + ARRIVAL_WINDOW + counted / 2,
            arrivals_end_at: now + LATE_ARRIVAL_LIMIT,
            answer_late_by: signal.earliest + counted + LATE_ARRIVAL_LIMIT - ANSWER_MARGIN,
            give_up_at: now + longest_deadline.max(longest_open_deadline) + LATE_ARRIVAL_LIMIT,
        }
    }

    /// How long a request that arrives now may take, in microseconds, if its client waits for `time_budget`. After
    /// `ARRIVAL_WINDOW`, it must be answered by [`ShutdownPlan::answer_late_by`].
    pub fn time_budget(&self, now: Micros, time_budget: Micros) -> Micros {
        if now <= self.started_at + ARRIVAL_WINDOW {
            time_budget
        } else {
            time_budget.min(self.answer_late_by.saturating_sub(now))
        }
    }
}
