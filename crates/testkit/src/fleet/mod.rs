//! The harness of N processes: the built program 3 to 30 times on loopback, relays for every datagram and every connection
//! between them and what surrounds them, a scripted list service, scripted workers and clients, faults that can be switched
//! at any time, and an auditor that reads what crossed the wires. Everything random is drawn from one seed, which is printed.
//!
//! `docs/design/harness.md` says how it is used.
//!
//! Calls block. They must not be made from within an asynchronous runtime.

pub mod audit;
pub mod clients;
pub mod datagrams;
pub mod http;
pub mod links;
pub mod lists;
mod process;
pub mod record;
pub mod workers;

pub use audit::{Finding, Rules, audit};
pub use clients::{Clients, Draw, Got, Job, Load, LoadReport, RunningLoad};
pub use datagrams::{Datagrams, Faults, Totals};
pub use http::Message;
pub use links::{Link, LinkFaults, Opening};
pub use lists::{ListFigures, ListMode, ListScript, Lists, Row};
pub use process::Line;
pub use record::{Entry, Event, Life, Record};
pub use workers::{Act, Worker, WorkerFigures, WorkerScript};

use crate::site;
use links::Links;
use process::Process;
use record::Clock;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use workers::Shared;

/// Processes and workers at most: each has an address of its own in the fleet's block of 254.
pub const MOST_PROCESSES: usize = 120;
/// Workers at most.
pub const MOST_WORKERS: usize = 80;
/// A call to a dispatcher must be answered by then.
const CALL: Duration = Duration::from_secs(5);

/// A connection broke, or what came on it is no HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

/// Where a link from a dispatcher leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// To this worker.
    Worker(usize),
    /// To the list service.
    Lists,
}

/// Why a fleet could not be made or started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The plan asks for what cannot be.
    #[error("a fleet of {0} processes and {1} workers: 1 to 120 and 1 to 80 can be")]
    Size(usize, usize),
    /// A socket of the harness could not be opened.
    #[error("a socket of the harness: {0}")]
    Socket(std::io::Error),
    /// A file or folder could not be written or found.
    #[error("{path}: {1}", path = .0.display())]
    File(PathBuf, std::io::Error),
    /// A process could not be started.
    #[error("process {0} cannot be started: {1}")]
    Start(usize, std::io::Error),
    /// A process runs already.
    #[error("process {0} runs already")]
    Runs(usize),
}

/// Changes the configuration of a dispatcher, by number, before it is written.
pub type Change = Arc<dyn Fn(usize, &mut Value) + Send + Sync>;

/// What a fleet is made of.
#[derive(Clone)]
pub struct Plan {
    /// The built program: `env!("CARGO_BIN_EXE_mothproxy")` in a test.
    pub program: PathBuf,
    /// How many processes.
    pub size: usize,
    /// Everything random is drawn from it.
    pub seed: u64,
    /// The workers.
    pub workers: Vec<WorkerScript>,
    /// The list service.
    pub lists: ListScript,
    /// The operators' file of every process (protobuf text format), if there is one.
    pub settings: Option<String>,
    /// A last change of each configuration, such as to the settings or to `known`.
    pub change: Option<Change>,
    /// `peers_all` is given to the dispatchers.
    pub peers_all: bool,
}

impl Plan {
    /// So many processes of a program before so many workers of the default script.
    pub fn new(program: impl Into<PathBuf>, size: usize, workers: usize, seed: u64) -> Plan {
        Plan {
            program: program.into(),
            size,
            seed,
            workers: vec![WorkerScript::default(); workers],
            lists: ListScript::default(),
            settings: None,
            change: None,
            peers_all: true,
        }
    }
}

/// The seed that the environment variable `FLEET_SEED` names, to replay a run, or this one.
pub fn seed_or(seed: u64) -> u64 {
    let named = std::env::var("FLEET_SEED").ok();
    let read = |text: &str| match text.strip_prefix("0x") {
        Some(hex) => u64::from_str_radix(hex, 16).ok(),
        None => text.parse().ok(),
    };
    named.and_then(|text| read(&text)).unwrap_or(seed)
}

