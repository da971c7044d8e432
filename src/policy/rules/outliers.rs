//! Outlier detection: ejects workers and zones that fail, for a limited time.

use super::*;

/// The greatest slowness (response time divided by expected work) that is recorded. A failed attempt counts
/// as such a response.
const MAX_SLOWNESS: f64 = 8.0;
/// The greatest number of consecutive failures that are counted. An ejection lasts for one window, doubled
/// for each failure counted before. For zones, the value of a group applies. The value without a group is
/// lower, because such a dispatcher learns that a worker has recovered only from a job that it sends there.
const MAX_FAILURES: ByGrouping<u32> = ByGrouping { alone: 3, grouped: 6 };
/// The rate of reported errors, per second, up to which a worker never counts as failing. Above it, the
/// worker counts as failing if it reports more errors than the jobs that it can have served.
const MAX_ERROR_RATE: f64 = 1.0;

impl Policy {
    /// Records a failure of a worker: drops its load sample and ejects it, for twice as long with each
    /// consecutive failure.
    pub(super) fn record_failure(&mut self, id: WorkerId) {
        self.state.record_failure(id, self.window(), self.by_grouping(&MAX_FAILURES));
    }

    /// Records that a probe has failed. Without a group, this does not count as a failure of a worker that
    /// has shown a sign of life since the probe was sent: the worker was busy, and the probe waited in its
    /// queue.
    pub fn record_probe_failure(&mut self, response: &ProbeResponse, last_seen: Micros) {
        if self.is_grouped() || last_seen + response.elapsed <= self.now() {
            self.record_failure(response.worker);
        }
    }

    /// Records that a worker has started an attempt, which ends its ejection. If the attempt had to queue
    /// there, the worker is ejected for as long as the attempt waited, at most for a window, because the
    /// next attempt would wait as long.
    pub fn record_start(&mut self, started: &StartedAttempt) {
        let has_queued = started.waited > QUEUE_DETECTION_DELAY;
        let queue_wait = if has_queued { started.waited.min(self.window()) } else { 0 };
        self.eject_for(started.worker, queue_wait);
        // In a group, a start is no proof of recovery: the worker may fail everything that it starts.
        if !self.is_grouped() {
            self.state.clear_failures(started.worker);
        }
    }

    /// Records the outcome of an attempt: learns the worker's slowness, and ends the worker's ejection or
    /// ejects it.
    pub fn record_outcome(&mut self, end: &AttemptEnded, ended: &EndedAttempt) {
        match end.outcome {
            Outcome::Ok => {
                let run_time = self.state.record_success(end, ended, &self.settings);
                self.state.learn_slowness(end.worker, (run_time / ended.work).min(MAX_SLOWNESS));
            }
            // A rejection is more recent than any load report: the worker gets no work for a window, but
            // has not failed.
            Outcome::Rejected | Outcome::ReturnedByCallback => self.eject_for(end.worker, self.window()),
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                self.state.learn_slowness(end.worker, MAX_SLOWNESS);
                self.record_failure(end.worker);
                // A network partition shows as failed connections to the workers of another zone.
                if end.outcome == Outcome::ConnectFailed {
                    self.state.record_zone_failure(end.worker, self.window(), MAX_FAILURES.grouped);
                }
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    /// Stores a load report as a sample with a time stamp. In a group, a report of more errors than the
    /// worker can have served jobs counts as a failure.
    pub fn record_report(&mut self, id: WorkerId, report: &LoadReport) {
        let report = report.clean();
        let sample = LoadSample::new(self.now(), &report);
        let slots = self.state.worker(id).listed().map_or(1.0, |listed| self.estimates().slots(listed.kind));
        let max_served = sample.cpu * slots / self.estimates().mean_work() * MICROS_PER_SECOND as f64;
        if self.is_grouped() && report.err_rps.is_some_and(|errors| errors > max_served.max(MAX_ERROR_RATE)) {
            return self.record_failure(id);
        }
        self.state.record_load(id, sample);
    }
}
