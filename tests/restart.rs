//! Which endpoint list a process uses right after its start. The list in its configuration may be so old that it lacks
//! changes that the process is already required to follow.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;

fn readiness_status(program: &DispatcherProcess) -> u16 {
    program.up_status()
}

fn job_status(program: &DispatcherProcess, id: &str) -> u16 {
    send(program.platform, &simple_job(id)).expect("no complete response").status
}

/// Starts a process whose configuration lists only the worker `old`, in a discovery mode of the settings. The discovery service
/// leaves the first `held_watches` watches unanswered; later ones get a list in which `old` drains and the worker `new` is up.
/// Returns the process, `old`, `new` and the service.
fn start_with_previous_list(
    mode: &str,
    held_watches: usize,
) -> (DispatcherProcess, Arc<FakeWorker>, Arc<FakeWorker>, Arc<FakeDiscovery>) {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let list = site::snapshot(2, &[old.endpoint_entry("draining"), new.endpoint_entry("up")]);
    let discovery = FakeDiscovery::start(list.clone());
    discovery.script_watches(&vec![ScriptedResponse::Hold; held_watches], list);
    let program = DispatcherProcess::builder(std::slice::from_ref(&old))
        .discovery(discovery.address)
        .configure(|config| {
            config["settings"]["Discovery"] = json!(mode);
            config["settings"]["Obligations"]["AskWithinMs"] = json!(80_000.0);
        })
        .start();
    new.set_callback_address(program.platform);
    wait_until("discovery is called", || discovery.calls.load(Ordering::SeqCst) > 0);
    (program, old, new, discovery)
}

/// Guards against sending jobs by a stale list after a zone outage: the zone's dispatchers restarted after 18 s with their
/// previous lists and, before discovery had answered their first call, sent jobs to workers that had been gone for 15 s and had
/// just restarted.
#[test]
fn sends_nothing_by_previous_list_until_discovery_answers() {
    let (program, old, new, _discovery) = start_with_previous_list("on_request", 1);
    assert_eq!(readiness_status(&program), 503, "ready before discovery answered");
    let statuses = (0..5).map(|n| job_status(&program, &format!("a{n}"))).collect::<Vec<_>>();
    assert_eq!(statuses, [200; 5], "jobs must wait for the list");
    assert_eq!((old.job_count.load(Ordering::SeqCst), new.job_count.load(Ordering::SeqCst)), (0, 5));
    assert_eq!(readiness_status(&program), 200);
}

/// In a release most dispatchers are killed and restart within a second. While each of them waited for discovery, the remaining
/// ones rejected a seventh of all jobs. So a list that contains the recent start of a worker is used: it is at least as recent
/// as that start, and changes after it need not be followed yet. Once they must be, the list is not used until discovery answers.
#[test]
fn uses_recent_list_until_it_may_be_outdated() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let list = site::snapshot(2, &[old.endpoint_entry("draining"), new.endpoint_entry("up")]);
    let discovery = FakeDiscovery::start(list.clone());
    discovery.script_watches(&vec![ScriptedResponse::Hold; 50], list.clone());
    let unix =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("system clock before 1970");
    let program = DispatcherProcess::builder(std::slice::from_ref(&old))
        .discovery(discovery.address)
        .configure(|config| {
            // Changes must be followed after 6 s; 2 s of them are left.
            config["known"]["instances"][0]["startedAtMs"] = json!((unix.as_millis() - 4_000) as u64);
            config["settings"]["Obligations"]["AskWithinMs"] = json!(80_000.0);
        })
        .start();
    new.set_callback_address(program.platform);
    assert_eq!((readiness_status(&program), job_status(&program, "a")), (200, 200));
    wait_until("the previous list may be outdated", || readiness_status(&program) == 503);
    let before = old.job_count.load(Ordering::SeqCst);
    let mut client = connect(program.platform);
    client.write_all(simple_job("b").as_bytes()).expect("write failed");
    discovery.release_watches(&list);
    assert_eq!(read_reply(&mut client).expect("no complete response").status, 200);
    assert_eq!((old.job_count.load(Ordering::SeqCst), new.job_count.load(Ordering::SeqCst)), (before, 1));
}

