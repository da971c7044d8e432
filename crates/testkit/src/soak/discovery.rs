//! The discovery service: the list of the workers, its changes, and when each process was notified of them.

use super::Micros;
use super::plan::ListChanges;
use super::run::Shared;
use crate::fleet::http::{HttpReader, response};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The interval of empty lines on a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);
/// The number of workers that one change concerns.
const ROWS_PER_CHANGE: usize = 8;
/// Each so manyth change is sent as a whole list.
const WHOLE_LIST_EVERY: u64 = 3;
/// The greatest part of the workers that drain at a time.
const MAX_DRAINING_SHARE: f64 = 0.3;

struct Endpoint {
    name: String,
    address: SocketAddr,
    is_draining: bool,
    /// The generation with which the worker last changed.
    changed_with: u64,
}

/// The list, and what the processes have been notified of.
pub(super) struct Discovery {
    endpoints: Mutex<Vec<Endpoint>>,
    generation: watch::Sender<u64>,
    /// By process: when it was notified that a worker drains.
    drains_notified: Vec<Mutex<HashMap<usize, Micros>>>,
    /// Whether the service answers nobody.
    is_down: AtomicBool,
    /// Raised to end all open watches.
    cuts: AtomicU64,
    /// The whole list of the last generation for which it was needed.
    whole_list: Mutex<Option<ListText>>,
}

/// A list as it is sent.
#[derive(Clone)]
struct ListText {
    generation: u64,
    text: Arc<String>,
}

impl Discovery {
    pub(super) fn new(addresses: &[SocketAddr], processes: usize) -> Discovery {
        let endpoint = |(number, address): (usize, &SocketAddr)| Endpoint {
            name: format!("s-{number:08x}"),
            address: *address,
            is_draining: false,
            changed_with: 1,
        };
        Discovery {
            endpoints: Mutex::new(addresses.iter().enumerate().map(endpoint).collect()),
            generation: watch::Sender::new(1),
            drains_notified: (0..processes).map(|_| Mutex::default()).collect(),
            is_down: AtomicBool::new(false),
            cuts: AtomicU64::new(0),
            whole_list: Mutex::default(),
        }
    }

    /// The name of a worker.
    pub(super) fn name(&self, worker: usize) -> String {
        self.endpoints.lock().expect("mutex poisoned")[worker].name.clone()
    }

    /// When a process was notified that a worker drains; `None` if it was not, or if the worker is up again.
    pub(super) fn drain_notified_at(&self, process: usize, worker: usize) -> Option<Micros> {
        self.drains_notified[process].lock().expect("mutex poisoned").get(&worker).copied()
    }

    /// A process starts anew: it knows what its configuration says, and is notified of the rest.
    pub(super) fn on_process_started(&self, process: usize) {
        self.drains_notified[process].lock().expect("mutex poisoned").clear();
    }

    /// The whole list, in the form of discovery.
    pub(super) fn whole_list(&self) -> Value {
        let endpoints = self.endpoints.lock().expect("mutex poisoned");
        let rows: Vec<Value> =
            endpoints.iter().enumerate().map(|(number, endpoint)| row(number, endpoint)).collect();
        json!({"generation": *self.generation.borrow(), "reset": true, "instances": rows})
    }

    /// The whole list as it is sent. All watches share one text, since making it takes long.
    fn whole_list_text(&self) -> ListText {
        let mut kept = self.whole_list.lock().expect("mutex poisoned");
        if let Some(list) = kept.as_ref().filter(|list| list.generation == *self.generation.borrow()) {
            return list.clone();
        }
        let list = ListText::new(&self.whole_list());
        *kept = Some(list.clone());
        list
    }

    /// The rows that changed after a generation.
    fn changes_after(&self, generation: u64) -> Value {
        let endpoints = self.endpoints.lock().expect("mutex poisoned");
        let changed = endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.changed_with > generation);
        let rows: Vec<Value> = changed.map(|(number, endpoint)| row(number, endpoint)).collect();
        json!({"generation": *self.generation.borrow(), "reset": false, "instances": rows})
    }

    /// Records that a process has been notified of the list of this generation. What has changed since is not in that list.
    fn on_notified(&self, process: usize, generation: u64, at: Micros) {
        let endpoints = self.endpoints.lock().expect("mutex poisoned");
        let mut notified = self.drains_notified[process].lock().expect("mutex poisoned");
        let listed = endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.changed_with <= generation);
        for (number, endpoint) in listed {
            if endpoint.is_draining {
                notified.entry(number).or_insert(at);
            } else {
                notified.remove(&number);
            }
        }
    }

    /// Changes some workers: those that drain come back, others begin to drain.
    fn change(&self, random: &mut fastrand::Rng, count: usize) {
        let mut endpoints = self.endpoints.lock().expect("mutex poisoned");
        let generation = *self.generation.borrow() + 1;
        let total = endpoints.len();
        let draining = endpoints.iter().filter(|endpoint| endpoint.is_draining).count();
        let may_drain = (draining as f64) < total as f64 * MAX_DRAINING_SHARE;
        for _ in 0..count {
            let endpoint = &mut endpoints[random.usize(..total)];
            endpoint.is_draining = !endpoint.is_draining && may_drain;
            endpoint.changed_with = generation;
        }
        drop(endpoints);
        self.generation.send_replace(generation);
    }

    /// A process learns that a worker is up again only when it is notified; until then an attempt there is no fault. A worker that is
    /// up again for discovery no longer counts as draining.
    fn forgive_returned(&self) {
        let endpoints = self.endpoints.lock().expect("mutex poisoned");
        for notified in &self.drains_notified {
            notified.lock().expect("mutex poisoned").retain(|number, _| endpoints[*number].is_draining);
        }
    }
}

