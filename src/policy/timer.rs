//! The timers that the decision module sets, and the mapping between their purposes and ids.

use crate::policy::interface::{JobId, TimerId};

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Open a watch of the endpoint list.
    OpenWatch,
    /// Advertise this dispatcher's load to its group and to the owners of borrowed slots.
    Advertise,
    /// Decide again what to do about a job.
    Review(JobId),
}

/// The id of [`Timer::OpenWatch`].
const OPEN_WATCH_ID: u64 = 0;
/// The id of [`Timer::Advertise`].
const ADVERTISE_ID: u64 = u64::MAX;
/// The id of [`Timer::Review`] for job 0. The timer of job n has the id `FIRST_REVIEW_ID + n`.
const FIRST_REVIEW_ID: u64 = 1;

impl From<Timer> for TimerId {
    fn from(timer: Timer) -> Self {
        TimerId(match timer {
            Timer::OpenWatch => OPEN_WATCH_ID,
            Timer::Advertise => ADVERTISE_ID,
            Timer::Review(job) => FIRST_REVIEW_ID + job.0,
        })
    }
}

impl From<TimerId> for Timer {
    fn from(id: TimerId) -> Self {
        match id.0 {
            OPEN_WATCH_ID => Timer::OpenWatch,
            ADVERTISE_ID => Timer::Advertise,
            id => Timer::Review(JobId(id - FIRST_REVIEW_ID)),
        }
    }
}
