//! The admin address, for the staff and the platform: whether this process takes clients, its metrics, and drain. One call a
//! connection; a 2xx response means yes, any other no.

mod metrics;
mod pages;

pub use metrics::{ClassMetrics, IdempotencyMetrics, MemberRow, MembersPage, MetricsSnapshot, StreamMetrics};
pub use pages::{counters_page, members_page, ok_page, unavailable_page};

use super::platform::Reject;
use crate::http::RequestHead;

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether this process takes clients.
    Ready,
    /// The metrics.
    Counters,
    /// The other dispatchers, and the state in which this one sees them.
    Members,
    /// Drain: clients are asked to leave, and the process keeps running.
    OutOfService,
    /// End a drain.
    InService,
}

/// Finds out what a call asks for.
///
/// # Errors
/// [`Reject::BadRequest`], [`Reject::NoSuchPath`] or [`Reject::WrongMethod`].
pub fn route(buffer: &[u8], head: &RequestHead) -> Result<AdminCall, Reject> {
    let target = std::str::from_utf8(&buffer[head.target.clone()]).map_err(|_| Reject::BadRequest)?;
    let (call, method) = match target.split(['?', '#']).next().unwrap_or("") {
        "/control/ready" => (AdminCall::Ready, "GET"),
        "/control/counters" => (AdminCall::Counters, "GET"),
        "/control/members" => (AdminCall::Members, "GET"),
        "/control/out-of-service" => (AdminCall::OutOfService, "PUT"),
        "/control/in-service" => (AdminCall::InService, "PUT"),
        _ => return Err(Reject::NoSuchPath),
    };
    if &buffer[head.method.clone()] == method.as_bytes() {
        Ok(call)
    } else {
        Err(Reject::WrongMethod(method))
    }
}
