//! Attempts that cannot connect to their worker, or that use a broken connection to it.

use crate::job_count;
use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::net::TcpListener;

/// A job whose worker refuses the connection is served by another worker.
#[test]
fn retries_elsewhere_on_connect_failure() {
    let dead = FakeWorker::start("s-0");
    let closed_listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    let closed = closed_listener.local_addr().expect("no local address");
    drop(closed_listener);
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(&[worker])
        .configure(|config| {
            let entry = site::endpoint_entry(&dead.name, &closed.to_string(), "up");
            config["known"]["instances"].as_array_mut().expect("not an array").push(entry);
        })
        .start();
    for number in 0..6 {
        let request = job_request(&format!("c{number}"), "redeem", "take started done=x", "");
        assert_eq!(send(program.platform, &request).expect("no complete response").status, 200);
    }
}

/// An attempt on a silent connection to a live worker is retried on another worker once it was not accepted in time. The job
/// used to wait until its deadline.
#[test]
fn retries_elsewhere_if_attempt_is_not_accepted() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let without_hedging = |config: &mut Value| config["settings"]["Limits"]["SecondCopies"] = json!(false);
    let program = DispatcherProcess::builder(&workers).configure(without_hedging).start();
    // On a slow machine the other worker may not accept the job in time either, so several jobs are tried.
    let served_elsewhere = (0..30).any(|number| {
        let id = format!("m{number}");
        let request = job_request(&id, "balance", "mute=s-1 take started done=x", "");
        let status = send(program.platform, &request).expect("no complete response").status;
        status == 200 && workers.iter().all(|worker| worker.has_received(&id))
    });
    assert!(served_elsewhere, "none of 30 jobs was retried on the other worker");
    let metrics = program.shut_down_for_metrics();
    assert!(metrics["untaken"] >= 1 && metrics["broken_invariants"] == 0, "{metrics:?}");
}

/// A job whose class has the semantics `side_effect` must not be retried elsewhere, so its attempt may be accepted until the
/// client's timeout. The attempt used to be abandoned after 150 ms.
#[test]
fn waits_for_non_idempotent_attempt_until_client_timeout() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker))
        .configure(|config| {
            config["settings"]["Grades"][1]["Semantics"] = json!("side_effect");
        })
        .start();
    let request = job_request("k0", "redeem", "pause=700 take started done=x", "X-Time-Left-Ms: 15000\r\n");
    assert_eq!(send(program.platform, &request).expect("no complete response").status, 200);
    assert_eq!((job_count(&worker), program.shut_down_for_metrics()["untaken"]), (1, 0));
}

/// A kept connection that breaks at the next request is no evidence against its worker. Each one used to count as a failure of the
/// worker, so that many of them led to the ejection of healthy workers.
#[test]
fn stale_connections_do_not_count_as_worker_failures() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let program = DispatcherProcess::builder(&workers).start();
    for number in 0..40 {
        let request = job_request(&format!("n{number}"), "balance", "stale=s-1 take started done=x", "");
        assert_eq!(send(program.platform, &request).expect("no complete response").status, 200);
    }
    let received = workers[0].received.lock().expect("mutex poisoned").clone();
    let stale = received.iter().filter(|line| line.starts_with("stale")).count();
    assert!(
        stale >= 6,
        "the worker got too few jobs: {stale} of them on stale connections, expected at least 6"
    );
    assert_eq!(program.shut_down_for_metrics()["served"], 40);
}

/// A job whose attempts fail on stale connections is retried on new connections. It used to spend its limited number of
/// attempts on one stale connection after another, within milliseconds.
#[test]
fn request_continues_over_new_connections_after_stale_one() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let program = DispatcherProcess::builder(&workers).start();
    for number in 0..20 {
        let request =
            job_request(&format!("o{number}"), "balance", "stale=s-1 stale=s-2 take started done=x", "");
        assert_eq!(
            send(program.platform, &request).expect("no complete response").status,
            200,
            "job {number}"
        );
    }
    assert!(program.shut_down_for_metrics()["resets"] > 0);
}
