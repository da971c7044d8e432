//! Case 7: after a crash, redeems that were under way run a second time in another pod. See claim.txt.
#[path = "../stand_ins_2/kit.rs"]
mod kit;

use kit::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Redeems that were served before the crash. `EARLIER=0` leaves them out.
const EARLIER_JOBS: usize = 1_200;
/// The length of each of their results, in bytes. The limit of a body is 64 KiB.
const RESULT_BYTES: usize = 60_000;
/// Clients that send them, one at a time each.
const CLIENTS: usize = 6;
/// Redeems that are under way at the crash.
const OPEN_JOBS: usize = 24;

fn main() {
    run_case(play);
}

fn redeem(id: &str, key: &str, body: &str) -> Job {
    let (id, key) = (id.to_owned(), Some(key.to_owned()));
    Job { id, class: "redeem", key, time_left_ms: 25_000, body: body.to_owned() }
}

/// Sends the earlier redeems and waits for their answers. Returns how many were served.
fn play_earlier(listen: SocketAddr, rng: &mut Rng, log: &Log) -> usize {
    let count = std::env::var("EARLIER").ok().and_then(|text| text.parse().ok()).unwrap_or(EARLIER_JOBS);
    let keys: Arc<Vec<(String, String)>> = Arc::new((0..count).map(|_| (rng.id(), rng.key())).collect());
    let (next, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (keys, next, served, log) = (keys.clone(), next.clone(), served.clone(), log.clone());
            thread::spawn(move || {
                while let Some((id, key)) = keys.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let job = redeem(id, key, &format!("ms=5 size={RESULT_BYTES}"));
                    match send_job(listen, &job, 26_000) {
                        Answer::Whole(200, _) => drop(served.fetch_add(1, Ordering::SeqCst)),
                        other => log.line(&format!("client: {id} {other:?}")),
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let served = served.load(Ordering::SeqCst);
    log.line(&format!("{served} of {count} earlier redeems served"));
    served
}

/// Sends these redeems at once. Returns a handle whose result is the answers, by id.
fn send_all(listen: SocketAddr, jobs: Vec<Job>, log: &Log) -> thread::JoinHandle<BTreeMap<String, Answer>> {
    let log = log.clone();
    thread::spawn(move || {
        let answers = Arc::new(Mutex::new(BTreeMap::new()));
        let clients: Vec<_> = jobs
            .into_iter()
            .map(|job| {
                let (answers, log) = (answers.clone(), log.clone());
                thread::spawn(move || {
                    let answer = send_job(listen, &job, 26_000);
                    log.line(&format!(
                        "client: {} key {} {answer:?}",
                        job.id,
                        job.key.as_deref().unwrap_or("")
                    ));
                    answers.lock().unwrap().insert(job.id, answer);
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
        let answers = answers.lock().unwrap();
        answers.clone()
    })
}

fn is_open(open: &[(String, String)], taken: &Taken) -> bool {
    open.iter().any(|(_, key)| *key == taken.key)
}

fn play(log: &Log) -> i32 {
    let temp = TempDir::create("7");
    let listen = free_address();
    let cells = Arc::new(Cells::default());
    let workers = start_workers(5, listen, &cells, log);
    let discovery = Discovery::start("discovery", 1, table(&workers), log.clone());
    let config = temp.path("config.json");
    let known = list(1, &rows(&workers));
    std::fs::write(&config, configuration(listen, discovery.address, &known, "on_request", 400, "")).unwrap();
    let arguments = format!("--state {}", temp.path("state").display());
    let mut dispatcher = Dispatcher::start(&config, listen, &temp, "first", &arguments);
    if !dispatcher.wait_ready(10_000) {
        log.line(&format!("not ready: {}", dispatcher.log_text()));
        return NOT_RUN;
    }

    let mut rng = Rng(0x5DEE_CE66_D1CE_4E5B);
    play_earlier(listen, &mut rng, log);
    // Each job runs for 3 s; the crash comes 1.2 s after the last of them was sent.
    let open: Vec<(String, String)> = (0..OPEN_JOBS).map(|_| (rng.id(), rng.key())).collect();
    let jobs = open.iter().map(|(id, key)| redeem(id, key, "ms=3000")).collect();
    let clients = send_all(listen, jobs, log);
    sleep_ms(1200);
    if has_trouble() {
        let under_way = cells.taken.lock().unwrap().iter().filter(|taken| is_open(&open, taken)).count();
        log.line(&format!(
            "SIGKILL with {under_way} redeems at workers; a new process with the same state directory"
        ));
        dispatcher.kill();
        dispatcher = Dispatcher::start(&config, listen, &temp, "second", &arguments);
        if !dispatcher.wait_ready(20_000) {
            log.line(&format!("not ready: {}", dispatcher.log_text()));
            return NOT_RUN;
        }
        log.line("the new process is ready");
    }
    let answers = clients.join().unwrap_or_default();

    // A client whose connection broke sends its redeem again: the same key and body under a fresh id.
    let is_unanswered = |id: &String| !matches!(answers.get(id), Some(Answer::Whole(..)));
    let again: Vec<Job> = open
        .iter()
        .filter(|(id, _)| is_unanswered(id))
        .map(|(_, key)| redeem(&rng.id(), key, "ms=3000"))
        .collect();
    log.line(&format!("{} redeems are sent again", again.len()));
    let _ = send_all(listen, again, log).join();

    let mut runs: BTreeMap<String, Vec<Taken>> = BTreeMap::new();
    for taken in cells.taken.lock().unwrap().iter().filter(|taken| !taken.is_dropped) {
        runs.entry(taken.key.clone()).or_default().push(taken.clone());
    }
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
    for (key, runs) in &twice {
        log.line(&format!("key {key} ran more than once:"));
        for Taken { at, worker, cell, id, .. } in *runs {
            log.line(&format!("    at {at} ms on {worker} of cell {cell}, request {id}"));
        }
    }
    let (count, taken) = (twice.len(), open.iter().filter(|(_, key)| runs.contains_key(key)).count());
    let result = format!("{count} of {taken} redeems ran more than once");
    log.line(&result);
    println!("{result}");
    if twice.is_empty() { HELD } else { BROKEN }
}
