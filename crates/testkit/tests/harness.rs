//! The harness itself, without the program: each fault does what its name says, and the list service and the workers count
//! what came. The test plays the dispatchers with plain sockets at the addresses that the processes would have.

use mothproxy_testkit::WAIT_TIMEOUT;
use mothproxy_testkit::fleet::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

fn fleet(size: usize, seed: u64) -> Fleet {
    // The program is never started here: any file will do.
    Fleet::prepare(Plan::new(std::env::current_exe().expect("a path"), size, 2, seed)).expect("a fleet")
}

fn address(value: &serde_json::Value) -> SocketAddr {
    value.as_str().and_then(|text| text.parse().ok()).expect("an address")
}

/// A dispatcher's socket for datagrams, and the address of each other one as it knows it.
struct Peer {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    all: SocketAddr,
}

fn peer(fleet: &Fleet, i: usize) -> Peer {
    let config = fleet.config(i);
    let socket = UdpSocket::bind(address(&config["peer_listen"])).expect("its address is free");
    socket.set_read_timeout(Some(Duration::from_millis(200))).expect("a socket option");
    let peers = config["peers"].as_array().expect("a list").iter().map(address).collect();
    Peer { socket, peers, all: address(&config["peers_all"]) }
}

impl Peer {
    fn tell(&self, to: usize, bytes: &[u8]) {
        self.socket.send_to(bytes, self.peers[to]).expect("it is sent");
    }

    /// All that comes until it is quiet: from whom by number, and the bytes.
    fn hear(&self) -> Vec<(usize, Vec<u8>)> {
        let mut buf = [0; 2048];
        std::iter::from_fn(|| {
            let (length, from) = self.socket.recv_from(&mut buf).ok()?;
            let from = self.peers.iter().position(|peer| *peer == from).expect("a face");
            Some((from, buf[..length].to_vec()))
        })
        .collect()
    }
}

/// Numbers 0 to 99 from 0 to 1 under these faults, as they arrive; more would not wait in the socket of who is not reading.
fn numbers(fleet: &Fleet, from: &Peer, to: &Peer, faults: DatagramFaults) -> Vec<u8> {
    fleet.datagrams.set(0, 1, faults);
    let sent = || fleet.datagrams.totals()[0].sent;
    for n in 0..100 {
        let before = sent();
        from.tell(1, &[n]);
        fleet.wait_until("the relay has it", || sent() > before);
    }
    to.hear().into_iter().map(|(from, bytes)| (from == 0).then_some(bytes[0]).expect("from 0")).collect()
}

#[test]
fn datagram_faults_apply_as_set() {
    let fleet_of = |seed| {
        let fleet = fleet(3, seed);
        let peers: Vec<Peer> = (0..3).map(|i| peer(&fleet, i)).collect();
        (fleet, peers)
    };
    let (fleet, peers) = fleet_of(11);
    let whole: Vec<u8> = (0..100).collect();
    assert_eq!(numbers(&fleet, &peers[0], &peers[1], DatagramFaults::NONE), whole);
    let delay = DatagramFaults { delay: Duration::from_millis(30), ..DatagramFaults::NONE };
    let began = Instant::now();
    peers[0].tell(1, b"plain");
    assert_eq!(peers[1].hear(), [(0, b"plain".to_vec())]);
    fleet.datagrams.set(0, 1, delay);
    let sent = Instant::now();
    peers[0].tell(1, b"late");
    assert_eq!(peers[1].socket.recv_from(&mut [0; 8]).expect("it comes").0, 4);
    assert!(sent.elapsed() >= delay.delay && began < sent);
    let lost = numbers(&fleet, &peers[0], &peers[1], DatagramFaults::loss(0.3));
    assert!((50..90).contains(&lost.len()) && lost.is_sorted(), "{} of 100 at 30 % loss", lost.len());
    let twice = numbers(&fleet, &peers[0], &peers[1], DatagramFaults { repeat: 0.5, ..DatagramFaults::NONE });
    assert!((125..175).contains(&twice.len()), "{} of 100 at 50 % repeats", twice.len());
    let mixed =
        numbers(&fleet, &peers[0], &peers[1], DatagramFaults { reorder: 0.3, ..DatagramFaults::NONE });
    assert!(mixed.len() == 100 && !mixed.is_sorted(), "{mixed:?}");
    // 100 bytes at 20 a second: a second's worth waits, and the rest finds the queue full.
    let slow =
        numbers(&fleet, &peers[0], &peers[1], DatagramFaults { rate: Some(20), ..DatagramFaults::NONE });
    assert!(slow.len() < 100, "{} got through", slow.len());
    fleet.datagrams.set_all(DatagramFaults::NONE);
    // One way, sides, and all at once.
    fleet.datagrams.cut_one_way(&[0], &[1]);
    peers[0].tell(1, b"x");
    peers[1].tell(0, b"y");
    assert_eq!((peers[1].hear(), peers[0].hear()), (vec![], vec![(1, b"y".to_vec())]));
    fleet.datagrams.partition(&[&[0, 1], &[2]]);
    peers[0].socket.send_to(b"all", peers[0].all).expect("it is sent");
    assert_eq!((peers[1].hear(), peers[2].hear()), (vec![(0, b"all".to_vec())], vec![]));
    fleet.datagrams.heal();
    peers[2].socket.send_to(b"all", peers[2].all).expect("it is sent");
    assert_eq!((peers[0].hear(), peers[2].hear()), (vec![(2, b"all".to_vec())], vec![]));
    assert!(fleet.audit(&AuditRules::default()).is_empty());
    peers[0].tell(1, &[0xf1; 257]);
    peers[1].hear();
    let found = fleet.audit(&AuditRules::default());
    assert!(matches!(found[..], [Finding::LongDatagram { dispatcher: 0, length: 257, .. }]), "{found:?}");
    let totals = fleet.datagrams.totals();
    let count = DatagramCount { datagrams: 1, bytes: 257 };
    assert_eq!((totals[0].too_long, totals[0].by_first_byte[&0xf1]), (1, count));
    UdpSocket::bind("127.0.0.1:0").and_then(|s| s.send_to(b"?", peers[0].peers[1])).expect("it is sent");
    fleet.wait_until("a stranger is counted", || fleet.datagrams.from_strangers() == 1);
    // The same seed loses the same ones.
    let again = |seed| {
        let (fleet, peers) = fleet_of(seed);
        numbers(&fleet, &peers[0], &peers[1], DatagramFaults::loss(0.3))
    };
    assert_eq!(again(5), again(5));
    assert_ne!(again(5), again(6));
}

