//! Shares of federated tenants from late reports; exact, in whatever order they come.
//!
//! A [`Ledger`] holds what each member of a fleet has told of each tenant's use, by the time at which it happened, and its
//! own. From that it says where a tenant stands ([`Ledger::position`], an interval) and what one more job of it is worth
//! ([`Ledger::worth`]). It decides nothing about jobs, reads no clock, and knows no datagram: facts go out by
//! [`Ledger::publish`] and come in by [`Ledger::absorb`] (docs/design/parts.md). docs/design/fairshare.md has the bounds.
//!
//! Units: time in microseconds; worth and work in whole units of the caller's choice, the same at every member (such as
//! thousandths of a point, and milliseconds). An amount *in the account* is decayed: a steady flow stands there as its rate
//! times [`Ledger::memory`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decay;
mod ledger;
mod own;
mod shares;
mod wire;

pub use ledger::Ledger;
pub use shares::{Installation, MOST_CLASSES, MOST_TENANTS, Shares, SharesError, Tenant, TenantKey};

use thiserror::Error;

/// The kind of the facts (docs/design/parts.md).
pub const KIND: u8 = 3;
/// Pages that a bucket's use is told on at most.
pub const MOST_PAGES: u8 = 32;

/// What shares are counted in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Measure {
    /// Worth served.
    #[default]
    Worth,
    /// Work done.
    Work,
}

/// What was used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// Worth, in the caller's units.
    pub worth: u64,
    /// Work, in the caller's units.
    pub work: u64,
}

/// What a ledger is told at its start. All members of a fleet have the same, but for the first group.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The own place.
    pub me: u16,
    /// The own epoch, milliseconds of Unix time at the start.
    pub epoch: u64,
    /// The Unix time, in microseconds, at the caller's time 0. Events are told apart by it over all members.
    pub wall_at_zero: u64,

    /// How many places there are.
    pub peers: u16,
    /// The width of a bucket of time, microseconds.
    pub bucket: u64,
    /// Use counts for so many buckets; a report of an older one is refused. 64 at most.
    pub horizon: u32,
    /// Use counts half after so many buckets: 1, 2, 4 .. 32.
    pub half_life: u32,
    /// Own use of late counts half after so many buckets, where bursts are told from a steady flow: 1, 2, 4 .. 32.
    pub short_half_life: u32,
    /// A report of a bucket that is farther than this in the future is refused: clocks are off by less.
    pub future: u32,
    /// What the whole federation can do, in units of the measure a second.
    pub rate: u64,
    /// What shares are counted in.
    pub measure: Measure,
    /// A large job, in units of the measure: no tenant is put last for one or two of these.
    pub grain: u64,
    /// The worth of a job beyond all that its tenant may have, as a part of its class's worth.
    pub over_share_worth: f64,
    /// How much less than its class's worth a job counts, at most, where its tenant may be within its share or not.
    pub doubt: f64,
    /// A tenant that pays back gets at least this part of its share.
    pub floor: f64,
    /// The band of a silent member is twice as wide as its use after this long, microseconds.
    pub widen: u64,
    /// A silent member's use is reckoned for so many buckets at most.
    pub reckon: u32,
    /// Facts are told this often, microseconds ...
    pub publish_every: u64,
    /// ... and so many at most each time.
    pub facts_a_round: u32,
    /// Pages that a bucket's use is told on, [`MOST_PAGES`] at most; what has no room is told with the next bucket's.
    pub pages: u8,
    /// Tenants with use or a share that are held at most.
    pub most_books: usize,
    /// Seeded fault for the proof: a later report is added to the earlier one.
    #[doc(hidden)]
    pub count_twice: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            me: 0,
            epoch: 0,
            wall_at_zero: 0,
            peers: 1,
            bucket: 2_000_000,
            horizon: 60,
            half_life: 8,
            short_half_life: 2,
            future: 3,
            rate: 0,
            measure: Measure::Worth,
            grain: 0,
            over_share_worth: 0.1,
            doubt: 0.1,
            floor: 0.5,
            widen: 10_000_000,
            reckon: 60,
            publish_every: 1_000_000,
            facts_a_round: 24,
            pages: MOST_PAGES,
            most_books: 200_000,
            count_twice: false,
        }
    }
}

