//! The real program with a state directory: killed at random points under load, upgraded, and with a disk that fails.
//! `DURABLE_RUNS` says how many times it is killed; `DURABLE_SEED` replays one.

use mothproxy_testkit::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsStr;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Workers of each deduplication cell.
const WORKERS_PER_CELL: usize = 2;

/// Two cells of two workers.
fn start_workers() -> Vec<Arc<FakeWorker>> {
    (0..2 * WORKERS_PER_CELL).map(|number| FakeWorker::start(&format!("s-{number}"))).collect()
}

fn temporary_folder() -> tempfile::TempDir {
    tempfile::tempdir().expect("a folder")
}

/// Starts the program with this state directory, in the folder of a predecessor if there is one.
fn start_with_state(
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
            for number in 0..workers.len() {
                config["known"]["instances"][number]["cell"] = json!(1 + number / WORKERS_PER_CELL);
            }
        })
        .start()
}

/// The same on a port that the system picks.
fn start_alone(workers: &[Arc<FakeWorker>], state: &Path) -> DispatcherProcess {
    start_with_state(workers, state, None, "127.0.0.1:0")
}

/// Sends a redeem with this idempotency key; `None` where no whole answer came.
fn try_redeem(to: SocketAddr, id: &str, key: &str, script: &str) -> Option<HttpReply> {
    let text = job_request(id, "redeem", script, "").replace(&format!("key-{id}"), key);
    let mut stream = TcpStream::connect(to).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_reply(&mut stream)
}

/// Sends a redeem, which must be answered.
fn redeem(to: SocketAddr, id: &str, key: &str, script: &str) -> HttpReply {
    try_redeem(to, id, key, script).expect("an answer")
}

/// Asserts that a redeem is served with this result.
fn assert_redeemed(to: SocketAddr, id: &str, key: &str, script: &str, result: &str) {
    let reply = redeem(to, id, key, script);
    assert_eq!((reply.status, reply.body.as_str()), (200, result));
}

/// Where a key was received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Executions {
    cells: BTreeSet<usize>,
    /// How often in all.
    count: usize,
}

/// What workers have received of each key.
fn executions(workers: &[Arc<FakeWorker>]) -> BTreeMap<String, Executions> {
    let mut by_key: BTreeMap<String, Executions> = BTreeMap::new();
    for (number, worker) in workers.iter().enumerate() {
        let received = worker.received.lock().expect("a lock");
        for line in received.iter().filter(|line| line.starts_with("POST ")) {
            let key = line.rsplit(' ').next().unwrap_or("").to_owned();
            let executions = by_key.entry(key).or_default();
            executions.cells.insert(number / WORKERS_PER_CELL);
            executions.count += 1;
        }
    }
    by_key
}

