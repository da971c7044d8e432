//! Keyed requests and their records, also after a crash.

use crate::harness::{CoreHarness, MS, responses, started};
use mothproxy::WorkerId;
use mothproxy::core::{Command, FinalResponse, JobStatus, PersistOutcome, RecordTicket};
use mothproxy_testkit::site;
use serde_json::json;
use std::collections::BTreeMap;

/// Carries out the commands to persist records, as the store would. Returns the tickets that wait for it.
fn persist(records: &mut BTreeMap<String, Vec<u8>>, commands: &[Command]) -> Vec<RecordTicket> {
    let mut tickets = Vec::new();
    for command in commands {
        if let Command::PersistRecord { ticket, key, record } = command {
            match record {
                Some(record) => drop(records.insert(key.clone(), record.clone())),
                None => drop(records.remove(key)),
            }
            tickets.extend(*ticket);
        }
    }
    tickets
}

/// A core with one keyed request in flight.
struct KeyedRequest {
    harness: CoreHarness,
    /// What was persisted.
    records: BTreeMap<String, Vec<u8>>,
    /// The worker of its attempt.
    worker: WorkerId,
}

fn with_keyed_request(workers: usize) -> KeyedRequest {
    let mut harness = CoreHarness::with_idempotency(workers);
    let mut records = BTreeMap::new();
    harness.accept_keyed("r-1", "k", 5).expect("new");
    let commands = harness.advance(5 * MS);
    assert_eq!(started(&commands), [], "it left before its record was persisted");
    let tickets = persist(&mut records, &commands);
    assert_eq!(tickets.len(), 1);
    harness.core.on_record_persisted(tickets[0], PersistOutcome::Written);
    let starts = started(&harness.advance(MS));
    assert_eq!(starts.len(), 1);
    KeyedRequest { harness, records, worker: starts[0].worker }
}

#[test]
fn sends_a_keyed_request_once_its_record_is_persisted_and_others_at_once() {
    let KeyedRequest { mut harness, .. } = with_keyed_request(4);
    harness.accept(0, 5_000 * MS).expect("new");
    let commands = harness.advance(5 * MS);
    assert_eq!(started(&commands).len(), 1);
    let is_persist = |command: &Command| matches!(command, Command::PersistRecord { .. });
    assert!(!commands.iter().any(is_persist), "a request without a key was recorded");
}

#[test]
fn rejects_a_request_whose_record_cannot_be_persisted() {
    let mut harness = CoreHarness::with_idempotency(4);
    let id = harness.accept_keyed("r-1", "k", 5).expect("new");
    let tickets = persist(&mut BTreeMap::new(), &harness.advance(5 * MS));
    harness.core.on_record_persisted(tickets[0], PersistOutcome::Failed);
    let commands = harness.advance(5 * MS);
    assert_eq!(started(&commands), []);
    // Nothing of it may have run: it may be rejected.
    assert!(
        matches!(responses(&commands)[..], [(of, FinalResponse::Rejected(Some(_)))] if of == id),
        "{commands:?}"
    );
    assert!(harness.core.idempotency().expect("on").is_empty(), "there is nothing to remember");
}

#[test]
fn sends_a_repeat_after_a_crash_to_the_same_cell_or_nowhere() {
    for (elapsed, is_clock_sound, may_go) in
        [(5_000, true, true), (39_000, true, true), (41_000, true, false), (1_000, false, false)]
    {
        let KeyedRequest { harness, records, worker } = with_keyed_request(6);
        let mut next = harness.restarted_after_crash(&records, elapsed * MS, is_clock_sound);
        let id = next.accept_keyed("r-2", "k", 5).expect("new");
        let commands = next.advance(5 * MS);
        let tickets = persist(&mut records.clone(), &commands);
        if may_go {
            next.core.on_record_persisted(tickets[0], PersistOutcome::Written);
            let to = started(&next.advance(MS))[0].worker;
            assert_eq!(to.0 / 2, worker.0 / 2, "it went to another cell, {elapsed} ms later");
        } else {
            // The cell may have forgotten it: it is failed, and not rejected, since it may have run.
            assert!(tickets.is_empty());
            let given_up = [commands, next.advance(26_000 * MS)].concat();
            assert_eq!(started(&given_up), []);
            assert!(
                matches!(responses(&given_up)[..], [(of, FinalResponse::Failed | FinalResponse::TimedOut)] if of == id)
            );
        }
    }
}

#[test]
fn answers_a_repeat_with_the_recorded_result_and_refuses_another_body() {
    let KeyedRequest { mut harness, mut records, worker } = with_keyed_request(4);
    assert!(harness.report_status("r-1", worker, JobStatus::Done(b"paid".to_vec())));
    persist(&mut records, &harness.advance(5 * MS));
    let mut next = harness.restarted_after_crash(&records, 100_000 * MS, true);
    assert_eq!(next.accept_keyed("r-3", "k", 6), None, "another body under the same key");
    let id = next.accept_keyed("r-2", "k", 5).expect("new");
    let commands = next.advance(5 * MS);
    assert_eq!(responses(&commands), [(id, FinalResponse::Served(b"paid".to_vec()))]);
    assert_eq!((started(&commands), next.core.ledger.open()), (vec![], 0));
}

#[test]
fn records_a_result_that_arrives_after_a_crash() {
    let KeyedRequest { harness, mut records, worker } = with_keyed_request(4);
    let mut next = harness.restarted_after_crash(&records, 2_000 * MS, true);
    assert!(!next.report_status("r-1", worker, JobStatus::Done(b"paid".to_vec())), "its request is gone");
    persist(&mut records, &next.advance(5 * MS));
    let mut third = next.restarted_after_crash(&records, 2_000 * MS, true);
    let id = third.accept_keyed("r-2", "k", 5).expect("new");
    assert_eq!(responses(&third.advance(5 * MS)), [(id, FinalResponse::Served(b"paid".to_vec()))]);
}

#[test]
fn sends_no_repeat_to_a_cell_that_was_replaced() {
    let KeyedRequest { harness, records, worker } = with_keyed_request(4);
    let mut next = CoreHarness::new(0);
    next.core.enable_idempotency(next.now, records.into_iter(), true);
    let row = |n: u32, cell: u32| {
        let mut row = site::endpoint_entry(&format!("new-{n}"), &format!("127.0.0.1:{}", 9500 + n), "up");
        row["cell"] = json!(cell);
        row
    };
    let old = harness.core.endpoints.get(worker).expect("known").row.cell;
    next.core.on_endpoint_list(
        next.now,
        &site::read_list(&site::snapshot(2, &[row(0, old + 10), row(1, old + 11)])),
    );
    let id = next.accept_keyed("r-2", "k", 5).expect("new");
    let commands = next.advance(26_000 * MS);
    assert_eq!(started(&commands), []);
    assert!(
        matches!(responses(&commands)[..], [(of, FinalResponse::Failed | FinalResponse::TimedOut)] if of == id)
    );
}

#[test]
fn reports_records_that_cannot_be_read() {
    let mut harness = CoreHarness::new(2);
    let records = [("a", vec![]), ("b", vec![9, 1, 2]), ("c", vec![1, 0xff, 0xff])];
    let records = records.into_iter().map(|(key, bytes)| (key.to_owned(), bytes));
    let unreadable = harness.core.enable_idempotency(harness.now, records, true);
    let reasons: Vec<String> = unreadable.iter().map(|(_, error)| error.to_string()).collect();
    assert_eq!(unreadable.len(), 3, "{unreadable:?}");
    assert!(reasons[1].contains("version 9") && reasons[0].contains("empty"), "{reasons:?}");
}
