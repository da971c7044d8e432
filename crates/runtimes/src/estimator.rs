//! The estimator: jobs and facts in, estimates and facts out.

use crate::fit::{Expected, Fit};
use crate::likeness::{CellId, Chain, Level, Likeness, worker};
use crate::register::{AbsorbError, Key, Register, Sum, Told};
use crate::shape::bin;
use crate::slowdown::{Clocks, Slowdown};
use crate::{Config, ConfigError, Estimate, Figures, Origin, Outcome};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

/// Running jobs add to what was expected to end this often, µs.
const COUNT_EVERY: u64 = 250_000;
/// Running jobs counted at a time, at most; the others come next.
const COUNT_MOST: usize = 1_024;
/// A fit after this long where anything changed, and so much more for each register, µs: a fit's cost grows with them.
/// Where an eighth of what it rests on is new, it may come five times as soon.
const FIT_EVERY: u64 = 1_000_000;
const FIT_MORE: u64 = 1_000;
/// A cell of all that a request carries is summed up once it was seen so often of late; most such never come again.
const ADMIT: u8 = 4;
const DOOR: usize = 4_096;
/// Spans of others may lie this many ahead: clocks differ.
const AHEAD: u32 = 2;
/// A class is told about and followed once so many jobs of it ended.
const KNOWN: f64 = 100.0;
/// A residual is entered once the class's expectation rests on so many jobs.
const EXPECTED: f64 = 2.0;
/// Something grown a little is told after this long, µs.
const TELL_ANYWAY: u64 = 30_000_000;
/// Where nothing was worth telling, this is asked again after, µs.
const QUIET: u64 = 500_000;
/// What was not told for want of anything new may be told at once, for so many seconds.
const BURST: f64 = 10.0;
/// No register counts more jobs than this.
const MOST_JOBS: u32 = 1 << 22;
/// Run times at speed 1 are taken for no more than this, µs.
const LONGEST: f64 = 1e12;

struct Own {
    register: Register,
    slot: Option<u32>,
    told: u32,
    told_at: u64,
}

struct Held {
    stamp: (u64, u64),
    rank: i64,
    told: Told,
}

#[derive(Clone, Copy)]
struct Job {
    chain: Chain,
    kind: u32,
    worker: u64,
    /// The clocks when it started.
    begun: Clocks,
    /// Expected logarithmic run time at its start.
    expected: f64,
    /// Residual up to which its hazard was counted; `None` where its class was not known well enough.
    counted: Option<f64>,
    /// Share done, and the work clock then.
    progress: Option<(f64, f64)>,
}

/// Learns how long jobs run. Time is the caller's own monotonic clock, µs.
pub struct Runtimes {
    config: Config,
    start: u64,
    now: u64,
    own: BTreeMap<(u32, CellId), Own>,
    held: BTreeMap<Key, Held>,
    ranks: BTreeSet<(i64, Key)>,
    running: BTreeMap<u64, Job>,
    counted_to: u64,
    counted_at: u64,
    slow: Slowdown,
    /// How often the finest cells were seen, by a part of their hash, halved with each span (the doorkeeper of TinyLFU,
    /// Einziger and others 2017).
    door: Box<[u8; DOOR]>,
    fit: Fit,
    fitted_at: u64,
    fitted_span: u32,
    /// Jobs that the fit rests on, and that came since.
    rests_on: f64,
    changed: f64,
    slots: VecDeque<u32>,
    tokens: f64,
    paid_at: u64,
    /// Nothing is worth telling until then.
    quiet_until: u64,
    figures: Figures,
}

fn log(micros: f64) -> f64 {
    micros.clamp(1.0, LONGEST).ln()
}

fn micros(log: f64) -> u64 {
    log.exp().clamp(1.0, LONGEST) as u64
}

