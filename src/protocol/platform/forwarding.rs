//! The requests that this dispatcher sends to workers and to discovery.

use super::RawRequest;
use crate::http::Piece;
use crate::policy::interface::{MICROS_PER_MS, Micros};
use crate::protocol::names;
use std::ops::Range;

/// Headers that are copied from the client's request, in addition to the request's id and idempotency key.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", names::CLASS, names::TENANT, "cookie"];

/// The request that is forwarded to a worker, which has `time_left` (in microseconds) to respond. The method, target, id, key and
/// body share the bytes of the client's request without a copy.
pub fn forwarded_request(request: &RawRequest, time_left: Micros) -> Vec<Piece> {
    let shared = |range: Range<usize>| Piece::Shared(request.bytes.clone(), range);
    let find = |name| request.head.fields.find(&request.bytes, name);
    let mut pieces = vec![shared(request.head.method.start..request.head.target.end)];
    // `names::UPSTREAM_HOST`, `names::REQUEST_ID` and `names::IDEMPOTENCY_KEY` are written as literals to avoid allocations.
    pieces.push(" HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: ".into());
    pieces.extend(find(names::REQUEST_ID).map(shared));
    if let Some(key) = find(names::IDEMPOTENCY_KEY) {
        pieces.extend(["\r\nIdempotency-Key: ".into(), shared(key)]);
    }
    for name in FORWARDED_HEADERS {
        if let Some(value) = find(name) {
            pieces.extend([format!("\r\n{name}: ").into(), shared(value)]);
        }
    }
    let content_length = request.body.bytes().len();
    let time_left_ms = time_left / MICROS_PER_MS;
    pieces.push(
        format!("\r\n{}: {time_left_ms}\r\nContent-Length: {content_length}\r\n\r\n", names::TIME_LEFT)
            .into(),
    );
    pieces.push(request.body.clone());
    pieces
}

/// The request that cancels a job at a worker.
pub fn cancel(request_id: &str) -> Vec<Piece> {
    vec![format!("DELETE /jobs/{request_id} HTTP/1.1\r\nHost: {}\r\n\r\n", names::UPSTREAM_HOST).into()]
}

/// The request for a worker's load report.
pub fn load_probe() -> Vec<Piece> {
    vec![get(names::LOAD_PROBE_PATH)]
}

/// The request for discovery's endpoint list. With `after`, the request opens a watch of the changes since that generation.
pub fn discovery_call(after: Option<u64>) -> Vec<Piece> {
    let query = after.map_or(String::new(), |version| format!("?stream=1&index={version}"));
    vec![get(&format!("{}{query}", names::ENDPOINT_LIST_PATH))]
}

fn get(target: &str) -> Piece {
    format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", names::UPSTREAM_HOST).into()
}
