//! HTTP/1.1 as much as the stand-ins need: messages with a length, heads by `httparse`. Reading counts bytes, so that what
//! was read can be found again in what crossed a relay.

use super::Broken;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The longest head, and the longest body.
const MOST: usize = 256 * 1024;
const FIELDS: usize = 64;

/// A message, read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Of a request.
    pub method: String,
    /// Of a request.
    pub target: String,
    /// Of an answer.
    pub status: u16,
    /// Its fields, names in small letters.
    pub fields: Vec<(String, String)>,
    /// Its body.
    pub body: String,
    /// Where its first byte is in all that was read.
    pub from: u64,
}

impl Message {
    /// A field's value.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Whether the connection ends with it.
    pub fn closes(&self) -> bool {
        self.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }

    fn length(&self) -> Result<usize, Broken> {
        match self.field("content-length").map(str::parse::<usize>) {
            None => Ok(0),
            Some(Ok(length)) if length <= MOST => Ok(length),
            Some(_) => Err(Broken),
        }
    }
}

fn fields(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect()
}

/// Bytes read and not used, and how many were used.
#[derive(Default)]
pub struct Reader {
    held: Vec<u8>,
    used: u64,
}

impl Reader {
    /// Whether there are bytes that nobody has asked for.
    pub fn has_more(&self) -> bool {
        !self.held.is_empty()
    }

    /// The next request; `None` where the connection ends between two.
    pub async fn request(&mut self, from: &mut (impl AsyncRead + Unpin)) -> Result<Option<Message>, Broken> {
        self.message(from, |bytes| {
            let mut headers = [httparse::EMPTY_HEADER; FIELDS];
            let mut head = httparse::Request::new(&mut headers);
            match head.parse(bytes).map_err(|_| Broken)? {
                httparse::Status::Partial => Ok(None),
                httparse::Status::Complete(length) => Ok(Some((
                    length,
                    Message {
                        method: head.method.unwrap_or("").to_owned(),
                        target: head.path.unwrap_or("").to_owned(),
                        fields: fields(head.headers),
                        ..Message::default()
                    },
                ))),
            }
        })
        .await
    }

    /// The next answer; `None` where the connection ends before its first byte.
    pub async fn answer(&mut self, from: &mut (impl AsyncRead + Unpin)) -> Result<Option<Message>, Broken> {
        self.message(from, |bytes| {
            let mut headers = [httparse::EMPTY_HEADER; FIELDS];
            let mut head = httparse::Response::new(&mut headers);
            match head.parse(bytes).map_err(|_| Broken)? {
                httparse::Status::Partial => Ok(None),
                httparse::Status::Complete(length) => {
                    let status = head.code.unwrap_or(0);
                    Ok(Some((length, Message { status, fields: fields(head.headers), ..Message::default() })))
                }
            }
        })
        .await
    }

    async fn message(
        &mut self,
        from: &mut (impl AsyncRead + Unpin),
        parse: impl Fn(&[u8]) -> Result<Option<(usize, Message)>, Broken>,
    ) -> Result<Option<Message>, Broken> {
        let (length, mut message) = loop {
            if let Some(found) = parse(&self.held)? {
                break found;
            }
            if self.held.len() > MOST {
                return Err(Broken);
            }
            match from.read_buf(&mut self.held).await {
                Ok(0) if self.held.is_empty() => return Ok(None),
                Ok(0) | Err(_) => return Err(Broken),
                Ok(_) => {}
            }
        };
        let whole = length + message.length()?;
        while self.held.len() < whole {
            if !matches!(from.read_buf(&mut self.held).await, Ok(1..)) {
                return Err(Broken);
            }
        }
        message.from = self.used;
        message.body = String::from_utf8_lossy(&self.held[length..whole]).into_owned();
        self.held.drain(..whole);
        self.used += whole as u64;
        Ok(Some(message))
    }
}

/// An answer with a body.
pub fn answer(status: &str, extra: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A chunk of a chunked answer.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
