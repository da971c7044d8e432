//! Stand-ins for what surrounds the program: clients, card nodes and discovery, written from the protocol's and
//! HTTP's public descriptions. All of them listen on loopback at ports that the system picks.
#![allow(missing_docs)]

pub mod fleet;
pub mod site;

use serde_json::{Value, json};
use std::collections::{HashSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Nothing in these tests takes this long; a hang fails instead of hanging.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits for something that other threads bring about.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = std::time::Instant::now() + PATIENCE;
    while !holds() {
        assert!(std::time::Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub fn field(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
    }
}

/// How a body ends.
enum Body {
    Length(usize),
    Chunks,
    Connection,
}

/// How the body of a message with these fields ends; `bare` is how one without a length does.
fn framing(headers: &[httparse::Header<'_>], bare: Body) -> Body {
    let value = |name: &str| headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
    match (value("transfer-encoding"), value("content-length")) {
        (Some(_), _) => Body::Chunks,
        (None, Some(length)) => {
            let text = std::str::from_utf8(length).expect("a number");
            Body::Length(text.trim().parse().expect("a number"))
        }
        (None, None) => bare,
    }
}

/// Adds what comes next; false once nothing more does.
fn more(stream: &mut TcpStream, seen: &mut Vec<u8>) -> bool {
    let mut buf = [0; 4096];
    let read = stream.read(&mut buf).unwrap_or(0);
    seen.extend(&buf[..read]);
    read > 0
}

/// Takes a body off a connection; `None` if that ends before it.
fn read_body(stream: &mut TcpStream, seen: &mut Vec<u8>, body: Body) -> Option<Vec<u8>> {
    let mut read = Vec::new();
    loop {
        match body {
            Body::Length(length) if seen.len() >= length => return Some(seen.drain(..length).collect()),
            Body::Connection if !more(stream, seen) => return Some(std::mem::take(seen)),
            Body::Chunks => {
                if let httparse::Status::Complete((head, size)) =
                    httparse::parse_chunk_size(seen).expect("a sound chunk")
                {
                    let end = head + usize::try_from(size).expect("a small chunk");
                    if seen.len() >= end + 2 {
                        read.extend_from_slice(&seen[head..end]);
                        seen.drain(..end + 2);
                        if size == 0 {
                            return Some(read);
                        }
                        continue;
                    }
                }
                if !more(stream, seen) {
                    return None;
                }
            }
            Body::Connection => {}
            Body::Length(_) if !more(stream, seen) => return None,
            Body::Length(_) => {}
        }
    }
}

/// Reads one answer off a connection; `None` if it ends before that.
pub fn read_reply(stream: &mut TcpStream) -> Option<Reply> {
    read_next_reply(stream, &mut Vec::new())
}

/// The same where several are on their way; `seen` is what came with those before.
pub fn read_next_reply(stream: &mut TcpStream, seen: &mut Vec<u8>) -> Option<Reply> {
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket option");
    let (length, status, body) = loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Response::new(&mut headers);
        if let httparse::Status::Complete(length) = head.parse(seen).expect("an HTTP answer") {
            match head.code.unwrap_or(0) {
                100 => drop(seen.drain(..length)),
                status @ (204 | 304) => break (length, status, Body::Length(0)),
                status => break (length, status, framing(head.headers, Body::Connection)),
            }
        } else if !more(stream, seen) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&seen[..length]).into_owned();
    seen.drain(..length);
    let body = read_body(stream, seen, body)?;
    Some(Reply { status, head, body: String::from_utf8_lossy(&body).into_owned() })
}

pub fn connect(to: SocketAddr) -> TcpStream {
    TcpStream::connect(to).expect("the program listens")
}

/// Whether the other side has closed or broken this connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket option");
    let seen = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("a socket option");
    seen.map_or_else(|error| error.kind() != std::io::ErrorKind::WouldBlock, |read| read == 0)
}

/// Sends bytes on a new connection and reads the answer.
pub fn send(to: SocketAddr, bytes: &str) -> Option<Reply> {
    let mut stream = connect(to);
    // The program may answer and close before it has read all: then the write fails and the answer counts.
    let _ = stream.write_all(bytes.as_bytes());
    read_reply(&mut stream)
}

/// A job as clients hand it in; what its body says is what the stand-in node does.
pub fn job(id: &str, class: &str, body: &str, extra: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Account: steppe-mart\r\nIdempotency-Key: key-{id}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A card node. The body of a job says what becomes of it; see [`Node::act`].
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    /// What arrived: method, target and id of each request.
    pub seen: Mutex<Vec<String>>,
    pub jobs: AtomicU64,
    home: Mutex<Option<SocketAddr>>,
    /// What jobs may wait for, once the test has let it happen.
    open: Mutex<HashSet<String>>,
}

impl Node {
    pub fn start(name: &str) -> Arc<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let node = Arc::new(Node {
            name: name.to_owned(),
            address,
            seen: Mutex::default(),
            jobs: AtomicU64::new(0),
            home: Mutex::default(),
            open: Mutex::default(),
        });
        let shared = node.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = shared.clone();
                std::thread::spawn(move || node.serve(stream));
            }
        });
        node
    }

    /// Where it calls back.
    pub fn calls_back_to(&self, home: SocketAddr) {
        *self.home.lock().expect("a lock") = Some(home);
    }

    pub fn row(&self, lifecycle: &str) -> Value {
        site::row(&self.name, &self.address.to_string(), lifecycle)
    }

    pub fn saw(&self, what: &str) -> bool {
        self.seen.lock().expect("a lock").iter().any(|line| line.contains(what))
    }

    /// Lets the jobs go on that `wait` for this.
    pub fn open(&self, gate: &str) {
        self.open.lock().expect("a lock").insert(gate.to_owned());
    }

    fn serve(self: Arc<Node>, mut stream: TcpStream) {
        let (mut seen, mut reused) = (Vec::new(), false);
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(length) = head.parse(&seen).expect("an HTTP request") else {
                if more(&mut stream, &mut seen) {
                    continue;
                }
                return;
            };
            let field = |name: &str| {
                let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                found.map_or(String::new(), |h| String::from_utf8_lossy(h.value).into_owned())
            };
            let (method, target) = (head.method.unwrap_or("").to_owned(), head.path.unwrap_or("").to_owned());
            let (id, key) = (field("X-Correlation-Id"), field("Idempotency-Key"));
            let body = framing(head.headers, Body::Length(0));
            seen.drain(..length);
            let Some(read) = read_body(&mut stream, &mut seen, body) else { return };
            self.seen.lock().expect("a lock").push(format!("{method} {target} {id} {key}"));
            if method == "DELETE" {
                let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                continue;
            }
            self.jobs.fetch_add(1, Ordering::SeqCst);
            let body = String::from_utf8_lossy(&read).into_owned();
            if reused && body.contains(&format!("stale={}", self.name)) {
                self.seen.lock().expect("a lock").push(format!("stale {id}"));
                return; // as if it had closed the idle connection just before
            }
            reused = true;
            if !self.act(&mut stream, &id, &body, false) {
                return;
            }
        }
    }

    /// Does what the body says, word by word. False closes the connection.
    fn act(self: &Arc<Node>, stream: &mut TcpStream, id: &str, body: &str, taken: bool) -> bool {
        let mut say = |text: &str| stream.write_all(text.as_bytes()).is_ok();
        let (mut streams, mut left) = (false, Some(body));
        while let Some(words) = left {
            let (word, rest) = words.split_once(' ').map_or((words, None), |(word, rest)| (word, Some(rest)));
            left = rest;
            let (word, value) = word.split_once('=').unwrap_or((word, ""));
            let news = match word {
                "take" => {
                    // It goes on by itself: the connection is free for the next job.
                    let accepted = say("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                    if let (Some(rest), Ok(mut own)) = (rest.map(str::to_owned), stream.try_clone()) {
                        let (node, id) = (self.clone(), id.to_owned());
                        std::thread::spawn(move || node.act(&mut own, &id, &rest, true));
                    }
                    return accepted;
                }
                "wait" => {
                    until(value, || self.open.lock().expect("a lock").contains(value));
                    continue;
                }
                "stream" => {
                    streams = true;
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                                Transfer-Encoding: chunked\r\n\r\n";
                    if !say(head) {
                        return false;
                    }
                    continue;
                }
                "full" if say("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n") => {
                    continue;
                }
                "busy" if say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") => continue,
                "error" if say("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n") => continue,
                "cut" => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return false;
                }
                "pause" => {
                    std::thread::sleep(Duration::from_millis(value.parse().expect("a number")));
                    continue;
                }
                "tick" => {
                    // So many progress events, so many milliseconds apart, each telling when it was sent.
                    let (count, every) = value.split_once(',').expect("COUNT,MS");
                    let (count, every): (u32, u64) =
                        (count.parse().expect("a number"), every.parse().expect("a number"));
                    for _ in 0..count {
                        std::thread::sleep(Duration::from_millis(every));
                        let news = json!({"state": "running", "share": stamp()});
                        let told = if streams { say(&event(&news)) } else { self.call_back(id, news) };
                        if !told {
                            return false;
                        }
                    }
                    continue;
                }
                "flood" => {
                    // All at once: a client that reads nothing for 2.5 s is given up.
                    let running = |n: u32| json!({"state": "running", "share": f64::from(n % 100) / 100.0});
                    let count = value.parse::<u32>().expect("a number");
                    if !say(&(0..count).map(|n| event(&running(n))).collect::<String>()) {
                        return false;
                    }
                    self.seen.lock().expect("a lock").push("flooded".to_owned());
                    continue;
                }
                "half" => {
                    // An event breaks off in its middle.
                    let text = event(&json!({"state": "running", "share": 0.5}));
                    say(&text[..text.len() / 2]);
                    let _ = stream.shutdown(Shutdown::Both);
                    return false;
                }
                "big" => {
                    // One event of so many bytes.
                    let news =
                        json!({"state": "running", "filler": "x".repeat(value.parse().expect("a number"))});
                    if !say(&event(&news)) {
                        return false;
                    }
                    continue;
                }
                "stale" => continue, // see serve()
                "mute" if value != self.name => continue,
                "mute" => {
                    let _ = stream.read(&mut [0; 64]); // silent, whatever comes
                    return false;
                }
                "hang" if taken => return true, // nothing more is told
                "hang" => {
                    // Silent until the other side gives up.
                    let _ = stream.read(&mut [0; 64]);
                    return false;
                }
                "started" => json!({"state": "started"}),
                "running" => json!({"state": "running", "share": value.parse::<f64>().expect("a share")}),
                "done" => json!({"state": "done", "result": value, "load": {"cpu": 0.2, "x0": 3.0}}),
                "failed" | "returned" | "lost" => json!({"state": word}),
                _ => return false,
            };
            let told = if streams { say(&event(&news)) } else { self.call_back(id, news) };
            if !told {
                return false;
            }
        }
        !streams
    }

    fn call_back(&self, id: &str, mut news: Value) -> bool {
        let home = self.home.lock().expect("a lock").expect("the program's address");
        news["id"] = json!(id);
        news["from"] = json!(self.name);
        let text = news.to_string();
        let head = "POST /_jobs/news HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n";
        let call = format!("{head}Content-Length: {}\r\n\r\n{text}", text.len());
        // The program may have been killed: then nobody hears of it.
        let Ok(mut stream) = TcpStream::connect(home) else { return false };
        let _ = stream.write_all(call.as_bytes());
        read_reply(&mut stream).is_some_and(|r| r.status == 204)
    }
}

