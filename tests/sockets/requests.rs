//! Requests and their responses: results, statuses, invalid input, clients that disconnect, and graceful shutdown.

use crate::{job_count, start_with_one_worker};
use mothproxy_testkit::*;
use serde_json::json;
use std::io::Write;

/// A job is answered with the worker's result, in whatever order its status updates arrive. Its id and idempotency key are
/// passed to the worker unchanged.
#[test]
fn serves_job_with_worker_result() {
    let (worker, program) = start_with_one_worker();
    assert_eq!(program.up_status(), 200);
    let mut stream = connect(program.platform);
    let scripts_and_results =
        [("take started running=0.5 done=a", "a"), ("done=b take", "b"), ("take done=c done=c", "c")];
    for (number, (script, result)) in scripts_and_results.into_iter().enumerate() {
        let id = format!("00000000000000a{number}");
        stream.write_all(job_request(&id, "redeem", script, "").as_bytes()).expect("write failed");
        let reply = read_reply(&mut stream).expect("no complete response on the reused connection");
        assert_eq!((reply.status, reply.body.as_str()), (200, result), "{script}");
        assert!(worker.has_received(&format!("POST /redeem {id} key-{id}")), "id and key changed");
    }
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["served"], metrics["broken_invariants"]), (3, 3, 0));
}

/// How a worker ends the attempts of a job, and the status of the job's response.
struct Outcome {
    class: &'static str,
    script: &'static str,
    status: u16,
}

/// Each outcome of an attempt leads to the status that the outcome table gives. Only a 503 has a `Retry-After`.
#[test]
fn status_follows_outcome_table() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker))
        .configure(|config| {
            // On a slow machine a connect could otherwise time out, which is another row of the table.
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(20_000.0);
        })
        .start();
    // A job of class `redeem` may be rejected if it has not run, and must not be if it may have run.
    let outcomes = [
        Outcome { class: "redeem", script: "full", status: 503 },
        Outcome { class: "redeem", script: "take returned", status: 503 },
        Outcome { class: "redeem", script: "take failed", status: 500 },
        Outcome { class: "redeem", script: "error", status: 500 },
        Outcome { class: "redeem", script: "busy", status: 500 },
        Outcome { class: "redeem", script: "take lost", status: 500 },
        Outcome { class: "redeem", script: "cut", status: 500 },
        Outcome { class: "redeem", script: "take hang", status: 504 },
        Outcome { class: "balance", script: "take hang", status: 503 },
    ];
    for (number, Outcome { class, script, status }) in outcomes.into_iter().enumerate() {
        let id = format!("00000000000000b{number}");
        let request = job_request(&id, class, script, "X-Time-Left-Ms: 1200\r\n");
        let reply = send(program.platform, &request).expect("no complete response");
        let is_expected = reply.status == status || (status == 500 && reply.status == 504);
        assert!(is_expected, "{script}: status {} instead of {status}", reply.status);
        let retry_after = reply
            .header("Retry-After")
            .map(|seconds| seconds.parse::<f64>().expect("Retry-After is not a number"));
        let is_soon = retry_after.is_some_and(|seconds| seconds > 0.0 && seconds <= 2.0);
        assert_eq!(is_soon, status == 503, "{script}: Retry-After {retry_after:?}");
    }
    wait_until("the attempt of a timed-out job is cancelled", || {
        worker.has_received("DELETE /jobs/00000000000000b7")
    });
}

