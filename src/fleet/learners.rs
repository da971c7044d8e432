//! What a dispatcher learns of its jobs and shares with the others: how long they run. Inputs to the decision module come
//! from here; it decides.

use super::{Birth, FleetSettings};
use crate::interface::{Estimate, Micros};
use mothproxy_membership::OwnedFact;
use mothproxy_runtimes::{Config, Likeness, Origin, Outcome, Runtimes, number};

/// Facts are looked for this often.
const LOOK: Micros = 250_000;
/// Facts told in one go at most.
const FACTS: usize = 16;

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LearnersFigures {
    /// Attempts whose end was seen.
    pub seen: u64,
    /// Facts told.
    pub told: u64,
    /// Facts of others that changed what is held.
    pub taken: u64,
    /// Facts that could not be taken in.
    pub refused: u64,
}

/// What a job is called by those that tell of it.
#[derive(Clone, Copy, Debug)]
pub struct Traits<'a> {
    /// The name of its class.
    pub class: &'a str,
    /// The name of its tenant.
    pub tenant: Option<&'a str>,
    /// Its subject: a number that is the same at every dispatcher.
    pub subject: Option<u64>,
}

impl Traits<'_> {
    fn likeness(&self) -> Likeness {
        let name = |name: &str| number(name.as_bytes());
        Likeness {
            tenant: self.tenant.map(name),
            subject: self.subject,
            ..Likeness::of_class(name(self.class))
        }
    }
}

/// The parts that learn, those that are on.
#[derive(Default)]
pub struct Learners {
    runtimes: Option<Runtimes>,
}

impl Learners {
    /// The parts that the settings name. What they teach is told under the epoch of `birth`.
    pub fn new(settings: &FleetSettings, birth: Birth, now: Micros) -> Learners {
        let place = u16::try_from(birth.me).unwrap_or(u16::MAX);
        let runtimes = settings.runtimes.as_ref().and_then(|set| {
            let config = Config { long: set.long, ..Config::new(place, birth.epoch) };
            let made = Runtimes::new(config, now);
            crate::invariant!(made.is_ok(), "settings that were checked");
            made.ok()
        });
        Learners { runtimes }
    }

    /// Whether any part is on.
    pub fn on(&self) -> bool {
        self.runtimes.is_some()
    }

    /// The work of such a job, where that is learned.
    pub fn estimate(&self, job: &Traits<'_>) -> Option<Estimate> {
        let work = self.runtimes.as_ref()?.work(&job.likeness());
        Some(Estimate { typical: work.typical, long: work.long.max(work.typical) })
    }

    /// An attempt has begun to run, at a worker of this name and kind.
    pub fn started(&mut self, now: Micros, attempt: u64, job: &Traits<'_>, worker: &str, kind: &str) {
        if let Some(runtimes) = &mut self.runtimes {
            let (worker, kind) = (number(worker.as_bytes()), number(kind.as_bytes()) as u32);
            runtimes.started(attempt, &job.likeness(), kind, worker, now);
        }
    }

    /// It has told the share done.
    pub fn progress(&mut self, now: Micros, attempt: u64, share: f64) {
        if let Some(runtimes) = &mut self.runtimes {
            runtimes.progress(attempt, share, now);
        }
    }

    /// It has ended; `done` where it ran to its end. One that never began to run teaches nothing.
    pub fn ended(&mut self, now: Micros, attempt: u64, done: bool) {
        if let Some(runtimes) = &mut self.runtimes {
            runtimes.ended(attempt, if done { Outcome::Done } else { Outcome::Censored }, now);
        }
    }

    /// What there is to tell the others now: kind, slot and bytes.
    pub fn publish(&mut self, now: Micros) -> Vec<(u8, u32, Vec<u8>)> {
        let Some(runtimes) = &mut self.runtimes else { return Vec::new() };
        let facts = std::iter::from_fn(|| runtimes.publish(now)).take(FACTS);
        facts.map(|(slot, bytes)| (mothproxy_runtimes::KIND, slot, bytes)).collect()
    }

    /// Takes in what another has told, or this place at an earlier start.
    pub fn absorb(&mut self, now: Micros, fact: &OwnedFact) {
        if fact.kind == mothproxy_runtimes::KIND
            && let Some(runtimes) = &mut self.runtimes
        {
            let origin = Origin { place: fact.place, epoch: fact.epoch };
            // What cannot be read is counted there.
            let _ = runtimes.absorb(now, origin, fact.slot, fact.number, &fact.bytes);
        }
    }

    /// When [`Learners::publish`] is to be asked next, if a part is on.
    pub fn next_look(&self, now: Micros) -> Option<Micros> {
        self.on().then_some(now + LOOK)
    }

    /// What was counted, where a part is on.
    pub fn figures(&self) -> Option<LearnersFigures> {
        let f = self.runtimes.as_ref()?.figures();
        Some(LearnersFigures { seen: f.seen, told: f.told, taken: f.taken, refused: f.refused })
    }
}
