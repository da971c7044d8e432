//! A fake worker: an HTTP server on a thread of its own, whose behaviour each job's body scripts.
//!
//! A script is a line of commands, each a word or `word=value`, run in their order:
//!
//! | command | effect |
//! | --- | --- |
//! | `take` | accepts the job (202); the rest runs on a thread of its own, the connection is free |
//! | `stream` | answers 200 and reports status updates as events on this connection |
//! | `started`, `running=FRACTION`, `done=RESULT`, `failed`, `returned`, `lost` | reports this status |
//! | `full`, `busy`, `error` | answers 503 with `X-Unprocessed`, 503, 500 |
//! | `wait=GATE` | waits for [`FakeWorker::open_gate`] |
//! | `pause=MS` | waits |
//! | `tick=COUNT,MS` | so many progress updates, so far apart, each with its send time |
//! | `flood=COUNT`, `big=BYTES` | so many events at once; one event of that size |
//! | `cut`, `half` | shuts the connection down; the same in the middle of an event |
//! | `hang` | is silent until the other side gives up; after `take`: reports nothing more |
//! | `mute=NAME`, `stale=NAME` | on the worker of that name: is silent; closes a reused connection on arrival |

use crate::http::{BodyFraming, MAX_HEADERS, chunk, read_body, read_more, read_reply, status_update_request};
use crate::{site, timestamp_fraction, wait_until};
use serde_json::{Value, json};
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A worker whose behaviour the jobs' bodies script (see the module). It serves until the test's process ends.
pub struct FakeWorker {
    /// Its name in the endpoint list.
    pub name: String,
    /// Where it listens: loopback, at a port that the system picked.
    pub address: SocketAddr,
    /// A line for each request in order of arrival: method, target, id and idempotency key; `stale ID` and `flooded` too.
    pub received: Mutex<Vec<String>>,
    /// How many jobs arrived.
    pub job_count: AtomicU64,
    callback_address: Mutex<Option<SocketAddr>>,
    open_gates: Mutex<HashSet<String>>,
}

/// A request as it arrived.
struct WorkerRequest {
    method: String,
    target: String,
    id: String,
    key: String,
    body: String,
}

impl WorkerRequest {
    /// Reads the next one off a connection; `None` if the connection ends before it is whole.
    fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<WorkerRequest> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(length) = head.parse(buffer).expect("an HTTP request") else {
                read_more(stream, buffer).then_some(())?;
                continue;
            };
            let field = |name: &str| {
                let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                found.map_or(String::new(), |h| String::from_utf8_lossy(h.value).into_owned())
            };
            let mut request = WorkerRequest {
                method: head.method.unwrap_or("").to_owned(),
                target: head.path.unwrap_or("").to_owned(),
                id: field("X-Correlation-Id"),
                key: field("Idempotency-Key"),
                body: String::new(),
            };
            let framing = BodyFraming::from_headers(head.headers, BodyFraming::Length(0));
            buffer.drain(..length);
            let body = read_body(stream, buffer, framing)?;
            request.body = String::from_utf8_lossy(&body).into_owned();
            return Some(request);
        }
    }
}

