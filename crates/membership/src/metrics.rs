//! Counters and gauges of a member.

/// What was counted since the start, and what is now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams received and understood.
    pub received: u64,
    /// Bytes of all datagrams received.
    pub received_bytes: u64,
    /// Refused: longer than [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
    pub refused_long: u64,
    /// Refused: of another version.
    pub refused_version: u64,
    /// Refused: from a place that is not among the peers, or about one.
    pub refused_foreign: u64,
    /// Refused: cut short, or not to be understood.
    pub refused_malformed: u64,
    /// Refused: from an earlier epoch of its sender, or a record about an earlier epoch of a place.
    pub refused_stale: u64,
    /// Datagrams that the budget did not allow.
    pub over_budget: u64,
    /// Probes begun.
    pub probes: u64,
    /// Probes that were not answered, neither directly nor through others.
    pub probes_failed: u64,
    /// Suspicions begun here, by own probes or by records received.
    pub suspected: u64,
    /// Deaths declared here.
    pub declared_dead: u64,
    /// Times this member raised its epoch or incarnation to refute.
    pub refuted: u64,
    /// Times a tick or datagram came much later than the wake that was wanted.
    pub starved: u64,
    /// Local health score after Lifeguard: 0 is healthy; timeouts of probes are this plus one times as long.
    pub health: u32,
    /// Facts published by this member.
    pub facts_published: u64,
    /// Facts of others that were new here.
    pub facts_received: u64,
    /// Facts refused since their place has too many.
    pub facts_refused: u64,
    /// Facts held now, own ones too.
    pub facts_held: u64,
    /// Exchanges of digests begun.
    pub syncs: u64,
}
