//! The datagrams by which dispatchers announce whether they serve. They share the peer socket with the messages of the decision
//! module and of the membership, which are passed on unchanged.

/// The maximum length of a datagram, in bytes.
pub(in crate::server) const MAX_DATAGRAM: usize = 256;

const SERVING: u8 = b'U';
const STOPPING: u8 = b'S';
const LAST_MESSAGE_AGE: u8 = b'H';

/// A datagram of the peer socket. Each of the first three variants has a fixed length; any other datagram is a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::server) enum PeerDatagram<'a> {
    /// The sender serves from now on. Encoded as the byte `U`.
    Serving,
    /// The sender is about to stop. Encoded as the byte `S`.
    Stopping,
    /// The answer to [`PeerDatagram::Serving`]: how long ago the answering dispatcher last received a message of the decision
    /// module from the receiver's place. Encoded as the byte `H` and the age in four bytes, big-endian.
    LastMessageAge {
        /// The time since that message arrived, in milliseconds.
        age_ms: u32,
    },
    /// A message of the decision module or of the membership.
    Message(&'a [u8]),
}

impl<'a> PeerDatagram<'a> {
    /// Decodes a datagram. Decoding cannot fail, because a datagram of unknown form is a message.
    pub(in crate::server) fn decode(bytes: &'a [u8]) -> PeerDatagram<'a> {
        match *bytes {
            [SERVING] => PeerDatagram::Serving,
            [STOPPING] => PeerDatagram::Stopping,
            [LAST_MESSAGE_AGE, a, b, c, d] => {
                PeerDatagram::LastMessageAge { age_ms: u32::from_be_bytes([a, b, c, d]) }
            }
            _ => PeerDatagram::Message(bytes),
        }
    }

    pub(in crate::server) fn encode(self) -> Vec<u8> {
        match self {
            PeerDatagram::Serving => vec![SERVING],
            PeerDatagram::Stopping => vec![STOPPING],
            PeerDatagram::LastMessageAge { age_ms } => {
                [&[LAST_MESSAGE_AGE][..], &age_ms.to_be_bytes()].concat()
            }
            PeerDatagram::Message(bytes) => bytes.to_vec(),
        }
    }
}

#[cfg(test)]
mod tests;
