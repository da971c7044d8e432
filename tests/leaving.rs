//! Clients that leave: whatever of their going is there to be read counts before an attempt begins for them.

use mothproxy_testkit::*;
use rustix::net::sockopt::set_socket_linger;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A connection that has been served once.
fn kept(to: SocketAddr, id: &str) -> TcpStream {
    let mut stream = connect(to);
    stream.write_all(job_request(id, "balance", "take started done=x", "").as_bytes()).expect("written");
    assert_eq!(read_reply(&mut stream).expect("an answer").status, 200);
    stream
}

fn served(to: SocketAddr, id: &str) {
    let reply = send(to, &job_request(id, "balance", "take started done=x", ""));
    assert_eq!(reply.expect("an answer").status, 200);
}

/// Connections to workers are kept while a busy machine takes its time: an attempt over one begins at once.
fn long_idle(config: &mut serde_json::Value) {
    config["settings"]["Limits"]["ConnIdleMs"] = json!(100_000.0);
}

/// Lets what was sent to the program, which stands still, arrive there: the system delivers it before it answers a later
/// connection.
fn arrived(program: SocketAddr) {
    drop(connect(program));
}

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Going {
    Closed,
    Reset,
    /// It would still read: the page knows no such client.
    HalfClosed,
}

fn go(stream: TcpStream, how: Going) -> Option<TcpStream> {
    match how {
        Going::Closed => return None,
        Going::Reset => set_socket_linger(&stream, Some(Duration::ZERO)).expect("a socket option"),
        Going::HalfClosed => {
            stream.shutdown(std::net::Shutdown::Write).expect("a connection");
            return Some(stream);
        }
    }
    None
}

/// Requests used to be sent on in the turn in which they were read, with the end of their connection behind them: a
/// client that had gone while it waited to be accepted, or to be read, was noticed one turn later.
#[test]
fn what_a_client_sent_before_it_left_is_not_sent_on() {
    let node = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&node))
        .event_streams(true)
        .configure(long_idle)
        .start();
    served(program.platform, "first"); // its connection to the worker is kept: the next attempt needs no other
    let (mut gone, mut streams) = (Vec::new(), Vec::new());
    for (n, to) in [program.platform, program.sse.expect("the SSE front is on")].into_iter().enumerate() {
        for how in [Going::Closed, Going::Reset, Going::HalfClosed] {
            let id = |new: bool| format!("{n}-{how:?}-{new}");
            streams.push((id(false), how, Some(kept(to, &format!("kept-{}", id(false)))), to));
            streams.push((id(true), how, None, to));
        }
    }
    program.suspend();
    let mut still = Vec::new();
    for (id, how, old, to) in streams {
        let mut stream = old.unwrap_or_else(|| connect(to));
        stream.write_all(job_request(&id, "balance", "take started done=x", "").as_bytes()).expect("written");
        still.extend(go(stream, how));
        gone.push(id);
    }
    arrived(program.platform);
    program.resume();
    served(program.platform, "after");
    drop(still);
    let sent: Vec<&String> = gone.iter().filter(|id| node.has_received(&format!(" {id} "))).collect();
    assert!(sent.is_empty(), "{sent:?}");
    let figures = program.shut_down_for_metrics();
    assert_eq!((figures["open"], figures["broken_invariants"]), (0, 0));
}

/// A worker whose machine holds as many connections as it may: what comes next waits until it is let in.
fn full_worker() -> (TcpListener, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    rustix::net::listen(&listener, 0).expect("a shorter queue");
    let first = connect(listener.local_addr().expect("an address"));
    (listener, first)
}

