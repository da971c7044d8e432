//! The clients: they keep connections, send one request at a time, and some leave early.

use super::process::ProcessState;
use super::report::Rule;
use super::requests::{Repeat, SentRequest};
use super::run::Shared;
use super::worker::result_of;
use super::{MICROS_PER_MS, Micros};
use crate::fleet::HttpMessage;
use crate::fleet::http::HttpReader;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The least time that a client waits for its answer, in milliseconds.
const MIN_BUDGET_MS: u64 = 200;
/// A client waits so long beyond its time before it takes the answer for lost.
const ANSWER_GRACE: Duration = Duration::from_millis(550);
/// A request that came so long after SIGTERM must be answered even if the process is killed.
const LATE_ARRIVAL: Micros = 700 * MICROS_PER_MS;
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(60);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client's connection.
struct ClientConnection {
    stream: TcpStream,
    reader: HttpReader,
    /// The process as it was when the connection was made.
    state: Arc<ProcessState>,
    /// Whether a request was answered on the connection.
    is_used: bool,
}

/// How the wait for an answer ended.
enum Wait {
    Answered(HttpMessage),
    Closed,
    Left,
    TimedOut,
}

/// Sends requests to a process, one after the other, until the run ends.
pub(super) async fn run(shared: Arc<Shared>, process: usize, number: usize, interval: Duration) {
    let mut random = fastrand::Rng::with_seed(shared.plan.seed ^ ((process as u64) << 32) ^ number as u64);
    let mut connection = None;
    while !shared.is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(interval.mul_f64(random.f64() * 2.0)).await;
        let present = connection.take();
        let usable = match present {
            Some(connection) => Some(connection),
            None => connect(&shared, process).await,
        };
        match usable {
            Some(usable) => connection = send(&shared, process, &mut random, usable).await,
            None => tokio::time::sleep(CONNECT_RETRY_INTERVAL).await,
        }
    }
}

async fn connect(shared: &Shared, process: usize) -> Option<ClientConnection> {
    let state = shared.state(process);
    if !state.is_open.load(Ordering::SeqCst) {
        return None;
    }
    let connecting = TcpStream::connect(shared.listen[process]);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    Some(ClientConnection { stream, reader: HttpReader::default(), state, is_used: false })
}

/// Sends one request and waits for its answer. Returns the connection if it stays open.
async fn send(
    shared: &Shared,
    process: usize,
    random: &mut fastrand::Rng,
    mut connection: ClientConnection,
) -> Option<ClientConnection> {
    let id = format!("{:016x}", random.u64(..));
    let budget_ms = random.u64(MIN_BUDGET_MS..=shared.plan.deadline_ms.min(1_500));
    let (class, repeat) = match random.u32(..10) {
        0..2 => ("redeem", Repeat::InCell),
        2..4 => ("transfer", Repeat::Never),
        _ => ("balance", Repeat::Anywhere),
    };
    let sent = SentRequest { process, repeat, sent_at: shared.now(), budget: budget_ms * MICROS_PER_MS };
    shared.requests.on_sent(&id, sent);
    shared.report.count("requests", 1);
    let text = request_text(class, &id, budget_ms);
    if connection.stream.write_all(text.as_bytes()).await.is_err() {
        on_closed(shared, &id, sent, &connection, false);
        return None;
    }
    shared.requests.on_written(&id, shared.now());
    let leaves_after = (random.f64() < shared.plan.leaving_share).then(|| random.u64(1..budget_ms));
    match wait(&mut connection, budget_ms, leaves_after).await {
        Wait::Answered(reply) => {
            on_answered(shared, process, &id, &reply);
            connection.is_used = true;
            (!reply.closes_connection()).then_some(connection)
        }
        Wait::Closed => {
            let is_read = shared.requests.has_attempts(&id);
            on_closed(shared, &id, sent, &connection, is_read);
            None
        }
        Wait::Left => {
            drop(connection);
            shared.requests.on_left(&id, shared.now());
            shared.report.count("left", 1);
            None
        }
        Wait::TimedOut => {
            if is_owed(&connection, sent) {
                let text = format!("{id} of n{process} has none {budget_ms} + 550 ms after it was sent");
                shared.report.find(shared.now(), Rule::NoAnswer, text);
            }
            shared.requests.excuse(&id);
            None
        }
    }
}

