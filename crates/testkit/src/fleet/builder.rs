//! Builds a fleet without its processes: relays, workers, discovery, clients, and the configuration of each process.

use super::address_block::{AddressBlock, TakenBlock};
use super::clients::Clients;
use super::datagram_relay::DatagramRelay;
use super::discovery::{Endpoint, ScriptedDiscovery};
use super::event_log::{Clock, EventLog, Lifecycle};
use super::faults::FleetLinks;
use super::link::{Link, LinkRoute, LinkTarget};
use super::plan::{CLIENTS_SEED, DISCOVERY_LINK_SEED, FIRST_WORKER_SEED, SEEDS_PER_DISPATCHER, derive_seed};
use super::process::Process;
use super::tcp_relay::{self, TcpRelay};
use super::worker::{ScriptedWorker, WorkerContext};
use super::{Fleet, FleetError, FleetPlan, WorkerScript};
use crate::site;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::runtime::{Builder, Handle};

/// The number of threads of the harness's runtime.
const RUNTIME_THREADS: usize = 3;

/// Builds a fleet and starts everything except its processes. Prints the seed.
pub(super) fn build(plan: FleetPlan) -> Result<Fleet, FleetError> {
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
    plan.check_size()?;
    let (size, seed) = (plan.size, plan.seed);
    eprintln!("fleet: {size} processes, {} workers, seed {seed:#x}", plan.workers.len());
    raise_descriptor_limit();
    let runtime = Builder::new_multi_thread().worker_threads(RUNTIME_THREADS).enable_all().build();
    let runtime = runtime.map_err(FleetError::Socket)?;
    let event_log = Arc::new(EventLog::new(Clock::start()));
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let TakenBlock { block, relay_sockets, broadcast } = AddressBlock::take(size, number)?;
    let peers = (0..size).map(|dispatcher| block.peer(dispatcher)).collect();
    let datagrams =
        DatagramRelay::start(runtime.handle(), peers, relay_sockets, &broadcast, seed, event_log.clone());
    let datagrams = datagrams.map_err(FleetError::Socket)?;
    let listen: Vec<SocketAddr> = (0..size).map(|dispatcher| block.listen(dispatcher)).collect();
    let relay = TcpRelay::new(event_log.clone());
    let environment = Environment {
        handle: runtime.handle(),
        block: &block,
        relay: &relay,
        event_log: &event_log,
        size,
        seed,
    };
    let workers = environment.start_workers(&plan.workers, listen.clone())?;
    let links = environment.start_links(workers.len())?;
    let discovery = environment.start_discovery(&plan, &workers, &links.to_workers)?;
    let folder = std::env::temp_dir().join(format!("mothproxy-fleet-{}-{number}", std::process::id()));
    let processes = prepare_processes(&plan, &folder, &event_log)?;
    let configure = |dispatcher| configure(dispatcher, &plan, &block, &discovery, &datagrams);
    let configs = (0..size).map(configure).collect();
    Ok(Fleet {
        processes,
        configs: Mutex::new(configs),
        settings: plan.settings,
        starts: AtomicU64::new(0),
        datagrams,
        discovery,
        workers,
        links,
        clients: Clients::new(listen, derive_seed(seed, CLIENTS_SEED), event_log.clone()),
        event_log,
        block,
        seed,
        folder,
        runtime: Some(runtime),
    })
}

/// Creates the processes without starting them, each with its own subdirectory of `folder`.
fn prepare_processes(
    plan: &FleetPlan,
    folder: &Path,
    event_log: &Arc<EventLog>,
) -> Result<Vec<Process>, FleetError> {
    let prepare = |number: usize| {
        Process::new(number, &plan.program, folder.join(number.to_string()), event_log.clone())
    };
    (0..plan.size).map(prepare).collect()
}

/// The inputs from which the workers, links and discovery of a fleet are built.
struct Environment<'a> {
    handle: &'a Handle,
    block: &'a AddressBlock,
    relay: &'a Arc<TcpRelay>,
    event_log: &'a Arc<EventLog>,
    size: usize,
    seed: u64,
}

