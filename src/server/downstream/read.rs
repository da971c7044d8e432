//! Reading clients' connections: handling epoll events, assembling requests from bytes, and setting what to wait for next.

use crate::core::RequestId;
use crate::http::{self, Chunked, Framing, MAX_BODY, Piece};
use crate::protocol::platform::{RawRequest, Reject};
use crate::server::connection::{Connection, ReadEnd};
use crate::server::connection_table::Role;
use crate::server::context::Context;
use crate::server::downstream::client::ChunkedRequest;
use crate::server::downstream::deadline::deadline;
use crate::server::downstream::event_streams::watchers::{fill_stream, has_stream_events};
use crate::server::downstream::respond::reject;
use crate::server::downstream::{
    ClientConnection, ClientConnections, ClientContext, ClientState, Downstream, MAX_READ_BUFFER,
};
use crate::server::reactor::Reading;
use crate::server::tokens::Token;
use rustix::event::epoll::EventFlags;
use std::rc::Rc;

/// No more requests of a client are read while this many bytes of its responses are unwritten.
const MAX_UNREAD_RESPONSES: usize = 16 * 1024;
/// The maximum number of steps, such as handling a request, that a connection takes in one turn of the event loop. The rest waits
/// until the other connections have had theirs.
const MAX_STEPS_PER_TURN: usize = 16;
/// The flags that indicate that the client has ended the connection.
const HANGUP: EventFlags = EventFlags::RDHUP.union(EventFlags::HUP).union(EventFlags::ERR);

/// The result of one step of [`ClientConnections::advance`].
enum StepResult {
    /// There may be more to do.
    Continue,
    /// Nothing more can be done until the next event.
    Wait,
    /// The connection is broken.
    Broken,
}

impl ClientConnections {
    /// Handles a connection of a client that is readable or writable, or that its client has ended.
    pub(in crate::server) fn on_ready(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        mut connection: Connection,
        mut client: ClientConnection,
        flags: EventFlags,
    ) {
        if self.untrack_idle(token, &mut client) {
            connection.set_timer(context.shared.core, token, None); // the next request has its own deadline
        }
        if flags.contains(EventFlags::OUT) && !connection.flush() {
            return self.on_closed(context, token, connection, client);
        }
        let mut has_ended = false;
        if flags.intersects(EventFlags::IN | HANGUP) {
            match self.read_bytes(context, token, &mut connection, &mut client) {
                ReadEnd::WouldBlock => has_ended = flags.intersects(HANGUP),
                // The client has disconnected, and there is more to read than one request.
                ReadEnd::LimitReached if flags.intersects(HANGUP) => {
                    return self.on_closed(context, token, connection, client);
                }
                ReadEnd::LimitReached
                    if client.is_awaiting_response()
                        || connection.write_queue.len() >= MAX_UNREAD_RESPONSES =>
                {
                    context.shared.metrics.rejects += 1;
                    return self.on_closed(context, token, connection, client);
                }
                ReadEnd::LimitReached => {}
                // The client has disconnected, which cancels its request.
                ReadEnd::Eof | ReadEnd::Broken => return self.on_closed(context, token, connection, client),
            }
        }
        self.advance(context, token, connection, client);
        // The read stopped before the end of the connection that the flags report. A request that arrived before that end has been
        // processed, but no attempt may begin for it.
        if has_ended && let Some((connection, role)) = context.shared.reactor.take(token) {
            match role {
                Role::Client(client) => self.on_closed(context, token, connection, client),
                role => context.shared.reactor.put(token, connection, role),
            }
        }
    }

    /// Reads as much as the connection may buffer, and records when it arrived.
    fn read_bytes(
        &mut self,
        context: &ClientContext<'_>,
        token: Token,
        connection: &mut Connection,
        client: &mut ClientConnection,
    ) -> ReadEnd {
        let length_before = connection.read_buffer.len();
        let end = connection.fill(client.max_read_buffer(length_before));
        let earliest = context.shared.polls.earliest_arrival();
        client.read_times.on_read(connection.read_buffer.len(), earliest, end == ReadEnd::WouldBlock);
        if connection.read_buffer.len() > length_before {
            self.on_bytes_read(token, client, context.now());
        }
        end
    }

