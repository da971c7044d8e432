//! The encoding of a stream's events, and their framing on the connection.

use crate::core::FinalResponse;
use crate::http::Piece;
use crate::http::events::write_event;
use crate::policy::interface::MICROS_PER_MS;
use mothproxy_streams::{JobEvent, Micros};
use serde_json::json;
use std::rc::Rc;

const MS_PER_SECOND: f64 = 1_000.0;

/// How the bytes of a stream are framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFraming {
    /// The chunked transfer coding (RFC 9112, 7.1); the connection may stay open after the stream.
    Chunked,
    /// No framing: the stream ends with the connection. Used for HTTP/1.0.
    UntilClose,
}

impl StreamFraming {
    /// Frames a part of the stream.
    pub(in crate::protocol) fn frame(self, bytes: Vec<u8>) -> Vec<Piece> {
        match self {
            StreamFraming::Chunked => {
                vec![format!("{:x}\r\n", bytes.len()).into(), Piece::Owned(bytes), "\r\n".into()]
            }
            StreamFraming::UntilClose => vec![Piece::Owned(bytes)],
        }
    }

    /// The bytes that end the stream.
    pub fn end(self) -> Vec<Piece> {
        match self {
            StreamFraming::Chunked => vec!["0\r\n\r\n".into()],
            StreamFraming::UntilClose => Vec::new(),
        }
    }
}

/// The `retry` field, framed: how long a client waits before it reconnects to a lost stream. `delay` is in microseconds.
pub fn retry(framing: StreamFraming, delay: Micros) -> Vec<Piece> {
    framing.frame(format!("retry: {}\n\n", delay / MICROS_PER_MS).into_bytes())
}

/// One event, framed. All watchers of the same framing share its bytes.
pub fn event(framing: StreamFraming, event: &JobEvent) -> Rc<Vec<u8>> {
    let mut bytes = format!("id: {}\n", event.id).into_bytes();
    bytes.extend(write_event(&event.name, &event.data));
    let pieces = framing.frame(bytes);
    Rc::new(pieces.iter().flat_map(|piece| piece.bytes().iter().copied()).collect())
}

/// An event that reports how many events the client has missed. The event has no id, so that the client's last event id is
/// unchanged and a reconnect skips no further events.
pub fn missed(framing: StreamFraming, count: u64) -> Vec<Piece> {
    framing.frame(write_event("missed", &json!({ "count": count }).to_string()))
}

/// A comment that keeps the stream alive.
pub fn heartbeat(framing: StreamFraming) -> Vec<Piece> {
    framing.frame(b": alive\n\n".to_vec())
}

/// The name and the data of a job's final event.
pub fn final_event(response: FinalResponse) -> (&'static str, String) {
    let (name, data) = match response {
        FinalResponse::Served(result) => ("done", json!({ "result": String::from_utf8_lossy(&result) })),
        FinalResponse::Rejected(None) => ("deny", json!({})),
        FinalResponse::Rejected(Some(retry_after)) => {
            // Seconds, rounded up to the millisecond.
            ("deny", json!({ "retry_after": retry_after.div_ceil(MICROS_PER_MS) as f64 / MS_PER_SECOND }))
        }
        FinalResponse::Failed => ("failed", json!({ "status": 500, "reason": "failed" })),
        FinalResponse::TimedOut => ("failed", json!({ "status": 504, "reason": "timed out" })),
    };
    (name, data.to_string())
}
