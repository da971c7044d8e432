//! Serving begins on a list of before: its workers are tried few at a time until somebody has seen them alive.

use crate::findings::Finding;
use std::collections::HashMap;

/// Tries of unconfirmed workers under way at once, at most, to begin with.
const FIRST_TRIES: usize = 4;
/// Each failure allows one more at once, up to this: a list that names only dead workers is gone through quickly.
const MOST_TRIES: usize = 32;
/// A worker of which trouble is found is left alone for this long, in microseconds, and by the last of the places for twice as
/// long: one that looks again tells the others.
const LEAVE: u64 = 5_000_000;

/// What is known of one worker since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Untried,
    Trying,
    /// It failed here then.
    Failed(u64),
}

/// Which workers of the list at the start may be used how.
#[derive(Debug)]
pub struct Confirm {
    open: HashMap<u64, State>,
    trying: usize,
    most: usize,
    leave: u64,
}

/// How a worker may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// As any other.
    Free,
    /// With one job, which counts as a try: say [`Confirm::tried`] when it goes out.
    Try,
    /// Not now.
    No,
}

impl Confirm {
    /// These workers stand on the list at the start; nobody has seen them yet.
    pub fn new(tags: impl IntoIterator<Item = u64>, place: u16, count: u16) -> Confirm {
        let leave = LEAVE + LEAVE * u64::from(place) / u64::from(count.max(1));
        let open = tags.into_iter().map(|tag| (tag, State::Untried)).collect();
        Confirm { open, trying: 0, most: FIRST_TRIES, leave }
    }

    /// How this worker may be used now, with what the members found of it. A finding never makes a worker free that is on
    /// no list, and never counts as told by the service.
    pub fn usable(&self, tag: u64, finding: Option<&Finding>, now: u64) -> Use {
        let troubled = finding.and_then(|f| f.trouble).is_some_and(|(_, age)| age < self.leave);
        match self.open.get(&tag) {
            _ if troubled => Use::No,
            None => Use::Free,
            Some(_) if finding.is_some_and(|f| f.alive.is_some()) => Use::Free,
            Some(State::Trying) => Use::No,
            Some(State::Failed(at)) if now < at + self.leave => Use::No,
            Some(_) if self.trying < self.most => Use::Try,
            Some(_) => Use::No,
        }
    }

    /// A try of this worker begins.
    pub fn tried(&mut self, tag: u64) {
        if let Some(state) = self.open.get_mut(&tag).filter(|s| **s != State::Trying) {
            *state = State::Trying;
            self.trying += 1;
        }
        crate::invariant!(self.trying <= MOST_TRIES, "more tries at once than may be");
    }

    /// A try, or any other use, ended: the worker lives or does not.
    pub fn ended(&mut self, tag: u64, alive: bool, now: u64) {
        let Some(state) = self.open.get_mut(&tag) else { return };
        let tried = *state == State::Trying;
        self.trying -= usize::from(tried);
        if alive {
            self.open.remove(&tag);
        } else {
            *state = State::Failed(now);
            self.most = (self.most + usize::from(tried)).min(MOST_TRIES);
        }
    }

    /// The service's own list names it: it needs no try.
    pub fn listed(&mut self, tag: u64) {
        if self.open.remove(&tag) == Some(State::Trying) {
            self.trying -= 1;
        }
    }

    /// Tries under way.
    pub fn trying(&self) -> usize {
        self.trying
    }

    /// Workers that nobody here has confirmed yet.
    pub fn unconfirmed(&self) -> usize {
        self.open.len()
    }
}
