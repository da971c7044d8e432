//! The fleet harness itself, without the program: each fault has its documented effect, and the discovery service and the workers
//! count their requests. The tests act as the dispatchers, with plain sockets at the addresses that the processes would have.

use mothproxy_testkit::WAIT_TIMEOUT;
use mothproxy_testkit::fleet::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

fn fleet(size: usize, seed: u64) -> Fleet {
    // The program is never started here, so any existing file can stand in for it.
    Fleet::prepare(FleetPlan::new(
        std::env::current_exe().expect("no path of this executable"),
        size,
        2,
        seed,
    ))
    .expect("cannot build the fleet")
}

fn address(value: &serde_json::Value) -> SocketAddr {
    value.as_str().and_then(|text| text.parse().ok()).expect("not a socket address")
}

/// A dispatcher's socket for datagrams, and the addresses in its configuration.
struct Peer {
    socket: UdpSocket,
    /// `peers` of the configuration, by dispatcher.
    peers: Vec<SocketAddr>,
    /// `peers_all` of the configuration.
    broadcast: SocketAddr,
}

fn peer(fleet: &Fleet, i: usize) -> Peer {
    let config = fleet.config(i);
    let socket = UdpSocket::bind(address(&config["peer_listen"])).expect("cannot bind the peer address");
    socket.set_read_timeout(Some(Duration::from_millis(200))).expect("cannot set socket option");
    let peers = config["peers"].as_array().expect("not an array").iter().map(address).collect();
    Peer { socket, peers, broadcast: address(&config["peers_all"]) }
}

impl Peer {
    fn send(&self, to: usize, bytes: &[u8]) {
        self.socket.send_to(bytes, self.peers[to]).expect("send failed");
    }

    /// Receives datagrams until none arrives for 200 ms. Returns the sender's number and the bytes of each.
    fn receive_all(&self) -> Vec<(usize, Vec<u8>)> {
        let mut buf = [0; 2048];
        std::iter::from_fn(|| {
            let (length, from) = self.socket.recv_from(&mut buf).ok()?;
            let from = self.peers.iter().position(|peer| *peer == from).expect("unknown sender");
            Some((from, buf[..length].to_vec()))
        })
        .collect()
    }
}

/// Sends the numbers 0 to 99 from dispatcher 0 to dispatcher 1 under these faults. Returns them as they arrive. More datagrams
/// might not fit into the buffer of the receiving socket, which is read only afterwards.
fn send_numbers(fleet: &Fleet, from: &Peer, to: &Peer, faults: DatagramFaults) -> Vec<u8> {
    fleet.datagrams.set(0, 1, faults);
    let sent_count = || fleet.datagrams.totals()[0].sent;
    for n in 0..100 {
        let before = sent_count();
        from.send(1, &[n]);
        fleet.wait_until("the relay receives the datagram", || sent_count() > before);
    }
    to.receive_all()
        .into_iter()
        .map(|(from, bytes)| (from == 0).then_some(bytes[0]).expect("not from dispatcher 0"))
        .collect()
}

