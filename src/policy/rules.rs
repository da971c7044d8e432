//! Every decision of the dispatcher. Its interface is src/policy/interface.rs; src/policy/state.rs has what it remembers,
//! src/policy/gossip.rs what the nodes of a group tell each other. On the ordinary path reports become stamped
//! entries, and a job goes to the worker with the best fresh fuzzy capability, then to an unknown one, then,
//! where all are full, to the one that answers soonest.

use crate::policy::gossip::{GOSSIP_TIMER_ID, Heard};
use crate::policy::interface::*;
use crate::policy::state::*;

/// The paper's freshness window, its ratio to the report interval, and how many times it may grow.
const PAPER_WINDOW: f64 = 150_000.0;
const WINDOW_PER_INTERVAL: f64 = 1.5;
const MOST_WINDOWS: f64 = 10.0;
/// Capability (0 none to 5 full) by the set of CPU (rows: low, middle, high) and of the second input.
const RULE_BASE: [[u8; 3]; 3] = [[5, 4, 2], [4, 3, 1], [2, 1, 0]];
/// Scores this close are a tie: report noise is as large. Another zone costs a job as much.
const TIE: f64 = 0.1;
/// Workers ranked for a job, half of the own zone, and workers probed for it at a time (in a group).
const RANKED: usize = 32;
const SAMPLE: [usize; 2] = [4, 2];
/// A failure counts as an answer so many times slower than expected.
const LONG_ANSWER: f64 = 8.0;
/// Distrust doubles with each strike in a row, up to this many doublings of the window (in a group). Alone a
/// node learns that a worker is well again only from a job that it risks there.
const MOST_STRIKES: [u32; 2] = [3, 6];
/// A sign of life is overdue after this many times the usual wait.
const OVERDUE: f64 = 2.0;
/// Work of ours that a worker has not started after this long shows a queue there, however usual queues are.
const QUEUED: Micros = 20_000;
/// A job is copied once it has waited unstarted for this part of its slack: a copy may cost as much again.
const COPY_PART: f64 = 0.5;
/// Bounces after which a job's further attempts are spread over its slack.
const QUICK_TRIES: usize = 2;
/// A job of unknown size is taken for this part of its class's mean: most are smaller than the mean.
const TYPICAL_PART: f64 = 0.3;
/// A job is held for this part of its slack, looking again this many times (in a group), before it queues.
const HOLD_PART: f64 = 0.7;
const HOLD_LOOKS: [u64; 2] = [16, 10];
/// Part of the cold budget that all nodes together plan to use: a window may touch two lives of each of them.
const COLD_SAFETY: f64 = 0.5;
/// A kind keeps at least this part of its fair load for jobs that other kinds can run too.
const LEAST_SPARE: f64 = 0.1;
/// A worker that reports more errors a second than this, and more than it can have served, is failing.
const MOST_ERRORS: f64 = 1.0;
const WATCH_TIMER_ID: u64 = 0; // and job n has alarm 1 + n

/// The decision module of one node.
pub struct Dispatcher {
    pub(crate) set: Settings,
    rng: fastrand::Rng,
    pub(crate) m: Memory,
}

/// Membership of an input in low, middle and high.
fn sets(x: f64) -> [f64; 3] {
    let x = x.clamp(0.0, 1.0);
    [(1.0 - 2.0 * x).max(0.0), 1.0 - (2.0 * x - 1.0).abs(), (2.0 * x - 1.0).max(0.0)]
}

/// Fuzzy capability, 0 to 1: nine rules weigh six equal output triangles, whose centroid is the score.
pub fn capability(cpu: f64, load: f64) -> f64 {
    let (cpu, load) = (sets(cpu), sets(load));
    let rule = |i: usize, j: usize| cpu[i] * load[j] * f64::from(RULE_BASE[i][j]) / 5.0;
    (0..9).map(|n| rule(n / 3, n % 3)).sum()
}

