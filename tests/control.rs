//! The second address: readiness, figures and drain, also while callers and clients keep it busy.

use mothproxy_testkit::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

fn with_control(nodes: &[Arc<FakeWorker>], sse: bool) -> (DispatcherProcess, SocketAddr) {
    let program = DispatcherProcess::builder(nodes)
        .event_streams(sse)
        .configure(|config| config["admin_addr"] = json!("127.0.0.1:0"))
        .start();
    let control = program.admin.expect("a second address");
    (program, control)
}

fn call(control: SocketAddr, method: &str, path: &str) -> HttpReply {
    send(control, &format!("{method} {path} HTTP/1.1\r\nHost: n0\r\n\r\n")).expect("an answer")
}

fn counters(control: SocketAddr) -> BTreeMap<String, (u64, char)> {
    let reply = call(control, "GET", "/control/counters");
    assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    let line = |line: &str| {
        let (name, rest) = line.strip_prefix("dispatcher.")?.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        Some((name.to_owned(), (value.parse().ok()?, kind.parse().ok()?)))
    };
    reply.body.lines().map(|text| line(text).unwrap_or_else(|| panic!("{text}"))).collect()
}

fn ask(to: SocketAddr, id: &str, class: &str, body: &str) -> HttpReply {
    send(to, &job_request(id, class, body, "")).expect("an answer")
}

fn up(program: &DispatcherProcess) -> u16 {
    send(program.platform, "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n").expect("an answer").status
}

/// Figures that count a job twice, or before it has ended, are untrue to what its client saw.
#[test]
fn figures_are_what_peers_saw() {
    let node = FakeWorker::start("s-1");
    let (program, control) = with_control(std::slice::from_ref(&node), true);
    let before = counters(control);
    for name in ["success.balance", "busy.balance", "failure.redeem", "backend_calls", "reconfig_failed"] {
        assert_eq!(before.get(name), Some(&(0, 'c')), "{name}");
    }
    assert_eq!(before["hosts_listed"], (1, 'g'));
    assert_eq!(before["hosts_down"], (0, 'g'));
    for n in 0..3 {
        assert_eq!(ask(program.platform, &format!("a{n}"), "balance", "take started done=x").status, 200);
    }
    // It may have run and nobody else can repeat it: it fails once its client gives up.
    let failing = job_request("b0", "redeem", "take started failed", "X-Time-Left-Ms: 300\r\n");
    assert!(send(program.platform, &failing).expect("an answer").status >= 500);
    assert_eq!(ask(program.platform, "b1", "nothing", "take").status, 400);
    let mut open = connect(program.sse.expect("the SSE front is on"));
    open.write_all(job_request("c0", "redeem", "take started wait=counted done=x", "").as_bytes())
        .expect("written");
    wait_until("the open job is counted", || counters(control)["inflight"] == (1, 'g'));
    node.open_gate("counted");
    assert_eq!(read_reply(&mut open).expect("an answer").status, 200);
    let after = counters(control);
    let expected =
        [("success.balance", 3), ("success.redeem", 1), ("failure.redeem", 1), ("failure.balance", 0)];
    for (name, value) in expected {
        assert_eq!(after[name].0, value, "{name}");
    }
    assert_eq!(
        (after["backend_calls"].0, after["inflight"].0),
        (node.job_count.load(std::sync::atomic::Ordering::SeqCst), 0)
    );
    assert!(after["hosts_down"].0 <= after["hosts_listed"].0);
}

