//! A simulated fleet of decision modules in one thread. Actions are performed immediately, and peer messages arrive without delay.

use crate::common::*;
use crate::{DISPATCHERS, SLOTS, WORKERS, load_report, settings, settings_without_messages};
use mothproxy::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The time between the arrivals of two jobs.
pub const ARRIVAL_INTERVAL: Micros = 3 * MS;
/// The time for which the client of a job waits.
const TIME_BUDGET: Micros = 7_000 * MS;
/// The id of the first job of [`Fleet::submit_to_each`].
const FIRST_JOB: u64 = 1_000;

/// A job that runs at a worker, and the dispatcher that sent it.
struct RunningJob {
    dispatcher: u32,
    job: u64,
}

/// The counters of a fleet since its start.
#[derive(Default)]
pub struct Counters {
    /// The pairs of a dispatcher and a worker to which it has sent a job or a probe.
    pub links: BTreeSet<(u32, WorkerId)>,
    pub attempts: usize,
    pub probes: usize,
    /// The number of messages between dispatchers.
    pub datagrams: usize,
    /// The number of calls to the discovery service, which refuses them all.
    pub watch_calls: usize,
    /// The greatest number of jobs that one worker had at once.
    pub max_jobs_per_worker: usize,
}

/// Dispatchers that all have the same endpoint list.
pub struct Fleet {
    pub dispatchers: Vec<TestDispatcher>,
    pub counters: Counters,
    /// The jobs at each worker, the oldest first.
    running: BTreeMap<u32, VecDeque<RunningJob>>,
}

impl Fleet {
    /// Creates a fleet of the default size, whose dispatchers message their peers.
    pub fn new() -> Fleet {
        Fleet::with_size(DISPATCHERS)
    }

    /// Creates a fleet of this many dispatchers, which message their peers.
    pub fn with_size(count: u32) -> Fleet {
        Fleet::with_settings(count, settings)
    }

    /// Creates a fleet of the default size, whose dispatchers do not message their peers.
    pub fn without_messages() -> Fleet {
        Fleet::with_settings(DISPATCHERS, settings_without_messages)
    }

    fn with_settings(count: u32, settings: impl Fn(u32) -> Settings) -> Fleet {
        let dispatcher = |index| {
            let settings = Settings {
                dispatcher_count: count,
                list_on_request: true,
                max_poll_interval: Some(2_000 * MS),
                ..settings(index)
            };
            let mut dispatcher = TestDispatcher::with_seed(settings, u64::from(index));
            dispatcher.load_cached_list((0..WORKERS).map(worker).collect());
            // One report shows how many slots workers of this kind have.
            dispatcher.report_load(0, 0.0, SLOTS);
            dispatcher
        };
        Fleet {
            dispatchers: (0..count).map(dispatcher).collect(),
            counters: Counters::default(),
            running: BTreeMap::new(),
        }
    }

    /// Performs the actions of a dispatcher, and those that result from them.
    pub fn perform(&mut self, from: u32, actions: &[Action]) {
        for (job, worker) in sends(actions) {
            self.start_job(from, job, worker);
        }
        for worker in probes(actions) {
            self.answer_probe(from, worker);
        }
        if actions.contains(&Action::OpenWatch) {
            self.counters.watch_calls += 1;
            self.feed(from, Event::ListFailed);
        }
        for PeerDatagram { to, bytes } in peer_datagrams(actions) {
            self.counters.datagrams += 1;
            self.feed(to, Event::PeerMessage { from, bytes });
        }
    }

    fn feed(&mut self, dispatcher: u32, event: Event) {
        let actions = self.dispatchers[dispatcher as usize].feed(event);
        self.perform(dispatcher, &actions);
    }

    /// Starts a job at a worker as soon as it is sent, without a limit on the jobs there.
    fn start_job(&mut self, dispatcher: u32, job: u64, worker: WorkerId) {
        let jobs = self.running.entry(worker.0).or_default();
        jobs.push_back(RunningJob { dispatcher, job });
        self.counters.max_jobs_per_worker = self.counters.max_jobs_per_worker.max(jobs.len());
        self.counters.attempts += 1;
        self.counters.links.insert((dispatcher, worker));
        self.feed(dispatcher, Event::Started { job: JobId(job), attempt: 0 });
    }

    /// Answers a probe with the report of an idle worker, like a report that is older than the worker's jobs.
    fn answer_probe(&mut self, dispatcher: u32, worker: WorkerId) {
        self.counters.probes += 1;
        self.counters.links.insert((dispatcher, worker));
        let idle = load_report(0.0, SLOTS, 0.0);
        let actions = self.dispatchers[dispatcher as usize].end_probe(worker.0, Outcome::Ok, idle);
        self.perform(dispatcher, &actions);
    }

    /// Calls `act` for one dispatcher after the other, and performs the resulting actions.
    pub fn for_each(&mut self, act: impl Fn(&mut TestDispatcher) -> Vec<Action>) {
        for number in 0..self.dispatchers.len() {
            let actions = act(&mut self.dispatchers[number]);
            self.perform(number as u32, &actions);
        }
    }

    /// Advances the time by `span`, for one dispatcher after the other.
    pub fn advance(&mut self, span: Micros) {
        self.for_each(|dispatcher| dispatcher.advance(span));
    }

    /// Lets a job arrive at a dispatcher, then advances the time by [`ARRIVAL_INTERVAL`].
    pub fn submit(&mut self, dispatcher: u32, job: u64) {
        let actions = self.dispatchers[dispatcher as usize].arrive(job, 0, TIME_BUDGET);
        self.perform(dispatcher, &actions);
        self.advance(ARRIVAL_INTERVAL);
    }

    /// Lets this many jobs arrive at each dispatcher of a fleet of the default size, in turn.
    pub fn submit_to_each(&mut self, jobs_each: u32) {
        for number in 0..jobs_each * DISPATCHERS {
            self.submit(number % DISPATCHERS, FIRST_JOB + u64::from(number));
        }
    }

    /// Ends the oldest job of a worker, if it has one.
    pub fn end_oldest_job(&mut self, worker: u32) {
        let oldest = self.running.get_mut(&worker).and_then(VecDeque::pop_front);
        let Some(RunningJob { dispatcher, job }) = oldest else { return };
        let ended = self.dispatchers[dispatcher as usize].end_attempt(job, 0, WorkerId(worker), Outcome::Ok);
        self.perform(dispatcher, &ended);
    }

    /// The worker that runs a job, if one does.
    pub fn worker_of(&self, job: u64) -> Option<u32> {
        let runs = |jobs: &VecDeque<RunningJob>| jobs.iter().any(|running| running.job == job);
        self.running.iter().find(|(_, jobs)| runs(jobs)).map(|(worker, _)| *worker)
    }

    /// The number of running jobs.
    pub fn running_jobs(&self) -> usize {
        self.running.values().map(VecDeque::len).sum()
    }

    /// The number of workers that run a job.
    pub fn busy_workers(&self) -> usize {
        self.running.values().filter(|jobs| !jobs.is_empty()).count()
    }

    /// Asserts that no worker ever had more jobs at once than its slots plus `excess`.
    pub fn assert_overcommitted_by_at_most(&self, excess: usize) {
        let max = self.counters.max_jobs_per_worker;
        assert!(max <= SLOTS as usize + excess, "{max} jobs at once on one worker");
    }

    /// Asserts that no worker ever had more jobs at once than it has slots.
    pub fn assert_within_slots(&self) {
        self.assert_overcommitted_by_at_most(0);
    }
}
