//! Descriptors: whatever clients hold, discovery, workers and new clients find room. The limit is the system's or the
//! configuration's, whichever is lower. These tests change the limit of their own process while they start the program.

use mothproxy_testkit::*;
use rustix::net::{AddressFamily, SocketType};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde_json::{Value, json};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::OwnedFd;

/// Starts the program under a limit of the system's.
fn start_under(limit: u64, start: impl FnOnce() -> DispatcherProcess) -> DispatcherProcess {
    static ONE: std::sync::Mutex<()> = std::sync::Mutex::new(());
    let one = ONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let before = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: Some(limit), ..before }).expect("a lower limit");
    let program = start();
    setrlimit(Resource::Nofile, before).expect("the limit as before");
    drop(one);
    program
}

/// A place where nobody listens yet, and nobody else can.
fn reserved() -> (OwnedFd, SocketAddr) {
    let fd = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    rustix::net::bind(&fd, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = rustix::net::getsockname(&fd).expect("an address").try_into().expect("an Internet address");
    (fd, address)
}

/// What clients hold their connections with.
const HOLDS: [&str; 3] = ["idle", "half", "kept-half"];

/// With a low limit of the system's the program ran out of descriptors that its budget still had: nothing gave way, and the
/// list could not be read. Half requests on connections that had been served before gave way to nobody for two minutes.
#[test]
fn held_descriptors_do_not_lock_out_others() {
    for (limit, sockets) in [(110, 1024), (20_000, 110)] {
        for hold in HOLDS {
            let worker = FakeWorker::start("s-1");
            let (socket, discovery) = reserved();
            let program = start_under(limit, || {
                DispatcherProcess::builder(std::slice::from_ref(&worker))
                    .discovery(discovery)
                    .event_streams(true)
                    .configure(|config| {
                        config["limits"]["sockets"] = json!(sockets);
                        if hold != "kept-half" {
                            config["known"]["instances"] = json!([]); // nothing can be served before the list is read
                        }
                    })
                    .start()
            });
            let platform = program.platform;
            let held: Vec<TcpStream> = (0..90).map(|n| holder(platform, hold, n)).collect();
            let list = site::snapshot(2, &[worker.endpoint_entry("up")]);
            rustix::net::listen(&socket, 16).expect("it listens");
            let discovery = FakeDiscovery::start_on(TcpListener::from(socket), list);
            wait_until("the list is read", || discovery.calls.load(std::sync::atomic::Ordering::SeqCst) > 0);
            let mut usual = Vec::new();
            for n in 0..20 {
                // While those that hold them may still go on, one is told that there is no room.
                wait_until("a usual client is served", || {
                    let mut stream = connect(platform);
                    let request = simple_job(&format!("u{n}"));
                    stream.write_all(request.as_bytes()).expect("written");
                    let status = read_reply(&mut stream).map(|reply| reply.status);
                    assert!(matches!(status, Some(200 | 503)), "{limit} {sockets} {hold} {n}: {status:?}");
                    usual.push(stream);
                    status == Some(200)
                });
            }
            drop(held);
            let metrics = program.shut_down_for_metrics();
            assert_eq!((metrics["open"], metrics["broken_invariants"]), (0, 0));
        }
    }
}

fn holder(to: SocketAddr, hold: &str, n: usize) -> TcpStream {
    let mut stream = connect(to);
    if hold == "kept-half" && n < 55 {
        let request = simple_job(&format!("k{n}"));
        // Beyond the budget it is not let in before others have given way.
        stream.write_all(request.as_bytes()).expect("written");
        let _ = read_reply(&mut stream);
    }
    if hold != "idle" {
        let _ = stream.write_all(b"POST /balance HTTP/1.1\r\nHost: or");
    }
    stream
}

/// A connection that has just come may have its request on the way, and its client counts a close as a refusal; one that
/// has been served before sends again what a close has crossed. The one that was idle for longest went first, whichever
/// it was.
#[test]
fn closes_served_connections_before_new_ones() {
    // New ones count as such for a while only; a machine that is kept from this for longer tries again.
    let spared = (0..10).any(|_| {
        let worker = FakeWorker::start("s-1");
        // Of 60 connections 40 may be those of clients before some are closed for new ones.
        let few = |config: &mut Value| config["limits"]["sockets"] = json!(100);
        let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).configure(few).start();
        let up = |stream: &mut TcpStream| -> bool {
            let sent = stream.write_all(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n");
            sent.is_ok() && read_reply(stream).is_some_and(|reply| reply.status == 200)
        };
        let mut kept: Vec<TcpStream> = (0..30).map(|_| connect(program.platform)).collect();
        let mut answered = kept.iter_mut().all(up);
        let new: Vec<TcpStream> = (0..10).map(|_| connect(program.platform)).collect();
        answered &= kept.iter_mut().all(up); // the new ones have been idle for longest now
        std::thread::sleep(std::time::Duration::from_millis(40)); // and all of them for long enough to give way
        let mut more: Vec<TcpStream> = (0..10).map(|_| connect(program.platform)).collect();
        answered &= more.iter_mut().all(up);
        let closed = |streams: &[TcpStream]| streams.iter().filter(|stream| is_closed(stream)).count();
        answered && closed(&kept) >= 10 && closed(&new) == 0
    });
    assert!(spared);
}

/// Clients that were told the end, and make none themselves, are waited for in a share of their own: a sixth of all connections,
/// here 10 of 60, and one that is just being told.
#[test]
fn limits_descriptors_of_clients_that_never_finish() {
    let worker = FakeWorker::start("s-1");
    let few = |config: &mut Value| config["limits"]["sockets"] = json!(100);
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).configure(few).start();
    let open = || std::fs::read_dir(format!("/proc/{}/fd", program.pid())).expect("its descriptors").count();
    let mut usual = connect(program.platform);
    let mut serve = |n| {
        let request = simple_job(&format!("u{n}"));
        usual.write_all(request.as_bytes()).expect("written");
        assert_eq!(read_reply(&mut usual).expect("an answer").status, 200);
    };
    serve(0);
    let before = open();
    let mut flood = Vec::new();
    for n in 1..=40 {
        let mut stream = connect(program.platform);
        stream.write_all(b"nonsense\r\n\r\nand more of it").expect("written");
        assert_eq!(read_reply(&mut stream).expect("an answer").status, 400);
        flood.push(stream);
        let held = open().saturating_sub(before);
        assert!(held <= 11, "{held} of {n}");
    }
    serve(1);
    drop(flood);
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["served"], metrics["open"], metrics["broken_invariants"]), (2, 0, 0));
}
