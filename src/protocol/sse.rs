//! Server-sent events in the response to a job: a `POST` with `Accept: text/event-stream` is answered with the job's progress and
//! one final event.

use super::event_streams::{self, StreamFraming};
use super::message::connection_line;
use super::platform::RawRequest;
use crate::core::FinalResponse;
use crate::http::{Piece, events::write_event};
use serde_json::json;

/// Whether a request asks for an event stream as its response: its `Accept` header names `text/event-stream`.
pub fn wants_stream(request: &RawRequest) -> bool {
    let accept = request.field("accept").unwrap_or("");
    let mut media_types = accept.split(',').map(|item| item.split(';').next().unwrap_or("").trim());
    media_types.any(|media_type| media_type.eq_ignore_ascii_case("text/event-stream"))
}

/// The head of a response that is an event stream.
pub fn head(keep_alive: bool) -> Vec<Piece> {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n";
    vec![head.into(), connection_line(keep_alive).into(), "Transfer-Encoding: chunked\r\n\r\n".into()]
}

fn event(name: &str, data: &str) -> Vec<Piece> {
    StreamFraming::Chunked.frame(write_event(name, data))
}

/// The event that reports the start of the job.
pub fn started() -> Vec<Piece> {
    event("started", "{}")
}

/// The event that reports the completed fraction of the job, 0 to 1.
pub fn progress(fraction: f64) -> Vec<Piece> {
    event("progress", &json!({ "share": fraction }).to_string())
}

/// A comment that keeps the stream alive.
pub fn heartbeat() -> Vec<Piece> {
    event_streams::heartbeat(StreamFraming::Chunked)
}

/// The final event and the end of the stream.
pub fn final_event(response: FinalResponse) -> Vec<Piece> {
    let (name, data) = event_streams::final_event(response);
    let mut pieces = event(name, &data);
    pieces.extend(StreamFraming::Chunked.end());
    pieces
}
