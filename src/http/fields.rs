//! The header fields of a message (RFC 9112, 5), as ranges of the buffer that holds the message.

use super::head::HeadError;
use std::ops::Range;

/// The maximum number of fields in a head.
const MAX_FIELDS: usize = 100;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    name: Range<usize>,
    value: Range<usize>,
}

/// The fields of a head, in their order. Every method takes the buffer from which the head was parsed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<Field>);

impl Fields {
    /// Parses the lines of a head after the first one; `lines` are ranges of `buffer`.
    ///
    /// # Errors
    /// [`HeadError`] if a line is malformed or there are too many fields.
    pub(super) fn parse(
        buffer: &[u8],
        lines: impl Iterator<Item = Range<usize>>,
    ) -> Result<Fields, HeadError> {
        let mut fields = Vec::new();
        for line in lines.filter(|line| !line.is_empty()) {
            let field = parse_field(buffer, line)?;
            if fields.len() == MAX_FIELDS {
                return Err(HeadError::TooLarge);
            }
            fields.push(field);
        }
        Ok(Fields(fields))
    }

    /// The value of the first field of this name.
    pub fn find(&self, buffer: &[u8], name: &str) -> Option<Range<usize>> {
        self.find_all(buffer, name).next()
    }

    /// The values of all fields of this name. Names are case-insensitive.
    pub(super) fn find_all<'a>(
        &'a self,
        buffer: &'a [u8],
        name: &'a str,
    ) -> impl Iterator<Item = Range<usize>> + 'a {
        let has_name = move |field: &&Field| buffer[field.name.clone()].eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().filter(has_name).map(|field| field.value.clone())
    }

    /// The value of the first field of this name; `None` if there is none or its value is not UTF-8.
    pub fn text<'a>(&self, buffer: &'a [u8], name: &str) -> Option<&'a str> {
        self.find(buffer, name).and_then(|range| std::str::from_utf8(&buffer[range]).ok())
    }

    /// Whether the comma-separated list in the fields of this name contains `item`. Items are case-insensitive.
    pub fn has_list_item(&self, buffer: &[u8], name: &str, item: &str) -> bool {
        self.find_all(buffer, name).any(|range| {
            let mut items = buffer[range].split(|byte| *byte == b',');
            items.any(|found| found.trim_ascii().eq_ignore_ascii_case(item.as_bytes()))
        })
    }
}

fn parse_field(buffer: &[u8], line: Range<usize>) -> Result<Field, HeadError> {
    let text = &buffer[line.clone()];
    let colon = text.iter().position(|byte| *byte == b':').ok_or(HeadError::Malformed)?;
    let (name, value) = (&text[..colon], &text[colon + 1..]);
    // Folded lines, spaces before the colon and control bytes are rejected because they permit request smuggling.
    let is_control = |byte: &u8| (*byte < 0x20 && *byte != b'\t') || *byte == 0x7f;
    if name.is_empty() || !name.iter().all(|byte| is_token(*byte)) || value.iter().any(is_control) {
        return Err(HeadError::Malformed);
    }
    let leading_blanks = value.len() - value.trim_ascii_start().len();
    let value_start = line.start + colon + 1 + leading_blanks;
    Ok(Field {
        name: line.start..line.start + colon,
        value: value_start..value_start + value.trim_ascii().len(),
    })
}

/// Whether a byte may be part of a token, such as a method or a field name (RFC 9110, 5.6.2).
pub(super) fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
