//! Where a tenant stands, and the value of one more of its jobs that follows from it. [`PaceCredit`] alone has state.

use crate::{Config, Micros};

/// Seconds of its pace that a tenant may be ahead.
const MAX_CREDIT_SECONDS: f64 = 1.0;
/// Jobs on lent capacity are valued at least this much below jobs that may be within the share.
const LENT_DISCOUNT: f64 = 0.1;

/// What a tenant used, as it stands in the account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interval {
    /// What is known: the true figure is not below it.
    pub low: u64,
    /// With the silent members at their recent rates.
    pub likely: u64,
    /// With the silent members at the upper edge of their estimates.
    pub high: u64,
}

/// Where a tenant stands; all amounts in the account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// What it used.
    pub used: Interval,
    /// What the weights promise it.
    pub share: u64,
    /// The share and what is lent to it on top, as of the beginning of this bucket.
    pub allowance: u64,
}

/// Why one more job has the value that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Within the share, perhaps with doubt: never refused for what might be.
    Within,
    /// Beyond the share: paying back, at the pace that is left to it.
    Floor,
    /// Beyond the share, within what is lent.
    Lent,
    /// Beyond all of it.
    Over,
}

/// The value of one more job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobValue {
    /// As a fraction of its class's value, 0 to 1.
    pub fraction: f64,
    /// Why.
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

    /// A job beyond everything that its tenant may have.
    pub fn over_quota(&self) -> JobValue {
        JobValue { fraction: self.over_quota_value, tier: Tier::Over }
    }

    /// A job of a class that is within its part of the tenant's share.
    pub fn within_class_share(&self) -> JobValue {
        JobValue { fraction: 1.0 - self.uncertainty_discount, tier: Tier::Within }
    }
}

/// A tenant's position beside what this member served of it.
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

    /// How much of the tenant this member may serve at full value, in the account: its part of the share, reduced as far as
    /// the tenant pays back. Its part is as much as it served recently, and at least an equal one among `places`.
    pub fn own_pace(&self, places: u64, limits: &ValueLimits) -> f64 {
        let Position { used, share, .. } = self.position;
        let recent_part = self.own as f64 / used.low.max(1) as f64;
        let own_part = recent_part.max(1.0 / places as f64).clamp(0.0, 1.0);
        let pay_back = (2.0 - used.low as f64 / share as f64).clamp(limits.floor, 1.0);
        share as f64 * own_part * pay_back
    }

    /// A job within the pace.
    pub fn within_pace(&self) -> JobValue {
        let tier = if self.is_within_share() { Tier::Within } else { Tier::Floor };
        JobValue { fraction: 1.0, tier }
    }

    /// A job beyond the pace of a tenant that is within its share by the low end: the discount grows with the doubt.
    pub fn within_share(&self, limits: &ValueLimits) -> JobValue {
        let Interval { low, likely, .. } = self.position.used;
        let share = self.position.share;
        let doubt = if likely > share { (likely - share) as f64 / (likely - low) as f64 } else { 0.0 };
        JobValue { fraction: 1.0 - limits.uncertainty_discount * (1.0 + doubt) / 2.0, tier: Tier::Within }
    }

    /// A job beyond the share: from below all that is promised down to the value over quota, where all that is lent is used.
    pub fn beyond_share(&self, limits: &ValueLimits) -> JobValue {
        let Position { used, share, allowance } = self.position;
        if used.low >= allowance {
            return limits.over_quota();
        }
        let over = limits.over_quota_value;
        let left = (allowance - used.low) as f64 / (allowance - share) as f64;
        let most = (1.0 - limits.uncertainty_discount - LENT_DISCOUNT).max(over);
        JobValue { fraction: over + (most - over) * left, tier: Tier::Lent }
    }
}

/// What a tenant may still get at full value from this member: a token bucket that is filled at the tenant's pace, up to
/// [`MAX_CREDIT_SECONDS`], and that a job may overdraw.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PaceCredit {
    amount: f64,
    updated_at: Micros,
}

impl PaceCredit {
    /// Whether one more job of this amount is within the pace; takes it from the credit if so.
    pub fn take(&mut self, now: Micros, per_second: f64, amount: f64) -> bool {
        let seconds = (now - self.updated_at.min(now)) as f64 / 1e6;
        let most = (per_second * MAX_CREDIT_SECONDS).max(amount);
        self.amount = (self.amount + seconds * per_second).min(most);
        self.updated_at = now;
        let has_credit = self.amount > 0.0;
        if has_credit {
            self.amount -= amount;
        }
        has_credit
    }
}
