//! Access to the fields of the operators' file, and a collector of the faults in them.

use super::fault::{FaultKind, SettingsFault, SettingsFileError};
use super::location::line_of;
use prost_reflect::{DynamicMessage, Value};
use std::borrow::Cow;
use std::ops::RangeInclusive;

/// Collects the faults in a file while it is read, each with its line.
pub(super) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    faults: Vec<SettingsFault>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> Reader<'a> {
        Reader { file, text, faults: Vec::new() }
    }

    /// Records a fault in a field of a section.
    pub(super) fn field_fault(&mut self, section: &Section, field: &str, kind: FaultKind) {
        self.fault(section.path_of(field), kind);
    }

    /// Records a fault in a section as a whole.
    pub(super) fn section_fault(&mut self, section: &Section, kind: FaultKind) {
        self.fault(section.path.clone(), kind);
    }

    fn fault(&mut self, field: String, kind: FaultKind) {
        let line = line_of(self.text, &field);
        self.faults.push(SettingsFault { file: self.file.to_owned(), line, field, kind });
    }

    /// Records a fault if a value is out of range.
    pub(super) fn check_range(
        &mut self,
        section: &Section,
        field: &str,
        value: f64,
        range: RangeInclusive<f64>,
    ) {
        if !range.contains(&value) {
            let (min, max) = range.into_inner();
            self.field_fault(section, field, FaultKind::OutOfRange { min, max });
        }
    }

    /// Returns `read` if there was no fault.
    ///
    /// # Errors
    /// [`SettingsFileError`] with all faults that were recorded.
    pub(super) fn finish<T>(self, read: T) -> Result<T, SettingsFileError> {
        if self.faults.is_empty() { Ok(read) } else { Err(SettingsFileError::new(self.faults)) }
    }
}

/// A message of the file, with its path.
pub(super) struct Section {
    message: DynamicMessage,
    /// Empty for the message of the whole file.
    path: String,
}

impl Section {
    pub(super) fn root(message: DynamicMessage) -> Section {
        Section { message, path: String::new() }
    }

    fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() { field.to_owned() } else { format!("{}.{field}", self.path) }
    }

    /// Whether no field is set.
    pub(super) fn is_empty(&self) -> bool {
        self.message.fields().next().is_none()
    }

    /// The value of a field that is set.
    fn set_value(&self, field: &str) -> Option<Cow<'_, Value>> {
        if self.message.has_field_by_name(field) { self.message.get_field_by_name(field) } else { None }
    }

    /// A field that is a message, if it is set.
    pub(super) fn section(&self, field: &str) -> Option<Section> {
        let message = self.set_value(field)?.as_message()?.clone();
        Some(Section { message, path: self.path_of(field) })
    }

    /// A field that is a list of messages.
    pub(super) fn sections(&self, field: &str) -> Vec<Section> {
        let messages = self.list(field).into_iter().filter_map(|value| value.as_message().cloned());
        messages.map(|message| Section { message, path: self.path_of(field) }).collect()
    }

    /// The values of a field that is a list.
    pub(super) fn list(&self, field: &str) -> Vec<Value> {
        let list = self.message.get_field_by_name(field);
        list.and_then(|list| list.as_list().map(<[Value]>::to_vec)).unwrap_or_default()
    }

    /// A text; empty if it is not set.
    pub(super) fn text(&self, field: &str) -> String {
        let text = self.message.get_field_by_name(field);
        text.and_then(|text| text.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// A whole number, if it is set.
    pub(super) fn number(&self, field: &str) -> Option<u32> {
        self.set_value(field)?.as_u32()
    }

    /// A real number, if it is set.
    pub(super) fn real(&self, field: &str) -> Option<f64> {
        self.set_value(field)?.as_f64()
    }

    /// The number of an enum's value; 0, the default, if it is not set.
    pub(super) fn enum_number(&self, field: &str) -> i32 {
        let value = self.message.get_field_by_name(field);
        value.and_then(|value| value.as_enum_number()).unwrap_or(0)
    }
}