impl FakeWorker {
    /// Starts one that listens on loopback.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub fn start(name: &str) -> Arc<FakeWorker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let worker = Arc::new(FakeWorker {
            name: name.to_owned(),
            address,
            received: Mutex::default(),
            job_count: AtomicU64::new(0),
            callback_address: Mutex::default(),
            open_gates: Mutex::default(),
        });
        let shared = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = shared.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// Sends status updates to this dispatcher from now on.
    ///
    /// # Panics
    ///
    /// If a thread of the worker has panicked.
    pub fn set_callback_address(&self, dispatcher: SocketAddr) {
        *self.callback_address.lock().expect("a lock") = Some(dispatcher);
    }

    /// Its entry in an endpoint list.
    pub fn endpoint_entry(&self, lifecycle: &str) -> Value {
        site::endpoint_entry(&self.name, &self.address.to_string(), lifecycle)
    }

    /// Whether a line of `received` contains this text.
    ///
    /// # Panics
    ///
    /// If a thread of the worker has panicked.
    pub fn has_received(&self, text: &str) -> bool {
        self.received.lock().expect("a lock").iter().any(|line| line.contains(text))
    }

    /// Lets the jobs continue that `wait` for this gate.
    ///
    /// # Panics
    ///
    /// If a thread of the worker has panicked.
    pub fn open_gate(&self, gate: &str) {
        self.open_gates.lock().expect("a lock").insert(gate.to_owned());
    }

    fn record(&self, line: String) {
        self.received.lock().expect("a lock").push(line);
    }

    fn serve(self: Arc<FakeWorker>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let mut is_reused = false;
        while let Some(request) = WorkerRequest::read(&mut stream, &mut buffer) {
            let WorkerRequest { method, target, id, key, body } = request;
            self.record(format!("{method} {target} {id} {key}"));
            if method == "DELETE" {
                let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                continue;
            }
            self.job_count.fetch_add(1, Ordering::SeqCst);
            if is_reused && body.contains(&format!("stale={}", self.name)) {
                self.record(format!("stale {id}"));
                return; // as if it had closed the idle connection just before
            }
            is_reused = true;
            let mut run = ScriptRun {
                worker: &self,
                stream: &mut stream,
                job_id: &id,
                is_streaming: false,
                is_accepted: false,
            };
            if !run.run(&body) {
                return;
            }
        }
    }

    /// Reports a status update to the dispatcher by a call; false if that was not answered with 204.
    fn call_back(&self, job_id: &str, mut update: Value) -> bool {
        let dispatcher = self.callback_address.lock().expect("a lock").expect("the dispatcher's address");
        update["id"] = json!(job_id);
        update["from"] = json!(self.name);
        let call = status_update_request(&update);
        // The dispatcher may have been killed: then nobody receives it.
        let Ok(mut stream) = TcpStream::connect(dispatcher) else { return false };
        let _ = stream.write_all(call.as_bytes());
        read_reply(&mut stream).is_some_and(|reply| reply.status == 204)
    }
}

/// What becomes of the connection after a command.
enum Next {
    RunNextCommand,
    KeepConnection,
    CloseConnection,
}

impl Next {
    /// The next command if the last one succeeded; otherwise the connection is of no use.
    fn after(succeeded: bool) -> Next {
        if succeeded { Next::RunNextCommand } else { Next::CloseConnection }
    }
}

/// The run of one job's script.
struct ScriptRun<'a> {
    worker: &'a Arc<FakeWorker>,
    stream: &'a mut TcpStream,
    job_id: &'a str,
    /// Status updates go out as events on this connection.
    is_streaming: bool,
    /// The job was accepted, so its updates go out as callbacks.
    is_accepted: bool,
}