/// Some members on one side of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Dispatchers.
    pub dispatchers: Vec<usize>,
    /// Workers.
    pub workers: Vec<usize>,
    /// Whether the list service is on this side.
    pub lists: bool,
}

/// The addresses of a fleet: a block of 127/8 that no other fleet on this machine has.
struct Block([u8; 2]);

impl Block {
    fn at(&self, last: usize, port: u16) -> SocketAddr {
        let last = u8::try_from(last).unwrap_or(u8::MAX);
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.0[0], self.0[1], last)), port)
    }

    fn listen(&self, i: usize) -> SocketAddr {
        self.at(i + 1, 8000)
    }

    fn admin(&self, i: usize) -> SocketAddr {
        self.at(i + 1, 8001)
    }

    fn peer(&self, i: usize) -> SocketAddr {
        self.at(i + 1, 8002)
    }

    fn face(&self, i: usize) -> SocketAddr {
        self.at(i + 1, 7000)
    }

    fn all(&self) -> SocketAddr {
        self.at(241, 7000)
    }

    fn lists_link(&self, i: usize) -> SocketAddr {
        self.at(i + 1, 8500)
    }

    fn worker_link(&self, i: usize, w: usize) -> SocketAddr {
        self.at(i + 1, 9000 + w as u16)
    }

    fn worker(&self, w: usize) -> SocketAddr {
        self.at(150 + w, 8080)
    }

    fn lists(&self) -> SocketAddr {
        self.at(240, 8500)
    }
}

