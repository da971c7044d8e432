//! Jobs apart from their streams, as the SSE front words them: handing in with `Prefer: respond-async` (RFC 7240), the place of a
//! job, and streams that a browser's `EventSource` can open again (HTML standard, "Server-sent events").

use super::platform::RawRequest;
use crate::core::FinalResponse;
use crate::http::Piece;
use mothproxy_streams::{JobEvent, Micros};
use serde_json::json;
use std::rc::Rc;

/// Where streams lie.
pub const PLACE: &str = "/streams/";
/// Methods that a place knows.
const METHODS: &str = "GET, HEAD, OPTIONS";

/// Which job a request wants to watch, and from where on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// The job's id; `None` where the path names none.
    pub public: Option<u64>,
    /// Its token; `None` where none can be read.
    pub token: Option<u128>,
    /// The last event that the client has.
    pub after: Option<u64>,
}

fn hex<T>(text: &str, digits: usize, read: impl Fn(&str) -> Option<T>) -> Option<T> {
    let plain =
        text.len() == digits && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if plain { read(text) } else { None }
}

/// Whether a job is handed in to be watched later.
pub fn wants_async(raw: &RawRequest) -> bool {
    let listed = raw.head.fields.text(&raw.bytes, "prefer").unwrap_or("");
    listed.split([',', ';']).any(|item| item.trim().eq_ignore_ascii_case("respond-async"))
}

/// Whether it ends once nobody watches it; `None` where the field says neither.
pub fn ends_unwatched(raw: &RawRequest) -> Option<bool> {
    match raw.head.fields.text(&raw.bytes, "x-unwatched").map(str::trim) {
        None | Some("go-on") => Some(false),
        Some("end") => Some(true),
        Some(_) => None,
    }
}

/// What a request at a place wants; `None` where its path is no place.
pub fn wanted(raw: &RawRequest) -> Option<Wanted> {
    let text = std::str::from_utf8(&raw.bytes[raw.head.target.clone()]).ok()?;
    let (path, query) = text.split_once('?').unwrap_or((text, ""));
    let id = path.strip_prefix(PLACE)?;
    let pair =
        |name: &str| query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name).map(|p| p.1);
    let field = |name| raw.head.fields.text(&raw.bytes, name);
    let bearer = field("authorization").and_then(|v| v.trim().strip_prefix("Bearer ")).map(str::trim);
    let token = bearer.or(pair("token")).unwrap_or("");
    // The field wins: a browser sends it with each try, the query stays as it was at the first.
    let after = field("last-event-id").or(pair("last_event_id")).map(str::trim);
    Some(Wanted {
        public: hex(id, 16, |t| u64::from_str_radix(t, 16).ok()),
        token: hex(token, 32, |t| u128::from_str_radix(t, 16).ok()),
        after: after
            .filter(|t| t.len() <= 20 && t.bytes().all(|b| b.is_ascii_digit()))
            .and_then(|t| t.parse().ok()),
    })
}

/// Whether a client takes an event stream (RFC 9110, 12.5.1): without `Accept` it does, and with `q=0` it does not.
pub fn takes_streams(raw: &RawRequest) -> bool {
    let Some(listed) = raw.head.fields.text(&raw.bytes, "accept") else { return true };
    let mut best: Option<(u8, bool)> = None;
    for item in listed.split(',') {
        let mut parts = item.split(';').map(str::trim);
        let exact = match parts.next().unwrap_or("").to_ascii_lowercase().as_str() {
            "text/event-stream" => 3,
            "text/*" => 2,
            "*/*" => 1,
            _ => continue,
        };
        let weight =
            parts.find_map(|p| p.strip_prefix("q=")).map_or(1.0, |q| q.parse::<f64>().unwrap_or(0.0));
        if best.is_none_or(|(rank, _)| exact > rank) {
            best = Some((exact, weight > 0.0));
        }
    }
    best.is_some_and(|(_, wanted)| wanted)
}

/// Whether the request is of HTTP/1.0, which knows no chunks.
pub fn is_old(raw: &RawRequest) -> bool {
    raw.bytes.get(raw.head.target.end + 1..).is_some_and(|rest| rest.starts_with(b"HTTP/1.0"))
}

/// The fields that let pages of an allowed origin read the answer (Fetch standard, "CORS protocol").
pub fn cors(raw: &RawRequest, origins: &[String]) -> String {
    let origin = raw.head.fields.text(&raw.bytes, "origin").unwrap_or("");
    match origins.iter().any(|allowed| allowed == origin) {
        true => format!(
            "Access-Control-Allow-Origin: {origin}\r\nAccess-Control-Expose-Headers: Location\r\nVary: Origin\r\n"
        ),
        false => String::new(),
    }
}

