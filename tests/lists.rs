//! Discovery's lists, pushed and asked for, however they are cut and whenever they fall silent.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Hands in jobs until this worker has had one more.
fn send_until_used(program: &DispatcherProcess, worker: &FakeWorker, name: &str) {
    let (before, mut n) = (worker.job_count.load(Ordering::SeqCst), 0);
    wait_until(&format!("{} gets work", worker.name), || {
        n += 1;
        let request = simple_job(&format!("{name}{n}"));
        assert_eq!(send(program.platform, &request).expect("an answer").status, 200);
        worker.job_count.load(Ordering::SeqCst) > before
    });
}

/// Where lists are pushed the program called nobody: it lived on `known` for ever, and went on sending to workers that the
/// agent had long said were draining (on the second deployment's upgrade day 568 times).
#[test]
fn reopens_watch_of_pushed_list_after_end_or_silence() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let agent =
        FakeDiscovery::start(site::snapshot(2, &[old.endpoint_entry("draining"), new.endpoint_entry("up")]));
    let program = DispatcherProcess::builder(std::slice::from_ref(&old))
        .discovery(agent.address)
        .configure(|config| {
            config["settings"]["Discovery"] = json!("pushed");
        })
        .start();
    new.set_callback_address(program.platform);
    send_until_used(&program, &new, "a");
    let used = old.job_count.load(Ordering::SeqCst);
    // An end is followed by another watch, and so is a silence: this agent sends no empty lines.
    agent.close_watches();
    wait_until("a watch after the end", || agent.calls.load(Ordering::SeqCst) >= 2);
    wait_until("a watch after the silence", || agent.calls.load(Ordering::SeqCst) >= 3);
    // Changes may come over many lines.
    let change = site::delta(3, &[old.endpoint_entry("up"), new.endpoint_entry("draining")]);
    let indented = serde_json::to_string_pretty(&change).expect("JSON");
    agent.push_change(
        &indented,
        site::snapshot(3, &[old.endpoint_entry("up"), new.endpoint_entry("draining")]),
    );
    assert_eq!(old.job_count.load(Ordering::SeqCst), used, "it drained until now");
    send_until_used(&program, &old, "b");
}

/// An indented list was cut at its line ends into as many bad lists.
#[test]
fn reads_indented_list_of_watch() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let discovery = FakeDiscovery::start(site::snapshot(1, &[old.endpoint_entry("up")]));
    let program = DispatcherProcess::builder(std::slice::from_ref(&old)).discovery(discovery.address).start();
    new.set_callback_address(program.platform);
    wait_until("a watch", || discovery.calls.load(Ordering::SeqCst) > 0);
    let full = site::snapshot(2, &[new.endpoint_entry("up")]);
    discovery.push_change(&serde_json::to_string_pretty(&full).expect("JSON"), full);
    send_until_used(&program, &new, "a");
    assert_eq!(program.shut_down_for_metrics()["bad_lists"], 0);
}

/// An asking time under which the module's own waits are long beside what a change may take to be told.
fn patient(config: &mut Value) {
    config["settings"]["Obligations"]["AskWithinMs"] = json!(80_000.0);
}

/// A reset, or a first call without an answer, was followed by the module's waits, which grew with each failure up to the asking
/// time: a worker that drained meanwhile went on getting jobs long after the 6 s that discovery's word takes to count.
#[test]
fn retries_discovery_soon_after_any_failure() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let before = site::snapshot(1, &[old.endpoint_entry("up")]);
    let after = site::snapshot(2, &[old.endpoint_entry("draining"), new.endpoint_entry("up")]);
    for (had_watch, responses) in [
        (true, [ScriptedResponse::Refuse, ScriptedResponse::Refuse]),
        (true, [ScriptedResponse::Truncate, ScriptedResponse::Refuse]),
        (false, [ScriptedResponse::Hold, ScriptedResponse::Hold]),
        (false, [ScriptedResponse::Hold, ScriptedResponse::Truncate]),
    ] {
        let (responses, discovery) = (&responses, FakeDiscovery::start(before.clone()));
        if !had_watch {
            discovery.script_watches(responses, after.clone());
        }
        let program = DispatcherProcess::builder(std::slice::from_ref(&old))
            .discovery(discovery.address)
            .configure(patient)
            .start();
        new.set_callback_address(program.platform);
        wait_until("a call", || discovery.calls.load(Ordering::SeqCst) > 0);
        if had_watch {
            discovery.script_watches(responses, after.clone());
            discovery.close_watches();
        }
        send_until_used(&program, &new, "a");
        let calls = 1 + u64::from(had_watch) + responses.len() as u64;
        assert_eq!(discovery.calls.load(Ordering::SeqCst), calls, "{responses:?}: no more calls than failed");
    }
}

