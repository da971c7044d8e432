//! One dispatcher's watch and its calls, whose outcomes the test chooses.

use crate::lists::scenario::{MS, S};
use mothproxy::Micros;
use mothproxy::core::watch_liveness::{DiscoverySettings, WatchFailure, WatchLiveness};

/// The time after which a change counts as notified, from when discovery has it and is reachable (PROTOCOL, "Figures").
pub const NOTIFICATION_DEADLINE: Micros = 6 * S;
/// The same time for the changes of another service, from SIGHUP on (STANDING, "The whole fleet").
pub const MOVED_NOTIFICATION_DEADLINE: Micros = 4 * S;
/// The time that must be left for another call while missed changes can still be received in time.
const LAST_CALL_TIME: Micros = 1_050 * MS;
/// The longest wait of a call in discovery's queue. A call that is not answered by then is refused.
pub const MAX_QUEUE_TIME: Micros = S;

/// The outcome of a call.
#[derive(Clone, Copy, Debug)]
pub enum CallOutcome {
    /// The connection is never established.
    NoConnection,
    /// The call is refused, or its connection is reset or closed, this long after its start.
    Refused(Micros),
    /// The call is never answered.
    Hangs,
    /// Half of an object arrives this long after the start, and nothing more.
    Partial(Micros),
    /// An empty line arrives `after` the start, and the connection is closed `then_ends` after that.
    EmptyLine { after: Micros, then_ends: Micros },
    /// A list arrives this long after the start.
    List(Micros),
}

/// One dispatcher's watch and the calls for it. Each step happens exactly when it is due.
pub struct Simulation {
    pub watch: WatchLiveness,
    rng: fastrand::Rng,
    pub now: Micros,
    /// The start of each call.
    pub calls: Vec<Micros>,
    /// How and when the last watch ended, if it had sent data.
    pub lost: Option<(WatchFailure, Micros)>,
    /// The maximum wait before a call. The timeout of an answer may be as long.
    max_wait: Micros,
    /// The number of consecutive calls, up to the last one, that waited and were not answered. The service may be too slow for
    /// all callers.
    pub unanswered_calls: u8,
    /// From when on missed changes count as notified; `None` if none are missing.
    notified_from: Option<Micros>,
    is_live: bool,
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
            unanswered_calls: 0,
            notified_from: None,
            is_live: false,
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

    /// Makes a call. Returns when the next one is due, or `None` if a list was received.
    pub fn call(&mut self, outcome: CallOutcome) -> Option<Micros> {
        let earliest = self.calls.last().map_or(0, |last| last + 200 * MS);
        assert!(self.now >= earliest, "a call less than 200 ms after the previous one");
        self.calls.push(self.now);
        self.lost = None;
        let unanswered_calls = self.unanswered_calls;
        self.unanswered_calls = match outcome {
            CallOutcome::Refused(after) if after >= 200 * MS => unanswered_calls + 1,
            CallOutcome::Hangs => unanswered_calls + 1,
            _ => 0,
        };
        let began = self.now;
        let connected_by = self.watch.on_call_started(began);
        assert!(
            connected_by > began && connected_by <= began + 2 * S,
            "the connection times out at {connected_by}, the call began at {began}"
        );
        if matches!(outcome, CallOutcome::NoConnection) {
            return Some(self.fail(connected_by, WatchFailure::Unreachable));
        }
        let answered_by = self.watch.on_connected(began + self.rng.u64(0..=MS));
        // While missed changes can still be received in time, a call may use all of that time but what another call needs.
        let time_left = self.notified_from.map_or(0, |from| from.saturating_sub(began + LAST_CALL_TIME));
        let max_wait = self.max_wait.max(answer_timeout(unanswered_calls)).max(time_left);
        assert!(
            answered_by > began && answered_by <= began + max_wait,
            "the answer times out at {answered_by}, the call began at {began}"
        );
        self.answer(outcome, began, answered_by)
    }

    /// Applies the outcome of a call whose connection is established, if it is due before `answered_by`.
    fn answer(&mut self, outcome: CallOutcome, began: Micros, answered_by: Micros) -> Option<Micros> {
        match outcome {
            CallOutcome::List(after) if began + after < answered_by => {
                self.now = began + after;
                assert!(self.watch.on_list(self.now) <= self.now);
                assert_eq!(self.watch.on_data(self.now), Some(self.now + 2_500 * MS));
                (self.is_live, self.notified_from) = (true, None);
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
                if live_until.is_some() {
                    (self.is_live, self.notified_from) = (true, None);
                }
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

    /// Moves to another service, which has not been called yet.
    pub fn move_discovery(&mut self) -> Micros {
        self.calls.clear();
        self.is_live = false;
        self.notified_from = Some(self.now + MOVED_NOTIFICATION_DEADLINE);
        self.watch.on_discovery_moved(self.now)
    }

    /// Makes the watch fail. Returns when the next call is due.
    pub fn fail(&mut self, at: Micros, failure: WatchFailure) -> Micros {
        self.now = at;
        if std::mem::take(&mut self.is_live) && failure == WatchFailure::Silent {
            let silent_since = at - 2_500 * MS;
            self.notified_from.get_or_insert(silent_since + NOTIFICATION_DEADLINE);
        }
        let next = self.watch.on_watch_failed(at, failure);
        assert!(
            (at..=at + self.max_wait).contains(&next),
            "the next call is due at {next} after a failure at {at}"
        );
        next
    }
}

/// The maximum timeout of an answer. The service's queue may hold one call of each dispatcher, so the timeout allows for a round
/// of all calls, and each unanswered call indicates that a round may take twice as long.
pub fn answer_timeout(unanswered_calls: u8) -> Micros {
    if unanswered_calls == 0 { 2 * S } else { ((1_500 * MS) << unanswered_calls.min(2)).min(4_500 * MS) }
}

pub fn settings_for(dispatchers: u32) -> DiscoverySettings {
    DiscoverySettings { is_list_pushed: false, max_poll_interval: Some(10 * S), dispatchers }
}

pub fn random_settings(rng: &mut fastrand::Rng) -> DiscoverySettings {
    let dispatchers = if rng.bool() { rng.u32(1..=10) } else { rng.u32(1..=300) };
    let max_poll_interval = Some(rng.u64(3..=60) * S);
    DiscoverySettings { is_list_pushed: false, max_poll_interval, dispatchers }
}

/// The number of refused calls for which the 6 s leave time besides one that is answered, although the service may be too slow
/// for all: two for up to ten dispatchers. With more dispatchers, each of them calls less often.
pub fn max_refusals(settings: DiscoverySettings) -> u8 {
    ((NOTIFICATION_DEADLINE - 1_500 * MS) / call_interval(settings) - 1) as u8
}

/// The maximum time from one call to the next: up to ten dispatchers may all call within 1.5 s.
pub fn call_interval(settings: DiscoverySettings) -> Micros {
    (150 * MS * u64::from(settings.dispatchers)).clamp(1_500 * MS, 4_500 * MS)
}
