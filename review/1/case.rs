//! Case 1: a worker's second 202 comes some milliseconds late, and a job that may not leave its pod runs in two pods.
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

/// How late a second answer comes.
const SECOND_ANSWER_MS: u64 = 5;
/// How long a worker takes to turn a job away.
const TURN_AWAY_MS: u64 = 10;
/// How long a job runs, and a short one.
const RUN_MS: u64 = 700;
const SHORT_RUN_MS: u64 = 30;
const ROUNDS: usize = 15;
/// How long a client waits for its answer.
const TIME_LEFT_MS: u64 = 1500;
const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// A worker that runs what it accepts, and turns away what comes while it is full. The body of a job says whether it is full then.
struct Worker {
    name: &'static str,
    cell: u32,
    dispatcher: OnceLock<SocketAddr>,
    running: AtomicUsize,
    /// How many jobs it accepted, and how many second answers it sent.
    accepted: AtomicUsize,
    second_answers: AtomicUsize,
    /// The cells in which each job ran, of all workers.
    runs: Arc<Mutex<BTreeMap<String, Vec<u32>>>>,
}

impl Worker {
    fn serve_connection(self: &Arc<Self>, stream: TcpStream) {
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        let write = |text: &str| writer.lock().unwrap().write_all(text.as_bytes()).is_ok();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let id = request.field("x-correlation-id").to_owned();
            if !request.first_line.starts_with("POST ") {
                record(&format!("{}: {}", self.name, request.first_line));
                write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if request.body == "full" {
                record(&format!("{}: {id} arrives, the worker is full", self.name));
                sleep_ms(TURN_AWAY_MS);
                record(&format!("{}: {id} is turned away unstarted (503, X-Unprocessed: 1)", self.name));
                write("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            record(&format!("{}: {id} arrives and is accepted (202), key {}", self.name, request.field("idempotency-key")));
            self.running.fetch_add(1, Ordering::SeqCst);
            let is_repeat = {
                let mut runs = self.runs.lock().unwrap();
                let cells = runs.entry(id.clone()).or_default();
                let is_repeat = cells.contains(&self.cell);
                if !is_repeat {
                    cells.push(self.cell);
                }
                is_repeat
            };
            write(ACCEPTED);
            self.accepted.fetch_add(1, Ordering::SeqCst);
            if has_trouble() && request.body == "answered twice" {
                let (worker, writer, id) = (self.clone(), writer.clone(), id.clone());
                std::thread::spawn(move || {
                    sleep_ms(SECOND_ANSWER_MS);
                    record(&format!("{}: the second 202 to {id}", worker.name));
                    let _ = writer.lock().unwrap().write_all(ACCEPTED.as_bytes());
                    worker.second_answers.fetch_add(1, Ordering::SeqCst);
                });
            }
            let (worker, run_ms) = (self.clone(), if request.body == "short" { SHORT_RUN_MS } else { RUN_MS });
            std::thread::spawn(move || worker.run(&id, run_ms, is_repeat));
        }
    }

    /// Runs a job. A repeat of one that its cell has seen is dropped: it gets the same result and does not run.
    fn run(&self, id: &str, run_ms: u64, is_repeat: bool) {
        self.report(&format!("{{\"id\":\"{id}\",\"from\":\"{}\",\"state\":\"started\"}}", self.name));
        sleep_ms(run_ms);
        let free = 16 - self.running.fetch_sub(1, Ordering::SeqCst);
        let what = if is_repeat { "was dropped as a repeat" } else { "has run" };
        record(&format!("{}: {id} {what} in cell {}", self.name, self.cell));
        self.report(&format!(
            "{{\"id\":\"{id}\",\"from\":\"{}\",\"state\":\"done\",\"result\":\"{id} in cell {}\",\
             \"load\":{{\"err_rps\":0.0,\"avg_ms\":100.0,\"cpu\":0.3,\"x0\":{free}}}}}",
            self.name, self.cell
        ));
    }

    /// Reports to the dispatcher, ten times at most.
    fn report(&self, body: &str) {
        let Some(dispatcher) = self.dispatcher.get() else { return };
        let request = format!("POST /_jobs/news HTTP/1.1\r\nHost: n0\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let is_taken = |answer: Message| matches!(answer.status(), 200 | 204);
        for _ in 0..10 {
            if call(*dispatcher, &request, 1).is_some_and(is_taken) {
                return;
            }
            sleep_ms(100);
        }
    }
}

/// Waits until a condition holds, for at most 100 ms, and looks every 0.1 ms.
fn wait_briefly(mut condition: impl FnMut() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        std::thread::sleep(std::time::Duration::from_micros(100));
    }
}

/// Sends one job, as a client that waits for its answer for [`TIME_LEFT_MS`].
fn send(listen: SocketAddr, id: String, body: &'static str) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        record(&format!("client: sends {id}, \"{body}\""));
        let answer = call(listen, &job("redeem", &id, Some(&format!("key-{id}")), TIME_LEFT_MS, "", body), 5);
        let answer = answer.map_or("nothing".to_owned(), |answer| format!("{} {}", answer.status(), answer.body));
        record(&format!("client: {id} is answered: {answer}"));
    })
}

