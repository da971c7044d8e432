//! Where the body of a message ends (RFC 9112, 6), and whether its connection stays open (RFC 9112, 9.3).

use super::fields::Fields;
use super::head::{HeadError, HttpVersion, MAX_BODY};
use std::ops::Range;

/// How the body of a message is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has neither a length nor a transfer coding.
    Absent,
    /// By its length, in bytes.
    Length(usize),
    /// By the chunked transfer coding.
    Chunked,
}

/// Parses the framing from the fields of a head.
///
/// # Errors
/// [`HeadError`] if a value is malformed or unsupported, or if two fields could contradict each other: another server on the path
/// might use the other field, so that the two would see different requests (request smuggling).
pub(super) fn parse_framing(buffer: &[u8], fields: &Fields) -> Result<Framing, HeadError> {
    let length = find_only(buffer, fields, "content-length")?;
    let coding = find_only(buffer, fields, "transfer-encoding")?;
    match (length, coding) {
        (None, None) => Ok(Framing::Absent),
        (Some(_), Some(_)) => Err(HeadError::AmbiguousLength),
        (Some(length), None) => parse_content_length(&buffer[length]).map(Framing::Length),
        (None, Some(coding)) if buffer[coding.clone()].eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        (None, Some(_)) => Err(HeadError::UnsupportedCoding),
    }
}

/// The value of a field that may occur at most once in a head.
///
/// # Errors
/// [`HeadError::AmbiguousLength`] if the field occurs more than once.
fn find_only(buffer: &[u8], fields: &Fields, name: &str) -> Result<Option<Range<usize>>, HeadError> {
    let mut values = fields.find_all(buffer, name);
    let first = values.next();
    if values.next().is_some() { Err(HeadError::AmbiguousLength) } else { Ok(first) }
}

fn parse_content_length(digits: &[u8]) -> Result<usize, HeadError> {
    if digits.contains(&b',') {
        return Err(HeadError::AmbiguousLength);
    }
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HeadError::Malformed)?;
    match text.parse::<usize>() {
        Ok(length) if length <= MAX_BODY => Ok(length),
        _ => Err(HeadError::BodyTooLarge),
    }
}

/// Whether the connection stays open after a message of this version.
pub(super) fn keeps_alive(buffer: &[u8], fields: &Fields, version: HttpVersion) -> bool {
    match version {
        HttpVersion::Http10 => fields.has_list_item(buffer, "connection", "keep-alive"),
        HttpVersion::Http11 => !fields.has_list_item(buffer, "connection", "close"),
    }
}
