//! Datagrams between dispatchers.

use super::Server;

/// The longest datagram that may be sent.
const MOST: usize = 256;

impl Server {
    pub(super) fn tell_peers(&mut self, bytes: &[u8]) {
        let Some(socket) = self.peers.as_ref().filter(|_| bytes.len() <= MOST) else { return };
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

    pub(super) fn hear_peers(&mut self) {
        let Some(socket) = &self.peers else { return };
        let mut buf = [0; MOST + 1];
        for _ in 0..super::ACCEPTS {
            let Ok((len, from)) = socket.recv_from(&mut buf) else { return };
            match self.config.peers.iter().position(|peer| *peer == from) {
                Some(peer) if len <= MOST => self.core.mail(peer as u32, buf[..len].to_vec()),
                _ => self.counts.bad_datagrams += 1,
            }
        }
    }
}
