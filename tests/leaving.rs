//! Clients that leave: whatever of their going is there to be read counts before an attempt begins for them.

use mothproxy_testkit::*;
use rustix::net::sockopt::set_socket_linger;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A connection that has been served once.
fn open_kept_connection(to: SocketAddr, id: &str) -> TcpStream {
    let mut stream = connect(to);
    stream.write_all(simple_job(id).as_bytes()).expect("written");
    assert_eq!(read_reply(&mut stream).expect("an answer").status, 200);
    stream
}

fn serve_one(to: SocketAddr, id: &str) {
    let reply = send(to, &simple_job(id));
    assert_eq!(reply.expect("an answer").status, 200);
}

/// Connections to workers are kept while a busy machine takes its time: an attempt over one begins at once.
fn long_idle(config: &mut serde_json::Value) {
    config["settings"]["Limits"]["ConnIdleMs"] = json!(100_000.0);
}

/// Lets what was sent to the program, which stands still, arrive there: the system delivers it before it answers a later
/// connection.
fn wait_until_arrived(program: SocketAddr) {
    drop(connect(program));
}

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Closed,
    Reset,
    /// It would still read: the page knows no such client.
    HalfClosed,
}

fn disconnect(stream: TcpStream, how: Disconnect) -> Option<TcpStream> {
    match how {
        Disconnect::Closed => return None,
        Disconnect::Reset => set_socket_linger(&stream, Some(Duration::ZERO)).expect("a socket option"),
        Disconnect::HalfClosed => {
            stream.shutdown(std::net::Shutdown::Write).expect("a connection");
            return Some(stream);
        }
    }
    None
}

/// Requests used to be sent on in the turn in which they were read, with the end of their connection behind them: a
/// client that had gone while it waited to be accepted, or to be read, was noticed one turn later.
#[test]
fn does_not_forward_request_of_disconnected_client() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker))
        .event_streams(true)
        .configure(long_idle)
        .start();
    serve_one(program.platform, "first"); // its connection to the worker is kept: the next attempt needs no other
    let (mut gone, mut streams) = (Vec::new(), Vec::new());
    for (n, to) in [program.platform, program.sse.expect("the SSE front is on")].into_iter().enumerate() {
        for how in [Disconnect::Closed, Disconnect::Reset, Disconnect::HalfClosed] {
            let id = |new: bool| format!("{n}-{how:?}-{new}");
            streams.push((
                id(false),
                how,
                Some(open_kept_connection(to, &format!("kept-{}", id(false)))),
                to,
            ));
            streams.push((id(true), how, None, to));
        }
    }
    program.suspend();
    let mut still = Vec::new();
    for (id, how, old, to) in streams {
        let mut stream = old.unwrap_or_else(|| connect(to));
        stream.write_all(simple_job(&id).as_bytes()).expect("written");
        still.extend(disconnect(stream, how));
        gone.push(id);
    }
    wait_until_arrived(program.platform);
    program.resume();
    serve_one(program.platform, "after");
    drop(still);
    let sent: Vec<&String> = gone.iter().filter(|id| worker.has_received(&format!(" {id} "))).collect();
    assert!(sent.is_empty(), "{sent:?}");
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["open"], metrics["broken_invariants"]), (0, 0));
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
fn does_not_write_late_attempt_of_disconnected_client() {
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
    let up = || program.up_status();
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
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["gone"], metrics["broken_invariants"]), (1, 0));
}

/// What is sent ahead of an answer was read so far and no further: with more behind it than the system holds, the end
/// of the connection was never seen, and the job went on for nobody.
#[test]
fn counts_pipelining_client_that_disconnects_as_gone() {
    for (ahead, how) in [
        (0, Disconnect::Closed),
        (5_000, Disconnect::Closed),
        (5_000, Disconnect::Reset),
        (50_000, Disconnect::Closed),
        (50_000, Disconnect::HalfClosed),
        (8_000_000, Disconnect::Closed),
    ] {
        let worker = FakeWorker::start("s-1");
        let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
        let mut stream = connect(program.platform);
        stream.write_all(job_request("busy", "redeem", "take hang", "").as_bytes()).expect("written");
        wait_until("the job arrives", || worker.has_received("busy"));
        let more = simple_job("more").repeat(1 + ahead / 150);
        stream.set_write_timeout(Some(Duration::from_millis(300))).expect("a socket option");
        let _ = stream.write_all(&more.as_bytes()[..ahead]); // not all of it may be taken
        let _still = disconnect(stream, how);
        serve_one(program.platform, "after"); // what comes later is seen later
        let metrics = program.shut_down_for_metrics();
        assert_eq!((metrics["gone"], metrics["served"], metrics["taken"]), (1, 1, 2), "{ahead} {how:?}");
        assert!(!worker.has_received("more"), "{ahead} {how:?}");
    }
}