/// A fleet. Dropping it kills its processes and removes their files; after a panic their logs go to standard error first.
pub struct Fleet {
    processes: Vec<Process>,
    configs: Mutex<Vec<Value>>,
    settings: Mutex<Vec<Option<String>>>,
    starts: AtomicU64,
    /// The datagram relay.
    pub datagrams: Arc<Datagrams>,
    /// The list service.
    pub lists: Arc<Lists>,
    /// The workers.
    pub workers: Vec<Arc<Worker>>,
    /// What crossed the wires.
    pub record: Arc<Record>,
    worker_links: Vec<Vec<Arc<Link>>>,
    list_links: Vec<Arc<Link>>,
    clients: Arc<Clients>,
    block: Block,
    seed: u64,
    folder: PathBuf,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Fleet {
    /// Makes everything around the processes, starts all of them and waits until they are up.
    pub fn start(plan: Plan) -> Result<Fleet, FleetError> {
        let fleet = Fleet::prepare(plan)?;
        fleet.start_all()?;
        fleet.until_up(&fleet.all());
        Ok(fleet)
    }

    /// Makes everything around the processes and starts none.
    pub fn prepare(plan: Plan) -> Result<Fleet, FleetError> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let (size, seed, count) = (plan.size, plan.seed, plan.workers.len());
        if !(1..=MOST_PROCESSES).contains(&size) || !(1..=MOST_WORKERS).contains(&count) {
            return Err(FleetError::Size(size, count));
        }
        eprintln!("fleet: {size} processes, {count} workers, seed {seed:#x}");
        more_descriptors();
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
        let runtime = runtime.map_err(FleetError::Socket)?;
        let handle = runtime.handle().clone();
        let record = Arc::new(Record::new(Clock::start()));
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let (block, faces, all) = take_block(size, number)?;
        let own = (0..size).map(|i| block.peer(i)).collect();
        let datagrams = Datagrams::start(&handle, own, faces, all, seed, record.clone());
        let datagrams = datagrams.map_err(FleetError::Socket)?;
        let links = Links::new(record.clone());
        let homes: Vec<SocketAddr> = (0..size).map(|i| block.listen(i)).collect();
        let shared = Shared {
            links: links.clone(),
            record: record.clone(),
            homes: homes.clone(),
            keys: Mutex::default(),
        };
        let shared = Arc::new(shared);
        let _inside = handle.enter();
        let mut workers = Vec::new();
        for (w, script) in plan.workers.into_iter().enumerate() {
            let listener = links::listen(block.worker(w)).map_err(FleetError::Socket)?;
            let worker = Worker::new(w, script, mix(seed, 1_000 + w as u64), shared.clone());
            handle.spawn(worker.clone().serve(listener));
            workers.push(worker);
        }
        let (mut worker_links, mut list_links, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        for i in 0..size {
            let link = |to: Side, at: SocketAddr, target: SocketAddr, salt: usize| {
                links.add(&handle, (i, to), at, target, mix(seed, (i * 1_000 + salt) as u64))
            };
            let own = (0..count)
                .map(|w| link(Side::Worker(w), block.worker_link(i, w), block.worker(w), w))
                .collect::<Result<Vec<_>, _>>()
                .map_err(FleetError::Socket)?;
            addresses.push(own.iter().map(|link| link.address).collect());
            worker_links.push(own);
            let link = link(Side::Lists, block.lists_link(i), block.lists(), 999);
            list_links.push(link.map_err(FleetError::Socket)?);
        }
        let rows = workers.iter().map(|worker| {
            let script = worker.script();
            let (name, zone, kind) = (worker.name.clone(), script.zone, script.kind);
            Row { name, zone, kind, cell: script.cell, life: Life::Up, weight: 1.0, started_ms: 0 }
        });
        let lists = Lists::new(rows.collect(), addresses, plan.lists, links.clone(), record.clone());
        let listener = links::listen(block.lists()).map_err(FleetError::Socket)?;
        handle.spawn(lists.clone().serve(listener));
        let folder = std::env::temp_dir().join(format!("mothproxy-fleet-{}-{number}", std::process::id()));
        let process = |i: usize| Process::new(i, &plan.program, folder.join(i.to_string()), record.clone());
        let processes = (0..size).map(process).collect::<Result<Vec<_>, _>>()?;
        let config = |i: usize| {
            let (listen, discovery) = (block.listen(i).to_string(), block.lists_link(i).to_string());
            let mut config = site::config(&listen, &discovery, json!([]));
            config["name"] = json!(format!("n{i}"));
            config["known"] = lists.whole(i);
            config["peer_listen"] = json!(block.peer(i).to_string());
            config["peers"] = datagrams.peers();
            if plan.peers_all {
                config["peers_all"] = json!(datagrams.all().to_string());
            }
            config["admin_addr"] = json!(block.admin(i).to_string());
            let settings = &mut config["settings"];
            settings["Me"] = json!(i);
            settings["Siblings"] = json!(size);
            settings["Limits"]["Peers"] = json!(true);
            settings["Limits"]["Probing"] = json!(true);
            if let Some(change) = &plan.change {
                change(i, &mut config);
            }
            config
        };
        let configs = Mutex::new((0..size).map(config).collect());
        Ok(Fleet {
            processes,
            configs,
            settings: Mutex::new(vec![plan.settings; size]),
            starts: AtomicU64::new(0),
            datagrams,
            lists,
            workers,
            worker_links,
            list_links,
            clients: Clients::new(homes, mix(seed, 7), record.clone()),
            record,
            block,
            seed,
            folder,
            runtime: Some(runtime),
        })
    }

    fn runtime(&self) -> &tokio::runtime::Handle {
        self.runtime.as_ref().expect("it is there until the fleet is dropped").handle()
    }

    /// How many processes it was made for.
    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// The numbers of all dispatchers.
    pub fn all(&self) -> Vec<usize> {
        (0..self.size()).collect()
    }

    /// Microseconds of the harness's clock, which all records use.
    pub fn now(&self) -> u64 {
        self.record.clock.now()
    }

    // Processes.

    /// Starts a process, with a new seed of its own, at the addresses that are always its own.
    pub fn start_one(&self, i: usize) -> Result<(), FleetError> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let config = {
            let mut configs = self.configs.lock().expect("a lock");
            configs[i]["seed"] = json!(format!("{:016x}", mix(self.seed, 1 << 32 | start)));
            configs[i].clone()
        };
        let settings = self.settings.lock().expect("a lock")[i].clone();
        self.processes[i].start(&config, settings.as_deref())
    }

