//! What the decision module remembers: types only; every decision on them is in src/policy/rules.rs.

use crate::policy::gossip::{Seen, Share};
use crate::policy::interface::*;
use crate::policy::rules::Dispatcher;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A running mean; the newest observation weighs at least `1 / MEMORY`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Mean {
    pub value: f64,
    pub count: f64,
}

impl Mean {
    const MEMORY: f64 = 40.0;

    pub fn add(&mut self, x: f64) {
        self.count = (self.count + 1.0).min(Self::MEMORY);
        self.value += (x - self.value) / self.count;
    }

    /// The mean, blended with `weight` observations of `like`.
    pub fn blend(&self, like: f64, weight: f64) -> f64 {
        (self.value * self.count + like * weight) / (self.count + weight)
    }
}

/// A report, stamped at its arrival.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Entry {
    pub at: Micros,
    pub cpu: f64,
    pub free: Option<f64>,
    pub waiting: Option<f64>,
    pub memory: Option<f64>,
}

/// An own attempt that a worker has.
#[derive(Debug)]
pub(crate) struct Out {
    pub job: JobId,
    pub attempt: u32,
    pub at: Micros,
    pub slots: f64,
    pub started: bool,
}

impl Out {
    pub fn is(&self, job: JobId, attempt: u32) -> bool {
        self.job == job && self.attempt == attempt
    }
}

/// How often a worker or zone has failed in a row, when it did last, and until when it is left alone.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Trust {
    pub strikes: u32,
    #[serde(default)]
    pub since: Micros,
    pub until: Micros,
}

impl Trust {
    /// One more failure: left alone for a window, twice as long for each strike before it, up to `most` of them.
    pub fn strike(&mut self, now: Micros, window: Micros, most: u32) {
        (self.since, self.until) = (now, now + (window << self.strikes));
        self.strikes = (self.strikes + 1).min(most);
    }
}

#[derive(Debug, Default)]
pub(crate) struct Worker {
    /// Its line in the roster; `None` when it is not on it.
    pub known: Option<EndpointEntry>,
    /// Its start as last listed, also while it is on no list; `None` before it was on one.
    pub start: Option<Option<Micros>>,
    pub entry: Option<Entry>,
    /// The utilisation reported when it was last granted a job.
    pub granted_cpu: Option<f64>,
    pub out: Vec<Out>,
    pub slow: Mean,
    pub trust: Trust,
    pub probing: bool,
    /// When it last gave a sign of life.
    pub heard: Micros,
    /// Jobs that wait for its echo.
    pub askers: Vec<JobId>,
    /// What it was sent or offered within the fall window: when, and how much each counts for while it is cold. Kept of warm
    /// ones too: that it has started anew may be told late.
    pub sent: VecDeque<(Micros, f64)>,
}

impl Worker {
    /// It has failed and has given no sign of life since.
    pub fn doubted(&self) -> bool {
        self.trust.strikes > 0 && self.heard <= self.trust.since
    }

    /// The slots that own attempts take or wait for there.
    pub fn held(&self) -> f64 {
        self.out.iter().map(|o| o.slots).sum()
    }

    /// It has work of ours that it has not started.
    pub fn keeps_waiting(&self) -> bool {
        self.out.iter().any(|o| !o.started)
    }

    /// How much it was sent later than this.
    pub fn sent_since(&self, since: Micros) -> f64 {
        self.sent.iter().filter(|(at, _)| *at > since).map(|(_, work)| work).sum()
    }
}

/// How a worker stands for a job, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Its entry is fresh and below full.
    Fresh,
    /// It has no fresh entry.
    Unknown,
    Full,
    /// Full, with a queue longer than the job can wait.
    TooLong,
    /// It has no fresh entry where a probe would tell, and the job could not be moved away again.
    Unprobed,
    /// It is not trusted for now: the last resort, where there is no other.
    Shunned,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    Out,
    Running,
    /// It never left this node, and counts as no attempt.
    NeverLeft,
    /// Its worker may be tried again.
    NeverRan,
    /// It never ran either, but the call that said so may come again, and names no attempt: its worker gets no other.
    HandedBack,
    MayHaveRun,
}