/// Callers that stop half way, more of them than there are descriptors for, must not keep a call waiting.
#[test]
fn half_calls_and_crowds_of_clients_do_not_keep_calls_waiting() {
    let node = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&node))
        .configure(|config| {
            config["admin_addr"] = json!("127.0.0.1:0");
            config["limits"]["sockets"] = json!(80);
        })
        .start();
    let control = program.admin.expect("a second address");
    let mut half: Vec<_> = (0..40).map(|_| connect(control)).collect();
    half.iter_mut().for_each(|stream| stream.write_all(b"GET /control/rea").expect("written"));
    let mut crowd: Vec<_> = (0..100).map(|_| connect(program.platform)).collect();
    crowd.iter_mut().for_each(|stream| drop(stream.write_all(b"POST /balance HTTP/1.1\r\nHo")));
    for _ in 0..5 {
        assert_eq!(call(control, "GET", "/control/ready").status, 200);
    }
    // The newest half call is still good, one of the oldest has given way.
    let mut newest = half.pop().expect("one of them");
    newest.write_all(b"dy HTTP/1.1\r\nHost: n0\r\n\r\n").expect("written");
    assert_eq!(read_reply(&mut newest).expect("an answer").status, 200);
    wait_until("the oldest is closed", || is_closed(&half[0]));
    // While the crowd's half requests are young a job is turned away at once; as they age, one is served.
    let mut asked = 0;
    wait_until("a job is served", || {
        asked += 1;
        let reply = ask(program.platform, &format!("d{asked}"), "balance", "take started done=x");
        let turned_away =
            reply.status == 503 && node.job_count.load(std::sync::atomic::Ordering::SeqCst) == 0;
        assert!(turned_away || (reply.status, reply.body.as_str()) == (200, "x"), "{}", reply.head);
        !turned_away
    });
}

#[test]
fn what_is_no_call_is_answered_with_a_no() {
    let node = FakeWorker::start("s-1");
    let (program, control) = with_control(std::slice::from_ref(&node), false);
    assert_eq!(call(control, "GET", "/control/nothing").status, 404);
    assert_eq!(call(control, "GET", "/control/out-of-service").status, 405);
    assert_eq!(call(control, "PUT", "/control/ready").status, 405);
    assert_eq!(send(control, "what is this\r\n\r\n").expect("an answer").status, 400);
    assert_eq!(up(&program), 200, "nothing of that drained it");
    // The second address is not the clients', nor theirs the second.
    assert_eq!(call(program.platform, "GET", "/control/ready").status, 404);
    assert_eq!(ask(control, "e0", "balance", "take started done=x").status, 404);
}

/// A drain is no stop: what comes is still served, clients are let go, and the program goes on after it.
#[test]
fn a_drained_dispatcher_lets_its_clients_go_and_comes_back() {
    // Two, since one without a report yet is not given a third job beside two.
    let nodes = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let (program, control) = with_control(&nodes, true);
    let (sse, keep) = (program.sse.expect("the SSE front is on"), "Accept: text/event-stream\r\n");
    let idle = [connect(program.platform), connect(program.platform), connect(sse)];
    let mut busy = [connect(program.platform), connect(sse)];
    for (n, stream) in busy.iter_mut().enumerate() {
        let text = job_request(&format!("f{n}"), "balance", "take started wait=drained done=kept", keep);
        stream.write_all(text.as_bytes()).expect("written");
    }
    let jobs = |node: &Arc<FakeWorker>| node.job_count.load(std::sync::atomic::Ordering::SeqCst);
    wait_until("both jobs arrive", || nodes.iter().map(jobs).sum::<u64>() == 2);
    assert_eq!(call(control, "PUT", "/control/out-of-service").status, 200);
    assert_eq!(call(control, "PUT", "/control/out-of-service").status, 200, "again changes nothing");
    assert_eq!(up(&program), 503);
    for (n, to) in [program.platform, sse].into_iter().enumerate() {
        let reply = ask(to, &format!("g{n}"), "balance", "take started done=x");
        assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    }
    wait_until("idle connections are closed", || idle.iter().all(is_closed));
    nodes.iter().for_each(|node| node.open_gate("drained"));
    for stream in &mut busy {
        let reply = read_reply(stream).expect("an answer");
        assert!(reply.body.contains("kept"), "{} {}", reply.status, reply.body);
        wait_until("and those with a job after it", || is_closed(stream));
    }
    assert_eq!(call(control, "GET", "/control/ready").status, 200, "the process still takes clients");
    assert_eq!(call(control, "PUT", "/control/in-service").status, 200);
    assert_eq!(up(&program), 200);
    let mut kept = connect(program.platform);
    for n in 0..2 {
        let text = job_request(&format!("h{n}"), "balance", "take started done=x", "");
        kept.write_all(text.as_bytes()).expect("written");
        let reply = read_reply(&mut kept).expect("an answer on a kept connection");
        assert_eq!((reply.status, reply.header("Connection")), (200, None));
    }
    let figures = program.shut_down_for_metrics();
    assert_eq!((figures["open"], figures["gone"], figures["broken_invariants"]), (0, 0, 0));
}
