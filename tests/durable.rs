//! The real program with a state directory: killed at random points under load, upgraded, and with a disk that fails.
//! `DURABLE_RUNS` says how many times it is killed; `DURABLE_SEED` replays one.

use mothproxy_testkit::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsStr;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Two pods of two workers.
fn pods() -> Vec<Arc<FakeWorker>> {
    (0..4).map(|n| FakeWorker::start(&format!("s-{n}"))).collect()
}

fn start_on(
    workers: &[Arc<FakeWorker>],
    state: &Path,
    folder: Option<&Path>,
    listen: &str,
) -> DispatcherProcess {
    let args = [OsStr::new("--state"), state.as_os_str()];
    DispatcherProcess::builder(workers)
        .temp_dir(folder)
        .args(&args)
        .configure(|config| {
            config["listen"] = json!(listen);
            config["admin_addr"] = json!("127.0.0.1:0");
            for n in 0..workers.len() {
                config["known"]["instances"][n]["cell"] = json!(1 + n / 2);
            }
        })
        .start()
}

/// Hands a redeem in; `None` where no whole answer came.
fn redeem(to: SocketAddr, id: &str, key: &str, body: &str) -> Option<HttpReply> {
    use std::io::Write;
    let text = job_request(id, "redeem", body, "").replace(&format!("key-{id}"), key);
    let mut stream = TcpStream::connect(to).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_reply(&mut stream)
}

/// In which pods each key was seen, and how often in all.
fn seen(workers: &[Arc<FakeWorker>]) -> BTreeMap<String, (BTreeSet<usize>, usize)> {
    let mut keys: BTreeMap<String, (BTreeSet<usize>, usize)> = BTreeMap::new();
    for (n, worker) in workers.iter().enumerate() {
        for line in worker.received.lock().expect("a lock").iter().filter(|l| l.starts_with("POST ")) {
            let key = line.rsplit(' ').next().unwrap_or("").to_owned();
            let entry = keys.entry(key).or_default();
            entry.0.insert(n / 2);
            entry.1 += 1;
        }
    }
    keys
}

fn counter(program: &DispatcherProcess, name: &str) -> u64 {
    let text = program.call_admin("GET", "/control/counters").body;
    let line = text.lines().find_map(|l| l.strip_prefix(&format!("dispatcher.{name}:")));
    line.and_then(|l| l.split('|').next()?.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
}

/// What a crash must not change: a result that a client got comes again and runs nothing, and no key gets to a second pod.
fn killed_once(seed: u64) -> (usize, usize) {
    let state = tempfile::tempdir().expect("a folder");
    let (workers, program) = (pods(), None::<DispatcherProcess>);
    drop(program);
    let program = start_on(&workers, state.path(), None, "127.0.0.1:0");
    let platform = program.platform;
    let (answered, open) = (Mutex::new(BTreeMap::new()), Mutex::new(BTreeSet::new()));
    let (over, next) = (AtomicBool::new(false), AtomicU64::new(0));
    let mut rng = fastrand::Rng::with_seed(seed);
    let (kill_after, mut tries) = (Duration::from_micros(rng.u64(2_000..60_000)), 0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let (id, key) = (format!("a{n}"), format!("k{n}"));
                    let body =
                        if n % 4 == 0 { "take started pause=4 done=paid" } else { "take started done=paid" };
                    match redeem(platform, &id, &key, body) {
                        Some(reply) if reply.status == 200 => {
                            answered.lock().expect("a lock").insert(key, (body, reply.body));
                        }
                        _ => drop(open.lock().expect("a lock").insert((key, body))),
                    }
                }
            });
        }
        std::thread::sleep(kill_after);
        program.signal("-KILL");
        over.store(true, Ordering::Relaxed);
    });
    drop(program);
    let before = seen(&workers);
    let program = start_on(&workers, state.path(), None, "127.0.0.1:0");
    let (answered, open) = (answered.into_inner().expect("a lock"), open.into_inner().expect("a lock"));
    // Results are noted when they come, not before they are given: of the last few a repeat may run in the pod, which drops
    // it. All others come from the notes.
    for (key, (body, result)) in answered.iter().rev().take(60) {
        let reply = redeem(program.platform, &format!("b-{key}"), key, body).expect("an answer");
        assert_eq!((reply.status, &reply.body), (200, result), "seed {seed}: {key}");
        tries += 1;
    }
    for (key, body) in open.iter().take(30) {
        let reply = redeem(program.platform, &format!("c-{key}"), key, body).expect("an answer");
        assert!([200, 500, 503, 504].contains(&reply.status), "seed {seed}: {key}: {}", reply.status);
        tries += 1;
    }
    for (key, (pods, count)) in seen(&workers) {
        assert!(pods.len() <= 1, "seed {seed}: {key} got to pods {pods:?}, {count} times");
    }
    let first = answered.keys().next().filter(|key| answered.len() > 16 && before.contains_key(*key));
    if let Some(first) = first {
        let now = seen(&workers);
        assert_eq!(
            now[first].1, before[first].1,
            "seed {seed}: {first} was answered long before and ran again"
        );
    }
    (answered.len(), tries)
}

