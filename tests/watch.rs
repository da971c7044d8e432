//! Jobs apart from their streams, over real sockets: handing in, resuming, the end, the edges, upgrades, and many at once.

use eventsource_stream::Eventsource;
use mothproxy::http::{self, Body, EventStream, StreamEvent};
use mothproxy_testkit::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Hands a job in; the place of its streams.
fn submit(to: SocketAddr, id: &str, body: &str, extra: &str) -> String {
    let reply = send(to, &job_request(id, "redeem", body, &format!("Prefer: respond-async\r\n{extra}")))
        .expect("an answer");
    assert_eq!(reply.status, 202, "{}", reply.head);
    let location = reply.header("Location").expect("a place").to_owned();
    let transferred_part: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
    assert_eq!(transferred_part["stream"].as_str(), Some(location.as_str()));
    location
}

fn get(location: &str, extra: &str) -> String {
    format!("GET {location} HTTP/1.1\r\nHost: n0\r\n{extra}\r\n")
}

/// A stream as a client reads it.
struct Stream {
    connection: TcpStream,
    events: EventStream,
    status: u16,
    head: String,
    inbox: Vec<u8>,
    body: Option<Body>,
    raw: Vec<u8>,
    received: Vec<StreamEvent>,
    is_ended: bool,
}

impl Stream {
    fn open(to: SocketAddr, location: &str, extra: &str) -> Stream {
        Stream::on(connect(to), location, extra)
    }

    fn on(mut connection: TcpStream, location: &str, extra: &str) -> Stream {
        connection.write_all(get(location, extra).as_bytes()).expect("written");
        connection.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
        let mut stream = Stream {
            connection,
            events: EventStream::default(),
            status: 0,
            head: String::new(),
            inbox: Vec::new(),
            body: None,
            raw: Vec::new(),
            received: Vec::new(),
            is_ended: false,
        };
        while stream.body.is_none() && !stream.is_ended {
            stream.step();
        }
        stream
    }

    /// Reads once; false at the end of the stream or of the connection.
    fn step(&mut self) -> bool {
        if self.is_ended {
            return false;
        }
        let mut buf = [0; 16 * 1024];
        match self.connection.read(&mut buf) {
            Ok(0) | Err(_) => {
                self.is_ended = true;
                return false;
            }
            Ok(n) => self.inbox.extend(&buf[..n]),
        }
        if self.body.is_none() {
            let Some(head) = http::read_response(&self.inbox).expect("an HTTP answer") else { return true };
            self.status = head.status;
            self.head = String::from_utf8_lossy(&self.inbox[..head.len]).into_owned();
            self.inbox.drain(..head.len);
            self.body = Some(Body::new(head.framing));
        }
        let Some(body) = &mut self.body else { return true };
        let mut read = Vec::new();
        body.feed(&mut self.inbox, &mut read).expect("a sound body");
        self.is_ended = body.is_done();
        let received = &mut self.received;
        self.events.feed(&read, |event| received.push(event)).expect("sound events");
        self.raw.extend(read);
        !self.is_ended
    }

    fn read_until(&mut self, count: usize) -> Vec<String> {
        while self.received.len() < count && self.step() {}
        self.names()
    }

    fn names(&self) -> Vec<String> {
        self.received.iter().map(|e| format!("{} {}", e.id, e.name)).collect()
    }

    fn read_out(mut self) -> Stream {
        while !self.is_ended && self.step() {}
        self
    }
}

fn start_with_event_streams(workers: &[Arc<FakeWorker>]) -> (DispatcherProcess, SocketAddr) {
    let program = DispatcherProcess::builder(workers).event_streams(true).start();
    let sse = program.sse.expect("the SSE front is on");
    (program, sse)
}