impl Environment<'_> {
    /// Starts the workers; `dispatchers` are the addresses for status callbacks.
    fn start_workers(
        &self,
        scripts: &[WorkerScript],
        dispatchers: Vec<SocketAddr>,
    ) -> Result<Vec<Arc<ScriptedWorker>>, FleetError> {
        let _inside = self.handle.enter();
        let context = Arc::new(WorkerContext::new(self.relay.clone(), self.event_log.clone(), dispatchers));
        let mut workers = Vec::new();
        for (number, script) in scripts.iter().enumerate() {
            let listener = tcp_relay::listen(self.block.worker(number)).map_err(FleetError::Socket)?;
            let seed = derive_seed(self.seed, FIRST_WORKER_SEED + number as u64);
            let worker = ScriptedWorker::new(number, script.clone(), seed, context.clone());
            self.handle.spawn(worker.clone().serve(listener));
            workers.push(worker);
        }
        Ok(workers)
    }

    /// The links of each dispatcher to the workers, and its link to discovery.
    fn start_links(&self, workers: usize) -> Result<FleetLinks, FleetError> {
        let mut links = FleetLinks { to_workers: Vec::new(), to_discovery: Vec::new() };
        for dispatcher in 0..self.size {
            let to_worker = |worker: usize| {
                let (address, target) =
                    (self.block.worker_link(dispatcher, worker), self.block.worker(worker));
                self.start_link(dispatcher, LinkTarget::Worker(worker), address, target)
            };
            links.to_workers.push((0..workers).map(to_worker).collect::<Result<Vec<_>, _>>()?);
            let (address, target) = (self.block.discovery_link(dispatcher), self.block.discovery());
            links.to_discovery.push(self.start_link(dispatcher, LinkTarget::Discovery, address, target)?);
        }
        Ok(links)
    }

    fn start_link(
        &self,
        dispatcher: usize,
        to: LinkTarget,
        address: SocketAddr,
        target: SocketAddr,
    ) -> Result<Arc<Link>, FleetError> {
        let salt = match to {
            LinkTarget::Worker(worker) => worker as u64,
            LinkTarget::Discovery => DISCOVERY_LINK_SEED,
        };
        let seed = derive_seed(self.seed, dispatcher as u64 * SEEDS_PER_DISPATCHER + salt);
        let route = LinkRoute { dispatcher, to, address, target };
        self.relay.start_link(self.handle, route, seed).map_err(FleetError::Socket)
    }

    fn start_discovery(
        &self,
        plan: &FleetPlan,
        workers: &[Arc<ScriptedWorker>],
        worker_links: &[Vec<Arc<Link>>],
    ) -> Result<Arc<ScriptedDiscovery>, FleetError> {
        let _inside = self.handle.enter();
        let endpoints = workers.iter().map(|worker| {
            let script = worker.script();
            Endpoint {
                name: worker.name.clone(),
                zone: script.zone,
                kind: script.kind,
                cell: script.cell,
                lifecycle: Lifecycle::Up,
                weight: 1.0,
                started_ms: 0,
            }
        });
        let addresses = worker_links.iter().map(|links| links.iter().map(|link| link.address).collect());
        let discovery = ScriptedDiscovery::new(
            endpoints.collect(),
            addresses.collect(),
            plan.discovery,
            self.relay.clone(),
            self.event_log.clone(),
        );
        let listener = tcp_relay::listen(self.block.discovery()).map_err(FleetError::Socket)?;
        self.handle.spawn(discovery.clone().serve(listener));
        Ok(discovery)
    }
}

/// The configuration of a dispatcher.
fn configure(
    dispatcher: usize,
    plan: &FleetPlan,
    block: &AddressBlock,
    discovery: &ScriptedDiscovery,
    datagrams: &DatagramRelay,
) -> Value {
    let listen = block.listen(dispatcher).to_string();
    let discovery_link = block.discovery_link(dispatcher).to_string();
    let mut config = site::config(&listen, &discovery_link, json!([]));
    config["name"] = json!(format!("n{dispatcher}"));
    config["known"] = discovery.full_list(dispatcher);
    config["peer_listen"] = json!(block.peer(dispatcher).to_string());
    config["peers"] = datagrams.peers();
    if plan.has_peer_broadcast {
        config["peers_all"] = json!(datagrams.broadcast_address().to_string());
    }
    config["admin_addr"] = json!(block.admin(dispatcher).to_string());
    let settings = &mut config["settings"];
    settings["Me"] = json!(dispatcher);
    settings["Siblings"] = json!(plan.size);
    settings["Limits"]["Peers"] = json!(true);
    settings["Limits"]["Probing"] = json!(true);
    if let Some(change) = &plan.change {
        change(dispatcher, &mut config);
    }
    config
}

/// Raises the limit of open files to its maximum: a fleet of 30 processes with its relays needs several thousand descriptors.
fn raise_descriptor_limit() {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
}
