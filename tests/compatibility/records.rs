//! A keyed job's record, as the store holds it and the other process of a dispatcher takes it over.

use crate::{assert_kept, from_hex, kept, to_hex};
use mothproxy::core::idempotency::{AttemptRecord, IdempotencyRecord};

fn sent(worker: &str, at: i64, never_ran: bool) -> AttemptRecord {
    AttemptRecord { worker: worker.to_owned(), cell: 7, zone: "alm 1".to_owned(), sent_at: at, never_ran }
}

fn record(sent: Vec<AttemptRecord>, result: Option<&[u8]>) -> IdempotencyRecord {
    let (class, id) = ("redeem".to_owned(), "job-1".to_owned());
    IdempotencyRecord {
        class,
        body_fingerprint: 0x1122_3344_5566_7788,
        request_name: id,
        attempts: sent,
        result: result.map(<[u8]>::to_vec),
    }
}

/// Idempotency records are written as before and read again.
#[test]
fn records_keep_their_bytes() {
    let first = sent("s-1", 1_790_000_000_000_000, false);
    let second = sent("s-2", i64::MIN, true);
    let records = [
        record(Vec::new(), None),
        record(vec![first.clone()], None),
        record(vec![first, second], Some(b"served \xff")),
        IdempotencyRecord::default(),
    ];
    let written: String = records.iter().map(|record| to_hex(&record.encode()) + "\n").collect();
    assert_kept("records.hex", &written);
    for (line, record) in kept("records.hex").lines().zip(records) {
        assert_eq!(IdempotencyRecord::decode(&from_hex(line)), Ok(record), "{line}");
    }
}
