//! The names of requests whose clients left while the request may have run. A request that comes again under such a name could run
//! a second time, and the callbacks of the two could not be distinguished.

use crate::policy::interface::Micros;
use std::collections::{HashSet, VecDeque};

/// How long a name is kept, in microseconds: longer than a worker runs a job that nobody awaits.
const NAME_TTL: Micros = 60_000_000;
/// The maximum number of names; beyond it the oldest are dropped.
const MAX_NAMES: usize = 1_024;

/// The names, the oldest first.
#[derive(Debug, Default)]
pub(super) struct DepartedRequests {
    names: HashSet<String>,
    /// Each name with the time at which it is dropped.
    by_expiry: VecDeque<(Micros, String)>,
}

impl DepartedRequests {
    /// Adds the name of a request whose client has left at `now`.
    pub fn insert(&mut self, now: Micros, name: &str) {
        self.remove_expired(now);
        if self.names.insert(name.to_owned()) {
            self.by_expiry.push_back((now + NAME_TTL, name.to_owned()));
        }
        if self.by_expiry.len() > MAX_NAMES {
            self.remove_oldest();
        }
    }

    /// Whether the client of a request with this name has left recently.
    pub fn contains(&mut self, now: Micros, name: &str) -> bool {
        self.remove_expired(now);
        self.names.contains(name)
    }

    /// All names.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.names.iter()
    }

    fn remove_expired(&mut self, now: Micros) {
        while self.by_expiry.front().is_some_and(|(at, _)| *at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, name)) = self.by_expiry.pop_front() {
            self.names.remove(&name);
        }
    }
}
