//! Status callbacks: a worker's reports on the status of a job, as JSON.

use super::load_reports::load_report_from_json;
use crate::config::NameTable;
use crate::core::JobStatus;
use crate::policy::interface::LoadReport;
use serde::Deserialize;

#[derive(Deserialize)]
struct StatusCallbackJson {
    id: Option<String>,
    from: Option<String>,
    state: Option<String>,
    share: Option<f64>,
    result: Option<serde_json::Value>,
    load: Option<serde_json::Value>,
}

/// A status callback.
#[derive(Debug, PartialEq)]
pub struct StatusCallback {
    /// The id of the request; empty if the callback has none.
    pub id: String,
    /// The name of the worker; empty if the callback has none.
    pub from: String,
    /// The status of the job.
    pub status: JobStatus,
    /// The worker's load report, if the callback has one.
    pub report: Option<LoadReport>,
}

/// Parses a status callback, or the data of an event of a worker's stream; `state` is then the name of the event. Returns `None`
/// if the JSON is malformed, the state is missing or unknown, or a done job has no result.
pub fn parse_status_callback(
    name_table: &NameTable,
    json: &[u8],
    state: Option<&str>,
) -> Option<StatusCallback> {
    let object: StatusCallbackJson = serde_json::from_slice(json).ok()?;
    let status = match state.or(object.state.as_deref())? {
        "started" => JobStatus::Started,
        "running" | "progress" => JobStatus::Progress(object.share.unwrap_or(0.0).clamp(0.0, 1.0)),
        "done" => JobStatus::Done(result_bytes(object.result?)), // the result is the body of the 200 response
        "failed" => JobStatus::Failed,
        "returned" => JobStatus::Returned,
        "lost" => JobStatus::Lost,
        _ => return None,
    };
    let report = object.load.as_ref().and_then(|load| load_report_from_json(name_table, load));
    Some(StatusCallback {
        id: object.id.unwrap_or_default(),
        from: object.from.unwrap_or_default(),
        status,
        report,
    })
}

/// The bytes of a result: the text of a string, or the JSON encoding of any other value.
fn result_bytes(result: serde_json::Value) -> Vec<u8> {
    match result {
        serde_json::Value::String(text) => text.into_bytes(),
        value => value.to_string().into_bytes(),
    }
}
