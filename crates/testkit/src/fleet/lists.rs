//! The scripted list service: whole lists and watches, calls one after another, refusals beyond a queue, outages.

use super::http::{self, Message, Reader};
use super::links::{Crossing, Links};
use super::record::{Event, Life, Record, ToldRow};
use super::{Broken, Side};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// How the service is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListMode {
    /// It answers.
    #[default]
    Up,
    /// Calls are reset, and watches have ended.
    Down,
    /// A watch is opened, and not even an empty line follows; calls for the whole list are never answered.
    Silent,
    /// Calls are accepted, and nothing is ever answered to them; open watches go silent.
    Mute,
}

/// How the service behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListScript {
    /// How it is.
    pub mode: ListMode,
    /// How long one call takes; calls are handled one after another.
    pub service_time: Duration,
    /// Calls that may wait; beyond that they are refused (503) at once.
    pub queue: usize,
    /// A call that waited for so long is refused.
    pub max_wait: Duration,
    /// `Retry-After` of refusals, in seconds.
    pub retry_after: Option<f64>,
    /// An agent of each dispatcher's machine: answers at once, without a queue, and is silent while it is down.
    pub pushed: bool,
    /// Objects come over several lines.
    pub indented: bool,
    /// While nothing changes, an empty line comes so often.
    pub beat: Duration,
}

impl Default for ListScript {
    fn default() -> Self {
        ListScript {
            mode: ListMode::Up,
            service_time: Duration::from_millis(1),
            queue: 1_000,
            max_wait: Duration::from_secs(1),
            retry_after: None,
            pushed: false,
            indented: false,
            beat: Duration::from_secs(2),
        }
    }
}

/// A row of the list, without the address, which each dispatcher has its own of.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The worker's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its life.
    pub life: Life,
    /// Its weight.
    pub weight: f64,
    /// Its last start in Unix milliseconds, 0 for long ago.
    pub started_ms: u64,
}

/// What the service counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListFigures {
    /// Calls by dispatcher.
    pub calls: Vec<u64>,
    /// Calls answered with a list, by dispatcher.
    pub answered: Vec<u64>,
    /// Calls refused with 503.
    pub refused: u64,
    /// Calls reset, for it was down.
    pub reset: u64,
    /// The most calls that waited at once, the one being handled included.
    pub longest_queue: usize,
    /// Calls by spans of 100 ms of the harness's clock.
    pub per_100ms: BTreeMap<u64, u64>,
}

impl ListFigures {
    /// The most calls within 100 ms, from a time on (microseconds of the harness's clock).
    pub fn peak_since(&self, at: u64) -> u64 {
        self.per_100ms.range(at / 100_000..).map(|(_, calls)| *calls).max().unwrap_or(0)
    }
}

struct Table {
    generation: u64,
    first: u64,
    rows: Vec<Row>,
    /// At which generation each row changed last.
    changed: Vec<u64>,
    addresses: Vec<Vec<SocketAddr>>,
    figures: ListFigures,
    waiting: usize,
}

/// The service.
pub struct Lists {
    script: watch::Sender<ListScript>,
    version: watch::Sender<u64>,
    table: Mutex<Table>,
    turn: Semaphore,
    links: Arc<Links>,
    record: Arc<Record>,
}

impl Lists {
    /// `addresses[dispatcher][worker]` is where a dispatcher finds a worker.
    pub(super) fn new(
        rows: Vec<Row>,
        addresses: Vec<Vec<SocketAddr>>,
        script: ListScript,
        links: Arc<Links>,
        record: Arc<Record>,
    ) -> Arc<Lists> {
        let size = addresses.len();
        let figures = ListFigures { calls: vec![0; size], answered: vec![0; size], ..ListFigures::default() };
        let changed = vec![1; rows.len()];
        let table = Table { generation: 1, first: 1, rows, changed, addresses, figures, waiting: 0 };
        Arc::new(Lists {
            script: watch::Sender::new(script),
            version: watch::Sender::new(1),
            table: Mutex::new(table),
            turn: Semaphore::new(1),
            links,
            record,
        })
    }

    /// How it behaves now.
    pub fn script(&self) -> ListScript {
        *self.script.borrow()
    }

    /// Changes how it behaves.
    pub fn change_script(&self, change: impl FnOnce(&mut ListScript)) {
        self.script.send_modify(change);
    }

    /// Changes how it is.
    pub fn set_mode(&self, mode: ListMode) {
        self.change_script(|script| script.mode = mode);
    }

