//! A client of the SSE listener, which sends a request and reads the response, which may be an event stream. Shared by the tests
//! of progress streams (`tests/streams.rs`) and of watched jobs (`tests/watch`).
#![allow(dead_code)] // each test crate uses only a part

use mothproxy::http::{self, Body, EventStream, StreamEvent};
use mothproxy_testkit::WAIT_TIMEOUT;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The names of the final events. A job has exactly one of them, as its last event.
pub const FINAL_EVENTS: [&str; 3] = ["done", "deny", "failed"];

/// A connection with one request and the part of its response that has been read so far.
pub struct StreamClient {
    connection: TcpStream,
    /// Bytes that have been read and not yet parsed.
    read_buffer: Vec<u8>,
    body: Option<Body>,
    parser: EventStream,
    pub status: u16,
    /// The status line and the header fields, as received.
    pub head: String,
    pub is_event_stream: bool,
    /// The body, without its transfer encoding.
    pub text: Vec<u8>,
    pub events: Vec<StreamEvent>,
    /// Whether the response was received completely.
    pub is_complete: bool,
    /// Whether the response or the connection has ended, so that nothing more is read.
    pub is_ended: bool,
}

impl fmt::Debug for StreamClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("StreamClient");
        shown.field("head", &self.head).field("events", &self.events);
        shown.field("is_complete", &self.is_complete).field("is_ended", &self.is_ended).finish()
    }
}

impl StreamClient {
    /// Sends a request without reading anything.
    pub fn send(mut connection: TcpStream, request: &str) -> StreamClient {
        connection.write_all(request.as_bytes()).expect("write failed");
        connection.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
        StreamClient {
            connection,
            read_buffer: Vec::new(),
            body: None,
            parser: EventStream::default(),
            status: 0,
            head: String::new(),
            is_event_stream: false,
            text: Vec::new(),
            events: Vec::new(),
            is_complete: false,
            is_ended: false,
        }
    }

    /// Sends a request and reads the head of the response, with the bytes that arrive together with it.
    pub fn open(connection: TcpStream, request: &str) -> StreamClient {
        let mut client = StreamClient::send(connection, request);
        while client.body.is_none() && client.read_more() {}
        client
    }

    /// Reads once. Returns whether more may follow.
    ///
    /// # Errors
    ///
    /// If the connection was reset, or if no byte arrived within [`WAIT_TIMEOUT`].
    pub fn try_read_more(&mut self) -> io::Result<bool> {
        if self.is_ended {
            return Ok(false);
        }
        let mut buffer = [0; 16 * 1024];
        let count = self.connection.read(&mut buffer).inspect_err(|_| self.is_ended = true)?;
        if count == 0 {
            self.is_ended = true;
            return Ok(false);
        }
        self.read_buffer.extend(&buffer[..count]);
        self.read_head();
        self.read_body();
        Ok(!self.is_ended)
    }

    /// Reads once. Returns whether more may follow; an error counts as the end.
    pub fn read_more(&mut self) -> bool {
        self.try_read_more().unwrap_or(false)
    }

    fn read_head(&mut self) {
        if self.body.is_some() {
            return;
        }
        let Some(head) = http::read_response(&self.read_buffer).expect("not an HTTP response") else {
            return;
        };
        self.status = head.status;
        self.head = String::from_utf8_lossy(&self.read_buffer[..head.len]).into_owned();
        self.is_event_stream =
            head.fields.text(&self.read_buffer, "content-type") == Some("text/event-stream");
        self.read_buffer.drain(..head.len);
        self.body = Some(Body::new(head.framing));
    }

    fn read_body(&mut self) {
        let Some(body) = &mut self.body else { return };
        let mut text = Vec::new();
        body.feed(&mut self.read_buffer, &mut text).expect("invalid body framing");
        self.is_complete = body.is_done();
        self.is_ended = self.is_complete;
        let events = &mut self.events;
        self.parser.feed(&text, |event| events.push(event)).expect("invalid event stream");
        self.text.extend(text);
    }

    /// Reads until the response or the connection ends, or until `is_enough` returns true.
    ///
    /// # Panics
    ///
    /// If the connection was reset, or if no byte arrived within [`WAIT_TIMEOUT`].
    pub fn read_until(mut self, is_enough: impl Fn(&StreamClient) -> bool) -> StreamClient {
        loop {
            match self.try_read_more() {
                Ok(true) if !is_enough(&self) => {}
                Ok(_) => return self,
                Err(error) => panic!("{error} after {self:?}"),
            }
        }
    }

    /// Reads until the response or the connection ends. An error counts as the end.
    pub fn read_to_end(mut self) -> StreamClient {
        while self.read_more() {}
        self
    }

    /// Reads until this many events were received, or to the end. Returns the ids and names of all events so far.
    pub fn read_events(&mut self, count: usize) -> Vec<String> {
        while self.events.len() < count && self.read_more() {}
        self.ids_and_names()
    }

    /// The ids and names of all events, such as `1 started`.
    pub fn ids_and_names(&self) -> Vec<String> {
        self.events.iter().map(|event| format!("{} {}", event.id, event.name)).collect()
    }

    /// The names of all events.
    pub fn names(&self) -> Vec<&str> {
        self.events.iter().map(|event| event.name.as_str()).collect()
    }

    /// The number of final answers: final events, or 1 for a complete response that is not an event stream.
    pub fn final_answers(&self) -> usize {
        let plain = usize::from(!self.is_event_stream && self.is_complete);
        plain + self.names().iter().filter(|name| FINAL_EVENTS.contains(name)).count()
    }

    /// The number of `alive` comments, which are sent on an idle stream.
    pub fn heartbeats(&self) -> usize {
        String::from_utf8_lossy(&self.text).matches(": alive\n").count()
    }

    /// The reconnection time that the server set with a `retry` field, in milliseconds; `None` if it set none.
    pub fn retry(&self) -> Option<u64> {
        self.parser.retry()
    }
}
