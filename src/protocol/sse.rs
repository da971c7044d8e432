//! Server-sent events: the same requests, with `Accept: text/event-stream`, and progress on the way to the one
//! final event.

use super::platform;
use super::watch::Frame;
use crate::core::FinalResponse;
use crate::http::{Piece, events::write_event};
use serde_json::json;

/// Whether a request asks for a stream.
pub fn wants_stream(raw: &platform::RawRequest) -> bool {
    let listed = raw.head.fields.text(&raw.bytes, "accept").unwrap_or("");
    let mut types = listed.split(',').map(|item| item.split(';').next().unwrap_or("").trim());
    types.any(|item| item.eq_ignore_ascii_case("text/event-stream"))
}

/// The head of a stream.
pub fn head(keep_alive: bool) -> Vec<Piece> {
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n";
    vec![head.into(), close.into(), "Transfer-Encoding: chunked\r\n\r\n".into()]
}

/// Bytes of the stream as one chunk.
fn chunk(bytes: Vec<u8>) -> Vec<Piece> {
    Frame::Chunked.wrap(bytes)
}

/// The job has started.
pub fn started() -> Vec<Piece> {
    chunk(write_event("started", "{}"))
}

/// The share done.
pub fn progress(share: f64) -> Vec<Piece> {
    chunk(write_event("progress", &json!({ "share": share }).to_string()))
}

/// A comment that keeps the stream alive.
pub fn heartbeat() -> Vec<Piece> {
    super::watch::heartbeat(Frame::Chunked)
}

/// The final event and the end of the stream.
pub fn last(answer: FinalResponse) -> Vec<Piece> {
    let (name, data) = super::watch::final_event(answer);
    let mut out = chunk(write_event(name, &data));
    out.push("0\r\n\r\n".into());
    out
}
