//! Many streams at once: memory a stream, delay from a node's event to the client, and that each job has one final event.
//!
//! `streams-load --streams 1000 [--jobs N] [--json]`: so many streams on so many jobs (one each, unless N says otherwise), whose
//! nodes send progress with its time. The delay is what clients see; the baseline in the same run is a plain connection that a
//! thread of this program writes the same bytes to.

use clap::Parser;
use hdrhistogram::Histogram;
use mothproxy_testkit::{DispatcherProcess, FakeWorker, job_request, micros_since, send, timestamp_fraction};
use rustix::event::epoll::{self, EventData, EventFlags};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Parser)]
struct Args {
    /// Streams open at once.
    #[arg(long, default_value_t = 100)]
    streams: usize,
    /// Jobs that they watch.
    #[arg(long)]
    jobs: Option<usize>,
    /// Progress events of each job.
    #[arg(long, default_value_t = 20)]
    events: u32,
    /// Milliseconds between them.
    #[arg(long, default_value_t = 200)]
    every: u64,
    /// Each stream is dropped so often and taken up again.
    #[arg(long, default_value_t = 0)]
    drops: u32,
    /// The seed of the drops.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// All nodes send at the same moments.
    #[arg(long)]
    together: bool,
    /// As one JSON object.
    #[arg(long)]
    json: bool,
}

/// One client: its place, what it has, what it read and did not use.
struct Client {
    place: String,
    conn: TcpStream,
    inbox: Vec<u8>,
    last: u64,
    finals: u32,
    drops: u32,
    over: bool,
}

fn open(to: SocketAddr, place: &str, last: u64) -> TcpStream {
    let mut conn = TcpStream::connect(to).expect("the program listens");
    let from = if last > 0 { format!("Last-Event-ID: {last}\r\n") } else { String::new() };
    conn.write_all(format!("GET {place} HTTP/1.1\r\nHost: n0\r\n{from}\r\n").as_bytes()).expect("written");
    conn.set_nonblocking(true).expect("a socket option");
    conn
}

fn rss(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0");
    line.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap_or(0) * 1024
}

/// CPU time of a process in milliseconds.
fn cpu(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
    (ticks(11) + ticks(12)) * 10
}

/// The same events on a bare connection: what the machine itself takes.
fn baseline(events: u32) -> Histogram<u64> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let writer = std::thread::spawn(move || {
        let (mut conn, _) = listener.accept().expect("a connection");
        conn.set_nodelay(true).expect("a socket option");
        for _ in 0..events.max(200) {
            std::thread::sleep(Duration::from_millis(2));
            conn.write_all(format!("data: {{\"share\":{}}}\n\n", timestamp_fraction()).as_bytes())
                .expect("written");
        }
    });
    let (mut conn, mut took, mut buf) = (TcpStream::connect(at).expect("connected"), histogram(), [0; 4096]);
    while let Ok(n) = conn.read(&mut buf) {
        if n == 0 {
            break;
        }
        shares(&buf[..n]).for_each(|share| took.saturating_record(micros_since(share).max(1)));
    }
    writer.join().expect("the writer ends");
    took
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 100_000_000, 3).expect("sound bounds")
}

fn shares(bytes: &[u8]) -> impl Iterator<Item = f64> + '_ {
    let text = std::str::from_utf8(bytes).unwrap_or("");
    text.split("\"share\":").skip(1).filter_map(|rest| rest.split('}').next()?.parse().ok())
}

/// Uses what a client has read: whole events only.
fn take(client: &mut Client, delays: &mut Histogram<u64>, missed: &mut u64) {
    while let Some(end) = client.inbox.windows(2).position(|w| w == b"\n\n") {
        let block: Vec<u8> = client.inbox.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&block);
        let line =
            |name: &str| text.lines().find_map(|l| l.strip_prefix(name).map(str::trim).map(str::to_owned));
        let (Some(event), id) = (line("event:"), line("id:")) else { continue };
        if event == "missed" {
            *missed += 1;
            continue;
        }
        let id: u64 = id.and_then(|id| id.parse().ok()).expect("each event of a job has an id");
        assert!(id > client.last, "{id} after {}: twice or out of order", client.last);
        client.last = id;
        match event.as_str() {
            "progress" if client.drops == 0 => {
                shares(&block).for_each(|share| delays.saturating_record(micros_since(share).max(1)));
            }
            "done" | "deny" | "failed" => client.finals += 1,
            _ => {}
        }
    }
}

