//! Watchers' connections: the requests to watch a job, and the events written in response.

use crate::http::Piece;
use crate::policy::interface::Micros;
use crate::protocol::event_streams::{self, StreamFraming, StreamRequest};
use crate::protocol::platform::RawRequest;
use crate::server::connection::Connection;
use crate::server::context::Context;
use crate::server::downstream::event_streams::{EncodedEvent, EventStreams};
use crate::server::downstream::{ClientConnection, ClientContext, ClientState, StreamWatch};
use crate::server::tokens::Token;
use mothproxy_streams::{BrokerError, JobEvent, JobId, Next, WatcherId};
use std::rc::Rc;

/// A watcher's connection gets more events once it has fewer than this many bytes left to write.
const MAX_STREAM_BACKLOG: usize = 2 * 1024;
/// The time after which a client that loses its stream should reconnect, in microseconds.
pub(super) const RECONNECT_DELAY: Micros = 500_000;
/// The reconnect delay under load, in microseconds.
const RECONNECT_DELAY_LOADED: Micros = 2_000_000;
/// The reconnect delay while this process drains or has handed over, in microseconds.
pub(super) const RECONNECT_DELAY_DRAINING: Micros = 3_000_000;

/// The properties of the response to a request for an event stream.
struct ResponseOptions {
    /// The header fields for web pages of other origins (CORS).
    cors: String,
    /// Whether the response has a body; false for `HEAD`.
    has_body: bool,
    keep_alive: bool,
    framing: StreamFraming,
}

impl ResponseOptions {
    /// The response to a client that the broker refuses to let watch the job.
    fn refusal(&self, reason: &BrokerError) -> Vec<Piece> {
        let (cors, keep_alive, body) = (&self.cors, self.keep_alive, self.has_body);
        match reason {
            BrokerError::Unknown => event_streams::plain_text(
                "403 Forbidden",
                cors,
                "no such stream for this token",
                keep_alive,
                body,
            ),
            BrokerError::StreamEnded => {
                event_streams::plain_text("204 No Content", cors, "", keep_alive, false)
            }
            BrokerError::TooManyStreams | BrokerError::Full => {
                let extra = format!("Retry-After: 2\r\n{cors}");
                event_streams::plain_text(
                    "429 Too Many Requests",
                    &extra,
                    "too many streams",
                    keep_alive,
                    body,
                )
            }
        }
    }

    /// The response to a client that accepts no event stream.
    fn not_acceptable(&self) -> Vec<Piece> {
        let text = "it comes as text/event-stream only";
        event_streams::plain_text("406 Not Acceptable", &self.cors, text, self.keep_alive, self.has_body)
    }
}

impl EventStreams {
    /// Opens a watcher.
    ///
    /// # Errors
    /// The broker's error. An id or token that cannot be parsed is reported as unknown.
    fn open_watcher(&mut self, request: &StreamRequest) -> Result<WatcherId, BrokerError> {
        let (public_id, token) = request.public_id.zip(request.token).ok_or(BrokerError::Unknown)?;
        self.broker.watch(public_id, token, request.last_event_id)
    }

    /// Removes a watcher whose connection is over.
    pub(in crate::server::downstream) fn on_watcher_disconnected(
        &mut self,
        context: &mut Context<'_>,
        watcher: WatcherId,
    ) {
        self.tokens.remove(&watcher);
        self.broker.remove_watcher(context.now(), watcher);
        self.schedule_sweep(context);
    }

    /// Pulls the next item for a watcher from the broker, and encodes it.
    fn next_for(&mut self, watcher: WatcherId, framing: StreamFraming) -> NextPieces {
        match self.broker.pull(watcher) {
            Next::Nothing => NextPieces::Nothing,
            Next::Missed(count) => NextPieces::More(event_streams::missed(framing, count)),
            Next::Event { job, event, is_final } => {
                let bytes = encode(&mut self.last_encoded, job, event, framing);
                let piece = Piece::Shared(bytes.clone(), 0..bytes.len());
                if is_final { NextPieces::Last(piece) } else { NextPieces::More(vec![piece]) }
            }
        }
    }
}

/// The next item for a watcher, encoded for its connection.
enum NextPieces {
    Nothing,
    More(Vec<Piece>),
    /// The final event.
    Last(Piece),
}

/// Encodes an event, and keeps the result in `last_encoded`. If `last_encoded` already holds this event, returns its bytes.
fn encode(
    last_encoded: &mut Option<EncodedEvent>,
    job: JobId,
    event: &JobEvent,
    framing: StreamFraming,
) -> Rc<Vec<u8>> {
    let is_same =
        |cached: &EncodedEvent| (cached.job, cached.event_id, cached.framing) == (job, event.id, framing);
    if let Some(cached) = last_encoded.as_ref().filter(|cached| is_same(cached)) {
        return cached.bytes.clone();
    }
    let bytes = event_streams::event(framing, event);
    *last_encoded = Some(EncodedEvent { job, event_id: event.id, framing, bytes: bytes.clone() });
    bytes
}

