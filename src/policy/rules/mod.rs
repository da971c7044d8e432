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

use crate::policy::context::Policy;
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
    /// Opens a watch after a random wait, longer after each failure, so that nodes do not call all at once.
    pub fn schedule_watch(&mut self, actions: &mut Vec<Action>) {
        if let Some(interval) = self.settings.ask_within.filter(|_| self.settings.list_on_request) {
            let span = (interval / FIRST_LIST_DELAY_DIVISOR) << self.state.list_failures;
            actions.push(Action::SetTimer(Timer::OpenWatch.into(), self.random.u64(0..=span)));
        }
    }

    pub fn on_arrived(&mut self, request: NewJob, actions: &mut Vec<Action>) {
        if usize::from(request.class.0) >= self.settings.classes.len() {
            return actions.push(Action::Reject { job: request.job, retry_after: self.retry_after() });
        }
        self.state.open_job(request, self.state.now, &self.settings, actions);
        self.review_queued(actions); // what is queued here already goes first
        self.review(request.job, actions);
    }

    /// A node of another group, whose own workers are full, gets a slot at the least used of this group's
    /// workers that is not ejected and has one free, in its zone if there is one.
    pub fn on_slot_request(&mut self, from: u32, zone: ZoneId, actions: &mut Vec<Action>) {
        let free_worker = |id: WorkerId| {
            let (worker, listed) = (self.state.worker(id), self.state.worker(id).listed?);
            let inputs = self.load_inputs(worker, &listed)?;
            let is_free = inputs.free_slots >= 1.0
                && !self.state.is_suspect(worker)
                && !self.state.is_ejected(worker)
                && (self.is_warm(&listed) || self.fits_warm_up_budget(worker, &listed, 0.0));
            is_free.then_some((listed, inputs.cpu))
        };
        let free_workers = self.state.gossip.workers().filter_map(free_worker);
        let best = free_workers.min_by(|(listed, cpu), (other, other_cpu)| {
            (listed.zone != zone).cmp(&(other.zone != zone)).then(cpu.total_cmp(other_cpu))
        });
        if let Some((listed, _)) = best {
            self.state.record_work(listed.worker, 0.0, self.settings.collapse_window);
            self.state.gossip.offer_slot(self.state.now, from, &listed, actions);
        }
    }

    /// How old a load sample may be, and the unit of ejections: it follows the report interval.
    pub fn window(&self) -> Micros {
        let window = self.estimates().report_interval * WINDOW_PER_INTERVAL;
        window.clamp(PAPER_WINDOW, PAPER_WINDOW * MAX_WINDOWS) as Micros
    }

    /// How long a worker may take to show that it runs a job before that is overdue.
    fn start_timeout(&self, work: f64) -> Micros {
        let response = OVERDUE * work * self.estimates().slowness.value.max(1.0);
        let shown =
            self.settings.progress.map_or(response, |interval| response.min(OVERDUE * interval as f64));
        let usual = if self.settings.reports_start { OVERDUE * self.estimates().start_delay } else { shown };
        usual as Micros + self.settings.tick
    }
}
