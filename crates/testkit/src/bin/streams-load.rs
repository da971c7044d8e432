//! Measures many concurrent streams: the memory per stream and the delay from a worker's event to the client. Also checks that
//! each stream gets one final event.
//!
//! `streams-load --streams 1000 [--jobs N] [--json]` opens this many streams on N jobs (by default one job per stream), whose
//! workers send progress events with timestamps. The delay is measured at the clients. For the baseline of the same run, a
//! thread of this program writes the same events on a plain connection.

use clap::Parser;
use hdrhistogram::Histogram;
use mothproxy_testkit::{DispatcherProcess, FakeWorker, job_request, micros_since, send, timestamp_fraction};
use rustix::event::epoll::{self, EventData, EventFlags};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The minimum number of events of the baseline.
const MIN_BASELINE_EVENTS: u32 = 200;
const BASELINE_INTERVAL: Duration = Duration::from_millis(2);
/// The time from the submission of the jobs until the memory is measured, in which the dispatcher finishes its work for them.
const SETTLE_AFTER_JOBS: Duration = Duration::from_millis(500);
/// The time from the opening of the streams until the memory is measured.
const SETTLE_AFTER_STREAMS: Duration = Duration::from_millis(1_500);
const WORKERS: usize = 8;

#[derive(Parser)]
struct Args {
    /// Number of concurrent streams.
    #[arg(long, default_value_t = 100)]
    streams: usize,
    /// Number of jobs that the streams follow; by default one per stream.
    #[arg(long)]
    jobs: Option<usize>,
    /// Number of progress events of each job.
    #[arg(long, default_value_t = 20)]
    events: u32,
    /// Interval between the progress events of a job, in milliseconds.
    #[arg(long, default_value_t = 200)]
    every: u64,
    /// Maximum number of times that each stream is disconnected and resumed.
    #[arg(long, default_value_t = 0)]
    drops: u32,
    /// Seed of the random disconnects.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Make all workers send their events at the same time.
    #[arg(long)]
    together: bool,
    /// Print the result as one line of JSON.
    #[arg(long)]
    json: bool,
}

/// The client of one stream.
struct Client {
    path: String,
    connection: TcpStream,
    /// Bytes that were read and are not a complete event yet.
    unparsed: Vec<u8>,
    last_id: u64,
    final_events: u32,
    drops: u32,
    is_over: bool,
}

impl Client {
    fn open(to: SocketAddr, path: String) -> Client {
        let connection = open_stream(to, &path, 0);
        Client {
            path,
            connection,
            unparsed: Vec::new(),
            last_id: 0,
            final_events: 0,
            drops: 0,
            is_over: false,
        }
    }

    /// Drops the connection and resumes the stream after the last event.
    fn resume(&mut self, to: SocketAddr) {
        self.drops += 1;
        self.unparsed.clear();
        self.connection = open_stream(to, &self.path, self.last_id);
    }
}

fn open_stream(to: SocketAddr, path: &str, last_id: u64) -> TcpStream {
    let mut connection = TcpStream::connect(to).expect("cannot connect to the dispatcher");
    let resume = if last_id > 0 { format!("Last-Event-ID: {last_id}\r\n") } else { String::new() };
    let request = format!("GET {path} HTTP/1.1\r\nHost: n0\r\n{resume}\r\n");
    connection.write_all(request.as_bytes()).expect("write failed");
    connection.set_nonblocking(true).expect("cannot set socket option");
    connection
}

/// The resident memory of a process, in bytes.
fn resident_memory(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    line.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap_or(0) * 1024
}

/// The CPU time of a process, in milliseconds, at 100 clock ticks per second.
fn cpu_time(pid: u32) -> u64 {
    // The indices of fields of `/proc/PID/stat` after the command.
    const USER_TICKS: usize = 11;
    const SYSTEM_TICKS: usize = 12;
    const MS_PER_TICK: u64 = 10;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    (ticks(USER_TICKS) + ticks(SYSTEM_TICKS)) * MS_PER_TICK
}

/// Measures the delays of the same events on a plain connection, which is the part of the delay that the machine causes.
fn baseline(events: u32) -> Histogram<u64> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    let writer =
        std::thread::spawn(move || write_baseline_events(&listener, events.max(MIN_BASELINE_EVENTS)));
    let mut connection = TcpStream::connect(address).expect("cannot connect");
    let (mut delays, mut buffer) = (histogram(), [0; 4096]);
    while let Ok(length @ 1..) = connection.read(&mut buffer) {
        shares(&buffer[..length]).for_each(|share| delays.saturating_record(micros_since(share).max(1)));
    }
    writer.join().expect("writer thread panicked");
    delays
}

