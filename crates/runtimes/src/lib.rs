//! How long a job will run, learned from similar past jobs and mergeable between dispatchers; no clock.
//!
//! [`Runtimes`] is told when jobs start, how far they are and how they end. It estimates how long a job of some
//! [`Likeness`] holds a slot at a worker, and how long a running one still will. What it saw it tells the other dispatchers
//! as facts ([`Runtimes::publish`]) and takes theirs in ([`Runtimes::absorb`]) in any order, any number of times.
//! [`backfill`] is the arithmetic of fitting jobs into gaps. How it works: `docs/design/runtimes.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backfill;
mod estimator;
mod fit;
mod likeness;
mod register;
mod shape;
mod slowdown;

pub use estimator::Runtimes;
pub use likeness::{FACTS, Likeness, number};
pub use register::AbsorbError;

/// The kind of fact that this crate owns (`docs/design/parts.md`).
pub const KIND: u8 = 2;

/// Where a fact comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The member's place among the peers.
    pub place: u16,
    /// The start of it that told the fact, as membership counts.
    pub epoch: u64,
}

/// How long something takes, µs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// As often less as more.
    pub typical: u64,
    /// More only as often as [`Config::long`] leaves.
    pub long: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran to its end.
    Done,
    /// Timed out, cancelled, lost: it would have run longer than it was seen to.
    Censored,
}

/// Where it stands, and its bounds. All spans are in µs.
#[derive(Clone, Debug)]
pub struct Config {
    /// This dispatcher's place among the peers.
    pub place: u16,
    /// Milliseconds of Unix time at its start; names this run in what it tells, and dates its spans.
    pub epoch: u64,
    /// The quantile of [`Estimate::long`]; 0.9 by default, from 0.5 to 0.99.
    pub long: f64,
    /// An estimate before anything was seen; 250 ms.
    pub first_guess: u64,
    /// Standard deviation of the logarithm of run times before anything was seen; 1.
    pub first_spread: f64,
    /// Known speeds of kinds beside the fleet's usual (1), which fix what a speed of 1 is. Others are learned.
    pub speeds: Vec<(u32, f64)>,
    /// What was seen is summed up and told by spans of this length; 10 minutes.
    pub span: u64,
    /// What was seen this long ago weighs half; 20 minutes. Forgotten altogether after six times that.
    pub half_life: u64,
    /// Summaries of its own that are kept, at most; 2,048.
    pub own: usize,
    /// Slots of the carrier that it tells them in, at most; 1,024.
    pub slots: u32,
    /// Summaries of others that are kept, at most; 8,192.
    pub held: usize,
    /// Jobs followed at a time, at most; 16,384. Others teach nothing.
    pub running: usize,
    /// Facts told a second, at most; 4.
    pub facts_per_s: f64,
    /// Over this span a shared slowdown is followed; 2 s.
    pub slowdown_span: u64,
    /// Completions that a slowdown's evidence is weighed against; 20.
    pub slowdown_weight: f64,
    /// A slowdown that lasts becomes the usual over this span; 5 minutes.
    pub slowdown_memory: u64,
    /// A fault for the proof: censored jobs are taken for short ones.
    #[doc(hidden)]
    pub censored_as_short: bool,
}

impl Config {
    /// The defaults for a dispatcher.
    pub fn new(place: u16, epoch: u64) -> Self {
        Config {
            place,
            epoch,
            long: 0.9,
            first_guess: 250_000,
            first_spread: 1.0,
            speeds: Vec::new(),
            span: 600_000_000,
            half_life: 1_200_000_000,
            own: 2_048,
            slots: 1_024,
            held: 8_192,
            running: 16_384,
            facts_per_s: 4.0,
            slowdown_span: 2_000_000,
            slowdown_weight: 20.0,
            slowdown_memory: 300_000_000,
            censored_as_short: false,
        }
    }

    fn check(&self) -> Result<(), ConfigError> {
        let positive = [self.first_spread, self.facts_per_s, self.slowdown_weight];
        if !(0.5..=0.99).contains(&self.long) {
            Err(ConfigError::Quantile(self.long))
        } else if positive
            .into_iter()
            .chain(self.speeds.iter().map(|s| s.1))
            .any(|x| !x.is_finite() || x <= 0.0)
        {
            Err(ConfigError::Positive)
        } else if [self.first_guess, self.span, self.half_life, self.slowdown_span, self.slowdown_memory]
            .contains(&0)
            || [self.own, self.held, self.running, self.slots as usize].contains(&0)
        {
            Err(ConfigError::Zero)
        } else if self.epoch > 1 << 44 {
            Err(ConfigError::Epoch)
        } else {
            Ok(())
        }
    }
}

/// Why a configuration was not taken.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The conservative quantile is out of range.
    #[error("the conservative quantile must be from 0.5 to 0.99, not {0}")]
    Quantile(f64),
    /// A factor, weight or rate is not above 0.
    #[error("speeds, spreads, weights and rates must be above 0")]
    Positive,
    /// A span or bound is 0.
    #[error("spans and bounds must be above 0")]
    Zero,
    /// The epoch is no Unix time in milliseconds.
    #[error("the epoch is in milliseconds of Unix time")]
    Epoch,
}

/// Counts since the start, and sizes now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Jobs that ended, as seen here.
    pub seen: u64,
    /// Of these, censored.
    pub censored: u64,
    /// Facts told.
    pub told: u64,
    /// Bytes of these.
    pub told_bytes: u64,
    /// Facts of others that changed what is held.
    pub taken: u64,
    /// Facts that changed nothing: repeats, older ones, one's own, forgotten spans.
    pub stale: u64,
    /// Facts refused as unreadable or untrue.
    pub refused: u64,
    /// Summaries that found no room, own and held.
    pub crowded: u64,
    /// Cells known after the last fit.
    pub cells: usize,
    /// Summaries held, own and others'.
    pub registers: usize,
    /// Jobs followed now.
    pub running: usize,
    /// By what factor all is slower now.
    pub slowdown: f64,
    /// Memory, approximately, in bytes.
    pub bytes: usize,
}