/// Answers a request at a job's path, or a preflight. Returns false if the request is neither, or if event streams are off.
pub(in crate::server::downstream) fn on_stream_request(
    context: &mut ClientContext<'_>,
    token: Token,
    connection: &mut Connection,
    client: &mut ClientConnection,
    raw: &RawRequest,
    keep_alive: bool,
) -> bool {
    let Some(streams) = &mut *context.event_streams else { return false };
    let cors = event_streams::cors(raw, &streams.origins);
    let method = &raw.bytes[raw.head.method.clone()];
    if method == b"OPTIONS" {
        connection.write_queue.push(event_streams::preflight(&cors, keep_alive));
        return true;
    }
    let Some(request) = event_streams::stream_request(raw) else { return false };
    if method != b"GET" && method != b"HEAD" {
        connection.write_queue.push(event_streams::method_not_allowed(keep_alive));
        return true;
    }
    let has_body = method == b"GET";
    let framing =
        if event_streams::is_http_1_0(raw) { StreamFraming::UntilClose } else { StreamFraming::Chunked };
    let options = ResponseOptions { cors, has_body, keep_alive, framing };
    if !event_streams::accepts_event_stream(raw) {
        connection.write_queue.push(options.not_acceptable());
        return true;
    }
    match streams.open_watcher(&request) {
        Ok(watcher) => start_stream(context, token, connection, client, watcher, &options),
        Err(reason) => connection.write_queue.push(options.refusal(&reason)),
    }
    true
}

/// Writes the head of the response for a watcher that the broker has opened, and begins its stream. For `HEAD` there is no
/// stream, and the watcher is removed.
fn start_stream(
    context: &mut ClientContext<'_>,
    token: Token,
    connection: &mut Connection,
    client: &mut ClientConnection,
    watcher: WatcherId,
    options: &ResponseOptions,
) {
    let reconnect_delay = reconnect_delay(context);
    let Some(streams) = &mut *context.event_streams else { return };
    let framing = options.framing;
    let keep_alive = options.keep_alive && framing == StreamFraming::Chunked;
    connection.write_queue.push(event_streams::stream_head(framing, &options.cors, keep_alive));
    if !options.has_body {
        streams.broker.remove_watcher(context.shared.now(), watcher);
        return;
    }
    streams.tokens.insert(watcher, token);
    connection.write_queue.push(event_streams::retry(framing, reconnect_delay));
    client.state =
        ClientState::Watching(StreamWatch { watcher, keep_alive, framing, last_write: context.shared.now() });
}

/// The reconnect delay that applies now, in microseconds. A process that shuts down has the job's events only until its end, so the
/// client should come back soon. The process is under load once three quarters of the budget for clients' connections are used.
fn reconnect_delay(context: &ClientContext<'_>) -> Micros {
    if context.shared.lifecycle.is_shutting_down() && !context.shared.lifecycle.has_handed_over() {
        RECONNECT_DELAY
    } else if context.shared.lifecycle.is_draining() || context.shared.lifecycle.has_handed_over() {
        RECONNECT_DELAY_DRAINING
    } else if context.shared.reactor.connections().clients() * 4 >= context.budget.clients * 3 {
        RECONNECT_DELAY_LOADED
    } else {
        RECONNECT_DELAY
    }
}

/// Puts the next events into the write queue of a watcher's connection, until it has [`MAX_STREAM_BACKLOG`] bytes to write. After
/// the final event, ends the stream and removes the watcher.
pub(in crate::server::downstream) fn fill_stream(
    context: &mut ClientContext<'_>,
    connection: &mut Connection,
    client: &mut ClientConnection,
) {
    let ClientState::Watching(stream) = &mut client.state else { return };
    let Some(streams) = &mut *context.event_streams else { return };
    while connection.write_queue.len() < MAX_STREAM_BACKLOG {
        match streams.next_for(stream.watcher, stream.framing) {
            NextPieces::Nothing => return,
            NextPieces::More(pieces) => connection.write_queue.push(pieces),
            NextPieces::Last(piece) => {
                connection.write_queue.push(vec![piece]);
                connection.write_queue.push(stream.framing.end());
                streams.broker.remove_watcher(context.shared.now(), stream.watcher);
                streams.tokens.remove(&stream.watcher);
                let keep_alive = stream.keep_alive;
                return client.finish_response(keep_alive);
            }
        }
        stream.last_write = context.shared.now();
    }
}

/// Whether there are more events for a watcher now.
pub(in crate::server::downstream) fn has_stream_events(
    context: &ClientContext<'_>,
    client: &ClientConnection,
) -> bool {
    let ClientState::Watching(stream) = &client.state else { return false };
    context.event_streams.as_ref().is_some_and(|streams| streams.broker.has_more(stream.watcher))
}