#[test]
fn submitted_job_is_watched_resumed_and_finished() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", "take started running=0.2 wait=more running=0.7 done=paid", "");
    let mut first = Stream::open(sse, &location, "Accept: text/event-stream\r\n");
    assert_eq!((first.status, first.read_until(2)), (200, vec!["1 started".into(), "2 progress".into()]));
    assert!(
        first.head.contains("Cache-Control: no-store") && first.events.retry() == Some(500),
        "{}",
        first.head
    );
    drop(first); // it drops; the job goes on
    worker.open_gate("more");
    wait_until("the job is done", || {
        let again = Stream::open(sse, &location, "Last-Event-ID: 3\r\n").read_out();
        again.names() == ["4 done"]
    });
    // Two that had got to different places, one of them by the query; and one that had nothing.
    for (extra, query, expected) in [
        ("Last-Event-ID: 2\r\n", "", vec!["3 progress", "4 done"]),
        ("", "&last_event_id=1", vec!["2 progress", "3 progress", "4 done"]),
        ("Last-Event-ID: 3\r\n", "&last_event_id=1", vec!["4 done"]),
        ("Last-Event-ID: nonsense\r\n", "", vec!["1 started", "2 progress", "3 progress", "4 done"]),
    ] {
        let stream = Stream::open(sse, &format!("{location}{query}"), extra).read_out();
        assert_eq!(
            (stream.status, stream.names()),
            (200, expected.iter().map(|e| (*e).to_owned()).collect())
        );
        assert_eq!(stream.received.last().map(|e| e.data.as_str()), Some("{\"result\":\"paid\"}"));
    }
    // It has the final event: there is nothing to come back for.
    assert_eq!(send(sse, &get(&location, "Last-Event-ID: 4\r\n")).expect("an answer").status, 204);
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["served"]), (1, 1));
}

/// Read by a library of somebody else's.
#[test]
fn independent_reader_gets_same_events() {
    let worker = FakeWorker::start("s-1");
    let (_program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", "take started running=0.5 done=two\\nlines", "");
    let mut stream = Stream::open(sse, &location, "").read_out();
    if stream.received.last().is_none_or(|e| e.name != "done") {
        stream = Stream::open(sse, &location, "").read_out();
    }
    let chunks = stream.raw.chunks(7).map(|c| Ok::<_, std::io::Error>(c.to_vec()));
    let read = futures_executor::block_on(async {
        use futures_util::StreamExt;
        futures_util::stream::iter(chunks).eventsource().collect::<Vec<_>>().await
    });
    let theirs: Vec<StreamEvent> = read
        .into_iter()
        .map(|e| e.expect("an event"))
        .map(|e| StreamEvent { name: e.event, data: e.data, id: e.id })
        // That library hands on `retry` alone as an event without data; the standard does not.
        .filter(|e| !e.data.is_empty())
        .collect();
    assert_eq!(theirs, stream.received);
    assert!(theirs.len() >= 2);
}

#[test]
fn edge_cases_get_their_status() {
    let worker = FakeWorker::start("s-1");
    let file = std::env::temp_dir().join(format!("mothproxy-origins-{}.toml", std::process::id()));
    std::fs::write(&file, "listen = \"127.0.0.1:0\"\norigins = [\"https://pay.example\"]\n")
        .expect("written");
    let args = [std::ffi::OsStr::new("--sse"), file.as_os_str()];
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).args(&args).start();
    let sse = program.sse.expect("the SSE front is on");
    let location = submit(sse, "a1", "take started wait=end done=x", "Origin: https://pay.example\r\n");
    let (path, token) = location.split_once("?token=").expect("a token");
    let other = submit(sse, "a2", "take started wait=end done=x", "");
    let others = other.split_once("?token=").expect("a token").1;
    let unknown =
        send(sse, &get(&format!("/streams/0000000000000000?token={token}"), "")).expect("an answer");
    let ok = "Origin: https://pay.example\r\n";
    let cases: &[(String, u16, &str)] = &[
        (get(path, ""), 403, ""),
        (get(&format!("{path}?token={others}"), ""), 403, ""), // another job's
        (get(&format!("{path}?token=zz"), ""), 403, ""),
        (get("/streams/", ""), 403, ""),
        (get("/streams/../x", ""), 403, ""),
        (get(&location, "Accept: application/json\r\n"), 406, ""),
        (get(&location, "Accept: text/event-stream;q=0, */*\r\n"), 406, ""),
        (get("/elsewhere", ""), 404, ""),
        (get(&location, "").replacen("GET", "DELETE", 1), 405, "Allow: GET, HEAD, OPTIONS"),
        (get(&location, "").replacen("GET", "HEAD", 1), 200, "text/event-stream"),
        (
            get(path, &format!("Authorization: Bearer {token}\r\n")).replacen("GET", "HEAD", 1),
            200,
            "no-store",
        ),
        (get(&location, "Origin: https://evil.example\r\n").replacen("GET", "OPTIONS", 1), 403, ""),
        (get("/redeem", "").replacen("GET", "OPTIONS", 1), 403, ""),
        (
            get("/redeem", ok).replacen("GET", "OPTIONS", 1),
            204,
            "Access-Control-Allow-Origin: https://pay.example",
        ),
        (
            get(&location, ok).replacen("GET", "HEAD", 1),
            200,
            "Access-Control-Allow-Origin: https://pay.example",
        ),
        (job_request("a3", "redeem", "x", "Prefer: respond-async\r\nX-Unwatched: perhaps\r\n"), 400, ""),
        (job_request("a1", "redeem", "x", "Prefer: respond-async\r\n"), 409, ""), // that id is open
    ];
    for (request, status, holds) in cases {
        let head = request.lines().next().unwrap_or("").to_owned();
        let is_head = head.starts_with("HEAD") || *status == 204;
        let (got, text) = if is_head {
            let mut connection = connect(sse);
            connection.write_all(request.as_bytes()).expect("written");
            let (mut all, mut buf) = (Vec::new(), [0; 2048]);
            while !all.windows(4).any(|w| w == b"\r\n\r\n") {
                let n = connection.read(&mut buf).expect("read");
                assert!(n > 0, "{head}");
                all.extend(&buf[..n]);
            }
            assert!(all.ends_with(b"\r\n\r\n"), "{head}: a body where there is none");
            let text = String::from_utf8_lossy(&all).into_owned();
            (text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0), text)
        } else {
            let reply = send(sse, request).expect("an answer");
            if reply.status == 403 && holds.is_empty() && !head.starts_with("OPTIONS") {
                assert_eq!(
                    (&reply.head, &reply.body),
                    (&unknown.head, &unknown.body),
                    "{head}: it tells more"
                );
            }
            (reply.status, reply.head)
        };
        assert_eq!(got, *status, "{head}");
        assert!(text.contains(holds), "{head}: no {holds:?} in {text}");
    }
    // HTTP/1.0 knows no chunks: the stream is as it is, and ends with its connection.
    worker.open_gate("end");
    let mut old = connect(sse);
    old.write_all(get(&location, "").replace("HTTP/1.1", "HTTP/1.0").as_bytes()).expect("written");
    let mut text = String::new();
    old.read_to_string(&mut text).expect("text");
    assert!(!text.contains("Transfer-Encoding") && text.contains("Connection: close"), "{text}");
    assert!(text.ends_with("event: done\ndata: {\"result\":\"x\"}\n\n"), "{text}");
    let _ = std::fs::remove_file(file);
}

