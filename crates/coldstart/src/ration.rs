//! Handshakes, probes and first jobs of each worker, rationed over all dispatchers that may exist, with no message.
//!
//! **The bound.** In any stretch of the fall window `W`, a worker gets no more units from all places together than the
//! budget `B` that the settings allow at the stretch's beginning, whichever processes live, whenever they started, while
//! their clocks differ from true time by at most `skew`.
//!
//! **Why.** By Unix time (for a cold worker: by its age, so that its phases are the same to all) time is cut into turns
//! of length `(W + 2 skew) / k`. A unit spent within the window has a stamp within `W + 2 skew`, which touches `k + 1` turns at
//! most, and one more where it crosses into the next phase of a cold worker, whose budget is the larger one. A turn is
//! owned by `B / (k + 2)` units' worth of places, in rotation by place and worker; each owner spends its part of them at most,
//! and a process leaves alone the turn in which it started, since one before it at the same place may have spent it. So a
//! window holds `(k + 2) floor(B / (k + 2)) <= B` units.

use crate::{ConfigError, check_place, invariant, mix};
use std::collections::HashMap;

/// Turns in a window, where the budget is large enough for as many.
const MOST_TURNS: u64 = 4;
/// A cold worker's budget is reckoned anew so often until it is warm.
const PHASES: u64 = 8;
/// Handshakes and probes each take this part of a warm worker, at most; first jobs at unconfirmed ones no more than it does.
const WARM_PART: f64 = 0.02;
/// A cold worker's turn is shared by so many owners, where its budget has room for it; by few in some turns, so that
/// large jobs have their turns too.
const OWNERS: [u64; 4] = [8, 2, 4, 1];
/// Spent turns kept, at most.
const MOST_KEPT: usize = 65_536;

/// What the settings say.
#[derive(Clone, Debug)]
pub struct Config {
    /// This dispatcher's place, from 0.
    pub place: u16,
    /// How many places there are, whether or not anybody is there.
    pub count: u16,
    /// The Unix time of the caller's zero, in microseconds.
    pub unix: u64,
    /// Clocks differ from true time by this at most, in microseconds.
    pub skew: u64,
    /// The fall window, in microseconds.
    pub window: u64,
    /// A worker sent more than this multiple of its present capacity over the window falls over.
    pub multiple: f64,
    /// A worker starts at this part of its capacity ...
    pub cold_from: f64,
    /// ... and is warm after this, in microseconds.
    pub cold_time: u64,
    /// The work of a handshake, in requests of mean work.
    pub handshake: f64,
    /// The work of a probe, in requests of mean work.
    pub probe: f64,
    /// Connections that a worker holds; 0 where nobody knows.
    pub connections: u32,
    /// Connections change hands among the places this seldom, where a worker holds fewer than there are places, in
    /// microseconds.
    pub lease: u64,
    /// Takes every turn for its own, for proofs that such a fault is caught.
    #[doc(hidden)]
    pub without_turns: bool,
}

/// A worker, by what the list and the settings say of it: the same at every dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct WorkerNow {
    /// The same at every dispatcher.
    pub tag: u64,
    /// Its last start, in microseconds of Unix time; `None` where it is warm.
    pub started: Option<u64>,
    /// Requests of mean work that it does in a second when it is warm, by the settings.
    pub per_second: f64,
}

/// What a dispatcher wants of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wish {
    /// A new connection.
    Handshake,
    /// A probe on a connection that is there.
    Probe,
    /// The first job at a worker that is not confirmed since the start, with the new connection for it.
    First,
    /// A job of so much work, in requests of mean work, each for one at least. Only a cold worker's are rationed.
    Job(f64),
}

/// Whether it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Yes, and it is spent.
    Go,
    /// Not before this time, in the caller's microseconds.
    Wait(u64),
    /// It is larger than any turn of this worker in its present phase.
    TooLarge,
}

/// Which turns of which worker: a cold worker has one budget for all wishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stream {
    Cold,
    Handshakes,
    Probes,
    Firsts,
}

/// The turn that the present time is in.
#[derive(Clone, Copy, Debug)]
struct Turn {
    /// By Unix time.
    start: u64,
    length: u64,
    index: u64,
    /// Places that own it, and units for each.
    owners: u64,
    grant: u64,
    /// Kinds of turns that take turns, each with a rotation of its own.
    kinds: u64,
}

