//! The ledger: counts of accepted requests and of their completions. Each accepted request has exactly one completion, unless it
//! is transferred to another process.

use crate::policy::interface::ClassId;
use mothproxy_invariant::invariant;
use std::collections::BTreeMap;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The client got a worker's result.
    Served,
    /// The request was rejected.
    Rejected,
    /// The request failed or timed out.
    Failed,
    /// The client disconnected before any response.
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

    /// Counts the completion of a request.
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
            "more completed and transferred requests than accepted ones: {self:?}"
        );
    }

    /// The number of requests that were accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// The number of requests that ended with a worker's result.
    pub fn served(&self) -> u64 {
        self.served
    }

    /// The number of requests that were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// The number of requests that failed, including those that timed out.
    pub fn failed(&self) -> u64 {
        self.failed
    }

    /// The number of requests whose clients disconnected before a response.
    pub fn disconnected(&self) -> u64 {
        self.disconnected
    }

    /// The number of requests that were transferred to another process of this dispatcher, which then sends the response.
    pub fn transferred(&self) -> u64 {
        self.transferred
    }

    /// The number of requests that have ended in this process.
    pub fn ended(&self) -> u64 {
        self.served + self.rejected + self.failed + self.disconnected
    }

    /// The number of requests that have not got a response yet.
    pub fn open(&self) -> u64 {
        self.accepted.saturating_sub(self.ended() + self.transferred)
    }
}

/// The counts of how the requests of one class ended. Requests whose clients disconnected are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The number of requests that ended with a worker's result.
    pub served: u64,
    /// The number of requests that were rejected.
    pub rejected: u64,
    /// The number of requests that failed or timed out.
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

/// The tallies of all classes, by class id.
#[derive(Debug, Default)]
pub struct ClassTallies(Vec<Tally>);

impl ClassTallies {
    /// Counts the completion of a request of this class.
    pub(super) fn record(&mut self, class: ClassId, completion: Completion) {
        let class = usize::from(class.0);
        if self.0.len() <= class {
            self.0.resize(class + 1, Tally::default());
        }
        self.0[class].record(completion);
    }

    /// The tallies by class name. `names` has the name of each class id; the tallies of ids with the same name are added up.
    pub fn by_name<'a>(&self, names: &'a [String]) -> BTreeMap<&'a str, Tally> {
        let mut by_name: BTreeMap<&str, Tally> = BTreeMap::new();
        for (number, name) in names.iter().enumerate() {
            let tally = self.0.get(number).copied().unwrap_or_default();
            by_name.entry(name).or_default().add(tally);
        }
        by_name
    }
}
