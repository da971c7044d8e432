//! Case 9: a planned stop ends before the final event of a job has reached its client. See claim.txt.
#[path = "../stand_ins_2/kit.rs"]
mod kit;

use kit::*;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// When the client submits its job, in milliseconds after SIGTERM. New connections keep arriving for 200 to 400 ms.
const SUBMIT_AFTER_MS: u64 = 150;
/// When the client's first stream breaks, in milliseconds after the job was submitted.
const DROP_AFTER_MS: u64 = 300;
/// How long the page waits for the final event, in milliseconds.
const WAIT_MS: u64 = 10_000;
/// How long an event source waits before it connects again where the stream has not said, in milliseconds.
const RECONNECT_MS: u64 = 500;
/// How long after SIGTERM SIGKILL comes at the soonest: 3 s for the longest deadline, and 0.7 s, in milliseconds.
const SIGKILL_AFTER_MS: u64 = 3_700;

/// How an event source ends for its page.
#[derive(Debug, PartialEq)]
enum End {
    /// A final event came.
    Final,
    /// The stream was answered with another status than 200, after which an event source does not connect again.
    Refused,
    /// No final event came in time.
    Nothing,
}

fn main() {
    run_case(play);
}

/// Submits a job. Returns the path of its stream.
fn submit(listener: SocketAddr, log: &Log) -> Option<String> {
    let mut stream = connect(listener)?;
    let text = "POST /redeem HTTP/1.1\r\nHost: origin.svc\r\nPrefer: respond-async\r\n\
                X-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Service-Class: redeem\r\nX-Account: steppe-mart\r\n\
                X-Time-Left-Ms: 20000\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n\
                Connection: close\r\nContent-Length: 7\r\n\r\nms=1600";
    stream.write_all(text.as_bytes()).ok()?;
    let answer = read_message(&mut stream, &mut Vec::new())?;
    let location = answer.field("location")?.to_owned();
    log.line(&format!("client: submitted, answered {} with {location}", answer.status()));
    (answer.status() == 202).then_some(location)
}

/// Follows a job as an event source does: it connects again after the end of a stream or a failed connection, as long after it as
/// the last `retry` said, and never after another status than 200. Its first stream breaks at `drop_at`.
fn follow(listener: SocketAddr, location: &str, drop_at: Instant, log: &Log) -> End {
    let started = Instant::now();
    let mut last_id = String::new();
    let mut is_first = true;
    let mut reconnect_ms = RECONNECT_MS;
    while started.elapsed() < Duration::from_millis(WAIT_MS) {
        let resume = if last_id.is_empty() { String::new() } else { format!("Last-Event-ID: {last_id}\r\n") };
        let text = format!(
            "GET {location} HTTP/1.1\r\nHost: origin.svc\r\nAccept: text/event-stream\r\n{resume}\r\n"
        );
        let mut received = String::new();
        let Some(mut stream) = connect(listener) else {
            log.line("client: cannot connect");
            sleep_ms(reconnect_ms);
            continue;
        };
        log.line(&format!("client: opens the stream after event {last_id:?}"));
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        let _ = stream.write_all(text.as_bytes());
        let mut bytes = [0; 4096];
        while !(is_first && Instant::now() >= drop_at) {
            match stream.read(&mut bytes) {
                Ok(0) => break,
                Ok(read) => {
                    let piece = String::from_utf8_lossy(&bytes[..read]);
                    log.line(&format!("client: reads {piece:?}"));
                    received.push_str(&piece);
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
            if ["event: done", "event: deny", "event: failed"].iter().any(|end| received.contains(end)) {
                return End::Final;
            }
            if !received.is_empty() && !received.starts_with("HTTP/1.1 200") {
                return End::Refused;
            }
        }
        is_first = false;
        log.line("client: the stream is broken");
        last_id = received
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .last()
            .unwrap_or(&last_id)
            .to_owned();
        let told = received.lines().filter_map(|line| line.strip_prefix("retry: ")).next_back();
        reconnect_ms = told.and_then(|digits| digits.parse().ok()).unwrap_or(reconnect_ms);
        log.line(&format!("client: connects again in {reconnect_ms} ms, as it was told"));
        drop(stream);
        sleep_ms(reconnect_ms);
    }
    End::Nothing
}

fn play(log: &Log) -> i32 {
    let temp = TempDir::create("9");
    let (listen, sse) = (free_address(), free_address());
    let cells = Arc::new(Cells::default());
    let workers = start_workers(2, listen, &cells, log);
    let discovery = Discovery::start("discovery", 1, table(&workers), log.clone());
    let config = temp.path("config.json");
    let known = list(1, &rows(&workers));
    std::fs::write(&config, configuration(listen, discovery.address, &known, "on_request", 400, "")).unwrap();
    let settings = temp.path("operators.txtpb");
    std::fs::write(&settings, format!("streams {{ listen: \"{sse}\" }}\n")).unwrap();
    let arguments = format!("--settings {}", settings.display());
    let mut dispatcher = Dispatcher::start(&config, listen, &temp, "first", &arguments);
    if !dispatcher.wait_ready(10_000) {
        log.line(&format!("not ready: {}", dispatcher.log_text()));
        return NOT_RUN;
    }

    let term_at = Instant::now();
    if has_trouble() {
        log.line("SIGTERM");
        dispatcher.signal(SIGTERM);
    }
    sleep_ms(SUBMIT_AFTER_MS);
    let Some(location) = submit(sse, log) else { return NOT_RUN };
    let drop_at = Instant::now() + Duration::from_millis(DROP_AFTER_MS);
    let client = {
        let log = log.clone();
        thread::spawn(move || follow(sse, &location, drop_at, &log))
    };
    if has_trouble() {
        let mut has_ended = false;
        while !has_ended && term_at.elapsed() < Duration::from_millis(SIGKILL_AFTER_MS) {
            sleep_ms(5);
            has_ended = matches!(dispatcher.child.try_wait(), Ok(Some(_)));
        }
        let how = if has_ended { "the process has ended by itself" } else { "SIGKILL" };
        log.line(&format!("{how} {} ms after SIGTERM", term_at.elapsed().as_millis()));
        dispatcher.kill();
    }
    let end = client.join().unwrap_or(End::Nothing);
    let result = format!("the page's event source ended: {end:?}");
    log.line(&result);
    println!("{result}");
    if end == End::Final { HELD } else { BROKEN }
}
