//! Requests with an idempotency key and their records, also after a crash.

use crate::harness::{CoreHarness, MAX_RECORD_BYTES, MS, persisted, responses, started};
use mothproxy::WorkerId;
use mothproxy::core::idempotency::{AttemptRecord, IdempotencyRecord, PersistedRecord, RECORD_TTL};
use mothproxy::core::{Command, FinalResponse, JobStatus, PersistOutcome, RecordTicket};
use mothproxy_testkit::site;
use serde_json::json;
use std::collections::BTreeMap;

/// Executes the commands to persist records, as the store would. Returns the tickets of the attempts that wait for a write.
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
    /// The persisted records, by key.
    records: BTreeMap<String, Vec<u8>>,
    /// The worker of the request's attempt.
    worker: WorkerId,
}

fn with_keyed_request(workers: usize) -> KeyedRequest {
    let mut harness = CoreHarness::with_idempotency(workers);
    let mut records = BTreeMap::new();
    harness.accept_keyed("r-1", "k", 5).expect("the request was not accepted");
    let commands = harness.advance(5 * MS);
    assert_eq!(started(&commands), [], "an attempt was sent before its record was persisted");
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
    harness.accept(0, 5_000 * MS).expect("the request was not accepted");
    let commands = harness.advance(5 * MS);
    assert_eq!(started(&commands).len(), 1);
    let is_persist = |command: &Command| matches!(command, Command::PersistRecord { .. });
    assert!(!commands.iter().any(is_persist), "a request without a key got a record");
}

#[test]
fn rejects_a_request_whose_record_cannot_be_persisted() {
    let mut harness = CoreHarness::with_idempotency(4);
    let id = harness.accept_keyed("r-1", "k", 5).expect("the request was not accepted");
    let tickets = persist(&mut BTreeMap::new(), &harness.advance(5 * MS));
    harness.core.on_record_persisted(tickets[0], PersistOutcome::Failed);
    let commands = harness.advance(5 * MS);
    assert_eq!(started(&commands), []);
    // No attempt was sent, so the request may be rejected.
    assert!(
        matches!(responses(&commands)[..], [(of, FinalResponse::Rejected(Some(_)))] if of == id),
        "{commands:?}"
    );
    assert!(
        harness.core.idempotency().expect("idempotency is not enabled").is_empty(),
        "a request that never ran has a record"
    );
}

