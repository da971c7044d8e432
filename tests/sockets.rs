//! The program over real sockets: the platform's front, workers, discovery, bad input, a planned stop.

use mothproxy_testkit::*;
use serde_json::json;
use std::io::Write;
use std::process::Command;
use std::sync::atomic::Ordering;

#[test]
fn serves_job_with_worker_result() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    assert_eq!(program.up_status(), 200);
    let mut stream = connect(program.platform);
    for (n, body) in
        ["take started running=0.5 done=a", "done=b take", "take done=c done=c"].iter().enumerate()
    {
        let id = format!("00000000000000a{n}");
        stream.write_all(job_request(&id, "redeem", body, "").as_bytes()).expect("written");
        let reply = read_reply(&mut stream).expect("an answer on the same connection");
        assert_eq!((reply.status, reply.body), (200, "abc"[n..n + 1].to_owned()), "{body}");
        assert!(worker.has_received(&format!("POST /redeem {id} key-{id}")), "id and key pass on unchanged");
    }
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["served"], metrics["broken_invariants"]), (3, 3, 0));
}

#[test]
fn status_follows_outcome_table() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker))
        .configure(|config| {
            // A worker on a busy machine takes its time: that is another row of the table.
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(20_000.0);
        })
        .start();
    let cases = [
        // Not run: a redeem may be refused. May have run: it must not be.
        ("redeem", "full", 503),
        ("redeem", "take returned", 503),
        ("redeem", "take failed", 500),
        ("redeem", "error", 500),
        ("redeem", "busy", 500),
        ("redeem", "take lost", 500),
        ("redeem", "cut", 500),
        ("redeem", "take hang", 504),
        ("balance", "take hang", 503),
    ];
    for (n, (class, body, status)) in cases.into_iter().enumerate() {
        let id = format!("00000000000000b{n}");
        let request = job_request(&id, class, body, "X-Time-Left-Ms: 1200\r\n");
        let reply = send(program.platform, &request).expect("an answer");
        let fits = reply.status == status || (status == 500 && reply.status == 504);
        assert!(fits, "{body}: {} instead of {status}", reply.status);
        let after = reply.header("Retry-After").map(|s| s.parse::<f64>().expect("seconds"));
        assert_eq!(after.is_some_and(|s| s > 0.0 && s <= 2.0), status == 503, "{body}: {after:?}");
    }
    wait_until("a dispatch that is given up is cancelled", || {
        worker.has_received("DELETE /jobs/00000000000000b7")
    });
}

#[test]
fn retries_elsewhere_on_connect_failure() {
    let dead = FakeWorker::start("s-0");
    let closed =
        std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(&[worker])
        .configure(|config| {
            let row = site::endpoint_entry(&dead.name, &closed.to_string(), "up");
            config["known"]["instances"].as_array_mut().expect("a list").push(row);
        })
        .start();
    for n in 0..6 {
        let reply =
            send(program.platform, &job_request(&format!("c{n}"), "redeem", "take started done=x", ""));
        assert_eq!(reply.expect("an answer").status, 200);
    }
}

#[test]
fn rejects_bad_requests_with_their_status() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(&[worker]).start();
    let good = job_request("d0", "balance", "done=x", "");
    let big = "x".repeat(70_000);
    let cases = [
        ("nonsense\r\n\r\n".to_owned(), 400),
        (good.replace("X-Account: steppe-mart", "X-Account: nobody"), 400),
        (good.replace("X-Service-Class: balance", "X-Service-Class: redeem"), 400),
        (good.replace("X-Correlation-Id: d0\r\n", ""), 400),
        (good.replace("/balance", "/loan").replace(": balance", ": loan"), 400),
        (good.replace("/balance", "/elsewhere"), 404),
        (good.replace("POST /balance", "PUT /balance"), 405),
        ("POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".to_owned(), 405),
        (good.replace("Content-Length: 6\r\n", ""), 411),
        (job_request("d1", "balance", &big, ""), 413),
        (job_request("d2", "balance", "x", &format!("X-Long: {big}\r\n")), 431),
        (good.replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"), 400),
        (good.replace("Content-Length: 6", "Content-Length: 6\r\nContent-Length: 6"), 400),
        (job_request("d3", "redeem", "done=x", "").replace("Idempotency-Key: key-d3\r\n", ""), 400),
        // A deadline that is no number of milliseconds; the last of these used to reach a worker.
        (job_request("d4", "balance", "done=x", "X-Time-Left-Ms: soon\r\n"), 400),
        (job_request("d5", "balance", "done=x", "X-Time-Left-Ms: -5\r\n"), 400),
        (job_request("d6", "balance", "done=x", "X-Time-Left-Ms: 1e3\r\n"), 400),
        (job_request("d7", "balance", "done=x", "X-Time-Left-Ms: 99999999999999999999999\r\n"), 400),
        // A body longer than its length: the rest cannot be another request.
        (job_request("d8", "balance", "done=x", "") + "yyyy", 400),
        (good.replace("Content-Length: 6", "Content-Length: -6"), 400),
        (good.replace("Content-Length: 6", "Content-Length: 60000000"), 413),
        ("POST /_jobs/news HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}".to_owned(), 400),
    ];
    for (request, status) in cases {
        let shown = request.chars().take(80).collect::<String>();
        assert_eq!(send(program.platform, &request).expect("an answer").status, status, "{shown}");
    }
    let late = "{\"id\":\"nobody\",\"from\":\"s-1\",\"state\":\"lost\"}";
    let head = format!("POST /_jobs/news HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", late.len());
    assert_eq!(
        send(program.platform, &(head + late)).expect("an answer").status,
        204,
        "an unknown id is heard"
    );
    assert_eq!(program.shut_down_for_metrics()["taken"], 0);
}

