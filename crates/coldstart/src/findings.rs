//! What was found of workers, by this dispatcher and by the others, as facts that a carrier brings.
//!
//! Of each worker the latest time of each thing found is kept: proofs of life, refusals, silences, resets, cold
//! answers, and the latest report. Taking a fact in is a maximum in each of these, so the state is the same in whatever order
//! and however often facts come (a join-semilattice, as in Shapiro and others, "Conflict-free Replicated Data Types", 2011).
//! What is *said* of a worker is made of that when it is asked for: the worst trouble that no later proof of life refutes,
//! with a weight that halves with its age.
//!
//! Slot 0 of this kind is what a member says of the list service ([`Service`]); the others are buckets of workers.

use crate::pacer::Service;
use crate::{invariant, mix};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The kind of this crate's facts.
pub const KIND: u8 = 1;
/// The longest fact that a carrier takes, in bytes.
pub const MOST_BYTES: usize = 160;
/// Buckets of workers: slots 1 to this.
pub const BUCKETS: u32 = 512;
/// Workers kept, at most; beyond that the one heard of least lately goes.
pub const MOST_WORKERS: usize = 16_384;
const VERSION: u8 = 1;
/// Between two facts of worker buckets, in microseconds.
const EVERY: u64 = 50_000;
/// Between two words on the service that others need not act upon.
const IDLE_WORD: u64 = 5_000_000;
/// Clocks are taken to differ by this at most, in milliseconds: what is from later than that is refused.
pub const SKEW: u64 = 5_000;
/// A finding weighs half after this long, in milliseconds, and nothing after `FORGET`.
const HALF: f64 = 5_000.0;
const FORGET: u64 = 30_000;
/// Trouble is told anew once it is so old, in milliseconds: those who leave a worker alone for it soon try again.
const TROUBLE_EVERY: u64 = 2_500;
/// Proofs of life, and reports, are told anew once the last that was heard is so old, by the last of the places twice so
/// old: one that tells is heard before most would.
const PROOF_EVERY: u64 = 12_000;

/// Who tells a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// Its place.
    pub place: u16,
    /// Its epoch, in milliseconds of Unix time.
    pub epoch: u64,
}

/// Why a fact was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AbsorbError {
    /// It has another version.
    #[error("version {0} of a finding is not known here")]
    Version(u8),
    /// It cannot be read.
    #[error("a finding cannot be read")]
    Malformed,
    /// It is longer than a fact may be.
    #[error("a finding has {0} bytes, {MOST_BYTES} at most")]
    TooLong(usize),
    /// It is about a slot that this kind does not have.
    #[error("slot {0} is none of this kind's")]
    Slot(u32),
    /// It is from the future by more than clocks may differ.
    #[error("a finding is from {0} ms in the future")]
    Future(u64),
}

/// What can be wrong with a worker, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    /// It breaks connections.
    Resets,
    /// Connections or answers do not come.
    Hangs,
    /// It refuses connections.
    Refuses,
}

/// A worker's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Report {
    /// Utilisation, in 255ths.
    pub cpu: u8,
    /// Free slots, 255 for that many or more.
    pub free: u8,
}

/// One thing found of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It took a connection, or answered.
    Alive,
    /// It showed this trouble.
    Trouble(Trouble),
    /// It answered as one that has just started.
    Cold,
    /// It reported its load (and so lives).
    Report(Report),
}

/// What is found of a worker at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// Its worst trouble since the last proof of life, with its age in microseconds.
    pub trouble: Option<(Trouble, u64)>,
    /// The age of the last proof of life, in microseconds.
    pub alive: Option<u64>,
    /// The age of the last sign that it is cold.
    pub cold: Option<u64>,
    /// Its last report, with its age.
    pub report: Option<(Report, u64)>,
    /// How much the newest of these says now: 1 when it was seen, half of that every 5 s.
    pub weight: f64,
}

/// The latest time of each thing, in Unix milliseconds; 0 for never. Taking the maximum of each joins two of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Held {
    alive: u64,
    trouble: [u64; 3],
    cold: u64,
    report: (u64, Report),
}

impl Held {
    fn join(&mut self, other: &Held) {
        self.alive = self.alive.max(other.alive);
        for (own, other) in self.trouble.iter_mut().zip(other.trouble) {
            *own = (*own).max(other);
        }
        self.cold = self.cold.max(other.cold);
        self.report = self.report.max(other.report);
    }

    fn newest(&self) -> u64 {
        self.trouble.into_iter().chain([self.alive, self.cold, self.report.0]).max().unwrap_or(0)
    }

    fn worst(&self) -> Option<(Trouble, u64)> {
        let kinds = [Trouble::Refuses, Trouble::Hangs, Trouble::Resets];
        let mut found = kinds.into_iter().map(|kind| (kind, self.trouble[kind as usize]));
        found.find(|(_, at)| *at > self.alive)
    }
}

