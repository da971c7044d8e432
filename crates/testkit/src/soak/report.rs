//! What a run found.

use super::Micros;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Mutex;

/// The maximum number of findings that are kept with their text; all are counted.
const MAX_KEPT_FINDINGS: usize = 40;

/// A rule that a request or a process can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No final answer, or one over half a second after the request's time.
    NoAnswer,
    /// The connection was closed without an answer.
    ClosedUnanswered,
    /// A connection was reset before its first answer, and the process may not have read the request.
    ResetWhenNew,
    /// A 200 with a body that no worker made for the request.
    WrongAnswer,
    /// An attempt that began over 0.1 s after the client had left.
    SentAfterClientLeft,
    /// An attempt that began after the request had its final answer.
    SentAfterAnswer,
    /// An attempt that began after the request's time.
    SentAfterDeadline,
    /// A worker was told that more than the client's time and 0.15 s are left.
    ToldTooLong,
    /// An attempt at a worker that was known to drain or to be gone.
    SentToDraining,
    /// A second attempt where the class or the worker allows one only.
    Duplicate,
    /// A process ended by itself, or did not start.
    Crash,
    /// A process counted broken invariants of its own.
    BrokenInvariant,
}

/// A rule that was broken, and how.
#[derive(Clone, Debug)]
pub struct Finding {
    /// When it was noticed.
    pub at: Micros,
    /// The rule.
    pub rule: Rule,
    /// The request or process, and what was seen.
    pub text: String,
}

/// The findings and counters of a run.
#[derive(Debug, Default)]
pub struct Report {
    findings: Mutex<Vec<Finding>>,
    counts: Mutex<BTreeMap<Rule, u64>>,
    counters: Mutex<BTreeMap<&'static str, u64>>,
}

impl Report {
    /// Records that a rule was broken.
    pub fn find(&self, at: Micros, rule: Rule, text: String) {
        *self.counts.lock().expect("mutex poisoned").entry(rule).or_default() += 1;
        let mut findings = self.findings.lock().expect("mutex poisoned");
        if findings.len() < MAX_KEPT_FINDINGS {
            findings.push(Finding { at, rule, text });
        }
    }

    /// Adds to a counter.
    pub fn count(&self, name: &'static str, amount: u64) {
        *self.counters.lock().expect("mutex poisoned").entry(name).or_default() += amount;
    }

    /// Sets a counter to `value` if that is more.
    pub fn raise(&self, name: &'static str, value: u64) {
        let mut counters = self.counters.lock().expect("mutex poisoned");
        let counter = counters.entry(name).or_default();
        *counter = (*counter).max(value);
    }

    /// Moves the content out, and leaves an empty report.
    pub(super) fn take(&self) -> Report {
        let take = |mutex: &Mutex<_>| std::mem::take(&mut *mutex.lock().expect("mutex poisoned"));
        Report {
            findings: Mutex::new(std::mem::take(&mut *self.findings.lock().expect("mutex poisoned"))),
            counts: Mutex::new(std::mem::take(&mut *self.counts.lock().expect("mutex poisoned"))),
            counters: Mutex::new(take(&self.counters)),
        }
    }

    /// The number of broken rules.
    pub fn total(&self) -> u64 {
        self.counts.lock().expect("mutex poisoned").values().sum()
    }

    /// The findings that were kept.
    pub fn findings(&self) -> Vec<Finding> {
        self.findings.lock().expect("mutex poisoned").clone()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "broken={}", self.total())?;
        for (rule, count) in &*self.counts.lock().expect("mutex poisoned") {
            write!(formatter, " {rule:?}={count}")?;
        }
        for (name, value) in &*self.counters.lock().expect("mutex poisoned") {
            write!(formatter, " {name}={value}")?;
        }
        Ok(())
    }
}
