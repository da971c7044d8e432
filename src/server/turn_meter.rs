//! The longest turn of the event loop, and what held it. While a turn lasts, nothing else is served.

use crate::policy::interface::Micros;
use std::fmt;

/// What a turn of the event loop spends time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// Timers and decisions of the core.
    Core,
    /// Commands of the core: writing attempts and responses.
    Commands,
    /// Calls to discovery: reading and applying endpoint lists.
    Discovery,
    /// Accepting clients.
    Accept,
    /// Connections of clients.
    Clients,
    /// Connections to workers.
    Workers,
    /// Signals: shutdown and reload.
    Signals,
    /// Datagrams of other dispatchers.
    Peers,
    /// The other process of a hot restart.
    HotRestart,
    /// The store of idempotency records.
    Store,
    /// Callers of the admin address.
    Admin,
}

/// The number of activities.
const ACTIVITIES: usize = Activity::Admin as usize + 1;

/// The time that a turn spent on each activity, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    spent: [Micros; ACTIVITIES],
}

impl Turn {
    fn length(&self) -> Micros {
        self.spent.iter().sum()
    }
}

/// Measures the turns.
#[derive(Debug, Default)]
pub(super) struct TurnMeter {
    current: Turn,
    /// Until when time has been assigned to an activity.
    measured_until: Micros,
    longest: Turn,
    /// The length of the longest turn when it was last logged.
    logged: Micros,
}

impl TurnMeter {
    /// Records that the process waited until `now`, which belongs to no activity.
    pub fn skip_to(&mut self, now: Micros) {
        self.measured_until = now;
    }

    /// Assigns the time since the last call to an activity.
    pub fn spend(&mut self, activity: Activity, now: Micros) {
        self.current.spent[activity as usize] += now.saturating_sub(self.measured_until);
        self.measured_until = now;
    }

    /// Ends a turn.
    pub fn finish_turn(&mut self) {
        let turn = std::mem::take(&mut self.current);
        if turn.length() > self.longest.length() {
            self.longest = turn;
        }
    }

    /// Logs the longest turn, if it is longer than the one logged before.
    pub fn log_longest(&mut self) {
        if self.longest.length() > self.logged {
            self.logged = self.longest.length();
            tracing::info!("turns {self}");
        }
    }
}

impl fmt::Display for TurnMeter {
    /// The length of the longest turn, and the activities that took a tenth of it or more.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let length = self.longest.length();
        write!(formatter, "longest_us={length}")?;
        for (activity, spent) in ALL_ACTIVITIES.iter().zip(self.longest.spent) {
            if spent > 0 && spent * 10 >= length {
                write!(formatter, " {activity:?}={spent}")?;
            }
        }
        Ok(())
    }
}

/// All activities, in the order of their numbers.
const ALL_ACTIVITIES: [Activity; ACTIVITIES] = [
    Activity::Core,
    Activity::Commands,
    Activity::Discovery,
    Activity::Accept,
    Activity::Clients,
    Activity::Workers,
    Activity::Signals,
    Activity::Peers,
    Activity::HotRestart,
    Activity::Store,
    Activity::Admin,
];

#[cfg(test)]
mod tests;
