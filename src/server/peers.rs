//! The datagram socket between dispatchers. Each announces whether it serves or is about to stop; the messages of the decision
//! module and of the membership travel over the same socket.

mod datagram;

use crate::config::Config;
use crate::core::peer_lifecycle::PeerLifecycle;
use crate::policy::interface::{MICROS_PER_MS, Micros};
use crate::server::{PEER_TIMER, Server};
use datagram::{MAX_DATAGRAM, PeerDatagram};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};

/// Datagrams get lost, sometimes all of them for a while. The announcement that this dispatcher serves is repeated this often;
/// the one that it stops is repeated until the end.
const MAX_REPEATS: u32 = 4;
/// The time from one announcement of the own state to its repetition.
const REPEAT_INTERVAL: Micros = 150_000;

/// The socket, the addresses that count as dispatchers, and the state that each of them has announced.
pub(in crate::server) struct PeerLink {
    socket: Option<UdpSocket>,
    places: HashMap<SocketAddr, u32>,
    lifecycle: PeerLifecycle,
    /// When each other dispatcher's last message of its decision module arrived.
    last_message_at: HashMap<u32, Micros>,
    /// How often the own state is still to be repeated.
    repeats_left: u32,
}

/// A datagram that came from a dispatcher.
struct ReceivedDatagram<'a> {
    from: u32,
    bytes: &'a [u8],
}

/// A datagram that is too long, or did not come from a dispatcher.
struct BadDatagram;

impl PeerLink {
    /// The dispatchers of a configuration, over this socket if datagrams are on.
    pub(in crate::server) fn new(socket: Option<UdpSocket>, config: &Config) -> PeerLink {
        PeerLink {
            socket,
            places: places_by_address(&config.peers),
            lifecycle: PeerLifecycle::new(config.settings.me, config.peers.len()),
            last_message_at: HashMap::new(),
            repeats_left: 0,
        }
    }

    /// The socket, where datagrams are on.
    pub(in crate::server) fn socket(&self) -> Option<&UdpSocket> {
        self.socket.as_ref()
    }

    /// Switches to the dispatchers of another configuration: what a dispatcher has announced counts for the place that has its
    /// address there.
    pub(in crate::server) fn renumber(&mut self, old_peers: &[SocketAddr], config: &Config) {
        self.places = places_by_address(&config.peers);
        let new_place =
            |old: u32| old_peers.get(old as usize).and_then(|address| self.places.get(address)).copied();
        self.lifecycle.renumber(config.settings.me, config.peers.len(), new_place);
        let messages = std::mem::take(&mut self.last_message_at).into_iter();
        self.last_message_at = messages.filter_map(|(old, at)| Some((new_place(old)?, at))).collect();
    }

    /// Whether every other dispatcher that reports to this one has announced that it stops.
    pub(in crate::server) fn have_all_stopped(&self) -> bool {
        self.lifecycle.are_all_stopping()
    }

    /// Sends a datagram, which may get lost; one that is too long is not sent.
    fn send(&self, config: &Config, to: u32, bytes: &[u8]) {
        let address = config.peers.get(to as usize).filter(|_| bytes.len() <= MAX_DATAGRAM);
        if let Some((socket, address)) = self.socket.as_ref().zip(address) {
            drop(socket.send_to(bytes, address));
        }
    }

    /// Sends a datagram to each dispatcher that this one reports to: in a small fleet by the address that
    /// reaches all of them, if there is one.
    fn announce(&self, config: &Config, datagram: PeerDatagram<'_>) {
        let bytes = datagram.encode();
        let shared_address = config.peers_all.filter(|_| self.lifecycle.is_small());
        match self.socket.as_ref().zip(shared_address) {
            // It may be lost in any case; one that cannot be sent now is.
            Some((socket, address)) => drop(socket.send_to(&bytes, address)),
            None => self.lifecycle.neighbors().into_iter().for_each(|to| self.send(config, to, &bytes)),
        }
    }

