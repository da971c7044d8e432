//! Encoding of a summary as a fact of at most [`MAX_FACT_BYTES`], in postcard. Postcard encodes by position, so fields must
//! keep their order.

use crate::cell_sum::CellSum;
use crate::distribution::BIN_COUNT;
use crate::features::{CellId, Level};
use crate::summary::{BinTotal, FIXED_POINT, KindTotal, MAX_KINDS, Summary};
use serde::{Deserialize, Serialize};

/// The maximum length of a fact, in bytes, as specified in `docs/design/parts.md`. Each crate that encodes facts defines
/// this constant, since none of them depends on the crate that transports facts.
pub(crate) const MAX_FACT_BYTES: usize = 160;
const VERSION: u8 = 1;
/// The maximum number of jobs of a received summary.
const MAX_JOBS: u32 = 1 << 24;
/// The maximum number of times that bins are merged in pairs.
const MAX_COARSENESS: u8 = 3;
/// The maximum mean logarithm of a received summary.
const MAX_MEAN_LOG: i64 = 32;

/// Why a fact of another dispatcher was refused. A refused fact changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AbsorbError {
    /// The first byte is another version of the encoding.
    #[error(
        "a summary of run times has version {0}, but this program reads version {VERSION}; upgrade the older program"
    )]
    Version(u8),
    /// The fact is too long or cannot be decoded.
    #[error("a summary of run times is too long or cannot be decoded")]
    Malformed,
    /// The counts and sums of the summary contradict each other or are out of bounds.
    #[error("the counts and sums of a summary of run times contradict each other or are out of range")]
    Inconsistent,
    /// The span of the summary is further in the future than clocks may differ. Holds the number of the span.
    #[error("a summary of run times is from the future (span {0}); check the clocks of the members")]
    Future(u32),
}

/// The subject of a summary: its cell, its span, and the run of the dispatcher that observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SummaryKey {
    pub cell: CellId,
    pub span: u32,
    pub place: u16,
    /// The start of the process that observed it, in milliseconds of Unix time, as stated in the encoding.
    pub run: u64,
}

/// Counts of consecutive bins.
#[derive(Debug, Default, Serialize, Deserialize)]
struct BinRun {
    first: u8,
    counts: Vec<u32>,
}

impl BinRun {
    /// The counts from the first non-empty bin on. Bins are merged in groups of two to the power of `coarseness`.
    fn new(bins: &[BinTotal], coarseness: u8, count: impl Fn(&BinTotal) -> u32) -> BinRun {
        let mut run = BinRun::default();
        for total in bins.iter().filter(|total| count(total) > 0) {
            let bin = total.bin >> coarseness;
            if run.counts.is_empty() {
                run.first = bin;
            }
            run.counts.resize(usize::from(bin - run.first) + 1, 0);
            if let Some(last) = run.counts.last_mut() {
                *last += count(total);
            }
        }
        run
    }

    fn total(&self) -> Option<u32> {
        self.counts.iter().try_fold(0u32, |sum, &count| sum.checked_add(count))
    }

    /// The number of the bin after the last one, in bins before merging.
    fn end(&self, coarseness: u8) -> usize {
        (usize::from(self.first) + self.counts.len()) << coarseness.min(MAX_COARSENESS)
    }

    /// Adds the counts, times `weight`, to each of the `group` bins that were merged.
    fn add_to(&self, bins: &mut [f32; BIN_COUNT], group: usize, weight: f32) {
        for (index, &count) in self.counts.iter().enumerate().filter(|(_, count)| **count > 0) {
            let first = (usize::from(self.first) + index) * group;
            for bin in first..first + group {
                bins[bin.min(BIN_COUNT - 1)] += count as f32 * weight;
            }
        }
    }
}

/// The encoded form of a summary.
#[derive(Debug, Serialize, Deserialize)]
struct EncodedSummary {
    version: u8,
    level: u8,
    run: u64,
    hash: [u8; 8],
    class: u32,
    span: u32,
    kinds: Vec<KindTotal>,
    expected: i64,
    /// Bins are merged in groups of two to the power of this.
    coarseness: u8,
    ended: BinRun,
    censored: BinRun,
}

