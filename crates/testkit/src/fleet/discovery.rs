//! The scripted discovery service: full lists and watches, calls one after another, refusals beyond a queue, outages.

use super::ConnectionFailed;
use super::endpoint_table::{Endpoint, EndpointTable, ListFor};
use super::event_log::{EventLog, Lifecycle};
use super::http::{self, HttpMessage, HttpReader};
use super::link::{LinkTarget, RelayedConnection};
use super::tcp_relay::{TcpRelay, reset_on_drop};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// Microseconds of one span of [`DiscoveryMetrics::per_100ms`].
const METRICS_SPAN: u64 = 100_000;

/// Whether the service works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// It answers.
    #[default]
    Up,
    /// Calls are reset, and watches have ended.
    Down,
    /// A watch is opened, and not even an empty line follows; calls for the full list are never answered.
    Silent,
    /// Calls are accepted, and nothing is ever answered to them; open watches go silent.
    Mute,
}

/// How the service behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoveryScript {
    /// Whether it works.
    pub mode: DiscoveryMode,
    /// How long one call takes; calls are handled one after another.
    pub service_time: Duration,
    /// Calls that may wait; beyond that they are refused (503) at once.
    pub queue: usize,
    /// A call that waited for this long is refused.
    pub max_wait: Duration,
    /// `Retry-After` of refusals, in seconds.
    pub retry_after: Option<f64>,
    /// An agent of each dispatcher's machine: answers at once, without a queue, and is silent while it is down.
    pub pushed: bool,
    /// Objects come over several lines.
    pub indented: bool,
    /// While nothing changes, an empty line comes at this interval.
    pub heartbeat_interval: Duration,
}

impl Default for DiscoveryScript {
    fn default() -> Self {
        DiscoveryScript {
            mode: DiscoveryMode::Up,
            service_time: Duration::from_millis(1),
            queue: 1_000,
            max_wait: Duration::from_secs(1),
            retry_after: None,
            pushed: false,
            indented: false,
            heartbeat_interval: Duration::from_secs(2),
        }
    }
}

/// What the service counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiscoveryMetrics {
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

impl DiscoveryMetrics {
    /// The most calls within 100 ms, from a time on (microseconds of the harness's clock).
    pub fn peak_since(&self, at: u64) -> u64 {
        self.per_100ms.range(at / METRICS_SPAN..).map(|(_, calls)| *calls).max().unwrap_or(0)
    }
}

struct Inner {
    table: EndpointTable,
    metrics: DiscoveryMetrics,
    /// Calls that wait, the one being handled included.
    waiting: usize,
}

/// What became of a call that waited for its turn.
enum Turn {
    Handled,
    Refused,
}

/// The service.
pub struct ScriptedDiscovery {
    script: watch::Sender<DiscoveryScript>,
    generation: watch::Sender<u64>,
    inner: Mutex<Inner>,
    /// Calls are handled one after another.
    turn: Semaphore,
    relay: Arc<TcpRelay>,
    event_log: Arc<EventLog>,
}

impl ScriptedDiscovery {
    /// `addresses[dispatcher][worker]` is where a dispatcher finds a worker.
    pub(super) fn new(
        endpoints: Vec<Endpoint>,
        addresses: Vec<Vec<SocketAddr>>,
        script: DiscoveryScript,
        relay: Arc<TcpRelay>,
        event_log: Arc<EventLog>,
    ) -> Arc<ScriptedDiscovery> {
        let size = addresses.len();
        let metrics =
            DiscoveryMetrics { calls: vec![0; size], answered: vec![0; size], ..DiscoveryMetrics::default() };
        let table = EndpointTable::new(endpoints, addresses);
        Arc::new(ScriptedDiscovery {
            script: watch::Sender::new(script),
            generation: watch::Sender::new(table.generation()),
            inner: Mutex::new(Inner { table, metrics, waiting: 0 }),
            turn: Semaphore::new(1),
            relay,
            event_log,
        })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("a lock")
    }

    /// How it behaves now.
    pub fn script(&self) -> DiscoveryScript {
        *self.script.borrow()
    }

    /// Changes how it behaves.
    pub fn change_script(&self, change: impl FnOnce(&mut DiscoveryScript)) {
        self.script.send_modify(change);
    }

