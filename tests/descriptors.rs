//! The descriptor budget: clients that hold connections open do not prevent connections to discovery and workers or of new
//! clients. The budget is the lower of the system's limit and the configured one. These tests change the limit of their own
//! process while they start the program.

use mothproxy_testkit::*;
use rustix::net::{AddressFamily, SocketType};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde_json::{Value, json};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::OwnedFd;

/// Starts the program under this limit of open files (`RLIMIT_NOFILE`).
fn start_with_limit(limit: u64, start: impl FnOnce() -> DispatcherProcess) -> DispatcherProcess {
    static LIMIT_LOCK: std::sync::Mutex<()> = std::sync::Mutex::new(());
    let guard = LIMIT_LOCK.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let before = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: Some(limit), ..before })
        .expect("cannot lower RLIMIT_NOFILE");
    let program = start();
    setrlimit(Resource::Nofile, before).expect("cannot restore RLIMIT_NOFILE");
    drop(guard);
    program
}

/// Reserves an address with a bound socket that does not listen yet.
fn reserve_address() -> (OwnedFd, SocketAddr) {
    let fd =
        rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).expect("cannot create a socket");
    rustix::net::bind(&fd, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("cannot bind a loopback port");
    let address =
        rustix::net::getsockname(&fd).expect("no local address").try_into().expect("not an IP address");
    (fd, address)
}

/// How clients hold their connections: idle, with an incomplete request, or with an incomplete request after a served one.
const HELD_CONNECTION_KINDS: [&str; 3] = ["idle", "half", "kept-half"];

/// Guards against two faults. With a system limit below the configured budget, the program ran out of descriptors before its
/// budget was used up: it closed no connections, and the endpoint list could not be read. And a connection with an incomplete
/// request that had been served before was not closed for other connections for two minutes.
#[test]
fn held_descriptors_do_not_lock_out_others() {
    for (limit, sockets) in [(110, 1024), (20_000, 110)] {
        for kind in HELD_CONNECTION_KINDS {
            let worker = FakeWorker::start("s-1");
            let (socket, discovery) = reserve_address();
            let program = start_with_limit(limit, || {
                DispatcherProcess::builder(std::slice::from_ref(&worker))
                    .discovery(discovery)
                    .event_streams(true)
                    .configure(|config| {
                        config["limits"]["sockets"] = json!(sockets);
                        if kind != "kept-half" {
                            config["known"]["instances"] = json!([]); // no job can be served before the list is read
                        }
                    })
                    .start()
            });
            let platform = program.platform;
            let held: Vec<TcpStream> = (0..90).map(|n| hold_connection(platform, kind, n)).collect();
            let list = site::snapshot(2, &[worker.endpoint_entry("up")]);
            rustix::net::listen(&socket, 16).expect("cannot listen");
            let discovery = FakeDiscovery::start_on(TcpListener::from(socket), list);
            wait_until("the list is read", || discovery.calls.load(std::sync::atomic::Ordering::SeqCst) > 0);
            let mut clients = Vec::new();
            for n in 0..20 {
                // A client is rejected with 503 while the held connections may not be closed yet.
                wait_until("another client is served", || {
                    let mut stream = connect(platform);
                    let request = simple_job(&format!("u{n}"));
                    stream.write_all(request.as_bytes()).expect("write failed");
                    let status = read_reply(&mut stream).map(|reply| reply.status);
                    assert!(
                        matches!(status, Some(200 | 503)),
                        "system limit {limit}, configured limit {sockets}, {kind}, client {n}: {status:?}"
                    );
                    clients.push(stream);
                    status == Some(200)
                });
            }
            drop(held);
            let metrics = program.shut_down_for_metrics();
            assert_eq!((metrics["open"], metrics["broken_invariants"]), (0, 0));
        }
    }
}

/// Opens a connection that is held in one of the ways of [`HELD_CONNECTION_KINDS`].
fn hold_connection(to: SocketAddr, kind: &str, n: usize) -> TcpStream {
    let mut stream = connect(to);
    if kind == "kept-half" && n < 55 {
        let request = simple_job(&format!("k{n}"));
        // Beyond the budget, a connection is accepted only once others have been closed.
        stream.write_all(request.as_bytes()).expect("write failed");
        let _ = read_reply(&mut stream);
    }
    if kind != "idle" {
        let _ = stream.write_all(b"POST /balance HTTP/1.1\r\nHost: or");
    }
    stream
}

/// When descriptors are short, connections that have been served are closed before new ones. The first request on a new
/// connection may be in transit, and its client treats a close as a rejection, while a client that has been served before
/// retries a request that crossed the close. The connection that had been idle for longest used to be closed first, served or not.
#[test]
fn closes_served_connections_before_new_ones() {
    // A connection counts as new for a limited time only, which a slow machine may exceed, so the test is tried several times.
    let kept_new = (0..10).any(|_| {
        let worker = FakeWorker::start("s-1");
        // This gives a budget of 60 connections. From 40 client connections on, some are closed for new ones.
        let few_sockets = |config: &mut Value| config["limits"]["sockets"] = json!(100);
        let program =
            DispatcherProcess::builder(std::slice::from_ref(&worker)).configure(few_sockets).start();
        let is_served = |stream: &mut TcpStream| -> bool {
            let sent = stream.write_all(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n");
            sent.is_ok() && read_reply(stream).is_some_and(|reply| reply.status == 200)
        };
        let mut kept: Vec<TcpStream> = (0..30).map(|_| connect(program.platform)).collect();
        let mut all_served = kept.iter_mut().all(is_served);
        let new: Vec<TcpStream> = (0..10).map(|_| connect(program.platform)).collect();
        all_served &= kept.iter_mut().all(is_served); // now the new ones have been idle for longest
        std::thread::sleep(std::time::Duration::from_millis(40)); // makes all of them idle for long enough to be closed
        let mut more: Vec<TcpStream> = (0..10).map(|_| connect(program.platform)).collect();
        all_served &= more.iter_mut().all(is_served);
        let closed = |streams: &[TcpStream]| streams.iter().filter(|stream| is_closed(stream)).count();
        all_served && closed(&kept) >= 10 && closed(&new) == 0
    });
    assert!(kept_new, "new connections were closed, or too few served ones, in each of 10 tries");
}

/// Connections that the program has closed on its side and the client has not may take up at most a sixth of all connections:
/// here 10 of 60, plus one that is just being closed.
#[test]
fn limits_descriptors_of_clients_that_never_finish() {
    let worker = FakeWorker::start("s-1");
    let few_sockets = |config: &mut Value| config["limits"]["sockets"] = json!(100);
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).configure(few_sockets).start();
    let open_descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", program.pid())).expect("cannot list /proc/PID/fd").count()
    };
    let mut client = connect(program.platform);
    let mut serve = |n| {
        let request = simple_job(&format!("u{n}"));
        client.write_all(request.as_bytes()).expect("write failed");
        assert_eq!(read_reply(&mut client).expect("no complete response").status, 200);
    };
    serve(0);
    let before = open_descriptors();
    let mut unfinished = Vec::new();
    for n in 1..=40 {
        let mut stream = connect(program.platform);
        stream.write_all(b"nonsense\r\n\r\nand more of it").expect("write failed");
        assert_eq!(read_reply(&mut stream).expect("no complete response").status, 400);
        unfinished.push(stream);
        let held = open_descriptors().saturating_sub(before);
        assert!(held <= 11, "{held} of {n} connections are held");
    }
    serve(1);
    drop(unfinished);
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["served"], metrics["open"], metrics["broken_invariants"]), (2, 0, 0));
}
