//! The protocol of the admin address, for operators and the platform: readiness, metrics and drain. Each connection carries one
//! call. A 2xx status means yes, any other status means no.

mod metrics;
mod pages;

pub use metrics::{ClassMetrics, IdempotencyMetrics, MemberRow, MembersPage, MetricsSnapshot, StreamMetrics};
pub use pages::{counters_page, members_page, ok_page, unavailable_page};

use super::platform::Reject;
use crate::http::RequestHead;

/// A call at the admin address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Asks whether this process serves clients. It does so during a drain too, but not after a handover to a successor.
    Ready,
    /// Asks for the metrics.
    Counters,
    /// Asks for the members and their states, as this process sees them.
    Members,
    /// Starts a drain: client connections are closed while the process keeps running.
    OutOfService,
    /// Ends a drain.
    InService,
}

/// Finds the call that a request makes, by its method and path.
///
/// # Errors
/// [`Reject::BadRequest`] if the target is not UTF-8, [`Reject::NotFound`] or [`Reject::MethodNotAllowed`].
pub fn route(buffer: &[u8], head: &RequestHead) -> Result<AdminCall, Reject> {
    let target = std::str::from_utf8(&buffer[head.target.clone()]).map_err(|_| Reject::BadRequest)?;
    let (call, method) = match target.split(['?', '#']).next().unwrap_or("") {
        "/control/ready" => (AdminCall::Ready, "GET"),
        "/control/counters" => (AdminCall::Counters, "GET"),
        "/control/members" => (AdminCall::Members, "GET"),
        "/control/out-of-service" => (AdminCall::OutOfService, "PUT"),
        "/control/in-service" => (AdminCall::InService, "PUT"),
        _ => return Err(Reject::NotFound),
    };
    if &buffer[head.method.clone()] == method.as_bytes() {
        Ok(call)
    } else {
        Err(Reject::MethodNotAllowed(method))
    }
}
