//! The built program as one of a thousand dispatchers over a thousand workers.

use crate::SIZE;
use crate::process_memory::memory_kib;
use mothproxy::core::peer_lifecycle::PeerLifecycle;
use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

/// The datagrams with which a dispatcher announces that it serves, and that it stops.
const SERVING: &[u8] = b"U";
const STOPPING: &[u8] = b"S";
/// The load advertisement of a dispatcher without outstanding jobs.
const NO_LOAD: &[u8] = b"W\0";
/// The first byte of a load advertisement.
const LOAD_KIND: u8 = b'W';

/// A dispatcher in the group of dispatcher 0.
const GROUP_PEER: u32 = 103;
/// Two dispatchers that dispatcher 0 sends no datagrams to.
const UNRELATED: u32 = 5;
const MOVED: u32 = 500;

/// The sockets of other dispatchers, by index.
struct Peers(BTreeMap<u32, UdpSocket>);

impl Peers {
    fn none() -> Peers {
        Peers(BTreeMap::new())
    }

    fn bind(numbers: impl IntoIterator<Item = u32>) -> Peers {
        let bind = |number| {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("cannot bind a loopback port");
            socket.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
            (number, socket)
        };
        Peers(numbers.into_iter().map(bind).collect())
    }

    /// The address of a dispatcher; an unused one if it has no socket.
    fn address(&self, number: u32) -> SocketAddr {
        match self.0.get(&number) {
            Some(socket) => socket.local_addr().expect("no local address"),
            None => SocketAddr::from(([127, 8, (number >> 8) as u8, number as u8], 9)),
        }
    }

    /// Waits until a peer receives an expected datagram, and returns its source.
    fn receive(&self, number: u32, is_expected: impl Fn(&[u8]) -> bool) -> SocketAddr {
        let mut buffer = [0; 256];
        loop {
            let (len, from) = self.0[&number].recv_from(&mut buffer).expect("no datagram");
            if is_expected(&buffer[..len]) {
                return from;
            }
        }
    }

    fn send(&self, number: u32, to: SocketAddr, datagram: &[u8]) {
        self.0[&number].send_to(datagram, to).expect("cannot send the datagram");
    }

    /// Swaps the sockets of two dispatchers.
    fn swap(&mut self, one: u32, other: u32) {
        let first = self.0.remove(&one).expect("the dispatcher has no socket");
        let second = self.0.remove(&other).expect("the dispatcher has no socket");
        self.0.extend([(one, second), (other, first)]);
    }

    fn assert_received_nothing(&self, number: u32) {
        let socket = &self.0[&number];
        socket.set_nonblocking(true).expect("cannot set socket option");
        let received = socket.recv_from(&mut [0; 256]);
        assert!(received.is_err(), "dispatcher {number} received a datagram, although it is no neighbor");
    }
}

/// Configures a fleet of a thousand dispatchers and workers. All worker entries have the address of `worker`, and the other
/// dispatchers are `peers`.
fn configure_thousand(config: &mut Value, worker: &FakeWorker, peers: &Peers) {
    config["known"]["instances"] = json!(list_entries(0..SIZE, worker, "up"));
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = (0..SIZE).map(|number| json!(peers.address(number).to_string())).collect();
    config["settings"]["Siblings"] = json!(SIZE);
    config["settings"]["Limits"]["Peers"] = json!(true);
    config["settings"]["Limits"]["Probing"] = json!(true);
}

/// Endpoint entries for workers with these numbers, all at the address of `worker`.
fn list_entries(numbers: std::ops::Range<u32>, worker: &FakeWorker, lifecycle: &str) -> Vec<Value> {
    let address = worker.address.to_string();
    numbers.map(|number| site::endpoint_entry(&format!("s-{number:04}"), &address, lifecycle)).collect()
}

/// Sends a request, and asserts that it is served.
fn serve_request(client: &mut TcpStream, id: &str) -> HttpReply {
    let request = job_request(id, "balance", "stream started pause=5 done=x", "");
    client.write_all(request.as_bytes()).expect("write failed");
    let reply = read_reply(client).expect("no complete response");
    assert_eq!((reply.status, reply.body.as_str()), (200, "x"), "{id}");
    reply
}