#[test]
fn cancels_only_unwatched_job_that_asked_for_it() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let ends = submit(sse, "a1", "take started hang", "X-Unwatched: end\r\n");
    let goes_on = submit(sse, "a2", "take started wait=go done=x", "");
    let mut watched = Stream::open(sse, &ends, "");
    assert_eq!(watched.read_until(1), ["1 started"]);
    drop(watched);
    wait_until("it is given up", || worker.has_received("DELETE /jobs/a1"));
    worker.open_gate("go");
    wait_until("the other is served", || {
        Stream::open(sse, &goes_on, "").read_out().names().last().is_some_and(|n| n == "2 done")
    });
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["served"], metrics["gone"]), (2, 1, 1));
}

#[test]
fn hot_restart_sends_watchers_to_successor() {
    let (folder, worker) = (tempfile::tempdir().expect("a folder"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let begin = |listen: &str, sse: Option<SocketAddr>| {
        let file = folder.path().join("sse.toml");
        let at = sse.map_or("127.0.0.1:0".to_owned(), |at| at.to_string());
        std::fs::write(&file, format!("listen = \"{at}\"\n")).expect("written");
        let args = [std::ffi::OsStr::new("--sse"), file.as_os_str()];
        DispatcherProcess::builder(workers)
            .temp_dir(folder.path())
            .args(&args)
            .configure(|config| config["listen"] = json!(listen))
            .start()
    };
    let predecessor = begin("127.0.0.1:0", None);
    let sse = predecessor.sse.expect("the SSE front is on");
    let done = submit(sse, "a1", "take started done=before", "");
    wait_until("it is done", || {
        Stream::open(sse, &done, "").read_out().names().last().is_some_and(|n| n == "2 done")
    });
    let location = submit(sse, "a2", "take started running=0.3 wait=go running=0.6 done=after", "");
    let mut watching = Stream::open(sse, &location, "");
    assert_eq!(watching.read_until(2), ["1 started", "2 progress"]);
    let successor = begin(&predecessor.platform.to_string(), Some(sse));
    assert_eq!(successor.sse, Some(sse));
    let transferred_part = watching.read_out();
    assert_eq!(
        transferred_part.names(),
        ["1 started", "2 progress"],
        "its stream ended without its final event"
    );
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0, "the predecessor ends cleanly");
    let mut back = Stream::open(sse, &location, "Last-Event-ID: 2\r\n");
    assert_eq!(back.status, 200);
    worker.open_gate("go");
    back = back.read_out();
    // Progress that the end overtakes within one turn is left out.
    let names = back.names();
    assert!(names == ["3 progress", "4 done"] || names == ["4 done"], "{names:?}");
    assert_eq!(Stream::open(sse, &done, "").read_out().names(), ["1 started", "2 done"], "it went over too");
    drop(successor);
}

/// Watches a job to its end, dropping and coming back at any point: its one final event, after all others. Then it is over.
fn follow(sse: SocketAddr, location: &str, rng: &mut fastrand::Rng) -> String {
    let (mut last, mut end) = (0u64, None);
    while end.is_none() {
        let mut stream = Stream::open(sse, location, &format!("Last-Event-ID: {last}\r\n"));
        assert_eq!(stream.status, 200);
        let stay = rng.usize(0..4);
        let whole = rng.bool();
        while (whole || stream.received.len() < stay) && stream.step() {}
        if stream.received.is_empty() {
            std::thread::sleep(Duration::from_millis(3)); // as `retry:` asks, only sooner
        }
        for event in &stream.received {
            let id: u64 = event.id.parse().expect("a number");
            assert!(id > last, "{id} after {last}");
            assert_eq!(end, None, "{} after the final event", event.name);
            last = id;
            end = ["done", "deny", "failed"].contains(&event.name.as_str()).then(|| event.name.clone());
        }
    }
    let over = send(sse, &get(location, &format!("Last-Event-ID: {last}\r\n"))).expect("an answer");
    assert_eq!(over.status, 204);
    end.unwrap_or_default()
}

/// Faults on the workers' side as well: streams that are cut, break off inside an event, stall after a tick, or end twice. The
/// watchers drop and come back all the while: each job still has one final event, in order, and none is left open.
#[test]
fn one_final_event_per_job_under_worker_faults() {
    const FAULTS: [&str; 8] = [
        "cut",
        "stream started cut",
        "stream started running=0.1 cut",
        "stream started running=0.2 half",
        "stream started running=0.3 hang",
        "stream started running=0.4 lost",
        "stream started running=0.5 pause=2 done=x cut",
        "stream started running=0.6 done=x failed",
    ];
    let workers: Vec<Arc<FakeWorker>> = (0..4).map(|n| FakeWorker::start(&format!("s-{n}"))).collect();
    let (program, sse) = start_with_event_streams(&workers);
    let (clients, each) = (8, 16);
    let ends: Vec<String> = std::thread::scope(|scope| {
        let client = |c: u64| {
            let mut rng = fastrand::Rng::with_seed(c);
            let job = |n: u64| {
                let fault = FAULTS[(c + n) as usize % FAULTS.len()];
                let location = submit(sse, &format!("k{c}-{n}"), fault, "X-Time-Left-Ms: 400\r\n");
                follow(sse, &location, &mut rng)
            };
            (0..each).map(job).collect::<Vec<_>>()
        };
        let threads: Vec<_> = (0..clients).map(|c| scope.spawn(move || client(c))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a client")).collect()
    });
    let count = |name: &str| ends.iter().filter(|end| *end == name).count() as u64;
    assert!(count("done") > 0 && count("done") < clients * each, "{ends:?}");
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["open"]), (clients * each, 0));
    assert_eq!(
        (metrics["served"], metrics["denied"] + metrics["failed"]),
        (count("done"), clients * each - count("done"))
    );
}