impl State {
    pub fn after(outcome: Outcome) -> State {
        match outcome {
            Outcome::NeverSent => State::NeverLeft,
            Outcome::HandedBack => State::HandedBack,
            _ if outcome.never_ran() => State::NeverRan,
            _ => State::MayHaveRun,
        }
    }
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub at: Micros,
    pub state: State,
    pub running_since: Option<Micros>,
    /// Its worker's report had room for it, and it is not yet overdue to start.
    pub promised: bool,
}

impl Attempt {
    pub fn new(worker: WorkerId, at: Micros, rank: Rank) -> Self {
        Attempt { worker, at, state: State::Out, running_since: None, promised: rank == Rank::Fresh }
    }

    pub fn is_out(&self) -> bool {
        matches!(self.state, State::Out | State::Running)
    }

    pub fn never_ran(&self) -> bool {
        matches!(self.state, State::NeverLeft | State::NeverRan | State::HandedBack)
    }

    /// Whether its worker may not have another attempt of its job.
    pub fn bars(&self) -> bool {
        !matches!(self.state, State::NeverLeft | State::NeverRan)
    }
}

#[derive(Debug)]
pub(crate) struct Job {
    pub new: NewJob,
    pub arrived: Micros,
    /// Expected work.
    pub work: f64,
    pub attempts: Vec<Attempt>,
    /// Workers probed for it, and how many of them have not answered yet.
    pub sample: Vec<WorkerId>,
    pub echoes_due: usize,
    /// It is not looked at before this, unless an echo or a free worker turns up.
    pub wait_until: Micros,
    pub closed: bool,
}

impl Job {
    pub fn new(new: NewJob, arrived: Micros, work: f64) -> Self {
        let (attempts, sample) = (Vec::new(), Vec::new());
        Job { new, arrived, work, attempts, sample, echoes_due: 0, wait_until: 0, closed: false }
    }

    /// Attempts that left this node, or may.
    pub fn sent(&self) -> u32 {
        self.attempts.iter().filter(|a| a.state != State::NeverLeft).count() as u32
    }

    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_out()).count()
    }

    /// Attempts that never ran.
    pub fn bounces(&self) -> usize {
        self.attempts.iter().filter(|a| a.never_ran()).count()
    }

    pub fn newest_unstarted(&mut self) -> Option<&mut Attempt> {
        self.attempts.iter_mut().rfind(|a| a.state == State::Out)
    }

    pub fn any(&self, state: State) -> bool {
        self.attempts.iter().any(|a| a.state == state)
    }
}

/// All that an instance has learned since its start.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    pub now: Micros,
    /// What the nodes of its group have told it.
    pub share: Share,
    pub workers: Vec<Worker>,
    /// Workers that may have work out or be in doubt: every one handed out by [`Memory::worker`], until [`Memory::tell`]
    /// finds it with neither. Work is granted and strikes are given only through it, so this holds all that `tell`
    /// says, and it need not walk every worker (58 % of a job's time at 10,000 workers, `make bench-decision`).
    stirred: BTreeSet<u32>,
    /// Ready workers: those of the own zone, all of them, and those not warm yet.
    pub home: Vec<WorkerId>,
    pub ready: Vec<WorkerId>,
    pub cold: Vec<WorkerId>,
    /// The sizes of the ready workers of each kind, together.
    weights: BTreeMap<KindId, f64>,
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that wait here for a worker, oldest first.
    pub held: Vec<JobId>,
    /// Reports say how many jobs wait.
    pub tells_queue: bool,
    pub last_grant: Option<WorkerId>,
    pub zones: BTreeMap<ZoneId, Trust>,
    pub roster_failures: u32,
    /// Answer time for each unit of expected work: by kind, and of all.
    pub kind_slow: BTreeMap<KindId, Mean>,
    pub slow: Mean,
    /// The most free slots that a worker of the kind has reported.
    pub kind_slots: BTreeMap<KindId, f64>,
    /// Reports come with probes alone, so that they are as new as their echo.
    pub probed: bool,
    /// For each class the mean run time, and how much work has arrived in how many jobs.
    pub class_work: Vec<Mean>,
    pub class_sum: Vec<(f64, f64)>,
    /// What a job of each class may take, where they come without a hint; else 0.
    pub class_longest: Vec<f64>,
    /// Time between reports of one worker; time until a job shows that it runs; time until an echo.
    pub report_interval: f64,
    pub sign_after: f64,
    pub echo_after: Mean,
}

