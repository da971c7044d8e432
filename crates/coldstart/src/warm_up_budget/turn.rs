//! Turns: which places own which stretch of time of a worker's budget, and how many units of it.

use super::BudgetKind;
use crate::{Micros, WorkerTag, mix};
use mothproxy_invariant::invariant;

/// The most turns in a window; there are fewer where the budget is too small for as many.
const MAX_TURNS: u64 = 4;
/// A turn of a worker that warms up is shared by so many owners, where its budget has room for it; by few in some turns, so
/// that large jobs have their turns too.
const OWNERS_BY_TURN_KIND: [u64; 4] = [8, 2, 4, 1];

/// Where the turns of a budget count from, and what a window of them holds.
pub(super) struct Phase {
    /// Unix time.
    pub start: Micros,
    /// Since its start.
    pub elapsed: Micros,
    pub budget: u64,
}

/// The turn that the present time is in.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    /// By Unix time.
    pub start: Micros,
    pub length: Micros,
    pub index: u64,
    /// How many places own it.
    pub owners: u64,
    /// Units for each owner.
    pub units: u64,
    /// How many kinds of turns alternate, each with a rotation of its own.
    pub kinds: u64,
}

impl Turn {
    /// The present turn of a budget, where a window to a member with a wrong clock is as long as `window` and there are so many
    /// places.
    pub fn new(kind: BudgetKind, phase: &Phase, window: Micros, places: u16) -> Turn {
        let budget = phase.budget;
        let turns = (1..=MAX_TURNS).rev().find(|turns| budget / (turns + 2) > 0).unwrap_or(1);
        let turn_budget = (budget / (turns + 2)).max(1);
        let length = window.div_ceil(turns);
        invariant!(turn_budget * (turns + 2) <= budget, "turns hold more than the budget");
        let places = u64::from(places);
        let index = phase.elapsed / length;
        let (kinds, min_units) = if kind == BudgetKind::WarmingUp {
            let kinds = OWNERS_BY_TURN_KIND.len() as u64;
            (kinds, turn_budget / OWNERS_BY_TURN_KIND[(index % kinds) as usize])
        } else {
            (1, 1)
        };
        // With fewer places than units each place has its part of every turn; otherwise turns go round.
        let units = (turn_budget / places).max(min_units).max(1);
        let owners = (turn_budget / units).clamp(1, places);
        Turn { start: phase.start + index * length, length, index, owners, units, kinds }
    }

    /// Whether the turn is this place's: the owners of one turn are consecutive places, those of the next the ones after
    /// them. The worker's tag decides where they begin.
    pub fn is_owned_by(&self, place: u16, places: u16, tag: WorkerTag) -> bool {
        let places = u64::from(places);
        let (kind, nth) = (self.index % self.kinds, self.index / self.kinds);
        let first = (mix(tag ^ kind << 56) % places + nth % places * (self.owners % places)) % places;
        (u64::from(place) + places - first) % places < self.owners
    }

    /// The Unix time of the next turn that this place owns, as if this phase went on.
    pub fn next_owned_by(&self, place: u16, places: u16, tag: WorkerTag) -> Micros {
        let round = u64::from(places).div_ceil(self.owners).max(1) * self.kinds;
        // Those of the same kind: the other kinds have other owners.
        let is_owned = |ahead: &u64| {
            let next = Turn { index: self.index + ahead, ..*self };
            ahead % self.kinds == 0 && next.is_owned_by(place, places, tag)
        };
        let ahead = (1..=round + self.kinds).find(is_owned).unwrap_or(1);
        self.start + self.length * ahead
    }
}
