//! Clients that hand a job in and watch it by its own address.

use crate::event_stream::{FINAL_EVENTS, StreamClient};
use mothproxy_testkit::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Starts the program with its SSE listener on; where that listens.
pub fn start_with_event_streams(workers: &[Arc<FakeWorker>]) -> (DispatcherProcess, SocketAddr) {
    let program = DispatcherProcess::builder(workers).event_streams(true).start();
    let sse = program.sse.expect("the SSE listener is on");
    (program, sse)
}

/// Hands a job in, with header fields beside the usual ones; the location of its stream.
pub fn submit(to: SocketAddr, id: &str, script: &str, extra_fields: &str) -> String {
    let fields = format!("Prefer: respond-async\r\n{extra_fields}");
    let reply = send(to, &job_request(id, "redeem", script, &fields)).expect("an answer");
    assert_eq!(reply.status, 202, "{}", reply.head);
    let location = reply.header("Location").expect("a location").to_owned();
    let body: Value = serde_json::from_str(&reply.body).expect("JSON");
    assert_eq!(body["stream"].as_str(), Some(location.as_str()));
    location
}

/// The request for a stream.
pub fn get(location: &str, fields: &str) -> String {
    format!("GET {location} HTTP/1.1\r\nHost: n0\r\n{fields}\r\n")
}

/// Opens a stream and reads the head of the answer.
pub fn open_stream(to: SocketAddr, location: &str, fields: &str) -> StreamClient {
    StreamClient::open(connect(to), &get(location, fields))
}

/// Opens a stream after the event of this id.
pub fn resume_stream(to: SocketAddr, location: &str, last_event_id: &str) -> StreamClient {
    open_stream(to, location, &format!("Last-Event-ID: {last_event_id}\r\n"))
}

/// The status of a request to watch a job after the event of this id.
pub fn resume_status(to: SocketAddr, location: &str, last_event_id: &str) -> u16 {
    let request = get(location, &format!("Last-Event-ID: {last_event_id}\r\n"));
    send(to, &request).expect("an answer").status
}

/// Waits until the last event of a job is this one, read by a watcher that has none yet.
pub fn wait_for_last_event(to: SocketAddr, location: &str, last: &str) {
    wait_until(&format!("the last event is {last}"), || {
        let stream = open_stream(to, location, "").read_to_end();
        stream.ids_and_names().last().is_some_and(|event| event == last)
    });
}

/// Watches a job to its end, dropping and coming back at any point: it has one final event, after all others. Then it is over.
/// Returns the name of the final event.
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
            std::thread::sleep(Duration::from_millis(3)); // as `retry:` asks, only sooner
        }
        for event in &stream.events {
            let id: u64 = event.id.parse().expect("a number");
            assert!(id > last_id, "{id} after {last_id}");
            assert_eq!(final_event, None, "{} after the final event", event.name);
            last_id = id;
            final_event = FINAL_EVENTS.contains(&event.name.as_str()).then(|| event.name.clone());
        }
    }
    assert_eq!(resume_status(to, location, &last_id.to_string()), 204);
    final_event.unwrap_or_default()
}