/// Several hundred jobs, clients that drop and come back at any point: each gets one final event, in order, none twice.
#[test]
fn one_final_event_per_job_under_client_disconnects() {
    let workers: Vec<Arc<FakeWorker>> = (0..4).map(|n| FakeWorker::start(&format!("s-{n}"))).collect();
    let (program, sse) = start_with_event_streams(&workers);
    let (clients, each) = (12, 25);
    let finals: usize = std::thread::scope(|scope| {
        let client = |c: u64| {
            let mut rng = fastrand::Rng::with_seed(c);
            let mut finals = 0;
            for n in 0..each {
                let body = "take started running=0.1 pause=2 running=0.4 running=0.8 pause=1 done=x";
                let location = submit(sse, &format!("j{c}-{n}"), body, "");
                follow(sse, &location, &mut rng);
                finals += 1;
            }
            finals
        };
        let threads: Vec<_> = (0..clients).map(|c| scope.spawn(move || client(c))).collect();
        threads.into_iter().map(|t| t.join().expect("a client")).sum()
    });
    assert_eq!(finals as u64, clients * each);
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["open"]), (clients * each, 0));
    let is_ended = metrics["served"] + metrics["denied"] + metrics["failed"] + metrics["gone"];
    assert_eq!(is_ended, clients * each);
}