    /// If `flags` say that a client has disconnected, handles its event ahead of those of other connections.
    pub(in crate::server) fn on_hangup(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        flags: EventFlags,
    ) {
        let is_client =
            || matches!(context.shared.reactor.connections().get(token), Some((_, Role::Client(_))));
        if flags.intersects(HANGUP)
            && is_client()
            && let Some((connection, Role::Client(client))) = context.shared.reactor.take(token)
        {
            self.on_ready(context, token, connection, client, flags);
        }
    }

    /// Reads a connection whose client awaits a response or watches a job, to see whether the client has disconnected. If so, or if
    /// the client has sent so much that this cannot be seen, closes the connection; the request of a client that awaits a response
    /// is cancelled.
    pub(in crate::server) fn close_if_disconnected(&mut self, context: &mut ClientContext<'_>, token: Token) {
        let Some((mut connection, role)) = context.shared.reactor.take(token) else { return };
        match role {
            Role::Client(mut client) if client.is_awaiting_response() => {
                let has_ended = connection.has_ended(MAX_READ_BUFFER);
                let earliest = context.shared.polls.earliest_unreported();
                client.read_times.on_read(connection.read_buffer.len(), earliest, true);
                if has_ended || connection.read_buffer.len() >= MAX_READ_BUFFER {
                    return self.on_closed(context, token, connection, client);
                }
                context.shared.reactor.put(token, connection, Role::Client(client));
            }
            role => context.shared.reactor.put(token, connection, role),
        }
    }

    /// Whether a request's client has sent more than the request. The end of its connection is seen only once that is read.
    pub(in crate::server) fn has_bytes_after(
        &self,
        context: &ClientContext<'_>,
        request_id: RequestId,
    ) -> bool {
        let downstream = context.shared.core.downstream(request_id).map(Downstream::from_id);
        let Some(Downstream::Connection(token)) = downstream else { return false };
        let connection = context.shared.reactor.connections().get(token);
        connection.is_some_and(|(connection, _)| !connection.read_buffer.is_empty())
    }

    /// Reads the connection of a request's client, and cancels the request if the client has disconnected.
    pub(in crate::server) fn cancel_if_disconnected(
        &mut self,
        context: &mut ClientContext<'_>,
        request_id: RequestId,
    ) {
        if let Some(Downstream::Connection(token)) =
            context.shared.core.downstream(request_id).map(Downstream::from_id)
        {
            self.close_if_disconnected(context, token);
        }
    }

    /// Calls [`ClientConnections::advance`] for a connection that is in the connection table. A connection whose handler is
    /// running is skipped: the handler does the same before it puts the connection back.
    pub(super) fn advance_token(&mut self, context: &mut ClientContext<'_>, token: Token) {
        match context.shared.reactor.take(token) {
            Some((connection, Role::Client(client))) => self.advance(context, token, connection, client),
            Some((connection, role)) => context.shared.reactor.put(token, connection, role),
            None => {}
        }
    }

    /// Processes the bytes that were read, writes what can be written, and sets what to wait for.
    pub(in crate::server) fn advance(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        mut connection: Connection,
        mut client: ClientConnection,
    ) {
        client.is_deferred = false;
        for step in 0..=MAX_STEPS_PER_TURN {
            if step == MAX_STEPS_PER_TURN {
                client.is_deferred = true;
                break;
            }
            let result = match &client.state {
                ClientState::Closing | ClientState::Lingering { .. } => {
                    connection.read_buffer = Vec::new();
                    client.read_times.clear();
                    StepResult::Wait
                }
                ClientState::AwaitingResponse { .. } => StepResult::Wait,
                ClientState::Watching(_) => write_events(context, token, &mut connection, &mut client),
                ClientState::Reading => self.read_request(context, token, &mut connection, &mut client),
                ClientState::ReadingChunks(_) => {
                    self.read_chunks(context, token, &mut connection, &mut client)
                }
            };
            match result {
                StepResult::Continue => {}
                StepResult::Wait => break,
                StepResult::Broken => return self.on_closed(context, token, connection, client),
            }
        }
        self.finish_event(context, token, connection, client);
        self.ensure_buffer_capacity(context, 0);
    }

