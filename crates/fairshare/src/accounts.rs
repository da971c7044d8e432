//! The accounts of all tenants: for each tenant and class, exact sums of usage times the weight of its bucket.
//!
//! A tenant's accounts are opened when it gets a share or usage, and closed once it has neither.

use crate::clock::{Bucket, Step};
use crate::decay::Decay;
use crate::valuation::PaceCredit;
use crate::{Measure, TenantKey, Usage};
use rustc_hash::FxHashMap;

/// Index of a tenant in [`Accounts`], valid as long as the tenant has a share or a line.
pub(crate) type TenantIndex = u32;

/// Index of a member in [`crate::members::Members`], valid as long as the member is known.
pub(crate) type MemberIndex = u32;

/// The account of a tenant and class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AccountId {
    pub tenant: TenantIndex,
    pub class: u8,
}

/// An account, with an amount of usage that belongs to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub account: AccountId,
    pub usage: Usage,
}

/// Where usage happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// At this member, since its start.
    Own,
    /// At another member, or at this one before a restart.
    Reported,
}

/// A member's usage in the buckets that determine its recent rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentUsage {
    pub member: MemberIndex,
    pub amount: u64,
}

/// The sums of one account: each amount times the weight of its bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassAccount {
    pub class: u8,
    value: i128,
    work: i128,
    /// This member's own usage, in units of the measure.
    own: i128,
    /// The recent usage of each member that has any, in units of the measure.
    pub recent: Vec<RecentUsage>,
}

impl ClassAccount {
    fn apply(&mut self, usage: Usage, weight: i128) {
        self.value += weight * i128::from(usage.value);
        self.work += weight * i128::from(usage.work);
    }

    /// Shifts the sums right. Returns whether a bit was lost.
    fn shift(&mut self, bits: u32) -> bool {
        let is_lossy = [self.value, self.work, self.own].iter().any(|sum| sum & ((1 << bits) - 1) != 0);
        self.value >>= bits;
        self.work >>= bits;
        self.own >>= bits;
        is_lossy
    }
}

/// All accounts of one tenant.
#[derive(Clone, Debug, Default)]
struct TenantAccounts {
    key: TenantKey,
    has_share: bool,
    classes: Vec<ClassAccount>,
    /// The amount that this member may still serve at full value. Not part of any report.
    credit: PaceCredit,
    /// The number of reported lines, and of own accounts in a bucket, that the sums include.
    lines: u32,
}

/// Weighted sums of some accounts of a tenant.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AccountTotal {
    measured: i128,
    own: i128,
}

/// A total in the account, decayed to a certain sub-step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedTotal {
    /// The usage of all members, in the measure.
    pub measured: u64,
    /// This member's part of `measured`.
    pub own: u64,
}

/// The accounts of all tenants.
#[derive(Clone, Debug)]
pub(crate) struct Accounts {
    tenants: Vec<TenantAccounts>,
    free: Vec<TenantIndex>,
    by_key: FxHashMap<TenantKey, TenantIndex>,
    decay: Decay,
    measure: Measure,
    broken: u64,
}

impl Accounts {
    pub fn new(decay: Decay, measure: Measure) -> Accounts {
        Accounts {
            tenants: Vec::new(),
            free: Vec::new(),
            by_key: FxHashMap::default(),
            decay,
            measure,
            broken: 0,
        }
    }

    pub fn decay(&self) -> &Decay {
        &self.decay
    }

    /// The number of tenants with open accounts.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// The number of violated invariants.
    pub fn broken(&self) -> u64 {
        self.broken
    }

    /// The tenant of a key, if its accounts are open.
    pub fn find(&self, key: TenantKey) -> Option<TenantIndex> {
        self.by_key.get(&key).copied()
    }

    /// The key of a tenant.
    pub fn key(&self, tenant: TenantIndex) -> TenantKey {
        self.tenants[tenant as usize].key
    }

    /// The tenant of a key, whose accounts are opened if they are not open yet.
    pub fn open(&mut self, key: TenantKey) -> TenantIndex {
        if let Some(tenant) = self.find(key) {
            return tenant;
        }
        let opened = TenantAccounts { key, ..TenantAccounts::default() };
        let tenant = if let Some(tenant) = self.free.pop() {
            self.tenants[tenant as usize] = opened;
            tenant
        } else {
            self.tenants.push(opened);
            self.tenants.len() as TenantIndex - 1
        };
        self.by_key.insert(key, tenant);
        tenant
    }

    /// Sets whether a tenant has a share. A tenant that lost its share is closed by [`Accounts::release`] once it has no line.
    pub fn set_share(&mut self, tenant: TenantIndex, has_share: bool) {
        self.tenants[tenant as usize].has_share = has_share;
    }

    /// Counts a line that is summed in this tenant's accounts.
    pub fn retain(&mut self, tenant: TenantIndex) {
        self.tenants[tenant as usize].lines += 1;
    }

