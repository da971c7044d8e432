//! The settings of the fleet's parts; [`crate::settings`] reads them from the operators' file.

use crate::policy::interface::Micros;
use mothproxy_fairshare::Shares;
use mothproxy_membership::Config;

/// The shortest span that a scaled interval of the membership may have, in microseconds.
const MIN_SCALED_INTERVAL: Micros = 1_000;

/// The settings of each part that is on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSettings {
    /// Which members there are, and which of them are alive.
    pub membership: Option<MembershipSettings>,
    /// When each dispatcher calls discovery.
    pub cold_start: Option<ColdStartSettings>,
    /// How long jobs run.
    pub runtimes: Option<RuntimesSettings>,
    /// What tenants may use.
    pub fair_share: Option<FairShareSettings>,
}

/// How a cold start spares discovery; all dispatchers of a site must have the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdStartSettings {
    /// What one call is assumed to cost discovery, in microseconds.
    pub call_time: Micros,
}

impl Default for ColdStartSettings {
    fn default() -> Self {
        ColdStartSettings { call_time: mothproxy_coldstart::poll_scheduler::SERVICE_TIME }
    }
}

/// How run times are learned.
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

/// The quotas of tenants; all dispatchers of a federation must have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct FairShareSettings {
    /// The tree of shares.
    pub shares: Shares,
    /// What the whole federation can serve, in thousandths of a point a second.
    pub millipoints_per_s: u64,
    /// The weight of a job beyond its tenant's quota, as a fraction of its class's weight, 0 to 1.
    pub over_quota_weight: f64,
}

impl FairShareSettings {
    /// The ledger's configuration for the member at a place. `unix_at_zero` is the Unix time, in microseconds, at which the
    /// caller's clock showed 0.
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

/// How the members detect each other's failures; all dispatchers of a site must have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// The time from one probe of another member to the next, in microseconds.
    pub probe_interval: Micros,
    /// A probe without an answer for this long is repeated through other members; in microseconds.
    pub probe_timeout: Micros,
    /// A suspicion that others confirm lasts this many times `2 + ln(members + 1)` probe intervals.
    pub suspicion_multiplier: f64,
    /// The most bytes of datagrams that a member sends in a second.
    pub bytes_per_s: u32,
    /// For how long a dead member's assignment of each worker is kept for it, in microseconds; `None` keeps it for as long as
    /// the member is dead.
    pub dead_assignment_ttl: Option<Micros>,
    /// For how long the facts of a dead member are kept, in microseconds.
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
    /// The configuration of the member at a place. The spans that have no setting keep their proportion to the probe
    /// interval.
    pub fn config(&self, place: u16, peers: u16, epoch: u64, seed: u64) -> Config {
        let default = Config::new(place, peers, epoch, seed);
        let scaled = |span: Micros| {
            let factor = span as f64 / default.probe_period as f64;
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

    /// For how long after one's own start a place from which nothing was ever received may hold work, in microseconds: as long
    /// as the longest suspicion.
    pub fn unknown_member_ttl(&self, config: &Config) -> Micros {
        let factor = config.suspicion_factor * (2.0 + f64::from(config.peers + 1).ln());
        (factor * config.suspicion_spread * config.probe_period as f64) as Micros + 2 * config.meet_period
    }
}
