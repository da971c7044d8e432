//! A link from a dispatcher to a worker or to discovery: its faults, and its connections as the far side sees them.

use super::event_log::{Clock, Event, EventLog};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// The maximum number of recorded offsets of received bytes.
const MAX_RECEIVED_MARKS: usize = 4096;

/// The far side of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkTarget {
    /// The worker with this number.
    Worker(usize),
    /// The discovery service.
    Discovery,
}

/// The behaviour of a link towards new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectBehavior {
    /// New connections are established.
    #[default]
    Up,
    /// New connections are refused, as if nothing listened.
    Refused,
    /// New connections are established and reset at once.
    Reset,
    /// New connections are established, but no bytes are forwarded. They are reset once the behaviour changes.
    Silent,
    /// New connections are not established until the behaviour changes, as with an unreachable machine.
    Unreachable,
}

/// The faults of one link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// The behaviour towards new connections.
    pub connect: ConnectBehavior,
    /// Whether bytes from the dispatcher are held back on established connections.
    pub stall_out: bool,
    /// Whether bytes to the dispatcher are held back on established connections.
    pub stall_in: bool,
    /// The minimum delay of each piece, in each direction.
    pub delay: Duration,
    /// The maximum random addition to `delay`; the order of pieces is kept.
    pub jitter: Duration,
    /// The maximum rate in each direction, in bytes per second, if there is a limit.
    pub rate: Option<u64>,
}

impl LinkFaults {
    /// An unreachable machine: established connections are silent, and new ones are not established.
    pub const CUT: LinkFaults = LinkFaults {
        connect: ConnectBehavior::Unreachable,
        stall_out: true,
        stall_in: true,
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        rate: None,
    };
}

/// The direction of bytes, as seen from the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    Out,
    In,
}

/// The current state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LinkState {
    pub(super) faults: LinkFaults,
    is_cut: bool,
    /// The number of times that all connections were reset.
    pub(super) resets: u64,
    /// The number of times that the far sides of all connections were dropped.
    pub(super) far_side_drops: u64,
}

impl LinkState {
    pub(super) fn connect_behavior(&self) -> ConnectBehavior {
        if self.is_cut { ConnectBehavior::Unreachable } else { self.faults.connect }
    }

    pub(super) fn is_stalled(&self, direction: Direction) -> bool {
        let stall = match direction {
            Direction::Out => self.faults.stall_out,
            Direction::In => self.faults.stall_in,
        };
        self.is_cut || stall
    }

    /// Whether bytes are forwarded in both directions.
    pub(super) fn flows(&self) -> bool {
        !self.is_stalled(Direction::Out) && !self.is_stalled(Direction::In)
    }

    fn is_silent(&self) -> bool {
        self.is_stalled(Direction::Out) || self.connect_behavior() == ConnectBehavior::Unreachable
    }
}

/// The two ends of a link, with their addresses.
#[derive(Clone, Copy)]
pub(super) struct LinkRoute {
    pub(super) dispatcher: usize,
    pub(super) to: LinkTarget,
    /// The address of the relay.
    pub(super) address: SocketAddr,
    /// The address of the far side.
    pub(super) target: SocketAddr,
}

/// A link from a dispatcher.
pub struct Link {
    /// The number of the dispatcher.
    pub dispatcher: usize,
    /// The far side.
    pub to: LinkTarget,
    /// The address to which the dispatcher connects.
    pub address: SocketAddr,
    pub(super) target: SocketAddr,
    pub(super) state: watch::Sender<LinkState>,
    pub(super) seed: u64,
}

impl Link {
    pub(super) fn new(route: LinkRoute, seed: u64) -> Arc<Link> {
        let LinkRoute { dispatcher, to, address, target } = route;
        Arc::new(Link {
            dispatcher,
            to,
            address,
            target,
            state: watch::Sender::new(LinkState::default()),
            seed,
        })
    }

    /// Sets the faults of the link from now on.
    pub fn set(&self, faults: LinkFaults) {
        self.state.send_modify(|state| state.faults = faults);
    }

    /// Cuts the link in addition to its faults, or ends the cut.
    pub fn set_cut(&self, is_cut: bool) {
        self.state.send_modify(|state| state.is_cut = is_cut);
    }

    /// Resets all connections, on both sides.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Ends all connections on the far side. On the dispatcher's side they stay open and silent.
    pub fn drop_far_side(&self) {
        self.state.send_modify(|state| state.far_side_drops += 1);
    }

    /// Whether the link is unreachable or bytes from the dispatcher are held back. Callbacks of the worker then fail, too.
    pub fn is_silent(&self) -> bool {
        self.state.borrow().is_silent()
    }

    /// Waits until the link is no longer silent.
    pub(super) async fn wait_until_not_silent(&self) {
        let _ = self.state.subscribe().wait_for(|state| !state.is_silent()).await;
    }
}

/// The number of bytes that had been received from the dispatcher at the time `at`.
struct ReceivedMark {
    total: u64,
    at: u64,
}

/// The number of bytes written to the dispatcher, and the events to log once more bytes are written.
#[derive(Default)]
struct Written {
    total: u64,
    pending: VecDeque<PendingEvent>,
}

/// An event to log once this many bytes are written.
struct PendingEvent {
    total: u64,
    event: Event,
}

/// One connection through a link, as the far side sees it.
pub(super) struct RelayedConnection {
    pub(super) link: Arc<Link>,
    clock: Clock,
    received: Mutex<VecDeque<ReceivedMark>>,
    written: Mutex<Written>,
}

impl RelayedConnection {
    pub(super) fn new(link: Arc<Link>, clock: Clock) -> Arc<RelayedConnection> {
        let (received, written) = (Mutex::default(), Mutex::default());
        Arc::new(RelayedConnection { link, clock, received, written })
    }

    /// The time at which the byte at this offset was received from the dispatcher. Offsets must not decrease between calls.
    pub(super) fn received_at(&self, offset: u64) -> u64 {
        let mut received = self.received.lock().expect("mutex poisoned");
        while received.front().is_some_and(|mark| mark.total <= offset) {
            received.pop_front();
        }
        received.front().map_or_else(|| self.clock.now(), |mark| mark.at)
    }

    pub(super) fn on_received(&self, total: u64, at: u64) {
        let mut received = self.received.lock().expect("mutex poisoned");
        if received.len() >= MAX_RECEIVED_MARKS {
            received.pop_front();
        }
        received.push_back(ReceivedMark { total, at });
    }

    /// Logs this event once this many bytes have been written to the dispatcher.
    pub(super) fn log_once_written(&self, total: u64, event: Event, event_log: &EventLog) {
        let mut written = self.written.lock().expect("mutex poisoned");
        if written.total >= total {
            event_log.add(event);
        } else {
            written.pending.push_back(PendingEvent { total, event });
        }
    }

    pub(super) fn on_written(&self, length: usize, event_log: &EventLog) {
        let mut written = self.written.lock().expect("mutex poisoned");
        written.total += length as u64;
        let total = written.total;
        while written.pending.front().is_some_and(|pending| pending.total <= total) {
            if let Some(pending) = written.pending.pop_front() {
                event_log.add(pending.event);
            }
        }
    }
}