impl Memory {
    /// One that knows nothing yet, but for a guess at the time between reports.
    pub fn of(set: &Settings, report_interval: f64) -> Memory {
        let (sign_after, share) = (4.0 * set.tick as f64, Share::of(set));
        let mut new = Memory { report_interval, sign_after, share, ..Memory::default() };
        new.refit(set);
        new
    }

    /// Makes room for these settings' classes, and for their group of nodes if it is another.
    pub fn refit(&mut self, set: &Settings) {
        self.probed = set.reports == Reports::Probes;
        self.class_work.resize(set.classes.len(), Mean::default());
        self.class_sum.resize(set.classes.len(), (0.0, 0.0));
        self.class_longest.resize(set.classes.len(), 0.0);
        self.share.regroup(set);
    }

    /// Observations of its like that a worker's or kind's own record is blended with.
    const PRIOR: f64 = 3.0;

    pub fn worker(&mut self, id: WorkerId) -> &mut Worker {
        if self.workers.len() <= id.0 as usize {
            self.workers.resize_with(id.0 as usize + 1, Worker::default);
        }
        self.stirred.insert(id.0);
        &mut self.workers[id.0 as usize]
    }

    pub fn at(&self, id: WorkerId) -> &Worker {
        &self.workers[id.0 as usize]
    }

    /// The worker's entry, if it is not older than this.
    pub fn fresh(&self, id: WorkerId, window: Micros) -> Option<&Entry> {
        self.at(id).entry.as_ref().filter(|e| self.now <= e.at + window)
    }

    /// Lists the ready workers anew.
    pub fn index(&mut self, zone: ZoneId, warm_up_time: Micros) {
        let ready = self.workers.iter().filter_map(|w| w.known.filter(|k| k.status == Status::Ready));
        let now = self.now;
        let ids =
            |keep: &dyn Fn(&EndpointEntry) -> bool| ready.clone().filter(keep).map(|k| k.worker).collect();
        self.home = ids(&|k| k.zone == zone);
        self.cold = ids(&|k| k.started_at.is_some_and(|s| now < s.saturating_add(warm_up_time)));
        self.ready = ids(&|_| true);
        self.weights.clear();
        for known in ready.clone() {
            *self.weights.entry(known.kind).or_default() += known.weight.max(0.01);
        }
        self.share.deal(&ready.collect::<Vec<_>>(), &self.cold);
    }

    /// Counts a job in; `longest` is what it may take where nothing is told of it.
    pub fn note_arrival(&mut self, class: usize, work: f64, longest: f64) {
        let (sum, count) = &mut self.class_sum[class];
        (*sum, *count) = (*sum + work, *count + 1.0);
        self.class_longest[class] = longest;
    }

    pub fn mean_work(&self) -> f64 {
        let (sum, count) = self.class_sum.iter().fold((0.0, 0.0), |a, c| (a.0 + c.0, a.1 + c.1));
        (sum / f64::max(count, 1.0)).max(1.0)
    }

    /// The mean work of a call, for what a cold worker bears of them: of each class no less than its jobs have taken; where
    /// none has ended yet and nothing is told of them, as long as they may take. (A guess at their work is the class's aim:
    /// a small part of it perhaps, and a process that has just started would send so many times its part.)
    pub fn mean_call(&self) -> f64 {
        let (mut sum, mut all) = (0.0, 0.0);
        for (n, (work, count)) in self.class_sum.iter().enumerate().filter(|(_, (_, count))| *count > 0.0) {
            let (took, longest) = (self.class_work[n], self.class_longest[n]);
            sum += work.max(count * if took.count > 0.0 { took.value } else { longest });
            all += count;
        }
        (sum / f64::max(all, 1.0)).max(1.0)
    }

    /// Lets a job wait here until then, unless room shows before.
    pub fn hold(&mut self, id: JobId, until: Micros) {
        self.jobs.entry(id).and_modify(|job| job.wait_until = until);
        if !self.held.contains(&id) {
            self.held.push(id);
        }
    }

