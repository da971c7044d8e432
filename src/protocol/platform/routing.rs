//! Routes requests of the platform's protocol, and validates their fields.

use super::{RawRequest, Reject};
use crate::config::NameTable;
use crate::core::idempotency::IdempotencyKey;
use crate::core::{DownstreamId, NewRequest};
use crate::http::Framing;
use crate::http::load::parse_pairs;
use crate::policy::interface::{Class, ClassId, Idempotency, MICROS_PER_MS, Micros, SubjectId, TenantId};
use crate::policy::settings_map::{hash_name, to_micros};
use crate::protocol::names;

/// The maximum length of a request id, in bytes.
const MAX_REQUEST_ID_LENGTH: usize = 128;
/// The names of the expected work in milliseconds among the pairs of [`names::FACTS`].
const WORK_HINT_FACTS: [&str; 2] = ["hint", "HintMs"];
/// The names of the number of slots that a request occupies, among the pairs of [`names::FACTS`].
const SLOTS_FACTS: [&str; 2] = ["slots", "Needs"];
/// The names of the memory that a request needs, among the pairs of [`names::FACTS`].
const MEMORY_FACTS: [&str; 2] = ["memory", "MemNeeded"];

/// The purpose of a request.
#[derive(Debug)]
pub enum Route {
    /// The platform asks whether this dispatcher is ready.
    Ready,
    /// A worker reports the status of a job.
    StatusCallback,
    /// A client submits a job. The caller fills in `downstream` and `idempotency_key`.
    Submit(NewRequest),
}

/// Finds the purpose of a request. `serves_platform` is true if the listener serves readiness checks and status
/// callbacks.
///
/// # Errors
/// The reason why the request is refused.
pub fn route(
    name_table: &NameTable,
    classes: &[Class],
    request: &RawRequest,
    serves_platform: bool,
) -> Result<Route, Reject> {
    let target = request.target().map_err(|_| Reject::BadRequest)?;
    let path = target.split(['?', '#']).next().unwrap_or("");
    if serves_platform {
        match path {
            names::READY_PATH => return route_ready(request),
            names::STATUS_CALLBACK_PATH => return route_status_callback(request),
            _ => {}
        }
    }
    let class_name = first_segment(path);
    let class = find_class(name_table, classes, request, class_name)?;
    require_post(request)?;
    require_length(request)?;
    if request.field(names::CLASS) != Some(class_name) {
        return Err(Reject::BadRequest);
    }
    parse_submission(name_table, class, &classes[usize::from(class.0)], request).map(Route::Submit)
}

fn route_ready(request: &RawRequest) -> Result<Route, Reject> {
    match request.method() {
        b"GET" => Ok(Route::Ready),
        _ => Err(Reject::MethodNotAllowed("GET")),
    }
}

fn route_status_callback(request: &RawRequest) -> Result<Route, Reject> {
    require_post(request)?;
    require_length(request)?;
    Ok(Route::StatusCallback)
}

fn require_post(request: &RawRequest) -> Result<(), Reject> {
    if request.method() == b"POST" { Ok(()) } else { Err(Reject::MethodNotAllowed("POST")) }
}

fn require_length(request: &RawRequest) -> Result<(), Reject> {
    if request.head.framing == Framing::Absent { Err(Reject::LengthRequired) } else { Ok(()) }
}

fn first_segment(path: &str) -> &str {
    path.strip_prefix('/').and_then(|rest| rest.split('/').next()).unwrap_or("")
}

/// The class that the first segment of the path names.
///
/// # Errors
/// [`Reject::BadRequest`] or [`Reject::NotFound`] if there is no such class.
fn find_class(
    name_table: &NameTable,
    classes: &[Class],
    request: &RawRequest,
    class_name: &str,
) -> Result<ClassId, Reject> {
    if let Some(class) = name_table.class_id(class_name).filter(|class| usize::from(class.0) < classes.len())
    {
        return Ok(class);
    }
    // If path and header name the same unknown class, the request is malformed. Any other path is unknown.
    let is_unknown_class = !class_name.is_empty() && request.field(names::CLASS) == Some(class_name);
    Err(if is_unknown_class { Reject::BadRequest } else { Reject::NotFound })
}

