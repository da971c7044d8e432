//! The clock of silence, driven by a table. Its words: `due`, `again` (milliseconds from now), `told` (milliseconds since the
//! start), `open`, `as it is`, and `its own pace` where the module's growing waits hold.

use crate::table::{Machine, beyond};
use mothproxy::core::silence::{Broken, Objects, WatchClock};
use serde::Deserialize;
use toml::{Table, Value};

/// Its start, so that nothing is before time began.
const START: u64 = 1_000_000_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    #[serde(default)]
    pushed: bool,
    /// A watch is open, and has just said something.
    #[serde(default)]
    open: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Verb {
    Pass(u64),
    Call {},
    Connected {},
    /// It said something: whole objects or empty lines, or (true) the first part of an object.
    Heard {
        partly: bool,
    },
    /// A list is taken in.
    Told {},
    Broke(Why),
    Retune {
        pushed: bool,
    },
    Moved {},
    /// Bytes of the watch, as they come.
    Bytes(String),
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Why {
    Silent,
    Ended,
}

pub struct Silence {
    clock: WatchClock,
    objects: Objects,
    now: u64,
}

impl Machine for Silence {
    fn new(given: Value, seed: u64) -> Result<Silence, String> {
        let given = Given::deserialize(given).map_err(|e| e.to_string())?;
        let mut clock = WatchClock::new(given.pushed, seed);
        if given.open {
            clock.called(START);
            clock.connected(START);
            clock.heard(START, false);
        }
        Ok(Silence { clock, objects: Objects::default(), now: START })
    }

    fn step(&mut self, step: Table) -> Result<Vec<String>, String> {
        let now = self.now;
        let due = |at: u64| vec![format!("due {}", (at - now) / 1_000)];
        Ok(match Verb::deserialize(Value::Table(step)).map_err(|e| e.to_string())? {
            Verb::Pass(span) => {
                self.now += span * 1_000;
                Vec::new()
            }
            Verb::Call {} => due(self.clock.called(now)),
            Verb::Connected {} => due(self.clock.connected(now)),
            Verb::Heard { partly } => due(self.clock.heard(now, partly)),
            Verb::Told {} => vec![format!("told {}", (self.clock.told(now) - START) / 1_000)],
            Verb::Broke(why) => {
                let why = if matches!(why, Why::Silent) { Broken::Silent } else { Broken::Ended };
                let again = self.clock.broke(now, why);
                vec![again.map_or("its own pace".to_owned(), |at| format!("again {}", (at - now) / 1_000))]
            }
            Verb::Retune { pushed } => {
                vec![if self.clock.retune(pushed) { "open" } else { "as it is" }.to_owned()]
            }
            Verb::Moved {} => {
                self.clock.moved(now);
                Vec::new()
            }
            Verb::Bytes(text) => {
                self.objects.feed(text.as_bytes());
                let whole = std::iter::from_fn(|| self.objects.next_object());
                let words =
                    whole.map(|o| format!("object {}", String::from_utf8_lossy(&o).replace([' ', '\n'], "")));
                let mut words: Vec<String> = words.collect();
                words.extend(self.objects.partly().then(|| "partly".to_owned()));
                words
            }
        })
    }

    fn contrary(word: &str) -> String {
        match word {
            "open" => "as it is".to_owned(),
            "as it is" => "open".to_owned(),
            "its own pace" => "again 0..1000".to_owned(),
            "partly" => "object {}".to_owned(),
            "" => "open".to_owned(),
            _ if word.starts_with("object") => "partly".to_owned(),
            _ => beyond(word),
        }
    }
}
