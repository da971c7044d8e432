//! Stand-ins for the cases of the second review: workers, discovery, clients, and the dispatcher as a process. Standard library
//! only. Everything listens on loopback, at free ports. All stand-ins do what the users' pages say and no more.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The longest time that a case runs, in seconds. Then its processes are killed, and it counts as not run.
const LONGEST_RUN_S: u64 = 110;

/// The processes that the case has started and not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Runs a case in the folder that the first argument names, and ends this process with the case's exit code.
pub fn run_case(play: fn(&Log) -> i32) -> ! {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(LONGEST_RUN_S));
        for pid in CHILDREN.lock().unwrap().iter() {
            unsafe { kill(*pid as i32, SIGKILL) };
        }
        std::process::exit(NOT_RUN);
    });
    let log = Log::create(&folder);
    log.line(if has_trouble() { "with the disruption" } else { "TROUBLE=0: without the disruption" });
    let code = play(&log);
    log.line(match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    });
    std::process::exit(code);
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is played: it is unless `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a case, `record.txt` in its folder, with the time of each line since the start.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Log {
    pub fn create(folder: &str) -> Log {
        let file = File::create(Path::new(folder).join("record.txt")).expect("cannot write record.txt");
        Log { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.start.elapsed().as_millis());
    }
}

/// A random number generator with a fixed seed (xorshift64*).
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// 32 hexadecimal digits, as in the example of the protocol page.
    pub fn key(&mut self) -> String {
        format!("{:016x}{:016x}", self.next(), self.next())
    }

    /// 16 hexadecimal digits.
    pub fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}

/// A free address on loopback.
pub fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_port()))
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("no free port").port()
}

/// A temporary folder, which is removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("mothproxy-review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("cannot create a temporary folder");
        TempDir(path)
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A message of HTTP/1.1 as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message with a `Content-Length` or none; `buffer` holds what was read beyond the last one. `None` at the end of the
/// connection.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let fields: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            let length = fields.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
            let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
            while buffer.len() < end + 4 + length {
                match stream.read(&mut chunk) {
                    Ok(read) if read > 0 => buffer.extend_from_slice(&chunk[..read]),
                    _ => return None,
                }
            }
            let body = buffer[end + 4..end + 4 + length].to_vec();
            buffer.drain(..end + 4 + length);
            return Some(Message { first_line, fields, body });
        }
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => buffer.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    }
}

/// A job as a client sends it.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub class: &'static str,
    pub key: Option<String>,
    pub time_left_ms: u64,
    pub body: String,
}

impl Job {
    pub fn text(&self) -> String {
        let key = self.key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        format!(
            "POST /{0} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {1}\r\nX-Service-Class: {0}\r\n\
             X-Account: steppe-mart\r\nX-Time-Left-Ms: {2}\r\n{3}Content-Length: {4}\r\n\r\n{5}",
            self.class,
            self.id,
            self.time_left_ms,
            key,
            self.body.len(),
            self.body
        )
    }
}

/// How a job ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The status and the body.
    Whole(u16, String),
    /// The connection could not be made.
    Unreachable,
    /// The connection ended without a whole answer.
    Closed,
    /// No answer within the wait.
    Silent,
}

pub fn connect(to: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_millis(1000)).ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// Sends a job on a new connection and awaits its answer.
pub fn send_job(to: SocketAddr, job: &Job, wait_ms: u64) -> Answer {
    let Some(mut stream) = connect(to) else { return Answer::Unreachable };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(wait_ms)));
    if stream.write_all(job.text().as_bytes()).is_err() {
        return Answer::Closed;
    }
    let started = Instant::now();
    match read_message(&mut stream, &mut Vec::new()) {
        Some(message) => Answer::Whole(message.status(), message.text()),
        None if started.elapsed() >= Duration::from_millis(wait_ms) => Answer::Silent,
        None => Answer::Closed,
    }
}

/// A job that a worker has taken.
#[derive(Clone, Debug)]
pub struct Taken {
    pub at: u64,
    pub worker: String,
    pub cell: u32,
    pub id: String,
    pub key: String,
    /// When the first byte of the request was read.
    pub first_byte_at: u64,
    /// The time that the attempt told, in milliseconds.
    pub told_ms: u64,
    /// Whether the worker's cell has dropped it as a repeat.
    pub is_dropped: bool,
}

/// What all workers share: the keys that the workers of a cell remember, and what was taken.
#[derive(Default)]
pub struct Cells {
    pub taken: Mutex<Vec<Taken>>,
    /// For each cell and key, when it was first taken.
    keys: Mutex<HashMap<(u32, String), Instant>>,
}

/// What a worker does with a job, by the job's body: `ms=N` runs it for N ms, `size=N` answers N bytes.
fn number(body: &str, name: &str, default: u64) -> u64 {
    let part = body.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    part.and_then(|digits| digits.parse().ok()).unwrap_or(default)
}

/// A worker: takes a job with 202, tells of its start and its end by callbacks, which it repeats until they are answered, ten times
/// at most. The workers of a cell drop a repeat of a key for 40 s.
pub struct Worker {
    pub id: String,
    pub cell: u32,
    pub address: SocketAddr,
}

/// Starts workers in two cells, with `per_cell` of them in each.
pub fn start_workers(per_cell: u32, dispatcher: SocketAddr, cells: &Arc<Cells>, log: &Log) -> Vec<Worker> {
    let start = |n| Worker::start(&format!("s-{n}"), 1 + n / per_cell, dispatcher, cells, log);
    (0..2 * per_cell).map(start).collect()
}

/// The rows of these workers, all up.
pub fn rows(workers: &[Worker]) -> Vec<String> {
    workers.iter().map(|worker| worker.row("up")).collect()
}

/// The rows of these workers by their instance ids, all up.
pub fn table(workers: &[Worker]) -> Vec<(String, String)> {
    workers.iter().map(|worker| (worker.id.clone(), worker.row("up"))).collect()
}

impl Worker {
    /// Starts a worker that makes its callbacks at `dispatcher`.
    pub fn start(id: &str, cell: u32, dispatcher: SocketAddr, cells: &Arc<Cells>, log: &Log) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let (worker, cells, log) = (id.to_owned(), cells.clone(), log.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, cells, log) = (worker.clone(), cells.clone(), log.clone());
                thread::spawn(move || serve_worker(stream, &worker, cell, dispatcher, &cells, &log));
            }
        });
        Worker { id: id.to_owned(), cell, address }
    }

    /// The worker's row in a list of discovery.
    pub fn row(&self, lifecycle: &str) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"alm-1\",\"machineType\":\"k-mid\",\"cell\":{},\
             \"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":0}}",
            self.id, self.address, self.cell
        )
    }
}

fn serve_worker(
    mut stream: TcpStream,
    worker: &str,
    cell: u32,
    dispatcher: SocketAddr,
    cells: &Arc<Cells>,
    log: &Log,
) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let mut first = [0; 1];
        if buffer.is_empty() && !matches!(stream.peek(&mut first), Ok(1)) {
            return;
        }
        let first_byte_at = log.now();
        let Some(request) = read_message(&mut stream, &mut buffer) else { return };
        if request.first_line.starts_with("DELETE") {
            log.line(&format!("{worker}: {}", request.first_line));
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if request.first_line.starts_with("GET") {
            let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let id = request.field("x-correlation-id").unwrap_or("").to_owned();
        let key = request.field("idempotency-key").unwrap_or("").to_owned();
        let is_dropped = !key.is_empty() && {
            let mut keys = cells.keys.lock().unwrap();
            let first = *keys.entry((cell, key.clone())).or_insert_with(Instant::now);
            let is_repeat =
                cells.taken.lock().unwrap().iter().any(|taken| taken.cell == cell && taken.key == key);
            is_repeat && first.elapsed() < Duration::from_secs(40)
        };
        let taken = Taken {
            at: log.now(),
            worker: worker.to_owned(),
            cell,
            id: id.clone(),
            key: key.clone(),
            first_byte_at,
            told_ms: request.field("x-time-left-ms").and_then(|digits| digits.parse().ok()).unwrap_or(0),
            is_dropped,
        };
        cells.taken.lock().unwrap().push(taken);
        let body = request.text();
        let told = request.field("x-time-left-ms").unwrap_or("").to_owned();
        let note = if is_dropped { " (a repeat, dropped by the cell)" } else { "" };
        log.line(&format!("{worker} (cell {cell}): taken {id} key {key} time left {told}{note}"));
        if stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
        let worker = worker.to_owned();
        thread::spawn(move || {
            call_back(
                dispatcher,
                &format!("{{\"id\":\"{id}\",\"from\":\"{worker}\",\"state\":\"started\"}}"),
            );
            sleep_ms(number(&body, "ms", 20));
            let padding = "r".repeat(number(&body, "size", 0) as usize);
            let result = format!("done {id} {padding}");
            call_back(
                dispatcher,
                &format!(
                    "{{\"id\":\"{id}\",\"from\":\"{worker}\",\"state\":\"done\",\"result\":\"{result}\"}}"
                ),
            );
        });
    }
}

/// Makes a callback until it is answered, ten times at most.
fn call_back(dispatcher: SocketAddr, body: &str) {
    for _ in 0..10 {
        if let Some(mut stream) = connect(dispatcher) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(1000)));
            let text = format!(
                "POST /_jobs/news HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            let is_sent = stream.write_all(text.as_bytes()).is_ok();
            let answer = if is_sent { read_message(&mut stream, &mut Vec::new()) } else { None };
            if answer.is_some_and(|answer| matches!(answer.status(), 200 | 204)) {
                return;
            }
        }
        sleep_ms(200);
    }
}

/// The service of endpoint lists. It holds the generation and the rows, answers a call after `latency_ms`, sends a change on each
/// open watch at once, and an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    pub state: Arc<Mutex<Table>>,
    pub latency_ms: Arc<AtomicU64>,
    /// Whether the service says nothing: it accepts connections, and sends nothing on them nor on open watches.
    pub is_silent: Arc<AtomicBool>,
}

/// The list of a discovery service.
pub struct Table {
    pub generation: u64,
    /// For each worker its row and the generation of its last change.
    pub rows: Vec<(String, String, u64)>,
}

impl Table {
    fn object(&self, after: Option<u64>) -> String {
        let rows = self.rows.iter().filter(|(_, _, changed)| after.is_none_or(|after| *changed > after));
        let rows: Vec<&str> = rows.map(|(_, row, _)| row.as_str()).collect();
        let (generation, reset) = (self.generation, after.is_none());
        format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", rows.join(","))
    }
}

impl Discovery {
    /// Starts a service whose list has these rows, by instance id.
    pub fn start(name: &'static str, generation: u64, rows: Vec<(String, String)>, log: Log) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let rows = rows.into_iter().map(|(id, row)| (id, row, generation)).collect();
        let state = Arc::new(Mutex::new(Table { generation, rows }));
        let latency_ms = Arc::new(AtomicU64::new(0));
        let is_silent = Arc::new(AtomicBool::new(false));
        let (table, latency, silent) = (state.clone(), latency_ms.clone(), is_silent.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (table, latency, log) = (table.clone(), latency.clone(), log.clone());
                let silent = silent.clone();
                thread::spawn(move || serve_discovery(stream, name, &table, &latency, &silent, &log));
            }
        });
        Discovery { address, state, latency_ms, is_silent }
    }

    /// Changes a worker's row, in a new generation.
    pub fn change(&self, id: &str, row: String) {
        let mut table = self.state.lock().unwrap();
        table.generation += 1;
        let generation = table.generation;
        table.rows.retain(|(found, _, _)| found != id);
        table.rows.push((id.to_owned(), row, generation));
    }
}

fn serve_discovery(
    mut stream: TcpStream,
    name: &str,
    table: &Mutex<Table>,
    latency: &AtomicU64,
    silent: &AtomicBool,
    log: &Log,
) {
    let _ = stream.set_nodelay(true);
    let Some(request) = read_message(&mut stream, &mut Vec::new()) else { return };
    if silent.load(Ordering::SeqCst) {
        // What was called in this time stays unanswered; the caller calls again.
        let _ = stream.read(&mut [0; 16]);
        return;
    }
    log.line(&format!("{name}: called {}", request.target()));
    sleep_ms(latency.load(Ordering::SeqCst));
    let index = request.target().split("index=").nth(1).and_then(|digits| digits.parse::<u64>().ok());
    let is_watch = request.target().contains("stream=1");
    let (object, mut generation) = {
        let table = table.lock().unwrap();
        // After version 0, or one that the service does not know, it sends the whole list.
        let after = index.filter(|index| *index > 0 && *index <= table.generation);
        (table.object(after), table.generation)
    };
    if !is_watch {
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{object}", object.len());
        let is_sent = stream.write_all(text.as_bytes()).is_ok();
        log.line(&format!("{name}: answered {} (sent: {is_sent})", request.target()));
        return;
    }
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if stream.write_all(format!("{head}{}", chunk(&format!("{object}\n"))).as_bytes()).is_err() {
        return;
    }
    // A caller that has gone is seen by the end of its connection.
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
    if matches!(stream.read(&mut [0; 16]), Ok(0)) {
        log.line(&format!("{name}: the caller of {} has gone before the answer", request.target()));
        return;
    }
    log.line(&format!("{name}: answered {} with {object}", request.target()));
    let mut last_sent = Instant::now();
    loop {
        sleep_ms(10);
        if silent.load(Ordering::SeqCst) {
            // A watch that has fallen silent stays so.
            let _ = stream.set_read_timeout(None);
            let _ = stream.read(&mut [0; 16]);
            return;
        }
        let object = {
            let table = table.lock().unwrap();
            let object = (table.generation > generation).then(|| table.object(Some(generation)));
            generation = table.generation;
            object
        };
        let text = match object {
            Some(object) => {
                log.line(&format!("{name}: tells {object}"));
                format!("{object}\n")
            }
            None if last_sent.elapsed() >= Duration::from_millis(1900) => "\n".to_owned(),
            None => continue,
        };
        last_sent = Instant::now();
        if stream.write_all(chunk(&text).as_bytes()).is_err() {
            return;
        }
    }
}

/// The configuration file of a dispatcher of a small deployment: one tenant, the classes and figures of a site of the users, no
/// datagrams and no probes. `mode` says how lists come (`on_request` or `pushed`); `extra` holds further keys.
pub fn configuration(
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    mode: &str,
    drain_grace_ms: u64,
    extra: &str,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},{extra}
 "known":{known},
 "settings":{{"Me":0,"Siblings":1,"Zone":"alm-1","Zones":["alm-1"],"Kinds":["k-mid"],"GranularityMs":2.0,
  "Discovery":"{mode}","ClientHabits":{{"MarksRetry":true}},"CountedBy":"request","Workload":"jobs",
  "Grades":[
   {{"Name":"balance","Semantics":"pure","Group":"all","MemorySpanMs":5000.0,"TargetMs":250.0,"DeadlineMs":7500.0,
     "Points":3.0,"LateWorth":0.5,"Stream":false}},
   {{"Name":"redeem","Semantics":"token","Group":"cell","MemorySpanMs":40000.0,"TargetMs":600.0,"DeadlineMs":25000.0,
     "Points":9.0,"LateWorth":0.5,"Stream":false}}],
  "Projects":[{{"Name":"steppe-mart","QuotaPerS":15.0,"Portion":1.0}}],
  "Domain":{{"ClassStretch":[2.0,2.5],"ReportX0":"free slots","TellsStart":true,"ProgressMs":1000.0}},
  "LoadInfo":{{"Source":"silent","Fields":[]}},
  "Limits":{{"Cancel":true,"MaxAttempts":3,"Probing":false,"Peers":false,"RetryAfter":true,"MaxRetryAfterMs":2000.0,
   "SecondCopies":true,"ConnIdleMs":5000.0,"ConnectTimeoutMs":250.0,"MostHeld":20000}},
  "Obligations":{{"AnswerSlackMs":8.0,"AskWithinMs":10000.0,"ColdFrom":0.38,"ColdMs":8400.0,"FallMs":1500.0,
   "FallMultiple":4.0,"StopSendingWithinMs":{drain_grace_ms}.0}}}}}}
"#
    )
}

/// The list of a configuration or of discovery, of these rows.
pub fn list(generation: u64, rows: &[String]) -> String {
    format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[{}]}}", rows.join(","))
}

/// The command that the deploy file names for `run`.
fn run_command() -> String {
    let text =
        std::fs::read_to_string("deploy/balancer.toml").expect("not started from the repository's root");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("no run command");
    line.trim().trim_matches('"').to_owned()
}

/// Makes a call of the second address; the status, or 0 if there is no answer.
pub fn admin_call(address: SocketAddr, call: &str) -> u16 {
    let Some(mut stream) = connect(address) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1000)));
    let text = format!("{call} HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: 0\r\n\r\n");
    let _ = stream.write_all(text.as_bytes());
    read_message(&mut stream, &mut Vec::new()).map_or(0, |answer| answer.status())
}

/// A dispatcher, started with the command of the deploy file. It is killed at the end if it still runs.
pub struct Dispatcher {
    pub child: Child,
    pub listen: SocketAddr,
    pub log_file: PathBuf,
}

impl Dispatcher {
    /// Starts a dispatcher with this configuration file; `arguments` are added to the command.
    pub fn start(
        config: &Path,
        listen: SocketAddr,
        temp: &TempDir,
        name: &str,
        arguments: &str,
    ) -> Dispatcher {
        Dispatcher::start_again(config, listen, temp, name, name, arguments)
    }

    /// Starts a process beside, or after, the one that was started under `first`, with the same `$TMPDIR`.
    pub fn start_again(
        config: &Path,
        listen: SocketAddr,
        temp: &TempDir,
        first: &str,
        name: &str,
        arguments: &str,
    ) -> Dispatcher {
        let run_dir = temp.path(&format!("run-{first}"));
        std::fs::create_dir_all(&run_dir).expect("cannot create a folder");
        let log_file = temp.path(&format!("{name}.log"));
        let log = File::create(&log_file).expect("cannot create a log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{} {arguments}", run_command()))
            .env("GW_CONFIG", config)
            .env("TMPDIR", &run_dir)
            .env_remove("GW_NAME")
            .env_remove("GW_LISTEN")
            .env_remove("GW_DISCOVERY")
            .env_remove("GW_ADMIN_ADDR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("cannot start the dispatcher");
        CHILDREN.lock().unwrap().push(child.id());
        Dispatcher { child, listen, log_file }
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|pid| *pid != self.child.id());
    }

    /// Whether `GET /up` answers 200 now.
    pub fn is_ready(&self) -> bool {
        let Some(mut stream) = connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1000)));
        let text = b"GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
        stream.write_all(text).is_ok()
            && read_message(&mut stream, &mut Vec::new()).is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the dispatcher is ready; false if it is not within `ms`.
    pub fn wait_ready(&self, ms: u64) -> bool {
        let end = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
    }
}
