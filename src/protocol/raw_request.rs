//! A request as it was read, before it is routed.

use crate::http::{Piece, RequestHead};
use std::rc::Rc;
use std::str::Utf8Error;

/// A complete request: its head as it was read, and its body.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// The bytes of the head, followed by those of the body unless it was chunked. The ranges of `head` refer to them.
    pub bytes: Rc<Vec<u8>>,
    /// The head, parsed in place.
    pub head: RequestHead,
    /// The body: a range of `bytes`, or decoded chunks.
    pub body: Piece,
}

impl RawRequest {
    /// The memory of the request, in bytes. A body that was not chunked is a part of `bytes`.
    pub fn memory(&self) -> usize {
        let separate_body = if let Piece::Owned(body) = &self.body { body.len() } else { 0 };
        self.bytes.len() + separate_body
    }

    pub(super) fn method(&self) -> &[u8] {
        &self.bytes[self.head.method.clone()]
    }

    /// The path and query, as text.
    pub(super) fn target(&self) -> Result<&str, Utf8Error> {
        std::str::from_utf8(&self.bytes[self.head.target.clone()])
    }

    /// The value of the first field of this name; `None` if there is none or its value is not UTF-8.
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        self.head.fields.text(&self.bytes, name)
    }
}
