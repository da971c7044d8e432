//! Bodies of answers, however they are delimited.

use super::{Chunked, Framing};

/// What is still to come of a body.
#[derive(Debug)]
pub enum Body {
    /// So many bytes.
    Length(usize),
    /// Chunks.
    Chunked(Chunked),
    /// All until the connection ends.
    ToEnd,
}

/// The body does not keep to its framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyError;

impl Body {
    /// The body of an answer with this framing.
    pub fn new(framing: Framing) -> Body {
        match framing {
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::Chunked(Chunked::default()),
            Framing::Absent => Body::ToEnd,
        }
    }

    /// Whether all of it has come.
    pub fn is_done(&self) -> bool {
        match self {
            Body::Length(left) => *left == 0,
            Body::Chunked(chunks) => chunks.is_done(),
            Body::ToEnd => false,
        }
    }

    /// Whether the end of the connection completes it.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self, Body::ToEnd)
    }

    /// Moves what belongs to it from the inbox to `out`.
    pub fn feed(&mut self, inbox: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), BodyError> {
        match self {
            Body::Length(left) => {
                let piece = inbox.len().min(*left);
                out.extend(inbox.drain(..piece));
                *left -= piece;
            }
            Body::Chunked(chunks) => {
                let used = chunks.decode(inbox, out).map_err(|_| BodyError)?;
                inbox.drain(..used);
            }
            Body::ToEnd => out.append(inbox),
        }
        Ok(())
    }
}
