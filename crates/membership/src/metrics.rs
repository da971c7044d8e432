//! Counters and gauges of a member.

/// Counters since the start, and current gauges.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of all datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received and decoded.
    pub received: u64,
    /// Bytes of all datagrams received.
    pub received_bytes: u64,
    /// Datagrams refused because they were longer than [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
    pub refused_long: u64,
    /// Datagrams refused because they were of another version.
    pub refused_version: u64,
    /// Datagrams refused because they were from or about a place that is not among the peers.
    pub refused_foreign: u64,
    /// Datagrams refused because they were truncated or could not be decoded.
    pub refused_malformed: u64,
    /// Datagrams refused because they were from an earlier epoch of their sender, and records refused because they were about an
    /// earlier epoch of a place.
    pub refused_stale: u64,
    /// Datagrams not sent because of the budget.
    pub over_budget: u64,
    /// Probes begun.
    pub probes: u64,
    /// Probes that were answered neither directly nor through others.
    pub probes_failed: u64,
    /// Suspicions begun by this member, after its own probes or after records received.
    pub suspected: u64,
    /// Deaths declared by this member.
    pub declared_dead: u64,
    /// How often this member raised its epoch or incarnation to refute a record.
    pub refuted: u64,
    /// How often a tick or datagram came much later than the requested wake.
    pub starved: u64,
    /// The local health score (Lifeguard): 0 is healthy. Timeouts of probes are multiplied by this plus one.
    pub health: u32,
    /// Facts published by this member.
    pub facts_published: u64,
    /// New facts of other members.
    pub facts_received: u64,
    /// Facts refused because their place has [`MAX_FACTS_PER_MEMBER`](crate::MAX_FACTS_PER_MEMBER) later ones.
    pub facts_refused: u64,
    /// Facts held at present, including this member's own.
    pub facts_held: u64,
    /// Anti-entropy exchanges begun.
    pub syncs: u64,
}
