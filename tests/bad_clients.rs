//! Clients that send invalid or incomplete requests, or nothing, on both listeners: each gets an error or a close, and
//! well-behaved clients are served at the same time.

#[path = "common/process_memory.rs"]
mod process_memory;

use mothproxy_testkit::*;
use process_memory::memory_kib;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Reads until the other side closes or resets the connection, and returns the bytes.
fn read_until_close(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
    let (mut seen, mut buf) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(read) => seen.extend(&buf[..read]),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(error) => panic!("the connection was neither closed nor reset: {error}"),
        }
    }
    String::from_utf8_lossy(&seen).into_owned()
}

/// Starts a dispatcher with one worker and with the listener for event streams.
fn start_with_both_listeners() -> (Arc<FakeWorker>, DispatcherProcess) {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).event_streams(true).start();
    (worker, program)
}

/// Starts a dispatcher with one worker and a budget of 80 sockets.
fn start_with_few_sockets() -> DispatcherProcess {
    DispatcherProcess::builder(&[FakeWorker::start("s-1")])
        .configure(|config| config["limits"]["sockets"] = json!(80))
        .start()
}

/// The addresses of the platform's listener and of the one for event streams.
fn listeners(program: &DispatcherProcess) -> [SocketAddr; 2] {
    [program.platform, program.sse.expect("no SSE listener")]
}

/// A connection on which nothing is sent is closed, and an incomplete request gets a 408; a connection that has been served is
/// kept. Guards against incomplete requests being kept for 20 s, and connections without a request for 120 s. The time limit is
/// the dispatcher's own; the test sets none.
#[test]
fn answers_or_closes_incomplete_requests() {
    let (worker, program) = start_with_both_listeners();
    let complete = simple_job("a0");
    let half_body = &complete[..complete.len() - 5];
    let chunks = "POST /balance HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab";
    for (n, address) in listeners(&program).into_iter().enumerate() {
        // A connection that has been served once is kept although nothing is sent on it for a while.
        let mut kept = connect(address);
        kept.write_all(simple_job(&format!("k{n}")).as_bytes()).expect("write failed");
        assert_eq!(read_reply(&mut kept).expect("no complete response").status, 200);
        let waiting: Vec<TcpStream> = ["", "POST /bal", half_body, chunks]
            .iter()
            .map(|sent| {
                let mut stream = connect(address);
                stream.write_all(sent.as_bytes()).expect("write failed");
                stream
            })
            .collect();
        let responses: Vec<String> = waiting.into_iter().map(read_until_close).collect();
        assert_eq!(responses[0], "", "a response without a request");
        for response in &responses[1..] {
            assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
        }
        kept.write_all(simple_job(&format!("l{n}")).as_bytes()).expect("write failed");
        assert_eq!(read_reply(&mut kept).expect("no complete response").status, 200);
    }
    assert!(!worker.has_received("a0"));
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["open"], metrics["broken_invariants"]), (4, 0, 0));
}

/// A head that never ends is rejected at the limit for heads, and a body of 60 MB before it is read. The error reaches a client
/// that is still sending.
#[test]
fn rejects_endless_heads_and_huge_bodies_early() {
    let (_worker, program) = start_with_both_listeners();
    for address in listeners(&program) {
        let huge =
            job_request("b0", "balance", "", "").replace("Content-Length: 0", "Content-Length: 60000000");
        let endless = "POST /balance HTTP/1.1\r\nHost: h\r\n".to_owned();
        let filler = "X-Filler: 0123456789abcdef0123456789abcdef\r\n".repeat(1500);
        for (start, status) in [(huge, "413"), (endless, "431")] {
            let stream = connect(address);
            let mut writer = stream.try_clone().expect("cannot duplicate the stream");
            let filler = filler.clone();
            let sender = std::thread::spawn(move || {
                // The dispatcher closes the connection at some point, so writing may fail.
                let _ = writer.write_all(start.as_bytes());
                let _ = (0..60_000_000 / filler.len()).try_for_each(|_| writer.write_all(filler.as_bytes()));
            });
            let response = read_until_close(stream);
            assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{status}: {response}");
            sender.join().expect("sender thread panicked");
        }
    }
    assert_eq!(program.shut_down_for_metrics()["taken"], 0);
}

/// Well-behaved clients are served although many connections have an incomplete request. Guards against such connections holding
/// every descriptor, with none that may be closed to make room.
#[test]
fn incomplete_requests_do_not_exhaust_descriptors() {
    let program = start_with_few_sockets();
    let send_incomplete_request = |n: usize| {
        let mut stream = connect(program.platform);
        stream
            .write_all(&job_request(&format!("c{n}"), "balance", "x", "").as_bytes()[..40])
            .expect("write failed");
        stream
    };
    let _stalled: Vec<TcpStream> = (0..30).map(send_incomplete_request).collect();
    // After 300 ms of silence a connection may be closed to make room.
    std::thread::sleep(std::time::Duration::from_millis(400));
    let (mut well_behaved, mut statuses) = (Vec::new(), Vec::new());
    for n in 0..20 {
        let mut stream = connect(program.platform);
        let request = simple_job(&format!("d{n}"));
        stream.write_all(request.as_bytes()).expect("write failed");
        statuses.push(read_reply(&mut stream).map(|reply| reply.status));
        well_behaved.push(stream);
    }
    assert_eq!(statuses, vec![Some(200); 20]);
    assert_eq!(program.shut_down_for_metrics()["served"], 20);
}

