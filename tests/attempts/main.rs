//! How attempts end, and which bytes from a worker count as the response to an attempt. The worker `s-1` is the test itself: it
//! accepts each connection, reads each request and writes each byte at the moment that the test chooses.

mod manual_worker;
mod response_copies;

use manual_worker::*;
use mothproxy_testkit::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const READY_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Connects further clients, and waits until the dispatcher has accepted all of them.
fn connect_clients(program: &DispatcherProcess, count: usize) -> Vec<TcpStream> {
    let mut clients: Vec<TcpStream> = (0..count).map(|_| submit(program, READY_REQUEST)).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(read_reply(client).expect("no complete response").status, 200));
    clients
}

/// Runs `actions` while the dispatcher is suspended, so that it finds all their effects in one turn of its event loop.
fn within_one_turn(program: &DispatcherProcess, actions: impl FnOnce()) {
    program.suspend();
    actions();
    program.resume();
}

/// An attempt ends by a status callback, and no response arrives on its connection. The connection is closed at its timeout, and
/// no cancel is sent.
#[test]
fn does_not_cancel_ended_attempt() {
    let (worker, program) = ManualWorker::start(|_| {});
    let (mut client, mut connection) = start_attempt(&worker, &program, "a0", "X-Time-Left-Ms: 1500\r\n");
    send_status_callback(&program, "a0", "returned");
    assert_eq!(connection.request(), None, "the connection is closed at its timeout");
    assert_eq!(read_reply(&mut client).expect("no complete response").status, 503);
    assert_eq!((program.shut_down_for_metrics()["connects"], connection.request()), (1, None));
}

/// A worker that may have accepted an attempt gets no other attempt of the same request, however the first one ends, even if
/// hedged attempts are allowed and there is no other worker.
#[test]
fn does_not_retry_on_worker_that_may_have_accepted() {
    // A job that was returned by a status callback never ran. But a duplicate of that callback could be taken for one about the
    // next attempt.
    let cases = [
        (ACCEPTED, "returned"),
        ("", "returned"),
        ("", ""),
        ("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", ""),
        (ACCEPTED, "lost"),
        (ACCEPTED, "failed"),
        (ACCEPTED, ""),
    ];
    for (response, state) in cases {
        let (worker, program) =
            ManualWorker::start(|config| config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(300.0));
        let (mut client, mut connection) = start_attempt(&worker, &program, "b0", "X-Time-Left-Ms: 900\r\n");
        connection.write(response);
        if !state.is_empty() {
            send_status_callback(&program, "b0", state);
        }
        assert_eq!(
            read_reply(&mut client).expect("no complete response").status / 100,
            5,
            "{response}{state}"
        );
        assert_eq!(program.shut_down_for_metrics()["dispatches"], 1, "{response}{state}");
    }
}

/// An attempt gets no response, although its worker may have accepted it. If hedged attempts are not allowed, the next attempt
/// starts only after the cancel is written. The test delays the cancel by keeping the worker's accept queue full.
#[test]
fn next_attempt_waits_for_cancel_without_hedging() {
    let other = FakeWorker::start("s-2");
    let (worker, program) = ManualWorker::start(|config| {
        config["settings"]["Limits"]["SecondCopies"] = json!(false);
        config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(3_000.0);
        config["known"]["instances"].as_array_mut().expect("not an array").push(other.endpoint_entry("up"));
    });
    other.set_callback_address(program.platform);
    rustix::net::listen(&worker.0, 0).expect("cannot shorten the accept queue");
    // The other worker serves every job that it gets. The first job that this worker gets is the one under test.
    let (mut served, mut connection) = (0, None);
    let (id, mut client) = loop {
        let id = format!("c{served}");
        let mut client = submit(&program, &simple_job(&id));
        wait_until("a worker gets an attempt", || {
            connection = worker.accept();
            connection.is_some() || other.job_count.load(Ordering::SeqCst) > served
        });
        if connection.is_some() {
            break (id, client);
        }
        assert_eq!(read_reply(&mut client).expect("no complete response").status, 200);
        served += 1;
    };
    let filler = connect(worker.0.local_addr().expect("no local address"));
    wait_for_connection_attempt(&worker.0);
    let cancel_began = Instant::now();
    wait_until("time for another attempt has passed", || cancel_began.elapsed() > Duration::from_millis(300));
    assert_eq!(other.job_count.load(Ordering::SeqCst), served);
    drop((worker.connection(), filler));
    assert_eq!(worker.connection().request(), Some(format!("DELETE /jobs/{id}")));
    assert_eq!(read_reply(&mut client).expect("no complete response").status, 200);
}

