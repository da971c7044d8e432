//! A worker that is the test itself, and the jobs that are sent to it.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;

pub const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
pub const REFUSED: &str = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
/// The beginning of the log line about a response that no request awaits.
pub const UNSOLICITED: &str = "response that no request awaits";
/// How long a worker may take for its first response, in milliseconds.
pub const CONNECT_TIMEOUT_MS: f64 = 1_000.0;

/// A worker whose connections are served step by step by the test.
pub struct ManualWorker(pub TcpListener);

impl ManualWorker {
    /// Starts the worker, and a dispatcher that knows only this worker. `change` changes the dispatcher's configuration.
    pub fn start(change: impl FnOnce(&mut Value)) -> (ManualWorker, DispatcherProcess) {
        ManualWorker::start_in(None, change)
    }

    /// The same, with this directory as `$TMPDIR` of the dispatcher.
    pub fn start_in(
        temp_dir: Option<&Path>,
        change: impl FnOnce(&mut Value),
    ) -> (ManualWorker, DispatcherProcess) {
        let worker = ManualWorker(TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port"));
        let address = worker.0.local_addr().expect("no local address").to_string();
        let program = DispatcherProcess::builder(&[])
            .temp_dir(temp_dir)
            .configure(|config| {
                config["known"]["instances"] = json!([site::endpoint_entry("s-1", &address, "up")]);
                config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(CONNECT_TIMEOUT_MS);
                change(config);
            })
            .start();
        (worker, program)
    }

    /// Accepts a connection of the dispatcher; `None` if none is waiting.
    pub fn accept(&self) -> Option<WorkerConnection> {
        self.0.set_nonblocking(true).expect("cannot set socket option");
        let (stream, _) = self.0.accept().ok()?;
        stream.set_nonblocking(false).expect("cannot set socket option");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
        Some(WorkerConnection(stream))
    }

    /// Waits for a connection of the dispatcher, and accepts it.
    pub fn connection(&self) -> WorkerConnection {
        let mut connection = None;
        wait_until("the dispatcher connects", || {
            connection = self.accept();
            connection.is_some()
        });
        connection.expect("no connection of the dispatcher")
    }
}

/// A connection to the worker, and the attempt on it.
pub struct WorkerConnection(TcpStream);

impl WorkerConnection {
    /// Reads the next request, and returns its method, target and id; `None` if the dispatcher has closed the connection.
    pub fn request(&mut self) -> Option<String> {
        let mut seen = Vec::new();
        while !seen.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            let read = self.0.read_exact(&mut byte);
            let has_timed_out = read.as_ref().is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
            assert!(
                !has_timed_out,
                "neither a request nor the end of the connection within {WAIT_TIMEOUT:?}"
            );
            read.ok()?;
            seen.push(byte[0]);
        }
        let head =
            HttpReply { status: 0, head: String::from_utf8_lossy(&seen).into_owned(), body: String::new() };
        let length =
            head.header("content-length").map_or(0, |n| n.parse().expect("Content-Length is not a number"));
        self.0.read_exact(&mut vec![0; length]).ok()?;
        let line =
            head.head.lines().next().expect("no request line").trim_end_matches(" HTTP/1.1").to_owned();
        Some(format!("{line} {}", head.header("x-correlation-id").unwrap_or("")).trim_end().to_owned())
    }

    /// Whether there are bytes to read.
    pub fn has_bytes(&self) -> bool {
        self.0.set_nonblocking(true).expect("cannot set socket option");
        let count = self.0.peek(&mut [0]);
        self.0.set_nonblocking(false).expect("cannot set socket option");
        matches!(count, Ok(1))
    }

    pub fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("write failed");
    }
}

/// Sends a request on a new connection, and returns the connection.
pub fn submit(program: &DispatcherProcess, request: &str) -> TcpStream {
    let mut client = connect(program.platform);
    client.write_all(request.as_bytes()).expect("write failed");
    client
}

/// Submits a job, and waits until the worker has read the attempt. Returns both connections.
pub fn start_attempt(
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

/// Sends a status callback of the worker `s-1`.
pub fn send_status_callback(program: &DispatcherProcess, id: &str, state: &str) {
    let callback = json!({"id": id, "from": "s-1", "state": state, "result": "x"});
    assert_eq!(
        send(program.platform, &status_callback_request(&callback)).expect("no complete response").status,
        204
    );
}