fn run(args: &Args) -> Value {
    let nodes: Vec<Arc<FakeWorker>> = (0..8).map(|n| FakeWorker::start(&format!("s-{n}"))).collect();
    let file = std::env::temp_dir().join(format!("mothproxy-load-{}.toml", std::process::id()));
    std::fs::write(&file, "listen = \"127.0.0.1:0\"\nstreams_per_tenant = 20000\n")
        .expect("a temporary file");
    let flags = [std::ffi::OsStr::new("--sse"), file.as_os_str()];
    let program = DispatcherProcess::builder(&nodes)
        .args(&flags)
        .configure(|config| {
            config["limits"] = json!({"cores": 1.0, "memory_mb": 8192, "sockets": 30_000});
            config["settings"]["Grades"][1]["DeadlineMs"] = json!(120_000.0);
            config["settings"]["Grades"][1]["TargetMs"] = json!(100_000.0);
        })
        .start();
    let _ = std::fs::remove_file(&file);
    let (sse, pid) = (program.sse.expect("the SSE front is on"), program.pid());
    let jobs = args.jobs.unwrap_or(args.streams).max(1);
    // All begin to send once every stream is open.
    // Nodes do not tick together unless they are asked to.
    let body = |n: usize| {
        let apart = if args.together { 0 } else { n as u64 * args.every / jobs as u64 };
        format!("stream started wait=go pause={apart} tick={},{} done=x", args.events, args.every)
    };
    let places: Vec<String> = std::thread::scope(|scope| {
        let part = |from: usize| {
            let body = &body;
            move || -> Vec<(usize, String)> {
                (from..jobs)
                    .step_by(8)
                    .map(|n| {
                        let text =
                            job_request(&format!("j{n}"), "redeem", &body(n), "Prefer: respond-async\r\n");
                        let reply = send(sse, &text).expect("an answer");
                        assert_eq!(reply.status, 202, "{}", reply.head);
                        (n, reply.header("Location").expect("a place").to_owned())
                    })
                    .collect()
            }
        };
        let threads: Vec<_> = (0..8).map(|from| scope.spawn(part(from))).collect();
        let mut all: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("a thread")).collect();
        all.sort();
        all.into_iter().map(|(_, place)| place).collect()
    });
    std::thread::sleep(Duration::from_millis(500));
    let (before, epoll) = (rss(pid), epoll::create(epoll::CreateFlags::CLOEXEC).expect("epoll"));
    let watch = |conn: &TcpStream, n: usize| {
        epoll::add(&epoll, conn, EventData::new_u64(n as u64), EventFlags::IN).expect("epoll");
    };
    let mut clients: Vec<Client> = Vec::with_capacity(args.streams);
    for n in 0..args.streams {
        let place = places[n % jobs].clone();
        let conn = open(sse, &place, 0);
        watch(&conn, n);
        clients.push(Client { place, conn, inbox: Vec::new(), last: 0, finals: 0, drops: 0, over: false });
    }
    std::thread::sleep(Duration::from_millis(1500));
    let quiet = rss(pid);
    let (cpu_before, started) = (cpu(pid), Instant::now());
    nodes.iter().for_each(|node| node.open_gate("go"));
    let (mut delays, mut missed, mut open_count) = (histogram(), 0, args.streams);
    let (mut dice, mut events, mut buf) =
        (fastrand::Rng::with_seed(args.seed), Vec::with_capacity(1024), [0; 16_384]);
    let limit = Duration::from_secs(60);
    while open_count > 0 && started.elapsed() < limit {
        events.clear();
        let wait = rustix::event::Timespec { tv_sec: 1, tv_nsec: 0 };
        let _ = epoll::wait(&epoll, rustix::buffer::spare_capacity(&mut events), Some(&wait)); // again after a signal
        for event in &events {
            let n = event.data.u64() as usize;
            let client = &mut clients[n];
            let ended = match client.conn.read(&mut buf) {
                Ok(0) => true,
                Ok(got) => {
                    client.inbox.extend(&buf[..got]);
                    take(client, &mut delays, &mut missed);
                    client.finals > 0
                }
                Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            };
            let drops =
                client.finals == 0 && client.drops < args.drops && dice.u32(0..args.events.max(2)) == 0;
            if client.finals > 0 && !client.over {
                client.over = true;
                open_count -= 1;
                let _ = epoll::delete(&epoll, &client.conn);
            } else if drops || (ended && client.finals == 0) {
                client.drops += 1;
                let _ = epoll::delete(&epoll, &client.conn);
                client.inbox.clear();
                client.conn = open(sse, &client.place, client.last);
                watch(&client.conn, n);
            }
        }
    }
    let (took, spent) = (started.elapsed().as_secs_f64(), cpu(pid) - cpu_before);
    let finals: u32 = clients.iter().map(|c| c.finals).sum();
    let doubled = clients.iter().filter(|c| c.finals > 1).count();
    drop(clients);
    let figures: BTreeMap<String, u64> = program.shut_down_for_metrics();
    let ended = figures["served"] + figures["denied"] + figures["failed"] + figures["gone"];
    let us = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    let base = baseline(args.events);
    json!({
        "streams": args.streams, "jobs": jobs, "finals": finals, "doubled": doubled, "missed": missed,
        "jobs_ended": ended, "jobs_taken": figures["taken"], "drops": args.drops, "seed": args.seed,
        "bytes_per_quiet_stream": quiet.saturating_sub(before) as f64 / args.streams as f64,
        "delay_p50_ms": us(&delays, 0.5), "delay_p99_ms": us(&delays, 0.99), "delays": delays.len(),
        "baseline_p50_ms": us(&base, 0.5), "baseline_p99_ms": us(&base, 0.99),
        "cpu_ms": spent, "seconds": took, "events_a_second": delays.len() as f64 / took,
    })
}

fn main() {
    let args = Args::parse();
    let figures = run(&args);
    match args.json {
        true => println!("{figures}"),
        false => println!("{}", serde_json::to_string_pretty(&figures).expect("JSON")),
    }
    let held = figures["finals"] == args.streams
        && figures["doubled"] == 0
        && figures["jobs_taken"] == figures["jobs_ended"];
    std::process::exit(i32::from(!held));
}
