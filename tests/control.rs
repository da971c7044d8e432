//! Tests of the admin address: readiness, counters and drain, also while many admin calls and clients are open.

use mothproxy_testkit::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

fn start_with_admin(workers: &[Arc<FakeWorker>], sse: bool) -> (DispatcherProcess, SocketAddr) {
    let dispatcher = DispatcherProcess::builder(workers)
        .event_streams(sse)
        .configure(|config| config["admin_addr"] = json!("127.0.0.1:0"))
        .start();
    let admin = dispatcher.admin.expect("no admin address");
    (dispatcher, admin)
}

fn call(admin: SocketAddr, method: &str, path: &str) -> HttpReply {
    send(admin, &format!("{method} {path} HTTP/1.1\r\nHost: n0\r\n\r\n")).expect("no complete response")
}

fn counters(admin: SocketAddr) -> BTreeMap<String, (u64, char)> {
    let reply = call(admin, "GET", "/control/counters");
    assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    let line = |line: &str| {
        let (name, rest) = line.strip_prefix("dispatcher.")?.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        Some((name.to_owned(), (value.parse().ok()?, kind.parse().ok()?)))
    };
    reply.body.lines().map(|text| line(text).unwrap_or_else(|| panic!("{text}"))).collect()
}

fn send_job(to: SocketAddr, id: &str, class: &str, body: &str) -> HttpReply {
    send(to, &job_request(id, class, body, "")).expect("no complete response")
}

/// Each job is counted once, when it has ended, under the outcome that its client received.
#[test]
fn counters_match_what_clients_and_workers_saw() {
    let worker = FakeWorker::start("s-1");
    let (dispatcher, admin) = start_with_admin(std::slice::from_ref(&worker), true);
    let before = counters(admin);
    for name in ["success.balance", "busy.balance", "failure.redeem", "backend_calls", "reconfig_failed"] {
        assert_eq!(before.get(name), Some(&(0, 'c')), "{name}");
    }
    assert_eq!(before["hosts_listed"], (1, 'g'));
    assert_eq!(before["hosts_down"], (0, 'g'));
    for n in 0..3 {
        assert_eq!(
            send_job(dispatcher.platform, &format!("a{n}"), "balance", "take started done=x").status,
            200
        );
    }
    // The job may have run and no other worker can run it, so it fails at the end of the client's time limit.
    let failing = job_request("b0", "redeem", "take started failed", "X-Time-Left-Ms: 300\r\n");
    assert!(send(dispatcher.platform, &failing).expect("no complete response").status >= 500);
    assert_eq!(send_job(dispatcher.platform, "b1", "nothing", "take").status, 400);
    let mut open = connect(dispatcher.sse.expect("no SSE listener"));
    open.write_all(job_request("c0", "redeem", "take started wait=counted done=x", "").as_bytes())
        .expect("write failed");
    wait_until("the open job is counted", || counters(admin)["inflight"] == (1, 'g'));
    worker.open_gate("counted");
    assert_eq!(read_reply(&mut open).expect("no complete response").status, 200);
    let after = counters(admin);
    let expected =
        [("success.balance", 3), ("success.redeem", 1), ("failure.redeem", 1), ("failure.balance", 0)];
    for (name, value) in expected {
        assert_eq!(after[name].0, value, "{name}");
    }
    assert_eq!(
        (after["backend_calls"].0, after["inflight"].0),
        (worker.job_count.load(std::sync::atomic::Ordering::SeqCst), 0)
    );
    assert!(after["hosts_down"].0 <= after["hosts_listed"].0);
}

/// Incomplete admin calls and client requests, more than there are descriptors for, must not delay an admin call.
#[test]
fn incomplete_calls_and_requests_do_not_delay_admin_calls() {
    let worker = FakeWorker::start("s-1");
    let dispatcher = DispatcherProcess::builder(std::slice::from_ref(&worker))
        .configure(|config| {
            config["admin_addr"] = json!("127.0.0.1:0");
            config["limits"]["sockets"] = json!(80);
        })
        .start();
    let admin = dispatcher.admin.expect("no admin address");
    let mut incomplete_calls: Vec<_> = (0..40).map(|_| connect(admin)).collect();
    incomplete_calls
        .iter_mut()
        .for_each(|stream| stream.write_all(b"GET /control/rea").expect("write failed"));
    let mut incomplete_requests: Vec<_> = (0..100).map(|_| connect(dispatcher.platform)).collect();
    incomplete_requests.iter_mut().for_each(|stream| drop(stream.write_all(b"POST /balance HTTP/1.1\r\nHo")));
    for _ in 0..5 {
        assert_eq!(call(admin, "GET", "/control/ready").status, 200);
    }
    // The newest incomplete call can still be completed; the oldest has been closed to free its descriptor.
    let mut newest = incomplete_calls.pop().expect("no incomplete call is left");
    newest.write_all(b"dy HTTP/1.1\r\nHost: n0\r\n\r\n").expect("write failed");
    assert_eq!(read_reply(&mut newest).expect("no complete response").status, 200);
    wait_until("the oldest is closed", || is_closed(&incomplete_calls[0]));
    // A job is rejected at once while the incomplete requests are recent, and served once they are old enough to be closed.
    let mut attempts = 0;
    wait_until("a job is served", || {
        attempts += 1;
        let reply = send_job(dispatcher.platform, &format!("d{attempts}"), "balance", "take started done=x");
        let is_rejected =
            reply.status == 503 && worker.job_count.load(std::sync::atomic::Ordering::SeqCst) == 0;
        assert!(is_rejected || (reply.status, reply.body.as_str()) == (200, "x"), "{}", reply.head);
        !is_rejected
    });
}

