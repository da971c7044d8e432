//! The framing of a watch: objects and empty lines out of a stream of bytes.

/// Splits what a watch sends into JSON objects, however many lines each takes. Each byte is scanned once.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    /// What was received and not returned.
    buffer: Vec<u8>,
    /// Bytes of `buffer` that were scanned.
    scanned: usize,
    /// How many brackets are open at that place.
    depth: u32,
    string: StringState,
    /// An object has ended on the current line, so that the line's end is no empty line.
    has_object_on_line: bool,
    /// An empty line has come since [`ObjectSplitter::take_empty_line`].
    has_empty_line: bool,
}

/// Where the scan stands with regard to a JSON string, within which brackets mean nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StringState {
    #[default]
    Outside,
    Inside,
    /// Behind a backslash: the next byte ends nothing.
    Escaped,
}

impl StringState {
    /// The state behind a byte that is part of a string.
    fn after(self, byte: u8) -> StringState {
        match (self, byte) {
            (StringState::Inside, b'"') => StringState::Outside,
            (StringState::Inside, b'\\') => StringState::Escaped,
            _ => StringState::Inside,
        }
    }
}

impl ObjectSplitter {
    /// Adds bytes as they were received.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// How many bytes are buffered.
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

    /// Whether an empty line has come since the last call.
    pub fn take_empty_line(&mut self) -> bool {
        std::mem::take(&mut self.has_empty_line)
    }

    /// The next whole object, or a line that begins none (which is no list). Empty lines are dropped.
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

    /// Scans a byte. Returns whether it ends an object, or a line outside of one.
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
