//! The program over real sockets: the platform listener, workers, discovery, invalid input, and graceful shutdown.

mod attempts;
mod configuration;
mod descriptor_budget;
mod endpoint_list;
mod requests;

use mothproxy_testkit::*;
use std::sync::Arc;
use std::sync::atomic::Ordering;

fn start_with_one_worker() -> (Arc<FakeWorker>, DispatcherProcess) {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    (worker, program)
}

/// The number of jobs that a worker has received.
fn job_count(worker: &FakeWorker) -> u64 {
    worker.job_count.load(Ordering::SeqCst)
}

/// Sends a simple job, which must be served.
fn assert_served(program: &DispatcherProcess, id: &str) {
    let reply = send(program.platform, &simple_job(id)).expect("no complete response");
    assert_eq!(reply.status, 200);
}
