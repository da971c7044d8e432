//! A tenant's usage as an interval: what is known, and what members that have not reported may have served since.

use crate::accounts::{AccountTotal, Accounts, TenantIndex};
use crate::clock::Clock;
use crate::decay::SPAN_BITS;
use crate::members::{Members, RATE_WINDOW};
use crate::valuation::Interval;

/// The usage of a tenant, and the part of it that this member served; amounts in the account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsageEstimate {
    pub used: Interval,
    pub own: u64,
}

/// Estimates usage at the clock's present. [`Members`] keeps each member's unreported time for the sub-step at hand, so it
/// is borrowed mutably.
pub(crate) struct UsageEstimator<'a> {
    pub clock: &'a Clock,
    pub accounts: &'a Accounts,
    pub members: &'a mut Members,
}

impl UsageEstimator<'_> {
    /// The usage of a tenant over all its classes.
    pub fn of_tenant(&mut self, tenant: TenantIndex) -> UsageEstimate {
        self.estimate(tenant, None)
    }

    /// The usage of one class of a tenant.
    pub fn of_class(&mut self, tenant: TenantIndex, class: u8) -> UsageEstimate {
        self.estimate(tenant, Some(class))
    }

    fn estimate(&mut self, tenant: TenantIndex, class: Option<u8>) -> UsageEstimate {
        let mut total = AccountTotal::default();
        let (mut likely, mut high) = (0, 0);
        for account in self.accounts.classes(tenant, class) {
            self.accounts.add_to_total(&mut total, account);
            for recent in &account.recent {
                let unreported = self.members.unreported(recent.member, self.clock, self.accounts.decay());
                likely += extrapolated(recent.amount, unreported.likely);
                high += extrapolated(recent.amount, unreported.high);
            }
        }
        let known = self.accounts.decayed_total(total, self.clock.step());
        let low = known.measured;
        UsageEstimate { used: Interval { low, likely: low + likely, high: low + high }, own: known.own }
    }
}

/// What a member that used `recent_amount` in the last [`RATE_WINDOW`] buckets uses at that rate in a span of decayed time
/// (in buckets with [`SPAN_BITS`] fractional bits).
fn extrapolated(recent_amount: u64, span: u64) -> u64 {
    ((u128::from(recent_amount) * u128::from(span)) >> SPAN_BITS) as u64 / RATE_WINDOW
}
