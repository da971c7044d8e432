//! One dispatcher's watch and its calls, whose outcomes a test chooses.

use crate::lists::scenario::{MS, S};
use mothproxy::Micros;
use mothproxy::core::watch_liveness::{DiscoverySettings, WatchFailure, WatchLiveness};

/// A change counts as notified this long after discovery had it and could be reached (PROTOCOL, "Figures").
pub const NOTIFICATION_DEADLINE: Micros = 6 * S;
/// Discovery gives up a call that has waited for this long; one that it answers is answered by then.
pub const MAX_QUEUE_TIME: Micros = S;

/// What happens to a call.
#[derive(Clone, Copy, Debug)]
pub enum CallOutcome {
    /// Its connection never comes up.
    NoConnection,
    /// Refused, or its connection reset or ended, this long after it began.
    Refused(Micros),
    /// Not answered.
    Hangs,
    /// This long after it began half an object comes, and no more.
    Partial(Micros),
    /// An empty line comes this long after it began, and its end `then_ends` after that.
    EmptyLine { after: Micros, then_ends: Micros },
    /// A list, this long after it began.
    List(Micros),
}

/// One dispatcher's watch and the calls for it, driven as by the program: whatever is due is waited for, and never missed.
pub struct Simulation {
    pub watch: WatchLiveness,
    rng: fastrand::Rng,
    pub now: Micros,
    /// When each call began.
    pub calls: Vec<Micros>,
    /// How the last watch ended, and when, if it had sent something.
    pub lost: Option<(WatchFailure, Micros)>,
    /// No wait is longer.
    max_wait: Micros,
    /// This many calls in a row waited in vain, the last one too: the service may be too slow for all.
    pub waited_in_vain: u8,
}

impl Simulation {
    pub fn new(settings: DiscoverySettings, seed: u64) -> Simulation {
        Simulation {
            watch: WatchLiveness::new(settings, seed),
            rng: fastrand::Rng::with_seed(seed),
            now: 1_000 * S,
            calls: Vec::new(),
            lost: None,
            max_wait: call_interval(settings),
            waited_in_vain: 0,
        }
    }

    pub fn random_failure(&mut self, slowest: Micros) -> CallOutcome {
        let after = self.rng.u64(0..=slowest);
        match self.rng.u8(0..6) {
            0 => CallOutcome::NoConnection,
            1 => CallOutcome::Hangs,
            2 => CallOutcome::Partial(after),
            _ => CallOutcome::Refused(after),
        }
    }

    /// A call is made. Returns when the next is due, or `None` if a list was received.
    pub fn call(&mut self, outcome: CallOutcome) -> Option<Micros> {
        let earliest = self.calls.last().map_or(0, |last| last + 200 * MS);
        assert!(self.now >= earliest, "sooner after the one before than anybody may call");
        self.calls.push(self.now);
        self.lost = None;
        let waited_in_vain = self.waited_in_vain;
        self.waited_in_vain = match outcome {
            CallOutcome::Refused(after) if after >= 200 * MS => waited_in_vain + 1,
            CallOutcome::Hangs => waited_in_vain + 1,
            _ => 0,
        };
        let began = self.now;
        let connected_by = self.watch.on_call_started(began);
        assert!(connected_by > began && connected_by <= began + 2 * S, "a connection waits for nothing");
        if matches!(outcome, CallOutcome::NoConnection) {
            return Some(self.fail(connected_by, WatchFailure::Unreachable));
        }
        let answered_by = self.watch.on_connected(began + self.rng.u64(0..=MS));
        let max_wait = self.max_wait.max(answer_timeout(waited_in_vain));
        assert!(
            answered_by > began && answered_by <= began + max_wait,
            "an answer is waited for without end"
        );
        self.answer(outcome, began, answered_by)
    }

    /// The connection of a call is up, and its outcome comes, if that is before `answered_by`.
    fn answer(&mut self, outcome: CallOutcome, began: Micros, answered_by: Micros) -> Option<Micros> {
        match outcome {
            CallOutcome::List(after) if began + after < answered_by => {
                self.now = began + after;
                assert!(self.watch.on_list(self.now) <= self.now);
                assert_eq!(self.watch.on_data(self.now), Some(self.now + 2_500 * MS));
                None
            }
            CallOutcome::Partial(after) if began + after < answered_by => {
                self.now = began + after;
                let due = self.watch.on_partial_object(self.now);
                assert!(due > self.now && due <= self.now + S);
                Some(self.fail(due, WatchFailure::Silent))
            }
            CallOutcome::EmptyLine { after, then_ends } if began + after < answered_by => {
                self.now = began + after;
                let live_until = self.watch.on_data(self.now);
                let due = live_until.unwrap_or(answered_by);
                let ends_at = self.now + then_ends;
                let (at, failure) =
                    if ends_at < due { (ends_at, WatchFailure::Ended) } else { (due, WatchFailure::Silent) };
                let next = self.fail(at, failure);
                self.lost = live_until.map(|_| (failure, at));
                Some(next)
            }
            CallOutcome::Refused(after) if began + after < answered_by => {
                Some(self.fail(began + after, WatchFailure::Ended))
            }
            _ => Some(self.fail(answered_by, WatchFailure::Silent)),
        }
    }

    /// Another service counts, which was never called.
    pub fn move_discovery(&mut self) -> Micros {
        self.calls.clear();
        self.watch.on_discovery_moved(self.now)
    }

    /// The watch fails. Returns when the next call is due.
    pub fn fail(&mut self, at: Micros, failure: WatchFailure) -> Micros {
        self.now = at;
        let next = self.watch.on_watch_failed(at, failure);
        assert!((at..=at + self.max_wait).contains(&next), "{next} after {at}");
        next
    }
}

/// In its queue the service keeps as many calls as there are dispatchers: more of them have as long as a turn of all takes; and
/// each that was in vain says that a turn may take twice as long.
pub fn answer_timeout(waited_in_vain: u8) -> Micros {
    if waited_in_vain == 0 { 2 * S } else { ((1_500 * MS) << waited_in_vain.min(2)).min(4_500 * MS) }
}

pub fn settings_for(dispatchers: u32) -> DiscoverySettings {
    DiscoverySettings { is_pushed: false, max_poll_interval: Some(10 * S), dispatchers }
}

pub fn random_settings(rng: &mut fastrand::Rng) -> DiscoverySettings {
    let dispatchers = if rng.bool() { rng.u32(1..=10) } else { rng.u32(1..=300) };
    let max_poll_interval = Some(rng.u64(3..=60) * S);
    DiscoverySettings { is_pushed: false, max_poll_interval, dispatchers }
}

/// How many refused calls the 6 s hold beside one that is answered, though the service may be too slow for all: two up to ten
/// dispatchers; more of them call less often.
pub fn max_refusals(settings: DiscoverySettings) -> u8 {
    ((NOTIFICATION_DEADLINE - 1_500 * MS) / call_interval(settings) - 1) as u8
}

/// The longest time from one call to the next: up to ten dispatchers may call in 1.5 s.
pub fn call_interval(settings: DiscoverySettings) -> Micros {
    (150 * MS * u64::from(settings.dispatchers)).clamp(1_500 * MS, 4_500 * MS)
}
