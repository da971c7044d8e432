//! The settings of the fleet's parts; [`crate::settings`] reads them from the operators' file.

use crate::policy::interface::Micros;
use mothproxy_fairshare::Shares;
use mothproxy_membership::Config;

/// The minimum of an interval that is scaled with the probe interval, in microseconds.
const MIN_SCALED_INTERVAL: Micros = 1_000;

/// The settings of each part; `None` turns a part off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSettings {
    /// Membership, which detects failed dispatchers.
    pub membership: Option<MembershipSettings>,
    /// The schedule of the dispatchers' calls to discovery.
    pub cold_start: Option<ColdStartSettings>,
    /// The learning of run times.
    pub runtimes: Option<RuntimesSettings>,
    /// The quotas of tenants.
    pub fair_share: Option<FairShareSettings>,
}

/// How a cold start limits the load on discovery. All dispatchers of a site must have the same settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdStartSettings {
    /// The assumed time that discovery needs for one call, in microseconds.
    pub call_time: Micros,
}

impl Default for ColdStartSettings {
    fn default() -> Self {
        ColdStartSettings { call_time: mothproxy_coldstart::poll_scheduler::SERVICE_TIME }
    }
}

/// The settings of the learning of run times.
#[derive(Clone, Debug, PartialEq)]
pub struct RuntimesSettings {
    /// The quantile of run times that counts as long, 0.5 to 0.99.
    pub long_quantile: f64,
}

impl Default for RuntimesSettings {
    fn default() -> Self {
        RuntimesSettings { long_quantile: mothproxy_runtimes::Config::new(0, 0).long_quantile }
    }
}

/// The quotas of tenants. All dispatchers of a federation must have the same settings.
#[derive(Clone, Debug, PartialEq)]
pub struct FairShareSettings {
    /// The tree of shares.
    pub shares: Shares,
    /// The rate that the whole federation can serve, in thousandths of a point per second.
    pub millipoints_per_s: u64,
    /// The weight of a job beyond its tenant's quota, as a fraction of its class's weight, 0 to 1.
    pub over_quota_weight: f64,
}

impl FairShareSettings {
    /// The ledger's configuration for the member at a place. `unix_at_zero` is the Unix time, in microseconds, at which the
    /// caller's clock was 0.
    pub fn config(
        &self,
        place: u16,
        peers: usize,
        epoch: u64,
        unix_at_zero: u64,
    ) -> mothproxy_fairshare::Config {
        let peers = u16::try_from(peers).unwrap_or(u16::MAX).max(place.saturating_add(1));
        mothproxy_fairshare::Config {
            place,
            epoch,
            unix_at_zero,
            peers,
            rate: self.millipoints_per_s,
            over_quota_value: self.over_quota_weight,
            ..mothproxy_fairshare::Config::default()
        }
    }
}

/// The settings of failure detection among members. All dispatchers of a site must have the same settings.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// The interval between probes of other members, in microseconds.
    pub probe_interval: Micros,
    /// How long a probe waits for its answer before it is repeated through other members, in microseconds.
    pub probe_timeout: Micros,
    /// The duration of a suspicion that other members confirm, as a multiple of `2 + ln(members + 1)` probe intervals.
    pub suspicion_multiplier: f64,
    /// The maximum number of bytes that a member sends in datagrams, per second.
    pub bytes_per_s: u32,
    /// How long a dead member's assignment is kept, in microseconds. `None` keeps it for as long as the member is dead.
    pub dead_assignment_ttl: Option<Micros>,
    /// How long the facts of a dead member are kept, in microseconds.
    pub dead_facts_ttl: Micros,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        let config = Config::new(0, 1, 0, 0);
        MembershipSettings {
            probe_interval: config.probe_period,
            probe_timeout: config.probe_timeout,
            suspicion_multiplier: config.suspicion_factor,
            bytes_per_s: config.budget,
            dead_assignment_ttl: None,
            dead_facts_ttl: config.forget_after,
        }
    }
}

impl MembershipSettings {
    /// The configuration of the member at a place. Intervals without a setting scale with the probe interval.
    pub fn config(&self, place: u16, peers: u16, epoch: u64, seed: u64) -> Config {
        let default = Config::new(place, peers, epoch, seed);
        let scaled = |interval: Micros| {
            let factor = interval as f64 / default.probe_period as f64;
            ((self.probe_interval as f64 * factor) as Micros).max(MIN_SCALED_INTERVAL)
        };
        Config {
            probe_period: self.probe_interval,
            probe_timeout: self.probe_timeout,
            suspicion_factor: self.suspicion_multiplier,
            gossip_period: scaled(default.gossip_period),
            sync_period: scaled(default.sync_period),
            meet_period: scaled(default.meet_period),
            budget: self.bytes_per_s,
            forget_after: self.dead_facts_ttl,
            ..default
        }
    }

    /// How long after the start of this process a place that has not sent anything yet counts as present, in microseconds: the
    /// duration of the longest suspicion.
    pub fn unknown_member_ttl(&self, config: &Config) -> Micros {
        let factor = config.suspicion_factor * (2.0 + f64::from(config.peers + 1).ln());
        (factor * config.suspicion_spread * config.probe_period as f64) as Micros + 2 * config.meet_period
    }
}
