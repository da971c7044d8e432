//! Watchers that read slowly miss progress events, but never the final event.

use crate::client::{get, open_stream, resume_status, resume_stream, start_with_event_streams, submit};
use crate::event_stream::StreamClient;
use mothproxy_testkit::*;
use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The progress events of a job that reports far more than a slow watcher can read.
const FLOOD: usize = 20_000;

/// A watcher that reads only a few bytes at first misses progress events, but not the final event. The program does not buffer
/// all events for it.
#[test]
fn slow_watcher_loses_progress_but_not_final_event() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let script = format!("stream started wait=go flood={FLOOD} wait=end done=x");
    let location = submit(sse, "a1", &script, "");
    let mut slow = connect(sse);
    slow.write_all(get(&location, "").as_bytes()).expect("write failed");
    assert!(slow.read(&mut [0; 64]).expect("read failed") > 0);
    worker.open_gate("go");
    wait_until("the worker has sent all progress", || worker.has_received("flooded"));
    std::thread::sleep(Duration::from_millis(300));
    worker.open_gate("end");
    slow.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    while !received.ends_with(b"0\r\n\r\n") {
        let count = slow.read(&mut buffer).expect("read failed");
        assert!(count > 0, "connection closed before the end of the stream");
        received.extend(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&received);
    assert!(text.contains("event: done"), "no final event");
    let progress = text.matches("event: progress").count();
    assert!(progress < FLOOD, "all {progress} progress events were buffered");
    assert_eq!(worker.job_count.load(Ordering::SeqCst), 1);
    drop(program);
}

/// Asserts that a stream ends with this event, that it has one final event, and that it has only a part of the progress events,
/// with ascending ids.
fn assert_ends_once(stream: &StreamClient, end: &str) {
    let names = stream.ids_and_names();
    let ends = names.iter().filter(|name| name.ends_with(" done")).count();
    assert_eq!((names.last().map(String::as_str), ends), (Some(end), 1));
    // An event without an id reports omitted events.
    let ids = stream.events.iter().map(|event| event.id.as_str()).filter(|id| !id.is_empty());
    let ids: Vec<u64> = ids.map(|id| id.parse().expect("event id is not a number")).collect();
    assert!(ids.is_sorted_by(|one, next| one < next), "{ids:?}");
    assert!(names.len() < FLOOD, "no progress event was omitted: {} events", names.len());
}

/// A watcher resumes on a second connection while the final event is still in transit on the first: it gets the final event once
/// on each of them.
#[test]
fn reconnect_during_final_event_gets_it() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", &format!("stream started wait=go flood={FLOOD} done=x"), "");
    let slow = connect(sse);
    rustix::net::sockopt::set_socket_recv_buffer_size(&slow, 4096).expect("cannot set socket option");
    let mut slow = StreamClient::open(slow, &get(&location, ""));
    assert_eq!(slow.read_events(1), ["1 started"]);
    let quick = open_stream(sse, &location, "");
    worker.open_gate("go");
    // Once another watcher has read the whole stream, the job is over. The slow one has read only the first event until then.
    let quick = quick.read_to_end();
    let end = quick.ids_and_names().last().cloned().unwrap_or_default();
    assert!(end.ends_with(" done"), "{end}");
    let resumed = resume_stream(sse, &location, "1").read_to_end();
    let slow = slow.read_to_end();
    assert_ends_once(&resumed, &end);
    assert_ends_once(&slow, &end);
    let last_id = end.split(' ').next().unwrap_or_default();
    assert_eq!(resume_status(sse, &location, last_id), 204);
    assert_eq!(program.shut_down_for_metrics()["served"], 1);
}
