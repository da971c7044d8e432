//! Fleets of several processes of the built program on loopback, with faults injected between them. An auditor checks all events
//! on the network connections. The harness is `crates/testkit` (`docs/design/harness.md`).

use mothproxy_testkit::fleet::*;
use std::sync::Arc;
use std::time::Duration;

fn plan(size: usize, workers: usize, seed: u64) -> FleetPlan {
    FleetPlan::new(env!("CARGO_BIN_EXE_mothproxy"), size, workers, seed_from_env_or(seed))
}

/// A random job; one in four has an idempotency key.
fn random_job(rng: &mut fastrand::Rng, number: u64) -> Job {
    match rng.u32(..4) {
        0 => Job::keyed(&format!("k{:x}-{number}", rng.u64(..))),
        _ => Job::plain(),
    }
}

/// Through a partition, a kill, a restart, a silent worker and a drain, each job gets one response, no job with an idempotency
/// key runs twice, and no job is sent to a draining worker.
#[test]
fn five_processes_answer_each_job_once_through_faults() {
    let fleet = Fleet::start(plan(5, 4, 0x5eed_0001)).expect("cannot start the fleet");
    fleet.wait_until_notified(&fleet.all(), 1, 0);
    let load = fleet.start_load(&LoadPlan {
        dispatchers: fleet.all(),
        rate: 25.0,
        duration: Duration::from_secs(60),
        job: Arc::new(random_job),
    });
    let wait_for_more_served = |more: u64| {
        let before = load.served();
        fleet.wait_until("jobs are served", || load.served() >= before + more);
    };
    wait_for_more_served(60);
    fleet.datagrams.partition(&[&[0, 1], &[2, 3, 4]]);
    wait_for_more_served(60);
    fleet.kill(3);
    wait_for_more_served(60);
    fleet.datagrams.heal();
    fleet.restart(3).expect("cannot restart the process");
    fleet.set_worker_cut(1, true);
    wait_for_more_served(60);
    fleet.set_worker_cut(1, false);
    let generation = fleet.discovery.set_lifecycle(2, Lifecycle::Draining);
    fleet.wait_until_notified(&fleet.all(), generation, 0);
    wait_for_more_served(120);
    let report = load.stop();
    eprintln!(
        "{:?}, {} unreachable, {} without a response",
        report.replies_by_status, report.unreachable, report.unanswered
    );
    let found = fleet.audit(&AuditRules::default());
    assert!(found.is_empty(), "{found:#?}");
    assert!(report.served() > 300, "{:?}", report.replies_by_status);
    let (entries, _) = fleet.event_log.events();
    assert_auditor_finds_violations(&entries, generation);
    let totals = fleet.datagrams.totals();
    assert!(totals.iter().all(|link| link.sent > 0 && link.delivered > 0), "{totals:?}");
    assert!(totals.iter().any(|link| link.dropped > 0), "the partition dropped no datagrams: {totals:?}");
}

/// Asserts that the auditor finds each kind of violation if it is inserted into these valid events. The worker drains from list
/// generation `drain_generation` on.
fn assert_auditor_finds_violations(entries: &[LoggedEvent], drain_generation: u64) {
    assert_found(entries, "UnknownResult", |entries| {
        let completed = first(entries, |event| matches!(event, Event::Completed { .. }));
        entries.remove(completed);
    });
    // A job of dispatcher 0, because jobs that the killed dispatcher leaves unanswered are no violation.
    assert_found(entries, "NeverAnswered", |entries| {
        let answered = first(entries, |event| matches!(event, Event::Answered { dispatcher: 0, .. }));
        entries.remove(answered);
    });
    assert_found(entries, "AnsweredTwice", |entries| {
        repeat_first(entries, |event| matches!(event, Event::Answered { .. }));
    });
    assert_found(entries, "ExecutedTwice", |entries| {
        repeat_first(entries, |event| matches!(event, Event::Executed { key: Some(_), .. }));
    });
    // Moves the notification of the drain to a second earlier.
    assert_found(entries, "LateSend", |entries| {
        for entry in entries {
            if matches!(entry.event, Event::Notified { generation, .. } if generation == drain_generation) {
                entry.at -= 1_000_000;
            }
        }
    });
}

/// Asserts that the auditor finds only this violation in events that `corrupt` has changed.
fn assert_found(entries: &[LoggedEvent], expected: &str, corrupt: impl Fn(&mut Vec<LoggedEvent>)) {
    let mut entries = entries.to_vec();
    corrupt(&mut entries);
    entries.sort_by_key(|entry| entry.at);
    let found = audit(&entries, &AuditRules::default());
    assert!(!found.is_empty(), "{expected} is not found");
    assert!(
        found.iter().all(|violation| format!("{violation:?}").starts_with(expected)),
        "{expected}: {found:#?}"
    );
}

/// The index of the first matching event.
fn first(entries: &[LoggedEvent], is_match: impl Fn(&Event) -> bool) -> usize {
    entries.iter().position(|entry| is_match(&entry.event)).expect("no matching event is recorded")
}

/// Appends a copy of the first matching event.
fn repeat_first(entries: &mut Vec<LoggedEvent>, is_match: impl Fn(&Event) -> bool) {
    let repeated = entries[first(entries, is_match)].clone();
    entries.push(repeated);
}

/// The harness supports thirty processes, which all receive the list and serve.
#[test]
fn thirty_processes_serve() {
    let fleet = Fleet::start(plan(30, 6, 0x5eed_0030)).expect("cannot start the fleet");
    fleet.wait_until_notified(&fleet.all(), 1, 0);
    let load = fleet.start_plain_load(&fleet.all(), 5.0, Duration::from_secs(60));
    fleet.wait_until("jobs are served", || load.served() >= 150);
    let report = load.stop();
    let found = fleet.audit(&AuditRules::default());
    assert!(found.is_empty() && report.unanswered == 0, "{found:#?} {report:?}");
    let calls = fleet.discovery.metrics().calls;
    assert!(calls.iter().all(|calls| *calls > 0), "{calls:?}");
}