    /// Changes a worker's row and tells the watches. Returns the new generation.
    pub fn change(&self, worker: usize, change: impl FnOnce(&mut Row)) -> u64 {
        let mut table = self.table.lock().expect("a lock");
        change(&mut table.rows[worker]);
        table.generation += 1;
        let generation = table.generation;
        table.changed[worker] = generation;
        let row = &table.rows[worker];
        let row = ToldRow { worker, life: row.life, started_ms: row.started_ms };
        self.record.add(Event::Changed { generation, row });
        drop(table);
        self.version.send_replace(generation);
        generation
    }

    /// Changes a worker's life.
    pub fn set_life(&self, worker: usize, life: Life) -> u64 {
        self.change(worker, |row| row.life = life)
    }

    /// The service forgets what changed when: whoever asks gets the whole list.
    pub fn forget(&self) {
        let mut table = self.table.lock().expect("a lock");
        table.first = table.generation + 1;
    }

    /// The list's generation.
    pub fn generation(&self) -> u64 {
        self.table.lock().expect("a lock").generation
    }

    /// What was counted so far.
    pub fn figures(&self) -> ListFigures {
        self.table.lock().expect("a lock").figures.clone()
    }

    /// The whole list as this dispatcher gets it: `known` of its configuration.
    pub fn whole(&self, dispatcher: usize) -> Value {
        let table = self.table.lock().expect("a lock");
        table.list(dispatcher, None).0
    }

    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            let (lists, crossing) = (self.clone(), self.links.whose(peer));
            // Whoever does not come by a link is no dispatcher.
            let Some(crossing) = crossing.filter(|c| c.link.to == Side::Lists) else { continue };
            tokio::spawn(async move {
                let mut stream = stream;
                if lists.call(&mut stream, &crossing).await.is_err() {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
            });
        }
    }

    /// Answers the calls of a connection. An error resets it.
    async fn call(&self, stream: &mut TcpStream, crossing: &Crossing) -> Result<(), Broken> {
        let _ = stream.set_nodelay(true);
        let dispatcher = crossing.link.dispatcher;
        let (mut reader, mut written) = (Reader::default(), 0);
        loop {
            let Some(request) = reader.request(stream).await? else { return Ok(()) };
            {
                let mut table = self.table.lock().expect("a lock");
                table.figures.calls[dispatcher] += 1;
                *table.figures.per_100ms.entry(self.record.clock.now() / 100_000).or_default() += 1;
            }
            let script = self.script();
            match script.mode {
                ListMode::Down if !script.pushed => {
                    self.table.lock().expect("a lock").figures.reset += 1;
                    return Err(Broken);
                }
                ListMode::Down | ListMode::Mute => return self.hang(stream).await,
                ListMode::Silent if watch_after(&request).is_none() => return self.hang(stream).await,
                ListMode::Up | ListMode::Silent => {}
            }
            if !script.pushed && !self.wait(&script).await? {
                let retry = script.retry_after.map_or(String::new(), |s| format!("Retry-After: {s}\r\n"));
                let text = http::answer("503 Service Unavailable", &retry, "");
                stream.write_all(text.as_bytes()).await.map_err(|_| Broken)?;
                written += text.len() as u64;
                continue;
            }
            match watch_after(&request) {
                Some(after) => return self.watch(stream, crossing, written, after).await,
                None if request.target.starts_with("/discovery/hosts") => {
                    let (list, told) = self.answered(dispatcher, None);
                    let text = http::answer("200 OK", "", &self.written(&list));
                    written += text.len() as u64;
                    crossing.mark(written, told, &self.record);
                    stream.write_all(text.as_bytes()).await.map_err(|_| Broken)?;
                }
                None => {
                    let text = http::answer("404 Not Found", "", "");
                    written += text.len() as u64;
                    stream.write_all(text.as_bytes()).await.map_err(|_| Broken)?;
                }
            }
        }
    }

    /// Says nothing until it is another way, or the other side gives up.
    async fn hang(&self, stream: &mut TcpStream) -> Result<(), Broken> {
        let mut script = self.script.subscribe();
        let mode = script.borrow_and_update().mode;
        let mut byte = [0];
        tokio::select! {
            _ = script.wait_for(|s| s.mode != mode) => {}
            _ = stream.read(&mut byte) => {}
        }
        Err(Broken)
    }

    /// Waits for its turn and is handled. False if it is refused.
    async fn wait(&self, script: &ListScript) -> Result<bool, Broken> {
        {
            let mut table = self.table.lock().expect("a lock");
            if table.waiting > script.queue {
                table.figures.refused += 1;
                return Ok(false);
            }
            table.waiting += 1;
            table.figures.longest_queue = table.figures.longest_queue.max(table.waiting);
        }
        let mut mode = self.script.subscribe();
        let turn = async {
            let turn = tokio::time::timeout(script.max_wait, self.turn.acquire()).await;
            let Ok(Ok(turn)) = turn else { return false };
            tokio::time::sleep(script.service_time).await;
            drop(turn);
            true
        };
        let done = tokio::select! {
            done = turn => Ok(done),
            _ = mode.wait_for(|s| s.mode == ListMode::Down) => Err(Broken),
        };
        let mut table = self.table.lock().expect("a lock");
        table.waiting -= 1;
        match done {
            Ok(false) => table.figures.refused += 1,
            Err(Broken) => table.figures.reset += 1,
            Ok(true) => {}
        }
        done
    }

    fn written(&self, list: &Value) -> String {
        if self.script.borrow().indented { format!("{list:#}") } else { list.to_string() }
    }

    /// What a dispatcher gets for its call, and that it was told.
    fn answered(&self, dispatcher: usize, after: Option<u64>) -> (Value, Event) {
        let mut table = self.table.lock().expect("a lock");
        table.figures.answered[dispatcher] += 1;
        table.list(dispatcher, after)
    }

    async fn watch(
        &self,
        stream: &mut TcpStream,
        crossing: &Crossing,
        mut written: u64,
        after: u64,
    ) -> Result<(), Broken> {
        let dispatcher = crossing.link.dispatcher;
        let (mut version, mut script) = (self.version.subscribe(), self.script.subscribe());
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.map_err(|_| Broken)?;
        written += head.len() as u64;
        let (mut first, mut at) = (true, after);
        loop {
            let now = *script.borrow_and_update();
            if now.mode == ListMode::Down && !now.pushed {
                return Err(Broken);
            }
            let newest = *version.borrow_and_update();
            if now.mode == ListMode::Up && (first || newest != at) {
                let (list, told) = if first {
                    self.answered(dispatcher, Some(at))
                } else {
                    self.table.lock().expect("a lock").list(dispatcher, Some(at))
                };
                at = list["generation"].as_u64().unwrap_or(newest);
                first = false;
                let text = http::chunk(&(self.written(&list) + "\n"));
                written += text.len() as u64;
                crossing.mark(written, told, &self.record);
                stream.write_all(text.as_bytes()).await.map_err(|_| Broken)?;
                continue;
            }
            let mut byte = [0];
            tokio::select! {
                _ = version.changed() => {}
                _ = script.changed() => {}
                read = stream.read(&mut byte) => match read {
                    Ok(1..) => {}
                    _ => return Ok(()),
                },
                () = tokio::time::sleep(now.beat) => if now.mode == ListMode::Up {
                    let text = http::chunk("\n");
                    written += text.len() as u64;
                    stream.write_all(text.as_bytes()).await.map_err(|_| Broken)?;
                },
            }
        }
    }
}

