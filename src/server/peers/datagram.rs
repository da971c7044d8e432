//! The datagrams by which dispatchers announce whether they serve. They share the peer socket with the messages of the decision
//! module and of the membership, which are passed on unchanged.

/// The maximum length of a datagram, in bytes.
pub(in crate::server) const MAX_DATAGRAM: usize = 256;

const SERVING: u8 = b'U';
const STOPPING: u8 = b'S';
const LAST_HEARD: u8 = b'H';

/// A datagram of the peer socket. Each of the first three variants has one exact length; any other datagram is a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::server) enum PeerDatagram<'a> {
    /// The sender serves from now on: the one byte `U`.
    Serving,
    /// The sender is about to stop: the one byte `S`.
    Stopping,
    /// The answer to [`PeerDatagram::Serving`]: how long ago its sender last received a message of the decision module from the
    /// receiver's place. The byte `H` and four bytes, most significant first.
    LastHeard {
        /// In milliseconds.
        age_ms: u32,
    },
    /// A message of the decision module or of the membership.
    Message(&'a [u8]),
}

impl<'a> PeerDatagram<'a> {
    /// Decodes a datagram. This cannot fail: an unknown datagram is a message.
    pub(in crate::server) fn decode(bytes: &'a [u8]) -> PeerDatagram<'a> {
        match *bytes {
            [SERVING] => PeerDatagram::Serving,
            [STOPPING] => PeerDatagram::Stopping,
            [LAST_HEARD, a, b, c, d] => PeerDatagram::LastHeard { age_ms: u32::from_be_bytes([a, b, c, d]) },
            _ => PeerDatagram::Message(bytes),
        }
    }

    /// Encodes the datagram.
    pub(in crate::server) fn encode(self) -> Vec<u8> {
        match self {
            PeerDatagram::Serving => vec![SERVING],
            PeerDatagram::Stopping => vec![STOPPING],
            PeerDatagram::LastHeard { age_ms } => [&[LAST_HEARD][..], &age_ms.to_be_bytes()].concat(),
            PeerDatagram::Message(bytes) => bytes.to_vec(),
        }
    }
}

#[cfg(test)]
mod tests;
