//! How late this process itself runs. A time limit is extended by it, so that a busy machine is not taken for a fault.

use super::Micros;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The interval at which the lag is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(2);
/// The resolution of the runtime's timers.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);
/// How long a measurement counts.
const WINDOW: Duration = Duration::from_millis(500);

/// The lag of this process's threads over the last half second.
#[derive(Debug, Default)]
pub(super) struct LagMeter {
    recent: Mutex<VecDeque<(Instant, Duration)>>,
    is_stopped: AtomicBool,
}

impl LagMeter {
    /// Measures until [`LagMeter::stop`] is called.
    pub(super) fn measure(&self) {
        while !self.is_stopped.load(Ordering::Relaxed) {
            let before = Instant::now();
            std::thread::sleep(MEASURE_INTERVAL);
            self.record(before.elapsed().saturating_sub(MEASURE_INTERVAL));
        }
    }

    /// Measures the lag of the runtime's tasks until the run ends.
    pub(super) async fn measure_tasks(&self) {
        while !self.is_stopped.load(Ordering::Relaxed) {
            let before = Instant::now();
            tokio::time::sleep(MEASURE_INTERVAL).await;
            self.record(before.elapsed().saturating_sub(MEASURE_INTERVAL + TIMER_RESOLUTION));
        }
    }

    fn record(&self, lag: Duration) {
        let mut recent = self.recent.lock().expect("mutex poisoned");
        recent.push_back((Instant::now(), lag));
        while recent.front().is_some_and(|(at, _)| at.elapsed() > WINDOW) {
            recent.pop_front();
        }
    }

    /// Ends the measurement.
    pub(super) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// The longest lag of the last half second, in microseconds.
    pub(super) fn recent(&self) -> Micros {
        let recent = self.recent.lock().expect("mutex poisoned");
        recent.iter().map(|(_, lag)| lag.as_micros() as Micros).max().unwrap_or(0)
    }
}
