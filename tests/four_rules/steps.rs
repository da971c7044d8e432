//! The classes of jobs, and a generator of random legal events.

use crate::common::MS;
use mothproxy::*;
use proptest::prelude::*;

/// The time for which a worker remembers an idempotency key.
pub const DEDUPLICATION_WINDOW: Micros = 300 * MS;
/// The number of workers in the endpoint list.
pub const WORKERS: u32 = 6;
/// The possible outcomes of an attempt. A rejection by a full worker is twice as likely as any other outcome.
pub const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Rejected,
];

/// The classes of jobs, in the order of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobClass {
    Idempotent,
    NonIdempotent,
    /// The job may be repeated within the window and within one zone only.
    KeyedByZone,
    /// The job may be repeated within the window, in any zone.
    KeyedEverywhere,
}

impl JobClass {
    pub const ALL: [JobClass; 4] =
        [JobClass::Idempotent, JobClass::NonIdempotent, JobClass::KeyedByZone, JobClass::KeyedEverywhere];

    pub fn idempotency(self) -> Idempotency {
        let window = DEDUPLICATION_WINDOW;
        match self {
            JobClass::Idempotent => Idempotency::Idempotent,
            JobClass::NonIdempotent => Idempotency::NonIdempotent,
            JobClass::KeyedByZone => {
                Idempotency::IdempotentWithKey { scope: DeduplicationScope::Zone, window }
            }
            JobClass::KeyedEverywhere => {
                Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, window }
            }
        }
    }
}

/// One event. `pick` selects one of the attempts or jobs that exist when the step is taken.
#[derive(Clone, Debug)]
pub enum Step {
    Arrive { class: u16 },
    EndAttempt { pick: usize, outcome: usize },
    StartAttempt { pick: usize },
    ReportLoad { worker: u32, cpu: u8, free_slots: u8 },
    ChangeList { worker: u32, change: ListChange },
    Disconnect { pick: usize },
    Advance { milliseconds: u64 },
}

/// A change of a worker in the endpoint list.
#[derive(Clone, Copy, Debug)]
pub enum ListChange {
    Draining,
    Gone,
    /// The worker is ready and has just started.
    Restarted,
    Ready,
}

impl ListChange {
    pub const ALL: [ListChange; 4] =
        [ListChange::Draining, ListChange::Gone, ListChange::Restarted, ListChange::Ready];
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u16..4).prop_map(|class| Step::Arrive { class }),
        5 => (any::<usize>(), any::<usize>()).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        2 => any::<usize>().prop_map(|pick| Step::StartAttempt { pick }),
        3 => (0..WORKERS, any::<u8>(), 0u8..4)
            .prop_map(|(worker, cpu, free_slots)| Step::ReportLoad { worker, cpu, free_slots }),
        1 => (0..WORKERS, 0u8..4).prop_map(|(worker, change)| {
            Step::ChangeList { worker, change: ListChange::ALL[usize::from(change)] }
        }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        5 => (1u64..200).prop_map(|milliseconds| Step::Advance { milliseconds }),
    ]
}
