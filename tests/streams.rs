//! Progress streams over real sockets, with test double clients and card workers: each job gets exactly one final event.

use mothproxy::http::{self, Body, EventStream, StreamEvent};
use mothproxy_testkit::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;

const ACCEPT: &str = "Accept: text/event-stream\r\n";

/// What a client saw of one request.
#[derive(Debug, Default)]
struct Seen {
    status: u16,
    head: String,
    streams: bool,
    events: Vec<StreamEvent>,
    heartbeats: usize,
    /// The answer came to its proper end.
    whole: bool,
}

impl Seen {
    fn finals(&self) -> usize {
        let last = |e: &&StreamEvent| matches!(e.name.as_str(), "done" | "deny" | "failed");
        let plain = usize::from(!self.streams && self.whole);
        plain + self.events.iter().filter(last).count()
    }

    fn names(&self) -> Vec<&str> {
        self.events.iter().map(|e| e.name.as_str()).collect()
    }

    fn data(&self, n: usize) -> Value {
        serde_json::from_str(&self.events[n].data).expect("JSON")
    }
}

/// Sends a job and reads its answer until it ends, or until `enough` says so: then the client drops.
fn watch(to: SocketAddr, request: &str, enough: impl Fn(&Seen) -> bool) -> Seen {
    let mut stream = connect(to);
    stream.write_all(request.as_bytes()).expect("written");
    read_stream(&mut stream, enough)
}

fn read_stream(stream: &mut TcpStream, enough: impl Fn(&Seen) -> bool) -> Seen {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let (mut seen, mut inbox, mut buf) = (Seen::default(), Vec::new(), [0; 16 * 1024]);
    let (mut body, mut events) = (None::<Body>, EventStream::default());
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return seen,
            Ok(read) => inbox.extend(&buf[..read]),
            Err(error) => panic!("{error} after {seen:?}"),
        }
        if body.is_none() {
            let Some(head) = http::read_response(&inbox).expect("an HTTP answer") else { continue };
            seen.status = head.status;
            seen.head = String::from_utf8_lossy(&inbox[..head.len]).into_owned();
            seen.streams = head.fields.text(&inbox, "content-type") == Some("text/event-stream");
            inbox.drain(..head.len);
            body = Some(Body::new(head.framing));
        }
        let (Some(body), mut read) = (&mut body, Vec::new()) else { continue };
        body.feed(&mut inbox, &mut read).expect("a sound body");
        seen.heartbeats += String::from_utf8_lossy(&read).matches(": alive\n").count();
        events.feed(&read, |event| seen.events.push(event)).expect("small events");
        seen.whole = body.is_done();
        if seen.whole || enough(&seen) {
            return seen;
        }
    }
}

fn fleet(workers: usize) -> (Vec<Arc<FakeWorker>>, DispatcherProcess, SocketAddr) {
    let workers: Vec<Arc<FakeWorker>> = (0..workers).map(|n| FakeWorker::start(&format!("s-{n}"))).collect();
    let program = DispatcherProcess::builder(&workers).event_streams(true).start();
    let sse = program.sse.expect("the SSE front is on");
    (workers, program, sse)
}

