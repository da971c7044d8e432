//! What a process that has just started may send by: the list that it was started with may be older than all that counts as told.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;

fn ready(program: &DispatcherProcess) -> u16 {
    program.up_status()
}

fn serve(program: &DispatcherProcess, id: &str) -> u16 {
    send(program.platform, &simple_job(id)).expect("an answer").status
}

/// A process that knows `old` alone, asked or pushed, before a discovery that says nothing to the first calls, and then that
/// `old` drains and `new` is there.
fn restarted(
    mode: &str,
    silent: usize,
) -> (DispatcherProcess, Arc<FakeWorker>, Arc<FakeWorker>, Arc<FakeDiscovery>) {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let list = site::snapshot(2, &[old.endpoint_entry("draining"), new.endpoint_entry("up")]);
    let discovery = FakeDiscovery::start(list.clone());
    discovery.script_watches(&vec![ScriptedResponse::Hold; silent], list);
    let program = DispatcherProcess::builder(std::slice::from_ref(&old))
        .discovery(discovery.address)
        .configure(|config| {
            config["settings"]["Discovery"] = json!(mode);
            config["settings"]["Obligations"]["AskWithinMs"] = json!(80_000.0);
        })
        .start();
    new.set_callback_address(program.platform);
    wait_until("a call", || discovery.calls.load(Ordering::SeqCst) > 0);
    (program, old, new, discovery)
}

/// On a day on which a zone is lost for 18 s, with its dispatchers, these come back with the list of before. They sent by it at
/// once, before discovery had answered their first call, to workers that had been gone for 15 s and had just come up again.
#[test]
fn sends_nothing_by_previous_list_until_discovery_answers() {
    let (program, old, new, _discovery) = restarted("on_request", 1);
    assert_eq!(ready(&program), 503, "a front sends its clients elsewhere meanwhile");
    let served = (0..5).map(|n| serve(&program, &format!("a{n}"))).collect::<Vec<_>>();
    assert_eq!(served, [200; 5], "they wait for the list");
    assert_eq!((old.job_count.load(Ordering::SeqCst), new.job_count.load(Ordering::SeqCst)), (0, 5));
    assert_eq!(ready(&program), 200);
}

/// On a release day most dispatchers are killed and come back within a second: while each waited for discovery, those that were left
/// turned a seventh of all jobs away. A list with a worker that started just now is as new as that, and what it lacks does not count yet;
/// once it does, nothing more is sent by it until discovery speaks.
#[test]
fn uses_recent_list_until_it_may_be_outdated() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let list = site::snapshot(2, &[old.endpoint_entry("draining"), new.endpoint_entry("up")]);
    let discovery = FakeDiscovery::start(list.clone());
    discovery.script_watches(&vec![ScriptedResponse::Hold; 50], list.clone());
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    let program = DispatcherProcess::builder(std::slice::from_ref(&old))
        .discovery(discovery.address)
        .configure(|config| {
            // 2 s of the 6 are left.
            config["known"]["instances"][0]["startedAtMs"] = json!((unix.as_millis() - 4_000) as u64);
            config["settings"]["Obligations"]["AskWithinMs"] = json!(80_000.0);
        })
        .start();
    new.set_callback_address(program.platform);
    assert_eq!((ready(&program), serve(&program, "a")), (200, 200));
    wait_until("it counts by now", || ready(&program) == 503);
    let before = old.job_count.load(Ordering::SeqCst);
    let mut client = connect(program.platform);
    client.write_all(simple_job("b").as_bytes()).expect("written");
    discovery.release_watches(&list);
    assert_eq!(read_reply(&mut client).expect("an answer").status, 200);
    assert_eq!((old.job_count.load(Ordering::SeqCst), new.job_count.load(Ordering::SeqCst)), (before, 1));
}

/// The list says nothing of its age where no worker has started lately. Others that heard of the process before this one's work do:
/// what the list lacks does not count yet where that was a moment ago, and may where it was longer.
#[test]
fn peers_decide_whether_previous_list_may_be_used() {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
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
            config["peers"] = json!(["127.8.0.1:9", peer.local_addr().expect("an address").to_string()]);
        })
        .start();
    let mut buf = [0; 256];
    let mut wait_for_datagram = |what: &dyn Fn(&[u8]) -> bool| loop {
        let (len, from) = peer.recv_from(&mut buf).expect("a datagram");
        if what(&buf[..len]) {
            return (from, buf[..len].to_vec());
        }
    };
    let (program_at, _) = wait_for_datagram(&|datagram| datagram == b"U");
    // So long ago that what it lacks may count; a word cut short, and one too long.
    for datagram in [&b"H\0\0\x0e\x10"[..], b"H\0\0\0", b"H\0\0\0\0\0"] {
        peer.send_to(datagram, program_at).expect("sent");
    }
    wait_for_datagram(&|datagram| datagram == b"U"); // they came before this was said again
    assert_eq!(ready(&program), 503, "3.6 s ago");
    peer.send_to(b"H\0\0\x03\xe8", program_at).expect("sent");
    wait_until("it serves: 1 s ago", || ready(&program) == 200);
    assert_eq!(serve(&program, "a"), 200);
    // The program says so as well: of a peer that spoke of its work, and none that only said that it serves.
    peer.send_to(b"U", program_at).expect("sent");
    peer.send_to(&[b'W', 0, 1, 2], program_at).expect("sent");
    peer.send_to(b"U", program_at).expect("sent");
    let (_, datagram) = wait_for_datagram(&|datagram| datagram.first() == Some(&b'H'));
    assert!(matches!(datagram[..], [b'H', 0, 0, _, _]), "{datagram:?}");
}

/// Discovery that can't be reached, or has had its time, keeps nobody from serving: the list of before is used as it is.
#[test]
fn serves_by_previous_list_if_discovery_is_unreachable() {
    let unheard = "endpoint list stale: ";
    for (mode, silent) in [("on_request", 50), ("pushed", 50)] {
        let (mut program, old, ..) = restarted(mode, silent);
        program.wait_for_log(unheard);
        assert_eq!((ready(&program), serve(&program, "a")), (200, 200), "{mode}");
        assert_eq!(old.job_count.load(Ordering::SeqCst), 1, "{mode}");
    }
    let old = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&old)).start(); // nobody listens there: it returns once that is found
    assert_eq!((ready(&program), serve(&program, "a")), (200, 200));
}

/// A list that names nobody says that discovery has lost its table, not that its workers are gone.
#[test]
fn serves_by_previous_list_if_discovery_lists_nobody() {
    let old = FakeWorker::start("s-1");
    let nobody: Value = site::snapshot(2, &[]);
    let discovery = FakeDiscovery::start(nobody);
    let program = DispatcherProcess::builder(std::slice::from_ref(&old)).discovery(discovery.address).start();
    wait_until("it is ready", || ready(&program) == 200);
    assert_eq!(serve(&program, "a"), 200);
}

/// A list that names only the dead keeps nobody from being ready once discovery has told another.
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
        wait_until("it is ready", || ready(&program) == 200);
        let mut n = 0;
        wait_until("a job is served", || {
            n += 1;
            serve(&program, &format!("a{n}")) == 200
        });
    }
}
