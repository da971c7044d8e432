//! What speaks for and against workers and zones: failures, ejections and signs of life.

use super::{EndedAttempt, PolicyState, Worker};
use crate::policy::interface::{AttemptEnded, EndpointEntry, Micros, Settings, Status, WorkerId, ZoneId};

impl PolicyState {
    /// A worker has failed: its load sample is dropped, it is ejected, and the group is notified.
    pub fn record_failure(&mut self, id: WorkerId, window: Micros, max_failures: u32) {
        self.gossip.mark_changed();
        let worker = self.workers.touch(id);
        worker.load = None;
        worker.outlier.record_failure(self.now, window, max_failures);
    }

    /// A connection to a worker has failed: its zone is ejected.
    pub fn record_zone_failure(&mut self, id: WorkerId, window: Micros, max_failures: u32) {
        if let Some(listed) = self.worker(id).listed {
            self.zones.record_failure(listed.zone, self.now, window, max_failures);
        }
    }

    /// A worker has served an attempt: its failures are forgiven. The attempt's run time, in microseconds.
    pub fn record_success(&mut self, end: &AttemptEnded, ended: &EndedAttempt, settings: &Settings) -> f64 {
        let running_since = ended.running_since.filter(|_| settings.reports_start);
        let run_time = running_since.map_or(end.elapsed, |since| self.now.saturating_sub(since));
        let run_time = run_time.max(1) as f64; // 0 would make all workers equal
        self.estimates.learn_run_time(ended.class, run_time);
        let worker = self.workers.touch(end.worker);
        worker.outlier.record_success();
        if let Some(listed) = worker.listed {
            self.zones.record_success(listed.zone);
        }
        run_time
    }

    /// A worker gets no work until this time, whatever was known before; its failures stay.
    pub fn eject_until(&mut self, id: WorkerId, until: Micros) {
        self.workers.touch(id).outlier.eject_until(until);
    }

    /// A worker's failures are forgotten; an ejection stays.
    pub fn forgive(&mut self, id: WorkerId) {
        self.workers.touch(id).outlier.forgive();
    }

    /// Whether a worker gets no work for now because it failed, was full or made an attempt queue.
    pub fn is_ejected(&self, worker: &Worker) -> bool {
        worker.outlier.is_ejected(self.now)
    }

    /// Whether a zone looks cut off for now.
    pub fn is_zone_ejected(&self, zone: ZoneId) -> bool {
        self.zones.is_ejected(zone, self.now)
    }

    /// Whether a worker has failed, here or at a peer, and has shown no sign of life here since.
    pub fn is_suspect(&self, worker: &Worker) -> bool {
        let is_suspect_at_peer =
            |listed: &EndpointEntry| self.gossip.is_suspect(listed, worker.last_seen, self.now);
        worker.is_suspect() || worker.listed().is_some_and(is_suspect_at_peer)
    }

    /// How many listed workers get no work now: those that drain, are ejected, or are in a zone that looks cut off.
    pub fn unavailable_count(&self, own_zone: ZoneId, now: Micros) -> usize {
        let is_unavailable = |worker: &&Worker| {
            let Some(listed) = worker.listed() else { return false };
            listed.status != Status::Ready
                || (worker.has_failed() && worker.outlier.is_ejected(now))
                || (listed.zone != own_zone && self.zones.is_ejected(listed.zone, now))
        };
        self.workers.iter().filter(is_unavailable).count()
    }
}
