//! The program with a state directory: killed at random points under load, hot-restarted, and with a failing disk.
//! `DURABLE_RUNS` is the number of kills; `DURABLE_SEED` replays the kill with that seed.

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
    tempfile::tempdir().expect("cannot create the temporary directory")
}

/// Starts the program with this state directory, with `folder` as its `$TMPDIR`. A process in the same folder hands its
/// listeners and jobs over.
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

/// Starts the program with this state directory and without a predecessor, on a port that the system picks.
fn start_alone(workers: &[Arc<FakeWorker>], state: &Path) -> DispatcherProcess {
    start_with_state(workers, state, None, "127.0.0.1:0")
}

/// Sends a job of class `redeem` with this idempotency key; `None` if no complete response was received.
fn try_redeem(to: SocketAddr, id: &str, key: &str, script: &str) -> Option<HttpReply> {
    let text = job_request(id, "redeem", script, "").replace(&format!("key-{id}"), key);
    let mut stream = TcpStream::connect(to).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_reply(&mut stream)
}

/// Sends a job of class `redeem`, which must be answered.
fn redeem(to: SocketAddr, id: &str, key: &str, script: &str) -> HttpReply {
    try_redeem(to, id, key, script).expect("no complete response")
}

/// Asserts that a job of class `redeem` is served with this result.
fn assert_redeemed(to: SocketAddr, id: &str, key: &str, script: &str, result: &str) {
    let reply = redeem(to, id, key, script);
    assert_eq!((reply.status, reply.body.as_str()), (200, result));
}

/// The executions of one idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Executions {
    /// The cells whose workers received the key.
    cells: BTreeSet<usize>,
    /// The number of jobs with the key that workers received.
    count: usize,
}

/// The executions of each key that the workers have received.
fn executions(workers: &[Arc<FakeWorker>]) -> BTreeMap<String, Executions> {
    let mut by_key: BTreeMap<String, Executions> = BTreeMap::new();
    for (number, worker) in workers.iter().enumerate() {
        let received = worker.received.lock().expect("mutex poisoned");
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
    let value = text.lines().find_map(|line| line.strip_prefix(&format!("dispatcher.{name}:")));
    value
        .and_then(|value| value.split('|').next()?.parse().ok())
        .unwrap_or_else(|| panic!("no counter {name} in {text}"))
}

/// A job that was answered with status 200.
struct AnsweredJob {
    script: &'static str,
    result: String,
}

/// The jobs that clients had sent when the program was killed.
#[derive(Default)]
struct ClientRecords {
    /// The jobs with a result, by idempotency key.
    answered: BTreeMap<String, AnsweredJob>,
    /// The scripts of the jobs without a result, by idempotency key.
    unanswered: BTreeMap<String, &'static str>,
}

/// Runs eight clients that send keyed jobs until the program is killed after this time.
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
            let mut records = records.lock().expect("mutex poisoned");
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
    records.into_inner().expect("mutex poisoned")
}

/// The counts of one run with a kill.
#[derive(Default)]
struct KillSummary {
    /// Jobs that were answered with a result before the kill.
    answered: usize,
    /// Jobs that were sent again after the kill.
    repeats: usize,
}

/// Sends jobs again after a kill: one that had a result must get the same result, any other one a final status. Returns the
/// number of jobs sent.
fn repeat_after_kill(to: SocketAddr, records: &ClientRecords, seed: u64) -> usize {
    let mut repeats = 0;
    // A result is recorded when it arrives, and the response does not wait until the record is on disk. So repeats of the last
    // few jobs may be sent to the cell, which deduplicates them. All other repeats are answered from the store.
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

/// Kills the program under load, restarts it and sends jobs again. Asserts the invariants across the crash: a repeat of a job
/// with a result gets that result without an execution, and no key is sent to a second cell.
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
        assert!(cells.len() <= 1, "seed {seed}: {key} sent to cells {cells:?}, {count} times");
    }
    let answered = records.answered.len();
    let first = records.answered.keys().next();
    if let Some(first) = first.filter(|key| answered > 16 && before.contains_key(*key)) {
        let (count, count_before) = (after[first].count, before[first].count);
        assert_eq!(count, count_before, "seed {seed}: {first} had a recorded result and was executed again");
    }
    KillSummary { answered, repeats }
}

fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Killed at random points under load and restarted, the program answers repeats with recorded results, and sends no key to a
/// second cell.
#[test]
fn kill_at_any_point_executes_no_key_in_second_cell() {
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
    println!("{runs} kills: {answered} jobs answered before, {repeats} jobs repeated after");
    assert!(answered > 0 && repeats > 0, "no coverage: {answered} jobs answered, {repeats} repeated");
}

