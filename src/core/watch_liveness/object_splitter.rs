//! The framing of a watch: a stream of bytes is split into objects and empty lines.

use crate::config::StringState;

/// Splits the data of a watch into JSON objects, each of which may have any number of lines. Each byte is scanned once.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    /// The bytes that were received but not yet returned.
    buffer: Vec<u8>,
    /// The number of bytes of `buffer` that have been scanned.
    scanned: usize,
    /// The number of open brackets after the scanned bytes.
    depth: u32,
    string: StringState,
    /// Whether an object has ended on the current line, so that the line is not empty.
    has_object_on_line: bool,
    /// Whether an empty line was received since [`ObjectSplitter::take_empty_line`].
    has_empty_line: bool,
}

impl ObjectSplitter {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether nothing is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether an object has begun and not ended.
    pub fn is_partial(&self) -> bool {
        self.depth > 0
    }

    /// Whether an empty line was received since the last call.
    pub fn take_empty_line(&mut self) -> bool {
        std::mem::take(&mut self.has_empty_line)
    }

    /// Returns the next complete object, or the next line outside of any object (which is not a list); `None` if neither is
    /// complete. Empty lines are skipped.
    pub fn next_object(&mut self) -> Option<Vec<u8>> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if !self.is_end(byte) {
                continue;
            }
            let chunk: Vec<u8> = self.buffer.drain(..std::mem::take(&mut self.scanned)).collect();
            let object = chunk.trim_ascii();
            let had_object_on_line = std::mem::replace(&mut self.has_object_on_line, byte != b'\n');
            if !object.is_empty() {
                return Some(object.to_vec());
            }
            self.has_empty_line |= !had_object_on_line;
        }
        None
    }

    /// Scans a byte. Returns whether the byte ends an object or a line outside of any object.
    fn is_end(&mut self, byte: u8) -> bool {
        if self.string != StringState::Outside {
            self.string = self.string.after(byte);
            return false;
        }
        match byte {
            b'"' if self.depth > 0 => {
                self.string = StringState::Inside;
                false
            }
            b'{' | b'[' => {
                self.depth += 1;
                false
            }
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                self.depth == 0
            }
            b'\n' => self.depth == 0,
            _ => false,
        }
    }
}
