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

/// The datagrams by which a dispatcher says that it serves and that it stops.
const SERVING: &[u8] = b"U";
const STOPPING: &[u8] = b"S";
/// The load advertisement of a dispatcher that has nothing in flight.
const NO_LOAD: &[u8] = b"W\0";
/// The first byte of a load advertisement.
const LOAD_KIND: u8 = b'W';

/// A peer of the group of dispatcher 0.
const GROUP_PEER: u32 = 103;
/// Two dispatchers to which dispatcher 0 has nothing to say.
const UNRELATED: u32 = 5;
const MOVED: u32 = 500;

/// Other dispatchers, as sockets, by number.
struct Peers(BTreeMap<u32, UdpSocket>);

impl Peers {
    fn none() -> Peers {
        Peers(BTreeMap::new())
    }

    fn bind(numbers: impl IntoIterator<Item = u32>) -> Peers {
        let bind = |number| {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
            socket.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
            (number, socket)
        };
        Peers(numbers.into_iter().map(bind).collect())
    }

    /// The address of a dispatcher; one at which nobody listens if it has no socket.
    fn address(&self, number: u32) -> SocketAddr {
        match self.0.get(&number) {
            Some(socket) => socket.local_addr().expect("an address"),
            None => SocketAddr::from(([127, 8, (number >> 8) as u8, number as u8], 9)),
        }
    }

    /// Waits until a peer gets such a datagram; where it came from.
    fn receive(&self, number: u32, is_expected: impl Fn(&[u8]) -> bool) -> SocketAddr {
        let mut buffer = [0; 256];
        loop {
            let (len, from) = self.0[&number].recv_from(&mut buffer).expect("a datagram");
            if is_expected(&buffer[..len]) {
                return from;
            }
        }
    }

    fn send(&self, number: u32, to: SocketAddr, datagram: &[u8]) {
        self.0[&number].send_to(datagram, to).expect("sent");
    }

    /// Two dispatchers change places.
    fn swap(&mut self, one: u32, other: u32) {
        let first = self.0.remove(&one).expect("it is there");
        let second = self.0.remove(&other).expect("it is there");
        self.0.extend([(one, second), (other, first)]);
    }

    fn assert_received_nothing(&self, number: u32) {
        let socket = &self.0[&number];
        socket.set_nonblocking(true).expect("a socket option");
        let received = socket.recv_from(&mut [0; 256]);
        assert!(received.is_err(), "said to one of a thousand more than needs it");
    }
}

/// Makes a configuration one of a thousand dispatchers and workers: all workers are this one, and the other dispatchers are
/// these peers.
fn configure_thousand(config: &mut Value, worker: &FakeWorker, peers: &Peers) {
    config["known"]["instances"] = json!(list_entries(0..SIZE, worker, "up"));
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = (0..SIZE).map(|number| json!(peers.address(number).to_string())).collect();
    config["settings"]["Siblings"] = json!(SIZE);
    config["settings"]["Limits"]["Peers"] = json!(true);
    config["settings"]["Limits"]["Probing"] = json!(true);
}

/// Entries of the list for workers of these numbers, all of them this one.
fn list_entries(numbers: std::ops::Range<u32>, worker: &FakeWorker, lifecycle: &str) -> Vec<Value> {
    let address = worker.address.to_string();
    numbers.map(|number| site::endpoint_entry(&format!("s-{number:04}"), &address, lifecycle)).collect()
}

/// A request that must be served.
fn serve_request(client: &mut TcpStream, id: &str) -> HttpReply {
    let request = job_request(id, "balance", "stream started pause=5 done=x", "");
    client.write_all(request.as_bytes()).expect("written");
    let reply = read_reply(client).expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "x"), "{id}");
    reply
}

/// What a program has in memory, in KiB.
fn resident_memory(program: &DispatcherProcess) -> u64 {
    memory_kib(program.pid(), "VmRSS")
}

