//! Reading the responses of workers to attempts, cancels and load probes.

use super::PendingProbe;
use super::UpstreamPool;
use super::connection::{
    CancelRequest, Exchange, ResponseBody, StatusStream, UpstreamConnection, UpstreamState,
};
use super::copy_window;
use crate::core::{AttemptId, AttemptOutcome};
use crate::http::{self, Body, EventStream, Framing, MAX_BODY, MAX_HEAD, StreamEvent};
use crate::policy::interface::Outcome;
use crate::protocol::{names, platform};
use crate::server::connection::{Connection, ReadEnd};
use crate::server::context::Context;
use crate::server::pending_requests::PendingRequests;
use crate::server::tokens::Token;
use rustix::event::epoll::EventFlags;

/// Maximum number of bytes buffered at a time from a worker's event stream.
const MAX_STREAM_READ: usize = 64 * 1024;
/// The flags that indicate that there are bytes to read, or that the worker has ended the connection.
const READABLE: EventFlags =
    EventFlags::IN.union(EventFlags::RDHUP).union(EventFlags::HUP).union(EventFlags::ERR);

/// The result of reading a part of a response.
enum StepResult {
    /// There may be more to process in the read buffer.
    Continue,
    /// More must be read first.
    Wait,
    /// The worker violates the protocol, or the connection cannot be used any more.
    Unusable,
}

/// Whether a response may belong to an exchange. The only successes of an attempt are 202 and an event stream. Any other
/// success is a duplicate of the response to an earlier load probe or cancel.
fn is_response_to(exchange: Exchange, head: &http::ResponseHead, connection: &Connection) -> bool {
    match (exchange, head.status) {
        (Exchange::Attempt(_), 200) => {
            let content_type = head.fields.text(&connection.read_buffer, "content-type").unwrap_or("");
            content_type.trim_start().to_ascii_lowercase().starts_with("text/event-stream")
        }
        (Exchange::Attempt(_), status) => status == 202 || status >= 300,
        _ => true,
    }
}

impl UpstreamPool {
    /// Handles an established connection that is readable or writable, or that its worker has ended. Returns the cancel to
    /// send, if any.
    pub(super) fn on_ready(
        &mut self,
        context: &mut Context<'_>,
        pending: &mut PendingRequests,
        token: Token,
        mut connection: Connection,
        mut upstream: UpstreamConnection,
        flags: EventFlags,
    ) -> Option<CancelRequest> {
        if !self.flush(context, pending, token, &mut connection, &mut upstream) {
            self.on_closed(context, pending, token, connection, upstream);
            return None;
        }
        if !flags.intersects(READABLE) {
            self.finish_event(context, pending, token, connection, upstream);
            return None;
        }
        loop {
            let limit = match upstream.state {
                UpstreamState::Streaming(_) => MAX_STREAM_READ,
                _ => MAX_HEAD + MAX_BODY,
            };
            let end = connection.fill(limit);
            let length_before = connection.read_buffer.len();
            if !self.read(context, token, &mut connection, &mut upstream) {
                return self.on_protocol_violation(context, pending, token, connection, upstream);
            }
            match end {
                ReadEnd::WouldBlock => {
                    self.finish_event(context, pending, token, connection, upstream);
                    return None;
                }
                ReadEnd::LimitReached if connection.read_buffer.len() < length_before => {}
                _ => {
                    self.on_eof(context, pending, token, connection, upstream);
                    return None;
                }
            }
        }
    }