/// SIGHUP names this service.
fn move_to(program: &mut DispatcherProcess, to: &FakeDiscovery) {
    let mut config = program.config.clone();
    config["discovery"] = json!(to.address.to_string());
    program.replace_config(&config.to_string());
    program.signal("-HUP");
}

/// Hands in jobs until none of twenty in a row has gone to this worker; how many it has had then.
fn send_until_unused(program: &DispatcherProcess, worker: &FakeWorker, other: &FakeWorker) -> u64 {
    let (mut used, mut row, mut n) = (worker.job_count.load(Ordering::SeqCst), 0, 0);
    while row < 20 {
        n += 1;
        send_until_used(program, other, &format!("u{n}-"));
        let jobs = worker.job_count.load(Ordering::SeqCst);
        (used, row) = (jobs, if jobs == used { row + 1 } else { 0 });
    }
    used
}

/// A new service that tells changes was asked for its whole list once. Cut in the middle, or answered with changes or a list of
/// nobody, it was never asked for again, and a worker that the service does not know stayed in the table for good. An answer may
/// end with its connection.
#[test]
fn retries_full_list_that_is_truncated_or_unusable() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let first = FakeDiscovery::start(site::snapshot(100, &[old.endpoint_entry("up")])); // its versions mean nothing at the other
    let second = FakeDiscovery::start(site::delta(9, &[new.endpoint_entry("up")]));
    let mut program = DispatcherProcess::builder(std::slice::from_ref(&old)).discovery(first.address).start();
    new.set_callback_address(program.platform);
    wait_until("a watch", || first.calls.load(Ordering::SeqCst) > 0);
    let full = site::snapshot(9, &[new.endpoint_entry("up")]);
    let to_the_end = format!("HTTP/1.1 200 OK\r\n\r\n{full}");
    let [changes, nobody, busy] =
        [site::delta(9, &[new.endpoint_entry("up")]), site::snapshot(9, &[]), json!("busy")]
            .map(|value| ScriptedResponse::Raw(list_response(&value).into_bytes()));
    let responses = [
        ScriptedResponse::Truncate,
        changes,
        nobody,
        busy,
        ScriptedResponse::Refuse,
        ScriptedResponse::Raw(to_the_end.into_bytes()),
    ];
    second.script_list_calls(&responses, full);
    move_to(&mut program, &second);
    wait_until("the whole list is asked for again", || second.list_call_count() == responses.len());
    send_until_unused(&program, &old, &new); // its answer has been read
    let metrics = program.shut_down_for_metrics();
    assert_eq!(metrics["workers"], 1, "the old one is not of this service");
    assert_eq!((metrics["bad_lists"], second.list_call_count()), (4, responses.len()));
}

