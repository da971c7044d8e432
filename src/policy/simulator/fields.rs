//! Parses one line of the simulator, which consists of a message name and `name=value` fields.

use super::error::LineError;
use crate::policy::interface::Micros;
use crate::policy::settings_map::to_micros;

/// A parsed line.
pub(super) struct Fields<'a> {
    pub message: &'a str,
    pub pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Splits a line at its tabs. A part without `=` is ignored.
    pub fn parse(line: &'a str) -> Self {
        let mut parts = line.split('\t');
        let message = parts.next().unwrap_or("");
        Fields { message, pairs: parts.filter_map(|part| part.split_once('=')).collect() }
    }

    /// The text of a field, if there is one.
    pub fn find(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    /// The text of a field, or an error if the field is missing or empty.
    pub fn text(&self, name: &str) -> Result<&'a str, LineError> {
        self.find(name).filter(|value| !value.is_empty()).ok_or_else(|| self.missing(name))
    }

    /// The number in a field, if the field exists, or an error if its text is not a number.
    pub fn parsed<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, LineError> {
        self.find(name).map(|text| self.parse_number(name, text)).transpose()
    }

    /// The number in a field, or an error if the field is missing or not a number.
    pub fn required<T: std::str::FromStr>(&self, name: &str) -> Result<T, LineError> {
        self.parsed(name)?.ok_or_else(|| self.missing(name))
    }

    /// The finite number in a field, if the field exists, or an error if it is not a number or not finite.
    pub fn finite(&self, name: &str) -> Result<Option<f64>, LineError> {
        match self.parsed::<f64>(name)? {
            Some(value) if !value.is_finite() => {
                Err(LineError::NotFinite { message: self.message.to_owned(), field: name.to_owned() })
            }
            value => Ok(value),
        }
    }

    /// The span or time in a field, if the field exists. The field is in milliseconds, the result in microseconds.
    pub fn micros(&self, name: &str) -> Result<Option<Micros>, LineError> {
        Ok(self.finite(name)?.map(to_micros))
    }

    /// The span or time in a field as [`Fields::micros`] returns it, or an error if the field is missing.
    pub fn required_micros(&self, name: &str) -> Result<Micros, LineError> {
        self.micros(name)?.ok_or_else(|| self.missing(name))
    }

    /// Parses a number. `name` is the field that the error names.
    pub fn parse_number<T: std::str::FromStr>(&self, name: &str, text: &str) -> Result<T, LineError> {
        text.parse().map_err(|_| LineError::NotANumber {
            message: self.message.to_owned(),
            field: name.to_owned(),
            text: text.to_owned(),
        })
    }

    /// The error for a missing field.
    fn missing(&self, name: &str) -> LineError {
        LineError::MissingField { message: self.message.to_owned(), field: name.to_owned() }
    }
}

/// Decodes hexadecimal digits; the text "-" stands for no bytes. Returns `None` if the text is not hexadecimal.
pub(super) fn from_hex(text: &str) -> Option<Vec<u8>> {
    if text == "-" {
        return Some(Vec::new());
    }
    let digits = text.as_bytes();
    let value = |digit: u8| (digit as char).to_digit(16).map(|value| value as u8);
    if digits.len() % 2 == 1 {
        return None;
    }
    digits.chunks(2).map(|pair| Some(value(pair[0])? << 4 | value(pair[1])?)).collect()
}
