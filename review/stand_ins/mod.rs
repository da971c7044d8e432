//! Stand-ins for the platform, shared by the cases: discovery, HTTP messages, the dispatcher's processes and the record. They
//! use the standard library alone, loopback addresses and free ports.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// The rule held.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const NOT_RUN: i32 = 2;

/// After this time a case ends by itself, with [`NOT_RUN`].
const TIME_LIMIT: Duration = Duration::from_secs(110);

struct Recorder {
    started: Instant,
    file: Mutex<File>,
}

static RECORDER: OnceLock<Recorder> = OnceLock::new();
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Writes a line to the record, with the time since the start in seconds.
pub fn record(line: &str) {
    let Some(recorder) = RECORDER.get() else { return };
    let mut file = recorder.file.lock().unwrap();
    let _ = writeln!(file, "{:8.3} {line}", recorder.started.elapsed().as_secs_f64());
}

/// Whether the disruption takes place: everywhere but with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Prepares a case: its record, a temporary folder and the limit on its time.
pub fn begin(name: &str) {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let file = Mutex::new(File::create(path).expect("the record can be written"));
    let _ = RECORDER.set(Recorder { started: Instant::now(), file });
    let folder = std::env::temp_dir().join(format!("mothproxy-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be made");
    let _ = FOLDER.set(folder);
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        record(&format!("the case could not run: {panic}"));
        end(NOT_RUN, "could not run");
    }));
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        end(NOT_RUN, "ran out of time");
    });
    record(&format!("{name}, {}", if has_trouble() { "with the disruption" } else { "TROUBLE=0, without the disruption" }));
}

/// Ends all processes of the case, removes its folder, and exits.
pub fn end(code: i32, verdict: &str) -> ! {
    for process in PROCESSES.lock().unwrap_or_else(std::sync::PoisonError::into_inner).iter_mut() {
        let _ = process.kill();
        let _ = process.wait();
    }
    if let Some(folder) = FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    record(&format!("verdict: {verdict}"));
    println!("{verdict}");
    std::process::exit(code);
}

/// The temporary folder of the case.
pub fn folder() -> &'static Path {
    FOLDER.get().expect("the case has begun")
}

/// An address on a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a local address")
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds, for at most `seconds`. Returns whether it holds.
pub fn wait_until(seconds: u64, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(seconds);
    while !condition() {
        if Instant::now() > until {
            return false;
        }
        sleep_ms(5);
    }
    true
}

/// An HTTP message, with the names of its header fields in lower case.
pub struct Message {
    pub first_line: String,
    pub fields: HashMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ended or broke before the message was whole.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first_line = line.trim_end().to_owned();
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let mut body = Vec::new();
    if fields.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut size = String::new();
            from.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = fields.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        body = vec![0; length];
        from.read_exact(&mut body).ok()?;
    }
    Some(Message { first_line, fields, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Connects, with a limit on how long a read may take.
pub fn connect(to: SocketAddr, read_seconds: u64) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(read_seconds))).ok()?;
    Some(stream)
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(to: SocketAddr, request: &str, read_seconds: u64) -> Option<Message> {
    let mut stream = connect(to, read_seconds)?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// A client's job (PROTOCOL, "Clients to dispatchers").
pub fn job(class: &str, id: &str, key: Option<&str>, time_left_ms: u64, extra: &str, body: &str) -> String {
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Account: steppe-mart\r\n{key}X-Time-Left-Ms: {time_left_ms}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A listener that gives each connection a thread of its own.
pub fn serve(handler: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || handler(stream));
        }
    });
    address
}

/// A worker's row in discovery's list.
pub fn row(name: &str, address: SocketAddr, cell: u32) -> String {
    format!(
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{address}\",\"zone\":\"alm-1\",\"machineType\":\"k-mid\",\"cell\":{cell},\
         \"lifecycle\":\"up\",\"weight\":1.0,\"startedAtMs\":0}}"
    )
}

fn list(rows: &str) -> String {
    format!("{{\"generation\":1,\"reset\":true,\"instances\":[{rows}]}}")
}

/// Discovery with a list that never changes: the whole list, or a watch with an empty line every 2 s.
pub fn start_discovery(rows: String) -> SocketAddr {
    serve(move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let text = list(&rows) + "\n";
            if !request.first_line.contains("stream=1") {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                if writer.write_all((head + &text).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let first = format!("{head}{:x}\r\n{text}\r\n", text.len());
            let mut next = first.into_bytes();
            while writer.write_all(&next).is_ok() {
                sleep_ms(2000);
                next = b"1\r\n\n\r\n".to_vec();
            }
            return;
        }
    })
}