/// A client that writes slowly is served, while connections whose requests have stalled are closed to make room. Guards against
/// closing connections in the order in which they were accepted, which cut off slow clients first.
#[test]
fn slow_client_is_kept_when_stalled_ones_are_closed() {
    let program = start_with_few_sockets();
    let request = job_request("slow-0", "balance", "take started done=whole", "");
    let mut slow = connect(program.platform);
    let mut stalled = Vec::new();
    for piece in request.as_bytes().chunks(request.len() / 24) {
        slow.write_all(piece).expect("write of the slow request failed");
        for _ in 0..4 {
            let mut connection = connect(program.platform);
            let _ = connection.write_all(b"POST /balance HTTP/1.1\r\nHost: or"); // it may be closed by now
            stalled.push(connection);
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert_eq!(read_reply(&mut slow).expect("no complete response").body, "whole");
    // A connection that was closed to make room has got a 503 before its end, or nothing.
    let was_closed = |connection: &mut TcpStream| {
        connection.set_nonblocking(true).expect("cannot set socket option");
        let has_response = matches!(connection.peek(&mut [0]), Ok(read) if read > 0);
        connection.set_nonblocking(false).expect("cannot set socket option");
        let reply = has_response.then(|| read_reply(connection).expect("no complete response"));
        let is_rejection =
            |reply: &HttpReply| (reply.status, reply.header("Connection")) == (503, Some("close"));
        reply.is_none_or(|reply| is_rejection(&reply)) && is_closed(connection)
    };
    assert!(
        stalled.iter_mut().map(was_closed).filter(|closed| *closed).count() > 30,
        "at most 30 stalled connections were closed"
    );
}

/// A connection that has just been accepted is not closed before its first byte. Guards against closing it as idle when
/// connections with incomplete requests fill the budget: callbacks of workers, and their jobs, were lost in this way.
#[test]
fn does_not_close_new_connection_as_idle_at_full_budget() {
    // On a busy machine the client may send its request too late, which is not the dispatcher's fault. So it gets ten attempts.
    let answered = (0..10).any(|_| {
        // Of the 40 connections in the budget, clients may have 26 before some are closed for new ones.
        let program = start_with_few_sockets();
        let send_incomplete_request = || {
            let mut stream = connect(program.platform);
            let _ = stream.write_all(b"POST /balance HTTP/1.1\r\nHost: or");
            stream
        };
        let _stalled: Vec<TcpStream> = (0..26).map(|_| send_incomplete_request()).collect();
        std::thread::sleep(std::time::Duration::from_millis(5)); // the dispatcher has accepted all of them
        let mut new_client = connect(program.platform);
        let _next = send_incomplete_request();
        std::thread::sleep(std::time::Duration::from_millis(3)); // the dispatcher has accepted both
        let written = new_client.write_all(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n");
        written.is_ok() && read_reply(&mut new_client).is_some_and(|reply| reply.status == 200)
    });
    assert!(answered);
}

/// Reads until the other side closes or resets the connection, at most 1 MiB, and returns the bytes.
fn read_bounded(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
    let mut seen = Vec::new();
    let ended = stream.take(1 << 20).read_to_end(&mut seen);
    let has_failed = ended.is_err_and(|error| error.kind() != std::io::ErrorKind::ConnectionReset);
    assert!(!has_failed, "the connection was neither closed nor reset");
    String::from_utf8_lossy(&seen).into_owned()
}

/// How a client misbehaves.
enum Fault {
    /// Sends `sent` and nothing more, and must get a response with this status.
    Stops { sent: &'static str, status: &'static str },
    /// Sends these bytes repeatedly and reads nothing.
    Floods(String),
    /// Sends these bytes and disconnects.
    Disconnects(String),
}

/// A misbehaving client.
struct BadClient {
    name: &'static str,
    fault: Fault,
}

impl BadClient {
    fn stops(name: &'static str, sent: &'static str, status: &'static str) -> BadClient {
        BadClient { name, fault: Fault::Stops { sent, status } }
    }

    fn floods(name: &'static str, sent: String) -> BadClient {
        BadClient { name, fault: Fault::Floods(sent) }
    }

    fn disconnects(name: &'static str, sent: String) -> BadClient {
        BadClient { name, fault: Fault::Disconnects(sent) }
    }

    /// Runs the client on a connection until the dispatcher closes the connection or the client disconnects. Returns the
    /// connection, unless the client has disconnected.
    fn run(&self, mut stream: TcpStream, name: &str) -> Option<TcpStream> {
        stream.set_write_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
        match &self.fault {
            Fault::Stops { sent, status } => {
                stream.write_all(sent.as_bytes()).expect("write failed");
                let response = read_bounded(&mut stream);
                assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{name}: {response}");
                Some(stream)
            }
            Fault::Floods(sent) => {
                // The dispatcher may close the connection at any point, but must do so at some point.
                let mut rounds = 0;
                while stream.write_all(sent.as_bytes()).is_ok() {
                    rounds += 1;
                    assert!(rounds < 1_000_000, "{name}: the connection is not closed after {rounds} rounds");
                }
                wait_until("the connection is closed", || is_closed(&stream) || stream.write(b"x").is_err());
                Some(stream)
            }
            Fault::Disconnects(sent) => {
                let _ = stream.write_all(sent.as_bytes());
                None
            }
        }
    }
}

/// Has a well-behaved client served, and returns its connection, which is kept alive.
fn serve_well_behaved_client(address: SocketAddr, name: &str) -> TcpStream {
    let mut tries = 0;
    let mut served = None;
    // While floods keep the machine busy, the worker may not accept a job in time. The client then gets a 503, and tries again.
    wait_until("a well-behaved client is served", || {
        tries += 1;
        let mut stream = connect(address);
        let id = format!("{name}, {tries}").replace([' ', ','], "-");
        stream.write_all(simple_job(&id).as_bytes()).expect("write failed");
        let status = read_reply(&mut stream).expect("no complete response").status;
        assert!(matches!(status, 200 | 503), "{name}: {status}");
        served = Some(stream).filter(|_| status == 200);
        status == 200
    });
    served.expect("no connection of a served client")
}

/// Runs a bad client on a new connection, and a well-behaved one after it.
fn run_on_new_connection(address: SocketAddr, name: &str, client: &BadClient) {
    let _connection = client.run(connect(address), name);
    serve_well_behaved_client(address, &format!("{name}, after"));
}

/// Runs a bad client on a connection that has been served before, and a well-behaved one after it.
fn run_on_kept_connection(address: SocketAddr, name: &str, client: &BadClient) {
    let kept = serve_well_behaved_client(address, &format!("{name}, before"));
    let _connection = client.run(kept, name);
    serve_well_behaved_client(address, &format!("{name}, after"));
}

fn bad_clients() -> Vec<BadClient> {
    let chunked = "POST /balance HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = "400\r\n".to_owned() + &"x".repeat(1024) + "\r\n";
    let up = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n";
    let short_job = job_request("q", "balance", "take started hang", "X-Time-Left-Ms: 7000\r\n");
    let job = job_request("r", "balance", "take started hang", "");
    vec![
        BadClient::stops("half a line", "POST /bal", "408"),
        BadClient::stops("half a head", "POST /balance HTTP/1.1\r\nHost: h\r\n", "408"),
        BadClient::stops(
            "half a body",
            "POST /balance HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab",
            "408",
        ),
        BadClient::stops(
            "half a chunk",
            "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
            "408",
        ),
        BadClient::stops(
            "two bodies",
            "POST /balance HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nabab",
            "400",
        ),
        BadClient::stops(
            "no number",
            "POST /balance HTTP/1.1\r\nHost: h\r\nContent-Length: 2,3\r\n\r\nab",
            "400",
        ),
        BadClient::floods("endless chunks", format!("{chunked}{chunk}")),
        BadClient::floods("endless trailers", format!("{chunked}0\r\n{}", "X-Trailer: x\r\n".repeat(100))),
        BadClient::floods("endless blank lines", "\r\n".repeat(1000)),
        BadClient::floods("endless requests", up.repeat(100)),
        BadClient::floods("endless jobs", short_job.repeat(100)),
        BadClient::disconnects("much, and gone", up.repeat(1000)),
        BadClient::disconnects("much of a head, and gone", "X-Filler: 0123456789abcdef\r\n".repeat(3000)),
        BadClient::disconnects("jobs, and gone", job.repeat(300)),
    ]
}

/// Each bad client gets an error or a close, on a new and on a kept connection, and well-behaved clients are served before and
/// after it. The dispatcher needs little memory and few log lines for them. Guards against waiting two minutes, as for an idle
/// connection, for the rest of an incomplete later request, and against reading further requests of a client that reads no
/// responses, which piled up.
#[test]
fn bad_clients_get_error_or_close() {
    const MAX_MEMORY_KIB: u64 = 64 * 1024;
    let (worker, program) = start_with_both_listeners();
    let clients = bad_clients();
    std::thread::scope(|scope| {
        for (n, address) in listeners(&program).into_iter().enumerate() {
            for client in &clients {
                let name = client.name;
                scope.spawn(move || run_on_new_connection(address, &format!("{name}, false, {n}"), client));
                scope.spawn(move || run_on_kept_connection(address, &format!("{name}, true, {n}"), client));
            }
        }
    });
    let peak = memory_kib(program.pid(), "VmHWM");
    assert!(peak < MAX_MEMORY_KIB, "{peak} kB");
    program.terminate();
    let (is_clean, log) = program.wait_for_exit();
    assert!(is_clean, "{log:?}");
    assert!(log.len() < 40, "the dispatcher logs no lines per client, but has logged {} lines", log.len());
    assert!(log.iter().any(|line| line.contains("broken_invariants=0")) && !worker.has_received("ab"));
}
