//! Parsers of HTTP/1.1 heads and bodies, load reports and event streams, and the pieces of outgoing messages.
//!
//! The parsers work on byte slices and do no input or output. Input may be split at any byte: each parser either keeps its state
//! between calls or is called again with the same, longer buffer.

pub mod body;
pub mod chunked;
pub mod events;
pub mod fields;
pub mod framing;
pub mod head;
pub mod load;
pub mod piece;

pub use body::Body;
pub use chunked::Chunked;
pub use events::{EventStream, StreamEvent};
pub use framing::Framing;
pub use head::{
    HeadError, MAX_BODY, MAX_HEAD, RequestHead, ResponseHead, may_begin_request, read_request, read_response,
};
pub use piece::Piece;
