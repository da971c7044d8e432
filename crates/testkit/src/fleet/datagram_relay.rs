//! The datagram relay. Each dispatcher has one **face**: the address that all others know it by. What is sent to a face is
//! distinguished by its sender's address, goes through the faults of that ordered pair, and leaves for the dispatcher behind the
//! face from the face of its sender. So the sender's address in `peers` is where datagrams come from, as the protocol says.

use super::event_log::{Clock, Event, EventLog};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// The longest datagram that dispatchers may send.
pub const MAX_DATAGRAM_LENGTH: usize = 256;
/// Relayed datagrams that are remembered; the oldest are dropped first.
const MAX_RELAYED_DATAGRAMS: usize = 1 << 16;
/// Datagrams in flight: beyond that they are dropped, as by a full queue.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 1 << 16;
/// A throttled pair queues this much and drops the rest.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// What becomes of datagrams from one dispatcher to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatagramFaults {
    /// The fraction that is dropped, 0 to 1; 1 is a cut.
    pub drop: f64,
    /// The fraction that arrives twice, the second up to 5 ms after the first.
    pub repeat: f64,
    /// The fraction that is held back for up to `reorder_delay` more, so that later ones overtake it.
    pub reorder: f64,
    /// How long these may be held back.
    pub reorder_delay: Duration,
    /// Every datagram takes this long ...
    pub delay: Duration,
    /// ... and up to this much more.
    pub jitter: Duration,
    /// Bytes a second that get through, if there is a limit.
    pub rate: Option<u64>,
}

impl DatagramFaults {
    /// Nothing is wrong.
    pub const NONE: DatagramFaults = DatagramFaults {
        drop: 0.0,
        repeat: 0.0,
        reorder: 0.0,
        reorder_delay: Duration::from_millis(20),
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        rate: None,
    };
    /// Nothing gets through.
    pub const CUT: DatagramFaults = DatagramFaults { drop: 1.0, ..DatagramFaults::NONE };

    /// This fraction is lost at random.
    pub fn loss(fraction: f64) -> DatagramFaults {
        DatagramFaults { drop: fraction, ..DatagramFaults::NONE }
    }
}

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramOutcome {
    /// This many copies were passed on, now or later.
    Passed(u8),
    /// It was dropped.
    Dropped,
}

/// A datagram that reached the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedDatagram {
    /// Microseconds of the harness's clock.
    pub at: u64,
    /// Its sender.
    pub from: usize,
    /// To whom.
    pub to: usize,
    /// Its length in bytes.
    pub length: usize,
    /// Its first byte, which names the kind.
    pub first: u8,
    /// What became of it.
    pub outcome: DatagramOutcome,
}

/// What one dispatcher sent and was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatagramTotals {
    /// Datagrams that it sent, and their bytes; one to all counts once for each that it is for.
    pub sent: u64,
    /// Bytes of these.
    pub sent_bytes: u64,
    /// Datagrams delivered to it.
    pub delivered: u64,
    /// Bytes of these.
    pub delivered_bytes: u64,
    /// Those that it sent and that were dropped.
    pub dropped: u64,
    /// Those that it sent and that were too long.
    pub too_long: u64,
    /// Sent, by first byte: datagrams and bytes.
    pub by_first_byte: BTreeMap<u8, (u64, u64)>,
}

struct Pair {
    faults: DatagramFaults,
    is_cut: bool,
    rng: fastrand::Rng,
    /// A throttled pair is busy until then, in microseconds of the harness's clock.
    busy_until: u64,
}

struct Inner {
    pairs: Vec<Pair>,
    totals: Vec<DatagramTotals>,
    relayed: VecDeque<RelayedDatagram>,
    from_strangers: u64,
}

/// The relay of a whole fleet.
pub struct DatagramRelay {
    /// Sends go out past the runtime: a datagram that cannot be sent now is lost, as datagrams are.
    faces: Vec<std::net::UdpSocket>,
    addresses: Vec<SocketAddr>,
    own: Vec<SocketAddr>,
    broadcast: SocketAddr,
    inner: Mutex<Inner>,
    in_flight: Arc<tokio::sync::Semaphore>,
    event_log: Arc<EventLog>,
    clock: Clock,
}

