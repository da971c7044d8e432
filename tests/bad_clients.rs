//! Clients that send what cannot be read, or nothing, on both listeners: each gets an error or a close, and usual
//! clients are served beside them.

#[path = "common/process_memory.rs"]
mod process_memory;

use mothproxy_testkit::*;
use process_memory::memory_kib;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Reads until the other side closes: what it said.
fn to_the_end(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let (mut seen, mut buf) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(read) => seen.extend(&buf[..read]),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(error) => panic!("neither an error nor a close: {error}"),
        }
    }
    String::from_utf8_lossy(&seen).into_owned()
}

/// Starts the program with one worker and its event-stream listener on.
fn start_with_both_listeners() -> (Arc<FakeWorker>, DispatcherProcess) {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).event_streams(true).start();
    (worker, program)
}

/// Starts the program with one worker and a budget of 80 sockets.
fn start_with_few_sockets() -> DispatcherProcess {
    DispatcherProcess::builder(&[FakeWorker::start("s-1")])
        .configure(|config| config["limits"]["sockets"] = json!(80))
        .start()
}

/// The addresses of the platform's listener and of that for event streams.
fn listeners(program: &DispatcherProcess) -> [SocketAddr; 2] {
    [program.platform, program.sse.expect("the SSE listener is on")]
}

/// A connection that sends nothing is closed, and half a request is answered 408; one that has been served is kept. They were
/// kept for 20 s, and silent ones for 120 s; the limit is a fact of the program, not of the test.
#[test]
fn answers_or_closes_what_never_becomes_a_request() {
    let (worker, program) = start_with_both_listeners();
    let whole = simple_job("a0");
    let half_body = &whole[..whole.len() - 5];
    let chunks = "POST /balance HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab";
    for (n, to) in listeners(&program).into_iter().enumerate() {
        // A connection that has been served once is kept, however long it says nothing.
        let mut kept = connect(to);
        kept.write_all(simple_job(&format!("k{n}")).as_bytes()).expect("written");
        assert_eq!(read_reply(&mut kept).expect("an answer").status, 200);
        let waiting: Vec<TcpStream> = ["", "POST /bal", half_body, chunks]
            .iter()
            .map(|sent| {
                let mut stream = connect(to);
                stream.write_all(sent.as_bytes()).expect("written");
                stream
            })
            .collect();
        let said: Vec<String> = waiting.into_iter().map(to_the_end).collect();
        assert_eq!(said[0], "", "nothing was asked");
        for said in &said[1..] {
            assert!(said.starts_with("HTTP/1.1 408 "), "{said}");
        }
        kept.write_all(simple_job(&format!("l{n}")).as_bytes()).expect("written");
        assert_eq!(read_reply(&mut kept).expect("an answer").status, 200);
    }
    assert!(!worker.has_received("a0"));
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["open"], metrics["broken_invariants"]), (4, 0, 0));
}

/// A head that never ends is refused at its limit, 60 MB before they are read; the error reaches a client that is
/// still sending.
#[test]
fn rejects_endless_heads_and_huge_bodies_early() {
    let (_worker, program) = start_with_both_listeners();
    for to in listeners(&program) {
        let huge =
            job_request("b0", "balance", "", "").replace("Content-Length: 0", "Content-Length: 60000000");
        let endless = "POST /balance HTTP/1.1\r\nHost: h\r\n".to_owned();
        let filler = "X-Filler: 0123456789abcdef0123456789abcdef\r\n".repeat(1500);
        for (start, status) in [(huge, "413"), (endless, "431")] {
            let stream = connect(to);
            let mut writer = stream.try_clone().expect("a second handle");
            let filler = filler.clone();
            let sender = std::thread::spawn(move || {
                // The program closes at some point; whatever is not sent by then is of no use to anyone.
                let _ = writer.write_all(start.as_bytes());
                let _ = (0..60_000_000 / filler.len()).try_for_each(|_| writer.write_all(filler.as_bytes()));
            });
            let said = to_the_end(stream);
            assert!(said.starts_with(&format!("HTTP/1.1 {status} ")), "{status}: {said}");
            sender.join().expect("it has sent what it could");
        }
    }
    assert_eq!(program.shut_down_for_metrics()["taken"], 0);
}