/// Why a configuration was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The shares were not taken.
    #[error(transparent)]
    Shares(#[from] SharesError),
    /// `me` is not below `peers`.
    #[error("the own place is not among the peers")]
    Place,
    /// A span is 0.
    #[error("a span of time is 0")]
    NoTime,
    /// A half-life is no power of two from 1 to 32.
    #[error("a half-life is not 1, 2, 4, 8, 16 or 32 buckets")]
    HalfLife,
    /// The horizon is 0, above 64, or more than 30 short half-lives; or `future` or `reckon` is above 64.
    #[error("the horizon is out of range")]
    Horizon,
    /// A part is not from 0 to 1.
    #[error("a part is not from 0 to 1")]
    Part,
    /// `pages` is 0 or above [`MOST_PAGES`], or `facts_a_round` is 0.
    #[error("no or too many pages")]
    Pages,
    /// `rate` or `grain` is above 2^36, or what the federation can do in a horizon is out of range.
    #[error("the rate is out of range")]
    Rate,
}

/// Why a fact was refused. All are counted in [`Figures`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AbsorbError {
    /// It is longer than a fact may be.
    #[error("the fact is too long")]
    TooLong,
    /// It begins with another version.
    #[error("the fact is of another version")]
    Version,
    /// It cannot be read, or its slot belies it.
    #[error("the fact cannot be read")]
    Malformed,
    /// Its place is not among the peers.
    #[error("the fact is of a place that is not listed")]
    Place,
    /// It is of a bucket before the horizon.
    #[error("the fact is older than the horizon")]
    Late,
    /// It is from the future by more than clocks may be off.
    #[error("the fact is from the future")]
    Future,
    /// Its place has begun anew too often since.
    #[error("the fact is of an epoch that is too far back")]
    Epoch,
    /// There is no room for more tenants.
    #[error("too many tenants")]
    Full,
}

/// Why own use was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// It happened before the horizon.
    #[error("the use is older than the horizon")]
    Late,
    /// It is from the future by more than a bucket.
    #[error("the use is from the future")]
    Future,
    /// There is no room for more tenants.
    #[error("too many tenants")]
    Full,
}

/// A member and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// Its index in `peers`.
    pub place: u16,
    /// Its start, milliseconds of Unix time.
    pub epoch: u64,
}

/// What a tenant has used, as it stands in the account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interval {
    /// What is known: the true figure is not below it.
    pub low: u64,
    /// With the silent members at their last rates.
    pub likely: u64,
    /// With the silent members at the upper edge of their bands.
    pub high: u64,
}

/// Where a tenant stands; all in the account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// What it has used.
    pub used: Interval,
    /// What the weights promise it.
    pub share: u64,
    /// The share and what is lent to it on top, as of the beginning of this bucket.
    pub due: u64,
}

/// Why one more job is worth what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Within the share, perhaps with doubt: never refused for what might be.
    Within,
    /// Beyond it, but at or below the floor of one that pays back.
    Floor,
    /// Beyond it, within what is lent.
    Lent,
    /// Beyond all of it.
    Over,
}

/// What one more job is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Worth {
    /// As a part of its class's worth, 0 to 1.
    pub part: f64,
    /// Why.
    pub tier: Tier,
}

/// Counts since the start, and sizes as they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Facts taken in, the stale ones included.
    pub absorbed: u64,
    /// Of these: no later than what was held.
    pub stale: u64,
    /// Refused: older than the horizon.
    pub late: u64,
    /// Refused: from the future.
    pub future: u64,
    /// Refused: too long, of another version, or not to be read.
    pub malformed: u64,
    /// Refused: a place that is not listed, or an epoch too far back.
    pub foreign: u64,
    /// Refused for want of room.
    pub full: u64,
    /// Own use that was refused as too old or from the future.
    pub own_refused: u64,
    /// Jobs asked about whose tenant has no share.
    pub unknown: u64,
    /// Amounts that were put into a later bucket for want of pages.
    pub carried: u64,
    /// Facts told.
    pub told: u64,
    /// Their bytes.
    pub told_bytes: u64,
    /// Members (place and epoch) that are held.
    pub members: u64,
    /// Of these: silent for more than two rounds and a bucket.
    pub silent: u64,
    /// Buckets of which something told has not arrived.
    pub gaps: u64,
    /// Tenants held, with a share or without.
    pub books: u64,
    /// What must hold and did not (release builds count it).
    pub broken: u64,
}
