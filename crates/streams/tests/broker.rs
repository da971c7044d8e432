//! The event broker: tables of cases, and random histories in which no client may lose, repeat or reorder events.

use mothproxy_streams::{
    BrokerError, Effect, EventBroker, JobEvent, JobId, Limits, NewJob, Next, PublicJobId, TransferredJob,
    WatchToken, WatcherId,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TOKEN: u128 = 77;

fn new_job(public_id: u64, token: u128, tenant: u32, ends_unwatched: bool) -> NewJob {
    NewJob { public_id: PublicJobId(public_id), token: WatchToken(token), tenant, ends_unwatched }
}

fn watch(
    broker: &mut EventBroker,
    public_id: u64,
    token: u128,
    last_received: Option<u64>,
) -> Result<WatcherId, BrokerError> {
    broker.watch(PublicJobId(public_id), WatchToken(token), last_received)
}

fn broker(limits: Limits) -> (EventBroker, JobId) {
    let mut broker = EventBroker::new(limits);
    let job = broker.add_job(0, new_job(1, TOKEN, 0, false)).expect("below the limits");
    (broker, job)
}

fn progress(broker: &mut EventBroker, job: JobId, n: u64) -> Vec<Effect> {
    let mut effects = Vec::new();
    broker.publish_progress(job, "progress", n.to_string(), &mut effects);
    effects
}

/// All items that a watcher can pull now: the ids of events, and the counts of missed events as negative numbers.
fn pull_all(broker: &mut EventBroker, watcher: WatcherId) -> Vec<i64> {
    let mut all = Vec::new();
    loop {
        match broker.pull(watcher) {
            Next::Event { event, .. } => all.push(event.id as i64),
            Next::Missed(n) => all.push(-(n as i64)),
            Next::Nothing => return all,
        }
    }
}

#[test]
fn a_watcher_resumes_after_the_last_received_event() {
    let (mut broker, job) = broker(Limits::default());
    broker.publish(job, "started", "{}".into(), &mut Vec::new());
    (2..=6).for_each(|n| drop(progress(&mut broker, job, n)));
    // An id that the job has not reached is ignored.
    for (after, first) in [(None, 1), (Some(3), 4), (Some(6), 7), (Some(99), 1)] {
        let watcher = watch(&mut broker, 1, TOKEN, after).expect("id and token are valid");
        assert_eq!(pull_all(&mut broker, watcher), (first..7).collect::<Vec<i64>>(), "after {after:?}");
    }
}

#[test]
fn evicted_events_are_counted_and_the_first_and_final_are_kept() {
    let (mut broker, job) = broker(Limits { ring_events: 3, ..Limits::default() });
    broker.publish(job, "started", "{}".into(), &mut Vec::new());
    (2..=10).for_each(|n| drop(progress(&mut broker, job, n)));
    broker.finish(0, job, "done", "x".into(), &mut Vec::new());
    let fresh = watch(&mut broker, 1, TOKEN, None).expect("id and token are valid");
    assert_eq!(pull_all(&mut broker, fresh), [1, -6, 8, 9, 10, 11]);
    let later = watch(&mut broker, 1, TOKEN, Some(4)).expect("id and token are valid");
    assert_eq!(pull_all(&mut broker, later), [-3, 8, 9, 10, 11]);
    assert_eq!(broker.metrics().missed, 9);
}

#[test]
fn a_slow_reader_gets_the_latest_progress_and_always_the_final_event() {
    let (mut broker, job) = broker(Limits::default());
    let watcher = watch(&mut broker, 1, TOKEN, None).expect("id and token are valid");
    broker.publish(job, "started", "{}".into(), &mut Vec::new());
    (2..=9).for_each(|n| drop(progress(&mut broker, job, n)));
    assert_eq!(pull_all(&mut broker, watcher), [1, 9]);
    (10..=200).for_each(|n| drop(progress(&mut broker, job, n)));
    broker.finish(0, job, "done", "x".into(), &mut Vec::new());
    assert_eq!(pull_all(&mut broker, watcher), [201], "the final event replaces the progress before it");
    assert_eq!(broker.metrics().missed, 0);
}

#[test]
fn a_wrong_token_and_an_unknown_job_get_the_same_error() {
    let (mut broker, job) = broker(Limits::default());
    for (public, token) in [(1, TOKEN + 1), (2, TOKEN), (1, !TOKEN), (2, 0), (9, u128::MAX)] {
        assert_eq!(watch(&mut broker, public, token, None), Err(BrokerError::Unknown));
    }
    // The token of another job is wrong, too.
    broker.add_job(0, new_job(2, TOKEN + 5, 0, false)).expect("below the limits");
    assert_eq!(watch(&mut broker, 1, TOKEN + 5, None), Err(BrokerError::Unknown));
    broker.finish(0, job, "done", "x".into(), &mut Vec::new());
    assert_eq!(watch(&mut broker, 1, TOKEN + 1, Some(1)), Err(BrokerError::Unknown));
}

#[test]
fn a_finished_job_expires_in_two_steps() {
    let limits = Limits::default();
    let (mut broker, job) = broker(limits);
    broker.finish(0, job, "done", "x".into(), &mut Vec::new());
    let again = watch(&mut broker, 1, TOKEN, None).expect("id and token are valid");
    assert_eq!(pull_all(&mut broker, again), [1]);
    broker.remove_watcher(1, again);
    assert_eq!(
        watch(&mut broker, 1, TOKEN, Some(1)),
        Err(BrokerError::StreamEnded),
        "the client has received the final event"
    );
    broker.on_timer(limits.final_event_ttl, &mut Vec::new());
    assert_eq!(watch(&mut broker, 1, TOKEN, None), Err(BrokerError::StreamEnded));
    assert_eq!(watch(&mut broker, 1, TOKEN + 1, None), Err(BrokerError::Unknown));
    assert_eq!(broker.metrics().bytes, 0);
    broker.on_timer(limits.final_event_ttl + limits.token_ttl, &mut Vec::new());
    assert_eq!(watch(&mut broker, 1, TOKEN, None), Err(BrokerError::Unknown));
    assert_eq!((broker.metrics().jobs, broker.metrics().watchers), (0, 0));
}

#[test]
fn a_job_ends_unwatched_only_after_its_last_watcher() {
    let limits = Limits::default();
    let mut broker = EventBroker::new(limits);
    let job = broker.add_job(0, new_job(1, TOKEN, 0, true)).expect("below the limits");
    let other = broker.add_job(0, new_job(2, TOKEN, 0, false)).expect("below the limits");
    let mut effects = Vec::new();
    let (first_watcher, second_watcher) = (
        watch(&mut broker, 1, TOKEN, None).expect("id and token are valid"),
        watch(&mut broker, 1, TOKEN, None).expect("id and token are valid"),
    );
    broker.remove_watcher(10, first_watcher);
    broker.on_timer(10 + limits.unwatched_timeout, &mut effects);
    assert_eq!(effects, [], "a watcher is left");
    broker.remove_watcher(20, second_watcher);
    let third = watch(&mut broker, 1, TOKEN, None).expect("id and token are valid");
    broker.on_timer(20 + limits.unwatched_timeout, &mut effects);
    assert_eq!(effects, [], "a new watcher was added before the timeout");
    broker.remove_watcher(30, third);
    broker.on_timer(30 + limits.unwatched_timeout, &mut effects);
    assert_eq!(effects, [Effect::End(job)]);
    assert!(broker.jobs().contains(&other));
}

#[test]
fn limits_hold_and_finished_jobs_are_evicted_first() {
    let limits = Limits { jobs: 3, streams_per_tenant: 2, ..Limits::default() };
    let mut broker = EventBroker::new(limits);
    let ids: Vec<JobId> =
        (0..3).map(|n| broker.add_job(0, new_job(n, TOKEN, 0, false)).expect("below the limits")).collect();
    assert_eq!(
        broker.add_job(0, new_job(9, TOKEN, 0, false)),
        Err(BrokerError::Full),
        "none of the jobs is finished"
    );
    broker.finish(5, ids[1], "done", "x".into(), &mut Vec::new());
    broker.add_job(6, new_job(9, TOKEN, 1, false)).expect("the finished job is evicted");
    assert_eq!(
        (watch(&mut broker, 1, TOKEN, None), broker.metrics().evicted),
        (Err(BrokerError::Unknown), 1)
    );
    let held = [watch(&mut broker, 0, TOKEN, None), watch(&mut broker, 2, TOKEN, None)]
        .map(|w| w.expect("below the limits"));
    assert_eq!(watch(&mut broker, 0, TOKEN, None), Err(BrokerError::TooManyStreams));
    assert!(watch(&mut broker, 9, TOKEN, None).is_ok(), "another tenant is below its limit");
    broker.remove_watcher(7, held[0]);
    assert!(watch(&mut broker, 0, TOKEN, None).is_ok());
}

/// A client that behaves like a browser: it reconnects with the id of the last event that it received completely.
#[derive(Default)]
struct Client {
    watcher: Option<WatcherId>,
    last: Option<u64>,
    names: Vec<String>,
    finals: usize,
    missed: u64,
}

/// Several clients of one job with disconnections, evictions, slow reads and transfers to another broker.
struct History {
    seed: u64,
    rng: SmallRng,
    limits: Limits,
    broker: EventBroker,
    job: JobId,
    clients: Vec<Client>,
    published: u64,
    /// The number of events of the job, including the final one.
    total: u64,
}

impl History {
    fn new(seed: u64) -> History {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limits = Limits { ring_events: 2 + rng.random_range(0..6), ..Limits::default() };
        let (broker, job) = broker(limits);
        let clients = (0..4).map(|_| Client::default()).collect();
        let total = 2 + rng.random_range(0..40);
        History { seed, rng, limits, broker, job, clients, published: 0, total }
    }

    fn run(mut self) {
        for now in 0..10_000u64 {
            self.step(now);
            if self.published == self.total && self.clients.iter().all(|c| c.finals == 1) {
                break;
            }
        }
        let (seed, total) = (self.seed, self.total);
        for client in &self.clients {
            assert_eq!(client.finals, 1, "seed {seed}: final events of a client");
            assert_eq!(client.last, Some(total), "seed {seed}: last event of a client");
            let starts = client.names.iter().filter(|n| *n == "started").count();
            assert_eq!(
                starts,
                usize::from(total > 1),
                "seed {seed}: a client received the first event {starts} times"
            );
        }
    }

    fn step(&mut self, now: u64) {
        match self.rng.random_range(0..10) {
            0..3 if self.published < self.total => self.publish(now),
            3 if self.rng.random_ratio(1, 3) => self.transfer(now),
            _ => self.read(now),
        }
    }

    fn publish(&mut self, now: u64) {
        self.published += 1;
        match self.published {
            1 => self.broker.publish(self.job, "started", "{}".into(), &mut Vec::new()),
            n if n == self.total => {
                self.broker.finish(now, self.job, "done", "x".into(), &mut Vec::new());
            }
            n => drop(progress(&mut self.broker, self.job, n)),
        }
    }

    /// Simulates a hot restart: all streams end, and the job is transferred to another process.
    fn transfer(&mut self, now: u64) {
        let transferred: TransferredJob = self.broker.transfer(self.job).expect("the broker has the job");
        self.broker = EventBroker::new(self.limits);
        self.job = self.broker.restore(now, transferred).expect("the public id is not in use");
        self.clients.iter_mut().for_each(|client| client.watcher = None);
    }

    /// Connects a random client, or pulls its next item.
    fn read(&mut self, now: u64) {
        let (seed, broker) = (self.seed, &mut self.broker);
        let client = &mut self.clients[self.rng.random_range(0..4)];
        let Some(watcher) = client.watcher else {
            match watch(broker, 1, TOKEN, client.last) {
                Ok(watcher) => client.watcher = Some(watcher),
                Err(BrokerError::StreamEnded) => {
                    assert_eq!(client.finals, 1, "seed {seed}: the stream has ended before the final event");
                }
                Err(why) => panic!("seed {seed}: {why:?}"),
            }
            return;
        };
        let disconnects = self.rng.random_ratio(1, 6);
        match broker.pull(watcher) {
            // An event that was in transit when the client disconnected is lost.
            _ if disconnects => {
                broker.remove_watcher(now, watcher);
                client.watcher = None;
            }
            Next::Event { event, is_final, .. } => {
                client.receive(event, is_final, seed);
                if is_final {
                    broker.remove_watcher(now, watcher);
                    client.watcher = None;
                }
            }
            Next::Missed(n) => client.missed += n,
            Next::Nothing => {}
        }
    }
}

impl Client {
    fn receive(&mut self, event: &JobEvent, is_final: bool, seed: u64) {
        let (id, last) = (event.id, self.last);
        assert!(last.is_none_or(|had| id > had), "seed {seed}: event {id} after event {last:?}");
        self.last = Some(id);
        self.finals += usize::from(is_final);
        self.names.push(event.name.clone());
    }
}

#[test]
fn seeded_histories_give_each_client_one_final_event_and_no_duplicates() {
    let count = std::env::var("STREAM_HISTORIES").ok().and_then(|t| t.parse().ok()).unwrap_or(3_000);
    (0..count).for_each(|seed| History::new(seed).run());
    println!("histories: {count}");
}

/// A final event is awaited from the end of its job until a watcher has received it, but no longer than the caller says.
#[test]
fn knows_whether_a_final_event_was_received() {
    let (mut broker, job) = broker(Limits::default());
    assert!(!broker.has_unreceived_final_event(0), "the job is running");
    broker.finish(1_000, job, "done", "{}".to_owned(), &mut Vec::new());
    assert!(broker.has_unreceived_final_event(1_000));
    assert!(!broker.has_unreceived_final_event(1_001), "the job ended before that time");
    let watcher = watch(&mut broker, 1, TOKEN, None).expect("the job is unknown");
    assert_eq!(pull_all(&mut broker, watcher), [1]);
    assert!(!broker.has_unreceived_final_event(0), "a watcher has received the event");
}
