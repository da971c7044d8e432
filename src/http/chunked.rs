//! Chunked bodies, read piece by piece.

/// A line that gives a chunk's size, extensions included, is no longer than this; nor is a trailer.
const MAX_LINE: usize = 1024;

/// The coding is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkError;

#[derive(Clone, Copy, Debug, Default)]
enum Place {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailer,
    Done,
}

/// Decodes a chunked body across any cuts.
#[derive(Debug, Default)]
pub struct Chunked {
    place: Place,
    line: Vec<u8>,
}

impl Chunked {
    /// Whether the last chunk and its trailer have been read.
    pub fn is_done(&self) -> bool {
        matches!(self.place, Place::Done)
    }

    /// Takes a line if it is complete; otherwise keeps its beginning.
    fn line(&mut self, input: &mut &[u8]) -> Result<Option<Vec<u8>>, ChunkError> {
        let end = input.iter().position(|b| *b == b'\n');
        let (piece, rest) = input.split_at(end.map_or(input.len(), |at| at + 1));
        *input = rest;
        self.line.extend_from_slice(piece);
        if self.line.len() > MAX_LINE {
            return Err(ChunkError);
        }
        if end.is_none() {
            return Ok(None);
        }
        let mut line = std::mem::take(&mut self.line);
        line.pop();
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Ok(Some(line))
    }

    /// Appends decoded bytes to `out` and returns how much of the input belongs to this body.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut rest = input;
        while !rest.is_empty() {
            match self.place {
                Place::Size => {
                    let Some(line) = self.line(&mut rest)? else { break };
                    let digits = line.split(|b| *b == b';').next().unwrap_or(b"").trim_ascii();
                    let hex = std::str::from_utf8(digits).map_err(|_| ChunkError)?;
                    if hex.is_empty() || hex.len() > 8 || !digits.iter().all(u8::is_ascii_hexdigit) {
                        return Err(ChunkError);
                    }
                    let size = usize::from_str_radix(hex, 16).map_err(|_| ChunkError)?;
                    self.place = if size == 0 { Place::Trailer } else { Place::Data(size) };
                }
                Place::Data(left) => {
                    let (piece, after) = rest.split_at(left.min(rest.len()));
                    out.extend_from_slice(piece);
                    rest = after;
                    let left = left - piece.len();
                    self.place = if left == 0 { Place::DataEnd } else { Place::Data(left) };
                }
                Place::DataEnd => match self.line(&mut rest)? {
                    Some(line) if line.is_empty() => self.place = Place::Size,
                    Some(_) => return Err(ChunkError),
                    None => break,
                },
                Place::Trailer => match self.line(&mut rest)? {
                    Some(line) if line.is_empty() => self.place = Place::Done,
                    Some(_) => {}
                    None => break,
                },
                Place::Done => break,
            }
        }
        Ok(input.len() - rest.len())
    }
}