    /// Releases this number of lines, and closes the tenant once it has neither lines nor a share.
    pub fn release(&mut self, tenant: TenantIndex, lines: u32) {
        let accounts = &mut self.tenants[tenant as usize];
        let is_held = accounts.lines >= lines;
        accounts.lines = accounts.lines.saturating_sub(lines);
        if accounts.lines == 0 && !accounts.has_share {
            self.by_key.remove(&accounts.key);
            self.tenants[tenant as usize] = TenantAccounts::default();
            self.free.push(tenant);
        }
        self.check(is_held, "more lines were released than the tenant had");
    }

    /// Adds usage of a bucket.
    pub fn add(&mut self, entry: Entry, bucket: Bucket, source: Source) {
        self.apply(entry, self.decay.weight(bucket), source);
    }

    /// Subtracts usage of a bucket that was added before.
    pub fn subtract(&mut self, entry: Entry, bucket: Bucket, source: Source) {
        self.apply(entry, -self.decay.weight(bucket), source);
    }

    fn apply(&mut self, entry: Entry, weight: i128, source: Source) {
        let measured = i128::from(entry.usage.measured(self.measure));
        let account = self.class_account(entry.account);
        account.apply(entry.usage, weight);
        if source == Source::Own {
            account.own += weight * measured;
        }
    }

    fn class_account(&mut self, id: AccountId) -> &mut ClassAccount {
        let classes = &mut self.tenants[id.tenant as usize].classes;
        let at = classes.iter().position(|account| account.class == id.class).unwrap_or_else(|| {
            classes.push(ClassAccount { class: id.class, ..ClassAccount::default() });
            classes.len() - 1
        });
        &mut classes[at]
    }

    /// Adds entries to a member's recent usage.
    pub fn add_recent(&mut self, member: MemberIndex, entries: &[Entry]) {
        for entry in entries {
            let amount = entry.usage.measured(self.measure);
            if amount == 0 {
                continue;
            }
            let recent = &mut self.class_account(entry.account).recent;
            match recent.iter_mut().find(|usage| usage.member == member) {
                Some(usage) => usage.amount += amount,
                None => recent.push(RecentUsage { member, amount }),
            }
        }
    }

    /// Subtracts entries from a member's recent usage.
    pub fn subtract_recent(&mut self, member: MemberIndex, entries: &[Entry]) {
        for entry in entries {
            let amount = entry.usage.measured(self.measure);
            if amount == 0 {
                continue;
            }
            let recent = &mut self.class_account(entry.account).recent;
            let Some(at) = recent.iter().position(|usage| usage.member == member) else {
                self.check(false, "recent usage was subtracted that was never added");
                continue;
            };
            recent[at].amount = recent[at].amount.saturating_sub(amount);
            if recent[at].amount == 0 {
                recent.swap_remove(at);
            }
        }
    }

    /// Advances the landmark of the decay. No sum may include usage of a bucket before `oldest`.
    pub fn advance(&mut self, oldest: Bucket) {
        let shift = self.decay.advance(oldest);
        if shift == 0 {
            return;
        }
        let mut lossy = 0;
        for account in self.tenants.iter_mut().flat_map(|tenant| &mut tenant.classes) {
            lossy += u64::from(account.shift(shift));
        }
        debug_assert!(lossy == 0, "advancing the landmark lost bits of {lossy} accounts");
        self.broken += lossy;
    }

    /// A tenant's accounts, or that of one class only.
    pub fn classes(&self, tenant: TenantIndex, class: Option<u8>) -> impl Iterator<Item = &ClassAccount> {
        let classes = self.tenants[tenant as usize].classes.iter();
        classes.filter(move |account| class.is_none_or(|class| account.class == class))
    }

    /// Adds an account to a total.
    pub fn add_to_total(&self, total: &mut AccountTotal, account: &ClassAccount) {
        total.measured += match self.measure {
            Measure::Value => account.value,
            Measure::Work => account.work,
        };
        total.own += account.own;
    }

    /// Decays a total to a sub-step.
    pub fn decayed_total(&self, total: AccountTotal, step: Step) -> DecayedTotal {
        DecayedTotal {
            measured: self.decay.decayed(total.measured, step),
            own: self.decay.decayed(total.own, step),
        }
    }

    /// The known usage of a tenant, decayed to a sub-step.
    pub fn known_usage(&self, tenant: TenantIndex, step: Step) -> Usage {
        let classes = &self.tenants[tenant as usize].classes;
        Usage {
            value: self.decay.decayed(classes.iter().map(|account| account.value).sum(), step),
            work: self.decay.decayed(classes.iter().map(|account| account.work).sum(), step),
        }
    }

    /// The credit of a tenant: the amount that this member may still serve at full value.
    pub fn credit_mut(&mut self, tenant: TenantIndex) -> &mut PaceCredit {
        &mut self.tenants[tenant as usize].credit
    }

    /// Checks an invariant. If it is violated, a debug build panics and a release build counts it.
    fn check(&mut self, holds: bool, message: &str) {
        debug_assert!(holds, "{message}");
        self.broken += u64::from(!holds);
    }
}