    /// Enters the attempts that another process of this node made for a job.
    pub fn take_over(&mut self, id: JobId, past: &[PriorAttempt]) {
        for (attempt, past) in (0..).zip(past) {
            let PriorAttempt { worker, at, running_since, .. } = *past;
            let Some(job) = self.jobs.get_mut(&id) else { return };
            let state = match (past.out, running_since, past.never_ran) {
                (true, None, _) => State::Out,
                (true, Some(_), _) => State::Running,
                (false, _, true) if past.handed_back => State::HandedBack,
                (false, _, true) => State::NeverRan,
                (false, _, false) => State::MayHaveRun,
            };
            job.attempts.push(Attempt { worker, at, state, running_since, promised: false });
            let (slots, started) = (job.new.slots, running_since.is_some());
            let worker = self.worker(worker);
            if past.out {
                worker.out.push(Out { job: id, attempt, at, slots, started });
                self.share.news = true;
            }
        }
    }

    /// An attempt never left this node.
    pub fn never_left(&mut self, id: JobId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(this) = job.attempts.get_mut(attempt as usize) else { return };
        this.state = State::NeverLeft;
        let worker = this.worker;
        self.returned(worker, id, attempt);
    }

    /// A worker is sent or offered so much work, remembered for a window. There a small call counts as a mean one: many small
    /// ones push a cold worker over as well.
    pub fn count(&mut self, to: WorkerId, work: f64, window: Micros) {
        let (now, work) = (self.now, work.max(self.mean_call()));
        let worker = self.worker(to);
        while worker.sent.front().is_some_and(|(at, _)| *at + window <= now) {
            worker.sent.pop_front();
        }
        worker.sent.push_back((now, work));
    }

    /// A worker is granted an attempt.
    pub fn grant(&mut self, to: WorkerId, out: Out) {
        let worker = self.worker(to);
        worker.granted_cpu = worker.entry.as_ref().map(|e| e.cpu);
        worker.out.push(out);
        self.share.use_offer(to);
        (self.last_grant, self.share.news) = (Some(to), true);
    }

    /// Enters what the roster says. One that has started anew is known no longer.
    pub fn list(&mut self, kind: ListKind, entries: &[EndpointEntry]) {
        if kind != ListKind::Delta {
            self.workers.iter_mut().for_each(|w| w.known = None);
        }
        for entry in entries {
            let worker = self.worker(entry.worker);
            let listed = entry.status != Status::Gone;
            if listed && worker.start.replace(entry.started_at).is_some_and(|s| s != entry.started_at) {
                (worker.entry, worker.trust) = (None, Trust::default());
            }
            // What went to it before it started did not reach what is there now; what came after counts, however late it is told.
            worker.sent.retain(|(at, _)| entry.started_at.is_none_or(|start| *at > start));
            worker.known = listed.then_some(*entry);
        }
    }

    /// A worker has no more to do with an attempt.
    pub fn returned(&mut self, worker: WorkerId, job: JobId, attempt: u32) {
        self.worker(worker).out.retain(|o| !o.is(job, attempt));
        self.share.news = true;
    }

    /// Tells the group what is out, if there is news of it or it is to be said again.
    pub fn tell(&mut self, acts: &mut Vec<Action>) {
        let (workers, mut seen) = (&self.workers, Vec::new());
        self.stirred.retain(|id| {
            let w = &workers[*id as usize];
            let doubted = w.doubted();
            let stirred = !w.out.is_empty() || doubted;
            if let Some(known) = w.known.filter(|_| stirred) {
                let out = w.out.iter().map(|o| o.slots).collect();
                seen.push(Seen { worker: known.worker, tag: known.tag, out, doubted });
            }
            stirred
        });
        self.share.tell(self.now, &seen, acts);
    }

    /// A worker that has failed: its entry is cleared, and the group is told.
    pub fn fail(&mut self, id: WorkerId) -> &mut Worker {
        self.share.news = true;
        let worker = self.worker(id);
        worker.entry = None;
        worker
    }

    /// Whether a worker has failed, here or at a mate, and has given no sign of life here since.
    pub fn doubts(&self, worker: &Worker) -> bool {
        let by_mates = |known| self.share.doubted(known, worker.heard, self.now);
        worker.doubted() || worker.known.as_ref().is_some_and(by_mates)
    }

    /// A running quartile of the wait for a start: three steps down for one up.
    pub fn learn_wait(&mut self, waited: f64, least: f64) {
        self.sign_after *= if waited < self.sign_after { 0.85 } else { 1.05 };
        self.sign_after = self.sign_after.max(least);
    }