fn write_baseline_events(listener: &TcpListener, events: u32) {
    let (mut connection, _) = listener.accept().expect("cannot accept the connection");
    connection.set_nodelay(true).expect("cannot set socket option");
    for _ in 0..events {
        std::thread::sleep(BASELINE_INTERVAL);
        let event = format!("data: {{\"share\":{}}}\n\n", timestamp_fraction());
        connection.write_all(event.as_bytes()).expect("write failed");
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 100_000_000, 3).expect("invalid histogram bounds")
}

/// The `share` fields of these events, which contain the send times.
fn shares(bytes: &[u8]) -> impl Iterator<Item = f64> + '_ {
    let text = std::str::from_utf8(bytes).unwrap_or("");
    text.split("\"share\":").skip(1).filter_map(|rest| rest.split('}').next()?.parse().ok())
}

/// The measurements of a run.
struct Measures {
    /// The delays of progress events, in microseconds.
    delays: Histogram<u64>,
    /// The number of `missed` events, by which the dispatcher reports omitted events.
    missed: u64,
}

/// Parses and evaluates the complete events that a client has read.
fn take_events(client: &mut Client, measures: &mut Measures) {
    while let Some(end) = client.unparsed.windows(2).position(|w| w == b"\n\n") {
        let block: Vec<u8> = client.unparsed.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&block);
        let field =
            |name: &str| text.lines().find_map(|l| l.strip_prefix(name).map(str::trim).map(str::to_owned));
        let (Some(event), id) = (field("event:"), field("id:")) else { continue };
        if event == "missed" {
            measures.missed += 1;
            continue;
        }
        let id: u64 = id.and_then(|id| id.parse().ok()).expect("event without an id");
        assert!(id > client.last_id, "event id {id} after {}: repeated or out of order", client.last_id);
        client.last_id = id;
        match event.as_str() {
            "progress" if client.drops == 0 => {
                let delays = shares(&block).map(|share| micros_since(share).max(1));
                delays.for_each(|delay| measures.delays.saturating_record(delay));
            }
            "done" | "deny" | "failed" => client.final_events += 1,
            _ => {}
        }
    }
}

fn start_dispatcher(workers: &[Arc<FakeWorker>]) -> DispatcherProcess {
    let file = std::env::temp_dir().join(format!("mothproxy-load-{}.toml", std::process::id()));
    std::fs::write(&file, "listen = \"127.0.0.1:0\"\nstreams_per_tenant = 20000\n")
        .expect("cannot write the temporary file");
    let flags = [std::ffi::OsStr::new("--sse"), file.as_os_str()];
    let dispatcher = DispatcherProcess::builder(workers)
        .args(&flags)
        .configure(|config| {
            config["limits"] = json!({"cores": 1.0, "memory_mb": 8192, "sockets": 30_000});
            config["settings"]["Grades"][1]["DeadlineMs"] = json!(120_000.0);
            config["settings"]["Grades"][1]["TargetMs"] = json!(100_000.0);
        })
        .start();
    let _ = std::fs::remove_file(&file);
    dispatcher
}

/// Submits the jobs on several threads. Returns the path of each job's stream. The jobs begin to send once the gate `go` is
/// open; their send times are spread over the interval, except with `--together`.
fn submit_jobs(args: &Args, jobs: usize, sse: SocketAddr) -> Vec<String> {
    const THREADS: usize = 8;
    let submit = |number: usize| {
        let offset = if args.together { 0 } else { number as u64 * args.every / jobs as u64 };
        let script =
            format!("stream started wait=go pause={offset} tick={},{} done=x", args.events, args.every);
        let request = job_request(&format!("j{number}"), "redeem", &script, "Prefer: respond-async\r\n");
        let reply = send(sse, &request).expect("no complete response");
        assert_eq!(reply.status, 202, "{}", reply.head);
        (number, reply.header("Location").expect("no Location header").to_owned())
    };
    let mut paths: Vec<(usize, String)> = std::thread::scope(|scope| {
        let part = |first: usize| move || -> Vec<_> { (first..jobs).step_by(THREADS).map(submit).collect() };
        let threads: Vec<_> = (0..THREADS).map(|first| scope.spawn(part(first))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("thread panicked")).collect()
    });
    paths.sort();
    paths.into_iter().map(|(_, path)| path).collect()
}

fn watch_readable(epoll: &OwnedFd, connection: &TcpStream, client: usize) {
    epoll::add(epoll, connection, EventData::new_u64(client as u64), EventFlags::IN)
        .expect("epoll call failed");
}

