//! Bodies of responses, whichever way they are delimited (RFC 9112, 6.3).

use super::chunked::ChunkError;
use super::{Chunked, Framing};
use thiserror::Error;

/// What is still to come of a body.
#[derive(Debug)]
pub enum Body {
    /// This many bytes.
    Length(usize),
    /// Chunks.
    Chunked(Chunked),
    /// All bytes until the connection closes.
    UntilClose,
}

/// The body does not keep to its framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the body does not keep to its framing")]
pub struct BodyError(#[from] ChunkError);

impl Body {
    /// The body of a response with this framing.
    pub fn new(framing: Framing) -> Body {
        match framing {
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::Chunked(Chunked::default()),
            Framing::Absent => Body::UntilClose,
        }
    }

    /// Whether the body is complete. One that lasts until the connection closes never is.
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

    /// Moves the bytes that belong to the body from `inbox` to `out`, decoded.
    ///
    /// # Errors
    /// [`BodyError`] where the chunked coding is broken.
    pub fn feed(&mut self, inbox: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), BodyError> {
        match self {
            Body::Length(remaining) => {
                let taken = inbox.len().min(*remaining);
                out.extend(inbox.drain(..taken));
                *remaining -= taken;
            }
            Body::Chunked(chunks) => {
                let used = chunks.decode(inbox, out)?;
                inbox.drain(..used);
            }
            Body::UntilClose => out.append(inbox),
        }
        Ok(())
    }
}
