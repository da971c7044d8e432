//! Progress streams over real sockets, with test clients and fake workers: each job gets exactly one final event.

#[path = "common/event_stream.rs"]
mod event_stream;

use event_stream::StreamClient;
use mothproxy_testkit::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const ACCEPT: &str = "Accept: text/event-stream\r\n";

/// Sends a job and reads the response to its end.
fn send_and_read(to: SocketAddr, request: &str) -> StreamClient {
    StreamClient::send(connect(to), request).read_until(|_| false)
}

/// The data of the event with this index.
fn event_data(answer: &StreamClient, event: usize) -> Value {
    serde_json::from_str(&answer.events[event].data).expect("not JSON")
}

/// Asserts that a response has exactly one final event, which is its last event and has this name.
fn assert_ends_with(answer: &StreamClient, name: &str) {
    assert_eq!((answer.names().last(), answer.final_answers()), (Some(&name), 1), "{answer:?}");
}

/// The program with its SSE listener on, and its workers.
struct Site {
    workers: Vec<Arc<FakeWorker>>,
    program: DispatcherProcess,
    sse: SocketAddr,
}

impl Site {
    fn start(workers: usize) -> Site {
        let workers: Vec<Arc<FakeWorker>> =
            (0..workers).map(|number| FakeWorker::start(&format!("s-{number}"))).collect();
        let program = DispatcherProcess::builder(&workers).event_streams(true).start();
        let sse = program.sse.expect("no SSE listener");
        Site { workers, program, sse }
    }
}

