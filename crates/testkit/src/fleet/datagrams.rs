//! The datagram relay. Each dispatcher has one **face**: the address that all others know it by. What is sent to a face is
//! told apart by its sender's address, goes through the faults of that ordered pair, and leaves for the dispatcher behind the
//! face from the face of its sender. So the sender's address in `peers` is where datagrams come from, as the protocol says.

use super::record::{Clock, Event, Record};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// The longest datagram that dispatchers may send.
pub const LONGEST: usize = 256;
/// Crossings held at most, the oldest give way.
const MOST_CROSSINGS: usize = 1 << 16;
/// Datagrams under way at most: beyond that they are dropped, as a full queue would.
const MOST_UNDER_WAY: usize = 1 << 16;
/// A throttled pair queues so much and drops the rest.
const QUEUE: Duration = Duration::from_secs(1);

/// What becomes of datagrams from one dispatcher to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Faults {
    /// The part that is dropped, 0 to 1; 1 is a cut.
    pub drop: f64,
    /// The part that arrives twice, the second up to 5 ms after the first.
    pub repeat: f64,
    /// The part that is held back for up to `span` more, so that later ones overtake it.
    pub reorder: f64,
    /// How long these may be held back.
    pub span: Duration,
    /// Every datagram takes so long ...
    pub delay: Duration,
    /// ... and up to so much more.
    pub jitter: Duration,
    /// Bytes a second that get through, if there is a limit.
    pub rate: Option<u64>,
}

impl Faults {
    /// Nothing is wrong.
    pub const NONE: Faults = Faults {
        drop: 0.0,
        repeat: 0.0,
        reorder: 0.0,
        span: Duration::from_millis(20),
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        rate: None,
    };
    /// Nothing gets through.
    pub const CUT: Faults = Faults { drop: 1.0, ..Faults::NONE };

    /// So much is lost at random.
    pub fn loss(part: f64) -> Faults {
        Faults { drop: part, ..Faults::NONE }
    }
}

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It was passed on so often, now or later.
    Passed(u8),
    /// It was dropped.
    Dropped,
}

/// A datagram that reached the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crossing {
    /// Microseconds of the harness's clock.
    pub at: u64,
    /// Its sender.
    pub from: usize,
    /// To whom.
    pub to: usize,
    /// Its length in bytes.
    pub length: usize,
    /// Its first byte, which tells the kind.
    pub first: u8,
    /// What became of it.
    pub fate: Fate,
}

/// What one dispatcher sent and was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Datagrams that it sent, and their bytes; one to all counts once for each that it is for.
    pub sent: u64,
    /// Bytes of these.
    pub sent_bytes: u64,
    /// Datagrams passed on to it.
    pub given: u64,
    /// Bytes of these.
    pub given_bytes: u64,
    /// Those that it sent and that were dropped.
    pub dropped: u64,
    /// Those that it sent and that were too long.
    pub too_long: u64,
    /// Sent, by first byte: datagrams and bytes.
    pub by_first: BTreeMap<u8, (u64, u64)>,
}

struct Pair {
    faults: Faults,
    cut: bool,
    rng: fastrand::Rng,
    /// A throttled pair is busy until then.
    busy: u64,
}

struct Inner {
    pairs: Vec<Pair>,
    totals: Vec<Totals>,
    ring: VecDeque<Crossing>,
    foreign: u64,
}

/// The relay of a whole fleet.
pub struct Datagrams {
    /// Sends go out past the runtime: a datagram that cannot be sent now is lost, as datagrams are.
    faces: Vec<std::net::UdpSocket>,
    addresses: Vec<SocketAddr>,
    own: Vec<SocketAddr>,
    all: SocketAddr,
    inner: Mutex<Inner>,
    under_way: Arc<tokio::sync::Semaphore>,
    record: Arc<Record>,
    clock: Clock,
}

