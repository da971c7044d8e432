//! Scripted workers: they take jobs, call back, report load, refuse, hang, reset, and count what comes.

use super::http::{self, Message, Reader};
use super::links::{Crossing, Link, Links};
use super::record::{Event, Record};
use super::{Broken, Side};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};

/// A call-back is tried so often, so long apart.
const TRIES: u32 = 10;
const TRY_AGAIN: Duration = Duration::from_millis(50);
/// A call-back must be answered by then.
const HEARD: Duration = Duration::from_secs(2);
/// Keys that the workers of a fleet remember at most.
const MOST_KEYS: usize = 1 << 18;

/// What a worker does with a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Act {
    /// It takes it (202), and tells when it starts and ends.
    #[default]
    Serve,
    /// As `Serve`, but the 202 comes so late.
    TakeLate(Duration),
    /// It turns it away, never run: 503 with `X-Unprocessed`.
    Refuse,
    /// It says 500.
    Error,
    /// It says nothing at all, before the 202.
    Hang,
    /// It takes it, and nothing more is heard of it.
    Forget,
    /// It resets the connection once the job has come.
    Reset,
}

/// How a worker is.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerScript {
    /// Its zone, which the settings name.
    pub zone: String,
    /// Its kind, which the settings name.
    pub kind: String,
    /// Its cell: within it keys that have run are known.
    pub cell: u32,
    /// Jobs that run at once.
    pub slots: usize,
    /// Jobs that may wait beside; beyond that it turns jobs away.
    pub queue: usize,
    /// How fast it is; 1 takes a job's work as its time.
    pub speed: f64,
    /// The work of a job that does not say.
    pub work: Duration,
    /// Each job's work is drawn exponentially with that mean.
    pub random_work: bool,
    /// It answers probes.
    pub probes: bool,
    /// What it does with jobs.
    pub act: Act,
    /// Just started, it begins at this part of its speed ...
    pub cold_from: f64,
    /// ... and is warm after so long.
    pub cold: Duration,
}

impl Default for WorkerScript {
    fn default() -> Self {
        WorkerScript {
            zone: "alm 1".to_owned(),
            kind: "k-mid".to_owned(),
            cell: 1,
            slots: 4,
            queue: 64,
            speed: 1.0,
            work: Duration::from_millis(20),
            random_work: false,
            probes: true,
            act: Act::Serve,
            cold_from: 0.38,
            cold: Duration::from_millis(8_400),
        }
    }
}

/// What a worker counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerFigures {
    /// Connections accepted, by dispatcher.
    pub connects: Vec<u64>,
    /// Connections open now.
    pub open: u64,
    /// The most connections open at once.
    pub most_open: u64,
    /// Probes, by dispatcher.
    pub probes: Vec<u64>,
    /// Jobs that came whole, by dispatcher.
    pub jobs: Vec<u64>,
    /// Jobs by seconds of the harness's clock.
    pub per_second: BTreeMap<u64, u64>,
    /// Jobs whose work was done.
    pub done: u64,
    /// Jobs turned away.
    pub refused: u64,
    /// Jobs given up by their dispatcher.
    pub cancelled: u64,
    /// Repeats of keys that had run, answered from memory.
    pub repeats: u64,
    /// The most jobs that ran or waited at once.
    pub most_held: usize,
    /// Call-backs that nobody answered.
    pub unheard: u64,
}

/// What became of a key within a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It waits or runs.
    Open,
    /// It ended without having run.
    Never,
    /// It ran, and nobody knows how it ended.
    Lost,
    /// It ran and gave this.
    Result(String),
}

type Known = watch::Sender<Fate>;

/// What the workers of a fleet share.
pub(super) struct Shared {
    pub(super) links: Arc<Links>,
    pub(super) record: Arc<Record>,
    /// Where each dispatcher is called back.
    pub(super) homes: Vec<SocketAddr>,
    pub(super) keys: Mutex<HashMap<(u32, String), Arc<Known>>>,
}

