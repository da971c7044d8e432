//! Watchers that read slowly miss progress, and never the end.

use crate::client::{get, open_stream, resume_status, resume_stream, start_with_event_streams, submit};
use crate::event_stream::StreamClient;
use mothproxy_testkit::*;
use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Progress events of a job that says far more than a slow watcher can read.
const FLOOD: usize = 20_000;

/// A reader that takes a few bytes now and then loses progress, and never the end; the program holds little for it.
#[test]
fn slow_watcher_loses_progress_but_not_final_event() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let script = format!("stream started wait=go flood={FLOOD} wait=end done=x");
    let location = submit(sse, "a1", &script, "");
    let mut slow = connect(sse);
    slow.write_all(get(&location, "").as_bytes()).expect("written");
    assert!(slow.read(&mut [0; 64]).expect("read") > 0);
    worker.open_gate("go");
    wait_until("the flood is over", || worker.has_received("flooded"));
    std::thread::sleep(Duration::from_millis(300));
    worker.open_gate("end");
    slow.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    while !received.ends_with(b"0\r\n\r\n") {
        let count = slow.read(&mut buffer).expect("read");
        assert!(count > 0, "it ended early");
        received.extend(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&received);
    assert!(text.contains("event: done"), "its end is there");
    let progress = text.matches("event: progress").count();
    assert!(progress < FLOOD, "{progress} progress events were held for it");
    assert_eq!(worker.job_count.load(Ordering::SeqCst), 1);
    drop(program);
}

/// Asserts that a stream has this end once, with ids in order and a part of the progress.
fn assert_ends_once(stream: &StreamClient, end: &str) {
    let names = stream.ids_and_names();
    let ends = names.iter().filter(|name| name.ends_with(" done")).count();
    assert_eq!((names.last().map(String::as_str), ends), (Some(end), 1));
    // What was left out is told by an event without an id.
    let ids = stream.events.iter().map(|event| event.id.as_str()).filter(|id| !id.is_empty());
    let ids: Vec<u64> = ids.map(|id| id.parse().expect("a number")).collect();
    assert!(ids.is_sorted_by(|one, next| one < next), "{ids:?}");
    assert!(names.len() < FLOOD, "progress is left out");
}

/// A watcher whose final event is still on its way to it comes back on another connection: it has the end on both, once on each.
#[test]
fn reconnect_during_final_event_gets_it() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", &format!("stream started wait=go flood={FLOOD} done=x"), "");
    let slow = connect(sse);
    rustix::net::sockopt::set_socket_recv_buffer_size(&slow, 4096).expect("a socket option");
    let mut slow = StreamClient::open(slow, &get(&location, ""));
    assert_eq!(slow.read_events(1), ["1 started"]);
    let quick = open_stream(sse, &location, "");
    worker.open_gate("go");
    // Another has the whole of it: the job is over, and the slow one has read nothing since its start.
    let quick = quick.read_to_end();
    let end = quick.ids_and_names().last().cloned().unwrap_or_default();
    assert!(end.ends_with(" done"), "{end}");
    let back = resume_stream(sse, &location, "1").read_to_end();
    let slow = slow.read_to_end();
    assert_ends_once(&back, &end);
    assert_ends_once(&slow, &end);
    let last_id = end.split(' ').next().unwrap_or_default();
    assert_eq!(resume_status(sse, &location, last_id), 204);
    assert_eq!(program.shut_down_for_metrics()["served"], 1);
}
