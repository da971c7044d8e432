//! Header lines that several responses share.

use crate::http::Piece;

const CONNECTION_CLOSE: &str = "Connection: close\r\n";

/// The `Connection` header line of a response; empty if the connection stays open, which is the default of HTTP/1.1.
pub(super) fn connection_line(keep_alive: bool) -> &'static str {
    if keep_alive { "" } else { CONNECTION_CLOSE }
}

/// The last lines of a response's head: `Connection`, `Content-Length` and the blank line.
pub(super) fn end_of_head(keep_alive: bool, content_length: usize) -> Piece {
    let connection = connection_line(keep_alive);
    format!("{connection}Content-Length: {content_length}\r\n\r\n").into()
}
