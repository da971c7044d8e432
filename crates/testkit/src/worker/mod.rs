//! A fake worker: an HTTP server on its own thread. The body of each job is a script for it; [`script`] has the commands.

mod script;

use crate::http::{BodyFraming, MAX_HEADERS, read_body, read_more, read_reply, status_callback_request};
use crate::job_status::JobStatus;
use crate::{site, wait_until};
use script::ScriptRun;
use serde_json::Value;
use std::collections::HashSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A worker that runs the scripts in the bodies of its jobs (`worker/script.rs` has the commands). It serves until the test
/// process ends.
pub struct FakeWorker {
    /// The name of the worker in the endpoint list.
    pub name: String,
    /// The address of the worker, on loopback.
    pub address: SocketAddr,
    /// A line for each request, in order of arrival: method, target, id and idempotency key. Also a line `stale ID` for each job
    /// whose connection was closed by `stale=NAME`, and `flooded` after each completed `flood`.
    pub received: Mutex<Vec<String>>,
    /// The number of jobs that arrived.
    pub job_count: AtomicU64,
    callback_address: Mutex<Option<SocketAddr>>,
    open_gates: Mutex<HashSet<String>>,
}

/// A received request.
struct WorkerRequest {
    method: String,
    target: String,
    id: String,
    key: String,
    body: String,
}

impl WorkerRequest {
    /// Reads the next request from a connection; `None` if the connection ends before the request is complete.
    fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<WorkerRequest> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(length) = head.parse(buffer).expect("not an HTTP request") else {
                read_more(stream, buffer).then_some(())?;
                continue;
            };
            let field = |name: &str| {
                let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
                found.map_or(String::new(), |header| String::from_utf8_lossy(header.value).into_owned())
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
    /// Starts a worker that listens on loopback.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub fn start(name: &str) -> Arc<FakeWorker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
        let address = listener.local_addr().expect("no local address");
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
        *self.callback_address.lock().expect("mutex poisoned") = Some(dispatcher);
    }

    /// The entry of this worker in an endpoint list.
    pub fn endpoint_entry(&self, lifecycle: &str) -> Value {
        site::endpoint_entry(&self.name, &self.address.to_string(), lifecycle)
    }

    /// Whether a line of `received` contains this text.
    ///
    /// # Panics
    ///
    /// If a thread of the worker has panicked.
    pub fn has_received(&self, text: &str) -> bool {
        self.received.lock().expect("mutex poisoned").iter().any(|line| line.contains(text))
    }

    /// Opens a gate: jobs that `wait` for it continue.
    ///
    /// # Panics
    ///
    /// If a thread of the worker has panicked.
    pub fn open_gate(&self, gate: &str) {
        self.open_gates.lock().expect("mutex poisoned").insert(gate.to_owned());
    }

    fn record(&self, line: String) {
        self.received.lock().expect("mutex poisoned").push(line);
    }

    fn wait_for_gate(&self, gate: &str) {
        wait_until(gate, || self.open_gates.lock().expect("mutex poisoned").contains(gate));
    }

    /// Answers the requests of a connection: each job according to its script.
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
                return; // as if the worker had closed the idle connection just before the request
            }
            is_reused = true;
            if !ScriptRun::new(&self, &mut stream, &id).run(&body) {
                return;
            }
        }
    }

    /// Reports a status to the dispatcher by a status callback. Returns false if that was not answered with 204.
    fn call_back(&self, job_id: &str, status: &JobStatus) -> bool {
        let dispatcher = self.callback_address.lock().expect("mutex poisoned").expect("no callback address");
        let call = status_callback_request(&status.to_callback(job_id, &self.name));
        // The connect fails if the dispatcher was killed.
        let Ok(mut stream) = TcpStream::connect(dispatcher) else { return false };
        let _ = stream.write_all(call.as_bytes());
        read_reply(&mut stream).is_some_and(|reply| reply.status == 204)
    }
}