impl Dispatcher {
    /// An instance that knows nothing yet; `seed` settles all its random choices.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.check()?;
        let m = Memory::of(&set, PAPER_WINDOW / WINDOW_PER_INTERVAL);
        Ok(Dispatcher { rng: fastrand::Rng::with_seed(seed), set, m })
    }

    /// Goes on under other settings, with all that it has learned. Classes keep their places.
    pub fn reconfigure(&mut self, set: Settings) -> Result<(), SettingsError> {
        set.check()?;
        if set.classes.len() < self.set.classes.len() {
            return Err(SettingsError::ClassGone);
        }
        self.m.refit(&set);
        self.set = set;
        self.m.index(self.set.zone, self.set.warm_up_time);
        Ok(())
    }

    /// Takes one event and adds to `acts` what must be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, acts: &mut Vec<Action>) {
        self.m.now = self.m.now.max(now);
        match event {
            Event::EndpointList(kind, entries) => self.roster(kind, &entries, acts),
            Event::ListFailed => self.ask_later(1, acts),
            Event::DiscoveryMoved => acts.push(Action::OpenWatch),
            Event::Arrived(new) => self.arrived(new, acts),
            Event::Adopted { new, since, past } => {
                self.admit(new, since, acts);
                self.m.take_over(new.job, &past);
                self.review(new.job, acts);
            }
            Event::StreamStarted { job, attempt }
            | Event::Started { job, attempt }
            | Event::Progress { job, attempt, .. } => self.sign(job, attempt, acts),
            Event::AttemptEnded(ended) => self.ended(ended, acts),
            Event::NotPersisted { job, attempt } => {
                self.m.never_left(job, attempt);
                self.give_up(job, acts);
            }
            Event::ClientDisconnected(job) => self.close(job, acts),
            Event::Timer(TimerId(WATCH_TIMER_ID)) => acts.push(Action::OpenWatch),
            Event::Timer(TimerId(GOSSIP_TIMER_ID)) => self.m.tell(acts),
            Event::Timer(TimerId(id)) => self.review(JobId(id - 1), acts),
            Event::ProbeResponse(echo) => self.probed(echo, acts),
            Event::Peers(peers) => self.m.hold_by(&peers, &self.set),
            Event::PeerMessage { from, bytes } => match self.m.share.hear(self.m.now, from, &bytes) {
                Heard::Wish(zone) => self.lend(from, zone, acts),
                Heard::Offer => self.wake_held(acts),
                Heard::Nothing => {}
            },
        }
        self.m.share.tell_soon(acts);
    }

    /// A node of another group, whose own workers are full, gets a slot at the least used of this group's
    /// that is trusted and has one free, near it if there is one.
    fn lend(&mut self, to: u32, zone: ZoneId, acts: &mut Vec<Action>) {
        let room = |id: WorkerId| {
            let (worker, known) = (self.m.at(id), self.m.at(id).known?);
            let (cpu, _, free) = self.inputs(worker, &known)?;
            let trusted = !self.m.doubts(worker) && self.m.now >= worker.trust.until;
            let may = trusted && free >= 1.0 && self.in_part(worker, &known, 0.0);
            may.then_some((known.zone != zone, cpu, known))
        };
        let rooms = self.m.share.workers().filter_map(room);
        if let Some((.., best)) = rooms.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))) {
            self.m.count(best.worker, 0.0, self.set.collapse_window);
            self.m.share.offer(self.m.now, to, &best, acts);
        }
    }

    fn class(&self, job: &Job) -> &Class {
        &self.set.classes[usize::from(job.new.class.0)]
    }

    fn roster(&mut self, kind: ListKind, entries: &[EndpointEntry], acts: &mut Vec<Action>) {
        self.m.list(kind, entries);
        self.m.index(self.set.zone, self.set.warm_up_time);
        match kind {
            ListKind::Cached => self.ask_later(0, acts),
            _ => self.m.roster_failures = 0,
        }
    }

    /// Subscribes after a random wait, longer after each failure, so that nodes do not ask all at once.
    fn ask_later(&mut self, failed: u32, acts: &mut Vec<Action>) {
        self.m.roster_failures = (self.m.roster_failures + failed).min(3);
        if let Some(within) = self.set.ask_within.filter(|_| self.set.list_on_request) {
            let span = (within / 8) << self.m.roster_failures;
            acts.push(Action::SetTimer(TimerId(WATCH_TIMER_ID), self.rng.u64(0..=span)));
        }
    }

    fn arrived(&mut self, new: NewJob, acts: &mut Vec<Action>) {
        if usize::from(new.class.0) >= self.set.classes.len() {
            return acts.push(Action::Reject { job: new.job, retry_after: self.stay_away() });
        }
        self.admit(new, self.m.now, acts);
        self.wake_held(acts); // what waits here already goes first
        self.review(new.job, acts);
    }

    fn admit(&mut self, new: NewJob, since: Micros, acts: &mut Vec<Action>) {
        let Some(class) = self.set.classes.get(usize::from(new.class.0)) else { return };
        let seen = self.m.class_work[usize::from(new.class.0)];
        let guess = if seen.count > 0.0 { seen.value } else { class.latency_objective as f64 };
        let work = new.hint.map_or(guess, |h| h as f64).max(1.0);
        let longest = if new.hint.is_some() { 0.0 } else { class.deadline as f64 };
        self.m.note_arrival(usize::from(new.class.0), work, longest);
        self.m.jobs.insert(new.job, Job::new(new, since, work));
        self.set_timer(new.job, new.deadline.saturating_sub(self.set.tick), acts);
    }

    fn set_timer(&self, job: JobId, at: Micros, acts: &mut Vec<Action>) {
        let after = at.saturating_sub(self.m.now).max(1);
        acts.push(Action::SetTimer(TimerId(1 + job.0), after));
    }

    /// Ends a job at this node: what is still out is called off.
    fn close(&mut self, id: JobId, acts: &mut Vec<Action>) {
        let Some(job) = self.m.jobs.get_mut(&id) else { return };
        job.closed = true;
        for (n, _) in job.attempts.iter().enumerate().filter(|(_, a)| a.is_out() && self.set.may_cancel) {
            acts.push(Action::Cancel { job: id, attempt: n as u32 });
        }
        self.m.held.retain(|h| *h != id);
        self.m.forget(id);
    }

    /// The node's final answer: a refusal only where nothing may have run or a repeat does no harm.
    fn give_up(&mut self, id: JobId, acts: &mut Vec<Action>) {
        let Some(job) = self.m.jobs.get(&id) else { return };
        let repeatable = self.class(job).idempotency.is_repeatable_anywhere();
        let harmless = repeatable || job.bounces() == job.attempts.len();
        let refusal = Action::Reject { job: id, retry_after: self.stay_away() };
        acts.push(if harmless { refusal } else { Action::Fail(id) });
        self.close(id, acts);
    }

    /// When a refused client ought to come back, where clients are told: once the ready workers, shared with
    /// the other nodes, can have run what waits here.
    fn stay_away(&self) -> Option<Micros> {
        let most = self.set.max_retry_after?;
        let slots = |id: &WorkerId| self.m.at(*id).known.map_or(0.0, |k| self.m.slots(k.kind));
        let share = self.m.ready.iter().map(slots).sum::<f64>() / f64::from(self.set.nodes);
        let work = (self.m.held.len() + 1) as f64 * self.m.mean_work() * self.m.slow.value.max(1.0);
        Some(((work / share).min(most as f64) as Micros).max(self.set.tick))
    }

    /// Whether a job may be sent (again) to this worker, by its class and by what may have run.
    fn may_send(&self, job: &Job, to: &EndpointEntry) -> bool {
        let mut risky = job.attempts.iter().filter(|a| !a.never_ran());
        if job.sent() >= self.set.max_attempts || (!self.set.may_hedge && job.out() > 0) {
            return false;
        }
        match self.class(job).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => risky.next().is_none(),
            Idempotency::IdempotentWithKey { scope, window } => risky.all(|a| {
                let in_time = self.m.now + self.set.tick < a.at + window;
                in_time && scope.covers(self.m.at(a.worker).known.as_ref(), to)
            }),
        }
    }

    /// When the job must start at the latest to be in time.
    fn latest_start(&self, job: &Job) -> Micros {
        let class = self.class(job);
        let work = job.work * if job.new.hint.is_some() { 1.0 } else { TYPICAL_PART };
        job.arrived
            + class.latency_objective
            + (work * (class.latency_factor - self.m.slow.value.max(1.0)).max(0.0)) as Micros
    }

    /// Whether the job may go to another zone: once it has waited here for that part of its slack which the
    /// price of crossing is of what it loses by being late; and, late, of what it loses by not being served.
    fn may_cross(&self, job: &Job) -> bool {
        let (latest, late_weight) = (self.latest_start(job), self.class(job).late_weight);
        let late = self.m.now >= latest;
        let (from, to) = if late { (latest, job.new.deadline) } else { (job.arrived, latest) };
        let part = self.set.price_cross_zone / if late { late_weight } else { 1.0 - late_weight }.max(0.01);
        let wait = to.saturating_sub(from) as f64 * part.min(HOLD_PART);
        self.m.home.is_empty() || self.m.now >= from + wait as Micros
    }

    /// Looks at a job anew: answers it, waits, probes, holds, sends, or sends a copy.
    fn review(&mut self, id: JobId, acts: &mut Vec<Action>) {
        let Some(job) = self.m.jobs.get(&id).filter(|j| !j.closed) else { return };
        let (effect, late_weight) = (self.class(job).idempotency, self.class(job).late_weight);
        let (latest, soon) = (self.latest_start(job), self.m.now + self.set.tick);
        let streaming = self.class(job).stream && job.any(State::Running); // it has no deadline any more
        if soon >= job.new.deadline && !streaming {
            return self.give_up(id, acts);
        } else if job.any(State::Running) || self.m.now < job.wait_until {
            return;
        }
        let (out, spent) = (job.out(), job.sent() >= self.set.max_attempts);
        let stuck = job.any(State::MayHaveRun) && effect == Idempotency::NonIdempotent;
        // A job that can no longer earn anything is not started: it would only delay the rest.
        if out == 0 && ((late_weight == 0.0 && soon >= latest) || stuck || spent) {
            return self.give_up(id, acts);
        }
        let (slack, left) = (latest.saturating_sub(self.m.now), job.new.deadline - self.m.now);
        let held = slack > 0 && slack as f64 <= (latest - job.arrived) as f64 * (1.0 - HOLD_PART);
        let (sign_due, grouped) = (self.sign_due(job.work), self.m.share.on());
        if let Some(last) = self.m.jobs.get_mut(&id).and_then(Job::newest_unstarted) {
            let due = last.at + sign_due;
            if self.m.now < due {
                return self.set_timer(id, due, acts);
            }
            // A worker that does not start what its report had room for is not believed for a while.
            let (worker, job_at, promised) = (last.worker, last.at, std::mem::take(&mut last.promised));
            let alive = self.m.at(worker).heard > job_at;
            if promised && self.set.reports_start && (grouped || !alive) {
                self.strike(worker);
            }
            let patience = (latest.saturating_sub(job_at) as f64 * COPY_PART) as Micros;
            if self.m.now < job_at + patience {
                return self.set_timer(id, job_at + patience, acts);
            }
            // A worker that was heard of since lives: the job is in its queue and will run there in any case.
            if out > 1 || effect == Idempotency::NonIdempotent || spent || alive {
                return;
            }
        }
        let first = || self.m.held.iter().filter_map(|id| self.turn(*id)).min();
        let behind = out == 0 && !grouped && first().is_some_and(|f| Some(f) < self.turn(id));
        // Others are asked for only where the group's own ones have no room.
        let own = grouped && self.pick(id).is_some_and(|(rank, _)| rank == Rank::Fresh);
        if out == 0 && !own && !behind && self.probe_sample(id, acts) {
            return;
        }
        // A full one at once where starts are told, else after the hold; alone then even one not trusted.
        let told = slack > 0 && self.set.reports_start && !grouped;
        let queue = |rank| rank == Rank::Full && (told || held) || held && !grouped && rank != Rank::TooLong;
        let may = |rank| rank == Rank::Fresh || out == 0 && (rank == Rank::Unknown || queue(rank));
        match self.pick(id) {
            Some((rank, worker)) if !behind && may(rank) => self.send(id, worker, rank, acts),
            _ => {
                // Nothing has room: the job waits here, and then for a report that shows some. The wait also
                // guards against probes that fail at once being asked again without end.
                let span = if slack > 0 { slack } else { left }.max(self.window());
                let until = self.m.now + span / HOLD_LOOKS[usize::from(grouped)];
                if let Some(job) = self.m.jobs.get_mut(&id).filter(|_| out == 0) {
                    job.sample = Vec::new();
                    self.m.hold(id, until);
                    self.m.share.wish(self.set.zone, self.rng.u32(..), acts);
                }
                self.set_timer(id, until, acts);
            }
        }
    }

    /// How long a worker may take to show that it runs a job before that is overdue.
    fn sign_due(&self, work: f64) -> Micros {
        let answer = OVERDUE * work * self.m.slow.value.max(1.0);
        let shown = self.set.progress.map_or(answer, |p| answer.min(OVERDUE * p as f64));
        let usual = if self.set.reports_start { OVERDUE * self.m.sign_after } else { shown };
        usual as Micros + self.set.tick
    }

    /// Asks a few random workers for their load before the job is placed; true if the job is to wait.
    fn probe_sample(&mut self, id: JobId, acts: &mut Vec<Action>) -> bool {
        if !self.set.may_probe || self.m.jobs.get(&id).is_none_or(|j| !j.sample.is_empty()) {
            return false;
        }
        let mut pool = self.candidates(id, true);
        // With other groups to ask for a slot, only own ones of unknown size, or that failed and have rested.
        let (on, lends) = (self.m.share.on(), self.m.share.lends() && !self.m.share.deaf(self.m.now));
        let unclear = |w: &Worker| self.m.doubts(w) || !self.m.is_sized(w);
        let rested = |w: &Worker| self.m.now >= w.trust.until && (!lends || unclear(w));
        pool.retain(|w| !on || rested(self.m.at(*w)));
        self.rng.shuffle(&mut pool);
        // Another zone is asked first once the job may go there: the own ones had no room.
        let far = self.m.jobs.get(&id).is_some_and(|job| !on && self.may_cross(job));
        pool.sort_by_key(|w| self.m.at(*w).known.is_some_and(|k| (k.zone != self.set.zone) != far));
        pool.truncate(SAMPLE[usize::from(on)]);
        let stale: Vec<WorkerId> =
            pool.iter().copied().filter(|w| self.m.fresh(*w, self.window()).is_none()).collect();
        for &worker in &stale {
            let state = self.m.worker(worker);
            state.askers.push(id);
            if !std::mem::replace(&mut state.probing, true) {
                acts.push(Action::Probe(worker));
            }
        }
        let until = self.m.now + OVERDUE as Micros * (self.m.echo_after.value as Micros + self.set.tick);
        let Some(job) = self.m.jobs.get_mut(&id) else { return false };
        (job.sample, job.echoes_due) = (pool, stale.len());
        job.wait_until = if stale.is_empty() { 0 } else { until };
        self.set_timer(id, until, acts);
        !stale.is_empty()
    }

    /// Workers to rank for a job: its sample and the group's (RANKED at random of a larger part); without a
    /// group, or for a `wide` look, cold ones whose turn it is and some at random, home first.
    fn candidates(&mut self, id: JobId, wide: bool) -> Vec<WorkerId> {
        let mut pool = self.m.share.sample(&mut self.rng, RANKED);
        let lists = [&self.m.cold, &self.m.home, &self.m.ready];
        for list in lists.into_iter().filter(|_| wide && !self.m.share.lends() || !self.m.share.on()) {
            match list.len() <= RANKED / 2 {
                true => pool.extend(list),
                false => pool.extend((0..RANKED / 2).map(|_| list[self.rng.usize(..list.len())])),
            }
        }
        let Some(job) = self.m.jobs.get(&id) else { return Vec::new() };
        pool.extend(&job.sample);
        pool.extend(self.m.share.offers(self.m.now));
        pool.sort_unstable();
        pool.dedup();
        let (kind, crosses) = (self.class(job).kind, self.m.share.on() || self.may_cross(job));
        pool.retain(|id| {
            let Some(known) = self.m.at(*id).known.filter(|k| k.status == Status::Ready) else {
                return false;
            };
            kind.is_none_or(|k| k == known.kind)
                && (crosses || known.zone == self.set.zone)
                && !job.attempts.iter().any(|a| a.worker == *id && a.bars())
                && self.may_send(job, &known)
                && self.warm_enough(self.m.at(*id), &known, job.work)
        });
        pool
    }

    fn window(&self) -> Micros {
        (self.m.report_interval * WINDOW_PER_INTERVAL).clamp(PAPER_WINDOW, PAPER_WINDOW * MOST_WINDOWS)
            as Micros
    }

    /// The worker's inputs (CPU, second input, free slots), if it is known: what the group has out at one of
    /// its own; else its fresh entry, charged with own grants that the report cannot show yet, or every node
    /// would keep sending to one top score until it moves.
    fn inputs(&self, worker: &Worker, known: &EndpointEntry) -> Option<(f64, f64, f64)> {
        let slots = self.m.slots(known.kind).max(1.0);
        if self.m.share.on_offer(known.worker, self.m.now) {
            return Some((0.5, 0.5, 1.0));
        }
        let told = self.m.taken(known).map(|mates| {
            let age = known.started_at.map_or(self.set.warm_up_time, |at| self.m.now.saturating_sub(at));
            let planned =
                if age < self.set.warm_up_time { self.set.collapse_multiple * COLD_SAFETY } else { 1.0 };
            let room = slots * (planned * self.grown(age)).min(1.0);
            let (out, room) = (mates + worker.held(), room.max(1.0));
            (out / room, out / room, (room - out).floor())
        });
        // A mate that is not heard any more may still send there: then a report is needed as well.
        if told.is_some() && !self.m.share.deaf(self.m.now) {
            return told;
        }
        let entry = self.m.fresh(known.worker, self.window())?;
        let since = entry.at.saturating_sub(self.window());
        let unseen: f64 = worker.out.iter().filter(|o| o.at >= since).map(|o| o.slots).sum();
        let cpu = (entry.cpu + unseen / slots).min(1.0);
        let endless = if entry.cpu < 1.0 { f64::INFINITY } else { 0.0 };
        let seen = match (entry.free, entry.waiting) {
            (Some(free), _) => (cpu, 1.0 - (free - unseen) / slots, free - unseen),
            (None, Some(waiting)) => (cpu, (waiting + unseen) / (waiting + unseen + slots), endless),
            _ => (cpu, 0.5, endless),
        };
        Some(told.map_or(seen, |told| (told.0.max(seen.0), told.1.max(seen.1), told.2.min(seen.2))))
    }

    /// The worker that wins the job, and whether it may have room.
    fn pick(&mut self, id: JobId) -> Option<(Rank, WorkerId)> {
        let pool = self.candidates(id, false);
        let job = self.m.jobs.get(&id)?;
        let (needs, memory) = (job.new.slots, job.new.memory);
        let due = self.sign_due(job.work).min(if self.set.reports_start { QUEUED } else { Micros::MAX });
        let mut ranked: Vec<(Rank, f64, f64, WorkerId)> = Vec::new();
        let mut lowest_cpu = f64::INFINITY;
        let slack = self.latest_start(job).saturating_sub(self.m.now) as f64;
        let grouped = self.m.share.on();
        let queue_asked = self.m.tells_queue && !self.set.reports_start;
        // What only one kind can run comes first there: to other jobs it offers what that leaves.
        let spare = |k: KindId| (1.0 - self.m.bound_share(&self.set.classes, k)).clamp(LEAST_SPARE, 1.0);
        let kinds = self.set.classes.iter().filter_map(|c| c.kind.map(|k| (k, spare(k))));
        let spares: Vec<_> = kinds.filter(|_| self.class(job).kind.is_none()).collect();
        for candidate in pool {
            let worker = &self.m.workers[candidate.0 as usize];
            let Some(known) = worker.known else { continue };
            let slowness = self.m.slowness(worker, &known);
            // Work of ours that it has not started in time shows it full, whatever it reports.
            let jammed = worker.out.iter().any(|o| !o.started && self.m.now > o.at + due);
            let zone = self.m.zones.get(&known.zone).map_or(0, |z| z.until);
            let barred = self.m.now < worker.trust.until;
            // In a group, one that failed must show that it lives before it gets work again.
            let failed = worker.trust.strikes > 0;
            let shunned = failed && (barred || jammed) || grouped && self.m.doubts(worker);
            let away = known.zone != self.set.zone;
            let spare = spares.iter().find(|s| s.0 == known.kind).map_or(1.0, |s| s.1);
            let luck = -(1.0 - self.rng.f64()).ln();
            let held = worker.held();
            let soonest = slowness * (1.0 + held);
            let entry = self.m.fresh(candidate, self.window());
            // Where a probe would tell of a queue, or of room that is worth a crossing, none is sent blindly.
            let blind = grouped || self.set.may_probe && (away || queue_asked);
            let (rank, by, then) = match self.inputs(worker, &known) {
                _ if shunned || away && self.m.now < zone => (Rank::Shunned, soonest, luck),
                _ if barred || jammed => (Rank::TooLong, soonest, luck),
                Some((cpu, load, free)) => {
                    let short = memory.zip(entry.and_then(|e| e.memory)).is_some_and(|(m, have)| have < m);
                    if free < needs || short {
                        // Of the group, or only of this node; where starts are told, one waits there at most.
                        let told = self.set.reports_start && !grouped;
                        let ahead = if told { 0.0 } else { held.max(-free) };
                        let behind = entry.and_then(|e| e.waiting).unwrap_or(0.0) + ahead + 1.0;
                        let wait = behind * self.m.mean_work() * slowness / self.m.slots(known.kind);
                        let long = wait * OVERDUE > slack || told && (away || worker.keeps_waiting());
                        (if long { Rank::TooLong } else { Rank::Full }, soonest, luck)
                    } else {
                        lowest_cpu = entry.map_or(lowest_cpu, |e| lowest_cpu.min(e.cpu));
                        let score = (capability(cpu, load) * spare / TIE).round() - f64::from(u8::from(away));
                        (Rank::Fresh, -score, if grouped { luck * slowness } else { slowness })
                    }
                }
                // A cold worker whose turn it is has room: it reads as half loaded.
                None if !self.m.is_warm(&known, self.set.warm_up_time) => {
                    (Rank::Fresh, -(capability(0.5, 0.5) * spare / TIE).round(), slowness)
                }
                None if held + needs > self.m.slots(known.kind).max(2.0) => (Rank::TooLong, soonest, luck),
                None if blind => (Rank::Unprobed, soonest, luck),
                None => (Rank::Unknown, (held + luck) * slowness / (known.weight.max(0.01) * spare), luck),
            };
            ranked.push((rank, by, then, candidate));
        }
        ranked.sort_by(|a, b| (a.0.cmp(&b.0)).then(a.1.total_cmp(&b.1)).then(a.2.total_cmp(&b.2)));
        let first = ranked.first()?;
        // Back to back: only if its utilisation changed since its last grant and is lowest of all.
        let next = ranked.get(1).filter(|n| n.0 <= Rank::Unknown && self.m.last_grant == Some(first.3));
        let worker = self.m.at(first.3);
        let again = |e: &Entry| worker.granted_cpu != Some(e.cpu) && e.cpu <= lowest_cpu;
        let wins = next.filter(|_| !worker.entry.as_ref().is_none_or(again)).unwrap_or(first);
        Some((wins.0, wins.3))
    }

    /// The part of its capacity that a worker has at least, this long after its start.
    fn grown(&self, age: Micros) -> f64 {
        self.set.initial_capacity
            + (1.0 - self.set.initial_capacity) * (age as f64 / self.set.warm_up_time as f64).min(1.0)
    }

    /// Whether a worker is warm, or may get this too while it is cold. In a group each of its nodes has
    /// one job at most there, and all together what it can run.
    fn warm_enough(&self, worker: &Worker, known: &EndpointEntry, work: f64) -> bool {
        let warm = self.m.is_warm(known, self.set.warm_up_time) || self.m.share.lent_cold(known, self.m.now);
        let room = || self.inputs(worker, known).is_some_and(|(_, _, free)| free >= 1.0);
        let fits = || !self.m.share.on() || worker.out.is_empty() && room();
        warm || fits() && self.in_part(worker, known, work)
    }

    /// Cold starts: all nodes keep within the fleet's budget. What they plan of it in any stretch of the fall
    /// window is dealt out call by call, by ranks that nothing they hear or are told changes; where mates are
    /// heard, their work there is known, and only what several send at once has to fit. The first has a job.
    fn in_part(&self, worker: &Worker, known: &EndpointEntry, work: f64) -> bool {
        let (now, window, share) = (self.m.now, self.set.collapse_window, &self.m.share);
        let warm = self.m.is_warm(known, self.set.warm_up_time);
        let Some((rank, nodes)) = share.rank(known.tag) else { return warm };
        let age = now.saturating_sub(known.started_at.unwrap_or(0));
        let grown = self.grown(age.saturating_sub(window)) * self.set.collapse_multiple * window as f64;
        let budget = grown * self.m.slots(known.kind) / self.m.slowness(worker, known).max(1.0);
        let unheard = || (worker.sent_since(now.saturating_sub(window)), COLD_SAFETY);
        let (sent, safe) = if share.hears(now, window) { (0.0, 1.0) } else { unheard() };
        let part = f64::from(nodes) * sent + f64::from(rank + 1) * work.max(self.m.mean_call());
        warm || rank == 0 && sent == 0.0 || part <= budget * safe
    }

    fn send(&mut self, id: JobId, to: WorkerId, rank: Rank, acts: &mut Vec<Action>) {
        let (now, window) = (self.m.now, self.set.collapse_window);
        let Some(job) = self.m.jobs.get_mut(&id) else { return };
        let (attempt, slots, work) = (job.attempts.len() as u32, job.new.slots, job.work);
        job.attempts.push(Attempt::new(to, now, rank));
        self.m.count(to, work, window);
        self.m.grant(to, Out { job: id, attempt, at: now, slots, started: false });
        self.m.held.retain(|h| *h != id);
        acts.push(Action::Send { job: id, worker: to, limit: None });
        self.set_timer(id, now + self.sign_due(work), acts);
    }

    /// A job runs: its worker is trusted again, and its other attempts are called off.
    fn sign(&mut self, id: JobId, attempt: u32, acts: &mut Vec<Action>) {
        let (now, window, grouped) = (self.m.now, self.window(), self.m.share.on());
        let Some(job) = self.m.jobs.get_mut(&id) else { return };
        let this = job.attempts.get_mut(attempt as usize).filter(|a| a.state == State::Out);
        let Some(this) = this else { return };
        (this.state, this.running_since) = (State::Running, Some(now));
        let (waited, worker) = ((now - this.at) as f64, &mut self.m.workers[this.worker.0 as usize]);
        // One that waited in a queue says that the worker is full: the next would queue for as long again.
        let queued = if waited > QUEUED as f64 { waited.min(window as f64) as Micros } else { 0 };
        let strikes = if grouped { worker.trust.strikes } else { 0 }; // there it may fail all that it starts
        worker.trust = Trust { strikes, until: now + queued, ..worker.trust };
        worker.heard = now;
        worker.out.iter_mut().filter(|o| o.is(id, attempt)).for_each(|o| o.started = true);
        let others = job.attempts.iter().enumerate().filter(|(_, a)| a.state == State::Out);
        for (n, _) in others.filter(|_| self.set.may_cancel && !job.closed) {
            acts.push(Action::Cancel { job: id, attempt: n as u32 });
        }
        self.m.learn_wait(waited, self.set.tick as f64);
        self.wake_held(acts);
    }

    /// A job's place among those that wait here: the one that must start soonest first. But where late ones
    /// earn too, one that has waited for its aim goes last, the newest first, or under too much load all
    /// would be served just too late. One turned away again and again has none: its last tries are spread.
    fn turn(&self, id: JobId) -> Option<(bool, Micros, JobId)> {
        let job = self.m.jobs.get(&id).filter(|job| job.bounces() < QUICK_TRIES)?;
        let (latest, class) = (self.latest_start(job), self.class(job));
        let last = class.late_weight > 0.0 && self.m.now >= job.arrived + class.latency_objective;
        Some((last, if last { Micros::MAX - latest } else { latest }, id))
    }

    /// A start or an end may mean room: the jobs that wait here are looked at while one is sent, first the
    /// one that must start soonest.
    fn wake_held(&mut self, acts: &mut Vec<Action>) {
        let mut held: Vec<_> = self.m.held.iter().filter_map(|id| self.turn(*id)).collect();
        held.sort_unstable();
        for (.., id) in held {
            self.m.jobs.entry(id).and_modify(|job| job.wait_until = 0);
            self.review(id, acts);
            if self.m.held.contains(&id) {
                break;
            }
        }
    }

    fn ended(&mut self, end: AttemptEnded, acts: &mut Vec<Action>) {
        let AttemptEnded { job: id, attempt, worker, elapsed, closed, outcome, report } = end;
        let (now, window) = (self.m.now, self.window());
        let Some(job) = self.m.jobs.get_mut(&id) else { return };
        let this = job.attempts.get_mut(attempt as usize).filter(|a| a.worker == worker);
        let Some(this) = this else { return };
        let ran_for = this.running_since.filter(|_| self.set.reports_start).map(|s| now.saturating_sub(s));
        this.state = State::after(outcome);
        let (work, class, bounces) = (job.work, usize::from(job.new.class.0), job.bounces());
        self.m.returned(worker, id, attempt);
        let zone = self.m.worker(worker).known.map(|k| k.zone);
        if outcome.is_rejection() || matches!(outcome, Outcome::Ok | Outcome::Error) {
            self.m.worker(worker).heard = now;
        }
        match outcome {
            Outcome::Ok => {
                let took = ran_for.unwrap_or(elapsed).max(1) as f64; // 0 would make all workers equal
                self.m.class_work[class].add(took);
                self.m.learn(worker, (took / work).min(LONG_ANSWER));
                let state = self.m.worker(worker);
                state.trust = Trust { strikes: state.trust.strikes / 2, until: 0, ..state.trust };
                zone.map(|z| self.m.zones.remove(&z));
            }
            // A bounce is newer than any report: the worker is left alone for a window, without a strike.
            Outcome::Full | Outcome::HandedBack => self.m.worker(worker).trust.until = now + window,
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                self.m.learn(worker, LONG_ANSWER);
                self.strike(worker);
                // A cut shows as connections that fail to workers of another zone.
                if let Some(zone) = zone.filter(|_| outcome == Outcome::ConnectFailed) {
                    self.m.zones.entry(zone).or_default().strike(now, window, MOST_STRIKES[1]);
                }
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
        if closed {
            self.close(id, acts);
        } else if let Some(job) = self.m.jobs.get(&id).filter(|j| !j.closed) {
            let left = u64::from(self.set.max_attempts.saturating_sub(job.sent()));
            // Turned away, or not let out, again and again: the tries left are spread over the time left.
            if bounces >= QUICK_TRIES && outcome.is_transient() && job.out() == 0 && left > 0 {
                let span = self.latest_start(job).saturating_sub(now) / (left + 1);
                let until = now + if outcome == Outcome::NeverSent { span.max(window) } else { span };
                self.m.hold(id, until);
                self.set_timer(id, until, acts);
            }
            self.review(id, acts);
        }
        self.m.forget(id);
        self.wake_held(acts);
        if let Some(report) = report.filter(|_| outcome == Outcome::Ok) {
            self.enter(worker, &report);
        }
    }

    /// Distrust: the entry is cleared and the worker left alone, twice as long each time.
    fn strike(&mut self, id: WorkerId) {
        let (now, window, grouped) = (self.m.now, self.window(), self.m.share.on());
        self.m.fail(id).trust.strike(now, window, MOST_STRIKES[usize::from(grouped)]);
    }

    fn probed(&mut self, echo: ProbeResponse, acts: &mut Vec<Action>) {
        let ProbeResponse { worker: id, outcome, elapsed, report } = echo;
        let Some(worker) = self.m.workers.get_mut(id.0 as usize) else { return };
        let askers = std::mem::take(&mut worker.askers);
        worker.probing = false;
        if outcome == Outcome::Ok {
            worker.heard = self.m.now;
            report.iter().for_each(|report| self.enter(id, report));
        } else if self.m.share.on() || worker.heard + elapsed <= self.m.now {
            self.strike(id); // not heard of since: else it was busy, where a probe waits like a job
        }
        self.m.echo_after.add(elapsed.min(self.window()) as f64);
        for job in askers {
            let Some(state) = self.m.jobs.get_mut(&job) else { continue };
            state.echoes_due = state.echoes_due.saturating_sub(1);
            if state.echoes_due == 0 && state.out() == 0 {
                state.wait_until = 0;
                self.review(job, acts);
            }
        }
    }

    /// Stores a report as a stamped entry and learns the report interval.
    fn enter(&mut self, id: WorkerId, report: &LoadReport) {
        let LoadReport { free_slots, waiting, free_memory: memory, .. } = report.clean();
        // Noise aside, slots are whole: 0.96 free is one.
        let (cpu, free) = (report.clean().cpu.unwrap_or(0.5), free_slots.map(f64::round));
        let slots = self.m.at(id).known.map_or(1.0, |k| self.m.slots(k.kind));
        let served = (cpu * slots / self.m.mean_work() * 1e6).max(MOST_ERRORS);
        if self.m.share.on() && report.clean().err_rps.is_some_and(|errors| errors > served) {
            return self.strike(id);
        }
        self.m.store(id, Entry { at: self.m.now, cpu, free, waiting, memory });
    }
}
