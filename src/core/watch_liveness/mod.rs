//! The liveness of a watch of discovery's list, as a state machine without clock and socket.
//!
//! A change of the list counts as notified after a fixed time, whether or not this dispatcher has received it. If the dispatcher
//! may lack changes, it therefore calls discovery early enough to receive them within that time, as far as possible.
//!
//! The state machine decides when a watch counts as broken although its connection is open, when the first and each further
//! watch is opened, from when on missed changes count as notified, and whether the list that the process started with must still
//! be revalidated. Its methods take the current time and return the time at which the next step is due. There is always a next
//! step: a dispatcher has either a watch or a time for its next call.

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

/// The interval at which a watch sends an empty line while nothing changes, in microseconds (PROTOCOL, "Discovery").
const HEARTBEAT_INTERVAL: Micros = 2_000_000;
/// How long a watch may send nothing before it counts as broken, in microseconds: the heartbeat interval, and a quarter of it for
/// the network and a busy core. A longer timeout would leave a service with many callers too little of the notification deadline
/// to answer.
const LIVENESS_TIMEOUT: Micros = HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / 4;
/// How long a connection to discovery may take to be established, in microseconds.
pub const CONNECT_TIMEOUT: Micros = 500_000;
/// How long a call of the local agent may take, in microseconds. The agent answers at once, or stays silent while discovery is
/// down. Its changes count as notified as soon as it is up again, so the interval between calls is well below the shortest grace
/// period of a drain (400 ms).
const AGENT_ANSWER_TIMEOUT: Micros = 200_000;
/// How long an object of a list may take from its first byte to its last, in microseconds. Without this limit, the data after a
/// truncated object would be read as a part of that object.
const OBJECT_TIMEOUT: Micros = 1_000_000;

/// Why a watch has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// The watch or the call for it was silent for too long.
    Silent,
    /// The call was refused, or the connection ended.
    Ended,
    /// No connection could be established.
    Unreachable,
}

/// The phase of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchPhase {
    /// No watch is open.
    Closed,
    /// The connection is being established.
    Connecting,
    /// The call was sent, and the service has not answered yet.
    Requested,
    /// The service has begun to answer, but has sent no complete list or empty line yet.
    Partial,
    /// The watch has sent data: lists or empty lines.
    Live {
        /// When the watch last sent data.
        last_data_at: Micros,
    },
}

/// The state machine of one dispatcher's watch.
#[derive(Debug)]
pub struct WatchLiveness {
    settings: DiscoverySettings,
    phase: WatchPhase,
    /// When the latest call for a watch began.
    last_call: Option<Micros>,
    freshness: Freshness,
    known_list: KnownList,
    load: ServiceLoad,
    rng: fastrand::Rng,
}

impl WatchLiveness {
    /// Creates the state without a watch. `seed` determines the random waits.
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

    /// Starts the state machine. Returns when to open the first watch, which is at once if a local agent pushes lists.
    pub fn start(&mut self, now: Micros) -> Micros {
        self.first_call_at(now, self.settings.spread())
    }

    /// Starts the revalidation of the list that the process started with. The list may lack changes that count as notified,
    /// because it is the last list of the previous process. `newest_start` is the latest start of a worker on the list. The list
    /// is no older than that, so the changes that it lacks count as notified `NOTIFICATION_DEADLINE` after it at the earliest.
    /// Returns the span in which the list must not be used.
    pub fn revalidate(&mut self, now: Micros, newest_start: Option<Micros>) -> Range<Micros> {
        let newest_start = newest_start.filter(|_| !self.settings.is_list_pushed);
        self.known_list.revalidate(now, newest_start)
    }

    /// Handles the report that another dispatcher last received a message of the previous process at `at`. That process detected
    /// a silent watch within `LIVENESS_TIMEOUT`, so it can have lacked only the changes of the `LIVENESS_TIMEOUT` before `at`,
    /// which count as notified `NOTIFICATION_DEADLINE` after they were made. Returns from when on the list must not be used;
    /// `None` if it need not be revalidated, or if a local agent pushes lists, whose changes count as notified at once.
    pub fn on_predecessor_seen(&mut self, at: Micros) -> Option<Micros> {
        if self.settings.is_list_pushed { None } else { self.known_list.on_predecessor_seen(at) }
    }

    /// Whether the list that the process started with must not be used: discovery has sent no list yet, its changes may count as
    /// notified, and it is not known to be unreachable. (A local agent that stays silent counts as unreachable.)
    pub fn is_stale(&self, now: Micros) -> bool {
        self.known_list.is_stale(now)
    }

    /// Applies other settings. Returns whether to open a watch now, because a local agent pushes lists and no watch is open.
    pub fn reconfigure(&mut self, settings: DiscoverySettings) -> bool {
        self.settings = settings;
        settings.is_list_pushed && self.phase == WatchPhase::Closed
    }

    /// Handles the move to another service. Until that service sends a list, this dispatcher may lack changes. Returns when to
    /// open the watch.
    pub fn on_discovery_moved(&mut self, now: Micros) -> Micros {
        self.phase = WatchPhase::Closed;
        self.freshness = Freshness::moved(now);
        self.load = ServiceLoad::default();
        self.first_call_at(now, self.settings.short_spread())
    }

