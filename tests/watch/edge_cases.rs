//! Requests that are refused, and answers that are no stream.

use crate::client::{get, submit};
use mothproxy_testkit::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

/// The one origin whose pages may watch.
const ALLOWED_ORIGIN: &str = "Origin: https://pay.example\r\n";
const ALLOW_ORIGIN_FIELD: &str = "Access-Control-Allow-Origin: https://pay.example";

/// A request and its answer.
struct Case {
    request: String,
    status: u16,
    /// What the head of the answer holds.
    holds: &'static str,
}

impl Case {
    fn new(request: String, status: u16, holds: &'static str) -> Case {
        Case { request, status, holds }
    }

    fn request_line(&self) -> &str {
        self.request.lines().next().unwrap_or("")
    }

    /// Whether the answer has no body, whatever its fields say.
    fn is_answered_without_body(&self) -> bool {
        self.request_line().starts_with("HEAD") || self.status == 204
    }

    /// Whether it must be refused like a job that nobody has, so that nothing can be learned from the refusal.
    fn is_refused_like_unknown_job(&self) -> bool {
        self.status == 403 && self.holds.is_empty() && !self.request_line().starts_with("OPTIONS")
    }

    fn check(&self, sse: SocketAddr, unknown_job: &HttpReply) {
        let line = self.request_line();
        let (status, head) = if self.is_answered_without_body() {
            let head = read_answer_without_body(sse, &self.request);
            (status_of(&head), head)
        } else {
            let reply = send(sse, &self.request).expect("an answer");
            if self.is_refused_like_unknown_job() {
                let expected = (&unknown_job.head, &unknown_job.body);
                assert_eq!((&reply.head, &reply.body), expected, "{line}: it tells more");
            }
            (reply.status, reply.head)
        };
        assert_eq!(status, self.status, "{line}");
        assert!(head.contains(self.holds), "{line}: no {:?} in {head}", self.holds);
    }
}

/// The head of an answer that must have nothing after it.
fn read_answer_without_body(to: SocketAddr, request: &str) -> String {
    let line = request.lines().next().unwrap_or("");
    let mut connection = connect(to);
    connection.write_all(request.as_bytes()).expect("written");
    let (mut received, mut buffer) = (Vec::new(), [0; 2048]);
    while !received.windows(4).any(|window| window == b"\r\n\r\n") {
        let count = connection.read(&mut buffer).expect("read");
        assert!(count > 0, "{line}");
        received.extend(&buffer[..count]);
    }
    assert!(received.ends_with(b"\r\n\r\n"), "{line}: a body where there is none");
    String::from_utf8_lossy(&received).into_owned()
}

/// The status in the head of an answer; 0 if there is none.
fn status_of(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// The program with an SSE listener for one origin, and a job that runs.
struct Site {
    _program: DispatcherProcess,
    sse: SocketAddr,
    worker: Arc<FakeWorker>,
    location: String,
    /// It holds the configuration of the listener.
    _folder: tempfile::TempDir,
}

impl Site {
    fn start() -> Site {
        let worker = FakeWorker::start("s-1");
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("origins.toml");
        let text = "listen = \"127.0.0.1:0\"\norigins = [\"https://pay.example\"]\n";
        std::fs::write(&file, text).expect("written");
        let args = [std::ffi::OsStr::new("--sse"), file.as_os_str()];
        let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).args(&args).start();
        let sse = program.sse.expect("the SSE listener is on");
        let location = submit(sse, "a1", "take started wait=end done=x", ALLOWED_ORIGIN);
        Site { _program: program, sse, worker, location, _folder: folder }
    }
}

/// A stream asked for with a wrong token, path, type, method or origin; and jobs handed in that cannot be taken.
fn cases(location: &str, other_location: &str) -> Vec<Case> {
    let (path, token) = location.split_once("?token=").expect("a token");
    let other_token = other_location.split_once("?token=").expect("a token").1;
    let with_method = |method: &str, path: &str, fields: &str| get(path, fields).replacen("GET", method, 1);
    let bearer = format!("Authorization: Bearer {token}\r\n");
    let evil_origin = "Origin: https://evil.example\r\n";
    let bad_wish = "Prefer: respond-async\r\nX-Unwatched: perhaps\r\n";
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
        Case::new(job_request("a3", "redeem", "x", bad_wish), 400, ""),
        Case::new(job_request("a1", "redeem", "x", "Prefer: respond-async\r\n"), 409, ""), // that id is open
    ]
}

/// Whatever is wrong with a request is answered with its status, and a job of another client like one that is not there.
#[test]
fn edge_cases_get_their_status() {
    let site = Site::start();
    let other_location = submit(site.sse, "a2", "take started wait=end done=x", "");
    let (_, token) = site.location.split_once("?token=").expect("a token");
    let unknown = get(&format!("/streams/0000000000000000?token={token}"), "");
    let unknown_job = send(site.sse, &unknown).expect("an answer");
    for case in cases(&site.location, &other_location) {
        case.check(site.sse, &unknown_job);
    }
    assert_http_1_0_gets_plain_stream(&site);
}

/// HTTP/1.0 knows no chunks: the stream is as it is, and ends with its connection.
fn assert_http_1_0_gets_plain_stream(site: &Site) {
    site.worker.open_gate("end");
    let mut connection = connect(site.sse);
    let request = get(&site.location, "").replace("HTTP/1.1", "HTTP/1.0");
    connection.write_all(request.as_bytes()).expect("written");
    let mut text = String::new();
    connection.read_to_string(&mut text).expect("text");
    assert!(!text.contains("Transfer-Encoding") && text.contains("Connection: close"), "{text}");
    assert!(text.ends_with("event: done\ndata: {\"result\":\"x\"}\n\n"), "{text}");
}