impl Runtimes {
    /// An estimator that has seen nothing; `now` is the moment that `config.epoch` names.
    pub fn new(config: Config, now: u64) -> Result<Self, ConfigError> {
        config.check()?;
        let slots = config.slots;
        // A run begins at another slot than the one before, so that what that one told is overwritten late.
        let mut hasher = SipHasher13::new();
        hasher.write_u64(config.epoch);
        let first = (hasher.finish() % u64::from(slots)) as u32;
        Ok(Runtimes {
            start: now,
            now,
            own: BTreeMap::new(),
            held: BTreeMap::new(),
            ranks: BTreeSet::new(),
            running: BTreeMap::new(),
            counted_to: 0,
            counted_at: now,
            slow: Slowdown::new(&config, now),
            door: Box::new([0; DOOR]),
            fit: Fit::prior(&config),
            fitted_at: now,
            fitted_span: 0,
            rests_on: 0.0,
            changed: 0.0,
            slots: (first..slots).chain(0..first).collect(),
            tokens: BURST * config.facts_per_s,
            paid_at: now,
            quiet_until: now,
            figures: Figures::default(),
            config,
        })
    }

    fn span(&self) -> u32 {
        let wall = self.config.epoch * 1_000 + self.now.saturating_sub(self.start);
        u32::try_from(wall / self.config.span).unwrap_or(u32::MAX)
    }

    /// The oldest span that is not forgotten.
    fn oldest(&self) -> u32 {
        let kept = (6 * self.config.half_life).div_ceil(self.config.span);
        self.span().saturating_sub(u32::try_from(kept).unwrap_or(u32::MAX))
    }

    /// Sees to all that time brings: the slowdown, the fit, what is forgotten. All calls that change something do it too;
    /// where none comes, estimates stay as they were.
    pub fn advance(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.slow.advance(self.now);
        if self.now - self.counted_at >= COUNT_EVERY {
            self.counted_at = self.now;
            self.count();
        }
        let rest = FIT_EVERY + FIT_MORE * (self.own.len() + self.held.len()) as u64;
        let since = self.now - self.fitted_at;
        let much = self.changed >= 1.0 + self.rests_on / 8.0 && (self.rests_on < 64.0 || since >= rest / 5);
        if much || self.changed > 0.0 && since >= rest || self.fitted_span != self.span() {
            self.refit();
        }
    }

    /// An attempt has begun to run at a worker. `kind` and `worker` are numbers that mean the same in each dispatcher.
    pub fn started(&mut self, job: u64, likeness: &Likeness, kind: u32, worker: u64, now: u64) {
        self.advance(now);
        if self.running.len() >= self.config.running {
            self.figures.crowded += 1;
            return;
        }
        let chain = Chain::new(likeness);
        let expected = self.fit.expected(&chain);
        let log = expected.work + self.fit.slowness(kind) + self.fit.worker(worker);
        let counted = (expected.class_jobs >= KNOWN).then_some(f64::NEG_INFINITY);
        let begun = self.slow.clocks();
        let job_now = Job { chain, kind, worker, begun, expected: log, counted, progress: None };
        self.running.insert(job, job_now);
    }

    /// An attempt told the share it has done, 0 to 1. What is no number counts as nothing told.
    pub fn progress(&mut self, job: u64, share: f64, now: u64) {
        self.advance(now);
        let clock = self.slow.clocks().work;
        if let Some(job) = self.running.get_mut(&job).filter(|_| share.is_finite()) {
            job.progress = Some((share.clamp(0.0, 1.0), clock));
        }
    }

