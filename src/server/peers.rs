//! The datagram socket between dispatchers. Each dispatcher announces whether it serves or is about to stop. The messages of the
//! decision module and of the membership use the same socket.
//!
//! [`PeerSocket`] sends for all of them. [`PeerLink`] holds the announced states. Datagrams that arrive are for several parts,
//! so [`Server::on_peers_readable`] passes them on.

mod datagram;

use crate::config::Config;
use crate::core::peer_lifecycle::PeerLifecycle;
use crate::policy::interface::{MICROS_PER_MS, Micros};
use crate::server::context::{Context, context};
use crate::server::error::io_failed;
use crate::server::listeners::has_address;
use crate::server::tokens::PEER_TIMER;
use crate::server::{MAX_ACCEPTS_PER_TURN, Server, ServerError};
use datagram::{MAX_DATAGRAM, PeerDatagram};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};

/// How often the announcement that this dispatcher serves is repeated, because datagrams get lost, sometimes all of them for a
/// while. During a shutdown the announcement that it stops is repeated until the end.
const MAX_REPEATS: u32 = 4;
/// The time from one announcement of this dispatcher's state to the next, in microseconds.
const REPEAT_INTERVAL: Micros = 150_000;

/// The socket, and the addresses of the dispatchers.
pub(in crate::server) struct PeerSocket {
    socket: Option<UdpSocket>,
    places: HashMap<SocketAddr, u32>,
}

/// A datagram from a dispatcher.
struct ReceivedDatagram<'a> {
    from: u32,
    bytes: &'a [u8],
}

/// A datagram that is too long, or did not come from a dispatcher.
struct BadDatagram;

impl PeerSocket {
    /// Opens the socket to the dispatchers of a configuration. Uses the inherited socket if it has the configured address,
    /// otherwise binds a new one.
    ///
    /// # Errors
    /// If the address cannot be bound, or the socket cannot be made non-blocking.
    pub(in crate::server) fn open(
        inherited: Option<UdpSocket>,
        config: &Config,
    ) -> Result<PeerSocket, ServerError> {
        let at = config.peer_listen;
        let inherited = inherited.filter(|socket| at.is_some_and(|at| has_address(socket.local_addr(), at)));
        let socket = match (inherited, at) {
            (Some(socket), _) => Some(socket),
            (None, at) => at.map(UdpSocket::bind).transpose().map_err(io_failed("peer socket"))?,
        };
        if let Some(socket) = &socket {
            socket.set_nonblocking(true).map_err(io_failed("peer socket"))?;
        }
        Ok(PeerSocket { socket, places: places_by_address(&config.peers) })
    }

    /// The socket, if datagrams are on.
    pub(in crate::server) fn socket(&self) -> Option<&UdpSocket> {
        self.socket.as_ref()
    }

    /// Sends a datagram, which may get lost. One that is longer than [`MAX_DATAGRAM`] is not sent.
    pub(in crate::server) fn send(&self, config: &Config, to: u32, bytes: &[u8]) {
        let address = config.peers.get(to as usize).filter(|_| bytes.len() <= MAX_DATAGRAM);
        if let Some((socket, address)) = self.socket.as_ref().zip(address) {
            drop(socket.send_to(bytes, address));
        }
    }

    /// Receives the next datagram; `None` if none has arrived.
    fn receive<'a>(
        &self,
        buffer: &'a mut [u8; MAX_DATAGRAM + 1],
    ) -> Option<Result<ReceivedDatagram<'a>, BadDatagram>> {
        let (length, address) = self.socket.as_ref()?.recv_from(buffer).ok()?;
        let from = self.places.get(&address).copied().filter(|_| length <= MAX_DATAGRAM);
        Some(from.map(|from| ReceivedDatagram { from, bytes: &buffer[..length] }).ok_or(BadDatagram))
    }
}

/// The announced states of the other dispatchers, and the announcements of this one.
pub(in crate::server) struct PeerLink {
    lifecycle: PeerLifecycle,
    /// When the last decision-module message of each other dispatcher arrived.
    last_message_at: HashMap<u32, Micros>,
    /// How often this dispatcher's state is still to be repeated.
    repeats_left: u32,
}

impl PeerLink {
    /// Creates the state for the dispatchers of a configuration, none of which has announced anything yet.
    pub(in crate::server) fn new(config: &Config) -> PeerLink {
        PeerLink {
            lifecycle: PeerLifecycle::new(config.settings.own_index, config.peers.len()),
            last_message_at: HashMap::new(),
            repeats_left: 0,
        }
    }

    /// Switches to the dispatchers of another configuration, for the socket too. The announced state of a dispatcher moves to
    /// the place that has its address in the new configuration.
    pub(in crate::server) fn renumber(
        &mut self,
        socket: &mut PeerSocket,
        old_peers: &[SocketAddr],
        config: &Config,
    ) {
        socket.places = places_by_address(&config.peers);
        let new_place =
            |old: u32| old_peers.get(old as usize).and_then(|address| socket.places.get(address)).copied();
        self.lifecycle.renumber(config.settings.own_index, config.peers.len(), new_place);
        let messages = std::mem::take(&mut self.last_message_at).into_iter();
        self.last_message_at = messages.filter_map(|(old, at)| Some((new_place(old)?, at))).collect();
    }

