//! A job goes on without its watcher, who may come back for what was missed.

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

/// A watcher that comes back, and what it gets.
struct Resumption {
    fields: &'static str,
    query: &'static str,
    expected: &'static [&'static str],
}

/// Watchers that had got to different places, one of them by the query; and ones that had nothing.
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

/// A job that is handed in goes on when its watcher drops; who comes back gets what it has not had, and its result; who has
/// all is told not to come back.
#[test]
fn submitted_job_is_watched_resumed_and_finished() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", "take started running=0.2 wait=more running=0.7 done=paid", "");
    let mut first = open_stream(sse, &location, "Accept: text/event-stream\r\n");
    assert_eq!(first.status, 200);
    assert_eq!(first.read_events(2), ["1 started", "2 progress"]);
    assert!(first.head.contains("Cache-Control: no-store") && first.retry() == Some(500), "{}", first.head);
    drop(first); // the job goes on
    worker.open_gate("more");
    wait_until("the job is done", || {
        resume_stream(sse, &location, "3").read_to_end().ids_and_names() == ["4 done"]
    });
    for Resumption { fields, query, expected } in RESUMPTIONS {
        let stream = open_stream(sse, &format!("{location}{query}"), fields).read_to_end();
        assert_eq!((stream.status, stream.ids_and_names().as_slice()), (200, &to_strings(expected)[..]));
        assert_eq!(stream.events.last().map(|event| event.data.as_str()), Some("{\"result\":\"paid\"}"));
    }
    assert_eq!(resume_status(sse, &location, "4"), 204, "there is nothing to come back for");
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["served"]), (1, 1));
}

fn to_strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

/// The events of a stream, as a library of somebody else's reads them.
fn read_independently(text: &[u8]) -> Vec<StreamEvent> {
    let chunks = text.chunks(7).map(|chunk| Ok::<_, std::io::Error>(chunk.to_vec()));
    let events = futures_util::stream::iter(chunks).eventsource().collect::<Vec<_>>();
    futures_executor::block_on(events)
        .into_iter()
        .map(|event| event.expect("an event"))
        .map(|event| StreamEvent { name: event.event, data: event.data, id: event.id })
        // That library hands on `retry` alone as an event without data; the standard does not.
        .filter(|event| !event.data.is_empty())
        .collect()
}

/// Somebody else's library reads the same events from a stream as our own reader.
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

/// A job that nobody watches is cancelled if it was handed in with that wish, and goes on otherwise.
#[test]
fn cancels_only_unwatched_job_that_asked_for_it() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let ends = submit(sse, "a1", "take started hang", "X-Unwatched: end\r\n");
    let goes_on = submit(sse, "a2", "take started wait=go done=x", "");
    let mut watched = open_stream(sse, &ends, "");
    assert_eq!(watched.read_events(1), ["1 started"]);
    drop(watched);
    wait_until("it is given up", || worker.has_received("DELETE /jobs/a1"));
    worker.open_gate("go");
    wait_for_last_event(sse, &goes_on, "2 done");
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["served"], metrics["gone"]), (2, 1, 1));
}

/// Starts a process that takes over from one that listens there, if one does. Both share the folder.
fn start_in(
    folder: &Path,
    workers: &[Arc<FakeWorker>],
    listen: &str,
    sse: Option<SocketAddr>,
) -> DispatcherProcess {
    let file = folder.join("sse.toml");
    let sse_listen = sse.map_or("127.0.0.1:0".to_owned(), |address| address.to_string());
    std::fs::write(&file, format!("listen = \"{sse_listen}\"\n")).expect("written");
    let args = [std::ffi::OsStr::new("--sse"), file.as_os_str()];
    DispatcherProcess::builder(workers)
        .temp_dir(folder)
        .args(&args)
        .configure(|config| config["listen"] = json!(listen))
        .start()
}

/// At a hot restart streams end without a final event; their watchers come back to the successor, which has the jobs that run and
/// those that are done.
#[test]
fn hot_restart_sends_watchers_to_successor() {
    let folder = tempfile::tempdir().expect("a folder");
    let worker = FakeWorker::start("s-1");
    let workers = std::slice::from_ref(&worker);
    let predecessor = start_in(folder.path(), workers, "127.0.0.1:0", None);
    let sse = predecessor.sse.expect("the SSE listener is on");
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
        "its stream ended without its final event"
    );
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0, "the predecessor ends cleanly");
    let back = resume_stream(sse, &location, "2");
    assert_eq!(back.status, 200);
    worker.open_gate("go");
    // Progress that the end overtakes within one turn is left out.
    let names = back.read_to_end().ids_and_names();
    assert!(names == ["3 progress", "4 done"] || names == ["4 done"], "{names:?}");
    let done = open_stream(sse, &done, "").read_to_end();
    assert_eq!(done.ids_and_names(), ["1 started", "2 done"], "it went over too");
    drop(successor);
}