fn watch_after(request: &Message) -> Option<u64> {
    let query = request.target.split_once('?')?.1;
    let value = |name: &str| query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name);
    value("stream").filter(|p| p.1 == "1")?;
    Some(value("index").and_then(|p| p.1.parse().ok()).unwrap_or(0))
}

impl Table {
    /// The list after a version, or whole; and that a dispatcher was told so.
    fn list(&self, dispatcher: usize, after: Option<u64>) -> (Value, Event) {
        let after = after.filter(|after| (self.first..=self.generation).contains(after));
        let whole = after.is_none();
        let (mut instances, mut rows) = (Vec::new(), Vec::new());
        for (worker, row) in self.rows.iter().enumerate() {
            let fresh = after.is_none_or(|after| self.changed[worker] > after);
            if !fresh || whole && row.life == Life::Removed {
                continue;
            }
            let address = self.addresses[dispatcher][worker].to_string();
            instances.push(json!({
                "instanceId": row.name, "hostPort": address, "zone": row.zone, "machineType": row.kind,
                "cell": row.cell, "lifecycle": row.life.word(), "weight": row.weight,
                "startedAtMs": row.started_ms}));
            rows.push(ToldRow { worker, life: row.life, started_ms: row.started_ms });
        }
        let generation = self.generation;
        let list = json!({"generation": generation, "reset": whole, "instances": instances});
        (list, Event::Told { dispatcher, generation, whole, rows })
    }
}
