//! Runs conformance tables on the liveness of a watch.
//!
//! Observations:
//!
//! - `due`: the time left until the call or the watch counts as silent, in milliseconds;
//! - `again`: the time until the next call, in milliseconds;
//! - `told`: the time from which a list counts as known, in milliseconds since the start of the row;
//! - `open`: a watch is to be opened; `as it is`: nothing changes;
//! - `stale`, `usable`: the state of the endpoint list;
//! - `object X`, `partly`: a whole object, or the beginning of one, was received.

use crate::runner::{Machine, MachineError};
use crate::table::out_of_range;
use mothproxy::core::watch_liveness::{DiscoverySettings, ObjectSplitter, WatchFailure, WatchLiveness};
use serde::Deserialize;

/// The time at which a row starts, in microseconds; above 0 so that earlier times can be represented.
const START: u64 = 1_000_000_000;
const MILLISECOND: u64 = 1_000;

/// The initial state of a row.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Given {
    #[serde(default, rename = "pushed")]
    is_pushed: bool,
    /// Whether a watch is open, which has just received data.
    #[serde(default, rename = "open")]
    is_open: bool,
    /// The phase of a call that has just started, if there is one.
    call: Option<CallPhase>,
    /// The number of dispatchers.
    #[serde(default = "default_dispatchers", rename = "nodes")]
    dispatchers: u32,
    /// The maximum poll interval of the settings, in milliseconds.
    #[serde(default = "default_poll_interval", rename = "within")]
    max_poll_interval: u64,
}

/// The phase of a call to discovery.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
enum CallPhase {
    Connecting,
    #[serde(rename = "asked")]
    Requested,
    #[serde(rename = "partly")]
    Partial,
}

fn default_dispatchers() -> u32 {
    10
}

fn default_poll_interval() -> u64 {
    10_000
}

/// An input to the watch, or a query of its state. Times are in milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    #[serde(rename = "pass")]
    Advance(u64),
    #[serde(rename = "begin")]
    Start {},
    Call {},
    Connected {},
    /// The watch receives whole objects or empty lines, or the first part of an object.
    #[serde(rename = "heard")]
    Data {
        #[serde(rename = "partly")]
        is_partial: bool,
    },
    /// The watch receives a list.
    #[serde(rename = "told")]
    List {},
    #[serde(rename = "broke")]
    Failed(Failure),
    #[serde(rename = "retune")]
    Reconfigure {
        #[serde(rename = "pushed")]
        is_pushed: bool,
    },
    Moved {},
    /// A list from before the start is to be revalidated; `newest` is the age of its youngest worker.
    Revalidate {
        newest: Option<u64>,
    },
    IsStale {},
    /// The watch receives bytes.
    Bytes(String),
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Failure {
    Silent,
    Ended,
    Unreachable,
}

impl From<Failure> for WatchFailure {
    fn from(failure: Failure) -> WatchFailure {
        match failure {
            Failure::Silent => WatchFailure::Silent,
            Failure::Ended => WatchFailure::Ended,
            Failure::Unreachable => WatchFailure::Unreachable,
        }
    }
}

/// The liveness of one watch, and the splitter of its byte stream.
pub struct WatchLivenessMachine {
    liveness: WatchLiveness,
    settings: DiscoverySettings,
    objects: ObjectSplitter,
    now: u64,
}

impl WatchLivenessMachine {
    fn milliseconds_from_now(&self, at: u64) -> u64 {
        (at - self.now) / MILLISECOND
    }

    fn due(&self, at: u64) -> Vec<String> {
        vec![format!("due {}", self.milliseconds_from_now(at))]
    }

    fn again(&self, at: u64) -> Vec<String> {
        vec![format!("again {}", self.milliseconds_from_now(at))]
    }

    fn on_data(&mut self, is_partial: bool) -> Vec<String> {
        let due = if is_partial {
            Some(self.liveness.on_partial_object(self.now))
        } else {
            self.liveness.on_data(self.now)
        };
        due.map_or_else(|| vec!["as it is".to_owned()], |at| self.due(at))
    }