impl Shared {
    /// What becomes of a key, and whether the caller is the first to have it. `None` where there is no room for it.
    fn known(&self, place: (u32, String)) -> Option<((u32, String), Arc<Known>, bool)> {
        let mut keys = self.keys.lock().expect("a lock");
        if let Some(known) = keys.get(&place).cloned() {
            return Some((place, known, false));
        }
        let known = Arc::new(watch::Sender::new(Fate::Open));
        (keys.len() < MOST_KEYS).then(|| keys.insert(place.clone(), known.clone()))?;
        Some((place, known, true))
    }
}

/// A worker.
pub struct Worker {
    /// Its number.
    pub number: usize,
    /// Its name in the list.
    pub name: String,
    script: Mutex<WorkerScript>,
    figures: Mutex<WorkerFigures>,
    slots: Mutex<Arc<Semaphore>>,
    held: Mutex<HashMap<String, Arc<Held>>>,
    running: AtomicU64,
    started_at: AtomicU64,
    cold: AtomicBool,
    life: watch::Sender<u64>,
    idle: Mutex<HashMap<usize, Vec<(TcpStream, Reader)>>>,
    rng: Mutex<fastrand::Rng>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Held {
    given_up: AtomicBool,
    news: Notify,
}

impl Worker {
    pub(super) fn new(number: usize, script: WorkerScript, seed: u64, shared: Arc<Shared>) -> Arc<Worker> {
        let size = shared.homes.len();
        let none = || vec![0; size];
        let figures =
            WorkerFigures { connects: none(), probes: none(), jobs: none(), ..WorkerFigures::default() };
        Arc::new(Worker {
            number,
            name: format!("w{number}"),
            slots: Mutex::new(Arc::new(Semaphore::new(script.slots))),
            script: Mutex::new(script),
            figures: Mutex::new(figures),
            held: Mutex::default(),
            running: AtomicU64::new(0),
            started_at: AtomicU64::new(0),
            cold: AtomicBool::new(false),
            life: watch::Sender::new(0),
            idle: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            shared,
        })
    }

    /// How it is now.
    pub fn script(&self) -> WorkerScript {
        self.script.lock().expect("a lock").clone()
    }

    /// Changes how it is. A change of `slots` counts for jobs that come from now on.
    pub fn change(&self, change: impl FnOnce(&mut WorkerScript)) {
        let mut script = self.script.lock().expect("a lock");
        let slots = script.slots;
        change(&mut script);
        if script.slots != slots {
            *self.slots.lock().expect("a lock") = Arc::new(Semaphore::new(script.slots));
        }
    }

    /// What it does with jobs from now on.
    pub fn set_act(&self, act: Act) {
        self.change(|script| script.act = act);
    }

    /// What it counted so far.
    pub fn figures(&self) -> WorkerFigures {
        self.figures.lock().expect("a lock").clone()
    }

    /// Its process dies: its connections are reset, its jobs gone and unheard of. It is cold from now on, if it comes
    /// back; that it is refused meanwhile is up to its links.
    pub(super) fn die(&self) {
        self.life.send_modify(|life| *life += 1);
        self.held.lock().expect("a lock").clear();
        let slots = self.script().slots;
        *self.slots.lock().expect("a lock") = Arc::new(Semaphore::new(slots));
        self.started_at.store(self.shared.record.clock.now(), Ordering::Relaxed);
        self.cold.store(true, Ordering::Relaxed);
    }

    fn count(&self, change: impl FnOnce(&mut WorkerFigures)) {
        change(&mut self.figures.lock().expect("a lock"));
    }

    /// The part of its speed that it has now.
    fn warmth(&self, script: &WorkerScript) -> f64 {
        if !self.cold.load(Ordering::Relaxed) || script.cold.is_zero() {
            return 1.0;
        }
        let since = self.shared.record.clock.now() - self.started_at.load(Ordering::Relaxed);
        let part = since as f64 / script.cold.as_micros() as f64;
        (script.cold_from + (1.0 - script.cold_from) * part).min(1.0)
    }

