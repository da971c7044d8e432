//! What one dispatcher saw of one cell in one span of time: the unit that is told, replaced as a whole and never added twice.

use crate::likeness::{CellId, Level};
use crate::shape::{BINS, Counts};
use serde::{Deserialize, Serialize};

/// Parts of a unit of the natural logarithm in which sums are kept: integers, so that sums do not depend on their order.
pub(crate) const FIX: f64 = 256.0;
/// Kinds told apart in a register; what is beyond counts under [`OTHER`], freed of its kind's slowness as known then.
pub(crate) const KINDS: usize = 5;
pub(crate) const OTHER: u32 = u32::MAX;
/// The longest encoding, as `docs/design/parts.md` allows.
pub(crate) const LONGEST: usize = 160;
const VERSION: u8 = 1;
/// No register counts more jobs than this.
const MOST: u32 = 1 << 24;

pub(crate) fn fixed(log: f64) -> i64 {
    (log * FIX).round() as i64
}

/// Why a fact of another dispatcher was not taken in. The caller counts it; nothing of it was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AbsorbError {
    /// The first byte names another version of the encoding.
    #[error("a summary of run times of version {0}; this program reads version 1: upgrade the older side")]
    Version(u8),
    /// Too long, cut off, or no summary at all.
    #[error("a summary of run times that can't be read")]
    Malformed,
    /// Its figures contradict each other or are beyond their bounds.
    #[error("a summary of run times whose figures can't be true")]
    Figures,
    /// Its span of time lies further ahead than clocks may differ.
    #[error("a summary of run times from the future (span {0}): compare the members' clocks")]
    Future(u32),
}

/// Sums and counts of a cell over a span. All grow, so that a later telling covers the earlier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Register {
    /// The class cell's hash, shortened; 0 for a worker's.
    pub class: u32,
    /// For each kind: jobs, and the sum of their logarithmic run times at it.
    pub kinds: Vec<(u32, u32, i64)>,
    /// Sum of what wider cells of the chain added to the class's expectation.
    pub expected: i64,
    /// By bin: those ended, those censored.
    pub bins: Vec<(u8, u32, u32)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Wire {
    version: u8,
    level: u8,
    run: u64,
    hash: [u8; 8],
    class: u32,
    span: u32,
    kinds: Vec<(u32, u32, i64)>,
    expected: i64,
    /// Bins are merged in groups of two to the power of this.
    coarse: u8,
    ended: (u8, Vec<u32>),
    censored: (u8, Vec<u32>),
}

/// Whose, of what and of when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    pub cell: CellId,
    pub span: u32,
    pub place: u16,
    /// The start of the process that saw it, as it names itself in the encoding.
    pub run: u64,
}

impl Register {
    pub fn jobs(&self) -> u32 {
        self.kinds.iter().fold(0, |sum, kind| sum.saturating_add(kind.1))
    }

    /// Enters a job's logarithmic run time at a kind; `without` is the same freed of the kind's slowness.
    pub fn add(&mut self, kind: u32, log: f64, without: f64, expected: f64) {
        let room = self.kinds.len() < KINDS;
        let slot = match self.kinds.binary_search_by_key(&kind, |k| k.0) {
            Ok(at) => Ok(at),
            Err(at) if room => {
                self.kinds.insert(at, (kind, 0, 0));
                Ok(at)
            }
            Err(_) => self.kinds.binary_search_by_key(&OTHER, |k| k.0),
        };
        let log = if slot.is_ok_and(|at| self.kinds[at].0 == kind) { log } else { without };
        let at = slot.unwrap_or_else(|at| {
            self.kinds.insert(at, (OTHER, 0, 0));
            at
        });
        self.kinds[at].1 = self.kinds[at].1.saturating_add(1);
        self.kinds[at].2 = self.kinds[at].2.saturating_add(fixed(log));
        self.expected = self.expected.saturating_add(fixed(expected));
    }

    pub fn count(&mut self, bin: u8, ended: bool) {
        let at = self.bins.binary_search_by_key(&bin, |b| b.0).unwrap_or_else(|at| {
            self.bins.insert(at, (bin, 0, 0));
            at
        });
        let counter = if ended { &mut self.bins[at].1 } else { &mut self.bins[at].2 };
        *counter = counter.saturating_add(1);
    }

    /// The bins of an encoding: the first that counts and the counts from there, merged by `coarse`.
    fn run_of(&self, coarse: u8, of: impl Fn(&(u8, u32, u32)) -> u32) -> (u8, Vec<u32>) {
        let mut run = (0, Vec::new());
        for entry in self.bins.iter().filter(|entry| of(entry) > 0) {
            let bin = entry.0 >> coarse;
            if run.1.is_empty() {
                run.0 = bin;
            }
            run.1.resize(usize::from(bin - run.0) + 1, 0);
            if let Some(last) = run.1.last_mut() {
                *last += of(entry);
            }
        }
        run
    }

    /// At most [`LONGEST`] bytes: bins are merged by twos (the collapse of Epicoco and others' UDDSketch, 2020) until it fits.
    pub fn encode(&self, key: &Key) -> Vec<u8> {
        for coarse in 0..=3 {
            let wire = Wire {
                version: VERSION,
                level: key.cell.level.index() as u8,
                run: key.run,
                hash: key.cell.hash.to_le_bytes(),
                class: self.class,
                span: key.span,
                kinds: self.kinds.clone(),
                expected: self.expected,
                coarse,
                ended: self.run_of(coarse, |b| b.1),
                censored: self.run_of(coarse, |b| b.2),
            };
            // Writing to memory fails for no value of these types; an empty fact would be refused by the reader.
            let bytes = postcard::to_stdvec(&wire).unwrap_or_default();
            if bytes.len() <= LONGEST {
                return bytes;
            }
        }
        // Beyond that the moments alone: locations without a shape.
        Register { bins: Vec::new(), ..self.clone() }.encode(key)
    }
}

