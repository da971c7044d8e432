//! Jobs apart from their streams. A job has a ring of events; a watcher is a place in it. Time comes as an argument, in
//! microseconds; whoever owns a [`Relay`] pulls what a watcher gets next when its connection can write.
//!
//! Source: HTML standard, "Server-sent events" (event ids, `Last-Event-ID`, 204 ends reconnecting); docs/design/streams.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// A job, numbered by the relay.
pub type JobId = u64;
/// A watcher, numbered by the relay.
pub type WatcherId = u64;

/// How much is kept, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Events in a job's ring.
    pub ring_events: usize,
    /// Bytes in a job's ring.
    pub ring_bytes: usize,
    /// Jobs at most.
    pub jobs: usize,
    /// Bytes of all rings and final events.
    pub bytes: usize,
    /// Streams of one tenant.
    pub streams_per_tenant: usize,
    /// A final event is kept for so long ...
    pub keep_final: Micros,
    /// ... and the token is known for so long after that.
    pub keep_token: Micros,
    /// A job that ends unwatched is ended after so long without a watcher.
    pub unwatched: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            ring_events: 32,
            ring_bytes: 2 << 10,
            jobs: 16_384,
            bytes: 32 << 20,
            streams_per_tenant: 1_024,
            keep_final: 60_000_000,
            keep_token: 600_000_000,
            unwatched: 5_000_000,
        }
    }
}

/// One event of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct JobEvent {
    /// Its number within the job, from 1.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// Its data.
    pub data: String,
    /// A later one makes it stale.
    pub stale_soon: bool,
}

impl JobEvent {
    fn bytes(&self) -> usize {
        self.name.len() + self.data.len() + size_of::<JobEvent>()
    }
}

/// What a watcher gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<'a> {
    /// This event; the last one where `last` says so.
    Event {
        /// The job.
        job: JobId,
        /// The event.
        event: &'a JobEvent,
        /// Nothing comes after it.
        last: bool,
    },
    /// So many events are gone from the ring.
    Missed(u64),
    /// Nothing for now.
    Nothing,
}

/// Why a job cannot be taken or watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// There is no such job, or the token is another's: which of them is not told.
    Unknown,
    /// Its final event has been had, or is gone: there is nothing to come back for.
    Over,
    /// The tenant has as many streams as it may.
    TooManyStreams,
    /// There is no room for another job.
    Full,
}

/// What must be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// This watcher has something to pull.
    Wake(WatcherId),
    /// Nobody watches this job, whose request said that it ends then.
    End(JobId),
}

/// A job as it goes to another process. Everything else begins anew there.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Carried {
    /// The id in its place.
    pub public: u64,
    /// Its token.
    pub token: u128,
    /// Its tenant.
    pub tenant: u32,
    /// It ends when nobody watches.
    pub ends_unwatched: bool,
    /// What is kept of its events, in order; the final one last if it has come.
    pub events: Vec<JobEvent>,
    /// The number of its next event.
    pub next: u64,
    /// The last of the events is its final one.
    pub finished: bool,
}

struct Job {
    public: u64,
    token: u128,
    tenant: u32,
    ends_unwatched: bool,
    /// The first event: it is never evicted.
    first: Option<JobEvent>,
    ring: VecDeque<JobEvent>,
    ring_bytes: usize,
    next: u64,
    last: Option<JobEvent>,
    watchers: Vec<WatcherId>,
    /// When it is to be looked at: unwatched, or its final event or token to be forgotten.
    due: Option<Micros>,
    /// The final event is gone; only the token is known.
    faded: bool,
}

impl Job {
    fn bytes(&self) -> usize {
        let held = self.first.iter().chain(&self.last).map(JobEvent::bytes).sum::<usize>();
        self.ring_bytes + held
    }

    /// The event of this number, if it is kept.
    fn event(&self, id: u64) -> Option<&JobEvent> {
        let edge = |e: &Option<JobEvent>| e.as_ref().is_some_and(|e| e.id == id);
        if edge(&self.first) {
            return self.first.as_ref();
        }
        if edge(&self.last) {
            return self.last.as_ref();
        }
        let start = self.ring.front()?.id;
        self.ring.get(usize::try_from(id.checked_sub(start)?).ok()?)
    }
}

