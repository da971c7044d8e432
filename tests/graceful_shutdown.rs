//! Graceful shutdown, and connections that are closed while a request is on its way, over real sockets. Each test forces its
//! order by what was seen before: an end that was read, a job that has arrived, a process that stands still.

use mothproxy::core::shutdown_plan::ShutdownPlan;
use mothproxy_testkit::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Instant;

const MS: u64 = 1_000;

/// The protocol's figures, whatever the settings: SIGKILL comes no sooner than the longest deadline (3 s where it is longer) and
/// 0.7 s after the signal, and what arrived later than 0.7 s must be answered by then.
#[test]
fn late_requests_are_answered_before_the_process_may_be_killed() {
    let deadlines = [1, 50, 120, 400, 800, 1_500, 2_999, 3_000, 3_001, 7_500, 25_000].map(|ms| ms * MS);
    let pairs = deadlines.into_iter().flat_map(|longest| deadlines.map(|open| (longest, open)));
    for (longest_deadline, longest_open_deadline) in pairs {
        let plan = ShutdownPlan::new(0, longest_deadline, longest_open_deadline);
        let counted = longest_deadline.min(3_000 * MS);
        let killed = counted + 700 * MS;
        assert!(plan.keep_clients_until + counted / 2 <= plan.answer_late_by, "{plan:?}");
        assert!(plan.answer_late_by < killed, "{plan:?}");
        assert!(plan.give_up_at >= longest_deadline.max(longest_open_deadline) + 700 * MS, "{plan:?}");
        for arrived in (0..killed).step_by(10 * MS as usize) {
            let answered = arrived + plan.time_budget(arrived, longest_deadline);
            let is_in_time = arrived <= 700 * MS || answered < killed.max(arrived + 1);
            assert!(is_in_time, "{arrived} {answered} {plan:?}");
            // Those that came with the last new connections are not cut short.
            let is_whole = arrived > 400 * MS || answered == arrived + longest_deadline;
            assert!(is_whole, "{arrived} {answered} {plan:?}");
        }
    }
}

/// Reads until the other side closes the connection; an error where it resets it instead.
fn read_to_close(stream: &mut TcpStream) -> Result<Vec<u8>, ErrorKind> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let mut seen = Vec::new();
    stream.read_to_end(&mut seen).map(|_| seen).map_err(|error| error.kind())
}

/// Whether the other side resets this connection, whose close has been read, because of what was sent after that.
fn is_reset(stream: &TcpStream) -> bool {
    let sent = Instant::now();
    let mut has_error = false;
    wait_until("a reset, or time enough for one", || {
        has_error |= stream.take_error().expect("a socket option").is_some();
        has_error || sent.elapsed().as_millis() > 200
    });
    has_error
}

/// A request that crosses the close of an idle connection was closed over: the connection was reset. Now it is read, never
/// forwarded, and its client sees a plain close and sends it again.
#[test]
fn does_not_forward_or_reset_a_request_that_crosses_the_close_of_an_idle_connection() {
    let node = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&node)).start();
    let mut resting = connect(program.platform);
    resting.write_all(job_request("a0", "balance", "take started done=x", "").as_bytes()).expect("written");
    assert_eq!(read_reply(&mut resting).expect("an answer").status, 200);
    program.terminate();
    assert_eq!(read_to_close(&mut resting), Ok(Vec::new()));
    // The dispatcher has closed its side, and sees this only afterwards, as though the two had crossed.
    resting.write_all(job_request("a1", "balance", "take started done=x", "").as_bytes()).expect("written");
    assert!(!is_reset(&resting) && read_to_close(&mut resting) == Ok(Vec::new()));
    let again = send(program.platform, &job_request("a2", "balance", "take started done=x", ""));
    assert_eq!(again.expect("an answer to the next try").status, 200);
    assert!(node.has_received("a2") && !node.has_received("a1"));
    drop(resting);
    program.wait_for_complete_shutdown();
}

/// The process ended as soon as its last answer was written: what the client sent then reset the connection under it. A
/// client is waited for 1 s; where the machine itself delayed this one for almost as long, the attempt is repeated.
#[test]
fn the_process_waits_for_the_client_that_got_the_last_answer_to_close() {
    let attempt = || {
        let node = FakeWorker::start("s-1");
        let program = DispatcherProcess::builder(std::slice::from_ref(&node)).start();
        let mut last = connect(program.platform);
        last.write_all(job_request("b0", "balance", "take started wait=last done=x", "").as_bytes())
            .expect("written");
        wait_until("the job arrives", || node.job_count.load(Ordering::SeqCst) > 0);
        program.terminate();
        let signalled = Instant::now();
        wait_until("it may end", || signalled.elapsed().as_millis() > 700);
        let opened = Instant::now();
        node.open_gate("last");
        let reply = read_reply(&mut last).expect("an answer");
        assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
        // It looks for what is left every 25 ms.
        wait_until("it has looked", || opened.elapsed().as_millis() > 250);
        last.write_all(b"late").expect("written");
        let (reset, in_time) = (is_reset(&last), opened.elapsed().as_millis() < 800);
        drop(last);
        assert!(program.wait_for_exit().0);
        in_time.then_some(reset)
    };
    let reset = (0..5).find_map(|_| attempt()).expect("a machine that lets this be seen once");
    assert!(!reset, "a close, not a reset");
}

