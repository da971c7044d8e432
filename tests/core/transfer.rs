//! The transfer of requests and learned state from one process to its successor.

use crate::harness::{CoreHarness, MS, responses, started};
use mothproxy::core::transfer::{TransferredAttempt, TransferredPhase};
use mothproxy::core::{Command, DownstreamId, FinalResponse, JobStatus};
use mothproxy::{LoadReport, WorkerId};
use serde_json::json;

/// The callback that returns a job may be repeated. So the worker gets no other attempt of the request, not even from the
/// successor.
#[test]
fn does_not_retry_at_a_worker_that_returned_the_job_before_a_transfer() {
    let mut harness = CoreHarness::new(1);
    let id = harness.accept(1, 5_000 * MS).expect("the request was not accepted");
    let worker = started(&harness.advance(5 * MS))[0].worker;
    assert!(harness.report_status("job-1", worker, JobStatus::Returned));
    harness.core.process_batch(harness.now);
    let transferred = through_json(&harness.core.transfer(id).expect("the request was not transferred"));
    harness.core.adopt(transferred, DownstreamId(70)).expect("the request was not adopted");
    assert_eq!(started(&harness.advance(2_000 * MS)), []);
}

/// Encodes a value as JSON and decodes it, as the transfer to another process does.
fn through_json<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    serde_json::from_str(&serde_json::to_string(value).expect("cannot encode the value as JSON"))
        .expect("cannot decode the value from JSON")
}

/// Other versions may set any combination of the flags of an attempt. An attempt in flight has no end, whatever its other flags
/// say.
#[test]
fn flags_of_a_transferred_attempt_decode_to_one_phase() {
    let table = [
        (json!({"out": true, "never_ran": false}), TransferredPhase::InFlight),
        (json!({"out": true, "never_ran": true, "handed_back": true}), TransferredPhase::InFlight),
        (json!({"out": false, "never_ran": false}), TransferredPhase::MayHaveRun),
        (json!({"out": false, "never_ran": true}), TransferredPhase::NeverRan),
        (json!({"out": false, "never_ran": true, "handed_back": true}), TransferredPhase::ReturnedByCallback),
    ];
    for (mut message, phase) in table {
        message["worker"] = json!("s-1");
        message["at"] = json!(1);
        let attempt: TransferredAttempt = serde_json::from_value(message.clone()).expect("not an attempt");
        assert_eq!(attempt.phase, phase, "{message}");
        assert_eq!(through_json(&attempt), attempt, "{message}");
    }
}

/// Without the learned state, the decision module of a successor would send jobs to workers that are known to be full.
#[test]
fn learned_state_guides_the_successor() {
    for full in [WorkerId(0), WorkerId(1)] {
        let (mut predecessor, mut successor) = (CoreHarness::new(2), CoreHarness::new(2));
        // Each worker gets some requests, so that both send a load report at the end.
        let mut attempts = Vec::new();
        for _ in 0..8 {
            predecessor.accept(0, 5_000 * MS).expect("the request was not accepted");
            attempts.extend(started(&predecessor.advance(10 * MS)));
        }
        let has_attempt = |worker| attempts.iter().any(|attempt| attempt.worker == worker);
        assert!([WorkerId(0), WorkerId(1)].into_iter().all(has_attempt), "{attempts:?}");
        for attempt in attempts {
            let (cpu, free) = if attempt.worker == full { (1.0, 0.0) } else { (0.1, 4.0) };
            let report = LoadReport { cpu: Some(cpu), free_slots: Some(free), ..LoadReport::default() };
            let from = format!("s-{}", attempt.worker.0);
            let name = attempt.request_name();
            let done = JobStatus::Done(b"x".to_vec());
            assert!(predecessor.core.on_job_status(predecessor.now, &name, &from, done, Some(report)));
        }
        predecessor.advance(10 * MS);
        successor.advance(1);
        successor.now = predecessor.now;
        successor.core.restore(through_json(&predecessor.core.learned_state()));
        for _ in 0..3 {
            successor.accept(0, 5_000 * MS).expect("the request was not accepted");
            for attempt in started(&successor.advance(10 * MS)) {
                assert_ne!(attempt.worker, full, "a job was sent to a worker known to be full");
                let name = attempt.request_name();
                assert!(successor.report_status(&name, attempt.worker, JobStatus::Started));
            }
        }
    }
}

/// The predecessor must not cancel an attempt that the successor waits for, and the successor must not send it to the worker
/// again.
#[test]
fn a_transferred_request_keeps_its_attempts() {
    let (mut predecessor, mut successor) = (CoreHarness::new(1), CoreHarness::new(1));
    let id = predecessor.accept(1, 3_000 * MS).expect("the request was not accepted");
    assert_eq!(
        predecessor.core.transfer(id),
        None,
        "the request was transferred while its event waited for the decision module"
    );
    let worker = started(&predecessor.advance(10 * MS))[0].worker;
    assert!(predecessor.report_status("job-1", worker, JobStatus::Started));
    predecessor.advance(10 * MS);
    let transferred = through_json(&predecessor.core.transfer(id).expect("the request was not transferred"));
    assert!(!predecessor.core.has_request("job-1") && predecessor.core.ledger().open() == 0);
    let more = predecessor.advance(5_000 * MS);
    let is_for_request = |c: &Command| {
        matches!(c, Command::CancelAttempt { .. } | Command::StartAttempt { .. } | Command::Respond { .. })
    };
    assert!(!more.iter().any(is_for_request), "the predecessor still acted on the request: {more:?}");
    let id = successor.core.adopt(transferred.clone(), DownstreamId(7)).expect("the request was not adopted");
    assert_eq!(successor.core.adopt(transferred, DownstreamId(7)), None, "the request was adopted twice");
    assert!(started(&successor.advance(1_000 * MS)).is_empty());
    assert!(successor.report_status("job-1", worker, JobStatus::Done(b"x".to_vec())));
    assert_eq!(responses(&successor.advance(10 * MS)), [(id, FinalResponse::Served(b"x".to_vec()))]);
    let ledger = successor.core.ledger();
    assert_eq!((ledger.accepted(), ledger.served(), ledger.open()), (1, 1, 0));
}