fn counter(program: &DispatcherProcess, name: &str) -> u64 {
    let text = program.call_admin("GET", "/control/counters").body;
    let line = text.lines().find_map(|l| l.strip_prefix(&format!("dispatcher.{name}:")));
    line.and_then(|l| l.split('|').next()?.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
}

/// A job that was answered with a result.
struct AnsweredJob {
    script: &'static str,
    result: String,
}

/// What clients had when the program was killed.
#[derive(Default)]
struct ClientRecords {
    /// By key.
    answered: BTreeMap<String, AnsweredJob>,
    /// Scripts of jobs without a result, by key.
    unanswered: BTreeMap<String, &'static str>,
}

/// Eight clients send keyed jobs until the program is killed after this time.
fn load_until_killed(program: &DispatcherProcess, kill_after: Duration) -> ClientRecords {
    const CLIENTS: usize = 8;
    let platform = program.platform;
    let records = Mutex::new(ClientRecords::default());
    let is_over = AtomicBool::new(false);
    let next = AtomicU64::new(0);
    let run_client = || {
        while !is_over.load(Ordering::Relaxed) {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let key = format!("k{number}");
            let script =
                if number % 4 == 0 { "take started pause=4 done=paid" } else { "take started done=paid" };
            let reply = try_redeem(platform, &format!("a{number}"), &key, script);
            let mut records = records.lock().expect("a lock");
            match reply {
                Some(reply) if reply.status == 200 => {
                    records.answered.insert(key, AnsweredJob { script, result: reply.body });
                }
                _ => drop(records.unanswered.insert(key, script)),
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(run_client);
        }
        std::thread::sleep(kill_after);
        program.signal("-KILL");
        is_over.store(true, Ordering::Relaxed);
    });
    records.into_inner().expect("a lock")
}

/// What one run with a kill has shown.
#[derive(Default)]
struct KillSummary {
    /// Keys that were answered before the kill.
    answered: usize,
    /// Repeats that were tried after it.
    repeats: usize,
}

/// Repeats jobs after a kill: an answered one has the same result again, any other one a final status.
fn repeat_after_kill(to: SocketAddr, records: &ClientRecords, seed: u64) -> usize {
    let mut repeats = 0;
    // Results are recorded when they come, not before they are given: of the last few a repeat may run in the cell, which drops
    // it. All others come from the records.
    for (key, AnsweredJob { script, result }) in records.answered.iter().rev().take(60) {
        let reply = redeem(to, &format!("b-{key}"), key, script);
        assert_eq!((reply.status, &reply.body), (200, result), "seed {seed}: {key}");
        repeats += 1;
    }
    for (key, script) in records.unanswered.iter().take(30) {
        let reply = redeem(to, &format!("c-{key}"), key, script);
        assert!([200, 500, 503, 504].contains(&reply.status), "seed {seed}: {key}: {}", reply.status);
        repeats += 1;
    }
    repeats
}

/// What a crash must not change: a result that a client got comes again and runs nothing, and no key gets to a second cell.
fn kill_once(seed: u64) -> KillSummary {
    let state = temporary_folder();
    let workers = start_workers();
    let mut rng = fastrand::Rng::with_seed(seed);
    let kill_after = Duration::from_micros(rng.u64(2_000..60_000));
    let program = start_alone(&workers, state.path());
    let records = load_until_killed(&program, kill_after);
    drop(program);
    let before = executions(&workers);
    let program = start_alone(&workers, state.path());
    let repeats = repeat_after_kill(program.platform, &records, seed);
    let after = executions(&workers);
    for (key, Executions { cells, count }) in &after {
        assert!(cells.len() <= 1, "seed {seed}: {key} got to cells {cells:?}, {count} times");
    }
    let answered = records.answered.len();
    let first = records.answered.keys().next();
    if let Some(first) = first.filter(|key| answered > 16 && before.contains_key(*key)) {
        let (count, count_before) = (after[first].count, before[first].count);
        assert_eq!(count, count_before, "seed {seed}: {first} was answered long before and ran again");
    }
    KillSummary { answered, repeats }
}

fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Killed at random points under load and started again, the program gives recorded results again, and sends no key to a second
/// cell.
#[test]
fn kill_at_any_point_executes_no_key_in_second_pod() {
    if let Some(seed) = number_from_environment("DURABLE_SEED") {
        kill_once(seed);
        return;
    }
    let runs = number_from_environment("DURABLE_RUNS").unwrap_or(8);
    let mut sum = KillSummary::default();
    for seed in 0..runs {
        let KillSummary { answered, repeats } = kill_once(seed);
        sum.answered += answered;
        sum.repeats += repeats;
    }
    let KillSummary { answered, repeats } = sum;
    println!("killed {runs} times: {answered} keys answered before, {repeats} repeats after");
    assert!(answered > 0 && repeats > 0, "nothing was shown: {answered}, {repeats}");
}

/// The successor of a hot restart has the results that the predecessor recorded, and records those of jobs that it took over.
#[test]
fn hot_restart_takes_over_store() {
    const FINISHED: &str = "take started done=one";
    const WAITING: &str = "take started wait=go done=two";
    let (state, folder, workers) = (temporary_folder(), temporary_folder(), start_workers());
    let predecessor = start_with_state(&workers, state.path(), Some(folder.path()), "127.0.0.1:0");
    let platform = predecessor.platform;
    assert_eq!(redeem(platform, "a1", "k1", FINISHED).status, 200);
    // This one waits over the upgrade: its result comes to the successor, which records it.
    let waiting = std::thread::spawn(move || redeem(platform, "a2", "k2", WAITING));
    wait_until("it arrives", || executions(&workers).contains_key("k2"));
    let successor = start_with_state(&workers, state.path(), Some(folder.path()), &platform.to_string());
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0, "the predecessor ends cleanly");
    workers.iter().for_each(|worker| worker.open_gate("go"));
    let reply = waiting.join().expect("a thread");
    assert_eq!((reply.status, reply.body.as_str()), (200, "two"));
    let before = executions(&workers);
    assert_redeemed(platform, "b1", "k1", FINISHED, "one");
    assert_redeemed(platform, "b2", "k2", WAITING, "two");
    assert_eq!(executions(&workers), before, "a repeat ran");
    assert_eq!(counter(&successor, "state_repeats_answered"), 2);
    assert_eq!(counter(&successor, "state_failures"), 0);
}