/// The whole list travels beside the watch, and may be older than what that has told meanwhile: it took back a drain.
#[test]
fn ignores_full_list_older_than_watch() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let first = FakeDiscovery::start(site::snapshot(1, &[old.endpoint_entry("up")]));
    let second = FakeDiscovery::start(site::delta(9, &[old.endpoint_entry("up"), new.endpoint_entry("up")]));
    let mut program = DispatcherProcess::builder(std::slice::from_ref(&old))
        .discovery(first.address)
        .configure(patient)
        .start();
    new.set_callback_address(program.platform);
    wait_until("a watch", || first.calls.load(Ordering::SeqCst) > 0);
    second.script_list_calls(
        &[ScriptedResponse::Hold],
        site::snapshot(10, &[old.endpoint_entry("draining"), new.endpoint_entry("up")]),
    );
    move_to(&mut program, &second);
    wait_until("the whole list is asked for", || second.list_call_count() == 1);
    let drains = site::delta(10, &[old.endpoint_entry("draining")]);
    second.push_change(&drains.to_string(), drains.clone());
    let used = send_until_unused(&program, &old, &new); // the drain has been heard, and the older list arrives
    second.release_list_calls(&site::snapshot(9, &[old.endpoint_entry("up"), new.endpoint_entry("up")]));
    wait_until("the whole list is asked for again", || second.list_call_count() == 2);
    (0..20).for_each(|n| send_until_used(&program, &new, &format!("c{n}-")));
    assert_eq!(old.job_count.load(Ordering::SeqCst), used, "it drains");
}

/// After a long turn a watch, or a call, was silent though its list was there, unread.
#[test]
fn reads_pending_bytes_before_watch_counts_as_silent() {
    let (old, new) = (FakeWorker::start("s-1"), FakeWorker::start("s-2"));
    let discovery = FakeDiscovery::start(site::snapshot(1, &[old.endpoint_entry("up")]));
    discovery.start_heartbeats();
    let program = DispatcherProcess::builder(std::slice::from_ref(&old)).discovery(discovery.address).start();
    new.set_callback_address(program.platform);
    wait_until("a watch", || discovery.calls.load(Ordering::SeqCst) > 0);
    send_until_used(&program, &old, "a");
    let change = site::delta(2, &[old.endpoint_entry("draining"), new.endpoint_entry("up")]);
    program.suspend_for(Duration::from_millis(2_600), || {
        discovery.push_change(&change.to_string(), change.clone());
    });
    send_until_used(&program, &new, "b");
    assert_eq!(discovery.watch_indices(), [1], "the watch goes on");
}

/// The workers of the table below: s-1 to s-3, and where s-2 has gone.
struct Site {
    workers: [Arc<FakeWorker>; 4],
    discovery: Arc<FakeDiscovery>,
    program: DispatcherProcess,
}

/// Where this worker is among them.
fn worker_index(word: &str) -> usize {
    if word.ends_with('m') { 3 } else { word[..1].parse::<usize>().expect("a number") - 1 }
}

/// A worker as a row words it: `2u` is s-2 and up, `2m` the same at its other address; `d` drains, `?` is in a state that nobody
/// knows, `x` up and without an address.
fn endpoint_from_word(workers: &[Arc<FakeWorker>; 4], word: &str) -> Value {
    let mut row = workers[worker_index(word)].endpoint_entry(match &word[1..] {
        "d" => "draining",
        "?" => "resting",
        _ => "up",
    });
    if word.ends_with('x') {
        row["hostPort"] = json!("");
    }
    row
}

impl Site {
    fn start() -> Site {
        let workers = ["s-1", "s-2", "s-3", "s-2"].map(FakeWorker::start);
        let discovery = FakeDiscovery::start(site::snapshot(1, &[workers[1].endpoint_entry("up")]));
        let program = DispatcherProcess::builder(&workers[1..2])
            .discovery(discovery.address)
            .configure(|config| {
                config["settings"]["Discovery"] = json!("pushed"); // an agent is asked again at once
            })
            .start();
        workers.iter().for_each(|worker| worker.set_callback_address(program.platform));
        Site { workers, discovery, program }
    }

    /// A list such as `+1 full 1d 2u`: its version beside the one that is held, and its rows.
    fn list(&self, held_version: u64, text: &str) -> Value {
        let mut words = text.split(' ').filter(|word| !word.is_empty());
        let version = words.next().and_then(|word| word.parse::<i64>().ok()).expect("a version");
        let is_snapshot = words.next() == Some("whole");
        let rows: Vec<Value> = words.map(|word| endpoint_from_word(&self.workers, word)).collect();
        let generation = held_version.checked_add_signed(version).expect("above 0");
        if is_snapshot { site::snapshot(generation, &rows) } else { site::delta(generation, &rows) }
    }