    /// Reads a request's head, and its body if the head states its length. A chunked body is left to
    /// [`ClientConnections::read_chunks`].
    fn read_request(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        connection: &mut Connection,
        client: &mut ClientConnection,
    ) -> StepResult {
        if connection.read_buffer.is_empty() || context.shared.lifecycle.has_handed_over() {
            return StepResult::Wait;
        }
        if connection.write_queue.len() >= MAX_UNREAD_RESPONSES {
            if !connection.flush() {
                return StepResult::Broken;
            }
            if connection.write_queue.len() >= MAX_UNREAD_RESPONSES {
                return StepResult::Wait;
            }
        }
        let head = match http::read_request(&connection.read_buffer) {
            Ok(None) => return StepResult::Wait,
            Ok(Some(head)) => head,
            Err(error) => {
                reject(context, connection, client, error.into());
                return StepResult::Continue;
            }
        };
        // Once the body has begun, the client does not wait for the interim response.
        let is_body_awaited = connection.read_buffer.len() == head.len;
        if is_body_awaited && head.fields.has_list_item(&connection.read_buffer, "expect", "100-continue") {
            connection.write_queue.push(vec!["HTTP/1.1 100 Continue\r\n\r\n".into()]);
        }
        let length = match head.framing {
            Framing::Length(length) => head.len + length,
            Framing::Chunked => {
                let bytes = split_front(&mut connection.read_buffer, head.len);
                client.on_consumed(head.len);
                let (decoder, body) = (Chunked::default(), Vec::new());
                client.state = ClientState::ReadingChunks(ChunkedRequest { bytes, head, decoder, body });
                return StepResult::Continue;
            }
            Framing::Absent => head.len,
        };
        if connection.read_buffer.len() < length {
            return StepResult::Wait;
        }
        let bytes = split_front(&mut connection.read_buffer, length);
        client.on_consumed(length);
        let body = Piece::Shared(bytes.clone(), head.len..length);
        self.on_request(context, token, connection, client, RawRequest { bytes, head, body });
        StepResult::Continue
    }

    /// Reads more of a chunked body, and handles the request once the body is complete.
    fn read_chunks(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        connection: &mut Connection,
        client: &mut ClientConnection,
    ) -> StepResult {
        let ClientState::ReadingChunks(request) = &mut client.state else { return StepResult::Continue };
        match request.decoder.decode(&connection.read_buffer, &mut request.body) {
            Err(_) => reject(context, connection, client, Reject::BadRequest),
            Ok(_) if request.body.len() > MAX_BODY => {
                reject(context, connection, client, Reject::BodyTooLarge);
            }
            Ok(used) => {
                connection.read_buffer.drain(..used);
                let is_done = request.decoder.is_done();
                client.on_consumed(used);
                if !is_done {
                    return StepResult::Wait;
                }
                let state = std::mem::replace(&mut client.state, ClientState::Reading);
                if let ClientState::ReadingChunks(ChunkedRequest { bytes, head, mut body, .. }) = state {
                    body.shrink_to_fit();
                    let raw = RawRequest { bytes, head, body: Piece::Owned(body) };
                    self.on_request(context, token, connection, client, raw);
                }
            }
        }
        StepResult::Continue
    }

