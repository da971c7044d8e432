//! The ledger of one member: it records usage, exchanges facts, and values the jobs of tenants.
//!
//! The ledger owns the state and advances it in time. [`crate::receiver`] applies received facts, [`crate::usage_estimate`]
//! estimates usage as an interval, [`crate::share_pool`] lends unused shares, and [`crate::valuation`] derives the value of a
//! job from a tenant's position.

use crate::accounts::{AccountId, Accounts, Entry, Source, TenantIndex};
use crate::clock::{Bucket, Clock, SUB_STEPS};
use crate::decay::{Decay, SPAN_BITS};
use crate::members::Members;
use crate::own_usage::OwnUsage;
use crate::receiver::{ReceivedFact, Receiver};
use crate::share_pool::SharePool;
use crate::shares::{Leaf, Shares, SharesError};
use crate::usage_estimate::{UsageEstimate, UsageEstimator};
use crate::valuation::{JobValue, Position, Standing, ValueLimits};
use crate::wire::MAX_AMOUNT;
use crate::{AbsorbError, Config, ConfigError, Metrics, Micros, Origin, RecordError, TenantKey, Usage};

/// The maximum `rate`, so that sums stay within 127 bits.
const MAX_RATE: u64 = 1 << 36;
/// The maximum capacity over the decayed horizon, in units of the measure.
const MAX_CAPACITY: u128 = 1 << 56;

/// The usage of all tenants, as one member knows it.
#[derive(Clone, Debug)]
pub struct Ledger {
    config: Config,
    clock: Clock,
    pool: SharePool,
    accounts: Accounts,
    members: Members,
    own: OwnUsage,
    /// The number of places that reported within the horizon, including this one.
    active_places: u64,
    metrics: Metrics,
}

impl Ledger {
    /// Creates an empty ledger at time `now`. Earlier usage, including that of this place before a restart, arrives as facts.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] if a setting is out of range or the shares are not valid.
    pub fn new(config: Config, shares: &Shares, now: Micros) -> Result<Ledger, ConfigError> {
        config.validate()?;
        let clock = Clock::new(&config, now);
        let landmark = clock.bucket().minus(config.horizon.into());
        let decay = Decay::new(config.half_life, config.horizon, landmark);
        let capacity = u128::from(config.rate) * u128::from(config.bucket_width) * u128::from(decay.memory())
            / (1_000_000 << SPAN_BITS);
        if config.rate > MAX_RATE || capacity > MAX_CAPACITY {
            return Err(ConfigError::Rate);
        }
        let mut ledger = Ledger {
            clock,
            pool: SharePool::new(capacity as u64),
            accounts: Accounts::new(decay, config.measure),
            members: Members::new(config.clone()),
            own: OwnUsage::new(&config),
            active_places: 1,
            metrics: Metrics::default(),
            config,
        };
        ledger.set_shares(shares)?;
        Ok(ledger)
    }

    /// Replaces the shares. Reported usage is kept, even of tenants that were not listed before. Tenants that are no longer
    /// listed have no share from now on.
    ///
    /// # Errors
    ///
    /// A [`SharesError`] if the shares are not valid; the ledger then keeps its previous shares.
    pub fn set_shares(&mut self, shares: &Shares) -> Result<(), SharesError> {
        self.pool.set_shares(shares, &mut self.accounts)
    }

    /// Advances to `now`: drops usage beyond the horizon, and carries usage without room on its pages into the current bucket.
    fn advance(&mut self, now: Micros) {
        if !self.clock.advance(now) {
            return;
        }
        let oldest = self.clock.oldest_bucket();
        for (bucket, own) in self.own.expire(oldest) {
            for entry in own.totals() {
                self.accounts.subtract(entry, bucket, Source::Own);
                self.accounts.release(entry.account.tenant, 1);
            }
        }
        self.members.expire_all(oldest, &self.clock, &mut self.accounts);
        let bucket = self.clock.bucket();
        for carried in self.own.take_overflow_before(bucket) {
            self.accounts.subtract(carried.entry, carried.bucket, Source::Own);
            let key = self.accounts.key(carried.entry.account.tenant);
            let is_new = self.own.carry_over(bucket, carried.entry, key);
            self.add_own(bucket, carried.entry, is_new);
            self.metrics.carried += 1;
        }
        self.accounts.advance(oldest);
        self.active_places = self.members.active_places();
    }

