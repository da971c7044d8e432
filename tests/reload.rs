//! Configuration reload (SIGHUP) in a running program, and signals in quick succession.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;

fn full_list(workers: &[&Arc<FakeWorker>]) -> Value {
    let entries: Vec<Value> = workers.iter().map(|worker| worker.endpoint_entry("up")).collect();
    site::snapshot(1, &entries)
}

fn remove(object: &mut Value, key: &str) -> Option<Value> {
    object.as_object_mut().expect("not an object").remove(key)
}

/// The program's configuration with this discovery service instead of its own.
fn config_with_discovery(program: &DispatcherProcess, discovery: &FakeDiscovery) -> String {
    let mut config = program.config.clone();
    config["discovery"] = json!(discovery.address.to_string());
    config.to_string()
}

fn serve_one(program: &DispatcherProcess, id: &str) {
    let reply = send(program.platform, &simple_job(id)).expect("no complete response");
    assert_eq!(reply.status, 200);
}

/// After SIGHUP with another discovery service in the configuration the program watches that service, and open jobs are
/// answered, although `GW_DISCOVERY` still has the old address. SIGHUP used to terminate the program, and accepted jobs were
/// lost.
#[test]
fn reload_switches_discovery_and_keeps_open_jobs() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let first = FakeDiscovery::start(full_list(&[&old]));
    let second = FakeDiscovery::start(full_list(&[&new]));
    let mut program = DispatcherProcess::builder(std::slice::from_ref(&old))
        .discovery(first.address)
        .event_streams(true)
        .start();
    new.set_callback_address(program.platform);
    let request = |id| job_request(id, "redeem", "take started wait=moved done=kept", "");
    let mut plain = connect(program.platform);
    plain.write_all(request("a0").as_bytes()).expect("write failed");
    let mut stream = connect(program.sse.expect("no SSE listener"));
    stream.write_all(request("a1").as_bytes()).expect("write failed");
    wait_until("both jobs arrive", || old.job_count.load(Ordering::SeqCst) == 2);
    wait_until("a watch of the first service is open", || first.calls.load(Ordering::SeqCst) > 0);
    program.replace_config(&config_with_discovery(&program, &second));
    program.signal("-HUP");
    assert_eq!(
        program.wait_for_log("configuration reloaded"),
        format!("configuration reloaded discovery={}", second.address)
    );
    wait_until("a watch of the second service is open", || second.calls.load(Ordering::SeqCst) > 0);
    // Generations of different services are not comparable, so the watch starts from 0.
    let request_lines = second.request_lines.lock().expect("mutex poisoned").clone();
    assert_eq!(request_lines, ["GET /discovery/hosts?stream=1&index=0 HTTP/1.1"]);
    let mut n = 0;
    while new.job_count.load(Ordering::SeqCst) == 0 {
        serve_one(&program, &format!("b{n}"));
        n += 1;
    }
    let before = old.job_count.load(Ordering::SeqCst);
    (0..5).for_each(|n| serve_one(&program, &format!("c{n}")));
    assert_eq!(
        old.job_count.load(Ordering::SeqCst),
        before,
        "job sent to a worker missing from the new list"
    );
    // The first service closes its watches, which must not affect the program.
    first.close_watches();
    let calls = first.calls.load(Ordering::SeqCst);
    old.open_gate("moved");
    for stream in [&mut plain, &mut stream] {
        assert_eq!(read_reply(stream).expect("no complete response").body, "kept");
    }
    serve_one(&program, "d0");
    assert_eq!(first.calls.load(Ordering::SeqCst), calls);
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["open"], metrics["failed"], metrics["broken_invariants"]), (0, 0, 0));
}

/// If a new discovery service answers a watch from generation 0 with a delta, the program requests the full list. Otherwise
/// workers unknown to that service would never be removed.
#[test]
fn requests_full_list_from_new_discovery_that_sends_changes() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let first = FakeDiscovery::start(full_list(&[&old]));
    let second = FakeDiscovery::start(site::delta(9, &[new.endpoint_entry("up")]));
    let mut program = DispatcherProcess::builder(std::slice::from_ref(&old)).discovery(first.address).start();
    program.replace_config(&config_with_discovery(&program, &second));
    program.signal("-HUP");
    program.wait_for_log("configuration reloaded");
    let full_list_request = "GET /discovery/hosts HTTP/1.1";
    wait_until("the full list is requested", || {
        second.request_lines.lock().expect("mutex poisoned").iter().any(|line| line == full_list_request)
    });
}

