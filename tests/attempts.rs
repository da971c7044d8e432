//! What an attempt at a worker may be mistaken for. The worker `s-1` is the test itself: it takes each connection, reads each
//! request and says each byte when its turn has come.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const TAKEN: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
const FULL: &str = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
const UP: &str = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n";
/// How long a worker may take for its first answer.
const TAKE_MS: f64 = 1_000.0;

struct ManualWorker(TcpListener);

impl ManualWorker {
    fn start(change: impl FnOnce(&mut Value)) -> (ManualWorker, DispatcherProcess) {
        let worker = ManualWorker(TcpListener::bind("127.0.0.1:0").expect("a port"));
        let address = worker.0.local_addr().expect("an address").to_string();
        let program = DispatcherProcess::builder(&[])
            .configure(|config| {
                config["known"]["instances"] = json!([site::endpoint_entry("s-1", &address, "up")]);
                config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(TAKE_MS);
                change(config);
            })
            .start();
        (worker, program)
    }

    fn accept(&self) -> Option<WorkerConnection> {
        self.0.set_nonblocking(true).expect("a socket option");
        let (stream, _) = self.0.accept().ok()?;
        stream.set_nonblocking(false).expect("a socket option");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
        Some(WorkerConnection(stream))
    }

    fn connection(&self) -> WorkerConnection {
        let mut connection = None;
        wait_until("a connection of the program", || {
            connection = self.accept();
            connection.is_some()
        });
        connection.expect("a connection")
    }
}

/// A connection to the worker, and the attempt on it.
struct WorkerConnection(TcpStream);

impl WorkerConnection {
    /// The next request's method, target and id; `None` once the program has closed it.
    fn request(&mut self) -> Option<String> {
        let mut seen = Vec::new();
        while !seen.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).ok()?;
            seen.push(byte[0]);
        }
        let head =
            HttpReply { status: 0, head: String::from_utf8_lossy(&seen).into_owned(), body: String::new() };
        let length = head.header("content-length").map_or(0, |n| n.parse().expect("a length"));
        self.0.read_exact(&mut vec![0; length]).ok()?;
        let line = head.head.lines().next().expect("a line").trim_end_matches(" HTTP/1.1").to_owned();
        Some(format!("{line} {}", head.header("x-correlation-id").unwrap_or("")).trim_end().to_owned())
    }

    fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("the program reads");
    }
}

fn submit(program: &DispatcherProcess, request: &str) -> TcpStream {
    let mut client = connect(program.platform);
    client.write_all(request.as_bytes()).expect("written");
    client
}

/// Further clients, which the program has met.
fn connect_clients(program: &DispatcherProcess, count: usize) -> Vec<TcpStream> {
    let mut clients: Vec<TcpStream> = (0..count).map(|_| submit(program, UP)).collect();
    clients.iter_mut().for_each(|client| assert_eq!(read_reply(client).expect("an answer").status, 200));
    clients
}

/// A client hands in a job, and the worker has read it.
fn attempt(
    worker: &ManualWorker,
    program: &DispatcherProcess,
    id: &str,
    extra: &str,
) -> (TcpStream, WorkerConnection) {
    let client = submit(program, &job_request(id, "balance", "", extra));
    let mut connection = worker.connection();
    assert_eq!(connection.request(), Some(format!("POST /balance {id}")));
    (client, connection)
}

/// Has all this happen in this order before the program sees any of it.
fn within_one_turn(program: &DispatcherProcess, what: impl FnOnce()) {
    program.suspend();
    what();
    program.resume();
}

/// Calls back.
fn send_status_update(program: &DispatcherProcess, id: &str, state: &str) {
    let update = json!({"id": id, "from": "s-1", "state": state, "result": "x"});
    assert_eq!(send(program.platform, &status_update_request(&update)).expect("an answer").status, 204);
}

/// An attempt has ended, and its connection never gets its answer: that is closed, and nothing is given up by name.
#[test]
fn does_not_cancel_ended_attempt() {
    let (worker, program) = ManualWorker::start(|_| {});
    let (mut client, mut connection) = attempt(&worker, &program, "a0", "X-Time-Left-Ms: 1500\r\n");
    send_status_update(&program, "a0", "returned");
    assert_eq!(connection.request(), None, "it is closed once it has had its time");
    assert_eq!(read_reply(&mut client).expect("an answer").status, 503);
    assert_eq!((program.shut_down_for_metrics()["connects"], connection.request()), (1, None));
}

/// However an attempt ends that its worker may have taken, it gets no other of that request, also where copies are allowed and
/// there is no other worker.
#[test]
fn does_not_retry_on_worker_that_may_have_accepted() {
    // What was handed back by a call never ran, but that call may come again, when it could be taken for the next attempt's.
    let cases = [
        (TAKEN, "returned"),
        ("", "returned"),
        ("", ""),
        ("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", ""),
        (TAKEN, "lost"),
        (TAKEN, "failed"),
        (TAKEN, ""),
    ];
    for (answer, state) in cases {
        let (worker, program) =
            ManualWorker::start(|config| config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(300.0));
        let (mut client, mut connection) = attempt(&worker, &program, "b0", "X-Time-Left-Ms: 900\r\n");
        connection.write(answer);
        if !state.is_empty() {
            send_status_update(&program, "b0", state);
        }
        assert_eq!(read_reply(&mut client).expect("an answer").status / 100, 5, "{answer}{state}");
        assert_eq!(program.shut_down_for_metrics()["dispatches"], 1, "{answer}{state}");
    }
}

