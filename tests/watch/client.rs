//! A client that submits a job and watches it by the location in the response.

use crate::event_stream::{FINAL_EVENTS, StreamClient};
use mothproxy_testkit::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Starts the program with its SSE listener on. Returns the program and the listener's address.
pub fn start_with_event_streams(workers: &[Arc<FakeWorker>]) -> (DispatcherProcess, SocketAddr) {
    let program = DispatcherProcess::builder(workers).event_streams(true).start();
    let sse = program.sse.expect("no SSE listener");
    (program, sse)
}

/// Submits a job with additional header fields. Returns the location of its stream.
pub fn submit(to: SocketAddr, id: &str, script: &str, extra_fields: &str) -> String {
    let fields = format!("Prefer: respond-async\r\n{extra_fields}");
    let reply = send(to, &job_request(id, "redeem", script, &fields)).expect("no complete response");
    assert_eq!(reply.status, 202, "{}", reply.head);
    let location = reply.header("Location").expect("no Location header").to_owned();
    let body: Value = serde_json::from_str(&reply.body).expect("not JSON");
    assert_eq!(body["stream"].as_str(), Some(location.as_str()));
    location
}

/// A GET request for a stream, with additional header fields.
pub fn get(location: &str, fields: &str) -> String {
    format!("GET {location} HTTP/1.1\r\nHost: n0\r\n{fields}\r\n")
}

/// Opens a stream and reads the head of the response.
pub fn open_stream(to: SocketAddr, location: &str, fields: &str) -> StreamClient {
    StreamClient::open(connect(to), &get(location, fields))
}

/// Opens a stream of the events after the one with this id.
pub fn resume_stream(to: SocketAddr, location: &str, last_event_id: &str) -> StreamClient {
    open_stream(to, location, &format!("Last-Event-ID: {last_event_id}\r\n"))
}

/// The status of a request for a stream of the events after the one with this id.
pub fn resume_status(to: SocketAddr, location: &str, last_event_id: &str) -> u16 {
    let request = get(location, &format!("Last-Event-ID: {last_event_id}\r\n"));
    send(to, &request).expect("no complete response").status
}

/// Waits until the last event of a job is this one, according to a new watcher.
pub fn wait_for_last_event(to: SocketAddr, location: &str, last: &str) {
    wait_until(&format!("the last event is {last}"), || {
        let stream = open_stream(to, location, "").read_to_end();
        stream.ids_and_names().last().is_some_and(|event| event == last)
    });
}

/// Watches a job to its end, with disconnects and resumptions at random points. Asserts that the job has one final event, after
/// all others, and that a later resumption is answered with 204. Returns the name of the final event.
pub fn follow(to: SocketAddr, location: &str, rng: &mut fastrand::Rng) -> String {
    let mut last_id = 0;
    let mut final_event = None;
    while final_event.is_none() {
        let mut stream = resume_stream(to, location, &last_id.to_string());
        assert_eq!(stream.status, 200);
        let events_to_read = rng.usize(0..4);
        let reads_all = rng.bool();
        while (reads_all || stream.events.len() < events_to_read) && stream.read_more() {}
        if stream.events.is_empty() {
            std::thread::sleep(Duration::from_millis(3)); // much shorter than the `retry` of the stream, to save time
        }
        for event in &stream.events {
            let id: u64 = event.id.parse().expect("event id is not a number");
            assert!(id > last_id, "event id {id} after {last_id}");
            assert_eq!(final_event, None, "event {} after the final event", event.name);
            last_id = id;
            final_event = FINAL_EVENTS.contains(&event.name.as_str()).then(|| event.name.clone());
        }
    }
    assert_eq!(resume_status(to, location, &last_id.to_string()), 204);
    final_event.unwrap_or_default()
}
