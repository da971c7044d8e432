//! The load of workers, and the limits of the work that a worker gets while it is warming up (slow start).

use super::*;

/// The fraction of the warm-up budget that the dispatchers plan to use together. The rest is reserved
/// because a dispatcher may restart within a collapse window, and its new process does not know what the
/// old one has sent.
const WARM_UP_SAFETY: f64 = 0.5;

impl Policy {
    /// The worker's load, if it is known. For a worker of this dispatcher's group, it is what the group has
    /// outstanding there. For other workers, it is the fresh load sample, increased by this dispatcher's
    /// attempts that the sample may not include yet. Without that increase, a dispatcher would send all
    /// jobs to the worker with the best score until its next report. A worker at which another group offers
    /// a slot counts as half loaded, with one free slot.
    pub(super) fn load_inputs(&self, worker: &Worker, listed: &EndpointEntry) -> Option<LoadInputs> {
        if self.gossip().has_offer(listed.worker, self.now()) {
            return Some(LoadInputs::half_loaded(1.0));
        }
        let slots = self.estimates().slots(listed.kind).max(1.0);
        let capacity = self.planned_capacity(listed, slots);
        let advertised = LoadInputs::from_group(&self.state, worker, listed, capacity);
        // A silent peer may still send work to the worker, so its load sample is needed as well.
        if advertised.is_some() && !self.gossip().has_silent_peer(self.now()) {
            return advertised;
        }
        let window = self.window();
        let sample = self.state.fresh_load(listed.worker, window)?;
        let sampled = LoadInputs::from_sample(sample, worker, window, slots);
        Some(advertised.map_or(sampled, |advertised| advertised.worst(sampled)))
    }

    /// The number of slots that the dispatchers of a group plan to use at a worker, at least 1.
    fn planned_capacity(&self, listed: &EndpointEntry, slots: f64) -> f64 {
        let warm_up_time = self.settings.warm_up_time;
        let age = listed.started_at.map_or(warm_up_time, |start| self.now().saturating_sub(start));
        let is_warm = age >= warm_up_time;
        let multiple = if is_warm { 1.0 } else { self.settings.collapse_multiple * WARM_UP_SAFETY };
        (slots * (multiple * self.warm_fraction(age)).min(1.0)).max(1.0)
    }

    /// The fraction of its capacity that a worker has at least when it has been running for `age`.
    fn warm_fraction(&self, age: Micros) -> f64 {
        let initial = self.settings.initial_capacity;
        initial + (1.0 - initial) * (age as f64 / self.settings.warm_up_time as f64).min(1.0)
    }

    /// Whether slow start admits a job with this much work to a worker; always `true` for a warm one. In a
    /// group, each dispatcher has at most one job at a worker that is warming up, and all together have no
    /// more than it can run.
    pub(super) fn slow_start_admits(&self, worker: &Worker, listed: &EndpointEntry, work: f64) -> bool {
        if self.is_warm(listed) || self.gossip().is_offered_by_slow_start_group(listed, self.now()) {
            return true;
        }
        let has_free_slot = || self.load_inputs(worker, listed).is_some_and(|inputs| inputs.has_free_slot());
        let is_free = !self.is_grouped() || worker.is_idle() && has_free_slot();
        is_free && self.fits_warm_up_budget(worker, listed, work)
    }

    /// Whether one more attempt with this much work keeps the fleet within the budget of a worker that is
    /// warming up: the work that the worker can bear within a collapse window.
    ///
    /// Each dispatcher assumes that every dispatcher that may send to the worker has sent as much as
    /// itself, and that those ranked before it send one more attempt each. The ranks do not depend on
    /// messages. The dispatcher with rank 0 may send one job within a window regardless of the budget. If
    /// peers have advertised recently, their work at the worker is known, and only the attempts that
    /// several dispatchers send at once must fit.
    pub(super) fn fits_warm_up_budget(&self, worker: &Worker, listed: &EndpointEntry, work: f64) -> bool {
        let Some(slow_start) = self.gossip().slow_start_rank(listed.tag) else { return false };
        let now = self.now();
        let window = self.settings.collapse_window;
        let knows_peer_work = self.gossip().has_recent_advertisements(now, window);
        let sent_work =
            if knows_peer_work { 0.0 } else { worker.work_sent_since(now.saturating_sub(window)) };
        let safety = if knows_peer_work { 1.0 } else { WARM_UP_SAFETY };
        let age = now.saturating_sub(listed.started_at.unwrap_or(0));
        let multiple = self.warm_fraction(age.saturating_sub(window)) * self.settings.collapse_multiple;
        let slowness = self.estimates().worker_slowness(worker, listed).max(1.0);
        let budget = multiple * window as f64 * self.estimates().slots(listed.kind) / slowness;
        let attempt_work = work.max(self.estimates().mean_attempt_work());
        let planned =
            f64::from(slow_start.candidate_count) * sent_work + f64::from(slow_start.rank + 1) * attempt_work;
        slow_start.rank == 0 && sent_work == 0.0 || planned <= budget * safety
    }
}