    /// Processes the bytes that were read. Returns false if the worker violates the protocol, or the connection cannot be used
    /// any more.
    pub(super) fn read(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: &mut Connection,
        upstream: &mut UpstreamConnection,
    ) -> bool {
        loop {
            let result = match &mut upstream.state {
                UpstreamState::Connecting(_) => StepResult::Wait,
                UpstreamState::Idle if connection.read_buffer.is_empty() => StepResult::Wait,
                UpstreamState::Idle => self.read_surplus_response(context, token, connection, upstream),
                UpstreamState::AwaitingResponse(exchange) => {
                    let exchange = *exchange;
                    self.read_response_head(context, connection, upstream, exchange)
                }
                UpstreamState::ReadingBody(_) => {
                    self.read_response_body(context, token, connection, upstream)
                }
                UpstreamState::Streaming(stream) => read_status_stream(context, connection, stream),
            };
            match result {
                StepResult::Continue => {}
                StepResult::Wait => return true,
                StepResult::Unusable => return false,
            }
        }
    }

    /// Handles bytes on an idle connection. If the last response was uncertain and its attempt is under way, one of the two
    /// responses is a copy, and both say what the worker decided: a second 202 changes nothing, and after any other response the
    /// first one was the copy. Otherwise no request awaits the bytes. The connection is not used again in either case.
    fn read_surplus_response(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: &mut Connection,
        upstream: &mut UpstreamConnection,
    ) -> StepResult {
        let head = match http::read_response(&connection.read_buffer) {
            Ok(None) if upstream.uncertain_attempt.is_some() => return StepResult::Wait,
            Ok(head) => head,
            Err(_) => None,
        };
        self.unsolicited.record(context, connection, upstream);
        self.idle.remove(upstream.worker, token);
        let attempt = upstream.uncertain_attempt.take();
        let attempt = attempt.filter(|attempt| context.core.is_awaiting_start(*attempt));
        let Some((head, attempt)) = head.zip(attempt) else { return StepResult::Unusable };
        let exchange = Exchange::Attempt(attempt);
        if !is_response_to(exchange, &head, connection) {
            return StepResult::Unusable;
        }
        self.uncertain.remove(&attempt);
        upstream.has_surplus_response = true;
        self.attempts.insert(attempt, token);
        self.on_response_head(context, connection, upstream, exchange, &head);
        StepResult::Continue
    }

    /// Processes the head of a response once it is complete. An interim response with status 100 is skipped.
    fn read_response_head(
        &mut self,
        context: &mut Context<'_>,
        connection: &mut Connection,
        upstream: &mut UpstreamConnection,
        exchange: Exchange,
    ) -> StepResult {
        match http::read_response(&connection.read_buffer) {
            Ok(None) => return StepResult::Wait,
            Ok(Some(head)) if head.status == 100 => drop(connection.read_buffer.drain(..head.len)),
            Ok(Some(head)) if is_response_to(exchange, &head, connection) => {
                self.on_response_head(context, connection, upstream, exchange, &head);
            }
            Ok(Some(_)) => {
                self.unsolicited.record(context, connection, upstream);
                return StepResult::Unusable;
            }
            Err(_) => return StepResult::Unusable,
        }
        StepResult::Continue
    }

    /// Reads more of a response's body. Once it is complete, the connection is idle, or unusable if it is not kept alive.
    fn read_response_body(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: &mut Connection,
        upstream: &mut UpstreamConnection,
    ) -> StepResult {
        let UpstreamState::ReadingBody(response) = &mut upstream.state else { return StepResult::Continue };
        let is_framed = response.body.feed(&mut connection.read_buffer, &mut response.decoded).is_ok();
        if !is_framed || response.decoded.len() > MAX_BODY {
            return StepResult::Unusable;
        }
        if !response.body.is_done() {
            return StepResult::Wait;
        }
        if response.exchange == Exchange::Probe {
            let body = std::mem::take(&mut response.decoded);
            self.on_load_probe_response(context, token, response.status, &body);
        }
        if !response.keep_alive || upstream.has_surplus_response {
            return StepResult::Unusable;
        }
        upstream.attribution.on_response(response.status, context.now(), copy_window(context.config));
        upstream.state = UpstreamState::Idle;
        StepResult::Continue
    }