    /// An attempt ended. A job that was never begun here is ignored.
    pub fn ended(&mut self, job: u64, outcome: Outcome, now: u64) {
        self.advance(now);
        let Some(job) = self.running.remove(&job) else { return };
        let done = outcome == Outcome::Done || self.config.censored_as_short;
        self.figures.seen += 1;
        self.figures.censored += u64::from(outcome == Outcome::Censored);
        let ran = log(self.slow.clocks().learning - job.begun.learning);
        let grown = self.hazard_grown(&job);
        if job.counted.is_some() {
            self.slow.learn(grown, f64::from(u8::from(done)));
        }
        let expected = self.fit.expected(&job.chain);
        let slowness = self.fit.slowness(job.kind);
        let at_worker = self.fit.worker(job.worker);
        let residual = ran - at_worker - slowness - expected.work;
        // One that was cut off stands in the sums for what it would have come to in the mean (a step of expectation and
        // maximisation, Dempster and others 1977), in the bins for the bound that it is.
        let shape = self.fit.shape(&expected);
        let beyond = if done { 0.0 } else { shape.mean_beyond(residual) - residual };
        let whole = log((ran + beyond).exp()) - at_worker;
        let class = job.chain.class().hash as u32;
        let span = self.span();
        let known = expected.class_jobs >= EXPECTED;
        for (place, &cell) in job.chain.cells().iter().enumerate() {
            if let Some(register) = self.register(span, cell, class) {
                register.add(job.kind, whole, whole - slowness, expected.above[place]);
                if known {
                    register.count(bin(residual), done);
                }
            }
        }
        if known {
            let off = whole + at_worker - expected.work;
            if let Some(register) = self.register(span, worker(job.worker), 0) {
                register.add(job.kind, off, off - slowness, 0.0);
            }
        }
        self.changed += 1.0;
    }

    /// The register of a cell in the present span, if there is room. Room is made by leaving one of an older span: no more
    /// is added to those, so that what others were told of a register never shrinks.
    fn register(&mut self, span: u32, cell: CellId, class: u32) -> Option<&mut Register> {
        let key = (span, cell);
        if cell.level == Level::All {
            let seen = &mut self.door[cell.hash as usize % DOOR];
            *seen = seen.saturating_add(1);
            if *seen < ADMIT {
                return None;
            }
        }
        if !self.own.contains_key(&key) && self.own.len() >= self.config.own {
            let old = self.own.iter().take_while(|(key, _)| key.0 < span);
            let least = old.min_by_key(|(key, own)| (self.rank(key.0, own.register.jobs()), **key));
            let least = least.map(|(key, _)| *key);
            self.figures.crowded += 1;
            self.leave(&least?);
        }
        let fresh =
            || Own { register: Register { class, ..Register::default() }, slot: None, told: 0, told_at: 0 };
        let own = self.own.entry(key).or_insert_with(fresh);
        (own.register.jobs() < MOST_JOBS).then_some(&mut own.register)
    }

    /// How much a register is used: by decayed count, reckoned forward so that it does not change with time. Which registers
    /// stay where there are too many then depends on the registers alone and not on the order in which they came.
    fn rank(&self, span: u32, jobs: u32) -> i64 {
        let spans = 64.0 * self.config.span as f64 / self.config.half_life as f64;
        (f64::from(jobs.max(1)).log2() * 64.0 + f64::from(span) * spans) as i64
    }

    fn leave(&mut self, key: &(u32, CellId)) {
        let slot = self.own.remove(key).and_then(|own| own.slot);
        self.slots.extend(slot);
    }

    fn residual(&self, job: &Job, clock: f64) -> f64 {
        log(clock - job.begun.work) - job.expected
    }

    fn hazard_grown(&self, job: &Job) -> f64 {
        let shape = self.fit.class_shape(&job.chain.class());
        let before = job.counted.map_or(0.0, |x| if x.is_finite() { shape.hazard(x) } else { 0.0 });
        (shape.hazard(self.residual(job, self.slow.clocks().work)) - before).max(0.0)
    }

    /// Adds what running jobs' hazards grew by.
    fn count(&mut self) {
        let clock = self.slow.clocks().work;
        let most = COUNT_MOST.min(self.running.len());
        let next = self.running.range(self.counted_to..).chain(self.running.range(..self.counted_to));
        let next: Vec<u64> = next.take(most).map(|(id, _)| *id).collect();
        let mut grown = 0.0;
        for id in &next {
            let Some(job) = self.running.get(id).copied().filter(|job| job.counted.is_some()) else {
                continue;
            };
            grown += self.hazard_grown(&job);
            let counted = Some(self.residual(&job, clock));
            if let Some(job) = self.running.get_mut(id) {
                job.counted = counted;
            }
        }
        self.counted_to = next.last().map_or(0, |id| id + 1);
        self.slow.learn(grown, 0.0);
    }

