//! What a request on the platform's protocol is for, and whether its fields are in order.

use super::{RawRequest, Reject};
use crate::config::SiteNames;
use crate::core::idempotency::IdempotencyKey;
use crate::core::{DownstreamId, NewRequest};
use crate::http::Framing;
use crate::http::load::parse_pairs;
use crate::policy::interface::{Class, ClassId, Idempotency, KeyId, MICROS_PER_MS, Micros, TenantId};
use crate::policy::settings_map::{tag, to_micros};
use crate::protocol::names;

/// The longest request id, in bytes.
const MAX_REQUEST_ID_LENGTH: usize = 128;
/// Names of the expected work in milliseconds among the pairs of [`names::FACTS`].
const WORK_HINT_FACTS: [&str; 2] = ["hint", "HintMs"];
/// Names of the slots that a request takes, likewise.
const SLOTS_FACTS: [&str; 2] = ["slots", "Needs"];
/// Names of the memory that a request takes, likewise.
const MEMORY_FACTS: [&str; 2] = ["memory", "MemNeeded"];

/// What a request is for.
#[derive(Debug)]
pub enum Route {
    /// The platform asks whether this dispatcher is ready.
    Ready,
    /// A worker reports what becomes of a job.
    StatusCallback,
    /// A client submits a job. The caller fills in `downstream` and `token`.
    Submit(NewRequest),
}

/// Finds out what a request is for. `serves_platform` says whether this listener takes `/up` and status callbacks.
///
/// # Errors
/// The reason why the request is not taken.
pub fn route(
    site: &SiteNames,
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
    let class = find_class(site, classes, request, class_name)?;
    require_post(request)?;
    require_length(request)?;
    if request.field(names::CLASS) != Some(class_name) {
        return Err(Reject::BadRequest);
    }
    parse_submission(site, class, &classes[usize::from(class.0)], request).map(Route::Submit)
}

fn route_ready(request: &RawRequest) -> Result<Route, Reject> {
    match request.method() {
        b"GET" => Ok(Route::Ready),
        _ => Err(Reject::WrongMethod("GET")),
    }
}

fn route_status_callback(request: &RawRequest) -> Result<Route, Reject> {
    require_post(request)?;
    require_length(request)?;
    Ok(Route::StatusCallback)
}

fn require_post(request: &RawRequest) -> Result<(), Reject> {
    if request.method() == b"POST" { Ok(()) } else { Err(Reject::WrongMethod("POST")) }
}

fn require_length(request: &RawRequest) -> Result<(), Reject> {
    if request.head.framing == Framing::Absent { Err(Reject::NoLength) } else { Ok(()) }
}

fn first_segment(path: &str) -> &str {
    path.strip_prefix('/').and_then(|rest| rest.split('/').next()).unwrap_or("")
}

/// The class that the first segment of the path names.
fn find_class(
    site: &SiteNames,
    classes: &[Class],
    request: &RawRequest,
    class_name: &str,
) -> Result<ClassId, Reject> {
    if let Some(class) = site.class_id(class_name).filter(|class| usize::from(class.0) < classes.len()) {
        return Ok(class);
    }
    // A class that is unknown in path and header alike is a bad request; any other path is simply not served.
    let is_unknown_class = !class_name.is_empty() && request.field(names::CLASS) == Some(class_name);
    Err(if is_unknown_class { Reject::BadRequest } else { Reject::NoSuchPath })
}

/// Reads the fields of a submitted job.
fn parse_submission(
    site: &SiteNames,
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
    let fact =
        |accepted: [&str; 2]| facts.iter().find(|(name, _)| accepted.contains(name)).map(|(_, value)| *value);
    let hint_ms = parse_work_hint(request)?.or(fact(WORK_HINT_FACTS));
    Ok(NewRequest {
        name: request_id.to_owned(),
        downstream: DownstreamId(0),
        class: class_id,
        tenant: parse_tenant(site, request)?,
        key: object_cookie(request).map(|object| KeyId(tag(object) as u32)),
        time_budget: parse_time_left(request)?.map_or(class.deadline, |left| left.min(class.deadline)),
        hint: hint_ms.map(to_micros).filter(|hint| *hint > 0),
        slots: fact(SLOTS_FACTS).unwrap_or(1.0),
        memory: fact(MEMORY_FACTS),
        repeat: request.field(names::REPEAT) == Some("1"),
        idempotency_key: None,
    })
}

fn parse_request_id(request: &RawRequest) -> Result<&str, Reject> {
    // The id becomes a part of a path (`DELETE /jobs/ID`).
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let id = request.field(names::REQUEST_ID).ok_or(Reject::BadRequest)?;
    if id.is_empty() || id.len() > MAX_REQUEST_ID_LENGTH || !id.bytes().all(is_unreserved) {
        return Err(Reject::BadRequest);
    }
    Ok(id)
}

/// The tenant of a request; `None` where the site has no tenants.
fn parse_tenant(site: &SiteNames, request: &RawRequest) -> Result<Option<TenantId>, Reject> {
    if !site.has_tenants() {
        return Ok(None);
    }
    let name = request.field(names::TENANT).ok_or(Reject::BadRequest)?;
    site.tenant_id(name).map(Some).ok_or(Reject::BadRequest)
}

/// The time that the client will wait: whole milliseconds, and no more than the 49 days that no client waits for.
fn parse_time_left(request: &RawRequest) -> Result<Option<Micros>, Reject> {
    let Some(digits) = request.field(names::TIME_LEFT) else { return Ok(None) };
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Reject::BadRequest);
    }
    let ms = digits.parse::<u32>().map_err(|_| Reject::BadRequest)?;
    Ok(Some(Micros::from(ms) * MICROS_PER_MS))
}

/// The expected work, in milliseconds.
fn parse_work_hint(request: &RawRequest) -> Result<Option<f64>, Reject> {
    let Some(text) = request.field(names::WORK_HINT) else { return Ok(None) };
    match text.parse::<f64>() {
        Ok(ms) if ms.is_finite() && ms >= 0.0 => Ok(Some(ms)),
        _ => Err(Reject::BadRequest),
    }
}

/// The object that the request's cookie names.
fn object_cookie(request: &RawRequest) -> Option<&str> {
    let mut cookies = request.field("cookie")?.split(';').filter_map(|pair| pair.trim().split_once('='));
    cookies.find(|(name, _)| *name == names::OBJECT_COOKIE).map(|(_, value)| value)
}

fn requires_key(class: &Class) -> bool {
    matches!(class.idempotency, Idempotency::IdempotentWithKey { .. })
}

/// The idempotency key of a request under its tenant, with the fingerprint of its body; `None` where the class requires none.
pub fn idempotency_key(classes: &[Class], request: &RawRequest, class: ClassId) -> Option<IdempotencyKey> {
    let class = classes.get(usize::from(class.0))?;
    let key = request.field(names::IDEMPOTENCY_KEY).filter(|_| requires_key(class))?;
    let tenant = request.field(names::TENANT).unwrap_or("");
    let body = mothproxy_store::fingerprint(request.body.bytes());
    Some(IdempotencyKey { key: format!("{tenant}\0{key}"), body_fingerprint: body })
}
