//! The watch: its data is parsed regardless of how it is split, and a new watch is opened soon after a failure.

use crate::*;
use std::time::Duration;

/// The watch of a pushed list is reopened after it has ended, and after it has fallen silent. Regression: with pushed lists the
/// program made no call. It used the `known` list forever, and went on sending jobs to workers that the agent had listed as
/// draining (568 times in one upgrade of a deployment).
#[test]
fn reopens_watch_of_pushed_list_after_end_or_silence() {
    let workers = Workers::start();
    let agent = FakeDiscovery::start(site::snapshot(2, &workers.entries("draining", "up")));
    let program = workers.start_program(&agent, |config| config["settings"]["Discovery"] = json!("pushed"));
    send_until_used(&program, &workers.new, "a");
    let used = job_count(&workers.old);
    // Another watch is opened after the end, and again after the silence, because this agent sends no empty lines.
    agent.close_watches();
    wait_until("a watch after the end", || watch_calls(&agent) >= 2);
    wait_until("a watch after the silence", || watch_calls(&agent) >= 3);
    // A list may be spread over many lines.
    let swapped = workers.entries("up", "draining");
    let indented = serde_json::to_string_pretty(&site::delta(3, &swapped)).expect("not JSON");
    agent.push_change(&indented, site::snapshot(3, &swapped));
    assert_eq!(job_count(&workers.old), used, "a draining worker got a job");
    send_until_used(&program, &workers.old, "b");
}

/// A list that is spread over many lines is one list. Regression: each of its lines was parsed as a list of its own and rejected.
#[test]
fn reads_indented_list_of_watch() {
    let workers = Workers::start();
    let discovery = FakeDiscovery::start(site::snapshot(1, &[workers.old.endpoint_entry("up")]));
    let program = workers.start_program(&discovery, |_| {});
    wait_for_watch(&discovery);
    let whole = site::snapshot(2, &[workers.new.endpoint_entry("up")]);
    discovery.push_change(&serde_json::to_string_pretty(&whole).expect("not JSON"), whole);
    send_until_used(&program, &workers.new, "a");
    assert_eq!(program.shut_down_for_metrics()["bad_lists"], 0);
}

/// Responses that make calls fail, one after the other.
struct FailingCalls {
    /// Whether an open watch is lost first; otherwise the program has just started.
    had_watch: bool,
    responses: [ScriptedResponse; 2],
}

/// After a reset, or a first call without a response, the program calls again soon, regardless of the poll interval. Regression:
/// the next call waited for the decision module's retry delay, which grew with each failure up to the poll interval. A worker
/// that drained meanwhile got jobs long after the 6 s within which a change must be notified.
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
        assert_eq!(watch_calls(&discovery), expected, "calls after the responses {responses:?}");
    }
}

/// A list that arrived while the program was suspended is applied, and the watch stays open. Regression: after a long turn of the
/// event loop, a watch or call counted as silent although its list had arrived but was not read yet.
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
    assert_eq!(discovery.watch_indices(), [1], "the watch stays open");
}
