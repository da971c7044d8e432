//! The TCP relay: one listener for each link from a dispatcher to a worker or to discovery. It accepts, connects to the other
//! side and passes bytes on, with the faults that are set at that time. It knows when which byte crossed, and on which link.

use super::record::{Clock, Event, Record};
use super::{Broken, Side};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pieces of one direction under way at most.
const PIECES: usize = 64;
const PIECE: usize = 16 * 1024;
/// Places of arrived bytes that are remembered.
const MARKS: usize = 4096;

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Opening {
    /// It comes up.
    #[default]
    Up,
    /// It is refused: nothing listens.
    Refused,
    /// It comes up and is reset at once.
    Reset,
    /// It comes up, and nothing is read or said; reset once this is over.
    Silent,
    /// It never comes up while this lasts, as to a machine that is cut off.
    Vanished,
}

/// The faults of one link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// What becomes of new connections.
    pub opening: Opening,
    /// Bytes of a dispatcher stay where they are, on connections that are up.
    pub stall_out: bool,
    /// Bytes to a dispatcher do.
    pub stall_in: bool,
    /// Each piece takes so long, each way ...
    pub delay: Duration,
    /// ... and up to so much more. Pieces stay in order.
    pub jitter: Duration,
    /// Bytes a second that get through, each way, if there is a limit.
    pub rate: Option<u64>,
}

impl LinkFaults {
    /// As to a machine that is cut off: what is up goes silent, what is new never comes up.
    pub const CUT: LinkFaults = LinkFaults {
        opening: Opening::Vanished,
        stall_out: true,
        stall_in: true,
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        rate: None,
    };
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct State {
    faults: LinkFaults,
    cut: bool,
    resets: u64,
    halves: u64,
}

impl State {
    fn opening(&self) -> Opening {
        if self.cut { Opening::Vanished } else { self.faults.opening }
    }

    fn stalled(&self, way: Way) -> bool {
        self.cut || if way == Way::Out { self.faults.stall_out } else { self.faults.stall_in }
    }
}

/// A link from a dispatcher.
pub struct Link {
    /// The dispatcher.
    pub dispatcher: usize,
    /// Where it leads.
    pub to: Side,
    /// Where the dispatcher finds it.
    pub address: SocketAddr,
    target: SocketAddr,
    state: watch::Sender<State>,
    opened: AtomicU64,
    bytes: [AtomicU64; 2],
    seed: u64,
}

impl Link {
    /// From now on it has these faults.
    pub fn set(&self, faults: LinkFaults) {
        self.state.send_modify(|state| state.faults = faults);
    }

    /// Cuts it, whatever its faults are, or ends the cut.
    pub fn cut(&self, on: bool) {
        self.state.send_modify(|state| state.cut = on);
    }

    /// Resets all its connections, on both sides.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// All its connections end on the far side; the dispatcher is not told, and they stay open and silent there.
    pub fn half_open(&self) {
        self.state.send_modify(|state| state.halves += 1);
    }

    /// Whether nothing gets through in either direction, such as a worker's call-back.
    pub fn is_silent(&self) -> bool {
        let state = *self.state.borrow();
        state.stalled(Way::Out) || state.opening() == Opening::Vanished
    }

    /// Waits until something gets through again.
    pub(super) async fn heard(&self) {
        let is_silent = |s: &State| s.stalled(Way::Out) || s.opening() == Opening::Vanished;
        let _ = self.state.subscribe().wait_for(|state| !is_silent(state)).await;
    }

    /// Connections accepted so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Bytes passed on so far: from the dispatcher, and to it.
    pub fn bytes(&self) -> (u64, u64) {
        (self.bytes[0].load(Ordering::Relaxed), self.bytes[1].load(Ordering::Relaxed))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Out,
    In,
}

/// One connection across a link, as the far side may ask about it.
pub(super) struct Crossing {
    pub(super) link: Arc<Link>,
    clock: Clock,
    /// How many bytes of the dispatcher had come at which time.
    came: Mutex<VecDeque<(u64, u64)>>,
    /// How many bytes went to the dispatcher, and what to note once so many have.
    went: Mutex<(u64, VecDeque<(u64, Event)>)>,
}

impl Crossing {
    /// When the byte at this place came from the dispatcher. Asked with growing places.
    pub(super) fn came(&self, place: u64) -> u64 {
        let mut came = self.came.lock().expect("a lock");
        while came.front().is_some_and(|(until, _)| *until <= place) {
            came.pop_front();
        }
        came.front().map_or_else(|| self.clock.now(), |(_, at)| *at)
    }

