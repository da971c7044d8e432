//! Changes of the endpoint list, and one that must not be believed.

use crate::{assert_served, job_count};
use mothproxy_testkit::*;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Starts the program with only the first of these workers on the list that it knows: the others get a job only once a list of
/// discovery names them.
fn start_knowing_first(workers: &[Arc<FakeWorker>], discovery: &FakeDiscovery) -> DispatcherProcess {
    DispatcherProcess::builder(workers)
        .discovery(discovery.address)
        .configure(|config| config["known"]["instances"] = json!([workers[0].endpoint_entry("up")]))
        .start()
}

fn wait_for_watch(discovery: &FakeDiscovery) {
    wait_until("a watch", || discovery.calls.load(Ordering::SeqCst) > 0);
}

/// A worker that drains by a change of the list gets no more jobs; bad lines on the watch change nothing, and a watch that is closed
/// is opened again.
#[test]
fn drained_worker_gets_no_jobs_and_closed_watch_reopens() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let discovery = FakeDiscovery::start(site::snapshot(1, &[old.endpoint_entry("up")]));
    let program = start_knowing_first(&[old.clone(), new.clone()], &discovery);
    wait_for_watch(&discovery);
    // The list has only the old one. It drains, the new one comes up; bad lines between change nothing.
    let entries = [old.endpoint_entry("draining"), new.endpoint_entry("up")];
    let after = site::snapshot(1, &entries);
    let change = site::delta(2, &entries);
    discovery.push_change("this is no list", after.clone());
    discovery.push_change(&change.to_string(), after);
    let mut number = 0;
    while job_count(&new) == 0 {
        assert_served(&program, &format!("g{number}"));
        number += 1;
    }
    let before = job_count(&old);
    for number in 0..10 {
        assert_served(&program, &format!("h{number}"));
    }
    assert_eq!(job_count(&old), before, "the old one drains");
    let calls = discovery.calls.load(Ordering::SeqCst);
    discovery.close_watches();
    wait_until("another watch", || discovery.calls.load(Ordering::SeqCst) > calls);
    assert_eq!(program.shut_down_for_metrics()["bad_lists"], 1);
}

/// Discovery that has lost its table says that there is nobody: no dispatcher may believe that, or the whole fleet stops.
#[test]
fn ignores_empty_full_list() {
    let (worker, other) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let discovery = FakeDiscovery::start(site::snapshot(1, &[worker.endpoint_entry("up")]));
    let program = start_knowing_first(&[worker.clone(), other.clone()], &discovery);
    wait_for_watch(&discovery);
    let empty = site::snapshot(1, &[]);
    let change = site::delta(2, &[other.endpoint_entry("up")]);
    discovery.push_change(&empty.to_string(), empty.clone());
    discovery.push_change(&change.to_string(), empty);
    let mut requests = 0;
    let mut serve_next = || {
        assert_served(&program, &format!("e{requests}"));
        requests += 1;
    };
    wait_until("the other one has a job", || {
        serve_next();
        job_count(&other) > 0
    });
    let before = job_count(&worker);
    wait_until("the first one still has jobs", || {
        serve_next();
        job_count(&worker) > before
    });
    let metrics = program.shut_down_for_metrics();
    assert!(metrics["bad_lists"] >= 1 && metrics["workers"] == 2, "{metrics:?}");
}
