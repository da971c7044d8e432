//! A second process takes over from a running one: no client is turned away, no call-back is lost, no id is open twice.

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

fn start_in(folder: &Path, nodes: &[Arc<FakeWorker>], listen: &str) -> DispatcherProcess {
    DispatcherProcess::builder(nodes)
        .event_streams(true)
        .temp_dir(folder)
        .configure(|config| {
            config["listen"] = json!(listen);
            config["admin_addr"] = json!("127.0.0.1:0");
        })
        .start()
}

fn successor(folder: &Folder, nodes: &[Arc<FakeWorker>], elder: &DispatcherProcess) -> DispatcherProcess {
    let program = start_in(&folder.0, nodes, &elder.platform.to_string());
    assert_eq!(program.platform, elder.platform, "it has the listening socket");
    program
}

fn ready(program: &DispatcherProcess) -> u16 {
    let call = "GET /control/ready HTTP/1.1\r\nHost: n0\r\n\r\n";
    send(program.admin.expect("a second address"), call).expect("an answer").status
}

fn arrived(node: &FakeWorker, jobs: u64) {
    wait_until("the jobs arrive", || node.job_count.load(Ordering::SeqCst) == jobs);
}

/// The second process could not listen and ended; and every client of the first lost its connection.
#[test]
fn a_second_process_takes_everything_over() {
    let (folder, node) = (Folder::new("all"), FakeWorker::start("s-1"));
    let nodes = std::slice::from_ref(&node);
    let elder = start_in(&folder.0, nodes, "127.0.0.1:0");
    let (platform, sse) = (elder.platform, elder.sse.expect("the SSE front is on"));
    let mut idle = connect(platform);
    idle.write_all(job_request("a0", "balance", "take started done=x", "").as_bytes()).expect("written");
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
    arrived(&node, 3);
    let younger = successor(&folder, nodes, &elder);
    assert_eq!((ready(&younger), ready(&elder)), (200, 503));
    // An id that is open is open for both, wherever it is now.
    let doubled =
        send(platform, &job_request("b0", "redeem", "take started done=twice", "")).expect("an answer");
    assert_eq!(doubled.status, 409);
    elder.terminate();
    node.open_gate("all");
    assert_eq!(read_reply(&mut waiting).expect("an answer").body, "kept");
    let streamed = read_reply(&mut stream).expect("a stream").body;
    assert!(streamed.contains("progress") && streamed.matches("event: done").count() == 1, "{streamed}");
    idle.write_all(job_request("c0", "balance", "take started done=y", "").as_bytes()).expect("written");
    assert_eq!(read_reply(&mut idle).expect("an answer on the same connection").body, "y");
    half.write_all(rest.as_bytes()).expect("written");
    assert_eq!(read_reply(&mut half).expect("an answer").body, "half");
    chunked.write_all(b"13\r\nstarted done=chunks\r\n0\r\n\r\n").expect("written");
    assert_eq!(read_reply(&mut chunked).expect("an answer").body, "chunks");
    let (clean, log) = elder.wait_for_exit();
    assert!(clean && log.iter().any(|l| l == "stopped: open=0"), "{log:?}");
    // Each job went to the worker once, also those that were under way.
    for id in ["a0", "a1", "a2", "b0", "b1", "c0"] {
        let sent =
            node.received.lock().expect("a lock").iter().filter(|l| l.contains(&format!(" {id} "))).count();
        assert_eq!(sent, 1, "{id}");
    }
    let figures = younger.shut_down_for_metrics();
    assert_eq!((figures["open"], figures["failed"], figures["broken_invariants"]), (0, 0, 0));
}