#[test]
fn kill_at_any_point_executes_no_key_in_second_pod() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("DURABLE_SEED") {
        killed_once(seed);
        return;
    }
    let (runs, mut sums) = (number("DURABLE_RUNS").unwrap_or(8), (0, 0));
    for seed in 0..runs {
        let (answered, tries) = killed_once(seed);
        sums = (sums.0 + answered, sums.1 + tries);
    }
    println!("killed {runs} times: {} keys answered before, {} repeats after", sums.0, sums.1);
    assert!(sums.0 > 0 && sums.1 > 0, "nothing was shown: {sums:?}");
}

#[test]
fn hot_restart_takes_over_store() {
    let (state, folder, workers) =
        (tempfile::tempdir().expect("a folder"), tempfile::tempdir().expect("a folder"), pods());
    let predecessor = start_on(&workers, state.path(), Some(folder.path()), "127.0.0.1:0");
    let platform = predecessor.platform;
    assert_eq!(redeem(platform, "a1", "k1", "take started done=one").expect("an answer").status, 200);
    // This one waits over the upgrade: its result comes to the successor, which notes it.
    let waiting = std::thread::spawn(move || redeem(platform, "a2", "k2", "take started wait=go done=two"));
    wait_until("it arrives", || seen(&workers).contains_key("k2"));
    let successor = start_on(&workers, state.path(), Some(folder.path()), &platform.to_string());
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0, "the predecessor ends cleanly");
    workers.iter().for_each(|worker| worker.open_gate("go"));
    let reply = waiting.join().expect("a thread").expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "two"));
    let runs = seen(&workers);
    for (id, key, body, result) in
        [("b1", "k1", "take started done=one", "one"), ("b2", "k2", "take started wait=go done=two", "two")]
    {
        let reply = redeem(platform, id, key, body).expect("an answer");
        assert_eq!((reply.status, reply.body.as_str()), (200, result));
    }
    assert_eq!(seen(&workers), runs, "a repeat ran");
    assert_eq!(
        (counter(&successor, "state_repeats_answered"), counter(&successor, "state_failures")),
        (2, 0)
    );
}

#[test]
fn rejects_key_of_another_job() {
    let (state, workers) = (tempfile::tempdir().expect("a folder"), pods());
    let program = start_on(&workers, state.path(), None, "127.0.0.1:0");
    assert_eq!(redeem(program.platform, "a1", "k1", "take started done=one").expect("an answer").status, 200);
    let reply = redeem(program.platform, "a2", "k1", "take started done=other").expect("an answer");
    assert_eq!(reply.status, 422);
    assert_eq!(seen(&workers)["k1"].1, 1);
}

/// Its segments' place taken away, the store cannot write: keyed jobs are turned away at once, unkeyed ones go on, and
/// writing resumes by itself.
#[test]
fn disk_failure_stops_only_keyed_jobs() {
    let (state, workers) = (tempfile::tempdir().expect("a folder"), pods());
    // A limit on the size of files stands for a full disk: writes beyond it fail with EFBIG.
    let program = start_on(&workers, state.path(), None, "127.0.0.1:0");
    assert_eq!(redeem(program.platform, "a1", "k1", "take started done=one").expect("an answer").status, 200);
    let limit = |bytes: &str| {
        let pid = program.pid().to_string();
        let set = std::process::Command::new("prlimit")
            .args(["--pid", &pid, &format!("--fsize={bytes}:unlimited")])
            .status();
        assert!(set.is_ok_and(|s| s.success()), "prlimit runs");
    };
    limit("64");
    for n in 0..3 {
        let reply = redeem(program.platform, &format!("b{n}"), &format!("x{n}"), "take started done=no")
            .expect("an answer");
        assert_eq!(reply.status, 503, "nothing of it may have run");
        assert!(reply.header("Retry-After").is_some());
    }
    let plain = send(program.platform, &job_request("c1", "balance", "take started done=yes", ""))
        .expect("an answer");
    assert_eq!((plain.status, plain.body.as_str()), (200, "yes"));
    assert!(counter(&program, "state_failures") >= 3);
    assert!(!seen(&workers).keys().any(|key| key.starts_with('x')), "one that was not noted was sent");
    limit("unlimited");
    let reply = redeem(program.platform, "d1", "k2", "take started done=back").expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "back"));
    drop(program);
    let program = start_on(&workers, state.path(), None, "127.0.0.1:0");
    for (id, key, body, result) in
        [("e1", "k1", "take started done=one", "one"), ("e2", "k2", "take started done=back", "back")]
    {
        let reply = redeem(program.platform, id, key, body).expect("an answer");
        assert_eq!((reply.status, reply.body.as_str()), (200, result));
    }
}

#[test]
fn refuses_to_start_with_unusable_state_directory() {
    let state = tempfile::tempdir().expect("a folder");
    let workers = pods();
    let program = start_on(&workers, state.path(), None, "127.0.0.1:0");
    let started = std::process::Command::new(env!("CARGO_BIN_EXE_mothproxy"))
        .args([OsStr::new("--state"), state.path().as_os_str()])
        .env("GW_CONFIG", &program.config_file)
        .env_remove("TMPDIR")
        .output()
        .expect("it runs");
    let log = String::from_utf8_lossy(&started.stderr).into_owned();
    assert!(!started.status.success() && log.contains("in use by another process"), "{log}");
}
