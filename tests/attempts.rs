//! What an attempt at a worker may be mistaken for. The worker `s-1` is the test itself: it takes each connection, reads each
//! request and says each byte when its turn has come.

use mothproxy_stand_ins::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const TAKEN: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
/// How long a worker may take for its first answer.
const TAKE_MS: f64 = 1_000.0;

struct Worker(TcpListener);

impl Worker {
    fn start(change: impl FnOnce(&mut Value)) -> (Worker, Program) {
        let worker = Worker(TcpListener::bind("127.0.0.1:0").expect("a port"));
        let address = worker.0.local_addr().expect("an address").to_string();
        let program = start_with(&[], None, false, |config| {
            config["known"]["instances"] = json!([site::row("s-1", &address, "up")]);
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(TAKE_MS);
            change(config);
        });
        (worker, program)
    }

    fn wire(&self) -> Wire {
        let (stream, _) = self.0.accept().expect("a connection of the program");
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket option");
        Wire(stream)
    }
}

/// A connection to the worker, and the attempt on it.
struct Wire(TcpStream);

impl Wire {
    /// The next request's method, target and id; `None` once the program has closed it.
    fn request(&mut self) -> Option<String> {
        let mut seen = Vec::new();
        while !seen.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).ok()?;
            seen.push(byte[0]);
        }
        let head =
            Reply { status: 0, head: String::from_utf8_lossy(&seen).into_owned(), body: String::new() };
        let length = head.field("content-length").map_or(0, |n| n.parse().expect("a length"));
        self.0.read_exact(&mut vec![0; length]).ok()?;
        let line = head.head.lines().next().expect("a line").trim_end_matches(" HTTP/1.1").to_owned();
        Some(format!("{line} {}", head.field("x-correlation-id").unwrap_or("")).trim_end().to_owned())
    }

    fn say(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("the program reads");
    }
}

fn hand_in(program: &Program, request: &str) -> TcpStream {
    let mut client = connect(program.platform);
    client.write_all(request.as_bytes()).expect("written");
    client
}

/// Calls back.
fn news(program: &Program, id: &str, state: &str) {
    let text = json!({"id": id, "from": "s-1", "state": state, "result": "x"}).to_string();
    let head = "POST /_jobs/news HTTP/1.1\r\nHost: n0\r\nConnection: close";
    let call = format!("{head}\r\nContent-Length: {}\r\n\r\n{text}", text.len());
    assert_eq!(send(program.platform, &call).expect("an answer").status, 204);
}

/// An attempt has ended, and its connection never gets its answer: that is closed, and nothing is given up by name.
#[test]
fn what_has_ended_is_not_given_up() {
    let (worker, program) = Worker::start(|_| {});
    let mut client = hand_in(&program, &job("a0", "balance", "", "X-Time-Left-Ms: 1500\r\n"));
    let mut wire = worker.wire();
    assert_eq!(wire.request().as_deref(), Some("POST /balance a0"));
    news(&program, "a0", "returned");
    assert_eq!(wire.request(), None, "it is closed once it has had its time");
    assert_eq!(read_reply(&mut client).expect("an answer").status, 503);
    assert_eq!((program.figures()["connects"], wire.request()), (1, None));
}

/// However an attempt ends that its worker may have taken, it gets no other of that request, also where copies are allowed and there
/// is no other worker.
#[test]
fn what_a_worker_may_have_taken_is_not_tried_again_there() {
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
            Worker::start(|config| config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(300.0));
        let mut client = hand_in(&program, &job("b0", "balance", "", "X-Time-Left-Ms: 900\r\n"));
        let mut wire = worker.wire();
        assert_eq!(wire.request().as_deref(), Some("POST /balance b0"));
        wire.say(answer);
        if !state.is_empty() {
            news(&program, "b0", state);
        }
        assert_eq!(read_reply(&mut client).expect("an answer").status / 100, 5, "{answer}{state}");
        assert_eq!(program.figures()["dispatches"], 1, "{answer}{state}");
    }
}