/// A register as it was told, kept as its bytes and read again at each refit.
#[derive(Debug)]
pub(crate) struct Told {
    pub key: Key,
    pub class: u32,
    pub jobs: u32,
    wire: Wire,
}

impl Told {
    pub fn read(place: u16, bytes: &[u8]) -> Result<Told, AbsorbError> {
        match bytes.first() {
            None => return Err(AbsorbError::Malformed),
            Some(&VERSION) if bytes.len() <= LONGEST => {}
            Some(&VERSION) => return Err(AbsorbError::Malformed),
            Some(&other) => return Err(AbsorbError::Version(other)),
        }
        let (wire, rest): (Wire, _) = postcard::take_from_bytes(bytes).map_err(|_| AbsorbError::Malformed)?;
        let level = Level::from_index(wire.level).ok_or(AbsorbError::Malformed)?;
        if !rest.is_empty() {
            return Err(AbsorbError::Malformed);
        }
        let sum = |counts: &[u32]| counts.iter().try_fold(0u32, |sum, &n| sum.checked_add(n));
        let jobs = wire.kinds.iter().try_fold(0u32, |sum, kind| sum.checked_add(kind.1));
        let binned =
            sum(&wire.ended.1).and_then(|ended| sum(&wire.censored.1).and_then(|c| ended.checked_add(c)));
        let (Some(jobs), Some(binned)) = (jobs, binned) else { return Err(AbsorbError::Figures) };
        let most = |n: u32| i64::from(n) * 32 * FIX as i64;
        let ends = |run: &(u8, Vec<u32>)| (usize::from(run.0) + run.1.len()) << wire.coarse.min(3);
        let room = BINS + (1 << wire.coarse.min(3)) - 1;
        let true_kind = |kind: &(u32, u32, i64)| kind.1 > 0 && kind.2.unsigned_abs() <= most(kind.1) as u64;
        let holds = wire.coarse <= 3
            && (1..=MOST).contains(&jobs)
            && binned <= jobs
            && wire.kinds.len() <= KINDS + 1
            && wire.kinds.iter().all(true_kind)
            && wire.kinds.windows(2).all(|pair| pair[0].0 < pair[1].0)
            && wire.expected.unsigned_abs() <= most(jobs) as u64
            && ends(&wire.ended) <= room
            && ends(&wire.censored) <= room;
        if !holds {
            return Err(AbsorbError::Figures);
        }
        let cell = CellId { level, hash: u64::from_le_bytes(wire.hash) };
        let key = Key { cell, span: wire.span, place, run: wire.run };
        Ok(Told { key, class: wire.class, jobs, wire })
    }

    /// Memory beside the struct itself.
    pub fn bytes(&self) -> usize {
        let counts = self.wire.ended.1.capacity() + self.wire.censored.1.capacity();
        self.wire.kinds.capacity() * size_of::<(u32, u32, i64)>() + counts * size_of::<u32>()
    }

    /// Adds this to a sum with a weight.
    pub fn add_to(&self, sum: &mut Sum, weight: f64) {
        sum.add_moments(self.class, &self.wire.kinds, self.wire.expected, weight);
        let group = 1usize << self.wire.coarse;
        let part = weight as f32 / group as f32;
        let mut spread = |run: &(u8, Vec<u32>), censored: bool| {
            for (at, &n) in run.1.iter().enumerate().filter(|(_, n)| **n > 0) {
                let first = (usize::from(run.0) + at) * group;
                for bin in first..first + group {
                    let counts = sum.counts_mut();
                    let side = if censored { &mut counts.censored } else { &mut counts.ended };
                    side[bin.min(BINS - 1)] += n as f32 * part;
                }
            }
        };
        spread(&self.wire.ended, false);
        spread(&self.wire.censored, true);
    }
}

/// A cell over all spans and members, weighted by age.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sum {
    pub class: u32,
    pub jobs: f64,
    pub expected: f64,
    pub kinds: Vec<(u32, f64, f64)>,
    pub counts: Option<Box<Counts>>,
}

impl Sum {
    pub fn counts_mut(&mut self) -> &mut Counts {
        self.counts.get_or_insert_default()
    }

    fn add_moments(&mut self, class: u32, kinds: &[(u32, u32, i64)], expected: i64, weight: f64) {
        self.class = class;
        self.expected += expected as f64 / FIX * weight;
        for &(kind, n, sum) in kinds {
            self.add_kind(kind, f64::from(n) * weight, sum as f64 / FIX * weight);
        }
    }

    pub fn add_kind(&mut self, kind: u32, n: f64, sum: f64) {
        self.jobs += n;
        match self.kinds.binary_search_by_key(&kind, |k| k.0) {
            Ok(at) => {
                self.kinds[at].1 += n;
                self.kinds[at].2 += sum;
            }
            Err(at) => self.kinds.insert(at, (kind, n, sum)),
        }
    }

    pub fn add(&mut self, register: &Register, weight: f64) {
        self.add_moments(register.class, &register.kinds, register.expected, weight);
        for &(bin, ended, censored) in &register.bins {
            let counts = self.counts_mut();
            counts.ended[usize::from(bin)] += ended as f32 * weight as f32;
            counts.censored[usize::from(bin)] += censored as f32 * weight as f32;
        }
    }

    /// Mean logarithmic work under these slownesses of the kinds.
    pub fn mean(&self, slowness: impl Fn(u32) -> f64) -> f64 {
        let sum: f64 = self.kinds.iter().map(|&(kind, n, sum)| sum - n * slowness(kind)).sum();
        sum / self.jobs.max(1e-9)
    }
}
