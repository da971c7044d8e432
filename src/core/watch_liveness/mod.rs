//! The liveness of a watch of discovery's list, as a state machine without a clock and a socket of its own.
//!
//! It decides when a watch is broken though its connection stands, when a watch is opened (the first one, and the next after any
//! end), since when what was missed counts as notified, and whether the list that the program started with is still to be
//! revalidated. Its methods take the time and return the next time at which something is due. In every state something is:
//! a dispatcher is never without a watch and without a time for its next call.

mod call_schedule;
mod freshness;
mod known_list;
mod object_splitter;
mod service_load;
mod settings;

pub use object_splitter::ObjectSplitter;
pub use settings::DiscoverySettings;

use crate::policy::interface::Micros;
use call_schedule::{CallSchedule, FailedCall, MIN_RETRY_INTERVAL};
use freshness::Freshness;
use known_list::KnownList;
use service_load::ServiceLoad;
use std::ops::Range;

/// As long as nothing changes, a watch sends an empty line this often (PROTOCOL, "Discovery").
const HEARTBEAT_INTERVAL: Micros = 2_000_000;
/// A watch that has sent nothing for this long is broken: the heartbeat, and a quarter of its interval for the network and a
/// busy core. More would leave too little of the notification deadline to be answered by a service that has many callers.
const LIVENESS_TIMEOUT: Micros = HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / 4;
/// The connection of a call, of a watch or for the whole list, must be up within this.
pub const CONNECT_TIMEOUT: Micros = 500_000;
/// An agent of the own machine answers at once, or stays silent while discovery is down. What it has counts as notified from
/// the moment it is up again, so it is called well within the least grace of a drain (400 ms).
const AGENT_ANSWER_TIMEOUT: Micros = 200_000;
/// An object of a list, once begun, is whole within this; else what follows would be taken for a part of it.
const OBJECT_TIMEOUT: Micros = 1_000_000;

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

/// The state of one dispatcher's watch.
#[derive(Debug)]
pub struct WatchLiveness {
    settings: DiscoverySettings,
    phase: WatchPhase,
    /// When the last call for a watch began.
    last_call: Option<Micros>,
    freshness: Freshness,
    known_list: KnownList,
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
            freshness: Freshness::default(),
            known_list: KnownList::default(),
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
        self.known_list.revalidate(now, newest)
    }

    /// Another dispatcher last received something from the process before this one at this time. What it knew then lacked no more
    /// than what it had not noticed to miss, within `LIVENESS_TIMEOUT`, and that counts `NOTIFICATION_DEADLINE` after. Returns
    /// from when on, now, nothing may be sent by that list, if it is still to be revalidated; what an agent has counts at once.
    pub fn on_predecessor_seen(&mut self, at: Micros) -> Option<Micros> {
        if self.settings.is_pushed { None } else { self.known_list.on_predecessor_seen(at) }
    }

    /// Whether nothing may be sent by that list: discovery has sent none, what it would send may count as notified, and nothing
    /// shows that it cannot be reached (an agent of the own machine sends nothing as long as that is so).
    pub fn is_stale(&self, now: Micros) -> bool {
        self.known_list.is_stale(now)
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
        self.freshness = Freshness::moved(now);
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
        now + self.schedule().answer_timeout(now)
    }

    fn answer_deadline(&self, now: Micros) -> Micros {
        let called_at = self.last_call.unwrap_or(now);
        called_at + self.schedule().answer_timeout(called_at)
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
        self.known_list.release();
        let freshness = std::mem::take(&mut self.freshness);
        freshness.counts_from().map_or(now, |counts_from| now.min(counts_from))
    }

    /// The watch, or the call for it, is over. Returns when the next is to be opened.
    pub fn on_watch_failed(&mut self, now: Micros, failure: WatchFailure) -> Micros {
        let is_silent = failure == WatchFailure::Silent;
        let phase = std::mem::replace(&mut self.phase, WatchPhase::Closed);
        if failure == WatchFailure::Unreachable || self.settings.is_pushed && is_silent {
            self.known_list.release();
        }
        if let (WatchPhase::Live { last_data_at }, true) = (phase, is_silent) {
            self.freshness = self.freshness.after_silence(last_data_at);
        }
        if self.settings.is_pushed {
            // Also after an end: the agent may send at once what happened since.
            return now + if is_silent { 0 } else { MIN_RETRY_INTERVAL };
        }
        let called_at = self.last_call.unwrap_or(now);
        let failed = FailedCall { called_at, failed_at: now, phase, failure };
        self.observe_failure(&failed);
        match self.schedule().retry_window(&failed) {
            None => now + MIN_RETRY_INTERVAL,
            Some(window) => self.rng.u64(window),
        }
    }

    /// Learns of the service's load from a call that failed.
    fn observe_failure(&mut self, failed: &FailedCall) {
        let FailedCall { called_at, failed_at, phase, failure } = *failed;
        match (phase, failure) {
            (WatchPhase::Requested, WatchFailure::Ended) => {
                self.load.on_refused(failed_at, failed_at.saturating_sub(called_at));
            }
            (WatchPhase::Requested, WatchFailure::Silent) => self.load.on_unanswered(failed_at),
            _ => self.load.clear_overload(),
        }
    }

    /// The times of calls in the present state.
    fn schedule(&self) -> CallSchedule<'_> {
        CallSchedule { settings: &self.settings, load: &self.load, counts_from: self.freshness.counts_from() }
    }

    /// A call for the whole list, which a new service must be asked for, failed. Returns when it is called for again.
    pub fn on_full_list_failed(&mut self, now: Micros) -> Micros {
        now + self.settings.call_interval()
    }
}
