//! The script of the discovery service, and its counters.

use std::collections::BTreeMap;
use std::time::Duration;

/// The length of a span of [`DiscoveryMetrics::calls_per_100ms`], in microseconds.
const METRICS_SPAN: u64 = 100_000;

/// Whether the service works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The service answers.
    #[default]
    Up,
    /// Calls are reset, and watches end.
    Down,
    /// Watches are opened, but nothing follows, not even a heartbeat. Calls for the full list are never answered.
    Silent,
    /// Calls are accepted and never answered. Open watches become silent.
    Mute,
}

/// The script of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoveryScript {
    /// Whether the service works.
    pub mode: DiscoveryMode,
    /// The time to handle a call; calls are handled one after another.
    pub service_time: Duration,
    /// The maximum number of waiting calls. Further ones are refused (503) at once.
    pub queue: usize,
    /// The wait after which a call is refused.
    pub max_wait: Duration,
    /// `Retry-After` of refusals, in seconds.
    pub retry_after: Option<f64>,
    /// Whether the service acts as a local agent of each dispatcher's machine: it answers at once, without a queue, and is
    /// silent while it is down.
    pub is_local_agent: bool,
    /// Whether JSON objects are written over several lines.
    pub indented: bool,
    /// The interval of heartbeats (empty lines) on a watch while nothing changes.
    pub heartbeat_interval: Duration,
}

impl Default for DiscoveryScript {
    fn default() -> Self {
        DiscoveryScript {
            mode: DiscoveryMode::Up,
            service_time: Duration::from_millis(1),
            queue: 1_000,
            max_wait: Duration::from_secs(1),
            retry_after: None,
            is_local_agent: false,
            indented: false,
            heartbeat_interval: Duration::from_secs(2),
        }
    }
}

/// How a call is treated on arrival.
pub(super) enum CallHandling {
    /// The call's connection is reset.
    Reset,
    /// The call is never answered.
    Hang,
    /// The call is answered in its turn.
    Answer,
}

impl DiscoveryScript {
    /// Whether connections are reset and watches end. A local agent becomes silent instead.
    pub(super) fn resets_connections(&self) -> bool {
        self.mode == DiscoveryMode::Down && !self.is_local_agent
    }

    /// How a call is treated; `opens_watch` is false for a call for the full list.
    pub(super) fn handling_of(&self, opens_watch: bool) -> CallHandling {
        match self.mode {
            DiscoveryMode::Down if !self.is_local_agent => CallHandling::Reset,
            DiscoveryMode::Down | DiscoveryMode::Mute => CallHandling::Hang,
            DiscoveryMode::Silent if !opens_watch => CallHandling::Hang,
            DiscoveryMode::Up | DiscoveryMode::Silent => CallHandling::Answer,
        }
    }
}

/// The counters of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiscoveryMetrics {
    /// Calls by dispatcher.
    pub calls: Vec<u64>,
    /// Calls answered with a list, by dispatcher.
    pub answered: Vec<u64>,
    /// Calls refused with 503.
    pub refused: u64,
    /// Calls reset because the service was down.
    pub reset: u64,
    /// The maximum number of calls that waited at once, including the one being handled.
    pub longest_queue: usize,
    /// Calls by span of 100 ms of the harness's clock.
    pub calls_per_100ms: BTreeMap<u64, u64>,
}

impl DiscoveryMetrics {
    pub(super) fn new(dispatchers: usize) -> DiscoveryMetrics {
        let zeros = vec![0; dispatchers];
        DiscoveryMetrics { calls: zeros.clone(), answered: zeros, ..DiscoveryMetrics::default() }
    }

    /// Counts a call at a time in microseconds of the harness's clock.
    pub(super) fn count_call(&mut self, dispatcher: usize, at: u64) {
        self.calls[dispatcher] += 1;
        *self.calls_per_100ms.entry(at / METRICS_SPAN).or_default() += 1;
    }

    /// The maximum number of calls within 100 ms from a time on, in microseconds of the harness's clock.
    pub fn peak_since(&self, at: u64) -> u64 {
        self.calls_per_100ms.range(at / METRICS_SPAN..).map(|(_, calls)| *calls).max().unwrap_or(0)
    }
}