    /// The bytes of what a row says is sent, its parts apart by `|`.
    fn bytes(&self, held_version: u64, sent: &str) -> Vec<u8> {
        let part = |part: &str| match part.trim().split_once(' ').unwrap_or((part.trim(), "")) {
            ("watch", _) => WATCH_RESPONSE_HEAD.to_owned(),
            ("indented", text) => chunk(&format!("{:#}\r\n\n", self.list(held_version, text))),
            ("half", text) => {
                let text = self.list(held_version, text).to_string();
                chunk(&text[..text.len() / 2])
            }
            ("bytes", text) => {
                let pieces = self.list(held_version, text).to_string().into_bytes();
                pieces.iter().map(|byte| chunk(&char::from(*byte).to_string())).collect::<String>()
                    + &chunk("\n")
            }
            ("long", _) => chunk(&format!("{{\"instances\":[{}", " ".repeat(5 * 1024 * 1024))),
            ("deep", _) => chunk(&("[".repeat(10_000) + &"]".repeat(10_000) + "\n")),
            ("raw", text) => text.replace("\\n", "\r\n"),
            ("text", text) => chunk(&format!("{text}\n")),
            _ => chunk(&format!("{}\n", self.list(held_version, part))),
        };
        sent.split('|').map(part).collect::<String>().into_bytes()
    }

    /// Waits until a watch is asked for once more than this often, and returns after which version. An open one is kept alive
    /// meanwhile by these bytes.
    fn next_watch_index(&self, calls: usize, alive: &str, what: &str) -> u64 {
        wait_until(what, || {
            self.discovery.write_to_watches(alive.as_bytes());
            self.discovery.watch_indices().len() > calls
        });
        self.discovery.watch_indices()[calls]
    }

    /// Each of these, and nobody else, gets jobs.
    fn check_used_workers(&self, expected_workers: &str, held_version: u64, row: &str) {
        let jobs = || self.workers.each_ref().map(|worker| worker.job_count.load(Ordering::SeqCst));
        let before = jobs();
        for (n, word) in expected_workers.split(' ').cycle().take(6).enumerate() {
            send_until_used(
                &self.program,
                &self.workers[worker_index(word)],
                &format!("t{held_version}-{n}-"),
            );
        }
        let used = (0..4).filter(|worker_index| jobs()[*worker_index] > before[*worker_index]);
        let used: Vec<&str> = used.map(|worker_index| ["1", "2", "3", "2m"][worker_index]).collect();
        assert_eq!(used.join(" "), expected_workers, "{row}");
    }
}

