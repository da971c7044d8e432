//! Many concurrent jobs under faults: each gets exactly one final event.

use crate::client::{follow, start_with_event_streams, submit};
use mothproxy_testkit::*;
use std::sync::Arc;

/// Concurrent clients, each of which submits a number of jobs one after another.
#[derive(Clone, Copy)]
struct Load {
    clients: u64,
    jobs_each: u64,
}

impl Load {
    fn jobs(self) -> u64 {
        self.clients * self.jobs_each
    }

    /// Runs all clients. Each of them calls `run_job` for each of its jobs, with the numbers of the client and of the job and the
    /// client's random number generator. Returns the results of all calls.
    fn run(self, run_job: impl Fn(u64, u64, &mut fastrand::Rng) -> String + Sync) -> Vec<String> {
        let run_client = |client: u64| {
            let mut rng = fastrand::Rng::with_seed(client);
            (0..self.jobs_each).map(|job| run_job(client, job, &mut rng)).collect::<Vec<_>>()
        };
        let run_client = &run_client;
        std::thread::scope(|scope| {
            let threads: Vec<_> =
                (0..self.clients).map(|client| scope.spawn(move || run_client(client))).collect();
            threads.into_iter().flat_map(|thread| thread.join().expect("client thread panicked")).collect()
        })
    }
}

fn start_workers() -> Vec<Arc<FakeWorker>> {
    (0..4).map(|number| FakeWorker::start(&format!("s-{number}"))).collect()
}

/// Workers end their streams early, break off within an event, stall after an update, or report two ends, while the watchers
/// disconnect and resume: each job still gets one final event, in order, and none is left open.
#[test]
fn one_final_event_per_job_under_worker_faults() {
    const FAULTS: [&str; 8] = [
        "cut",
        "stream started cut",
        "stream started running=0.1 cut",
        "stream started running=0.2 half",
        "stream started running=0.3 hang",
        "stream started running=0.4 lost",
        "stream started running=0.5 pause=2 done=x cut",
        "stream started running=0.6 done=x failed",
    ];
    let load = Load { clients: 8, jobs_each: 16 };
    let workers = start_workers();
    let (program, sse) = start_with_event_streams(&workers);
    let final_events = load.run(|client, job, rng| {
        let fault = FAULTS[(client + job) as usize % FAULTS.len()];
        let location = submit(sse, &format!("k{client}-{job}"), fault, "X-Time-Left-Ms: 400\r\n");
        follow(sse, &location, rng)
    });
    let done = final_events.iter().filter(|name| *name == "done").count() as u64;
    assert!(done > 0 && done < load.jobs(), "{final_events:?}");
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["open"]), (load.jobs(), 0));
    let not_served = metrics["denied"] + metrics["failed"];
    assert_eq!((metrics["served"], not_served), (done, load.jobs() - done));
}

/// Several hundred jobs whose watchers disconnect and resume at random points: each job gets one final event, in order.
#[test]
fn one_final_event_per_job_under_client_disconnects() {
    const SCRIPT: &str = "take started running=0.1 pause=2 running=0.4 running=0.8 pause=1 done=x";
    let load = Load { clients: 12, jobs_each: 25 };
    let workers = start_workers();
    let (program, sse) = start_with_event_streams(&workers);
    let final_events = load.run(|client, job, rng| {
        let location = submit(sse, &format!("j{client}-{job}"), SCRIPT, "");
        follow(sse, &location, rng)
    });
    assert_eq!(final_events.len() as u64, load.jobs());
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["open"]), (load.jobs(), 0));
    let ended = metrics["served"] + metrics["denied"] + metrics["failed"] + metrics["gone"];
    assert_eq!(ended, load.jobs());
}
