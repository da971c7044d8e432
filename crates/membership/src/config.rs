//! Settings of a member.

use crate::Micros;

/// Settings of a member; all members of a group should have the same spans, factors and budgets.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// This member's place.
    pub me: u16,
    /// How many places there are; their addresses are the driver's.
    pub peers: u16,
    /// Milliseconds of Unix time at the start of this process.
    pub epoch: u64,
    /// Where all that looks random comes from.
    pub seed: u64,
    /// A member probes another so often.
    pub probe_period: Micros,
    /// A probe that is not answered within this goes through others.
    pub probe_timeout: Micros,
    /// Through how many others.
    pub relays: u32,
    /// A suspicion that enough others confirm lasts `suspicion_factor * (2 + ln(members + 1)) * probe_period`.
    pub suspicion_factor: f64,
    /// One that nobody confirms lasts this many times as long.
    pub suspicion_spread: f64,
    /// So many confirmations are enough.
    pub confirmations: u32,
    /// A change is sent on `gossip_factor * ln(members + 1)` times, rounded up.
    pub gossip_factor: f64,
    /// The same of a fact; what is missed then comes by digest.
    pub fact_factor: f64,
    /// While there is news, it goes to `gossip_fanout` others so often, beside what rides on probes.
    pub gossip_period: Micros,
    /// To how many others at a time.
    pub gossip_fanout: u32,
    /// A digest goes to one other so often.
    pub sync_period: Micros,
    /// A place that is unknown, dead or has left is looked up so often, one at a time.
    pub meet_period: Micros,
    /// The most that local health lengthens spans, less one.
    pub health_most: u32,
    /// A wake that comes this much late means that the process was starved.
    pub late: Micros,
    /// Bytes a second that may be sent, as payload of datagrams.
    pub budget: u32,
    /// Facts of a member that is dead or has left are kept so long.
    pub forget_after: Micros,
    /// A seeded mistake for proofs: a probe that fails is a death, with no suspicion.
    #[doc(hidden)]
    pub skip_suspicion: bool,
}

/// Why a configuration can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The own place is not among the peers.
    #[error("place {me} is not among {peers} peers; set `me` below their number")]
    Me {
        /// The own place.
        me: u16,
        /// The number of peers.
        peers: u16,
    },
    /// A span, factor or budget is out of its range.
    #[error("`{0}` is out of its range")]
    Range(&'static str),
    /// An epoch that can't be milliseconds of Unix time.
    #[error("epoch {0} is not milliseconds of Unix time")]
    Epoch(u64),
}

/// Epochs are below this (the year 10889), so that a forged one can't shut a member out for good.
pub(crate) const EPOCH_BOUND: u64 = 1 << 48;

impl Config {
    /// The defaults, for this place of so many, started at this epoch.
    pub fn new(me: u16, peers: u16, epoch: u64, seed: u64) -> Config {
        Config {
            me,
            peers,
            epoch,
            seed,
            probe_period: 500_000,
            probe_timeout: 150_000,
            relays: 3,
            suspicion_factor: 1.0,
            suspicion_spread: 4.0,
            confirmations: 3,
            gossip_factor: 2.0,
            fact_factor: 1.0,
            gossip_period: 100_000,
            gossip_fanout: 2,
            sync_period: 2_000_000,
            meet_period: 1_000_000,
            health_most: 8,
            late: 200_000,
            budget: 16_384,
            forget_after: 600_000_000,
            skip_suspicion: false,
        }
    }

    /// How long a suspicion lasts that enough others confirm, among so many members: the least time in which a silent
    /// member is held dead after it was first doubted.
    pub fn suspicion_span(&self, members: usize) -> Micros {
        let periods = self.suspicion_factor * (2.0 + (members as f64 + 1.0).ln());
        (periods * self.probe_period as f64) as Micros
    }

    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        if self.me >= self.peers {
            return Err(ConfigError::Me { me: self.me, peers: self.peers });
        }
        if self.epoch >= EPOCH_BOUND {
            return Err(ConfigError::Epoch(self.epoch));
        }
        let span = |s: Micros| (1_000..=86_400_000_000).contains(&s);
        let factor = |f: f64| (0.1..=100.0).contains(&f);
        let checks = [
            ("probe_period", span(self.probe_period)),
            ("probe_timeout", span(self.probe_timeout) && self.probe_timeout < self.probe_period),
            ("relays", self.relays <= 16),
            ("suspicion_factor", factor(self.suspicion_factor)),
            ("suspicion_spread", (1.0..=100.0).contains(&self.suspicion_spread)),
            ("confirmations", (1..=16).contains(&self.confirmations)),
            ("gossip_factor", factor(self.gossip_factor)),
            ("fact_factor", factor(self.fact_factor)),
            ("gossip_period", span(self.gossip_period)),
            ("gossip_fanout", (1..=16).contains(&self.gossip_fanout)),
            ("sync_period", span(self.sync_period)),
            ("meet_period", span(self.meet_period)),
            ("health_most", self.health_most <= 32),
            ("late", span(self.late)),
            ("budget", self.budget >= 1_024),
            ("forget_after", span(self.forget_after)),
        ];
        checks.iter().find(|(_, holds)| !holds).map_or(Ok(()), |(name, _)| Err(ConfigError::Range(name)))
    }
}
