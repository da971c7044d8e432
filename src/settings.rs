//! The operators' file, `deploy/mothproxy.txtpb`: protobuf text format by the schema in `proto/mothproxy.proto`.

use crate::config::SseSettings;
use crate::fleet::{
    ColdStartSettings, FairShareSettings, FleetSettings, MembershipSettings, RuntimesSettings,
};
use crate::server::StateDir;
use miette::Diagnostic;
use mothproxy_fairshare::{Installation, Ledger, Shares, Tenant};
use mothproxy_store::SyncMode;
use prost_reflect::{DescriptorPool, DynamicMessage, Value};
use std::path::{Path, PathBuf};

/// The schema, compiled when the program was built.
const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/mothproxy.desc"));
/// The message that the file holds.
const MESSAGE: &str = "mothproxy.v1.Settings";

/// One fault of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The field, with what it is in, such as `streams.listen`; empty where the text cannot be read at all.
    pub field: String,
    /// What is the matter.
    pub what: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let field = if self.field.is_empty() { String::new() } else { format!("{}: ", self.field) };
        write!(f, "{}:{}: {field}{}", self.file, self.line, self.what)
    }
}

/// All faults of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

/// What the file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The SSE front, where it is on.
    pub streams: Option<SseSettings>,
    /// Where keyed jobs are noted, if they are.
    pub state: Option<StateDir>,
    /// Log lines are JSON objects.
    pub json_log: bool,
    /// What the dispatchers of a site know of each other, and do together.
    pub fleet: FleetSettings,
}

/// A file being read: faults are collected, each with its place.
struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    /// The line of a field: the first that names it after the first that names what it is in.
    fn line(&self, field: &str) -> usize {
        let (mut from, mut line) = (0, 1);
        for name in field.split('.') {
            let named = |text: &str| {
                let code = text.split('#').next().unwrap_or("");
                let mut words = code.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
                words.any(|word| word == name)
            };
            if let Some(at) = self.text.lines().skip(from).position(named) {
                (line, from) = (from + at + 1, from + at);
            }
        }
        line
    }

    fn fault(&mut self, field: &str, what: String) {
        let (file, line, field) = (self.file.to_owned(), self.line(field), field.to_owned());
        self.faults.push(Fault { file, line, field, what });
    }
}

fn part(message: &DynamicMessage, name: &str) -> Option<DynamicMessage> {
    let set = message.has_field_by_name(name);
    let value = message.get_field_by_name(name).filter(|_| set)?;
    value.as_message().cloned()
}

fn text(message: &DynamicMessage, name: &str) -> String {
    message.get_field_by_name(name).and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

fn number(message: &DynamicMessage, name: &str) -> Option<u32> {
    let set = message.has_field_by_name(name);
    message.get_field_by_name(name).filter(|_| set)?.as_u32()
}

fn real(message: &DynamicMessage, name: &str) -> Option<f64> {
    let set = message.has_field_by_name(name);
    message.get_field_by_name(name).filter(|_| set)?.as_f64()
}

fn choice(message: &DynamicMessage, name: &str) -> i32 {
    message.get_field_by_name(name).and_then(|v| v.as_enum_number()).unwrap_or(0)
}

/// The field that is being set at a place of the text, with what it is in.
fn field_at(text: &str, at: usize) -> String {
    let (mut within, mut last) = (Vec::<&str>::new(), "");
    let (bytes, mut n) = (text.as_bytes(), 0);
    let is_word = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
    while n < bytes.len() && n <= at {
        let rest = &bytes[n..];
        let until = |stops: &dyn Fn(u8) -> bool| rest.iter().position(|b| stops(*b)).unwrap_or(rest.len());
        n += match bytes[n] {
            b'#' => until(&|b| b == b'\n').max(1),
            quote @ (b'"' | b'\'') => {
                let mut end = 1;
                while end < rest.len() && rest[end] != quote && rest[end] != b'\n' {
                    end += if rest[end] == b'\\' { 2 } else { 1 };
                }
                end + 1
            }
            b'{' | b'<' => {
                within.push(last);
                last = "";
                1
            }
            b'}' | b'>' => {
                within.pop();
                last = "";
                1
            }
            b if b.is_ascii_alphabetic() => {
                let word = until(&|b| !is_word(b));
                // A word behind a colon is a value.
                let value = text[..n].trim_end().ends_with(':');
                if !value {
                    last = &text[n..n + word];
                }
                word
            }
            _ => 1,
        };
    }
    within.push(last);
    within.retain(|name| !name.is_empty());
    within.join(".")
}

/// Reads the text of such a file; `file` names it in messages.
pub fn read(text: &str, file: &str) -> Result<Settings, Faults> {
    let mut reader = Reader { file, text, faults: Vec::new() };
    let message = DescriptorPool::decode(SCHEMA).ok().and_then(|pool| pool.get_message_by_name(MESSAGE));
    crate::invariant!(message.is_some(), "the schema that was built in cannot be read");
    let Some(descriptor) = message else { return Ok(Settings::default()) };
    let message = match DynamicMessage::parse_text_format(descriptor, text) {
        Ok(message) => message,
        Err(error) => {
            let at = error.labels().and_then(|mut labels| labels.next()).map_or(0, |label| label.offset());
            let before = text.get(..at).unwrap_or(text);
            let (line, field) = (before.matches('\n').count() + 1, field_at(text, at));
            let fault = Fault { file: file.to_owned(), line, field, what: error.to_string() };
            return Err(Faults(vec![fault]));
        }
    };
    let settings = Settings {
        streams: part(&message, "streams").and_then(|m| streams(&mut reader, &m)),
        state: part(&message, "state").and_then(|m| state(&mut reader, &m)),
        json_log: part(&message, "log").is_some_and(|m| choice(&m, "form") == 1),
        fleet: part(&message, "fleet").map(|m| fleet(&mut reader, &m)).unwrap_or_default(),
    };
    if reader.faults.is_empty() { Ok(settings) } else { Err(Faults(reader.faults)) }
}

/// Reads such a file. One that is not there sets nothing, unless it was `named` by the user.
pub fn load(file: &Path, named: bool) -> Result<Settings, Faults> {
    if !named && !file.exists() {
        return Ok(Settings::default());
    }
    let shown = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => read(&text, &shown),
        Err(error) => {
            let what = format!("cannot read it: {error}");
            Err(Faults(vec![Fault { file: shown, line: 1, field: String::new(), what }]))
        }
    }
}