    /// Sums up all that is not forgotten and derives from it what estimates rest on.
    fn refit(&mut self) {
        let (span, oldest) = (self.span(), self.oldest());
        let forgotten: Vec<_> = self.own.keys().take_while(|key| key.0 < oldest).copied().collect();
        forgotten.iter().for_each(|key| self.leave(key));
        let ranks = &mut self.ranks;
        self.held.retain(|key, held| key.span >= oldest || !ranks.remove(&(held.rank, *key)));
        let spans = self.config.span as f64 / self.config.half_life as f64;
        let weight = |of: u32| (-f64::from(span.saturating_sub(of)) * spans).exp2();
        let mut sums: BTreeMap<CellId, Sum> = BTreeMap::new();
        for (key, own) in self.own.iter() {
            sums.entry(key.1).or_default().add(&own.register, weight(key.0));
        }
        for (key, held) in &self.held {
            held.told.add_to(sums.entry(key.cell).or_default(), weight(key.span));
        }
        self.overlay(&mut sums);
        self.rests_on = sums.iter().filter(|(id, _)| id.level == Level::Class).map(|(_, sum)| sum.jobs).sum();
        self.fit = Fit::new(&sums, &self.config);
        if span != self.fitted_span {
            self.door.iter_mut().for_each(|seen| *seen /= 2);
        }
        (self.fitted_at, self.fitted_span, self.changed) = (self.now, span, 0.0);
    }

    /// Jobs still running are lower bounds as well: in the bins each for itself, in the sums for as much as it would have
    /// been likely to have ended by now.
    fn overlay(&self, sums: &mut BTreeMap<CellId, Sum>) {
        if self.config.censored_as_short {
            return;
        }
        let step = self.running.len() / COUNT_MOST + 1;
        for job in self.running.values().step_by(step) {
            let expected = self.fit.expected(&job.chain);
            if expected.class_jobs < EXPECTED {
                continue;
            }
            let at_worker = self.fit.worker(job.worker);
            let ran = log(self.slow.clocks().learning - job.begun.learning) - at_worker;
            let residual = ran - self.fit.slowness(job.kind) - expected.work;
            let shape = self.fit.shape(&expected);
            let (whole, weight) =
                (ran - residual + shape.mean_beyond(residual), 1.0 - shape.beyond(residual));
            for (place, cell) in job.chain.cells().iter().enumerate() {
                let Some(sum) = sums.get_mut(cell) else { continue };
                let weight = weight * step as f64;
                sum.add_kind(job.kind, weight, weight * whole);
                sum.expected += weight * expected.above[place];
                sum.counts_mut().censored[usize::from(bin(residual))] += step as f32;
            }
        }
    }

    fn spread(&self, expected: &Expected, middle: f64) -> Estimate {
        let shape = self.fit.shape(expected);
        let at = |left: f64| micros(middle + shape.where_left(left));
        Estimate { typical: at(0.5), long: at(1.0 - self.config.long) }
    }

    /// The work of such a job: its time at a worker of speed 1 while nothing is slowed down. What the decision module takes,
    /// which knows the workers' speeds itself.
    pub fn work(&self, likeness: &Likeness) -> Estimate {
        let expected = self.fit.expected(&Chain::new(likeness));
        self.spread(&expected, expected.work)
    }

    /// How long such a job would hold a slot at a worker of this kind (and at this very worker, if named) from now on.
    pub fn estimate(&self, likeness: &Likeness, kind: u32, worker: Option<u64>) -> Estimate {
        let expected = self.fit.expected(&Chain::new(likeness));
        let at_worker = worker.map_or(0.0, |tag| self.fit.worker(tag));
        self.spread(&expected, expected.work + self.fit.slowness(kind) + at_worker + self.slow.log())
    }

