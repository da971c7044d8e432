//! The datagram relay.
//!
//! The relay has one **relay socket** for each dispatcher, whose address is that dispatcher's entry in `peers` of all others. When
//! a datagram arrives at the relay socket of its receiver, the relay identifies the sender by its source address, applies the
//! faults of that ordered pair, and forwards the datagram to the receiver from the relay socket of the sender. So datagrams come
//! from the address in `peers`, as the protocol requires.

use super::datagram_faults::{DatagramFaults, Pair};
use super::event_log::{Clock, Event, EventLog};
use super::partition::{CutSides, cut_sides};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// The maximum length of a datagram of a dispatcher, in bytes.
pub const MAX_DATAGRAM_LENGTH: usize = 256;
/// The maximum number of datagrams in flight. Further ones are dropped, as by a full queue.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 1 << 16;
/// The maximum number of bytes that are read of a datagram: enough to recognize datagrams that are too long.
const RECEIVED_LENGTH: usize = 2048;
/// The system's receive buffer of each relay socket, in bytes.
const RECEIVE_BUFFER_SIZE: usize = 1 << 20;

/// Datagrams of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCount {
    /// The number of datagrams.
    pub datagrams: u64,
    /// The bytes of these datagrams.
    pub bytes: u64,
}

/// The datagrams that one dispatcher sent, and those delivered to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatagramTotals {
    /// Datagrams sent; a broadcast counts once for each receiver.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams delivered to the dispatcher.
    pub delivered: u64,
    /// Bytes of the datagrams delivered.
    pub delivered_bytes: u64,
    /// Datagrams sent that were dropped.
    pub dropped: u64,
    /// Datagrams sent that were too long.
    pub too_long: u64,
    /// Datagrams sent, by their first byte.
    pub by_first_byte: BTreeMap<u8, DatagramCount>,
}

impl DatagramTotals {
    /// Counts a datagram that the dispatcher sent; `copies` is 0 if it was dropped.
    fn count_sent(&mut self, bytes: &[u8], copies: usize) {
        let length = bytes.len() as u64;
        self.sent += 1;
        self.sent_bytes += length;
        self.dropped += u64::from(copies == 0);
        self.too_long += u64::from(bytes.len() > MAX_DATAGRAM_LENGTH);
        let kind = self.by_first_byte.entry(bytes.first().copied().unwrap_or(0)).or_default();
        kind.datagrams += 1;
        kind.bytes += length;
    }

    /// Counts the copies of a datagram that are delivered to the dispatcher, now or later.
    fn count_delivered(&mut self, bytes: &[u8], copies: usize) {
        self.delivered += copies as u64;
        self.delivered_bytes += (copies * bytes.len()) as u64;
    }
}

struct Inner {
    /// The ordered pairs of dispatchers, by sender and then by receiver.
    pairs: Vec<Pair>,
    /// The totals, by dispatcher.
    totals: Vec<DatagramTotals>,
    from_unknown_senders: u64,
}