    /// Starts all, one right after another, and waits for none.
    pub fn start_all(&self) -> Result<(), FleetError> {
        (0..self.size()).try_for_each(|i| self.start_one(i))
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&self, i: usize) {
        self.processes[i].kill();
    }

    /// SIGTERM; [`Fleet::until_ended`] waits for the end.
    pub fn terminate(&self, i: usize) {
        self.processes[i].terminate();
    }

    /// SIGHUP, after the configuration was changed.
    pub fn reload(&self, i: usize) -> Result<(), FleetError> {
        let config = self.config(i).to_string();
        self.processes[i].write("config.json", &config)?;
        self.processes[i].hang_up();
        Ok(())
    }

    /// SIGSTOP.
    pub fn pause(&self, i: usize) {
        self.processes[i].pause(true);
    }

    /// SIGCONT.
    pub fn resume(&self, i: usize) {
        self.processes[i].pause(false);
    }

    /// Starts a process again that was killed or has ended, and waits until it is up.
    pub fn restart(&self, i: usize) -> Result<(), FleetError> {
        self.start_one(i)?;
        self.until_up(&[i]);
        Ok(())
    }

    /// Whether a process runs.
    pub fn runs(&self, i: usize) -> bool {
        self.processes[i].runs()
    }

    /// Waits until these processes have ended by themselves.
    pub fn until_ended(&self, which: &[usize]) {
        self.until("the processes end", || which.iter().all(|i| !self.runs(*i)));
    }

    /// Waits until these processes answer `/up` with 200.
    pub fn until_up(&self, which: &[usize]) {
        self.until("the processes are up", || which.iter().all(|i| self.is_up(*i)));
    }

    /// Whether a process answers `/up` with 200.
    pub fn is_up(&self, i: usize) -> bool {
        self.get(self.block.listen(i), "GET", "/up").is_some_and(|answer| answer.status == 200)
    }

    /// A process's number at the system.
    pub fn pid(&self, i: usize) -> Option<u32> {
        self.processes[i].pid()
    }

    /// The latest lines of a process's log, over all its starts.
    pub fn log(&self, i: usize) -> Vec<Line> {
        self.processes[i].log()
    }

    /// A process's configuration, as it will be at its next start or reload.
    pub fn config(&self, i: usize) -> Value {
        self.configs.lock().expect("a lock")[i].clone()
    }

    /// Changes it; it counts from the next start or reload.
    pub fn change_config(&self, i: usize, change: impl FnOnce(&mut Value)) {
        change(&mut self.configs.lock().expect("a lock")[i]);
    }

    /// What a process will know at its next start: the list as the service holds it now, or as `list` makes it.
    pub fn set_known(&self, i: usize, list: Option<Value>) {
        let known = list.unwrap_or_else(|| self.lists.whole(i));
        self.change_config(i, |config| config["known"] = known);
    }

    /// A process's operators' file from its next start on.
    pub fn set_settings(&self, i: usize, text: Option<String>) {
        self.settings.lock().expect("a lock")[i] = text;
    }

    // Calls.

    /// GET at a process's admin address; `None` if it does not answer.
    pub fn admin(&self, i: usize, path: &str) -> Option<Message> {
        self.get(self.block.admin(i), "GET", path)
    }

    /// PUT there.
    pub fn admin_put(&self, i: usize, path: &str) -> Option<Message> {
        self.get(self.block.admin(i), "PUT", path)
    }

