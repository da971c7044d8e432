//! Discovery's lists, pushed or requested: their framing, their application to the endpoint table, and lost or silent watches.

mod case;
mod full_list;
mod table;
mod watch;

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// A poll interval, in milliseconds, with which the decision module's own retry delays are far longer than the time within which
/// a change must be notified.
const LONG_POLL_INTERVAL_MS: f64 = 80_000.0;

fn set_long_poll_interval(config: &mut Value) {
    config["settings"]["Obligations"]["AskWithinMs"] = json!(LONG_POLL_INTERVAL_MS);
}

/// A worker that the program knows at its start, and one that is only on discovery's list.
struct Workers {
    old: Arc<FakeWorker>,
    new: Arc<FakeWorker>,
}

impl Workers {
    fn start() -> Workers {
        Workers { old: FakeWorker::start("s-1"), new: FakeWorker::start("s-2") }
    }

    /// The list entries of both workers.
    fn entries(&self, old_lifecycle: &str, new_lifecycle: &str) -> [Value; 2] {
        [self.old.endpoint_entry(old_lifecycle), self.new.endpoint_entry(new_lifecycle)]
    }

    /// Starts the program with the old worker as known and with this discovery service.
    fn start_program(
        &self,
        discovery: &FakeDiscovery,
        configure: impl FnOnce(&mut Value),
    ) -> DispatcherProcess {
        let program = DispatcherProcess::builder(std::slice::from_ref(&self.old))
            .discovery(discovery.address)
            .configure(configure)
            .start();
        self.new.set_callback_address(program.platform);
        program
    }
}

fn job_count(worker: &FakeWorker) -> u64 {
    worker.job_count.load(Ordering::SeqCst)
}

/// The number of calls for a watch, including failed ones.
fn watch_calls(discovery: &FakeDiscovery) -> u64 {
    discovery.calls.load(Ordering::SeqCst)
}

fn wait_for_watch(discovery: &FakeDiscovery) {
    wait_until("a watch", || watch_calls(discovery) > 0);
}

/// Sends jobs, whose ids begin with this prefix, until this worker has got one more.
fn send_until_used(program: &DispatcherProcess, worker: &FakeWorker, id_prefix: &str) {
    let before = job_count(worker);
    let mut number = 0;
    wait_until(&format!("{} gets work", worker.name), || {
        number += 1;
        let request = simple_job(&format!("{id_prefix}{number}"));
        assert_eq!(send(program.platform, &request).expect("no complete response").status, 200);
        job_count(worker) > before
    });
}

/// Sends jobs until none of twenty in a row has gone to this worker. Returns how many jobs the worker has got by then.
fn send_until_unused(program: &DispatcherProcess, worker: &FakeWorker, other: &FakeWorker) -> u64 {
    let mut used = job_count(worker);
    let mut unused_in_a_row = 0;
    let mut number = 0;
    while unused_in_a_row < 20 {
        number += 1;
        send_until_used(program, other, &format!("u{number}-"));
        let jobs = job_count(worker);
        unused_in_a_row = if jobs == used { unused_in_a_row + 1 } else { 0 };
        used = jobs;
    }
    used
}