fn send_status_update(to: SocketAddr, id: &str, from: &str, state: &str) -> TcpStream {
    let mut stream = connect(to);
    let update = json!({"id": id, "from": from, "state": state});
    stream.write_all(status_update_request(&update).as_bytes()).expect("written");
    stream
}

/// One look at the connections shows 256 of them. News of a worker that were among them led to a further attempt for a
/// client whose going was not.
#[test]
fn starts_no_attempt_in_burst_of_disconnects() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let once = |config: &mut serde_json::Value| {
        config["settings"]["Limits"]["SecondCopies"] = json!(false);
        long_idle(config);
    };
    let program = DispatcherProcess::builder(&workers).configure(once).start();
    let crowd: Vec<TcpStream> =
        (0..300).map(|n| open_kept_connection(program.platform, &format!("c{n}"))).collect();
    let mut stream = connect(program.platform);
    stream.write_all(job_request("last", "balance", "take hang", "").as_bytes()).expect("written");
    wait_until("the job arrives", || workers.iter().any(|worker| worker.has_received(" last ")));
    let from = workers.iter().rfind(|worker| worker.has_received(" last ")).expect("one has it");
    program.suspend();
    let count = || -> usize {
        let lines = workers.iter().map(|worker| worker.received.lock().expect("a lock").clone());
        lines.flatten().filter(|line| line.contains("POST ") && line.contains(" last ")).count()
    };
    let before = count(); // on a busy machine one may not have been taken in time
    let callback = send_status_update(program.platform, "last", &from.name, "returned");
    drop(crowd);
    drop(stream);
    wait_until_arrived(program.platform);
    program.resume();
    serve_one(program.platform, "after");
    drop(callback);
    assert_eq!(count(), before);
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["gone"], metrics["broken_invariants"]), (1, 0));
}

/// The successor took up a request with the connection that it came on, and sent it before it had looked whether
/// the client was still there.
#[test]
fn drops_request_of_client_that_disconnects_during_hot_restart() {
    let worker = FakeWorker::start("s-1");
    let start_at = |folder: &std::path::Path, listen: String| {
        DispatcherProcess::builder(std::slice::from_ref(&worker))
            .temp_dir(folder)
            .configure(move |config| {
                config["listen"] = json!(listen);
                long_idle(config);
            })
            .start()
    };
    // The predecessor keeps what has half come; it must not take too long, which a busy machine may make it.
    let forced = (0..5).any(|n| {
        let folder = tempfile::tempdir().expect("a folder");
        let predecessor = start_at(folder.path(), "127.0.0.1:0".to_owned());
        serve_one(predecessor.platform, &format!("first-{n}"));
        let id = format!("leaves-{n}");
        let chunked = job_request(&id, "balance", "", "Transfer-Encoding: chunked\r\n")
            .replace("Content-Length: 0\r\n", "");
        let mut stream = connect(predecessor.platform);
        stream.write_all((chunked + "4\r\ntake\r\n").as_bytes()).expect("written");
        let successor = start_at(folder.path(), predecessor.platform.to_string());
        successor.suspend();
        let _ = stream.write_all(b"0\r\n\r\n"); // now it is whole, and goes over
        predecessor.terminate();
        let (clean, log) = predecessor.wait_for_exit();
        assert!(clean, "{log:?}");
        stream.set_nonblocking(true).expect("a socket option");
        let late = stream.peek(&mut [0]).is_ok(); // answered, or closed
        drop(stream);
        wait_until_arrived(successor.platform);
        successor.resume();
        serve_one(successor.platform, &format!("after-{n}"));
        assert!(!worker.has_received(&id));
        let metrics = successor.shut_down_for_metrics();
        assert_eq!((metrics["open"], metrics["broken_invariants"]), (0, 0));
        !late
    });
    assert!(forced, "the order that is meant never came about");
}
