//! What is to be written: pieces that go out together by a gathered write, none of them copied.

use std::ops::Range;
use std::rc::Rc;

/// One piece.
#[derive(Clone, Debug)]
pub enum Piece {
    /// Text of the program.
    Fixed(&'static [u8]),
    /// Bytes made for this message.
    Made(Vec<u8>),
    /// A part of a message that was read.
    Part(Rc<Vec<u8>>, Range<usize>),
}

impl Piece {
    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Piece::Fixed(bytes) => bytes,
            Piece::Made(bytes) => bytes,
            Piece::Part(bytes, range) => &bytes[range.clone()],
        }
    }
}

impl From<&'static str> for Piece {
    fn from(text: &'static str) -> Piece {
        Piece::Fixed(text.as_bytes())
    }
}

impl From<String> for Piece {
    fn from(text: String) -> Piece {
        Piece::Made(text.into_bytes())
    }
}