fn request_text(class: &str, id: &str, budget_ms: u64) -> String {
    let key = if class == "redeem" { format!("Idempotency-Key: k{id}\r\n") } else { String::new() };
    format!(
        "POST /{class} HTTP/1.1\r\nHost: gift.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Account: steppe-mart\r\nX-Time-Left-Ms: {budget_ms}\r\n{key}Content-Length: 4\r\n\r\nbody"
    )
}

async fn wait(connection: &mut ClientConnection, budget_ms: u64, leaves_after: Option<u64>) -> Wait {
    let limit = leaves_after.map_or(Duration::from_millis(budget_ms) + ANSWER_GRACE, Duration::from_millis);
    let reply = connection.reader.read_reply(&mut connection.stream);
    match tokio::time::timeout(limit, reply).await {
        Ok(Ok(Some(reply))) => Wait::Answered(reply),
        Ok(_) => Wait::Closed,
        Err(_) if leaves_after.is_some() => Wait::Left,
        Err(_) => Wait::TimedOut,
    }
}

fn on_answered(shared: &Shared, process: usize, id: &str, reply: &HttpMessage) {
    let at = shared.now();
    shared.requests.on_answered(id, at, shared.lag.recent(), &shared.report);
    let name = match reply.status {
        200 => "served",
        429 | 503 => "refused",
        504 => "timed_out",
        _ => "failed",
    };
    shared.report.count(name, 1);
    if reply.status == 200 && reply.body != result_of(id) {
        shared.report.find(at, Rule::WrongAnswer, format!("{id} of n{process}: {}", reply.body));
    }
    if reply.status < 429 && reply.status >= 400 {
        shared.report.find(at, Rule::WrongAnswer, format!("{id} of n{process}: status {}", reply.status));
    }
}

/// Whether a request must be answered: its process has not been killed, or may not have been killed before the answer.
fn is_owed(connection: &ClientConnection, sent: SentRequest) -> bool {
    let terminated_at = connection.state.terminated_at.load(Ordering::SeqCst);
    let is_late_arrival = terminated_at > 0 && sent.sent_at > terminated_at + LATE_ARRIVAL;
    is_late_arrival || !connection.state.was_killed()
}

/// The connection ended without an answer. `is_read` says whether the request is known to have been read.
fn on_closed(shared: &Shared, id: &str, sent: SentRequest, connection: &ClientConnection, is_read: bool) {
    let is_owed = is_owed(connection, sent);
    shared.requests.excuse(id);
    if !is_owed {
        return shared.report.count("killed_open", 1);
    }
    let at = shared.now();
    let terminated_at = connection.state.terminated_at.load(Ordering::SeqCst);
    let since_signal = if terminated_at > 0 { (at - terminated_at.min(at)) / MICROS_PER_MS } else { 0 };
    let after = (at - sent.sent_at) / MICROS_PER_MS;
    let text = format!("{id} of n{} after {after} ms, {since_signal} ms after SIGTERM", sent.process);
    if is_read {
        shared.report.find(at, Rule::ClosedUnanswered, text);
    } else if !connection.is_used {
        shared.report.find(at, Rule::ResetWhenNew, text);
    } else {
        shared.report.count("crossed_close", 1);
    }
}

/// Fills a process with idle and broken clients until the run ends.
pub(super) async fn run_crowd(shared: Arc<Shared>, process: usize, number: usize) {
    let mut random =
        fastrand::Rng::with_seed(shared.plan.seed ^ 0xc0 ^ ((process as u64) << 32) ^ number as u64);
    while !shared.is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.u64(10..800))).await;
        let Some(mut connection) = connect(&shared, process).await else { continue };
        let id = format!("{:016x}", random.u64(..));
        let text = request_text("balance", &id, 500);
        let part = match random.u32(..3) {
            0 => "",
            1 => &text[..random.usize(1..text.len())],
            _ => "GET / nonsense\r\n\r\n",
        };
        let _ = connection.stream.write_all(part.as_bytes()).await;
        let rest = Duration::from_millis(random.u64(100..4_000));
        let _ = tokio::time::timeout(rest, connection.reader.read_reply(&mut connection.stream)).await;
    }
}
