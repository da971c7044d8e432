//! Reads the sections `streams` and `state`: the SSE listener and the idempotency store.

use super::fault::FaultKind;
use super::reader::{Reader, Section};
use crate::config::{DEFAULT_HEARTBEAT_MS, DEFAULT_STREAMS_PER_TENANT, SseSettings, is_origin};
use crate::policy::interface::{MICROS_PER_MS, Micros};
use crate::server::StateDir;
use mothproxy_store::SyncMode;
use prost_reflect::Value;
use std::path::PathBuf;
use std::time::Duration;

/// The numbers of the schema's `SyncMode`; `ALWAYS` is the default.
const SYNC_INTERVAL: i32 = 1;
const SYNC_NEVER: i32 = 2;

/// Reads `streams`; `None` if the section has no valid address to listen on.
pub(super) fn read_streams(reader: &mut Reader<'_>, section: &Section) -> Option<SseSettings> {
    let listen_text = section.text("listen");
    let listen = listen_text.parse().ok();
    if listen.is_none() && !listen_text.is_empty() {
        reader.field_fault(section, "listen", FaultKind::NotAnAddress(listen_text));
    }
    let heartbeat_ms = positive(reader, section, "heartbeat_ms", DEFAULT_HEARTBEAT_MS);
    let streams_per_tenant = positive(reader, section, "streams_per_tenant", DEFAULT_STREAMS_PER_TENANT);
    let origins = section.list("origins");
    let origins: Vec<String> = origins.iter().filter_map(Value::as_str).map(str::to_owned).collect();
    for origin in origins.iter().filter(|origin| !is_origin(origin)) {
        reader.field_fault(section, "origins", FaultKind::NotAnOrigin(origin.clone()));
    }
    Some(SseSettings {
        listen: listen?,
        heartbeat: Micros::from(heartbeat_ms) * MICROS_PER_MS,
        origins,
        streams_per_tenant: streams_per_tenant as usize,
    })
}

/// The value of a field, or its default. A value that is not above 0 is recorded as a fault.
fn positive(reader: &mut Reader<'_>, section: &Section, field: &str, default: u32) -> u32 {
    let value = section.number(field).unwrap_or(default);
    if value == 0 {
        reader.field_fault(section, field, FaultKind::NotPositive);
    }
    value
}

/// Reads `state`; `None` if the section has no directory.
pub(super) fn read_state(reader: &mut Reader<'_>, section: &Section) -> Option<StateDir> {
    let sync = read_sync_mode(reader, section);
    let directory = section.text("directory");
    if !directory.is_empty() {
        return Some(StateDir { dir: PathBuf::from(directory), sync });
    }
    if !section.is_empty() {
        reader.section_fault(section, FaultKind::DirectoryMissing);
    }
    None
}

fn read_sync_mode(reader: &mut Reader<'_>, section: &Section) -> SyncMode {
    match (section.enum_number("sync"), section.number("interval_ms")) {
        (SYNC_INTERVAL, Some(ms)) if ms > 0 => SyncMode::Interval(Duration::from_millis(u64::from(ms))),
        (SYNC_INTERVAL, _) => {
            reader.field_fault(section, "sync", FaultKind::IntervalMissing);
            SyncMode::Always
        }
        (_, Some(_)) => {
            reader.field_fault(section, "interval_ms", FaultKind::IntervalUnused);
            SyncMode::Always
        }
        (SYNC_NEVER, None) => SyncMode::Never,
        _ => SyncMode::Always,
    }
}