/// A wish, beside what was spent.
struct Claim {
    key: (u64, Stream),
    turn: Turn,
    /// In thousandths of units, as is what was spent of this turn before.
    cost: u64,
    spent: u64,
    open: bool,
}

/// The rationing of one dispatcher.
#[derive(Debug)]
pub struct Ration {
    config: Config,
    /// Unix time at its making.
    born: u64,
    /// What was spent, in thousandths of units, of the latest turn of each stream of each worker.
    spent: HashMap<(u64, Stream), (u64, u64)>,
}

/// The budget of a worker that may get `n` requests of mean work: the settings' number with room for chance.
pub fn budget(n: f64) -> u64 {
    (n + 3.0 * n.max(0.0).sqrt() + 3.0) as u64
}

impl Ration {
    /// The rationing of a process that starts now.
    pub fn new(config: Config, now: u64) -> Result<Ration, ConfigError> {
        check_place(config.place, config.count)?;
        for (span, name) in [(config.window, "window"), (config.lease, "lease")] {
            if span == 0 {
                return Err(ConfigError::Zero(name));
            }
        }
        let numbers =
            [(config.multiple, "multiple"), (config.handshake, "handshake"), (config.probe, "probe")];
        if let Some((_, name)) = numbers.into_iter().find(|(n, _)| !(n.is_finite() && *n > 0.0)) {
            return Err(ConfigError::NotPositive(name));
        }
        if !(0.0..=1.0).contains(&config.cold_from) {
            return Err(ConfigError::NotPositive("cold_from"));
        }
        Ok(Ration { born: config.unix + now, config, spent: HashMap::new() })
    }

    /// A worker's budget in requests of mean work for a window that begins at this age, by the settings.
    pub fn cold_budget(&self, worker: &WorkerNow, age: u64) -> u64 {
        let grown = age as f64 / self.config.cold_time.max(1) as f64;
        let part = self.config.cold_from + (1.0 - self.config.cold_from) * grown.min(1.0);
        let capacity = worker.per_second * self.config.window as f64 / 1e6;
        budget(self.config.multiple * part * capacity)
    }

    /// What a warm worker gets of handshakes, or of other small wishes, in a window.
    pub fn warm_budget(&self, worker: &WorkerNow, work: f64) -> u64 {
        let capacity = worker.per_second * self.config.window as f64 / 1e6;
        budget(WARM_PART * capacity / work.max(1e-6))
    }

    /// Asks for one wish at a worker, and spends it.
    pub fn ask(&mut self, now: u64, worker: &WorkerNow, wish: Wish) -> Verdict {
        let Some(claim) = self.claim(now, worker, wish) else { return Verdict::Go };
        let Claim { key, turn, cost, spent, open } = claim;
        if cost > turn.grant * 1_000 {
            return Verdict::TooLarge;
        }
        let unix = self.config.unix + now;
        if open {
            if self.spent.len() >= MOST_KEPT {
                let oldest = unix.saturating_sub(2 * (self.config.window + 2 * self.config.skew));
                self.spent.retain(|_, (start, _)| *start >= oldest);
            }
            if self.spent.len() < MOST_KEPT {
                self.spent.insert(key, (turn.start, spent + cost));
                return Verdict::Go;
            }
        }
        // The next turn that is owned, as if this phase went on.
        let round = u64::from(self.config.count).div_ceil(turn.owners).max(1) * turn.kinds;
        // Those of the same kind: the other kinds have other owners.
        let owned = |ahead: &u64| {
            let next = Turn { index: turn.index + ahead, ..turn };
            ahead % turn.kinds == 0 && self.owns(worker.tag, &next)
        };
        let ahead = (1..=round + turn.kinds).find(owned).unwrap_or(1);
        let at = turn.start + turn.length * ahead;
        Verdict::Wait(at.saturating_sub(self.config.unix).max(now + 1))
    }

    /// Whether a wish would be granted now, without spending it.
    pub fn would(&self, now: u64, worker: &WorkerNow, wish: Wish) -> bool {
        self.claim(now, worker, wish).is_none_or(|claim| claim.open)
    }