/// Usual clients are served beside half requests. These used to hold every descriptor that usual clients need: nothing could be closed for those.
#[test]
fn half_requests_do_not_exhaust_descriptors() {
    let program = start_with_few_sockets();
    let half = |n: usize| {
        let mut stream = connect(program.platform);
        stream
            .write_all(&job_request(&format!("c{n}"), "balance", "x", "").as_bytes()[..40])
            .expect("written");
        stream
    };
    let _rude: Vec<TcpStream> = (0..30).map(half).collect();
    std::thread::sleep(std::time::Duration::from_millis(400)); // they have had their time to go on
    let (mut usual, mut statuses) = (Vec::new(), Vec::new());
    for n in 0..20 {
        let mut stream = connect(program.platform);
        let request = simple_job(&format!("d{n}"));
        stream.write_all(request.as_bytes()).expect("written");
        statuses.push(read_reply(&mut stream).map(|reply| reply.status));
        usual.push(stream);
    }
    assert_eq!(statuses, vec![Some(200); 20]);
    assert_eq!(program.shut_down_for_metrics()["served"], 20);
}

/// A client that writes slowly is answered, and half requests that say nothing give way to others. They gave way by when they were accepted: in a crowd, usual clients that write slowly were cut off first.
#[test]
fn writing_client_outlasts_stalled_crowd() {
    let program = start_with_few_sockets();
    let request = job_request("slow-0", "balance", "take started done=whole", "");
    let mut slow = connect(program.platform);
    let mut crowd = Vec::new();
    for piece in request.as_bytes().chunks(request.len() / 24) {
        slow.write_all(piece).expect("it is not cut off");
        for _ in 0..4 {
            let mut half = connect(program.platform);
            let _ = half.write_all(b"POST /balance HTTP/1.1\r\nHost: or"); // it may be closed by now
            crowd.push(half);
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert_eq!(read_reply(&mut slow).expect("an answer").body, "whole");
    // Each that gave way has been turned away and its connection ended, or closed.
    let gave_way = |half: &mut TcpStream| {
        half.set_nonblocking(true).expect("a socket option");
        let said = matches!(half.peek(&mut [0]), Ok(read) if read > 0);
        half.set_nonblocking(false).expect("a socket option");
        let reply = said.then(|| read_reply(half).expect("an answer"));
        let away = |reply: &HttpReply| (reply.status, reply.header("Connection")) == (503, Some("close"));
        reply.is_none_or(|reply| away(&reply)) && is_closed(half)
    };
    assert!(crowd.iter_mut().map(gave_way).filter(|gave| *gave).count() > 30, "the crowd has given way");
}

/// A connection that has just been accepted is not closed before its first byte. It was closed as idle in the instant between its coming and its first byte, once half requests filled the
/// budget: callbacks of workers were lost that way, and with them the jobs.
#[test]
fn does_not_close_new_connection_as_idle_in_crowd() {
    // It asks in time unless this machine is kept from it, which is no fault of the program's: then it tries again.
    let answered = (0..10).any(|_| {
        // Of 40 connections 26 may be those of clients before some are closed for new ones.
        let program = start_with_few_sockets();
        let half = || {
            let mut stream = connect(program.platform);
            let _ = stream.write_all(b"POST /balance HTTP/1.1\r\nHost: or");
            stream
        };
        let _crowd: Vec<TcpStream> = (0..26).map(|_| half()).collect();
        std::thread::sleep(std::time::Duration::from_millis(5)); // it has heard of all of them
        let mut fresh = connect(program.platform);
        let _next = half();
        std::thread::sleep(std::time::Duration::from_millis(3)); // the program has accepted both
        let written = fresh.write_all(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n");
        written.is_ok() && read_reply(&mut fresh).is_some_and(|reply| reply.status == 200)
    });
    assert!(answered);
}

/// Reads what is said until the other side closes, and no more than so much of it.
fn said_by(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let mut seen = Vec::new();
    let ended = stream.take(1 << 20).read_to_end(&mut seen);
    let reset = ended.is_err_and(|error| error.kind() != std::io::ErrorKind::ConnectionReset);
    assert!(!reset, "neither an error nor a close");
    String::from_utf8_lossy(&seen).into_owned()
}

/// What is wrong with a client.
enum Fault {
    /// It sends this and no more, and gets this status.
    Stops { sent: &'static str, status: &'static str },
    /// It sends this over and over and reads nothing.
    Floods(String),
    /// It sends this and disconnects.
    Disconnects(String),
}

/// A client that is at fault.
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

    /// Runs on a connection, and is shut out if it does not go by itself. What is left of the connection.
    fn run(&self, mut stream: TcpStream, name: &str) -> Option<TcpStream> {
        stream.set_write_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
        match &self.fault {
            Fault::Stops { sent, status } => {
                stream.write_all(sent.as_bytes()).expect("written");
                let said = said_by(&mut stream);
                assert!(said.starts_with(&format!("HTTP/1.1 {status} ")), "{name}: {said}");
                Some(stream)
            }
            Fault::Floods(sent) => {
                // It may be shut out at any point, but is not borne for ever.
                let mut rounds = 0;
                while stream.write_all(sent.as_bytes()).is_ok() {
                    rounds += 1;
                    assert!(rounds < 1_000_000, "{name}: it goes on and on");
                }
                wait_until("it is closed", || is_closed(&stream) || stream.write(b"x").is_err());
                Some(stream)
            }
            Fault::Disconnects(sent) => {
                let _ = stream.write_all(sent.as_bytes());
                None
            }
        }
    }
}

/// A usual client is served; its connection, which is kept.
fn serve_usual_client(to: SocketAddr, name: &str) -> TcpStream {
    let mut tries = 0;
    let mut served = None;
    // While the machine is busy with floods a worker may accept nothing in time: then one is rejected, and tries again.
    wait_until("a usual client is served", || {
        tries += 1;
        let mut stream = connect(to);
        let id = format!("{name}, {tries}").replace([' ', ','], "-");
        stream.write_all(simple_job(&id).as_bytes()).expect("written");
        let status = read_reply(&mut stream).expect("an answer").status;
        assert!(matches!(status, 200 | 503), "{name}: {status}");
        served = Some(stream).filter(|_| status == 200);
        status == 200
    });
    served.expect("it was served")
}

/// The bad client on a new connection.
fn meet_on_new_connection(to: SocketAddr, name: &str, client: &BadClient) {
    let _connection = client.run(connect(to), name);
    serve_usual_client(to, &format!("{name}, after"));
}

/// The bad client on a connection that has been served before.
fn meet_on_kept_connection(to: SocketAddr, name: &str, client: &BadClient) {
    let kept = serve_usual_client(to, &format!("{name}, before"));
    let _connection = client.run(kept, name);
    serve_usual_client(to, &format!("{name}, after"));
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

/// Each bad client gets an error or a close, on a new and on a kept connection, and usual ones are served before and after it; the
/// program needs little memory and few lines of its log for them. A later request that stopped half way was waited for as long as
/// an idle connection is kept, two minutes; requests were read on while none of their answers were, and those piled up.
#[test]
fn bad_clients_get_error_or_close() {
    const MAX_MEMORY_KIB: u64 = 64 * 1024;
    let (worker, program) = start_with_both_listeners();
    let clients = bad_clients();
    std::thread::scope(|scope| {
        for (side, to) in listeners(&program).into_iter().enumerate() {
            for client in &clients {
                let name = client.name;
                scope.spawn(move || meet_on_new_connection(to, &format!("{name}, false, {side}"), client));
                scope.spawn(move || meet_on_kept_connection(to, &format!("{name}, true, {side}"), client));
            }
        }
    });
    let peak = memory_kib(program.pid(), "VmHWM");
    assert!(peak < MAX_MEMORY_KIB, "{peak} kB");
    program.terminate();
    let (is_clean, log) = program.wait_for_exit();
    assert!(is_clean, "{log:?}");
    assert!(log.len() < 40, "no line of the log is one client's: {}", log.len());
    assert!(log.iter().any(|line| line.contains("broken_invariants=0")) && !worker.has_received("ab"));
}