/// The resident memory of a process, in KiB.
fn resident_memory(program: &DispatcherProcess) -> u64 {
    memory_kib(program.pid(), "VmRSS")
}

/// Dispatcher 0 of a thousand, and the peers that it exchanges datagrams with.
struct Site {
    program: DispatcherProcess,
    discovery: Arc<FakeDiscovery>,
    /// The list that discovery sends; half of its workers are in the program's configuration.
    list: Value,
    old_worker: Arc<FakeWorker>,
    new_worker: Arc<FakeWorker>,
    peers: Peers,
    /// The dispatchers that it notifies of changes in its lifecycle.
    neighbors: Vec<u32>,
    /// The address from which it sends datagrams.
    source_address: SocketAddr,
    client: TcpStream,
    requests: u32,
}

impl Site {
    fn start() -> Site {
        let old_worker = FakeWorker::start("s-0000");
        let new_worker = FakeWorker::start("s-new");
        let neighbors: Vec<u32> = PeerLifecycle::new(0, SIZE as usize).neighbors();
        let peers = Peers::bind(neighbors.iter().copied().chain([GROUP_PEER, UNRELATED, MOVED]));
        let mut entries = list_entries(0..SIZE / 2, &old_worker, "up");
        entries.extend(list_entries(SIZE..SIZE * 3 / 2, &new_worker, "up"));
        let list = json!({"generation": 2, "reset": true, "instances": entries});
        let discovery = FakeDiscovery::start(list.clone());
        let program = DispatcherProcess::builder(&[])
            .discovery(discovery.address)
            .configure(|config| configure_thousand(config, &old_worker, &peers))
            .start();
        let source_address = peers.receive(neighbors[0], |datagram| datagram == SERVING);
        let client = connect(program.platform);
        Site {
            program,
            discovery,
            list,
            old_worker,
            new_worker,
            peers,
            neighbors,
            source_address,
            client,
            requests: 0,
        }
    }

    /// Sends the next request, and asserts that it is served.
    fn serve_next(&mut self) {
        let id = format!("a{}", self.requests);
        self.requests += 1;
        serve_request(&mut self.client, &id);
    }

    /// Waits until the list is in effect, which adds new workers.
    fn wait_for_new_workers(&mut self) {
        wait_until("the new list is in effect", || {
            self.serve_next();
            self.new_worker.job_count.load(SeqCst) > 0
        });
    }

    /// Marks the old workers as draining in discovery, and waits until they get no more jobs.
    fn drain_old_workers(&mut self) {
        let entries = list_entries(0..SIZE / 2, &self.old_worker, "draining");
        let change = json!({"generation": 3, "reset": false, "instances": entries});
        self.discovery.push_change(&change.to_string(), self.list.clone());
        wait_until("the drain is in effect", || {
            let before = self.old_worker.job_count.load(SeqCst);
            for _ in 0..10 {
                self.serve_next();
            }
            self.old_worker.job_count.load(SeqCst) == before
        });
    }

    /// A dispatcher announces that it stops, then swaps its address with a neighbor, and the program reloads its configuration.
    fn reload_with_moved_peer(&mut self) {
        let neighbor = self.neighbors[0];
        self.peers.send(MOVED, self.source_address, STOPPING);
        self.peers.swap(MOVED, neighbor);
        let mut config = self.program.config.clone();
        configure_thousand(&mut config, &self.old_worker, &self.peers);
        self.peers.send(GROUP_PEER, self.source_address, NO_LOAD);
        serve_request(&mut self.client, "b0"); // the program has read the datagrams before this request
        self.program.replace_config(&config.to_string());
        self.program.signal("-HUP");
        self.program.wait_for_log("configuration reloaded");
    }

