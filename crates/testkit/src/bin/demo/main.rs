//! `make demo`: runs the dispatcher with test doubles and a small steady load on loopback, and serves a web page that follows
//! the progress of a job.

use mothproxy_testkit::{DispatcherProcess, FakeDiscovery, FakeWorker, job_request, read_reply, site};
use serde_json::json;
use std::ffi::OsStr;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The page, with the placeholders `SSE_URL` for the URL of the SSE listener and `BODY` for [`FOLLOWED_SCRIPT`].
const PAGE_TEMPLATE: &str = include_str!("page.html");
/// The script of the jobs that the page follows.
const FOLLOWED_SCRIPT: &str = "take pause=300 started pause=700 running=0.2 pause=700 running=0.4 pause=700 \
                               running=0.6 pause=700 running=0.8 pause=700 done=redeemed";
/// The script of the load's jobs.
const LOAD_SCRIPT: &str = "take started pause=20 done=12.50";
/// The interval between two jobs of the load, which gives 20 per second.
const LOAD_INTERVAL: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// The timeout for a browser to send its request.
const PAGE_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const WORKERS: usize = 3;

fn main() -> ExitCode {
    let is_stopped = stop_on_signals();
    let workers: Vec<_> = (0..WORKERS).map(|n| FakeWorker::start(&format!("node-{n}"))).collect();
    let pages = TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    let origin =
        format!("http://{}", pages.local_addr().expect("cannot get the address of the page's listener"));
    let dispatcher = start_dispatcher(&workers, &origin);
    let page = page(sse_address(&dispatcher));
    std::thread::spawn(move || serve_page(&pages, &page));
    print_addresses(&dispatcher, &origin);

    let load = Arc::new(SteadyLoad::default());
    load.run(dispatcher.platform, &workers, &is_stopped);

    dispatcher.terminate();
    let (is_clean, _) = dispatcher.wait_for_exit();
    load.print_result(is_clean);
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Returns a flag that SIGINT and SIGTERM set.
fn stop_on_signals() -> Arc<AtomicBool> {
    let is_stopped = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, is_stopped.clone()).expect("cannot register the signal handler");
    }
    is_stopped
}

/// Starts the dispatcher with a discovery service that lists these workers. The page's origin is allowed to read streams.
fn start_dispatcher(workers: &[Arc<FakeWorker>], origin: &str) -> DispatcherProcess {
    let instances: Vec<_> = workers.iter().map(|worker| worker.endpoint_entry("up")).collect();
    let discovery = FakeDiscovery::start(site::snapshot(1, &instances));
    let streams_file = std::env::temp_dir().join(format!("mothproxy-demo-{}.toml", std::process::id()));
    let streams = format!("listen = \"127.0.0.1:0\"\norigins = [\"{origin}\"]\n");
    std::fs::write(&streams_file, streams).expect("cannot write the configuration file of the SSE listener");
    let dispatcher = DispatcherProcess::builder(workers)
        .discovery(discovery.address)
        .args(&[OsStr::new("--sse"), streams_file.as_os_str()])
        .configure(|config| config["admin_addr"] = json!("127.0.0.1:0"))
        .start();
    let _ = std::fs::remove_file(&streams_file);
    dispatcher
}

fn sse_address(dispatcher: &DispatcherProcess) -> SocketAddr {
    dispatcher.sse.expect("the dispatcher has no SSE listener")
}

fn page(sse: SocketAddr) -> String {
    PAGE_TEMPLATE.replace("SSE_URL", &format!("http://{sse}")).replace("BODY", FOLLOWED_SCRIPT)
}

/// Answers every request with the page.
fn serve_page(listener: &TcpListener, page: &str) {
    for mut stream in listener.incoming().flatten() {
        let mut buffer = [0; 4096];
        let _ = stream.set_read_timeout(Some(PAGE_REQUEST_TIMEOUT));
        if stream.read(&mut buffer).is_ok_and(|length| length > 0) {
            let head = "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nConnection: close\r\n";
            let response = format!("{head}Content-Length: {}\r\n\r\n{page}", page.len());
            // The write fails if the browser has disconnected.
            let _ = stream.write_all(response.as_bytes());
        }
    }
}

fn print_addresses(dispatcher: &DispatcherProcess, origin: &str) {
    let (platform, sse) = (dispatcher.platform, sse_address(dispatcher));
    let admin = dispatcher.admin.expect("the dispatcher has no admin address");
    println!("A page that follows a job:  {origin}/");
    println!("Jobs (HTTP):                http://{platform}/balance");
    println!("Jobs and streams (SSE):     http://{sse}/redeem");
    println!("Counters:                   curl http://{admin}/control/counters");
    println!("A stream with curl:");
    println!("  curl -N http://{sse}/redeem -H 'Accept: text/event-stream' -H 'X-Correlation-Id: a1' \\");
    println!("    -H 'X-Service-Class: redeem' -H 'X-Account: steppe-mart' -H 'Idempotency-Key: k1' \\");
    println!("    -d '{FOLLOWED_SCRIPT}'");
    println!("A load of 20 jobs per second is running. Press Ctrl-C to stop.");
}

/// The counters of the load's jobs.
#[derive(Default)]
struct SteadyLoad {
    sent: AtomicU64,
    /// Jobs that have ended, served or not.
    done: AtomicU64,
    /// Jobs answered with status 200.
    served: AtomicU64,
}

impl SteadyLoad {
    /// Sends jobs at a fixed interval, each on a separate thread, and prints progress regularly. Returns once `is_stopped` is
    /// set.
    fn run(self: &Arc<Self>, dispatcher: SocketAddr, workers: &[Arc<FakeWorker>], is_stopped: &AtomicBool) {
        let (mut next, mut reported) = (Instant::now(), Instant::now());
        while !is_stopped.load(Ordering::Relaxed) {
            let number = self.sent.fetch_add(1, Ordering::Relaxed) + 1;
            let load = self.clone();
            std::thread::spawn(move || load.send(dispatcher, number));
            next += LOAD_INTERVAL;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            if reported.elapsed() >= REPORT_INTERVAL {
                reported = Instant::now();
                self.print_progress(dispatcher, workers);
            }
        }
    }

    fn send(&self, dispatcher: SocketAddr, number: u64) {
        let is_served = is_job_served(dispatcher, &format!("load-{number}"));
        self.served.fetch_add(u64::from(is_served), Ordering::Relaxed);
        self.done.fetch_add(1, Ordering::Relaxed);
    }

    fn print_progress(&self, dispatcher: SocketAddr, workers: &[Arc<FakeWorker>]) {
        let jobs_of = |worker: &Arc<FakeWorker>| {
            format!("{} {}", worker.name, worker.job_count.load(Ordering::Relaxed))
        };
        let jobs: Vec<String> = workers.iter().map(jobs_of).collect();
        let sent = self.sent.load(Ordering::Relaxed);
        println!("{sent} jobs sent to {dispatcher}; received by {}", jobs.join(", "));
    }

    fn print_result(&self, is_clean: bool) {
        let (done, served) = (self.done.load(Ordering::Relaxed), self.served.load(Ordering::Relaxed));
        let how = if is_clean { "cleanly" } else { "with an error" };
        println!("dispatcher exited {how}: {served} of {done} jobs served");
    }
}

/// Sends one job on a new connection. Returns whether it was served.
fn is_job_served(dispatcher: SocketAddr, id: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(dispatcher) else { return false };
    let request = job_request(id, "balance", LOAD_SCRIPT, "Connection: close\r\n");
    stream.write_all(request.as_bytes()).is_ok()
        && read_reply(&mut stream).is_some_and(|reply| reply.status == 200)
}
