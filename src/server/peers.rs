//! Datagrams between dispatchers: the module's own, and whether each of them serves or is about to stop.

use crate::config::Config;
use crate::core::peer_lifecycle::PeerLifecycle;
use crate::policy::interface::Micros;
use crate::server::{PEER_TIMER, Server};
use std::collections::HashMap;
use std::net::SocketAddr;

/// The longest datagram that may be sent.
const MOST: usize = 256;
/// A datagram of this one byte says that its sender serves from now on ...
const SERVING: u8 = b'U';
/// ... or that it takes its leave. All others belong to the module.
const STOPPING: u8 = b'S';
/// To one that says it serves: how many milliseconds ago its work was heard of last, four bytes, the highest first.
const HEARD: u8 = b'H';
/// Datagrams get lost, now and then all for a while: serving is said again so often, stopping until the end, and each
/// time so long after.
const REPEATS: u32 = 4;
const REPEAT_AFTER: Micros = 150_000;

/// Where the dispatchers are, and which of them have said that they stop.
pub(in crate::server) struct Standing {
    places: HashMap<SocketAddr, u32>,
    states: PeerLifecycle,
    /// When each other last spoke of its work.
    heard: HashMap<u32, Micros>,
    /// How often this one's own state is still to be said.
    repeats: u32,
}

impl Standing {
    pub fn of(config: &Config) -> Standing {
        let states = PeerLifecycle::new(config.settings.me, config.peers.len());
        Standing { places: places(&config.peers), states, heard: HashMap::new(), repeats: 0 }
    }

    /// The dispatchers of another configuration: what was said counts for whoever has the same address there.
    pub fn renumber(&mut self, old: &[SocketAddr], config: &Config) {
        self.places = places(&config.peers);
        let place = |n: u32| old.get(n as usize).and_then(|at| self.places.get(at)).copied();
        self.states.renumber(config.settings.me, config.peers.len(), place);
        let heard = std::mem::take(&mut self.heard).into_iter();
        self.heard = heard.filter_map(|(n, at)| Some((place(n)?, at))).collect();
    }
}

/// The first number of each address.
fn places(peers: &[SocketAddr]) -> HashMap<SocketAddr, u32> {
    let mut places = HashMap::with_capacity(peers.len());
    for (n, at) in (0..).zip(peers) {
        places.entry(*at).or_insert(n);
    }
    places
}

impl Server {
    /// The module's own, to one of the others.
    pub(in crate::server) fn tell_peer(&self, to: u32, bytes: &[u8]) {
        let to =
            self.config.peers.get(to as usize).filter(|_| bytes.len() <= MOST && !self.has_handed_over());
        if let Some((socket, to)) = self.peers.as_ref().zip(to) {
            drop(socket.send_to(bytes, to));
        }
    }

    /// One word, to each that is to know it.
    fn tell_peers(&self, word: u8) {
        // A datagram may be lost in any case; one that cannot be sent now is. During an upgrade the younger process speaks for both.
        let all =
            self.config.peers_all.filter(|_| self.standing.states.is_small() && !self.has_handed_over());
        match self.peers.as_ref().zip(all) {
            Some((socket, all)) => drop(socket.send_to(&[word], all)),
            None => self.standing.states.told().into_iter().for_each(|to| self.tell_peer(to, &[word])),
        }
    }

    /// Says whether this dispatcher serves or stops, now and a few times more.
    pub(in crate::server) fn tell_state(&mut self) {
        if self.peers.is_some() && self.config.may_tell_state {
            self.standing.repeats = REPEATS;
            self.tell_state_once();
        }
    }

    fn tell_state_once(&mut self) {
        self.tell_peers(if self.lifecycle.is_draining() { STOPPING } else { SERVING });
        // One that has just started, and may not use the list it knows, asks those for it that heard of the process before it.
        if self.core.endpoints.stale && !self.standing.states.is_small() {
            self.core.peer_group().iter().for_each(|to| self.tell_peer(*to, &[SERVING]));
        }
        self.core.set_timer(self.now + REPEAT_AFTER, PEER_TIMER);
    }

    pub(in crate::server) fn tell_state_again(&mut self) {
        if self.lifecycle.is_shutting_down() || self.standing.repeats > 0 {
            self.standing.repeats = self.standing.repeats.saturating_sub(1);
            self.tell_state_once();
        }
    }

    /// Whether every other dispatcher that tells this one has said that it stops.
    pub(in crate::server) fn peers_stopped(&self) -> bool {
        self.standing.states.all_stop()
    }

    pub(in crate::server) fn hear_peers(&mut self) {
        let mut buf = [0; MOST + 1];
        for _ in 0..crate::server::MAX_ACCEPTS_PER_TURN {
            let Some(Ok((len, from))) = self.peers.as_ref().map(|socket| socket.recv_from(&mut buf)) else {
                return;
            };
            let Some(peer) = self.standing.places.get(&from).copied().filter(|_| len <= MOST) else {
                self.metrics.bad_datagrams += 1;
                continue;
            };
            match buf[..len] {
                [SERVING] => {
                    self.standing.states.heard(peer, false);
                    // One that has just started cannot know who is about to stop.
                    if self.lifecycle.is_draining() {
                        self.tell_peer(peer, &[STOPPING]);
                    }
                    if let Some(at) = self.standing.heard.get(&peer) {
                        let ago = u32::try_from(self.now.saturating_sub(*at) / 1_000).unwrap_or(u32::MAX);
                        self.tell_peer(peer, &[&[HEARD][..], &ago.to_be_bytes()].concat());
                    }
                }
                [HEARD, a, b, c, d] => {
                    let ago = Micros::from(u32::from_be_bytes([a, b, c, d])) * 1_000;
                    self.was_heard(self.now.saturating_sub(ago));
                }
                [STOPPING] => self.standing.states.heard(peer, true),
                _ if self.fleet_hears(peer, &buf[..len]) => {}
                _ => {
                    self.standing.heard.insert(peer, self.now);
                    self.core.on_peer_message(peer, buf[..len].to_vec());
                }
            }
        }
    }
}