#[test]
fn reads_chunked_and_split_requests() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    let chunked = job_request("e0", "balance", "", "Transfer-Encoding: chunked\r\n")
        .replace("Content-Length: 0\r\n", "");
    let request = chunked + "8\r\ntake sta\r\nb\r\nrted done=x\r\n0\r\n\r\n";
    let mut stream = connect(program.platform);
    for byte in request.as_bytes().chunks(3) {
        stream.write_all(byte).expect("written");
    }
    assert_eq!(read_reply(&mut stream).expect("an answer").body, "x");
    // Two requests at once are answered in turn.
    let two =
        job_request("e1", "balance", "take done=1", "") + &job_request("e2", "balance", "take done=2", "");
    stream.write_all(two.as_bytes()).expect("written");
    let mut seen = Vec::new(); // both may come at once
    let bodies = [(); 2].map(|()| read_next_reply(&mut stream, &mut seen).expect("an answer").body);
    assert_eq!(bodies, ["1", "2"]);
}

/// A connection that fell silent, of a worker that lives: its jobs were waited for until their deadlines.
#[test]
fn retries_elsewhere_if_attempt_is_not_accepted() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let no_copies =
        |config: &mut serde_json::Value| config["settings"]["Limits"]["SecondCopies"] = json!(false);
    let program = DispatcherProcess::builder(&workers).configure(no_copies).start();
    // On a machine that is very busy the other one may not take it in time either: then another job shows it.
    let served_elsewhere = (0..30).any(|n| {
        let name = format!("m{n}");
        let request = job_request(&name, "balance", "mute=s-1 take started done=x", "");
        let status = send(program.platform, &request).expect("an answer").status;
        status == 200 && workers.iter().all(|worker| worker.has_received(&name))
    });
    assert!(served_elsewhere);
    let metrics = program.shut_down_for_metrics();
    assert!(metrics["untaken"] >= 1 && metrics["broken_invariants"] == 0, "{metrics:?}");
}

/// A job that is unsafe to repeat gained nothing by being given up after 150 ms: nobody else could have it.
#[test]
fn waits_for_non_idempotent_attempt_until_client_timeout() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker))
        .configure(|config| {
            config["settings"]["Grades"][1]["Semantics"] = json!("side_effect");
        })
        .start();
    let request = job_request("k0", "redeem", "pause=700 take started done=x", "X-Time-Left-Ms: 15000\r\n");
    assert_eq!(send(program.platform, &request).expect("an answer").status, 200);
    assert_eq!((worker.job_count.load(Ordering::SeqCst), program.shut_down_for_metrics()["untaken"]), (1, 0));
}

/// Kept connections that break under the next request show nothing of their worker. Each one used to be a strike, so
/// that on a day of many the workers that could have served were left alone.
#[test]
fn stale_connections_do_not_count_as_worker_failures() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let program = DispatcherProcess::builder(&workers).start();
    for n in 0..40 {
        let request = job_request(&format!("n{n}"), "balance", "stale=s-1 take started done=x", "");
        assert_eq!(send(program.platform, &request).expect("an answer").status, 200);
    }
    let stale =
        workers[0].received.lock().expect("a lock").iter().filter(|line| line.starts_with("stale")).count();
    assert!(stale >= 6, "it went on getting jobs, every second of them on a stale connection: {stale}");
    assert_eq!(program.shut_down_for_metrics()["served"], 40);
}

