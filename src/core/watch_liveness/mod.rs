//! The liveness of a watch of discovery's list, as a state machine without a clock and a socket of its own.
//!
//! It decides when a watch is broken though its connection stands, when a watch is opened (the first one, and the next after any
//! end), since when what was missed counts as notified, and whether the list that the program started with is still to be
//! revalidated. Its methods take the time and return the next time at which something is due. In every state something is:
//! a dispatcher is never without a watch and without a time for its next call.

mod object_splitter;
mod service_load;
mod settings;

pub use object_splitter::ObjectSplitter;
pub use settings::DiscoverySettings;

use crate::policy::interface::Micros;
use service_load::{MIN_CALL_SPACING, ServiceLoad};
use settings::{NOTIFICATION_DEADLINE, POLL_INTERVAL};
use std::ops::{Range, RangeInclusive};

/// As long as nothing changes, a watch sends an empty line this often (PROTOCOL, "Discovery").
const HEARTBEAT_INTERVAL: Micros = 2_000_000;
/// A watch that has sent nothing for this long is broken: the heartbeat, and a quarter of its interval for the network and a
/// busy core. More would leave too little of [`NOTIFICATION_DEADLINE`] to be answered by a service that has many callers.
const LIVENESS_TIMEOUT: Micros = HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / 4;
/// After SIGHUP a change counts as notified this soon (STANDING, "The whole fleet").
const MOVED_NOTIFICATION_DEADLINE: Micros = 4_000_000;
/// The last call that fits into [`NOTIFICATION_DEADLINE`], which is answered, is given this much of it: services are known that let
/// none wait for longer.
const LAST_CALL_RESERVE: Micros = 1_000_000;
/// However many dispatchers there are, a refusal is made good within [`NOTIFICATION_DEADLINE`]: the rest of a wait under way,
/// one call that is refused, and the last.
const MAX_REFUSED_INTERVAL: Micros = (NOTIFICATION_DEADLINE - LAST_CALL_RESERVE) / 2;
/// The connection of a call, of a watch or for the whole list, must be up within this.
pub const CONNECT_TIMEOUT: Micros = 500_000;
/// An agent of the own machine answers at once, or stays silent while discovery is down. What it has counts as notified from
/// the moment it is up again, so it is called well within the least grace of a drain (400 ms).
const AGENT_ANSWER_TIMEOUT: Micros = 200_000;
/// Nobody is called in a busy loop: the next call comes this long after an agent refused, or after a call that took its whole time.
const MIN_RETRY_INTERVAL: Micros = 50_000;
/// An object of a list, once begun, is whole within this; else what follows would be taken for a part of it.
const OBJECT_TIMEOUT: Micros = 1_000_000;
/// A process that has just started waits this long for discovery to revalidate the list that it started with: a service that can be
/// reached, and is not overloaded, has then answered it in the first of its calls or the next. One that sends nothing counts as one
/// that cannot be reached, and a list that may be stale is better than none. The process is ready by then, within the 6 s of the
/// shortest days.
const REVALIDATION_TIMEOUT: Micros = 3 * POLL_INTERVAL;

/// Why a watch is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// It, or its call, sent nothing for too long.
    Silent,
    /// It was refused, or its connection ended.
    Ended,
    /// No connection came up: nobody listens there, or nothing comes through.
    Unreachable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchPhase {
    /// No watch is open.
    Closed,
    /// Its connection is being set up.
    Connecting,
    /// It is requested, and the service has not answered yet.
    Requested,
    /// The service has begun to answer, but has sent nothing whole yet.
    Partial,
    /// It has sent lists or empty lines.
    Live {
        /// When it sent the last.
        last_data_at: Micros,
    },
}

/// Whether this dispatcher may lack changes that discovery has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Freshness {
    /// It lacks none that it knows of.
    UpToDate,
    /// A watch fell silent, and none has sent anything since: what it missed counts as notified from this time on.
    Behind { counts_from: Micros },
    /// Another service counts, and has sent no list yet: what it has counts as notified from this time on.
    Moved { counts_from: Micros },
}

