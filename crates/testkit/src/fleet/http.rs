//! A minimal HTTP/1.1 over tokio for the fleet's clients, workers and discovery: messages with a length, whose heads
//! `httparse` parses. The reader counts bytes, so that a message can be located in the traffic of a relay.

use super::ConnectionFailed;
use crate::http::MAX_HEADERS;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The maximum length of a head, and of a body, in bytes.
const MAX_LENGTH: usize = 256 * 1024;

/// A received request or reply.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The method of a request.
    pub method: String,
    /// The target of a request.
    pub target: String,
    /// The status code of a reply.
    pub status: u16,
    /// The header fields; names are in lower case.
    pub fields: Vec<(String, String)>,
    /// The body, as text.
    pub body: String,
    /// The offset of the first byte in the bytes read from the connection.
    pub offset: u64,
}

impl HttpMessage {
    /// The value of a header field; the name must be in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Whether the connection closes after this message.
    pub fn closes_connection(&self) -> bool {
        self.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }

    fn content_length(&self) -> Result<usize, ConnectionFailed> {
        match self.field("content-length").map(str::parse::<usize>) {
            None => Ok(0),
            Some(Ok(length)) if length <= MAX_LENGTH => Ok(length),
            Some(_) => Err(ConnectionFailed),
        }
    }
}

fn fields(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect()
}

/// A message without its body, and the length of its head in bytes.
struct ParsedHead {
    length: usize,
    message: HttpMessage,
}

/// Reads messages from a connection, and counts their bytes.
#[derive(Default)]
pub struct HttpReader {
    /// The bytes received after the last message.
    buffer: Vec<u8>,
    /// The total length of all messages so far, in bytes.
    used: u64,
}

impl HttpReader {
    /// Whether bytes were received after the last message.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next request; `None` if the connection ends between two requests.
    ///
    /// # Errors
    ///
    /// If the connection breaks within a request, or if the received bytes are not one.
    pub async fn read_request(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<Option<HttpMessage>, ConnectionFailed> {
        self.read_message(stream, |bytes| {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            let parsed = head.parse(bytes).map_err(|_| ConnectionFailed)?;
            let httparse::Status::Complete(length) = parsed else { return Ok(None) };
            let message = HttpMessage {
                method: head.method.unwrap_or("").to_owned(),
                target: head.path.unwrap_or("").to_owned(),
                fields: fields(head.headers),
                ..HttpMessage::default()
            };
            Ok(Some(ParsedHead { length, message }))
        })
        .await
    }

    /// The next reply; `None` if the connection ends before its first byte.
    ///
    /// # Errors
    ///
    /// If the connection breaks within a reply, or if the received bytes are not one.
    pub async fn read_reply(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<Option<HttpMessage>, ConnectionFailed> {
        self.read_message(stream, |bytes| {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut headers);
            let parsed = head.parse(bytes).map_err(|_| ConnectionFailed)?;
            let httparse::Status::Complete(length) = parsed else { return Ok(None) };
            let (status, fields) = (head.code.unwrap_or(0), fields(head.headers));
            Ok(Some(ParsedHead { length, message: HttpMessage { status, fields, ..HttpMessage::default() } }))
        })
        .await
    }

    async fn read_message(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        parse: impl Fn(&[u8]) -> Result<Option<ParsedHead>, ConnectionFailed>,
    ) -> Result<Option<HttpMessage>, ConnectionFailed> {
        let ParsedHead { length, mut message } = loop {
            if let Some(found) = parse(&self.buffer)? {
                break found;
            }
            if self.buffer.len() > MAX_LENGTH {
                return Err(ConnectionFailed);
            }
            match stream.read_buf(&mut self.buffer).await {
                Ok(0) if self.buffer.is_empty() => return Ok(None),
                Ok(0) | Err(_) => return Err(ConnectionFailed),
                Ok(_) => {}
            }
        };
        let end = length + message.content_length()?;
        while self.buffer.len() < end {
            if !matches!(stream.read_buf(&mut self.buffer).await, Ok(1..)) {
                return Err(ConnectionFailed);
            }
        }
        message.offset = self.used;
        message.body = String::from_utf8_lossy(&self.buffer[length..end]).into_owned();
        self.buffer.drain(..end);
        self.used += end as u64;
        Ok(Some(message))
    }
}

/// Encodes a reply with a body; `headers` are further header lines, each with its line end.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