/// Where attempts may not be called off, one whose connection came up late was written though its client had gone.
#[test]
fn an_attempt_whose_connection_comes_up_late_is_not_written_for_a_client_that_left() {
    let (listener, _filling) = full_worker();
    let address = listener.local_addr().expect("an address").to_string();
    let program = DispatcherProcess::builder(&[])
        .configure(|config| {
            config["known"]["instances"] = json!([site::endpoint_entry("s-1", &address, "up")]);
            config["settings"]["Limits"]["Cancel"] = json!(false);
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(15_000.0);
        })
        .start();
    let mut leaves = connect(program.platform);
    leaves.write_all(job_request("leaves", "balance", "", "").as_bytes()).expect("written");
    let up = || send(program.platform, "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n").expect("an answer").status;
    wait_for_connection_attempt(&listener);
    drop(leaves);
    (0..3).for_each(|_| assert_eq!(up(), 200)); // it has seen its client go
    listener.set_nonblocking(true).expect("a socket option");
    let mut let_in = Vec::new();
    wait_until("the worker lets it in", || {
        let_in.extend(listener.accept().ok().map(|(stream, _)| stream));
        let_in.len() == 2
    });
    (0..3).for_each(|_| assert_eq!(up(), 200)); // it has written what it writes
    let mut seen = String::new();
    for mut stream in let_in {
        stream.set_nonblocking(true).expect("a socket option");
        let mut buf = [0; 4096];
        let read = stream.read(&mut buf).unwrap_or(0);
        seen.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    assert!(!seen.contains("leaves"), "{seen}");
    let figures = program.shut_down_for_metrics();
    assert_eq!((figures["gone"], figures["broken_invariants"]), (1, 0));
}

/// What is sent ahead of an answer was read so far and no further: with more behind it than the system holds, the end
/// of the connection was never seen, and the job went on for nobody.
#[test]
fn a_client_that_sends_ahead_and_leaves_is_gone() {
    for (ahead, how) in [
        (0, Going::Closed),
        (5_000, Going::Closed),
        (5_000, Going::Reset),
        (50_000, Going::Closed),
        (50_000, Going::HalfClosed),
        (8_000_000, Going::Closed),
    ] {
        let node = FakeWorker::start("s-1");
        let program = DispatcherProcess::builder(std::slice::from_ref(&node)).start();
        let mut stream = connect(program.platform);
        stream.write_all(job_request("busy", "redeem", "take hang", "").as_bytes()).expect("written");
        wait_until("the job arrives", || node.has_received("busy"));
        let more = job_request("more", "balance", "take started done=x", "").repeat(1 + ahead / 150);
        stream.set_write_timeout(Some(Duration::from_millis(300))).expect("a socket option");
        let _ = stream.write_all(&more.as_bytes()[..ahead]); // not all of it may be taken
        let _still = go(stream, how);
        served(program.platform, "after"); // what comes later is seen later
        let figures = program.shut_down_for_metrics();
        assert_eq!((figures["gone"], figures["served"], figures["taken"]), (1, 1, 2), "{ahead} {how:?}");
        assert!(!node.has_received("more"), "{ahead} {how:?}");
    }
}

fn news(to: SocketAddr, id: &str, from: &str, state: &str) -> TcpStream {
    let text = json!({"id": id, "from": from, "state": state}).to_string();
    let mut stream = connect(to);
    let head = "POST /_jobs/news HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n";
    stream
        .write_all(format!("{head}Content-Length: {}\r\n\r\n{text}", text.len()).as_bytes())
        .expect("written");
    stream
}

/// One look at the connections shows 256 of them. News of a worker that were among them led to a further attempt for a
/// client whose going was not.
#[test]
fn in_a_burst_of_clients_that_leave_no_further_attempt_begins() {
    let nodes = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let once = |config: &mut serde_json::Value| {
        config["settings"]["Limits"]["SecondCopies"] = json!(false);
        long_idle(config);
    };
    let program = DispatcherProcess::builder(&nodes).configure(once).start();
    let crowd: Vec<TcpStream> = (0..300).map(|n| kept(program.platform, &format!("c{n}"))).collect();
    let mut stream = connect(program.platform);
    stream.write_all(job_request("last", "balance", "take hang", "").as_bytes()).expect("written");
    wait_until("the job arrives", || nodes.iter().any(|node| node.has_received(" last ")));
    let from = nodes.iter().rfind(|node| node.has_received(" last ")).expect("one has it");
    program.suspend();
    let count = || -> usize {
        let lines = nodes.iter().map(|node| node.received.lock().expect("a lock").clone());
        lines.flatten().filter(|line| line.contains("POST ") && line.contains(" last ")).count()
    };
    let before = count(); // on a busy machine one may not have been taken in time
    let told = news(program.platform, "last", &from.name, "returned");
    drop(crowd);
    drop(stream);
    arrived(program.platform);
    program.resume();
    served(program.platform, "after");
    drop(told);
    assert_eq!(count(), before);
    let figures = program.shut_down_for_metrics();
    assert_eq!((figures["gone"], figures["broken_invariants"]), (1, 0));
}

/// The younger process took up a request with the connection that it came on, and sent it before it had looked whether
/// the client was still there.
#[test]
fn a_client_that_leaves_while_its_connection_goes_over_is_gone() {
    let node = FakeWorker::start("s-1");
    let start_at = |folder: &std::path::Path, listen: String| {
        DispatcherProcess::builder(std::slice::from_ref(&node))
            .temp_dir(folder)
            .configure(move |config| {
                config["listen"] = json!(listen);
                long_idle(config);
            })
            .start()
    };
    // The elder keeps what has half come; it must not take too long, which a busy machine may make it.
    let forced = (0..5).any(|n| {
        let folder = tempfile::tempdir().expect("a folder");
        let elder = start_at(folder.path(), "127.0.0.1:0".to_owned());
        served(elder.platform, &format!("first-{n}"));
        let id = format!("leaves-{n}");
        let chunked = job_request(&id, "balance", "", "Transfer-Encoding: chunked\r\n")
            .replace("Content-Length: 0\r\n", "");
        let mut stream = connect(elder.platform);
        stream.write_all((chunked + "4\r\ntake\r\n").as_bytes()).expect("written");
        let younger = start_at(folder.path(), elder.platform.to_string());
        younger.suspend();
        let _ = stream.write_all(b"0\r\n\r\n"); // now it is whole, and goes over
        elder.terminate();
        let (clean, log) = elder.wait_for_exit();
        assert!(clean, "{log:?}");
        stream.set_nonblocking(true).expect("a socket option");
        let late = stream.peek(&mut [0]).is_ok(); // answered, or closed
        drop(stream);
        arrived(younger.platform);
        younger.resume();
        served(younger.platform, &format!("after-{n}"));
        assert!(!node.has_received(&id));
        let figures = younger.shut_down_for_metrics();
        assert_eq!((figures["open"], figures["broken_invariants"]), (0, 0));
        !late
    });
    assert!(forced, "the order that is meant never came about");
}
