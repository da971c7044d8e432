//! A job continues without a watcher, and a watcher may resume its stream and get the missed events.

use crate::client::{
    open_stream, resume_status, resume_stream, start_with_event_streams, submit, wait_for_last_event,
};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use mothproxy::http::StreamEvent;
use mothproxy_testkit::*;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// A resumption of a stream and the events that it gets.
struct Resumption {
    fields: &'static str,
    query: &'static str,
    expected: &'static [&'static str],
}

/// Resumptions after different events, by header field and by query parameter, and one with an invalid id.
const RESUMPTIONS: [Resumption; 4] = [
    Resumption { fields: "Last-Event-ID: 2\r\n", query: "", expected: &["3 progress", "4 done"] },
    Resumption { fields: "", query: "&last_event_id=1", expected: &["2 progress", "3 progress", "4 done"] },
    Resumption { fields: "Last-Event-ID: 3\r\n", query: "&last_event_id=1", expected: &["4 done"] },
    Resumption {
        fields: "Last-Event-ID: nonsense\r\n",
        query: "",
        expected: &["1 started", "2 progress", "3 progress", "4 done"],
    },
];

/// A submitted job continues when its watcher disconnects. A watcher that resumes gets the events that it missed and the result;
/// one that has all events gets a 204, after which it must not reconnect.
#[test]
fn submitted_job_is_watched_resumed_and_finished() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", "take started running=0.2 wait=more running=0.7 done=paid", "");
    let mut first = open_stream(sse, &location, "Accept: text/event-stream\r\n");
    assert_eq!(first.status, 200);
    assert_eq!(first.read_events(2), ["1 started", "2 progress"]);
    assert!(first.head.contains("Cache-Control: no-store") && first.retry() == Some(500), "{}", first.head);
    drop(first); // the job continues
    worker.open_gate("more");
    wait_until("the job is done", || {
        resume_stream(sse, &location, "3").read_to_end().ids_and_names() == ["4 done"]
    });
    for Resumption { fields, query, expected } in RESUMPTIONS {
        let stream = open_stream(sse, &format!("{location}{query}"), fields).read_to_end();
        assert_eq!((stream.status, stream.ids_and_names().as_slice()), (200, &to_strings(expected)[..]));
        assert_eq!(stream.events.last().map(|event| event.data.as_str()), Some("{\"result\":\"paid\"}"));
    }
    assert_eq!(resume_status(sse, &location, "4"), 204, "resumption after the final event");
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["served"]), (1, 1));
}

fn to_strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

/// The events of a stream, as the independent library `eventsource_stream` reads them.
fn read_independently(text: &[u8]) -> Vec<StreamEvent> {
    let chunks = text.chunks(7).map(|chunk| Ok::<_, std::io::Error>(chunk.to_vec()));
    let events = futures_util::stream::iter(chunks).eventsource().collect::<Vec<_>>();
    futures_executor::block_on(events)
        .into_iter()
        .map(|event| event.expect("invalid event"))
        .map(|event| StreamEvent { name: event.event, data: event.data, id: event.id })
        // Contrary to the standard, that library reports a block with only a `retry` field as an event without data.
        .filter(|event| !event.data.is_empty())
        .collect()
}

/// An independent library reads the same events from a stream as this project's own reader.
#[test]
fn independent_reader_gets_same_events() {
    let worker = FakeWorker::start("s-1");
    let (_program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", "take started running=0.5 done=two\\nlines", "");
    let mut stream = open_stream(sse, &location, "").read_to_end();
    if stream.names().last() != Some(&"done") {
        stream = open_stream(sse, &location, "").read_to_end();
    }
    let events = read_independently(&stream.text);
    assert_eq!(events, stream.events);
    assert!(events.len() >= 2);
}

/// A job without a watcher is cancelled if it was submitted with `X-Unwatched: end`, and continues otherwise.
#[test]
fn cancels_only_unwatched_job_that_asked_for_it() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let ends_unwatched = submit(sse, "a1", "take started hang", "X-Unwatched: end\r\n");
    let continues = submit(sse, "a2", "take started wait=go done=x", "");
    let mut watched = open_stream(sse, &ends_unwatched, "");
    assert_eq!(watched.read_events(1), ["1 started"]);
    drop(watched);
    wait_until("the unwatched job is cancelled", || worker.has_received("DELETE /jobs/a1"));
    worker.open_gate("go");
    wait_for_last_event(sse, &continues, "2 done");
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["served"], metrics["gone"]), (2, 1, 1));
}

