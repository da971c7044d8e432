//! Scripted clients: they hand jobs in on connections that they keep, and expect one final answer each.

use super::Broken;
use super::http::{Message, Reader};
use super::record::{Event, Record};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// A client waits so much longer than it says before it takes its job for lost, so that late is told from never.
const MARGIN: Duration = Duration::from_secs(3);
/// Jobs of one load under way at most; beyond that its arrivals wait.
const MOST_OPEN: usize = 4096;
/// Kept connections to a dispatcher at most.
const MOST_KEPT: usize = 256;

/// A job as a client hands it in.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its class, which the settings name.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// Its key, where its class is keyed.
    pub key: Option<String>,
    /// What it concerns.
    pub subject: Option<String>,
    /// How long its client says that it waits.
    pub patience: Duration,
    /// The work that it is to a worker of speed 1; otherwise the worker's script says.
    pub work: Option<Duration>,
    /// `X-Facts`, such as `slots=2`.
    pub facts: Option<String>,
}

impl Job {
    /// An unkeyed job of the small deployment of [`crate::site`].
    pub fn plain() -> Job {
        Job {
            class: "balance".to_owned(),
            tenant: "steppe-mart".to_owned(),
            key: None,
            subject: None,
            patience: Duration::from_millis(7_500),
            work: None,
            facts: None,
        }
    }

    /// A keyed job of it.
    pub fn keyed(key: &str) -> Job {
        let patience = Duration::from_secs(25);
        Job { class: "redeem".to_owned(), key: Some(key.to_owned()), patience, ..Job::plain() }
    }

    fn written(&self, id: &str) -> String {
        let mut head = format!(
            "POST /{} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {}\r\n\
             X-Account: {}\r\nX-Time-Left-Ms: {}\r\n",
            self.class,
            self.class,
            self.tenant,
            self.patience.as_millis()
        );
        let mut field = |name: &str, value: Option<String>| {
            if let Some(value) = value {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
        };
        field("Idempotency-Key", self.key.clone());
        field("Cookie", self.subject.as_ref().map(|subject| format!("obj={subject}")));
        field("X-Facts", self.facts.clone());
        let body = self.work.map_or("work=own".to_owned(), |work| format!("work_us={}", work.as_micros()));
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
    }
}

/// What a client got for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Got {
    /// An answer: its status, its body and after how long.
    Answer { status: u16, body: String, took: Duration },
    /// Nobody took the job.
    Unreachable,
    /// It was handed in, and no whole answer came.
    Nothing,
}

impl Got {
    /// The answer's status.
    pub fn status(&self) -> Option<u16> {
        match self {
            Got::Answer { status, .. } => Some(*status),
            Got::Unreachable | Got::Nothing => None,
        }
    }
}

/// Draws a job.
pub type Draw = Arc<dyn Fn(&mut fastrand::Rng, u64) -> Job + Send + Sync>;

/// A load: jobs at random times, so many a second at each of some dispatchers.
#[derive(Clone)]
pub struct Load {
    /// To these dispatchers.
    pub to: Vec<usize>,
    /// Jobs a second at each of them.
    pub rate: f64,
    /// For so long, unless it is stopped earlier.
    pub span: Duration,
    /// Draws the next job; the number counts the jobs of one dispatcher.
    pub job: Draw,
}

/// What became of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Jobs that clients wanted to hand in.
    pub jobs: u64,
    /// Answers by status.
    pub answers: BTreeMap<u16, u64>,
    /// Jobs that nobody took.
    pub unreachable: u64,
    /// Jobs that were taken and got no whole answer.
    pub nothing: u64,
    /// Microseconds until a 200.
    pub took: Histogram<u64>,
}

impl LoadReport {
    fn new() -> LoadReport {
        let took = Histogram::new_with_bounds(1, 120_000_000, 3).expect("sound bounds");
        LoadReport { jobs: 0, answers: BTreeMap::new(), unreachable: 0, nothing: 0, took }
    }

