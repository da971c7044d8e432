//! The TCP relay: one listener for each link from a dispatcher to a worker or to discovery.
//!
//! The relay accepts connections, connects to the far side and forwards bytes, with the faults that are set at the time. It
//! records when each byte was received and written on each link.

use super::ConnectionFailed;
use super::event_log::EventLog;
use super::link::{ConnectBehavior, Direction, Link, LinkRoute, LinkState, RelayedConnection};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// The maximum number of pieces in flight in one direction.
const MAX_PIECES_IN_FLIGHT: usize = 64;
/// The maximum length of a piece, in bytes.
const PIECE_LENGTH: usize = 16 * 1024;
/// The interval between attempts to open a listener again.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The timeout for the relay's own connection, which fills the accept queue, and for accepting each connection of that queue.
const LOOPBACK_TIMEOUT: Duration = Duration::from_millis(20);

/// Bytes of one direction, and the time at which they are forwarded, in microseconds of the harness's clock.
struct Piece {
    due: u64,
    bytes: Vec<u8>,
}

/// The relay's connection to the far side of a link.
struct FarSide {
    own_address: SocketAddr,
    stream: TcpStream,
    connection: Arc<RelayedConnection>,
}

/// The connections of all links of a fleet.
pub(super) struct TcpRelay {
    /// The connections, by the relay's own address on the far side.
    connections: Mutex<HashMap<SocketAddr, Arc<RelayedConnection>>>,
    event_log: Arc<EventLog>,
}

