//! Parses the parts of a request that concern an event stream: path, query and headers.

use crate::protocol::names;
use crate::protocol::platform::RawRequest;
use mothproxy_streams::{PublicJobId, WatchToken};

/// The number of hexadecimal digits of a job's public id.
const PUBLIC_ID_DIGITS: usize = 16;
/// The number of hexadecimal digits of a job's token.
const TOKEN_DIGITS: usize = 32;
/// The number of decimal digits of the largest event id, [`u64::MAX`].
const MAX_EVENT_ID_DIGITS: usize = 20;

/// The job whose stream a request asks for, and the event after which the stream starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRequest {
    /// The job's public id; `None` if the path has no valid one.
    pub public_id: Option<PublicJobId>,
    /// The job's token; `None` if the request has no valid one.
    pub token: Option<WatchToken>,
    /// The id of the last event that the client received; `None` if the request has no valid one.
    pub last_event_id: Option<u64>,
}

/// Whether the client submits a job to watch its stream later (`Prefer: respond-async`).
pub fn prefers_async(request: &RawRequest) -> bool {
    let preferences = request.field("prefer").unwrap_or("");
    preferences.split([',', ';']).any(|item| item.trim().eq_ignore_ascii_case("respond-async"))
}

/// Whether the job ends once its stream has no watcher; `None` if [`names::UNWATCHED`] has an unknown value.
pub fn ends_unwatched(request: &RawRequest) -> Option<bool> {
    match request.field(names::UNWATCHED).map(str::trim) {
        None | Some("go-on") => Some(false),
        Some("end") => Some(true),
        Some(_) => None,
    }
}

/// The stream that a request asks for; `None` if its path is not that of a stream.
pub fn stream_request(request: &RawRequest) -> Option<StreamRequest> {
    let target = request.target().ok()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let public_id = path.strip_prefix(names::STREAM_PATH_PREFIX)?;
    let bearer = request.field("authorization").and_then(|value| value.trim().strip_prefix("Bearer "));
    let token = bearer.map(str::trim).or(query_parameter(query, "token")).unwrap_or("");
    // The header takes precedence: a browser updates the header at each reconnect, but repeats the query of its first request.
    let last_event_id = request.field("last-event-id").or(query_parameter(query, "last_event_id"));
    Some(StreamRequest {
        public_id: parse_hex(public_id, PUBLIC_ID_DIGITS)
            .and_then(|id| u64::try_from(id).ok())
            .map(PublicJobId),
        token: parse_hex(token, TOKEN_DIGITS).map(WatchToken),
        last_event_id: last_event_id.map(str::trim).and_then(parse_event_id),
    })
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut parameters = query.split('&').filter_map(|parameter| parameter.split_once('='));
    parameters.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Parses a text of exactly `digits` lower-case hexadecimal digits; `None` if it is not one.
fn parse_hex(text: &str, digits: usize) -> Option<u128> {
    let is_lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != digits || !text.bytes().all(is_lower_hex) {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}

fn parse_event_id(text: &str) -> Option<u64> {
    let is_number = text.len() <= MAX_EVENT_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    if is_number { text.parse().ok() } else { None }
}

/// A media range of an `Accept` header that includes `text/event-stream`.
struct MediaRange {
    /// 1 for `*/*`, 2 for `text/*`, 3 for `text/event-stream`. The range with the highest precedence decides.
    precedence: u8,
    /// Whether the quality value of the range is above 0.
    is_accepted: bool,
}

/// Parses one item of an `Accept` header; `None` if it does not include `text/event-stream`.
fn matching_media_range(item: &str) -> Option<MediaRange> {
    let mut parts = item.split(';').map(str::trim);
    let precedence = match parts.next().unwrap_or("").to_ascii_lowercase().as_str() {
        "text/event-stream" => 3,
        "text/*" => 2,
        "*/*" => 1,
        _ => return None,
    };
    let quality = parts.find_map(|part| part.strip_prefix("q="));
    let quality = quality.map_or(1.0, |quality| quality.parse::<f64>().unwrap_or(0.0));
    Some(MediaRange { precedence, is_accepted: quality > 0.0 })
}

/// Whether a client accepts an event stream (RFC 9110, 12.5.1). A request without an `Accept` header accepts any type, and a
/// range with `q=0` is not accepted. Of several ranges with the same precedence, the first decides.
pub fn accepts_event_stream(request: &RawRequest) -> bool {
    let Some(accept) = request.field("accept") else { return true };
    let mut best: Option<MediaRange> = None;
    for range in accept.split(',').filter_map(matching_media_range) {
        if best.as_ref().is_none_or(|best| range.precedence > best.precedence) {
            best = Some(range);
        }
    }
    best.is_some_and(|best| best.is_accepted)
}

/// Whether the request's version is HTTP/1.0, which has no chunked coding.
pub fn is_http_1_0(request: &RawRequest) -> bool {
    let version = request.bytes.get(request.head.target.end + 1..);
    version.is_some_and(|version| version.starts_with(b"HTTP/1.0"))
}