    /// Asserts that the program uses less than 8 KiB of memory per worker.
    fn assert_memory_per_worker(&self) {
        // An endpoint entry is stored in the configuration, in the endpoint table and in the last list that was read. The
        // decision module's state of a worker is smaller.
        const MAX_KIB_PER_WORKER: u64 = 8;
        let small = DispatcherProcess::builder(std::slice::from_ref(&self.old_worker)).start();
        let more = resident_memory(&self.program).saturating_sub(resident_memory(&small));
        let ever_listed = u64::from(SIZE) * 3 / 2;
        assert!(
            more < ever_listed * MAX_KIB_PER_WORKER,
            "{more} KiB more than with one worker, for {ever_listed} workers"
        );
    }

    /// Stops the program while all of its neighbors are stopping, until one of them serves again.
    fn stop_with_all_neighbors(&mut self) {
        self.program.terminate();
        for neighbor in &self.neighbors {
            self.peers.receive(*neighbor, |datagram| datagram == STOPPING);
        }
        let reply = serve_request(&mut self.client, "d0");
        assert_eq!(
            reply.header("Connection"),
            None,
            "the client's connection is closed although all peers are stopping"
        );
        let serving = self.neighbors[1];
        self.peers.send(serving, self.source_address, SERVING);
        self.peers.receive(serving, |datagram| datagram == STOPPING);
        let reply = serve_request(&mut self.client, "d1");
        assert_eq!(reply.header("Connection"), Some("close"));
    }
}

/// A dispatcher in a fleet of a thousand handles snapshots and deltas of the endpoint list, identifies its peers by address after
/// a reload, and closes its clients' connections at shutdown only while another dispatcher serves. Guards against a fault with
/// more than 16 dispatchers: they did not announce their shutdown, and closed their clients' connections even if all stopped.
#[test]
fn one_of_a_thousand_dispatchers_starts_serves_reloads_and_stops() {
    let mut site = Site::start();
    site.serve_next();
    site.wait_for_new_workers();
    site.drain_old_workers();
    let advertiser = site.peers.receive(GROUP_PEER, |datagram| datagram[0] == LOAD_KIND);
    assert_eq!(advertiser, site.source_address, "load advertisements are sent from the dispatcher's address");
    // Announcements apply to an address, also if its index changes with a reload.
    site.reload_with_moved_peer();
    for neighbor in &site.neighbors[1..] {
        site.peers.send(*neighbor, site.source_address, STOPPING);
    }
    serve_request(&mut site.client, "c0");
    site.assert_memory_per_worker();
    site.stop_with_all_neighbors();
    let Site { program, peers, .. } = site;
    let (is_clean, log) = program.wait_for_exit();
    let summary =
        log.iter().rev().find(|line| line.starts_with("figures ")).expect("no summary line in the log");
    let figures =
        [" bad_datagrams=0 ", " bad_lists=0 ", " bad_rows=0 ", " workers=512 ", " broken_invariants=0"];
    assert!(is_clean && figures.iter().all(|figure| summary.contains(figure)), "{summary}");
    peers.assert_received_nothing(UNRELATED);
}

/// At a hot restart the successor takes over a thousand workers with the state learned about them, and serves on the same
/// connection. Guards against sending this state in one packet, which is limited to 256 KB: the transfer failed, and the
/// successor waited for the listening address that the predecessor kept.
#[test]
fn transfers_a_thousand_workers_to_the_successor() {
    let worker = FakeWorker::start("s-0000");
    let temp_dir = tempfile::tempdir().expect("cannot create the temporary directory");
    let start = |listen: String| {
        DispatcherProcess::builder(&[])
            .temp_dir(temp_dir.path())
            .configure(|config| {
                configure_thousand(config, &worker, &Peers::none());
                config["listen"] = json!(listen);
            })
            .start()
    };
    let mut predecessor = start("127.0.0.1:0".to_owned());
    let mut client = connect(predecessor.platform);
    for number in 0..5 {
        serve_request(&mut client, &format!("a{number}"));
    }
    let successor = start(predecessor.platform.to_string());
    predecessor.wait_for_log("hot restart: handing over");
    // The successor serves on the same connection; the predecessor has no connections left and exits.
    serve_request(&mut client, "b0");
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0);
    serve_request(&mut client, "b1");
    let figures = successor.shut_down_for_metrics();
    assert_eq!((figures["served"], figures["broken_invariants"]), (2, 0), "{figures:?}");
}