/// Dispatcher 0 of a thousand, with the peers that it has something to say to.
struct Site {
    program: DispatcherProcess,
    discovery: Arc<FakeDiscovery>,
    /// The list that discovery sends, of which half are the workers that the program knows.
    list: Value,
    old_worker: Arc<FakeWorker>,
    new_worker: Arc<FakeWorker>,
    peers: Peers,
    /// The numbers of the dispatchers that it tells of its lifecycle.
    neighbors: Vec<u32>,
    /// Where it sends its datagrams from.
    home: SocketAddr,
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
        let home = peers.receive(neighbors[0], |datagram| datagram == SERVING);
        let client = connect(program.platform);
        Site { program, discovery, list, old_worker, new_worker, peers, neighbors, home, client, requests: 0 }
    }

    /// The next request is served.
    fn serve_next(&mut self) {
        let id = format!("a{}", self.requests);
        self.requests += 1;
        serve_request(&mut self.client, &id);
    }

    /// Waits until the list counts, by which half of the workers are new ones.
    fn wait_for_new_workers(&mut self) {
        wait_until("the new list counts", || {
            self.serve_next();
            self.new_worker.job_count.load(SeqCst) > 0
        });
    }

    /// Discovery drains the other workers; waits until that counts.
    fn drain_old_workers(&mut self) {
        let entries = list_entries(0..SIZE / 2, &self.old_worker, "draining");
        let change = json!({"generation": 3, "reset": false, "instances": entries});
        self.discovery.push_change(&change.to_string(), self.list.clone());
        wait_until("the change counts", || {
            let before = self.old_worker.job_count.load(SeqCst);
            for _ in 0..10 {
                self.serve_next();
            }
            self.old_worker.job_count.load(SeqCst) == before
        });
    }

    /// A dispatcher says that it stops, then changes places with a neighbor, and the program reads the new configuration.
    fn reload_with_moved_peer(&mut self) {
        let neighbor = self.neighbors[0];
        self.peers.send(MOVED, self.home, STOPPING);
        self.peers.swap(MOVED, neighbor);
        let mut config = self.program.config.clone();
        configure_thousand(&mut config, &self.old_worker, &self.peers);
        self.peers.send(GROUP_PEER, self.home, NO_LOAD);
        serve_request(&mut self.client, "b0"); // and the datagrams have been read
        self.program.replace_config(&config.to_string());
        self.program.signal("-HUP");
        self.program.wait_for_log("configuration reloaded");
    }

    /// Asserts that the program takes no more memory for a thousand workers than a few KiB each.
    fn assert_memory_per_worker(&self) {
        // An entry of the list is in the configuration, in the table and in what was read last; the module knows a worker
        // by less.
        const MAX_KIB_PER_WORKER: u64 = 8;
        let small = DispatcherProcess::builder(std::slice::from_ref(&self.old_worker)).start();
        let more = resident_memory(&self.program).saturating_sub(resident_memory(&small));
        let ever_listed = u64::from(SIZE) * 3 / 2;
        assert!(more < ever_listed * MAX_KIB_PER_WORKER, "{more} KiB more than with one worker");
    }

    /// The program stops while all its neighbors do, until one of them serves again.
    fn stop_with_all_neighbors(&mut self) {
        self.program.terminate();
        for neighbor in &self.neighbors {
            self.peers.receive(*neighbor, |datagram| datagram == STOPPING);
        }
        let reply = serve_request(&mut self.client, "d0");
        assert_eq!(reply.header("Connection"), None, "nobody else could take its client");
        let serving = self.neighbors[1];
        self.peers.send(serving, self.home, SERVING);
        self.peers.receive(serving, |datagram| datagram == STOPPING);
        let reply = serve_request(&mut self.client, "d1");
        assert_eq!(reply.header("Connection"), Some("close"));
    }
}

/// One of a thousand dispatchers takes whole lists and changes, knows its peers by address after a reload, and closes its
/// clients' connections at shutdown only while another one serves. Beyond 16 dispatchers one said nothing of its stop, and
/// closed its clients' connections though all others stopped too.
#[test]
fn one_of_a_thousand_nodes_starts_serves_reloads_and_stops() {
    let mut site = Site::start();
    site.serve_next();
    site.wait_for_new_workers();
    site.drain_old_workers();
    let advertiser = site.peers.receive(GROUP_PEER, |datagram| datagram[0] == LOAD_KIND);
    assert_eq!(advertiser, site.home, "its group knows of its work");
    // What was said counts for an address, whatever its number is after a reload.
    site.reload_with_moved_peer();
    for neighbor in &site.neighbors[1..] {
        site.peers.send(*neighbor, site.home, STOPPING);
    }
    serve_request(&mut site.client, "c0");
    site.assert_memory_per_worker();
    site.stop_with_all_neighbors();
    let Site { program, peers, .. } = site;
    let (is_clean, log) = program.wait_for_exit();
    let summary = log.iter().rev().find(|line| line.starts_with("figures ")).expect("a summary");
    let figures =
        [" bad_datagrams=0 ", " bad_lists=0 ", " bad_rows=0 ", " workers=512 ", " broken_invariants=0"];
    assert!(is_clean && figures.iter().all(|figure| summary.contains(figure)), "{summary}");
    peers.assert_received_nothing(UNRELATED);
}

/// A successor takes over a thousand workers with what was learned of them, and serves on the same connection. All of it went
/// over in one packet of at most 256 KB: it could not be sent, and the successor waited for an address that the predecessor
/// kept.
#[test]
fn transfers_a_thousand_workers_to_the_successor() {
    let worker = FakeWorker::start("s-0000");
    let folder = tempfile::tempdir().expect("a folder");
    let start = |listen: String| {
        DispatcherProcess::builder(&[])
            .temp_dir(folder.path())
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
    // On the same connection, by the successor: the predecessor holds nothing and ends.
    serve_request(&mut client, "b0");
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0);
    serve_request(&mut client, "b1");
    let figures = successor.shut_down_for_metrics();
    assert_eq!((figures["served"], figures["broken_invariants"]), (2, 0), "{figures:?}");
}
