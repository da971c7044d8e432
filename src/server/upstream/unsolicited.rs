//! Responses that no exchange awaits. Some of them are logged, with their count: a worker, or a proxy before it, that responds
//! twice shows here.

use super::connection::UpstreamConnection;
use crate::http;
use crate::policy::interface::Micros;
use crate::server::connection::Connection;
use crate::server::context::Context;

/// The minimum time between two log lines about unsolicited responses, in microseconds.
const LOG_INTERVAL: Micros = 1_000_000;
const MICROS_PER_MILLISECOND: f64 = 1e3;

/// The log of unsolicited responses.
#[derive(Default)]
pub(super) struct UnsolicitedLog {
    /// The number of unsolicited responses since the start.
    count: u64,
    /// The earliest time of the next log line.
    next_line: Micros,
}

impl UnsolicitedLog {
    /// Records that the read buffer of a connection begins with bytes that are not the response to its exchange. Logs it unless
    /// a line was logged less than [`LOG_INTERVAL`] ago.
    pub fn record(&mut self, context: &Context<'_>, connection: &Connection, upstream: &UpstreamConnection) {
        self.count += 1;
        let now = context.now();
        if now < self.next_line {
            return;
        }
        self.next_line = now + LOG_INTERVAL;
        let endpoint = context.core.endpoints().get(upstream.worker);
        let worker = endpoint.map_or("unknown", |endpoint| endpoint.instance_id());
        let status = http::read_response(&connection.read_buffer).ok().flatten().map(|head| head.status);
        let last = upstream.attribution.last_response();
        let last_status = last.and_then(|last| last.status);
        let after_ms = last.map(|last| now.saturating_sub(last.read_at) as f64 / MICROS_PER_MILLISECOND);
        let count = self.count;
        tracing::warn!(
            worker,
            status,
            last_status,
            after_ms,
            count,
            "response that no request awaits, connection closed"
        );
    }
}
