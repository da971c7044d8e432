//! Attempts that do not reach their worker, or reach it over a connection that is dead.

use crate::job_count;
use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::net::TcpListener;

/// A job that cannot be connected to its worker is served by another one.
#[test]
fn retries_elsewhere_on_connect_failure() {
    let dead = FakeWorker::start("s-0");
    let closed_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let closed = closed_listener.local_addr().expect("an address");
    drop(closed_listener);
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(&[worker])
        .configure(|config| {
            let entry = site::endpoint_entry(&dead.name, &closed.to_string(), "up");
            config["known"]["instances"].as_array_mut().expect("a list").push(entry);
        })
        .start();
    for number in 0..6 {
        let request = job_request(&format!("c{number}"), "redeem", "take started done=x", "");
        assert_eq!(send(program.platform, &request).expect("an answer").status, 200);
    }
}

/// A connection that fell silent, of a worker that lives: its jobs were waited for until their deadlines.
#[test]
fn retries_elsewhere_if_attempt_is_not_accepted() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let without_hedging = |config: &mut Value| config["settings"]["Limits"]["SecondCopies"] = json!(false);
    let program = DispatcherProcess::builder(&workers).configure(without_hedging).start();
    // On a machine that is very busy the other one may not accept it in time either: then another job shows it.
    let served_elsewhere = (0..30).any(|number| {
        let id = format!("m{number}");
        let request = job_request(&id, "balance", "mute=s-1 take started done=x", "");
        let status = send(program.platform, &request).expect("an answer").status;
        status == 200 && workers.iter().all(|worker| worker.has_received(&id))
    });
    assert!(served_elsewhere);
    let metrics = program.shut_down_for_metrics();
    assert!(metrics["untaken"] >= 1 && metrics["broken_invariants"] == 0, "{metrics:?}");
}

/// A job that is unsafe to repeat gained nothing by being given up after 150 ms: nobody else could have it.
#[test]
fn waits_for_non_idempotent_attempt_until_client_timeout() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker))
        .configure(|config| {
            config["settings"]["Grades"][1]["Semantics"] = json!("side_effect");
        })
        .start();
    let request = job_request("k0", "redeem", "pause=700 take started done=x", "X-Time-Left-Ms: 15000\r\n");
    assert_eq!(send(program.platform, &request).expect("an answer").status, 200);
    assert_eq!((job_count(&worker), program.shut_down_for_metrics()["untaken"]), (1, 0));
}

/// Kept connections that break under the next request show nothing of their worker. Each one used to count as a failure, so
/// that on a day of many the workers that could have served were ejected.
#[test]
fn stale_connections_do_not_count_as_worker_failures() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let program = DispatcherProcess::builder(&workers).start();
    for number in 0..40 {
        let request = job_request(&format!("n{number}"), "balance", "stale=s-1 take started done=x", "");
        assert_eq!(send(program.platform, &request).expect("an answer").status, 200);
    }
    let received = workers[0].received.lock().expect("a lock").clone();
    let stale = received.iter().filter(|line| line.starts_with("stale")).count();
    assert!(stale >= 6, "it went on getting jobs, every second of them on a stale connection: {stale}");
    assert_eq!(program.shut_down_for_metrics()["served"], 40);
}

/// A job whose attempts meet stale connections is served over new ones. Its few attempts used to go on one stale connection after the other, within milliseconds.
#[test]
fn request_continues_over_new_connections_after_stale_one() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let program = DispatcherProcess::builder(&workers).start();
    for number in 0..20 {
        let request =
            job_request(&format!("o{number}"), "balance", "stale=s-1 stale=s-2 take started done=x", "");
        assert_eq!(send(program.platform, &request).expect("an answer").status, 200, "job {number}");
    }
    assert!(program.shut_down_for_metrics()["resets"] > 0);
}