impl ScriptRun<'_> {
    /// Runs a script to its end; false if the connection closes with it.
    fn run(&mut self, script: &str) -> bool {
        let mut remaining = Some(script);
        while let Some(commands) = remaining {
            let (command, rest) = match commands.split_once(' ') {
                Some((command, rest)) => (command, Some(rest)),
                None => (commands, None),
            };
            remaining = rest;
            let (name, value) = command.split_once('=').unwrap_or((command, ""));
            match self.step(name, value, rest) {
                Next::RunNextCommand => {}
                Next::KeepConnection => return true,
                Next::CloseConnection => return false,
            }
        }
        !self.is_streaming
    }

    fn step(&mut self, command: &str, value: &str, rest: Option<&str>) -> Next {
        match command {
            "take" => self.accept(rest),
            "wait" => {
                let worker = self.worker;
                wait_until(value, || worker.open_gates.lock().expect("a lock").contains(value));
                Next::RunNextCommand
            }
            "stream" => self.begin_stream(),
            "full" => self.write("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"),
            "busy" => self.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
            "error" => self.write("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"),
            "cut" => {
                let _ = self.stream.shutdown(Shutdown::Both);
                Next::CloseConnection
            }
            "pause" => {
                std::thread::sleep(Duration::from_millis(value.parse().expect("a number")));
                Next::RunNextCommand
            }
            "tick" => self.send_progress(value),
            "flood" => self.flood(value),
            "half" => self.send_half_an_event(),
            "big" => {
                let filler = "x".repeat(value.parse().expect("a number"));
                self.write(&event(&json!({"state": "running", "filler": filler})))
            }
            "stale" => Next::RunNextCommand, // see FakeWorker::serve
            "mute" if value != self.worker.name => Next::RunNextCommand,
            "hang" if self.is_accepted => Next::KeepConnection, // nothing more is reported
            "mute" | "hang" => {
                let _ = self.stream.read(&mut [0; 64]); // until the other side gives up
                Next::CloseConnection
            }
            "started" => self.report(json!({"state": "started"})),
            "running" => {
                let fraction = value.parse::<f64>().expect("a fraction");
                self.report(json!({"state": "running", "share": fraction}))
            }
            "done" => self.report(json!({"state": "done", "result": value, "load": {"cpu": 0.2, "x0": 3.0}})),
            "failed" | "returned" | "lost" => self.report(json!({"state": command})),
            _ => Next::CloseConnection,
        }
    }

    fn write(&mut self, text: &str) -> Next {
        Next::after(self.stream.write_all(text.as_bytes()).is_ok())
    }

    /// Reports a status update, as an event or by a callback.
    fn report(&mut self, update: Value) -> Next {
        if self.is_streaming {
            self.write(&event(&update))
        } else {
            Next::after(self.worker.call_back(self.job_id, update))
        }
    }

    /// Accepts the job. The rest of the script runs by itself: the connection is free for the next job.
    fn accept(&mut self, rest: Option<&str>) -> Next {
        let is_written = self.stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").is_ok();
        if let (Some(rest), Ok(mut stream)) = (rest.map(str::to_owned), self.stream.try_clone()) {
            let (worker, job_id) = (self.worker.clone(), self.job_id.to_owned());
            std::thread::spawn(move || {
                let mut run = ScriptRun {
                    worker: &worker,
                    stream: &mut stream,
                    job_id: &job_id,
                    is_streaming: false,
                    is_accepted: true,
                };
                run.run(&rest)
            });
        }
        if is_written { Next::KeepConnection } else { Next::CloseConnection }
    }

    fn begin_stream(&mut self) -> Next {
        self.is_streaming = true;
        self.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
    }

    /// `COUNT,MS`: progress updates with their send times.
    fn send_progress(&mut self, value: &str) -> Next {
        let (count, interval_ms) = value.split_once(',').expect("COUNT,MS");
        let count: u32 = count.parse().expect("a number");
        let interval = Duration::from_millis(interval_ms.parse().expect("a number"));
        for _ in 0..count {
            std::thread::sleep(interval);
            let next = self.report(json!({"state": "running", "share": timestamp_fraction()}));
            if !matches!(next, Next::RunNextCommand) {
                return next;
            }
        }
        Next::RunNextCommand
    }

    /// Sends many events at once: a client that reads nothing for 2.5 s is disconnected.
    fn flood(&mut self, count: &str) -> Next {
        let count: u32 = count.parse().expect("a number");
        let running = |n: u32| json!({"state": "running", "share": f64::from(n % 100) / 100.0});
        let next = self.write(&(0..count).map(|n| event(&running(n))).collect::<String>());
        if matches!(next, Next::RunNextCommand) {
            self.worker.record("flooded".to_owned());
        }
        next
    }

    /// Ends the connection in the middle of an event.
    fn send_half_an_event(&mut self) -> Next {
        let text = event(&json!({"state": "running", "share": 0.5}));
        let _ = self.stream.write_all(&text.as_bytes()[..text.len() / 2]);
        let _ = self.stream.shutdown(Shutdown::Both);
        Next::CloseConnection
    }
}

/// A chunk with one server-sent event.
fn event(update: &Value) -> String {
    let state = update["state"].as_str().expect("a state");
    chunk(&format!("event: {state}\ndata: {update}\n\n"))
}