/// An attempt gets no answer. Its worker may have taken it all the same: where no two may be out, the next one leaves only once
/// that was told to give it up, which the test holds up.
#[test]
fn next_attempt_waits_for_cancel_without_hedging() {
    let other = FakeWorker::start("s-2");
    let (worker, program) = ManualWorker::start(|config| {
        config["settings"]["Limits"]["SecondCopies"] = json!(false);
        config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(3_000.0);
        config["known"]["instances"].as_array_mut().expect("a list").push(other.endpoint_entry("up"));
    });
    other.set_callback_address(program.platform);
    rustix::net::listen(&worker.0, 0).expect("a shorter queue");
    // The other worker serves what it gets; the first job that comes here is the one.
    let (mut taken, mut connection) = (0, None);
    let (id, mut client) = loop {
        let id = format!("c{taken}");
        let mut client = submit(&program, &simple_job(&id));
        wait_until("an attempt", || {
            connection = worker.accept();
            connection.is_some() || other.job_count.load(Ordering::SeqCst) > taken
        });
        if connection.is_some() {
            break (id, client);
        }
        assert_eq!(read_reply(&mut client).expect("an answer").status, 200);
        taken += 1;
    };
    let filler = connect(worker.0.local_addr().expect("an address"));
    wait_for_connection_attempt(&worker.0);
    let tried = Instant::now();
    wait_until("another attempt has had its time", || tried.elapsed() > Duration::from_millis(300));
    assert_eq!(other.job_count.load(Ordering::SeqCst), taken);
    drop((worker.connection(), filler));
    assert_eq!(worker.connection().request(), Some(format!("DELETE /jobs/{id}")));
    assert_eq!(read_reply(&mut client).expect("an answer").status, 200);
}

/// An answer that turned a job away is said a second time. Other clients bring so much at once that the program has not looked
/// at that when it has the next job to send: it may not be read as the answer to that.
#[test]
fn ignores_bytes_received_before_request() {
    let (worker, program) = ManualWorker::start(|_| {});
    let (mut first, mut connection) = attempt(&worker, &program, "d0", "");
    connection.write(TAKEN);
    send_status_update(&program, "d0", "done");
    assert_eq!(read_reply(&mut first).expect("an answer").status, 200);
    let mut others = connect_clients(&program, 300);
    within_one_turn(&program, || {
        first.write_all(job_request("d1", "balance", "", "").as_bytes()).expect("written");
        for other in &mut others {
            other.write_all(UP.as_bytes()).expect("written");
        }
        connection.write(FULL);
    });
    assert_eq!(connection.request(), None, "it is of no more use");
    let mut connection = worker.connection();
    assert_eq!(connection.request().as_deref(), Some("POST /balance d1"));
    connection.write(TAKEN);
    send_status_update(&program, "d1", "done");
    assert_eq!(read_reply(&mut first).expect("an answer").status, 200);
    assert_eq!(program.shut_down_for_metrics()["dispatches"], 2);
}

/// The second answer has time to come before the connection of one that turned a job away is used again.
#[test]
fn does_not_reuse_connection_at_once_after_rejection() {
    let (worker, program) = ManualWorker::start(|config| {
        // The first job is not overdue at the worker however long the program is suspended.
        config["settings"]["Domain"]["TellsStart"] = json!(false);
        config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(5_000.0);
    });
    let (first, mut connection) = attempt(&worker, &program, "e0", "");
    let mut clients = connect_clients(&program, 1);
    clients.insert(0, first);
    within_one_turn(&program, || {
        clients[1].write_all(job_request("e1", "balance", "", "").as_bytes()).expect("written");
        connection.write(FULL);
    });
    let mut other = worker.connection();
    for n in [1, 0] {
        assert_eq!(other.request(), Some(format!("POST /balance e{n}")));
        other.write(TAKEN);
        send_status_update(&program, &format!("e{n}"), "started");
    }
    connection.write(FULL);
    assert_eq!(connection.request(), None, "what it said unasked ends it");
    for (n, client) in clients.iter_mut().enumerate() {
        send_status_update(&program, &format!("e{n}"), "done");
        assert_eq!(read_reply(client).expect("an answer").status, 200);
    }
    assert_eq!(program.shut_down_for_metrics()["dispatches"], 3);
}

/// No dispatch is answered so: it is what was answered to something before it. The worker may have taken this one.
#[test]
fn ignores_response_to_another_request() {
    let (worker, program) = ManualWorker::start(|_| {});
    let (mut client, mut connection) = attempt(&worker, &program, "f0", "X-Time-Left-Ms: 1000\r\n");
    connection.write("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(connection.request(), None);
    assert_eq!(worker.connection().request().as_deref(), Some("DELETE /jobs/f0"));
    assert_eq!(read_reply(&mut client).expect("an answer").status, 503);
    assert_eq!(program.shut_down_for_metrics()["dispatches"], 1);
}