impl Freshness {
    /// From when on what is missing counts as notified.
    fn counts_from(self) -> Option<Micros> {
        match self {
            Freshness::UpToDate => None,
            Freshness::Behind { counts_from } | Freshness::Moved { counts_from } => Some(counts_from),
        }
    }
}

/// The state of one dispatcher's watch.
#[derive(Debug)]
pub struct WatchLiveness {
    settings: DiscoverySettings,
    phase: WatchPhase,
    /// When the last call for a watch began.
    last_call: Option<Micros>,
    freshness: Freshness,
    /// Set while the list that the program started with is to be revalidated: in this span it may lack changes that count as
    /// notified.
    stale: Option<Range<Micros>>,
    load: ServiceLoad,
    rng: fastrand::Rng,
}

impl WatchLiveness {
    /// No watch yet; `seed` determines the random waits.
    pub fn new(settings: DiscoverySettings, seed: u64) -> WatchLiveness {
        WatchLiveness {
            settings,
            phase: WatchPhase::Closed,
            last_call: None,
            freshness: Freshness::UpToDate,
            stale: None,
            load: ServiceLoad::default(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The program starts. Returns when the first watch is to be opened: where lists are pushed, at once.
    pub fn start(&mut self, now: Micros) -> Micros {
        self.first_call_at(now, self.settings.spread())
    }

    /// The list that the program starts with is to be revalidated: it may lack changes that count as notified (a process that
    /// comes back after a while knows what its predecessor knew). `newest` is the latest start of a worker on it: the list is no
    /// older, so what it lacks counts as notified `NOTIFICATION_DEADLINE` after that at the soonest. Returns the span in which
    /// nothing may be sent by it.
    pub fn revalidate(&mut self, now: Micros, newest: Option<Micros>) -> Range<Micros> {
        let newest = newest.filter(|_| !self.settings.is_pushed);
        let from = newest.map_or(now, |start| start.min(now) + NOTIFICATION_DEADLINE);
        self.stale.insert(from.max(now)..now + REVALIDATION_TIMEOUT).clone()
    }

    /// Another dispatcher last received something from the process before this one at this time. What it knew then lacked no more
    /// than what it had not noticed to miss, within `LIVENESS_TIMEOUT`, and that counts `NOTIFICATION_DEADLINE` after. Returns
    /// from when on, now, nothing may be sent by that list, if it is still to be revalidated; what an agent has counts at once.
    pub fn on_predecessor_seen(&mut self, at: Micros) -> Option<Micros> {
        let span = self.stale.as_mut().filter(|_| !self.settings.is_pushed)?;
        span.start = span.start.max(at + NOTIFICATION_DEADLINE - LIVENESS_TIMEOUT);
        Some(span.start)
    }

    /// Whether nothing may be sent by that list: discovery has sent none, what it would send may count as notified, and nothing
    /// shows that it cannot be reached (an agent of the own machine sends nothing as long as that is so).
    pub fn is_stale(&self, now: Micros) -> bool {
        self.stale.as_ref().is_some_and(|span| span.contains(&now))
    }

    /// Other settings count. Returns whether a watch is to be opened now: where lists are pushed one always is.
    pub fn reconfigure(&mut self, settings: DiscoverySettings) -> bool {
        self.settings = settings;
        settings.is_pushed && self.phase == WatchPhase::Closed
    }

    /// Another service counts from now on; until it sends a list, this dispatcher is behind. Returns when its watch is to be
    /// opened.
    pub fn on_discovery_moved(&mut self, now: Micros) -> Micros {
        self.phase = WatchPhase::Closed;
        self.freshness = Freshness::Moved { counts_from: now + MOVED_NOTIFICATION_DEADLINE };
        self.load = ServiceLoad::default();
        self.first_call_at(now, self.settings.hurried_spread())
    }

    fn first_call_at(&mut self, now: Micros, spread: Micros) -> Micros {
        now + if self.settings.is_pushed { 0 } else { self.rng.u64(0..=spread) }
    }

    /// A call for a watch begins. Returns when its connection must be up.
    pub fn on_call_started(&mut self, now: Micros) -> Micros {
        self.phase = WatchPhase::Connecting;
        self.last_call = Some(now);
        now + if self.settings.is_pushed { AGENT_ANSWER_TIMEOUT } else { CONNECT_TIMEOUT }
    }

    /// Its connection is up. Returns when it must have sent something.
    pub fn on_connected(&mut self, now: Micros) -> Micros {
        self.phase = WatchPhase::Requested;
        if self.settings.is_pushed { now + AGENT_ANSWER_TIMEOUT } else { self.answer_deadline(now) }
    }

    /// A call for the whole list begins. Returns when it must be answered.
    pub fn full_list_deadline(&self, now: Micros) -> Micros {
        now + self.answer_timeout(now)
    }

    fn answer_deadline(&self, now: Micros) -> Micros {
        let called_at = self.last_call.unwrap_or(now);
        called_at + self.answer_timeout(called_at)
    }

    /// How long a call that began at `called_at` may wait for its answer, once its connection is up. Given up, it would lose its
    /// place in the service's queue, and many services would answer it though nobody reads it. So it is given up only once the
    /// next one is due, and later where the service has let a call wait for longer; but while what was missed can still be
    /// received in time, there must be time for another call.
    fn answer_timeout(&self, called_at: Micros) -> Micros {
        let longest = self.load.answer_timeout(called_at, &self.settings);
        let timeout = match self.freshness.counts_from() {
            Some(counts_from) if called_at < counts_from => counts_from
                .saturating_sub(called_at + MIN_RETRY_INTERVAL + LAST_CALL_RESERVE)
                .clamp(POLL_INTERVAL, longest),
            _ => longest,
        };
        timeout.max(self.load.observed_timeout())
    }

    /// The watch sent whole lists (after [`WatchLiveness::on_list`]) or empty lines. Returns when it must send more; `None` keeps
    /// the present deadline.
    pub fn on_data(&mut self, now: Micros) -> Option<Micros> {
        self.observe_answer(now);
        if let Freshness::Moved { .. } = self.freshness {
            // A service that has sent no list yet cannot say by an empty line that nothing was missed.
            self.phase = WatchPhase::Partial;
            return None;
        }
        self.phase = WatchPhase::Live { last_data_at: now };
        self.freshness = Freshness::UpToDate;
        Some(now + LIVENESS_TIMEOUT)
    }

    /// The watch sent the beginning of an object. Returns when the object must be whole.
    pub fn on_partial_object(&mut self, now: Micros) -> Micros {
        self.observe_answer(now);
        if let WatchPhase::Live { .. } = self.phase {
            return now + OBJECT_TIMEOUT;
        }
        // The first of a call has the rest of the call's time, but half of its own at least.
        self.phase = WatchPhase::Partial;
        self.answer_deadline(now).max(now + OBJECT_TIMEOUT / 2).min(now + OBJECT_TIMEOUT)
    }

    /// Learns of the service's load from the first data of a call.
    fn observe_answer(&mut self, now: Micros) {
        if let (WatchPhase::Requested, Some(called_at)) = (self.phase, self.last_call) {
            self.load.on_answered(now.saturating_sub(called_at));
        }
    }

    /// A list was received. Returns since when its changes count as notified: after a silence, or a move, from a fixed time on at
    /// the latest.
    pub fn on_list(&mut self, now: Micros) -> Micros {
        self.stale = None;
        let freshness = std::mem::replace(&mut self.freshness, Freshness::UpToDate);
        freshness.counts_from().map_or(now, |counts_from| now.min(counts_from))
    }

    /// The watch, or the call for it, is over. Returns when the next is to be opened.
    pub fn on_watch_failed(&mut self, now: Micros, failure: WatchFailure) -> Micros {
        let is_silent = failure == WatchFailure::Silent;
        let phase = std::mem::replace(&mut self.phase, WatchPhase::Closed);
        if failure == WatchFailure::Unreachable || self.settings.is_pushed && is_silent {
            self.stale = None;
        }
        if let (WatchPhase::Live { last_data_at }, true) = (phase, is_silent) {
            self.on_silence(last_data_at);
        }
        if self.settings.is_pushed {
            // Also after an end: the agent may send at once what happened since.
            return now + if is_silent { 0 } else { MIN_RETRY_INTERVAL };
        }
        let called_at = self.last_call.unwrap_or(now);
        self.observe_failure(now, called_at, phase, failure);
        let call_by = called_at + self.call_interval(now, phase);
        match self.retry_window(now, call_by, phase, failure) {
            None => now + MIN_RETRY_INTERVAL,
            Some(window) => {
                let window = self.hurried_window(now, called_at, window);
                self.rng.u64(window)
            }
        }
    }

    /// A watch that was live last sent something at this time.
    fn on_silence(&mut self, last_data_at: Micros) {
        if self.freshness == Freshness::UpToDate {
            self.freshness = Freshness::Behind { counts_from: last_data_at + NOTIFICATION_DEADLINE };
        }
    }

    /// Learns of the service's load from a call that failed.
    fn observe_failure(&mut self, now: Micros, called_at: Micros, phase: WatchPhase, failure: WatchFailure) {
        match (phase, failure) {
            (WatchPhase::Requested, WatchFailure::Ended) => {
                self.load.on_refused(now, now.saturating_sub(called_at));
            }
            (WatchPhase::Requested, WatchFailure::Silent) => self.load.on_unanswered(now),
            _ => self.load.clear_overload(),
        }
    }

    /// The longest time from the call that failed to the next one.
    fn call_interval(&self, now: Micros, phase: WatchPhase) -> Micros {
        // Until what was missed counts, and after a watch that was live, turns are not waited for.
        let is_hurried = self.freshness.counts_from().is_some_and(|counts_from| now < counts_from)
            || matches!(phase, WatchPhase::Live { .. });
        if is_hurried {
            self.settings.hurried_call_interval()
        } else if self.load.is_overloaded_repeatedly() {
            self.load.backoff(now, &self.settings)
        } else {
            self.settings.call_interval().min(MAX_REFUSED_INTERVAL)
        }
    }

    /// When the next call may begin, which is due by `call_by`. `None` where that is over or near: then it begins after
    /// [`MIN_RETRY_INTERVAL`].
    fn retry_window(
        &self,
        now: Micros,
        call_by: Micros,
        phase: WatchPhase,
        failure: WatchFailure,
    ) -> Option<RangeInclusive<Micros>> {
        let was_live = matches!(phase, WatchPhase::Live { .. });
        if was_live && call_by <= now {
            // All dispatchers may have lost theirs together.
            let is_silent = failure == WatchFailure::Silent;
            let spread = if is_silent { self.settings.hurried_spread() } else { self.settings.spread() };
            return Some(now..=now + spread);
        }
        if call_by <= now + MIN_RETRY_INTERVAL {
            return None;
        }
        // Those that wait for a slow service in vain are spread, or they would come together again.
        let is_spread = self.load.is_overloaded() && !self.settings.are_few();
        let wait = call_by - now;
        let earliest = call_by - wait / if is_spread { 2 } else { 8 };
        Some(earliest..=call_by)
    }

    /// The window, moved forward if what was missed can still be received in time: then there is time for another call after this
    /// one.
    fn hurried_window(
        &self,
        now: Micros,
        called_at: Micros,
        window: RangeInclusive<Micros>,
    ) -> RangeInclusive<Micros> {
        let counts_from = self.freshness.counts_from();
        let Some(spare) = counts_from.and_then(|at| at.checked_sub(now + POLL_INTERVAL)) else {
            return window;
        };
        let soonest = called_at + MIN_CALL_SPACING;
        let latest = (now + spare / 2).max(soonest);
        if latest < *window.end() { now.max(soonest).min(latest)..=latest } else { window }
    }

    /// A call for the whole list, which a new service must be asked for, failed. Returns when it is called for again.
    pub fn on_full_list_failed(&mut self, now: Micros) -> Micros {
        now + self.settings.call_interval()
    }
}