/// Every job that was open 3.4 s after the signal was failed, with however long a deadline. The late one's answer shows that
/// the time has come after which nothing late may be open.
#[test]
fn a_job_accepted_before_the_signal_keeps_its_deadline_and_a_late_one_is_cut_short() {
    let node = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&node)).start();
    let (mut resting, mut early) = (connect(program.platform), connect(program.platform));
    early
        .write_all(job_request("c0", "redeem", "take started wait=cut done=x", "").as_bytes())
        .expect("written");
    wait_until("the job arrives", || node.job_count.load(Ordering::SeqCst) > 0);
    program.terminate();
    assert_eq!(read_to_close(&mut resting), Ok(Vec::new()), "new connections have come by now");
    // It would be waited for 25 s.
    let late = send(program.platform, &job_request("c1", "redeem", "take hang", "")).expect("an answer");
    assert!(late.status == 503 || late.status == 504, "{}", late.head);
    node.open_gate("cut");
    let reply = read_reply(&mut early).expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "x"));
    drop((resting, early));
    assert!(program.wait_for_exit().0);
}

/// A worker's connection for callbacks was closed as idle 0.45 s after the signal, under a callback that was on its way; and one
/// that had arrived by halves is still received.
#[test]
fn receives_callbacks_until_the_last_job_is_done() {
    let node = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&node)).start();
    let callback = |id: &str, state: &str| {
        let text = format!(r#"{{"id":"{id}","from":"s-1","state":"{state}","result":"{id}"}}"#);
        let head = format!("POST /_jobs/news HTTP/1.1\r\nHost: n0\r\nContent-Length: {}\r\n\r\n", text.len());
        head + &text
    };
    let (mut idle, mut half) = (connect(program.platform), connect(program.platform));
    let mut clients = ["d0", "d1"].map(|id| {
        let mut client = connect(program.platform);
        client.write_all(job_request(id, "redeem", "take hang", "").as_bytes()).expect("written");
        client
    });
    wait_until("the jobs arrive", || node.job_count.load(Ordering::SeqCst) == 2);
    for (calls, id) in [(&mut idle, "d0"), (&mut half, "d1")] {
        calls.write_all(callback(id, "started").as_bytes()).expect("written");
        assert_eq!(read_reply(calls).expect("an answer").status, 204);
    }
    let mut resting = connect(program.platform);
    program.terminate();
    let line = callback("d1", "done");
    let (first, rest) = line.split_at(line.len() / 2);
    half.write_all(first.as_bytes()).expect("written");
    assert_eq!(read_to_close(&mut resting), Ok(Vec::new()), "idle connections are ended by now");
    half.write_all(rest.as_bytes()).expect("written");
    idle.write_all(callback("d0", "done").as_bytes()).expect("written");
    for (calls, client) in [&mut idle, &mut half].into_iter().zip(&mut clients) {
        assert_eq!(read_reply(calls).expect("it is received").status, 204);
        assert_eq!(read_reply(client).expect("an answer").status, 200);
    }
    drop((idle, half, clients, resting));
    assert!(program.wait_for_exit().0);
}

/// A half request that had to give way to others was closed over: its client saw no answer, or a reset under the rest of it.
#[test]
fn rejects_a_half_request_that_gives_way() {
    let node = FakeWorker::start("s-1");
    let few = |config: &mut serde_json::Value| config["limits"]["sockets"] = serde_json::json!(80);
    let program = DispatcherProcess::builder(std::slice::from_ref(&node)).configure(few).start();
    let mut half = connect(program.platform);
    let request = job_request("e0", "balance", "take started done=x", "");
    let (first, rest) = request.split_at(request.len() - 5);
    half.write_all(first.as_bytes()).expect("written");
    half.set_nonblocking(true).expect("a socket option");
    let mut crowd = Vec::new();
    wait_until("it gives way", || {
        crowd.push(connect(program.platform));
        !matches!(half.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    });
    half.set_nonblocking(false).expect("a socket option");
    let reply = read_reply(&mut half).expect("an answer");
    assert_eq!((reply.status, reply.header("Connection")), (503, Some("close")));
    let _ = half.write_all(rest.as_bytes());
    assert!(!node.has_received("e0"));
    let figures = program.shut_down_for_metrics();
    assert_eq!((figures["taken"], figures["broken_invariants"]), (0, 0));
}