/// The configuration of a dispatcher. The settings are those of a small deployment of the users' site: two classes, one zone.
pub fn configuration(listen: SocketAddr, admin: SocketAddr, discovery: SocketAddr, rows: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","admin_addr":"{admin}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{{"Me":0,"Siblings":1,"Zone":"alm-1","Zones":["alm-1"],"Kinds":["k-mid"],"GranularityMs":2.0,"Discovery":"on_request",
"Grades":[
{{"Name":"balance","Semantics":"pure","Group":"all","MemorySpanMs":5000.0,"TargetMs":250.0,"DeadlineMs":7500.0,"Points":3.0,"LateWorth":0.5}},
{{"Name":"redeem","Semantics":"token","Group":"cell","MemorySpanMs":40000.0,"TargetMs":600.0,"DeadlineMs":25000.0,"Points":9.0,"LateWorth":0.5}}],
"Projects":[{{"Name":"steppe-mart","QuotaPerS":15.0,"Portion":1.0}}],
"Domain":{{"ClassStretch":[2.0,2.5],"ReportX0":"free slots","ReportX1":"free memory","TellsStart":true,"ProgressMs":1000.0}},
"LoadInfo":{{"Source":"piggyback","Fields":["err_rps","avg_ms","cpu","x0"]}},
"Limits":{{"Cancel":true,"MaxAttempts":3,"Probing":false,"RetryAfter":true,"MaxRetryAfterMs":2000.0,"SecondCopies":true,
"ConnIdleMs":5000.0,"ConnectTimeoutMs":250.0}},
"Obligations":{{"AnswerSlackMs":8.0,"AskWithinMs":10000.0,"ColdFrom":0.38,"ColdMs":8400.0,"FallMs":1500.0,"FallMultiple":4.0,
"StopSendingWithinMs":400.0}}}}}}"#,
        known = list(rows)
    )
}

/// A process of the program, started with the command of the deploy file.
pub struct Dispatcher {
    pub name: &'static str,
    pub admin: SocketAddr,
    pid: u32,
    log: PathBuf,
}

impl Dispatcher {
    /// Starts `run` of the deploy file from the root of the repository, with these arguments.
    pub fn start(name: &'static str, configuration: &str, admin: SocketAddr, arguments: &str) -> Dispatcher {
        let run = std::env::var("RUN_COMMAND").expect("RUN_COMMAND is `run` of the deploy file");
        let file = folder().join(format!("{name}.json"));
        std::fs::write(&file, configuration).expect("the configuration can be written");
        let log = folder().join(format!("{name}.log"));
        let standard_error = File::create(&log).expect("the log can be written");
        let process = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{run} {arguments}"))
            .env("GW_CONFIG", &file)
            .env("TMPDIR", folder())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(standard_error)
            .spawn()
            .expect("the program starts");
        let pid = process.id();
        record(&format!("{name}: started: {run}"));
        PROCESSES.lock().unwrap().push(process);
        Dispatcher { name, admin, pid, log }
    }

    /// Whether `/control/ready` at the second address says yes.
    pub fn is_ready(&self) -> bool {
        let request = "GET /control/ready HTTP/1.1\r\nHost: n0\r\n\r\n";
        call(self.admin, request, 1).is_some_and(|answer| answer.status() / 100 == 2)
    }

    /// Waits until this process takes clients; a case that it never does in cannot run.
    pub fn wait_until_ready(&self) {
        assert!(wait_until(10, || self.is_ready()), "{} is not ready", self.name);
        record(&format!("{}: /control/ready says yes", self.name));
    }

    /// Sends SIGKILL, and waits for the end of the process.
    pub fn kill(&self) {
        record(&format!("{}: SIGKILL", self.name));
        let mut processes = PROCESSES.lock().unwrap();
        for process in processes.iter_mut().filter(|process| process.id() == self.pid) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends SIGTERM, and waits up to `seconds` for the end of the process. Returns whether it ended.
    pub fn terminate(&self, seconds: u64) -> bool {
        record(&format!("{}: SIGTERM", self.name));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {}", self.pid)).status();
        wait_until(seconds, || {
            let mut processes = PROCESSES.lock().unwrap();
            processes.iter_mut().any(|process| process.id() == self.pid && matches!(process.try_wait(), Ok(Some(_))))
        })
    }

    /// Copies the log of the process into the record.
    pub fn record_log(&self) {
        for line in std::fs::read_to_string(&self.log).unwrap_or_default().lines() {
            record(&format!("{} log: {line}", self.name));
        }
    }
}

/// Waits until `GET /up` answers 200, as the front does.
pub fn wait_until_up(listen: SocketAddr) {
    let request = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n";
    let is_up = wait_until(15, || call(listen, request, 1).is_some_and(|answer| answer.status() == 200));
    assert!(is_up, "/up does not answer 200");
    record("front: /up answers 200");
}
