//! Case 10: a process that starts while discovery is down sends jobs to a worker whose drain its agent has. See claim.txt.
#[path = "../stand_ins_2/kit.rs"]
mod kit;

use kit::*;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

/// How long discovery is down, in milliseconds.
const OUTAGE_MS: u64 = 8_000;
/// How long after the begin of the outage the dispatcher is killed, in milliseconds.
const KILL_AFTER_MS: u64 = 500;
/// The grace of a drain (haatkhata-bengal), in milliseconds.
const GRACE_MS: u64 = 1_500;
/// By how much every time limit is longer on sockets (PROTOCOL), in milliseconds.
const SLACK_MS: u64 = 50;
/// The jobs after the kill, one each `JOB_INTERVAL_MS`.
const JOBS: u64 = 200;
const JOB_INTERVAL_MS: u64 = 50;

fn main() {
    run_case(play);
}

fn play(log: &Log) -> i32 {
    let temp = TempDir::create("10");
    let listen = free_address();
    let cells = Arc::new(Cells::default());
    let workers = start_workers(2, listen, &cells, log);
    let agent = Discovery::start("agent", 40, table(&workers), log.clone());
    let config = temp.path("config.json");
    let known = list(40, &rows(&workers));
    std::fs::write(&config, configuration(listen, agent.address, &known, "pushed", GRACE_MS, "")).unwrap();
    let mut dispatcher = Dispatcher::start(&config, listen, &temp, "first", "");
    if !dispatcher.wait_ready(10_000) {
        log.line(&format!("not ready: {}", dispatcher.log_text()));
        return NOT_RUN;
    }
    sleep_ms(500);
    agent.change("s-0", workers[0].row("draining"));
    let told_at = log.now();
    log.line("the agent has: s-0 drains");
    sleep_ms(2_500);

    let down_at = log.now();
    if has_trouble() {
        log.line("discovery is down: the agent is silent");
        agent.is_silent.store(true, Ordering::SeqCst);
    }
    sleep_ms(KILL_AFTER_MS);
    log.line("SIGKILL, and a new process with the same configuration");
    dispatcher.kill();
    dispatcher = Dispatcher::start(&config, listen, &temp, "second", "");
    let clients: Vec<_> = (0..JOBS)
        .map(|n| {
            sleep_ms(JOB_INTERVAL_MS);
            if log.now() >= down_at + OUTAGE_MS && agent.is_silent.swap(false, Ordering::SeqCst) {
                log.line("discovery is back");
            }
            let log = log.clone();
            let id = format!("{:016x}", 0x9b1f_03aa_5c7e_0000u64 + n);
            let job = Job { id, class: "balance", key: None, time_left_ms: 7_500, body: "ms=20".to_owned() };
            thread::spawn(move || {
                let answer = send_job(listen, &job, 8_500);
                log.line(&format!("client: {} {answer:?}", job.id));
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }

    let bound = told_at + GRACE_MS + SLACK_MS;
    let taken = cells.taken.lock().unwrap();
    let late: Vec<&Taken> =
        taken.iter().filter(|taken| taken.worker == "s-0" && taken.first_byte_at > bound).collect();
    for taken in &late {
        let after = taken.first_byte_at - told_at;
        log.line(&format!("{} was sent to s-0, which drains, {after} ms after it was told", taken.id));
    }
    for line in dispatcher.log_text().lines() {
        log.line(&format!("dispatcher: {line}"));
    }
    println!("{} jobs sent to a draining worker after the grace", late.len());
    if late.is_empty() { HELD } else { BROKEN }
}