impl DatagramRelay {
    /// `own` is where the dispatchers listen; `faces` and `broadcast` are sockets of the relay.
    pub(super) fn start(
        runtime: &Handle,
        own: Vec<SocketAddr>,
        faces: Vec<std::net::UdpSocket>,
        broadcast: &std::net::UdpSocket,
        seed: u64,
        event_log: Arc<EventLog>,
    ) -> std::io::Result<Arc<DatagramRelay>> {
        let _inside = runtime.enter();
        let addresses = faces.iter().map(std::net::UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
        let broadcast_address = broadcast.local_addr()?;
        let socket = |socket: &std::net::UdpSocket| {
            socket.set_nonblocking(true)?;
            let _ = socket2::SockRef::from(socket).set_recv_buffer_size(1 << 20);
            UdpSocket::from_std(socket.try_clone()?)
        };
        let sockets = faces.iter().map(socket).collect::<Result<Vec<_>, _>>()?;
        let broadcast = socket(broadcast)?;
        let size = own.len();
        let pair = |n: usize| Pair {
            faults: DatagramFaults::NONE,
            is_cut: false,
            rng: fastrand::Rng::with_seed(seed ^ (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            busy_until: 0,
        };
        let inner = Inner {
            pairs: (0..size * size).map(pair).collect(),
            totals: vec![DatagramTotals::default(); size],
            relayed: VecDeque::new(),
            from_strangers: 0,
        };
        let relay = Arc::new(DatagramRelay {
            faces,
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

    async fn listen(self: &Arc<Self>, socket: &UdpSocket, to: Option<usize>) {
        let mut buf = [0; 2048];
        loop {
            // An error is the answer to an earlier datagram that found nobody.
            let Ok((length, from)) = socket.recv_from(&mut buf).await else { continue };
            let Some(from) = self.own.iter().position(|own| *own == from) else {
                self.inner.lock().expect("a lock").from_strangers += 1;
                continue;
            };
            match to {
                Some(to) => self.pass(from, to, &buf[..length]),
                None => (0..self.own.len())
                    .filter(|to| *to != from)
                    .for_each(|to| self.pass(from, to, &buf[..length])),
            }
        }
    }

    fn pass(self: &Arc<Self>, from: usize, to: usize, bytes: &[u8]) {
        let now = self.clock.now();
        let delays = {
            let mut inner = self.inner.lock().expect("a lock");
            let pair = &mut inner.pairs[from * self.own.len() + to];
            let delays = pair.delays(now, bytes.len());
            let outcome = if delays.is_empty() {
                DatagramOutcome::Dropped
            } else {
                DatagramOutcome::Passed(delays.len() as u8)
            };
            let first = bytes.first().copied().unwrap_or(0);
            if inner.relayed.len() >= MAX_RELAYED_DATAGRAMS {
                inner.relayed.pop_front();
            }
            inner.relayed.push_back(RelayedDatagram {
                at: now,
                from,
                to,
                length: bytes.len(),
                first,
                outcome,
            });
            let totals = &mut inner.totals[from];
            totals.sent += 1;
            totals.sent_bytes += bytes.len() as u64;
            totals.dropped += u64::from(delays.is_empty());
            totals.too_long += u64::from(bytes.len() > MAX_DATAGRAM_LENGTH);
            let kind = totals.by_first_byte.entry(first).or_default();
            *kind = (kind.0 + 1, kind.1 + bytes.len() as u64);
            inner.totals[to].delivered += delays.len() as u64;
            inner.totals[to].delivered_bytes += (delays.len() * bytes.len()) as u64;
            delays
        };
        if bytes.len() > MAX_DATAGRAM_LENGTH {
            self.event_log.add_at(now, Event::LongDatagram { dispatcher: from, length: bytes.len() });
        }
        for delay in delays {
            if delay == 0 {
                let _ = self.faces[from].send_to(bytes, self.own[to]);
                continue;
            }
            let Ok(permit) = self.in_flight.clone().try_acquire_owned() else { continue };
            let (relay, bytes) = (self.clone(), bytes.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_micros(delay)).await;
                let _ = relay.faces[from].send_to(&bytes, relay.own[to]);
                drop(permit);
            });
        }
    }

    /// The face of each dispatcher: `peers` of the configuration, the same for all.
    pub fn peers(&self) -> Value {
        json!(self.addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>())
    }

    /// The address that reaches all others of whoever sends to it: `peers_all`.
    pub fn broadcast_address(&self) -> SocketAddr {
        self.broadcast
    }

    /// Sets the faults of datagrams from one to another. A cut stays.
    pub fn set(&self, from: usize, to: usize, faults: DatagramFaults) {
        self.inner.lock().expect("a lock").pairs[from * self.own.len() + to].faults = faults;
    }

    /// Sets the faults of every ordered pair.
    pub fn set_all(&self, faults: DatagramFaults) {
        self.inner.lock().expect("a lock").pairs.iter_mut().for_each(|pair| pair.faults = faults);
    }

    /// Sets the faults of all datagrams to and from one dispatcher.
    pub fn set_around(&self, dispatcher: usize, faults: DatagramFaults) {
        for other in (0..self.own.len()).filter(|other| *other != dispatcher) {
            self.set(dispatcher, other, faults);
            self.set(other, dispatcher, faults);
        }
    }

    /// Cuts one way: nothing of `from` reaches any of `to`.
    pub fn cut_one_way(&self, from: &[usize], to: &[usize]) {
        let mut inner = self.inner.lock().expect("a lock");
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (from, to))) {
            inner.pairs[from * self.own.len() + to].is_cut = true;
        }
    }

    /// Cuts between the sides. Who is on none of them can be reached by all. Any earlier cut is healed first.
    pub fn partition(&self, sides: &[&[usize]]) {
        self.heal();
        for (n, side) in sides.iter().enumerate() {
            sides
                .iter()
                .enumerate()
                .filter(|(m, _)| *m != n)
                .for_each(|(_, other)| self.cut_one_way(side, other));
        }
    }

    /// Ends all cuts and partitions; other faults stay.
    pub fn heal(&self) {
        self.inner.lock().expect("a lock").pairs.iter_mut().for_each(|pair| pair.is_cut = false);
    }

    /// Sends bytes to a dispatcher as if they came from another, past all faults and counts.
    pub fn forge(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.faces[from].send_to(bytes, self.own[to]);
    }

    /// What each dispatcher sent and was delivered so far, by number.
    pub fn totals(&self) -> Vec<DatagramTotals> {
        self.inner.lock().expect("a lock").totals.clone()
    }

    /// The latest datagrams, the oldest first.
    pub fn relayed(&self) -> Vec<RelayedDatagram> {
        self.inner.lock().expect("a lock").relayed.iter().copied().collect()
    }

    /// Datagrams that came from nobody of the fleet.
    pub fn from_strangers(&self) -> u64 {
        self.inner.lock().expect("a lock").from_strangers
    }
}

impl Pair {
    /// How long each copy of a datagram is delayed, in microseconds; none if it is dropped. Each datagram
    /// takes the same draws whatever the faults are, so that a fault switched on does not shift what comes after it.
    fn delays(&mut self, now: u64, length: usize) -> Vec<u64> {
        let (dropped, again, late, jitter) = (self.rng.f64(), self.rng.f64(), self.rng.f64(), self.rng.f64());
        let (back, second) = (self.rng.f64(), self.rng.f64());
        let faults = self.faults;
        if self.is_cut || dropped < faults.drop {
            return Vec::new();
        }
        let span = |span: Duration, part: f64| (span.as_micros() as f64 * part) as u64;
        let mut delay = span(faults.delay, 1.0) + span(faults.jitter, jitter);
        if late < faults.reorder {
            delay += span(faults.reorder_delay, back);
        }
        if let Some(rate) = faults.rate {
            let begin = self.busy_until.max(now);
            let end = begin + length as u64 * 1_000_000 / rate.max(1);
            if end - now > span(MAX_QUEUE_TIME, 1.0) {
                return Vec::new();
            }
            self.busy_until = end;
            delay += end - now;
        }
        let mut delays = vec![delay];
        if again < faults.repeat {
            delays.push(delay + span(Duration::from_millis(5), second));
        }
        delays
    }
}
