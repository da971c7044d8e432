//! The summaries of this dispatcher, and the choice of the next one to publish.

use crate::cell_sum::CellSum;
use crate::encoding::{SummaryKey, encode};
use crate::features::{CellId, Level};
use crate::span_clock::SpanClock;
use crate::summary::Summary;
use crate::{Config, Micros};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

/// The maximum number of jobs in a summary.
const MAX_JOBS: u32 = 1 << 22;
/// The delay after which a summary that has grown by less than [`MIN_GROWTH`] is published again, in microseconds.
const MAX_PUBLISH_DELAY: Micros = 30_000_000;
/// The growth factor from which on a summary is published again without waiting for [`MAX_PUBLISH_DELAY`].
const MIN_GROWTH: f64 = 1.25;
/// The minimum number of jobs of a published summary of a worker.
const MIN_WORKER_JOBS: u32 = 8;
/// The minimum number of jobs of a published summary below the level of classes.
const MIN_FINE_JOBS: u32 = 3;
/// The number of recent sightings from which on a cell of all features of a job ([`Level::All`]) gets a summary. Most of
/// these cells are seen only once.
const MIN_SIGHTINGS: u8 = 4;
/// The number of counters of an [`AdmissionFilter`], which cells share by hash.
const SIGHTING_COUNTERS: usize = 4_096;

/// An admission filter as in TinyLFU (Einziger and others 2017): approximate counts of how often the finest cells were seen,
/// which are halved at each new span.
struct AdmissionFilter(Box<[u8; SIGHTING_COUNTERS]>);

impl AdmissionFilter {
    /// Counts a sighting. Returns whether the cell has been seen often enough.
    fn admits(&mut self, cell: CellId) -> bool {
        let sightings = &mut self.0[cell.hash as usize % SIGHTING_COUNTERS];
        *sightings = sightings.saturating_add(1);
        *sightings >= MIN_SIGHTINGS
    }

