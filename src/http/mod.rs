//! Parsers of the wires: HTTP/1.1 heads, chunked bodies, load reports and event streams. All of them work on
//! byte slices, keep what they need to go on after any cut, and do no input or output.

pub mod body;
pub mod chunked;
pub mod events;
pub mod head;
pub mod load;
pub mod piece;

pub use body::Body;
pub use chunked::Chunked;
pub use events::{EventStream, StreamEvent};
pub use head::{
    Framing, HeadError, MAX_BODY, MAX_HEAD, Request, Response, may_begin_request, read_request, read_response,
};
pub use piece::Piece;