/// A session whose dispatch is not answered yet stays with the elder; the call-backs reach the younger.
#[test]
fn call_backs_reach_the_process_that_has_the_job() {
    let (folder, node) = (Folder::new("news"), FakeWorker::start("s-1"));
    let nodes = std::slice::from_ref(&node);
    let elder = start_in(&folder.0, nodes, "127.0.0.1:0");
    let mut streams = connect(elder.platform);
    // The node answers by a stream of events, which only the process that opened it can read.
    streams
        .write_all(job_request("d0", "balance", "stream started wait=ever done=streamed", "").as_bytes())
        .expect("written");
    arrived(&node, 1);
    let younger = successor(&folder, nodes, &elder);
    assert_eq!(ready(&younger), 200);
    let doubled = send(younger.platform, &job_request("d0", "balance", "take started done=twice", ""))
        .expect("an answer");
    assert_eq!(doubled.status, 409, "it is open with the elder");
    let news = json!({"id": "d0", "from": "s-1", "state": "done", "result": "called back"}).to_string();
    let call =
        format!("POST /_jobs/news HTTP/1.1\r\nHost: n0\r\nContent-Length: {}\r\n\r\n{news}", news.len());
    assert_eq!(send(younger.platform, &call).expect("an answer").status, 204);
    assert_eq!(read_reply(&mut streams).expect("an answer").body, "called back");
    assert_eq!(send(younger.platform, &call).expect("an answer").status, 204, "a repeat changes nothing");
    elder.terminate();
    assert!(elder.wait_for_exit().0);
    assert_eq!(younger.shut_down_for_metrics()["broken_invariants"], 0);
}

/// If the new version dies, the old one goes on; a socket file that a process left behind is no process.
#[test]
fn either_process_may_die_midway() {
    let (folder, node) = (Folder::new("die"), FakeWorker::start("s-1"));
    let nodes = std::slice::from_ref(&node);
    let ask = |to: &DispatcherProcess, id: &str| {
        send(to.platform, &job_request(id, "balance", "take started done=x", "")).expect("an answer").status
    };
    let mut elder = start_in(&folder.0, nodes, "127.0.0.1:0");
    let younger = successor(&folder, nodes, &elder);
    assert_eq!(ask(&younger, "e0"), 200);
    younger.signal("-KILL");
    elder.wait_for_log("upgrade: the new process has ended; this one serves again");
    assert_eq!((ready(&elder), ask(&elder, "e1")), (200, 200));
    let third = successor(&folder, nodes, &elder);
    assert_eq!(ask(&third, "e2"), 200);
    elder.signal("-KILL");
    drop(elder);
    assert_eq!((ready(&third), ask(&third, "e3")), (200, 200));
    third.signal("-KILL");
    let listen = third.platform.to_string();
    drop(third);
    assert!(std::fs::read_dir(&folder.0).expect("a folder").count() > 0, "its socket file is still there");
    let fourth = start_in(&folder.0, nodes, &listen);
    assert_eq!((ready(&fourth), ask(&fourth, "e4")), (200, 200));
}

/// An elder that is asked and says nothing must not hold the younger up for the 6 s it has, nor end it.
#[test]
fn an_elder_that_ends_instead_of_handing_over_is_followed() {
    let (folder, node) = (Folder::new("mute"), FakeWorker::start("s-1"));
    let nodes = std::slice::from_ref(&node);
    let elder = start_in(&folder.0, nodes, "127.0.0.1:0");
    let listen = elder.platform.to_string();
    elder.signal("-STOP"); // it neither answers nor frees its address
    let path = folder.0.clone();
    let (many, at) = (nodes.to_vec(), listen.clone());
    let younger = std::thread::spawn(move || start_in(&path, &many, &at));
    std::thread::sleep(std::time::Duration::from_millis(300));
    drop(elder); // killed
    let younger = younger.join().expect("it starts");
    assert_eq!((younger.platform.to_string(), ready(&younger)), (listen, 200));
    let text = job_request("f0", "balance", "take started done=x", "");
    assert_eq!(send(younger.platform, &text).expect("an answer").status, 200);
}

/// A drain belongs to the dispatcher, not to one of its processes.
#[test]
fn a_drain_outlasts_an_upgrade() {
    let (folder, node) = (Folder::new("drain"), FakeWorker::start("s-1"));
    let nodes = std::slice::from_ref(&node);
    let elder = start_in(&folder.0, nodes, "127.0.0.1:0");
    let call = |program: &DispatcherProcess, what: &str| {
        let text = format!("PUT /control/{what} HTTP/1.1\r\nHost: n0\r\n\r\n");
        send(program.admin.expect("a second address"), &text).expect("an answer").status
    };
    let up = |at: &DispatcherProcess| {
        send(at.platform, "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n").expect("an answer").status
    };
    assert_eq!((call(&elder, "out-of-service"), up(&elder)), (200, 503));
    let younger = successor(&folder, nodes, &elder);
    assert_eq!(up(&younger), 503);
    assert_eq!((call(&elder, "in-service"), up(&younger)), (503, 503), "it is not the elder's any more");
    assert_eq!((call(&younger, "in-service"), up(&younger)), (200, 200));
}
