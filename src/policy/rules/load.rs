//! How loaded a worker is, and how much one that is warming up may get.

use super::*;

/// The part of the warm-up budget that all dispatchers plan to use: a window may touch two lives of each.
const WARM_UP_SAFETY: f64 = 0.5;

impl Policy {
    /// The worker's load, if it is known. For one of the group's own: what the group has outstanding there.
    /// Else: its fresh sample, with the own attempts that it cannot show yet, or every dispatcher would keep
    /// sending to one top score until it moves.
    pub(super) fn load_inputs(&self, worker: &Worker, listed: &EndpointEntry) -> Option<LoadInputs> {
        if self.gossip().has_offer(listed.worker, self.now()) {
            return Some(LoadInputs::half_loaded(1.0));
        }
        let slots = self.estimates().slots(listed.kind).max(1.0);
        let capacity = self.planned_capacity(listed, slots);
        let advertised = LoadInputs::from_group(&self.state, worker, listed, capacity);
        // A peer that is silent may still send there: then a report is needed as well.
        if advertised.is_some() && !self.gossip().has_silent_peer(self.now()) {
            return advertised;
        }
        let window = self.window();
        let sample = self.state.fresh_load(listed.worker, window)?;
        let sampled = LoadInputs::from_sample(sample, worker, window, slots);
        Some(advertised.map_or(sampled, |advertised| advertised.worst(sampled)))
    }

    /// The slots that the dispatchers of a group plan to use at a worker, 1 at least.
    fn planned_capacity(&self, listed: &EndpointEntry, slots: f64) -> f64 {
        let warm_up_time = self.settings.warm_up_time;
        let age = listed.started_at.map_or(warm_up_time, |start| self.now().saturating_sub(start));
        let is_warm = age >= warm_up_time;
        let multiple = if is_warm { 1.0 } else { self.settings.collapse_multiple * WARM_UP_SAFETY };
        (slots * (multiple * self.warm_fraction(age)).min(1.0)).max(1.0)
    }

    /// The fraction of its capacity that a worker has at least, this long after its start.
    fn warm_fraction(&self, age: Micros) -> f64 {
        let initial = self.settings.initial_capacity;
        initial + (1.0 - initial) * (age as f64 / self.settings.warm_up_time as f64).min(1.0)
    }

    /// Whether a worker is warm, or may get this job too while it warms up. In a group each of its
    /// dispatchers has one job at most there, and all together what it can run.
    pub(super) fn is_warm_enough(&self, worker: &Worker, listed: &EndpointEntry, work: f64) -> bool {
        if self.is_warm(listed) || self.gossip().is_offered_by_slow_start_group(listed, self.now()) {
            return true;
        }
        let has_free_slot = || self.load_inputs(worker, listed).is_some_and(|inputs| inputs.has_free_slot());
        let is_free = !self.is_grouped() || worker.is_idle() && has_free_slot();
        is_free && self.fits_warm_up_budget(worker, listed, work)
    }

    /// Slow start: all dispatchers keep within the fleet's budget. What they plan of it in any stretch of the
    /// collapse window is assigned attempt by attempt, by ranks that no message changes; the first rank may
    /// send one job in any case. Where peers have advertised lately, their work there is known, and only what
    /// several send at once has to fit.
    pub(super) fn fits_warm_up_budget(&self, worker: &Worker, listed: &EndpointEntry, work: f64) -> bool {
        let Some(place) = self.gossip().slow_start_rank(listed.tag) else { return false };
        let now = self.now();
        let window = self.settings.collapse_window;
        let knows_peer_work = self.gossip().has_recent_advertisements(now, window);
        let sent = if knows_peer_work { 0.0 } else { worker.work_sent_since(now.saturating_sub(window)) };
        let safety = if knows_peer_work { 1.0 } else { WARM_UP_SAFETY };
        let age = now.saturating_sub(listed.started_at.unwrap_or(0));
        let multiple = self.warm_fraction(age.saturating_sub(window)) * self.settings.collapse_multiple;
        let slowness = self.estimates().worker_slowness(worker, listed).max(1.0);
        let budget = multiple * window as f64 * self.estimates().slots(listed.kind) / slowness;
        let attempt_work = work.max(self.estimates().mean_attempt_work());
        let planned = f64::from(place.candidate_count) * sent + f64::from(place.rank + 1) * attempt_work;
        place.rank == 0 && sent == 0.0 || planned <= budget * safety
    }
}
