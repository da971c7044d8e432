//! A parser and an encoder of event streams (`text/event-stream`; WHATWG HTML standard, "Server-sent events").

use thiserror::Error;

/// The maximum length of an event, in bytes. An event with the longest possible result of a job fits.
const MAX_EVENT_LENGTH: usize = 2 * super::MAX_BODY;
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's name; empty if the stream gives none.
    pub name: String,
    /// The event's data; its lines are joined by line feeds.
    pub data: String,
    /// The stream's last event id when the event was dispatched. An id applies to later events until the stream sends another.
    pub id: String,
}

/// An event exceeds the maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an event of the stream is longer than {MAX_EVENT_LENGTH} bytes")]
pub struct EventTooLarge;

/// Parses an event stream whose bytes may arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct EventStream {
    /// The line that is being read.
    line: Vec<u8>,
    /// Whether the last byte was a carriage return. A line feed after a carriage return belongs to the same line end.
    ended_with_cr: bool,
    /// Whether the first line has been read. Only that line may begin with a byte order mark.
    is_past_first_line: bool,
    /// The event that is being read.
    event: StreamEvent,
    /// Whether the current event has a `data` field. An event without one is not dispatched.
    has_data: bool,
    last_event_id: String,
    retry_ms: Option<u64>,
}

impl EventStream {
    /// Parses more bytes of the stream and calls `on_event` for each complete event.
    ///
    /// # Errors
    /// [`EventTooLarge`] if an event exceeds the maximum length. The parser cannot be used after an error.
    pub fn feed(&mut self, input: &[u8], mut on_event: impl FnMut(StreamEvent)) -> Result<(), EventTooLarge> {
        for &byte in input {
            let completes_crlf = std::mem::take(&mut self.ended_with_cr) && byte == b'\n';
            match byte {
                b'\n' if completes_crlf => {}
                b'\r' | b'\n' => {
                    self.ended_with_cr = byte == b'\r';
                    let line = std::mem::take(&mut self.line);
                    if let Some(event) = self.on_line(&line) {
                        on_event(event);
                    }
                }
                _ => self.line.push(byte),
            }
            if self.line.len() + self.event.data.len() > MAX_EVENT_LENGTH {
                return Err(EventTooLarge);
            }
        }
        Ok(())
    }

    /// The last event id, which a client sends when it reconnects; empty if there is none.
    pub fn last_id(&self) -> &str {
        &self.last_event_id
    }

    /// How long a client should wait before it reconnects, in milliseconds; `None` if the stream has not sent a `retry` field.
    pub fn retry(&self) -> Option<u64> {
        self.retry_ms
    }

    /// Handles a line without its line end. A blank line dispatches the event.
    fn on_line(&mut self, line: &[u8]) -> Option<StreamEvent> {
        let is_first_line = !std::mem::replace(&mut self.is_past_first_line, true);
        let line = line.strip_prefix(BYTE_ORDER_MARK).filter(|_| is_first_line).unwrap_or(line);
        if line.is_empty() {
            return self.dispatch();
        }
        let text = String::from_utf8_lossy(line);
        let (field, value) = text.split_once(':').unwrap_or((&text, ""));
        self.on_field(field, value.strip_prefix(' ').unwrap_or(value));
        None
    }

    fn dispatch(&mut self) -> Option<StreamEvent> {
        let mut event = std::mem::take(&mut self.event);
        event.id.clone_from(&self.last_event_id);
        std::mem::take(&mut self.has_data).then_some(event)
    }

    fn on_field(&mut self, field: &str, value: &str) {
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            "id" if !value.contains('\0') => self.last_event_id = value.to_owned(),
            "retry" if !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit()) => {
                self.retry_ms = value.parse().ok().or(self.retry_ms);
            }
            _ => {} // comments (an empty field name), ids with NUL and unknown fields are ignored
        }
    }
}

/// Encodes one event. Each line of the data is written as a `data` field of its own.
pub fn write_event(name: &str, data: &str) -> Vec<u8> {
    let mut out = format!("event: {name}\n");
    for line in data.split(['\n', '\r']) {
        out.push_str("data: ");
        out.push_str(line);
        out.push('\n');
    }
    out.push('\n');
    out.into_bytes()
}