    /// The figures of `/control/counters` by their names without `dispatcher.`; empty if it does not answer.
    pub fn counters(&self, i: usize) -> BTreeMap<String, f64> {
        let answer = self.admin(i, "/control/counters").filter(|answer| answer.status == 200);
        let body = answer.map_or(String::new(), |answer| answer.body);
        let figure = |line: &str| {
            let (name, value) = line.strip_prefix("dispatcher.")?.rsplit_once(':')?;
            Some((name.to_owned(), value.split('|').next()?.parse().ok()?))
        };
        body.lines().filter_map(figure).collect()
    }

    fn get(&self, at: SocketAddr, method: &str, path: &str) -> Option<Message> {
        let call = format!("{method} {path} HTTP/1.1\r\nHost: dispatcher\r\nContent-Length: 0\r\n\r\n");
        let exchange = async {
            let mut stream = TcpStream::connect(at).await.ok()?;
            stream.write_all(call.as_bytes()).await.ok()?;
            http::Reader::default().answer(&mut stream).await.ok().flatten()
        };
        self.runtime().block_on(async { tokio::time::timeout(CALL, exchange).await.ok().flatten() })
    }

    /// Hands a job in at a dispatcher and waits for its answer.
    pub fn send(&self, i: usize, job: &Job) -> Got {
        self.runtime().block_on(self.clients.send(i, job))
    }

    /// Starts a load.
    pub fn load(&self, load: &Load) -> RunningLoad {
        self.clients.load(self.runtime(), load)
    }

    /// Starts a load of unkeyed jobs at these dispatchers.
    pub fn plain_load(&self, to: &[usize], rate: f64, span: Duration) -> RunningLoad {
        let job = Arc::new(|_: &mut fastrand::Rng, _| Job::plain());
        self.load(&Load { to: to.to_vec(), rate, span, job })
    }

    // Links, workers, cuts.

    /// The link from a dispatcher to a worker.
    pub fn link(&self, dispatcher: usize, worker: usize) -> &Link {
        &self.worker_links[dispatcher][worker]
    }

    /// The link from a dispatcher to the list service.
    pub fn list_link(&self, dispatcher: usize) -> &Link {
        &self.list_links[dispatcher]
    }

    /// Cuts between dispatchers and workers, or ends that.
    pub fn cut(&self, dispatchers: &[usize], workers: &[usize], on: bool) {
        for link in dispatchers.iter().flat_map(|i| workers.iter().map(|w| self.link(*i, *w))) {
            link.cut(on);
        }
    }

    /// Cuts a worker off from all dispatchers, or ends that.
    pub fn cut_worker(&self, worker: usize, on: bool) {
        self.cut(&self.all(), &[worker], on);
    }

    /// Cuts these dispatchers off from the list service, or ends that.
    pub fn cut_lists(&self, dispatchers: &[usize], on: bool) {
        dispatchers.iter().for_each(|i| self.list_link(*i).cut(on));
    }

    /// Cuts between these parts: datagrams, connections to workers and to the list service. What is in no part can be
    /// reached by all. Any earlier partition is healed first.
    pub fn partition(&self, parts: &[Part]) {
        self.heal();
        let sets: Vec<&[usize]> = parts.iter().map(|part| part.dispatchers.as_slice()).collect();
        self.datagrams.partition(&sets);
        for (n, part) in parts.iter().enumerate() {
            for other in parts.iter().enumerate().filter(|(m, _)| *m != n).map(|(_, other)| other) {
                self.cut(&part.dispatchers, &other.workers, true);
                if other.lists {
                    self.cut_lists(&part.dispatchers, true);
                }
            }
        }
    }

    /// Ends all cuts; other faults stay.
    pub fn heal(&self) {
        self.datagrams.heal();
        self.worker_links.iter().flatten().chain(&self.list_links).for_each(|link| link.cut(false));
    }

    /// A worker's process dies: connections are reset and new ones refused. The list is not told.
    pub fn kill_worker(&self, worker: usize) {
        for i in 0..self.size() {
            let link = self.link(i, worker);
            link.set(LinkFaults { opening: Opening::Refused, ..LinkFaults::default() });
            if !link.is_silent() {
                link.reset();
            }
        }
        self.workers[worker].die();
    }