    /// What stands for and against a wish; `None` where it is not rationed.
    fn claim(&self, now: u64, worker: &WorkerNow, wish: Wish) -> Option<Claim> {
        let unix = self.config.unix + now;
        let age = worker.started.map(|at| unix.saturating_sub(at)).filter(|age| *age < self.config.cold_time);
        let (stream, units) = match (age, wish) {
            (Some(_), Wish::Handshake) => (Stream::Cold, self.config.handshake),
            (Some(_), Wish::Probe) => (Stream::Cold, self.config.probe),
            (Some(_), Wish::First) => (Stream::Cold, 1.0 + self.config.handshake),
            (Some(_), Wish::Job(work)) => (Stream::Cold, work.max(1.0)),
            (None, Wish::Handshake) => (Stream::Handshakes, 1.0),
            (None, Wish::Probe) => (Stream::Probes, 1.0),
            (None, Wish::First) => (Stream::Firsts, 1.0),
            (None, Wish::Job(_)) => return None,
        };
        let turn = self.turn(worker, stream, age, unix);
        let (key, cost) = ((worker.tag, stream), (units * 1e3).ceil() as u64);
        let spent =
            self.spent.get(&key).filter(|(start, _)| *start == turn.start).map_or(0, |(_, spent)| *spent);
        invariant!(spent <= turn.grant * 1_000, "more than the own part of a turn was spent");
        let part = self.config.without_turns || turn.start >= self.born && self.owns(worker.tag, &turn);
        let open = part && spent + cost <= turn.grant * 1_000;
        Some(Claim { key, turn, cost, spent, open })
    }

    fn turn(&self, worker: &WorkerNow, stream: Stream, age: Option<u64>, unix: u64) -> Turn {
        let span = self.config.window + 2 * self.config.skew;
        let (zero, into, budget) = match (stream, age) {
            (Stream::Cold, Some(age)) => {
                let phase = (self.config.cold_time / PHASES).max(span);
                let began = age / phase * phase;
                let started = unix - age;
                (started + began, age - began, self.cold_budget(worker, began.saturating_sub(span)))
            }
            (Stream::Probes, _) => (0, unix, self.warm_budget(worker, self.config.probe)),
            (Stream::Firsts, _) => (0, unix, self.warm_budget(worker, WARM_PART)),
            _ => (0, unix, self.warm_budget(worker, self.config.handshake)),
        };
        let turns = (1..=MOST_TURNS).rev().find(|k| budget / (k + 2) > 0).unwrap_or(1);
        let (units, length) = ((budget / (turns + 2)).max(1), span.div_ceil(turns));
        invariant!(units * (turns + 2) <= budget, "turns hold more than the budget");
        let count = u64::from(self.config.count);
        // With fewer places than units each place has its part of every turn; otherwise turns go round.
        let index = into / length;
        let kinds = if stream == Stream::Cold { OWNERS.len() as u64 } else { 1 };
        let least = if stream == Stream::Cold { units / OWNERS[(index % kinds) as usize] } else { 1 };
        let grant = (units / count).max(least).max(1);
        let owners = (units / grant).clamp(1, count);
        Turn { start: zero + index * length, length, index, owners, grant, kinds }
    }

    /// Whether the turn is this place's: the owners of one turn are places in a row, those of the next the ones after
    /// them. Where a row begins is dealt by the worker's tag.
    fn owns(&self, tag: u64, turn: &Turn) -> bool {
        let count = u64::from(self.config.count);
        let (kind, nth) = (turn.index % turn.kinds, turn.index / turn.kinds);
        let first = (mix(tag ^ kind << 56) % count + nth % count * (turn.owners % count)) % count;
        (u64::from(self.config.place) + count - first) % count < turn.owners
    }

    /// Connections that this place may hold to a worker now, and until when (in the caller's microseconds; beyond that
    /// it asks again, and closes what it may no longer hold). The places' numbers never add up to more than the worker
    /// holds, also while some places are already in the next lease and some not yet. `None` where nobody knows how many it holds.
    pub fn connections(&self, now: u64, tag: u64) -> Option<(u32, u64)> {
        let (all, count) = (u64::from(self.config.connections), u64::from(self.config.count));
        let (unix, lease) = (self.config.unix + now, self.config.lease);
        let until = ((unix / lease + 1) * lease).saturating_sub(self.config.unix);
        match all / count {
            _ if all == 0 => None,
            0 => {
                // Half for each of two leases that touch.
                let turn = Turn {
                    start: 0,
                    length: lease,
                    index: unix / lease,
                    owners: all / 2,
                    grant: 1,
                    kinds: 1,
                };
                Some((u32::from(all >= 2 && self.owns(tag, &turn)), until))
            }
            part => Some((u32::try_from(part).unwrap_or(u32::MAX), u64::MAX)),
        }
    }
}
