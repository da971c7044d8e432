//! The position of a tenant, and the value of one more of its jobs, which is derived from it. Only [`PaceCredit`] has state.

use crate::{Config, Micros};

/// The maximum credit of a tenant, in seconds of its pace.
const MAX_CREDIT_SECONDS: f64 = 1.0;
/// Jobs on lent capacity are valued at least this much below jobs that may be within the share.
const LENT_DISCOUNT: f64 = 0.1;

/// An estimate of a tenant's usage, in the account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interval {
    /// The known usage, a lower bound of the true one.
    pub low: u64,
    /// The known usage, plus that of silent members at their recent rates.
    pub likely: u64,
    /// The known usage, plus the high estimates for silent members.
    pub high: u64,
}

/// The position of a tenant; all amounts are in the account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The tenant's usage.
    pub used: Interval,
    /// The tenant's part of the capacity by its weight.
    pub share: u64,
    /// The share plus the capacity lent to the tenant, as of the beginning of the current bucket.
    pub allowance: u64,
}

/// The reason for the value of one more job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// The known usage is within the share. Estimated usage beyond the known usage never moves a tenant to another tier.
    Within,
    /// The tenant is beyond its share and pays back, and the job is within its reduced pace.
    Floor,
    /// The tenant is beyond its share, but within its allowance.
    Lent,
    /// The tenant is beyond its allowance.
    Over,
}

/// The value of one more job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobValue {
    /// The value as a fraction of the class's value, from 0 to 1.
    pub fraction: f64,
    /// The reason for the value.
    pub tier: Tier,
}

/// The settings that a valuation depends on; see [`crate::Config`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct ValueLimits {
    pub over_quota_value: f64,
    pub uncertainty_discount: f64,
    pub floor: f64,
}

impl ValueLimits {
    /// The limits of a configuration.
    pub fn new(config: &Config) -> ValueLimits {
        ValueLimits {
            over_quota_value: config.over_quota_value,
            uncertainty_discount: config.uncertainty_discount,
            floor: config.floor,
        }
    }

    /// The value of a job beyond its tenant's allowance.
    pub fn over_quota(&self) -> JobValue {
        JobValue { fraction: self.over_quota_value, tier: Tier::Over }
    }

    /// The value of a job of a class that is within its part of the tenant's share.
    pub fn within_class_share(&self) -> JobValue {
        JobValue { fraction: 1.0 - self.uncertainty_discount, tier: Tier::Within }
    }
}

/// A tenant's position, with this member's part of its usage.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    pub position: Position,
    /// This member's part of `position.used.low`.
    pub own: u64,
    /// The share of the class that the job belongs to.
    pub class_share: u64,
}

impl Standing {
    pub fn is_within_share(&self) -> bool {
        self.position.used.low <= self.position.share
    }

    /// The amount that this member may serve at full value, in the account: its part of the share, reduced if the tenant pays
    /// back. Its part is its fraction of the tenant's recent usage, and at least an equal part among `places`.
    pub fn own_pace(&self, places: u64, limits: &ValueLimits) -> f64 {
        let Position { used, share, .. } = self.position;
        let recent_part = self.own as f64 / used.low.max(1) as f64;
        let own_part = recent_part.max(1.0 / places as f64).clamp(0.0, 1.0);
        let pay_back = (2.0 - used.low as f64 / share as f64).clamp(limits.floor, 1.0);
        share as f64 * own_part * pay_back
    }

    /// The value of a job within the pace.
    pub fn within_pace(&self) -> JobValue {
        let tier = if self.is_within_share() { Tier::Within } else { Tier::Floor };
        JobValue { fraction: 1.0, tier }
    }

    /// The value of a job beyond the pace, of a tenant whose known usage is within its share. The discount grows with the part
    /// of the estimated usage that is beyond the share.
    pub fn within_share(&self, limits: &ValueLimits) -> JobValue {
        let Interval { low, likely, .. } = self.position.used;
        let share = self.position.share;
        let excess_fraction =
            if likely > share { (likely - share) as f64 / (likely - low) as f64 } else { 0.0 };
        JobValue {
            fraction: 1.0 - limits.uncertainty_discount * (1.0 + excess_fraction) / 2.0,
            tier: Tier::Within,
        }
    }

    /// The value of a job beyond the share. It falls from below the values within the share to the value over quota, which it
    /// reaches once the lent capacity is used up.
    pub fn beyond_share(&self, limits: &ValueLimits) -> JobValue {
        let Position { used, share, allowance } = self.position;
        if used.low >= allowance {
            return limits.over_quota();
        }
        let min_value = limits.over_quota_value;
        let fraction_left = (allowance - used.low) as f64 / (allowance - share) as f64;
        let max_value = (1.0 - limits.uncertainty_discount - LENT_DISCOUNT).max(min_value);
        JobValue { fraction: min_value + (max_value - min_value) * fraction_left, tier: Tier::Lent }
    }
}

/// The amount that a tenant may still get at full value from this member: a token bucket that fills at the tenant's pace, up
/// to [`MAX_CREDIT_SECONDS`]. A job may overdraw it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PaceCredit {
    amount: f64,
    updated_at: Micros,
}

impl PaceCredit {
    /// Whether one more job of this amount is within the pace. If so, takes it from the credit.
    pub fn take(&mut self, now: Micros, per_second: f64, amount: f64) -> bool {
        let seconds = (now - self.updated_at.min(now)) as f64 / 1e6;
        let max_amount = (per_second * MAX_CREDIT_SECONDS).max(amount);
        self.amount = (self.amount + seconds * per_second).min(max_amount);
        self.updated_at = now;
        let has_credit = self.amount > 0.0;
        if has_credit {
            self.amount -= amount;
        }
        has_credit
    }
}
