//! The datagram socket between dispatchers. Each dispatcher announces whether it serves or is about to stop. The messages of the
//! decision module and of the membership use the same socket.
//!
//! [`PeerSocket`] sends the datagrams of all three. [`PeerLink`] holds the announced states. [`Server::on_peers_readable`]
//! receives datagrams and passes each to the part that handles it.

mod datagram;

use crate::config::Config;
use crate::core::peer_lifecycle::PeerLifecycle;
use crate::policy::interface::{MICROS_PER_MS, Micros};
use crate::server::context::{Context, context};
use crate::server::error::io_failed;
use crate::server::listeners::has_address;
use crate::server::tokens::PEER_TIMER;
use crate::server::{MAX_ARRIVALS_PER_TURN, Server, ServerError};
use datagram::{MAX_DATAGRAM, PeerDatagram};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};

/// How many times an announcement of this dispatcher's state is repeated, because datagrams get lost, sometimes all of them for
/// a while. During a shutdown the announcement is repeated until the process ends.
const MAX_REPEATS: u32 = 4;
/// The interval between two announcements of this dispatcher's state, in microseconds.
const REPEAT_INTERVAL: Micros = 150_000;

/// The peer socket, and the places of the dispatchers by their addresses.
pub(in crate::server) struct PeerSocket {
    socket: Option<UdpSocket>,
    places: HashMap<SocketAddr, u32>,
}

/// A datagram from a dispatcher.
struct ReceivedDatagram<'a> {
    from: u32,
    bytes: &'a [u8],
}

/// A datagram that is too long, or whose sender is not a configured dispatcher.
struct BadDatagram;

impl PeerSocket {
    /// Opens the peer socket for the dispatchers of a configuration. Uses the inherited socket if it has the configured address,
    /// otherwise binds a new one.
    ///
    /// # Errors
    /// If the address cannot be bound, or the socket cannot be made non-blocking.
    pub(in crate::server) fn open(
        inherited: Option<UdpSocket>,
        config: &Config,
    ) -> Result<PeerSocket, ServerError> {
        let listen = config.peer_listen;
        let inherited = inherited
            .filter(|socket| listen.is_some_and(|address| has_address(socket.local_addr(), address)));
        let socket = match (inherited, listen) {
            (Some(socket), _) => Some(socket),
            (None, listen) => listen.map(UdpSocket::bind).transpose().map_err(io_failed("peer socket"))?,
        };
        if let Some(socket) = &socket {
            socket.set_nonblocking(true).map_err(io_failed("peer socket"))?;
        }
        Ok(PeerSocket { socket, places: places_by_address(&config.peers) })
    }

    /// The socket; `None` if the configuration has no address for datagrams.
    pub(in crate::server) fn socket(&self) -> Option<&UdpSocket> {
        self.socket.as_ref()
    }

    /// Sends a datagram to the dispatcher at place `to`. Delivery is not guaranteed. A datagram longer than [`MAX_DATAGRAM`] is
    /// not sent.
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
    /// When the last decision-module message of each other dispatcher arrived, by the dispatcher's place.
    last_message_at: HashMap<u32, Micros>,
    /// How many more times the announcement of this dispatcher's state is repeated.
    repeats_left: u32,
}

impl PeerLink {
    /// Creates the state for the dispatchers of a configuration, none of which has announced anything yet.
    pub(in crate::server) fn new(config: &Config) -> PeerLink {
        PeerLink {
            lifecycle: PeerLifecycle::new(config.settings.own_place, config.peers.len()),
            last_message_at: HashMap::new(),
            repeats_left: 0,
        }
    }