/// A worker within a fact: its fingerprint, and how long before the fact's time each thing was, plus one; 0 for never.
#[derive(Serialize, Deserialize)]
struct Row(u32, [u32; 6], Report);

#[derive(Serialize, Deserialize)]
struct Told {
    at: u64,
    rows: Vec<Row>,
}

/// A worker's bucket and its fingerprint there.
type Key = (u32, u32);

fn key(tag: u64) -> Key {
    let mixed = mix(tag);
    (1 + (mixed % u64::from(BUCKETS)) as u32, (mixed >> 32) as u32)
}

/// What is known of the workers and of the list service.
#[derive(Debug)]
pub struct Findings {
    unix: u64,
    proof_every: u64,
    /// From all: the join of everything found here and taken in.
    all: BTreeMap<Key, Held>,
    /// Found here alone: what this one tells.
    own: BTreeMap<Key, Held>,
    by_age: BTreeSet<(u64, Key)>,
    dirty: BTreeSet<u32>,
    next: u64,
    service: Option<Service>,
    service_told: (u64, Option<Service>),
    urgent: bool,
    heard: HashMap<u16, (u64, u64)>,
    news: Vec<(u16, Service)>,
    told: u64,
}

impl Findings {
    /// Nothing found yet; `unix` is the Unix time of the caller's zero, in microseconds.
    pub fn new(place: u16, unix: u64, now: u64) -> Findings {
        Findings {
            unix,
            proof_every: PROOF_EVERY + mix(u64::from(place)) % PROOF_EVERY,
            all: BTreeMap::new(),
            own: BTreeMap::new(),
            by_age: BTreeSet::new(),
            dirty: BTreeSet::new(),
            next: 0,
            service: None,
            service_told: (now.saturating_sub(EVERY), None),
            urgent: false,
            heard: HashMap::new(),
            news: Vec::new(),
            told: 0,
        }
    }

    fn unix_ms(&self, now: u64) -> u64 {
        (self.unix + now) / 1_000
    }

    /// Takes what this dispatcher saw of a worker, by the tag that is the same at every dispatcher.
    pub fn note(&mut self, now: u64, tag: u64, seen: Seen) {
        let (key, at) = (key(tag), self.unix_ms(now));
        let mut found = Held::default();
        match seen {
            Seen::Alive => found.alive = at,
            Seen::Trouble(kind) => found.trouble[kind as usize] = at,
            Seen::Cold => (found.cold, found.alive) = (at, at),
            Seen::Report(report) => (found.report, found.alive) = ((at, report), at),
        }
        let before = self.all.get(&key).copied().unwrap_or_default();
        // Told is what changes the others' minds; a proof of life that nobody doubted only now and then.
        let worth = match seen {
            Seen::Trouble(kind) => {
                before.worst().is_none_or(|(worst, since)| worst < kind || since + TROUBLE_EVERY < at)
            }
            Seen::Alive => before.worst().is_some() || before.alive + self.proof_every < at,
            Seen::Cold => before.cold + self.proof_every < at,
            Seen::Report(_) => before.worst().is_some() || before.report.0 + self.proof_every < at,
        };
        self.own.entry(key).or_default().join(&found);
        self.take(key, &found);
        if worth {
            self.dirty.insert(key.0);
        }
    }

    /// Takes what this dispatcher says of the service; `urgent` where it changes what the others do.
    pub fn say(&mut self, service: Service, urgent: bool) {
        self.service = Some(service);
        self.urgent = urgent;
    }

    fn take(&mut self, key: Key, found: &Held) {
        let held = self.all.entry(key).or_default();
        let before = held.newest();
        held.join(found);
        let after = held.newest();
        self.by_age.remove(&(before, key));
        self.by_age.insert((after, key));
        while self.by_age.len() > MOST_WORKERS {
            if let Some((_, oldest)) = self.by_age.pop_first() {
                self.all.remove(&oldest);
                self.own.remove(&oldest);
            }
        }
        invariant!(self.by_age.len() == self.all.len(), "a worker without its age");
    }

    /// What is found of a worker, if anything that still counts.
    pub fn finding(&self, tag: u64, now: u64) -> Option<Finding> {
        let (held, unix) = (self.all.get(&key(tag))?, self.unix_ms(now));
        let fresh =
            |at: u64| (at > 0 && unix.saturating_sub(at) <= FORGET).then(|| unix.saturating_sub(at) * 1_000);
        let newest = fresh(held.newest())?;
        Some(Finding {
            trouble: held.worst().and_then(|(kind, at)| fresh(at).map(|age| (kind, age))),
            alive: fresh(held.alive),
            cold: fresh(held.cold),
            report: fresh(held.report.0).map(|age| (held.report.1, age)),
            weight: (-(newest as f64 / 1_000.0) / HALF).exp2(),
        })
    }

    /// What other members said of the service since the last call, for the pacer.
    pub fn service_news(&mut self) -> Vec<(u16, Service)> {
        std::mem::take(&mut self.news)
    }