/// A session's few attempts used to go on one stale connection after the other, within milliseconds.
#[test]
fn request_continues_over_new_connections_after_stale_one() {
    let workers = [FakeWorker::start("s-1"), FakeWorker::start("s-2")];
    let program = DispatcherProcess::builder(&workers).start();
    for n in 0..20 {
        let request = job_request(&format!("o{n}"), "balance", "stale=s-1 stale=s-2 take started done=x", "");
        assert_eq!(send(program.platform, &request).expect("an answer").status, 200, "job {n}");
    }
    assert!(program.shut_down_for_metrics()["resets"] > 0);
}

#[test]
fn cancels_job_of_disconnected_client() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    let mut stream = connect(program.platform);
    stream.write_all(job_request("f0", "balance", "take hang", "").as_bytes()).expect("written");
    wait_until("a job arrives", || worker.job_count.load(Ordering::SeqCst) > 0);
    drop(stream);
    wait_until("the job is cancelled", || worker.has_received("DELETE /jobs/f0"));
    let metrics = program.shut_down_for_metrics();
    assert_eq!((metrics["taken"], metrics["gone"], metrics["open"]), (1, 1, 0));
}

#[test]
fn drained_worker_gets_no_jobs_and_closed_watch_reopens() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let whole = |rows: &[_]| site::snapshot(1, rows);
    let discovery = FakeDiscovery::start(whole(&[old.endpoint_entry("up")]));
    // At first it knows only the old one: the new one gets a job only once the change was heard.
    let known =
        |config: &mut serde_json::Value| config["known"]["instances"] = json!([old.endpoint_entry("up")]);
    let program = DispatcherProcess::builder(&[old.clone(), new.clone()])
        .discovery(discovery.address)
        .configure(known)
        .start();
    let serve_one = |id: &str| {
        let reply = send(program.platform, &simple_job(id)).expect("an answer");
        assert_eq!(reply.status, 200);
    };
    wait_until("a watch", || discovery.calls.load(Ordering::SeqCst) > 0);
    // The list has only the old one. It drains, the new one comes up; bad lines between change nothing.
    let after = whole(&[old.endpoint_entry("draining"), new.endpoint_entry("up")]);
    let change = site::delta(2, &[old.endpoint_entry("draining"), new.endpoint_entry("up")]);
    discovery.push_change("this is no list", after.clone());
    discovery.push_change(&change.to_string(), after);
    let mut n = 0;
    while new.job_count.load(Ordering::SeqCst) == 0 {
        serve_one(&format!("g{n}"));
        n += 1;
    }
    let before = old.job_count.load(Ordering::SeqCst);
    (0..10).for_each(|n| serve_one(&format!("h{n}")));
    assert_eq!(old.job_count.load(Ordering::SeqCst), before, "the old one has been told to drain");
    let calls = discovery.calls.load(Ordering::SeqCst);
    discovery.close_watches();
    wait_until("another watch", || discovery.calls.load(Ordering::SeqCst) > calls);
    assert_eq!(program.shut_down_for_metrics()["bad_lists"], 1);
}

/// Discovery that has lost its table says that there is nobody: no dispatcher may believe that, or the whole fleet stops.
#[test]
fn ignores_empty_full_list() {
    let (worker, other) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let whole = |rows: &[_]| site::snapshot(1, rows);
    let discovery = FakeDiscovery::start(whole(&[worker.endpoint_entry("up")]));
    let program = DispatcherProcess::builder(&[worker.clone(), other.clone()])
        .discovery(discovery.address)
        .configure(|config| {
            config["known"]["instances"] = json!([worker.endpoint_entry("up")]);
        })
        .start();
    let serve_one = |id: String| {
        let reply = send(program.platform, &simple_job(&id));
        assert_eq!(reply.expect("an answer").status, 200);
    };
    wait_until("a watch", || discovery.calls.load(Ordering::SeqCst) > 0);
    let change = site::delta(2, &[other.endpoint_entry("up")]);
    discovery.push_change(&whole(&[]).to_string(), whole(&[]));
    discovery.push_change(&change.to_string(), whole(&[]));
    let mut n = 0..;
    wait_until("the other one has a job", || {
        serve_one(format!("e{}", n.next().unwrap_or(0)));
        other.job_count.load(Ordering::SeqCst) > 0
    });
    let before = worker.job_count.load(Ordering::SeqCst);
    wait_until("the first one still has jobs", || {
        serve_one(format!("e{}", n.next().unwrap_or(0)));
        worker.job_count.load(Ordering::SeqCst) > before
    });
    let metrics = program.shut_down_for_metrics();
    assert!(metrics["bad_lists"] >= 1 && metrics["workers"] == 2, "{metrics:?}");
}

