//! The summaries of other dispatchers, and of earlier runs of this one, in a last-writer-wins map. The map keeps the latest
//! version for each key, and so does not depend on the order of arrival.

use crate::cell_sum::CellSum;
use crate::encoding::{ReceivedSummary, SummaryKey};
use crate::features::CellId;
use crate::span_clock::SpanClock;
use crate::{Config, Origin};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// The version of a summary; later versions are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Version {
    epoch: u64,
    number: u64,
}

impl Version {
    /// The version of a fact with this number.
    pub fn new(origin: Origin, number: u64) -> Version {
        Version { epoch: origin.epoch, number }
    }
}

struct Received {
    version: Version,
    rank: i64,
    summary: ReceivedSummary,
}

/// The summaries of other dispatchers.
pub(crate) struct ReceivedSummaries {
    max_summaries: usize,
    spans: SpanClock,
    summaries: BTreeMap<SummaryKey, Received>,
    by_rank: BTreeSet<(i64, SummaryKey)>,
    dropped: u64,
}

impl ReceivedSummaries {
    pub fn new(config: &Config, spans: SpanClock) -> ReceivedSummaries {
        ReceivedSummaries {
            max_summaries: config.max_received_summaries,
            spans,
            summaries: BTreeMap::new(),
            by_rank: BTreeSet::new(),
            dropped: 0,
        }
    }

    /// The number of summaries.
    pub fn len(&self) -> usize {
        self.summaries.len()
    }

    /// The number of summaries for which there was no room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Stores a version of a summary. Returns by how many jobs it exceeds the previous version, or `None` without a change
    /// if the stored version is the same or a later one.
    pub fn insert(&mut self, version: Version, summary: ReceivedSummary) -> Option<f64> {
        let key = summary.key;
        let jobs = f64::from(summary.jobs);
        let before = self.summaries.get(&key);
        if before.is_some_and(|before| before.version >= version) {
            return None;
        }
        let jobs_before = before.map_or(0.0, |before| f64::from(before.summary.jobs));
        if let Some(before) = before {
            self.by_rank.remove(&(before.rank, key));
        }
        let rank = self.spans.rank(key.span, summary.jobs);
        self.by_rank.insert((rank, key));
        self.summaries.insert(key, Received { version, rank, summary });
        if self.summaries.len() > self.max_summaries {
            self.drop_lowest_ranked();
        }
        Some(jobs - jobs_before)
    }

    fn drop_lowest_ranked(&mut self) {
        if let Some((_, lowest_ranked)) = self.by_rank.pop_first() {
            self.summaries.remove(&lowest_ranked);
            self.dropped += 1;
        }
    }

    /// Drops the summaries of spans before `oldest`.
    pub fn expire(&mut self, oldest: u32) {
        let by_rank = &mut self.by_rank;
        self.summaries.retain(|key, received| key.span >= oldest || !by_rank.remove(&(received.rank, *key)));
    }

    /// Adds all summaries to the sums of their cells, weighted by their age in the span `present`.
    pub fn add_to(&self, sums: &mut BTreeMap<CellId, CellSum>, present: u32) {
        for (key, received) in &self.summaries {
            let weight = self.spans.weight(key.span, present);
            received.summary.add_to(sums.entry(key.cell).or_default(), weight);
        }
    }

    /// The approximate memory in addition to the struct itself, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let summaries: usize = (self.summaries.values())
            .map(|received| size_of::<Received>() + received.summary.heap_bytes())
            .sum();
        summaries + self.summaries.len() * (2 * size_of::<SummaryKey>() + size_of::<i64>())
    }

    /// Hashes the keys and versions of all summaries.
    pub fn hash_into(&self, hasher: &mut impl Hasher) {
        for (key, received) in &self.summaries {
            hasher.write_u64(key.cell.hash);
            hasher.write_u64(key.run);
            hasher.write_u64(u64::from(key.span) << 16 | u64::from(key.place));
            hasher.write_u64(received.version.number);
        }
    }
}
