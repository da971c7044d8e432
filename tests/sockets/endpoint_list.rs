//! Changes of the endpoint list, and an empty list, which is ignored.

use crate::{assert_served, job_count};
use mothproxy_testkit::*;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Starts the program with only the first of these workers in its configured list: the others get jobs only once discovery
/// lists them.
fn start_knowing_first(workers: &[Arc<FakeWorker>], discovery: &FakeDiscovery) -> DispatcherProcess {
    DispatcherProcess::builder(workers)
        .discovery(discovery.address)
        .configure(|config| config["known"]["instances"] = json!([workers[0].endpoint_entry("up")]))
        .start()
}

fn wait_for_watch(discovery: &FakeDiscovery) {
    wait_until("a watch is open", || discovery.calls.load(Ordering::SeqCst) > 0);
}

/// A worker that a change of the list marks as draining gets no more jobs. An invalid line on the watch changes nothing, and a
/// closed watch is reopened.
#[test]
fn drained_worker_gets_no_jobs_and_closed_watch_reopens() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let discovery = FakeDiscovery::start(site::snapshot(1, &[old.endpoint_entry("up")]));
    let program = start_knowing_first(&[old.clone(), new.clone()], &discovery);
    wait_for_watch(&discovery);
    // Only the old worker is listed so far. An invalid line comes first, then a change: the old worker drains, a new one is up.
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
    assert_eq!(job_count(&old), before, "job sent to a draining worker");
    let calls = discovery.calls.load(Ordering::SeqCst);
    discovery.close_watches();
    wait_until("the watch is reopened", || discovery.calls.load(Ordering::SeqCst) > calls);
    assert_eq!(program.shut_down_for_metrics()["bad_lists"], 1);
}

/// An empty full list means that discovery has lost its table. If dispatchers applied it, the whole fleet would stop serving.
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
    wait_until("the added worker gets a job", || {
        serve_next();
        job_count(&other) > 0
    });
    let before = job_count(&worker);
    wait_until("the first worker still gets jobs", || {
        serve_next();
        job_count(&worker) > before
    });
    let metrics = program.shut_down_for_metrics();
    assert!(metrics["bad_lists"] >= 1 && metrics["workers"] == 2, "{metrics:?}");
}
