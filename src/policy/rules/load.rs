//! How loaded a worker is, and how much one that is warming up may get.

use super::*;

/// The part of the warm-up budget that all nodes plan to use: a window may touch two lives of each.
const WARM_UP_SAFETY: f64 = 0.5;

impl Policy {
    /// The worker's load, if it is known: what the group has outstanding at one of its own; else its fresh
    /// sample, with the own attempts that it cannot show yet, or every node would keep sending to one top
    /// score until it moves.
    pub(super) fn load_inputs(&self, worker: &Worker, listed: &EndpointEntry) -> Option<LoadInputs> {
        if self.state.gossip.has_offer(listed.worker, self.state.now) {
            return Some(LoadInputs::half_loaded(1.0));
        }
        let slots = self.estimates().slots(listed.kind).max(1.0);
        let occupied =
            self.state.unavailable_slots(listed).map(|by_others| by_others + worker.occupied_slots());
        let advertised =
            occupied.map(|occupied| LoadInputs::of_occupied(occupied, self.planned_capacity(listed, slots)));
        // A peer that is silent may still send there: then a report is needed as well.
        if advertised.is_some() && !self.state.gossip.has_silent_peer(self.state.now) {
            return advertised;
        }
        let window = self.window();
        let sample = self.state.fresh_load(listed.worker, window)?;
        let sampled = LoadInputs::of_sample(sample, worker, window, slots);
        Some(advertised.map_or(sampled, |advertised| advertised.worst(sampled)))
    }

    /// The slots that the nodes of a group plan to use at a worker, 1 at least.
    fn planned_capacity(&self, listed: &EndpointEntry, slots: f64) -> f64 {
        let warm_up_time = self.settings.warm_up_time;
        let age = listed.started_at.map_or(warm_up_time, |start| self.state.now.saturating_sub(start));
        let is_warm = age >= warm_up_time;
        let multiple = if is_warm { 1.0 } else { self.settings.collapse_multiple * WARM_UP_SAFETY };
        (slots * (multiple * self.warm_fraction(age)).min(1.0)).max(1.0)
    }

    /// The fraction of its capacity that a worker has at least, this long after its start.
    fn warm_fraction(&self, age: Micros) -> f64 {
        let (initial, warm_up_time) = (self.settings.initial_capacity, self.settings.warm_up_time);
        initial + (1.0 - initial) * (age as f64 / warm_up_time as f64).min(1.0)
    }

    /// Whether a worker is warm, or may get this job too while it warms up. In a group each of its nodes has
    /// one job at most there, and all together what it can run.
    pub(super) fn is_warm_enough(&self, worker: &Worker, listed: &EndpointEntry, work: f64) -> bool {
        if self.is_warm(listed) || self.state.gossip.is_offered_by_slow_start_group(listed, self.state.now) {
            return true;
        }
        let has_free_slot =
            || self.load_inputs(worker, listed).is_some_and(|inputs| inputs.free_slots >= 1.0);
        let is_free = !self.is_grouped() || worker.outstanding.is_empty() && has_free_slot();
        is_free && self.fits_warm_up_budget(worker, listed, work)
    }

    /// Slow start: all nodes keep within the fleet's budget. What they plan of it in any stretch of the
    /// collapse window is assigned attempt by attempt, by ranks that no message changes; where peers are
    /// heard, their work there is known, and only what several send at once has to fit. The first rank has
    /// one job.
    pub(super) fn fits_warm_up_budget(&self, worker: &Worker, listed: &EndpointEntry, work: f64) -> bool {
        let Some(place) = self.state.gossip.slow_start_rank(listed.tag) else { return false };
        let (now, window) = (self.state.now, self.settings.collapse_window);
        let (sent, safety) = if self.state.gossip.hears_peers(now, window) {
            (0.0, 1.0)
        } else {
            (worker.work_sent_since(now.saturating_sub(window)), WARM_UP_SAFETY)
        };
        let age = now.saturating_sub(listed.started_at.unwrap_or(0));
        let multiple = self.warm_fraction(age.saturating_sub(window)) * self.settings.collapse_multiple;
        let slowness = self.estimates().worker_slowness(worker, listed).max(1.0);
        let budget = multiple * window as f64 * self.estimates().slots(listed.kind) / slowness;
        let (nodes, turn) = (f64::from(place.nodes), f64::from(place.rank + 1));
        let planned = nodes * sent + turn * work.max(self.estimates().mean_attempt_work());
        place.rank == 0 && sent == 0.0 || planned <= budget * safety
    }
}