/// Each fault of a request is answered with its own status, and no job is accepted.
#[test]
fn rejects_bad_requests_with_their_status() {
    let (_worker, program) = start_with_one_worker();
    let valid = job_request("d0", "balance", "done=x", "");
    let big = "x".repeat(70_000);
    let cases = [
        ("nonsense\r\n\r\n".to_owned(), 400),
        (valid.replace("X-Account: steppe-mart", "X-Account: nobody"), 400),
        (valid.replace("X-Service-Class: balance", "X-Service-Class: redeem"), 400),
        (valid.replace("X-Correlation-Id: d0\r\n", ""), 400),
        (valid.replace("/balance", "/loan").replace(": balance", ": loan"), 400),
        (valid.replace("/balance", "/elsewhere"), 404),
        (valid.replace("POST /balance", "PUT /balance"), 405),
        ("POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".to_owned(), 405),
        (valid.replace("Content-Length: 6\r\n", ""), 411),
        (job_request("d1", "balance", &big, ""), 413),
        (job_request("d2", "balance", "x", &format!("X-Long: {big}\r\n")), 431),
        (valid.replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"), 400),
        (valid.replace("Content-Length: 6", "Content-Length: 6\r\nContent-Length: 6"), 400),
        (job_request("d3", "redeem", "done=x", "").replace("Idempotency-Key: key-d3\r\n", ""), 400),
        // Invalid numbers of milliseconds. The last one used to be forwarded to a worker.
        (job_request("d4", "balance", "done=x", "X-Time-Left-Ms: soon\r\n"), 400),
        (job_request("d5", "balance", "done=x", "X-Time-Left-Ms: -5\r\n"), 400),
        (job_request("d6", "balance", "done=x", "X-Time-Left-Ms: 1e3\r\n"), 400),
        (job_request("d7", "balance", "done=x", "X-Time-Left-Ms: 99999999999999999999999\r\n"), 400),
        // A body longer than its declared length: the remaining bytes are not a valid request.
        (job_request("d8", "balance", "done=x", "") + "yyyy", 400),
        (valid.replace("Content-Length: 6", "Content-Length: -6"), 400),
        (valid.replace("Content-Length: 6", "Content-Length: 60000000"), 413),
        ("POST /_jobs/news HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}".to_owned(), 400),
    ];
    for (request, status) in cases {
        let shown = request.chars().take(80).collect::<String>();
        assert_eq!(send(program.platform, &request).expect("no complete response").status, status, "{shown}");
    }
    let update = "{\"id\":\"nobody\",\"from\":\"s-1\",\"state\":\"lost\"}";
    let head = format!("POST /_jobs/news HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", update.len());
    assert_eq!(
        send(program.platform, &(head + update)).expect("no complete response").status,
        204,
        "callback for an unknown job"
    );
    assert_eq!(program.shut_down_for_metrics()["taken"], 0);
}

/// A request may have a chunked body and arrive in pieces. Two requests that arrive at once are answered in order.
#[test]
fn reads_chunked_and_split_requests() {
    let (_worker, program) = start_with_one_worker();
    let chunked = job_request("e0", "balance", "", "Transfer-Encoding: chunked\r\n")
        .replace("Content-Length: 0\r\n", "");
    let request = chunked + "8\r\ntake sta\r\nb\r\nrted done=x\r\n0\r\n\r\n";
    let mut stream = connect(program.platform);
    for piece in request.as_bytes().chunks(3) {
        stream.write_all(piece).expect("write failed");
    }
    assert_eq!(read_reply(&mut stream).expect("no complete response").body, "x");
    let two =
        job_request("e1", "balance", "take done=1", "") + &job_request("e2", "balance", "take done=2", "");
    stream.write_all(two.as_bytes()).expect("write failed");
    let mut buffer = Vec::new(); // both responses may be read at once
    let bodies =
        [(); 2].map(|()| read_next_reply(&mut stream, &mut buffer).expect("no complete response").body);
    assert_eq!(bodies, ["1", "2"]);
}

/// If a client disconnects, its job is cancelled at the worker.
#[test]
fn cancels_job_of_disconnected_client() {
    let (worker, program) = start_with_one_worker();
    let mut stream = connect(program.platform);
    stream.write_all(job_request("f0", "balance", "take hang", "").as_bytes()).expect("write failed");
    wait_until("a job arrives", || job_count(&worker) > 0);
    drop(stream);
    wait_until("the job is cancelled", || worker.has_received("DELETE /jobs/f0"));
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["gone"], metrics["open"]), (1, 1, 0));
}

/// After SIGTERM accepted jobs are answered, new ones are served with `Connection: close`, and the process exits with no job
/// open.
#[test]
fn answers_accepted_jobs_on_graceful_shutdown() {
    let (worker, program) = start_with_one_worker();
    let mut open_job = connect(program.platform);
    open_job
        .write_all(job_request("i0", "balance", "take started wait=stop done=x", "").as_bytes())
        .expect("write failed");
    wait_until("a job arrives", || job_count(&worker) > 0);
    program.terminate();
    let to = program.platform;
    // New connections are still accepted, and closed after their response.
    let reply =
        send(to, &job_request("i1", "balance", "take started done=y", "")).expect("no complete response");
    assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    assert_eq!(program.up_status(), 503);
    worker.open_gate("stop");
    assert_eq!(read_reply(&mut open_job).expect("no complete response").status, 200);
    program.wait_for_complete_shutdown();
}