/// Makes the system reset a connection when it is dropped.
pub(super) fn reset_on_drop(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Opens a listener at a fixed address, even shortly after an earlier one was closed.
pub(super) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl TcpRelay {
    pub(super) fn new(event_log: Arc<EventLog>) -> Arc<TcpRelay> {
        Arc::new(TcpRelay { connections: Mutex::default(), event_log })
    }

    /// The connection that the far side accepted from this address; `None` if it did not come through a link.
    pub(super) fn connection_from(&self, peer: SocketAddr) -> Option<Arc<RelayedConnection>> {
        self.connections.lock().expect("mutex poisoned").get(&peer).cloned()
    }

    pub(super) fn start_link(
        self: &Arc<Self>,
        runtime: &Handle,
        route: LinkRoute,
        seed: u64,
    ) -> std::io::Result<Arc<Link>> {
        let _inside = runtime.enter();
        let listener = listen(route.address)?;
        let link = Link::new(route, seed);
        let (relay, shared) = (self.clone(), link.clone());
        runtime.spawn(async move { relay.serve(shared, listener).await });
        Ok(link)
    }

    /// Accepts the connections of a link, subject to its faults, until the link is dropped.
    async fn serve(self: Arc<Self>, link: Arc<Link>, listener: TcpListener) {
        let mut state = link.state.subscribe();
        let mut listener = Some(listener);
        while self.serve_until_change(&link, &mut listener, &mut state).await.is_some() {}
    }

    /// One step of [`TcpRelay::serve`]; `None` once the link is dropped.
    async fn serve_until_change(
        self: &Arc<Self>,
        link: &Arc<Link>,
        listener: &mut Option<TcpListener>,
        state: &mut watch::Receiver<LinkState>,
    ) -> Option<()> {
        let behavior = state.borrow_and_update().connect_behavior();
        if behavior == ConnectBehavior::Refused {
            *listener = None;
            return state.changed().await.ok();
        }
        let open = match listener {
            Some(open) => open,
            None => match listen(link.address) {
                Ok(open) => listener.insert(open),
                Err(_) => {
                    tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
                    return Some(());
                }
            },
        };
        if behavior == ConnectBehavior::Unreachable {
            return self.stay_unreachable(link, open, state).await;
        }
        tokio::select! {
            biased;
            changed = state.changed() => changed.ok(),
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    self.on_accepted(link, stream);
                }
                Some(())
            }
        }
    }

    /// Simulates an unreachable machine: the relay fills the queue of new connections with a connection of its own. The system
    /// then drops further SYN packets, and a connect hangs as it does on a real network. `None` once the link is dropped.
    async fn stay_unreachable(
        self: &Arc<Self>,
        link: &Arc<Link>,
        listener: &TcpListener,
        state: &mut watch::Receiver<LinkState>,
    ) -> Option<()> {
        let socket = socket2::SockRef::from(listener);
        let _ = socket.listen(0);
        let connect = TcpStream::connect(link.address);
        let own = tokio::time::timeout(LOOPBACK_TIMEOUT, connect).await;
        let own = own.ok().and_then(Result::ok);
        let own_address = own.as_ref().and_then(|own| own.local_addr().ok());
        while state.borrow_and_update().connect_behavior() == ConnectBehavior::Unreachable {
            state.changed().await.ok()?;
        }
        let _ = socket.listen(BACKLOG as i32);
        // The relay's own connection is the last in the queue. Those before it were waiting when the machine became
        // unreachable.
        while let Some(own) = own_address {
            match tokio::time::timeout(LOOPBACK_TIMEOUT, listener.accept()).await {
                Ok(Ok((_, peer))) if peer == own => break,
                Ok(Ok((stream, _))) => self.on_accepted(link, stream),
                _ => break,
            }
        }
        Some(())
    }

    fn on_accepted(self: &Arc<Self>, link: &Arc<Link>, stream: TcpStream) {
        let (relay, link) = (self.clone(), link.clone());
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let mut state = link.state.subscribe();
            let behavior = state.borrow_and_update().connect_behavior();
            match behavior {
                ConnectBehavior::Reset | ConnectBehavior::Refused => reset_on_drop(&stream),
                ConnectBehavior::Silent => {
                    let is_over = |state: &LinkState| state.connect_behavior() != ConnectBehavior::Silent;
                    let _ = state.wait_for(is_over).await;
                    reset_on_drop(&stream);
                }
                ConnectBehavior::Up | ConnectBehavior::Unreachable => relay.relay(link, stream).await,
            }
        });
    }

    async fn relay(&self, link: Arc<Link>, near: TcpStream) {
        let Ok(far) = self.connect_far_side(&link).await else { return reset_on_drop(&near) };
        let _ = far.stream.set_nodelay(true);
        self.forward_both_ways(&link, &far.connection, near, far.stream).await;
        self.connections.lock().expect("mutex poisoned").remove(&far.own_address);
    }

    /// Connects to the far side. The connection is registered first, since the far side looks it up as soon as it accepts.
    async fn connect_far_side(&self, link: &Arc<Link>) -> std::io::Result<FarSide> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::new(link.address.ip(), 0))?;
        let own_address = socket.local_addr()?;
        let connection = RelayedConnection::new(link.clone(), self.event_log.clock);
        self.connections.lock().expect("mutex poisoned").insert(own_address, connection.clone());
        let connected = socket.connect(link.target).await;
        if connected.is_err() {
            self.connections.lock().expect("mutex poisoned").remove(&own_address);
        }
        connected.map(|stream| FarSide { own_address, stream, connection })
    }

    /// Forwards bytes in both directions until both have ended, one breaks, or the link ends its connections.
    async fn forward_both_ways(
        &self,
        link: &Arc<Link>,
        connection: &RelayedConnection,
        mut near: TcpStream,
        mut far: TcpStream,
    ) {
        let mut state = link.state.subscribe();
        let begun = *state.borrow_and_update();
        let end = {
            let ((near_read, near_write), (far_read, far_write)) = (near.split(), far.split());
            let both = async {
                tokio::try_join!(
                    self.forward(link, connection, Direction::Out, near_read, far_write),
                    self.forward(link, connection, Direction::In, far_read, near_write),
                )
            };
            tokio::select! {
                done = both => if done.is_ok() { RelayEnd::Done } else { RelayEnd::Broken },
                end = forced_end(&begun, state.clone()) => end,
            }
        };
        match end {
            RelayEnd::Done => return,
            // While the link is stalled, the other side does not notice the broken connection.
            RelayEnd::Broken => _ = state.wait_for(LinkState::flows).await,
            RelayEnd::Reset | RelayEnd::FarSideDropped => {}
        }
        reset_on_drop(&far);
        drop(far);
        if matches!(end, RelayEnd::FarSideDropped) {
            tokio::select! {
                () = discard(&mut near) => {}
                _ = state.wait_for(|state| state.resets != begun.resets) => {}
            }
        }
        reset_on_drop(&near);
    }

    /// Forwards bytes in one direction, each piece when it is due.
    async fn forward(
        &self,
        link: &Link,
        connection: &RelayedConnection,
        direction: Direction,
        read: ReadHalf<'_>,
        write: WriteHalf<'_>,
    ) -> Result<(), ConnectionFailed> {
        let (sender, pieces) = mpsc::channel::<Piece>(MAX_PIECES_IN_FLIGHT);
        tokio::try_join!(
            self.read_pieces(link, connection, direction, read, sender),
            self.write_pieces(link, connection, direction, pieces, write),
        )
        .map(|_| ())
    }

    async fn read_pieces(
        &self,
        link: &Link,
        connection: &RelayedConnection,
        direction: Direction,
        mut read: ReadHalf<'_>,
        pieces: mpsc::Sender<Piece>,
    ) -> Result<(), ConnectionFailed> {
        let mut rng = fastrand::Rng::with_seed(link.seed ^ direction as u64);
        let mut total = 0;
        loop {
            let mut bytes = vec![0; PIECE_LENGTH];
            let length = read.read(&mut bytes).await.map_err(|_| ConnectionFailed)?;
            bytes.truncate(length);
            let now = self.event_log.clock.now();
            total += length as u64;
            if direction == Direction::Out && length > 0 {
                connection.on_received(total, now);
            }
            let faults = link.state.borrow().faults;
            let wait = faults.delay + faults.jitter.mul_f64(rng.f64());
            let due = now + wait.as_micros() as u64;
            if length == 0 || pieces.send(Piece { due, bytes }).await.is_err() {
                return Ok(());
            }
        }
    }

    async fn write_pieces(
        &self,
        link: &Link,
        connection: &RelayedConnection,
        direction: Direction,
        mut pieces: mpsc::Receiver<Piece>,
        mut write: WriteHalf<'_>,
    ) -> Result<(), ConnectionFailed> {
        let mut state = link.state.subscribe();
        while let Some(Piece { due, bytes }) = pieces.recv().await {
            let early = due.saturating_sub(self.event_log.clock.now());
            if early > 0 {
                tokio::time::sleep(Duration::from_micros(early)).await;
            }
            state.wait_for(|state| !state.is_stalled(direction)).await.map_err(|_| ConnectionFailed)?;
            let rate = state.borrow().faults.rate;
            if let Some(rate) = rate {
                let seconds = bytes.len() as f64 / rate.max(1) as f64;
                tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
            }
            write.write_all(&bytes).await.map_err(|_| ConnectionFailed)?;
            if direction == Direction::In {
                connection.on_written(bytes.len(), &self.event_log);
            }
        }
        state.wait_for(|state| !state.is_stalled(direction)).await.map_err(|_| ConnectionFailed)?;
        write.shutdown().await.map_err(|_| ConnectionFailed)
    }
}

/// How the relay of a connection ended.
enum RelayEnd {
    /// Both directions have ended.
    Done,
    /// One direction broke.
    Broken,
    /// The link reset its connections.
    Reset,
    /// The link dropped the far sides of its connections.
    FarSideDropped,
}

/// Waits until a link ends its connections, compared with its state `begun`.
async fn forced_end(begun: &LinkState, mut state: watch::Receiver<LinkState>) -> RelayEnd {
    let is_far_side_dropped = |state: &LinkState| state.far_side_drops != begun.far_side_drops;
    let is_ended = |state: &LinkState| state.resets != begun.resets || is_far_side_dropped(state);
    match state.wait_for(is_ended).await {
        Ok(state) if is_far_side_dropped(&state) => RelayEnd::FarSideDropped,
        Ok(_) | Err(_) => RelayEnd::Reset,
    }
}

/// Reads and discards all bytes until the connection ends.
async fn discard(stream: &mut TcpStream) {
    let mut discarded = vec![0; PIECE_LENGTH];
    while matches!(stream.read(&mut discarded).await, Ok(1..)) {}
}