    fn first_call_at(&mut self, now: Micros, spread: Micros) -> Micros {
        now + if self.settings.is_list_pushed { 0 } else { self.rng.u64(0..=spread) }
    }

    /// Handles the start of a call for a watch. Returns by when the connection must be established.
    pub fn on_call_started(&mut self, now: Micros) -> Micros {
        self.phase = WatchPhase::Connecting;
        self.last_call = Some(now);
        now + if self.settings.is_list_pushed { AGENT_ANSWER_TIMEOUT } else { CONNECT_TIMEOUT }
    }

    /// Handles the established connection of a call for a watch. Returns by when the service must have sent data.
    pub fn on_connected(&mut self, now: Micros) -> Micros {
        self.phase = WatchPhase::Requested;
        if self.settings.is_list_pushed { now + AGENT_ANSWER_TIMEOUT } else { self.answer_deadline(now) }
    }

    /// Returns by when a call for the whole list that begins now must be answered.
    pub fn full_list_deadline(&self, now: Micros) -> Micros {
        now + self.schedule().answer_timeout(now)
    }

    fn answer_deadline(&self, now: Micros) -> Micros {
        let called_at = self.last_call.unwrap_or(now);
        called_at + self.schedule().answer_timeout(called_at)
    }

    /// Handles complete lists of the watch (after [`WatchLiveness::on_list`]) or empty lines. Returns by when the watch must send
    /// more data; `None` keeps the current deadline.
    pub fn on_data(&mut self, now: Micros) -> Option<Micros> {
        self.observe_answer(now);
        if let Freshness::Moved { .. } = self.freshness {
            // As long as the new service has sent no list, an empty line does not show that no change was missed.
            self.phase = WatchPhase::Partial;
            return None;
        }
        self.phase = WatchPhase::Live { last_data_at: now };
        self.freshness = Freshness::UpToDate;
        Some(now + LIVENESS_TIMEOUT)
    }

    /// Handles the start of an object. Returns by when the object must be complete.
    pub fn on_partial_object(&mut self, now: Micros) -> Micros {
        self.observe_answer(now);
        if let WatchPhase::Live { .. } = self.phase {
            return now + OBJECT_TIMEOUT;
        }
        // The first object of a call has the rest of the call's time, but at least half of the object timeout and at most all of
        // it.
        self.phase = WatchPhase::Partial;
        self.answer_deadline(now).max(now + OBJECT_TIMEOUT / 2).min(now + OBJECT_TIMEOUT)
    }

    /// Records how long the service took to answer, at the first data of a call.
    fn observe_answer(&mut self, now: Micros) {
        if self.phase == WatchPhase::Requested
            && let Some(called_at) = self.last_call
        {
            self.load.on_answered(now.saturating_sub(called_at));
        }
    }

    /// Handles a list. Returns from when on its changes count as notified: now, or earlier if a silence or a move set an earlier
    /// time.
    pub fn on_list(&mut self, now: Micros) -> Micros {
        self.known_list.end_revalidation();
        let freshness = std::mem::take(&mut self.freshness);
        freshness.notified_from().map_or(now, |notified_from| now.min(notified_from))
    }

    /// Handles the failure of the watch, or of the call for it. Returns when to open the next one.
    pub fn on_watch_failed(&mut self, now: Micros, failure: WatchFailure) -> Micros {
        let is_silent = failure == WatchFailure::Silent;
        let phase = std::mem::replace(&mut self.phase, WatchPhase::Closed);
        if failure == WatchFailure::Unreachable || self.settings.is_list_pushed && is_silent {
            self.known_list.end_revalidation();
        }
        if let WatchPhase::Live { last_data_at } = phase
            && is_silent
        {
            self.freshness = self.freshness.after_silence(last_data_at);
        }
        if self.settings.is_list_pushed {
            // The agent is called again soon even if the watch ended, because it may send the changes since then at once.
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

    /// Records what a failed call shows of the service's load.
    fn observe_failure(&mut self, failed: &FailedCall) {
        let FailedCall { called_at, failed_at, phase, failure } = *failed;
        if !failed.was_live() {
            self.load.on_call_failed(failed_at, called_at);
        }
        match (phase, failure) {
            (WatchPhase::Requested, WatchFailure::Ended) => {
                self.load.on_refused(failed_at, failed_at.saturating_sub(called_at));
            }
            (WatchPhase::Requested, WatchFailure::Silent) => self.load.on_unanswered(failed_at),
            _ => self.load.clear_overload(),
        }
    }

    /// The schedule of calls in the current state.
    fn schedule(&self) -> CallSchedule<'_> {
        CallSchedule {
            settings: &self.settings,
            load: &self.load,
            notified_from: self.freshness.notified_from(),
        }
    }

    /// Handles the failure of a call for the whole list, which a new service must send. Returns when to repeat the call.
    pub fn on_full_list_failed(&mut self, now: Micros) -> Micros {
        now + self.settings.call_interval()
    }
}