fn streams(reader: &mut Reader<'_>, message: &DynamicMessage) -> Option<SseSettings> {
    let listen = text(message, "listen");
    let at = listen.parse().ok();
    if at.is_none() && !listen.is_empty() {
        reader.fault("streams.listen", format!("{listen:?} is not an address with a port"));
    }
    let heartbeat = number(message, "heartbeat_ms").unwrap_or(5_000);
    if heartbeat == 0 {
        reader.fault("streams.heartbeat_ms", "is not above 0".to_owned());
    }
    let per_tenant = number(message, "streams_per_tenant").unwrap_or(1_024);
    if per_tenant == 0 {
        reader.fault("streams.streams_per_tenant", "is not above 0".to_owned());
    }
    let listed = message.get_field_by_name("origins");
    let listed = listed.as_ref().and_then(|v| v.as_list()).unwrap_or_default();
    let origins: Vec<String> = listed.iter().filter_map(Value::as_str).map(str::to_owned).collect();
    for origin in origins.iter().filter(|o| !crate::config::is_origin(o)) {
        reader.fault("streams.origins", format!("{origin:?} is no origin such as https://pay.example"));
    }
    Some(SseSettings {
        listen: at?,
        heartbeat: u64::from(heartbeat) * 1000,
        origins,
        streams_per_tenant: per_tenant as usize,
    })
}

fn state(reader: &mut Reader<'_>, message: &DynamicMessage) -> Option<StateDir> {
    let directory = text(message, "directory");
    let interval = number(message, "interval_ms");
    let sync = match (choice(message, "sync"), interval) {
        (1, Some(ms)) if ms > 0 => SyncMode::Interval(ms),
        (1, _) => {
            reader.fault("state.sync", "INTERVAL needs interval_ms above 0".to_owned());
            SyncMode::Always
        }
        (_, Some(_)) => {
            reader.fault("state.interval_ms", "it counts with sync: INTERVAL only".to_owned());
            SyncMode::Always
        }
        (2, None) => SyncMode::Never,
        _ => SyncMode::Always,
    };
    if directory.is_empty() && message.fields().next().is_some() {
        reader.fault("state", "it has no directory".to_owned());
    }
    (!directory.is_empty()).then(|| StateDir { dir: PathBuf::from(directory), sync })
}

fn fleet(reader: &mut Reader<'_>, message: &DynamicMessage) -> FleetSettings {
    FleetSettings {
        membership: part(message, "membership").map(|m| membership(reader, &m)),
        cold_start: part(message, "cold_start").map(|m| cold_start(reader, &m)),
        runtimes: part(message, "runtimes").map(|m| runtimes(reader, &m)),
        fair_share: part(message, "fair_share").map(|m| fair_share(reader, &m)),
    }
}