/// Unknown paths, wrong methods and malformed requests are rejected without an effect on the process.
#[test]
fn rejects_unknown_admin_calls() {
    let worker = FakeWorker::start("s-1");
    let (dispatcher, admin) = start_with_admin(std::slice::from_ref(&worker), false);
    assert_eq!(call(admin, "GET", "/control/nothing").status, 404);
    assert_eq!(call(admin, "GET", "/control/out-of-service").status, 405);
    assert_eq!(call(admin, "PUT", "/control/ready").status, 405);
    assert_eq!(send(admin, "what is this\r\n\r\n").expect("no complete response").status, 400);
    assert_eq!(dispatcher.up_status(), 200, "one of these calls started a drain");
    // Clients are not served at the admin address, nor admin calls at the clients' address.
    assert_eq!(call(dispatcher.platform, "GET", "/control/ready").status, 404);
    assert_eq!(send_job(admin, "e0", "balance", "take started done=x").status, 404);
}

/// During a drain, requests are still served while client connections are closed. Once the drain has ended, connections are kept
/// again.
#[test]
fn drain_closes_clients_and_can_be_undone() {
    // Two workers, because a worker that has not sent a load report yet is not given a third job while it has two.
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let (dispatcher, admin) = start_with_admin(&workers, true);
    let (sse, accept) = (dispatcher.sse.expect("no SSE listener"), "Accept: text/event-stream\r\n");
    let idle = [connect(dispatcher.platform), connect(dispatcher.platform), connect(sse)];
    let mut busy = [connect(dispatcher.platform), connect(sse)];
    for (n, stream) in busy.iter_mut().enumerate() {
        let text = job_request(&format!("f{n}"), "balance", "take started wait=drained done=kept", accept);
        stream.write_all(text.as_bytes()).expect("write failed");
    }
    let jobs = |worker: &Arc<FakeWorker>| worker.job_count.load(std::sync::atomic::Ordering::SeqCst);
    wait_until("both jobs arrive", || workers.iter().map(jobs).sum::<u64>() == 2);
    assert_eq!(call(admin, "PUT", "/control/out-of-service").status, 200);
    assert_eq!(call(admin, "PUT", "/control/out-of-service").status, 200, "a repeated call");
    assert_eq!(dispatcher.up_status(), 503);
    for (n, to) in [dispatcher.platform, sse].into_iter().enumerate() {
        let reply = send_job(to, &format!("g{n}"), "balance", "take started done=x");
        assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    }
    wait_until("idle connections are closed", || idle.iter().all(is_closed));
    workers.iter().for_each(|worker| worker.open_gate("drained"));
    for stream in &mut busy {
        let reply = read_reply(stream).expect("no complete response");
        assert!(reply.body.contains("kept"), "{} {}", reply.status, reply.body);
        wait_until("a busy connection is closed after its job", || is_closed(stream));
    }
    assert_eq!(call(admin, "GET", "/control/ready").status, 200, "the process still takes clients");
    assert_eq!(call(admin, "PUT", "/control/in-service").status, 200);
    assert_eq!(dispatcher.up_status(), 200);
    let mut kept = connect(dispatcher.platform);
    for n in 0..2 {
        let text = simple_job(&format!("h{n}"));
        kept.write_all(text.as_bytes()).expect("write failed");
        let reply = read_reply(&mut kept).expect("no complete response on the kept connection");
        assert_eq!((reply.status, reply.header("Connection")), (200, None));
    }
    let metrics = dispatcher.shut_down_for_metrics();
    assert_eq!((metrics["open"], metrics["gone"], metrics["broken_invariants"]), (0, 0, 0));
}