impl Datagrams {
    /// `own` is where the dispatchers listen; `faces` and `all` are sockets of the relay.
    pub(super) fn start(
        runtime: &Handle,
        own: Vec<SocketAddr>,
        faces: Vec<std::net::UdpSocket>,
        all: std::net::UdpSocket,
        seed: u64,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Datagrams>> {
        let _inside = runtime.enter();
        let addresses = faces.iter().map(std::net::UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
        let all_address = all.local_addr()?;
        let socket = |socket: &std::net::UdpSocket| {
            socket.set_nonblocking(true)?;
            let _ = socket2::SockRef::from(socket).set_recv_buffer_size(1 << 20);
            UdpSocket::from_std(socket.try_clone()?)
        };
        let ears = faces.iter().map(socket).collect::<Result<Vec<_>, _>>()?;
        let all = socket(&all)?;
        let size = own.len();
        let pair = |n: usize| Pair {
            faults: Faults::NONE,
            cut: false,
            rng: fastrand::Rng::with_seed(seed ^ (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            busy: 0,
        };
        let inner = Inner {
            pairs: (0..size * size).map(pair).collect(),
            totals: vec![Totals::default(); size],
            ring: VecDeque::new(),
            foreign: 0,
        };
        let relay = Arc::new(Datagrams {
            faces,
            addresses,
            own,
            all: all_address,
            inner: Mutex::new(inner),
            under_way: Arc::new(tokio::sync::Semaphore::new(MOST_UNDER_WAY)),
            clock: record.clock,
            record,
        });
        for (to, ear) in ears.into_iter().enumerate() {
            let relay = relay.clone();
            runtime.spawn(async move { relay.listen(&ear, Some(to)).await });
        }
        let shared = relay.clone();
        runtime.spawn(async move { shared.listen(&all, None).await });
        Ok(relay)
    }

    async fn listen(self: &Arc<Self>, socket: &UdpSocket, to: Option<usize>) {
        let mut buf = [0; 2048];
        loop {
            // An error is the answer to an earlier datagram that found nobody.
            let Ok((length, from)) = socket.recv_from(&mut buf).await else { continue };
            let Some(from) = self.own.iter().position(|own| *own == from) else {
                self.inner.lock().expect("a lock").foreign += 1;
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
        let waits = {
            let mut inner = self.inner.lock().expect("a lock");
            let pair = &mut inner.pairs[from * self.own.len() + to];
            let waits = pair.waits(now, bytes.len());
            let fate = if waits.is_empty() { Fate::Dropped } else { Fate::Passed(waits.len() as u8) };
            let first = bytes.first().copied().unwrap_or(0);
            if inner.ring.len() >= MOST_CROSSINGS {
                inner.ring.pop_front();
            }
            inner.ring.push_back(Crossing { at: now, from, to, length: bytes.len(), first, fate });
            let totals = &mut inner.totals[from];
            totals.sent += 1;
            totals.sent_bytes += bytes.len() as u64;
            totals.dropped += u64::from(waits.is_empty());
            totals.too_long += u64::from(bytes.len() > LONGEST);
            let kind = totals.by_first.entry(first).or_default();
            *kind = (kind.0 + 1, kind.1 + bytes.len() as u64);
            inner.totals[to].given += waits.len() as u64;
            inner.totals[to].given_bytes += (waits.len() * bytes.len()) as u64;
            waits
        };
        if bytes.len() > LONGEST {
            self.record.add_at(now, Event::LongDatagram { dispatcher: from, length: bytes.len() });
        }
        for wait in waits {
            if wait == 0 {
                let _ = self.faces[from].send_to(bytes, self.own[to]);
                continue;
            }
            let Ok(room) = self.under_way.clone().try_acquire_owned() else { continue };
            let (relay, bytes) = (self.clone(), bytes.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_micros(wait)).await;
                let _ = relay.faces[from].send_to(&bytes, relay.own[to]);
                drop(room);
            });
        }
    }

    /// The face of each dispatcher: `peers` of the configuration, the same for all.
    pub fn peers(&self) -> Value {
        json!(self.addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>())
    }

    /// The address that reaches all others of whoever sends to it: `peers_all`.
    pub fn all(&self) -> SocketAddr {
        self.all
    }

    /// From now on this becomes of datagrams from one to another. A cut by sets stays.
    pub fn set(&self, from: usize, to: usize, faults: Faults) {
        self.inner.lock().expect("a lock").pairs[from * self.own.len() + to].faults = faults;
    }

    /// The same for every ordered pair.
    pub fn set_all(&self, faults: Faults) {
        self.inner.lock().expect("a lock").pairs.iter_mut().for_each(|pair| pair.faults = faults);
    }

    /// The same for all to and from one dispatcher.
    pub fn set_around(&self, dispatcher: usize, faults: Faults) {
        for other in (0..self.own.len()).filter(|other| *other != dispatcher) {
            self.set(dispatcher, other, faults);
            self.set(other, dispatcher, faults);
        }
    }

    /// Cuts one way: nothing of `from` reaches any of `to`.
    pub fn cut_one_way(&self, from: &[usize], to: &[usize]) {
        let mut inner = self.inner.lock().expect("a lock");
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (from, to))) {
            inner.pairs[from * self.own.len() + to].cut = true;
        }
    }

    /// Cuts between the sets. Who is in none of them can be reached by all. Any earlier cut is healed first.
    pub fn partition(&self, sets: &[&[usize]]) {
        self.heal();
        for (n, side) in sets.iter().enumerate() {
            sets.iter()
                .enumerate()
                .filter(|(m, _)| *m != n)
                .for_each(|(_, other)| self.cut_one_way(side, other));
        }
    }

    /// Ends all cuts and partitions; other faults stay.
    pub fn heal(&self) {
        self.inner.lock().expect("a lock").pairs.iter_mut().for_each(|pair| pair.cut = false);
    }

    /// Sends bytes to a dispatcher as if they came from another, past all faults and counts.
    pub fn forge(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.faces[from].send_to(bytes, self.own[to]);
    }

    /// What each dispatcher sent and was given so far, by number.
    pub fn totals(&self) -> Vec<Totals> {
        self.inner.lock().expect("a lock").totals.clone()
    }

    /// The latest crossings, the oldest first.
    pub fn crossings(&self) -> Vec<Crossing> {
        self.inner.lock().expect("a lock").ring.iter().copied().collect()
    }

    /// Datagrams that came from nobody of the fleet.
    pub fn foreign(&self) -> u64 {
        self.inner.lock().expect("a lock").foreign
    }
}

impl Pair {
    /// How long each copy of a datagram waits before it is passed on, in microseconds; none if it is dropped. Each datagram
    /// takes the same draws whatever the faults are, so that a fault switched on does not shift what comes after it.
    fn waits(&mut self, now: u64, length: usize) -> Vec<u64> {
        let (dropped, again, late, jitter) = (self.rng.f64(), self.rng.f64(), self.rng.f64(), self.rng.f64());
        let (back, second) = (self.rng.f64(), self.rng.f64());
        let faults = self.faults;
        if self.cut || dropped < faults.drop {
            return Vec::new();
        }
        let span = |span: Duration, part: f64| (span.as_micros() as f64 * part) as u64;
        let mut wait = span(faults.delay, 1.0) + span(faults.jitter, jitter);
        if late < faults.reorder {
            wait += span(faults.span, back);
        }
        if let Some(rate) = faults.rate {
            let begin = self.busy.max(now);
            let end = begin + length as u64 * 1_000_000 / rate.max(1);
            if end - now > span(QUEUE, 1.0) {
                return Vec::new();
            }
            self.busy = end;
            wait += end - now;
        }
        let mut waits = vec![wait];
        if again < faults.repeat {
            waits.push(wait + span(Duration::from_millis(5), second));
        }
        waits
    }
}