const JOB: &str = "POST /balance HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 4\r\n\r\nwork";

/// One exchange over a connection; `None` if it is closed or reset, or silent for 200 ms.
fn exchange(stream: &mut TcpStream, text: &str) -> Result<String, ErrorKind> {
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("a socket option");
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
    let open = || connect().expect("it comes up");
    let takes = |stream: &mut TcpStream| exchange(stream, JOB).is_ok_and(|a| a.starts_with("HTTP/1.1 202"));
    let set = |connect| link.set(LinkFaults { connect, ..LinkFaults::default() });
    let mut kept = open();
    assert!(takes(&mut kept));
    set(ConnectBehavior::Refused);
    fleet.wait_until("new ones are refused", || {
        connect().is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    });
    assert!(takes(&mut kept), "what is up stays");
    set(ConnectBehavior::Reset);
    fleet.wait_until("new ones are reset", || {
        connect().is_ok_and(|mut s| exchange(&mut s, JOB).is_err_and(|e| e == ErrorKind::ConnectionReset))
    });
    set(ConnectBehavior::Silent);
    fleet.wait_until("new ones are silent", || connect().is_ok_and(|mut s| is_silent(exchange(&mut s, JOB))));
    set(ConnectBehavior::Up);
    fleet.wait_until("new ones come up", || connect().is_ok_and(|mut s| takes(&mut s)));
    // Cut off: what is up is silent and goes on after the heal; new ones do not come up.
    link.set_cut(true);
    fleet.wait_until("new ones never come up", || connect().is_err_and(|e| e.kind() == ErrorKind::TimedOut));
    assert!(is_silent(exchange(&mut kept, JOB)));
    link.set_cut(false);
    kept.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    assert!(kept.read(&mut [0; 512]).is_ok_and(|length| length > 0), "the answer comes late");
    fleet.wait_until("new ones come up again", || connect().is_ok_and(|mut s| takes(&mut s)));
    // Slow: never quicker than it was set to be.
    link.set(LinkFaults { delay: Duration::from_millis(20), ..LinkFaults::default() });
    let began = Instant::now();
    assert!(takes(&mut kept) && began.elapsed() >= Duration::from_millis(40));
    link.set(LinkFaults { rate: Some(4_000), ..LinkFaults::default() });
    let began = Instant::now();
    assert!(takes(&mut kept) && began.elapsed() >= Duration::from_millis(20));
    link.set(LinkFaults { stall_in: true, ..LinkFaults::default() });
    let jobs = || fleet.workers[1].metrics().jobs[0];
    let before = jobs();
    assert!(is_silent(exchange(&mut kept, JOB)) && jobs() > before, "it arrives, and no answer comes back");
    set(ConnectBehavior::Up);
    link.drop_far_side();
    fleet.wait_until("the far side is gone", || fleet.workers[1].metrics().open == 0);
    assert!(is_silent(exchange(&mut kept, JOB)) || is_silent(exchange(&mut kept, JOB)));
    link.reset();
    let mut fresh = open();
    assert!(takes(&mut fresh));
    fleet.kill_worker(1);
    fleet.wait_until("the worker's death resets it", || {
        exchange(&mut fresh, JOB).is_err_and(|e| !matches!(e, ErrorKind::WouldBlock | ErrorKind::TimedOut))
    });
    // The other dispatcher's link had none of this.
    let mut other = TcpStream::connect(fleet.link(1, 0).address).expect("it comes up");
    assert!(takes(&mut other));
}