/// A key that belongs to a job with another body is refused, and runs nothing.
#[test]
fn rejects_key_of_another_job() {
    let (state, workers) = (temporary_folder(), start_workers());
    let program = start_alone(&workers, state.path());
    assert_eq!(redeem(program.platform, "a1", "k1", "take started done=one").status, 200);
    assert_eq!(redeem(program.platform, "a2", "k1", "take started done=other").status, 422);
    assert_eq!(executions(&workers)["k1"].count, 1);
}

/// Limits the size of files that a program may write; a limit stands for a full disk: writes beyond it fail with EFBIG.
fn limit_file_size(program: &DispatcherProcess, bytes: &str) {
    let set = std::process::Command::new("prlimit")
        .args(["--pid", &program.pid().to_string(), &format!("--fsize={bytes}:unlimited")])
        .status();
    assert!(set.is_ok_and(|status| status.success()), "prlimit runs");
}

/// While the store cannot write, keyed jobs are rejected at once and unkeyed ones go on; writing resumes by itself, and what was
/// recorded is there after a restart.
#[test]
fn disk_failure_stops_only_keyed_jobs() {
    let (state, workers) = (temporary_folder(), start_workers());
    let program = start_alone(&workers, state.path());
    let platform = program.platform;
    assert_eq!(redeem(platform, "a1", "k1", "take started done=one").status, 200);
    limit_file_size(&program, "64");
    for number in 0..3 {
        let reply = redeem(platform, &format!("b{number}"), &format!("x{number}"), "take started done=no");
        assert_eq!(reply.status, 503, "nothing of it may have run");
        assert!(reply.header("Retry-After").is_some());
    }
    let unkeyed = job_request("c1", "balance", "take started done=yes", "");
    let reply = send(platform, &unkeyed).expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "yes"));
    assert!(counter(&program, "state_failures") >= 3);
    let is_sent = executions(&workers).keys().any(|key| key.starts_with('x'));
    assert!(!is_sent, "one that was not recorded was sent");
    limit_file_size(&program, "unlimited");
    assert_redeemed(platform, "d1", "k2", "take started done=back", "back");
    drop(program);
    let program = start_alone(&workers, state.path());
    assert_redeemed(program.platform, "e1", "k1", "take started done=one", "one");
    assert_redeemed(program.platform, "e2", "k2", "take started done=back", "back");
}

/// A second process with the same state directory does not start, and says why.
#[test]
fn refuses_to_start_with_unusable_state_directory() {
    let state = temporary_folder();
    let workers = start_workers();
    let program = start_alone(&workers, state.path());
    let started = std::process::Command::new(env!("CARGO_BIN_EXE_mothproxy"))
        .args([OsStr::new("--state"), state.path().as_os_str()])
        .env("GW_CONFIG", &program.config_file)
        .env_remove("TMPDIR")
        .output()
        .expect("it runs");
    let log = String::from_utf8_lossy(&started.stderr).into_owned();
    assert!(!started.status.success() && log.contains("in use by another process"), "{log}");
}