    /// Stores a worker's stamped entry; the time since the one before, and the free slots, are learned from.
    pub fn store(&mut self, id: WorkerId, entry: Entry) {
        let Entry { at, free, waiting, .. } = entry;
        self.tells_queue |= waiting.is_some();
        if let Some(last) = self.worker(id).entry.replace(entry) {
            let step = (at - last.at) as f64 - self.report_interval;
            self.report_interval += step * if step < 0.0 { 0.1 } else { 0.01 };
        }
        let Some(known) = self.worker(id).known else { return };
        // Where reports come with probes alone, the first that tells of room says that work known to be there takes the
        // rest. Not later ones: what is on its way would count now and then, and the most is kept.
        let first = !self.kind_slots.contains_key(&known.kind);
        let known_out = || self.share.load(&known, self.now).unwrap_or(0.0) + self.at(id).held();
        let taken = if first && self.probed { known_out() } else { 0.0 };
        if free.is_none_or(|free| free >= 1.0 || !first) {
            let most = self.kind_slots.entry(known.kind).or_insert(1.0);
            *most = most.max(free.map_or(1.0, |free| free + taken));
        }
    }

    /// Drops a job that is over and has nothing out.
    pub fn forget(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| job.closed && job.out() == 0) {
            self.jobs.remove(&id);
        }
    }

    pub fn is_warm(&self, known: &EndpointEntry, warm_up_time: Micros) -> bool {
        known.started_at.is_none_or(|s| self.now >= s.saturating_add(warm_up_time))
    }

    /// Whether a report has told how much workers of its kind can run, or that none tells it.
    pub fn is_sized(&self, worker: &Worker) -> bool {
        worker.known.is_none_or(|known| self.kind_slots.contains_key(&known.kind))
    }

    /// The most free slots that a worker of the kind has reported.
    pub fn slots(&self, kind: KindId) -> f64 {
        self.kind_slots.get(&kind).copied().unwrap_or(1.0)
    }

    /// Answer time for each unit of expected work; an untried worker counts at the mean of its like.
    pub fn slowness(&self, worker: &Worker, known: &EndpointEntry) -> f64 {
        worker.slow.blend(self.kind_slowness(known.kind), Self::PRIOR)
    }

    pub fn kind_slowness(&self, kind: KindId) -> f64 {
        let all = if self.slow.count > 0.0 { self.slow.value } else { 1.0 };
        self.kind_slow.get(&kind).map_or(all, |k| k.blend(all, Self::PRIOR))
    }

    /// Size over slowness of the ready workers of a kind, or of all.
    pub fn capacity(&self, kind: Option<KindId>) -> f64 {
        let of_kind = self.weights.iter().filter(|(k, _)| kind.is_none_or(|kind| kind == **k));
        of_kind.map(|(kind, weight)| weight / self.kind_slowness(*kind)).sum()
    }

    /// How much of the kind's fair part of all work is work that only this kind can run.
    pub fn bound_share(&self, classes: &[Class], kind: KindId) -> f64 {
        let sums = classes.iter().zip(&self.class_sum);
        let bound: f64 = sums.filter(|(c, _)| c.kind == Some(kind)).map(|(_, (sum, _))| *sum).sum();
        let all: f64 = self.class_sum.iter().map(|c| c.0).sum();
        let fair = all * self.capacity(Some(kind)) / self.capacity(None);
        if fair > 0.0 { bound / fair } else { 0.0 }
    }

    pub fn learn(&mut self, id: WorkerId, slowness: f64) {
        self.slow.add(slowness);
        let worker = self.worker(id);
        worker.slow.add(slowness);
        if let Some(known) = worker.known {
            self.kind_slow.entry(known.kind).or_default().add(slowness);
        }
    }
}

/// What an instance has learned of a worker.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct LearnedWorker {
    entry: Option<Entry>,
    granted_cpu: Option<f64>,
    slow: Mean,
    trust: Trust,
    heard: Micros,
    /// Earlier versions' stretches, which theirs have to find here.
    cold: (u64, f64),
    #[serde(default)]
    sent: VecDeque<(Micros, f64)>,
}

/// What an instance has learned, for another one that goes on in its place. Numbers and times are those of the first.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Learned {
    workers: Vec<LearnedWorker>,
    kind_slow: Vec<(u16, Mean)>,
    kind_slots: Vec<(u16, f64)>,
    classes: Vec<(Mean, (f64, f64))>,
    slow: Mean,
    report_interval: f64,
    sign_after: f64,
    echo_after: Mean,
    tells_queue: bool,
}

