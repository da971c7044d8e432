//! An incremental reader of response bodies under each kind of framing (RFC 9112, 6.3).

use super::chunked::ChunkError;
use super::{Chunked, Framing};
use thiserror::Error;

/// The part of a body that has not been read yet.
#[derive(Debug)]
pub enum Body {
    /// A body of known length; this many bytes are left.
    Length(usize),
    /// A chunked body, with the state of its decoder.
    Chunked(Chunked),
    /// A body that ends when the connection is closed.
    UntilClose,
}

/// The body violates its framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the body violates its framing")]
pub struct BodyError(#[from] ChunkError);

impl Body {
    /// Creates the body of a response with this framing, of which nothing has been read yet.
    pub fn new(framing: Framing) -> Body {
        match framing {
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::Chunked(Chunked::default()),
            Framing::Absent => Body::UntilClose,
        }
    }

    /// Whether the body is complete. A body without framing never is, because it ends with the connection.
    pub fn is_done(&self) -> bool {
        match self {
            Body::Length(remaining) => *remaining == 0,
            Body::Chunked(chunks) => chunks.is_done(),
            Body::UntilClose => false,
        }
    }

    /// Whether the end of the connection completes the body.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self, Body::UntilClose)
    }

    /// Moves the bytes that belong to the body from `input` to `out`, decoded.
    ///
    /// # Errors
    /// [`BodyError`] if the chunked coding is malformed.
    pub fn feed(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), BodyError> {
        match self {
            Body::Length(remaining) => {
                let taken = input.len().min(*remaining);
                out.extend(input.drain(..taken));
                *remaining -= taken;
            }
            Body::Chunked(chunks) => {
                let used = chunks.decode(input, out)?;
                input.drain(..used);
            }
            Body::UntilClose => out.append(input),
        }
        Ok(())
    }
}