    fn load(&self) -> Value {
        let script = self.script();
        let held = self.held.lock().expect("a lock").len();
        let busy = self.running.load(Ordering::Relaxed) as f64;
        let slots = script.slots.max(1) as f64;
        let work = script.work.as_secs_f64() * 1e3;
        json!({
            "cpu": (busy / slots).min(1.0), "x0": (slots - held as f64).max(0.0), "err_rps": 0.0,
            "avg_ms": work * (1.0 + (held as f64 - slots).max(0.0) / slots), "active": busy})
    }

    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            // Whoever does not come by a link is no dispatcher.
            let crossing = self.shared.links.whose(peer);
            let Some(crossing) = crossing.filter(|c| c.link.to == Side::Worker(self.number)) else {
                continue;
            };
            let worker = self.clone();
            tokio::spawn(async move {
                let mut stream = stream;
                let from = crossing.link.dispatcher;
                worker.shared.record.add(Event::Connected { dispatcher: from, worker: worker.number });
                worker.count(|f| {
                    f.connects[from] += 1;
                    f.open += 1;
                    f.most_open = f.most_open.max(f.open);
                });
                let mut life = worker.life.subscribe();
                life.mark_unchanged();
                let done = tokio::select! {
                    done = worker.exchanges(&mut stream, &crossing) => done,
                    _ = life.changed() => Err(Broken),
                };
                worker.count(|f| f.open -= 1);
                if done.is_err() {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
            });
        }
    }

    async fn exchanges(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        crossing: &Arc<Crossing>,
    ) -> Result<(), Broken> {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::default();
        loop {
            let Some(request) = reader.request(stream).await? else { return Ok(()) };
            let at = crossing.came(request.from);
            let text = match request.method.as_str() {
                "POST" => match self.job(stream, crossing, &request, at).await? {
                    Some(text) => text,
                    None => return Ok(()),
                },
                "DELETE" => {
                    self.give_up(request.target.rsplit('/').next().unwrap_or(""));
                    "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
                }
                _ => self.probe(crossing.link.dispatcher, &request),
            };
            stream.write_all(text.as_bytes()).await.map_err(|_| Broken)?;
        }
    }

    fn probe(&self, dispatcher: usize, request: &Message) -> String {
        let path = request.target.split('?').next().unwrap_or("");
        if !self.script().probes || !matches!(path, "/alive" | "/metrics/load") {
            return http::answer("404 Not Found", "", "");
        }
        self.count(|f| f.probes[dispatcher] += 1);
        self.shared.record.add(Event::Probed { dispatcher, worker: self.number });
        http::answer("200 OK", "Content-Type: application/json\r\n", &self.load().to_string())
    }

    fn give_up(&self, id: &str) {
        if let Some(held) = self.held.lock().expect("a lock").get(id) {
            held.given_up.store(true, Ordering::Relaxed);
            held.news.notify_waiters();
            self.count(|f| f.cancelled += 1);
        }
    }

