//! Turns: intervals of time in which certain places may spend a worker's budget, each place a certain number of units.

use super::BudgetKind;
use crate::{Micros, WorkerTag, mix};
use mothproxy_invariant::invariant;

/// The maximum number of turns in a window; there are fewer if the budget is too small.
const MAX_TURNS: u64 = 4;
/// The number of owners that share a turn of a worker that warms up, if its budget suffices. The kinds of turns alternate:
/// some have few owners, so that large jobs fit too.
const OWNERS_BY_TURN_KIND: [u64; 4] = [8, 2, 4, 1];

/// A span of time with a constant budget; its turns count from its start.
pub(super) struct Phase {
    /// The start of the phase, in microseconds of Unix time.
    pub start: Micros,
    /// The time since the start of the phase, in microseconds.
    pub elapsed: Micros,
    /// The units in a window of this phase.
    pub budget: u64,
}

/// One turn of a budget.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    /// The start of the phase that the turn belongs to plus the lengths of the turns before it, in microseconds of Unix time.
    pub start: Micros,
    /// The length of the turn, in microseconds.
    pub length: Micros,
    /// The number of turns of the phase before this one.
    pub index: u64,
    /// The number of places that own the turn.
    pub owners: u64,
    /// The units that each owner may spend.
    pub units: u64,
    /// The number of alternating kinds of turns, each with its own rotation of owners.
    pub kinds: u64,
}

impl Turn {
    /// The current turn of a budget. `window` is the overload window as measured by clocks that differ, in microseconds.
    pub fn new(kind: BudgetKind, phase: &Phase, window: Micros, places: u16) -> Turn {
        let budget = phase.budget;
        let turns = (1..=MAX_TURNS).rev().find(|turns| budget / (turns + 2) > 0).unwrap_or(1);
        let turn_budget = (budget / (turns + 2)).max(1);
        let length = window.div_ceil(turns);
        invariant!(
            turn_budget * (turns + 2) <= budget,
            "{} turns of {turn_budget} units exceed the budget of {budget} units",
            turns + 2
        );
        let places = u64::from(places);
        let index = phase.elapsed / length;
        let (kinds, min_units) = if kind == BudgetKind::WarmingUp {
            let kinds = OWNERS_BY_TURN_KIND.len() as u64;
            (kinds, turn_budget / OWNERS_BY_TURN_KIND[(index % kinds) as usize])
        } else {
            (1, 1)
        };
        // With fewer places than units, each place has a share of every turn; otherwise the places take turns.
        let units = (turn_budget / places).max(min_units).max(1);
        let owners = (turn_budget / units).clamp(1, places);
        Turn { start: phase.start + index * length, length, index, owners, units, kinds }
    }

    /// Whether this place owns the turn. The owners of a turn are consecutive places, and those of the next turn follow them.
    /// The worker's tag determines the first place.
    pub fn is_owned_by(&self, place: u16, places: u16, tag: WorkerTag) -> bool {
        let places = u64::from(places);
        let kind = self.index % self.kinds;
        let index_of_kind = self.index / self.kinds;
        let rotation = index_of_kind % places * (self.owners % places);
        let first = (mix(tag ^ kind << 56) % places + rotation) % places;
        (u64::from(place) + places - first) % places < self.owners
    }

    /// The Unix time of the next turn that this place owns, assuming that the phase does not end before.
    pub fn next_owned_by(&self, place: u16, places: u16, tag: WorkerTag) -> Micros {
        let round = u64::from(places).div_ceil(self.owners).max(1) * self.kinds;
        // Only turns of the same kind: the other kinds have other owners.
        let is_owned = |ahead: &u64| {
            let next = Turn { index: self.index + ahead, ..*self };
            ahead % self.kinds == 0 && next.is_owned_by(place, places, tag)
        };
        let ahead = (1..=round + self.kinds).find(is_owned).unwrap_or(1);
        self.start + self.length * ahead
    }
}