fn cold_start(reader: &mut Reader<'_>, message: &DynamicMessage) -> ColdStartSettings {
    let default = ColdStartSettings::default();
    let call_time = number(message, "call_ms").map_or(default.call_time, |ms| u64::from(ms) * 1_000);
    if !(1_000..=10_000_000).contains(&call_time) {
        reader.fault("fleet.cold_start.call_ms", "is not 1 to 10000".to_owned());
    }
    ColdStartSettings { call_time }
}

fn listed(message: &DynamicMessage, name: &str) -> Vec<DynamicMessage> {
    let list = message.get_field_by_name(name);
    let list = list.as_ref().and_then(|v| v.as_list()).unwrap_or_default();
    list.iter().filter_map(|v| v.as_message().cloned()).collect()
}

fn fair_share(reader: &mut Reader<'_>, message: &DynamicMessage) -> FairShareSettings {
    let weight = |m: &DynamicMessage| number(m, "weight").unwrap_or(0);
    let tenant = |m: &DynamicMessage| Tenant {
        name: text(m, "name"),
        weight: weight(m),
        classes: m
            .get_field_by_name("class_weights")
            .as_ref()
            .and_then(|v| v.as_list())
            .unwrap_or_default()
            .iter()
            .filter_map(Value::as_u32)
            .collect(),
    };
    let installation = |m: &DynamicMessage| Installation {
        name: text(m, "name"),
        weight: weight(m),
        tenants: listed(m, "tenants").iter().map(tenant).collect(),
    };
    let shares =
        Shares { installations: listed(message, "installations").iter().map(installation).collect() };
    let points = real(message, "points_per_s").unwrap_or(0.0);
    if !(0.001..=1e6).contains(&points) {
        reader.fault("fleet.fair_share.points_per_s", "is not 0.001 to 1000000".to_owned());
    }
    let over_share = real(message, "over_share").unwrap_or(0.1);
    if !(0.0..=1.0).contains(&over_share) {
        reader.fault("fleet.fair_share.over_share", "is not 0 to 1".to_owned());
    }
    let set = FairShareSettings {
        shares,
        millipoints_per_s: (points * 1_000.0).clamp(1.0, 1e9) as u64,
        over_quota_weight: over_share,
    };
    let names = set.shares.installations.iter().flat_map(|i| i.tenants.iter().map(|t| &t.name));
    if names.clone().any(String::is_empty) {
        reader.fault("fleet.fair_share.installations.tenants", "one has no name".to_owned());
    }
    if let Err(error) = Ledger::new(set.config(0, 1, 0, 0), &set.shares, 0) {
        reader.fault("fleet.fair_share", error.to_string());
    }
    set
}

fn runtimes(reader: &mut Reader<'_>, message: &DynamicMessage) -> RuntimesSettings {
    let long = real(message, "long").unwrap_or(RuntimesSettings::default().long_quantile);
    if !(0.5..=0.99).contains(&long) {
        reader.fault("fleet.runtimes.long", "is not 0.5 to 0.99".to_owned());
    }
    RuntimesSettings { long_quantile: long }
}

fn membership(reader: &mut Reader<'_>, message: &DynamicMessage) -> MembershipSettings {
    let mut set = MembershipSettings::default();
    let mut whole = |name: &str, least: u32, most: u32| {
        let value = number(message, name)?;
        if !(least..=most).contains(&value) {
            reader.fault(&format!("fleet.membership.{name}"), format!("is not {least} to {most}"));
        }
        Some(value.clamp(least, most))
    };
    if let Some(ms) = whole("probe_interval_ms", 20, 60_000) {
        set.probe_interval = u64::from(ms) * 1000;
        set.probe_timeout = set.probe_interval * 3 / 10;
    }
    if let Some(ms) = whole("probe_timeout_ms", 5, 59_999) {
        set.probe_timeout = u64::from(ms) * 1000;
    }
    set.dead_assignment_ttl = whole("keep_part_s", 1, 86_400).map(|seconds| u64::from(seconds) * 1_000_000);
    set.bytes_per_s = whole("bytes_per_s", 1_024, 100_000_000).unwrap_or(set.bytes_per_s);
    if let Some(seconds) = whole("forget_after_s", 1, 86_400) {
        set.dead_facts_ttl = u64::from(seconds) * 1_000_000;
    }
    if set.probe_timeout >= set.probe_interval {
        let what = "is not below probe_interval_ms (500 where that is absent)".to_owned();
        reader.fault("fleet.membership.probe_timeout_ms", what);
    }
    set.suspicion_multiplier = real(message, "suspicion_mult").unwrap_or(set.suspicion_multiplier);
    if !(0.1..=100.0).contains(&set.suspicion_multiplier) {
        reader.fault("fleet.membership.suspicion_mult", "is not 0.1 to 100".to_owned());
    }
    set
}