#[test]
fn datagram_faults_apply_as_set() {
    let fleet_of = |seed| {
        let fleet = fleet(3, seed);
        let peers: Vec<Peer> = (0..3).map(|i| peer(&fleet, i)).collect();
        (fleet, peers)
    };
    let (fleet, peers) = fleet_of(11);
    let all: Vec<u8> = (0..100).collect();
    assert_eq!(send_numbers(&fleet, &peers[0], &peers[1], DatagramFaults::NONE), all);
    let delay = DatagramFaults { delay: Duration::from_millis(30), ..DatagramFaults::NONE };
    let began = Instant::now();
    peers[0].send(1, b"plain");
    assert_eq!(peers[1].receive_all(), [(0, b"plain".to_vec())]);
    fleet.datagrams.set(0, 1, delay);
    let sent = Instant::now();
    peers[0].send(1, b"late");
    assert_eq!(peers[1].socket.recv_from(&mut [0; 8]).expect("no datagram").0, 4);
    assert!(sent.elapsed() >= delay.delay && began < sent);
    let lost = send_numbers(&fleet, &peers[0], &peers[1], DatagramFaults::loss(0.3));
    assert!((50..90).contains(&lost.len()) && lost.is_sorted(), "{} of 100 at 30 % loss", lost.len());
    let repeated =
        send_numbers(&fleet, &peers[0], &peers[1], DatagramFaults { duplicate: 0.5, ..DatagramFaults::NONE });
    assert!((125..175).contains(&repeated.len()), "{} for 100 received at 50 % repeats", repeated.len());
    let reordered =
        send_numbers(&fleet, &peers[0], &peers[1], DatagramFaults { reorder: 0.3, ..DatagramFaults::NONE });
    assert!(reordered.len() == 100 && !reordered.is_sorted(), "{reordered:?}");
    // 100 bytes at 20 bytes per second: the queue holds those of one second, and the others are dropped.
    let throttled =
        send_numbers(&fleet, &peers[0], &peers[1], DatagramFaults { rate: Some(20), ..DatagramFaults::NONE });
    assert!(throttled.len() < 100, "{} of 100 received at 20 bytes per second", throttled.len());
    fleet.datagrams.set_all(DatagramFaults::NONE);
    // A cut in one direction, a partition, and the broadcast address.
    fleet.datagrams.cut_one_way(&[0], &[1]);
    peers[0].send(1, b"x");
    peers[1].send(0, b"y");
    assert_eq!((peers[1].receive_all(), peers[0].receive_all()), (vec![], vec![(1, b"y".to_vec())]));
    fleet.datagrams.partition(&[&[0, 1], &[2]]);
    peers[0].socket.send_to(b"all", peers[0].broadcast).expect("send failed");
    assert_eq!((peers[1].receive_all(), peers[2].receive_all()), (vec![(0, b"all".to_vec())], vec![]));
    fleet.datagrams.heal();
    peers[2].socket.send_to(b"all", peers[2].broadcast).expect("send failed");
    assert_eq!((peers[0].receive_all(), peers[2].receive_all()), (vec![(2, b"all".to_vec())], vec![]));
    assert!(fleet.audit(&AuditRules::default()).is_empty());
    peers[0].send(1, &[0xf1; 257]);
    peers[1].receive_all();
    let found = fleet.audit(&AuditRules::default());
    assert!(matches!(found[..], [Finding::LongDatagram { dispatcher: 0, length: 257, .. }]), "{found:?}");
    let totals = fleet.datagrams.totals();
    let count = DatagramCount { datagrams: 1, bytes: 257 };
    assert_eq!((totals[0].too_long, totals[0].by_first_byte[&0xf1]), (1, count));
    UdpSocket::bind("127.0.0.1:0").and_then(|s| s.send_to(b"?", peers[0].peers[1])).expect("send failed");
    fleet.wait_until("the unknown sender is counted", || fleet.datagrams.from_unknown_senders() == 1);
    // With the same seed the same datagrams are lost.
    let received_with_seed = |seed| {
        let (fleet, peers) = fleet_of(seed);
        send_numbers(&fleet, &peers[0], &peers[1], DatagramFaults::loss(0.3))
    };
    assert_eq!(received_with_seed(5), received_with_seed(5));
    assert_ne!(received_with_seed(5), received_with_seed(6));
}

const JOB: &str = "POST /balance HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 4\r\n\r\nwork";

/// Sends a request and reads once. Returns an error if the connection is closed or reset, or if no byte arrives within 200 ms.
fn exchange(stream: &mut TcpStream, text: &str) -> Result<String, ErrorKind> {
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("cannot set socket option");
    stream.write_all(text.as_bytes()).map_err(|e| e.kind())?;
    let mut buf = [0; 4096];
    match stream.read(&mut buf) {
        Ok(0) => Err(ErrorKind::UnexpectedEof),
        Ok(length) => Ok(String::from_utf8_lossy(&buf[..length]).into_owned()),
        Err(error) => Err(error.kind()),
    }
}

