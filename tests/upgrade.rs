//! A second process takes over from a running one: no client is turned away, no callback is lost, no id is open twice.

use mothproxy_testkit::*;
use serde_json::json;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// A folder that both processes share, as on the platform.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("mothproxy-up-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn start_in(folder: &Path, workers: &[Arc<FakeWorker>], listen: &str) -> DispatcherProcess {
    DispatcherProcess::builder(workers)
        .event_streams(true)
        .temp_dir(folder)
        .configure(|config| {
            config["listen"] = json!(listen);
            config["admin_addr"] = json!("127.0.0.1:0");
        })
        .start()
}

fn start_successor(
    folder: &Folder,
    workers: &[Arc<FakeWorker>],
    predecessor: &DispatcherProcess,
) -> DispatcherProcess {
    let program = start_in(&folder.0, workers, &predecessor.platform.to_string());
    assert_eq!(program.platform, predecessor.platform, "it has the listening socket");
    program
}

fn ready(program: &DispatcherProcess) -> u16 {
    program.call_admin("GET", "/control/ready").status
}

fn wait_until_arrived(worker: &FakeWorker, jobs: u64) {
    wait_until("the jobs arrive", || worker.job_count.load(Ordering::SeqCst) == jobs);
}

/// The second process could not listen and ended; and every client of the first lost its connection.
#[test]
fn successor_takes_over_connections_and_jobs() {
    let (folder, worker) = (Folder::new("all"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let predecessor = start_in(&folder.0, workers, "127.0.0.1:0");
    let (platform, sse) = (predecessor.platform, predecessor.sse.expect("the SSE front is on"));
    let mut idle = connect(platform);
    idle.write_all(simple_job("a0").as_bytes()).expect("written");
    assert_eq!(read_reply(&mut idle).expect("an answer").status, 200);
    let whole = job_request("a1", "redeem", "take started done=half", "");
    let (first, rest) = whole.split_at(whole.len() - 9);
    let mut half = connect(platform);
    half.write_all(first.as_bytes()).expect("written");
    let mut chunked = connect(platform);
    let head = job_request("a2", "redeem", "", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    chunked.write_all(format!("{head}5\r\ntake \r\n").as_bytes()).expect("written");
    let mut waiting = connect(platform);
    let body = "take started wait=all running=0.5 done=kept";
    waiting.write_all(job_request("b0", "redeem", body, "").as_bytes()).expect("written");
    let mut stream = connect(sse);
    let accept = "Accept: text/event-stream\r\n";
    stream.write_all(job_request("b1", "redeem", body, accept).as_bytes()).expect("written");
    wait_until_arrived(&worker, 3);
    let successor = start_successor(&folder, workers, &predecessor);
    assert_eq!((ready(&successor), ready(&predecessor)), (200, 503));
    // An id that is open is open for both, wherever it is now.
    let doubled =
        send(platform, &job_request("b0", "redeem", "take started done=twice", "")).expect("an answer");
    assert_eq!(doubled.status, 409);
    predecessor.terminate();
    worker.open_gate("all");
    assert_eq!(read_reply(&mut waiting).expect("an answer").body, "kept");
    let streamed = read_reply(&mut stream).expect("a stream").body;
    assert!(streamed.contains("progress") && streamed.matches("event: done").count() == 1, "{streamed}");
    idle.write_all(job_request("c0", "balance", "take started done=y", "").as_bytes()).expect("written");
    assert_eq!(read_reply(&mut idle).expect("an answer on the same connection").body, "y");
    half.write_all(rest.as_bytes()).expect("written");
    assert_eq!(read_reply(&mut half).expect("an answer").body, "half");
    chunked.write_all(b"13\r\nstarted done=chunks\r\n0\r\n\r\n").expect("written");
    assert_eq!(read_reply(&mut chunked).expect("an answer").body, "chunks");
    let (clean, log) = predecessor.wait_for_exit();
    assert!(clean && log.iter().any(|l| l == "shutdown complete open=0"), "{log:?}");
    // Each job went to the worker once, also those that were under way.
    for id in ["a0", "a1", "a2", "b0", "b1", "c0"] {
        let sent =
            worker.received.lock().expect("a lock").iter().filter(|l| l.contains(&format!(" {id} "))).count();
        assert_eq!(sent, 1, "{id}");
    }
    let metrics = successor.shut_down_for_metrics();
    assert_eq!((metrics["open"], metrics["failed"], metrics["broken_invariants"]), (0, 0, 0));
}

/// A session whose dispatch is not answered yet stays with the predecessor; the callbacks reach the successor.
#[test]
fn callbacks_reach_process_that_has_job() {
    let (folder, worker) = (Folder::new("news"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let predecessor = start_in(&folder.0, workers, "127.0.0.1:0");
    let mut streams = connect(predecessor.platform);
    // The worker answers by a stream of events, which only the process that opened it can read.
    streams
        .write_all(job_request("d0", "balance", "stream started wait=ever done=streamed", "").as_bytes())
        .expect("written");
    wait_until_arrived(&worker, 1);
    let successor = start_successor(&folder, workers, &predecessor);
    assert_eq!(ready(&successor), 200);
    let doubled = send(successor.platform, &job_request("d0", "balance", "take started done=twice", ""))
        .expect("an answer");
    assert_eq!(doubled.status, 409, "it is open with the predecessor");
    let status_update =
        json!({"id": "d0", "from": "s-1", "state": "done", "result": "called back"}).to_string();
    let call = format!(
        "POST /_jobs/news HTTP/1.1\r\nHost: n0\r\nContent-Length: {}\r\n\r\n{status_update}",
        status_update.len()
    );
    assert_eq!(send(successor.platform, &call).expect("an answer").status, 204);
    assert_eq!(read_reply(&mut streams).expect("an answer").body, "called back");
    assert_eq!(send(successor.platform, &call).expect("an answer").status, 204, "a repeat changes nothing");
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0);
    assert_eq!(successor.shut_down_for_metrics()["broken_invariants"], 0);
}

/// If the new version dies, the old one goes on; a socket file that a process left behind is no process.
#[test]
fn survives_death_of_either_process() {
    let (folder, worker) = (Folder::new("die"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let send_job =
        |to: &DispatcherProcess, id: &str| send(to.platform, &simple_job(id)).expect("an answer").status;
    let mut predecessor = start_in(&folder.0, workers, "127.0.0.1:0");
    let successor = start_successor(&folder, workers, &predecessor);
    assert_eq!(send_job(&successor, "e0"), 200);
    successor.signal("-KILL");
    predecessor.wait_for_log("hot restart: the successor has ended, serving again");
    assert_eq!((ready(&predecessor), send_job(&predecessor, "e1")), (200, 200));
    let third = start_successor(&folder, workers, &predecessor);
    assert_eq!(send_job(&third, "e2"), 200);
    predecessor.signal("-KILL");
    drop(predecessor);
    assert_eq!((ready(&third), send_job(&third, "e3")), (200, 200));
    third.signal("-KILL");
    let listen = third.platform.to_string();
    drop(third);
    assert!(std::fs::read_dir(&folder.0).expect("a folder").count() > 0, "its socket file is still there");
    let fourth = start_in(&folder.0, workers, &listen);
    assert_eq!((ready(&fourth), send_job(&fourth, "e4")), (200, 200));
}

/// A predecessor that is asked and says nothing must not hold the successor up for the 6 s it has, nor end it.
#[test]
fn replaces_predecessor_that_dies_before_transfer() {
    let (folder, worker) = (Folder::new("mute"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let predecessor = start_in(&folder.0, workers, "127.0.0.1:0");
    let listen = predecessor.platform.to_string();
    predecessor.signal("-STOP"); // it neither answers nor frees its address
    let path = folder.0.clone();
    let (many, at) = (workers.to_vec(), listen.clone());
    let successor = std::thread::spawn(move || start_in(&path, &many, &at));
    std::thread::sleep(std::time::Duration::from_millis(300));
    drop(predecessor); // killed
    let successor = successor.join().expect("it starts");
    assert_eq!((successor.platform.to_string(), ready(&successor)), (listen, 200));
    let text = simple_job("f0");
    assert_eq!(send(successor.platform, &text).expect("an answer").status, 200);
}

/// A drain belongs to the dispatcher, not to one of its processes.
#[test]
fn drain_survives_hot_restart() {
    let (folder, worker) = (Folder::new("drain"), FakeWorker::start("s-1"));
    let workers = std::slice::from_ref(&worker);
    let predecessor = start_in(&folder.0, workers, "127.0.0.1:0");
    let call = |program: &DispatcherProcess, what: &str| {
        program.call_admin("PUT", &format!("/control/{what}")).status
    };
    let up = |at: &DispatcherProcess| at.up_status();
    assert_eq!((call(&predecessor, "out-of-service"), up(&predecessor)), (200, 503));
    let successor = start_successor(&folder, workers, &predecessor);
    assert_eq!(up(&successor), 503);
    assert_eq!(
        (call(&predecessor, "in-service"), up(&successor)),
        (503, 503),
        "it is not the predecessor's any more"
    );
    assert_eq!((call(&successor, "in-service"), up(&successor)), (200, 200));
}
