//! Second copies of a worker's responses: none is taken for the response to another request.

use super::manual_worker::*;
use mothproxy_testkit::*;
use serde_json::json;
use std::net::TcpStream;
use std::path::Path;

/// How late a copy of a response may be, in milliseconds. The tests take much less time.
const COPY_WINDOW_MS: f64 = 20_000.0;
/// How long clients wait, in milliseconds.
const DEADLINE_MS: f64 = 60_000.0;
/// Marks jobs as long, so that none becomes overdue at the worker, however long the dispatcher or the test is held up.
const LONG_JOB: &str = "X-Facts: hint=20000\r\n";

/// Starts a worker, and a dispatcher that expects copies of responses for [`COPY_WINDOW_MS`].
fn start() -> (ManualWorker, DispatcherProcess) {
    start_in(None)
}

/// The same, with this directory as `$TMPDIR` of the dispatcher.
fn start_in(temp_dir: Option<&Path>) -> (ManualWorker, DispatcherProcess) {
    ManualWorker::start_in(temp_dir, |config| {
        config["settings"]["Domain"]["TellsStart"] = json!(false);
        config["settings"]["Domain"]["ProgressMs"] = json!(DEADLINE_MS);
        config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(COPY_WINDOW_MS);
        config["settings"]["Grades"][0]["DeadlineMs"] = json!(DEADLINE_MS);
        config["settings"]["Limits"]["ConnIdleMs"] = json!(4.0 * COPY_WINDOW_MS);
    })
}

/// Has a first job, `g0`, served on a connection, which is returned. The dispatcher then knows that the worker has room.
fn serve_first_job(worker: &ManualWorker, program: &DispatcherProcess) -> WorkerConnection {
    let (mut client, mut connection) = start_attempt(worker, program, "g0", "");
    connection.write(ACCEPTED);
    let load = json!({"err_rps": 0.0, "avg_ms": 100.0, "cpu": 0.3, "x0": 16.0});
    let callback = json!({"id": "g0", "from": "s-1", "state": "done", "result": "x", "load": load});
    send(program.platform, &status_callback_request(&callback)).expect("no complete response");
    assert_eq!(read_reply(&mut client).expect("no complete response").status, 200);
    connection
}

/// Submits a job whose attempt must arrive on this connection.
fn submit_on(program: &DispatcherProcess, connection: &mut WorkerConnection, id: &str) -> TcpStream {
    let client = submit(program, &job_request(id, "balance", "", LONG_JOB));
    assert_eq!(connection.request(), Some(format!("POST /balance {id}")));
    client
}

/// Submits a job whose attempt must arrive on a new connection, and not on `used`. Returns the client and the new connection.
fn submit_on_new_connection(
    worker: &ManualWorker,
    program: &DispatcherProcess,
    used: &WorkerConnection,
    id: &str,
) -> (TcpStream, WorkerConnection) {
    let client = submit(program, &job_request(id, "balance", "", LONG_JOB));
    let mut accepted = None;
    wait_until("the attempt arrives", || {
        accepted = worker.accept();
        assert!(!used.has_bytes(), "{id} was sent on a connection that may still owe a response");
        accepted.is_some()
    });
    let mut connection = accepted.expect("no connection of the dispatcher");
    assert_eq!(connection.request(), Some(format!("POST /balance {id}")));
    (client, connection)
}

/// Reports jobs as done, and checks that their clients get the result.
fn finish_jobs(program: &DispatcherProcess, jobs: &mut [(&str, TcpStream)]) {
    for (id, client) in jobs {
        send_status_callback(program, id, "done");
        assert_eq!(read_reply(client).expect("no complete response").status, 200, "{id}");
    }
}

/// Guards against jobs that run twice (review/1): a second copy of a 202 was taken for the response to the next request, whose own
/// refusal then said of a third, running job that it had never run. Now that request goes out on another connection.
#[test]
fn late_second_202_does_not_make_running_job_count_as_never_run() {
    let (worker, mut program) = start();
    let mut connection = serve_first_job(&worker, &program);
    let first = submit_on(&program, &mut connection, "g1");
    connection.write(ACCEPTED);
    send_status_callback(&program, "g1", "started"); // so the response was the job's own, and the connection is free
    let second = submit_on(&program, &mut connection, "g2");
    connection.write(ACCEPTED); // the copy
    let (third, mut other) = submit_on_new_connection(&worker, &program, &connection, "g3");
    other.write(ACCEPTED);
    send_status_callback(&program, "g3", "started");
    connection.write(REFUSED); // the response to g2
    assert_eq!(connection.request(), None, "a connection with a surplus response is closed");
    assert_eq!(other.request().as_deref(), Some("POST /balance g2"), "the refused job is sent again");
    other.write(ACCEPTED);
    finish_jobs(&program, &mut [("g1", first), ("g2", second), ("g3", third)]);
    program.wait_for_log(UNSOLICITED);
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["dispatches"], metrics["failed"]), (5, 0));
}