    /// Changes whether it works.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        self.change_script(|script| script.mode = mode);
    }

    /// Changes a worker's endpoint and notifies the watches. Returns the new generation.
    pub fn change(&self, worker: usize, change: impl FnOnce(&mut Endpoint)) -> u64 {
        let mut inner = self.inner();
        let changed = inner.table.change(worker, change);
        self.event_log.add(changed);
        let generation = inner.table.generation();
        drop(inner);
        self.generation.send_replace(generation);
        generation
    }

    /// Changes a worker's lifecycle. Returns the new generation.
    pub fn set_lifecycle(&self, worker: usize, lifecycle: Lifecycle) -> u64 {
        self.change(worker, |endpoint| endpoint.lifecycle = lifecycle)
    }

    /// The service forgets what changed when: every watch that begins from now on gets the full list.
    pub fn forget_changes(&self) {
        self.inner().table.forget_changes();
    }

    /// The list's generation.
    pub fn generation(&self) -> u64 {
        self.inner().table.generation()
    }

    /// What was counted so far.
    pub fn metrics(&self) -> DiscoveryMetrics {
        self.inner().metrics.clone()
    }

    /// The full list as this dispatcher gets it: `known` of its configuration.
    pub fn full_list(&self, dispatcher: usize) -> Value {
        self.inner().table.list_for(dispatcher, None).list
    }

    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            let (discovery, connection) = (self.clone(), self.relay.connection_from(peer));
            // Whoever does not come by a link is no dispatcher.
            let Some(connection) = connection.filter(|c| c.link.to == LinkTarget::Discovery) else {
                continue;
            };
            tokio::spawn(async move {
                let mut stream = stream;
                if discovery.answer_calls(&mut stream, &connection).await.is_err() {
                    reset_on_drop(&stream);
                }
            });
        }
    }

    /// Answers the calls of a connection. An error resets it.
    async fn answer_calls(
        &self,
        stream: &mut TcpStream,
        connection: &RelayedConnection,
    ) -> Result<(), ConnectionFailed> {
        let _ = stream.set_nodelay(true);
        let mut reader = HttpReader::default();
        let mut out = CountedStream { stream, written: 0 };
        loop {
            let Some(request) = reader.read_request(out.stream).await? else { return Ok(()) };
            self.count_call(connection.link.dispatcher);
            let script = self.script();
            let watch_index = watch_index(&request);
            match script.mode {
                DiscoveryMode::Down if !script.pushed => {
                    self.inner().metrics.reset += 1;
                    return Err(ConnectionFailed);
                }
                DiscoveryMode::Down | DiscoveryMode::Mute => return self.hang(out.stream).await,
                DiscoveryMode::Silent if watch_index.is_none() => return self.hang(out.stream).await,
                DiscoveryMode::Up | DiscoveryMode::Silent => {}
            }
            if !script.pushed && matches!(self.wait_for_turn(&script).await?, Turn::Refused) {
                let retry_after =
                    script.retry_after.map_or(String::new(), |seconds| format!("Retry-After: {seconds}\r\n"));
                out.write(&http::response("503 Service Unavailable", &retry_after, "")).await?;
                continue;
            }
            match watch_index {
                Some(after) => return self.serve_watch(out, connection, after).await,
                None if request.target.starts_with("/discovery/hosts") => {
                    let answer = self.answer(connection.link.dispatcher, None);
                    let text = http::response("200 OK", "", &self.format(&answer.list));
                    self.log_notification(connection, &out, &text, answer);
                    out.write(&text).await?;
                }
                None => out.write(&http::response("404 Not Found", "", "")).await?,
            }
        }
    }

    fn count_call(&self, dispatcher: usize) {
        let span = self.event_log.clock.now() / METRICS_SPAN;
        let mut inner = self.inner();
        inner.metrics.calls[dispatcher] += 1;
        *inner.metrics.per_100ms.entry(span).or_default() += 1;
    }

    /// Writes nothing until the mode changes or the other side gives up, and then has the connection reset.
    async fn hang(&self, stream: &mut TcpStream) -> Result<(), ConnectionFailed> {
        let mut script = self.script.subscribe();
        let mode = script.borrow_and_update().mode;
        let mut byte = [0];
        tokio::select! {
            _ = script.wait_for(|s| s.mode != mode) => {}
            _ = stream.read(&mut byte) => {}
        }
        Err(ConnectionFailed)
    }

    /// Waits for its turn and is handled, unless it is refused.
    async fn wait_for_turn(&self, script: &DiscoveryScript) -> Result<Turn, ConnectionFailed> {
        {
            let mut inner = self.inner();
            if inner.waiting > script.queue {
                inner.metrics.refused += 1;
                return Ok(Turn::Refused);
            }
            inner.waiting += 1;
            inner.metrics.longest_queue = inner.metrics.longest_queue.max(inner.waiting);
        }
        let mut mode = self.script.subscribe();
        let handling = async {
            let turn = tokio::time::timeout(script.max_wait, self.turn.acquire()).await;
            let Ok(Ok(turn)) = turn else { return Turn::Refused };
            tokio::time::sleep(script.service_time).await;
            drop(turn);
            Turn::Handled
        };
        let turn = tokio::select! {
            turn = handling => Ok(turn),
            _ = mode.wait_for(|s| s.mode == DiscoveryMode::Down) => Err(ConnectionFailed),
        };
        let mut inner = self.inner();
        inner.waiting -= 1;
        match turn {
            Ok(Turn::Refused) => inner.metrics.refused += 1,
            Err(ConnectionFailed) => inner.metrics.reset += 1,
            Ok(Turn::Handled) => {}
        }
        turn
    }

    fn format(&self, list: &Value) -> String {
        if self.script.borrow().indented { format!("{list:#}") } else { list.to_string() }
    }

    /// What a dispatcher gets for its call.
    fn answer(&self, dispatcher: usize, after: Option<u64>) -> ListFor {
        let mut inner = self.inner();
        inner.metrics.answered[dispatcher] += 1;
        inner.table.list_for(dispatcher, after)
    }

    /// Logs that the dispatcher was notified once the relay has written the last byte of this text to it.
    fn log_notification(
        &self,
        connection: &RelayedConnection,
        out: &CountedStream<'_>,
        text: &str,
        answer: ListFor,
    ) {
        let end = out.written + text.len() as u64;
        connection.log_once_written(end, answer.notified, &self.event_log);
    }

    async fn serve_watch(
        &self,
        mut out: CountedStream<'_>,
        connection: &RelayedConnection,
        after: u64,
    ) -> Result<(), ConnectionFailed> {
        let dispatcher = connection.link.dispatcher;
        let (mut generation, mut script) = (self.generation.subscribe(), self.script.subscribe());
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        out.write(head).await?;
        let (mut is_first, mut sent) = (true, after);
        loop {
            let now = *script.borrow_and_update();
            if now.mode == DiscoveryMode::Down && !now.pushed {
                return Err(ConnectionFailed);
            }
            let newest = *generation.borrow_and_update();
            if now.mode == DiscoveryMode::Up && (is_first || newest != sent) {
                let answer = if is_first {
                    self.answer(dispatcher, Some(sent))
                } else {
                    self.inner().table.list_for(dispatcher, Some(sent))
                };
                sent = answer.list["generation"].as_u64().unwrap_or(newest);
                is_first = false;
                let text = http::chunk(&(self.format(&answer.list) + "\n"));
                self.log_notification(connection, &out, &text, answer);
                out.write(&text).await?;
                continue;
            }
            let mut byte = [0];
            tokio::select! {
                _ = generation.changed() => {}
                _ = script.changed() => {}
                read = out.stream.read(&mut byte) => match read {
                    Ok(1..) => {}
                    _ => return Ok(()),
                },
                () = tokio::time::sleep(now.heartbeat_interval) => if now.mode == DiscoveryMode::Up {
                    out.write(&http::chunk("\n")).await?;
                },
            }
        }
    }
}

/// A connection, and how many bytes were written to it.
struct CountedStream<'a> {
    stream: &'a mut TcpStream,
    written: u64,
}

impl CountedStream<'_> {
    async fn write(&mut self, text: &str) -> Result<(), ConnectionFailed> {
        self.stream.write_all(text.as_bytes()).await.map_err(|_| ConnectionFailed)?;
        self.written += text.len() as u64;
        Ok(())
    }
}

/// The generation after which a request opens a watch; `None` if it opens none.
fn watch_index(request: &HttpMessage) -> Option<u64> {
    let query = request.target.split_once('?')?.1;
    let value = |name: &str| {
        query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .find(|part| part.0 == name)
            .map(|part| part.1)
    };
    value("stream").filter(|stream| *stream == "1")?;
    Some(value("index").and_then(|index| index.parse().ok()).unwrap_or(0))
}