    fn add(&mut self, got: &Got) {
        self.jobs += 1;
        match got {
            Got::Answer { status, took, .. } => {
                *self.answers.entry(*status).or_default() += 1;
                if *status == 200 {
                    self.took.saturating_record(took.as_micros() as u64);
                }
            }
            Got::Unreachable => self.unreachable += 1,
            Got::Nothing => self.nothing += 1,
        }
    }

    /// Jobs served.
    pub fn served(&self) -> u64 {
        self.answers.get(&200).copied().unwrap_or(0)
    }

    /// Jobs refused.
    pub fn refused(&self) -> u64 {
        [429, 503].iter().filter_map(|status| self.answers.get(status)).sum()
    }
}

/// A load that runs.
pub struct RunningLoad {
    tasks: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    report: Arc<Mutex<LoadReport>>,
    runtime: Handle,
}

impl RunningLoad {
    /// What became of it so far.
    pub fn report(&self) -> LoadReport {
        self.report.lock().expect("a lock").clone()
    }

    /// Jobs served so far.
    pub fn served(&self) -> u64 {
        self.report.lock().expect("a lock").served()
    }

    /// Lets it run its span, waits until each job has ended, and says what became of them.
    pub fn finish(self) -> LoadReport {
        for task in self.tasks {
            let _ = self.runtime.block_on(task);
        }
        Arc::try_unwrap(self.report).map_or_else(
            |shared| shared.lock().expect("a lock").clone(),
            |report| report.into_inner().expect("a lock"),
        )
    }

    /// No further jobs; then as [`RunningLoad::finish`].
    pub fn stop(self) -> LoadReport {
        self.stop.store(true, Ordering::Relaxed);
        self.finish()
    }
}

struct Kept {
    stream: TcpStream,
    reader: Reader,
    last: String,
}

/// The clients of a fleet.
pub struct Clients {
    homes: Vec<SocketAddr>,
    kept: Vec<Mutex<Vec<Kept>>>,
    next: AtomicU64,
    seed: u64,
    record: Arc<Record>,
}

impl Clients {
    pub(super) fn new(homes: Vec<SocketAddr>, seed: u64, record: Arc<Record>) -> Arc<Clients> {
        let kept = homes.iter().map(|_| Mutex::default()).collect();
        Arc::new(Clients { homes, kept, next: AtomicU64::new(0), seed, record })
    }

