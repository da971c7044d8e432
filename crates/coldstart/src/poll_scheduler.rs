//! Schedules the calls of this dispatcher to the list service.
//!
//! Time is divided into **rounds** of `places x service time`, aligned to Unix time. In each round every place has one slot,
//! as long as the service takes for a call. Calls of different places therefore follow one another, regardless of when the
//! processes started. After a failure the scheduler waits with decorrelated jitter (M. Brooker, "Exponential Backoff And
//! Jitter", 2015: each wait is drawn between a base and three times the previous wait, up to a cap), and then until its
//! next slot. A refusal after a wait in the service's queue doubles the round: the service is slower than assumed.
//!
//! Dispatchers may know each other's statuses. If two of them found the service down, they take turns in a much longer
//! round until one of them is answered; then all spread their calls over one round. A peer's status changes only *when*
//! this dispatcher calls, never whether.

mod backoff;
mod call_need;
mod config;
mod event;
mod round_length;
mod service_status;
mod slots;

pub use config::{Config, SERVICE_TIME};
pub use event::{Call, Event, Metrics};
pub use service_status::ServiceStatus;

use crate::{ConfigError, Micros, Millis, mix};
use backoff::{Backoff, Failure};
use call_need::{CallNeed, CallReason};
use mothproxy_invariant::invariant;
use round_length::RoundLength;
use service_status::{MAX_BACKOFF_LEVEL, MemberStatuses, SIGNIFICANT_CHANGE};
use slots::Slots;

/// A call that has a deadline is due at least this long before it, in microseconds.
const DEADLINE_MARGIN: Micros = 20_000;

/// When the next call is due, and the kind of round that determined it.
#[derive(Debug)]
struct PlannedCall {
    due_at: Micros,
    /// The length of the regular rounds when `due_at` was chosen, in microseconds.
    round: Micros,
    /// Whether `due_at` is a turn of the slow rounds that are used while the service is down.
    is_outage_turn: bool,
}

/// Schedules the calls of one dispatcher. Times are the caller's microseconds.
#[derive(Debug)]
pub struct PollScheduler {
    config: Config,
    rng: fastrand::Rng,
    slots: Slots,
    now: Micros,
    has_open_call: bool,
    need: CallNeed,
    planned: PlannedCall,
    /// The latest time for the next call, if there is a limit.
    deadline: Option<Micros>,
    backoff: Backoff,
    /// The shortest time from a call of this dispatcher to its answer, in microseconds.
    min_answer_time: Option<Micros>,
    statuses: MemberStatuses,
    metrics: Metrics,
}

impl PollScheduler {
    /// Creates a scheduler that starts at `now` without a watch. Its first call is due in its slot of the current round.
    /// `generation` is that of the endpoint list that the dispatcher already holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the place is not one of the places, or if the service time is 0.
    pub fn new(config: Config, now: Micros, generation: u64) -> Result<PollScheduler, ConfigError> {
        config.validate()?;
        let mut rng = fastrand::Rng::with_seed(config.seed ^ mix(u64::from(config.place)));
        let phase = (f64::from(config.place) + 0.5 * rng.f64()) / f64::from(config.places);
        let mut scheduler = PollScheduler {
            slots: Slots::new(phase, config.unix_at_zero, config.has_membership),
            rng,
            now,
            has_open_call: false,
            need: CallNeed::new(CallReason::Start, now, config.has_membership),
            planned: PlannedCall { due_at: now, round: 0, is_outage_turn: false },
            deadline: None,
            backoff: Backoff::new(config.poll_within),
            min_answer_time: None,
            statuses: MemberStatuses::new(config.place, config.places, generation),
            metrics: Metrics::default(),
            config,
        };
        scheduler.schedule_first_call(CallReason::Start);
        Ok(scheduler)
    }

    /// When to call [`PollScheduler::tick`] next unless an event arrives first; never in the past. `None` while a call or a
    /// watch is open.
    pub fn next_wake(&self) -> Option<Micros> {
        self.needs_call().then(|| self.planned.due_at.min(self.need.next_recheck).max(self.now))
    }

    /// Advances the time to `now` and returns a call if one is due. At most one call is open at any time.
    pub fn tick(&mut self, now: Micros) -> Option<Call> {
        self.now = self.now.max(now);
        if !self.needs_call() {
            return None;
        }
        if self.now >= self.need.next_recheck {
            self.recheck();
        }
        if self.now < self.planned.due_at {
            return None;
        }
        if self.deadline.is_none() && !self.config.skip_scheduling && self.defer() {
            return None;
        }
        invariant!(!self.has_open_call, "a call was started while another one is open");
        self.has_open_call = true;
        self.metrics.calls += 1;
        Some(Call { number: self.metrics.calls })
    }