    /// Switches this link and `socket` to the dispatchers of another configuration. The announced state of a dispatcher moves to
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
        self.lifecycle.renumber(config.settings.own_place, config.peers.len(), new_place);
        let messages = std::mem::take(&mut self.last_message_at).into_iter();
        self.last_message_at =
            messages.filter_map(|(old, arrived_at)| Some((new_place(old)?, arrived_at))).collect();
    }

    /// Whether all neighbors of this dispatcher, with which it exchanges announcements, have announced that they stop; false if
    /// it has none.
    pub(in crate::server) fn are_all_neighbors_stopping(&self) -> bool {
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
        // A process that has just started, and must not use its known list yet, announces itself to its peer group too. The
        // peers answer with the time since the last message of the predecessor: see `PeerDatagram::LastMessageAge`.
        if context.core.endpoints().is_stale() && !self.lifecycle.is_full_mesh() {
            let announcement = PeerDatagram::Serving.encode();
            context.core.peer_group().iter().for_each(|to| context.send_to_peer(*to, &announcement));
        }
        context.core.set_timer(context.clock.now() + REPEAT_INTERVAL, PEER_TIMER);
    }

    /// Sends a datagram to each neighbor of this dispatcher ([`PeerLifecycle::neighbors`]). In a small fleet the datagram is sent
    /// to the address that reaches all dispatchers, if one is configured.
    fn announce(&self, context: &Context<'_>, datagram: PeerDatagram<'_>) {
        let bytes = datagram.encode();
        let (peer_socket, config) = (context.peer_socket, context.config);
        let shared_address = config.peers_all.filter(|_| self.lifecycle.is_full_mesh());
        match peer_socket.socket.as_ref().zip(shared_address) {
            // Delivery is not guaranteed anyway, so a failure to send is ignored.
            Some((socket, address)) => drop(socket.send_to(&bytes, address)),
            None => {
                let neighbors = self.lifecycle.neighbors().into_iter();
                neighbors.for_each(|to| peer_socket.send(config, to, &bytes));
            }
        }
    }

    /// The peer timer has fired: repeats the announcement if this dispatcher is shutting down or repeats are left.
    pub(in crate::server) fn on_timer(&mut self, context: &mut Context<'_>) {
        if context.lifecycle.is_shutting_down() || self.repeats_left > 0 {
            self.repeats_left = self.repeats_left.saturating_sub(1);
            self.announce_state_once(context);
        }
    }

    /// Another dispatcher, which may have just started, has announced that it serves.
    fn on_serving(&mut self, context: &Context<'_>, from: u32) {
        self.lifecycle.on_serving(from);
        // A dispatcher that has just started cannot know which others are about to stop.
        if context.lifecycle.is_draining() {
            context.send_to_peer(from, &PeerDatagram::Stopping.encode());
        }
        if let Some(arrived_at) = self.last_message_at.get(&from) {
            let age_ms =
                u32::try_from(context.now().saturating_sub(*arrived_at) / MICROS_PER_MS).unwrap_or(u32::MAX);
            context.send_to_peer(from, &PeerDatagram::LastMessageAge { age_ms }.encode());
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
    /// Receives the datagrams that have arrived, at most [`MAX_ARRIVALS_PER_TURN`] in one turn of the event loop.
    pub(in crate::server) fn on_peers_readable(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        for _ in 0..MAX_ARRIVALS_PER_TURN {
            match self.peer_socket.receive(&mut buffer) {
                None => return,
                Some(Ok(datagram)) => self.on_peer_datagram(datagram.from, datagram.bytes),
                Some(Err(BadDatagram)) => self.metrics.bad_datagrams += 1,
            }
        }
    }

    /// Passes a datagram to the part that handles it: the peers' lifecycle, discovery, the membership or the decision module.
    fn on_peer_datagram(&mut self, from: u32, bytes: &[u8]) {
        let context = &mut context!(self);
        match PeerDatagram::decode(bytes) {
            PeerDatagram::Serving => self.peers.on_serving(context, from),
            PeerDatagram::Stopping => self.peers.lifecycle.on_stopping(from),
            PeerDatagram::LastMessageAge { age_ms } => {
                let now = context.now();
                let predecessor_seen_at = now.saturating_sub(Micros::from(age_ms) * MICROS_PER_MS);
                self.discovery.on_predecessor_seen(context.core, now, predecessor_seen_at);
            }
            PeerDatagram::Message(message) => {
                if !self.membership.on_datagram(context, &mut self.discovery, from, message) {
                    self.peers.on_message(context, from, message);
                }
            }
        }
    }
}
