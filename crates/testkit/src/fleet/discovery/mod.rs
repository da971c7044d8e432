//! The scripted discovery service. It serves full lists and watches, handles calls one after another, refuses calls beyond a
//! queue, and can have outages.

mod connection;
mod endpoint_table;
mod script;

pub use endpoint_table::Endpoint;
pub use script::{DiscoveryMetrics, DiscoveryMode, DiscoveryScript};

use super::ConnectionFailed;
use super::event_log::{EventLog, Lifecycle};
use super::link::LinkTarget;
use super::tcp_relay::TcpRelay;
use connection::DiscoveryConnection;
use endpoint_table::{EndpointTable, ListFor};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

struct Inner {
    table: EndpointTable,
    metrics: DiscoveryMetrics,
    /// The number of waiting calls, including the one being handled.
    waiting: usize,
}

/// The result of waiting for a call's turn.
enum Turn {
    Handled,
    Refused,
}

/// The discovery service. The methods panic if a thread that held its lock has panicked.
pub struct ScriptedDiscovery {
    script: watch::Sender<DiscoveryScript>,
    generation: watch::Sender<u64>,
    inner: Mutex<Inner>,
    /// The permit to handle a call: calls are handled one after another.
    turn: Semaphore,
    relay: Arc<TcpRelay>,
    event_log: Arc<EventLog>,
}

impl ScriptedDiscovery {
    /// `addresses[dispatcher][worker]` is the address of a worker for a dispatcher.
    pub(super) fn new(
        endpoints: Vec<Endpoint>,
        addresses: Vec<Vec<SocketAddr>>,
        script: DiscoveryScript,
        relay: Arc<TcpRelay>,
        event_log: Arc<EventLog>,
    ) -> Arc<ScriptedDiscovery> {
        let metrics = DiscoveryMetrics::new(addresses.len());
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
        self.inner.lock().expect("mutex poisoned")
    }

    /// The current script.
    pub fn script(&self) -> DiscoveryScript {
        *self.script.borrow()
    }

    /// Changes the script.
    pub fn change_script(&self, change: impl FnOnce(&mut DiscoveryScript)) {
        self.script.send_modify(change);
    }

    /// Changes the mode, which determines whether the service works.
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

    /// Discards the changes that the service has kept: every watch that begins from now on gets the full list.
    pub fn forget_changes(&self) {
        self.inner().table.forget_changes();
    }

    /// The counters so far.
    pub fn metrics(&self) -> DiscoveryMetrics {
        self.inner().metrics.clone()
    }

    /// The full list for this dispatcher, which is `known` in its configuration.
    pub fn full_list(&self, dispatcher: usize) -> Value {
        self.list_for(dispatcher, None).list
    }

    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            let relayed = self.relay.connection_from(peer);
            // A connection that did not come through a link is not from a dispatcher.
            let Some(relayed) = relayed.filter(|relayed| relayed.link.to == LinkTarget::Discovery) else {
                continue;
            };
            tokio::spawn(DiscoveryConnection::new(self.clone(), relayed, stream).serve());
        }
    }

    /// Waits until a call is handled or refused.
    async fn wait_for_turn(&self, script: &DiscoveryScript) -> Result<Turn, ConnectionFailed> {
        if !self.enqueue_call(script.queue) {
            return Ok(Turn::Refused);
        }
        let mut changes = self.script.subscribe();
        let turn = tokio::select! {
            turn = self.take_turn(script) => Ok(turn),
            _ = changes.wait_for(|script| script.mode == DiscoveryMode::Down) => Err(ConnectionFailed),
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

    /// Adds a call to the queue. Returns false if the queue is full, so that the call is refused.
    fn enqueue_call(&self, queue: usize) -> bool {
        let mut inner = self.inner();
        if inner.waiting > queue {
            inner.metrics.refused += 1;
            return false;
        }
        inner.waiting += 1;
        inner.metrics.longest_queue = inner.metrics.longest_queue.max(inner.waiting);
        true
    }

    async fn take_turn(&self, script: &DiscoveryScript) -> Turn {
        let turn = tokio::time::timeout(script.max_wait, self.turn.acquire()).await;
        let Ok(Ok(turn)) = turn else { return Turn::Refused };
        tokio::time::sleep(script.service_time).await;
        drop(turn);
        Turn::Handled
    }

    /// The list for a dispatcher: the changes after a generation, or the full list.
    fn list_for(&self, dispatcher: usize, after: Option<u64>) -> ListFor {
        self.inner().table.list_for(dispatcher, after)
    }

    /// Returns the list that answers a call, as `list_for` does, and counts the answer.
    fn answer_call(&self, dispatcher: usize, after: Option<u64>) -> ListFor {
        let mut inner = self.inner();
        inner.metrics.answered[dispatcher] += 1;
        inner.table.list_for(dispatcher, after)
    }

    fn format(&self, list: &Value) -> String {
        if self.script.borrow().indented { format!("{list:#}") } else { list.to_string() }
    }
}