#[test]
fn answers_accepted_jobs_on_graceful_shutdown() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    let mut before = connect(program.platform);
    before
        .write_all(job_request("i0", "balance", "take started wait=stop done=x", "").as_bytes())
        .expect("written");
    wait_until("a job arrives", || worker.job_count.load(Ordering::SeqCst) > 0);
    program.terminate();
    let to = program.platform;
    // New connections are still taken, and told not to stay.
    let reply = send(to, &job_request("i1", "balance", "take started done=y", "")).expect("an answer");
    assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    assert_eq!(program.up_status(), 503);
    worker.open_gate("stop");
    assert_eq!(read_reply(&mut before).expect("an answer").status, 200);
    program.wait_for_complete_shutdown();
}

/// Descriptors are budgeted: idle connections give way to those that come with work.
#[test]
fn closes_idle_connections_when_descriptors_are_short() {
    let worker = FakeWorker::start("s-1");
    let few = |config: &mut serde_json::Value| config["limits"]["sockets"] = json!(80);
    let program = DispatcherProcess::builder(&[worker]).configure(few).start();
    let idle: Vec<_> = (0..100).map(|_| connect(program.platform)).collect();
    for n in 0..5 {
        let reply = send(program.platform, &simple_job(&format!("j{n}")));
        assert_eq!(reply.expect("an answer").status, 200);
    }
    wait_until("most of the idle ones are closed", || idle.iter().filter(|s| is_closed(s)).count() > 70);
}

/// With every descriptor at work a job is turned away while nothing of it has run, and the others are answered.
#[test]
fn rejects_job_beyond_descriptor_limit() {
    let worker = FakeWorker::start("s-1");
    let few = |config: &mut serde_json::Value| config["limits"]["sockets"] = json!(80);
    let program = DispatcherProcess::builder(&[worker]).configure(few).start();
    let request = |n: usize| job_request(&format!("k{n}"), "redeem", "take hang", "X-Time-Left-Ms: 3000\r\n");
    let mut clients: Vec<_> = (0..32).map(|_| connect(program.platform)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(request(n).as_bytes()).expect("written");
    }
    let statuses: Vec<u16> =
        clients.iter_mut().map(|client| read_reply(client).expect("an answer").status).collect();
    assert_eq!(statuses.iter().filter(|s| **s == 503 || **s == 504).count(), 32, "{statuses:?}");
    let metrics = program.shut_down_for_metrics();
    assert!(metrics["rejects"] > 0 && metrics["taken"] + metrics["rejects"] == 32, "{metrics:?}");
    assert_eq!((metrics["open"], metrics["gone"]), (0, 0));
}

#[test]
fn reports_bad_configuration_plainly() {
    let run = |file: &std::path::Path, args: &[&str]| {
        let program = Command::new(env!("CARGO_BIN_EXE_mothproxy"))
            .args(args)
            .env("GW_CONFIG", file)
            .env_remove("GW_LISTEN")
            .output()
            .expect("the program starts");
        (program.status.code(), String::from_utf8_lossy(&program.stderr).into_owned())
    };
    let stem = std::env::temp_dir().join(format!("mothproxy-bad-{}", std::process::id()));
    let good = site::config("127.0.0.1:0", "127.0.0.1:1", json!([]));
    let without = |path: &str| {
        let mut config = good.clone();
        config.as_object_mut().expect("an object").remove(path);
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), "not JSON"),
        (without("settings"), "settings is missing"),
        (without("known"), "known is missing"),
        (good.to_string().replace("127.0.0.1:0", "here"), "listen is not an address: \"here\""),
        (good.to_string().replace("\"MaxAttempts\":3", "\"MaxAttempts\":0"), "settings allow no attempt"),
        (good.to_string().replace("\"Siblings\":1", "\"Siblings\":0"), "not below the count of nodes"),
        (good.to_string().replace("\"Siblings\":1", "\"Siblings\":4e9"), "more than 10,000 nodes"),
        (
            good.to_string().replace("\"MaxAttempts\":3", "\"MaxAttempts\":\"x\""),
            "Limits.MaxAttempts is not a number",
        ),
    ];
    for (text, message) in cases {
        std::fs::write(&stem, text).expect("a temporary file");
        let (code, said) = run(&stem, &[]);
        assert!(code == Some(2) && said.contains(message) && !said.contains("panicked"), "{message}: {said}");
    }
    std::fs::write(&stem, good.to_string()).expect("a temporary file");
    let (code, said) = run(&stem, &["--sse", "/nowhere/sse.toml"]);
    assert!(code == Some(2) && said.contains("cannot read /nowhere/sse.toml"), "{said}");
    std::fs::remove_file(&stem).expect("it was there");
    let (code, said) = run(&stem, &[]);
    assert!(code == Some(2) && said.contains("cannot read"), "{said}");
}
