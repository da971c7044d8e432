//! The descriptor budget: which connections are closed, and which jobs are rejected, when descriptors are short.

use crate::assert_served;
use mothproxy_testkit::*;
use serde_json::json;
use std::io::Write;

/// Starts the program with one worker and a budget of 80 sockets.
fn start_with_few_sockets() -> DispatcherProcess {
    DispatcherProcess::builder(&[FakeWorker::start("s-1")])
        .configure(|config| config["limits"]["sockets"] = json!(80))
        .start()
}

/// When descriptors are short, idle connections are closed in favor of new connections with jobs.
#[test]
fn closes_idle_connections_when_descriptors_are_short() {
    let program = start_with_few_sockets();
    let idle: Vec<_> = (0..100).map(|_| connect(program.platform)).collect();
    for number in 0..5 {
        assert_served(&program, &format!("j{number}"));
    }
    wait_until("more than 70 of 100 idle connections are closed", || {
        idle.iter().filter(|connection| is_closed(connection)).count() > 70
    });
}

/// If no descriptor is left and none can be freed, further jobs are rejected before any attempt, and the others are answered.
#[test]
fn rejects_job_beyond_descriptor_limit() {
    const CLIENTS: usize = 32;
    let program = start_with_few_sockets();
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| connect(program.platform)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let request = job_request(&format!("k{number}"), "redeem", "take hang", "X-Time-Left-Ms: 3000\r\n");
        client.write_all(request.as_bytes()).expect("write failed");
    }
    let statuses: Vec<u16> =
        clients.iter_mut().map(|client| read_reply(client).expect("no complete response").status).collect();
    let unserved = statuses.iter().filter(|status| [503, 504].contains(*status)).count();
    assert_eq!(unserved, CLIENTS, "{statuses:?}");
    let metrics = program.shut_down_for_metrics();
    assert!(metrics["rejects"] > 0, "{metrics:?}");
    assert_eq!(metrics["taken"] + metrics["rejects"], CLIENTS as u64, "{metrics:?}");
    assert_eq!((metrics["open"], metrics["gone"]), (0, 0));
}