#[test]
fn workers_follow_their_script() {
    let fleet = fleet(1, 31);
    let worker = &fleet.workers[0];
    let ask = |text: &str| {
        let mut stream = TcpStream::connect(fleet.link(0, 0).address).expect("it comes up");
        exchange(&mut stream, text)
    };
    let status =
        |answer: Result<String, ErrorKind>| answer.map(|a| a[9..12].parse::<u16>().expect("a status"));
    worker.change(|script| (script.slots, script.queue, script.work) = (1, 1, WAIT_TIMEOUT));
    let job = |n: u32| JOB.replace("Id: a", &format!("Id: j{n}"));
    assert_eq!([1, 2, 3].map(|n| status(ask(&job(n)))), [Ok(202), Ok(202), Ok(503)]);
    assert_eq!(status(ask("DELETE /jobs/j2 HTTP/1.1\r\n\r\n")), Ok(204));
    fleet.wait_until("there is room again", || status(ask(&job(4))) == Ok(202));
    let load = ask("GET /metrics/load HTTP/1.1\r\n\r\n").expect("a load report");
    assert!(load.contains("\"cpu\":1.0") && load.contains("\"x0\":0.0"), "{load}");
    for (act, expected) in [
        (WorkerBehavior::Reject, Ok(503)),
        (WorkerBehavior::Error, Ok(500)),
        (WorkerBehavior::Reset, Err(ErrorKind::ConnectionReset)),
        (WorkerBehavior::Forget, Ok(202)),
    ] {
        worker.set_behavior(act);
        assert_eq!(status(ask(&job(9))), expected, "{act:?}");
    }
    worker.set_behavior(WorkerBehavior::Hang);
    assert!(is_silent(ask(&job(9))));
    worker.change(|script| script.answers_probes = false);
    assert_eq!(status(ask("GET /metrics/load HTTP/1.1\r\n\r\n")), Ok(404));
    let figures = worker.metrics();
    assert_eq!((figures.probes[0], figures.cancelled), (1, 1));
    assert!(figures.connects[0] >= 12 && figures.jobs[0] >= 9, "{figures:?}");
}

/// Reads until so much of the text has come, or nothing more does.
fn read_until(stream: &mut TcpStream, what: &str) -> String {
    stream.set_read_timeout(Some(Duration::from_millis(500))).expect("a socket option");
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
        let mut stream = TcpStream::connect(fleet.discovery_link(i).address).expect("it comes up");
        let text = format!("GET /discovery/hosts{query} HTTP/1.1\r\nHost: lists\r\n\r\n");
        stream.write_all(text.as_bytes()).expect("it is sent");
        stream
    };
    // Each dispatcher finds the workers at addresses of its own.
    let own = |i: usize| read_until(&mut call(i, ""), "\"reset\"");
    let (first, second) = (own(0), own(1));
    assert!(first.contains("\"generation\":1") && first.contains(&fleet.link(0, 1).address.to_string()));
    assert!(second.contains(&fleet.link(1, 1).address.to_string()) && !second.contains("127.0.0.1"));
    // A watch brings what changed since, as one line or as many, and empty lines in between.
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
    // One after another: of five at once two wait behind the first, and the others are refused.
    fleet.discovery.change_script(|script| {
        (script.service_time, script.queue) = (Duration::from_millis(100), 2);
        script.retry_after = Some(0.5);
    });
    let before = fleet.discovery.metrics();
    let began = Instant::now();
    let mut calls: Vec<TcpStream> = (0..5).map(|n| call(n % 2, "")).collect();
    let answers: Vec<String> = calls.iter_mut().map(|call| read_until(call, "\r\n\r\n")).collect();
    let refused: Vec<_> = answers.iter().filter(|a| a.starts_with("HTTP/1.1 503")).collect();
    assert!(refused.len() == 2 && refused.iter().all(|a| a.contains("Retry-After: 0.5")), "{answers:?}");
    assert!(began.elapsed() >= Duration::from_millis(300), "three calls of 100 ms in turn");
    let figures = fleet.discovery.metrics();
    assert_eq!((figures.refused - before.refused, figures.longest_queue), (2, 3));
    assert_eq!(figures.calls.iter().sum::<u64>() - before.calls.iter().sum::<u64>(), 5);
    // Down: the watch has ended, and calls are reset. Silent: a watch opens and says nothing.
    fleet.discovery.set_mode(DiscoveryMode::Down);
    let ended = |stream: &mut TcpStream| loop {
        match stream.read(&mut [0; 4096]) {
            Ok(1..) => {}
            end => return end.map_err(|error| error.kind()),
        }
    };
    watch.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    assert_eq!(ended(&mut watch), Err(ErrorKind::ConnectionReset));
    assert_eq!(ended(&mut call(1, "")), Err(ErrorKind::ConnectionReset));
    fleet.discovery.set_mode(DiscoveryMode::Silent);
    let text = read_until(&mut call(1, "?stream=1&index=0"), "generation");
    assert!(text.starts_with("HTTP/1.1 200") && !text.contains("generation"), "{text}");
}
