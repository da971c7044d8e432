//! Load reports of workers: in a response's header, in the body of a probe's response, or in a status callback.

use crate::config::NameTable;
use crate::http::fields::Fields;
use crate::http::load::parse_pairs;
use crate::policy::interface::LoadReport;
use crate::protocol::names;

/// The name in the settings of a load value that a worker sends under a common name. Any other name is returned unchanged.
fn settings_name(name: &str) -> &str {
    match name {
        "inflight" => "active",
        "queue" => "waiting",
        "util" => "cpu",
        "latency_ms" => "avg_ms",
        "qps" => "rps",
        "eps" => "err_rps",
        other => other,
    }
}

/// The load report in these name=value pairs; `None` if the settings name none of the values.
pub fn load_report_from_pairs<'a>(
    name_table: &NameTable,
    pairs: impl Iterator<Item = (&'a str, f64)>,
) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    let mut has_value = false;
    for (name, number) in pairs {
        if let Some(value) = name_table.report_value(settings_name(name), name) {
            value.store(&mut report, number);
            has_value = true;
        }
    }
    has_value.then_some(report)
}

/// The load report in the head of a worker's response.
pub fn load_report_from_head(name_table: &NameTable, buffer: &[u8], fields: &Fields) -> Option<LoadReport> {
    load_report_from_pairs(name_table, parse_pairs(fields.text(buffer, names::LOAD_REPORT)?))
}

/// The load report in a JSON object.
pub fn load_report_from_json(name_table: &NameTable, load: &serde_json::Value) -> Option<LoadReport> {
    let values = load.as_object()?.iter();
    let pairs = values.filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?)));
    load_report_from_pairs(name_table, pairs)
}

/// The load report in the body of a probe's response: a JSON object, at the top level or under `load`, or name=value pairs.
pub fn load_report_from_body(name_table: &NameTable, body: &[u8]) -> Option<LoadReport> {
    match serde_json::from_slice::<serde_json::Value>(body) {
        Ok(value) => load_report_from_json(name_table, value.get("load").unwrap_or(&value)),
        Err(_) => load_report_from_pairs(name_table, parse_pairs(std::str::from_utf8(body).ok()?)),
    }
}
