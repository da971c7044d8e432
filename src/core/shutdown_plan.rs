//! What a planned stop does when: all of it from the protocol's figures and the longest deadline in force.

use crate::policy::interface::Micros;

/// New connections keep arriving for this long after the signal at most.
const ARRIVALS: Micros = 400_000;
/// What comes later than this after the signal is lost if the process is killed before its answer. What came sooner is
/// answered by its own deadline as ever, and is not lost with a process that is killed before that.
const LATE: Micros = 700_000;
/// The longest deadline counts as this where it is longer, when the moment is reckoned from which the process may be killed.
const LONGEST: Micros = 3_000_000;
/// A job that comes as the last connections do, and takes all its time, ends so long before the process may be killed.
/// The same is left to answer whatever else came late: the signal is seen late on a busy core, and the last answers
/// take their time there.
const MARGIN: Micros = LATE - ARRIVALS;
/// Idle connections of frontends are closed after this, so that their clients turn elsewhere: none is new any more, and a
/// request that was on its way with the last of them has come.
const CLOSE_IDLE: Micros = ARRIVALS + 50_000;

/// The moments of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// When the signal was seen.
    pub since: Micros,
    /// Idle clients are sent elsewhere from now on.
    pub close_idle: Micros,
    /// Where clients have nowhere else to go they are kept until now: half of the longest deadline is left for what they
    /// may have asked at last.
    pub hold: Micros,
    /// Nothing new arrives: the process ends once nothing is left.
    pub quiet: Micros,
    /// What comes late must be answered by now.
    pub answered: Micros,
    /// Every job has had its deadline: nothing is waited for any longer.
    pub last: Micros,
}

impl ShutdownPlan {
    /// The plan from `now` on, where the longest deadline in force is `longest`, and `ever` that of all classes with open
    /// jobs: a reload may have taken some away.
    pub fn new(now: Micros, longest: Micros, ever: Micros) -> ShutdownPlan {
        let counted = longest.min(LONGEST);
        ShutdownPlan {
            since: now,
            close_idle: now + CLOSE_IDLE,
            hold: now + ARRIVALS + counted / 2,
            quiet: now + LATE,
            answered: now + counted + LATE - MARGIN,
            last: now + longest.max(ever) + LATE,
        }
    }

    /// How long a request that comes now, and whose client waits for so long, may take.
    pub fn time_budget(&self, now: Micros, time_budget: Micros) -> Micros {
        if now <= self.since + ARRIVALS {
            time_budget
        } else {
            time_budget.min(self.answered.saturating_sub(now))
        }
    }
}