    fn reconfigure(&mut self, is_pushed: bool) -> Vec<String> {
        let opens =
            self.liveness.reconfigure(DiscoverySettings { is_list_pushed: is_pushed, ..self.settings });
        vec![if opens { "open" } else { "as it is" }.to_owned()]
    }

    fn staleness(&self) -> Vec<String> {
        let is_stale = self.liveness.is_stale(self.now);
        vec![if is_stale { "stale" } else { "usable" }.to_owned()]
    }

    fn receive(&mut self, bytes: &[u8]) -> Vec<String> {
        self.objects.feed(bytes);
        let objects = std::iter::from_fn(|| self.objects.next_object());
        let to_observation = |object: Vec<u8>| {
            let text = String::from_utf8_lossy(&object).replace([' ', '\n'], "");
            format!("object {text}")
        };
        let mut observations: Vec<String> = objects.map(to_observation).collect();
        observations.extend(self.objects.is_partial().then(|| "partly".to_owned()));
        observations
    }
}

impl Machine for WatchLivenessMachine {
    type Given = Given;
    type Step = Step;

    fn new(given: Given, seed: u64) -> Result<WatchLivenessMachine, MachineError> {
        let settings = DiscoverySettings {
            is_list_pushed: given.is_pushed,
            max_poll_interval: Some(given.max_poll_interval * MILLISECOND),
            dispatchers: given.dispatchers,
        };
        let mut liveness = WatchLiveness::new(settings, seed);
        if given.is_open {
            liveness.on_call_started(START);
            liveness.on_connected(START);
            liveness.on_data(START);
        }
        if let Some(phase) = given.call {
            liveness.on_call_started(START);
            if phase >= CallPhase::Requested {
                liveness.on_connected(START);
            }
            if phase >= CallPhase::Partial {
                liveness.on_partial_object(START);
            }
        }
        Ok(WatchLivenessMachine { liveness, settings, objects: ObjectSplitter::default(), now: START })
    }

    fn step(&mut self, step: Step) -> Result<Vec<String>, MachineError> {
        let now = self.now;
        Ok(match step {
            Step::Advance(span) => {
                self.now += span * MILLISECOND;
                Vec::new()
            }
            Step::Start {} => {
                let at = self.liveness.start(now);
                self.again(at)
            }
            Step::Call {} => {
                let at = self.liveness.on_call_started(now);
                self.due(at)
            }
            Step::Connected {} => {
                let at = self.liveness.on_connected(now);
                self.due(at)
            }
            Step::Data { is_partial } => self.on_data(is_partial),
            Step::List {} => {
                let notified_at = self.liveness.on_list(now);
                vec![format!("told {}", (notified_at - START) / MILLISECOND)]
            }
            Step::Failed(failure) => {
                let at = self.liveness.on_watch_failed(now, failure.into());
                self.again(at)
            }
            Step::Reconfigure { is_pushed } => self.reconfigure(is_pushed),
            Step::Moved {} => {
                let at = self.liveness.on_discovery_moved(now);
                self.again(at)
            }
            Step::Revalidate { newest } => {
                self.liveness.revalidate(now, newest.map(|age| now - age * MILLISECOND));
                self.staleness()
            }
            Step::IsStale {} => self.staleness(),
            Step::Bytes(text) => self.receive(text.as_bytes()),
        })
    }

    fn inverse(observation: &str) -> String {
        match observation {
            "open" => "as it is".to_owned(),
            "as it is" => "open".to_owned(),
            "stale" => "usable".to_owned(),
            "usable" => "stale".to_owned(),
            "partly" => "object {}".to_owned(),
            "" => "open".to_owned(),
            _ if observation.starts_with("object") => "partly".to_owned(),
            _ => out_of_range(observation),
        }
    }
}
