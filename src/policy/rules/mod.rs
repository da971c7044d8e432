//! All decisions of the dispatcher. They are based on the records in `src/policy/state`.
//!
//! Load reports become samples with a time stamp. A job goes to the worker with the best fuzzy capability
//! among those with a fresh sample, otherwise to a worker of unknown load, and if all workers are full, to
//! the one expected to respond first.

mod fuzzy;
mod jobs;
mod load;
mod outliers;
mod placement;
mod review;

pub use fuzzy::capability;

use crate::policy::context::{ByGrouping, Policy};
use crate::policy::interface::*;
use crate::policy::ranking::*;
use crate::policy::state::*;
use crate::policy::timer::Timer;

/// The shortest freshness window of load samples, in microseconds: the one that Mileff and Nehéz use for
/// their fuzzy load balancer.
const MIN_WINDOW: f64 = 150_000.0;
/// The freshness window, in report intervals.
const WINDOW_PER_INTERVAL: f64 = 1.5;
/// The first estimate of the time between load reports, in microseconds.
pub const FIRST_REPORT_INTERVAL: f64 = MIN_WINDOW / WINDOW_PER_INTERVAL;
/// The longest freshness window, in multiples of the shortest one.
const MAX_WINDOW_MULTIPLE: f64 = 10.0;
/// An event is overdue after this multiple of the usual wait for it.
const OVERDUE_FACTOR: f64 = 2.0;
/// A worker that has not started an attempt after this time, in microseconds, has a queue. The limit does
/// not follow the usual wait, because that grows with the queues.
const QUEUE_DETECTION_DELAY: Micros = 20_000;
/// The longest delay of the first call for a list is the longest poll interval divided by this.
const FIRST_LIST_DELAY_DIVISOR: u64 = 8;

impl Policy {
    /// Schedules the opening of a watch if lists are sent only on request. The delay is random, up to a
    /// limit that doubles with consecutive failures, so that the calls of the dispatchers are spread.
    pub fn schedule_watch(&mut self, actions: &mut Vec<Action>) {
        if let Some(interval) = self.settings.max_poll_interval.filter(|_| self.settings.list_on_request) {
            let max_wait = (interval / FIRST_LIST_DELAY_DIVISOR) << self.state.list_wait_doublings();
            actions.push(Action::SetTimer(Timer::OpenWatch.into(), self.random.u64(0..=max_wait)));
        }
    }

    /// Handles the arrival of a job. A job of an unknown class is rejected, any other job is placed.
    pub fn on_arrived(&mut self, request: NewJob, actions: &mut Vec<Action>) {
        if usize::from(request.class.0) >= self.settings.classes.len() {
            return actions.push(Action::Reject { job: request.job, retry_after: self.retry_after() });
        }
        self.state.add_job(request, self.now(), &self.settings, actions);
        self.review_queued(actions); // Jobs that are already queued go first.
        self.review(request.job, actions);
    }

    /// Handles a slot request of a dispatcher of another group, whose own workers are full. Offers a slot
    /// at the worker of this group with the lowest CPU utilisation, in the requested zone if possible.
    pub fn on_slot_request(&mut self, from: u32, zone: ZoneId, actions: &mut Vec<Action>) {
        let slots = self.gossip().workers().filter_map(|id| self.offerable_slot(id));
        let best = slots.min_by(|slot, other| {
            let by_zone = (slot.listed.zone != zone).cmp(&(other.listed.zone != zone));
            by_zone.then(slot.cpu.total_cmp(&other.cpu))
        });
        if let Some(slot) = best {
            self.state.offer_slot(from, &slot.listed, self.settings.collapse_window, actions);
        }
    }

    /// A slot at this worker that may be offered; `None` if no slot is free, the worker is suspect or
    /// ejected, or its warm-up budget is used up.
    fn offerable_slot(&self, id: WorkerId) -> Option<OfferableSlot> {
        let worker = self.state.worker(id);
        let listed = worker.listed()?;
        let inputs = self.load_inputs(worker, listed)?;
        let is_trusted = !self.state.is_suspect(worker) && !self.state.is_ejected(worker);
        let has_budget = || self.is_warm(listed) || self.fits_warm_up_budget(worker, listed, 0.0);
        let may_offer = inputs.has_free_slot() && is_trusted && has_budget();
        may_offer.then_some(OfferableSlot { listed: *listed, cpu: inputs.cpu })
    }

    /// The freshness window: how old a load sample may be. It follows the report interval, and is also the
    /// unit of ejection times.
    pub fn window(&self) -> Micros {
        let window = self.estimates().report_interval() * WINDOW_PER_INTERVAL;
        window.clamp(MIN_WINDOW, MIN_WINDOW * MAX_WINDOW_MULTIPLE) as Micros
    }

    /// The mean response time divided by the expected work; at least 1, because no response is expected
    /// before its work is done.
    fn slowness(&self) -> f64 {
        self.estimates().slowness().max(1.0)
    }

    /// The time after which the start of a job with this much work is overdue: until then, its worker
    /// should have reported the start, or its progress or response if starts are not reported.
    fn start_timeout(&self, work: f64) -> Micros {
        let response_timeout = OVERDUE_FACTOR * work * self.slowness();
        let progress_timeout = self
            .settings
            .progress_interval
            .map_or(response_timeout, |span| response_timeout.min(OVERDUE_FACTOR * span as f64));
        let report_timeout = OVERDUE_FACTOR * self.estimates().start_delay();
        let timeout = if self.settings.reports_start { report_timeout } else { progress_timeout };
        timeout as Micros + self.settings.batch_interval
    }
}
