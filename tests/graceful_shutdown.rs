//! Graceful shutdown, and connections that are closed while a request is in transit, over real sockets. Each test enforces its
//! order of events by waiting for an observable one: the end of a connection, the arrival of a job, a suspended process.

use mothproxy::core::shutdown_plan::{ShutdownPlan, SignalTime};
use mothproxy_testkit::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Instant;

const MS: u64 = 1_000;

/// The limits of the protocol for all settings: SIGKILL follows SIGTERM after at least the longest deadline (counted as at
/// most 3 s) plus 0.7 s. Requests that arrive more than 0.7 s after SIGTERM must be answered before the SIGKILL.
#[test]
fn late_requests_are_answered_before_the_process_may_be_killed() {
    let deadlines = [1, 50, 120, 400, 800, 1_500, 2_999, 3_000, 3_001, 7_500, 25_000].map(|ms| ms * MS);
    let pairs = deadlines.into_iter().flat_map(|longest| deadlines.map(|open| (longest, open)));
    for (longest_deadline, longest_open_deadline) in pairs {
        let plan = ShutdownPlan::new(
            SignalTime { earliest: 0, noticed: 0 },
            longest_deadline,
            longest_open_deadline,
        );
        let counted_deadline = longest_deadline.min(3_000 * MS);
        let killed_at = counted_deadline + 700 * MS;
        assert!(plan.keep_clients_until + counted_deadline / 2 <= plan.answer_late_by, "{plan:?}");
        assert!(plan.answer_late_by < killed_at, "{plan:?}");
        assert!(plan.give_up_at >= longest_deadline.max(longest_open_deadline) + 700 * MS, "{plan:?}");
        for arrived_at in (0..killed_at).step_by(10 * MS as usize) {
            let answered_by = arrived_at + plan.time_budget(arrived_at, longest_deadline);
            let is_in_time = arrived_at <= 700 * MS || answered_by < killed_at.max(arrived_at + 1);
            assert!(is_in_time, "arrived at {arrived_at} us, answered by {answered_by} us, {plan:?}");
            // Requests on the last new connections keep their whole deadline.
            let is_whole = arrived_at > 400 * MS || answered_by == arrived_at + longest_deadline;
            assert!(is_whole, "arrived at {arrived_at} us, answered by {answered_by} us, {plan:?}");
        }
    }
}

/// Reads until the other side closes the connection; an error if the connection is reset instead.
fn read_to_close(stream: &mut TcpStream) -> Result<Vec<u8>, ErrorKind> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
    let mut seen = Vec::new();
    stream.read_to_end(&mut seen).map(|_| seen).map_err(|error| error.kind())
}

/// Whether the other side resets this connection within 200 ms. It does so if it receives bytes after it has closed the socket.
fn is_reset(stream: &TcpStream) -> bool {
    let started = Instant::now();
    let mut has_error = false;
    wait_until("the connection is reset, or 200 ms have passed", || {
        has_error |= stream.take_error().expect("cannot read the socket error").is_some();
        has_error || started.elapsed().as_millis() > 200
    });
    has_error
}

/// A request that crosses the close of its idle connection in transit is read and discarded, never forwarded, so that the client
/// sees an orderly close and sends the request again. The connection used to be reset.
#[test]
fn does_not_forward_or_reset_a_request_that_crosses_the_close_of_an_idle_connection() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    let mut idle_client = connect(program.platform);
    idle_client
        .write_all(job_request("a0", "balance", "take started done=x", "").as_bytes())
        .expect("write failed");
    assert_eq!(read_reply(&mut idle_client).expect("no complete response").status, 200);
    program.terminate();
    assert_eq!(read_to_close(&mut idle_client), Ok(Vec::new()));
    // The dispatcher has already closed its side, so this request is equivalent to one that crossed the close.
    idle_client
        .write_all(job_request("a1", "balance", "take started done=x", "").as_bytes())
        .expect("write failed");
    assert!(!is_reset(&idle_client) && read_to_close(&mut idle_client) == Ok(Vec::new()));
    let retried = send(program.platform, &job_request("a2", "balance", "take started done=x", ""));
    assert_eq!(retried.expect("no complete response").status, 200);
    assert!(worker.has_received("a2") && !worker.has_received("a1"));
    drop(idle_client);
    program.wait_for_complete_shutdown();
}

/// The process used to exit as soon as its last response was written, so that bytes which the client sent afterwards reset the
/// connection. Now it waits up to 1 s for the client to close. If the machine delays the test itself for almost as long, the
/// test is repeated.
#[test]
fn the_process_waits_for_the_client_that_got_the_last_answer_to_close() {
    let attempt = || {
        let worker = FakeWorker::start("s-1");
        let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
        let mut client = connect(program.platform);
        client
            .write_all(job_request("b0", "balance", "take started wait=last done=x", "").as_bytes())
            .expect("write failed");
        wait_until("the job arrives", || worker.job_count.load(Ordering::SeqCst) > 0);
        program.terminate();
        let terminated_at = Instant::now();
        wait_until("700 ms have passed since SIGTERM", || terminated_at.elapsed().as_millis() > 700);
        let opened_at = Instant::now();
        worker.open_gate("last");
        let reply = read_reply(&mut client).expect("no complete response");
        assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
        // The process checks every 25 ms whether anything is open.
        wait_until("the process has checked for open requests", || opened_at.elapsed().as_millis() > 250);
        client.write_all(b"late").expect("write failed");
        let (was_reset, in_time) = (is_reset(&client), opened_at.elapsed().as_millis() < 800);
        drop(client);
        assert!(program.wait_for_exit().0);
        in_time.then_some(was_reset)
    };
    let was_reset = (0..5).find_map(|_| attempt()).expect("none of 5 tries took less than 800 ms");
    assert!(!was_reset, "connection reset instead of closed");
}

