//! The workers: each has its own address, and some behave badly.

use super::report::{Report, Rule};
use super::requests::{ArrivedAttempt, AttemptState};
use super::run::Shared;
use super::{MICROS_PER_MS, Micros};
use crate::fleet::http::{HttpReader, response};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

/// How many times a status callback is tried.
const CALLBACK_TRIES: u32 = 10;
const CALLBACK_RETRY_INTERVAL: Duration = Duration::from_millis(60);
const CALLBACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a worker that hangs leaves requests unanswered.
const HANG_TIME: Duration = Duration::from_secs(10);

/// How a worker behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Behavior {
    /// Takes jobs or turns them away, and finishes what it takes.
    Normal,
    /// Reads requests and answers none.
    Hangs,
    /// Resets the connection of some requests.
    Resets,
    /// Takes jobs and reports nothing about some.
    Silent,
}

/// Connections for status callbacks to one process.
#[derive(Default)]
pub(super) struct CallbackPool(Mutex<Vec<(TcpStream, HttpReader)>>);

/// Draws the behavior of a worker.
pub(super) fn draw_behavior(random: &mut fastrand::Rng) -> Behavior {
    match random.u32(..100) {
        0..5 => Behavior::Hangs,
        5..10 => Behavior::Resets,
        10..13 => Behavior::Silent,
        _ => Behavior::Normal,
    }
}

/// Serves the connections of a worker until the run ends.
pub(super) async fn serve(shared: Arc<Shared>, worker: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        shared.report.count("connections_to_workers", 1);
        tokio::spawn(serve_connection(shared.clone(), worker, stream));
    }
}

async fn serve_connection(shared: Arc<Shared>, worker: usize, mut stream: TcpStream) {
    let mut reader = HttpReader::default();
    let mut random = fastrand::Rng::new();
    while let Ok(Some(request)) = reader.read_request(&mut stream).await {
        let at = shared.now();
        if request.method == "DELETE" {
            if let Some(id) = request.target.strip_prefix("/jobs/") {
                shared.requests.on_attempt_ended(id, worker, AttemptState::Ended);
            }
            let _ = stream.write_all(response("200 OK", "", "").as_bytes()).await;
            continue;
        }
        if request.method == "GET" {
            shared.report.count("probes", 1);
            let _ = stream.write_all(response("200 OK", "", r#"{"cpu":0.3,"x0":4.0}"#).as_bytes()).await;
            continue;
        }
        let Some(id) = request.field("x-correlation-id").map(str::to_owned) else { return };
        let stated_time = request.field("x-time-left-ms").and_then(|text| text.parse::<f64>().ok());
        let stated_time = stated_time.map(|ms| (ms * MICROS_PER_MS as f64) as Micros);
        let arrived =
            ArrivedAttempt { worker, cell: shared.cell(worker), at, stated_time, lag: shared.lag.recent() };
        shared.report.count("attempts", 1);
        let process = shared.requests.on_attempt(&id, arrived, &shared.report);
        let Some(process) = process else { return };
        check_drain(&shared, process, worker, &id, arrived);
        if !handle_job(&shared, process, worker, &id, &mut stream, &mut random).await {
            return;
        }
    }
}

/// Checks that the process had not been notified that the worker drains or is gone.
fn check_drain(shared: &Shared, process: usize, worker: usize, id: &str, arrived: ArrivedAttempt) {
    let Some(notified_at) = shared.discovery.drain_notified_at(process, worker) else { return };
    if arrived.at > notified_at + shared.drain_grace + arrived.lag {
        let late = (arrived.at - notified_at) / MICROS_PER_MS;
        let text = format!("{id} of n{process} at worker {worker}, {late} ms after the list");
        shared.report.find(arrived.at, Rule::SentToDraining, text);
    }
}

/// Handles a job. Returns whether the connection stays open.
async fn handle_job(
    shared: &Arc<Shared>,
    process: usize,
    worker: usize,
    id: &str,
    stream: &mut TcpStream,
    random: &mut fastrand::Rng,
) -> bool {
    let end = |state| shared.requests.on_attempt_ended(id, worker, state);
    if random.f64() < shared.plan.rejected_share {
        end(AttemptState::NeverRan);
        let refusal = response("503 Full", "X-Unprocessed: 1\r\n", "");
        return stream.write_all(refusal.as_bytes()).await.is_ok();
    }
    let is_bad = random.f64() < 0.5;
    match shared.behaviors[worker] {
        Behavior::Hangs if is_bad => {
            // The dispatcher gives the attempt up by closing the connection.
            let _ = tokio::time::timeout(HANG_TIME, stream.readable()).await;
            end(AttemptState::Ended);
            return false;
        }
        Behavior::Resets if is_bad => {
            end(AttemptState::Ended);
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            return false;
        }
        behavior => {
            let is_silent = behavior == Behavior::Silent && is_bad;
            let run_time = Duration::from_millis(random.u64(5..80));
            if stream.write_all(response("202 Accepted", "", "").as_bytes()).await.is_err() {
                end(AttemptState::Ended);
                return false;
            }
            if !is_silent {
                tokio::spawn(run_job(shared.clone(), process, worker, id.to_owned(), run_time));
            }
        }
    }
    true
}

async fn run_job(shared: Arc<Shared>, process: usize, worker: usize, id: String, run_time: Duration) {
    let name = shared.discovery.name(worker);
    report_status(&shared, process, &json!({"id": id, "from": name, "state": "started"}).to_string()).await;
    tokio::time::sleep(run_time).await;
    let result = result_of(&id);
    let load = json!({"cpu": 0.3, "x0": 4.0});
    let done = json!({"id": id, "from": name, "state": "done", "result": result, "load": load});
    shared.requests.on_attempt_ended(&id, worker, AttemptState::Ended);
    report_status(&shared, process, &done.to_string()).await;
}

/// The result that workers make for a request.
pub(super) fn result_of(id: &str) -> String {
    format!("result-{id}")
}

/// Sends a status callback until it is answered.
async fn report_status(shared: &Shared, process: usize, body: &str) {
    for _ in 0..CALLBACK_TRIES {
        if shared.is_over.load(Ordering::Relaxed) {
            return;
        }
        let sent = tokio::time::timeout(CALLBACK_TIMEOUT, call_back(shared, process, body)).await;
        if matches!(sent, Ok(Some(200 | 204))) {
            return;
        }
        tokio::time::sleep(CALLBACK_RETRY_INTERVAL).await;
    }
    shared.report.count("callbacks_unanswered", 1);
}

async fn call_back(shared: &Shared, process: usize, body: &str) -> Option<u16> {
    let address = shared.listen[process];
    let pool = &shared.callbacks[process];
    let kept = pool.0.lock().await.pop();
    let (mut stream, mut reader) = match kept {
        Some(connection) => connection,
        None => (TcpStream::connect(address).await.ok()?, HttpReader::default()),
    };
    let _ = stream.set_nodelay(true);
    let length = body.len();
    let head = format!("POST /_jobs/news HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).await.ok()?;
    let reply = reader.read_reply(&mut stream).await.ok()??;
    if !reply.closes_connection() {
        pool.0.lock().await.push((stream, reader));
    }
    Some(reply.status)
}

/// Counts a process's own broken invariants.
pub(super) fn report_broken_invariants(report: &Report, at: Micros, process: usize, count: u64) {
    if count > 0 {
        report.find(at, Rule::BrokenInvariant, format!("n{process} counted {count}"));
    }
}
