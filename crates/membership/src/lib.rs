//! Group membership with failure detection, and the dissemination of facts among the members.
//!
//! The crate has no sockets and reads no clock. A [`Membership`] is a state machine: its inputs are datagrams and the time;
//! its outputs are datagrams, changes of the view and facts ([`Membership::poll`]). Time is in microseconds of the caller's
//! monotonic clock. All random choices come from [`Config::seed`], so the same inputs give the same outputs. The protocol
//! is SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey 2017);
//! docs/design/membership.md says what differs and why.
//!
//! A member is identified by its **place**: its index in the list of peers that all members of a group are configured with.
//! A process that starts at a place has an **epoch**, which is its start in Unix milliseconds. Within an epoch, the member
//! raises its **incarnation** to refute a suspicion. A **fact** is a few bytes that a member publishes under a kind and a
//! slot. This crate carries facts and does not interpret them.
//!
//! ```
//! use mothproxy_membership::{Config, Membership, Output, State};
//!
//! const EPOCH: u64 = 1_764_633_600_000;
//! let mut first = Membership::new(Config::new(0, 2, EPOCH, 1), 0)?;
//! let mut second = Membership::new(Config::new(1, 2, EPOCH, 2), 0)?;
//! // The first member probes the absent place 1 when its timer is due. The datagram makes it known to the second.
//! let mut now = 0;
//! while second.view().state(0) != State::Alive {
//!     now = first.next_wake();
//!     first.tick(now);
//!     while let Some(output) = first.poll() {
//!         if let Output::Send { to: 1, bytes } = output {
//!             second.receive(now, 0, &bytes);
//!         }
//!     }
//! }
//! // The second member answers.
//! assert!(matches!(second.poll(), Some(Output::Changed(change)) if change.to == State::Alive));
//! assert!(matches!(second.poll(), Some(Output::Send { to: 0, .. })));
//! # Ok::<(), mothproxy_membership::ConfigError>(())
//! ```
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

/// A point in time of the caller's monotonic clock, or a span, in microseconds.
pub type Micros = u64;

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The first byte of every datagram: the version of its encoding.
pub const VERSION: u8 = 0xF1;
/// The maximum length of a fact, in bytes. docs/design/parts.md states it too: the crates that encode facts rely on that page
/// and do not depend on this crate.
pub const MAX_FACT_BYTES: usize = 160;
/// The maximum number of facts of one member, over all kinds and slots.
pub const MAX_FACTS_PER_MEMBER: usize = 4096;

/// An output of a member. The caller processes outputs in the order in which they come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// The caller has to send this datagram, of at most [`MAX_DATAGRAM_BYTES`], to the address of this place.
    Send {
        /// The receiver's place.
        to: u16,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// The view has changed.
    Changed(Change),
    /// A new fact arrived, from another member or from an earlier epoch of this member's own place.
    Fact(OwnedFact),
}

/// A fact that this member holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fact<'a> {
    /// The kind, which determines the encoding of the bytes.
    pub kind: u8,
    /// The place that published the fact.
    pub place: u16,
    /// The start of the process that published the fact, in milliseconds of Unix time.
    pub epoch: u64,
    /// The subject of the fact: a later fact with the same kind, place and slot replaces it.
    pub slot: u32,
    /// The number of the fact, which grows with each fact that a place publishes in an epoch.
    pub number: u64,
    /// The payload, of at most [`MAX_FACT_BYTES`].
    pub bytes: &'a [u8],
}

/// A fact that owns its bytes; otherwise the same as [`Fact`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedFact {
    /// The kind, which determines the encoding of the bytes.
    pub kind: u8,
    /// The place that published the fact.
    pub place: u16,
    /// The start of the process that published the fact, in milliseconds of Unix time.
    pub epoch: u64,
    /// The subject of the fact: a later fact with the same kind, place and slot replaces it.
    pub slot: u32,
    /// The number of the fact, which grows with each fact that a place publishes in an epoch.
    pub number: u64,
    /// The payload, of at most [`MAX_FACT_BYTES`].
    pub bytes: Vec<u8>,
}

/// Why a fact was not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FactError {
    /// The fact is longer than [`MAX_FACT_BYTES`]. Holds its length, in bytes.
    #[error("the fact has {0} bytes, and the limit is {MAX_FACT_BYTES} bytes")]
    TooLong(usize),
    /// This member has published facts in [`MAX_FACTS_PER_MEMBER`] other slots.
    #[error("all {MAX_FACTS_PER_MEMBER} fact slots of this member are in use; publish to one of them")]
    Full,
    /// This member has left.
    #[error("this member has left the group")]
    Left,
}
