//! An incremental decoder of the chunked transfer coding (RFC 9112, 7.1).

use thiserror::Error;

/// The maximum length of a chunk-size line with its extensions, and of a trailer field, in bytes.
const MAX_LINE_LENGTH: usize = 1024;
/// The maximum number of hexadecimal digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 8;

/// The chunked coding is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the chunked coding is malformed")]
pub struct ChunkError;

/// What the decoder reads next.
#[derive(Clone, Copy, Debug, Default)]
enum State {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// The data of a chunk, of which this many bytes are left.
    Data(usize),
    /// The line end that follows the data of a chunk.
    DataEnd,
    /// Trailer fields, up to a blank line.
    Trailer,
    /// Nothing: the body is complete.
    Done,
}

/// Decodes a chunked body whose bytes may arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct Chunked {
    state: State,
    /// The start of a line that is not complete yet.
    partial_line: Vec<u8>,
}

impl Chunked {
    /// Whether the last chunk and its trailer have been read.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Decodes `input` and appends the decoded bytes to `out`. Returns how many bytes of `input` belong to this body.
    ///
    /// # Errors
    /// [`ChunkError`] if the coding is malformed or a line is too long. The decoder cannot be used after an error.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut rest = input;
        while !rest.is_empty() && !self.is_done() {
            if let State::Data(remaining) = self.state {
                let (data, after) = rest.split_at(remaining.min(rest.len()));
                out.extend_from_slice(data);
                rest = after;
                let remaining = remaining - data.len();
                self.state = if remaining == 0 { State::DataEnd } else { State::Data(remaining) };
            } else {
                let Some(next) = self.decode_line(&mut rest)? else { break };
                self.state = next;
            }
        }
        Ok(input.len() - rest.len())
    }

    /// Removes the next line from `input` and returns the state that follows it. Buffers an incomplete line and returns `None`.
    fn decode_line(&mut self, input: &mut &[u8]) -> Result<Option<State>, ChunkError> {
        let end = input.iter().position(|byte| *byte == b'\n');
        let (piece, rest) = input.split_at(end.map_or(input.len(), |at| at + 1));
        *input = rest;
        if self.partial_line.len() + piece.len() > MAX_LINE_LENGTH {
            return Err(ChunkError);
        }
        if end.is_some() && self.partial_line.is_empty() {
            return self.on_line(without_line_end(piece)).map(Some);
        }
        self.partial_line.extend_from_slice(piece);
        if end.is_none() {
            return Ok(None);
        }
        let line = std::mem::take(&mut self.partial_line);
        self.on_line(without_line_end(&line)).map(Some)
    }

    /// Returns the state that follows a line outside a chunk's data.
    fn on_line(&self, line: &[u8]) -> Result<State, ChunkError> {
        match self.state {
            State::Size => match parse_size(line)? {
                0 => Ok(State::Trailer),
                size => Ok(State::Data(size)),
            },
            State::DataEnd if line.is_empty() => Ok(State::Size),
            State::DataEnd => Err(ChunkError),
            State::Trailer if line.is_empty() => Ok(State::Done),
            unchanged @ (State::Trailer | State::Data(_) | State::Done) => Ok(unchanged),
        }
    }
}

/// A line without its line feed and the carriage return before it.
fn without_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Parses the size of a chunk, in bytes. Chunk extensions are ignored.
fn parse_size(line: &[u8]) -> Result<usize, ChunkError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or(b"").trim_ascii();
    let has_valid_length = (1..=MAX_SIZE_DIGITS).contains(&digits.len());
    if !has_valid_length || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(ChunkError);
    }
    let text = std::str::from_utf8(digits).map_err(|_| ChunkError)?;
    usize::from_str_radix(text, 16).map_err(|_| ChunkError)
}
