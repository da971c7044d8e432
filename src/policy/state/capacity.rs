//! The load and the slots of workers: their load reports, the work sent to them, and the estimates of their kinds based on both.

use super::worker::SentWork;
use super::{BoundFraction, LoadSample, PolicyState, Worker, ready_workers};
use crate::policy::interface::{Class, EndpointEntry, Micros, WorkerId, ZoneId};

/// Records load, and learns estimates from it.
impl PolicyState {
    /// Records work that is sent or offered to a worker, and keeps the record for `window`. An attempt below the mean work
    /// counts as the mean, because many small attempts also make a worker that is warming up collapse.
    pub(super) fn record_work(&mut self, id: WorkerId, work: f64, window: Micros) {
        let work = work.max(self.estimates.mean_attempt_work());
        self.workers.touch(id).record_work(SentWork { at: self.now, work }, window);
    }

    /// Stores a load sample, and learns the report interval and the kind's slots from it.
    pub fn record_load(&mut self, id: WorkerId, load: LoadSample) {
        let stamped_at = load.at;
        let free_slots = load.free_slots;
        self.estimates.reports_queue_length |= load.waiting.is_some();
        if let Some(previous) = self.workers.touch(id).load.replace(load) {
            self.estimates.learn_report_interval(stamped_at - previous.at);
        }
        let worker = self.workers.get(id);
        if let Some(listed) = worker.listed() {
            let peer_load = || self.gossip.peer_load(listed, self.now).unwrap_or(0.0);
            let known_load = || peer_load() + worker.occupied_slots();
            self.estimates.learn_slots(listed.kind, free_slots, known_load);
        }
    }

    /// Learns the response time per unit of work at a worker, for the worker itself and for its kind.
    pub fn learn_slowness(&mut self, id: WorkerId, slowness: f64) {
        let worker = self.workers.touch(id);
        worker.slowness.add(slowness);
        self.estimates.learn_slowness(worker.listed().map(|listed| listed.kind), slowness);
    }

    /// Learns the time from sending an attempt until it is known to run. The estimate stays at or above `min_delay`.
    pub fn learn_start_delay(&mut self, waited: Micros, min_delay: Micros) {
        self.estimates.learn_start_delay(waited as f64, min_delay as f64);
    }

    /// Copies the statistics of the class `source` to the class `class`. Both are indices in the settings.
    pub fn copy_class(&mut self, class: usize, source: usize) {
        self.estimates.copy_class(class, source);
    }
}

/// The known load and capacity of workers.
impl PolicyState {
    /// The worker's load sample, if it is not older than `window`.
    pub fn fresh_load(&self, id: WorkerId, window: Micros) -> Option<&LoadSample> {
        self.worker(id).last_load().filter(|load| self.now <= load.at + window)
    }

    /// The slots of a worker that this dispatcher may not use: those that peers occupy, and those reserved for unreachable
    /// dispatchers. `None` if the worker is not assigned to the group.
    fn unavailable_slots(&self, listed: &EndpointEntry) -> Option<f64> {
        let occupied = self.gossip.peer_load(listed, self.now)?;
        let slots = self.estimates.slots(listed.kind).max(1.0) as u32;
        Some(occupied + f64::from(self.gossip.reserved_slots(listed.worker, slots, self.now)))
    }

    /// The slots of a worker that are not free for this dispatcher's next attempt: those that it may not use, and those of its
    /// own attempts there. `None` if the worker is not assigned to the group.
    pub fn group_occupied_slots(&self, worker: &Worker, listed: &EndpointEntry) -> Option<f64> {
        self.unavailable_slots(listed).map(|by_others| by_others + worker.occupied_slots())
    }

    /// Whether a worker has been running for its whole warm-up time.
    pub fn is_warm(&self, listed: &EndpointEntry, warm_up_time: Micros) -> bool {
        ready_workers::is_warm(listed, self.now, warm_up_time)
    }

    /// Whether a worker is listed in a zone other than `zone`.
    pub fn is_outside(&self, id: WorkerId, zone: ZoneId) -> bool {
        self.worker(id).listed().is_some_and(|listed| listed.zone != zone)
    }

    /// Whether the number of slots of the worker's kind is still unknown: no report has shown it, or that reports of this kind
    /// do not contain it. `false` for a worker that is not listed.
    pub fn has_unknown_slots(&self, worker: &Worker) -> bool {
        worker.listed().is_some_and(|listed| !self.estimates.has_known_slots(listed.kind))
    }

    /// The total number of slots of the ready workers.
    pub fn ready_slots(&self) -> f64 {
        let slots = |listed: &EndpointEntry| self.estimates.slots(listed.kind);
        self.ready.all().iter().map(|id| self.worker(*id).listed().map_or(0.0, slots)).sum()
    }

    /// For each class that only one kind of worker can run: the work of all classes that only this kind can run, as a fraction
    /// of the kind's fair part of all work.
    pub fn bound_fractions<'a>(&'a self, classes: &'a [Class]) -> impl Iterator<Item = BoundFraction> + 'a {
        let kinds = classes.iter().filter_map(|class| class.kind);
        kinds.map(|kind| self.estimates.bound_fraction(classes, self.ready.weight_by_kind(), kind))
    }
}
