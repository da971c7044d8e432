//! The decision module of one dispatcher as its host sees it: it takes events and returns actions.
//!
//! Event handlers update `state` and call the decisions in `rules`; they make no decision themselves.

use super::context::Policy;
use super::gossip::PeerRequest;
use super::interface::{
    Action, AttemptEnded, EndpointEntry, Event, JobId, ListKind, Micros, NewJob, Outcome, PriorAttempt,
    ProbeResponse, Settings, SettingsError,
};
use super::rules::FIRST_REPORT_INTERVAL;
use super::state::{IdMap, Learned, LearnedByWorker};
use super::timer::Timer;

/// The decision module of one dispatcher.
pub struct Dispatcher {
    policy: Policy,
}

impl Dispatcher {
    /// Creates an instance that has learned nothing yet. `seed` determines all its random choices.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are not consistent ([`Settings::check`]).
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Dispatcher { policy: Policy::new(settings, FIRST_REPORT_INTERVAL, seed) })
    }

    /// Replaces the settings and keeps everything that was learned. Classes must keep their indices in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the new settings are not consistent or have fewer classes than the current ones. The current
    /// settings then stay in use.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        if settings.classes.len() < self.policy.settings.classes.len() {
            return Err(SettingsError::MissingClass);
        }
        self.policy.state.reconfigure(&settings);
        self.policy.settings = settings;
        Ok(())
    }

    /// Handles one event and appends the resulting actions to `actions`. If `now` is earlier than the time of a previous event,
    /// the previous time is used.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let policy = &mut self.policy;
        policy.state.advance_to(now);
        match event {
            Event::EndpointList(kind, entries) => self.on_endpoint_list(kind, &entries, actions),
            Event::ListFailed => self.on_list_failed(actions),
            Event::DiscoveryMoved => actions.push(Action::OpenWatch),
            Event::Arrived(request) => policy.on_arrived(request, actions),
            Event::Adopted { request, arrived_at, prior_attempts } => {
                self.on_adopted(request, arrived_at, &prior_attempts, actions);
            }
            Event::StreamStarted { job, attempt }
            | Event::Started { job, attempt }
            | Event::Progress { job, attempt, .. } => self.on_attempt_started(job, attempt, actions),
            Event::AttemptEnded(end) => self.on_attempt_ended(&end, actions),
            Event::NotPersisted { job, attempt } => {
                policy.state.attempt_not_sent(job, attempt);
                policy.give_up(job, actions);
            }
            Event::ClientDisconnected(job) => policy.state.close_job(job, &policy.settings, actions),
            Event::Timer(id) => self.on_timer(id.into(), actions),
            Event::ProbeResponse(response) => self.on_probe_response(&response, actions),
            Event::Peers(peers) => policy.state.update_presence(&peers, &policy.settings),
            Event::PeerMessage { from, bytes } => self.on_peer_message(from, &bytes, actions),
        }
        self.policy.state.schedule_advertisement(actions);
    }

    /// Applies an endpoint list. A cached list, for example one from an earlier run, may be out of date, so a watch is scheduled
    /// to get the current list.
    fn on_endpoint_list(&mut self, kind: ListKind, entries: &[EndpointEntry], actions: &mut Vec<Action>) {
        let policy = &mut self.policy;
        policy.state.update_list(kind, entries, &policy.settings);
        if kind == ListKind::Cached {
            policy.schedule_watch(actions);
        }
    }

    /// Records that a request for the endpoint list failed, and schedules the next watch.
    fn on_list_failed(&mut self, actions: &mut Vec<Action>) {
        self.policy.state.record_list_failure();
        self.policy.schedule_watch(actions);
    }

    /// Takes over a job and its attempts from another process of this dispatcher, and reviews the job.
    fn on_adopted(
        &mut self,
        request: NewJob,
        arrived_at: Micros,
        prior_attempts: &[PriorAttempt],
        actions: &mut Vec<Action>,
    ) {
        let policy = &mut self.policy;
        policy.state.add_job(request, arrived_at, &policy.settings, actions);
        policy.state.adopt_attempts(request.job, prior_attempts);
        policy.review(request.job, actions);
    }

    /// Records that a worker runs an attempt and is therefore available again. Cancels the job's other, unstarted attempts and
    /// reviews the queued jobs.
    fn on_attempt_started(&mut self, id: JobId, attempt: u32, actions: &mut Vec<Action>) {
        let policy = &mut self.policy;
        let Some(started) = policy.state.attempt_started(id, attempt) else { return };
        policy.record_start(&started);
        policy.state.cancel_unstarted(id, &policy.settings, actions);
        policy.state.learn_start_delay(started.waited, policy.settings.batch_interval);
        policy.review_queued(actions);
    }

    /// Learns from an attempt's end. Then reviews its job, and also the queued jobs because a slot may have become free.
    fn on_attempt_ended(&mut self, end: &AttemptEnded, actions: &mut Vec<Action>) {
        let policy = &mut self.policy;
        let Some(ended) = policy.state.attempt_ended(end) else { return };
        policy.record_outcome(end, &ended);
        if end.is_job_closed {
            policy.state.close_job(end.job, &policy.settings, actions);
        } else {
            policy.delay_retry(end, &ended, actions);
            policy.review(end.job, actions);
        }
        policy.state.forget_job(end.job);
        policy.review_queued(actions);
        if let Some(report) = end.report.filter(|_| end.outcome == Outcome::Ok) {
            policy.record_report(end.worker, &report);
        }
    }

    /// Handles a timer that has expired.
    fn on_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::OpenWatch => actions.push(Action::OpenWatch),
            Timer::Advertise => self.policy.state.advertise(actions),
            Timer::Review(job) => self.policy.review(job, actions),
        }
    }

    /// Learns from a probe, and reviews the jobs that were waiting for it and for no other probe.
    fn on_probe_response(&mut self, response: &ProbeResponse, actions: &mut Vec<Action>) {
        let policy = &mut self.policy;
        let Some(probe) = policy.state.probe_ended(response) else { return };
        if response.outcome != Outcome::Ok {
            policy.record_probe_failure(response, probe.last_seen);
        } else if let Some(report) = &response.report {
            policy.record_report(response.worker, report);
        }
        policy.state.learn_probe_delay(response.elapsed.min(policy.window()));
        for job in probe.waiting_jobs {
            if policy.state.end_probe_of(job) {
                policy.review(job, actions);
            }
        }
    }

    /// Handles another dispatcher's message, and its request if it contains one.
    fn on_peer_message(&mut self, from: u32, bytes: &[u8], actions: &mut Vec<Action>) {
        let policy = &mut self.policy;
        match policy.state.receive_message(from, bytes) {
            Some(PeerRequest::Slot(zone)) => policy.on_slot_request(from, zone, actions),
            Some(PeerRequest::Offer) => policy.review_queued(actions),
            None => {}
        }
    }

    /// The current settings.
    pub(crate) fn settings(&self) -> &Settings {
        &self.policy.settings
    }

    /// The places of the other dispatchers in this dispatcher's group.
    pub(crate) fn group_peers(&self) -> &[u32] {
        self.policy.state.gossip().peers()
    }

    /// The number of listed workers that get no work now: those that are draining, those that are ejected, and those in a zone
    /// that seems unreachable.
    pub fn unavailable_count(&self, now: Micros) -> usize {
        self.policy.state.unavailable_count(self.policy.settings.zone, now)
    }

    /// Copies the statistics of the class `source` to the class `class`. Both are indices in the settings.
    pub fn copy_class(&mut self, class: usize, source: usize) {
        self.policy.state.copy_class(class, source);
    }

    /// The data that this instance has learned so far.
    pub fn learned(&self) -> LearnedByWorker {
        self.policy.state.learned()
    }

    /// Takes over what another instance had learned. The clock of that instance is `shift` microseconds behind this one's.
    pub fn restore(&mut self, learned: Learned, ids: &IdMap, shift: i64) {
        self.policy.state.restore(learned, ids, shift);
    }
}
