//! Clients that send what cannot be read, or nothing, on both fronts: each gets an error or a close, and usual
//! clients are served beside them.

use mothproxy_stand_ins::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Reads until the other side closes: what it said.
fn to_the_end(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket option");
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

fn fronts(program: &Program) -> [SocketAddr; 2] {
    [program.platform, program.sse.expect("the SSE front is on")]
}

/// These were kept for 20 s, and silent ones for 120 s; the limit is a fact of the program, not of the test.
#[test]
fn what_never_becomes_a_request_is_answered_or_closed() {
    let node = Node::start("s-1");
    let program = start(std::slice::from_ref(&node), None, true);
    let whole = job("a0", "balance", "take started done=x", "");
    let half_body = &whole[..whole.len() - 5];
    let chunks = "POST /balance HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab";
    for (n, to) in fronts(&program).into_iter().enumerate() {
        // A connection that has been served once is kept, however long it says nothing.
        let mut kept = connect(to);
        let ask = |id: &str| job(id, "balance", "take started done=x", "");
        kept.write_all(ask(&format!("k{n}")).as_bytes()).expect("written");
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
        kept.write_all(ask(&format!("l{n}")).as_bytes()).expect("written");
        assert_eq!(read_reply(&mut kept).expect("an answer").status, 200);
    }
    assert!(!node.saw("a0"));
    let figures = program.figures();
    assert_eq!((figures["taken"], figures["open"], figures["broken_invariants"]), (4, 0, 0));
}

/// A head that never ends is refused at its limit, 60 MB before they are read; the error reaches a client that is
/// still sending.
#[test]
fn endless_heads_and_huge_bodies_are_refused_while_they_are_sent() {
    let node = Node::start("s-1");
    let program = start(std::slice::from_ref(&node), None, true);
    for to in fronts(&program) {
        let huge = job("b0", "balance", "", "").replace("Content-Length: 0", "Content-Length: 60000000");
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
    assert_eq!(program.figures()["taken"], 0);
}

/// Half requests used to hold every descriptor that usual clients need: nothing could be closed for those.
#[test]
fn half_requests_do_not_use_up_the_descriptors() {
    let node = Node::start("s-1");
    let few = |config: &mut serde_json::Value| config["limits"]["sockets"] = json!(80);
    let program = start_with(&[node], None, false, few);
    let half = |n: usize| {
        let mut stream = connect(program.platform);
        stream.write_all(&job(&format!("c{n}"), "balance", "x", "").as_bytes()[..40]).expect("written");
        stream
    };
    let _rude: Vec<TcpStream> = (0..30).map(half).collect();
    std::thread::sleep(std::time::Duration::from_millis(400)); // they have had their time to go on
    let (mut usual, mut statuses) = (Vec::new(), Vec::new());
    for n in 0..20 {
        let mut stream = connect(program.platform);
        let request = job(&format!("d{n}"), "balance", "take started done=x", "");
        stream.write_all(request.as_bytes()).expect("written");
        statuses.push(read_reply(&mut stream).map(|reply| reply.status));
        usual.push(stream);
    }
    assert_eq!(statuses, vec![Some(200); 20]);
    assert_eq!(program.figures()["served"], 20);
}

/// Half requests gave way by when they were accepted: in a crowd, usual clients that write slowly were cut off first.
#[test]
fn a_client_that_goes_on_writing_outlasts_a_crowd_that_stops_half_way() {
    let node = Node::start("s-1");
    let program = start_with(std::slice::from_ref(&node), None, false, |config| {
        config["limits"]["sockets"] = json!(80);
    });
    let request = job("slow-0", "balance", "take started done=whole", "");
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
        let away = |reply: &Reply| (reply.status, reply.field("Connection")) == (503, Some("close"));
        reply.is_none_or(|reply| away(&reply)) && is_closed(half)
    };
    assert!(crowd.iter_mut().map(gave_way).filter(|gave| *gave).count() > 30, "the crowd has given way");
}

/// A connection was closed as idle in the instant between its coming and its first byte, once half requests filled the
/// budget: call-backs of workers were lost that way, and with them the jobs.
#[test]
fn a_connection_that_has_just_come_is_not_closed_as_idle_in_a_crowd() {
    // It asks in time unless this machine is kept from it, which is no fault of the program's: then it tries again.
    let answered = (0..10).any(|_| {
        let node = Node::start("s-1");
        // Of 40 connections 26 may be those of clients before some are closed for new ones.
        let program = start_with(&[node], None, false, |config| config["limits"]["sockets"] = json!(80));
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
        let asked = fresh.write_all(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n");
        asked.is_ok() && read_reply(&mut fresh).is_some_and(|reply| reply.status == 200)
    });
    assert!(answered);
}
