//! The clock of silence: when a watch of discovery's list is broken though its connection stands, when it is opened anew,
//! and since when what it missed counts as told. It has no clock and no socket of its own.

use crate::interface::Micros;

/// As long as nothing changes, a watch sends an empty line this often (PROTOCOL, "Discovery").
const HEARTBEAT: Micros = 2_000_000;
/// A watch that has sent nothing for this long is broken: the empty line, and a quarter of its time for the way and a busy
/// core. More would leave too little of `TOLD_AFTER` to be heard by a service that has many callers.
const SILENCE: Micros = HEARTBEAT + HEARTBEAT / 4;
/// What a silent watch missed counts as told so long after it fell silent, whether it arrived or not (STANDING, "The
/// whole fleet").
const TOLD_AFTER: Micros = 6_000_000;
/// The connection for a call, of a watch or for the whole list, must be up by then.
pub const CONNECT: Micros = 500_000;
/// A call must be answered by then: discovery itself gives up one that has waited for a second.
const ANSWER: Micros = 1_500_000;
/// An agent of the own machine answers at once, or stays silent while discovery is down. What it has counts as told from
/// the moment it is up again, so it is asked well within the least grace of a drain (400 ms).
const AGENT_ANSWER: Micros = 200_000;
/// An agent that refuses is not asked in a busy loop.
const AGENT_AGAIN: Micros = 50_000;
/// An object of a list, once begun, is whole by then; else what follows would be taken for a part of it.
const OBJECT: Micros = 1_000_000;
/// All watches may fall silent at once: they are opened anew within this, and what fails again as well.
const SPREAD: Micros = 1_000_000;

/// A service that has just taken over is asked again this soon: what it tells counts 4 s after SIGHUP.
const MOVED_AGAIN: Micros = 200_000;

/// Why a watch is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// It, or its call, said nothing for too long.
    Silent,
    /// It was refused, or its connection ended.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No watch is open.
    Closed,
    /// Its connection is on the way.
    Connecting,
    /// It is asked for.
    Asked,
    /// It has told something, last at this time.
    Heard(Micros),
}

/// One dispatcher's watch, as time passes over it.
#[derive(Debug)]
pub struct WatchClock {
    /// Lists are pushed to an agent of the own machine, which answers at once and at no cost.
    pushed: bool,
    phase: Phase,
    /// The watch fell silent after this, and no other has told anything since.
    behind: Option<Micros>,
    /// Another service counts, and its watch has told nothing yet.
    moved: bool,
    rng: fastrand::Rng,
}

