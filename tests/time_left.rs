//! A request's time counts from its last byte, however long its bytes wait before the dispatcher reads or handles them.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// A worker may be told of so much more time than its client has left.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// A final answer may come so long after the request's time.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// How much later than they happened the test may measure the arrivals, since other tests run beside it.
const MEASUREMENT_LAG: Duration = Duration::from_millis(50);

/// An attempt, as it arrived at a worker.
struct ToldAttempt {
    id: String,
    told: Duration,
    arrived: Instant,
}

/// A worker that refuses nothing and finishes nothing: it accepts each job, and reports what it was told.
fn start_silent_worker() -> (SocketAddr, Receiver<ToldAttempt>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    let (sender, attempts) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let mut bytes = [0; 4096];
                while let Ok(length @ 1..) = stream.read(&mut bytes) {
                    let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
                    let Some(attempt) = read_attempt(&text) else { continue };
                    let _ = sender.send(attempt);
                    let _ = stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    (address, attempts)
}

fn read_attempt(text: &str) -> Option<ToldAttempt> {
    let field = |name: &str| {
        let mut lines = text.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
    };
    let told = field("X-Time-Left-Ms")?.parse::<f64>().ok()?;
    Some(ToldAttempt {
        id: field("X-Correlation-Id")?,
        told: Duration::from_secs_f64(told / 1e3),
        arrived: Instant::now(),
    })
}

fn request(id: &str, budget: Duration) -> String {
    let headers = format!("X-Time-Left-Ms: {}\r\n", budget.as_millis());
    job_request(id, "balance", "job", &headers)
}

/// Asserts that the worker was told of no more time than the client had left.
fn assert_told_in_time(attempt: &ToldAttempt, sent: Instant, budget: Duration) {
    let left = (sent + budget).saturating_duration_since(attempt.arrived);
    assert!(
        attempt.told <= left + TOLD_SLACK + MEASUREMENT_LAG,
        "{}: {:?} told, {left:?} left",
        attempt.id,
        attempt.told
    );
}

/// The program with a worker at this address, and without discovery.
fn start_program(worker: SocketAddr) -> DispatcherProcess {
    let entry = site::endpoint_entry("s-1", &worker.to_string(), "up");
    DispatcherProcess::builder(&[]).configure(|config| config["known"]["instances"] = json!([entry])).start()
}

/// A connection that a successor has taken over without a request is as good as any other: a request on it counts from when it
/// arrives, however long the connection was idle. Guards against counting it from the takeover on.
#[test]
fn an_idle_connection_that_was_handed_over_does_not_age_its_next_request() {
    const BUDGET: Duration = Duration::from_millis(1_000);
    const IDLE_TIME: Duration = Duration::from_millis(1_500);
    let (worker, attempts) = start_silent_worker();
    let temp_dir = tempfile::tempdir().expect("cannot create the temporary directory");
    let start = |listen: String| {
        let entry = site::endpoint_entry("s-1", &worker.to_string(), "up");
        DispatcherProcess::builder(&[])
            .temp_dir(temp_dir.path())
            .configure(|config| {
                config["known"]["instances"] = json!([entry]);
                config["listen"] = json!(listen);
            })
            .start()
    };
    let mut predecessor = start("127.0.0.1:0".to_owned());
    let mut kept = connect(predecessor.platform);
    kept.write_all(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n").expect("write failed");
    assert_eq!(read_reply(&mut kept).expect("no complete response").status, 200);
    let _successor = start(predecessor.platform.to_string());
    predecessor.wait_for_log("hot restart: handing over");
    std::thread::sleep(IDLE_TIME);
    kept.write_all(request("a0", BUDGET).as_bytes()).expect("write failed");
    let attempt = attempts.recv_timeout(BUDGET).expect("no attempt");
    assert!(attempt.told > BUDGET / 2, "{:?} of {BUDGET:?} told", attempt.told);
}

/// A request that arrived while the process was held up has waited in its socket, and that time is not told to a worker. The
/// time used to be counted from when the request was read.
#[test]
fn time_in_the_socket_is_not_told_to_workers() {
    const BUDGET: Duration = Duration::from_millis(2_000);
    const STALL: Duration = Duration::from_millis(600);
    let (worker, attempts) = start_silent_worker();
    let program = start_program(worker);
    let mut kept = connect(program.platform);
    kept.write_all(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n").expect("write failed");
    assert_eq!(read_reply(&mut kept).expect("no complete response").status, 200);
    let mut streams = vec![kept];
    let mut sent = Instant::now();
    program.suspend_for(STALL, || {
        streams.push(connect(program.platform));
        for (number, stream) in streams.iter_mut().enumerate() {
            stream.write_all(request(&format!("a{number}"), BUDGET).as_bytes()).expect("write failed");
        }
        sent = Instant::now();
    });
    for _ in 0..2 {
        let attempt = attempts.recv_timeout(WAIT_TIMEOUT).expect("no attempt");
        assert_told_in_time(&attempt, sent, BUDGET);
    }
}

/// Requests that a client sends at once on one connection are all answered by their time. The time of the later ones used to be
/// counted from when the response to the one before was written.
#[test]
fn requests_sent_at_once_are_answered_by_their_time() {
    const BUDGET: Duration = Duration::from_millis(1_200);
    const REQUESTS: usize = 4;
    let (worker, attempts) = start_silent_worker();
    let program = start_program(worker);
    let mut stream = connect(program.platform);
    let text: String = (0..REQUESTS).map(|number| request(&format!("a{number}"), BUDGET)).collect();
    let sent = Instant::now();
    stream.write_all(text.as_bytes()).expect("write failed");
    let mut buffer = Vec::new();
    for number in 0..REQUESTS {
        let reply = read_next_reply(&mut stream, &mut buffer).expect("no complete response");
        let late = sent.elapsed().saturating_sub(BUDGET);
        assert!(late <= ANSWER_GRACE, "request {number}: status {} {late:?} after its time", reply.status);
    }
    for attempt in attempts.try_iter() {
        assert_told_in_time(&attempt, sent, BUDGET);
    }
}

/// Among thousands of workers, whole lists that arrive in a row do not hold up the requests beside them for so long that workers
/// are told of more time than is left. All lists that had arrived used to be read in one turn of the event loop.
#[test]
fn whole_lists_of_a_large_fleet_do_not_lengthen_the_time_told() {
    const WORKERS: u64 = 3_200;
    const BURSTS: u64 = 3;
    const LISTS_PER_BURST: u64 = 12;
    const BUDGET: Duration = Duration::from_millis(8_000);
    /// How long the lists pile up in the process's socket.
    const PILE_UP_TIME: Duration = Duration::from_millis(300);
    /// How long the process reads lists before the requests arrive.
    const READING_TIME: Duration = Duration::from_millis(40);
    let (worker, attempts) = start_silent_worker();
    let list = |generation: u64| {
        let entry = |number| site::endpoint_entry(&format!("s-{number:05}"), &worker.to_string(), "up");
        let entries: Vec<Value> = (0..WORKERS).map(entry).collect();
        site::snapshot(generation, &entries)
    };
    let discovery = FakeDiscovery::start(list(2));
    discovery.start_heartbeats();
    let program = DispatcherProcess::builder(&[])
        .discovery(discovery.address)
        .configure(|config| config["known"] = list(1))
        .start();
    wait_until("the program is ready", || program.up_status() == 200);
    for burst in 0..BURSTS {
        let first = 3 + burst * LISTS_PER_BURST;
        let lists: String =
            (first..first + LISTS_PER_BURST).map(|n| chunk(&format!("{}\n", list(n)))).collect();
        let mut streams = [connect(program.platform), connect(program.platform)];
        let pushing = discovery.clone();
        program.suspend();
        let pushed = std::thread::spawn(move || pushing.write_to_watches(lists.as_bytes()));
        std::thread::sleep(PILE_UP_TIME);
        program.resume();
        std::thread::sleep(READING_TIME);
        for (place, stream) in streams.iter_mut().enumerate() {
            stream.write_all(request(&format!("a{burst}-{place}"), BUDGET).as_bytes()).expect("write failed");
        }
        let sent = Instant::now();
        for _ in 0..streams.len() {
            let attempt = attempts.recv_timeout(WAIT_TIMEOUT).expect("no attempt");
            assert_told_in_time(&attempt, sent, BUDGET);
        }
        pushed.join().expect("discovery panicked");
    }
}
