//! Tests of hot restart: a second process takes over from a running one. No client is rejected, no status callback is lost, and
//! no request id is open twice.

use mothproxy_testkit::*;
use serde_json::json;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// A temporary directory that both processes share, as on the platform.
struct SharedDirectory(PathBuf);

impl SharedDirectory {
    fn new(name: &str) -> SharedDirectory {
        let path = std::env::temp_dir().join(format!("mothproxy-up-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("cannot create the temporary directory");
        SharedDirectory(path)
    }
}

impl Drop for SharedDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn start_in(directory: &Path, workers: &[Arc<FakeWorker>], listen: &str) -> DispatcherProcess {
    DispatcherProcess::builder(workers)
        .event_streams(true)
        .temp_dir(directory)
        .configure(|config| {
            config["listen"] = json!(listen);
            config["admin_addr"] = json!("127.0.0.1:0");
        })
        .start()
}

fn start_successor(
    directory: &SharedDirectory,
    workers: &[Arc<FakeWorker>],
    predecessor: &DispatcherProcess,
) -> DispatcherProcess {
    let successor = start_in(&directory.0, workers, &predecessor.platform.to_string());
    assert_eq!(
        successor.platform, predecessor.platform,
        "the successor has not inherited the listening socket"
    );
    successor
}

fn ready_status(process: &DispatcherProcess) -> u16 {
    process.call_admin("GET", "/control/ready").status
}

fn wait_until_arrived(worker: &FakeWorker, jobs: u64) {
    wait_until("the jobs arrive at the worker", || worker.job_count.load(Ordering::SeqCst) == jobs);
}

/// Without a handover, the second process cannot listen and ends, or the clients of the first lose their connections.
#[test]
fn successor_takes_over_connections_and_jobs() {
    let (directory, worker) = (SharedDirectory::new("all"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let predecessor = start_in(&directory.0, workers, "127.0.0.1:0");
    let (platform, sse) = (predecessor.platform, predecessor.sse.expect("no SSE listener"));
    let mut idle = connect(platform);
    idle.write_all(simple_job("a0").as_bytes()).expect("write failed");
    assert_eq!(read_reply(&mut idle).expect("no complete response").status, 200);
    let request = job_request("a1", "redeem", "take started done=half", "");
    let (first, rest) = request.split_at(request.len() - 9);
    let mut partial = connect(platform);
    partial.write_all(first.as_bytes()).expect("write failed");
    let mut chunked = connect(platform);
    let head = job_request("a2", "redeem", "", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    chunked.write_all(format!("{head}5\r\ntake \r\n").as_bytes()).expect("write failed");
    let mut waiting = connect(platform);
    let body = "take started wait=all running=0.5 done=kept";
    waiting.write_all(job_request("b0", "redeem", body, "").as_bytes()).expect("write failed");
    let mut stream = connect(sse);
    let accept = "Accept: text/event-stream\r\n";
    stream.write_all(job_request("b1", "redeem", body, accept).as_bytes()).expect("write failed");
    wait_until_arrived(&worker, 3);
    let successor = start_successor(&directory, workers, &predecessor);
    assert_eq!((ready_status(&successor), ready_status(&predecessor)), (200, 503));
    // A request id that is open in one process is a duplicate in the other too.
    let duplicate = send(platform, &job_request("b0", "redeem", "take started done=twice", ""))
        .expect("no complete response");
    assert_eq!(duplicate.status, 409);
    predecessor.terminate();
    worker.open_gate("all");
    assert_eq!(read_reply(&mut waiting).expect("no complete response").body, "kept");
    let streamed = read_reply(&mut stream).expect("no complete response to the stream request").body;
    assert!(streamed.contains("progress") && streamed.matches("event: done").count() == 1, "{streamed}");
    idle.write_all(job_request("c0", "balance", "take started done=y", "").as_bytes()).expect("write failed");
    assert_eq!(read_reply(&mut idle).expect("no complete response on the same connection").body, "y");
    partial.write_all(rest.as_bytes()).expect("write failed");
    assert_eq!(read_reply(&mut partial).expect("no complete response").body, "half");
    chunked.write_all(b"13\r\nstarted done=chunks\r\n0\r\n\r\n").expect("write failed");
    assert_eq!(read_reply(&mut chunked).expect("no complete response").body, "chunks");
    let (is_clean, log) = predecessor.wait_for_exit();
    assert!(is_clean && log.iter().any(|line| line == "shutdown complete open=0"), "{log:?}");
    // Each job was sent to the worker once, including the jobs that were in progress during the handover.
    for id in ["a0", "a1", "a2", "b0", "b1", "c0"] {
        let sent = worker
            .received
            .lock()
            .expect("mutex poisoned")
            .iter()
            .filter(|line| line.contains(&format!(" {id} ")))
            .count();
        assert_eq!(sent, 1, "requests for job {id}");
    }
    let metrics = successor.shut_down_for_metrics();
    assert_eq!((metrics["open"], metrics["failed"], metrics["broken_invariants"]), (0, 0, 0));
}

/// A request with an attempt in flight stays in the predecessor, but its status callbacks arrive at the successor. The successor
/// must forward them.
#[test]
fn forwards_status_callbacks_to_process_that_holds_job() {
    let (directory, worker) = (SharedDirectory::new("news"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let predecessor = start_in(&directory.0, workers, "127.0.0.1:0");
    let mut client = connect(predecessor.platform);
    // The worker answers with an event stream, which only the process that opened the connection can read.
    client
        .write_all(job_request("d0", "balance", "stream started wait=ever done=streamed", "").as_bytes())
        .expect("write failed");
    wait_until_arrived(&worker, 1);
    let successor = start_successor(&directory, workers, &predecessor);
    assert_eq!(ready_status(&successor), 200);
    let duplicate = send(successor.platform, &job_request("d0", "balance", "take started done=twice", ""))
        .expect("no complete response");
    assert_eq!(duplicate.status, 409, "a duplicate of a request that is open in the predecessor");
    let status_update =
        json!({"id": "d0", "from": "s-1", "state": "done", "result": "called back"}).to_string();
    let callback = format!(
        "POST /_jobs/news HTTP/1.1\r\nHost: n0\r\nContent-Length: {}\r\n\r\n{status_update}",
        status_update.len()
    );
    assert_eq!(send(successor.platform, &callback).expect("no complete response").status, 204);
    assert_eq!(read_reply(&mut client).expect("no complete response").body, "called back");
    assert_eq!(
        send(successor.platform, &callback).expect("no complete response").status,
        204,
        "a repeated callback"
    );
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0);
    assert_eq!(successor.shut_down_for_metrics()["broken_invariants"], 0);
}

/// If the successor is killed, the predecessor serves again. The socket file of a killed process does not stop a new process.
#[test]
fn continues_after_either_process_is_killed() {
    let (directory, worker) = (SharedDirectory::new("die"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let send_job = |to: &DispatcherProcess, id: &str| {
        send(to.platform, &simple_job(id)).expect("no complete response").status
    };
    let mut predecessor = start_in(&directory.0, workers, "127.0.0.1:0");
    let successor = start_successor(&directory, workers, &predecessor);
    assert_eq!(send_job(&successor, "e0"), 200);
    successor.signal("-KILL");
    predecessor.wait_for_log("hot restart: the successor has ended, serving again");
    assert_eq!((ready_status(&predecessor), send_job(&predecessor, "e1")), (200, 200));
    let third = start_successor(&directory, workers, &predecessor);
    assert_eq!(send_job(&third, "e2"), 200);
    predecessor.signal("-KILL");
    drop(predecessor);
    assert_eq!((ready_status(&third), send_job(&third, "e3")), (200, 200));
    third.signal("-KILL");
    let listen = third.platform.to_string();
    drop(third);
    assert!(
        std::fs::read_dir(&directory.0).expect("cannot read the directory").count() > 0,
        "the socket file of the killed process is gone"
    );
    let fourth = start_in(&directory.0, workers, &listen);
    assert_eq!((ready_status(&fourth), send_job(&fourth, "e4")), (200, 200));
}

/// A predecessor that does not answer the takeover request must neither delay the successor beyond the 6 s in which it must be
/// ready nor end it.
#[test]
fn replaces_predecessor_killed_before_handover() {
    let (directory, worker) = (SharedDirectory::new("mute"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let predecessor = start_in(&directory.0, workers, "127.0.0.1:0");
    let listen = predecessor.platform.to_string();
    predecessor.signal("-STOP"); // the stopped process neither answers nor frees its address
    let path = directory.0.clone();
    let (own_workers, own_listen) = (workers.to_vec(), listen.clone());
    let successor = std::thread::spawn(move || start_in(&path, &own_workers, &own_listen));
    std::thread::sleep(std::time::Duration::from_millis(300));
    drop(predecessor); // kills the process
    let successor = successor.join().expect("the successor did not start");
    assert_eq!((successor.platform.to_string(), ready_status(&successor)), (listen, 200));
    let request = simple_job("f0");
    assert_eq!(send(successor.platform, &request).expect("no complete response").status, 200);
}

/// The successor continues a drain that was started in the predecessor, and the predecessor can no longer end it.
#[test]
fn drain_survives_hot_restart() {
    let (directory, worker) = (SharedDirectory::new("drain"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let predecessor = start_in(&directory.0, workers, "127.0.0.1:0");
    let call = |process: &DispatcherProcess, action: &str| {
        process.call_admin("PUT", &format!("/control/{action}")).status
    };
    let up = |process: &DispatcherProcess| process.up_status();
    assert_eq!((call(&predecessor, "out-of-service"), up(&predecessor)), (200, 503));
    let successor = start_successor(&directory, workers, &predecessor);
    assert_eq!(up(&successor), 503);
    assert_eq!(
        (call(&predecessor, "in-service"), up(&successor)),
        (503, 503),
        "the predecessor must reject the call after the handover"
    );
    assert_eq!((call(&successor, "in-service"), up(&successor)), (200, 200));
}