/// Encodes a summary. Bins are merged in pairs (the uniform collapse of UDDSketch, Epicoco and others 2020) until it fits.
pub(crate) fn encode(summary: &Summary, key: &SummaryKey) -> Vec<u8> {
    for coarseness in 0..=MAX_COARSENESS {
        let encoded = EncodedSummary {
            version: VERSION,
            level: key.cell.level.index() as u8,
            run: key.run,
            hash: key.cell.hash.to_le_bytes(),
            class: summary.class,
            span: key.span,
            kinds: summary.kinds.clone(),
            expected: summary.expected,
            coarseness,
            ended: BinRun::new(&summary.bins, coarseness, |total| total.ended),
            censored: BinRun::new(&summary.bins, coarseness, |total| total.censored),
        };
        // Encoding into memory cannot fail for these types. A reader would refuse the empty fact.
        let bytes = postcard::to_stdvec(&encoded).unwrap_or_default();
        if bytes.len() <= MAX_FACT_BYTES {
            return bytes;
        }
    }
    // If that is not enough, encode the sums only: a mean without a distribution.
    encode(&Summary { bins: Vec::new(), ..summary.clone() }, key)
}

/// A summary of another dispatcher, in its encoded form, which is expanded at each fit.
#[derive(Debug)]
pub(crate) struct ReceivedSummary {
    pub key: SummaryKey,
    pub jobs: u32,
    encoded: EncodedSummary,
}

impl ReceivedSummary {
    /// Decodes and validates a fact of the member at `place`.
    pub fn decode(place: u16, bytes: &[u8]) -> Result<ReceivedSummary, AbsorbError> {
        match bytes.first() {
            None => return Err(AbsorbError::Malformed),
            Some(&VERSION) if bytes.len() <= MAX_FACT_BYTES => {}
            Some(&VERSION) => return Err(AbsorbError::Malformed),
            Some(&other) => return Err(AbsorbError::Version(other)),
        }
        let (encoded, rest): (EncodedSummary, _) =
            postcard::take_from_bytes(bytes).map_err(|_| AbsorbError::Malformed)?;
        let level = Level::from_index(encoded.level).ok_or(AbsorbError::Malformed)?;
        if !rest.is_empty() {
            return Err(AbsorbError::Malformed);
        }
        let jobs = encoded.checked_jobs().ok_or(AbsorbError::Inconsistent)?;
        let cell = CellId { level, hash: u64::from_le_bytes(encoded.hash) };
        let key = SummaryKey { cell, span: encoded.span, place, run: encoded.run };
        Ok(ReceivedSummary { key, jobs, encoded })
    }

    /// The memory in addition to the struct itself, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let counts = self.encoded.ended.counts.capacity() + self.encoded.censored.counts.capacity();
        self.encoded.kinds.capacity() * size_of::<KindTotal>() + counts * size_of::<u32>()
    }

    /// Adds this summary to a sum with a weight.
    pub fn add_to(&self, sum: &mut CellSum, weight: f64) {
        let encoded = &self.encoded;
        sum.add_totals(encoded.class, &encoded.kinds, encoded.expected, weight);
        let group = 1usize << encoded.coarseness;
        let bin_weight = weight as f32 / group as f32;
        if encoded.ended.counts.iter().chain(&encoded.censored.counts).any(|count| *count > 0) {
            let counts = sum.counts_mut();
            encoded.ended.add_to(&mut counts.ended, group, bin_weight);
            encoded.censored.add_to(&mut counts.censored, group, bin_weight);
        }
    }
}

impl EncodedSummary {
    /// The number of jobs; `None` if the counts and sums contradict each other or are out of bounds.
    fn checked_jobs(&self) -> Option<u32> {
        let jobs = self.kinds.iter().try_fold(0u32, |sum, kind| sum.checked_add(kind.jobs))?;
        let binned = self.ended.total()?.checked_add(self.censored.total()?)?;
        let max_log_sum = |jobs: u32| (i64::from(jobs) * MAX_MEAN_LOG * FIXED_POINT as i64) as u64;
        let is_possible =
            |kind: &KindTotal| kind.jobs > 0 && kind.log_sum.unsigned_abs() <= max_log_sum(kind.jobs);
        let end = BIN_COUNT + (1 << self.coarseness.min(MAX_COARSENESS)) - 1;
        let is_valid = self.coarseness <= MAX_COARSENESS
            && (1..=MAX_JOBS).contains(&jobs)
            && binned <= jobs
            && self.kinds.len() <= MAX_KINDS + 1
            && self.kinds.iter().all(is_possible)
            && self.kinds.windows(2).all(|pair| pair[0].kind < pair[1].kind)
            && self.expected.unsigned_abs() <= max_log_sum(jobs)
            && self.ended.end(self.coarseness) <= end
            && self.censored.end(self.coarseness) <= end;
        is_valid.then_some(jobs)
    }
}
