//! Who is there, and the facts that members carry for each other; no sockets, no clock.
//!
//! A [`Membership`] is a state machine: datagrams and time go in, datagrams, changes of the view and facts come out
//! ([`Membership::poll`]). Time is microseconds of the caller's own monotonic clock; what looks random comes from
//! [`Config::seed`], so that the same inputs give the same outputs. The protocol is SWIM (Das, Gupta, Motivala 2002) with
//! the refinements of Lifeguard (Dadgar, Phillips, Currey 2017); docs/design/membership.md says what differs and why.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod facts;
mod invariant;
mod member;
pub mod model;
mod queue;
pub mod share;
mod sync;
mod view;
mod wire;

pub use config::{Config, ConfigError};
pub use invariant::broken;
pub use member::Membership;
pub use view::{Change, Member, State, View};

/// Microseconds of the caller's monotonic clock, or a span of it.
pub type Micros = u64;

/// The longest datagram, in bytes.
pub const MOST: usize = 256;
/// The first byte of every datagram: the version of its encoding.
pub const VERSION: u8 = 0xF1;
/// The longest that the bytes of a fact may be.
pub const FACT_BYTES: usize = 160;
/// The most live slots of one member, over all kinds.
pub const FACT_SLOTS: usize = 4096;

/// What there is to do, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram, at most [`MOST`] bytes, to the address of this place.
    Send {
        /// The receiver's place.
        to: u16,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// The view has changed.
    Changed(Change),
    /// A fact of another member (or of an earlier epoch of one's own place) is new here.
    Fact(OwnedFact),
}

/// A fact as it is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fact<'a> {
    /// Whose encoding the bytes are in.
    pub kind: u8,
    /// The teller.
    pub place: u16,
    /// The teller's start.
    pub epoch: u64,
    /// What it is about: a later one of the same kind, place and slot replaces it.
    pub slot: u32,
    /// Grows with each fact of the teller in an epoch.
    pub number: u64,
    /// At most [`FACT_BYTES`].
    pub bytes: &'a [u8],
}

/// A fact by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedFact {
    /// Whose encoding the bytes are in.
    pub kind: u8,
    /// The teller.
    pub place: u16,
    /// The teller's start.
    pub epoch: u64,
    /// What it is about: a later one of the same kind, place and slot replaces it.
    pub slot: u32,
    /// Grows with each fact of the teller in an epoch.
    pub number: u64,
    /// At most [`FACT_BYTES`].
    pub bytes: Vec<u8>,
}

/// Why a fact was not taken from its teller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FactError {
    /// The bytes are too many.
    #[error("a fact of {0} bytes, where {FACT_BYTES} are the most")]
    TooLong(usize),
    /// All slots are in use, and none of them is this one.
    #[error("all {FACT_SLOTS} slots are in use; tell less, or of slots told before")]
    Full,
    /// This member has left.
    #[error("the member has left")]
    Left,
}

/// What was counted since the start, and what is now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams received and understood.
    pub received: u64,
    /// Bytes of all datagrams received.
    pub received_bytes: u64,
    /// Refused: longer than [`MOST`].
    pub refused_long: u64,
    /// Refused: of another version.
    pub refused_version: u64,
    /// Refused: from a place that is not among the peers, or about one.
    pub refused_foreign: u64,
    /// Refused: cut short, or not to be understood.
    pub refused_malformed: u64,
    /// Refused: from an earlier epoch of its sender.
    pub refused_stale: u64,
    /// Datagrams that the budget did not allow.
    pub over_budget: u64,
    /// Probes begun.
    pub probes: u64,
    /// Probes that nobody answered, neither the member nor through others.
    pub probes_failed: u64,
    /// Suspicions begun here, by own probes or others' word.
    pub suspected: u64,
    /// Deaths declared here.
    pub declared_dead: u64,
    /// Times this member raised its incarnation to refute.
    pub refuted: u64,
    /// Times a tick or datagram came much later than the wake asked for.
    pub starved: u64,
    /// Local health: 0 is well; spans of probes are this much plus one times as long.
    pub health: u32,
    /// Facts told by this member.
    pub facts_told: u64,
    /// Facts of others that were new here.
    pub facts_taken: u64,
    /// Facts refused since their teller has too many.
    pub facts_refused: u64,
    /// Facts held now, own ones too.
    pub facts_held: u64,
    /// Exchanges of digests begun.
    pub syncs: u64,
}