    /// It starts again, cold, and the list says so. Returns the list's new generation.
    pub fn revive_worker(&self, worker: usize) -> u64 {
        self.workers[worker].die();
        (0..self.size()).for_each(|i| self.link(i, worker).set(LinkFaults::default()));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.lists.change(worker, |row| {
            row.life = Life::Up;
            row.started_ms = (unix.as_millis() as u64).max(row.started_ms + 1);
        })
    }

    // What was seen.

    /// When each dispatcher was first told of a generation or a later one, since a time: microseconds of the harness's
    /// clock. `None` for those that were not.
    pub fn held(&self, generation: u64, since: u64) -> Vec<Option<u64>> {
        let mut held = vec![None; self.size()];
        self.record.each(|entry| match entry.event {
            Event::Told { dispatcher, generation: told, .. } if told >= generation && entry.at >= since => {
                held[dispatcher].get_or_insert(entry.at);
            }
            _ => {}
        });
        held
    }

    /// Waits until these dispatchers have been told of a generation or a later one since a time.
    pub fn until_held(&self, which: &[usize], generation: u64, since: u64) {
        let what = format!("generation {generation} reaches {which:?}");
        self.until(&what, || {
            let held = self.held(generation, since);
            which.iter().all(|i| held[*i].is_some())
        });
    }

    /// What must not have happened, by these rules. Loads should have been finished.
    pub fn audit(&self, rules: &Rules) -> Vec<Finding> {
        self.clients.sweep();
        (0..self.size()).for_each(|i| _ = self.runs(i));
        let (entries, missing) = self.record.entries();
        let mut found = audit(&entries, rules);
        if missing > 0 {
            found.push(Finding::Incomplete { missing });
        }
        found
    }

    /// Waits for something that others bring about; panics after [`crate::WAIT_TIMEOUT`].
    pub fn until(&self, what: &str, holds: impl FnMut() -> bool) {
        crate::wait_until(what, holds);
    }

    /// Waits for something, at most so long: after which time it came, if it did.
    pub fn within(&self, limit: Duration, mut holds: impl FnMut() -> bool) -> Option<Duration> {
        let begun = Instant::now();
        loop {
            if holds() {
                return Some(begun.elapsed());
            }
            if begun.elapsed() > limit {
                return None;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for i in 0..self.size() {
                let log = self.log(i);
                let lines = log.iter().skip(log.len().saturating_sub(40));
                lines.for_each(|line| eprintln!("n{i} {:>9.3} {}", line.at as f64 / 1e6, line.text));
            }
        }
        self.processes.clear();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(Duration::from_secs(1));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A seed for each use, from the one that is printed.
fn mix(seed: u64, use_: u64) -> u64 {
    fastrand::Rng::with_seed(seed ^ use_.wrapping_mul(0x9e37_79b9_7f4a_7c15)).u64(..)
}

/// A fleet of 30 with its relays has some thousand descriptors.
fn more_descriptors() {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
}

/// A block of addresses, held by the sockets of the datagram relay in it.
fn take_block(
    size: usize,
    number: u64,
) -> Result<(Block, Vec<std::net::UdpSocket>, std::net::UdpSocket), FleetError> {
    let mut last = None;
    let first = mix(u64::from(std::process::id()), number);
    for step in 0..64 {
        let at = first.wrapping_add(step * 0x9e37) as u16;
        let block = Block([64 + (at >> 8) as u8 % 64, at as u8]);
        // The same port for every fleet: whoever has it has the block.
        let taken = std::net::UdpSocket::bind(block.all()).and_then(|all| {
            let faces = (0..size).map(|i| std::net::UdpSocket::bind(block.face(i)));
            Ok((all, faces.collect::<Result<Vec<_>, _>>()?))
        });
        match taken {
            Ok((all, faces)) => return Ok((block, faces, all)),
            Err(error) => last = Some(error),
        }
    }
    Err(FleetError::Socket(last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into())))
}
