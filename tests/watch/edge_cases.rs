//! Requests that are rejected, and responses that are not event streams.

use crate::client::{get, submit};
use mothproxy_testkit::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

/// The header field with the only origin that is allowed to watch.
const ALLOWED_ORIGIN: &str = "Origin: https://pay.example\r\n";
const ALLOW_ORIGIN_FIELD: &str = "Access-Control-Allow-Origin: https://pay.example";

/// A request and its expected response.
struct Case {
    request: String,
    status: u16,
    /// Text that the head of the response contains.
    expected_in_head: &'static str,
}

impl Case {
    fn new(request: String, status: u16, expected_in_head: &'static str) -> Case {
        Case { request, status, expected_in_head }
    }

    fn request_line(&self) -> &str {
        self.request.lines().next().unwrap_or("")
    }

    /// Whether the response has no body, whatever its header fields say.
    fn is_answered_without_body(&self) -> bool {
        self.request_line().starts_with("HEAD") || self.status == 204
    }

    /// Whether the response must be identical to that for an unknown job, so that it does not reveal whether the job exists.
    fn is_rejected_like_unknown_job(&self) -> bool {
        self.status == 403 && self.expected_in_head.is_empty() && !self.request_line().starts_with("OPTIONS")
    }

    fn check(&self, sse: SocketAddr, unknown_job: &HttpReply) {
        let line = self.request_line();
        let (status, head) = if self.is_answered_without_body() {
            let head = read_answer_without_body(sse, &self.request);
            (status_of(&head), head)
        } else {
            let reply = send(sse, &self.request).expect("no complete response");
            if self.is_rejected_like_unknown_job() {
                let expected = (&unknown_job.head, &unknown_job.body);
                assert_eq!(
                    (&reply.head, &reply.body),
                    expected,
                    "{line}: differs from the response for an unknown job"
                );
            }
            (reply.status, reply.head)
        };
        assert_eq!(status, self.status, "{line}");
        assert!(head.contains(self.expected_in_head), "{line}: no {:?} in {head}", self.expected_in_head);
    }
}

/// Reads the head of a response, and asserts that no body follows.
fn read_answer_without_body(to: SocketAddr, request: &str) -> String {
    let line = request.lines().next().unwrap_or("");
    let mut connection = connect(to);
    connection.write_all(request.as_bytes()).expect("write failed");
    let (mut received, mut buffer) = (Vec::new(), [0; 2048]);
    while !received.windows(4).any(|window| window == b"\r\n\r\n") {
        let count = connection.read(&mut buffer).expect("read failed");
        assert!(count > 0, "{line}: connection closed before the end of the head");
        received.extend(&buffer[..count]);
    }
    assert!(received.ends_with(b"\r\n\r\n"), "{line}: unexpected body");
    String::from_utf8_lossy(&received).into_owned()
}

/// The status in the head of a response; 0 if there is none.
fn status_of(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// The program with an SSE listener that allows one origin, and a running job.
struct Site {
    _program: DispatcherProcess,
    sse: SocketAddr,
    worker: Arc<FakeWorker>,
    location: String,
    /// The directory of the listener's configuration file.
    _folder: tempfile::TempDir,
}

impl Site {
    fn start() -> Site {
        let worker = FakeWorker::start("s-1");
        let folder = tempfile::tempdir().expect("cannot create the temporary directory");
        let file = folder.path().join("origins.toml");
        let text = "listen = \"127.0.0.1:0\"\norigins = [\"https://pay.example\"]\n";
        std::fs::write(&file, text).expect("write failed");
        let args = [std::ffi::OsStr::new("--sse"), file.as_os_str()];
        let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).args(&args).start();
        let sse = program.sse.expect("no SSE listener");
        let location = submit(sse, "a1", "take started wait=end done=x", ALLOWED_ORIGIN);
        Site { _program: program, sse, worker, location, _folder: folder }
    }
}

/// Requests for a stream with a wrong token, path, type, method or origin, and submissions that are rejected.
fn cases(location: &str, other_location: &str) -> Vec<Case> {
    let (path, token) = location.split_once("?token=").expect("no token in the location");
    let other_token = other_location.split_once("?token=").expect("no token in the location").1;
    let with_method = |method: &str, path: &str, fields: &str| get(path, fields).replacen("GET", method, 1);
    let bearer = format!("Authorization: Bearer {token}\r\n");
    let evil_origin = "Origin: https://evil.example\r\n";
    let invalid_preference = "Prefer: respond-async\r\nX-Unwatched: perhaps\r\n";
    vec![
        Case::new(get(path, ""), 403, ""),
        Case::new(get(&format!("{path}?token={other_token}"), ""), 403, ""),
        Case::new(get(&format!("{path}?token=zz"), ""), 403, ""),
        Case::new(get("/streams/", ""), 403, ""),
        Case::new(get("/streams/../x", ""), 403, ""),
        Case::new(get(location, "Accept: application/json\r\n"), 406, ""),
        Case::new(get(location, "Accept: text/event-stream;q=0, */*\r\n"), 406, ""),
        Case::new(get("/elsewhere", ""), 404, ""),
        Case::new(with_method("DELETE", location, ""), 405, "Allow: GET, HEAD, OPTIONS"),
        Case::new(with_method("HEAD", location, ""), 200, "text/event-stream"),
        Case::new(with_method("HEAD", path, &bearer), 200, "no-store"),
        Case::new(with_method("OPTIONS", location, evil_origin), 403, ""),
        Case::new(with_method("OPTIONS", "/redeem", ""), 403, ""),
        Case::new(with_method("OPTIONS", "/redeem", ALLOWED_ORIGIN), 204, ALLOW_ORIGIN_FIELD),
        Case::new(with_method("HEAD", location, ALLOWED_ORIGIN), 200, ALLOW_ORIGIN_FIELD),
        Case::new(job_request("a3", "redeem", "x", invalid_preference), 400, ""),
        Case::new(job_request("a1", "redeem", "x", "Prefer: respond-async\r\n"), 409, ""), // a job with that id is open
    ]
}

/// Each fault of a request is answered with its own status, and a request for another client's job like one for an unknown job.
#[test]
fn edge_cases_get_their_status() {
    let site = Site::start();
    let other_location = submit(site.sse, "a2", "take started wait=end done=x", "");
    let (_, token) = site.location.split_once("?token=").expect("no token in the location");
    let unknown = get(&format!("/streams/0000000000000000?token={token}"), "");
    let unknown_job = send(site.sse, &unknown).expect("no complete response");
    for case in cases(&site.location, &other_location) {
        case.check(site.sse, &unknown_job);
    }
    assert_http_1_0_gets_plain_stream(&site);
}

/// HTTP/1.0 has no chunked encoding: the stream is sent without framing, and its end is the end of the connection.
fn assert_http_1_0_gets_plain_stream(site: &Site) {
    site.worker.open_gate("end");
    let mut connection = connect(site.sse);
    let request = get(&site.location, "").replace("HTTP/1.1", "HTTP/1.0");
    connection.write_all(request.as_bytes()).expect("write failed");
    let mut text = String::new();
    connection.read_to_string(&mut text).expect("read failed");
    assert!(!text.contains("Transfer-Encoding") && text.contains("Connection: close"), "{text}");
    assert!(text.ends_with("event: done\ndata: {\"result\":\"x\"}\n\n"), "{text}");
}