    /// Notes this once so many bytes have been written to the dispatcher.
    pub(super) fn mark(&self, place: u64, event: Event, record: &Record) {
        let mut went = self.went.lock().expect("a lock");
        if went.0 >= place { record.add(event) } else { went.1.push_back((place, event)) }
    }

    fn wrote(&self, length: usize, record: &Record) {
        let mut went = self.went.lock().expect("a lock");
        went.0 += length as u64;
        let so_far = went.0;
        while went.1.front().is_some_and(|(place, _)| *place <= so_far) {
            if let Some((_, event)) = went.1.pop_front() {
                record.add(event);
            }
        }
    }
}

/// All links of a fleet, and which connection on the far side is whose.
pub struct Links {
    crossings: Mutex<HashMap<SocketAddr, Arc<Crossing>>>,
    record: Arc<Record>,
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A listener at a fixed address, also soon after an earlier one.
pub(super) fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

impl Links {
    pub(super) fn new(record: Arc<Record>) -> Arc<Links> {
        Arc::new(Links { crossings: Mutex::default(), record })
    }

    /// Who is at the other end of a connection that the far side accepted from here.
    pub(super) fn whose(&self, peer: SocketAddr) -> Option<Arc<Crossing>> {
        self.crossings.lock().expect("a lock").get(&peer).cloned()
    }

    pub(super) fn add(
        self: &Arc<Self>,
        runtime: &Handle,
        (dispatcher, to): (usize, Side),
        address: SocketAddr,
        target: SocketAddr,
        seed: u64,
    ) -> std::io::Result<Arc<Link>> {
        let _inside = runtime.enter();
        let listener = listen(address)?;
        let link = Arc::new(Link {
            dispatcher,
            to,
            address,
            target,
            state: watch::Sender::new(State::default()),
            opened: AtomicU64::new(0),
            bytes: Default::default(),
            seed,
        });
        let (links, shared) = (self.clone(), link.clone());
        runtime.spawn(async move { links.serve(shared, listener).await });
        Ok(link)
    }

    async fn serve(self: Arc<Self>, link: Arc<Link>, listener: TcpListener) {
        let mut state = link.state.subscribe();
        let mut listener = Some(listener);
        loop {
            let opening = state.borrow_and_update().opening();
            if opening == Opening::Refused {
                listener = None;
                if state.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let open = match &listener {
                Some(open) => open,
                None => match listen(link.address) {
                    Ok(open) => listener.insert(open),
                    Err(_) => {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                        continue;
                    }
                },
            };
            if opening == Opening::Vanished {
                if self.vanish(&link, open, &mut state).await.is_none() {
                    return;
                }
                continue;
            }
            tokio::select! {
                biased;
                changed = state.changed() => if changed.is_err() { return },
                came = open.accept() => if let Ok((stream, _)) = came {
                    self.accepted(&link, stream);
                },
            }
        }
    }

    /// While the machine is away its queue of new connections is kept full by one of our own: the system then drops what
    /// would open another, and a connect hangs as it does on a real network.
    async fn vanish(
        self: &Arc<Self>,
        link: &Arc<Link>,
        open: &TcpListener,
        state: &mut watch::Receiver<State>,
    ) -> Option<()> {
        let socket = socket2::SockRef::from(open);
        let _ = socket.listen(0);
        let connect = TcpStream::connect(link.address);
        let own = tokio::time::timeout(Duration::from_millis(20), connect).await;
        let own = own.ok().and_then(Result::ok);
        let own_address = own.as_ref().and_then(|own| own.local_addr().ok());
        while state.borrow_and_update().opening() == Opening::Vanished {
            state.changed().await.ok()?;
        }
        let _ = socket.listen(BACKLOG as i32);
        // Our own is the last that got in; those before it were waiting when the machine went away.
        while let Some(own) = own_address {
            match tokio::time::timeout(Duration::from_millis(20), open.accept()).await {
                Ok(Ok((_, peer))) if peer == own => break,
                Ok(Ok((stream, _))) => self.accepted(link, stream),
                _ => break,
            }
        }
        Some(())
    }

    fn accepted(self: &Arc<Self>, link: &Arc<Link>, stream: TcpStream) {
        link.opened.fetch_add(1, Ordering::Relaxed);
        let (links, link) = (self.clone(), link.clone());
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let mut state = link.state.subscribe();
            let opening = state.borrow_and_update().opening();
            match opening {
                Opening::Reset | Opening::Refused => reset(&stream),
                Opening::Silent => {
                    let over = state.wait_for(|state| state.opening() != Opening::Silent);
                    let _ = over.await;
                    reset(&stream);
                }
                Opening::Up | Opening::Vanished => links.cross(link, stream).await,
            }
        });
    }

