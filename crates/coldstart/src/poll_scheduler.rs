//! When this dispatcher calls the list service.
//!
//! Time is cut into **rounds** of `places x service time`, by Unix time; in each round every place has one slot as long as
//! the service takes for a call, so calls of all places in their slots come one after another however the processes
//! started. A failure is followed by a wait with decorrelated jitter (as described by M. Brooker, "Exponential Backoff And
//! Jitter", 2015: each wait is drawn between a base and three times the wait before, up to a cap), moved on to the next
//! own slot. A refusal after a wait in the queue doubles the round: the service is slower than was thought.
//!
//! Where dispatchers know each other's statuses, and two of them found the service down, they call in turns of a much slower
//! round until one is answered; then all spread over one round. What a peer says moves only *when* this one calls.

mod event;
mod service_status;
mod slots;

pub use event::{Call, Event, Metrics};
pub use service_status::ServiceStatus;

use crate::{ConfigError, check_place, invariant, mix};
use service_status::{MAX_BACKOFF_LEVEL, MemberStatuses, SIGNIFICANT_CHANGE};
use slots::{MAX_FIRST_CALLS_SPAN, Slots};

/// What a call costs the service where nobody knows, in microseconds.
pub const SERVICE_TIME: u64 = 20_000;
/// The longest wait after a failure is two rounds, yet at least this, in microseconds.
const MIN_BACKOFF_CAP: u64 = 2_000_000;
/// No wait after a failure is drawn below this, in microseconds.
const MIN_BACKOFF: u64 = 50_000;
/// While the service is down, each member calls it once in this time, in microseconds ...
const OUTAGE_TURN: u64 = 26_000_000;
/// ... and the whole group once in this time at least, in microseconds.
const OUTAGE_GROUP_TURN: u64 = 1_000_000;
/// A refusal after the time of so many calls, and after [`MIN_BUSY_WAIT`], is of a busy service; a quicker one is of a
/// service that is down.
const BUSY_CALLS: u64 = 5;
/// See [`BUSY_CALLS`], in microseconds.
const MIN_BUSY_WAIT: u64 = 100_000;
/// Slots of a call that has a deadline end this long before it, in microseconds.
const DEADLINE_MARGIN: u64 = 20_000;

/// What a scheduler has to know.
#[derive(Clone, Debug)]
pub struct Config {
    /// This dispatcher's place, from 0.
    pub place: u16,
    /// How many places there are, whether or not anybody is there.
    pub places: u16,
    /// What a call costs the service, in microseconds; [`SERVICE_TIME`] where nobody knows.
    pub service_time: u64,
    /// Without a watch a dispatcher is held to its list for this long from its last call, and four times as long from one
    /// that failed, in microseconds.
    pub poll_within: Option<u64>,
    /// The Unix time of the caller's zero, in microseconds.
    pub unix_at_zero: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the statuses of others can be received at all.
    pub has_membership: bool,
    /// A deliberate fault for tests of the tests: calls are not spread over slots.
    #[doc(hidden)]
    pub skip_scheduling: bool,
}

/// Why a call became due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallReason {
    /// The process or the service is new. Others may hold a list since before: they need no slot in the round.
    Start,
    /// The watch has ended; those of the others may have, too.
    WatchEnded,
}

/// What ended a call without a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The service has too much to do, or says nothing.
    Busy,
    /// The service cannot be reached.
    Down,
}

/// Schedules the calls of one dispatcher.
#[derive(Debug)]
pub struct PollScheduler {
    config: Config,
    rng: fastrand::Rng,
    slots: Slots,
    now: u64,
    /// When the next call is due.
    due_at: u64,
    has_open_call: bool,
    reason: CallReason,
    /// When the reason for the call arose.
    reason_since: u64,
    deadline: Option<u64>,
    /// `due_at` is a turn of the slow rounds while the service is down.
    is_outage_turn: bool,
    /// The length of the rounds by which `due_at` was chosen.
    slot_round: u64,
    /// The call was put off once because the service is sending a new list to all.
    has_yielded: bool,
    next_recheck: u64,
    rechecks: u32,
    /// Processes that ended since the reason for the call arose.
    members_gone: u64,
    /// What the last `Retry-After` said.
    not_before: u64,
    /// The last wait after a failure, 0 where there was none.
    backoff: u64,
    /// The least time that an own call took until its answer.
    min_answer_time: Option<u64>,
    statuses: MemberStatuses,
    metrics: Metrics,
}

