//! Heads of HTTP/1.1 messages (RFC 9112, 2 to 6), parsed in place: the results are ranges of the buffer.

use super::fields::{Fields, is_token};
use super::framing::{Framing, keeps_alive, parse_framing};
use std::ops::Range;
use thiserror::Error;

/// The longest head that is read, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// The longest body, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// The most line ends before a request that are skipped, in bytes.
const MAX_LEADING_BLANKS: usize = 4;
/// The methods of RFC 9110 and RFC 5789.
const METHODS: [&str; 9] = ["GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH"];

/// What is wrong with a head; each error maps to one status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The head does not read as HTTP/1.x.
    #[error("the head does not read as HTTP/1.x")]
    Malformed,
    /// The head is longer than [`MAX_HEAD`] or has too many fields.
    #[error("the head is too large")]
    TooLarge,
    /// Two lengths, or a length and a transfer coding: where the body ends is not certain.
    #[error("the length of the body is ambiguous")]
    Ambiguous,
    /// The body is longer than [`MAX_BODY`].
    #[error("the body is too large")]
    BodyTooLarge,
    /// A transfer coding other than chunked.
    #[error("the transfer coding is not supported")]
    UnknownCoding,
    /// Another version of HTTP.
    #[error("the version of HTTP is not supported")]
    Version,
}

/// The version of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HttpVersion {
    Http10,
    Http11,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: Range<usize>,
    /// Path and query.
    pub target: Range<usize>,
    /// The header fields.
    pub fields: Fields,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Length of the head in bytes, the blank line included.
    pub len: usize,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Length of the head in bytes, the blank line included.
    pub len: usize,
}

/// The head of a message, whose first line is still to be parsed.
struct MessageHead {
    first_line: Range<usize>,
    fields: Fields,
    len: usize,
}

/// The end of the head: just past its blank line. Reads no more than [`MAX_HEAD`] bytes.
fn find_head_end(buffer: &[u8]) -> Result<Option<usize>, HeadError> {
    let readable = &buffer[..buffer.len().min(MAX_HEAD)];
    let mut line_start = 0;
    while let Some(length) = readable[line_start..].iter().position(|byte| *byte == b'\n') {
        let next_line = line_start + length + 1;
        match &readable[next_line..] {
            [b'\n', ..] => return Ok(Some(next_line + 1)),
            [b'\r', b'\n', ..] => return Ok(Some(next_line + 2)),
            _ => line_start = next_line,
        }
    }
    if buffer.len() >= MAX_HEAD { Err(HeadError::TooLarge) } else { Ok(None) }
}

/// The lines of a head as ranges, without their line ends.
fn lines(head: &[u8]) -> impl Iterator<Item = Range<usize>> + '_ {
    let mut start = 0;
    std::iter::from_fn(move || {
        let line_feed = start + head[start..].iter().position(|byte| *byte == b'\n')?;
        let has_cr = line_feed > start && head[line_feed - 1] == b'\r';
        let line = start..if has_cr { line_feed - 1 } else { line_feed };
        start = line_feed + 1;
        Some(line)
    })
}

/// Reads the head of a message that begins at `offset`; `None` if it is not complete yet.
fn read_head(buffer: &[u8], offset: usize) -> Result<Option<MessageHead>, HeadError> {
    let Some(head_length) = find_head_end(&buffer[offset..])? else { return Ok(None) };
    let end = offset + head_length;
    let mut lines = lines(&buffer[offset..end]).map(|line| line.start + offset..line.end + offset);
    let first_line = lines.next().ok_or(HeadError::Malformed)?;
    let fields = Fields::parse(buffer, lines)?;
    Ok(Some(MessageHead { first_line, fields, len: end }))
}

fn parse_version(text: &[u8]) -> Result<HttpVersion, HeadError> {
    match text {
        b"HTTP/1.1" => Ok(HttpVersion::Http11),
        b"HTTP/1.0" => Ok(HttpVersion::Http10),
        [b'H', b'T', b'T', b'P', b'/', ..] => Err(HeadError::Version),
        _ => Err(HeadError::Malformed),
    }
}

fn leading_blanks(buffer: &[u8]) -> usize {
    let blanks = buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    blanks.min(MAX_LEADING_BLANKS)
}

/// Whether bytes that follow a request can be the beginning of another. Where they cannot, its length was wrong.
pub fn may_begin_request(buffer: &[u8]) -> bool {
    let rest = &buffer[leading_blanks(buffer)..];
    METHODS.iter().any(|method| {
        // Of the method and the space behind it, as much as has arrived.
        let mut compared = rest.iter().zip(method.bytes().chain([b' ']));
        compared.all(|(found, expected)| *found == expected)
    })
}

/// Reads the head of a request; `None` if it is not complete yet.
///
/// # Errors
/// [`HeadError`]: where the next request begins is then not known.
pub fn read_request(buffer: &[u8]) -> Result<Option<RequestHead>, HeadError> {
    // Blank lines before a request are skipped, as RFC 9112, 2.2 asks.
    let Some(head) = read_head(buffer, leading_blanks(buffer))? else { return Ok(None) };
    let mut words = buffer[head.first_line.clone()].split(|byte| *byte == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(HeadError::Malformed);
    };
    let version = parse_version(version)?;
    let is_printable = target.iter().all(|byte| (0x21..0x7f).contains(byte));
    if method.is_empty() || !method.iter().all(|byte| is_token(*byte)) || target.is_empty() || !is_printable {
        return Err(HeadError::Malformed);
    }
    if version == HttpVersion::Http11 && head.fields.find(buffer, "host").is_none() {
        return Err(HeadError::Malformed);
    }
    let method_start = head.first_line.start;
    let target_start = method_start + method.len() + 1;
    Ok(Some(RequestHead {
        method: method_start..method_start + method.len(),
        target: target_start..target_start + target.len(),
        framing: parse_framing(buffer, &head.fields)?,
        keep_alive: keeps_alive(buffer, &head.fields, version),
        fields: head.fields,
        len: head.len,
    }))
}

/// Reads the head of a response; `None` if it is not complete yet.
///
/// # Errors
/// [`HeadError`]: the connection is then of no more use.
pub fn read_response(buffer: &[u8]) -> Result<Option<ResponseHead>, HeadError> {
    let Some(head) = read_head(buffer, 0)? else { return Ok(None) };
    let mut words = buffer[head.first_line.clone()].splitn(3, |byte| *byte == b' ');
    let version = parse_version(words.next().unwrap_or(b""))?;
    let status = parse_status(words.next().unwrap_or(b""))?;
    // These never have a body, whatever their fields say (RFC 9112, 6.3).
    let never_has_body = status < 200 || status == 204 || status == 304;
    let framing = if never_has_body { Framing::Length(0) } else { parse_framing(buffer, &head.fields)? };
    let keep_alive = keeps_alive(buffer, &head.fields, version) && framing != Framing::Absent;
    Ok(Some(ResponseHead { status, framing, keep_alive, fields: head.fields, len: head.len }))
}

fn parse_status(digits: &[u8]) -> Result<u16, HeadError> {
    if digits.len() != 3 || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::Malformed);
    }
    Ok(digits.iter().fold(0, |status, digit| status * 10 + u16::from(digit - b'0')))
}