/// Jobs that were accepted before SIGTERM keep their deadlines; they used to fail 3.4 s after SIGTERM. The response to the late
/// job shows that the time limit for late jobs has passed; the earlier job is still open then and completes.
#[test]
fn a_job_accepted_before_the_signal_keeps_its_deadline_and_a_late_one_is_cut_short() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    let (mut idle_client, mut early) = (connect(program.platform), connect(program.platform));
    early
        .write_all(job_request("c0", "redeem", "take started wait=cut done=x", "").as_bytes())
        .expect("write failed");
    wait_until("the job arrives", || worker.job_count.load(Ordering::SeqCst) > 0);
    program.terminate();
    assert_eq!(read_to_close(&mut idle_client), Ok(Vec::new()), "bytes on an idle connection");
    // Without the shutdown this job would be open until its deadline of 25 s.
    let late =
        send(program.platform, &job_request("c1", "redeem", "take hang", "")).expect("no complete response");
    assert!(late.status == 503 || late.status == 504, "{}", late.head);
    worker.open_gate("cut");
    let reply = read_reply(&mut early).expect("no complete response");
    assert_eq!((reply.status, reply.body.as_str()), (200, "x"));
    drop((idle_client, early));
    assert!(program.wait_for_exit().0);
}

/// Callbacks are received until the last job is done, also on connections that were idle or had half of a callback when other
/// idle connections were closed. A worker's idle connection used to be closed 0.45 s after SIGTERM, while a callback was in
/// transit on it.
#[test]
fn receives_callbacks_until_the_last_job_is_done() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    let callback = |id: &str, state: &str| {
        let text = format!(r#"{{"id":"{id}","from":"s-1","state":"{state}","result":"{id}"}}"#);
        let head = format!("POST /_jobs/news HTTP/1.1\r\nHost: n0\r\nContent-Length: {}\r\n\r\n", text.len());
        head + &text
    };
    let (mut idle, mut split_callback) = (connect(program.platform), connect(program.platform));
    let mut clients = ["d0", "d1"].map(|id| {
        let mut client = connect(program.platform);
        client.write_all(job_request(id, "redeem", "take hang", "").as_bytes()).expect("write failed");
        client
    });
    wait_until("the jobs arrive", || worker.job_count.load(Ordering::SeqCst) == 2);
    for (callbacks, id) in [(&mut idle, "d0"), (&mut split_callback, "d1")] {
        callbacks.write_all(callback(id, "started").as_bytes()).expect("write failed");
        assert_eq!(read_reply(callbacks).expect("no complete response").status, 204);
    }
    let mut idle_client = connect(program.platform);
    program.terminate();
    let text = callback("d1", "done");
    let (first, rest) = text.split_at(text.len() / 2);
    split_callback.write_all(first.as_bytes()).expect("write failed");
    assert_eq!(read_to_close(&mut idle_client), Ok(Vec::new()), "bytes on an idle connection");
    split_callback.write_all(rest.as_bytes()).expect("write failed");
    idle.write_all(callback("d0", "done").as_bytes()).expect("write failed");
    for (callbacks, client) in [&mut idle, &mut split_callback].into_iter().zip(&mut clients) {
        assert_eq!(read_reply(callbacks).expect("no complete response").status, 204);
        assert_eq!(read_reply(client).expect("no complete response").status, 200);
    }
    drop((idle, split_callback, clients, idle_client));
    assert!(program.wait_for_exit().0);
}

/// When descriptors are short, the connection of an incomplete request is closed with a 503. Its client used to get no
/// response, or a reset while it sent the rest.
#[test]
fn rejects_an_incomplete_request_that_is_closed_for_other_connections() {
    let worker = FakeWorker::start("s-1");
    let few_sockets = |config: &mut serde_json::Value| config["limits"]["sockets"] = serde_json::json!(80);
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).configure(few_sockets).start();
    let mut incomplete = connect(program.platform);
    let request = job_request("e0", "balance", "take started done=x", "");
    let (first, rest) = request.split_at(request.len() - 5);
    incomplete.write_all(first.as_bytes()).expect("write failed");
    incomplete.set_nonblocking(true).expect("cannot set socket option");
    let mut idle_clients = Vec::new();
    wait_until("the connection of the incomplete request is closed", || {
        idle_clients.push(connect(program.platform));
        !matches!(incomplete.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    });
    incomplete.set_nonblocking(false).expect("cannot set socket option");
    let reply = read_reply(&mut incomplete).expect("no complete response");
    assert_eq!((reply.status, reply.header("Connection")), (503, Some("close")));
    let _ = incomplete.write_all(rest.as_bytes());
    assert!(!worker.has_received("e0"));
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["broken_invariants"]), (0, 0));
}