    /// Processes one event.
    pub fn handle(&mut self, now: Micros, event: Event) {
        self.now = self.now.max(now);
        if event.ends_call() && !std::mem::take(&mut self.has_open_call) {
            self.metrics.stray += 1;
            return;
        }
        match event {
            Event::Answered { generation, waited } => self.on_answered(generation, waited),
            Event::ListChanged { generation } => self.statuses.own.generation = generation,
            Event::Refused { waited, retry_after } => self.on_refused(waited, retry_after),
            Event::Failed => self.on_failed(),
            Event::TimedOut => {
                self.metrics.failed += 1;
                self.schedule_retry(Failure::Busy, 0);
            }
            Event::WatchEnded | Event::WatchSilent { .. } if !self.statuses.own.is_watching => {
                self.metrics.stray += 1;
            }
            Event::WatchEnded => self.on_watch_ended(),
            Event::WatchSilent { deadline } => {
                self.deadline = Some(deadline);
                self.on_watch_ended();
            }
            Event::ServiceMoved { deadline } => self.on_service_moved(deadline),
            Event::Presence(is_present) => self.statuses.set_present(&is_present),
            Event::MemberGone(place) => {
                self.need.members_gone += u64::from(self.statuses.remove_peer(place));
            }
            Event::PeerStatus { place, status } if place != self.config.place => {
                self.on_peer_status(place, status);
            }
            Event::PeerStatus { .. } => {}
        }
    }

    /// This dispatcher's own status of the service, to be sent to the other dispatchers.
    pub fn status(&self) -> ServiceStatus {
        self.statuses.own
    }

    /// The counters since the start.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Whether the service counts as down: since the last answer to any member, two members found it down, or one did while
    /// no member is known to have a watch.
    pub fn is_service_down(&self) -> bool {
        self.statuses.is_service_down(self.unix_ms())
    }

    /// Whether [`PollScheduler::status`] would change the behaviour of other dispatchers: too few of them have reported the
    /// same state of the service, or none of them holds this generation of the list.
    pub fn is_status_urgent(&self) -> bool {
        self.statuses.is_status_urgent(self.unix_ms())
    }

    fn on_answered(&mut self, generation: u64, waited: Micros) {
        self.metrics.answered += 1;
        let answered_at_ms = self.unix_ms();
        let own = &mut self.statuses.own;
        if backoff::is_quick_answer(waited, self.config.service_time) {
            own.backoff_level = 0;
        }
        own.generation = generation;
        own.is_watching = true;
        own.answered_at_ms = answered_at_ms;
        own.waited_ms = u32::try_from(waited.div_ceil(1_000)).unwrap_or(u32::MAX);
        self.min_answer_time = Some(self.min_answer_time.map_or(waited, |least| least.min(waited)));
        self.backoff.reset();
        self.deadline = None;
        self.planned.is_outage_turn = false;
    }

    fn on_refused(&mut self, waited: Micros, retry_after: Option<Micros>) {
        self.metrics.refused += 1;
        let now_ms = self.unix_ms();
        let own = &mut self.statuses.own;
        let failure = Failure::from_refusal(waited, self.config.service_time);
        match failure {
            Failure::Busy => {
                own.backoff_level = (own.backoff_level + 1).min(MAX_BACKOFF_LEVEL);
                own.refused_at_ms = now_ms;
            }
            Failure::Down => own.failed_at_ms = now_ms,
        }
        self.schedule_retry(failure, retry_after.unwrap_or(0));
    }

    fn on_failed(&mut self) {
        self.metrics.failed += 1;
        self.statuses.own.failed_at_ms = self.unix_ms();
        self.schedule_retry(Failure::Down, 0);
    }

    fn on_watch_ended(&mut self) {
        self.statuses.own.is_watching = false;
        self.schedule_first_call(CallReason::WatchEnded);
    }

    fn on_service_moved(&mut self, deadline: Option<Micros>) {
        self.has_open_call = false;
        self.deadline = deadline;
        self.min_answer_time = None;
        self.backoff.forget_retry_after();
        self.statuses.reset();
        self.schedule_first_call(CallReason::Start);
    }

    fn on_peer_status(&mut self, place: u16, status: ServiceStatus) {
        if !self.statuses.set_peer(place, status) {
            return;
        }
        let own = &self.statuses.own;
        // A member was answered after this one found the service down: all members that waited for the end of the outage
        // spread their calls over one round.
        let has_recovered = self.backoff.is_active()
            && own.failed_at_ms > own.answered_at_ms
            && status.answered_at_ms > own.failed_at_ms;
        let is_waiting = self.needs_call() && self.deadline.is_none();
        if is_waiting && (has_recovered || self.planned.is_outage_turn && !self.is_service_down()) {
            self.schedule_after_outage(status.answered_at_ms);
        }
    }

    /// Whether neither a call nor a watch is open.
    fn needs_call(&self) -> bool {
        !self.has_open_call && !self.statuses.own.is_watching
    }

    fn unix_ms(&self) -> Millis {
        self.config.unix_ms(self.now)
    }

