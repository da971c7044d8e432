//! SIGHUP: a new configuration under a running program, and signals close together.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;

fn whole(workers: &[&Arc<FakeWorker>]) -> Value {
    let rows: Vec<Value> = workers.iter().map(|n| n.endpoint_entry("up")).collect();
    site::snapshot(1, &rows)
}

fn remove(object: &mut Value, key: &str) -> Option<Value> {
    object.as_object_mut().expect("an object").remove(key)
}

fn naming(program: &DispatcherProcess, discovery: &FakeDiscovery) -> String {
    let mut config = program.config.clone();
    config["discovery"] = json!(discovery.address.to_string());
    config.to_string()
}

fn serve_one(program: &DispatcherProcess, id: &str) {
    let reply = send(program.platform, &simple_job(id)).expect("an answer");
    assert_eq!(reply.status, 200);
}

/// After SIGHUP with another discovery the program follows that, and jobs under way are answered. SIGHUP used to end the program,
/// and what it had accepted was lost. `GW_DISCOVERY` still says the old address.
#[test]
fn reload_switches_discovery_and_keeps_open_jobs() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let first = FakeDiscovery::start(whole(&[&old]));
    let second = FakeDiscovery::start(whole(&[&new]));
    let mut program = DispatcherProcess::builder(std::slice::from_ref(&old))
        .discovery(first.address)
        .event_streams(true)
        .start();
    new.set_callback_address(program.platform);
    let request = |id| job_request(id, "redeem", "take started wait=moved done=kept", "");
    let mut plain = connect(program.platform);
    plain.write_all(request("a0").as_bytes()).expect("written");
    let mut stream = connect(program.sse.expect("the SSE listener is on"));
    stream.write_all(request("a1").as_bytes()).expect("written");
    wait_until("both jobs arrive", || old.job_count.load(Ordering::SeqCst) == 2);
    wait_until("a watch", || first.calls.load(Ordering::SeqCst) > 0);
    program.replace_config(&naming(&program, &second));
    program.signal("-HUP");
    assert_eq!(
        program.wait_for_log("configuration reloaded"),
        format!("configuration reloaded discovery={}", second.address)
    );
    wait_until("a watch of the new one", || second.calls.load(Ordering::SeqCst) > 0);
    // Versions of another service need not compare: everything is asked for.
    let request_lines = second.request_lines.lock().expect("a lock").clone();
    assert_eq!(request_lines, ["GET /discovery/hosts?stream=1&index=0 HTTP/1.1"]);
    let mut n = 0;
    while new.job_count.load(Ordering::SeqCst) == 0 {
        serve_one(&program, &format!("b{n}"));
        n += 1;
    }
    let before = old.job_count.load(Ordering::SeqCst);
    (0..5).for_each(|n| serve_one(&program, &format!("c{n}")));
    assert_eq!(old.job_count.load(Ordering::SeqCst), before, "the new list does not name it");
    // The old service may end its watches now: nothing of it counts, and the new one keeps its own.
    first.close_watches();
    let calls = first.calls.load(Ordering::SeqCst);
    old.open_gate("moved");
    for stream in [&mut plain, &mut stream] {
        assert_eq!(read_reply(stream).expect("an answer").body, "kept");
    }
    serve_one(&program, "d0");
    assert_eq!(first.calls.load(Ordering::SeqCst), calls);
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["open"], metrics["failed"], metrics["broken_invariants"]), (0, 0, 0));
}

/// A service may answer even a call from the start with changes: workers it does not know would stay for good.
#[test]
fn requests_full_list_from_new_discovery_that_sends_changes() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let first = FakeDiscovery::start(whole(&[&old]));
    let second = FakeDiscovery::start(site::delta(9, &[new.endpoint_entry("up")]));
    let mut program = DispatcherProcess::builder(std::slice::from_ref(&old)).discovery(first.address).start();
    program.replace_config(&naming(&program, &second));
    program.signal("-HUP");
    program.wait_for_log("configuration reloaded");
    let whole = "GET /discovery/hosts HTTP/1.1";
    wait_until("the whole list is asked for", || {
        second.request_lines.lock().expect("a lock").iter().any(|line| line == whole)
    });
}