struct Watcher {
    job: JobId,
    /// The next event that it has not had.
    at: u64,
    /// Up to here it gets every event: it asked for them.
    replay_to: u64,
}

/// All jobs and watchers.
pub struct Relay {
    limits: Limits,
    jobs: FxHashMap<JobId, Job>,
    by_public: FxHashMap<u64, JobId>,
    watchers: FxHashMap<WatcherId, Watcher>,
    streams: FxHashMap<u32, usize>,
    dues: BTreeSet<(Micros, JobId)>,
    next_job: JobId,
    next_watcher: WatcherId,
    bytes: usize,
    /// Jobs forgotten before their time, for want of room.
    pub evicted: u64,
    /// Events that watchers were told they had missed.
    pub missed: u64,
    /// Progress left out for watchers that were slow.
    pub coalesced: u64,
}

impl Relay {
    /// One without jobs.
    pub fn new(limits: Limits) -> Relay {
        Relay {
            limits,
            jobs: FxHashMap::default(),
            by_public: FxHashMap::default(),
            watchers: FxHashMap::default(),
            streams: FxHashMap::default(),
            dues: BTreeSet::new(),
            next_job: 0,
            next_watcher: 0,
            bytes: 0,
            evicted: 0,
            missed: 0,
            coalesced: 0,
        }
    }

