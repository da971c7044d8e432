//! The decision module of one dispatcher, as its host sees it: events in, actions out.
//!
//! A handler of an event keeps the books in `state` and calls the decisions in `rules`; it decides nothing itself.

use super::context::Policy;
use super::gossip::PeerRequest;
use super::interface::{
    Action, AttemptEnded, EndpointEntry, Event, JobId, ListKind, Micros, NewJob, Outcome, PriorAttempt,
    ProbeResponse, Settings, SettingsError,
};
use super::rules::FIRST_REPORT_INTERVAL;
use super::state::{IdMap, Learned};
use super::timer::Timer;

/// The decision module of one dispatcher.
pub struct Dispatcher {
    policy: Policy,
}

impl Dispatcher {
    /// An instance that knows nothing yet; `seed` determines all its random choices.
    ///
    /// # Errors
    ///
    /// If the settings are not consistent ([`Settings::check`]).
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Dispatcher { policy: Policy::new(settings, FIRST_REPORT_INTERVAL, seed) })
    }

    /// Continues under other settings, with all that it has learned. Classes keep their places.
    ///
    /// # Errors
    ///
    /// If the settings are not consistent, or have fewer classes than the present ones; these then stay in force.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        if settings.classes.len() < self.policy.settings.classes.len() {
            return Err(SettingsError::ClassGone);
        }
        self.policy.state.reconfigure(&settings);
        self.policy.settings = settings;
        Ok(())
    }

    /// Takes one event and appends to `actions` what must be done about it. A `now` before an earlier one counts as that.
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

    /// Takes an endpoint list over. After one from an earlier run, a watch is opened for the present one.
    fn on_endpoint_list(&mut self, kind: ListKind, entries: &[EndpointEntry], actions: &mut Vec<Action>) {
        let policy = &mut self.policy;
        policy.state.update_list(kind, entries, &policy.settings);
        if kind == ListKind::Cached {
            policy.schedule_watch(actions);
        }
    }

    /// Opens a watch again after a while.
    fn on_list_failed(&mut self, actions: &mut Vec<Action>) {
        self.policy.state.record_list_failure();
        self.policy.schedule_watch(actions);
    }

    /// Takes a job over from another process of this dispatcher.
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

    /// An attempt runs: its worker is available again, and the job's other attempts are cancelled.
    fn on_attempt_started(&mut self, id: JobId, attempt: u32, actions: &mut Vec<Action>) {
        let policy = &mut self.policy;
        let Some(started) = policy.state.attempt_started(id, attempt) else { return };
        policy.record_start(&started);
        policy.state.cancel_unstarted(id, &policy.settings, actions);
        policy.state.learn_start_delay(started.waited, policy.settings.tick);
        policy.review_queued(actions);
    }

    /// Learns from an attempt's end, and decides what becomes of its job and of the queued ones, which may have capacity now.
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

    /// Does what a timer was set for.
    fn on_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::OpenWatch => actions.push(Action::OpenWatch),
            Timer::Advertise => self.policy.state.advertise(actions),
            Timer::Review(job) => self.policy.review(job, actions),
        }
    }

    /// Learns from a probe, and reviews the jobs that waited for this one alone.
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
            if policy.state.is_last_probe_of(job) {
                policy.review(job, actions);
            }
        }
    }

    /// Takes another dispatcher's message, and does what it asks for.
    fn on_peer_message(&mut self, from: u32, bytes: &[u8], actions: &mut Vec<Action>) {
        let policy = &mut self.policy;
        match policy.state.receive_message(from, bytes) {
            Some(PeerRequest::Slot(zone)) => policy.on_slot_request(from, zone, actions),
            Some(PeerRequest::Offer) => policy.review_queued(actions),
            None => {}
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> &Settings {
        &self.policy.settings
    }

    /// The indices of the other dispatchers of this dispatcher's group.
    pub(crate) fn group_peers(&self) -> &[u32] {
        self.policy.state.gossip().peers()
    }

    /// How many listed workers get no work now: those that drain, are ejected, or are in a zone that looks cut off.
    pub fn unavailable_count(&self, now: Micros) -> usize {
        self.policy.state.unavailable_count(self.policy.settings.zone, now)
    }

    /// Copies what was learned of the class `source` to another one.
    pub fn copy_class(&mut self, class: usize, source: usize) {
        self.policy.state.copy_class(class, source);
    }

    /// What it has learned so far.
    pub fn learned(&self) -> Learned {
        self.policy.state.learned()
    }

    /// Starts from what another instance had learned, whose clock is behind by `shift`.
    pub fn restore(&mut self, learned: Learned, ids: &IdMap, shift: i64) {
        self.policy.state.restore(learned, ids, shift);
    }
}
