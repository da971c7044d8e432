//! Heads of HTTP/1.1 messages, parsed in place: what comes back are ranges of the buffer.

use std::ops::Range;

/// The longest head that is read.
pub const MAX_HEAD: usize = 16 * 1024;
/// The longest body.
pub const MAX_BODY: usize = 64 * 1024;
const MOST_FIELDS: usize = 100;

/// What is wrong with a head; each maps to one status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// It does not read as HTTP/1.x.
    Malformed,
    /// It is longer than [`MAX_HEAD`] or has too many fields.
    TooLarge,
    /// Two lengths, or a length and a transfer coding: where the body ends is anybody's guess.
    Ambiguous,
    /// The body is longer than [`MAX_BODY`].
    BodyTooLarge,
    /// A transfer coding other than chunked.
    UnknownCoding,
    /// Another version of HTTP.
    Version,
}

/// How the body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Neither a length nor a coding was given.
    Absent,
    /// So many bytes.
    Length(usize),
    /// Chunks.
    Chunked,
}

/// The fields of a head, by range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(Range<usize>, Range<usize>)>);

impl Fields {
    /// The first field of this name.
    pub fn find(&self, buf: &[u8], name: &str) -> Option<Range<usize>> {
        self.all(buf, name).next()
    }

    fn all<'a>(&'a self, buf: &'a [u8], name: &'a str) -> impl Iterator<Item = Range<usize>> + 'a {
        let named = move |field: &&(Range<usize>, Range<usize>)| {
            buf[field.0.clone()].eq_ignore_ascii_case(name.as_bytes())
        };
        self.0.iter().filter(named).map(|field| field.1.clone())
    }

    /// The text of the first field of this name.
    pub fn text<'a>(&self, buf: &'a [u8], name: &str) -> Option<&'a str> {
        self.find(buf, name).and_then(|range| std::str::from_utf8(&buf[range]).ok())
    }

    /// Whether a field that is a list holds this word.
    pub fn lists(&self, buf: &[u8], name: &str, word: &str) -> bool {
        self.all(buf, name).any(|range| {
            let mut items = buf[range].split(|b| *b == b',');
            items.any(|item| item.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        })
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Range<usize>,
    /// Path and query.
    pub target: Range<usize>,
    /// Its fields.
    pub fields: Fields,
    /// Where its body ends.
    pub framing: Framing,
    /// Whether the connection stays open after the answer.
    pub keep_alive: bool,
    /// Length of the head, the blank line included.
    pub len: usize,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Its fields.
    pub fields: Fields,
    /// Where its body ends.
    pub framing: Framing,
    /// Whether the connection stays open after it.
    pub keep_alive: bool,
    /// Length of the head, the blank line included.
    pub len: usize,
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// The end of the head: just past its blank line. Looks at no more than [`MAX_HEAD`] bytes.
fn head_end(buf: &[u8]) -> Result<Option<usize>, HeadError> {
    let seen = &buf[..buf.len().min(MAX_HEAD)];
    let mut from = 0;
    while let Some(at) = seen[from..].iter().position(|b| *b == b'\n') {
        let next = from + at + 1;
        match &seen[next..] {
            [b'\n', ..] => return Ok(Some(next + 1)),
            [b'\r', b'\n', ..] => return Ok(Some(next + 2)),
            _ => from = next,
        }
    }
    if buf.len() >= MAX_HEAD { Err(HeadError::TooLarge) } else { Ok(None) }
}

/// The lines of a head as ranges, without their line ends.
fn lines(head: &[u8]) -> impl Iterator<Item = Range<usize>> + '_ {
    let mut from = 0;
    std::iter::from_fn(move || {
        let end = from + head[from..].iter().position(|b| *b == b'\n')?;
        let line = from..if end > from && head[end - 1] == b'\r' { end - 1 } else { end };
        from = end + 1;
        Some(line)
    })
}

struct Parsed {
    start: Range<usize>,
    fields: Fields,
    len: usize,
}

fn read_head(buf: &[u8], skip: usize) -> Result<Option<Parsed>, HeadError> {
    let Some(len) = head_end(&buf[skip..])? else { return Ok(None) };
    let len = skip + len;
    let head = &buf[skip..len];
    let shift = |r: Range<usize>| r.start + skip..r.end + skip;
    let mut lines = lines(head).map(shift);
    let start = lines.next().ok_or(HeadError::Malformed)?;
    let mut fields = Vec::new();
    for line in lines.filter(|line| !line.is_empty()) {
        let text = &buf[line.clone()];
        let colon = text.iter().position(|b| *b == b':').ok_or(HeadError::Malformed)?;
        let (name, value) = (&text[..colon], &text[colon + 1..]);
        // A folded line, a space before the colon and a control byte are all ways to smuggle a request.
        let odd = |b: &u8| (*b < 0x20 && *b != b'\t') || *b == 0x7f;
        if name.is_empty() || !name.iter().all(|b| is_token(*b)) || value.iter().any(odd) {
            return Err(HeadError::Malformed);
        }
        if fields.len() == MOST_FIELDS {
            return Err(HeadError::TooLarge);
        }
        let lead = value.len() - value.trim_ascii_start().len();
        let from = line.start + colon + 1 + lead;
        fields.push((line.start..line.start + colon, from..from + value.trim_ascii().len()));
    }
    Ok(Some(Parsed { start, fields: Fields(fields), len }))
}

fn framing(buf: &[u8], fields: &Fields) -> Result<Framing, HeadError> {
    let mut lengths = fields.all(buf, "content-length");
    let mut codings = fields.all(buf, "transfer-encoding");
    let (length, coding) = (lengths.next(), codings.next());
    if lengths.next().is_some() || codings.next().is_some() || (length.is_some() && coding.is_some()) {
        return Err(HeadError::Ambiguous);
    }
    if let Some(coding) = coding {
        let chunked = buf[coding].eq_ignore_ascii_case(b"chunked");
        return if chunked { Ok(Framing::Chunked) } else { Err(HeadError::UnknownCoding) };
    }
    let Some(length) = length else { return Ok(Framing::Absent) };
    let digits = &buf[length];
    if digits.contains(&b',') {
        return Err(HeadError::Ambiguous);
    }
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HeadError::Malformed)?;
    match text.parse::<usize>() {
        Ok(length) if length <= MAX_BODY => Ok(Framing::Length(length)),
        _ => Err(HeadError::BodyTooLarge),
    }
}