    /// How long a running job will still hold its slot, given that it has run so long and told what it has. Grows where the
    /// first estimate has proved too low. `None`: no such job.
    pub fn remaining(&self, job: u64, now: u64) -> Option<Estimate> {
        let job = self.running.get(&job)?;
        let expected = self.fit.expected(&job.chain);
        let shape = self.fit.shape(&expected);
        let middle = expected.work + self.fit.slowness(job.kind) + self.fit.worker(job.worker);
        let ran = (self.slow.work_at(now) - job.begun.work).max(1.0);
        let whole = |part: f64| shape.later(log(ran) - middle, part) + middle;
        let (mut typical, mut long) = (whole(0.5), whole(1.0 - self.config.long));
        if let Some((share, clock)) = job.progress.filter(|p| p.0 > 0.01) {
            // What it told, and what is known of its like, by their precisions. Its word is worth more the further it is.
            let told = log((clock - job.begun.work).max(1.0) / share);
            let doubt = 0.5 * (1.0 - share) + 0.02;
            let spread = (long - typical).max(0.05);
            let trust = spread * spread / (spread * spread + doubt * doubt);
            let spread = (long - typical) * (1.0 - trust).sqrt();
            typical += trust * (told - typical);
            long = typical + spread;
        }
        let factor = self.slow.log().exp();
        let still = |log: f64| ((log.exp() - ran).max(0.02 * ran) * factor).clamp(1.0, LONGEST) as u64;
        Some(Estimate { typical: still(typical), long: still(long.max(typical)) })
    }