    /// Handles the head of a worker's response. The refusal of an attempt is reported at once, before the body is read.
    fn on_response_head(
        &mut self,
        context: &mut Context<'_>,
        connection: &mut Connection,
        upstream: &mut UpstreamConnection,
        exchange: Exchange,
        head: &http::ResponseHead,
    ) {
        if let Exchange::Attempt(attempt) = exchange {
            if head.status == 200 {
                connection.read_buffer.drain(..head.len);
                let (body, events) = (Body::new(head.framing), EventStream::default());
                upstream.state = UpstreamState::Streaming(StatusStream { attempt, body, events });
                return;
            }
            self.attempts.remove(&attempt);
            if let Some(outcome) = refusal_outcome(connection, head) {
                let report = platform::load_report_from_head(
                    context.core.names(),
                    &connection.read_buffer,
                    &head.fields,
                );
                let outcome = AttemptOutcome::Unserved(outcome);
                context.core.on_attempt_ended(context.now(), attempt, outcome, report);
            } else if upstream.attribution.is_uncertain() && !upstream.has_surplus_response {
                upstream.uncertain_attempt = Some(attempt);
                let until = context.now() + copy_window(context.config);
                self.record_uncertain(attempt, until, context.now());
            }
        }
        connection.read_buffer.drain(..head.len);
        upstream.state = UpstreamState::ReadingBody(ResponseBody {
            exchange,
            status: head.status,
            body: Body::new(head.framing),
            decoded: Vec::new(),
            keep_alive: head.keep_alive && head.framing != Framing::Absent,
        });
    }

    /// Reports the response to a load probe to the core. Does nothing if the probe has got a response or has failed before.
    pub(super) fn on_load_probe_response(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        status: u16,
        body: &[u8],
    ) {
        let Some(PendingProbe { worker, sent_at }) = self.probes.remove(&token) else { return };
        let outcome = if status == 200 { Outcome::Ok } else { Outcome::Error };
        let report = platform::load_report_from_body(context.core.names(), body);
        context.core.on_probe_response(worker, outcome, context.now().saturating_sub(sent_at), report);
    }
}

/// The outcome if a worker refuses an attempt: `Rejected` if a 503 or 504 says that the request was not processed, otherwise
/// `Error`. `None` if the worker has accepted the attempt.
fn refusal_outcome(connection: &Connection, head: &http::ResponseHead) -> Option<Outcome> {
    let is_unprocessed = head.fields.text(&connection.read_buffer, names::UNPROCESSED) == Some("1");
    match head.status {
        202 => None,
        503 | 504 if is_unprocessed => Some(Outcome::Rejected),
        _ => Some(Outcome::Error),
    }
}

/// Reads more of an event stream, and reports each event to the core.
fn read_status_stream(
    context: &mut Context<'_>,
    connection: &mut Connection,
    stream: &mut StatusStream,
) -> StepResult {
    // Events that arrived before the framing broke are valid: the final event may be among them.
    let mut decoded = Vec::new();
    let is_framed = stream.body.feed(&mut connection.read_buffer, &mut decoded).is_ok();
    let mut events: Vec<StreamEvent> = Vec::new();
    let is_parsed = stream.events.feed(&decoded, |event| events.push(event)).is_ok();
    for event in events {
        report_stream_event(context, stream.attempt, &event);
    }
    // The stream may end only after the final event. The attempt has ended then, so the returned value has no effect on it.
    if is_framed && is_parsed && !stream.body.is_done() { StepResult::Wait } else { StepResult::Unusable }
}

/// Reports an event of a worker's stream to the core. The event's data has the form of a status callback; an event that cannot
/// be parsed counts as a reject.
fn report_stream_event(context: &mut Context<'_>, attempt: AttemptId, event: &StreamEvent) {
    let name = Some(event.name.as_str()).filter(|name| !name.is_empty() && *name != "message");
    let callback = platform::parse_status_callback(context.core.names(), event.data.as_bytes(), name);
    match callback {
        Some(callback) => {
            let (status, report) = (callback.status, callback.report);
            context.core.on_attempt_status(context.now(), attempt, status, report);
        }
        None => context.metrics.rejects += 1,
    }
}