/// An invalid configuration is rejected with the reason. The old one stays in use together with its watch, and jobs are
/// served.
#[test]
fn reload_of_bad_configuration_changes_nothing() {
    let worker = FakeWorker::start("s-1");
    let discovery = FakeDiscovery::start(full_list(&[&worker]));
    discovery.start_heartbeats(); // without them the program reopens the watch after 2.5 s
    let mut program =
        DispatcherProcess::builder(std::slice::from_ref(&worker)).discovery(discovery.address).start();
    wait_until("a watch is open", || discovery.calls.load(Ordering::SeqCst) > 0);
    let valid = program.config.clone();
    let changed = |change: &dyn Fn(&mut Value)| {
        let mut config = valid.clone();
        change(&mut config);
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), "not JSON"),
        (changed(&|c| c["discovery"] = json!("nowhere")), "discovery is not an address"),
        (changed(&|c| drop(c["settings"].take())), "settings"),
        (String::new(), "not JSON"),
        (valid.to_string()[..valid.to_string().len() / 2].to_owned(), "not JSON"),
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
    for (n, (text, reason)) in cases.into_iter().enumerate() {
        program.replace_config(&text);
        program.signal("-HUP");
        let line = program.wait_for_log("reload");
        let prefix = "reload rejected, keeping the old configuration error=";
        assert!(
            line.contains(reason) && line.starts_with(prefix),
            "expected reason {reason:?}, logged {line:?}"
        );
        serve_one(&program, &format!("e{n}"));
    }
    std::fs::remove_file(&program.config_file).expect("cannot remove the file");
    program.signal("-HUP");
    assert!(program.wait_for_log("reload").contains("cannot read"));
    // The original file has the same discovery service, so the watch stays open and the address in the environment in use.
    program.replace_config(&valid.to_string());
    program.signal("-HUP");
    assert_eq!(
        program.wait_for_log("configuration reloaded"),
        format!("configuration reloaded discovery={}", discovery.address)
    );
    serve_one(&program, "f0");
    assert_eq!(discovery.calls.load(Ordering::SeqCst), 1);
}

/// The program with the classes of the default test configuration and both listeners, and its workers.
struct ClassesSite {
    workers: [Arc<FakeWorker>; 2],
    program: DispatcherProcess,
    platform: SocketAddr,
    sse: SocketAddr,
}

impl ClassesSite {
    fn start() -> ClassesSite {
        // Two workers, since one without a load report so far is not sent a third concurrent job.
        let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
        let program = DispatcherProcess::builder(&workers)
            .event_streams(true)
            .configure(|config| config["admin_addr"] = json!("127.0.0.1:0"))
            .start();
        let sse = program.sse.expect("no SSE listener");
        ClassesSite { workers, platform: program.platform, sse, program }
    }

    /// The configuration with the class "balance" replaced by a new class "check", and with "redeem" first and without retries.
    fn other_classes(&self) -> Value {
        let mut config = self.program.config.clone();
        let classes = config["settings"]["Grades"].as_array_mut().expect("not an array");
        classes[0]["Name"] = json!("check");
        classes[1]["Semantics"] = json!("side_effect");
        classes.reverse();
        config["settings"]["Limits"]["MaxAttempts"] = json!(1);
        config
    }

