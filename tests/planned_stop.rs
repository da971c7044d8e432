//! A planned stop and closes that cross what is on its way, on real connections. Each story forces its order by what was
//! seen before: an end that was read, a job that has arrived, a process that stands still.

use mothproxy::core::shutdown_plan::ShutdownPlan;
use mothproxy_testkit::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Instant;

const MS: u64 = 1_000;

/// The page's figures, whatever the settings: SIGKILL comes no sooner than the longest deadline (3 s where it is longer) and
/// 0.7 s after the signal, and what came later than 0.7 s must be answered by then.
#[test]
fn what_comes_late_is_answered_before_the_process_may_be_killed() {
    let spans = [1, 50, 120, 400, 800, 1_500, 2_999, 3_000, 3_001, 7_500, 25_000].map(|ms| ms * MS);
    for (longest, ever) in spans.into_iter().flat_map(|longest| spans.map(|ever| (longest, ever))) {
        let plan = ShutdownPlan::new(0, longest, ever);
        let (counted, killed) = (longest.min(3_000 * MS), longest.min(3_000 * MS) + 700 * MS);
        assert!(
            plan.keep_clients_until + counted / 2 <= plan.answer_late_by && plan.answer_late_by < killed,
            "{plan:?}"
        );
        assert!(plan.give_up_at >= longest.max(ever) + 700 * MS, "{plan:?}");
        for came in (0..killed).step_by(10 * MS as usize) {
            let answered = came + plan.time_budget(came, longest);
            assert!(came <= 700 * MS || answered < killed.max(came + 1), "{came} {answered} {plan:?}");
            // Those that came with the last new connections are not cut short.
            assert!(came > 400 * MS || answered == came + longest, "{came} {answered} {plan:?}");
        }
    }
}

/// Reads to the end that the other side makes; an error where it breaks the connection instead.
fn ended(stream: &mut TcpStream) -> Result<Vec<u8>, ErrorKind> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let mut seen = Vec::new();
    stream.read_to_end(&mut seen).map(|_| seen).map_err(|error| error.kind())
}

/// Whether the other side breaks this connection, on which its end has been read, because of what was sent after that.
fn is_reset(stream: &TcpStream) -> bool {
    let sent = Instant::now();
    let mut broken = false;
    wait_until("a reset, or time enough for one", || {
        broken |= stream.take_error().expect("a socket option").is_some();
        broken || sent.elapsed().as_millis() > 200
    });
    broken
}

/// A request that crosses the end of a resting connection was closed over: the connection was reset. Now it is read, never
/// sent on, and its client sees a plain end and sends it again.
#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_not_sent_on_and_resets_nothing() {
    let node = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&node)).start();
    let mut resting = connect(program.platform);
    resting.write_all(job_request("a0", "balance", "take started done=x", "").as_bytes()).expect("written");
    assert_eq!(read_reply(&mut resting).expect("an answer").status, 200);
    program.terminate();
    assert_eq!(ended(&mut resting), Ok(Vec::new()));
    // The dispatcher has ended its side, and sees this only afterwards, as though the two had crossed.
    resting.write_all(job_request("a1", "balance", "take started done=x", "").as_bytes()).expect("written");
    assert!(!is_reset(&resting) && ended(&mut resting) == Ok(Vec::new()));
    let again = send(program.platform, &job_request("a2", "balance", "take started done=x", ""));
    assert_eq!(again.expect("an answer to the next try").status, 200);
    assert!(node.has_received("a2") && !node.has_received("a1"));
    drop(resting);
    let (clean, log) = program.wait_for_exit();
    assert!(clean && log.iter().any(|l| l == "stopped: open=0"), "{log:?}");
}

/// The process ended as soon as its last answer was written: what the client sent then reset the connection under it. A
/// client is waited for 1 s; where the machine itself kept this one for almost as long, the story is played again.
#[test]
fn the_process_waits_for_the_end_of_the_client_that_got_the_last_answer() {
    let told = || {
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
    let reset = (0..5).find_map(|_| told()).expect("a machine that lets this be seen once");
    assert!(!reset, "an end, not a reset");
}

/// Every job that was open 3.4 s after the signal was failed, with however long a deadline. The late one's answer shows that
/// the time has come after which nothing late may be open.
#[test]
fn a_job_taken_before_the_signal_keeps_its_deadline_and_one_that_comes_late_gets_what_is_left() {
    let node = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&node)).start();
    let (mut resting, mut early) = (connect(program.platform), connect(program.platform));
    early
        .write_all(job_request("c0", "redeem", "take started wait=cut done=x", "").as_bytes())
        .expect("written");
    wait_until("the job arrives", || node.job_count.load(Ordering::SeqCst) > 0);
    program.terminate();
    assert_eq!(ended(&mut resting), Ok(Vec::new()), "new connections have come by now");
    // It would be waited for 25 s.
    let late = send(program.platform, &job_request("c1", "redeem", "take hang", "")).expect("an answer");
    assert!(late.status == 503 || late.status == 504, "{}", late.head);
    node.open_gate("cut");
    let reply = read_reply(&mut early).expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "x"));
    drop((resting, early));
    assert!(program.wait_for_exit().0);
}

/// A worker's connection for call-backs was closed as idle 0.45 s after the signal, under a line that was on its way; and what
/// had come by halves is still heard.
#[test]
fn workers_tell_of_their_jobs_until_the_last_one_is_done() {
    let node = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&node)).start();
    let news = |id: &str, state: &str| {
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
        calls.write_all(news(id, "started").as_bytes()).expect("written");
        assert_eq!(read_reply(calls).expect("an answer").status, 204);
    }
    let mut resting = connect(program.platform);
    program.terminate();
    let line = news("d1", "done");
    let (first, rest) = line.split_at(line.len() / 2);
    half.write_all(first.as_bytes()).expect("written");
    assert_eq!(ended(&mut resting), Ok(Vec::new()), "idle connections are ended by now");
    half.write_all(rest.as_bytes()).expect("written");
    idle.write_all(news("d0", "done").as_bytes()).expect("written");
    for (calls, client) in [&mut idle, &mut half].into_iter().zip(&mut clients) {
        assert_eq!(read_reply(calls).expect("it is heard").status, 204);
        assert_eq!(read_reply(client).expect("an answer").status, 200);
    }
    drop((idle, half, clients, resting));
    assert!(program.wait_for_exit().0);
}

/// A half request that had to give way to others was closed over: its client saw no answer, or a reset under the rest of it.
#[test]
fn a_half_request_that_gives_way_is_turned_away() {
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