/// Whether the worker streams its status or sends callbacks, the events arrive in order, and the last one has the result. A
/// client that does not ask for a stream, or uses the platform listener, gets a plain response.
#[test]
fn events_arrive_in_order_and_end_with_result() {
    let Site { workers: _workers, program, sse } = Site::start(2);
    for (id, script) in
        [("a0", "stream started running=0.25 done=x"), ("a1", "take started running=0.25 done=x")]
    {
        let answer = send_and_read(sse, &job_request(id, "redeem", script, ACCEPT));
        assert_eq!((answer.status, answer.is_event_stream, answer.is_complete), (200, true, true));
        assert_eq!(answer.names(), ["started", "progress", "done"], "{script}");
        assert_eq!(event_data(&answer, 1)["share"], 0.25);
        assert_eq!(event_data(&answer, 2)["result"], "x");
    }
    let plain =
        send(sse, &job_request("a2", "redeem", "stream started done=x", "")).expect("no complete response");
    assert_eq!((plain.status, plain.body.as_str()), (200, "x"));
    let plain = send(program.platform, &job_request("a3", "redeem", "stream started done=x", ACCEPT))
        .expect("no complete response");
    assert_eq!((plain.status, plain.body.as_str()), (200, "x"));
    // Only the platform listener serves callbacks and the health check.
    assert_eq!(send(sse, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n").expect("no complete response").status, 404);
}

/// A job that fails before its first event gets a plain response with a status; after that it gets a final event.
#[test]
fn failures_are_plain_before_stream_and_events_after() {
    let site = Site::start(2);
    let send_job = |id: &str, class: &str, script: &str, time_left_ms: u32| {
        let fields = format!("{ACCEPT}X-Time-Left-Ms: {time_left_ms}\r\n");
        send_and_read(site.sse, &job_request(id, class, script, &fields))
    };
    // This class may be rejected even if an attempt was not accepted in time, which can happen on a slow machine.
    let answer = send_job("b0", "balance", "full", 7_000);
    assert_eq!((answer.status, answer.is_event_stream, answer.final_answers()), (503, false, 1));
    assert!(answer.head.contains("\r\nRetry-After: "), "{}", answer.head);
    // The job ends by its deadline, so that is a short one.
    let answer = send_job("b1", "redeem", "take hang", 1_500);
    assert_eq!((answer.status, answer.is_event_stream, answer.final_answers()), (504, false, 1));
    let answer = send_job("b2", "balance", "stream started running=0.1 returned", 7_000);
    assert_eq!((answer.status, answer.is_event_stream), (200, true));
    assert_ends_with(&answer, "deny");
    let retry_after = event_data(&answer, answer.events.len() - 1)["retry_after"].as_f64();
    assert!(retry_after.is_some_and(|seconds| seconds > 0.0));
    let answer = send_job("b3", "redeem", "stream started running=0.1 failed", 1_500);
    assert_ends_with(&answer, "failed");
    // The worker reports progress once and then nothing, so the deadline ends the request.
    let answer = send_job("b4", "redeem", "stream started running=0.1 hang", 1_500);
    assert_eq!((answer.names(), answer.final_answers()), (vec!["started", "progress", "failed"], 1));
    assert_eq!(event_data(&answer, 2)["status"], 504);
    assert!(answer.heartbeats() > 0, "no heartbeat on an idle stream");
}

/// If a client reads nothing while its worker reports much progress, progress events are dropped, and the final event is not.
#[test]
fn slow_reader_loses_progress_but_not_final_event() {
    const FLOOD: usize = 15_000;
    /// The client's receive buffer in bytes, which holds far less than all progress events. A buffer of 4 KB would do, but reading
    /// the events buffered in the program through it took over a second, and a response of which nothing can be written for 2.5 s
    /// is aborted.
    const RECEIVE_BUFFER: usize = 64 * 1024;
    // Two workers, since on a slow machine one may not accept the job in time.
    let workers = [FakeWorker::start("s-0"), FakeWorker::start("s-1")];
    let program = DispatcherProcess::builder(&workers)
        .event_streams(true)
        .configure(|config| config["admin_addr"] = "127.0.0.1:0".into())
        .start();
    let admin = program.admin.expect("no admin address");
    let connection = connect(program.sse.expect("no SSE listener"));
    rustix::net::sockopt::set_socket_recv_buffer_size(&connection, RECEIVE_BUFFER)
        .expect("cannot set socket option");
    let script = format!("stream started flood={FLOOD} done=x");
    let client = StreamClient::send(connection, &job_request("c0", "balance", &script, ACCEPT));
    wait_until("a worker has sent all progress", || {
        workers.iter().any(|worker| worker.has_received("flooded"))
    });
    // The client reads only once the program has received all progress; otherwise the program could forward every event.
    wait_until("the request ends", || {
        let counters =
            send(admin, "GET /control/counters HTTP/1.1\r\nHost: n0\r\n\r\n").expect("no complete response");
        counters.body.contains("dispatcher.inflight:0|g")
    });
    let answer = client.read_until(|_| false);
    assert_ends_with(&answer, "done");
    assert!(answer.is_complete);
    let progress = answer.names().iter().filter(|name| **name == "progress").count();
    assert!(progress > 0 && progress < FLOOD, "{progress} of {FLOOD} progress events");
    assert_eq!(program.shut_down_for_metrics()["served"], 1);
}

/// An event of a worker may have at most 128 KiB. A longer one ends that worker's stream like a broken connection, and affects
/// no other stream.
#[test]
fn oversized_event_ends_only_its_stream() {
    let Site { workers, program, sse } = Site::start(2);
    let script = "stream started wait=big running=0.5 done=y";
    let other = StreamClient::send(connect(sse), &job_request("f0", "balance", script, ACCEPT));
    wait_until("the first job arrives", || {
        workers.iter().any(|worker| worker.job_count.load(Ordering::SeqCst) > 0)
    });
    // After its stream ended, the job waits for another worker until its deadline.
    let fields = format!("{ACCEPT}X-Time-Left-Ms: 1500\r\n");
    let answer =
        send_and_read(sse, &job_request("f1", "redeem", "stream started big=1048576 done=x", &fields));
    assert_ends_with(&answer, "failed");
    assert!(answer.is_complete);
    // An event below the limit is read. It only reports that the job is running, so it is not forwarded.
    let answer = send_and_read(sse, &job_request("f2", "redeem", "stream started big=100000 done=x", ACCEPT));
    assert_ends_with(&answer, "done");
    workers.iter().for_each(|worker| worker.open_gate("big"));
    assert_ends_with(&other.read_until(|_| false), "done");
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["served"], metrics["failed"], metrics["open"]), (2, 1, 0));
}

