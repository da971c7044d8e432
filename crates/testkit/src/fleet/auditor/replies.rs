//! The rule that each accepted job gets exactly one reply, in time, with a result that a worker reported for it.

use super::outages::OutageHistory;
use super::{AuditRules, Finding};
use crate::fleet::event_log::{Event, LoggedEvent};
use std::collections::{HashMap, HashSet};

/// Jobs without a reply, and replies that are unexpected or late.
pub(super) fn find(events: &[LoggedEvent], rules: &AuditRules, outages: &OutageHistory) -> Vec<Finding> {
    let mut audit = ReplyAudit {
        rules,
        outages,
        open: HashMap::new(),
        answered: HashSet::new(),
        results: HashSet::new(),
        findings: Vec::new(),
    };
    for LoggedEvent { at, event } in events {
        audit.on_event(*at, event);
    }
    audit.finish(events.last().map_or(0, |logged| logged.at))
}

/// A job without a reply so far.
#[derive(Clone, Copy)]
struct OpenJob {
    dispatcher: usize,
    sent_at: u64,
    timeout: u64,
}

/// A result that a worker reported for a job.
#[derive(PartialEq, Eq, Hash)]
struct JobResult<'a> {
    id: &'a str,
    result: &'a str,
}

/// A reply that a client received.
struct Reply<'a> {
    at: u64,
    dispatcher: usize,
    id: &'a str,
    status: u16,
    body: &'a str,
}

struct ReplyAudit<'a> {
    rules: &'a AuditRules,
    outages: &'a OutageHistory,
    /// The jobs without a reply, by id.
    open: HashMap<&'a str, OpenJob>,
    answered: HashSet<&'a str>,
    results: HashSet<JobResult<'a>>,
    findings: Vec<Finding>,
}

impl<'a> ReplyAudit<'a> {
    fn on_event(&mut self, at: u64, event: &'a Event) {
        match event {
            Event::Sent { dispatcher, id, timeout } => {
                let job = OpenJob { dispatcher: *dispatcher, sent_at: at, timeout: *timeout };
                self.open.insert(id, job);
            }
            Event::Completed { id, result, .. } => _ = self.results.insert(JobResult { id, result }),
            Event::Answered { dispatcher, id, status, body } => {
                self.on_reply(&Reply { at, dispatcher: *dispatcher, id, status: *status, body });
            }
            Event::UnexpectedBytes { dispatcher, id } => {
                let (dispatcher, id) = (*dispatcher, id.clone());
                self.findings.push(Finding::AnsweredTwice { at, dispatcher, id });
            }
            Event::Unanswered { dispatcher, id } => self.on_unanswered(at, *dispatcher, id),
            // The dispatcher closed the connection before any byte of a reply, and the job could not be sent again.
            Event::Unreachable { id, .. } => _ = self.open.remove(id.as_str()),
            _ => {}
        }
    }

    fn on_reply(&mut self, reply: &Reply<'a>) {
        let &Reply { at, dispatcher, id, status, body } = reply;
        let job = self.open.remove(id);
        if job.is_none() || !self.answered.insert(id) {
            self.findings.push(Finding::AnsweredTwice { at, dispatcher, id: id.to_owned() });
        }
        if status == 200 && !self.results.contains(&JobResult { id, result: body }) {
            self.findings.push(Finding::UnknownResult { at, dispatcher, id: id.to_owned() });
        }
        if let Some(late) = job.and_then(|job| self.lateness(reply, job)) {
            self.findings.push(Finding::AnsweredLate { at, dispatcher, id: id.to_owned(), late });
        }
    }

    /// The time from the client's timeout until a reply, if that is too long.
    fn lateness(&self, reply: &Reply<'_>, job: OpenJob) -> Option<u64> {
        let slack = self.rules.answer_slack?;
        let late = reply.at.saturating_sub(job.sent_at + job.timeout);
        let is_excused = self.outages.is_paused_within(reply.dispatcher, job.sent_at, reply.at);
        (late > slack && !is_excused).then_some(late)
    }

    fn on_unanswered(&mut self, at: u64, dispatcher: usize, id: &str) {
        let sent_at = self.open.remove(id).map_or(0, |job| job.sent_at);
        let is_excused = self.outages.is_down_within(dispatcher, sent_at, at)
            || self.outages.is_paused_within(dispatcher, sent_at, at);
        if !is_excused {
            self.findings.push(Finding::NeverAnswered { at, dispatcher, id: id.to_owned() });
        }
    }

    /// Adds the jobs that are still open at the end of the log, in order of ids.
    fn finish(mut self, end: u64) -> Vec<Finding> {
        let mut open: Vec<(&str, OpenJob)> = self.open.into_iter().collect();
        open.sort_unstable_by_key(|(id, _)| *id);
        for (id, OpenJob { dispatcher, sent_at, .. }) in open {
            if !self.outages.is_down_within(dispatcher, sent_at, end) {
                self.findings.push(Finding::NeverAnswered { at: end, dispatcher, id: id.to_owned() });
            }
        }
        self.findings
    }
}
