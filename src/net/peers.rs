//! Datagrams between dispatchers: the module's own, and whether each of them serves or is about to stop.

use super::{PEER_TIMER, Server};
use crate::interface::Micros;

/// The longest datagram that may be sent.
const MOST: usize = 256;
/// A datagram of this one byte says that its sender serves from now on ...
const SERVING: u8 = b'U';
/// ... or that it takes its leave. All others belong to the module.
const STOPPING: u8 = b'S';
/// Datagrams get lost, now and then all for a while: serving is said again so often, stopping until the end, and each
/// time so long after.
const REPEATS: u32 = 4;
const REPEAT_AFTER: Micros = 150_000;
/// In a larger fleet not all others stop at once: nothing that these say is worth a datagram to each of them.
const MOST_PEERS: usize = 16;

impl Server {
    /// The module's own, to one of the others.
    pub(super) fn tell_peer(&self, to: u32, bytes: &[u8]) {
        let to = self.config.peers.get(to as usize).filter(|_| bytes.len() <= MOST && !self.handed);
        if let Some((socket, to)) = self.peers.as_ref().zip(to) {
            drop(socket.send_to(bytes, to));
        }
    }

    fn tell_peers(&mut self, bytes: &[u8]) {
        // During an upgrade the younger process speaks for both.
        let Some(socket) = self.peers.as_ref().filter(|_| bytes.len() <= MOST && !self.handed) else {
            return;
        };
        // A datagram may be lost in any case; one that cannot be sent now is.
        match self.config.peers_all {
            Some(all) => drop(socket.send_to(bytes, all)),
            None => {
                let me = self.config.settings.me as usize;
                let others = self.config.peers.iter().enumerate().filter(|(n, _)| *n != me);
                others.for_each(|(_, to)| drop(socket.send_to(bytes, to)));
            }
        }
    }

    /// Says whether this dispatcher serves or stops, now and a few times more.
    pub(super) fn tell_state(&mut self) {
        if self.peers.is_some() && self.config.may_tell_state && self.tells_all() {
            self.state_repeats = REPEATS;
            self.tell_state_once();
        }
    }

    fn tells_all(&self) -> bool {
        self.config.peers.len() <= MOST_PEERS
    }

    fn tell_state_once(&mut self) {
        self.tell_peers(&[if self.takes_leave() { STOPPING } else { SERVING }]);
        self.core.remind(self.now + REPEAT_AFTER, PEER_TIMER);
    }

    pub(super) fn tell_state_again(&mut self) {
        if (self.stopping.is_some() && self.tells_all()) || self.state_repeats > 0 {
            self.state_repeats = self.state_repeats.saturating_sub(1);
            self.tell_state_once();
        }
    }

    /// Whether every other dispatcher has said that it stops and none that it serves again.
    pub(super) fn peers_stopped(&self) -> bool {
        let me = self.config.settings.me;
        let mut others = (0..self.config.peers.len() as u32).filter(|n| *n != me).peekable();
        others.peek().is_some() && others.all(|n| self.stopped_peers.contains(&n))
    }

    pub(super) fn hear_peers(&mut self) {
        let mut buf = [0; MOST + 1];
        for _ in 0..super::ACCEPTS {
            let Some(Ok((len, from))) = self.peers.as_ref().map(|socket| socket.recv_from(&mut buf)) else {
                return;
            };
            let peer = self.config.peers.iter().position(|peer| *peer == from);
            let Some(peer) = peer.filter(|_| len <= MOST).map(|n| n as u32) else {
                self.counts.bad_datagrams += 1;
                continue;
            };
            match buf[..len] {
                [SERVING] => {
                    self.stopped_peers.remove(&peer);
                    // One that has just started cannot know who is about to stop.
                    if self.takes_leave() {
                        self.tell_peers(&[STOPPING]);
                    }
                }
                [STOPPING] => drop(self.stopped_peers.insert(peer)),
                _ if self.fleet_hears(peer, &buf[..len]) => {}
                _ => self.core.mail(peer, buf[..len].to_vec()),
            }
        }
    }
}
