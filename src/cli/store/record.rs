//! The format of records as JSON lines.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use mothproxy_store::BatchError;
use serde_json::{Map, Value};
use thiserror::Error;

/// The fields that a line may have.
const FIELDS: [&str; 4] = ["key", "value", "key_base64", "value_base64"];

/// Why a line is invalid.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The line is not UTF-8.
    #[error("not UTF-8: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// The object has an unknown field with this name.
    #[error("unknown field \"{0}\"; the fields are \"key\" and \"value\"")]
    UnknownField(String),
    /// The field with this name is given both as text and in base64.
    #[error("both \"{0}\" and \"{0}_base64\" are given")]
    GivenTwice(&'static str),
    /// The field with this name is not a string.
    #[error("\"{0}\" is not a string")]
    NotAString(String),
    /// A field is not base64.
    #[error("\"{field}\": {error}")]
    NotBase64 {
        /// The field's name.
        field: String,
        /// Why the field is not base64.
        #[source]
        error: base64::DecodeError,
    },
    /// The key is missing.
    #[error("\"key\" is missing")]
    NoKey,
    /// The value is missing.
    #[error("\"value\" is missing (null deletes the key)")]
    NoValue,
    /// The key is empty.
    #[error("the key is empty")]
    EmptyKey,
    /// The store refuses the record.
    #[error("{0}")]
    Invalid(#[from] BatchError),
}

/// A record to write.
pub(super) struct Record {
    pub(super) key: Vec<u8>,
    /// `None` deletes the key.
    pub(super) value: Option<Vec<u8>>,
}

/// The value of a field of a line.
enum FieldValue {
    Absent,
    Null,
    Bytes(Vec<u8>),
}

impl Record {
    /// Parses a line.
    ///
    /// # Errors
    /// [`RecordError`] if the line is invalid.
    pub(super) fn parse(line: &str) -> Result<Record, RecordError> {
        let value: Value = serde_json::from_str(line)?;
        let fields = value.as_object().ok_or(RecordError::NotAnObject)?;
        if let Some(unknown) = fields.keys().find(|name| !FIELDS.contains(&name.as_str())) {
            return Err(RecordError::UnknownField(unknown.clone()));
        }
        let key = match read_field(fields, "key")? {
            FieldValue::Bytes(key) => key,
            FieldValue::Null => return Err(RecordError::NotAString("key".to_owned())),
            FieldValue::Absent => return Err(RecordError::NoKey),
        };
        let value = match read_field(fields, "value")? {
            FieldValue::Bytes(value) => Some(value),
            FieldValue::Null => None,
            FieldValue::Absent => return Err(RecordError::NoValue),
        };
        if key.is_empty() {
            return Err(RecordError::EmptyKey);
        }
        Ok(Record { key, value })
    }
}

/// Reads a field that is given as text or, with `_base64` appended to its name, in base64.
fn read_field(fields: &Map<String, Value>, name: &'static str) -> Result<FieldValue, RecordError> {
    let base64_name = format!("{name}_base64");
    match (fields.get(name), fields.get(&base64_name)) {
        (Some(_), Some(_)) => Err(RecordError::GivenTwice(name)),
        (Some(Value::String(text)), None) => Ok(FieldValue::Bytes(text.clone().into_bytes())),
        (Some(Value::Null), None) => Ok(FieldValue::Null),
        (Some(_), None) => Err(RecordError::NotAString(name.to_owned())),
        (None, Some(Value::String(text))) => STANDARD
            .decode(text)
            .map(FieldValue::Bytes)
            .map_err(|error| RecordError::NotBase64 { field: base64_name, error }),
        (None, Some(_)) => Err(RecordError::NotAString(base64_name)),
        (None, None) => Ok(FieldValue::Absent),
    }
}

/// The line of a record. Bytes that are not UTF-8 are written in base64.
pub(super) fn record_line(key: Vec<u8>, value: Vec<u8>) -> String {
    let mut fields = Map::new();
    for (name, bytes) in [("key", key), ("value", value)] {
        match String::from_utf8(bytes) {
            Ok(text) => fields.insert(name.to_owned(), text.into()),
            Err(error) => fields.insert(format!("{name}_base64"), STANDARD.encode(error.into_bytes()).into()),
        };
    }
    Value::Object(fields).to_string()
}

/// The line of a key alone. A key with a line break is written as a JSON string, a key that is not UTF-8 in base64.
pub(super) fn key_line(key: Vec<u8>) -> String {
    match String::from_utf8(key) {
        Ok(text) if !text.contains(['\n', '\r']) => text,
        Ok(text) => Value::String(text).to_string(),
        Err(error) => STANDARD.encode(error.into_bytes()),
    }
}