#[allow(clippy::needless_pass_by_value, reason = "callers pass what they have just made")]
fn is_silent(answer: Result<String, ErrorKind>) -> bool {
    matches!(answer, Err(ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

#[test]
fn link_faults_apply_as_set() {
    let fleet = fleet(2, 21);
    let link = fleet.link(0, 1);
    let connect = || TcpStream::connect_timeout(&link.address, Duration::from_millis(300));
    let open = || connect().expect("cannot connect");
    let accepts_job =
        |stream: &mut TcpStream| exchange(stream, JOB).is_ok_and(|a| a.starts_with("HTTP/1.1 202"));
    let set = |connect| link.set(LinkFaults { connect, ..LinkFaults::default() });
    let mut kept = open();
    assert!(accepts_job(&mut kept));
    set(ConnectBehavior::Refused);
    fleet.wait_until("new connections are refused", || {
        connect().is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    });
    assert!(accepts_job(&mut kept), "an established connection broke");
    set(ConnectBehavior::Reset);
    fleet.wait_until("new connections are reset", || {
        connect().is_ok_and(|mut s| exchange(&mut s, JOB).is_err_and(|e| e == ErrorKind::ConnectionReset))
    });
    set(ConnectBehavior::Silent);
    fleet.wait_until("new connections are silent", || {
        connect().is_ok_and(|mut s| is_silent(exchange(&mut s, JOB)))
    });
    set(ConnectBehavior::Up);
    fleet.wait_until("new connections are served", || connect().is_ok_and(|mut s| accepts_job(&mut s)));
    // During a cut, established connections are silent and continue afterwards, and new ones are not established.
    link.set_cut(true);
    fleet
        .wait_until("new connections time out", || connect().is_err_and(|e| e.kind() == ErrorKind::TimedOut));
    assert!(is_silent(exchange(&mut kept, JOB)));
    link.set_cut(false);
    kept.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
    assert!(kept.read(&mut [0; 512]).is_ok_and(|length| length > 0), "no reply after the end of the cut");
    fleet.wait_until("new connections are served again", || connect().is_ok_and(|mut s| accepts_job(&mut s)));
    // With a delay or a limited rate, an exchange takes at least the corresponding time.
    link.set(LinkFaults { delay: Duration::from_millis(20), ..LinkFaults::default() });
    let began = Instant::now();
    assert!(accepts_job(&mut kept) && began.elapsed() >= Duration::from_millis(40));
    link.set(LinkFaults { rate: Some(4_000), ..LinkFaults::default() });
    let began = Instant::now();
    assert!(accepts_job(&mut kept) && began.elapsed() >= Duration::from_millis(20));
    link.set(LinkFaults { stall_in: true, ..LinkFaults::default() });
    let jobs = || fleet.workers[1].metrics().jobs[0];
    let before = jobs();
    assert!(
        is_silent(exchange(&mut kept, JOB)) && jobs() > before,
        "the job must arrive, and the reply must be held back"
    );
    set(ConnectBehavior::Up);
    link.drop_far_side();
    fleet.wait_until("the far side is closed", || fleet.workers[1].metrics().open == 0);
    assert!(is_silent(exchange(&mut kept, JOB)) || is_silent(exchange(&mut kept, JOB)));
    link.reset();
    let mut fresh = open();
    assert!(accepts_job(&mut fresh));
    fleet.kill_worker(1);
    fleet.wait_until("the death of the worker resets the connection", || {
        exchange(&mut fresh, JOB).is_err_and(|e| !matches!(e, ErrorKind::WouldBlock | ErrorKind::TimedOut))
    });
    // The link of the other dispatcher was not affected.
    let mut other = TcpStream::connect(fleet.link(1, 0).address).expect("cannot connect");
    assert!(accepts_job(&mut other));
}

#[test]
fn workers_follow_their_script() {
    let fleet = fleet(1, 31);
    let worker = &fleet.workers[0];
    let send = |text: &str| {
        let mut stream = TcpStream::connect(fleet.link(0, 0).address).expect("cannot connect");
        exchange(&mut stream, text)
    };
    let status = |reply: Result<String, ErrorKind>| {
        reply.map(|text| text[9..12].parse::<u16>().expect("no status code"))
    };
    worker.change(|script| (script.slots, script.queue, script.work) = (1, 1, WAIT_TIMEOUT));
    let job = |n: u32| JOB.replace("Id: a", &format!("Id: j{n}"));
    assert_eq!([1, 2, 3].map(|n| status(send(&job(n)))), [Ok(202), Ok(202), Ok(503)]);
    assert_eq!(status(send("DELETE /jobs/j2 HTTP/1.1\r\n\r\n")), Ok(204));
    fleet.wait_until("the worker accepts a job again", || status(send(&job(4))) == Ok(202));
    let load = send("GET /metrics/load HTTP/1.1\r\n\r\n").expect("no load report");
    assert!(load.contains("\"cpu\":1.0") && load.contains("\"x0\":0.0"), "{load}");
    for (behavior, expected) in [
        (WorkerBehavior::Reject, Ok(503)),
        (WorkerBehavior::Error, Ok(500)),
        (WorkerBehavior::Reset, Err(ErrorKind::ConnectionReset)),
        (WorkerBehavior::Forget, Ok(202)),
    ] {
        worker.set_behavior(behavior);
        assert_eq!(status(send(&job(9))), expected, "{behavior:?}");
    }
    worker.set_behavior(WorkerBehavior::Hang);
    assert!(is_silent(send(&job(9))));
    worker.change(|script| script.answers_probes = false);
    assert_eq!(status(send("GET /metrics/load HTTP/1.1\r\n\r\n")), Ok(404));
    let metrics = worker.metrics();
    assert_eq!((metrics.probes[0], metrics.cancelled), (1, 1));
    assert!(metrics.connects[0] >= 12 && metrics.jobs[0] >= 9, "{metrics:?}");
}

/// Reads until the received text contains `what`, or until no byte arrives for 500 ms.
fn read_until(stream: &mut TcpStream, what: &str) -> String {
    stream.set_read_timeout(Some(Duration::from_millis(500))).expect("cannot set socket option");
    let (mut text, mut buf, end) = (String::new(), [0; 4096], Instant::now() + WAIT_TIMEOUT);
    while !text.contains(what) && Instant::now() < end {
        match stream.read(&mut buf) {
            Ok(length @ 1..) => text.push_str(&String::from_utf8_lossy(&buf[..length])),
            _ => break,
        }
    }
    text
}

#[test]
fn discovery_serves_in_turn_and_rejects_beyond_queue() {
    let fleet = fleet(2, 41);
    let call = |i: usize, query: &str| {
        let mut stream = TcpStream::connect(fleet.discovery_link(i).address).expect("cannot connect");
        let text = format!("GET /discovery/hosts{query} HTTP/1.1\r\nHost: lists\r\n\r\n");
        stream.write_all(text.as_bytes()).expect("send failed");
        stream
    };
    // The list of each dispatcher has the addresses of the dispatcher's own links to the workers.
    let full_list = |i: usize| read_until(&mut call(i, ""), "\"reset\"");
    let (first, second) = (full_list(0), full_list(1));
    assert!(first.contains("\"generation\":1") && first.contains(&fleet.link(0, 1).address.to_string()));
    assert!(second.contains(&fleet.link(1, 1).address.to_string()) && !second.contains("127.0.0.1"));
    // A watch sends the changes, on one line or indented on several, and empty lines as heartbeats in between.
    fleet.discovery.change_script(|script| script.heartbeat_interval = Duration::from_millis(20));
    let mut watch = call(0, "?stream=1&index=1");
    let text = read_until(&mut watch, "\r\n1\r\n\n\r\n");
    assert!(text.contains("\"generation\":1,\"instances\":[],\"reset\":false"), "{text}");
    let since = fleet.now();
    let generation = fleet.discovery.set_lifecycle(1, Lifecycle::Draining);
    let text = read_until(&mut watch, "\"reset\"");
    assert!(text.contains("draining") && text.contains("w1") && !text.contains("w0"), "{text}");
    fleet.wait_until_notified(&[0], generation, since);
    assert_eq!(fleet.notified_at(generation, since)[1], None);
    fleet.discovery.change_script(|script| script.indented = true);
    fleet.discovery.set_lifecycle(1, Lifecycle::Removed);
    let text = read_until(&mut watch, "\"reset\"");
    assert!(text.contains("removed") && text.lines().count() > 8, "{text}");
    fleet.discovery.forget_changes();
    assert!(read_until(&mut call(0, "?stream=1&index=2"), "true").contains("\"reset\": true"));
    // Calls are handled one after another: of five concurrent calls, two wait behind the first, and the others are refused.
    fleet.discovery.change_script(|script| {
        (script.service_time, script.queue) = (Duration::from_millis(100), 2);
        script.retry_after = Some(0.5);
    });
    let before = fleet.discovery.metrics();
    let began = Instant::now();
    let mut calls: Vec<TcpStream> = (0..5).map(|n| call(n % 2, "")).collect();
    let replies: Vec<String> = calls.iter_mut().map(|call| read_until(call, "\r\n\r\n")).collect();
    let refused: Vec<_> = replies.iter().filter(|reply| reply.starts_with("HTTP/1.1 503")).collect();
    assert!(
        refused.len() == 2 && refused.iter().all(|reply| reply.contains("Retry-After: 0.5")),
        "{replies:?}"
    );
    assert!(
        began.elapsed() >= Duration::from_millis(300),
        "three calls of 100 ms each took less than 300 ms"
    );
    let metrics = fleet.discovery.metrics();
    assert_eq!((metrics.refused - before.refused, metrics.longest_queue), (2, 3));
    assert_eq!(metrics.calls.iter().sum::<u64>() - before.calls.iter().sum::<u64>(), 5);
    // In the mode `Down`, watches end and calls are reset. In the mode `Silent`, a watch is opened and nothing is sent on it.
    fleet.discovery.set_mode(DiscoveryMode::Down);
    let read_to_end = |stream: &mut TcpStream| loop {
        match stream.read(&mut [0; 4096]) {
            Ok(1..) => {}
            end => return end.map_err(|error| error.kind()),
        }
    };
    watch.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
    assert_eq!(read_to_end(&mut watch), Err(ErrorKind::ConnectionReset));
    assert_eq!(read_to_end(&mut call(1, "")), Err(ErrorKind::ConnectionReset));
    fleet.discovery.set_mode(DiscoveryMode::Silent);
    let text = read_until(&mut call(1, "?stream=1&index=0"), "generation");
    assert!(text.starts_with("HTTP/1.1 200") && !text.contains("generation"), "{text}");
}