/// Parses the fields of a submitted job.
fn parse_submission(
    name_table: &NameTable,
    class_id: ClassId,
    class: &Class,
    request: &RawRequest,
) -> Result<NewRequest, Reject> {
    let request_id = parse_request_id(request)?;
    if requires_key(class) && request.field(names::IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
        return Err(Reject::BadRequest);
    }
    let facts: Vec<(&str, f64)> =
        request.field(names::FACTS).map_or(Vec::new(), |text| parse_pairs(text).collect());
    let hint_ms = parse_work_hint(request)?.or(find_fact(&facts, WORK_HINT_FACTS));
    Ok(NewRequest {
        name: request_id.to_owned(),
        downstream: DownstreamId(0),
        class: class_id,
        tenant: parse_tenant(name_table, request)?,
        subject: object_cookie(request).map(|object| SubjectId(hash_name(object) as u32)),
        time_budget: parse_time_left(request)?.map_or(class.deadline, |left| left.min(class.deadline)),
        hint: hint_ms.map(to_micros).filter(|hint| *hint > 0),
        slots: find_fact(&facts, SLOTS_FACTS).unwrap_or(1.0),
        memory: find_fact(&facts, MEMORY_FACTS),
        is_retry: request.field(names::REPEAT) == Some("1"),
        idempotency_key: None,
    })
}

/// The value of the first pair that has one of these names.
fn find_fact(facts: &[(&str, f64)], names: [&str; 2]) -> Option<f64> {
    facts.iter().find(|(name, _)| names.contains(name)).map(|(_, value)| *value)
}

fn parse_request_id(request: &RawRequest) -> Result<&str, Reject> {
    // The id becomes a path segment of the cancel request (`DELETE /jobs/ID`).
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let id = request.field(names::REQUEST_ID).ok_or(Reject::BadRequest)?;
    if id.is_empty() || id.len() > MAX_REQUEST_ID_LENGTH || !id.bytes().all(is_unreserved) {
        return Err(Reject::BadRequest);
    }
    Ok(id)
}

/// The tenant of a request; `None` if the settings have no tenants.
fn parse_tenant(name_table: &NameTable, request: &RawRequest) -> Result<Option<TenantId>, Reject> {
    if !name_table.has_tenants() {
        return Ok(None);
    }
    let name = request.field(names::TENANT).ok_or(Reject::BadRequest)?;
    name_table.tenant_id(name).map(Some).ok_or(Reject::BadRequest)
}

/// How long the client will wait, in microseconds; `None` if the request does not state it. The header holds whole milliseconds,
/// up to [`u32::MAX`] (49 days, longer than any client waits).
fn parse_time_left(request: &RawRequest) -> Result<Option<Micros>, Reject> {
    let Some(digits) = request.field(names::TIME_LEFT) else { return Ok(None) };
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Reject::BadRequest);
    }
    let ms = digits.parse::<u32>().map_err(|_| Reject::BadRequest)?;
    Ok(Some(Micros::from(ms) * MICROS_PER_MS))
}

/// The client's estimate of the work, in milliseconds; `None` if the request does not state it.
fn parse_work_hint(request: &RawRequest) -> Result<Option<f64>, Reject> {
    let Some(text) = request.field(names::WORK_HINT) else { return Ok(None) };
    match text.parse::<f64>() {
        Ok(ms) if ms.is_finite() && ms >= 0.0 => Ok(Some(ms)),
        _ => Err(Reject::BadRequest),
    }
}

/// The object that the request concerns, from its cookie.
fn object_cookie(request: &RawRequest) -> Option<&str> {
    let mut cookies = request.field("cookie")?.split(';').filter_map(|pair| pair.trim().split_once('='));
    cookies.find(|(name, _)| *name == names::OBJECT_COOKIE).map(|(_, value)| value)
}

fn requires_key(class: &Class) -> bool {
    matches!(class.idempotency, Idempotency::IdempotentWithKey { .. })
}

/// The idempotency key of a request under its tenant, with the fingerprint of its body; `None` if the class requires no key.
pub fn idempotency_key(classes: &[Class], request: &RawRequest, class: ClassId) -> Option<IdempotencyKey> {
    let class = classes.get(usize::from(class.0))?;
    let key = request.field(names::IDEMPOTENCY_KEY).filter(|_| requires_key(class))?;
    let tenant = request.field(names::TENANT).unwrap_or("");
    let body = mothproxy_store::fingerprint(request.body.bytes());
    Some(IdempotencyKey { key: format!("{tenant}\0{key}"), body_fingerprint: body })
}
