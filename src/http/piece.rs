//! Pieces of a message to be written. A gathered write sends them together without a copy.

use std::ops::Range;
use std::rc::Rc;

/// One contiguous piece of a message.
#[derive(Clone, Debug)]
pub enum Piece {
    /// Text that is part of the program.
    Static(&'static [u8]),
    /// Bytes that belong to this message alone.
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