    /// How many jobs are known, and how many watchers there are.
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.watchers.len())
    }

    /// Bytes that events take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// When [`Relay::sweep`] has something to do.
    pub fn next_due(&self) -> Option<Micros> {
        self.dues.first().map(|due| due.0)
    }

    /// Whether another job could be taken; finished ones give way.
    pub fn has_room(&mut self) -> bool {
        while self.jobs.len() >= self.limits.jobs || self.bytes >= self.limits.bytes {
            // Of the finished ones without a watcher, the one that would go first.
            let spare =
                |id: &JobId| self.jobs.get(id).is_some_and(|j| j.last.is_some() && j.watchers.is_empty());
            let faded = |id: &JobId| self.jobs.get(id).is_some_and(|j| j.faded && j.watchers.is_empty());
            let Some(id) = self.dues.iter().map(|due| due.1).find(|id| spare(id) || faded(id)) else {
                return false;
            };
            self.forget(id);
            self.evicted += 1;
        }
        true
    }

    /// Takes a job in. `public` and `token` are random; `None` where that id is in use.
    pub fn take(
        &mut self,
        now: Micros,
        public: u64,
        token: u128,
        tenant: u32,
        ends_unwatched: bool,
    ) -> Result<JobId, Denied> {
        if self.by_public.contains_key(&public) || !self.has_room() {
            return Err(Denied::Full);
        }
        let carried =
            Carried { public, token, tenant, ends_unwatched, events: Vec::new(), next: 1, finished: false };
        Ok(self.enter(now, carried))
    }

    fn enter(&mut self, now: Micros, carried: Carried) -> JobId {
        let Carried { public, token, tenant, ends_unwatched, events, next, finished } = carried;
        let id = self.next_job;
        self.next_job += 1;
        let mut job = Job {
            public,
            token,
            tenant,
            ends_unwatched,
            first: None,
            ring: VecDeque::new(),
            ring_bytes: 0,
            next,
            last: None,
            watchers: Vec::new(),
            due: None,
            faded: false,
        };
        let mut events = VecDeque::from(events);
        job.last = if finished { events.pop_back() } else { None };
        if events.front().is_some_and(|e| e.id == 1) {
            job.first = events.pop_front();
        }
        job.ring_bytes = events.iter().map(JobEvent::bytes).sum();
        job.ring = events;
        self.bytes += job.bytes();
        self.by_public.insert(public, id);
        let due = match (finished, ends_unwatched) {
            (true, _) => Some(now + self.limits.keep_final),
            (false, true) => Some(now + self.limits.unwatched),
            (false, false) => None,
        };
        self.jobs.insert(id, job);
        self.set_due(id, due);
        id
    }

    fn set_due(&mut self, id: JobId, due: Option<Micros>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(old) = std::mem::replace(&mut job.due, due) {
            self.dues.remove(&(old, id));
        }
        if let Some(at) = due {
            self.dues.insert((at, id));
        }
    }

    fn forget(&mut self, id: JobId) {
        self.set_due(id, None);
        let Some(job) = self.jobs.remove(&id) else { return };
        self.by_public.remove(&job.public);
        self.bytes -= job.bytes();
        for watcher in job.watchers {
            self.watchers.remove(&watcher);
            self.count_stream(job.tenant, false);
        }
    }

    fn count_stream(&mut self, tenant: u32, more: bool) {
        let count = self.streams.entry(tenant).or_default();
        *count = if more { *count + 1 } else { count.saturating_sub(1) };
        if *count == 0 {
            self.streams.remove(&tenant);
        }
    }

    /// Something happened to a job. `stale_soon`: a later event of this kind makes it stale, as with progress.
    pub fn publish(
        &mut self,
        id: JobId,
        name: &str,
        data: String,
        stale_soon: bool,
        effects: &mut Vec<Effect>,
    ) {
        let limits = self.limits;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.last.is_none() && !job.faded) else { return };
        let before = job.bytes();
        let event = JobEvent { id: job.next, name: name.to_owned(), data, stale_soon };
        job.next += 1;
        if job.first.is_none() && event.id == 1 {
            job.first = Some(event);
        } else {
            job.ring_bytes += event.bytes();
            job.ring.push_back(event);
            while job.ring.len() > limits.ring_events
                || job.ring_bytes > limits.ring_bytes && job.ring.len() > 1
            {
                job.ring_bytes -= job.ring.pop_front().map_or(0, |e| e.bytes());
            }
        }
        self.bytes = self.bytes + job.bytes() - before;
        effects.extend(job.watchers.iter().map(|w| Effect::Wake(*w)));
    }

    /// The final event of a job. Only the first counts.
    pub fn finish(&mut self, now: Micros, id: JobId, name: &str, data: String, effects: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.last.is_none() && !job.faded) else { return };
        let before = job.bytes();
        let event = JobEvent { id: job.next, name: name.to_owned(), data, stale_soon: false };
        job.next += 1;
        job.last = Some(event);
        self.bytes = self.bytes + job.bytes() - before;
        effects.extend(job.watchers.iter().map(|w| Effect::Wake(*w)));
        self.set_due(id, Some(now + self.limits.keep_final));
    }

    /// Somebody wants to watch. `after` is the last event that it has had.
    pub fn watch(&mut self, public: u64, token: u128, after: Option<u64>) -> Result<WatcherId, Denied> {
        let found = self.by_public.get(&public).copied().and_then(|id| Some((id, self.jobs.get(&id)?)));
        // A job that is not there is compared with as well: the answer takes as long.
        let known = found.as_ref().map_or(!token, |(_, job)| job.token);
        let (true, Some((id, job))) = (same(known, token), found) else { return Err(Denied::Unknown) };
        let had = after.filter(|after| *after < job.next).unwrap_or(0);
        if job.faded || job.last.as_ref().is_some_and(|last| had >= last.id) {
            return Err(Denied::Over);
        }
        let (tenant, replay_to) = (job.tenant, job.next);
        if self.streams.get(&tenant).copied().unwrap_or(0) >= self.limits.streams_per_tenant {
            return Err(Denied::TooManyStreams);
        }
        let watcher = self.next_watcher;
        self.next_watcher += 1;
        self.watchers.insert(watcher, Watcher { job: id, at: had + 1, replay_to });
        self.count_stream(tenant, true);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.watchers.push(watcher);
            if job.last.is_none() {
                self.set_due(id, None);
            }
        }
        Ok(watcher)
    }

    /// What a watcher gets next; it counts as had.
    pub fn pull(&mut self, id: WatcherId) -> Next<'_> {
        let Some(watcher) = self.watchers.get_mut(&id) else { return Next::Nothing };
        let Some(job) = self.jobs.get(&watcher.job) else { return Next::Nothing };
        while watcher.at < job.next {
            let Some(event) = job.event(watcher.at) else {
                // Evicted: up to the next that is kept.
                let kept = job.ring.front().map(|e| e.id).filter(|id| *id > watcher.at);
                let to = kept.or(job.last.as_ref().map(|e| e.id)).unwrap_or(job.next);
                let gone = to.saturating_sub(watcher.at).max(1);
                watcher.at += gone;
                if watcher.at <= watcher.replay_to {
                    self.missed += gone;
                    return Next::Missed(gone);
                }
                self.coalesced += gone; // live progress that a slow reader left lying
                continue;
            };
            let next = watcher.at + 1;
            let stale = event.stale_soon
                && watcher.at >= watcher.replay_to
                && next < job.next
                && job
                    .event(next)
                    .is_none_or(|e| e.stale_soon || job.last.as_ref().is_some_and(|l| l.id == next));
            watcher.at = next;
            if stale {
                self.coalesced += 1;
                continue;
            }
            let last = job.last.as_ref().is_some_and(|l| l.id == event.id);
            return Next::Event { job: watcher.job, event, last };
        }
        Next::Nothing
    }

    /// Whether something is there to be pulled.
    pub fn has_more(&self, id: WatcherId) -> bool {
        let found = self.watchers.get(&id).and_then(|w| Some((w, self.jobs.get(&w.job)?)));
        found.is_some_and(|(watcher, job)| watcher.at < job.next)
    }

    /// A watcher is gone. Its job goes on, unless its request said that it ends when nobody watches.
    pub fn leave(&mut self, now: Micros, id: WatcherId) {
        let Some(watcher) = self.watchers.remove(&id) else { return };
        let Some(job) = self.jobs.get_mut(&watcher.job) else { return };
        job.watchers.retain(|w| *w != id);
        let alone = job.watchers.is_empty() && job.ends_unwatched && job.last.is_none();
        let tenant = job.tenant;
        self.count_stream(tenant, false);
        if alone {
            self.set_due(watcher.job, Some(now + self.limits.unwatched));
        }
    }

    /// Does what time brings: jobs that nobody watches end, final events and tokens are forgotten.
    pub fn sweep(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        while let Some((_, id)) = self.dues.first().copied().filter(|(at, _)| *at <= now) {
            self.set_due(id, None);
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if job.faded {
                self.forget(id);
            } else if job.last.is_some() {
                if !job.watchers.is_empty() {
                    // Somebody is still reading it.
                    self.set_due(id, Some(now + self.limits.keep_final));
                    continue;
                }
                self.bytes -= job.bytes();
                (job.first, job.last, job.faded) = (None, None, true);
                job.ring = VecDeque::new();
                job.ring_bytes = 0;
                self.set_due(id, Some(now + self.limits.keep_token));
            } else if job.watchers.is_empty() && job.ends_unwatched {
                effects.push(Effect::End(id));
            }
        }
    }

    /// Who watches a job.
    pub fn watchers_of(&self, id: JobId) -> Vec<WatcherId> {
        self.jobs.get(&id).map_or(Vec::new(), |job| job.watchers.clone())
    }

    /// Gives a job away; its watchers are told to come back.
    pub fn carry(&mut self, id: JobId) -> Option<Carried> {
        let job = self.jobs.get(&id)?;
        let events = job.first.iter().chain(&job.ring).chain(&job.last).cloned().collect();
        let carried = Carried {
            public: job.public,
            token: job.token,
            tenant: job.tenant,
            ends_unwatched: job.ends_unwatched,
            events,
            next: job.next,
            finished: job.last.is_some(),
        };
        self.forget(id);
        Some(carried)
    }

    /// The jobs, in the order taken; a job whose final event is gone is not among them.
    pub fn jobs(&self) -> Vec<JobId> {
        let mut all: Vec<JobId> = self.jobs.iter().filter(|(_, j)| !j.faded).map(|(id, _)| *id).collect();
        all.sort_unstable();
        all
    }

    /// Takes a job over from another process.
    pub fn receive(&mut self, now: Micros, carried: Carried) -> Option<JobId> {
        (!self.by_public.contains_key(&carried.public)).then(|| self.enter(now, carried))
    }
}

/// Compares without telling by its time how much is alike.
fn same(a: u128, b: u128) -> bool {
    std::hint::black_box(a ^ b) == 0
}
