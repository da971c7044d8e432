//! What the operators' file says of the parts; [`crate::settings`] reads it.

use crate::policy::interface::Micros;
use mothproxy_fairshare::Shares;
use mothproxy_membership::Config;

/// The parts that are on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSettings {
    /// Who is there.
    pub membership: Option<MembershipSettings>,
    /// Who asks discovery when.
    pub cold_start: Option<ColdStartSettings>,
    /// How long jobs run.
    pub runtimes: Option<RuntimesSettings>,
    /// What tenants may use.
    pub fair_share: Option<FairShareSettings>,
}

/// How a cold start spares discovery; all of a site must have the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdStartSettings {
    /// What a call is taken to cost discovery, in microseconds.
    pub call_time: Micros,
}

impl Default for ColdStartSettings {
    fn default() -> Self {
        ColdStartSettings { call_time: mothproxy_coldstart::pacer::SERVICE_TIME }
    }
}

/// How run times are learned.
#[derive(Clone, Debug, PartialEq)]
pub struct RuntimesSettings {
    /// The quantile that counts as long, 0.5 to 0.99.
    pub long: f64,
}

impl Default for RuntimesSettings {
    fn default() -> Self {
        RuntimesSettings { long: mothproxy_runtimes::Config::new(0, 0).long_quantile }
    }
}

/// Who has what share; all of a federation must have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct FairShareSettings {
    /// The tree of shares.
    pub shares: Shares,
    /// What the whole federation can serve, in thousandths of a point a second.
    pub rate: u64,
    /// The worth of a job beyond all that its tenant may have, as a part of its class's worth.
    pub over_share: f64,
}

impl FairShareSettings {
    /// The settings of the member at a place; `wall` is the Unix time of the caller's zero, in microseconds.
    pub fn config(&self, me: u16, peers: usize, epoch: u64, wall: u64) -> mothproxy_fairshare::Config {
        let peers = u16::try_from(peers).unwrap_or(u16::MAX).max(me.saturating_add(1));
        mothproxy_fairshare::Config {
            me,
            epoch,
            wall_at_zero: wall,
            peers,
            rate: self.rate,
            over_quota_value: self.over_share,
            ..mothproxy_fairshare::Config::default()
        }
    }
}

/// How the members find out about each other; all of a site must have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Each member probes another so often, in microseconds.
    pub probe_interval: Micros,
    /// A probe that is not answered within this goes through others, in microseconds.
    pub probe_timeout: Micros,
    /// A suspicion that others confirm lasts this times `2 + ln(members + 1)` intervals.
    pub suspicion_mult: f64,
    /// The most bytes of datagrams that a member sends a second.
    pub bytes_per_s: u32,
    /// For how long a dead member's part of each worker is kept for it, in microseconds; for as long as it is dead if absent.
    pub keep_part: Option<Micros>,
    /// What a member that died has taught is kept for so long, in microseconds.
    pub forget_after: Micros,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        let set = Config::new(0, 1, 0, 0);
        MembershipSettings {
            probe_interval: set.probe_period,
            probe_timeout: set.probe_timeout,
            suspicion_mult: set.suspicion_factor,
            bytes_per_s: set.budget,
            keep_part: None,
            forget_after: set.forget_after,
        }
    }
}

impl MembershipSettings {
    /// The settings of the member at a place. The other spans keep their proportion to the interval.
    pub fn config(&self, me: u16, peers: u16, epoch: u64, seed: u64) -> Config {
        let set = Config::new(me, peers, epoch, seed);
        let scaled = |span: Micros| {
            let part = span as f64 / set.probe_period as f64;
            ((self.probe_interval as f64 * part) as Micros).max(1_000)
        };
        Config {
            probe_period: self.probe_interval,
            probe_timeout: self.probe_timeout,
            suspicion_factor: self.suspicion_mult,
            gossip_period: scaled(set.gossip_period),
            sync_period: scaled(set.sync_period),
            meet_period: scaled(set.meet_period),
            budget: self.bytes_per_s,
            forget_after: self.forget_after,
            ..set
        }
    }

    /// A place that was never heard of may hold work for this long after one's own start: as long as the longest suspicion.
    pub fn unknown_for(&self, config: &Config) -> Micros {
        let factor = config.suspicion_factor * (2.0 + f64::from(config.peers + 1).ln());
        (factor * config.suspicion_spread * config.probe_period as f64) as Micros + 2 * config.meet_period
    }
}