impl WatchClock {
    /// No watch yet. `pushed` as the settings say; `seed` settles the random waits.
    pub fn new(pushed: bool, seed: u64) -> WatchClock {
        WatchClock {
            pushed,
            phase: Phase::Closed,
            behind: None,
            moved: false,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Other settings count. True if a watch is to be opened now: where lists are pushed one always is.
    pub fn retune(&mut self, pushed: bool) -> bool {
        self.pushed = pushed;
        pushed && self.phase == Phase::Closed
    }

    /// Another service counts from now on; until its watch tells something, this dispatcher is behind.
    pub fn moved(&mut self, now: Micros) {
        (self.phase, self.behind, self.moved) = (Phase::Closed, Some(now), true);
    }

    /// A watch is called for. Returns when its connection must be up.
    pub fn called(&mut self, now: Micros) -> Micros {
        self.phase = Phase::Connecting;
        now + if self.pushed { AGENT_ANSWER } else { CONNECT }
    }

    /// Its connection is up. Returns when it must have said something.
    pub fn connected(&mut self, now: Micros) -> Micros {
        self.phase = Phase::Asked;
        now + if self.pushed { AGENT_ANSWER } else { ANSWER }
    }

    /// It said something, whose whole objects were taken in; `partly` if that ends within an object. Returns when it must
    /// say more, unless an object began earlier: that one's time stands.
    pub fn heard(&mut self, now: Micros, partly: bool) -> Micros {
        self.phase = Phase::Heard(now);
        if partly {
            return now + OBJECT;
        }
        (self.behind, self.moved) = (None, false); // an empty line says that nothing was missed
        now + SILENCE
    }

    /// Since when what it tells now counts as told: after a silence, at the latest from [`TOLD_AFTER`] on. Whoever is told
    /// is no longer behind.
    pub fn told(&mut self, now: Micros) -> Micros {
        self.behind.take().map_or(now, |since| now.min(since + TOLD_AFTER))
    }

    /// The watch is over. Returns when it is to be opened anew; None leaves that to the module, whose waits grow.
    pub fn broke(&mut self, now: Micros, why: Broken) -> Option<Micros> {
        let was = std::mem::replace(&mut self.phase, Phase::Closed);
        if let (Phase::Heard(last), Broken::Silent) = (was, why) {
            self.behind.get_or_insert(last);
        }
        if self.pushed {
            // Also after an end: the agent may say at once what happened since.
            return Some(now + if why == Broken::Silent { 0 } else { AGENT_AGAIN });
        }
        // Until what was missed counts as told, the growing waits of a service that is down would be too long.
        let again = now + self.rng.u64(0..=if self.moved { MOVED_AGAIN } else { SPREAD });
        self.behind.filter(|since| again < since + TOLD_AFTER).map(|_| again)
    }
}

/// Splits what a watch sends into objects, however many lines each takes. Each byte is looked at once.
#[derive(Debug, Default)]
pub struct Objects {
    text: Vec<u8>,
    /// Bytes of `text` that were looked at.
    seen: usize,
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl Objects {
    /// Adds bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.text.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Whether an object has begun and not ended.
    pub fn partly(&self) -> bool {
        self.depth > 0
    }

    /// The next whole object, or a line that begins none (which is no list); empty lines are dropped.
    pub fn next_object(&mut self) -> Option<Vec<u8>> {
        while let Some(&byte) = self.text.get(self.seen) {
            self.seen += 1;
            if self.in_string {
                self.in_string = self.escaped || byte != b'"';
                self.escaped = !self.escaped && byte == b'\\';
                continue;
            }
            let ends = match byte {
                b'"' if self.depth > 0 => {
                    self.in_string = true;
                    false
                }
                b'{' | b'[' => {
                    self.depth += 1;
                    false
                }
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    self.depth == 0
                }
                b'\n' => self.depth == 0,
                _ => false,
            };
            if ends {
                let object: Vec<u8> = self.text.drain(..std::mem::take(&mut self.seen)).collect();
                let object = object.trim_ascii();
                if !object.is_empty() {
                    return Some(object.to_vec());
                }
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    /// Silent after its last line at 10 s: noticed by 12.5 s, asked anew by 13.5 s, and after each failure again, until
    /// what it missed counts as told at 16 s.
    #[test]
    fn a_silent_watch_is_opened_anew_while_what_it_missed_is_not_yet_told() {
        for seed in 0..100 {
            let mut clock = WatchClock::new(false, seed);
            clock.called(0);
            clock.connected(0);
            let broken = clock.heard(10 * S, false);
            assert_eq!(broken, 12_500_000);
            let (mut now, mut calls) = (broken, 0);
            while let Some(again) = clock.broke(now, Broken::Silent) {
                assert!((now..=now + S).contains(&again) && again < 16 * S, "seed {seed}: {again}");
                now = clock.called(again).min(again + CONNECT);
                now = clock.connected(now);
                calls += 1;
            }
            assert!((1..=4).contains(&calls), "seed {seed}: {calls} calls");
            clock.heard(17 * S, true);
            assert_eq!(clock.told(17 * S), 16 * S, "it counts as told before it came");
            assert_eq!(clock.told(18 * S), 18 * S, "what comes from then on, when it comes");
        }
    }

    #[test]
    fn an_end_without_a_silence_is_the_modules_to_wait_for() {
        let mut clock = WatchClock::new(false, 1);
        clock.called(0);
        clock.connected(0);
        clock.heard(S, false);
        assert_eq!(clock.broke(2 * S, Broken::Ended), None);
        assert_eq!(clock.told(3 * S), 3 * S);
        // Nor does a silence count once the next watch has said that nothing was missed.
        clock.heard(4 * S, false);
        assert!(clock.broke(6_500_000, Broken::Silent).is_some());
        clock.heard(7 * S, false);
        assert_eq!((clock.told(20 * S), clock.broke(21 * S, Broken::Ended)), (20 * S, None));
    }

    /// A service that SIGHUP has named counts soon: it is asked again at once, not after the waits for one that is down.
    #[test]
    fn a_new_service_that_refuses_is_asked_again_soon() {
        let mut clock = WatchClock::new(false, 1);
        clock.moved(10 * S);
        let mut now = 10 * S;
        while let Some(again) = clock.broke(now, Broken::Ended) {
            assert!(again <= now + MOVED_AGAIN && again < 16 * S);
            now = clock.called(again).min(again + MOVED_AGAIN / 10);
        }
        assert!(now > 14 * S, "asked until {now}");
        clock.heard(now, false);
        assert_eq!(clock.broke(now + S, Broken::Ended), None);
    }

    #[test]
    fn an_agent_is_asked_for_ever_and_never_in_a_busy_loop() {
        let mut clock = WatchClock::new(true, 1);
        assert!(clock.retune(true), "one is opened at the start");
        let mut now = 0;
        for n in 0..1_000 {
            now = clock.called(now);
            let again = clock.broke(now, if n % 2 == 0 { Broken::Silent } else { Broken::Ended });
            now = again.expect("always");
        }
        let asked = 1_000 * AGENT_ANSWER..=1_000 * (AGENT_ANSWER + AGENT_AGAIN);
        assert!(asked.contains(&now), "{now}");
    }

    #[test]
    fn objects_come_whole_however_they_are_cut_and_indented() {
        let text =
            b"\n{\"a\":1}\n\n{\n  \"b\": [\n    {\"c\": \"}\\\"]\\\\\"}\n  ]\n}\n\nnot a list\n{\"d\":2}\n";
        let wanted: [&[u8]; 4] = [
            b"{\"a\":1}",
            b"{\n  \"b\": [\n    {\"c\": \"}\\\"]\\\\\"}\n  ]\n}",
            b"not a list",
            b"{\"d\":2}",
        ];
        for size in 1..text.len() {
            let (mut objects, mut got) = (Objects::default(), Vec::new());
            for piece in text.chunks(size) {
                objects.feed(piece);
                got.extend(std::iter::from_fn(|| objects.next_object()));
            }
            assert_eq!(got, wanted, "in pieces of {size}");
            assert!(!objects.partly() && objects.is_empty(), "{objects:?}");
        }
    }
}
