//! Settings of a ledger, and their validation.

use crate::Micros;
use crate::shares::SharesError;
use crate::wire;
use thiserror::Error;

/// The maximum number of pages for the usage of one bucket.
pub const MAX_PAGES: u8 = 32;
/// The maximum half-life, in buckets.
const MAX_HALF_LIFE: u32 = 32;
/// The maximum horizon, in half-lives, so that weights stay within 127 bits.
const MAX_HORIZON_HALF_LIVES: u32 = 30;

/// The quantity that shares are measured in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Measure {
    /// The value of the jobs served.
    #[default]
    Value,
    /// The work done.
    Work,
}

/// Settings of a ledger. All members of a fleet must have the same ones, except for the first group, which identifies the
/// member.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This member's index among the peers.
    pub place: u16,
    /// This member's epoch: milliseconds of Unix time at its start.
    pub epoch: u64,
    /// The Unix time at time 0 of the caller's clock, in microseconds. Buckets are aligned to Unix time, the same at every
    /// member.
    pub unix_at_zero: Micros,

    /// The number of peers, including this one.
    pub peers: u16,
    /// The width of a bucket of time, in microseconds.
    pub bucket_width: Micros,
    /// The number of buckets for which usage counts, at most 64. Reports on older buckets are refused.
    pub horizon: u32,
    /// The half-life of usage, in buckets: 1, 2, 4, 8, 16 or 32.
    pub half_life: u32,
    /// The maximum difference of clocks, in buckets. Reports on buckets further ahead are refused.
    pub max_buckets_ahead: u32,
    /// The capacity of the whole federation, in units of the measure per second.
    pub rate: u64,
    /// The quantity that shares are measured in.
    pub measure: Measure,
    /// The value of a job beyond its tenant's allowance, as a fraction of its class's value.
    pub over_quota_value: f64,
    /// The maximum discount on a job whose tenant may be within its share, as a fraction of its class's value.
    pub uncertainty_discount: f64,
    /// The minimum fraction of its share that a tenant gets while it pays back.
    pub floor: f64,
    /// The time after which the high estimate for a silent member is twice its likely usage, in microseconds.
    pub widening_time: Micros,
    /// The maximum number of buckets over which the usage of a silent member is extrapolated.
    pub max_extrapolation: u32,
    /// The interval between two rounds of published facts, in microseconds.
    pub publish_interval: Micros,
    /// The maximum number of page facts in a round.
    pub facts_per_round: u32,
    /// The maximum number of pages for the usage of a bucket, at most [`MAX_PAGES`]. Usage that does not fit is carried over
    /// to the next bucket.
    pub max_pages: u8,
    /// The maximum number of tenants with usage or a share.
    pub max_tenants: usize,
    /// A deliberate fault, to verify that tests detect it: a later report is added to the earlier one instead of replacing it.
    #[doc(hidden)]
    pub count_twice: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            place: 0,
            epoch: 0,
            unix_at_zero: 0,
            peers: 1,
            bucket_width: 2_000_000,
            horizon: 60,
            half_life: 8,
            max_buckets_ahead: 3,
            rate: 0,
            measure: Measure::Value,
            over_quota_value: 0.1,
            uncertainty_discount: 0.1,
            floor: 0.5,
            widening_time: 10_000_000,
            max_extrapolation: 60,
            publish_interval: 1_000_000,
            facts_per_round: 24,
            max_pages: MAX_PAGES,
            max_tenants: 200_000,
            count_twice: false,
        }
    }
}

impl Config {
    /// Checks all settings except `rate`, whose bound depends on the decay.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        let spans = [self.bucket_width, self.publish_interval, self.widening_time];
        let fractions = [self.over_quota_value, self.uncertainty_discount, self.floor];
        let max_buckets = wire::MAX_HEAD_BUCKETS as u32;
        let max_horizon = (MAX_HORIZON_HALF_LIVES * self.half_life.min(MAX_HALF_LIFE)).min(max_buckets);
        if self.place >= self.peers {
            Err(ConfigError::Place)
        } else if spans.contains(&0) {
            Err(ConfigError::ZeroSpan)
        } else if !self.half_life.is_power_of_two() || self.half_life > MAX_HALF_LIFE {
            Err(ConfigError::HalfLife)
        } else if self.horizon == 0
            || self.horizon > max_horizon
            || self.max_buckets_ahead.max(self.max_extrapolation) > max_buckets
        {
            Err(ConfigError::Horizon)
        } else if fractions.iter().any(|fraction| !(0.0..=1.0).contains(fraction)) {
            Err(ConfigError::Fraction)
        } else if self.max_pages == 0 || self.max_pages > MAX_PAGES || self.facts_per_round == 0 {
            Err(ConfigError::Pages)
        } else {
            Ok(())
        }
    }
}

/// Why a configuration was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The tree of shares is not valid.
    #[error(transparent)]
    Shares(#[from] SharesError),
    /// `place` is not below `peers`.
    #[error("`place` is not below `peers`")]
    Place,
    /// `bucket_width`, `publish_interval` or `widening_time` is 0.
    #[error("`bucket_width`, `publish_interval` or `widening_time` is 0")]
    ZeroSpan,
    /// The half-life is not a power of two from 1 to 32.
    #[error("`half_life` is not 1, 2, 4, 8, 16 or 32 buckets")]
    HalfLife,
    /// The horizon is 0, above 64, or more than 30 half-lives; or `max_buckets_ahead` or `max_extrapolation` is above 64.
    #[error("`horizon`, `max_buckets_ahead` or `max_extrapolation` is out of range")]
    Horizon,
    /// `over_quota_value`, `uncertainty_discount` or `floor` is not from 0 to 1.
    #[error("`over_quota_value`, `uncertainty_discount` or `floor` is not from 0 to 1")]
    Fraction,
    /// `max_pages` is 0 or above [`MAX_PAGES`], or `facts_per_round` is 0.
    #[error("`max_pages` is not from 1 to {MAX_PAGES}, or `facts_per_round` is 0")]
    Pages,
    /// `rate` is above 2^36, or the federation's capacity over a horizon is out of range.
    #[error("`rate` is out of range")]
    Rate,
}
