//! An attempt is sent only if it is still allowed when its first byte is written, even if it was allowed when it was started. The
//! accept queue of the worker `s-late` is full until the test empties it, so a connection to it is established only after that.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A limit that no connection in these tests exceeds, in milliseconds. The time limits in the settings are no shorter, unless a
/// test sets one.
const LONG_TIMEOUT_MS: f64 = 15_000.0;

/// A worker whose accept queue is full.
struct LateWorker {
    listener: TcpListener,
    /// The connection that fills the accept queue.
    filler: TcpStream,
}

impl LateWorker {
    fn start() -> LateWorker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
        rustix::net::listen(&listener, 0).expect("cannot shorten the accept queue");
        let filler = connect(listener.local_addr().expect("no local address"));
        LateWorker { listener, filler }
    }

    fn endpoint_entry(&self, lifecycle: &str) -> Value {
        site::endpoint_entry(
            "s-late",
            &self.listener.local_addr().expect("no local address").to_string(),
            lifecycle,
        )
    }

    /// Accepts the dispatcher's connection, and shuts the dispatcher down. Returns the bytes that it wrote on the connection, and
    /// its metrics.
    fn accept_and_read(
        self,
        program: DispatcherProcess,
    ) -> (String, std::collections::BTreeMap<String, u64>) {
        let (filler, _) = self.listener.accept().expect("cannot accept the filler connection");
        drop((filler, self.filler));
        let (mut stream, _) = self.listener.accept().expect("cannot accept the connection of the dispatcher");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
        let mut seen = Vec::new();
        let reader = std::thread::spawn(move || {
            let _ = stream.read_to_end(&mut seen);
            String::from_utf8_lossy(&seen).into_owned()
        });
        let metrics = program.shut_down_for_metrics();
        (reader.join().expect("reader thread panicked"), metrics)
    }
}

/// Starts a dispatcher that knows only the late worker. Returns it with its discovery service, which can list the others.
fn start_with_late_worker(
    late: &LateWorker,
    others: &[&Arc<FakeWorker>],
    change: impl FnOnce(&mut Value),
) -> (DispatcherProcess, Arc<FakeDiscovery>) {
    let initial_list = site::snapshot(2, &[late.endpoint_entry("up")]);
    let discovery = FakeDiscovery::start(initial_list.clone());
    let program = DispatcherProcess::builder(&[])
        .discovery(discovery.address)
        .configure(|config| {
            config["known"] = initial_list;
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(LONG_TIMEOUT_MS);
            config["settings"]["Limits"]["SecondCopies"] = json!(false);
            config["settings"]["Obligations"]["StopSendingWithinMs"] = json!(LONG_TIMEOUT_MS);
            change(config);
        })
        .start();
    others.iter().for_each(|worker| worker.set_callback_address(program.platform));
    wait_until("a watch", || discovery.calls.load(Ordering::SeqCst) > 0);
    (program, discovery)
}

/// Sends a request on a new connection, and returns the connection.
fn submit(program: &DispatcherProcess, request: &str) -> TcpStream {
    let mut client = connect(program.platform);
    client.write_all(request.as_bytes()).expect("write failed");
    client
}

/// While a connection to a worker is being established, the worker drains, is no longer listed, or is listed with another
/// address. The attempt is not written on that connection, and goes to a worker that accepts work now.
#[test]
fn sends_nothing_on_connection_established_after_worker_drained() {
    for case in ["draining", "unlisted", "moved"] {
        let (late, worker, moved) =
            (LateWorker::start(), FakeWorker::start("s-1"), FakeWorker::start("s-late"));
        // An attempt that was not written does not count, so the only attempt is left for the other worker.
        let (program, discovery) = start_with_late_worker(&late, &[&worker, &moved], |config| {
            config["settings"]["Limits"]["MaxAttempts"] = json!(1);
        });
        let mut client = submit(&program, &job_request("a0", "redeem", "take started done=x", ""));
        wait_for_connection_attempt(&late.listener);
        let (rows, serving_worker) = match case {
            "draining" => (vec![worker.endpoint_entry("up"), late.endpoint_entry("draining")], &worker),
            "unlisted" => (vec![worker.endpoint_entry("up")], &worker),
            _ => (vec![moved.endpoint_entry("up")], &moved),
        };
        discovery.push_change(&site::snapshot(3, &rows).to_string(), site::snapshot(3, &rows));
        let reader =
            std::thread::spawn(move || read_reply(&mut client).expect("no complete response").status);
        let listener = late.listener.try_clone().expect("cannot duplicate the listener");
        let (filler, _) = listener.accept().expect("cannot accept the filler connection");
        drop(filler);
        assert_eq!(reader.join().expect("reader thread panicked"), 200, "{case}");
        assert!(serving_worker.has_received("a0"), "{case}: {} did not get the job", serving_worker.name);
        let (mut stream, _) = listener.accept().expect("cannot accept the connection of the dispatcher");
        let metrics = program.shut_down_for_metrics();
        let mut seen = String::new();
        let _ = stream.read_to_string(&mut seen);
        assert_eq!(seen, "", "{case}");
        assert_eq!(metrics["withheld"], 1, "{case}");
    }
}