/// The 202 to `g1` may be a copy. Guards against losing what the worker then says: a further response counts as that to `g1`.
#[test]
fn further_response_counts_for_job_whose_acceptance_is_uncertain() {
    let event = "event: done\ndata: {\"id\":\"g1\",\"from\":\"s-1\",\"result\":\"x\"}\n\n";
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length";
    let stream = format!("{head}: {}\r\n\r\n{event}", event.len());
    for response in [ACCEPTED, &stream] {
        let (worker, mut program) = start();
        let mut connection = serve_first_job(&worker, &program);
        let mut client = submit_on(&program, &mut connection, "g1");
        connection.write(ACCEPTED);
        connection.write(response);
        assert_eq!(connection.request(), None, "{response}: a connection with a surplus response is closed");
        if response == ACCEPTED {
            send_status_callback(&program, "g1", "done");
        }
        assert_eq!(read_reply(&mut client).expect("no complete response").status, 200, "{response}");
        program.wait_for_log(UNSOLICITED);
        assert_eq!(program.shut_down_for_metrics()["dispatches"], 2, "{response}");
    }
}

/// Guards against copies of responses to other messages than attempts: a second 404 to a cancel would fail the next job.
#[test]
fn does_not_reuse_connection_at_once_after_failed_cancel() {
    let (worker, program) = start();
    let (client, mut connection) = start_attempt(&worker, &program, "g0", "");
    connection.write(ACCEPTED);
    send_status_callback(&program, "g0", "started");
    drop(client);
    assert_eq!(connection.request().as_deref(), Some("DELETE /jobs/g0"));
    let not_found = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    connection.write(not_found);
    let (client, mut other) = submit_on_new_connection(&worker, &program, &connection, "g1");
    connection.write(not_found); // the copy
    other.write(ACCEPTED);
    finish_jobs(&program, &mut [("g1", client)]);
    assert_eq!(program.shut_down_for_metrics()["failed"], 0);
}

/// Starts the successor of a dispatcher, with the same configuration.
fn start_successor(directory: &Path, predecessor: &DispatcherProcess) -> DispatcherProcess {
    let mut config = predecessor.config.clone();
    config["listen"] = json!(predecessor.platform.to_string());
    DispatcherProcess::builder(&[]).temp_dir(directory).configure(|fresh| *fresh = config).start()
}

/// Guards against copies on connections that a successor takes over: its predecessor may have read the 202 to `g0` just before.
#[test]
fn successor_expects_copies_on_connections_that_it_takes_over() {
    let directory = tempfile::tempdir().expect("cannot create the temporary directory");
    let (worker, predecessor) = start_in(Some(directory.path()));
    let mut connection = serve_first_job(&worker, &predecessor);
    let successor = start_successor(directory.path(), &predecessor);
    predecessor.terminate();
    predecessor.wait_for_complete_shutdown();
    let first = submit_on(&successor, &mut connection, "g1");
    connection.write(ACCEPTED); // the copy
    let (second, mut other) = submit_on_new_connection(&worker, &successor, &connection, "g2");
    other.write(ACCEPTED);
    send_status_callback(&successor, "g2", "started");
    connection.write(REFUSED); // the response to g1
    assert_eq!(other.request().as_deref(), Some("POST /balance g1"), "the refused job is sent again");
    other.write(ACCEPTED);
    finish_jobs(&successor, &mut [("g1", first), ("g2", second)]);
}

/// Guards against losing the response to a job that is handed over while its 202 may be a copy: the job stays until it is certain.
#[test]
fn job_with_uncertain_acceptance_is_sent_again_during_hot_restart() {
    let directory = tempfile::tempdir().expect("cannot create the temporary directory");
    let (worker, predecessor) = start_in(Some(directory.path()));
    let mut connection = serve_first_job(&worker, &predecessor);
    let mut client = submit_on(&predecessor, &mut connection, "g1");
    connection.write(ACCEPTED); // the copy
    let successor = start_successor(directory.path(), &predecessor);
    connection.write(REFUSED); // the response to g1
    let mut other = worker.connection();
    assert_eq!(other.request().as_deref(), Some("POST /balance g1"), "the refused job is sent again");
    other.write(ACCEPTED);
    send_status_callback(&successor, "g1", "done");
    assert_eq!(read_reply(&mut client).expect("no complete response").status, 200);
}
