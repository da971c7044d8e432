//! Responses to requests at a stream's path, and to submissions with `Prefer: respond-async`.

use super::StreamFraming;
use crate::http::Piece;
use crate::protocol::message::connection_line;
use crate::protocol::names::STREAM_PATH_PREFIX;
use crate::protocol::platform::RawRequest;
use mothproxy_streams::{PublicJobId, WatchToken};
use serde_json::json;

/// The methods allowed at a stream's path.
const STREAM_METHODS: &str = "GET, HEAD, OPTIONS";

/// The header lines that let pages of an allowed origin read the response (Fetch standard, "CORS protocol"); empty if the
/// request's origin is not in `allowed_origins`.
pub fn cors(request: &RawRequest, allowed_origins: &[String]) -> String {
    let origin = request.field("origin").unwrap_or("");
    if !allowed_origins.iter().any(|allowed| allowed == origin) {
        return String::new();
    }
    format!(
        "Access-Control-Allow-Origin: {origin}\r\nAccess-Control-Expose-Headers: Location\r\nVary: Origin\r\n"
    )
}

/// The response to a CORS preflight: the allowed methods and headers, or 403 if `cors` is empty because the origin is not
/// allowed.
pub fn preflight(cors: &str, keep_alive: bool) -> Vec<Piece> {
    let connection = connection_line(keep_alive);
    let head = if cors.is_empty() {
        format!("HTTP/1.1 403 Forbidden\r\n{connection}Content-Length: 0\r\n\r\n")
    } else {
        format!(
            "HTTP/1.1 204 No Content\r\n{cors}Access-Control-Allow-Methods: GET, HEAD, POST\r\n\
             Access-Control-Allow-Headers: authorization, content-type, idempotency-key, last-event-id, prefer, \
             x-account, x-correlation-id, x-service-class, x-time-left-ms, x-unwatched\r\n\
             Access-Control-Max-Age: 600\r\n{connection}\r\n"
        )
    };
    vec![head.into()]
}

/// A plain-text response at a stream's path. `extra` holds further header lines. `has_body` is false for `HEAD`, whose response
/// states the length of the text but does not include it.
pub fn plain_text(status: &str, extra: &str, text: &str, keep_alive: bool, has_body: bool) -> Vec<Piece> {
    let head = plain_text_head(status, extra, text.len(), keep_alive);
    let body: Piece = if has_body { text.to_owned().into() } else { "".into() };
    vec![head, body]
}

/// The head of a plain-text response. A 204 response has no content, so its head has no header lines about content.
fn plain_text_head(status: &str, extra: &str, content_length: usize, keep_alive: bool) -> Piece {
    let connection = connection_line(keep_alive);
    let content = if status.starts_with("204") {
        String::new()
    } else {
        format!("Content-Type: text/plain\r\nContent-Length: {content_length}\r\n")
    };
    format!("HTTP/1.1 {status}\r\nCache-Control: no-store\r\n{extra}{connection}{content}\r\n").into()
}

/// The response to a method that is not allowed at a stream's path.
pub fn method_not_allowed(keep_alive: bool) -> Vec<Piece> {
    let allow = format!("Allow: {STREAM_METHODS}\r\n");
    let text = "Method Not Allowed";
    vec![plain_text_head("405 Method Not Allowed", &allow, text.len(), keep_alive), text.into()]
}

/// The response to a submitted job: the path of its stream.
pub fn submitted(public_id: PublicJobId, token: WatchToken, cors: &str, keep_alive: bool) -> Vec<Piece> {
    let (public_id, token) = (public_id.0, token.0);
    let location = format!("{STREAM_PATH_PREFIX}{public_id:016x}?token={token:032x}");
    let body =
        json!({ "stream": location, "id": format!("{public_id:016x}"), "token": format!("{token:032x}") })
            .to_string();
    let connection = connection_line(keep_alive);
    let head = format!(
        "HTTP/1.1 202 Accepted\r\nLocation: {location}\r\nPreference-Applied: respond-async\r\nCache-Control: no-store\r\n\
         {cors}{connection}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    vec![head.into(), body.into()]
}

/// The head of a stream.
pub fn stream_head(framing: StreamFraming, cors: &str, keep_alive: bool) -> Vec<Piece> {
    let coding = match framing {
        StreamFraming::Chunked => "Transfer-Encoding: chunked\r\n",
        StreamFraming::UntilClose => "",
    };
    let connection = connection_line(keep_alive);
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n";
    vec![format!("{head}X-Accel-Buffering: no\r\n{cors}{connection}{coding}\r\n").into()]
}
