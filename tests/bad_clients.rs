//! Clients that send what cannot be read, or nothing, on both fronts: each gets an error or a close, and usual
//! clients are served beside them.

use mothproxy_testkit::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

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

fn fronts(program: &DispatcherProcess) -> [SocketAddr; 2] {
    [program.platform, program.sse.expect("the SSE front is on")]
}

/// These were kept for 20 s, and silent ones for 120 s; the limit is a fact of the program, not of the test.
#[test]
fn answers_or_closes_what_never_becomes_a_request() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).event_streams(true).start();
    let whole = simple_job("a0");
    let half_body = &whole[..whole.len() - 5];
    let chunks = "POST /balance HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab";
    for (n, to) in fronts(&program).into_iter().enumerate() {
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
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).event_streams(true).start();
    for to in fronts(&program) {
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

/// Half requests used to hold every descriptor that usual clients need: nothing could be closed for those.
#[test]
fn half_requests_do_not_exhaust_descriptors() {
    let worker = FakeWorker::start("s-1");
    let few = |config: &mut serde_json::Value| config["limits"]["sockets"] = json!(80);
    let program = DispatcherProcess::builder(&[worker]).configure(few).start();
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

/// Half requests gave way by when they were accepted: in a crowd, usual clients that write slowly were cut off first.
#[test]
fn writing_client_outlasts_stalled_crowd() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker))
        .configure(|config| {
            config["limits"]["sockets"] = json!(80);
        })
        .start();
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

/// A connection was closed as idle in the instant between its coming and its first byte, once half requests filled the
/// budget: callbacks of workers were lost that way, and with them the jobs.
#[test]
fn does_not_close_new_connection_as_idle_in_crowd() {
    // It asks in time unless this machine is kept from it, which is no fault of the program's: then it tries again.
    let answered = (0..10).any(|_| {
        let worker = FakeWorker::start("s-1");
        // Of 40 connections 26 may be those of clients before some are closed for new ones.
        let program = DispatcherProcess::builder(&[worker])
            .configure(|config| config["limits"]["sockets"] = json!(80))
            .start();
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
enum Bad {
    /// It sends this and no more; the answer.
    Stops(&'static str, &'static str),
    /// It sends this over and over and reads nothing.
    Floods(String),
    /// It sends this over and over and goes.
    Goes(String),
}

/// A client of this kind, and usual ones before and after it.
fn meets(to: SocketAddr, name: &str, bad: &Bad, kept: bool) {
    let usual = |when: &str| {
        let (mut tries, mut served) = (0, None);
        // While the machine is busy with floods a worker may take nothing in time: then one is refused, and tries again.
        wait_until("a usual client is served", || {
            tries += 1;
            let mut stream = connect(to);
            let id = format!("{name}, {when}, {tries}").replace([' ', ','], "-");
            stream.write_all(simple_job(&id).as_bytes()).expect("written");
            let status = read_reply(&mut stream).expect("an answer").status;
            assert!(matches!(status, 200 | 503), "{name}: {status}");
            served = Some(stream).filter(|_| status == 200);
            status == 200
        });
        served.expect("it was served")
    };
    let mut stream = if kept { usual("before") } else { connect(to) };
    stream.set_write_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    match bad {
        Bad::Stops(sent, status) => {
            stream.write_all(sent.as_bytes()).expect("written");
            let said = said_by(&mut stream);
            assert!(said.starts_with(&format!("HTTP/1.1 {status} ")), "{name}: {said}");
        }
        Bad::Floods(sent) => {
            // It may be shut out at any point, but is not borne for ever.
            let mut rounds = 0;
            while stream.write_all(sent.as_bytes()).is_ok() {
                rounds += 1;
                assert!(rounds < 1_000_000, "{name}: it goes on and on");
            }
            wait_until("it is closed", || is_closed(&stream) || stream.write(b"x").is_err());
        }
        Bad::Goes(sent) => {
            let _ = stream.write_all(sent.as_bytes());
            drop(stream);
        }
    }
    usual("after");
}

/// A later request that stopped half way was waited for as long as an idle connection is kept, two minutes; requests were
/// read on while none of their answers were, and those piled up.
#[test]
fn bad_clients_get_error_or_close() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).event_streams(true).start();
    let chunked = "POST /balance HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    let up = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n".to_owned();
    let cases = [
        ("half a line", Bad::Stops("POST /bal", "408")),
        ("half a head", Bad::Stops("POST /balance HTTP/1.1\r\nHost: h\r\n", "408")),
        (
            "half a body",
            Bad::Stops("POST /balance HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab", "408"),
        ),
        (
            "half a chunk",
            Bad::Stops("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "408"),
        ),
        (
            "two bodies",
            Bad::Stops("POST /balance HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nabab", "400"),
        ),
        (
            "no number",
            Bad::Stops("POST /balance HTTP/1.1\r\nHost: h\r\nContent-Length: 2,3\r\n\r\nab", "400"),
        ),
        (
            "endless chunks",
            Bad::Floods(format!("{chunked}{}", "400\r\n".to_owned() + &"x".repeat(1024) + "\r\n")),
        ),
        ("endless trailers", Bad::Floods(format!("{chunked}0\r\n{}", "X-Trailer: x\r\n".repeat(100)))),
        ("endless blank lines", Bad::Floods("\r\n".repeat(1000))),
        ("endless requests", Bad::Floods(up.repeat(100))),
        (
            "endless jobs",
            Bad::Floods(
                job_request("q", "balance", "take started hang", "X-Time-Left-Ms: 7000\r\n").repeat(100),
            ),
        ),
        ("much, and gone", Bad::Goes(up.repeat(1000))),
        ("much of a head, and gone", Bad::Goes("X-Filler: 0123456789abcdef\r\n".repeat(3000))),
        ("jobs, and gone", Bad::Goes(job_request("r", "balance", "take started hang", "").repeat(300))),
    ];
    std::thread::scope(|scope| {
        for (side, to) in fronts(&program).into_iter().enumerate() {
            for (name, bad) in &cases {
                for kept in [false, true] {
                    scope.spawn(move || meets(to, &format!("{name}, {kept}, {side}"), bad, kept));
                }
            }
        }
    });
    // The program's memory was never more than some megabytes.
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.pid())).expect("Linux");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak < 64 * 1024, "{peak} kB");
    let (clean, log) = {
        program.terminate();
        program.wait_for_exit()
    };
    assert!(clean, "{log:?}");
    assert!(log.len() < 40, "no line of the log is one client's: {}", log.len());
    assert!(log.iter().any(|line| line.contains("broken_invariants=0")) && !worker.has_received("ab"));
}
