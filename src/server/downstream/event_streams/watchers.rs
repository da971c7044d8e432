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
/// After which time a client that loses its stream should reconnect, in microseconds. The three values apply usually, under
/// load, and while this process drains or has handed over.
pub(super) const RECONNECT_DELAY: Micros = 500_000;
const RECONNECT_DELAY_LOADED: Micros = 2_000_000;
const RECONNECT_DELAY_DRAINING: Micros = 3_000_000;

/// How to answer a request for an event stream.
struct ResponseOptions {
    /// The header fields for web pages of other origins (CORS).
    cors: String,
    /// Whether the response has a body: not for `HEAD`.
    has_body: bool,
    keep_alive: bool,
    frame: StreamFraming,
}

impl ResponseOptions {
    /// The response to a client that may not watch the job.
    fn refusal(&self, why: &BrokerError) -> Vec<Piece> {
        let (cors, keep_alive, body) = (&self.cors, self.keep_alive, self.has_body);
        match why {
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
    /// The broker's error. An id or token that cannot be parsed counts as an unknown one.
    fn open_watcher(&mut self, wanted: &StreamRequest) -> Result<WatcherId, BrokerError> {
        let (public_id, token) = wanted.public_id.zip(wanted.token).ok_or(BrokerError::Unknown)?;
        self.broker.watch(public_id, token, wanted.last_event_id)
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

    /// Pulls what comes next for a watcher, encoded.
    fn next_for(&mut self, watcher: WatcherId, frame: StreamFraming) -> NextPieces {
        match self.broker.pull(watcher) {
            Next::Nothing => NextPieces::Nothing,
            Next::Missed(count) => NextPieces::More(event_streams::missed(frame, count)),
            Next::Event { job, event, is_final } => {
                let bytes = encode(&mut self.last_encoded, job, event, frame);
                let piece = Piece::Shared(bytes.clone(), 0..bytes.len());
                if is_final { NextPieces::Last(piece) } else { NextPieces::More(vec![piece]) }
            }
        }
    }
}

/// What comes next for a watcher, encoded.
enum NextPieces {
    Nothing,
    More(Vec<Piece>),
    /// The final event.
    Last(Piece),
}

/// Encodes an event. If `last` is the same event, returns its bytes; else encodes the event and keeps it in `last`.
fn encode(
    last: &mut Option<EncodedEvent>,
    job: JobId,
    event: &JobEvent,
    frame: StreamFraming,
) -> Rc<Vec<u8>> {
    let is_same = |known: &EncodedEvent| (known.job, known.event_id, known.frame) == (job, event.id, frame);
    if let Some(known) = last.as_ref().filter(|known| is_same(known)) {
        return known.bytes.clone();
    }
    let bytes = event_streams::event(frame, event);
    *last = Some(EncodedEvent { job, event_id: event.id, frame, bytes: bytes.clone() });
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
        connection.outbox.push(event_streams::preflight(&cors, keep_alive));
        return true;
    }
    let Some(wanted) = event_streams::stream_request(raw) else { return false };
    if method != b"GET" && method != b"HEAD" {
        connection.outbox.push(event_streams::wrong_method(keep_alive));
        return true;
    }
    let has_body = method == b"GET";
    let frame =
        if event_streams::is_http_1_0(raw) { StreamFraming::UntilClose } else { StreamFraming::Chunked };
    let request = ResponseOptions { cors, has_body, keep_alive, frame };
    if !event_streams::accepts_event_stream(raw) {
        connection.outbox.push(request.not_acceptable());
        return true;
    }
    match streams.open_watcher(&wanted) {
        Ok(watcher) => start_stream(context, token, connection, client, watcher, &request),
        Err(why) => connection.outbox.push(request.refusal(&why)),
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
    request: &ResponseOptions,
) {
    let reconnect_delay = reconnect_delay(context);
    let Some(streams) = &mut *context.event_streams else { return };
    let frame = request.frame;
    let keep_alive = request.keep_alive && frame == StreamFraming::Chunked;
    connection.outbox.push(event_streams::stream_head(frame, &request.cors, keep_alive));
    if !request.has_body {
        streams.broker.remove_watcher(context.shared.now(), watcher);
        return;
    }
    streams.tokens.insert(watcher, token);
    connection.outbox.push(event_streams::retry(frame, reconnect_delay));
    client.state =
        ClientState::Watching(StreamWatch { watcher, keep_alive, frame, last_write: context.shared.now() });
}

/// After which time a client that loses its stream should reconnect, as things are now. Three quarters of the budget for
/// clients' connections count as load.
fn reconnect_delay(context: &ClientContext<'_>) -> Micros {
    if context.shared.lifecycle.is_draining() || context.shared.lifecycle.has_handed_over() {
        RECONNECT_DELAY_DRAINING
    } else if context.shared.reactor.connections().clients() * 4 >= context.budget.clients * 3 {
        RECONNECT_DELAY_LOADED
    } else {
        RECONNECT_DELAY
    }
}

/// Puts the next events into the outbox of a watcher's connection, until it has [`MAX_STREAM_BACKLOG`] bytes to write. After the
/// final event, ends the stream and removes the watcher.
pub(in crate::server::downstream) fn fill_stream(
    context: &mut ClientContext<'_>,
    connection: &mut Connection,
    client: &mut ClientConnection,
) {
    let ClientState::Watching(stream) = &mut client.state else { return };
    let Some(streams) = &mut *context.event_streams else { return };
    while connection.outbox.len() < MAX_STREAM_BACKLOG {
        match streams.next_for(stream.watcher, stream.frame) {
            NextPieces::Nothing => return,
            NextPieces::More(pieces) => connection.outbox.push(pieces),
            NextPieces::Last(piece) => {
                connection.outbox.push(vec![piece]);
                connection.outbox.push(stream.frame.end());
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
