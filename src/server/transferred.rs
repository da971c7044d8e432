//! What goes over from one process of a dispatcher to its successor, as it is written in a message of the handover.
//!
//! The names of fields in JSON are those of the versions that are running: a process of an earlier version may be on the
//! other side.

use crate::core::transfer::TransferredRequest;
use crate::http::{self, Piece};
use crate::protocol::platform::RawRequest;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// What another process must know of a client's connection to go on with it.
#[derive(Deserialize, Serialize)]
pub(super) struct TransferredClient {
    /// It came to the address of event streams.
    #[serde(rename = "sse")]
    pub is_sse: bool,
    /// No whole request has come on it yet.
    #[serde(rename = "unasked")]
    pub is_awaiting_request: bool,
    /// A worker sends its callbacks on it.
    #[serde(rename = "calls_back")]
    pub has_callbacks: bool,
    /// The request that it awaits a response to.
    #[serde(rename = "session")]
    pub request: Option<TransferredExchange>,
}

/// A request that goes over with its client's connection, or with its job. In the packet follow the request's bytes, its
/// body if that is not among them, and what was read behind it.
#[derive(Deserialize, Serialize)]
pub(super) struct TransferredExchange {
    /// What the core knows of it.
    #[serde(rename = "moved")]
    pub request: TransferredRequest,
    /// Whether its client's connection is kept after the response.
    pub keep_alive: bool,
    /// Where it is answered by a stream: whether that has begun.
    #[serde(rename = "stream")]
    pub has_stream_begun: Option<bool>,
    /// It has lost an attempt with its connection.
    #[serde(rename = "broken")]
    pub has_broken_attempt: bool,
    /// How many bytes of the packet are the request's.
    #[serde(rename = "bytes")]
    pub length: usize,
    /// Where the body lies apart from those bytes, its length.
    #[serde(rename = "body")]
    pub body_length: Option<usize>,
}

impl TransferredExchange {
    /// A request of which nothing is known but what the core and its bytes say.
    pub fn new(request: TransferredRequest, raw: &RawRequest) -> TransferredExchange {
        TransferredExchange {
            request,
            keep_alive: false,
            has_stream_begun: None,
            has_broken_attempt: false,
            length: raw.bytes.len(),
            body_length: has_separate_body(raw).then(|| raw.body.bytes().len()),
        }
    }
}

/// A job of the event streams, on its way to the successor; its request's bytes follow.
#[derive(Deserialize, Serialize)]
pub(super) struct TransferredJob {
    /// The job with its events.
    pub job: mothproxy_streams::TransferredJob,
    /// Its request, as long as that is open.
    #[serde(rename = "session")]
    pub request: Option<TransferredExchange>,
}

/// Whether a request's body is not among its bytes: a chunked one is put together apart.
fn has_separate_body(raw: &RawRequest) -> bool {
    !matches!(raw.body, Piece::Shared(..))
}

/// A request's bytes as they follow its [`TransferredExchange`]; [`split_request`] reads them.
pub(super) fn request_bytes(raw: &RawRequest) -> impl Iterator<Item = &[u8]> {
    let body = has_separate_body(raw).then(|| raw.body.bytes());
    std::iter::once(raw.bytes.as_slice()).chain(body)
}

/// The bytes of a packet, apart.
pub(super) struct SplitBytes<'a> {
    /// The request, if the message says that one follows.
    pub request: Option<RawRequest>,
    /// What was read behind it.
    pub rest: &'a [u8],
}

/// Reads a request and what was read behind it out of the bytes of a packet. `None` where they do not fit the message.
pub(super) fn split_request<'a>(
    exchange: Option<&TransferredExchange>,
    bytes: &'a [u8],
) -> Option<SplitBytes<'a>> {
    let Some(exchange) = exchange else { return Some(SplitBytes { request: None, rest: bytes }) };
    let (request, rest) = bytes.split_at_checked(exchange.length)?;
    let head = http::read_request(request).ok().flatten()?;
    let request = Rc::new(request.to_vec());
    let (body, rest) = match exchange.body_length {
        None => (Piece::Shared(request.clone(), head.len..request.len()), rest),
        Some(length) => {
            let (body, rest) = rest.split_at_checked(length)?;
            (Piece::Owned(body.to_vec()), rest)
        }
    };
    Some(SplitBytes { request: Some(RawRequest { bytes: request, head, body }), rest })
}
