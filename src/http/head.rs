//! A parser of the heads of HTTP/1.1 messages (RFC 9112, 2 to 6). Heads are parsed in place: the results are ranges of the
//! buffer.

use super::fields::{Fields, is_token};
use super::framing::{Framing, keeps_alive, parse_framing};
use std::ops::Range;
use thiserror::Error;

/// The maximum length of a head, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// The maximum length of a body, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// The maximum number of bytes of line ends that are skipped before a request.
const MAX_LEADING_BLANKS: usize = 4;
/// The methods of RFC 9110 and RFC 5789.
const METHODS: [&str; 9] = ["GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH"];

/// Why a head is refused. Each error maps to one status code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The head is not valid HTTP/1.x.
    #[error("the head is not valid HTTP/1.x")]
    Malformed,
    /// The head is longer than [`MAX_HEAD`] or has too many fields.
    #[error("the head is longer than {MAX_HEAD} bytes or has too many fields")]
    TooLarge,
    /// The head has two lengths, or a length and a transfer coding, so the end of the body is ambiguous.
    #[error("the length of the body is ambiguous")]
    AmbiguousLength,
    /// The body is longer than [`MAX_BODY`].
    #[error("the body is longer than {MAX_BODY} bytes")]
    BodyTooLarge,
    /// The transfer coding is not chunked.
    #[error("the transfer coding is not supported")]
    UnsupportedCoding,
    /// The version of HTTP is not supported.
    #[error("the version of HTTP is not supported")]
    UnsupportedVersion,
}

/// The HTTP version of a message.
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
    /// The path and query.
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

/// The head of a message whose first line has not been parsed yet.
struct MessageHead {
    first_line: Range<usize>,
    fields: Fields,
    len: usize,
}

/// Returns the end of the head, just past its blank line; `None` if the head is not complete yet. Reads at most [`MAX_HEAD`]
/// bytes.
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

/// Returns the lines of a head as ranges, without their line ends.
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

/// Parses the head of a message that begins at `offset`; `None` if the head is not complete yet.
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
        [b'H', b'T', b'T', b'P', b'/', ..] => Err(HeadError::UnsupportedVersion),
        _ => Err(HeadError::Malformed),
    }
}

fn leading_blanks(buffer: &[u8]) -> usize {
    let blanks = buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    blanks.min(MAX_LEADING_BLANKS)
}

/// Whether the bytes after a request can be the start of another request. If they cannot, the stated length of the first request
/// was wrong.
pub fn may_begin_request(buffer: &[u8]) -> bool {
    let rest = &buffer[leading_blanks(buffer)..];
    METHODS.iter().any(|method| {
        // Compares as much of the method and the space after it as has arrived.
        let mut compared = rest.iter().zip(method.bytes().chain([b' ']));
        compared.all(|(found, expected)| *found == expected)
    })
}

/// The first line of a request.
struct RequestLine<'a> {
    method: &'a [u8],
    target: &'a [u8],
    version: HttpVersion,
}

fn parse_request_line(line: &[u8]) -> Result<RequestLine<'_>, HeadError> {
    let mut words = line.split(|byte| *byte == b' ');
    let mut next_word = || words.next().ok_or(HeadError::Malformed);
    let method = next_word()?;
    let target = next_word()?;
    let version = next_word()?;
    if words.next().is_some() {
        return Err(HeadError::Malformed);
    }
    let version = parse_version(version)?;
    let is_valid_method = !method.is_empty() && method.iter().all(|byte| is_token(*byte));
    let is_valid_target = !target.is_empty() && target.iter().all(u8::is_ascii_graphic);
    if is_valid_method && is_valid_target {
        Ok(RequestLine { method, target, version })
    } else {
        Err(HeadError::Malformed)
    }
}

/// Parses the head of a request; `None` if the head is not complete yet.
///
/// # Errors
/// [`HeadError`] if the head is refused. The start of the next request on the connection is then unknown.
pub fn read_request(buffer: &[u8]) -> Result<Option<RequestHead>, HeadError> {
    // Blank lines before a request are skipped, as RFC 9112, 2.2 recommends.
    let Some(head) = read_head(buffer, leading_blanks(buffer))? else { return Ok(None) };
    let RequestLine { method, target, version } = parse_request_line(&buffer[head.first_line.clone()])?;
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

/// Parses the head of a response; `None` if the head is not complete yet.
///
/// # Errors
/// [`HeadError`] if the head is refused. The connection cannot be used after that.
pub fn read_response(buffer: &[u8]) -> Result<Option<ResponseHead>, HeadError> {
    let Some(head) = read_head(buffer, 0)? else { return Ok(None) };
    let mut words = buffer[head.first_line.clone()].splitn(3, |byte| *byte == b' ');
    let version = parse_version(words.next().unwrap_or(b""))?;
    let status = parse_status(words.next().unwrap_or(b""))?;
    // Responses with these statuses have no body, regardless of their header fields (RFC 9112, 6.3).
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
