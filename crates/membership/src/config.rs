//! Settings of a member.

use crate::Micros;

/// Settings of a member. All members of a group should have the same spans, factors and budgets. Spans are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// This member's place.
    pub place: u16,
    /// The number of places. The caller keeps their addresses.
    pub peers: u16,
    /// The start of this process, in milliseconds of Unix time.
    pub epoch: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// The interval between two probes, each of another member (SWIM's protocol period).
    pub probe_period: Micros,
    /// The time after which an unacknowledged probe is repeated through other members.
    pub probe_timeout: Micros,
    /// The number of members through which an unacknowledged probe is repeated (SWIM's `ping-req` targets).
    pub indirect_probes: u32,
    /// A suspicion with enough confirmations lasts `suspicion_factor * (2 + ln(members + 1)) * probe_period`.
    pub suspicion_factor: f64,
    /// A suspicion without confirmations lasts this many times as long as one with enough confirmations.
    pub suspicion_spread: f64,
    /// The number of independent confirmations that shorten a suspicion to its minimum (Lifeguard).
    pub confirmations: u32,
    /// A change of the view is sent `gossip_factor * ln(members + 1)` times, rounded up.
    pub gossip_factor: f64,
    /// A fact is sent `fact_factor * ln(members + 1)` times, rounded up. Anti-entropy delivers facts that dissemination
    /// misses.
    pub fact_factor: f64,
    /// The interval between two rounds of gossip while there are updates. Updates also travel with probes.
    pub gossip_period: Micros,
    /// The number of members that receive a round of gossip.
    pub gossip_fanout: u32,
    /// The interval between two anti-entropy exchanges.
    pub sync_period: Micros,
    /// The interval between two probes of places that are unknown, dead or have left. They reconnect the sides of a
    /// network partition after it heals.
    pub meet_period: Micros,
    /// The maximum local health score (Lifeguard). Timeouts of probes grow by at most a factor of this plus one.
    pub max_health: u32,
    /// A wake that is late by more than this means that the process was starved of CPU time.
    pub starvation_threshold: Micros,
    /// The maximum rate of sending, in bytes of datagram payload per second.
    pub budget: u32,
    /// How long the facts of a member that is dead or has left are kept.
    pub forget_after: Micros,
    /// A deliberate fault, to verify that the checks detect it: a member whose probe fails is declared dead without a suspicion.
    #[doc(hidden)]
    pub skip_suspicion: bool,
}

/// Why a configuration was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// This member's place is not among the peers.
    #[error("place {place} is not among the {peers} peers; `me` must be below {peers}")]
    Place {
        /// This member's place.
        place: u16,
        /// The number of peers.
        peers: u16,
    },
    /// A span, factor or budget is out of its range. Holds the name of the setting.
    #[error("setting `{0}` is out of range")]
    Range(&'static str),
    /// The epoch is too large for milliseconds of Unix time. Holds the epoch.
    #[error("epoch {0} is not milliseconds of Unix time")]
    Epoch(u64),
}

/// The minimum span: a millisecond.
const MIN_SPAN: Micros = 1_000;
/// The maximum span: a day.
const MAX_SPAN: Micros = 86_400_000_000;

/// All valid epochs are below this (the year 10889), so that a forged epoch cannot exclude a member for good.
pub(crate) const EPOCH_BOUND: u64 = 1 << 48;

impl Config {
    /// The defaults for a process at `place` of `peers` places, started at this epoch.
    pub fn new(place: u16, peers: u16, epoch: u64, seed: u64) -> Config {
        Config {
            place,
            peers,
            epoch,
            seed,
            probe_period: 500_000,
            probe_timeout: 150_000,
            indirect_probes: 3,
            suspicion_factor: 1.0,
            suspicion_spread: 4.0,
            confirmations: 3,
            gossip_factor: 2.0,
            fact_factor: 1.0,
            gossip_period: 100_000,
            gossip_fanout: 2,
            sync_period: 2_000_000,
            meet_period: 1_000_000,
            max_health: 8,
            starvation_threshold: 200_000,
            budget: 16_384,
            forget_after: 600_000_000,
            skip_suspicion: false,
        }
    }

    /// The duration of a suspicion with enough confirmations in a group of this size, in microseconds. It is the minimum
    /// time from the first suspicion of a silent member to its death.
    pub fn suspicion_span(&self, members: usize) -> Micros {
        let periods = self.suspicion_factor * (2.0 + (members as f64 + 1.0).ln());
        (periods * self.probe_period as f64) as Micros
    }

    /// Checks that every setting is within its range.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        if self.place >= self.peers {
            return Err(ConfigError::Place { place: self.place, peers: self.peers });
        }
        if self.epoch >= EPOCH_BOUND {
            return Err(ConfigError::Epoch(self.epoch));
        }
        let is_span = |span: Micros| (MIN_SPAN..=MAX_SPAN).contains(&span);
        let is_factor = |factor: f64| (0.1..=100.0).contains(&factor);
        let checks = [
            ("probe_period", is_span(self.probe_period)),
            ("probe_timeout", is_span(self.probe_timeout) && self.probe_timeout < self.probe_period),
            ("indirect_probes", self.indirect_probes <= 16),
            ("suspicion_factor", is_factor(self.suspicion_factor)),
            ("suspicion_spread", (1.0..=100.0).contains(&self.suspicion_spread)),
            ("confirmations", (1..=16).contains(&self.confirmations)),
            ("gossip_factor", is_factor(self.gossip_factor)),
            ("fact_factor", is_factor(self.fact_factor)),
            ("gossip_period", is_span(self.gossip_period)),
            ("gossip_fanout", (1..=16).contains(&self.gossip_fanout)),
            ("sync_period", is_span(self.sync_period)),
            ("meet_period", is_span(self.meet_period)),
            ("max_health", self.max_health <= 32),
            ("starvation_threshold", is_span(self.starvation_threshold)),
            ("budget", self.budget >= 1_024),
            ("forget_after", is_span(self.forget_after)),
        ];
        checks.iter().find(|(_, holds)| !holds).map_or(Ok(()), |(name, _)| Err(ConfigError::Range(name)))
    }
}