    /// The next fact to tell; called until `None`.
    pub fn publish(&mut self, now: u64) -> Option<(u32, Vec<u8>)> {
        if let Some(word) = self.word().filter(|_| now >= self.word_due()) {
            (self.service_told, self.urgent) = ((now, Some(word)), false);
            return postcard::to_extend(&word, vec![VERSION]).ok().map(|bytes| (0, bytes));
        }
        if now < self.next {
            return None;
        }
        while let Some(bucket) = self.dirty.pop_first() {
            if let Some(bytes) = self.bucket(now, bucket) {
                self.next = now + EVERY;
                self.told += 1;
                return Some((bucket, bytes));
            }
        }
        None
    }

    /// What is to be said of the service, if it was not said yet, and when.
    fn word(&self) -> Option<Service> {
        self.service.filter(|word| Some(*word) != self.service_told.1)
    }

    fn word_due(&self) -> u64 {
        self.service_told.0 + if self.urgent { EVERY } else { IDLE_WORD }
    }

    /// When [`Findings::publish`] may have something next.
    pub fn next_wake(&self) -> Option<u64> {
        let word = self.word().map(|_| self.word_due());
        let bucket = (!self.dirty.is_empty()).then_some(self.next);
        word.into_iter().chain(bucket).min()
    }

    /// A bucket as a fact: the newest workers first, as many as there is room for.
    fn bucket(&self, now: u64, bucket: u32) -> Option<Vec<u8>> {
        let at = self.unix_ms(now);
        let range = (bucket, 0)..=(bucket, u32::MAX);
        let mut rows: Vec<(u32, Held)> = self.own.range(range).map(|(key, held)| (key.1, *held)).collect();
        rows.retain(|(_, held)| held.newest() + FORGET > at);
        rows.sort_by_key(|(_, held)| std::cmp::Reverse(held.newest()));
        let before = |then: u64| match then {
            0 => 0,
            then => u32::try_from(at.saturating_sub(then) + 1).unwrap_or(0),
        };
        let mut told = Told { at, rows: Vec::new() };
        let mut bytes = None;
        for (print, held) in rows {
            let ages =
                [held.alive, held.trouble[0], held.trouble[1], held.trouble[2], held.cold, held.report.0];
            told.rows.push(Row(print, ages.map(before), held.report.1));
            match postcard::to_extend(&told, vec![VERSION]) {
                Ok(text) if text.len() <= MOST_BYTES => bytes = Some(text),
                _ => break,
            }
        }
        bytes
    }

    /// Takes a fact in. The same one again, or an older one after a newer, changes nothing.
    pub fn absorb(
        &mut self,
        now: u64,
        origin: Origin,
        slot: u32,
        number: u64,
        bytes: &[u8],
    ) -> Result<(), AbsorbError> {
        if bytes.len() > MOST_BYTES {
            return Err(AbsorbError::TooLong(bytes.len()));
        }
        let (version, body) = bytes.split_first().ok_or(AbsorbError::Malformed)?;
        if *version != VERSION {
            return Err(AbsorbError::Version(*version));
        }
        let unix = self.unix_ms(now);
        let sane = |at: u64| if at > unix + SKEW { Err(AbsorbError::Future(at - unix)) } else { Ok(()) };
        match slot {
            0 => {
                let word: Service = postcard::from_bytes(body).map_err(|_| AbsorbError::Malformed)?;
                sane(word.answered.max(word.failed).max(word.refused))?;
                let last = self.heard.entry(origin.place).or_default();
                if (origin.epoch, number) > *last {
                    *last = (origin.epoch, number);
                    // Of each member the last word counts: what nobody fetched yet is replaced.
                    self.news.retain(|(place, _)| *place != origin.place);
                    self.news.push((origin.place, word));
                }
            }
            1..=BUCKETS => {
                let told: Told = postcard::from_bytes(body).map_err(|_| AbsorbError::Malformed)?;
                sane(told.at)?;
                for Row(print, ages, report) in told.rows {
                    let when =
                        |age: u32| if age == 0 { 0 } else { (told.at + 1).saturating_sub(u64::from(age)) };
                    let [alive, resets, hangs, refuses, cold, reported] = ages.map(when);
                    let report = (reported, if reported > 0 { report } else { Report::default() });
                    let found = Held { alive, trouble: [resets, hangs, refuses], cold, report };
                    self.take((slot, print), &found);
                }
            }
            _ => return Err(AbsorbError::Slot(slot)),
        }
        Ok(())
    }

    /// Facts on workers told so far.
    pub fn told(&self) -> u64 {
        self.told
    }

    /// All that is held, for comparing two states: the workers' times in order.
    pub fn state(&self) -> impl PartialEq + std::fmt::Debug + use<> {
        self.all.iter().map(|(key, held)| (*key, *held)).collect::<Vec<_>>()
    }
}