/// The answer to a preflight: what may be sent, or 403 where the origin is not allowed.
pub fn preflight(cors: &str, keep_alive: bool) -> Vec<Piece> {
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let head = match cors.is_empty() {
        true => format!("HTTP/1.1 403 Forbidden\r\n{close}Content-Length: 0\r\n\r\n"),
        false => format!(
            "HTTP/1.1 204 No Content\r\n{cors}Access-Control-Allow-Methods: GET, HEAD, POST\r\n\
             Access-Control-Allow-Headers: authorization, content-type, idempotency-key, last-event-id, prefer, \
             x-account, x-correlation-id, x-service-class, x-time-left-ms, x-unwatched\r\n\
             Access-Control-Max-Age: 600\r\n{close}\r\n"
        ),
    };
    vec![head.into()]
}

/// A plain answer at a place.
pub fn plain(status: &str, extra: &str, text: &str, keep_alive: bool, body: bool) -> Vec<Piece> {
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let length = match status.starts_with("204") {
        true => String::new(),
        false => format!("Content-Type: text/plain\r\nContent-Length: {}\r\n", text.len()),
    };
    let head = format!("HTTP/1.1 {status}\r\nCache-Control: no-store\r\n{extra}{close}{length}\r\n");
    vec![head.into(), if body { text.to_owned().into() } else { "".into() }]
}

/// 405 at a place.
pub fn wrong_method(keep_alive: bool) -> Vec<Piece> {
    plain("405 Method Not Allowed", &format!("Allow: {METHODS}\r\n"), "Method Not Allowed", keep_alive, true)
}

/// The answer to a job that was handed in.
pub fn handed_in(public: u64, token: u128, cors: &str, keep_alive: bool) -> Vec<Piece> {
    let place = format!("{PLACE}{public:016x}?token={token:032x}");
    let body = json!({ "stream": place, "id": format!("{public:016x}"), "token": format!("{token:032x}") })
        .to_string();
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let head = format!(
        "HTTP/1.1 202 Accepted\r\nLocation: {place}\r\nPreference-Applied: respond-async\r\nCache-Control: no-store\r\n\
         {cors}{close}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    vec![head.into(), body.into()]
}

/// How the bytes of a stream are framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Frame {
    /// In chunks; the connection may be kept.
    Chunked,
    /// As they are, until the connection ends: for HTTP/1.0.
    Plain,
}

impl Frame {
    pub(super) fn wrap(self, bytes: Vec<u8>) -> Vec<Piece> {
        match self {
            Frame::Chunked => {
                vec![format!("{:x}\r\n", bytes.len()).into(), Piece::Made(bytes), "\r\n".into()]
            }
            Frame::Plain => vec![Piece::Made(bytes)],
        }
    }

    /// The end of the stream.
    pub fn end(self) -> Vec<Piece> {
        match self {
            Frame::Chunked => vec!["0\r\n\r\n".into()],
            Frame::Plain => Vec::new(),
        }
    }
}

/// The head of a stream.
pub fn stream_head(frame: Frame, cors: &str, keep_alive: bool) -> Vec<Piece> {
    let framing = match frame {
        Frame::Chunked => "Transfer-Encoding: chunked\r\n",
        Frame::Plain => "",
    };
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n";
    vec![format!("{head}X-Accel-Buffering: no\r\n{cors}{close}{framing}\r\n").into()]
}

/// How long the client waits before it comes back.
pub fn retry(frame: Frame, span: Micros) -> Vec<Piece> {
    frame.wrap(format!("retry: {}\n\n", span / 1000).into_bytes())
}

/// One event, as all its watchers get it.
pub fn event(frame: Frame, event: &JobEvent) -> Rc<Vec<u8>> {
    let mut bytes = format!("id: {}\n", event.id).into_bytes();
    bytes.extend(crate::http::events::write_event(&event.name, &event.data));
    Rc::new(frame.wrap(bytes).iter().flat_map(|piece| piece.bytes().iter().copied()).collect())
}

/// So many events are gone. Without an id of its own: a client that comes back does not skip more.
pub fn missed(frame: Frame, count: u64) -> Vec<Piece> {
    frame.wrap(crate::http::events::write_event("missed", &json!({ "count": count }).to_string()))
}

/// A comment that keeps the stream alive.
pub fn heartbeat(frame: Frame) -> Vec<Piece> {
    frame.wrap(b": alive\n\n".to_vec())
}

/// The name and data of a job's final event.
pub fn final_event(answer: FinalResponse) -> (&'static str, String) {
    let (name, data) = match answer {
        FinalResponse::Served(result) => ("done", json!({ "result": String::from_utf8_lossy(&result) })),
        FinalResponse::Rejected(None) => ("deny", json!({})),
        FinalResponse::Rejected(Some(us)) => {
            ("deny", json!({ "retry_after": us.div_ceil(1000) as f64 / 1000.0 }))
        }
        FinalResponse::Failed => ("failed", json!({ "status": 500, "reason": "failed" })),
        FinalResponse::TimedOut => ("failed", json!({ "status": 504, "reason": "timed out" })),
    };
    (name, data.to_string())
}