    fn halve(&mut self) {
        self.0.iter_mut().for_each(|sightings| *sightings /= 2);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OwnKey {
    span: u32,
    cell: CellId,
}

struct OwnSummary {
    summary: Summary,
    /// The slot of the published summary; `None` if it is not published.
    slot: Option<u32>,
    /// The number of jobs when the summary was last published.
    published_jobs: u32,
    published_at: Micros,
}

impl OwnSummary {
    /// Whether the summary should be published, for the first time or again.
    fn is_due(&self, level: Level, now: Micros) -> bool {
        let jobs = self.summary.jobs();
        let min_jobs = match level {
            Level::Class => 1,
            Level::Worker => MIN_WORKER_JOBS,
            _ => MIN_FINE_JOBS,
        };
        let growth = f64::from(jobs) / f64::from(self.published_jobs.max(1));
        let is_update_due = growth >= MIN_GROWTH || now - self.published_at >= MAX_PUBLISH_DELAY;
        jobs > self.published_jobs && jobs >= min_jobs && (self.published_jobs == 0 || is_update_due)
    }

    /// The priority of publishing the summary: its relative growth, which measures how much others would learn from it.
    fn urgency(&self) -> f64 {
        let new_jobs = self.summary.jobs() - self.published_jobs;
        f64::from(new_jobs) / f64::from(self.published_jobs + 4)
    }
}

/// The slot for a summary that is published for the first time.
enum SlotSource {
    /// A free slot.
    Free,
    /// The slot of the published summary with the lowest rank.
    LowestRanked { rank: i64, key: OwnKey },
    /// No slot can be taken.
    Exhausted,
}

impl SlotSource {
    /// Whether a summary of this rank may take the slot.
    fn admits(&self, rank: i64) -> bool {
        match self {
            SlotSource::Free => true,
            SlotSource::LowestRanked { rank: lowest, .. } => rank > *lowest,
            SlotSource::Exhausted => false,
        }
    }
}

/// The summaries of this dispatcher.
pub(crate) struct OwnSummaries {
    place: u16,
    run: u64,
    max_summaries: usize,
    spans: SpanClock,
    summaries: BTreeMap<OwnKey, OwnSummary>,
    free_slots: VecDeque<u32>,
    admission: AdmissionFilter,
    dropped: u64,
}

impl OwnSummaries {
    pub fn new(config: &Config, spans: SpanClock) -> OwnSummaries {
        let slots = config.slots;
        // Each run begins at a different slot, so that it does not soon overwrite the facts of the previous run.
        let mut hasher = SipHasher13::new();
        hasher.write_u64(config.epoch);
        let first = (hasher.finish() % u64::from(slots)) as u32;
        OwnSummaries {
            place: config.place,
            run: config.epoch,
            max_summaries: config.max_own_summaries,
            spans,
            summaries: BTreeMap::new(),
            free_slots: (first..slots).chain(0..first).collect(),
            admission: AdmissionFilter(Box::new([0; SIGHTING_COUNTERS])),
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

    fn rank(&self, key: &OwnKey, summary: &Summary) -> i64 {
        self.spans.rank(key.span, summary.jobs())
    }

    /// The summary of a cell in the current span, if there is room. To make room, a summary of an older span is dropped.
    /// Nothing is added to older summaries any more, so a published summary never shrinks.
    pub fn summary_mut(&mut self, span: u32, cell: CellId, class: u32) -> Option<&mut Summary> {
        if cell.level == Level::All && !self.admission.admits(cell) {
            return None;
        }
        let key = OwnKey { span, cell };
        if !self.summaries.contains_key(&key) && self.summaries.len() >= self.max_summaries {
            self.dropped += 1;
            let lowest_ranked = self.lowest_ranked_before(span)?;
            self.remove(&lowest_ranked);
        }
        let own = self.summaries.entry(key).or_insert_with(|| OwnSummary {
            summary: Summary { class, ..Summary::default() },
            slot: None,
            published_jobs: 0,
            published_at: 0,
        });
        (own.summary.jobs() < MAX_JOBS).then_some(&mut own.summary)
    }

    fn lowest_ranked_before(&self, span: u32) -> Option<OwnKey> {
        let older = self.summaries.iter().take_while(|(key, _)| key.span < span);
        let lowest = older.min_by_key(|(key, own)| (self.rank(key, &own.summary), **key));
        lowest.map(|(key, _)| *key)
    }

    fn remove(&mut self, key: &OwnKey) {
        let slot = self.summaries.remove(key).and_then(|own| own.slot);
        self.free_slots.extend(slot);
    }

    /// Drops the summaries of spans before `oldest`.
    pub fn expire(&mut self, oldest: u32) {
        let expired: Vec<OwnKey> =
            self.summaries.keys().take_while(|key| key.span < oldest).copied().collect();
        expired.iter().for_each(|key| self.remove(key));
    }

    /// Handles the beginning of a new span.
    pub fn on_new_span(&mut self) {
        self.admission.halve();
    }

    /// Adds all summaries to the sums of their cells, weighted by their age in the span `present`.
    pub fn add_to(&self, sums: &mut BTreeMap<CellId, CellSum>, present: u32) {
        for (key, own) in &self.summaries {
            let weight = self.spans.weight(key.span, present);
            sums.entry(key.cell).or_default().add(&own.summary, weight);
        }
    }

    /// The slot and bytes of the next fact to publish: that of the summary that has grown most since it was last published.
    /// If all slots are in use, the slot of the summary with the lowest rank is reused; members that received that summary
    /// keep it.
    pub fn publish(&mut self, now: Micros) -> Option<(u32, Vec<u8>)> {
        let source = self.slot_source();
        let key = self.most_urgent(now, &source)?;
        let slot = match self.summaries.get(&key)?.slot {
            Some(slot) => slot,
            None => self.take_slot(&source)?,
        };
        let own = self.summaries.get_mut(&key)?;
        own.slot = Some(slot);
        own.published_jobs = own.summary.jobs();
        own.published_at = now;
        let OwnKey { span, cell } = key;
        let key = SummaryKey { cell, span, place: self.place, run: self.run };
        Some((slot, encode(&own.summary, &key)))
    }

    fn slot_source(&self) -> SlotSource {
        if !self.free_slots.is_empty() {
            return SlotSource::Free;
        }
        let published = self.summaries.iter().filter(|(_, own)| own.slot.is_some());
        let lowest_ranked = published.map(|(key, own)| (self.rank(key, &own.summary), *key)).min();
        lowest_ranked.map_or(SlotSource::Exhausted, |(rank, key)| SlotSource::LowestRanked { rank, key })
    }

    /// The most urgent summary among those that are due and have a slot or may take one.
    fn most_urgent(&self, now: Micros, source: &SlotSource) -> Option<OwnKey> {
        let can_have_slot = |key: &OwnKey, own: &OwnSummary| {
            own.slot.is_some() || source.admits(self.rank(key, &own.summary))
        };
        let candidates = (self.summaries.iter())
            .filter(|(key, own)| own.is_due(key.cell.level, now) && can_have_slot(key, own))
            .map(|(key, own)| (own.urgency(), *key));
        let best = candidates.max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(&a.1)));
        best.map(|(_, key)| key)
    }

    fn take_slot(&mut self, source: &SlotSource) -> Option<u32> {
        match source {
            SlotSource::Free => self.free_slots.pop_front(),
            SlotSource::LowestRanked { key, .. } => self.summaries.get_mut(key)?.slot.take(),
            SlotSource::Exhausted => None,
        }
    }

    /// The approximate memory in addition to the struct itself, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let summaries: usize =
            self.summaries.values().map(|own| size_of::<OwnSummary>() + own.summary.heap_bytes()).sum();
        let keys = self.summaries.len() * size_of::<OwnKey>();
        summaries + keys + self.free_slots.capacity() * size_of::<u32>() + SIGHTING_COUNTERS
    }
}