    /// Something of this dispatcher's that others should know: slot and bytes of a fact of kind [`crate::KIND`]. Called until
    /// `None`; paced by `facts_per_s`. First comes what has grown the most beside what was told.
    pub fn publish(&mut self, now: u64) -> Option<(u32, Vec<u8>)> {
        self.advance(now);
        let earned = (self.now - self.paid_at) as f64 * self.config.facts_per_s / 1e6;
        self.paid_at = self.now;
        self.tokens = (self.tokens + earned).min((BURST * self.config.facts_per_s).max(1.0));
        if self.tokens < 1.0 || self.now < self.quiet_until {
            return None;
        }
        let now = self.now;
        // Where all slots are taken, that of the least used summary is used again: who has heard it keeps it.
        let spare = !self.slots.is_empty();
        let told = self.own.iter().filter(|(_, own)| own.slot.is_some() && !spare);
        let least = told.map(|(key, own)| (self.rank(key.0, own.register.jobs()), *key)).min();
        let least_told = least.map_or(i64::MAX, |least| least.0);
        let worth = |key: &(u32, CellId), own: &Own| {
            let jobs = own.register.jobs();
            let least = match key.1.level {
                Level::Class => 1,
                Level::Worker => 8,
                _ => 3,
            };
            let more = f64::from(jobs) / f64::from(own.told.max(1));
            let ripe = more >= 1.25 || now - own.told_at >= TELL_ANYWAY;
            let room = own.slot.is_some() || spare || self.rank(key.0, jobs) > least_told;
            (jobs > own.told && jobs >= least && (own.told == 0 || ripe) && room)
                .then(|| f64::from(jobs - own.told) / f64::from(own.told + 4))
        };
        let candidates = self.own.iter().filter_map(|(key, own)| Some((worth(key, own)?, *key)));
        let best = candidates.max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(&a.1)));
        let Some((_, key)) = best else {
            self.quiet_until = self.now + QUIET;
            return None;
        };
        let slot = match (self.own.get(&key)?.slot, least) {
            (Some(slot), _) => slot,
            (None, Some((_, least))) => self.own.get_mut(&least)?.slot.take()?,
            (None, None) => self.slots.pop_front()?,
        };
        let own = self.own.get_mut(&key)?;
        own.slot = Some(slot);
        own.told = own.register.jobs();
        own.told_at = self.now;
        let (span, cell) = key;
        let key = Key { cell, span, place: self.config.place, run: self.config.epoch };
        let bytes = own.register.encode(&key);
        self.tokens -= 1.0;
        self.figures.told += 1;
        self.figures.told_bytes += bytes.len() as u64;
        Some((slot, bytes))
    }

    /// Takes in a fact of kind [`crate::KIND`], of whatever age, any number of times. What it says is kept by what it is about (member,
    /// run, cell, span) and not by its slot, which its teller uses again.
    pub fn absorb(
        &mut self,
        now: u64,
        origin: Origin,
        _slot: u32,
        number: u64,
        bytes: &[u8],
    ) -> Result<(), AbsorbError> {
        self.advance(now);
        let result = self.take(origin, number, bytes);
        match result {
            Ok(true) => self.figures.taken += 1,
            Ok(false) => self.figures.stale += 1,
            Err(_) => self.figures.refused += 1,
        }
        result.map(|_| ())
    }

    fn take(&mut self, origin: Origin, number: u64, bytes: &[u8]) -> Result<bool, AbsorbError> {
        let told = Told::read(origin.place, bytes)?;
        let key = told.key;
        if key.span > self.span().saturating_add(AHEAD) {
            return Err(AbsorbError::Future(key.span));
        }
        let own = key.place == self.config.place && key.run == self.config.epoch;
        if own || key.span < self.oldest() {
            return Ok(false);
        }
        let stamp = (origin.epoch, number);
        let before = self.held.get(&key).map(|held| (held.stamp, held.rank, held.told.jobs));
        if before.is_some_and(|(newest, ..)| newest >= stamp) {
            return Ok(false);
        }
        if let Some((_, rank, _)) = before {
            self.ranks.remove(&(rank, key));
        }
        let rank = self.rank(key.span, told.jobs);
        let grown = f64::from(told.jobs) - before.map_or(0.0, |b| f64::from(b.2));
        self.ranks.insert((rank, key));
        self.held.insert(key, Held { stamp, rank, told });
        if self.held.len() > self.config.held {
            if let Some((_, least)) = self.ranks.pop_first() {
                self.held.remove(&least);
                self.figures.crowded += 1;
            }
        }
        if key.cell.level == Level::Class {
            self.changed += grown.max(0.0);
        }
        self.changed = self.changed.max(f64::MIN_POSITIVE);
        Ok(true)
    }

    /// Counts and sizes.
    pub fn figures(&self) -> Figures {
        let own: usize = self
            .own
            .values()
            .map(|own| {
                size_of::<Own>() + own.register.bins.capacity() * 12 + own.register.kinds.capacity() * 16
            })
            .sum();
        let held: usize = self.held.values().map(|held| size_of::<Held>() + held.told.bytes()).sum();
        let keys = self.own.len() * size_of::<(u32, CellId)>() + self.held.len() * (2 * size_of::<Key>() + 8);
        let running = self.running.len() * size_of::<(u64, Job)>();
        let slots = self.slots.capacity() * size_of::<u32>();
        Figures {
            cells: self.fit.cells(),
            registers: self.own.len() + self.held.len(),
            running: self.running.len(),
            slowdown: self.slow.log().exp(),
            bytes: size_of::<Self>() + DOOR + own + held + keys + running + slots + self.fit.bytes(),
            ..self.figures
        }
    }

    /// A hash of all that was taken in and of what follows from it at `now`: equal where two states are equal bit by bit.
    #[doc(hidden)]
    pub fn digest(&mut self, now: u64) -> u64 {
        self.now = self.now.max(now);
        self.refit();
        let mut hasher = SipHasher13::new();
        for (key, held) in &self.held {
            hasher.write_u64(key.cell.hash);
            hasher.write_u64(key.run);
            hasher.write_u64(u64::from(key.span) << 16 | u64::from(key.place));
            hasher.write_u64(held.stamp.1);
        }
        self.fit.hash_into(&mut hasher);
        hasher.finish()
    }
}
