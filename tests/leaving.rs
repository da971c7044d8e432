//! Clients that disconnect: a disconnect that has already reached the dispatcher is handled before an attempt starts for
//! that client.

use mothproxy_testkit::*;
use rustix::net::sockopt::set_socket_linger;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Opens a persistent connection on which one job has been served.
fn open_kept_connection(to: SocketAddr, id: &str) -> TcpStream {
    let mut stream = connect(to);
    stream.write_all(simple_job(id).as_bytes()).expect("write failed");
    assert_eq!(read_reply(&mut stream).expect("no complete response").status, 200);
    stream
}

fn serve_one(to: SocketAddr, id: &str) {
    let reply = send(to, &simple_job(id));
    assert_eq!(reply.expect("no complete response").status, 200);
}

/// Raises the idle timeout of worker connections, so that a slow machine does not close them before the next attempt.
fn set_long_idle_timeout(config: &mut serde_json::Value) {
    config["settings"]["Limits"]["ConnIdleMs"] = json!(100_000.0);
}

/// Waits until everything sent so far to the suspended program has reached its sockets: the kernel delivers it before it
/// completes the handshake of a later connection.
fn wait_until_delivered(program: SocketAddr) {
    drop(connect(program));
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Closed,
    Reset,
    /// Only the client's sending side is closed. The protocol treats this as a disconnect, too.
    HalfClosed,
}

fn disconnect(stream: TcpStream, how: Disconnect) -> Option<TcpStream> {
    match how {
        Disconnect::Closed => return None,
        Disconnect::Reset => set_socket_linger(&stream, Some(Duration::ZERO)).expect("cannot set SO_LINGER"),
        Disconnect::HalfClosed => {
            stream.shutdown(std::net::Shutdown::Write).expect("cannot shut down the connection");
            return Some(stream);
        }
    }
    None
}

/// A request is not forwarded if the end of its connection has arrived, too. The dispatcher used to forward requests in the
/// event-loop iteration in which it read them, and noticed the end of the connection only in the next one.
#[test]
fn does_not_forward_request_of_disconnected_client() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker))
        .event_streams(true)
        .configure(set_long_idle_timeout)
        .start();
    serve_one(program.platform, "first"); // leaves an idle worker connection, so that the next attempt needs no connect
    let (mut disconnected_ids, mut streams) = (Vec::new(), Vec::new());
    for (n, to) in [program.platform, program.sse.expect("no SSE listener")].into_iter().enumerate() {
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
    let mut half_closed = Vec::new();
    for (id, how, kept, to) in streams {
        let mut stream = kept.unwrap_or_else(|| connect(to));
        stream.write_all(simple_job(&id).as_bytes()).expect("write failed");
        half_closed.extend(disconnect(stream, how));
        disconnected_ids.push(id);
    }
    wait_until_delivered(program.platform);
    program.resume();
    serve_one(program.platform, "after");
    drop(half_closed);
    let sent: Vec<&String> =
        disconnected_ids.iter().filter(|id| worker.has_received(&format!(" {id} "))).collect();
    assert!(sent.is_empty(), "forwarded for disconnected clients: {sent:?}");
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["open"], metrics["broken_invariants"]), (0, 0));
}

/// A worker whose accept queue is full, and the connection that fills it. Further connections are not established until
/// the worker accepts one.
fn start_worker_with_full_queue() -> (TcpListener, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    rustix::net::listen(&listener, 0).expect("cannot shorten the accept queue");
    let filler = connect(listener.local_addr().expect("no local address"));
    (listener, filler)
}