/// The present time as a share: microseconds of the present 1,000 s.
pub fn stamp() -> f64 {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    (unix.as_micros() % 1_000_000_000) as f64 / 1e9
}

/// Microseconds since such a share was written.
pub fn since(share: f64) -> u64 {
    let span = (stamp() - share).rem_euclid(1.0) * 1e9;
    span as u64
}

/// A chunk with one event.
fn event(news: &Value) -> String {
    let state = news["state"].as_str().expect("a state");
    let text = format!("event: {state}\ndata: {news}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Waits until a connection is on its way to a listener whose queue is full: its first packet was dropped.
pub fn until_tried(listener: &TcpListener) {
    let port = format!(":{:04X}", listener.local_addr().expect("an address").port());
    until("a connection on its way", || {
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the kernel lists connections");
        let fields = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        fields.into_iter().any(|f| f.len() > 3 && f[2].ends_with(&port) && f[3] == "02") // SYN_SENT
    });
}

/// What becomes of a call to discovery instead of its usual answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// 503.
    Refuse,
    /// Its connection stands, and nothing comes before [`Discovery::release`].
    Hold,
    /// The connection ends in the middle of the list.
    Cut,
    /// These bytes, and the connection stands.
    Say(Vec<u8>),
}

/// Discovery: each watch first gets the whole list, then the lines that the test pushes.
pub struct Discovery {
    pub address: SocketAddr,
    pub calls: AtomicU64,
    /// The first line of each call.
    pub asked: Mutex<Vec<String>>,
    /// What becomes of the next calls without a watch, and of the next watches.
    turns: Mutex<[VecDeque<Turn>; 2]>,
    held: Mutex<Vec<TcpStream>>,
    list: Mutex<Value>,
    /// What calls without a watch get, where that is another list.
    whole: Mutex<Option<Value>>,
    watches: Mutex<Vec<TcpStream>>,
}

impl Discovery {
    pub fn start(list: Value) -> Arc<Discovery> {
        Discovery::start_on(TcpListener::bind("127.0.0.1:0").expect("a port"), list)
    }

    pub fn start_on(listener: TcpListener, list: Value) -> Arc<Discovery> {
        let address = listener.local_addr().expect("an address");
        let discovery = Arc::new(Discovery {
            address,
            calls: AtomicU64::new(0),
            asked: Mutex::default(),
            turns: Mutex::default(),
            held: Mutex::default(),
            list: Mutex::new(list),
            whole: Mutex::default(),
            watches: Mutex::default(),
        });
        let shared = discovery.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut buf = [0; 2048];
                let read = stream.read(&mut buf).unwrap_or(0);
                let first = String::from_utf8_lossy(&buf[..read]).lines().next().unwrap_or("").to_owned();
                let watch = first.contains("stream=1");
                let turn = shared.turns.lock().expect("a lock")[usize::from(watch)].pop_front();
                shared.asked.lock().expect("a lock").push(first);
                let list = shared.list.lock().expect("a lock").clone();
                let whole = shared.whole.lock().expect("a lock").clone().unwrap_or_else(|| list.clone());
                let answer = if watch { watched(&list) } else { answered(&whole) };
                match turn {
                    Some(Turn::Refuse) => {
                        let _ = stream.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                    }
                    Some(Turn::Cut) => drop(stream.write_all(&answer.as_bytes()[..answer.len() - 30])),
                    Some(Turn::Hold) => shared.held.lock().expect("a lock").push(stream),
                    said => {
                        let answer = match said {
                            Some(Turn::Say(bytes)) => bytes,
                            _ => answer.into_bytes(),
                        };
                        let _ = stream.write_all(&answer);
                        if watch {
                            shared.watches.lock().expect("a lock").push(stream);
                        }
                    }
                }
                shared.calls.fetch_add(1, Ordering::SeqCst); // only now can a test push to it
            }
        });
        discovery
    }

    /// What becomes of the next watches, and the list that those after them get.
    pub fn then(&self, turns: &[Turn], list: Value) {
        self.turns.lock().expect("a lock")[1].extend(turns.iter().cloned());
        *self.list.lock().expect("a lock") = list;
    }

    /// The same for calls without a watch.
    pub fn then_whole(&self, turns: &[Turn], whole: Value) {
        self.turns.lock().expect("a lock")[0].extend(turns.iter().cloned());
        *self.whole.lock().expect("a lock") = Some(whole);
    }

    /// Calls for the whole list so far.
    pub fn whole_calls(&self) -> usize {
        let asked = self.asked.lock().expect("a lock");
        asked.iter().filter(|line| !line.contains("stream=1")).count()
    }

    /// The versions after which a watch was asked for so far, once the last of them has had its answer.
    pub fn watched_after(&self) -> Vec<u64> {
        until("an answer", || {
            self.calls.load(Ordering::SeqCst) == self.asked.lock().expect("a lock").len() as u64
        });
        let asked = self.asked.lock().expect("a lock");
        let after = |line: &String| line.split_once("index=")?.1.split_once(' ')?.0.parse().ok();
        asked.iter().filter_map(after).collect()
    }

    /// Answers the calls for the whole list that are held.
    pub fn release(&self, list: &Value) {
        for mut stream in self.held.lock().expect("a lock").drain(..) {
            let _ = stream.write_all(answered(list).as_bytes());
        }
    }

    /// Answers the calls for a watch that are held.
    pub fn release_watches(&self, list: &Value) {
        let mut watches = self.watches.lock().expect("a lock");
        for mut stream in self.held.lock().expect("a lock").drain(..) {
            let _ = stream.write_all(watched(list).as_bytes());
            watches.push(stream);
        }
    }

    /// Tells all watches of a change; later calls get `list`.
    pub fn push(&self, change: &str, list: Value) {
        *self.list.lock().expect("a lock") = list;
        self.say(chunk(&format!("{change}\n")).as_bytes());
    }

    /// Sends all watches these bytes.
    pub fn say(&self, bytes: &[u8]) {
        for watch in self.watches.lock().expect("a lock").iter_mut() {
            let _ = watch.write_all(bytes);
        }
    }

    /// Has all watches sent an empty line often enough, for as long as this program runs.
    pub fn keep_alive(self: &Arc<Self>) {
        let shared = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(500));
                shared.say(chunk("\n").as_bytes());
            }
        });
    }

    /// Ends all watches.
    pub fn cut(&self) {
        for watch in self.watches.lock().expect("a lock").drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }
}