    /// Ends the handling of an event: writes what can be written, sets the deadline and the epoll interest, and puts the
    /// connection back.
    pub(in crate::server) fn finish_event(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        mut connection: Connection,
        mut client: ClientConnection,
    ) {
        if !connection.flush() {
            return self.on_closed(context, token, connection, client);
        }
        let is_written = connection.write_queue.is_empty();
        if matches!(client.state, ClientState::Closing) && is_written {
            self.half_close(context, token, &mut connection, &mut client);
        }
        let has_partial_request = match client.state {
            ClientState::Reading => !connection.read_buffer.is_empty(),
            ClientState::ReadingChunks(_) => true,
            _ => false,
        };
        if has_partial_request && is_written && !client.is_awaiting_request() {
            // A later request has begun. It has as much time as a first one, and its connection may be closed to make room in
            // the same way.
            client.awaiting_request_since = Some(context.now());
            client.last_read = context.now();
            self.track_awaiting_request(token, &client);
        }
        if connection.read_buffer.is_empty() {
            connection.read_buffer = Vec::new();
        }
        let mut deadline = deadline(context, &mut connection, &client);
        if client.is_deferred {
            deadline = Some(context.now() + 1);
        }
        if deadline != connection.timer {
            connection.set_timer(context.shared.core, token, deadline);
        }
        if client.is_reading() && connection.read_buffer.is_empty() && is_written {
            self.track_idle(token, &mut client, context.now());
        }
        let can_read = !client.is_reading() || connection.write_queue.len() < MAX_UNREAD_RESPONSES;
        let reading = if can_read { Reading::Wanted } else { Reading::Paused };
        if reading == Reading::Paused {
            client.read_times.on_paused(context.shared.polls.earliest_arrival());
        }
        context.shared.reactor.update_interest(token, &mut connection, reading);
        context.shared.reactor.put(token, connection, Role::Client(client));
    }

    /// Closes a connection that is over. If the client awaited a response, its request is cancelled in the core. If it watched
    /// a job, its watcher is removed.
    pub(in crate::server) fn on_closed(
        &mut self,
        context: &mut ClientContext<'_>,
        token: Token,
        connection: Connection,
        mut client: ClientConnection,
    ) {
        match &client.state {
            ClientState::AwaitingResponse { request_id, .. } => {
                context.pending.remove(*request_id);
                context.shared.core.on_client_disconnected(context.now(), *request_id);
            }
            ClientState::Watching(watch) => {
                if let Some(streams) = context.event_streams {
                    streams.on_watcher_disconnected(&mut context.shared, watch.watcher);
                }
            }
            ClientState::Lingering { since } => self.lingering.remove(*since, token),
            _ => {}
        }
        self.untrack_awaiting_request(token, &mut client);
        context.shared.reactor.close(context.shared.core, token, connection, Role::Client(client));
    }

    /// Drops a connection that was handed over to another process. Its request is not cancelled.
    pub(in crate::server) fn release(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: Connection,
        mut client: ClientConnection,
    ) {
        self.untrack(token, &mut client);
        context.reactor.close(context.core, token, connection, Role::Client(client));
    }
}

/// Writes the events of the job that a client watches, as many as the connection accepts.
fn write_events(
    context: &mut ClientContext<'_>,
    token: Token,
    connection: &mut Connection,
    client: &mut ClientConnection,
) -> StepResult {
    fill_stream(context, connection, client);
    // Bytes that the socket accepts at once make room for more events.
    if !connection.flush() {
        return StepResult::Broken;
    }
    if !client.is_watching() {
        connection.set_timer(context.shared.core, token, None); // the timer was set for the heartbeat
        return StepResult::Wait;
    }
    if connection.write_queue.is_empty() && has_stream_events(context, client) {
        StepResult::Continue
    } else {
        StepResult::Wait
    }
}

/// Removes the first `length` bytes from a read buffer and returns them. Panics if the read buffer is shorter.
fn split_front(read_buffer: &mut Vec<u8>, length: usize) -> Rc<Vec<u8>> {
    if read_buffer.len() == length {
        let mut front = std::mem::take(read_buffer);
        front.shrink_to_fit();
        return Rc::new(front);
    }
    let front = read_buffer[..length].to_vec();
    read_buffer.drain(..length);
    Rc::new(front)
}
