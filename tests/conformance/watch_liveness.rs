//! The liveness of a watch, driven by a table. Its words: `due`, `again` (milliseconds from now), `told` (milliseconds since the
//! start), `open`, `as it is`, `stale` and `usable`.

use crate::runner::{Machine, MachineError};
use crate::table::beyond;
use mothproxy::core::watch_liveness::{DiscoverySettings, ObjectSplitter, WatchFailure, WatchLiveness};
use serde::Deserialize;

/// When a row begins, in microseconds; above 0 so that nothing lies before the clock began.
const START: u64 = 1_000_000_000;
const MILLISECOND: u64 = 1_000;

/// The situation in which a row begins.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Given {
    #[serde(default, rename = "pushed")]
    is_pushed: bool,
    /// A watch is open, and has just sent something.
    #[serde(default, rename = "open")]
    is_open: bool,
    /// A call is under way that began just now.
    call: Option<CallPhase>,
    /// How many dispatchers there are.
    #[serde(default = "default_nodes")]
    nodes: u32,
    /// The poll interval of the settings, in milliseconds.
    #[serde(default = "default_poll_interval", rename = "within")]
    max_poll_interval: u64,
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
enum CallPhase {
    Connecting,
    #[serde(rename = "asked")]
    Requested,
    #[serde(rename = "partly")]
    Partial,
}

fn default_nodes() -> u32 {
    10
}

fn default_poll_interval() -> u64 {
    10_000
}

/// A step of a row. Spans are in milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    Pass(u64),
    #[serde(rename = "begin")]
    Start {},
    Call {},
    Connected {},
    /// The watch sent whole objects or empty lines, or the first part of an object.
    #[serde(rename = "heard")]
    Data {
        #[serde(rename = "partly")]
        is_partial: bool,
    },
    /// A list is received.
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
    /// What was known before the start is to be revalidated; its newest worker is this old.
    Revalidate {
        newest: Option<u64>,
    },
    IsStale {},
    /// Bytes of the watch, as they are received.
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

/// The liveness of one watch, and what splits its bytes.
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
        let to_word = |object: Vec<u8>| {
            let text = String::from_utf8_lossy(&object).replace([' ', '\n'], "");
            format!("object {text}")
        };
        let mut words: Vec<String> = objects.map(to_word).collect();
        words.extend(self.objects.is_partial().then(|| "partly".to_owned()));
        words
    }
}

impl Machine for WatchLivenessMachine {
    type Given = Given;
    type Step = Step;

    fn new(given: Given, seed: u64) -> Result<WatchLivenessMachine, MachineError> {
        let settings = DiscoverySettings {
            is_list_pushed: given.is_pushed,
            max_poll_interval: Some(given.max_poll_interval * MILLISECOND),
            dispatchers: given.nodes,
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
            Step::Pass(span) => {
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

    fn contrary(word: &str) -> String {
        match word {
            "open" => "as it is".to_owned(),
            "as it is" => "open".to_owned(),
            "stale" => "usable".to_owned(),
            "usable" => "stale".to_owned(),
            "partly" => "object {}".to_owned(),
            "" => "open".to_owned(),
            _ if word.starts_with("object") => "partly".to_owned(),
            _ => beyond(word),
        }
    }
}