    /// Whether every other dispatcher that reports to this one has announced that it stops.
    pub(in crate::server) fn have_all_stopped(&self) -> bool {
        self.lifecycle.are_all_stopping()
    }

    /// Announces whether this dispatcher serves or stops, now and [`MAX_REPEATS`] times more.
    pub(in crate::server) fn announce_state(&mut self, context: &mut Context<'_>) {
        if context.peer_socket.socket.is_some() && context.config.may_announce_lifecycle {
            self.repeats_left = MAX_REPEATS;
            self.announce_state_once(context);
        }
    }

    /// Announces this dispatcher's state once, and sets the timer of the next announcement.
    fn announce_state_once(&self, context: &mut Context<'_>) {
        let is_draining = context.lifecycle.is_draining();
        let state = if is_draining { PeerDatagram::Stopping } else { PeerDatagram::Serving };
        if !context.lifecycle.has_handed_over() {
            self.announce(context, state);
        }
        // A process that has just started, and may not use its known list yet, asks its peer group when the predecessor was
        // last heard: see `PeerDatagram::LastHeard`.
        if context.core.endpoints().is_stale() && !self.lifecycle.is_small() {
            let question = PeerDatagram::Serving.encode();
            context.core.peer_group().iter().for_each(|to| context.send_to_peer(*to, &question));
        }
        context.core.set_timer(context.clock.now() + REPEAT_INTERVAL, PEER_TIMER);
    }

    /// Sends a datagram to each dispatcher that this one reports to. In a small fleet it uses the address that reaches all of
    /// them, if there is one.
    fn announce(&self, context: &Context<'_>, datagram: PeerDatagram<'_>) {
        let bytes = datagram.encode();
        let (peer_socket, config) = (context.peer_socket, context.config);
        let shared_address = config.peers_all.filter(|_| self.lifecycle.is_small());
        match peer_socket.socket.as_ref().zip(shared_address) {
            // A datagram may get lost anyway, so a failure to send it is ignored.
            Some((socket, address)) => drop(socket.send_to(&bytes, address)),
            None => {
                let neighbors = self.lifecycle.neighbors().into_iter();
                neighbors.for_each(|to| peer_socket.send(config, to, &bytes));
            }
        }
    }

    /// The peer timer has fired: repeats the announcement if it is still to be repeated.
    pub(in crate::server) fn on_timer(&mut self, context: &mut Context<'_>) {
        if context.lifecycle.is_shutting_down() || self.repeats_left > 0 {
            self.repeats_left = self.repeats_left.saturating_sub(1);
            self.announce_state_once(context);
        }
    }

    /// Another dispatcher has announced that it serves; it may have just started.
    fn on_serving(&mut self, context: &Context<'_>, from: u32) {
        self.lifecycle.on_serving(from);
        // A dispatcher that has just started cannot know which others are about to stop.
        if context.lifecycle.is_draining() {
            context.send_to_peer(from, &PeerDatagram::Stopping.encode());
        }
        if let Some(at) = self.last_message_at.get(&from) {
            let age_ms = u32::try_from(context.now().saturating_sub(*at) / MICROS_PER_MS).unwrap_or(u32::MAX);
            context.send_to_peer(from, &PeerDatagram::LastHeard { age_ms }.encode());
        }
    }

    /// A message of another dispatcher's decision module has arrived.
    fn on_message(&mut self, context: &mut Context<'_>, from: u32, message: &[u8]) {
        self.last_message_at.insert(from, context.now());
        context.core.on_peer_message(from, message.to_vec());
    }
}

/// Maps each address to the first place that has it.
fn places_by_address(peers: &[SocketAddr]) -> HashMap<SocketAddr, u32> {
    let mut places = HashMap::with_capacity(peers.len());
    for (place, address) in (0..).zip(peers) {
        places.entry(*address).or_insert(place);
    }
    places
}

impl Server {
    /// Receives datagrams. They are for the peers' lifecycle, discovery, the membership or the decision module.
    pub(in crate::server) fn on_peers_readable(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.peer_socket.receive(&mut buffer) {
                None => return,
                Some(Ok(datagram)) => self.on_peer_datagram(datagram.from, datagram.bytes),
                Some(Err(BadDatagram)) => self.metrics.bad_datagrams += 1,
            }
        }
    }

    /// Passes a datagram to the part that it is for.
    fn on_peer_datagram(&mut self, from: u32, bytes: &[u8]) {
        let context = &mut context!(self);
        match PeerDatagram::decode(bytes) {
            PeerDatagram::Serving => self.peers.on_serving(context, from),
            PeerDatagram::Stopping => self.peers.lifecycle.on_stopping(from),
            PeerDatagram::LastHeard { age_ms } => {
                let now = context.now();
                let heard_at = now.saturating_sub(Micros::from(age_ms) * MICROS_PER_MS);
                self.discovery.on_predecessor_seen(context.core, now, heard_at);
            }
            PeerDatagram::Message(message) => {
                if !self.membership.on_datagram(context, &mut self.discovery, from, message) {
                    self.peers.on_message(context, from, message);
                }
            }
        }
    }
}