/// An attempt whose connection is established only after its client has disconnected is not written to the worker. With
/// cancellation of attempts disabled, it used to be written.
#[test]
fn does_not_write_late_attempt_of_disconnected_client() {
    let (listener, _queued) = start_worker_with_full_queue();
    let address = listener.local_addr().expect("no local address").to_string();
    let program = DispatcherProcess::builder(&[])
        .configure(|config| {
            config["known"]["instances"] = json!([site::endpoint_entry("s-1", &address, "up")]);
            config["settings"]["Limits"]["Cancel"] = json!(false);
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(15_000.0);
        })
        .start();
    let mut client = connect(program.platform);
    client.write_all(job_request("leaves", "balance", "", "").as_bytes()).expect("write failed");
    let up = || program.up_status();
    wait_for_connection_attempt(&listener);
    drop(client);
    (0..3).for_each(|_| assert_eq!(up(), 200)); // the program has handled the disconnect by then
    listener.set_nonblocking(true).expect("cannot set socket option");
    let mut accepted = Vec::new();
    wait_until("the worker accepts the connection of the attempt", || {
        accepted.extend(listener.accept().ok().map(|(stream, _)| stream));
        accepted.len() == 2
    });
    (0..3).for_each(|_| assert_eq!(up(), 200)); // by then the program would have written the attempt
    let mut seen = String::new();
    for mut stream in accepted {
        stream.set_nonblocking(true).expect("cannot set socket option");
        let mut buf = [0; 4096];
        let read = stream.read(&mut buf).unwrap_or(0);
        seen.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    assert!(!seen.contains("leaves"), "written to the worker: {seen}");
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["gone"], metrics["broken_invariants"]), (1, 0));
}

/// The disconnect of a client is noticed even behind many pipelined bytes. The dispatcher used to read a limited number of them
/// before it had sent the response. With more than this limit and the socket buffers hold, it never noticed the end of the
/// connection, and the job continued without a client.
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
        stream.write_all(job_request("busy", "redeem", "take hang", "").as_bytes()).expect("write failed");
        wait_until("the job arrives", || worker.has_received("busy"));
        let pipelined = simple_job("more").repeat(1 + ahead / 150);
        stream.set_write_timeout(Some(Duration::from_millis(300))).expect("cannot set socket option");
        let _ = stream.write_all(&pipelined.as_bytes()[..ahead]); // may time out: the buffers may not hold all of it
        let _half_closed = disconnect(stream, how);
        serve_one(program.platform, "after"); // served only after the disconnect was handled
        let metrics = program.shut_down_for_metrics();
        assert_eq!(
            (metrics["gone"], metrics["served"], metrics["taken"]),
            (1, 1, 2),
            "{ahead} pipelined bytes, {how:?}"
        );
        assert!(!worker.has_received("more"), "{ahead} pipelined bytes, {how:?}");
    }
}

fn send_status_update(to: SocketAddr, id: &str, from: &str, state: &str) -> TcpStream {
    let mut stream = connect(to);
    let update = json!({"id": id, "from": from, "state": state});
    stream.write_all(status_callback_request(&update).as_bytes()).expect("write failed");
    stream
}

/// Guards against a retry for a disconnected client. One poll returns at most 256 events: a worker's status update among them
/// triggered a retry although the disconnect of the client, which was not among them, had already arrived.
#[test]
fn starts_no_attempt_in_burst_of_disconnects() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let without_hedging = |config: &mut serde_json::Value| {
        config["settings"]["Limits"]["SecondCopies"] = json!(false);
        set_long_idle_timeout(config);
    };
    let program = DispatcherProcess::builder(&workers).configure(without_hedging).start();
    let idle_clients: Vec<TcpStream> =
        (0..300).map(|n| open_kept_connection(program.platform, &format!("c{n}"))).collect();
    let mut stream = connect(program.platform);
    stream.write_all(job_request("last", "balance", "take hang", "").as_bytes()).expect("write failed");
    wait_until("the job arrives", || workers.iter().any(|worker| worker.has_received(" last ")));
    let from =
        workers.iter().rfind(|worker| worker.has_received(" last ")).expect("no worker received the job");
    program.suspend();
    let count_attempts = || -> usize {
        let lines = workers.iter().map(|worker| worker.received.lock().expect("mutex poisoned").clone());
        lines.flatten().filter(|line| line.contains("POST ") && line.contains(" last ")).count()
    };
    let before = count_attempts(); // more than one if a slow machine did not accept the first in time
    let callback = send_status_update(program.platform, "last", &from.name, "returned");
    drop(idle_clients);
    drop(stream);
    wait_until_delivered(program.platform);
    program.resume();
    serve_one(program.platform, "after");
    drop(callback);
    assert_eq!(count_attempts(), before);
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["gone"], metrics["broken_invariants"]), (1, 0));
}