    /// An id that was never given before.
    fn id(&self) -> String {
        // Each step can be undone, so no two numbers have one id.
        let mut id = self.seed.wrapping_add(self.next.fetch_add(1, Ordering::Relaxed));
        id = (id ^ id >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        id = (id ^ id >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", id ^ id >> 31)
    }

    /// A kept connection that is still good. Bytes that nobody asked for are noted.
    fn kept(&self, dispatcher: usize) -> Option<Kept> {
        loop {
            let kept = self.kept[dispatcher].lock().expect("a lock").pop()?;
            if self.is_quiet(dispatcher, &kept) == Some(true) {
                return Some(kept);
            }
        }
    }

    /// Whether a kept connection is open and silent; `None` if it spoke.
    fn is_quiet(&self, dispatcher: usize, kept: &Kept) -> Option<bool> {
        let seen = kept.stream.try_read(&mut [0; 16]);
        if kept.reader.has_more() || matches!(seen, Ok(1..)) {
            self.record.add(Event::Stray { dispatcher, id: kept.last.clone() });
            return None;
        }
        Some(seen.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock))
    }

    /// Looks at all kept connections for bytes that nobody asked for.
    pub(super) fn sweep(&self) {
        for (dispatcher, kept) in self.kept.iter().enumerate() {
            kept.lock().expect("a lock").retain(|kept| self.is_quiet(dispatcher, kept) == Some(true));
        }
    }

    /// Hands a job in and waits for its answer.
    pub(super) async fn send(&self, dispatcher: usize, job: &Job) -> Got {
        let id = self.id();
        let text = job.written(&id);
        let begun = self.record.clock.now();
        let mut kept = self.kept(dispatcher);
        loop {
            let reused = kept.is_some();
            let mut conn = match kept.take() {
                Some(kept) => kept,
                None => {
                    let opening = TcpStream::connect(self.homes[dispatcher]);
                    let opened = tokio::time::timeout(Duration::from_secs(1), opening).await;
                    let Ok(Ok(stream)) = opened else {
                        self.record.add(Event::Unreachable { dispatcher, id });
                        return Got::Unreachable;
                    };
                    let _ = stream.set_nodelay(true);
                    Kept { stream, reader: Reader::default(), last: String::new() }
                }
            };
            conn.last.clone_from(&id);
            let patience = job.patience.as_micros() as u64;
            let written = conn.stream.write_all(text.as_bytes()).await.is_ok();
            if written {
                self.record.add(Event::Sent { dispatcher, id: id.clone(), patience });
            }
            let answer =
                async { if written { conn.reader.answer(&mut conn.stream).await } else { Err(Broken) } };
            match tokio::time::timeout(job.patience + MARGIN, answer).await {
                Ok(Ok(Some(answer))) => return self.answered(dispatcher, id, conn, answer, begun),
                // The close crossed the request: once more, on a new connection.
                Ok(Ok(None) | Err(Broken)) if reused && !conn.reader.has_more() => {}
                Ok(_) | Err(_) if !written => {
                    self.record.add(Event::Unreachable { dispatcher, id });
                    return Got::Unreachable;
                }
                Ok(_) | Err(_) => {
                    self.record.add(Event::Unanswered { dispatcher, id });
                    return Got::Nothing;
                }
            }
        }
    }

    fn answered(&self, dispatcher: usize, id: String, conn: Kept, answer: Message, begun: u64) -> Got {
        let (status, closes) = (answer.status, answer.closes());
        let body = answer.body;
        self.record.add(Event::Answered { dispatcher, id, status, body: body.clone() });
        if !closes && self.is_quiet(dispatcher, &conn) == Some(true) {
            let mut kept = self.kept[dispatcher].lock().expect("a lock");
            if kept.len() < MOST_KEPT {
                kept.push(conn);
            }
        }
        let took = Duration::from_micros(self.record.clock.now() - begun);
        Got::Answer { status, body, took }
    }

    pub(super) fn load(self: &Arc<Self>, runtime: &Handle, load: &Load) -> RunningLoad {
        let (stop, report) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(LoadReport::new())));
        let mut tasks = Vec::new();
        for &dispatcher in &load.to {
            let (clients, load) = (self.clone(), load.clone());
            let (stop, report) = (stop.clone(), report.clone());
            let seed = self.seed ^ (dispatcher as u64 + 1).wrapping_mul(0xd134_2543_de82_ef95);
            tasks.push(runtime.spawn(async move {
                let mut rng = fastrand::Rng::with_seed(seed);
                let room = Arc::new(tokio::sync::Semaphore::new(MOST_OPEN));
                let begun = tokio::time::Instant::now();
                let (mut at, mut number) = (Duration::ZERO, 0);
                loop {
                    at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / load.rate.max(1e-9));
                    if at > load.span {
                        break;
                    }
                    tokio::time::sleep_until(begun + at).await;
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let job = (load.job)(&mut rng, number);
                    number += 1;
                    let Ok(open) = room.clone().acquire_owned().await else { break };
                    let (clients, report) = (clients.clone(), report.clone());
                    tokio::spawn(async move {
                        let got = clients.send(dispatcher, &job).await;
                        report.lock().expect("a lock").add(&got);
                        drop(open);
                    });
                }
                let _ = room.acquire_many(MOST_OPEN as u32).await;
            }));
        }
        RunningLoad { tasks, stop, report, runtime: runtime.clone() }
    }
}