/// A list without a recently started worker does not show its age. Peers then report how long ago they last received a message
/// from the previous process at the same place. If that was recent, the list may be used; if it was longer ago, changes that the
/// list lacks may already have to be followed.
#[test]
fn peers_decide_whether_previous_list_may_be_used() {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
    let old = FakeWorker::start("s-1");
    let list = site::snapshot(2, &[old.endpoint_entry("up")]);
    let discovery = FakeDiscovery::start(list.clone());
    discovery.script_watches(&vec![ScriptedResponse::Hold; 50], list.clone());
    let program = DispatcherProcess::builder(std::slice::from_ref(&old))
        .discovery(discovery.address)
        .configure(|config| {
            config["settings"]["Obligations"]["AskWithinMs"] = json!(80_000.0);
            config["settings"]["Siblings"] = json!(2);
            config["settings"]["Limits"]["Peers"] = json!(true);
            config["settings"]["Limits"]["Probing"] = json!(true);
            config["peer_listen"] = json!("127.0.0.1:0");
            config["peers"] =
                json!(["127.8.0.1:9", peer.local_addr().expect("no local address").to_string()]);
        })
        .start();
    let mut buf = [0; 256];
    let mut wait_for_datagram = |matches: &dyn Fn(&[u8]) -> bool| loop {
        let (len, from) = peer.recv_from(&mut buf).expect("no datagram");
        if matches(&buf[..len]) {
            return (from, buf[..len].to_vec());
        }
    };
    let (program_address, _) = wait_for_datagram(&|datagram| datagram == b"U");
    // 3.6 s ago, which is too long; a truncated datagram; one that is too long.
    for datagram in [&b"H\0\0\x0e\x10"[..], b"H\0\0\0", b"H\0\0\0\0\0"] {
        peer.send_to(datagram, program_address).expect("cannot send the datagram");
    }
    wait_for_datagram(&|datagram| datagram == b"U"); // sent again after the three datagrams were received
    assert_eq!(readiness_status(&program), 503, "last message 3.6 s ago");
    peer.send_to(b"H\0\0\x03\xe8", program_address).expect("cannot send the datagram");
    wait_until("the program is ready, with the last message 1 s ago", || readiness_status(&program) == 200);
    assert_eq!(job_status(&program, "a"), 200);
    // The program itself answers a `U` with a report only to a peer from which it has received a message before.
    peer.send_to(b"U", program_address).expect("cannot send the datagram");
    peer.send_to(&[b'W', 0, 1, 2], program_address).expect("cannot send the datagram");
    peer.send_to(b"U", program_address).expect("cannot send the datagram");
    let (_, datagram) = wait_for_datagram(&|datagram| datagram.first() == Some(&b'H'));
    assert!(matches!(datagram[..], [b'H', 0, 0, _, _]), "{datagram:?}");
}

/// If discovery is unreachable or does not answer in time, the previous list is used as it is.
#[test]
fn serves_by_previous_list_if_discovery_is_unreachable() {
    let stale_list_line = "endpoint list stale: ";
    for (mode, held_watches) in [("on_request", 50), ("pushed", 50)] {
        let (mut program, old, ..) = start_with_previous_list(mode, held_watches);
        program.wait_for_log(stale_list_line);
        assert_eq!((readiness_status(&program), job_status(&program, "a")), (200, 200), "{mode}");
        assert_eq!(old.job_count.load(Ordering::SeqCst), 1, "{mode}");
    }
    let old = FakeWorker::start("s-1");
    // Nothing listens at the address of discovery: `start` returns once the program has noticed that.
    let program = DispatcherProcess::builder(std::slice::from_ref(&old)).start();
    assert_eq!((readiness_status(&program), job_status(&program, "a")), (200, 200));
}

/// An empty list from discovery means that it has lost its table, not that all workers are gone.
#[test]
fn serves_by_previous_list_if_discovery_lists_nobody() {
    let old = FakeWorker::start("s-1");
    let empty_list: Value = site::snapshot(2, &[]);
    let discovery = FakeDiscovery::start(empty_list);
    let program = DispatcherProcess::builder(std::slice::from_ref(&old)).discovery(discovery.address).start();
    wait_until("the program is ready", || readiness_status(&program) == 200);
    assert_eq!(job_status(&program, "a"), 200);
}

/// A previous list of only dead workers does not prevent readiness once discovery has sent another list.
#[test]
fn serves_once_list_replaces_dead_endpoints() {
    for mode in ["on_request", "pushed"] {
        let new = FakeWorker::start("s-2");
        let list = site::snapshot(2, &[new.endpoint_entry("up")]);
        let discovery = FakeDiscovery::start(list.clone());
        discovery.script_watches(&[ScriptedResponse::Hold, ScriptedResponse::Hold], list);
        let program = DispatcherProcess::builder(&[])
            .discovery(discovery.address)
            .configure(|config| {
                config["settings"]["Discovery"] = json!(mode);
                config["known"]["instances"] = json!([site::endpoint_entry("s-1", "127.0.0.1:1", "up")]);
            })
            .start();
        new.set_callback_address(program.platform);
        wait_until("the program is ready", || readiness_status(&program) == 200);
        let mut n = 0;
        wait_until("a job is served", || {
            n += 1;
            job_status(&program, &format!("a{n}")) == 200
        });
    }
}
