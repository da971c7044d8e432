//! The pieces of an outgoing message. A vectored write sends them together without a copy.

use std::ops::Range;
use std::rc::Rc;

/// One contiguous piece of a message.
#[derive(Clone, Debug)]
pub enum Piece {
    /// Constant text.
    Static(&'static [u8]),
    /// Bytes that only this message uses.
    Owned(Vec<u8>),
    /// A range of a buffer that other messages may share.
    Shared(Rc<Vec<u8>>, Range<usize>),
}

impl Piece {
    /// The bytes of the piece.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Piece::Static(bytes) => bytes,
            Piece::Owned(bytes) => bytes,
            Piece::Shared(buffer, range) => &buffer[range.clone()],
        }
    }
}

impl From<&'static str> for Piece {
    fn from(text: &'static str) -> Piece {
        Piece::Static(text.as_bytes())
    }
}

impl From<String> for Piece {
    fn from(text: String) -> Piece {
        Piece::Owned(text.into_bytes())
    }
}
