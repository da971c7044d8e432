//! A watcher: a position in a job's log of events.

use crate::JobId;
use crate::event_log::{EventLog, JobEvent};

/// The id of a watcher at its broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatcherId(pub(crate) u64);

/// The result of reading a job's log.
pub(crate) enum Read<'a> {
    Event(&'a JobEvent),
    /// This number of events that the watcher should have received were evicted.
    Missed(u64),
    /// This number of obsolete progress events were skipped; there may be more to read.
    Skipped(u64),
    End,
}

/// A position in a job's log.
pub(crate) struct Watcher {
    pub job: JobId,
    /// The number of the first event that the watcher has not received.
    next_id: u64,
    /// The number of the next event at the time when the watcher was added. The watcher receives every earlier event, even one
    /// that a later event has replaced, since its client asked for a replay of them.
    replay_until: u64,
}

impl Watcher {
    /// A watcher that has received the events up to `last_received`, and replays all others before `replay_until`.
    pub fn new(job: JobId, last_received: u64, replay_until: u64) -> Watcher {
        Watcher { job, next_id: last_received + 1, replay_until }
    }

    /// Whether there is something to read.
    pub fn has_more(&self, log: &EventLog) -> bool {
        self.next_id < log.next_id()
    }

    /// Reads the next event, and advances past it.
    pub fn read<'a>(&mut self, log: &'a EventLog) -> Read<'a> {
        if !self.has_more(log) {
            return Read::End;
        }
        let Some(event) = log.get(self.next_id) else { return self.skip_evicted(log) };
        let is_obsolete = self.is_obsolete(event, log);
        self.next_id += 1;
        if is_obsolete { Read::Skipped(1) } else { Read::Event(event) }
    }

    fn skip_evicted<'a>(&mut self, log: &EventLog) -> Read<'a> {
        let kept = log.first_kept_after(self.next_id);
        let evicted = kept.saturating_sub(self.next_id).max(1);
        self.next_id += evicted;
        if self.next_id <= self.replay_until {
            Read::Missed(evicted)
        } else {
            Read::Skipped(evicted) // live progress that a slow reader did not fetch
        }
    }

    /// Whether the event is live progress that the following event replaces.
    fn is_obsolete(&self, event: &JobEvent, log: &EventLog) -> bool {
        let following = event.id + 1;
        if !event.is_replaceable || event.id < self.replay_until || following >= log.next_id() {
            return false;
        }
        let is_replacement =
            |next: &JobEvent| next.is_replaceable || log.final_id().is_some_and(|id| id == following);
        log.get(following).is_none_or(is_replacement)
    }
}
