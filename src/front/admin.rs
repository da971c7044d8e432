//! The second address, for the staff and the platform: whether this process takes clients, its figures, and drain. One call
//! a connection; a 2xx answer means yes, any other no.

use super::platform::Reject;
use crate::http::{Piece, Request};

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// The figures.
    Counters,
    /// Drain: take leave of clients, and go on running.
    OutOfService,
    /// The end of a drain.
    InService,
}

/// Settles what a call asks for.
pub fn route(buf: &[u8], head: &Request) -> Result<Call, Reject> {
    let target = std::str::from_utf8(&buf[head.target.clone()]).map_err(|_| Reject::Bad)?;
    let (call, method) = match target.split(['?', '#']).next().unwrap_or("") {
        "/control/ready" => (Call::Ready, "GET"),
        "/control/counters" => (Call::Counters, "GET"),
        "/control/out-of-service" => (Call::OutOfService, "PUT"),
        "/control/in-service" => (Call::InService, "PUT"),
        _ => return Err(Reject::NoSuchPath),
    };
    if &buf[head.method.clone()] == method.as_bytes() { Ok(call) } else { Err(Reject::WrongMethod(method)) }
}

/// What is counted of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// Jobs served.
    pub served: u64,
    /// Jobs refused.
    pub denied: u64,
    /// Jobs failed.
    pub failed: u64,
}

/// What is noted of keyed jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateFigures {
    /// Keys that are remembered.
    pub keys: usize,
    /// Notes that could not be written.
    pub failures: u64,
    /// Repeats that got a kept result.
    pub repeats_answered: u64,
    /// Repeats of jobs that may have run: they went on in their pod only, or were failed.
    pub repeats_bound: u64,
    /// Keys forgotten before their time, for want of room.
    pub evicted: u64,
}

/// Jobs apart from their streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamFigures {
    /// Jobs that are known.
    pub jobs: usize,
    /// Streams that watch them.
    pub watchers: usize,
    /// Bytes that their events take.
    pub bytes: usize,
    /// Jobs handed in to be watched.
    pub handed_in: u64,
    /// Events that watchers were told they had missed.
    pub missed: u64,
    /// Progress left out for slow watchers.
    pub coalesced: u64,
    /// Finished jobs forgotten before their time.
    pub evicted: u64,
}

/// The figures of this process, counted from its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Each class, those without jobs included.
    pub classes: Vec<ClassFigures>,
    /// Attempts written whole to workers.
    pub dispatches_written: u64,
    /// Jobs taken and not ended.
    pub open: u64,
    /// Workers in the server table.
    pub listed: usize,
    /// Those of them that the module is avoiding.
    pub avoided: usize,
    /// Files accepted at SIGHUP.
    pub reloads: u64,
    /// Files turned down at SIGHUP.
    pub bad_reloads: u64,
    /// Where keyed jobs are noted.
    pub state: Option<StateFigures>,
    /// Where the SSE front is on.
    pub streams: Option<StreamFigures>,
}

/// The figures, a line each.
pub fn figures(figures: &Figures) -> Vec<Piece> {
    let mut text = String::new();
    let mut line = |name: &str, value: u64, kind: char| {
        text.push_str(&format!("dispatcher.{name}:{value}|{kind}\n"));
    };
    for class in &figures.classes {
        line(&format!("success.{}", class.name), class.served, 'c');
        line(&format!("busy.{}", class.name), class.denied, 'c');
        line(&format!("failure.{}", class.name), class.failed, 'c');
    }
    line("backend_calls", figures.dispatches_written, 'c');
    line("inflight", figures.open, 'g');
    line("hosts_listed", figures.listed as u64, 'g');
    line("hosts_down", figures.avoided as u64, 'g');
    line("reconfig_ok", figures.reloads, 'c');
    line("reconfig_failed", figures.bad_reloads, 'c');
    if let Some(state) = &figures.state {
        line("state_keys", state.keys as u64, 'g');
        line("state_failures", state.failures, 'c');
        line("state_repeats_answered", state.repeats_answered, 'c');
        line("state_repeats_bound", state.repeats_bound, 'c');
        line("state_evicted", state.evicted, 'c');
    }
    if let Some(streams) = &figures.streams {
        line("streams_jobs", streams.jobs as u64, 'g');
        line("streams_watchers", streams.watchers as u64, 'g');
        line("streams_bytes", streams.bytes as u64, 'g');
        line("streams_handed_in", streams.handed_in, 'c');
        line("streams_missed", streams.missed, 'c');
        line("streams_coalesced", streams.coalesced, 'c');
        line("streams_evicted", streams.evicted, 'c');
    }
    answer("200 OK", text)
}

/// Yes.
pub fn yes() -> Vec<Piece> {
    answer("200 OK", "yes\n".to_owned())
}

/// No, for now.
pub fn no() -> Vec<Piece> {
    answer("503 Service Unavailable", "no\n".to_owned())
}

fn answer(status: &str, text: String) -> Vec<Piece> {
    let length = text.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    vec![head.into(), text.into()]
}
