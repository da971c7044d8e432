//! Who is there, and the facts that members carry for each other; no sockets, no clock.
//!
//! A [`Membership`] is a state machine: datagrams and time go in, datagrams, changes of the view and facts come out
//! ([`Membership::poll`]). Time is microseconds of the caller's own monotonic clock; what looks random comes from
//! [`Config::seed`], so that the same inputs give the same outputs. The protocol is SWIM (Das, Gupta, Motivala 2002) with
//! the refinements of Lifeguard (Dadgar, Phillips, Currey 2017); docs/design/membership.md says what differs and why.
//!
//! Members are named by their **place**: their index in the list of peers that all of a group are configured with. A process
//! that starts at a place has an **epoch** (its start in Unix milliseconds); within it the member raises its **incarnation** to
//! refute a suspicion. A **fact** is a few bytes that a member publishes under a kind and a slot; this crate carries it and
//! knows nothing of what it says.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod facts;
mod hash;
mod member;
mod metrics;
pub mod partition;
pub mod simulation;
mod update_queue;
mod view;
mod wire;

pub use config::{Config, ConfigError};
pub use member::Membership;
pub use metrics::Metrics;
pub use view::{Change, Member, State, View};

/// Microseconds of the caller's monotonic clock, or a span of it.
pub type Micros = u64;

/// The longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The first byte of every datagram: the version of its encoding.
pub const VERSION: u8 = 0xF1;
/// The longest that the bytes of a fact may be. docs/design/parts.md has it too: the crates that encode facts know it from
/// there, and not this carrier.
pub const MAX_FACT_BYTES: usize = 160;
/// The most facts of one member, over all kinds and slots.
pub const MAX_FACTS_PER_MEMBER: usize = 4096;

/// What there is to do, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram, at most [`MAX_DATAGRAM_BYTES`] long, to the address of this place.
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
    /// The place that published it.
    pub place: u16,
    /// The start of the process that published it, in milliseconds of Unix time.
    pub epoch: u64,
    /// What it is about: a later one of the same kind, place and slot replaces it.
    pub slot: u32,
    /// Grows with each fact that a place publishes in an epoch.
    pub number: u64,
    /// At most [`MAX_FACT_BYTES`].
    pub bytes: &'a [u8],
}

/// A fact that owns its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedFact {
    /// Whose encoding the bytes are in.
    pub kind: u8,
    /// The place that published it.
    pub place: u16,
    /// The start of the process that published it, in milliseconds of Unix time.
    pub epoch: u64,
    /// What it is about: a later one of the same kind, place and slot replaces it.
    pub slot: u32,
    /// Grows with each fact that a place publishes in an epoch.
    pub number: u64,
    /// At most [`MAX_FACT_BYTES`].
    pub bytes: Vec<u8>,
}

/// Why a fact was not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FactError {
    /// The bytes are too many.
    #[error("a fact of {0} bytes, where {MAX_FACT_BYTES} are the most")]
    TooLong(usize),
    /// All slots are in use, and none of them is this one.
    #[error("all {MAX_FACTS_PER_MEMBER} slots are in use; tell less, or of slots told before")]
    Full,
    /// This member has left.
    #[error("the member has left")]
    Left,
}
