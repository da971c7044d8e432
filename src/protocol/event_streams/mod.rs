//! Submitted jobs on the SSE listener. A client submits a job with `Prefer: respond-async` (RFC 7240), and the job is assigned a
//! path. The events of the job are streamed at that path, to which a browser's `EventSource` can reconnect (HTML standard,
//! "Server-sent events").

mod framing;
mod request;
mod responses;

pub use framing::{StreamFraming, event, final_event, heartbeat, missed, retry};
pub use request::{
    StreamRequest, accepts_event_stream, ends_unwatched, is_http_1_0, prefers_async, stream_request,
};
pub use responses::{cors, method_not_allowed, plain_text, preflight, stream_head, submitted};