#[test]
fn events_arrive_in_order_and_end_with_result() {
    let (_nodes, program, sse) = fleet(2);
    for (id, body) in
        [("a0", "stream started running=0.25 done=x"), ("a1", "take started running=0.25 done=x")]
    {
        let seen = watch(sse, &job_request(id, "redeem", body, ACCEPT), |_| false);
        assert_eq!((seen.status, seen.streams, seen.whole), (200, true, true));
        assert_eq!(seen.names(), ["started", "progress", "done"], "{body}");
        assert_eq!(
            (seen.data(1)["share"].clone(), seen.data(2)["result"].clone()),
            (0.25.into(), "x".into())
        );
    }
    // Without the field the answer is a plain one, and on the platform's front it always is.
    let plain = send(sse, &job_request("a2", "redeem", "stream started done=x", "")).expect("an answer");
    assert_eq!((plain.status, plain.body.as_str()), (200, "x"));
    let plain = send(program.platform, &job_request("a3", "redeem", "stream started done=x", ACCEPT))
        .expect("an answer");
    assert_eq!((plain.status, plain.body.as_str()), (200, "x"));
    // Call-backs and the front layer's question belong to the platform's front alone.
    assert_eq!(send(sse, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n").expect("an answer").status, 404);
}

#[test]
fn failures_are_plain_before_stream_and_events_after() {
    let (_nodes, _program, sse) = fleet(2);
    let send_job = |id: &str, class: &str, body: &str| {
        // Only what ends by its deadline needs a short one.
        let left = if ["full", "stream started running=0.1 returned"].contains(&body) { 7000 } else { 1500 };
        let extra = format!("{ACCEPT}X-Time-Left-Ms: {left}\r\n");
        watch(sse, &job_request(id, class, body, &extra), |_| false)
    };
    // Of a class that may be denied even if a dispatch was not taken in time, as happens on a machine that is very busy.
    let seen = send_job("b0", "balance", "full");
    assert_eq!((seen.status, seen.streams, seen.finals()), (503, false, 1));
    assert!(seen.head.contains("\r\nRetry-After: "), "{}", seen.head);
    let seen = send_job("b1", "redeem", "take hang");
    assert_eq!((seen.status, seen.streams, seen.finals()), (504, false, 1));
    let seen = send_job("b2", "balance", "stream started running=0.1 returned");
    assert_eq!((seen.status, seen.streams, seen.finals()), (200, true, 1));
    assert_eq!(seen.names().last(), Some(&"deny"));
    assert!(seen.data(seen.events.len() - 1)["retry_after"].as_f64().is_some_and(|s| s > 0.0));
    let seen = send_job("b3", "redeem", "stream started running=0.1 failed");
    assert_eq!((seen.names().last(), seen.finals()), (Some(&"failed"), 1));
    // The worker tells progress once and then nothing: the deadline ends the session.
    let seen = send_job("b4", "redeem", "stream started running=0.1 hang");
    assert_eq!((seen.names(), seen.finals()), (vec!["started", "progress", "failed"], 1));
    assert_eq!(seen.data(2)["status"], 504);
    assert!(seen.heartbeats > 0, "a quiet stream is kept alive");
}

/// A client that reads nothing while its worker tells much: progress is dropped, the final event is not.
#[test]
fn slow_reader_loses_progress_but_not_final_event() {
    const FLOOD: usize = 15_000;
    // Two: on a machine that is very busy, one may not take the job in time.
    let workers = [FakeWorker::start("s-0"), FakeWorker::start("s-1")];
    let with_control = |config: &mut serde_json::Value| config["admin_addr"] = "127.0.0.1:0".into();
    let program = DispatcherProcess::builder(&workers).event_streams(true).configure(with_control).start();
    let control = program.admin.expect("a second address");
    let mut stream = connect(program.sse.expect("the SSE front is on"));
    // Far less than the flood. What waits here and in the kernel is read within some milliseconds; through a window of 4 KB it took
    // over a second, and an answer of which nothing can be written for 2.5 s is given up.
    rustix::net::sockopt::set_socket_recv_buffer_size(&stream, 64 * 1024).expect("a socket option");
    let body = format!("stream started flood={FLOOD} done=x");
    stream.write_all(job_request("c0", "balance", &body, ACCEPT).as_bytes()).expect("written");
    wait_until("a node has told all", || workers.iter().any(|worker| worker.has_received("flooded")));
    // Nothing is read before the program has seen all of it, or it might pass on all it is told, at its leisure.
    wait_until("the session ends", || {
        let metrics = send(control, "GET /control/counters HTTP/1.1\r\nHost: n0\r\n\r\n").expect("figures");
        metrics.body.contains("dispatcher.inflight:0|g")
    });
    let seen = read_stream(&mut stream, |_| false);
    assert_eq!((seen.finals(), seen.names().last(), seen.whole), (1, Some(&"done"), true));
    let progress = seen.events.iter().filter(|e| e.name == "progress").count();
    assert!(progress > 0 && progress < FLOOD, "{progress} of {FLOOD}");
    assert_eq!(program.shut_down_for_metrics()["served"], 1);
}

/// What a worker sends in one event is bounded: past 128 KiB its stream is given up like one that broke, and nothing else is.
#[test]
fn oversized_event_ends_only_its_stream() {
    let (workers, program, sse) = fleet(2);
    let mut other = connect(sse);
    let other_body = "stream started wait=big running=0.5 done=y";
    other.write_all(job_request("f0", "balance", other_body, ACCEPT).as_bytes()).expect("written");
    wait_until("it runs", || {
        workers.iter().any(|worker| worker.job_count.load(std::sync::atomic::Ordering::SeqCst) > 0)
    });
    // The job is held for another worker until its time is over.
    let extra = format!("{ACCEPT}X-Time-Left-Ms: 1500\r\n");
    let seen =
        watch(sse, &job_request("f1", "redeem", "stream started big=1048576 done=x", &extra), |_| false);
    assert_eq!((seen.names().last(), seen.finals(), seen.whole), (Some(&"failed"), 1, true));
    // One that just fits is read whole, and says nothing that is passed on but that the job runs.
    let seen =
        watch(sse, &job_request("f2", "redeem", "stream started big=100000 done=x", ACCEPT), |_| false);
    assert_eq!((seen.names().last(), seen.finals()), (Some(&"done"), 1));
    workers.iter().for_each(|worker| worker.open_gate("big"));
    let seen = read_stream(&mut other, |_| false);
    assert_eq!((seen.names().last(), seen.finals()), (Some(&"done"), 1));
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["served"], metrics["failed"], metrics["open"]), (2, 1, 0));
}

