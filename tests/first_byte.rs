//! A dispatch leaves only if it still may at its first byte, whatever was true when it was decided. The worker `s-late` takes
//! no connection until the test lets it: its accept queue is full, so a connection comes up only later, however long that is.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// What is waited for here comes up by itself within this, and no limit of the settings is shorter unless a test says so.
const LONG_MS: f64 = 15_000.0;

struct Late {
    listener: TcpListener,
    filler: TcpStream,
}

impl Late {
    fn start() -> Late {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        rustix::net::listen(&listener, 0).expect("a shorter queue");
        let filler = connect(listener.local_addr().expect("an address"));
        Late { listener, filler }
    }

    fn endpoint_entry(&self, lifecycle: &str) -> Value {
        site::endpoint_entry(
            "s-late",
            &self.listener.local_addr().expect("an address").to_string(),
            lifecycle,
        )
    }

    /// Lets the connection come up and returns what was written to it until the program ended or closed it.
    fn written(self, program: DispatcherProcess) -> (String, std::collections::BTreeMap<String, u64>) {
        let (first, _) = self.listener.accept().expect("the filler");
        drop((first, self.filler));
        let (mut stream, _) = self.listener.accept().expect("the program's");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
        let mut seen = Vec::new();
        let reader = std::thread::spawn(move || {
            let _ = stream.read_to_end(&mut seen);
            String::from_utf8_lossy(&seen).into_owned()
        });
        let metrics = program.shut_down_for_metrics();
        (reader.join().expect("a reader"), metrics)
    }
}

/// A program that knows only the late worker, and the discovery that tells it of others.
fn only_late(
    late: &Late,
    others: &[&Arc<FakeWorker>],
    change: impl FnOnce(&mut Value),
) -> (DispatcherProcess, Arc<FakeDiscovery>) {
    let first = site::snapshot(2, &[late.endpoint_entry("up")]);
    let discovery = FakeDiscovery::start(first.clone());
    let program = DispatcherProcess::builder(&[])
        .discovery(discovery.address)
        .configure(|config| {
            config["known"] = first;
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(LONG_MS);
            config["settings"]["Limits"]["SecondCopies"] = json!(false);
            config["settings"]["Obligations"]["StopSendingWithinMs"] = json!(LONG_MS);
            change(config);
        })
        .start();
    others.iter().for_each(|worker| worker.set_callback_address(program.platform));
    wait_until("a watch", || discovery.calls.load(Ordering::SeqCst) > 0);
    (program, discovery)
}

fn submit(program: &DispatcherProcess, request: &str) -> TcpStream {
    let mut client = connect(program.platform);
    client.write_all(request.as_bytes()).expect("written");
    client
}

/// Announced as leaving, gone from the list, or back under its name elsewhere: the dispatch goes to who takes work now.
#[test]
fn sends_nothing_on_connection_established_after_worker_drained() {
    for case in ["draining", "unnamed", "elsewhere"] {
        let (late, worker, back) = (Late::start(), FakeWorker::start("s-1"), FakeWorker::start("s-late"));
        // What did not leave is no attempt: the only one is left for the other worker.
        let (program, discovery) = only_late(&late, &[&worker, &back], |config| {
            config["settings"]["Limits"]["MaxAttempts"] = json!(1);
        });
        let mut client = submit(&program, &job_request("a0", "redeem", "take started done=x", ""));
        wait_for_connection_attempt(&late.listener);
        let (rows, server) = match case {
            "draining" => (vec![worker.endpoint_entry("up"), late.endpoint_entry("draining")], &worker),
            "unnamed" => (vec![worker.endpoint_entry("up")], &worker),
            _ => (vec![back.endpoint_entry("up")], &back),
        };
        discovery.push_change(&site::snapshot(3, &rows).to_string(), site::snapshot(3, &rows));
        let reader = std::thread::spawn(move || read_reply(&mut client).expect("an answer").status);
        let listener = late.listener.try_clone().expect("a descriptor");
        let (first, _) = listener.accept().expect("the filler");
        drop(first);
        assert_eq!(reader.join().expect("a reader"), 200, "{case}");
        assert!(server.has_received("a0"), "{case}: {} has served it", server.name);
        let (mut stream, _) = listener.accept().expect("the program's");
        let metrics = program.shut_down_for_metrics();
        let mut seen = String::new();
        let _ = stream.read_to_string(&mut seen);
        assert_eq!(seen, "", "{case}");
        assert_eq!(metrics["withheld"], 1, "{case}");
    }
}

/// Its client has left, where an attempt cannot be called off.
#[test]
fn sends_nothing_on_connection_established_after_client_left() {
    let late = Late::start();
    let (program, _discovery) =
        only_late(&late, &[], |config| config["settings"]["Limits"]["Cancel"] = json!(false));
    let client = submit(&program, &simple_job("b0"));
    wait_for_connection_attempt(&late.listener);
    drop(client);
    let (seen, metrics) = late.written(program);
    assert_eq!((seen.as_str(), metrics["gone"]), ("", 1));
    assert_eq!(metrics["withheld"], 1);
}

/// What its worker is told is left to the client is so when the bytes leave: the time that its connection took is over.
#[test]
fn late_connection_carries_remaining_time() {
    let late = Late::start();
    let (program, _discovery) = only_late(&late, &[], |_| {});
    let _client = submit(&program, &job_request("e0", "balance", "", "X-Time-Left-Ms: 2500\r\n"));
    wait_for_connection_attempt(&late.listener);
    let tried = Instant::now();
    wait_until("some of its time is over", || tried.elapsed() > Duration::from_millis(500));
    let (seen, _) = late.written(program);
    let milliseconds_left = seen
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("x-time-left-ms: ")?.parse::<u64>().ok());
    assert!(
        milliseconds_left
            .is_some_and(|milliseconds_left| milliseconds_left > 0 && milliseconds_left <= 2_000),
        "told {milliseconds_left:?} of 2500 ms, 500 ms later"
    );
}

/// An attempt may have run, and the window in which its repeat is dropped ends while the next one's connection is on its way.
#[test]
fn sends_nothing_on_connection_established_after_repeat_window() {
    let (late, worker) = (Late::start(), FakeWorker::start("s-1"));
    let (program, discovery) = only_late(&late, &[&worker], |config| {
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
    wait_until("the window's end", || sent.elapsed() > Duration::from_millis(2_000));
    let reader = std::thread::spawn(move || read_reply(&mut client).expect("an answer").status);
    let (first, _) = late.listener.accept().expect("the filler");
    drop(first);
    let (mut stream, _) = late.listener.accept().expect("the program's");
    let status = reader.join().expect("a reader");
    let metrics = program.shut_down_for_metrics();
    let mut seen = String::new();
    let _ = stream.read_to_string(&mut seen);
    assert_eq!((seen.as_str(), status / 100), ("", 5), "{status}");
    assert_eq!(metrics["withheld"], 1);
}

/// An answer that came while the program was held up is read before its time is looked at: its worker has the job, so that
/// closing the connection would not give it up, and another attempt would be a second one out.
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
    assert_eq!(read_reply(&mut client).expect("an answer").status, 200);
    assert_eq!((jobs(), program.shut_down_for_metrics()["untaken"]), (1, 0));
}