/// What a watch's answer begins with.
pub const WATCHED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A chunk of a chunked answer.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn watched(list: &Value) -> String {
    format!("{WATCHED}{}", chunk(&format!("{list}\n")))
}

/// A call's answer with this list.
pub fn answered(list: &Value) -> String {
    let text = list.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}

/// Where the program was built: beside this one, or beside the folder of the tests.
pub fn program() -> PathBuf {
    let own = std::env::current_exe().expect("this program's own place");
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join("mothproxy")).find(|path| path.is_file());
    found.expect("the program has been built: cargo build")
}

/// The program, started over real sockets.
pub struct Program {
    child: Child,
    pub config_file: PathBuf,
    pub config: Value,
    pub platform: SocketAddr,
    pub sse: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    lines: Receiver<String>,
    log: Vec<String>,
}

/// Starts the program with these nodes in `known`, and discovery if there is one.
pub fn start(nodes: &[Arc<Node>], discovery: Option<SocketAddr>, sse: bool) -> Program {
    start_with(nodes, discovery, sse, |_| {})
}

pub fn start_with(
    nodes: &[Arc<Node>],
    discovery: Option<SocketAddr>,
    sse: bool,
    change: impl FnOnce(&mut Value),
) -> Program {
    start_beside(nodes, discovery, sse, None, change)
}