/// Where the numbers of [`Learned`] lead at the instance that goes on: by the first one's number, its own, if it has one.
#[derive(Clone, Debug, Default)]
pub struct Places {
    /// Workers.
    pub workers: Vec<Option<WorkerId>>,
    /// Kinds.
    pub kinds: Vec<Option<KindId>>,
    /// Classes.
    pub classes: Vec<Option<ClassId>>,
}

impl Dispatcher {
    /// How many listed workers get no work now: those that drain or start no connection or job of ours.
    pub fn avoided(&self, now: Micros) -> usize {
        let cut = |zone| self.m.zones.get(&zone).is_some_and(|z| now < z.until);
        let struck = |w: &Worker| w.trust.strikes > 0 && now < w.trust.until;
        let avoids = |w: &Worker, k: EndpointEntry| {
            k.status != Status::Ready || struck(w) || (k.zone != self.set.zone && cut(k.zone))
        };
        self.m.workers.iter().filter(|w| w.known.is_some_and(|k| avoids(w, k))).count()
    }

    /// What was learned of one class holds for another one too.
    pub fn liken(&mut self, class: usize, to: usize) {
        self.m.class_work[class] = self.m.class_work[to];
        self.m.class_sum[class] = self.m.class_sum[to];
    }

    /// What it has learned so far.
    pub fn learned(&self) -> Learned {
        let worker = |w: &Worker| LearnedWorker {
            entry: w.entry.clone(),
            granted_cpu: w.granted_cpu,
            slow: w.slow,
            trust: w.trust,
            heard: w.heard,
            cold: (0, 0.0),
            sent: w.sent.clone(),
        };
        let m = &self.m;
        Learned {
            workers: m.workers.iter().map(worker).collect(),
            kind_slow: m.kind_slow.iter().map(|(kind, mean)| (kind.0, *mean)).collect(),
            kind_slots: m.kind_slots.iter().map(|(kind, most)| (kind.0, *most)).collect(),
            classes: m.class_work.iter().copied().zip(m.class_sum.iter().copied()).collect(),
            slow: m.slow,
            report_interval: m.report_interval,
            sign_after: m.sign_after,
            echo_after: m.echo_after,
            tells_queue: m.tells_queue,
        }
    }

    /// Begins with what another instance had learned, whose clock is behind by `shift`.
    pub fn recall(&mut self, learned: Learned, places: &Places, shift: i64) {
        let here = |at: Micros| at.saturating_add_signed(shift);
        let m = &mut self.m;
        for (worker, place) in learned.workers.into_iter().zip(&places.workers) {
            let Some(id) = place else { continue };
            let LearnedWorker { entry, granted_cpu, slow, trust, heard, sent, .. } = worker;
            let own = m.worker(*id);
            own.entry = entry.map(|e| Entry { at: here(e.at), ..e });
            let here = |at: Micros| if at > 0 { here(at) } else { 0 };
            own.trust = Trust { until: here(trust.until), since: here(trust.since), ..trust };
            own.heard = here(heard);
            (own.granted_cpu, own.slow) = (granted_cpu, slow);
            own.sent = sent.into_iter().map(|(at, work)| (at.saturating_add_signed(shift), work)).collect();
        }
        let kind = |n: u16| places.kinds.get(usize::from(n)).copied().flatten();
        m.kind_slow.extend(learned.kind_slow.into_iter().filter_map(|(n, mean)| Some((kind(n)?, mean))));
        m.kind_slots.extend(learned.kind_slots.into_iter().filter_map(|(n, most)| Some((kind(n)?, most))));
        for ((work, sum), place) in learned.classes.into_iter().zip(&places.classes) {
            let Some(n) = place.map(|id| usize::from(id.0)).filter(|n| *n < m.class_work.len()) else {
                continue;
            };
            (m.class_work[n], m.class_sum[n]) = (work, sum);
        }
        (m.slow, m.echo_after, m.tells_queue) = (learned.slow, learned.echo_after, learned.tells_queue);
        let sound = |x: f64, own: f64| if x.is_finite() && x > 0.0 { x } else { own };
        m.report_interval = sound(learned.report_interval, m.report_interval);
        m.sign_after = sound(learned.sign_after, m.sign_after);
    }
}
