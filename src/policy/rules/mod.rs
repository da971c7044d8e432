//! Every decision of the dispatcher; `src/policy/state` has what it remembers.
//!
//! Load reports become stamped samples, and a job goes to the worker with the best fresh fuzzy capability,
//! then to one of unknown load, then, where all are full, to the one that responds soonest.

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

/// The paper's freshness window, its ratio to the report interval, and how many times it may grow.
const PAPER_WINDOW: f64 = 150_000.0;
const WINDOW_PER_INTERVAL: f64 = 1.5;
pub const FIRST_REPORT_INTERVAL: f64 = PAPER_WINDOW / WINDOW_PER_INTERVAL;
const MAX_WINDOWS: f64 = 10.0;
/// An event is overdue after this many times the usual wait for it.
const OVERDUE: f64 = 2.0;
/// An attempt that a worker has not started after this long shows a queue there, however usual queues are.
const QUEUE_EVIDENT_AFTER: Micros = 20_000;
/// The first wait for a list is up to this part of the longest interval.
const FIRST_LIST_DELAY_DIVISOR: u64 = 8;

impl Policy {
    /// Opens a watch after a random wait, longer after each failure, so that dispatchers spread their calls.
    pub fn schedule_watch(&mut self, actions: &mut Vec<Action>) {
        if let Some(interval) = self.settings.max_poll_interval.filter(|_| self.settings.list_on_request) {
            let max_wait = (interval / FIRST_LIST_DELAY_DIVISOR) << self.state.list_wait_doublings();
            actions.push(Action::SetTimer(Timer::OpenWatch.into(), self.random.u64(0..=max_wait)));
        }
    }

    /// A job has arrived: it is placed, unless its class is unknown.
    pub fn on_arrived(&mut self, request: NewJob, actions: &mut Vec<Action>) {
        if usize::from(request.class.0) >= self.settings.classes.len() {
            return actions.push(Action::Reject { job: request.job, retry_after: self.retry_after() });
        }
        self.state.add_job(request, self.now(), &self.settings, actions);
        self.review_queued(actions); // what is queued here already goes first
        self.review(request.job, actions);
    }

    /// A dispatcher of another group, whose own workers are full, gets a slot at the least used of this
    /// group's workers that has one to offer, in its zone if there is one.
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

    /// A slot at this worker, if one is free and neither a failure nor its warm-up forbids to offer it.
    fn offerable_slot(&self, id: WorkerId) -> Option<OfferableSlot> {
        let worker = self.state.worker(id);
        let listed = worker.listed()?;
        let inputs = self.load_inputs(worker, listed)?;
        let is_trusted = !self.state.is_suspect(worker) && !self.state.is_ejected(worker);
        let has_budget = || self.is_warm(listed) || self.fits_warm_up_budget(worker, listed, 0.0);
        let may_offer = inputs.has_free_slot() && is_trusted && has_budget();
        may_offer.then_some(OfferableSlot { listed: *listed, cpu: inputs.cpu })
    }

    /// How old a load sample may be, and the unit of ejections: it follows the report interval.
    pub fn window(&self) -> Micros {
        let window = self.estimates().report_interval() * WINDOW_PER_INTERVAL;
        window.clamp(PAPER_WINDOW, PAPER_WINDOW * MAX_WINDOWS) as Micros
    }

    /// Response time for each unit of expected work: none is expected sooner than its work takes.
    fn slowness(&self) -> f64 {
        self.estimates().slowness().max(1.0)
    }

    /// How long a worker may take to show that it runs a job before that is overdue.
    fn start_timeout(&self, work: f64) -> Micros {
        let response = OVERDUE * work * self.slowness();
        let shown = self.settings.progress.map_or(response, |span| response.min(OVERDUE * span as f64));
        let started = OVERDUE * self.estimates().start_delay();
        let timeout = if self.settings.reports_start { started } else { shown };
        timeout as Micros + self.settings.tick
    }
}
