//! A minimal HTTP/1.1 over blocking sockets, for clients and workers in tests: requests, replies and body framing.

use crate::WAIT_TIMEOUT;
use serde_json::Value;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// The maximum number of header fields in a message.
pub(crate) const MAX_HEADERS: usize = 64;

/// A received reply.
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The status line and the header fields, as received.
    pub head: String,
    /// The body without its framing.
    pub body: String,
}

impl HttpReply {
    /// The value of a header field; the name is case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(':'));
        fields.filter(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy)]
pub(crate) enum BodyFraming {
    /// By a length in bytes.
    Length(usize),
    /// By an empty chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl BodyFraming {
    /// The framing by these header fields; `default` if there is neither a length nor a transfer encoding.
    pub(crate) fn from_headers(headers: &[httparse::Header<'_>], default: BodyFraming) -> BodyFraming {
        let value = |name: &str| {
            let field = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            field.map(|header| header.value)
        };
        match (value("transfer-encoding"), value("content-length")) {
            (Some(_), _) => BodyFraming::Chunked,
            (None, Some(length)) => {
                let text = std::str::from_utf8(length).expect("Content-Length is not a number");
                BodyFraming::Length(text.trim().parse().expect("Content-Length is not a number"))
            }
            (None, None) => default,
        }
    }
}

/// Reads once and appends to the buffer; false at the end of the connection.
pub(crate) fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut piece = [0; 4096];
    let length = stream.read(&mut piece).unwrap_or(0);
    buffer.extend(&piece[..length]);
    length > 0
}

/// Reads a body from a buffer and its connection; `None` if the connection ends before the body is complete.
pub(crate) fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    framing: BodyFraming,
) -> Option<Vec<u8>> {
    match framing {
        BodyFraming::Length(length) => {
            while buffer.len() < length {
                read_more(stream, buffer).then_some(())?;
            }
            Some(buffer.drain(..length).collect())
        }
        BodyFraming::Chunked => read_chunked_body(stream, buffer),
        BodyFraming::UntilClose => {
            while read_more(stream, buffer) {}
            Some(std::mem::take(buffer))
        }
    }
}

fn read_chunked_body(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        if let Some(chunk) = take_chunk(buffer) {
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        } else if !read_more(stream, buffer) {
            return None;
        }
    }
}

/// Takes the next chunk from the buffer, if it is complete. The last chunk is empty.
fn take_chunk(buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    const LINE_END: usize = 2;
    let httparse::Status::Complete((head, size)) = httparse::parse_chunk_size(buffer).expect("invalid chunk")
    else {
        return None;
    };
    let end = head + usize::try_from(size).expect("chunk too long");
    if buffer.len() < end + LINE_END {
        return None;
    }
    let chunk = buffer[head..end].to_vec();
    buffer.drain(..end + LINE_END);
    Some(chunk)
}

/// Reads one reply from a connection; `None` if the connection ends before the reply is complete.
///
/// # Panics
///
/// If the received bytes are not an HTTP reply.
pub fn read_reply(stream: &mut TcpStream) -> Option<HttpReply> {
    read_next_reply(stream, &mut Vec::new())
}

/// Like [`read_reply`], for pipelined requests: `buffer` holds the bytes received after the previous reply.
///
/// # Panics
///
/// If the received bytes are not an HTTP reply.
pub fn read_next_reply(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<HttpReply> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
    let (length, status, framing) = loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        if let httparse::Status::Complete(length) = head.parse(buffer).expect("not an HTTP response") {
            match head.code.unwrap_or(0) {
                100 => drop(buffer.drain(..length)),
                status @ (204 | 304) => break (length, status, BodyFraming::Length(0)),
                status => {
                    let framing = BodyFraming::from_headers(head.headers, BodyFraming::UntilClose);
                    break (length, status, framing);
                }
            }
        } else if !read_more(stream, buffer) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
    buffer.drain(..length);
    let body = read_body(stream, buffer, framing)?;
    Some(HttpReply { status, head, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Opens a connection to the dispatcher.
///
/// # Panics
///
/// If nothing listens there.
pub fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).expect("cannot connect to the dispatcher")
}

/// Whether the other side has closed or reset this connection.
///
/// # Panics
///
/// If the socket's options cannot be set.
pub fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("cannot set socket option");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("cannot set socket option");
    peeked.map_or_else(|error| error.kind() != ErrorKind::WouldBlock, |length| length == 0)
}

/// Sends a request on a new connection, and reads the reply; `None` if the connection ends before the reply is complete.
///
/// # Panics
///
/// If nothing listens there, or if the received bytes are not an HTTP reply.
pub fn send(address: SocketAddr, request: &str) -> Option<HttpReply> {
    let mut stream = connect(address);
    // The dispatcher may reply and close before it has read the whole request. The write then fails, but the reply is valid.
    let _ = stream.write_all(request.as_bytes());
    read_reply(&mut stream)
}

/// A client's request for a job. The body is the script for the [`crate::FakeWorker`] that runs the job. `headers` are
/// additional header lines, each with its line end.
pub fn job_request(id: &str, class: &str, script: &str, headers: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Account: steppe-mart\r\nIdempotency-Key: key-{id}\r\n{headers}Content-Length: {}\r\n\r\n{script}",
        script.len()
    )
}

/// A client's request for a job of class `balance`, which the worker completes with the result `x`.
pub fn simple_job(id: &str) -> String {
    job_request(id, "balance", "take started done=x", "")
}

/// A worker's status callback with this status as its JSON body. The connection closes after the response.
pub fn status_callback_request(status: &Value) -> String {
    let text = status.to_string();
    let head = "POST /_jobs/news HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n";
    format!("{head}Content-Length: {}\r\n\r\n{text}", text.len())
}

/// Encodes text as one chunk of a body in chunked encoding.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