    /// Takes a job, or not. The answer to write; `None` ends the connection, an error resets it.
    async fn job(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        crossing: &Arc<Crossing>,
        request: &Message,
        at: u64,
    ) -> Result<Option<String>, Broken> {
        let script = self.script();
        let (dispatcher, worker) = (crossing.link.dispatcher, self.number);
        let Some(id) = request.field("x-correlation-id").map(str::to_owned) else {
            return Ok(Some(http::answer("404 Not Found", "", "")));
        };
        let work = self.work(&script, &request.body);
        let reached = Event::Reached { dispatcher, worker, id: id.clone(), work: work.as_micros() as u64 };
        self.shared.record.add_at(at, reached);
        self.count(|f| {
            f.jobs[dispatcher] += 1;
            *f.per_second.entry(at / 1_000_000).or_default() += 1;
        });
        match script.act {
            Act::Error => return Ok(Some(http::answer("500 Internal Server Error", "", ""))),
            Act::Reset => return Err(Broken),
            Act::Hang => {
                let _ = stream.read(&mut [0]).await;
                return Ok(None);
            }
            Act::TakeLate(wait) => tokio::time::sleep(wait).await,
            Act::Serve | Act::Refuse | Act::Forget => {}
        }
        let held = Arc::new(Held::default());
        let full = {
            let mut all = self.held.lock().expect("a lock");
            let no_room = all.len() >= script.slots + script.queue && script.act != Act::Forget;
            let full = script.act == Act::Refuse || no_room;
            if !full && script.act != Act::Forget {
                all.insert(id.clone(), held.clone());
                let count = all.len();
                self.count(|f| f.most_held = f.most_held.max(count));
            }
            full
        };
        if full {
            self.count(|f| f.refused += 1);
            return Ok(Some(http::answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "")));
        }
        if script.act != Act::Forget {
            let key = request.field("idempotency-key").map(str::to_owned);
            let (worker, link) = (self.clone(), crossing.link.clone());
            tokio::spawn(async move {
                let mut life = worker.life.subscribe();
                life.mark_unchanged();
                tokio::select! {
                    () = worker.run(&link, &id, key, work, &script, &held) => {}
                    _ = life.changed() => {
                        // The machine's agent saw the process die, where the machine is there.
                        let news = json!({"id": id, "from": worker.name, "state": "lost"});
                        worker.tell(&link, news).await;
                    }
                }
                worker.held.lock().expect("a lock").remove(&id);
            });
        }
        Ok(Some(http::answer("202 Accepted", "", "")))
    }

    /// A job's work: what its body says, or what the script says.
    fn work(&self, script: &WorkerScript, body: &str) -> Duration {
        let said = body.split_whitespace().find_map(|word| word.strip_prefix("work_us=")?.parse().ok());
        let mean = said.map_or(script.work, Duration::from_micros);
        if said.is_some() || !script.random_work {
            return mean;
        }
        let draw = 1.0 - self.rng.lock().expect("a lock").f64();
        mean.mul_f64(-draw.ln())
    }

    async fn run(
        &self,
        link: &Link,
        id: &str,
        key: Option<String>,
        work: Duration,
        script: &WorkerScript,
        held: &Held,
    ) {
        // A key that runs or ran within the cell is not run again: its result is told once more.
        let mut own = None;
        if let Some(key) = &key {
            match self.shared.known((script.cell, key.clone())) {
                Some((place, known, true)) => {
                    own = Some(Owner { shared: &self.shared, place, known, ran: false })
                }
                Some((_, known, false)) => return self.repeat(link, id, &known).await,
                None => {}
            }
        }
        let slots = self.slots.lock().expect("a lock").clone();
        let given_up = held.news.notified();
        tokio::pin!(given_up);
        given_up.as_mut().enable();
        let slot = tokio::select! {
            slot = slots.acquire() => slot,
            () = &mut given_up => return,
        };
        if held.given_up.load(Ordering::Relaxed) {
            return;
        }
        if let Some(own) = &mut own {
            own.ran = true;
        }
        self.shared.record.add(Event::Ran { worker: self.number, id: id.to_owned(), key: key.clone() });
        self.running.fetch_add(1, Ordering::Relaxed);
        let running = Running(&self.running);
        let span = work.div_f64((script.speed * self.warmth(script)).max(1e-6));
        let working = async {
            let told = self.tell(link, json!({"id": id, "from": self.name, "state": "started"}));
            tokio::join!(told, tokio::time::sleep(span));
        };
        // What nobody waits for is dropped, unless it has a key: then it runs to its end, and repeats get its result.
        tokio::select! {
            () = working => {}
            () = &mut given_up, if key.is_none() => return,
        }
        drop((running, slot));
        self.count(|f| f.done += 1);
        let result = format!("{id} by {}", self.name);
        if let Some(own) = &own {
            own.known.send_replace(Fate::Result(result.clone()));
        }
        self.held.lock().expect("a lock").remove(id);
        self.done(link, id, result).await;
    }

    async fn repeat(&self, link: &Link, id: &str, known: &Known) {
        self.count(|f| f.repeats += 1);
        let mut fate = known.subscribe();
        let fate = fate.wait_for(|fate| *fate != Fate::Open).await.map_or(Fate::Never, |fate| fate.clone());
        let news = |state: &str| json!({"id": id, "from": self.name, "state": state});
        match fate {
            Fate::Result(result) => {
                self.tell(link, news("started")).await;
                self.done(link, id, result).await;
            }
            Fate::Lost => self.tell(link, news("failed")).await,
            // Whoever asks again runs it.
            Fate::Never | Fate::Open => self.tell(link, news("returned")).await,
        }
    }

    async fn done(&self, link: &Link, id: &str, result: String) {
        let made = Event::Made { worker: self.number, id: id.to_owned(), result: result.clone() };
        self.shared.record.add(made);
        let load = self.load();
        let news = json!({"id": id, "from": self.name, "state": "done", "result": result, "load": load});
        self.tell(link, news).await;
    }

    /// Calls back until it is answered, ten times at most. While its link is cut a try takes as long as a connect that
    /// does not come up.
    async fn tell(&self, link: &Link, news: Value) {
        for _ in 0..TRIES {
            let through = tokio::time::timeout(HEARD, link.heard()).await.is_ok();
            if through && self.call_back(link.dispatcher, &news).await.is_ok() {
                return;
            }
            tokio::time::sleep(TRY_AGAIN).await;
        }
        self.count(|f| f.unheard += 1);
    }

    async fn call_back(&self, dispatcher: usize, news: &Value) -> Result<(), Broken> {
        let kept = self.idle.lock().expect("a lock").get_mut(&dispatcher).and_then(Vec::pop);
        let exchange = async {
            let (mut stream, mut reader) = match kept {
                Some(kept) => kept,
                None => {
                    let stream =
                        TcpStream::connect(self.shared.homes[dispatcher]).await.map_err(|_| Broken)?;
                    let _ = stream.set_nodelay(true);
                    (stream, Reader::default())
                }
            };
            let text = news.to_string();
            let head = "POST /_jobs/news HTTP/1.1\r\nHost: dispatcher\r\nContent-Type: application/json\r\n";
            let call = format!("{head}Content-Length: {}\r\n\r\n{text}", text.len());
            stream.write_all(call.as_bytes()).await.map_err(|_| Broken)?;
            let answer = reader.answer(&mut stream).await?.ok_or(Broken)?;
            if !answer.closes() {
                let mut idle = self.idle.lock().expect("a lock");
                let kept = idle.entry(dispatcher).or_default();
                if kept.len() < 8 {
                    kept.push((stream, reader));
                }
            }
            if matches!(answer.status, 200 | 204) { Ok(()) } else { Err(Broken) }
        };
        tokio::time::timeout(HEARD, exchange).await.map_err(|_| Broken)?
    }
}

struct Running<'a>(&'a AtomicU64);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Whoever runs a key. If that ends without a result, and nothing had run, the cell forgets the key.
struct Owner<'a> {
    shared: &'a Shared,
    place: (u32, String),
    known: Arc<Known>,
    ran: bool,
}

impl Drop for Owner<'_> {
    fn drop(&mut self) {
        if *self.known.borrow() != Fate::Open {
            return;
        }
        if !self.ran {
            self.shared.keys.lock().expect("a lock").remove(&self.place);
        }
        self.known.send_replace(if self.ran { Fate::Lost } else { Fate::Never });
    }
}