/// A configuration that cannot be used is rejected with its reason; the old one stays, with its watch, and jobs are served.
#[test]
fn reload_of_bad_configuration_changes_nothing() {
    let worker = FakeWorker::start("s-1");
    let discovery = FakeDiscovery::start(whole(&[&worker]));
    discovery.start_heartbeats(); // else the watch is silent after 2.5 s, and asked for again
    let mut program =
        DispatcherProcess::builder(std::slice::from_ref(&worker)).discovery(discovery.address).start();
    wait_until("a watch", || discovery.calls.load(Ordering::SeqCst) > 0);
    let good = program.config.clone();
    let changed = |change: &dyn Fn(&mut Value)| {
        let mut config = good.clone();
        change(&mut config);
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), "not JSON"),
        (changed(&|c| c["discovery"] = json!("nowhere")), "discovery is not an address"),
        (changed(&|c| drop(c["settings"].take())), "settings"),
        (String::new(), "not JSON"),
        (good.to_string()[..good.to_string().len() / 2].to_owned(), "not JSON"),
        (changed(&|c| drop(remove(c, "seed"))), "seed is missing"),
        (changed(&|c| drop(remove(&mut c["settings"], "Limits"))), "settings.Limits is missing"),
        (changed(&|c| drop(remove(&mut c["settings"]["Limits"], "MaxAttempts"))), "MaxAttempts is missing"),
        (changed(&|c| drop(remove(&mut c["settings"]["Grades"][1], "DeadlineMs"))), "DeadlineMs is missing"),
        (changed(&|c| c["settings"]["Limits"]["MaxAttempts"] = json!(0)), "settings allow no attempt"),
        (changed(&|c| c["settings"]["Limits"]["MaxAttempts"] = json!(-3)), "settings allow no attempt"),
        (changed(&|c| c["settings"]["Grades"][0]["DeadlineMs"] = json!(0)), "not above 0"),
        (changed(&|c| c["settings"]["Grades"][1]["DeadlineMs"] = json!(-25000.0)), "not above 0"),
        (changed(&|c| c["settings"]["Grades"][1]["Name"] = json!("balance")), "one name"),
    ];
    for (n, (text, why)) in cases.into_iter().enumerate() {
        program.replace_config(&text);
        program.signal("-HUP");
        let line = program.wait_for_log("reload");
        let start = "reload rejected, keeping the old configuration error=";
        assert!(line.contains(why) && line.starts_with(start), "{why}: {line}");
        serve_one(&program, &format!("e{n}"));
    }
    std::fs::remove_file(&program.config_file).expect("it was there");
    program.signal("-HUP");
    assert!(program.wait_for_log("reload").contains("cannot read"));
    // The same file again names no other discovery: the watch stays, and the environment's address with it.
    program.replace_config(&good.to_string());
    program.signal("-HUP");
    assert_eq!(
        program.wait_for_log("configuration reloaded"),
        format!("configuration reloaded discovery={}", discovery.address)
    );
    serve_one(&program, "f0");
    assert_eq!(discovery.calls.load(Ordering::SeqCst), 1);
}

/// The program with the classes of the usual configuration, and clients on both listeners.
struct ClassesSite {
    workers: [Arc<FakeWorker>; 2],
    program: DispatcherProcess,
    platform: SocketAddr,
    sse: SocketAddr,
}

impl ClassesSite {
    fn start() -> ClassesSite {
        // Two, since one without a report yet is not given a third job beside two.
        let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
        let program = DispatcherProcess::builder(&workers)
            .event_streams(true)
            .configure(|config| config["admin_addr"] = json!("127.0.0.1:0"))
            .start();
        let sse = program.sse.expect("the SSE listener is on");
        ClassesSite { workers, platform: program.platform, sse, program }
    }

    /// The configuration without "balance", with "redeem" first and not to be repeated any more, and "check" as a new class.
    fn other_classes(&self) -> Value {
        let mut config = self.program.config.clone();
        let classes = config["settings"]["Grades"].as_array_mut().expect("a list");
        classes[0]["Name"] = json!("check");
        classes[1]["Semantics"] = json!("side_effect");
        classes.reverse();
        config["settings"]["Limits"]["MaxAttempts"] = json!(1);
        config
    }

    /// Jobs of two classes on both listeners, which run until the gate is open.
    fn start_jobs(&self) -> Vec<TcpStream> {
        const SCRIPT: &str = "take started wait=retuned done=kept";
        const ACCEPT: &str = "Accept: text/event-stream\r\n";
        let jobs =
            [(self.platform, "a0", "balance"), (self.sse, "a1", "balance"), (self.platform, "a2", "redeem")];
        let mut open = Vec::new();
        for (to, id, class) in jobs {
            let mut stream = connect(to);
            stream.write_all(job_request(id, class, SCRIPT, ACCEPT).as_bytes()).expect("written");
            open.push(stream);
        }
        wait_until("the jobs arrive", || {
            let received = self.workers.iter().map(|worker| worker.job_count.load(Ordering::SeqCst));
            received.sum::<u64>() == open.len() as u64
        });
        open
    }

    fn reload(&mut self, config: &str, expected_log: &str) {
        self.program.replace_config(config);
        self.program.signal("-HUP");
        self.program.wait_for_log(expected_log);
    }
}

/// The status of a job of this class.
fn job_status(to: SocketAddr, id: &str, class: &str) -> u16 {
    send(to, &job_request(id, class, "take started done=x", "")).expect("an answer").status
}