fn main() {
    begin("case 1");
    let runs: Arc<Mutex<BTreeMap<String, Vec<u32>>>> = Arc::default();
    let mut workers = Vec::new();
    let mut rows = Vec::new();
    for (name, cell) in [("s-0", 1), ("s-1", 2)] {
        let worker = Arc::new(Worker {
            name,
            cell,
            dispatcher: OnceLock::new(),
            running: AtomicUsize::new(0),
            accepted: AtomicUsize::new(0),
            second_answers: AtomicUsize::new(0),
            runs: runs.clone(),
        });
        let serving = worker.clone();
        rows.push(row(name, serve(move |stream| serving.serve_connection(stream)), cell));
        workers.push(worker);
    }
    let rows = rows.join(",");
    let discovery = start_discovery(rows.clone());
    let (listen, admin) = (free_address(), free_address());
    workers.iter().for_each(|worker| worker.dispatcher.set(listen).expect("set once"));
    let dispatcher = Dispatcher::start("n0", &configuration(listen, admin, discovery, &rows), admin, "");
    wait_until_up(listen);
    let sum = |count: fn(&Worker) -> &AtomicUsize| {
        workers.iter().map(|worker| count(worker).load(Ordering::SeqCst)).sum::<usize>()
    };
    for round in 0..ROUNDS {
        // Short jobs, after which the dispatcher knows the free slots of both workers and holds idle connections to them.
        let short: Vec<_> = (0..4).map(|n| send(listen, format!("r{round}-short{n}"), "short")).collect();
        short.into_iter().for_each(|client| client.join().unwrap());
        let (accepted, second_answers) = (sum(|worker| &worker.accepted), sum(|worker| &worker.second_answers));
        let mut clients = Vec::new();
        let mut send_pair = |body: &'static str| {
            for n in 0..2 {
                clients.push(send(listen, format!("r{round}-{}{n}", body.replace(' ', "-")), body));
                std::thread::sleep(std::time::Duration::from_micros(500));
            }
        };
        send_pair("answered twice");
        wait_briefly(|| sum(|worker| &worker.accepted) >= accepted + 2);
        send_pair("full");
        if has_trouble() {
            wait_briefly(|| sum(|worker| &worker.second_answers) >= second_answers + 2);
        } else {
            sleep_ms(SECOND_ANSWER_MS);
        }
        send_pair("once");
        clients.into_iter().for_each(|client| client.join().unwrap());
    }
    sleep_ms(RUN_MS);
    dispatcher.terminate(10);
    dispatcher.record_log();
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, cells)| cells.len() > 1).collect();
    for (id, cells) in &twice {
        record(&format!("broken: {id} ran {} times, in cells {cells:?}", cells.len()));
    }
    let second_answers = sum(|worker| &worker.second_answers);
    record(&format!("{} jobs ran, {second_answers} second answers, {} jobs ran in two cells", runs.len(), twice.len()));
    if runs.len() < 4 * ROUNDS || has_trouble() && second_answers == 0 {
        end(NOT_RUN, "too few jobs ran");
    }
    match twice.len() {
        0 => end(HELD, "held: no job ran twice"),
        count => end(BROKEN, &format!("broken: {count} jobs ran in two cells")),
    }
}
