//! Responses that no exchange awaits. They are counted, and some of them are logged: a worker or a proxy before it that
//! responds twice shows here.

use super::UpstreamPool;
use super::connection::UpstreamConnection;
use crate::http;
use crate::policy::interface::Micros;
use crate::server::connection::Connection;
use crate::server::context::Context;

/// The minimum time between two log lines about unsolicited responses, in microseconds.
const LOG_INTERVAL: Micros = 1_000_000;
const MICROS_PER_MILLISECOND: f64 = 1e3;

impl UpstreamPool {
    /// Records that the read buffer of a connection begins with bytes that are not the response to its exchange. Logs it unless
    /// a line was logged less than [`LOG_INTERVAL`] ago.
    pub(super) fn record_unsolicited(
        &mut self,
        context: &mut Context<'_>,
        connection: &Connection,
        upstream: &UpstreamConnection,
    ) {
        context.metrics.unsolicited_responses += 1;
        let now = context.now();
        if now < self.next_unsolicited_log {
            return;
        }
        self.next_unsolicited_log = now + LOG_INTERVAL;
        let endpoint = context.core.endpoints().get(upstream.worker);
        let worker = endpoint.map_or("unknown", |endpoint| endpoint.instance_id());
        let status = http::read_response(&connection.read_buffer).ok().flatten().map(|head| head.status);
        let last = upstream.last_response;
        let last_status = last.map(|last| last.status);
        let after_ms = last.map(|last| now.saturating_sub(last.read_at) as f64 / MICROS_PER_MILLISECOND);
        tracing::warn!(
            worker,
            status,
            last_status,
            after_ms,
            "response that no request awaits, connection closed"
        );
    }
}