/// The successor of a hot restart takes over connections with complete requests. It does not forward such a request if the client
/// has disconnected; it used to forward it before it checked the connection.
#[test]
fn drops_request_of_client_that_disconnects_during_hot_restart() {
    let worker = FakeWorker::start("s-1");
    let start_at = |folder: &std::path::Path, listen: String| {
        DispatcherProcess::builder(std::slice::from_ref(&worker))
            .temp_dir(folder)
            .configure(move |config| {
                config["listen"] = json!(listen);
                set_long_idle_timeout(config);
            })
            .start()
    };
    // The predecessor keeps incomplete requests for a limited time. On a slow machine that limit may pass, so the order of
    // events is tried several times.
    let succeeded = (0..5).any(|n| {
        let folder = tempfile::tempdir().expect("cannot create the temporary directory");
        let predecessor = start_at(folder.path(), "127.0.0.1:0".to_owned());
        serve_one(predecessor.platform, &format!("first-{n}"));
        let id = format!("leaves-{n}");
        let chunked = job_request(&id, "balance", "", "Transfer-Encoding: chunked\r\n")
            .replace("Content-Length: 0\r\n", "");
        let mut stream = connect(predecessor.platform);
        stream.write_all((chunked + "4\r\ntake\r\n").as_bytes()).expect("write failed");
        let successor = start_at(folder.path(), predecessor.platform.to_string());
        successor.suspend();
        let _ = stream.write_all(b"0\r\n\r\n"); // completes the request, so that it is handed over
        predecessor.terminate();
        let (clean, log) = predecessor.wait_for_exit();
        assert!(clean, "{log:?}");
        stream.set_nonblocking(true).expect("cannot set socket option");
        let is_ended = stream.peek(&mut [0]).is_ok(); // the predecessor answered or closed the connection itself
        drop(stream);
        wait_until_delivered(successor.platform);
        successor.resume();
        serve_one(successor.platform, &format!("after-{n}"));
        assert!(!worker.has_received(&id));
        let metrics = successor.shut_down_for_metrics();
        assert_eq!((metrics["open"], metrics["broken_invariants"]), (0, 0));
        !is_ended
    });
    assert!(succeeded, "the predecessor handed the request over in none of 5 tries");
}

/// Guards against requests that are sent on after their client has left: if more was waiting to be read than one request takes, the
/// end of the connection was not seen, and the requests before it were forwarded.
#[test]
fn does_not_forward_requests_of_client_that_left_with_much_unread() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    serve_one(program.platform, "first");
    program.suspend();
    let mut stream = connect(program.platform);
    stream.write_all(simple_job("leaves").as_bytes()).expect("write failed");
    let other = simple_job("never-read");
    stream.write_all(other.repeat(150 * 1024 / other.len()).as_bytes()).expect("write failed");
    drop(stream);
    wait_until_delivered(program.platform);
    program.resume();
    serve_one(program.platform, "after");
    assert!(!worker.has_received("leaves"));
    assert!(!worker.has_received("never-read"));
}

/// Sends a job that its worker takes and never ends, and leaves once the worker has it.
fn leave_running_job(to: SocketAddr, worker: &FakeWorker, id: &str) {
    let mut stream = connect(to);
    let job = job_request(id, "balance", "take started hang", "");
    stream.write_all(job.as_bytes()).expect("write failed");
    wait_until("the worker has the job", || worker.has_received(id));
    drop(stream);
    wait_until("the job is cancelled", || worker.has_received(&format!("DELETE /jobs/{id}")));
}

/// Guards against an id that runs twice: it was accepted again once its client had left and its attempt had been given up, also by
/// the successor of a hot restart.
#[test]
fn rejects_id_whose_client_has_left_while_it_ran() {
    let worker = FakeWorker::start("s-1");
    let folder = tempfile::tempdir().expect("cannot create the temporary directory");
    let start_at = |listen: String| {
        DispatcherProcess::builder(std::slice::from_ref(&worker))
            .temp_dir(folder.path())
            .configure(move |config| config["listen"] = json!(listen))
            .start()
    };
    let predecessor = start_at("127.0.0.1:0".to_owned());
    let to = predecessor.platform;
    leave_running_job(to, &worker, "again");
    let status = |id: &str| send(to, &simple_job(id)).expect("no complete response").status;
    assert_eq!((status("again"), status("other")), (409, 200));
    let successor = start_at(to.to_string());
    assert_eq!((status("again"), status("another")), (409, 200), "while the predecessor hands over");
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0, "the predecessor exited with an error");
    assert_eq!((status("again"), status("one-more")), (409, 200), "after the end of the predecessor");
    drop(successor);
}