/// A new file may drop a class, add one and put them in another order: jobs under way keep their class, also where its name now
/// means something else. Such a file was refused.
#[test]
fn reload_changes_classes_under_open_jobs() {
    let mut site = ClassesSite::start();
    let (platform, sse) = (site.platform, site.sse);
    let before = site.program.config.to_string();
    let mut open = site.start_jobs();
    let other_classes = site.other_classes().to_string();
    site.reload(&other_classes, "configuration reloaded");
    site.workers.iter().for_each(|worker| worker.open_gate("retuned"));
    for stream in &mut open {
        let reply = read_reply(stream).expect("an answer");
        assert!(reply.status == 200 && reply.body.contains("kept"), "{}", reply.body);
    }
    for (number, to) in [platform, sse].into_iter().enumerate() {
        assert_eq!(job_status(to, &format!("b{number}"), "balance"), 400, "it has vanished");
        assert_eq!(job_status(to, &format!("c{number}"), "check"), 200, "it has appeared");
        assert_eq!(job_status(to, &format!("d{number}"), "redeem"), 200);
    }
    site.reload("{", "reload rejected");
    site.reload(&before, "configuration reloaded");
    assert_eq!((job_status(platform, "e0", "balance"), job_status(platform, "e1", "check")), (200, 400));
    let counters = site.program.call_admin("GET", "/control/counters").body;
    for expected in [
        "dispatcher.success.balance:3|c",
        "dispatcher.success.redeem:3|c",
        "dispatcher.success.check:2|c",
        "dispatcher.reconfig_ok:2|c",
        "dispatcher.reconfig_failed:1|c",
    ] {
        assert!(counters.lines().any(|line| line == expected), "{expected} in {counters}");
    }
}

/// Limits and settings of the new file count as well: with few descriptors, idle connections give way.
#[test]
fn reload_applies_limits_and_settings() {
    let worker = FakeWorker::start("s-1");
    let mut program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    let mut config = program.config.clone();
    config["limits"]["sockets"] = json!(80);
    config["settings"]["Grades"].as_array_mut().expect("a list").push(json!(
        {"Name": "check", "Semantics": "pure", "TargetMs": 250.0, "DeadlineMs": 7500.0, "Points": 1.0,
         "LateWorth": 1.0}));
    let request = |id| job_request(id, "check", "take started done=x", "");
    assert_eq!(send(program.platform, &request("g0")).expect("an answer").status, 400, "unknown so far");
    program.replace_config(&config.to_string());
    program.signal("-HUP");
    program.wait_for_log("configuration reloaded");
    assert_eq!(send(program.platform, &request("g1")).expect("an answer").status, 200);
    let idle: Vec<_> = (0..60).map(|_| connect(program.platform)).collect();
    serve_one(&program, "g2");
    wait_until("most of the idle ones are closed", || idle.iter().filter(|s| is_closed(s)).count() > 30);
}

/// Each signal raises its own flag: with one byte for both, the second would have been taken for the first.
#[test]
fn handles_both_of_two_signals_close_together() {
    for order in [["-HUP", "-TERM"], ["-TERM", "-HUP"]] {
        let worker = FakeWorker::start("s-1");
        let first = FakeDiscovery::start(whole(&[&worker]));
        let second = FakeDiscovery::start(whole(&[&worker]));
        let program =
            DispatcherProcess::builder(std::slice::from_ref(&worker)).discovery(first.address).start();
        let mut before = connect(program.platform);
        before
            .write_all(job_request("h0", "balance", "take started wait=told done=x", "").as_bytes())
            .expect("written");
        wait_until("a job arrives", || worker.job_count.load(Ordering::SeqCst) > 0);
        program.replace_config(&naming(&program, &second));
        order.iter().for_each(|signal| program.signal(signal));
        worker.open_gate("told");
        assert_eq!(read_reply(&mut before).expect("an answer").status, 200, "{order:?}");
        let (clean, log) = program.wait_for_exit();
        let has = |start: &str| log.iter().any(|line| line.starts_with(start));
        assert!(
            clean && has("configuration reloaded ") && has("shutdown complete open=0"),
            "{order:?}: {log:?}"
        );
    }
}

/// The fleet's bench makes no socket but TCP and UDP over IPv4 (STANDING, "In step with the bench"). The waker of
/// SIGHUP and SIGTERM was a pair of Unix sockets; a running program on the default settings now holds none.
#[test]
fn holds_no_unix_socket() {
    let worker = FakeWorker::start("u-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    serve_one(&program, "u0");
    let unix = std::fs::read_to_string("/proc/net/unix").expect("the kernel lists Unix sockets");
    let inodes: Vec<&str> = unix.lines().skip(1).filter_map(|line| line.split_whitespace().nth(6)).collect();
    let fds = std::fs::read_dir(format!("/proc/{}/fd", program.pid())).expect("its descriptors");
    let sockets: Vec<String> = fds
        .filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok())
        .filter_map(|link| Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect();
    assert!(!sockets.is_empty(), "the program listens on sockets");
    let held_sockets: Vec<&String> =
        sockets.iter().filter(|inode| inodes.contains(&inode.as_str())).collect();
    assert!(held_sockets.is_empty(), "Unix sockets held: {held_sockets:?} of {sockets:?}");
    program.signal("-HUP");
    serve_one(&program, "u1");
    program.terminate();
    let (clean, log) = program.wait_for_exit();
    assert!(clean && log.iter().any(|line| line.starts_with("configuration reloaded ")), "{log:?}");
}