    async fn cross(&self, link: Arc<Link>, near: TcpStream) {
        // Known before it is connected: the far side asks as soon as it has accepted.
        let far = async {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(SocketAddr::new(link.address.ip(), 0))?;
            let own = socket.local_addr()?;
            let crossing = Arc::new(Crossing {
                link: link.clone(),
                clock: self.record.clock,
                came: Mutex::default(),
                went: Mutex::default(),
            });
            self.crossings.lock().expect("a lock").insert(own, crossing.clone());
            let far = socket.connect(link.target).await;
            if far.is_err() {
                self.crossings.lock().expect("a lock").remove(&own);
            }
            far.map(|far| (far, own, crossing))
        };
        let Ok((far, own, crossing)) = far.await else { return reset(&near) };
        let _ = far.set_nodelay(true);
        self.carry(&link, &crossing, near, far).await;
        self.crossings.lock().expect("a lock").remove(&own);
    }

    async fn carry(&self, link: &Arc<Link>, crossing: &Crossing, mut near: TcpStream, mut far: TcpStream) {
        let mut state = link.state.subscribe();
        let begun = *state.borrow_and_update();
        let (mut halved, mut forced) = (false, false);
        let done = {
            let ((near_read, near_write), (far_read, far_write)) = (near.split(), far.split());
            let both = async {
                tokio::try_join!(
                    self.pump(link, crossing, Way::Out, near_read, far_write),
                    self.pump(link, crossing, Way::In, far_read, near_write),
                )
            };
            tokio::select! {
                done = both => done.is_ok(),
                end = state.wait_for(|s| s.resets != begun.resets || s.halves != begun.halves) => {
                    halved = end.is_ok_and(|s| s.halves != begun.halves);
                    forced = true;
                    false
                }
            }
        };
        if done {
            return;
        }
        if !forced {
            // What broke on one side is not heard on the other while nothing gets through.
            let _ = state.wait_for(|s| !s.stalled(Way::Out) && !s.stalled(Way::In)).await;
        }
        reset(&far);
        drop(far);
        if halved {
            let mut rest = vec![0; PIECE];
            let unread = async { while matches!(near.read(&mut rest).await, Ok(1..)) {} };
            tokio::select! {
                () = unread => {}
                _ = state.wait_for(|s| s.resets != begun.resets) => {}
            }
        }
        reset(&near);
    }

    /// Reads on one side and writes on the other, each piece in its time.
    async fn pump(
        &self,
        link: &Link,
        crossing: &Crossing,
        way: Way,
        mut read: ReadHalf<'_>,
        mut write: WriteHalf<'_>,
    ) -> Result<(), Broken> {
        let clock = self.record.clock;
        let mut rng = fastrand::Rng::with_seed(link.seed ^ way as u64);
        let (sender, mut pieces) = mpsc::channel::<(u64, Vec<u8>)>(PIECES);
        let reading = async move {
            let mut total = 0;
            loop {
                let mut piece = vec![0; PIECE];
                let length = read.read(&mut piece).await.map_err(|_| Broken)?;
                piece.truncate(length);
                let now = clock.now();
                total += length as u64;
                if way == Way::Out && length > 0 {
                    let mut came = crossing.came.lock().expect("a lock");
                    if came.len() >= MARKS {
                        came.pop_front();
                    }
                    came.push_back((total, now));
                }
                let faults = link.state.borrow().faults;
                let wait = faults.delay + faults.jitter.mul_f64(rng.f64());
                let due = now + wait.as_micros() as u64;
                if length == 0 || sender.send((due, piece)).await.is_err() {
                    return Ok(());
                }
            }
        };
        let writing = async {
            let mut state = link.state.subscribe();
            while let Some((due, piece)) = pieces.recv().await {
                let early = due.saturating_sub(clock.now());
                if early > 0 {
                    tokio::time::sleep(Duration::from_micros(early)).await;
                }
                state.wait_for(|state| !state.stalled(way)).await.map_err(|_| Broken)?;
                let rate = state.borrow().faults.rate;
                if let Some(rate) = rate {
                    let span = piece.len() as f64 / rate.max(1) as f64;
                    tokio::time::sleep(Duration::from_secs_f64(span)).await;
                }
                write.write_all(&piece).await.map_err(|_| Broken)?;
                link.bytes[way as usize].fetch_add(piece.len() as u64, Ordering::Relaxed);
                if way == Way::In {
                    crossing.wrote(piece.len(), &self.record);
                }
            }
            state.wait_for(|state| !state.stalled(way)).await.map_err(|_| Broken)?;
            write.shutdown().await.map_err(|_| Broken)
        };
        tokio::try_join!(reading, writing).map(|_| ())
    }
}
