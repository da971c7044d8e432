//! The whole process stays within `limits.memory_mb` whatever clients send, and answers ordinary clients meanwhile.

mod crowd;
#[path = "../common/process_memory.rs"]
mod process_memory;

use crowd::{Pattern, send_for};
use mothproxy_testkit::*;
use process_memory::memory_kib;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long each crowd sends.
const CROWD_TIME: Duration = Duration::from_millis(2_500);
/// The number of clients in a crowd.
const CLIENTS: usize = 400;

const JOB_HEAD: &str = "POST /balance HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: c1\r\nX-Service-Class: balance\r\n\
                        X-Account: steppe-mart\r\n";

fn patterns() -> Vec<Pattern> {
    let chunked = format!("{JOB_HEAD}Transfer-Encoding: chunked\r\n\r\n");
    let half_chunked = format!("{chunked}{}", "1\r\nx\r\n".repeat(60_000));
    let half_body = format!("{JOB_HEAD}Content-Length: 65536\r\n\r\n{}", "b".repeat(60_000));
    let many_fields = format!("POST /balance HTTP/1.1\r\n{}", "a:\r\n".repeat(3_900));
    let pattern = |name, head: String, repeated: &str| Pattern {
        name,
        head: head.into_bytes(),
        repeated: repeated.repeat(2_000).into_bytes(),
    };
    vec![
        pattern("chunks of one byte", chunked, "1\r\nx\r\n"),
        pattern("a large body in chunks of one byte that stops", half_chunked, ""),
        pattern("a large request that stops half way", half_body, ""),
        pattern("a head of many short fields", many_fields, ""),
        pattern(
            "small requests without an id",
            String::new(),
            "POST /balance HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        ),
    ]
}

/// Sends ordinary jobs, one after the other, until told to stop. Returns how many were answered with their result, and how many
/// were not.
fn send_ordinary_jobs(to: SocketAddr, is_over: &AtomicBool) -> (usize, usize) {
    let (mut served, mut others) = (0, 0);
    while !is_over.load(Ordering::SeqCst) {
        match send(to, &simple_job(&format!("ordinary-{}", served + others))) {
            Some(reply) if reply.status == 200 => served += 1,
            _ => others += 1,
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    (served, others)
}

/// Plays a pattern against one process with this limit. Returns the peak memory of the process in KiB, and the ordinary jobs that
/// were served and that were not.
fn play(memory_mb: u64, pattern: &Pattern) -> (u64, usize, usize) {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker))
        .configure(|config| config["limits"]["memory_mb"] = json!(memory_mb))
        .start();
    println!("base {} KiB", memory_kib(program.pid(), "VmHWM"));
    let (to, is_over) = (program.platform, AtomicBool::new(false));
    let (served, others) = std::thread::scope(|scope| {
        let ordinary = scope.spawn(|| send_ordinary_jobs(to, &is_over));
        send_for(CROWD_TIME, CLIENTS, to, pattern);
        is_over.store(true, Ordering::SeqCst);
        ordinary.join().expect("thread panicked")
    });
    (memory_kib(program.pid(), "VmHWM"), served, others)
}

/// During a hot restart the two processes stay within the limit together.
#[test]
fn two_processes_of_a_hot_restart_share_the_memory_limit() {
    const MEMORY_MB: u64 = 48;
    let worker = FakeWorker::start("s-1");
    let folder = tempfile::tempdir().expect("cannot create the temporary directory");
    let start_at = |listen: String| {
        DispatcherProcess::builder(std::slice::from_ref(&worker))
            .temp_dir(folder.path())
            .configure(move |config| {
                config["listen"] = json!(listen);
                config["limits"]["memory_mb"] = json!(MEMORY_MB);
            })
            .start()
    };
    let predecessor = start_at("127.0.0.1:0".to_owned());
    let (to, pattern) = (predecessor.platform, &patterns()[1]);
    let successor = std::thread::scope(|scope| {
        scope.spawn(|| send_for(CROWD_TIME, CLIENTS, to, pattern));
        std::thread::sleep(CROWD_TIME / 2);
        start_at(to.to_string())
    });
    let peaks = [&predecessor, &successor].map(|program| memory_kib(program.pid(), "VmHWM"));
    println!("{MEMORY_MB} MB, a hot restart: peaks {peaks:?} KiB");
    assert!(peaks.iter().sum::<u64>() <= MEMORY_MB * 1024, "{peaks:?} KiB");
    assert_eq!(send(to, &simple_job("after")).expect("no complete response").status, 200);
}

/// The limits to play, in megabytes: those of `MEMORY_LIMITS`, separated by commas, or two that are soon exceeded.
fn memory_limits() -> Vec<u64> {
    let text = std::env::var("MEMORY_LIMITS").unwrap_or_else(|_| "24,48".to_owned());
    text.split(',').map(|limit| limit.parse().expect("MEMORY_LIMITS is not a list of numbers")).collect()
}

/// Guards against a process that is killed for its memory: hundreds of clients that wrote slowly, stopped half way through a
/// large request or sent heads of many short fields took more than the limit.
#[test]
fn crowds_of_bad_clients_do_not_exceed_the_memory_limit() {
    let mut faults = Vec::new();
    for memory_mb in memory_limits() {
        for pattern in patterns() {
            let (peak, served, others) = play(memory_mb, &pattern);
            let line = format!(
                "{memory_mb} MB, {}: peak {peak} KiB, ordinary jobs {served} served, {others} not",
                pattern.name
            );
            println!("{line}");
            if peak > memory_mb * 1024 || served == 0 || others > 0 {
                faults.push(line);
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