    /// Adds own usage to the accounts. `is_new_line` tells whether it is the first usage of its account in this bucket.
    fn add_own(&mut self, bucket: Bucket, entry: Entry, is_new_line: bool) {
        if is_new_line {
            self.accounts.retain(entry.account.tenant);
        }
        self.accounts.add(entry, bucket, Source::Own);
    }

    /// The bucket of own usage at time `at`, or the reason for which that usage is refused.
    fn own_bucket(&mut self, at: Micros) -> Result<Bucket, RecordError> {
        let bucket = self.clock.step_at(at).bucket();
        let refusal = if bucket < self.clock.oldest_bucket() {
            RecordError::Late
        } else if bucket > self.clock.bucket() {
            RecordError::Future
        } else {
            return Ok(bucket);
        };
        self.metrics.own_refused += 1;
        Err(refusal)
    }

    /// The class under which a tenant's usage is kept. All classes without a share of their own have one account, class 0.
    fn account_class(&self, tenant: TenantKey, class: u8) -> u8 {
        let has_share = |leaf: &Leaf| usize::from(class) < leaf.classes.len();
        if self.pool.leaf(tenant).is_some_and(has_share) { class } else { 0 }
    }

    /// Records usage of a tenant at this member at time `at`.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] if `at` is too old or in the future, or if there are too many tenants.
    pub fn record(
        &mut self,
        now: Micros,
        at: Micros,
        tenant: TenantKey,
        class: u8,
        used: Usage,
    ) -> Result<(), RecordError> {
        self.advance(now);
        let bucket = self.own_bucket(at)?;
        if self.accounts.find(tenant).is_none() && self.accounts.len() >= self.config.max_tenants {
            return Err(RecordError::Full);
        }
        let usage = Usage { value: used.value.min(MAX_AMOUNT), work: used.work.min(MAX_AMOUNT) };
        let index = self.accounts.open(tenant);
        let account = AccountId { tenant: index, class: self.account_class(tenant, class) };
        let entry = Entry { account, usage };
        let is_new = self.own.record(bucket, entry, tenant);
        self.add_own(bucket, entry, is_new);
        Ok(())
    }

    /// Subtracts `excess` from the usage recorded at time `at`, at most down to 0. Returns the amount subtracted.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] if `at` is too old or in the future.
    pub fn correct(
        &mut self,
        now: Micros,
        at: Micros,
        tenant: TenantKey,
        class: u8,
        excess: Usage,
    ) -> Result<Usage, RecordError> {
        self.advance(now);
        let bucket = self.own_bucket(at)?;
        let Some(index) = self.accounts.find(tenant) else { return Ok(Usage::default()) };
        let account = AccountId { tenant: index, class: self.account_class(tenant, class) };
        let taken = self.own.take(bucket, account, tenant, excess);
        self.accounts.subtract(Entry { account, usage: taken }, bucket, Source::Own);
        Ok(taken)
    }

    /// The slot and bytes of the next fact to publish. Call this until it returns `None`; there is nothing to publish before
    /// [`Ledger::next_wake`].
    pub fn publish(&mut self, now: Micros) -> Option<(u32, Vec<u8>)> {
        self.advance(now);
        let fact = self.own.publish(self.clock.now(), self.clock.step())?;
        self.metrics.published += 1;
        self.metrics.published_bytes += fact.1.len() as u64;
        Some(fact)
    }

    /// When to call [`Ledger::publish`] next.
    pub fn next_wake(&self) -> Micros {
        self.own.next_round()
    }

    /// Absorbs a fact of another member. Facts may arrive in any order; one that is not later than the known fact of
    /// its slot changes nothing.
    ///
    /// # Errors
    ///
    /// An [`AbsorbError`] with the reason for which the fact was refused; it changes no account then.
    pub fn absorb(
        &mut self,
        now: Micros,
        origin: Origin,
        slot: u32,
        number: u64,
        bytes: &[u8],
    ) -> Result<(), AbsorbError> {
        self.advance(now);
        let Ledger { config, clock, accounts, members, .. } = self;
        let mut receiver = Receiver { config, clock, accounts, members };
        let result = receiver.absorb(ReceivedFact { origin, slot, number, bytes });
        self.metrics.count_received(result);
        result.map(|_| ())
    }

    /// Handles a member that left, or whose process is known to have ended: its usage is not extrapolated beyond this time.
    pub fn on_member_left(&mut self, now: Micros, origin: Origin) {
        self.advance(now);
        self.members.record_left(origin, self.clock.step());
    }

