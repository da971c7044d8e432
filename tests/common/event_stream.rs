//! A client of the SSE listener: it sends a request and reads the answer, which may be an event stream. Shared by the tests of
//! progress streams (`tests/streams.rs`) and of watched jobs (`tests/watch`).
#![allow(dead_code)] // each of its users needs a part

use mothproxy::http::{self, Body, EventStream, StreamEvent};
use mothproxy_testkit::WAIT_TIMEOUT;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The names of the events of which a job has exactly one, its last.
pub const FINAL_EVENTS: [&str; 3] = ["done", "deny", "failed"];

/// One answer, as far as it has been read.
pub struct StreamClient {
    connection: TcpStream,
    /// Bytes that have been read and not yet understood.
    inbox: Vec<u8>,
    body: Option<Body>,
    parser: EventStream,
    pub status: u16,
    /// The status line and the header fields, as received.
    pub head: String,
    pub is_event_stream: bool,
    /// The body, as received.
    pub text: Vec<u8>,
    pub events: Vec<StreamEvent>,
    /// The answer came to its proper end.
    pub is_complete: bool,
    /// Nothing more is read, as the answer or the connection has ended.
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
    /// Sends a request, and reads nothing yet.
    pub fn send(mut connection: TcpStream, request: &str) -> StreamClient {
        connection.write_all(request.as_bytes()).expect("written");
        connection.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
        StreamClient {
            connection,
            inbox: Vec::new(),
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

    /// Sends a request and reads the head of the answer, and what comes with it.
    pub fn open(connection: TcpStream, request: &str) -> StreamClient {
        let mut client = StreamClient::send(connection, request);
        while client.body.is_none() && client.read_more() {}
        client
    }

    /// Reads once; whether more may come.
    ///
    /// # Errors
    ///
    /// The connection was reset, or nothing came for [`WAIT_TIMEOUT`].
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
        self.inbox.extend(&buffer[..count]);
        self.read_head();
        self.read_body();
        Ok(!self.is_ended)
    }

    /// Reads once; whether more may come. A connection that breaks has ended.
    pub fn read_more(&mut self) -> bool {
        self.try_read_more().unwrap_or(false)
    }

    fn read_head(&mut self) {
        if self.body.is_some() {
            return;
        }
        let Some(head) = http::read_response(&self.inbox).expect("an HTTP answer") else { return };
        self.status = head.status;
        self.head = String::from_utf8_lossy(&self.inbox[..head.len]).into_owned();
        self.is_event_stream = head.fields.text(&self.inbox, "content-type") == Some("text/event-stream");
        self.inbox.drain(..head.len);
        self.body = Some(Body::new(head.framing));
    }

    fn read_body(&mut self) {
        let Some(body) = &mut self.body else { return };
        let mut text = Vec::new();
        body.feed(&mut self.inbox, &mut text).expect("a sound body");
        self.is_complete = body.is_done();
        self.is_ended = self.is_complete;
        let events = &mut self.events;
        self.parser.feed(&text, |event| events.push(event)).expect("sound events");
        self.text.extend(text);
    }

    /// Reads until the answer ends, or until `is_enough` says so.
    ///
    /// # Panics
    ///
    /// The connection was reset, or nothing came for [`WAIT_TIMEOUT`].
    pub fn read_until(mut self, is_enough: impl Fn(&StreamClient) -> bool) -> StreamClient {
        loop {
            match self.try_read_more() {
                Ok(true) if !is_enough(&self) => {}
                Ok(_) => return self,
                Err(error) => panic!("{error} after {self:?}"),
            }
        }
    }

    /// Reads until the answer or the connection ends.
    pub fn read_to_end(mut self) -> StreamClient {
        while self.read_more() {}
        self
    }

    /// Reads until this many events have come, or the end; their ids and names.
    pub fn read_events(&mut self, count: usize) -> Vec<String> {
        while self.events.len() < count && self.read_more() {}
        self.ids_and_names()
    }

    /// The ids and names of all events, as `1 started`.
    pub fn ids_and_names(&self) -> Vec<String> {
        self.events.iter().map(|event| format!("{} {}", event.id, event.name)).collect()
    }

    /// The names of all events.
    pub fn names(&self) -> Vec<&str> {
        self.events.iter().map(|event| event.name.as_str()).collect()
    }

    /// How many final answers it holds: final events, or a plain answer that is complete.
    pub fn final_answers(&self) -> usize {
        let plain = usize::from(!self.is_event_stream && self.is_complete);
        plain + self.names().iter().filter(|name| FINAL_EVENTS.contains(name)).count()
    }

    /// How many empty comments came that keep a quiet stream alive.
    pub fn heartbeats(&self) -> usize {
        String::from_utf8_lossy(&self.text).matches(": alive\n").count()
    }

    /// After how many milliseconds the server asks the client to come back, if it says so.
    pub fn retry(&self) -> Option<u64> {
        self.parser.retry()
    }
}