/// A reader that takes a few bytes now and then loses progress, and never the end; the program holds little for it.
#[test]
fn slow_watcher_loses_progress_but_not_final_event() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", "stream started wait=go flood=20000 wait=end done=x", "");
    let mut slow = connect(sse);
    slow.write_all(get(&location, "").as_bytes()).expect("written");
    let mut buf = [0; 64];
    assert!(slow.read(&mut buf).expect("read") > 0);
    worker.open_gate("go");
    wait_until("the flood is over", || worker.has_received("flooded"));
    std::thread::sleep(Duration::from_millis(300));
    worker.open_gate("end");
    slow.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let (mut all, mut bytes) = (Vec::new(), [0; 4096]);
    while !all.ends_with(b"0\r\n\r\n") {
        let n = slow.read(&mut bytes).expect("read");
        assert!(n > 0, "it ended early");
        all.extend(&bytes[..n]);
    }
    let text = String::from_utf8_lossy(&all);
    assert!(text.contains("event: done"), "its end is there");
    let progress = text.matches("event: progress").count();
    assert!(progress < 20_000, "{progress} progress events were held for it");
    assert_eq!(worker.job_count.load(Ordering::SeqCst), 1);
    drop(program);
}

/// A watcher whose final event is still on its way to it comes back on another connection: it has the end on both, once on each.
#[test]
fn reconnect_during_final_event_gets_it() {
    let worker = FakeWorker::start("s-1");
    let (program, sse) = start_with_event_streams(std::slice::from_ref(&worker));
    let location = submit(sse, "a1", "stream started wait=go flood=20000 done=x", "");
    let slow = connect(sse);
    rustix::net::sockopt::set_socket_recv_buffer_size(&slow, 4096).expect("a socket option");
    let mut slow = Stream::on(slow, &location, "");
    assert_eq!(slow.read_until(1), ["1 started"]);
    let quick = Stream::open(sse, &location, "");
    worker.open_gate("go");
    // Another has the whole of it: the job is over, and the slow one has read nothing since its start.
    let quick = quick.read_out();
    let end = quick.names().last().cloned().unwrap_or_default();
    assert!(end.ends_with(" done"), "{end}");
    let back = Stream::open(sse, &location, "Last-Event-ID: 1\r\n").read_out();
    let slow = slow.read_out();
    for stream in [&back, &slow] {
        let names = stream.names();
        assert_eq!((names.last(), names.iter().filter(|n| n.ends_with(" done")).count()), (Some(&end), 1));
        // What was left out is told by an event without an id.
        let ids = stream.received.iter().filter(|e| !e.id.is_empty());
        let ids: Vec<u64> = ids.map(|e| e.id.parse().expect("a number")).collect();
        assert!(ids.is_sorted_by(|a, b| a < b), "{ids:?}");
        assert!(names.len() < 20_000, "progress is left out");
    }
    let last = end.split(' ').next().unwrap_or_default();
    let over = send(sse, &get(&location, &format!("Last-Event-ID: {last}\r\n"))).expect("an answer");
    assert_eq!((over.status, program.shut_down_for_metrics()["served"]), (204, 1));
}
