//! Case 10: after a move to a slow discovery service, jobs go to a worker that drains. See claim.txt.
#[path = "../stand_ins_2/kit.rs"]
mod kit;

use kit::*;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

/// How long the new service takes for an answer, in milliseconds.
const LATENCY_MS: u64 = 2_800;
/// The grace of a drain (alumni-hosting), in milliseconds.
const GRACE_MS: u64 = 2_000;
/// How long after SIGHUP a change counts as told (LATER of next/1), in milliseconds.
const TOLD_AFTER_MS: u64 = 4_000;
/// By how much every time limit is longer on sockets (PROTOCOL), in milliseconds.
const SLACK_MS: u64 = 50;
/// The jobs after SIGHUP, one each `JOB_INTERVAL_MS`.
const JOBS: u64 = 440;
const JOB_INTERVAL_MS: u64 = 25;

fn main() {
    run_case(play);
}

fn play(log: &Log) -> i32 {
    let temp = TempDir::create("10");
    let listen = free_address();
    let cells = Arc::new(Cells::default());
    let workers = start_workers(2, listen, &cells, log);
    let old = Discovery::start("old discovery", 40, table(&workers), log.clone());
    let new = Discovery::start("new discovery", 40, table(&workers), log.clone());
    let config = temp.path("config.json");
    let known = list(40, &rows(&workers));
    let text = |at| configuration(listen, at, &known, "on_request", GRACE_MS, "");
    std::fs::write(&config, text(old.address)).unwrap();
    let dispatcher = Dispatcher::start(&config, listen, &temp, "first", "");
    if !dispatcher.wait_ready(10_000) {
        log.line(&format!("not ready: {}", dispatcher.log_text()));
        return NOT_RUN;
    }
    sleep_ms(2_000);

    if has_trouble() {
        new.latency_ms.store(LATENCY_MS, Ordering::SeqCst);
    }
    // A worker drains. The new service has it; the old one tells nothing more.
    new.change("s-0", workers[0].row("draining"));
    let file = temp.path("new.json");
    std::fs::write(&file, text(new.address)).unwrap();
    std::fs::rename(&file, &config).unwrap();
    let moved_at = log.now();
    log.line("SIGHUP: the configuration names the new discovery, where s-0 drains");
    dispatcher.signal(SIGHUP);

    let clients: Vec<_> = (0..JOBS)
        .map(|n| {
            sleep_ms(JOB_INTERVAL_MS);
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

    let bound = moved_at + TOLD_AFTER_MS + GRACE_MS + SLACK_MS;
    let taken = cells.taken.lock().unwrap();
    let late: Vec<&Taken> =
        taken.iter().filter(|taken| taken.worker == "s-0" && taken.first_byte_at > bound).collect();
    for taken in &late {
        let after = taken.first_byte_at - moved_at;
        log.line(&format!("{} was sent to s-0, which drains, {after} ms after SIGHUP", taken.id));
    }
    for line in dispatcher.log_text().lines() {
        log.line(&format!("dispatcher: {line}"));
    }
    println!("{} jobs sent to a draining worker after the grace", late.len());
    if late.is_empty() { HELD } else { BROKEN }
}