    fn round_length(&self) -> RoundLength<'_> {
        RoundLength {
            config: &self.config,
            need: &self.need,
            statuses: &self.statuses,
            min_answer_time: self.min_answer_time,
            now_ms: self.unix_ms(),
        }
    }

    /// Schedules the call for a new reason in this place's slot of the current round.
    fn schedule_first_call(&mut self, reason: CallReason) {
        self.need = CallNeed::new(reason, self.now, self.config.has_membership);
        let round = self.round_length().regular();
        self.planned.round = round;
        self.planned.is_outage_turn = false;
        let at = if self.deadline.is_none() {
            self.slots.first(self.now, round)
        } else {
            self.slots.next(self.now, round)
        };
        self.set_due(at);
    }

    /// Schedules the next call after a failed one: after a backoff, and not before the time that `Retry-After` allows. A
    /// `retry_after` of 0 means that there was no such header.
    fn schedule_retry(&mut self, failure: Failure, retry_after: Micros) {
        if self.deadline.is_some_and(|deadline| deadline <= self.now + DEADLINE_MARGIN) {
            self.deadline = None;
        }
        let round = self.round_length().regular();
        self.backoff.draw(&mut self.rng, self.now, round, retry_after);
        self.planned.is_outage_turn = failure == Failure::Down && self.round_length().takes_outage_turns();
        self.planned.round = round;
        let at = if self.planned.is_outage_turn {
            self.slots.next(self.backoff.not_before() + 1, self.round_length().outage())
        } else {
            self.slots.next(self.backoff.earliest(self.now), round)
        };
        self.set_due(at);
        if !self.config.skip_scheduling {
            self.planned.due_at = self.planned.due_at.max(self.backoff.not_before());
        }
    }

    /// Schedules the next call in this place's slot of a regular round, after a member was answered at `answered_at_ms`,
    /// which shows that the outage has ended.
    fn schedule_after_outage(&mut self, answered_at_ms: Millis) {
        self.backoff.reset();
        let round = self.round_length().regular();
        let at = self.slots.next(self.now.max(self.backoff.not_before()), round);
        // If the answer is old, less than a whole round is left: use the next slot or the planned time, whichever is sooner.
        let age = self.unix_ms().saturating_sub(answered_at_ms) * 1_000;
        let due_at = if age > round / 8 { self.planned.due_at.min(at) } else { at };
        self.planned = PlannedCall { due_at, round, is_outage_turn: false };
    }

    /// Sets the time of the next call to `at`, or to an earlier time if it has a deadline.
    fn set_due(&mut self, at: Micros) {
        self.planned.due_at = match self.deadline {
            _ if self.config.skip_scheduling => self.now + self.rng.u64(0..backoff::MIN_WAIT),
            Some(deadline) if at + DEADLINE_MARGIN > deadline => {
                let time_left = deadline.saturating_sub(self.now + DEADLINE_MARGIN);
                self.now + self.slots.offset_in(time_left)
            }
            _ => at,
        };
    }

    /// Reconsiders the planned time once the statuses of others have had time to arrive. They may show that far fewer
    /// members than assumed lack a list, or that no other member is present.
    fn recheck(&mut self) {
        self.need.record_recheck(self.now);
        let round = self.round_length().regular();
        let is_shorter = (round as f64) * SIGNIFICANT_CHANGE < self.planned.round as f64;
        let not_before = self.backoff.not_before();
        if self.planned.is_outage_turn {
            if self.statuses.present_others() == 0 && self.now >= not_before {
                self.planned.is_outage_turn = false;
                let at = self.slots.next(self.now + self.backoff.last_wait(), round);
                self.planned.due_at = self.planned.due_at.min(at);
            }
        } else if is_shorter && self.deadline.is_none() && !self.is_service_down() {
            self.planned.round = round;
            let at = self.slots.next(self.now.max(not_before), round);
            self.planned.due_at = self.planned.due_at.min(at);
        }
    }

    /// Defers a call that is due now if a status received since its slot was chosen requires it. Returns whether the call
    /// was deferred.
    fn defer(&mut self) -> bool {
        if self.planned.is_outage_turn {
            return false;
        }
        let round = self.round_length().regular();
        if self.round_length().takes_outage_turns() {
            self.planned.is_outage_turn = true;
            self.planned.due_at = self.slots.next(self.now + 1, self.round_length().outage());
        } else if round as f64 > SIGNIFICANT_CHANGE * self.planned.round as f64 {
            // Calls take longer than when the slot was chosen.
            self.planned.round = round;
            self.planned.due_at = self.slots.next(self.now + 1, round);
        } else if !self.need.was_deferred_for_list && self.is_list_being_distributed() {
            // The others call first; this call is not deferred for that reason a second time.
            self.need.was_deferred_for_list = true;
            self.planned.due_at = self.now + self.rng.u64(1..=1 + round / 2);
        } else {
            return false;
        }
        self.metrics.deferred += 1;
        true
    }

    /// Whether most of the others already hold a newer list, from the service that has answered this dispatcher before.
    fn is_list_being_distributed(&self) -> bool {
        self.statuses.own.answered_at_ms > 0
            && self.statuses.others_with_newer_list() * 2 > self.statuses.present_others()
    }
}