/// The client disconnects while the connection is being established, and cancels are disabled.
#[test]
fn sends_nothing_on_connection_established_after_client_disconnected() {
    let late = LateWorker::start();
    let (program, _discovery) =
        start_with_late_worker(&late, &[], |config| config["settings"]["Limits"]["Cancel"] = json!(false));
    let client = submit(&program, &simple_job("b0"));
    wait_for_connection_attempt(&late.listener);
    drop(client);
    let (seen, metrics) = late.accept_and_read(program);
    assert_eq!((seen.as_str(), metrics["gone"]), ("", 1));
    assert_eq!(metrics["withheld"], 1);
}

/// The time left that an attempt states is the one at its first byte, after the time that establishing the connection took.
#[test]
fn late_connection_carries_remaining_time() {
    let late = LateWorker::start();
    let (program, _discovery) = start_with_late_worker(&late, &[], |_| {});
    let _client = submit(&program, &job_request("e0", "balance", "", "X-Time-Left-Ms: 2500\r\n"));
    wait_for_connection_attempt(&late.listener);
    let connect_began = Instant::now();
    wait_until("500 ms have passed", || connect_began.elapsed() > Duration::from_millis(500));
    let (seen, _) = late.accept_and_read(program);
    let milliseconds_left = seen
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("x-time-left-ms: ")?.parse::<u64>().ok());
    assert!(
        milliseconds_left
            .is_some_and(|milliseconds_left| milliseconds_left > 0 && milliseconds_left <= 2_000),
        "the attempt states {milliseconds_left:?} ms left, expected 1 to 2000: 2500 ms less the 500 ms that have passed"
    );
}

/// An attempt may have run. The window in which the worker drops a repeat of it ends while the connection of the next attempt is
/// being established, so that attempt is not sent.
#[test]
fn sends_nothing_on_connection_established_after_repeat_window() {
    let (late, worker) = (LateWorker::start(), FakeWorker::start("s-1"));
    let (program, discovery) = start_with_late_worker(&late, &[&worker], |config| {
        config["settings"]["Grades"][1]["MemorySpanMs"] = json!(2_000.0);
    });
    let rows = [worker.endpoint_entry("up"), late.endpoint_entry("draining")];
    discovery.push_change(&site::snapshot(3, &rows).to_string(), site::snapshot(3, &rows));
    let mut client =
        submit(&program, &job_request("c0", "redeem", "take wait=told lost", "X-Time-Left-Ms: 7000\r\n"));
    wait_until("a job arrives", || worker.job_count.load(Ordering::SeqCst) == 1);
    let sent = Instant::now();
    let rows = [worker.endpoint_entry("draining"), late.endpoint_entry("up")];
    discovery.push_change(&site::snapshot(4, &rows).to_string(), site::snapshot(4, &rows));
    worker.open_gate("told");
    wait_for_connection_attempt(&late.listener);
    wait_until("the end of the repeat window", || sent.elapsed() > Duration::from_millis(2_000));
    let reader = std::thread::spawn(move || read_reply(&mut client).expect("no complete response").status);
    let (filler, _) = late.listener.accept().expect("cannot accept the filler connection");
    drop(filler);
    let (mut stream, _) = late.listener.accept().expect("cannot accept the connection of the dispatcher");
    let status = reader.join().expect("reader thread panicked");
    let metrics = program.shut_down_for_metrics();
    let mut seen = String::new();
    let _ = stream.read_to_string(&mut seen);
    assert_eq!((seen.as_str(), status / 100), ("", 5), "{status}");
    assert_eq!(metrics["withheld"], 1);
}

/// A response that arrived while the dispatcher was suspended is read before its timeout is checked. The worker has accepted the
/// job, so closing the connection would not cancel it, and another attempt would run beside it.
#[test]
fn unread_response_counts_as_in_time() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let program = DispatcherProcess::builder(&workers)
        .configure(|config| {
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(2_000.0);
            config["settings"]["Limits"]["SecondCopies"] = json!(false);
        })
        .start();
    let mut client =
        submit(&program, &job_request("d0", "balance", "wait=held take wait=read started done=x", ""));
    let jobs = || workers.iter().map(|worker| worker.job_count.load(Ordering::SeqCst)).sum::<u64>();
    wait_until("a job arrives", || jobs() == 1);
    program.suspend_for(Duration::from_millis(2_000), || {
        workers.iter().for_each(|worker| worker.open_gate("held"));
    });
    workers.iter().for_each(|worker| worker.open_gate("read"));
    assert_eq!(read_reply(&mut client).expect("no complete response").status, 200);
    assert_eq!((jobs(), program.shut_down_for_metrics()["untaken"]), (1, 0));
}