/// The seed of the random draws of an ordered pair, by the number of the pair.
fn pair_seed(seed: u64, number: usize) -> u64 {
    seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The datagram relay of a fleet. The methods take dispatchers by number from 0. They panic if there is no such dispatcher, or
/// if a thread of the relay has panicked.
pub struct DatagramRelay {
    /// The relay sockets for sending, by dispatcher. Sending bypasses the runtime: a datagram that cannot be sent at once is lost.
    relay_sockets: Vec<std::net::UdpSocket>,
    /// The addresses of the relay sockets.
    addresses: Vec<SocketAddr>,
    /// The addresses at which the dispatchers themselves listen.
    own: Vec<SocketAddr>,
    broadcast: SocketAddr,
    inner: Mutex<Inner>,
    in_flight: Arc<tokio::sync::Semaphore>,
    event_log: Arc<EventLog>,
    clock: Clock,
}

impl DatagramRelay {
    /// `own` are the addresses of the dispatchers; `relay_sockets` and `broadcast` are the sockets of the relay.
    pub(super) fn start(
        runtime: &Handle,
        own: Vec<SocketAddr>,
        relay_sockets: Vec<std::net::UdpSocket>,
        broadcast: &std::net::UdpSocket,
        seed: u64,
        event_log: Arc<EventLog>,
    ) -> std::io::Result<Arc<DatagramRelay>> {
        let _inside = runtime.enter();
        let addresses =
            relay_sockets.iter().map(std::net::UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
        let broadcast_address = broadcast.local_addr()?;
        let socket = |socket: &std::net::UdpSocket| {
            socket.set_nonblocking(true)?;
            let _ = socket2::SockRef::from(socket).set_recv_buffer_size(RECEIVE_BUFFER_SIZE);
            UdpSocket::from_std(socket.try_clone()?)
        };
        let sockets = relay_sockets.iter().map(socket).collect::<Result<Vec<_>, _>>()?;
        let broadcast = socket(broadcast)?;
        let size = own.len();
        let pair = |number| Pair::new(pair_seed(seed, number));
        let inner = Inner {
            pairs: (0..size * size).map(pair).collect(),
            totals: vec![DatagramTotals::default(); size],
            from_unknown_senders: 0,
        };
        let relay = Arc::new(DatagramRelay {
            relay_sockets,
            addresses,
            own,
            broadcast: broadcast_address,
            inner: Mutex::new(inner),
            in_flight: Arc::new(tokio::sync::Semaphore::new(MAX_DATAGRAMS_IN_FLIGHT)),
            clock: event_log.clock,
            event_log,
        });
        for (to, socket) in sockets.into_iter().enumerate() {
            let relay = relay.clone();
            runtime.spawn(async move { relay.listen(&socket, Some(to)).await });
        }
        let shared = relay.clone();
        runtime.spawn(async move { shared.listen(&broadcast, None).await });
        Ok(relay)
    }

    /// Forwards the datagrams that arrive at a socket: to the dispatcher `to`, or to all but the sender if that is `None`.
    async fn listen(self: &Arc<Self>, socket: &UdpSocket, to: Option<usize>) {
        let mut buffer = [0; RECEIVED_LENGTH];
        loop {
            // An error reports that an earlier datagram reached a closed port.
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            let Some(from) = self.own.iter().position(|own| *own == from) else {
                self.inner().from_unknown_senders += 1;
                continue;
            };
            match to {
                Some(to) => self.forward(from, to, &buffer[..length]),
                None => (0..self.own.len())
                    .filter(|to| *to != from)
                    .for_each(|to| self.forward(from, to, &buffer[..length])),
            }
        }
    }

    /// Forwards a datagram, immediately or later, with the faults of its ordered pair.
    fn forward(self: &Arc<Self>, from: usize, to: usize, bytes: &[u8]) {
        let now = self.clock.now();
        if bytes.len() > MAX_DATAGRAM_LENGTH {
            self.event_log.add_at(now, Event::LongDatagram { dispatcher: from, length: bytes.len() });
        }
        for delay in self.draw_delays(now, from, to, bytes) {
            if delay == 0 {
                self.send_from(from, to, bytes);
            } else {
                self.forward_later(Duration::from_micros(delay), from, to, bytes);
            }
        }
    }

    /// Draws the delay of each copy of a datagram, in microseconds, and counts the datagram.
    fn draw_delays(&self, now: u64, from: usize, to: usize, bytes: &[u8]) -> Vec<u64> {
        let mut inner = self.inner();
        let delays = inner.pairs[self.pair_number(from, to)].delays(now, bytes.len());
        inner.totals[from].count_sent(bytes, delays.len());
        inner.totals[to].count_delivered(bytes, delays.len());
        delays
    }

    fn forward_later(self: &Arc<Self>, delay: Duration, from: usize, to: usize, bytes: &[u8]) {
        let Ok(permit) = self.in_flight.clone().try_acquire_owned() else { return };
        let (relay, bytes) = (self.clone(), bytes.to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            relay.send_from(from, to, &bytes);
            drop(permit);
        });
    }

    /// Sends bytes to a dispatcher from the relay socket of another.
    fn send_from(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.relay_sockets[from].send_to(bytes, self.own[to]);
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("mutex poisoned")
    }

    fn pair_number(&self, from: usize, to: usize) -> usize {
        from * self.own.len() + to
    }

    /// The addresses of all relay sockets: `peers` of the configuration, the same for all dispatchers.
    pub fn peers(&self) -> Value {
        json!(self.addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>())
    }

    /// The broadcast address, which reaches all dispatchers but the sender: `peers_all` of the configuration.
    pub fn broadcast_address(&self) -> SocketAddr {
        self.broadcast
    }

    /// Sets the faults of datagrams from one dispatcher to another. Cuts are not affected.
    pub fn set(&self, from: usize, to: usize, faults: DatagramFaults) {
        self.inner().pairs[self.pair_number(from, to)].faults = faults;
    }

    /// Sets the faults of every ordered pair.
    pub fn set_all(&self, faults: DatagramFaults) {
        self.inner().pairs.iter_mut().for_each(|pair| pair.faults = faults);
    }

    /// Cuts one direction: no datagram of `from` reaches any of `to`.
    pub fn cut_one_way(&self, from: &[usize], to: &[usize]) {
        let mut inner = self.inner();
        for from in from {
            for to in to {
                inner.pairs[self.pair_number(*from, *to)].is_cut = true;
            }
        }
    }

    /// Partitions the dispatchers into these sides. Those on no side can be reached by all. Any earlier cut is healed first.
    pub fn partition(&self, sides: &[&[usize]]) {
        self.heal();
        for CutSides { from, to } in cut_sides(sides) {
            self.cut_one_way(from, to);
        }
    }

    /// Ends all cuts and partitions; other faults stay.
    pub fn heal(&self) {
        self.inner().pairs.iter_mut().for_each(|pair| pair.is_cut = false);
    }

    /// Sends bytes to a dispatcher as if they came from another, without faults or counts.
    pub fn forge(&self, from: usize, to: usize, bytes: &[u8]) {
        self.send_from(from, to, bytes);
    }

    /// The totals of each dispatcher so far, by number.
    pub fn totals(&self) -> Vec<DatagramTotals> {
        self.inner().totals.clone()
    }

    /// The number of datagrams from senders outside the fleet.
    pub fn from_unknown_senders(&self) -> u64 {
        self.inner().from_unknown_senders
    }
}