/// Reads all streams to their final events, with random disconnects and resumptions. Stops after a minute.
fn follow_streams(args: &Args, sse: SocketAddr, epoll: &OwnedFd, clients: &mut [Client]) -> Measures {
    const TIMEOUT: Duration = Duration::from_secs(60);
    let mut measures = Measures { delays: histogram(), missed: 0 };
    let mut open_count = clients.len();
    let (mut rng, mut events, mut buffer) =
        (fastrand::Rng::with_seed(args.seed), Vec::with_capacity(1024), [0; 16_384]);
    let started = Instant::now();
    while open_count > 0 && started.elapsed() < TIMEOUT {
        events.clear();
        let wait = rustix::event::Timespec { tv_sec: 1, tv_nsec: 0 };
        let _ = epoll::wait(epoll, rustix::buffer::spare_capacity(&mut events), Some(&wait)); // a failed wait is repeated
        for event in &events {
            let number = event.data.u64() as usize;
            let client = &mut clients[number];
            let is_ended = match client.connection.read(&mut buffer) {
                Ok(0) => true,
                Ok(length) => {
                    client.unparsed.extend(&buffer[..length]);
                    take_events(client, &mut measures);
                    client.final_events > 0
                }
                Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            };
            let is_dropped =
                client.final_events == 0 && client.drops < args.drops && rng.u32(0..args.events.max(2)) == 0;
            if client.final_events > 0 && !client.is_over {
                client.is_over = true;
                open_count -= 1;
                let _ = epoll::delete(epoll, &client.connection);
            } else if is_dropped || (is_ended && client.final_events == 0) {
                let _ = epoll::delete(epoll, &client.connection);
                client.resume(sse);
                watch_readable(epoll, &client.connection, number);
            }
        }
    }
    measures
}

/// Opens `count` streams, distributed evenly over these paths.
fn open_streams(count: usize, sse: SocketAddr, paths: &[String], epoll: &OwnedFd) -> Vec<Client> {
    let open = |number: usize| {
        let client = Client::open(sse, paths[number % paths.len()].clone());
        watch_readable(epoll, &client.connection, number);
        client
    };
    (0..count).map(open).collect()
}

/// Runs the load and returns the measurements.
fn run(args: &Args) -> Value {
    let workers: Vec<_> = (0..WORKERS).map(|n| FakeWorker::start(&format!("s-{n}"))).collect();
    let dispatcher = start_dispatcher(&workers);
    let (sse, pid) = (dispatcher.sse.expect("no SSE listener"), dispatcher.pid());
    let jobs = args.jobs.unwrap_or(args.streams).max(1);
    let paths = submit_jobs(args, jobs, sse);
    std::thread::sleep(SETTLE_AFTER_JOBS);
    let memory_before = resident_memory(pid);
    let epoll = epoll::create(epoll::CreateFlags::CLOEXEC).expect("epoll call failed");
    let mut clients = open_streams(args.streams, sse, &paths, &epoll);
    std::thread::sleep(SETTLE_AFTER_STREAMS);
    let idle_memory = resident_memory(pid);
    let (cpu_before, started) = (cpu_time(pid), Instant::now());
    workers.iter().for_each(|worker| worker.open_gate("go"));
    let Measures { delays, missed } = follow_streams(args, sse, &epoll, &mut clients);
    let (seconds, cpu_ms) = (started.elapsed().as_secs_f64(), cpu_time(pid) - cpu_before);
    let final_events: u32 = clients.iter().map(|client| client.final_events).sum();
    let with_repeated_final_event = clients.iter().filter(|client| client.final_events > 1).count();
    drop(clients);
    let metrics: BTreeMap<String, u64> = dispatcher.shut_down_for_metrics();
    let ended = metrics["served"] + metrics["denied"] + metrics["failed"] + metrics["gone"];
    let ms =
        |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    let baseline = baseline(args.events);
    json!({
        "streams": args.streams, "jobs": jobs, "finals": final_events, "doubled": with_repeated_final_event, "missed": missed,
        "jobs_ended": ended, "jobs_taken": metrics["taken"], "drops": args.drops, "seed": args.seed,
        "bytes_per_quiet_stream": idle_memory.saturating_sub(memory_before) as f64 / args.streams as f64,
        "delay_p50_ms": ms(&delays, 0.5), "delay_p99_ms": ms(&delays, 0.99), "delays": delays.len(),
        "baseline_p50_ms": ms(&baseline, 0.5), "baseline_p99_ms": ms(&baseline, 0.99),
        "cpu_ms": cpu_ms, "seconds": seconds, "events_a_second": delays.len() as f64 / seconds,
    })
}

fn main() {
    let args = Args::parse();
    let results = run(&args);
    if args.json {
        println!("{results}");
    } else {
        println!("{}", serde_json::to_string_pretty(&results).expect("cannot serialize the results"));
    }
    let passed = results["finals"] == args.streams
        && results["doubled"] == 0
        && results["jobs_taken"] == results["jobs_ended"];
    std::process::exit(i32::from(!passed));
}
