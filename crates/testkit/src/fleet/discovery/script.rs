//! How the scripted discovery service behaves, and what it counted.

use std::collections::BTreeMap;
use std::time::Duration;

/// Microseconds of one span of [`DiscoveryMetrics::per_100ms`].
const METRICS_SPAN: u64 = 100_000;

/// Whether the service works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// It answers.
    #[default]
    Up,
    /// Calls are reset, and watches have ended.
    Down,
    /// A watch is opened, and not even an empty line follows; calls for the full list are never answered.
    Silent,
    /// Calls are accepted, and nothing is ever answered to them; open watches go silent.
    Mute,
}

/// How the service behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoveryScript {
    /// Whether it works.
    pub mode: DiscoveryMode,
    /// How long one call takes; calls are handled one after another.
    pub service_time: Duration,
    /// Calls that may wait; beyond that they are refused (503) at once.
    pub queue: usize,
    /// A call that waited for this long is refused.
    pub max_wait: Duration,
    /// `Retry-After` of refusals, in seconds.
    pub retry_after: Option<f64>,
    /// An agent of each dispatcher's machine: answers at once, without a queue, and is silent while it is down.
    pub pushed: bool,
    /// Objects come over several lines.
    pub indented: bool,
    /// While nothing changes, an empty line comes at this interval.
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
            pushed: false,
            indented: false,
            heartbeat_interval: Duration::from_secs(2),
        }
    }
}

/// What becomes of a call as it comes.
pub(super) enum CallHandling {
    /// Its connection is reset.
    Reset,
    /// It is never answered.
    Hang,
    /// It is answered in its turn.
    Answer,
}

impl DiscoveryScript {
    /// Whether connections are reset and watches end. A machine's own agent goes silent instead.
    pub(super) fn resets_connections(&self) -> bool {
        self.mode == DiscoveryMode::Down && !self.pushed
    }

    /// What becomes of a call that opens a watch, or of one that asks for the full list.
    pub(super) fn handling_of(&self, opens_watch: bool) -> CallHandling {
        match self.mode {
            DiscoveryMode::Down if !self.pushed => CallHandling::Reset,
            DiscoveryMode::Down | DiscoveryMode::Mute => CallHandling::Hang,
            DiscoveryMode::Silent if !opens_watch => CallHandling::Hang,
            DiscoveryMode::Up | DiscoveryMode::Silent => CallHandling::Answer,
        }
    }
}

/// What the service counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiscoveryMetrics {
    /// Calls by dispatcher.
    pub calls: Vec<u64>,
    /// Calls answered with a list, by dispatcher.
    pub answered: Vec<u64>,
    /// Calls refused with 503.
    pub refused: u64,
    /// Calls reset, for it was down.
    pub reset: u64,
    /// The most calls that waited at once, the one being handled included.
    pub longest_queue: usize,
    /// Calls by spans of 100 ms of the harness's clock.
    pub per_100ms: BTreeMap<u64, u64>,
}

impl DiscoveryMetrics {
    pub(super) fn new(dispatchers: usize) -> DiscoveryMetrics {
        let zeros = vec![0; dispatchers];
        DiscoveryMetrics { calls: zeros.clone(), answered: zeros, ..DiscoveryMetrics::default() }
    }

    /// Counts a call at a time in microseconds of the harness's clock.
    pub(super) fn count_call(&mut self, dispatcher: usize, at: u64) {
        self.calls[dispatcher] += 1;
        *self.per_100ms.entry(at / METRICS_SPAN).or_default() += 1;
    }

    /// The most calls within 100 ms, from a time on (microseconds of the harness's clock).
    pub fn peak_since(&self, at: u64) -> u64 {
        self.per_100ms.range(at / METRICS_SPAN..).map(|(_, calls)| *calls).max().unwrap_or(0)
    }
}