/// Starts it with `$TMPDIR` as given: there it meets an elder process, or the next.
pub fn start_beside(
    nodes: &[Arc<Node>],
    discovery: Option<SocketAddr>,
    sse: bool,
    folder: Option<&Path>,
    change: impl FnOnce(&mut Value),
) -> Program {
    start_given(nodes, discovery, sse, folder, &[], change)
}

/// Starts it with further arguments.
pub fn start_given(
    nodes: &[Arc<Node>],
    discovery: Option<SocketAddr>,
    sse: bool,
    folder: Option<&Path>,
    args: &[&std::ffi::OsStr],
    change: impl FnOnce(&mut Value),
) -> Program {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let rows: Vec<Value> = nodes.iter().map(|n| n.row("up")).collect();
    let alone = discovery.is_none();
    let discovery = discovery.map_or("127.0.0.1:1".to_owned(), |at| at.to_string());
    let mut config = site::config("127.0.0.1:0", &discovery, json!(rows));
    change(&mut config);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let stem = std::env::temp_dir().join(format!("mothproxy-test-{}-{number}", std::process::id()));
    let (config_file, sse_file) = (stem.with_extension("json"), stem.with_extension("toml"));
    std::fs::write(&config_file, config.to_string()).expect("a temporary file");
    let front = if sse { "listen = \"127.0.0.1:0\"\nheartbeat_ms = 200\n" } else { "" };
    std::fs::write(&sse_file, front).expect("a temporary file");
    // A test that brings a file of its own for the front is not given another.
    let own = [std::ffi::OsStr::new("--sse"), sse_file.as_os_str()];
    let own = if args.contains(&own[0]) { &[][..] } else { &own[..] };
    let mut child = Command::new(program())
        .args(own.iter().copied().chain(args.iter().copied()))
        .env_remove("GW_NAME")
        .env_remove("GW_LISTEN")
        .env_remove("GW_ADMIN_ADDR")
        .env_remove("TMPDIR")
        .envs(folder.map(|folder| ("TMPDIR", folder)))
        .env("GW_DISCOVERY", &discovery) // as on the platform, where it says what the file says
        .env("GW_CONFIG", &config_file)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let stderr = BufReader::new(child.stderr.take().expect("a pipe"));
    let (sender, lines) = channel();
    std::thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|l| sender.send(l)));
    let mut log: Vec<String> = Vec::new();
    let next = |log: &mut Vec<String>| -> String {
        let line = lines.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("it does not serve: {log:?}"));
        log.push(line.clone());
        line
    };
    let first = loop {
        let line = next(&mut log);
        if !line.starts_with("upgrade: ") && !line.starts_with("state: ") {
            break line;
        }
    };
    // Clients come once it is ready: where nobody listens for it to ask, once it has found that.
    let heir = log.iter().any(|line| line.starts_with("upgrade: taking over"));
    while alone && !heir && !next(&mut log).starts_with("discovery: not heard since the start") {}
    let _ = std::fs::remove_file(sse_file);
    let rest = first.strip_prefix("serving: n0 on ").unwrap_or_else(|| panic!("{first}"));
    let (platform, rest) = rest.split_once(", SSE ").expect("addresses");
    let (sse, control) = rest.split_once(", control ").expect("addresses");
    let platform: SocketAddr = platform.parse().expect("an address");
    for node in nodes {
        node.calls_back_to(platform);
    }
    Program {
        child,
        config_file,
        config,
        platform,
        sse: sse.parse().ok(),
        control: control.parse().ok(),
        lines,
        log,
    }
}

