//! A link from a dispatcher to a worker or to discovery: its faults, and a connection across it as the far side sees it.

use super::event_log::{Clock, Event, EventLog};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Offsets of received bytes that are remembered.
const MAX_RECEIVED_MARKS: usize = 4096;

/// Where a link from a dispatcher leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkTarget {
    /// To this worker.
    Worker(usize),
    /// To the discovery service.
    Discovery,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectBehavior {
    /// It comes up.
    #[default]
    Up,
    /// It is refused: nothing listens.
    Refused,
    /// It comes up and is reset at once.
    Reset,
    /// It comes up, and nothing is read or written; reset once this is over.
    Silent,
    /// It never comes up while this lasts, as to a machine that is cut off.
    Unreachable,
}

/// The faults of one link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// What becomes of new connections.
    pub connect: ConnectBehavior,
    /// Bytes of a dispatcher stay where they are, on connections that are up.
    pub stall_out: bool,
    /// Bytes to a dispatcher do.
    pub stall_in: bool,
    /// Each piece takes this long, in each direction ...
    pub delay: Duration,
    /// ... and up to this much more. Pieces stay in order.
    pub jitter: Duration,
    /// Bytes a second that get through in each direction, if there is a limit.
    pub rate: Option<u64>,
}

impl LinkFaults {
    /// As to a machine that is cut off: what is up goes silent, what is new never comes up.
    pub const CUT: LinkFaults = LinkFaults {
        connect: ConnectBehavior::Unreachable,
        stall_out: true,
        stall_in: true,
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        rate: None,
    };
}

/// Which way bytes go, seen from the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    Out,
    In,
}

/// What a link does to its connections now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LinkState {
    pub(super) faults: LinkFaults,
    is_cut: bool,
    /// How often all connections were reset.
    pub(super) resets: u64,
    /// How often the far sides of all connections were dropped.
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

    /// Whether bytes get through in both directions.
    pub(super) fn flows(&self) -> bool {
        !self.is_stalled(Direction::Out) && !self.is_stalled(Direction::In)
    }

    fn is_silent(&self) -> bool {
        self.is_stalled(Direction::Out) || self.connect_behavior() == ConnectBehavior::Unreachable
    }
}

/// From whom to whom a link leads, and by which addresses.
#[derive(Clone, Copy)]
pub(super) struct LinkRoute {
    pub(super) dispatcher: usize,
    pub(super) to: LinkTarget,
    /// Where the relay listens.
    pub(super) address: SocketAddr,
    /// Where the far side listens.
    pub(super) target: SocketAddr,
}

/// A link from a dispatcher.
pub struct Link {
    /// The dispatcher.
    pub dispatcher: usize,
    /// Where it leads.
    pub to: LinkTarget,
    /// Where the dispatcher finds it.
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

    /// From now on it has these faults.
    pub fn set(&self, faults: LinkFaults) {
        self.state.send_modify(|state| state.faults = faults);
    }

    /// Cuts it, whatever its faults are, or ends the cut.
    pub fn set_cut(&self, is_cut: bool) {
        self.state.send_modify(|state| state.is_cut = is_cut);
    }

    /// Resets all its connections, on both sides.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Ends all its connections on the far side; on the dispatcher's side they stay open and silent.
    pub fn drop_far_side(&self) {
        self.state.send_modify(|state| state.far_side_drops += 1);
    }

    /// Whether nothing gets through in either direction, such as a worker's callback.
    pub fn is_silent(&self) -> bool {
        self.state.borrow().is_silent()
    }

    /// Waits until something gets through again.
    pub(super) async fn wait_until_not_silent(&self) {
        let _ = self.state.subscribe().wait_for(|state| !state.is_silent()).await;
    }
}

/// How many bytes of the dispatcher had been received at a time.
struct ReceivedMark {
    total: u64,
    at: u64,
}

/// What was written to the dispatcher, and the events that happen once more was.
#[derive(Default)]
struct Written {
    total: u64,
    pending: VecDeque<PendingEvent>,
}

/// An event that happens once this many bytes were written.
struct PendingEvent {
    total: u64,
    event: Event,
}

/// One connection across a link, as the far side may ask about it.
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

    /// When the byte at this offset was received from the dispatcher. Offsets must not go back between calls.
    pub(super) fn received_at(&self, offset: u64) -> u64 {
        let mut received = self.received.lock().expect("a lock");
        while received.front().is_some_and(|mark| mark.total <= offset) {
            received.pop_front();
        }
        received.front().map_or_else(|| self.clock.now(), |mark| mark.at)
    }

    pub(super) fn on_received(&self, total: u64, at: u64) {
        let mut received = self.received.lock().expect("a lock");
        if received.len() >= MAX_RECEIVED_MARKS {
            received.pop_front();
        }
        received.push_back(ReceivedMark { total, at });
    }

    /// Logs this event once this many bytes have been written to the dispatcher.
    pub(super) fn log_once_written(&self, total: u64, event: Event, event_log: &EventLog) {
        let mut written = self.written.lock().expect("a lock");
        if written.total >= total {
            event_log.add(event);
        } else {
            written.pending.push_back(PendingEvent { total, event });
        }
    }

    pub(super) fn on_written(&self, length: usize, event_log: &EventLog) {
        let mut written = self.written.lock().expect("a lock");
        written.total += length as u64;
        let total = written.total;
        while written.pending.front().is_some_and(|pending| pending.total <= total) {
            if let Some(pending) = written.pending.pop_front() {
                event_log.add(pending.event);
            }
        }
    }
}