/// A client that reads a byte a second while its job runs and ends: what it was sent waits for it, whole and in order.
#[test]
fn client_of_one_byte_a_second_gets_final_event() {
    let (_nodes, program, sse) = fleet(2);
    let mut slow = connect(sse);
    slow.write_all(job_request("g0", "balance", "stream started tick=10,20 done=x", ACCEPT).as_bytes())
        .expect("written");
    let mut first = [0; 4];
    for byte in &mut first {
        std::thread::sleep(std::time::Duration::from_secs(1));
        slow.read_exact(std::slice::from_mut(byte)).expect("a byte");
        // Others are served meanwhile.
        let quick =
            watch(sse, &job_request(&format!("g{byte}"), "balance", "stream started done=y", ACCEPT), |_| {
                false
            });
        assert_eq!((quick.names().last(), quick.finals()), (Some(&"done"), 1));
    }
    assert_eq!(&first, b"HTTP");
    let mut rest = Vec::new();
    while !rest.ends_with(b"0\r\n\r\n") {
        let mut byte = [0];
        slow.read_exact(&mut byte).expect("the rest");
        rest.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&rest);
    assert_eq!(text.matches("event: done").count(), 1, "{text}");
    let at = |what: &str| text.find(what);
    assert!(
        at("event: started") < at("event: progress") && at("event: progress") < at("event: done"),
        "{text}"
    );
    assert_eq!(program.shut_down_for_metrics()["served"], 5);
}

/// The proof asked for: some hundred streams at once, drops and stalls among them. Finals seen and clients gone
/// add up to the jobs taken, and only those are gone that dropped.
#[test]
fn final_events_match_accepted_jobs() {
    const STREAMS: usize = 360;
    let (_nodes, program, sse) = fleet(40);
    let kinds = [
        ("redeem", "stream started running=0.3 running=0.7 done=x", 20_000, false),
        ("balance", "take started running=0.5 done=x", 7_000, false),
        ("redeem", "stream started running=0.1 hang", 20_000, true),
        ("redeem", "stream started running=0.4 hang", 900, false),
        ("redeem", "take started running=0.2 hang", 900, false),
        ("balance", "full", 7_000, false),
        ("redeem", "stream started running=0.2 cut", 2_000, false),
        ("balance", "take started hang", 20_000, true),
    ];
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (class, body, patience, drops) = kinds[n % kinds.len()];
            let extra = format!("{ACCEPT}X-Time-Left-Ms: {patience}\r\n");
            let request = job_request(&format!("{n:016x}"), class, body, &extra);
            thread::spawn(move || {
                let seen = watch(sse, &request, |seen| drops && !seen.events.is_empty());
                let dropped = drops && seen.finals() == 0;
                assert!(seen.whole || dropped, "an answer was cut short: {seen:?}");
                assert_eq!(seen.finals(), usize::from(!dropped), "{seen:?}");
                if seen.streams {
                    assert_eq!(seen.names().first(), Some(&"started"));
                }
                (seen.finals() as u64, u64::from(dropped))
            })
        })
        .collect();
    let (mut finals, mut dropped) = (0, 0);
    for client in clients {
        let (f, d) = client.join().expect("a client's checks hold");
        (finals, dropped) = (finals + f, dropped + d);
    }
    let metrics = program.shut_down_for_metrics();
    assert_eq!((finals + dropped, metrics["taken"]), (STREAMS as u64, STREAMS as u64));
    assert_eq!((metrics["gone"], metrics["open"], metrics["broken_invariants"]), (dropped, 0, 0));
    assert_eq!(metrics["served"] + metrics["denied"] + metrics["failed"], finals);
    assert!(
        dropped > 0 && metrics["served"] > 0 && metrics["denied"] > 0 && metrics["failed"] > 0,
        "{metrics:?}"
    );
}