impl Program {
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status().expect("kill runs");
        assert!(sent.success());
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Holds the program up for so long, with this done as soon as it stands still.
    pub fn hold_up(&self, span: Duration, meanwhile: impl FnOnce()) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.pid());
        until("it is held up", || std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T ")));
        let held = std::time::Instant::now();
        meanwhile();
        until("its time is over", || held.elapsed() > span);
        self.signal("-CONT");
    }

    /// Puts a configuration in the place of the one that the program has.
    pub fn replace_config(&self, text: &str) {
        let fresh = self.config_file.with_extension("new");
        std::fs::write(&fresh, text).expect("a temporary file");
        std::fs::rename(fresh, &self.config_file).expect("the same folder");
    }

    /// Waits for a line of the log that begins so.
    pub fn logged(&mut self, start: &str) -> String {
        let end = std::time::Instant::now() + PATIENCE; // other lines may come without end
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            let line = self.lines.recv_timeout(left).unwrap_or_else(|_| panic!("never logged: {start}"));
            self.log.push(line.clone());
            if line.starts_with(start) {
                return line;
            }
        }
    }

    /// Waits for the program's end and returns whether it was a clean one, and its log.
    pub fn wait(mut self) -> (bool, Vec<String>) {
        let mut log = std::mem::take(&mut self.log);
        log.extend(std::iter::from_fn(|| self.lines.recv_timeout(PATIENCE).ok()));
        (self.child.wait().expect("it ends").success(), log)
    }

    /// Stops the program and returns the figures of its last summary line.
    pub fn figures(self) -> std::collections::BTreeMap<String, u64> {
        self.terminate();
        let (clean, log) = self.wait();
        assert!(clean, "{log:?}");
        let last = log.iter().rev().find_map(|line| line.strip_prefix("figures ")).expect("a summary");
        last.split(' ')
            .filter_map(|p| p.split_once('='))
            .map(|(n, v)| (n.into(), v.parse().expect("a number")))
            .collect()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.log.extend(self.lines.iter());
            eprintln!("the program's log:\n{}", self.log.join("\n"));
        }
        let _ = std::fs::remove_file(&self.config_file);
    }
}
