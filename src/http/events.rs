//! Event streams (`text/event-stream`), read as the WHATWG HTML standard words it, and written.

/// The longest event that is kept; the result of a job fits.
const MAX_EVENT: usize = 2 * super::MAX_BODY;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its name; empty where the stream gives none.
    pub name: String,
    /// Its data, lines joined by a line feed.
    pub data: String,
    /// The stream's last event id when it was dispatched; it holds for later events until another comes.
    pub id: String,
}

/// An event grew past all bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// Reads an event stream across any cuts.
#[derive(Debug, Default)]
pub struct EventStream {
    line: Vec<u8>,
    after_cr: bool,
    past_start: bool,
    event: StreamEvent,
    has_data: bool,
    last_id: String,
    retry: Option<u64>,
}

impl EventStream {
    /// Takes bytes and hands each complete event on.
    pub fn feed(&mut self, input: &[u8], mut each: impl FnMut(StreamEvent)) -> Result<(), EventTooLarge> {
        for &byte in input {
            let after_cr = std::mem::take(&mut self.after_cr);
            match byte {
                b'\n' if after_cr => {}
                b'\r' | b'\n' => {
                    self.after_cr = byte == b'\r';
                    let line = std::mem::take(&mut self.line);
                    each_complete(self.end_line(&line), &mut each);
                }
                _ => self.line.push(byte),
            }
            if self.line.len() + self.event.data.len() > MAX_EVENT {
                return Err(EventTooLarge);
            }
        }
        Ok(())
    }

    /// The last event id that a reconnect would send; empty where there is none.
    pub fn last_id(&self) -> &str {
        &self.last_id
    }

    /// How long the stream wants a reconnect to wait, in milliseconds, if it said so.
    pub fn retry(&self) -> Option<u64> {
        self.retry
    }

    fn end_line(&mut self, line: &[u8]) -> Option<StreamEvent> {
        let line = match std::mem::replace(&mut self.past_start, true) {
            false => line.strip_prefix(b"\xef\xbb\xbf").unwrap_or(line),
            true => line,
        };
        if line.is_empty() {
            let mut event = std::mem::take(&mut self.event);
            event.id.clone_from(&self.last_id);
            return std::mem::take(&mut self.has_data).then_some(event);
        }
        let text = String::from_utf8_lossy(line);
        let (field, value) = text.split_once(':').unwrap_or((&text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            "id" if !value.contains('\0') => self.last_id = value.to_owned(),
            "retry" if !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit()) => {
                self.retry = value.parse().ok().or(self.retry);
            }
            _ => {} // comments (an empty field name), ids with NUL, and whatever is unknown
        }
        None
    }
}

fn each_complete(event: Option<StreamEvent>, each: &mut impl FnMut(StreamEvent)) {
    if let Some(event) = event {
        each(event);
    }
}

/// One event as bytes; data of several lines takes several `data` fields.
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
