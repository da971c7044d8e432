//! The numbers by which epoll and the core's timer queue identify the source of an event.
//!
//! Connections use the numbers from 0 up, made of a slot of the connection table and its generation. Every other source has a
//! fixed number at the top of the range, which no connection reaches because a generation has 31 bits.

use crate::core::TimerToken;

/// The source of an epoll event. For a connection, the token holds its slot in the table and the slot's generation, which counts
/// earlier uses. So an event of an earlier connection is never applied to the next connection in the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Token(pub(super) u64);

impl Token {
    /// Creates the token of the connection in a slot, for a generation of the slot.
    pub(super) fn new(slot: usize, generation: u32) -> Token {
        Token(u64::from(generation) << 32 | slot as u64)
    }

    /// The timer of a connection's deadline.
    pub(super) fn timer(self) -> TimerToken {
        TimerToken(self.0)
    }

    /// The connection whose timer this is.
    pub(super) fn from_timer(timer: TimerToken) -> Token {
        Token(timer.0)
    }

    /// The slot of a connection's token.
    pub(super) fn slot(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }
}

// Descriptors of the event loop other than connections.
pub(super) const PLATFORM: Token = Token(u64::MAX);
pub(super) const SSE: Token = Token(u64::MAX - 1);
pub(super) const SIGNAL: Token = Token(u64::MAX - 2);
pub(super) const PEERS: Token = Token(u64::MAX - 3);
pub(super) const ADMIN: Token = Token(u64::MAX - 4);
pub(super) const RESTART_SOCKET: Token = Token(u64::MAX - 10);
pub(super) const PEER_PROCESS: Token = Token(u64::MAX - 11);
pub(super) const IDEMPOTENCY_STORE: Token = Token(u64::MAX - 13);

// Timers of the core that belong to no connection. Timers due at the same time fire in the order of these numbers.
pub(super) const METRICS_TIMER: TimerToken = TimerToken(u64::MAX - 5);
pub(super) const SHUTDOWN_TIMER: TimerToken = TimerToken(u64::MAX - 6);
pub(super) const ACCEPT_TIMER: TimerToken = TimerToken(u64::MAX - 7);
pub(super) const PEER_TIMER: TimerToken = TimerToken(u64::MAX - 8);
pub(super) const DRAIN_TIMER: TimerToken = TimerToken(u64::MAX - 9);
pub(super) const HANDOVER_TIMER: TimerToken = TimerToken(u64::MAX - 12);
pub(super) const STREAM_SWEEP_TIMER: TimerToken = TimerToken(u64::MAX - 14);
pub(super) const WATCH_TIMER: TimerToken = TimerToken(u64::MAX - 15);
pub(super) const FLEET_TIMER: TimerToken = TimerToken(u64::MAX - 16);
pub(super) const PACING_TIMER: TimerToken = TimerToken(u64::MAX - 17);
pub(super) const FULL_LIST_TIMER: TimerToken = TimerToken(u64::MAX - 21);
pub(super) const STALE_LIST_TIMER: TimerToken = TimerToken(u64::MAX - 22);
pub(super) const LIST_TIMER: TimerToken = TimerToken(u64::MAX - 23);