#[test]
fn sends_a_repeat_after_a_crash_to_the_same_cell_or_not_at_all() {
    for (elapsed, is_clock_reliable, may_be_sent) in
        [(5_000, true, true), (39_000, true, true), (41_000, true, false), (1_000, false, false)]
    {
        let KeyedRequest { harness, records, worker } = with_keyed_request(6);
        let mut next = harness.restarted_after_crash(&records, elapsed * MS, is_clock_reliable);
        let id = next.accept_keyed("r-2", "k", 5).expect("the request was not accepted");
        let commands = next.advance(5 * MS);
        let tickets = persist(&mut records.clone(), &commands);
        if may_be_sent {
            next.core.on_record_persisted(tickets[0], PersistOutcome::Written);
            let to = started(&next.advance(MS))[0].worker;
            assert_eq!(
                to.0 / 2,
                worker.0 / 2,
                "the repeat was sent to another cell {elapsed} ms after the crash"
            );
        } else {
            // The deduplication window may be over. The request fails and is not rejected, because it may have run.
            assert!(tickets.is_empty());
            let commands_until_deadline = [commands, next.advance(26_000 * MS)].concat();
            assert_eq!(started(&commands_until_deadline), []);
            assert!(
                matches!(responses(&commands_until_deadline)[..], [(of, FinalResponse::Failed | FinalResponse::TimedOut)] if of == id)
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
    assert_eq!(next.accept_keyed("r-3", "k", 6), None, "the same key with another body was accepted");
    let id = next.accept_keyed("r-2", "k", 5).expect("the request was not accepted");
    let commands = next.advance(5 * MS);
    assert_eq!(responses(&commands), [(id, FinalResponse::Served(b"paid".to_vec()))]);
    assert_eq!((started(&commands), next.core.ledger().open()), (vec![], 0));
}

#[test]
fn records_a_result_that_arrives_after_a_crash() {
    let KeyedRequest { harness, mut records, worker } = with_keyed_request(4);
    let mut next = harness.restarted_after_crash(&records, 2_000 * MS, true);
    assert!(
        !next.report_status("r-1", worker, JobStatus::Done(b"paid".to_vec())),
        "a callback changed a request that ended with the crash"
    );
    persist(&mut records, &next.advance(5 * MS));
    let mut third = next.restarted_after_crash(&records, 2_000 * MS, true);
    let id = third.accept_keyed("r-2", "k", 5).expect("the request was not accepted");
    assert_eq!(responses(&third.advance(5 * MS)), [(id, FinalResponse::Served(b"paid".to_vec()))]);
}

/// A record of a redeem that a worker of this cell answered with a large result.
fn answered(number: usize) -> PersistedRecord {
    let attempt = AttemptRecord {
        worker: "s-0".to_owned(),
        cell: 1,
        zone: "z".to_owned(),
        sent_at: 0,
        never_ran: false,
    };
    let record = IdempotencyRecord {
        class: "redeem".to_owned(),
        body_fingerprint: 5,
        request_name: format!("earlier-{number}"),
        attempts: vec![attempt],
        result: Some(vec![b'r'; 60_000]),
    };
    let time_to_live = RECORD_TTL - (1_000 - number as u64) * MS;
    PersistedRecord { key: format!("z{number:04}"), bytes: record.encode(), time_to_live }
}

/// Guards against records of requests under way that a restart forgets: where the records did not fit into memory, those with the
/// smallest keys were evicted, however new they were, and their repeats ran in a second cell.
#[test]
fn remembers_the_newest_requests_after_a_crash_however_large_earlier_results_were() {
    let KeyedRequest { records, .. } = with_keyed_request(8);
    let mut next = CoreHarness::new(8);
    let earlier = (0..200).map(answered);
    // The key "k" comes before those of the earlier records, and is loaded before them.
    next.core.enable_idempotency(next.now, MAX_RECORD_BYTES, persisted(&records).chain(earlier));
    next.accept_keyed("r-2", "k", 5).expect("the request was not accepted");
    let store = next.core.idempotency().expect("no records are kept");
    assert_eq!((store.restricted_repeats(), store.evicted()), (1, 0));
}

/// Guards against repeats that run in a second cell because the result of the first request was too large to be kept.
#[test]
fn a_repeat_whose_result_was_dropped_counts_as_one_that_may_have_run() {
    let mut harness = CoreHarness::new(8);
    harness.core.enable_idempotency(harness.now, MAX_RECORD_BYTES, (0..200).map(answered));
    harness.accept_keyed("r-1", "z0000", 5).expect("the request was not accepted");
    harness.accept_keyed("r-2", "z0199", 5).expect("the request was not accepted");
    let store = harness.core.idempotency().expect("no records are kept");
    assert_eq!((store.len(), store.evicted()), (200, 0));
    assert_eq!((store.restricted_repeats(), store.repeats_answered()), (1, 1));
}

#[test]
fn sends_no_repeat_if_the_cell_was_replaced() {
    let KeyedRequest { harness, records, worker } = with_keyed_request(4);
    let mut next = CoreHarness::new(0);
    next.core.enable_idempotency(next.now, MAX_RECORD_BYTES, persisted(&records));
    let row = |n: u32, cell: u32| {
        let mut row = site::endpoint_entry(&format!("new-{n}"), &format!("127.0.0.1:{}", 9500 + n), "up");
        row["cell"] = json!(cell);
        row
    };
    let old =
        harness.core.endpoints().get(worker).expect("the worker is not in the endpoint table").row().cell;
    next.core.on_endpoint_list(&site::read_list(&site::snapshot(2, &[row(0, old + 10), row(1, old + 11)])));
    let id = next.accept_keyed("r-2", "k", 5).expect("the request was not accepted");
    let commands = next.advance(26_000 * MS);
    assert_eq!(started(&commands), []);
    assert!(
        matches!(responses(&commands)[..], [(of, FinalResponse::Failed | FinalResponse::TimedOut)] if of == id)
    );
}

#[test]
fn reports_records_that_cannot_be_decoded() {
    let mut harness = CoreHarness::new(2);
    let records = [("a", vec![]), ("b", vec![9, 1, 2]), ("c", vec![1, 0xff, 0xff])];
    let records = BTreeMap::from(records.map(|(key, bytes)| (key.to_owned(), bytes)));
    let unreadable = harness.core.enable_idempotency(harness.now, MAX_RECORD_BYTES, persisted(&records));
    let reasons: Vec<String> = unreadable.iter().map(|(_, error)| error.to_string()).collect();
    assert_eq!(unreadable.len(), 3, "{unreadable:?}");
    assert!(reasons[1].contains("version 9") && reasons[0].contains("empty"), "{reasons:?}");
}