impl PollScheduler {
    /// A scheduler that starts now, with no watch; its first call is due in its slot of this round.
    ///
    /// # Errors
    ///
    /// The place is not one of the places, or the service time is 0.
    pub fn new(config: Config, now: u64, generation: u64) -> Result<PollScheduler, ConfigError> {
        check_place(config.place, config.places)?;
        if config.service_time == 0 {
            return Err(ConfigError::Zero("service_time"));
        }
        let mut rng = fastrand::Rng::with_seed(config.seed ^ mix(u64::from(config.place)));
        let phase = (f64::from(config.place) + 0.5 * rng.f64()) / f64::from(config.places);
        let mut scheduler = PollScheduler {
            slots: Slots::new(phase, config.unix_at_zero, config.has_membership),
            rng,
            now,
            due_at: now,
            has_open_call: false,
            reason: CallReason::Start,
            reason_since: now,
            deadline: None,
            is_outage_turn: false,
            slot_round: 0,
            has_yielded: false,
            next_recheck: u64::MAX,
            rechecks: 0,
            members_gone: 0,
            not_before: 0,
            backoff: 0,
            min_answer_time: None,
            statuses: MemberStatuses::new(config.place, config.places, generation),
            metrics: Metrics::default(),
            config,
        };
        scheduler.schedule_first_call(CallReason::Start);
        Ok(scheduler)
    }

    /// When [`PollScheduler::tick`] is to be called next, if nothing comes before; never earlier than now. `None` while a
    /// call or a watch is open.
    pub fn next_wake(&self) -> Option<u64> {
        self.needs_call().then(|| self.due_at.min(self.next_recheck).max(self.now))
    }

    /// Lets time pass; returns a call where one is due. At most one is open at any time.
    pub fn tick(&mut self, now: u64) -> Option<Call> {
        self.now = self.now.max(now);
        if !self.needs_call() {
            return None;
        }
        if self.now >= self.next_recheck {
            self.recheck();
        }
        if self.now < self.due_at {
            return None;
        }
        if self.deadline.is_none() && !self.config.skip_scheduling && self.defer() {
            return None;
        }
        invariant!(!self.has_open_call, "a second call at once");
        self.has_open_call = true;
        self.metrics.calls += 1;
        Some(Call { number: self.metrics.calls })
    }

