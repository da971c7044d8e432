//! Case 7: where the new version of an upgrade dies, redeems that it had sent run a second time in another pod. See claim.txt.
#[path = "../stand_ins_2/kit.rs"]
mod kit;

use kit::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Redeems that are under way when the new process is killed.
const JOBS: usize = 24;
/// How long each of them runs, in milliseconds.
const RUN_MS: u64 = 3_000;
/// When the new process is killed, in milliseconds after the redeems were sent.
const KILL_AFTER_MS: u64 = 1_000;

fn main() {
    run_case(play);
}

/// Sends these jobs at once and waits for all answers, which are returned by id. A client that cannot connect tries again.
fn send_all(listen: SocketAddr, jobs: &[Job], log: &Log) -> BTreeMap<String, Answer> {
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let clients: Vec<_> = jobs
        .iter()
        .cloned()
        .map(|job| {
            let (answers, log) = (answers.clone(), log.clone());
            thread::spawn(move || {
                let mut answer = Answer::Unreachable;
                for _ in 0..20 {
                    answer = send_job(listen, &job, 26_000);
                    if answer != Answer::Unreachable {
                        break;
                    }
                    sleep_ms(50);
                }
                log.line(&format!("client: {} key {} {answer:?}", job.id, job.key.as_deref().unwrap_or("")));
                answers.lock().unwrap().insert(job.id, answer);
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    answers.clone()
}

fn play(log: &Log) -> i32 {
    let temp = TempDir::create("7");
    let listen = free_address();
    let cells = Arc::new(Cells::default());
    let workers = start_workers(5, listen, &cells, log);
    let discovery = Discovery::start("discovery", 1, table(&workers), log.clone());
    let config = temp.path("config.json");
    let known = list(1, &rows(&workers));
    let write_config = |admin: SocketAddr| {
        let extra = format!("\"admin_addr\":\"{admin}\",");
        let text = configuration(listen, discovery.address, &known, "on_request", 400, &extra);
        std::fs::write(&config, text).unwrap();
    };
    write_config(free_address());
    let arguments = format!("--state {}", temp.path("state").display());
    let first = Dispatcher::start(&config, listen, &temp, "first", &arguments);
    if !first.wait_ready(10_000) {
        log.line(&format!("not ready: {}", first.log_text()));
        return NOT_RUN;
    }
    let admin = free_address();
    write_config(admin);
    log.line("the program is started a second time, with a new second address and the same $TMPDIR");
    let mut second = Dispatcher::start_again(&config, listen, &temp, "first", "second", &arguments);
    let end = Instant::now() + Duration::from_secs(6);
    while admin_call(admin, "GET /control/ready") != 200 {
        if Instant::now() > end {
            log.line(&format!("not ready: {}", second.log_text()));
            return NOT_RUN;
        }
        sleep_ms(20);
    }
    log.line("the new process says yes");

    let mut rng = Rng(0x5DEE_CE66_D1CE_4E5B);
    let redeem = |id, key| Job {
        id,
        class: "redeem",
        key: Some(key),
        time_left_ms: 25_000,
        body: format!("ms={RUN_MS}"),
    };
    let jobs: Vec<Job> = (0..JOBS).map(|_| redeem(rng.id(), rng.key())).collect();
    let clients = {
        let (jobs, log) = (jobs.clone(), log.clone());
        thread::spawn(move || send_all(listen, &jobs, &log))
    };
    sleep_ms(KILL_AFTER_MS);
    if has_trouble() {
        let under_way = cells.taken.lock().unwrap().len();
        log.line(&format!("SIGKILL to the new process, with {under_way} redeems at workers"));
        second.kill();
    }
    let answers = clients.join().unwrap_or_default();

    // A client whose connection broke sends its redeem again: the same key and body under a fresh id.
    let is_unanswered = |job: &&Job| !matches!(answers.get(&job.id), Some(Answer::Whole(..)));
    let again: Vec<Job> =
        jobs.iter().filter(is_unanswered).map(|job| Job { id: rng.id(), ..job.clone() }).collect();
    log.line(&format!("{} redeems are sent again", again.len()));
    let _ = send_all(listen, &again, log);

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
    for line in first.log_text().lines() {
        log.line(&format!("old process: {line}"));
    }
    let result = format!("{} of {} redeems ran more than once", twice.len(), runs.len());
    log.line(&result);
    println!("{result}");
    if twice.is_empty() { HELD } else { BROKEN }
}
