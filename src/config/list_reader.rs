//! Reads an endpoint list row by row, so that a long list need not be read at once.
//!
//! The reader scans the text of a list and parses each row of `instances` as it comes to its end. What remains, the frame, has a
//! placeholder for each row; it is parsed at the end and shows whether the text is a list. A list whose form is unusual, for
//! example with an escaped key, is parsed at once by [`EndpointList::from_json`].

use super::endpoint_list::{EndpointList, RowCollector};
use super::json_string::StringState;
use serde_json::Value;
use std::ops::Range;

/// The key of the rows.
const ROWS_KEY: &[u8] = b"instances";
/// The maximum number of bytes that one call of [`ListReader::read`] scans.
const MAX_BYTES_PER_READ: usize = 128 * 1024;
/// Stands for a row in the frame.
const PLACEHOLDER: u8 = b'0';
/// The depth of the list's own fields, in open brackets.
const FIELD_DEPTH: u32 = 1;
/// The depth of the items of an array that is a field.
const ITEM_DEPTH: u32 = 2;

/// The result of reading some rows.
#[derive(Debug)]
pub enum ListProgress {
    /// There are more rows.
    Pending,
    /// The list is complete; `None` if the text is not a list.
    Complete(Option<EndpointList>),
}

/// The reader of one list.
#[derive(Debug)]
pub struct ListReader {
    text: Vec<u8>,
    scanned: usize,
    depth: u32,
    string: StringState,
    string_start: usize,
    /// The last string among the list's own fields. Before an array it is the array's key.
    last_string: Range<usize>,
    /// Whether the scan is in the array of the rows, and not in a row.
    is_in_rows: bool,
    /// The start of the row that is being scanned.
    row_start: Option<usize>,
    /// The number of rows that were replaced by placeholders.
    placeholders: usize,
    has_rows: bool,
    /// Whether the form is unusual.
    is_irregular: bool,
    frame: Vec<u8>,
    rows: RowCollector,
}

impl ListReader {
    /// Creates the reader of a list's text.
    pub fn new(text: Vec<u8>) -> ListReader {
        ListReader {
            text,
            scanned: 0,
            depth: 0,
            string: StringState::Outside,
            string_start: 0,
            last_string: 0..0,
            is_in_rows: false,
            row_start: None,
            placeholders: 0,
            has_rows: false,
            is_irregular: false,
            frame: Vec::new(),
            rows: RowCollector::default(),
        }
    }

    /// Reads up to `max_rows` further rows, and no more than 128 KiB of the text.
    pub fn read(&mut self, max_rows: usize) -> ListProgress {
        let mut rows_left = max_rows;
        let last = self.scanned + MAX_BYTES_PER_READ;
        while let Some(&byte) = self.text.get(self.scanned) {
            let at = self.scanned;
            if at == last {
                return ListProgress::Pending;
            }
            self.scanned += 1;
            if let Some(row) = self.scan(at, byte) {
                if !self.rows.push_text(&self.text[row]) {
                    return ListProgress::Complete(None);
                }
                rows_left -= 1;
                if rows_left == 0 {
                    return ListProgress::Pending;
                }
            }
        }
        ListProgress::Complete(self.finish())
    }

    /// Scans a byte. Returns the range of a row that ends with it.
    fn scan(&mut self, at: usize, byte: u8) -> Option<Range<usize>> {
        if self.row_start.is_none() {
            self.frame.push(byte);
        }
        if self.string != StringState::Outside {
            self.scan_in_string(at, byte);
            return None;
        }
        match byte {
            b'"' => {
                self.string = StringState::Inside;
                self.string_start = at + 1;
            }
            b'{' | b'[' => self.open_bracket(at, byte),
            b'}' | b']' => return self.close_bracket(at),
            _ => {}
        }
        None
    }

    fn scan_in_string(&mut self, at: usize, byte: u8) {
        self.string = self.string.after(byte);
        if self.depth == FIELD_DEPTH {
            self.is_irregular |= byte == b'\\';
            if self.string == StringState::Outside {
                self.last_string = self.string_start..at;
            }
        }
    }

    fn open_bracket(&mut self, at: usize, byte: u8) {
        if self.depth == FIELD_DEPTH && byte == b'[' && &self.text[self.last_string.clone()] == ROWS_KEY {
            self.is_irregular |= self.has_rows;
            self.has_rows = true;
            self.is_in_rows = true;
        } else if self.is_in_rows && self.row_start.is_none() && self.depth == ITEM_DEPTH && byte == b'{' {
            self.row_start = Some(at);
            self.frame.pop();
            self.frame.push(PLACEHOLDER);
            self.placeholders += 1;
        }
        self.depth += 1;
    }

    fn close_bracket(&mut self, at: usize) -> Option<Range<usize>> {
        self.depth = self.depth.saturating_sub(1);
        match self.depth {
            FIELD_DEPTH => self.is_in_rows = false,
            ITEM_DEPTH => return self.row_start.take().map(|start| start..at + 1),
            _ => {}
        }
        None
    }

    /// Parses the frame, and returns the list if it is one.
    fn finish(&mut self) -> Option<EndpointList> {
        if self.is_irregular {
            let value: Value = serde_json::from_slice(&self.text).ok()?;
            return EndpointList::from_json(&value);
        }
        let frame: Value = serde_json::from_slice(&self.frame).ok()?;
        let generation = frame.get("generation")?.as_u64()?;
        let reset = frame.get("reset")?.as_bool()?;
        let items = frame.get("instances")?.as_array()?.len();
        // An item that is not an object is an invalid row without a name.
        let nameless = items.checked_sub(self.placeholders)?;
        Some(std::mem::take(&mut self.rows).into_list(generation, reset, nameless as u64))
    }
}

#[cfg(test)]
mod tests;
