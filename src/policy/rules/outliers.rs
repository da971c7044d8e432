//! Outlier detection: workers and zones that fail are ejected for a while.

use super::*;

/// A failure counts as a response so many times slower than expected.
const MAX_SLOWNESS: f64 = 8.0;
/// An ejection doubles with each failure in a row, up to this many doublings of the window (in a group).
/// Alone a node learns that a worker is well again only from a job that it risks there.
const MAX_FAILURES: [u32; 2] = [3, 6];
/// A worker that reports more errors a second than this, and more than it can have served, is failing.
const MAX_ERROR_RATE: f64 = 1.0;

impl Policy {
    /// One more failure of a worker: its load sample is dropped and it is ejected, twice as long each time.
    pub(super) fn record_failure(&mut self, id: WorkerId) {
        self.state.record_failure(id, self.window(), MAX_FAILURES[usize::from(self.is_grouped())]);
    }

    /// A probe's failure says nothing of a worker that was seen since: it was busy, and the probe waited.
    pub fn record_probe_failure(&mut self, response: &ProbeResponse, last_seen: Micros) {
        if self.is_grouped() || last_seen + response.elapsed <= self.state.now {
            self.record_failure(response.worker);
        }
    }

    /// A worker that starts an attempt is available again, but one at which it had to queue is full: the next
    /// attempt would wait as long again.
    pub fn record_start(&mut self, started: &StartedAttempt) {
        let (now, window, is_grouped) = (self.state.now, self.window(), self.is_grouped());
        let queue_wait = if started.waited > QUEUE_EVIDENT_AFTER { started.waited.min(window) } else { 0 };
        let outlier = &mut self.state.worker_mut(started.worker).outlier;
        outlier.ejected_until = now + queue_wait;
        if !is_grouped {
            outlier.consecutive_failures = 0; // in a group it may fail all that it starts
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
            Outcome::Full | Outcome::HandedBack => {
                self.state.worker_mut(end.worker).outlier.ejected_until = self.state.now + self.window();
            }
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                self.state.learn_slowness(end.worker, MAX_SLOWNESS);
                self.record_failure(end.worker);
                // A cut shows as connections that fail to workers of another zone.
                if end.outcome == Outcome::ConnectFailed {
                    self.state.record_zone_failure(end.worker, self.window(), MAX_FAILURES[1]);
                }
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    /// Stores a report as a stamped sample. More errors than the worker can have served are a failure.
    pub fn record_report(&mut self, id: WorkerId, report: &LoadReport) {
        let report = report.clean();
        let sample = LoadSample::new(self.state.now, &report);
        let slots = self.state.worker(id).listed.map_or(1.0, |listed| self.estimates().slots(listed.kind));
        let max_errors = (sample.cpu * slots / self.estimates().mean_work() * 1e6).max(MAX_ERROR_RATE);
        if self.is_grouped() && report.err_rps.is_some_and(|errors| errors > max_errors) {
            return self.record_failure(id);
        }
        self.state.record_load(id, sample);
    }
}
