//! Idempotency records, as the store keeps them and as a successor takes them over.

use crate::{assert_matches_golden_file, from_hex, golden_file, to_hex};
use mothproxy::core::idempotency::{AttemptRecord, IdempotencyRecord};

fn attempt(worker: &str, at: i64, never_ran: bool) -> AttemptRecord {
    AttemptRecord { worker: worker.to_owned(), cell: 7, zone: "alm 1".to_owned(), sent_at: at, never_ran }
}

fn record(attempts: Vec<AttemptRecord>, result: Option<&[u8]>) -> IdempotencyRecord {
    let (class, id) = ("redeem".to_owned(), "job-1".to_owned());
    IdempotencyRecord {
        class,
        body_fingerprint: 0x1122_3344_5566_7788,
        request_name: id,
        attempts,
        result: result.map(<[u8]>::to_vec),
    }
}

/// The bytes of idempotency records are unchanged, and decode to the same records.
#[test]
fn records_keep_their_bytes() {
    let first = attempt("s-1", 1_790_000_000_000_000, false);
    let second = attempt("s-2", i64::MIN, true);
    let records = [
        record(Vec::new(), None),
        record(vec![first.clone()], None),
        record(vec![first, second], Some(b"served \xff")),
        IdempotencyRecord::default(),
    ];
    let written: String = records.iter().map(|record| to_hex(&record.encode()) + "\n").collect();
    assert_matches_golden_file("records.hex", &written);
    for (line, record) in golden_file("records.hex").lines().zip(records) {
        assert_eq!(IdempotencyRecord::decode(&from_hex(line)), Ok(record), "{line}");
    }
}
