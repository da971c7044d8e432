//! The state of the decision module. It only keeps records; the decisions based on them are in `src/policy/rules`.
//!
//! The methods of [`PolicyState`] are split by task. `jobs` and `attempts` record a job from its arrival to its end, and
//! `probes` its load probes. `failures` records the failures of workers and zones, `capacity` the load and the slots of workers.
//! Each part of the state maintains its own invariants. Decisions read the state through shared references and change it only
//! through its methods.

mod attempts;
mod capacity;
mod class_stats;
mod estimates;
mod failures;
mod job;
mod job_queue;
mod jobs;
mod learned;
mod list_backoff;
mod mean;
mod outlier_record;
mod probes;
mod ready_workers;
mod worker;
mod worker_table;
mod zone_outliers;

pub(crate) use attempts::{EndedAttempt, StartedAttempt};
pub(crate) use estimates::BoundFraction;
pub(crate) use estimates::Estimates;
pub(crate) use job::{Attempt, AttemptState, Job};
pub use learned::{IdMap, Learned, LearnedByWorker};
pub(crate) use mean::Mean;
pub(crate) use outlier_record::OutlierRecord;
pub(crate) use ready_workers::MIN_WEIGHT;
pub(crate) use worker::{LoadSample, Worker};

use crate::policy::gossip::{GroupGossip, PeerRequest};
use crate::policy::interface::{
    Action, EndpointEntry, JobId, ListKind, Micros, PeerPresence, Settings, WorkerId, ZoneId,
};
use job_queue::JobQueue;
use list_backoff::ListBackoff;
use ready_workers::ReadyWorkers;
use std::collections::BTreeMap;
use worker_table::WorkerTable;
use zone_outliers::ZoneOutliers;

/// The complete state of an instance, except for its settings and its random numbers.
#[derive(Debug, Default)]
pub(crate) struct PolicyState {
    /// The time of the event that is being handled.
    now: Micros,
    /// The knowledge about this dispatcher's group, with what its members have advertised.
    gossip: GroupGossip,
    workers: WorkerTable,
    ready: ReadyWorkers,
    jobs: BTreeMap<JobId, Job>,
    queue: JobQueue,
    /// The worker to which the most recent attempt was sent.
    last_assigned: Option<WorkerId>,
    zones: ZoneOutliers,
    list_backoff: ListBackoff,
    /// The estimates learned from reports and run times.
    estimates: Estimates,
}

/// The queries that decisions use.
impl PolicyState {
    /// The time of the event that is being handled.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The knowledge about this dispatcher's group.
    pub fn gossip(&self) -> &GroupGossip {
        &self.gossip
    }

    /// The estimates learned from reports and run times.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// The ready workers of the last endpoint list.
    pub fn ready(&self) -> &ReadyWorkers {
        &self.ready
    }

    /// The worker with this id.
    ///
    /// # Panics
    ///
    /// Panics if the worker is not known.
    pub fn worker(&self, id: WorkerId) -> &Worker {
        self.workers.get(id)
    }

    /// Whether the most recent attempt was sent to this worker.
    pub fn is_last_assigned(&self, id: WorkerId) -> bool {
        self.last_assigned == Some(id)
    }

    /// A job, if it is open or has an outstanding attempt.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// A job, if its final response is still due.
    pub fn open_job(&self, id: JobId) -> Option<&Job> {
        self.job(id).filter(|job| job.is_open())
    }

    /// The jobs that are queued at this dispatcher, waiting for a worker.
    pub fn queue(&self) -> &JobQueue {
        &self.queue
    }

    /// The number of times that the wait for the next endpoint list is doubled.
    pub fn list_wait_doublings(&self) -> u32 {
        self.list_backoff.doublings()
    }
}

/// Time, settings and the endpoint list.
impl PolicyState {
    /// Creates an empty state. `report_interval` is the first estimate of the time between reports, in microseconds.
    pub fn new(settings: &Settings, report_interval: f64) -> PolicyState {
        PolicyState {
            gossip: GroupGossip::new(settings),
            estimates: Estimates::new(settings, report_interval),
            ..PolicyState::default()
        }
    }

    /// Sets the time to `now`, unless that is earlier than the current time.
    pub fn advance_to(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Adapts to new settings: to their classes, and to their group of dispatchers if it has changed.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.estimates.reconfigure(settings);
        self.gossip.regroup(settings);
        self.index_ready(settings);
    }

    /// Applies an endpoint list. A list that is not a cached one ends the back-off.
    pub fn update_list(&mut self, kind: ListKind, entries: &[EndpointEntry], settings: &Settings) {
        if kind != ListKind::Delta || !entries.is_empty() {
            self.workers.update_list(kind, entries);
            self.index_ready(settings);
        }
        if kind != ListKind::Cached {
            self.list_backoff.record_success();
        }
    }

    /// Records that a request for the endpoint list has failed.
    pub fn record_list_failure(&mut self) {
        self.list_backoff.record_failure();
    }

    /// Rebuilds the index of the ready workers and assigns them to the groups.
    fn index_ready(&mut self, settings: &Settings) {
        let entries = self.workers.ready_entries();
        self.ready = ReadyWorkers::new(&entries, settings.zone, self.now, settings.warm_up_time);
        self.gossip.assign(&entries, self.ready.warming_up());
    }
}

/// The group of dispatchers.
impl PolicyState {
    /// Applies the presence of each dispatcher, by index. If the presence of any dispatcher has changed, the workers are assigned
    /// to the groups again.
    pub fn update_presence(&mut self, peers: &[PeerPresence], settings: &Settings) {
        if self.gossip.set_presence(self.now, peers) {
            self.index_ready(settings);
        }
    }

    /// Handles another dispatcher's message, and returns the request that it contains, if there is one.
    pub fn receive_message(&mut self, from: u32, bytes: &[u8]) -> Option<PeerRequest> {
        self.gossip.receive(self.now, from, bytes)
    }

    /// Advertises this dispatcher's outstanding attempts and suspect workers, if they have changed or are due again.
    pub fn advertise(&mut self, actions: &mut Vec<Action>) {
        let own_loads = self.workers.own_loads();
        self.gossip.advertise(self.now, &own_loads, actions);
    }

    /// Sets the timer of the next advertisement, if there are changes to advertise.
    pub fn schedule_advertisement(&mut self, actions: &mut Vec<Action>) {
        self.gossip.schedule_advertisement(actions);
    }

    /// Requests a slot from a dispatcher of another group, which is chosen by a random number.
    pub fn request_slot(&self, zone: ZoneId, random: u32, actions: &mut Vec<Action>) {
        self.gossip.request_slot(zone, random, actions);
    }

    /// Offers a slot at a listed worker of the group to another dispatcher. The offer counts as work sent to the worker for
    /// `window`.
    pub fn offer_slot(&mut self, to: u32, listed: &EndpointEntry, window: Micros, actions: &mut Vec<Action>) {
        self.record_work(listed.worker, 0.0, window);
        self.gossip.offer_slot(self.now, to, listed, actions);
    }
}