fn version(text: &[u8]) -> Result<u8, HeadError> {
    match text {
        b"HTTP/1.1" => Ok(1),
        b"HTTP/1.0" => Ok(0),
        [b'H', b'T', b'T', b'P', b'/', ..] => Err(HeadError::Version),
        _ => Err(HeadError::Malformed),
    }
}

fn keeps_alive(buf: &[u8], fields: &Fields, version: u8) -> bool {
    match version {
        0 => fields.lists(buf, "connection", "keep-alive"),
        _ => !fields.lists(buf, "connection", "close"),
    }
}

/// Whether bytes that follow a request can be the beginning of another. Where they cannot, its length was wrong.
pub fn may_begin_request(buf: &[u8]) -> bool {
    let rest = &buf[buf.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count().min(4)..];
    let methods = ["GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH"];
    methods.iter().any(|method| {
        let word = rest.iter().zip(method.bytes().chain([b' ']));
        word.into_iter().all(|(a, b)| *a == b)
    })
}

/// Reads the head of a request; `None` if it is not complete yet.
pub fn read_request(buf: &[u8]) -> Result<Option<Request>, HeadError> {
    // Blank lines before a request are passed over, as RFC 9112 asks.
    let skip = buf.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    let Some(head) = read_head(buf, skip.min(4))? else { return Ok(None) };
    let line = &buf[head.start.clone()];
    let mut words = line.split(|b| *b == b' ');
    let (Some(method), Some(target), Some(http), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(HeadError::Malformed);
    };
    let version = version(http)?;
    let printable = target.iter().all(|b| (0x21..0x7f).contains(b));
    if method.is_empty() || !method.iter().all(|b| is_token(*b)) || target.is_empty() || !printable {
        return Err(HeadError::Malformed);
    }
    if version == 1 && head.fields.find(buf, "host").is_none() {
        return Err(HeadError::Malformed);
    }
    let from = head.start.start;
    let target = from + method.len() + 1..from + method.len() + 1 + target.len();
    Ok(Some(Request {
        method: from..from + method.len(),
        target,
        framing: framing(buf, &head.fields)?,
        keep_alive: keeps_alive(buf, &head.fields, version),
        fields: head.fields,
        len: head.len,
    }))
}

/// Reads the head of an answer; `None` if it is not complete yet.
pub fn read_response(buf: &[u8]) -> Result<Option<Response>, HeadError> {
    let Some(head) = read_head(buf, 0)? else { return Ok(None) };
    let line = &buf[head.start.clone()];
    let mut words = line.splitn(3, |b| *b == b' ');
    let version = version(words.next().unwrap_or(b""))?;
    let digits = words.next().filter(|d| d.len() == 3 && d.iter().all(u8::is_ascii_digit));
    let status = digits.ok_or(HeadError::Malformed)?.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0'));
    // These never have a body, whatever their fields say.
    let bare = status < 200 || status == 204 || status == 304;
    let framing = if bare { Framing::Length(0) } else { framing(buf, &head.fields)? };
    let keep_alive = keeps_alive(buf, &head.fields, version) && framing != Framing::Absent;
    Ok(Some(Response { status, framing, keep_alive, fields: head.fields, len: head.len }))
}
