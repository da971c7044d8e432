//! Settings of a member.

use crate::Micros;

/// Settings of a member; all members of a group should have the same spans, factors and budgets.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// This member's place.
    pub place: u16,
    /// How many places there are; the caller knows their addresses.
    pub peers: u16,
    /// Milliseconds of Unix time at the start of this process.
    pub epoch: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// How long after one probe the next begins, each of another member (SWIM's protocol period).
    pub probe_period: Micros,
    /// A probe that is not acknowledged within this is repeated through other members.
    pub probe_timeout: Micros,
    /// Through how many others an unacknowledged probe is repeated (SWIM's `ping-req` targets).
    pub indirect_probes: u32,
    /// A suspicion that enough others have confirmed lasts `suspicion_factor * (2 + ln(members + 1)) * probe_period`.
    pub suspicion_factor: f64,
    /// A suspicion that nobody has confirmed lasts this many times as long.
    pub suspicion_spread: f64,
    /// So many independent confirmations shorten a suspicion to the least (Lifeguard).
    pub confirmations: u32,
    /// A change of the view is passed on `gossip_factor * ln(members + 1)` times, rounded up.
    pub gossip_factor: f64,
    /// The same for a fact; what is missed then comes by anti-entropy.
    pub fact_factor: f64,
    /// How long after one round of gossip the next goes out while there are updates, beside those that go with probes.
    pub gossip_period: Micros,
    /// To how many members a round of gossip goes.
    pub gossip_fanout: u32,
    /// How long after one anti-entropy exchange the next begins.
    pub sync_period: Micros,
    /// How long after one place that is unknown, dead or has left is probed the next one is: by these probes the sides of a
    /// healed network partition find each other.
    pub meet_period: Micros,
    /// The greatest local health score (Lifeguard); timeouts of probes are at most this plus one times as long.
    pub max_health: u32,
    /// A wake that comes later than wanted by more than this means that the process was starved of CPU time.
    pub starvation_threshold: Micros,
    /// Bytes a second that may be sent, as payload of datagrams.
    pub budget: u32,
    /// For how long the facts of a member that is dead or has left are kept.
    pub forget_after: Micros,
    /// A deliberate fault for tests of the tests: a probe that fails is a death, with no suspicion.
    #[doc(hidden)]
    pub skip_suspicion: bool,
}

/// Why a configuration can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The own place is not among the peers.
    #[error("place {place} is not among {peers} peers; set `me` below their number")]
    Place {
        /// The own place.
        place: u16,
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

/// The shortest and longest spans that make sense: a millisecond and a day.
const MIN_SPAN: Micros = 1_000;
const MAX_SPAN: Micros = 86_400_000_000;

/// Epochs are below this (the year 10889), so that a forged one can't shut a member out for good.
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

    /// How long a suspicion lasts that enough others have confirmed, among so many members: the least time from the first
    /// suspicion of a silent member to its death.
    pub fn suspicion_span(&self, members: usize) -> Micros {
        let periods = self.suspicion_factor * (2.0 + (members as f64 + 1.0).ln());
        (periods * self.probe_period as f64) as Micros
    }

    /// Whether every setting is within its range.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
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
