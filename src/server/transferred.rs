//! The connections and requests that a process hands over to its successor, as they are written in a handover message.
//!
//! The JSON names of the fields must stay those of the versions in operation, because the other process may run an earlier
//! version.

use crate::core::transfer::TransferredRequest;
use crate::http::{self, Piece};
use crate::policy::interface::Micros;
use crate::protocol::platform::RawRequest;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The state that another process needs to continue a client connection.
#[derive(Deserialize, Serialize)]
pub(super) struct TransferredClient {
    /// Whether the connection was accepted at the address of event streams.
    #[serde(rename = "sse")]
    pub is_from_sse_listener: bool,
    /// Whether no complete request has arrived on the connection yet.
    #[serde(rename = "unasked")]
    pub is_awaiting_request: bool,
    /// Whether a worker sends status callbacks on the connection.
    #[serde(rename = "calls_back")]
    pub has_callbacks: bool,
    /// For how long bytes on the connection may have been waiting, in microseconds; `None` if the version does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unread_for: Option<Micros>,
    /// The request whose response the client awaits.
    #[serde(rename = "session")]
    pub request: Option<TransferredExchange>,
}

/// A request that is handed over with its client's connection or with its job. In the packet it is followed by the request's
/// bytes, by the body if those bytes do not include it, and by the bytes read after the request.
#[derive(Deserialize, Serialize)]
pub(super) struct TransferredExchange {
    /// The core's state of the request.
    #[serde(rename = "moved")]
    pub request: TransferredRequest,
    /// Whether the client's connection is kept after the response.
    pub keep_alive: bool,
    /// Whether the response's event stream has begun; `None` if the response is not an event stream.
    #[serde(rename = "stream")]
    pub has_stream_begun: Option<bool>,
    /// Whether the request has lost an attempt because the attempt's connection broke.
    #[serde(rename = "broken")]
    pub has_broken_attempt: bool,
    /// The length of the request's bytes in the packet.
    #[serde(rename = "bytes")]
    pub length: usize,
    /// The length of the body, if the body is separate from those bytes.
    #[serde(rename = "body")]
    pub body_length: Option<usize>,
}

impl TransferredExchange {
    /// Creates the state of a request from the core's state and its bytes. The other fields describe a request whose connection
    /// is not kept, without a stream and without a broken attempt.
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

/// A job of the event streams that is handed over to the successor; in the packet the bytes of its request follow.
#[derive(Deserialize, Serialize)]
pub(super) struct TransferredJob {
    /// The job with its events.
    pub job: mothproxy_streams::TransferredJob,
    /// The job's request, while it is open.
    #[serde(rename = "session")]
    pub request: Option<TransferredExchange>,
}

/// Whether a request's body is separate from its bytes. A chunked body is assembled in a separate buffer.
fn has_separate_body(raw: &RawRequest) -> bool {
    !matches!(raw.body, Piece::Shared(..))
}

/// Returns a request's bytes in the order in which they follow its [`TransferredExchange`]. [`split_request`] reads them.
pub(super) fn request_bytes(raw: &RawRequest) -> impl Iterator<Item = &[u8]> {
    let body = has_separate_body(raw).then(|| raw.body.bytes());
    std::iter::once(raw.bytes.as_slice()).chain(body)
}

/// The bytes of a packet, split into their parts.
pub(super) struct SplitBytes<'a> {
    /// The request; `None` if the message states that none follows.
    pub request: Option<RawRequest>,
    /// The bytes read after the request.
    pub rest: &'a [u8],
}

/// Splits the bytes of a packet into the request and the bytes read after it. Returns `None` if they do not match the message.
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
