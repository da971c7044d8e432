//! The watch: what it says is read however it is cut, and another one is opened soon when it fails.

use crate::*;
use std::time::Duration;

/// A pushed list is watched again after its watch has ended, and after it has fallen silent. Where lists are pushed the program
/// called nobody: it lived on `known` for ever, and went on sending to workers that the agent had long said were draining (on the
/// second deployment's upgrade day 568 times).
#[test]
fn reopens_watch_of_pushed_list_after_end_or_silence() {
    let workers = Workers::start();
    let agent = FakeDiscovery::start(site::snapshot(2, &workers.entries("draining", "up")));
    let program = workers.start_program(&agent, |config| config["settings"]["Discovery"] = json!("pushed"));
    send_until_used(&program, &workers.new, "a");
    let used = job_count(&workers.old);
    // An end is followed by another watch, and so is a silence: this agent sends no empty lines.
    agent.close_watches();
    wait_until("a watch after the end", || watch_calls(&agent) >= 2);
    wait_until("a watch after the silence", || watch_calls(&agent) >= 3);
    // Changes may come over many lines.
    let swapped = workers.entries("up", "draining");
    let indented = serde_json::to_string_pretty(&site::delta(3, &swapped)).expect("JSON");
    agent.push_change(&indented, site::snapshot(3, &swapped));
    assert_eq!(job_count(&workers.old), used, "it drained until now");
    send_until_used(&program, &workers.old, "b");
}

/// A list over many lines is one list. It was cut at its line ends into as many bad ones.
#[test]
fn reads_indented_list_of_watch() {
    let workers = Workers::start();
    let discovery = FakeDiscovery::start(site::snapshot(1, &[workers.old.endpoint_entry("up")]));
    let program = workers.start_program(&discovery, |_| {});
    wait_for_watch(&discovery);
    let whole = site::snapshot(2, &[workers.new.endpoint_entry("up")]);
    discovery.push_change(&serde_json::to_string_pretty(&whole).expect("JSON"), whole);
    send_until_used(&program, &workers.new, "a");
    assert_eq!(program.shut_down_for_metrics()["bad_lists"], 0);
}

/// How calls fail, one after the other.
struct FailingCalls {
    /// An open watch is lost first; otherwise the program has just started.
    had_watch: bool,
    responses: [ScriptedResponse; 2],
}

/// After a reset, or a first call without an answer, the program calls again soon, whatever the poll interval. It was followed by
/// the module's waits, which grew with each failure up to that interval: a worker that drained meanwhile went on getting jobs
/// long after the 6 s that a change takes to count.
#[test]
fn retries_discovery_soon_after_any_failure() {
    let workers = Workers::start();
    let before = site::snapshot(1, &[workers.old.endpoint_entry("up")]);
    let after = site::snapshot(2, &workers.entries("draining", "up"));
    let cases = [
        FailingCalls { had_watch: true, responses: [ScriptedResponse::Refuse, ScriptedResponse::Refuse] },
        FailingCalls { had_watch: true, responses: [ScriptedResponse::Truncate, ScriptedResponse::Refuse] },
        FailingCalls { had_watch: false, responses: [ScriptedResponse::Hold, ScriptedResponse::Hold] },
        FailingCalls { had_watch: false, responses: [ScriptedResponse::Hold, ScriptedResponse::Truncate] },
    ];
    for FailingCalls { had_watch, responses } in &cases {
        let discovery = FakeDiscovery::start(before.clone());
        if !had_watch {
            discovery.script_watches(responses, after.clone());
        }
        let program = workers.start_program(&discovery, set_long_poll_interval);
        wait_until("a call", || watch_calls(&discovery) > 0);
        if *had_watch {
            discovery.script_watches(responses, after.clone());
            discovery.close_watches();
        }
        send_until_used(&program, &workers.new, "a");
        let expected = 1 + u64::from(*had_watch) + responses.len() as u64;
        assert_eq!(watch_calls(&discovery), expected, "{responses:?}: no more calls than failed");
    }
}

/// A list that came while the program was suspended counts, and its watch goes on. After a long turn a watch, or a call, was silent
/// though its list was there, unread.
#[test]
fn reads_pending_bytes_before_watch_counts_as_silent() {
    const SUSPENSION: Duration = Duration::from_millis(2_600);
    let workers = Workers::start();
    let discovery = FakeDiscovery::start(site::snapshot(1, &[workers.old.endpoint_entry("up")]));
    discovery.start_heartbeats();
    let program = workers.start_program(&discovery, |_| {});
    wait_for_watch(&discovery);
    send_until_used(&program, &workers.old, "a");
    let change = site::delta(2, &workers.entries("draining", "up"));
    program.suspend_for(SUSPENSION, || discovery.push_change(&change.to_string(), change.clone()));
    send_until_used(&program, &workers.new, "b");
    assert_eq!(discovery.watch_indices(), [1], "the watch goes on");
}
