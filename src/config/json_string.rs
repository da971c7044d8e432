//! Tells brackets of a JSON text from those inside of strings.

/// The position of a scan in relation to JSON strings, inside of which brackets have no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StringState {
    /// Not in a string.
    #[default]
    Outside,
    /// In a string.
    Inside,
    /// In a string, after a backslash: the next byte does not end the string.
    Escaped,
}

impl StringState {
    /// The state after a byte of a string.
    pub(crate) fn after(self, byte: u8) -> StringState {
        match (self, byte) {
            (StringState::Inside, b'"') => StringState::Outside,
            (StringState::Inside, b'\\') => StringState::Escaped,
            _ => StringState::Inside,
        }
    }
}
