//! The operators' file, `deploy/mothproxy.txtpb`: protobuf text format with the schema `proto/mothproxy.proto`.
//!
//! All faults in a file are collected, each with its line and its field.

mod fault;
mod fleet;
mod location;
mod reader;
mod serving;

pub use fault::{FaultKind, SettingsFault, SettingsFileError};

use crate::config::{FilePresence, SseSettings};
use crate::fleet::FleetSettings;
use crate::server::StateDir;
use location::field_at;
use miette::Diagnostic;
use prost_reflect::text_format::ParseError;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};
use reader::{Reader, Section};
use std::path::Path;

/// The compiled schema, which `build.rs` writes.
const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/mothproxy.desc"));
/// The name of the message that the file contains.
const MESSAGE: &str = "mothproxy.v1.Settings";
/// The number of `JSON` in the schema's `Log.Form`.
const LOG_FORM_JSON: i32 = 1;

/// The settings in an operators' file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The SSE listener; `None` turns it off.
    pub streams: Option<SseSettings>,
    /// The directory of the idempotency store; `None` turns it off.
    pub state: Option<StateDir>,
    /// Whether log lines are JSON objects.
    pub json_log: bool,
    /// Membership of the dispatchers, and the state that they share with each other.
    pub fleet: FleetSettings,
}

/// Parses the text of an operators' file. `file` is the name of the file in error messages.
///
/// # Errors
/// [`SettingsFileError`] with all faults in the text.
pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsFileError> {
    let descriptor = descriptor();
    mothproxy_invariant::invariant!(descriptor.is_some(), "the compiled-in schema cannot be decoded");
    let Some(descriptor) = descriptor else { return Ok(Settings::default()) };
    let message = DynamicMessage::parse_text_format(descriptor, text)
        .map_err(|error| SettingsFileError::new(vec![syntax_fault(error, text, file)]))?;
    let root = Section::root(message);
    let mut reader = Reader::new(file, text);
    let settings = Settings {
        streams: root.section("streams").and_then(|section| serving::read_streams(&mut reader, &section)),
        state: root.section("state").and_then(|section| serving::read_state(&mut reader, &section)),
        json_log: root.section("log").is_some_and(|section| section.enum_number("form") == LOG_FORM_JSON),
        fleet: root
            .section("fleet")
            .map(|section| fleet::read_fleet(&mut reader, &section))
            .unwrap_or_default(),
    };
    reader.finish(settings)
}

/// Reads an operators' file. If the file is optional and missing, returns the default settings.
///
/// # Errors
/// [`SettingsFileError`] with all faults in the file, or if it cannot be read.
pub fn load(file: &Path, presence: FilePresence) -> Result<Settings, SettingsFileError> {
    if !presence.should_read(file) {
        return Ok(Settings::default());
    }
    let file_name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => parse(&text, &file_name),
        Err(error) => {
            let kind = FaultKind::Unreadable(error);
            let fault = SettingsFault { file: file_name, line: 1, field: String::new(), kind };
            Err(SettingsFileError::new(vec![fault]))
        }
    }
}

fn descriptor() -> Option<MessageDescriptor> {
    DescriptorPool::decode(SCHEMA).ok()?.get_message_by_name(MESSAGE)
}

fn syntax_fault(error: ParseError, text: &str, file: &str) -> SettingsFault {
    let label = error.labels().and_then(|mut labels| labels.next());
    let offset = label.map_or(0, |label| label.offset());
    let text_before = text.get(..offset).unwrap_or(text);
    SettingsFault {
        file: file.to_owned(),
        line: text_before.matches('\n').count() + 1,
        field: field_at(text, offset),
        kind: FaultKind::Syntax(error),
    }
}