    /// The position of a tenant. Without a share, its `share` and `allowance` are 0.
    pub fn position(&mut self, tenant: TenantKey, now: Micros) -> Position {
        self.advance(now);
        self.lend();
        let Some(index) = self.accounts.find(tenant) else { return Position::default() };
        let used = self.estimator().of_tenant(index).used;
        let leaf = self.pool.leaf(tenant);
        Position {
            used,
            share: leaf.map_or(0, |leaf| leaf.share),
            allowance: leaf.map_or(0, |leaf| leaf.allowance),
        }
    }

    /// The usage of a tenant that was recorded here or reported by others, in the account.
    pub fn known_usage(&mut self, tenant: TenantKey, now: Micros) -> Usage {
        self.advance(now);
        let index = self.accounts.find(tenant);
        index.map_or(Usage::default(), |index| self.accounts.known_usage(index, self.clock.step()))
    }

    /// The value of one more job of this tenant and class, as a fraction of its class's value. `amount` is the job's expected
    /// usage, in units of the measure. Call this once for each job that arrives, since a job at full value takes from the
    /// tenant's credit.
    ///
    /// The value is
    ///
    /// - 1 as long as the tenant's jobs arrive at the pace of this member's part of its share. For a tenant beyond its share,
    ///   which pays back, the pace is reduced, at most down to the configured floor;
    /// - at least `1 - uncertainty_discount` at a higher pace, if the low end of the usage is within the share;
    /// - below that for a tenant beyond its share, down to `over_quota_value` once the lent capacity is used up.
    pub fn job_value(&mut self, tenant: TenantKey, class: u8, amount: u64, now: Micros) -> JobValue {
        self.advance(now);
        self.lend();
        let limits = ValueLimits::new(&self.config);
        let Some((index, standing)) = self.standing(tenant, class) else {
            self.metrics.unknown += 1;
            return limits.over_quota();
        };
        if standing.position.share > 0 {
            if self.take_credit(index, &standing, &limits, amount) {
                return standing.within_pace();
            }
            if standing.is_within_share() {
                return standing.within_share(&limits);
            }
        }
        let class_share = standing.class_share;
        if class_share > 0 && self.estimator().of_class(index, class).used.low <= class_share {
            return limits.within_class_share();
        }
        standing.beyond_share(&limits)
    }

    /// Whether one more job of this amount is within the pace of a tenant with a share. If so, takes it from the credit.
    fn take_credit(
        &mut self,
        tenant: TenantIndex,
        standing: &Standing,
        limits: &ValueLimits,
        amount: u64,
    ) -> bool {
        let pace = standing.own_pace(self.active_places, limits);
        let per_second = pace * 1e6 / self.memory() as f64;
        let now = self.clock.now();
        self.accounts.credit_mut(tenant).take(now, per_second, amount as f64)
    }

    fn estimator(&mut self) -> UsageEstimator<'_> {
        UsageEstimator { clock: &self.clock, accounts: &self.accounts, members: &mut self.members }
    }

    /// Lends unused shares, once per bucket.
    fn lend(&mut self) {
        let Ledger { clock, accounts, members, .. } = self;
        self.pool.lend(&mut UsageEstimator { clock, accounts, members });
    }

    /// The standing of a tenant; `None` if it has no share or no account.
    fn standing(&mut self, tenant: TenantKey, class: u8) -> Option<(TenantIndex, Standing)> {
        let index = self.accounts.find(tenant)?;
        let leaf = self.pool.leaf(tenant)?;
        let (share, allowance, class_share) = (leaf.share, leaf.allowance, leaf.class_share(class));
        let UsageEstimate { used, own } = self.estimator().of_tenant(index);
        Some((index, Standing { position: Position { used, share, allowance }, own, class_share }))
    }

    /// The effective length of the account in microseconds: the balance of a steady flow is its rate times this.
    pub fn memory(&self) -> Micros {
        let memory = u128::from(self.accounts.decay().memory());
        ((memory * u128::from(self.config.bucket_width)) >> SPAN_BITS) as u64
    }

    /// Counters since the start, and current sizes.
    pub fn metrics(&self) -> Metrics {
        let interval = self.clock.sub_steps(self.config.publish_interval.into());
        let silence_timeout = 2 * interval + SUB_STEPS;
        Metrics {
            members: self.members.count(),
            silent: self.members.silent(self.clock.step(), silence_timeout),
            gaps: self.members.gaps(self.clock.oldest_bucket()),
            tenants: self.accounts.len() as u64,
            broken: self.accounts.broken(),
            ..self.metrics
        }
    }
}