/// The successor of a hot restart has the results that its predecessor recorded, and records those of jobs that it took over.
#[test]
fn hot_restart_takes_over_store() {
    const FINISHED: &str = "take started done=one";
    const WAITING: &str = "take started wait=go done=two";
    let (state, folder, workers) = (temporary_folder(), temporary_folder(), start_workers());
    let predecessor = start_with_state(&workers, state.path(), Some(folder.path()), "127.0.0.1:0");
    let platform = predecessor.platform;
    assert_eq!(redeem(platform, "a1", "k1", FINISHED).status, 200);
    // This job is open during the hot restart: the successor receives its result and records it.
    let waiting = std::thread::spawn(move || redeem(platform, "a2", "k2", WAITING));
    wait_until("the waiting job arrives", || executions(&workers).contains_key("k2"));
    let successor = start_with_state(&workers, state.path(), Some(folder.path()), &platform.to_string());
    predecessor.terminate();
    assert!(predecessor.wait_for_exit().0, "the predecessor exited with an error");
    workers.iter().for_each(|worker| worker.open_gate("go"));
    let reply = waiting.join().expect("thread panicked");
    assert_eq!((reply.status, reply.body.as_str()), (200, "two"));
    let before = executions(&workers);
    assert_redeemed(platform, "b1", "k1", FINISHED, "one");
    assert_redeemed(platform, "b2", "k2", WAITING, "two");
    assert_eq!(executions(&workers), before, "a repeat was executed");
    assert_eq!(counter(&successor, "state_repeats_answered"), 2);
    assert_eq!(counter(&successor, "state_failures"), 0);
}

/// A job with the key of an earlier job but another body is rejected and not executed.
#[test]
fn rejects_key_of_another_job() {
    let (state, workers) = (temporary_folder(), start_workers());
    let program = start_alone(&workers, state.path());
    assert_eq!(redeem(program.platform, "a1", "k1", "take started done=one").status, 200);
    assert_eq!(redeem(program.platform, "a2", "k1", "take started done=other").status, 422);
    assert_eq!(executions(&workers)["k1"].count, 1);
}

/// Limits the size of files that a program may write, which simulates a full disk: writes beyond the limit fail with EFBIG.
fn limit_file_size(program: &DispatcherProcess, bytes: &str) {
    let set = std::process::Command::new("prlimit")
        .args(["--pid", &program.pid().to_string(), &format!("--fsize={bytes}:unlimited")])
        .status();
    assert!(set.is_ok_and(|status| status.success()), "prlimit failed");
}

/// While the store cannot write, keyed jobs are rejected at once and unkeyed ones are served. Writing resumes by itself, and
/// recorded results are available after a restart.
#[test]
fn disk_failure_stops_only_keyed_jobs() {
    let (state, workers) = (temporary_folder(), start_workers());
    let program = start_alone(&workers, state.path());
    let platform = program.platform;
    assert_eq!(redeem(platform, "a1", "k1", "take started done=one").status, 200);
    limit_file_size(&program, "64");
    for number in 0..3 {
        let reply = redeem(platform, &format!("b{number}"), &format!("x{number}"), "take started done=no");
        assert_eq!(reply.status, 503, "keyed job not rejected during a disk failure");
        assert!(reply.header("Retry-After").is_some());
    }
    let unkeyed = job_request("c1", "balance", "take started done=yes", "");
    let reply = send(platform, &unkeyed).expect("no complete response");
    assert_eq!((reply.status, reply.body.as_str()), (200, "yes"));
    assert!(counter(&program, "state_failures") >= 3);
    let is_sent = executions(&workers).keys().any(|key| key.starts_with('x'));
    assert!(!is_sent, "a job without a record was sent to a worker");
    limit_file_size(&program, "unlimited");
    assert_redeemed(platform, "d1", "k2", "take started done=back", "back");
    drop(program);
    let program = start_alone(&workers, state.path());
    assert_redeemed(program.platform, "e1", "k1", "take started done=one", "one");
    assert_redeemed(program.platform, "e2", "k2", "take started done=back", "back");
}

/// A second process with the same state directory does not start, and logs the reason.
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
        .expect("cannot run the program");
    let log = String::from_utf8_lossy(&started.stderr).into_owned();
    assert!(!started.status.success() && log.contains("in use by another process"), "{log}");
}