    /// Starts jobs of two classes on both listeners, which run until the gate `retuned` opens.
    fn start_jobs(&self) -> Vec<TcpStream> {
        const SCRIPT: &str = "take started wait=retuned done=kept";
        const ACCEPT: &str = "Accept: text/event-stream\r\n";
        let jobs =
            [(self.platform, "a0", "balance"), (self.sse, "a1", "balance"), (self.platform, "a2", "redeem")];
        let mut open = Vec::new();
        for (to, id, class) in jobs {
            let mut stream = connect(to);
            stream.write_all(job_request(id, class, SCRIPT, ACCEPT).as_bytes()).expect("write failed");
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

/// Sends a job of this class and returns the status of the response.
fn job_status(to: SocketAddr, id: &str, class: &str) -> u16 {
    send(to, &job_request(id, class, "take started done=x", "")).expect("no complete response").status
}

/// A reload may remove, add and reorder classes. Open jobs keep the class with which they were accepted, even if it was
/// removed or its position now belongs to another class. Such a configuration used to be rejected.
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
        let reply = read_reply(stream).expect("no complete response");
        assert!(reply.status == 200 && reply.body.contains("kept"), "{}", reply.body);
    }
    for (number, to) in [platform, sse].into_iter().enumerate() {
        assert_eq!(job_status(to, &format!("b{number}"), "balance"), 400, "job of a removed class");
        assert_eq!(job_status(to, &format!("c{number}"), "check"), 200, "job of an added class");
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
        assert!(counters.lines().any(|line| line == expected), "no line {expected:?} in {counters}");
    }
}

/// A reload also applies limits and settings: after the descriptor limit was lowered, idle connections are closed.
#[test]
fn reload_applies_limits_and_settings() {
    let worker = FakeWorker::start("s-1");
    let mut program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    let mut config = program.config.clone();
    config["limits"]["sockets"] = json!(80);
    config["settings"]["Grades"].as_array_mut().expect("not an array").push(json!(
        {"Name": "check", "Semantics": "pure", "TargetMs": 250.0, "DeadlineMs": 7500.0, "Points": 1.0,
         "LateWorth": 1.0}));
    let request = |id| job_request(id, "check", "take started done=x", "");
    assert_eq!(
        send(program.platform, &request("g0")).expect("no complete response").status,
        400,
        "unknown class"
    );
    program.replace_config(&config.to_string());
    program.signal("-HUP");
    program.wait_for_log("configuration reloaded");
    assert_eq!(send(program.platform, &request("g1")).expect("no complete response").status, 200);
    let idle: Vec<_> = (0..60).map(|_| connect(program.platform)).collect();
    serve_one(&program, "g2");
    wait_until("more than 30 of 60 idle connections are closed", || {
        idle.iter().filter(|stream| is_closed(stream)).count() > 30
    });
}

/// SIGHUP and SIGTERM in quick succession are both handled, in either order: each has its own flag. With one shared byte, the
/// second was taken for the first.
#[test]
fn handles_both_of_two_signals_close_together() {
    for order in [["-HUP", "-TERM"], ["-TERM", "-HUP"]] {
        let worker = FakeWorker::start("s-1");
        let first = FakeDiscovery::start(full_list(&[&worker]));
        let second = FakeDiscovery::start(full_list(&[&worker]));
        let program =
            DispatcherProcess::builder(std::slice::from_ref(&worker)).discovery(first.address).start();
        let mut open_job = connect(program.platform);
        open_job
            .write_all(job_request("h0", "balance", "take started wait=told done=x", "").as_bytes())
            .expect("write failed");
        wait_until("a job arrives", || worker.job_count.load(Ordering::SeqCst) > 0);
        program.replace_config(&config_with_discovery(&program, &second));
        order.iter().for_each(|signal| program.signal(signal));
        worker.open_gate("told");
        assert_eq!(read_reply(&mut open_job).expect("no complete response").status, 200, "{order:?}");
        let (is_clean, log) = program.wait_for_exit();
        let has_line = |prefix: &str| log.iter().any(|line| line.starts_with(prefix));
        assert!(
            is_clean && has_line("configuration reloaded ") && has_line("shutdown complete open=0"),
            "{order:?}: {log:?}"
        );
    }
}

/// With default settings a running program holds no Unix socket: the environment for which it is built provides only TCP
/// and UDP sockets over IPv4. The waker for SIGHUP and SIGTERM used to be a pair of Unix sockets.
#[test]
fn holds_no_unix_socket() {
    let worker = FakeWorker::start("u-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    serve_one(&program, "u0");
    let unix = std::fs::read_to_string("/proc/net/unix").expect("cannot read /proc/net/unix");
    let inodes: Vec<&str> = unix.lines().skip(1).filter_map(|line| line.split_whitespace().nth(6)).collect();
    let fds = std::fs::read_dir(format!("/proc/{}/fd", program.pid())).expect("cannot list /proc/PID/fd");
    let sockets: Vec<String> = fds
        .filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok())
        .filter_map(|link| Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect();
    assert!(!sockets.is_empty(), "no sockets found in /proc/PID/fd");
    let unix_sockets: Vec<&String> =
        sockets.iter().filter(|inode| inodes.contains(&inode.as_str())).collect();
    assert!(unix_sockets.is_empty(), "Unix sockets: {unix_sockets:?} of {sockets:?}");
    program.signal("-HUP");
    serve_one(&program, "u1");
    program.terminate();
    let (is_clean, log) = program.wait_for_exit();
    assert!(is_clean && log.iter().any(|line| line.starts_with("configuration reloaded ")), "{log:?}");
}