/// A client that reads one byte per second while its job runs and ends gets all events, complete and in order.
#[test]
fn client_of_one_byte_a_second_gets_final_event() {
    let Site { workers: _workers, program, sse } = Site::start(2);
    let mut slow = connect(sse);
    slow.write_all(job_request("g0", "balance", "stream started tick=10,20 done=x", ACCEPT).as_bytes())
        .expect("write failed");
    let mut first = [0; 4];
    for byte in &mut first {
        thread::sleep(Duration::from_secs(1));
        slow.read_exact(std::slice::from_mut(byte)).expect("read failed");
        // Other clients are served at the same time.
        let request = job_request(&format!("g{byte}"), "balance", "stream started done=y", ACCEPT);
        assert_ends_with(&send_and_read(sse, &request), "done");
    }
    assert_eq!(&first, b"HTTP");
    let mut rest = Vec::new();
    while !rest.ends_with(b"0\r\n\r\n") {
        let mut byte = [0];
        slow.read_exact(&mut byte).expect("read failed");
        rest.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&rest);
    assert_eq!(text.matches("event: done").count(), 1, "{text}");
    let position = |event: &str| text.find(event);
    assert!(
        position("event: started") < position("event: progress")
            && position("event: progress") < position("event: done"),
        "{text}"
    );
    assert_eq!(program.shut_down_for_metrics()["served"], 5);
}

/// A kind of client and the job that it sends.
#[derive(Clone, Copy)]
struct ClientKind {
    class: &'static str,
    script: &'static str,
    time_left_ms: u32,
    /// Whether the client disconnects after the first event.
    disconnects: bool,
}

impl ClientKind {
    const fn staying(class: &'static str, script: &'static str, time_left_ms: u32) -> ClientKind {
        ClientKind { class, script, time_left_ms, disconnects: false }
    }

    const fn disconnecting(class: &'static str, script: &'static str, time_left_ms: u32) -> ClientKind {
        ClientKind { class, script, time_left_ms, disconnects: true }
    }

    /// Submits the client's job and reads the response. Returns whether that was complete, as it must be unless the client
    /// disconnected before its end.
    fn run(self, sse: SocketAddr, id: &str) -> bool {
        let fields = format!("{ACCEPT}X-Time-Left-Ms: {}\r\n", self.time_left_ms);
        let request = job_request(id, self.class, self.script, &fields);
        let answer = StreamClient::send(connect(sse), &request)
            .read_until(|answer| self.disconnects && !answer.events.is_empty());
        let has_disconnected = self.disconnects && answer.final_answers() == 0;
        assert!(answer.is_complete || has_disconnected, "truncated response: {answer:?}");
        assert_eq!(answer.final_answers(), usize::from(!has_disconnected), "{answer:?}");
        if answer.is_event_stream {
            assert_eq!(answer.names().first(), Some(&"started"));
        }
        !has_disconnected
    }
}

const CLIENT_KINDS: [ClientKind; 8] = [
    ClientKind::staying("redeem", "stream started running=0.3 running=0.7 done=x", 20_000),
    ClientKind::staying("balance", "take started running=0.5 done=x", 7_000),
    ClientKind::disconnecting("redeem", "stream started running=0.1 hang", 20_000),
    ClientKind::staying("redeem", "stream started running=0.4 hang", 900),
    ClientKind::staying("redeem", "take started running=0.2 hang", 900),
    ClientKind::staying("balance", "full", 7_000),
    ClientKind::staying("redeem", "stream started running=0.2 cut", 2_000),
    ClientKind::disconnecting("balance", "take started hang", 20_000),
];

/// With several hundred concurrent streams, some of which disconnect or stall, final responses and disconnected clients add up to
/// the accepted jobs, and only clients that did disconnect are counted as such.
#[test]
fn final_events_match_accepted_jobs() {
    const STREAMS: usize = 360;
    let Site { workers: _workers, program, sse } = Site::start(40);
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let kind = CLIENT_KINDS[number % CLIENT_KINDS.len()];
        clients.push(thread::spawn(move || kind.run(sse, &format!("{number:016x}"))));
    }
    let (mut answered, mut disconnected) = (0, 0);
    for client in clients {
        if client.join().expect("client thread panicked") {
            answered += 1;
        } else {
            disconnected += 1;
        }
    }
    let metrics = program.shut_down_for_metrics();
    assert_eq!((answered + disconnected, metrics["taken"]), (STREAMS as u64, STREAMS as u64));
    assert_eq!((metrics["gone"], metrics["open"], metrics["broken_invariants"]), (disconnected, 0, 0));
    assert_eq!(metrics["served"] + metrics["denied"] + metrics["failed"], answered);
    assert!(
        disconnected > 0 && metrics["served"] > 0 && metrics["denied"] > 0 && metrics["failed"] > 0,
        "{metrics:?}"
    );
}
