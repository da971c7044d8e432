//! Estimates of a tenant's usage as an interval: the known usage, and the possible usage at members since their last report.

use crate::accounts::{AccountTotal, Accounts, TenantIndex};
use crate::clock::Clock;
use crate::decay::SPAN_BITS;
use crate::members::{Members, RATE_WINDOW};
use crate::valuation::Interval;

/// The usage of a tenant, and this member's part of it; amounts in the account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsageEstimate {
    pub used: Interval,
    pub own: u64,
}

/// Estimates usage at the current time of the clock. [`Members`] is borrowed mutably, since it caches each member's
/// unreported time for the current sub-step.
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
        let mut likely_unreported = 0;
        let mut high_unreported = 0;
        for account in self.accounts.classes(tenant, class) {
            self.accounts.add_to_total(&mut total, account);
            for recent in &account.recent {
                let unreported = self.members.unreported(recent.member, self.clock, self.accounts.decay());
                likely_unreported += extrapolated(recent.amount, unreported.likely);
                high_unreported += extrapolated(recent.amount, unreported.high);
            }
        }
        let known = self.accounts.decayed_total(total, self.clock.step());
        let low = known.measured;
        let used = Interval { low, likely: low + likely_unreported, high: low + high_unreported };
        UsageEstimate { used, own: known.own }
    }
}

/// Extrapolates the usage of a member over a span of decayed time, in buckets with [`SPAN_BITS`] fractional bits.
/// `recent_amount` is its usage in the last [`RATE_WINDOW`] buckets.
fn extrapolated(recent_amount: u64, span: u64) -> u64 {
    ((u128::from(recent_amount) * u128::from(span)) >> SPAN_BITS) as u64 / RATE_WINDOW
}
