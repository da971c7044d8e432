//! Finds the position of a field in the text of the operators' file.

/// The line of a field, from 1. For each name of the path in turn, this is the first line with that name at or after the line of
/// the name before it. A name that the text does not have is skipped.
pub(super) fn line_of(text: &str, field_path: &str) -> usize {
    let mut first_line = 0;
    let mut line = 1;
    for name in field_path.split('.') {
        if let Some(offset) = text.lines().skip(first_line).position(|line| names_field(line, name)) {
            first_line += offset;
            line = first_line + 1;
        }
    }
    line
}

/// Whether a line has this word outside a comment.
fn names_field(line: &str, name: &str) -> bool {
    let code = line.split('#').next().unwrap_or("");
    let mut words = code.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
    words.any(|word| word == name)
}

/// The path of the field that is being set at an offset of the text.
pub(super) fn field_at(text: &str, offset: usize) -> String {
    let mut scanner = FieldScanner { text, enclosing: Vec::new(), field: "" };
    let mut position = 0;
    while position < text.len() && position <= offset {
        position += scanner.scan_token(position);
    }
    scanner.into_path()
}

/// Tracks the current field of a text, token by token.
struct FieldScanner<'a> {
    text: &'a str,
    /// The names of the messages around the current position, from the outermost.
    enclosing: Vec<&'a str>,
    /// The field name that was read last; empty directly after a brace.
    field: &'a str,
}

impl FieldScanner<'_> {
    /// Reads the token at a position and returns its length in bytes.
    fn scan_token(&mut self, position: usize) -> usize {
        let rest = &self.text.as_bytes()[position..];
        match rest[0] {
            b'#' => length_until(rest, |byte| byte == b'\n'),
            quote @ (b'"' | b'\'') => quoted_length(rest, quote),
            b'{' | b'<' => {
                self.enclosing.push(self.field);
                self.field = "";
                1
            }
            b'}' | b'>' => {
                self.enclosing.pop();
                self.field = "";
                1
            }
            byte if byte.is_ascii_alphabetic() => {
                let length = length_until(rest, |byte| !byte.is_ascii_alphanumeric() && byte != b'_');
                let is_value = self.text[..position].trim_end().ends_with(':');
                if !is_value {
                    self.field = &self.text[position..position + length];
                }
                length
            }
            _ => 1,
        }
    }

    fn into_path(mut self) -> String {
        self.enclosing.push(self.field);
        self.enclosing.retain(|name| !name.is_empty());
        self.enclosing.join(".")
    }
}

/// The number of bytes before the first one for which `is_end` holds.
fn length_until(bytes: &[u8], is_end: impl Fn(u8) -> bool) -> usize {
    bytes.iter().position(|byte| is_end(*byte)).unwrap_or(bytes.len())
}

/// The length of a quoted text, including both quotes. A line break ends it as well.
fn quoted_length(bytes: &[u8], quote: u8) -> usize {
    let mut end = 1;
    while end < bytes.len() && bytes[end] != quote && bytes[end] != b'\n' {
        let is_escape = bytes[end] == b'\\';
        end += if is_escape { 2 } else { 1 };
    }
    end + 1
}