/// A worker writes a refusal on an idle connection. The events of many other clients keep the dispatcher from reading it before
/// it starts the next attempt. The refusal must not count as the response to that attempt.
#[test]
fn ignores_bytes_received_before_request() {
    let (worker, program) = ManualWorker::start(|_| {});
    let (mut first, mut connection) = start_attempt(&worker, &program, "d0", "");
    connection.write(ACCEPTED);
    send_status_callback(&program, "d0", "done");
    assert_eq!(read_reply(&mut first).expect("no complete response").status, 200);
    let mut others = connect_clients(&program, 300);
    within_one_turn(&program, || {
        first.write_all(job_request("d1", "balance", "", "").as_bytes()).expect("write failed");
        for other in &mut others {
            other.write_all(READY_REQUEST.as_bytes()).expect("write failed");
        }
        connection.write(REFUSED);
    });
    assert_eq!(connection.request(), None, "the connection is closed without a request");
    let mut connection = worker.connection();
    assert_eq!(connection.request().as_deref(), Some("POST /balance d1"));
    connection.write(ACCEPTED);
    send_status_callback(&program, "d1", "done");
    assert_eq!(read_reply(&mut first).expect("no complete response").status, 200);
    assert_eq!(program.shut_down_for_metrics()["dispatches"], 2);
}

/// After a refusal, a connection is not used again until a duplicate of the refusal has had time to arrive.
#[test]
fn does_not_reuse_connection_at_once_after_rejection() {
    let (worker, mut program) = ManualWorker::start(|config| {
        // The first job must not become overdue at the worker, however long the dispatcher is suspended.
        config["settings"]["Domain"]["TellsStart"] = json!(false);
        config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(5_000.0);
    });
    let (first, mut connection) = start_attempt(&worker, &program, "e0", "");
    let mut clients = connect_clients(&program, 1);
    clients.insert(0, first);
    within_one_turn(&program, || {
        clients[1].write_all(job_request("e1", "balance", "", "").as_bytes()).expect("write failed");
        connection.write(REFUSED);
    });
    let mut other = worker.connection();
    for n in [1, 0] {
        assert_eq!(other.request(), Some(format!("POST /balance e{n}")));
        other.write(ACCEPTED);
        send_status_callback(&program, &format!("e{n}"), "started");
    }
    connection.write(REFUSED);
    assert_eq!(connection.request(), None, "unsolicited bytes close the connection");
    for (n, client) in clients.iter_mut().enumerate() {
        send_status_callback(&program, &format!("e{n}"), "done");
        assert_eq!(read_reply(client).expect("no complete response").status, 200);
    }
    program.wait_for_log(UNSOLICITED);
    assert_eq!(program.shut_down_for_metrics()["dispatches"], 3);
}

/// A worker never responds to an attempt with 204, so such a response belongs to an earlier exchange. The worker may have
/// accepted the attempt, so it gets a cancel.
#[test]
fn ignores_response_to_another_request() {
    let (worker, program) = ManualWorker::start(|_| {});
    let (mut client, mut connection) = start_attempt(&worker, &program, "f0", "X-Time-Left-Ms: 1000\r\n");
    connection.write("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(connection.request(), None);
    assert_eq!(worker.connection().request().as_deref(), Some("DELETE /jobs/f0"));
    assert_eq!(read_reply(&mut client).expect("no complete response").status, 503);
    assert_eq!(program.shut_down_for_metrics()["dispatches"], 1);
}