/// What a watch says, and what comes of it, where a list with s-1 draining and s-2 up is held. Each line: whether it is what a new
/// call is answered, or comes later on the open watch; after which version beside that of the list the next watch is asked for, or
/// that this one goes on; who takes work then; lists that are bad, lists that are out of date and rows that are bad, as counted;
/// what is said; and what the next watch is told, if that is not that nothing has changed.
const CASES: &str = r#"
later; +0; 2; 0 1 0; -1 change 1u
later; +0; 2; 0 1 0; -1 whole 1u 2u
later; +2; 2 3; 0 1 0; +2 change 3u | -1 change 1u | +3 change 1u
later; goes on; 2 3; 0 0 0; +1 change 3u | +1 change 3u
later; +0; 2; 1 0 0; text {"generation":]} | +1 change 1u
later; +0; 2; 1 0 0; text {"error":"busy"}
later; +0; 2; 1 0 0; text {"generation":-1,"reset":false,"instances":[]}
later; +0; 2; 1 0 0; text busy
later; +0; 2; 1 0 0; deep
later; +0; 2; 1 0 0; long
later; goes on; 2 3; 0 0 1; +1 whole 1d 2? 3u
later; goes on; 2 3; 0 0 1; +1 whole 1d 2x 3u
later; goes on; 2 3; 0 0 1; +1 change 2? 3u
later; goes on; 3; 0 0 0; +1 change 3u | +2 change 2d
later; goes on; 2; 0 0 1; +1 change 3u 3d
later; goes on; 2 3; 0 0 1; +1 change 3d 3u
later; goes on; 2; 1 0 0; +1 whole
later; goes on; 2; 1 0 0; +1 whole 1? 2?
later; goes on; 3; 0 0 0; +1 change 3u | text | +2 change 2d | +3 change 1u | +4 change 1d
later; goes on; 3; 0 0 0; indented +1 change 3u | indented +2 whole 1d 3u
later; goes on; 3; 0 0 0; bytes +1 whole 1d 3u
later; +0; 2; 1 0 0; half +1 whole 1u | raw 0\n\n
later; +0; 2; 1 0 0; half +1 whole 1u | raw no chunk\n
later; +1; 2 3; 0 0 0; +1 change 3u | raw no chunk\n
later; +0; 2; 1 0 0; half +1 whole 1u
later; goes on; 3 2m; 0 0 0; +1 whole 1d 3u | +2 change 2m
first; goes on; 1 2; 0 0 0; watch | -90 whole 1u 2u
first; all; 2 3; 0 1 0; watch | -90 change 1u; -90 whole 1d 2u 3u
first; goes on; 2 3; 0 0 0; watch | +1 change 3u
first; +1; 2 3; 0 1 0; watch | +1 change 3u | +0 change 1u
first; +0; 2; 1 0 0; watch | text {}
first; +0; 2; 0 0 0; raw HTTP/1.1 503 No\nContent-Length: 0\n\n
first; +0; 2; 0 0 0; raw nothing\n\n
first; +0; 2; 0 0 0; raw HTTP/1.1 200 O
first; +0; 2; 0 0 0; watch
first; +0; 2; 1 0 0; watch | half +1 whole 1u
first; +0; 2; 0 0 0; raw HTTP/1.1 200 OK\nContent-Length: 0\n\n
"#;

/// Whatever a watch says: what is refused is counted and changes nothing, no worker of another row is touched, and the next
/// call asks for what came after the list that is held.
#[test]
fn endpoint_table_stays_consistent_whatever_watch_sends() {
    let site = Site::start();
    wait_until("a watch", || !site.discovery.watch_indices().is_empty());
    let (mut held_version, mut counted) = (0, vec![0; 3]);
    for case in CASES.trim().lines() {
        let fields: Vec<&str> = case.split("; ").collect();
        let [when, after, expected_workers, counts, sent, then @ ..] = &fields[..] else { panic!("{case}") };
        let (first, is_kept) = (*when == "first", *after == "goes on");
        held_version += 100;
        let calls = site.discovery.watch_indices().len();
        site.discovery.script_watches(&[], site.list(held_version, "+0 whole 1d 2u"));
        site.discovery.close_watches();
        site.next_watch_index(calls, "", case);
        let mut sent_bytes = site.bytes(held_version, sent);
        if is_kept {
            sent_bytes.extend(site.bytes(held_version, "+50 change")); // heard on this watch, or not at all
        }
        let index = if is_kept {
            held_version + 50
        } else {
            after.parse().map_or(0, |after: u64| held_version + after)
        };
        let next_list =
            then.first().map_or_else(|| site.list(index, "+0 change"), |then| site.list(held_version, then));
        if first {
            site.discovery.script_watches(&[ScriptedResponse::Raw(sent_bytes)], next_list);
            site.discovery.close_watches();
            assert_eq!(site.next_watch_index(calls + 1, "", case), held_version, "before {case}");
        } else {
            site.discovery.script_watches(&[], next_list);
            site.discovery.write_to_watches(&sent_bytes);
        }
        if is_kept {
            site.discovery.close_watches();
        }
        let (calls, alive) = if first { (calls + 2, "") } else { (calls + 1, "1\r\n\n\r\n") };
        assert_eq!(site.next_watch_index(calls, alive, case), index, "{case}");
        site.check_used_workers(expected_workers, held_version, case);
        let counts = counts.split(' ').map(|count| count.parse::<u64>().expect("a count"));
        counted.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
    }
    let metrics = site.program.shut_down_for_metrics();
    let names = ["bad_lists", "stale_lists", "bad_rows"];
    assert_eq!(names.map(|name| metrics[name]).to_vec(), counted, "{metrics:?}");
}
