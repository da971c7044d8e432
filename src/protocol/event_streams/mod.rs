//! Jobs apart from their connections, on the SSE listener: a job is submitted with `Prefer: respond-async` (RFC 7240), gets a
//! path of its own, and its events are a stream there that a browser's `EventSource` can open again (HTML standard,
//! "Server-sent events").

mod framing;
mod request;
mod responses;

pub use framing::{StreamFraming, event, final_event, heartbeat, missed, retry};
pub use request::{
    StreamRequest, accepts_event_stream, ends_unwatched, is_http_1_0, prefers_async, stream_request,
};
pub use responses::{cors, plain, preflight, stream_head, submitted, wrong_method};