    /// Takes one event.
    pub fn handle(&mut self, now: u64, event: Event) {
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
                self.members_gone += u64::from(self.statuses.remove_peer(place));
            }
            Event::PeerStatus { place, status } if place != self.config.place => {
                self.on_peer_status(place, status);
            }
            Event::PeerStatus { .. } => {}
        }
    }

    /// What this dispatcher says of the service.
    pub fn status(&self) -> ServiceStatus {
        self.statuses.own
    }

    /// What was counted since the start.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Whether the service counts as down: two members found it so since anybody was last answered, or one did and nobody
    /// is known to have a watch.
    pub fn is_service_down(&self) -> bool {
        self.statuses.is_service_down(self.unix_ms())
    }

    /// Whether [`PollScheduler::status`] changes what others do: too few of them have said the same of the present state of
    /// the service, or none holds this generation.
    pub fn has_news(&self) -> bool {
        self.statuses.has_news(self.unix_ms())
    }

    fn on_answered(&mut self, generation: u64, waited: u64) {
        self.metrics.answered += 1;
        let answered_at_ms = self.unix_ms();
        let own = &mut self.statuses.own;
        if waited < BUSY_CALLS * self.config.service_time {
            own.backoff_level = 0;
        }
        own.generation = generation;
        own.is_watching = true;
        own.answered_at_ms = answered_at_ms;
        own.waited_ms = u32::try_from(waited.div_ceil(1_000)).unwrap_or(u32::MAX);
        self.min_answer_time = Some(self.min_answer_time.map_or(waited, |least| least.min(waited)));
        self.backoff = 0;
        self.deadline = None;
        self.is_outage_turn = false;
    }

    fn on_refused(&mut self, waited: u64, retry_after: Option<u64>) {
        self.metrics.refused += 1;
        let now_ms = self.unix_ms();
        let own = &mut self.statuses.own;
        let failure = if waited >= MIN_BUSY_WAIT.max(BUSY_CALLS * self.config.service_time) {
            own.backoff_level = (own.backoff_level + 1).min(MAX_BACKOFF_LEVEL);
            own.refused_at_ms = now_ms;
            Failure::Busy
        } else {
            own.failed_at_ms = now_ms;
            Failure::Down
        };
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

    fn on_service_moved(&mut self, deadline: Option<u64>) {
        self.has_open_call = false;
        self.deadline = deadline;
        self.min_answer_time = None;
        self.not_before = 0;
        self.statuses.reset();
        self.schedule_first_call(CallReason::Start);
    }

    fn on_peer_status(&mut self, place: u16, status: ServiceStatus) {
        if !self.statuses.set_peer(place, status) {
            return;
        }
        let own = &self.statuses.own;
        // A member was answered since this one found the service down: one round for all that wait for that.
        let is_back = self.backoff > 0
            && own.failed_at_ms > own.answered_at_ms
            && status.answered_at_ms > own.failed_at_ms;
        let is_waiting = self.needs_call() && self.deadline.is_none();
        if is_waiting && (is_back || self.is_outage_turn && !self.is_service_down()) {
            self.is_outage_turn = false;
            self.backoff = 0;
            self.slot_round = self.round();
            let at = self.slots.next(self.now.max(self.not_before), self.slot_round);
            // Who learns of it late has no whole round left: its slot, or the time that it has, whichever is sooner.
            let age = self.unix_ms().saturating_sub(status.answered_at_ms) * 1_000;
            self.due_at = if age > self.slot_round / 8 { self.due_at.min(at) } else { at };
        }
    }

    /// Neither a call nor a watch is open.
    fn needs_call(&self) -> bool {
        !self.has_open_call && !self.statuses.own.is_watching
    }

    fn unix_ms(&self) -> u64 {
        (self.config.unix_at_zero + self.now) / 1_000
    }

    /// Others that are taken to be there: all, as long as no status could have been received.
    fn assumed_others(&self) -> u64 {
        let is_early = self.config.has_membership && self.rechecks == 0;
        if is_early { u64::from(self.config.places) - 1 } else { self.statuses.present_others() }
    }

    /// Whether others are there with whom turns can be taken while the service is down.
    fn takes_outage_turns(&self) -> bool {
        self.config.has_membership && self.assumed_others() > 0 && self.is_service_down()
    }

    /// What a call costs the service, in microseconds: as the members say, or as configured, less where an own answer came
    /// sooner.
    fn service_time(&self) -> u64 {
        let configured = self.config.service_time;
        let own = self.min_answer_time.map_or(configured, |time| time.clamp(configured / 8 + 1, configured));
        self.statuses.answer_time(configured, self.unix_ms()).unwrap_or(own)
    }

    /// The length of one round: a slot for each place that may lack a list. Those that had theirs before the reason for the
    /// call arose do not call; those that got it since had a slot in this round.
    fn round(&self) -> u64 {
        let holders = if self.reason == CallReason::Start && self.rechecks > 1 {
            let since = (self.config.unix_at_zero + self.reason_since) / 1_000;
            self.statuses.others_with_watch_since_before(since)
        } else {
            0
        };
        // Where many ended at once, others may have ended that are still believed to be there.
        let holders = if self.members_gone * 8 > holders { 0 } else { holders };
        let now_ms = self.unix_ms();
        // Refusals say that a call costs more than was thought; where members say what it costs they add nothing.
        let is_measured = self.statuses.answer_time(self.config.service_time, now_ms).is_some();
        let level = if is_measured { 0 } else { self.statuses.backoff_level(now_ms) };
        (self.service_time() * (u64::from(self.config.places) - holders).max(1)) << level
    }

    /// The round of the slow turns while the service is down: by it the group calls often enough to see the end soon.
    fn outage_round(&self) -> u64 {
        OUTAGE_TURN.min(OUTAGE_GROUP_TURN * (self.assumed_others() + 1)).max(self.round())
    }

    /// A reason for a call has arisen: it goes into the own slot of this round.
    fn schedule_first_call(&mut self, reason: CallReason) {
        self.reason = reason;
        self.reason_since = self.now;
        self.is_outage_turn = false;
        self.has_yielded = false;
        self.rechecks = 0;
        self.members_gone = 0;
        self.next_recheck =
            if self.config.has_membership { self.now + MAX_FIRST_CALLS_SPAN } else { u64::MAX };
        let round = self.round();
        self.slot_round = round;
        let at = if self.deadline.is_none() {
            self.slots.first(self.now, round)
        } else {
            self.slots.next(self.now, round)
        };
        self.set_due(at);
    }

    /// Makes the next call due then, or earlier where it has a deadline.
    fn set_due(&mut self, at: u64) {
        self.due_at = match self.deadline {
            _ if self.config.skip_scheduling => self.now + self.rng.u64(0..MIN_BACKOFF),
            Some(deadline) if at + DEADLINE_MARGIN > deadline => {
                let time_left = deadline.saturating_sub(self.now + DEADLINE_MARGIN);
                self.now + self.slots.offset_in(time_left)
            }
            _ => at,
        };
    }

    /// Statuses of others could be received by now: those that lack a list may be far fewer than all, or nobody else may be
    /// there.
    fn recheck(&mut self) {
        self.rechecks += 1;
        self.next_recheck = self.now + 2 * MAX_FIRST_CALLS_SPAN;
        let round = self.round();
        let is_shorter = (round as f64) * SIGNIFICANT_CHANGE < self.slot_round as f64;
        if self.is_outage_turn {
            if self.statuses.present_others() == 0 && self.now >= self.not_before {
                self.is_outage_turn = false;
                self.due_at = self.due_at.min(self.slots.next(self.now + self.backoff, round));
            }
        } else if is_shorter && self.deadline.is_none() && !self.is_service_down() {
            self.slot_round = round;
            self.due_at = self.due_at.min(self.slots.next(self.now.max(self.not_before), round));
        }
    }

    /// A call came to nothing: the next one comes after a wait, and not before what `Retry-After` says.
    fn schedule_retry(&mut self, failure: Failure, retry_after: u64) {
        if self.deadline.is_some_and(|deadline| deadline <= self.now + DEADLINE_MARGIN) {
            self.deadline = None;
        }
        let round = self.round();
        let base = (round / 4).max(MIN_BACKOFF);
        // Changes count as received four times `poll_within` after a call that failed: half of that is left for the next.
        let held = self.config.poll_within.map_or(u64::MAX, |within| 2 * within);
        let cap = (2 * round).max(MIN_BACKOFF_CAP.min(held)).max(base);
        self.backoff = self.rng.u64(base..=(3 * self.backoff.max(base)).min(cap));
        self.not_before = self.now + retry_after;
        self.is_outage_turn = failure == Failure::Down && self.takes_outage_turns();
        self.slot_round = round;
        let at = if self.is_outage_turn {
            self.slots.next(self.not_before + 1, self.outage_round())
        } else {
            self.slots.next(self.not_before.max(self.now + self.backoff), round)
        };
        self.set_due(at);
        if !self.config.skip_scheduling {
            self.due_at = self.due_at.max(self.not_before);
        }
    }

    /// Puts off a call that is due now if what was learned since its slot was chosen asks for it; returns whether it did.
    fn defer(&mut self) -> bool {
        if self.is_outage_turn {
            return false;
        }
        let round = self.round();
        if self.takes_outage_turns() {
            self.is_outage_turn = true;
            self.due_at = self.slots.next(self.now + 1, self.outage_round());
        } else if round as f64 > SIGNIFICANT_CHANGE * self.slot_round as f64 {
            // Calls take longer than when the slot was chosen.
            self.slot_round = round;
            self.due_at = self.slots.next(self.now + 1, round);
        } else if !self.has_yielded && self.is_list_being_distributed() {
            // This one goes last, and is not put off again.
            self.has_yielded = true;
            self.due_at = self.now + self.rng.u64(1..=1 + round / 2);
        } else {
            return false;
        }
        self.metrics.deferred += 1;
        true
    }

    /// Whether most of the others have a new list from the service that answered this one before.
    fn is_list_being_distributed(&self) -> bool {
        self.statuses.own.answered_at_ms > 0
            && self.statuses.others_with_newer_list() * 2 > self.statuses.present_others()
    }
}
