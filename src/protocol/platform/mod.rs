//! The platform's protocol. A client submits a job by one `POST` and receives one final response. Workers send load reports and
//! status callbacks. Discovery serves the endpoint list.

mod callbacks;
mod forwarding;
mod load_reports;
mod responses;
mod routing;

pub use super::raw_request::RawRequest;
pub use super::reject::Reject;
pub use callbacks::{StatusCallback, parse_status_callback};
pub use forwarding::{cancel, discovery_call, forwarded_request, load_probe};
pub use load_reports::{
    load_report_from_body, load_report_from_head, load_report_from_json, load_report_from_pairs,
};
pub use responses::{callback_accepted, final_response, ready, reject, seconds};
pub use routing::{Route, idempotency_key, route};
