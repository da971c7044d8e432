//! The encoding of facts: a version byte, then postcard. Postcard encodes by position, so fields must keep their order.

use super::observed_times::ObservedTimes;
use super::{MAX_CLOCK_SKEW_MS, MAX_FACT_BYTES, Report};
use crate::Millis;
use crate::poll_scheduler::ServiceStatus;
use serde::{Deserialize, Serialize};

/// The first byte of every fact.
const VERSION: u8 = 1;

/// Why a fact was not absorbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AbsorbError {
    /// The fact has an unknown version.
    #[error("unknown version {0} of a fact; this program reads version {VERSION}")]
    Version(u8),
    /// The fact cannot be decoded.
    #[error("a fact cannot be decoded")]
    Malformed,
    /// The fact is longer than [`MAX_FACT_BYTES`]. Holds its length, in bytes.
    #[error("a fact of {0} bytes exceeds the maximum of {MAX_FACT_BYTES} bytes")]
    TooLong(usize),
    /// The fact has a slot that this kind of fact does not use.
    #[error("slot {0} is not used by this kind of fact")]
    Slot(u32),
    /// The fact is further in the future than clocks may differ. Holds by how much, in milliseconds.
    #[error("a fact is dated {0} ms in the future, more than the allowed {MAX_CLOCK_SKEW_MS} ms")]
    Future(Millis),
}

/// The encoded observations of one worker of a bucket.
#[derive(Serialize, Deserialize)]
struct WorkerRow {
    fingerprint: u32,
    /// The ages of the observations at the bucket's time, in milliseconds plus one; 0 for never. In this order: alive,
    /// resets, hangs, refuses, warming up, reported.
    ages: [u32; 6],
    report: Report,
}

/// An encoded bucket of workers.
#[derive(Serialize, Deserialize)]
struct Bucket {
    /// The time at which the bucket was encoded, in Unix milliseconds.
    at: Millis,
    rows: Vec<WorkerRow>,
}

impl WorkerRow {
    fn new(fingerprint: u32, times: &ObservedTimes, bucket_at: Millis) -> WorkerRow {
        let age = |at: Millis| match at {
            0 => 0,
            at => u32::try_from(bucket_at.saturating_sub(at) + 1).unwrap_or(0),
        };
        let [resets, hangs, refuses] = times.faults;
        let ages = [times.alive, resets, hangs, refuses, times.warming_up, times.reported].map(age);
        WorkerRow { fingerprint, ages, report: times.report }
    }

    fn to_times(&self, bucket_at: Millis) -> ObservedTimes {
        let time = |age: u32| match age {
            0 => 0,
            age => (bucket_at + 1).saturating_sub(u64::from(age)),
        };
        let [alive, resets, hangs, refuses, warming_up, reported] = self.ages.map(time);
        let report = if reported > 0 { self.report } else { Report::default() };
        ObservedTimes { alive, faults: [resets, hangs, refuses], warming_up, reported, report }
    }
}

/// Encodes a fact: the version byte, followed by the body.
pub(super) fn encode(body: &impl Serialize) -> Option<Vec<u8>> {
    postcard::to_extend(body, vec![VERSION]).ok()
}

/// Encodes a bucket with as many of these workers as fit into a fact, from the first on; `None` if there is no worker.
pub(super) fn encode_bucket(now_ms: Millis, workers: &[(u32, &ObservedTimes)]) -> Option<Vec<u8>> {
    let mut bucket = Bucket { at: now_ms, rows: Vec::new() };
    let mut longest_that_fits = None;
    for (fingerprint, times) in workers {
        bucket.rows.push(WorkerRow::new(*fingerprint, times, now_ms));
        match encode(&bucket).filter(|bytes| bytes.len() <= MAX_FACT_BYTES) {
            Some(bytes) => longest_that_fits = Some(bytes),
            None => break,
        }
    }
    longest_that_fits
}

/// Checks the length and version of a fact, and returns its body.
pub(super) fn check_envelope(bytes: &[u8]) -> Result<&[u8], AbsorbError> {
    if bytes.len() > MAX_FACT_BYTES {
        return Err(AbsorbError::TooLong(bytes.len()));
    }
    match bytes.split_first() {
        Some((&VERSION, body)) => Ok(body),
        Some((version, _)) => Err(AbsorbError::Version(*version)),
        None => Err(AbsorbError::Malformed),
    }
}

/// Decodes a member's status of the service, received at `now_ms`.
pub(super) fn decode_service(body: &[u8], now_ms: Millis) -> Result<ServiceStatus, AbsorbError> {
    let status: ServiceStatus = postcard::from_bytes(body).map_err(|_| AbsorbError::Malformed)?;
    check_time(status.answered_at_ms.max(status.failed_at_ms).max(status.refused_at_ms), now_ms)?;
    Ok(status)
}

/// Decodes a bucket, received at `now_ms`: the fingerprint and the observed times of each worker.
pub(super) fn decode_bucket(body: &[u8], now_ms: Millis) -> Result<Vec<(u32, ObservedTimes)>, AbsorbError> {
    let bucket: Bucket = postcard::from_bytes(body).map_err(|_| AbsorbError::Malformed)?;
    check_time(bucket.at, now_ms)?;
    Ok(bucket.rows.iter().map(|row| (row.fingerprint, row.to_times(bucket.at))).collect())
}

fn check_time(at_ms: Millis, now_ms: Millis) -> Result<(), AbsorbError> {
    if at_ms > now_ms + MAX_CLOCK_SKEW_MS { Err(AbsorbError::Future(at_ms - now_ms)) } else { Ok(()) }
}
