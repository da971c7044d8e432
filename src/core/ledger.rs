//! The ledger: each request that is accepted has exactly one completion.

use crate::policy::interface::ClassId;
use mothproxy_invariant::invariant;
use std::collections::BTreeMap;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// With a worker's result.
    Served,
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
    /// Its client disconnected before any response.
    ClientDisconnected,
}

/// The counts of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    accepted: u64,
    served: u64,
    rejected: u64,
    failed: u64,
    disconnected: u64,
    transferred: u64,
}

impl Ledger {
    /// Counts a request that was accepted, from a client or from another process of this dispatcher.
    pub(super) fn record_accepted(&mut self) {
        self.accepted += 1;
    }

    /// Counts an open request that was transferred.
    pub(super) fn record_transferred(&mut self) {
        self.transferred += 1;
    }

    /// Counts the end of a request.
    pub(super) fn record(&mut self, completion: Completion) {
        let count = match completion {
            Completion::Served => &mut self.served,
            Completion::Rejected => &mut self.rejected,
            Completion::Failed => &mut self.failed,
            Completion::ClientDisconnected => &mut self.disconnected,
        };
        *count += 1;
        invariant!(
            self.ended() + self.transferred <= self.accepted,
            "more final responses than requests: {self:?}"
        );
    }

    /// Requests accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Requests that ended with a worker's result.
    pub fn served(&self) -> u64 {
        self.served
    }

    /// Requests that were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Requests that failed, also those that timed out.
    pub fn failed(&self) -> u64 {
        self.failed
    }

    /// Requests whose clients disconnected before a response.
    pub fn disconnected(&self) -> u64 {
        self.disconnected
    }

    /// Requests transferred to another process of this dispatcher, which now owes the response.
    pub fn transferred(&self) -> u64 {
        self.transferred
    }

    /// Requests that have ended here.
    pub fn ended(&self) -> u64 {
        self.served + self.rejected + self.failed + self.disconnected
    }

    /// Requests that are owed a response.
    pub fn open(&self) -> u64 {
        self.accepted.saturating_sub(self.ended() + self.transferred)
    }
}

/// How the requests of one class ended. Requests whose clients disconnected are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Served.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
}

impl Tally {
    fn record(&mut self, completion: Completion) {
        match completion {
            Completion::Served => self.served += 1,
            Completion::Rejected => self.rejected += 1,
            Completion::Failed => self.failed += 1,
            Completion::ClientDisconnected => {}
        }
    }

    fn add(&mut self, other: Tally) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }
}

/// The tallies of all classes, by id.
#[derive(Debug, Default)]
pub struct ClassTallies(Vec<Tally>);

impl ClassTallies {
    /// Counts the end of a request of this class.
    pub(super) fn record(&mut self, class: ClassId, completion: Completion) {
        let class = usize::from(class.0);
        if self.0.len() <= class {
            self.0.resize(class + 1, Tally::default());
        }
        self.0[class].record(completion);
    }

    /// The tallies by class name. `names` has the name of each id; the tallies of ids with the same name are added up.
    pub fn by_name<'a>(&self, names: &'a [String]) -> BTreeMap<&'a str, Tally> {
        let mut by_name: BTreeMap<&str, Tally> = BTreeMap::new();
        for (number, name) in names.iter().enumerate() {
            let tally = self.0.get(number).copied().unwrap_or_default();
            by_name.entry(name).or_default().add(tally);
        }
        by_name
    }
}
