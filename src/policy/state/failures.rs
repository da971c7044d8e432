//! Records the failures, ejections and signs of life of workers and zones.

use super::{EndedAttempt, PolicyState, Worker};
use crate::policy::interface::{AttemptEnded, EndpointEntry, Micros, Settings, Status, WorkerId, ZoneId};

impl PolicyState {
    /// Records that a worker has failed: drops its load sample, ejects it, and marks the change for the next advertisement.
    pub fn record_failure(&mut self, id: WorkerId, window: Micros, max_failures: u32) {
        self.gossip.mark_changed();
        let worker = self.workers.touch(id);
        worker.load = None;
        worker.outlier.record_failure(self.now, window, max_failures);
    }

    /// Records that a connection to a worker has failed: ejects its zone.
    pub fn record_zone_failure(&mut self, id: WorkerId, window: Micros, max_failures: u32) {
        if let Some(listed) = self.worker(id).listed {
            self.zones.record_failure(listed.zone, self.now, window, max_failures);
        }
    }

    /// Records that a worker has served an attempt: halves its count of failures, ends its ejection and clears the failures of
    /// its zone. Returns the attempt's run time in microseconds, at least 1.
    pub fn record_success(&mut self, end: &AttemptEnded, ended: &EndedAttempt, settings: &Settings) -> f64 {
        let running_since = ended.running_since.filter(|_| settings.reports_start);
        let run_time = running_since.map_or(end.elapsed, |since| self.now.saturating_sub(since));
        let run_time = run_time.max(1) as f64; // With a run time and thus a slowness of 0, all workers would rank the same.
        self.estimates.learn_run_time(ended.class, run_time);
        let worker = self.workers.touch(end.worker);
        worker.outlier.record_success();
        if let Some(listed) = worker.listed {
            self.zones.record_success(listed.zone);
        }
        run_time
    }

    /// Ejects a worker until this time, which replaces any earlier ejection. The worker's failures stay recorded.
    pub fn eject_until(&mut self, id: WorkerId, until: Micros) {
        self.workers.touch(id).outlier.eject_until(until);
    }

    /// Sets a worker's count of failures to 0; an ejection stays in force.
    pub fn clear_failures(&mut self, id: WorkerId) {
        self.workers.touch(id).outlier.clear_failures();
    }

    /// Whether a worker is ejected now because it failed, rejected a job, or let an attempt wait in its queue.
    pub fn is_ejected(&self, worker: &Worker) -> bool {
        worker.outlier.is_ejected(self.now)
    }

    /// Whether a zone is ejected now because it seems unreachable.
    pub fn is_zone_ejected(&self, zone: ZoneId) -> bool {
        self.zones.is_ejected(zone, self.now)
    }

    /// Whether a worker has failed, for this dispatcher or for a peer, and has shown this dispatcher no sign of life since.
    pub fn is_suspect(&self, worker: &Worker) -> bool {
        let is_suspect_at_peer =
            |listed: &EndpointEntry| self.gossip.is_suspect(listed, worker.last_seen, self.now);
        worker.is_suspect() || worker.listed().is_some_and(is_suspect_at_peer)
    }

    /// The number of listed workers that get no work now: those that are draining, those that are ejected after a failure, and
    /// those in an ejected zone other than the dispatcher's own.
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
