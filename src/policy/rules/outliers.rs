//! Outlier detection: workers and zones that fail are ejected for a while.

use super::*;

/// A failure counts as a response so many times slower than expected.
const MAX_SLOWNESS: f64 = 8.0;
/// An ejection doubles with each failure in a row, up to this many doublings of the window; for a zone as in
/// a group. Alone a dispatcher learns that a worker is well again only from a job that it risks there.
const MAX_FAILURES: ByGrouping<u32> = ByGrouping { alone: 3, grouped: 6 };
/// A worker that reports more errors a second than this, and more than it can have served, is failing.
const MAX_ERROR_RATE: f64 = 1.0;

impl Policy {
    /// One more failure of a worker: its load sample is dropped and it is ejected, twice as long each time.
    pub(super) fn record_failure(&mut self, id: WorkerId) {
        self.state.record_failure(id, self.window(), self.by_grouping(&MAX_FAILURES));
    }

    /// A probe's failure says nothing of a worker that was seen since: it was busy, and the probe waited.
    pub fn record_probe_failure(&mut self, response: &ProbeResponse, last_seen: Micros) {
        if self.is_grouped() || last_seen + response.elapsed <= self.now() {
            self.record_failure(response.worker);
        }
    }

    /// A worker that starts an attempt is available again, but one at which it had to queue is full: the next
    /// attempt would wait as long again.
    pub fn record_start(&mut self, started: &StartedAttempt) {
        let has_queued = started.waited > QUEUE_EVIDENT_AFTER;
        let queue_wait = if has_queued { started.waited.min(self.window()) } else { 0 };
        self.eject_for(started.worker, queue_wait);
        if !self.is_grouped() {
            self.state.forgive(started.worker); // in a group it may fail all that it starts
        }
    }

    /// Learns from an attempt's outcome.
    pub fn record_outcome(&mut self, end: &AttemptEnded, ended: &EndedAttempt) {
        match end.outcome {
            Outcome::Ok => {
                let run_time = self.state.record_success(end, ended, &self.settings);
                self.state.learn_slowness(end.worker, (run_time / ended.work).min(MAX_SLOWNESS));
            }
            // A rejection is newer than any report: no more work for a window, but it is no failure.
            Outcome::Full | Outcome::HandedBack => self.eject_for(end.worker, self.window()),
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                self.state.learn_slowness(end.worker, MAX_SLOWNESS);
                self.record_failure(end.worker);
                // A cut shows as connections that fail to workers of another zone.
                if end.outcome == Outcome::ConnectFailed {
                    self.state.record_zone_failure(end.worker, self.window(), MAX_FAILURES.grouped);
                }
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    /// Stores a report as a stamped sample. More errors than the worker can have served are a failure.
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