    /// The next datagram, if one has come.
    fn receive<'a>(
        &self,
        buffer: &'a mut [u8; MAX_DATAGRAM + 1],
    ) -> Option<Result<ReceivedDatagram<'a>, BadDatagram>> {
        let (length, address) = self.socket.as_ref()?.recv_from(buffer).ok()?;
        let from = self.places.get(&address).copied().filter(|_| length <= MAX_DATAGRAM);
        Some(from.map(|from| ReceivedDatagram { from, bytes: &buffer[..length] }).ok_or(BadDatagram))
    }
}

/// The first place of each address.
fn places_by_address(peers: &[SocketAddr]) -> HashMap<SocketAddr, u32> {
    let mut places = HashMap::with_capacity(peers.len());
    for (place, address) in (0..).zip(peers) {
        places.entry(*address).or_insert(place);
    }
    places
}

impl Server {
    /// Sends a message to another dispatcher. During an upgrade the successor speaks for both processes.
    pub(in crate::server) fn send_to_peer(&self, to: u32, bytes: &[u8]) {
        if !self.has_handed_over() {
            self.peers.send(&self.config, to, bytes);
        }
    }

    /// Announces whether this dispatcher serves or stops, now and a few times more.
    pub(in crate::server) fn announce_state(&mut self) {
        if self.peers.socket.is_some() && self.config.may_announce_lifecycle {
            self.peers.repeats_left = MAX_REPEATS;
            self.announce_state_once();
        }
    }

    fn announce_state_once(&mut self) {
        let state = if self.lifecycle.is_draining() { PeerDatagram::Stopping } else { PeerDatagram::Serving };
        if !self.has_handed_over() {
            self.peers.announce(&self.config, state);
        }
        // A process that has just started, and may not use the list it knows yet, asks its peer group when the predecessor was
        // last heard: see `PeerDatagram::LastHeard`.
        if self.core.endpoints().is_stale() && !self.peers.lifecycle.is_small() {
            let question = PeerDatagram::Serving.encode();
            self.core.peer_group().iter().for_each(|to| self.send_to_peer(*to, &question));
        }
        self.core.set_timer(self.now + REPEAT_INTERVAL, PEER_TIMER);
    }

    /// The time has come to repeat the state of this dispatcher.
    pub(in crate::server) fn on_peer_timer(&mut self) {
        if self.lifecycle.is_shutting_down() || self.peers.repeats_left > 0 {
            self.peers.repeats_left = self.peers.repeats_left.saturating_sub(1);
            self.announce_state_once();
        }
    }

    /// Datagrams have come.
    pub(in crate::server) fn on_peers_readable(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        for _ in 0..crate::server::MAX_ACCEPTS_PER_TURN {
            match self.peers.receive(&mut buffer) {
                None => return,
                Some(Ok(datagram)) => self.on_peer_datagram(datagram.from, datagram.bytes),
                Some(Err(BadDatagram)) => self.metrics.bad_datagrams += 1,
            }
        }
    }

    fn on_peer_datagram(&mut self, from: u32, bytes: &[u8]) {
        match PeerDatagram::decode(bytes) {
            PeerDatagram::Serving => self.on_peer_serving(from),
            PeerDatagram::Stopping => self.peers.lifecycle.on_stopping(from),
            PeerDatagram::LastHeard { age_ms } => {
                let heard_at = self.now.saturating_sub(Micros::from(age_ms) * MICROS_PER_MS);
                self.discovery.on_predecessor_seen(&mut self.core, self.now, heard_at);
            }
            PeerDatagram::Message(message) if self.on_fleet_datagram(from, message) => {}
            PeerDatagram::Message(message) => {
                self.peers.last_message_at.insert(from, self.now);
                self.core.on_peer_message(from, message.to_vec());
            }
        }
    }

    /// Another dispatcher has announced that it serves; it may have just started.
    fn on_peer_serving(&mut self, from: u32) {
        self.peers.lifecycle.on_serving(from);
        // One that has just started cannot know who is about to stop.
        if self.lifecycle.is_draining() {
            self.send_to_peer(from, &PeerDatagram::Stopping.encode());
        }
        if let Some(at) = self.peers.last_message_at.get(&from) {
            let age_ms = u32::try_from(self.now.saturating_sub(*at) / MICROS_PER_MS).unwrap_or(u32::MAX);
            self.send_to_peer(from, &PeerDatagram::LastHeard { age_ms }.encode());
        }
    }
}