/// Guards against final events that end with a process that stops: it ended as soon as the job had, although the client, whose
/// stream had broken, had been told to come back later.
#[test]
fn a_process_that_stops_waits_for_the_watcher_of_a_finished_job() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", "take started wait=go done=after", "");
    let mut watched = open_stream(sse, &location, "");
    assert_eq!(watched.read_events(1), ["1 started"]);
    program.terminate();
    drop(watched);
    worker.open_gate("go");
    // Without the wait, the process ends 0.7 s after SIGTERM, or as soon after that as the job has ended.
    std::thread::sleep(Duration::from_millis(2_500));
    let resumed = resume_stream(sse, &location, "1");
    assert_eq!(resumed.read_to_end().ids_and_names(), ["2 done"]);
    assert!(program.wait_for_exit().0, "the process exited with an error");
}

/// A process that stops tells watchers to come back soon, since the job's events are nowhere else.
#[test]
fn a_process_that_stops_tells_watchers_to_come_back_soon() {
    let worker = FakeWorker::start("s-1");
    let (mut program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", "take started wait=go done=after", "");
    program.terminate();
    program.wait_for_log("shutdown started");
    let watched = open_stream(sse, &location, "");
    worker.open_gate("go");
    assert_eq!(watched.read_to_end().retry(), Some(500));
}

/// Starts a process, which takes over from the one that listens at these addresses, if there is one. Both share the folder.
fn start_in(
    folder: &Path,
    workers: &[Arc<FakeWorker>],
    listen: &str,
    sse: Option<SocketAddr>,
) -> DispatcherProcess {
    let file = folder.join("sse.toml");
    let sse_listen = sse.map_or("127.0.0.1:0".to_owned(), |address| address.to_string());
    std::fs::write(&file, format!("listen = \"{sse_listen}\"\n")).expect("write failed");
    let args = [std::ffi::OsStr::new("--sse"), file.as_os_str()];
    DispatcherProcess::builder(workers)
        .temp_dir(folder)
        .args(&args)
        .configure(|config| config["listen"] = json!(listen))
        .start()
}

/// In a hot restart streams end without a final event. Their watchers resume at the successor, which has both the open jobs and
/// the finished ones.
#[test]
fn hot_restart_sends_watchers_to_successor() {
    let folder = tempfile::tempdir().expect("cannot create the temporary directory");
    let worker = FakeWorker::start("s-1");
    let workers = std::slice::from_ref(&worker);
    let predecessor = start_in(folder.path(), workers, "127.0.0.1:0", None);
    let sse = predecessor.sse.expect("no SSE listener");
    let done = submit(sse, "a1", "take started done=before", "");
    wait_for_last_event(sse, &done, "2 done");
    let location = submit(sse, "a2", "take started running=0.3 wait=go running=0.6 done=after", "");
    let mut watching = open_stream(sse, &location, "");
    assert_eq!(watching.read_events(2), ["1 started", "2 progress"]);
    let successor = start_in(folder.path(), workers, &predecessor.platform.to_string(), Some(sse));
    assert_eq!(successor.sse, Some(sse));
    let watched = watching.read_to_end();
    assert_eq!(
        watched.ids_and_names(),
        ["1 started", "2 progress"],
        "the stream must end without a final event"
    );
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0, "the predecessor exited with an error");
    let resumed = resume_stream(sse, &location, "2");
    assert_eq!(resumed.status, 200);
    worker.open_gate("go");
    // Progress is omitted if the end of the job is handled in the same event-loop iteration.
    let names = resumed.read_to_end().ids_and_names();
    assert!(names == ["3 progress", "4 done"] || names == ["4 done"], "{names:?}");
    let done = open_stream(sse, &done, "").read_to_end();
    assert_eq!(done.ids_and_names(), ["1 started", "2 done"], "the finished job was not handed over");
    drop(successor);
}