impl ListText {
    fn new(list: &Value) -> ListText {
        ListText {
            generation: list["generation"].as_u64().unwrap_or_default(),
            text: Arc::new(list.to_string()),
        }
    }
}

fn row(number: usize, endpoint: &Endpoint) -> Value {
    json!({"instanceId": endpoint.name, "hostPort": endpoint.address.to_string(), "zone": "alm 1", "machineType": "k-mid",
           "cell": cell_of(number), "lifecycle": if endpoint.is_draining { "draining" } else { "up" }, "weight": 1.0,
           "startedAtMs": 0})
}

/// The cell of a worker.
pub(super) fn cell_of(worker: usize) -> u32 {
    (worker % 2) as u32 + 1
}

/// Changes the list until the run ends.
pub(super) async fn change_lists(shared: Arc<Shared>) {
    let mut random = fastrand::Rng::with_seed(shared.plan.seed ^ 0xd15c);
    while !shared.is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(shared.plan.change_interval).await;
        let count = if shared.plan.list_changes == ListChanges::Rows { 1 } else { ROWS_PER_CHANGE };
        shared.discovery.change(&mut random, count);
        shared.discovery.forgive_returned();
        shared.report.count("list_changes", 1);
    }
}

/// Ends watches, and makes the service unreachable, now and then.
pub(super) async fn disturb(shared: Arc<Shared>) {
    let mut random = fastrand::Rng::with_seed(shared.plan.seed ^ 0xd0d0);
    while !shared.is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.u64(800..4_000))).await;
        if random.bool() {
            shared.discovery.cuts.fetch_add(1, Ordering::Relaxed);
        } else {
            shared.discovery.is_down.store(true, Ordering::Relaxed);
            shared.discovery.cuts.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(random.u64(200..2_500))).await;
            shared.discovery.is_down.store(false, Ordering::Relaxed);
        }
        shared.discovery.generation.send_modify(|_| {}); // wakes the watches, so that they notice
    }
}

/// Serves the calls of one process.
pub(super) async fn serve(shared: Arc<Shared>, process: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(shared.clone(), process, stream));
    }
}

async fn serve_connection(shared: Arc<Shared>, process: usize, mut stream: TcpStream) {
    let mut reader = HttpReader::default();
    while let Ok(Some(request)) = reader.read_request(&mut stream).await {
        if shared.discovery.is_down.load(Ordering::Relaxed) {
            let _ = stream.write_all(response("503 Down", "", "").as_bytes()).await;
            continue;
        }
        if !request.target.contains("stream=1") {
            let list = shared.discovery.whole_list_text();
            if stream.write_all(response("200 OK", "", &list.text).as_bytes()).await.is_err() {
                return;
            }
            shared.discovery.on_notified(process, list.generation, shared.now());
            continue;
        }
        let index = request.target.split_once("index=").and_then(|(_, index)| index.parse().ok());
        return watch_list(shared, process, stream, index.unwrap_or(0)).await;
    }
}

/// Sends the changes of the list until the watch is cut.
async fn watch_list(shared: Arc<Shared>, process: usize, mut stream: TcpStream, index: u64) {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    let discovery = &shared.discovery;
    let cuts = discovery.cuts.load(Ordering::Relaxed);
    let mut changed = discovery.generation.subscribe();
    let (mut sent_generation, mut sent_lists) = (index, 0);
    let mut is_first = true;
    loop {
        if discovery.cuts.load(Ordering::Relaxed) != cuts {
            return;
        }
        let generation = *changed.borrow_and_update();
        if generation > sent_generation || is_first {
            let is_whole = sent_generation == 0
                || match shared.plan.list_changes {
                    ListChanges::Rows => false,
                    ListChanges::Mixed => sent_lists % WHOLE_LIST_EVERY == WHOLE_LIST_EVERY - 1,
                    ListChanges::Whole => true,
                };
            let list = if is_whole {
                discovery.whole_list_text()
            } else {
                ListText::new(&discovery.changes_after(sent_generation))
            };
            sent_generation = list.generation;
            sent_lists += 1;
            is_first = false;
            let chunk = format!("{:x}\r\n{}\n\r\n", list.text.len() + 1, list.text);
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            shared.discovery.on_notified(process, list.generation, shared.now());
        }
        if tokio::time::timeout(HEARTBEAT_INTERVAL, changed.changed()).await.is_err()
            && stream.write_all(b"1\r\n\n\r\n").await.is_err()
        {
            return;
        }
    }
}
