//! The pacing of calls to discovery, which is on if the operators' file has `fleet.cold_start`. The dispatchers of a site then
//! share their observations of the service, and spread their calls over time.
//!
//! With pacing on, only the poll scheduler decides when a call for a watch is made; the delays of the decision module and of
//! [`WatchLiveness`] do not apply.
//!
//! [`WatchLiveness`]: crate::core::watch_liveness::WatchLiveness

use super::DiscoveryClient;
use super::call::{CallEnd, CallKind};
use crate::config::Config;
use crate::core::Core;
use crate::fleet::{FleetSettings, OutgoingFact};
use crate::policy::interface::Micros;
use crate::server::context::Context;
use crate::server::membership::MembershipLink;
use crate::server::timer_slot::TimerSlot;
use crate::server::tokens::POLL_TIMER;
use mothproxy_coldstart::poll_scheduler::{Config as SchedulerConfig, Event, PollScheduler};
use mothproxy_coldstart::{KIND, Origin, SharedObservations};
use mothproxy_membership::{Change, OwnedFact, State, View};
use std::collections::HashMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// The time from the detection of a silent watch until the changes that it missed count as notified, in microseconds. A new
/// call must be answered within it.
const SILENCE_RECOVERY_TIME: Micros = 2_500_000;
/// The time within which a new discovery service is called after the address of discovery has changed, in microseconds.
const MOVE_RECOVERY_TIME: Micros = 2_000_000;

/// An event of the watch that the poll scheduler handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchEvent {
    /// The watch has sent a list of this generation.
    List { generation: u64 },
    /// The watch, or the call that opens it, has ended.
    Ended(CallEnd),
    /// The configuration now names another discovery service.
    DiscoveryMoved,
}

/// The pacing of this dispatcher's calls for a watch.
pub(super) struct CallPacing {
    /// `None` if pacing is off.
    scheduler: Option<PollScheduler>,
    /// The observations of the service that the members publish; `None` if pacing is off or facts of members are not received.
    observations: Option<SharedObservations>,
    /// The last known epoch of the member at each place.
    epochs: HashMap<u16, u64>,
    timer: TimerSlot,
    /// When the current watch was requested, in microseconds.
    call_started: Micros,
    /// Whether the current watch has sent a list.
    is_answered: bool,
}

impl CallPacing {
    /// Creates the pacing. Pacing is off if the settings have no `cold_start`, or if a local agent pushes lists to this
    /// dispatcher. `generation` is that of the current endpoint list.
    pub(super) fn open(
        settings: &FleetSettings,
        config: &Config,
        now: Micros,
        generation: u64,
    ) -> CallPacing {
        let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let unix_at_zero = unix_now.saturating_sub(now);
        let scheduler_config = scheduler_config(settings, config, unix_at_zero);
        let scheduler = scheduler_config.and_then(|scheduler_config| {
            let scheduler = PollScheduler::new(scheduler_config, now, generation);
            scheduler.inspect_err(|error| tracing::warn!(%error, "cold start: poll scheduler disabled")).ok()
        });
        let place = u16::try_from(config.settings.own_place).unwrap_or(u16::MAX);
        let receives_facts = receives_facts(settings, config);
        let observations = scheduler
            .as_ref()
            .filter(|_| receives_facts)
            .map(|_| SharedObservations::new(place, unix_at_zero, now));
        CallPacing {
            scheduler,
            observations,
            epochs: HashMap::new(),
            timer: TimerSlot::new(POLL_TIMER),
            call_started: 0,
            is_answered: false,
        }
    }

    /// Whether pacing is on: the scheduler decides when discovery is called.
    pub(super) fn is_enabled(&self) -> bool {
        self.scheduler.is_some()
    }

    /// Publishes the observations of the service, and sets the timer. Must be called after each event.
    fn update(&mut self, now: Micros, membership: &mut MembershipLink, core: &mut Core) {
        let mut next_publish = None;
        if let (Some(scheduler), Some(observations)) = (&self.scheduler, &mut self.observations) {
            observations.set_service_status(scheduler.status(), scheduler.is_status_urgent());
            while let Some((slot, bytes)) = observations.publish(now) {
                membership.publish(now, &OutgoingFact { kind: KIND, slot, bytes });
            }
            next_publish = observations.next_wake();
        }
        let next_call = self.scheduler.as_ref().and_then(PollScheduler::next_wake);
        self.timer.set(core, next_call.into_iter().chain(next_publish).min());
    }

    /// The pacing timer has fired. Returns whether the caller must start a call now; the call then counts as started.
    fn on_timer(&mut self, now: Micros) -> bool {
        self.timer.on_fired();
        let is_due = self.scheduler.as_mut().is_some_and(|scheduler| scheduler.tick(now).is_some());
        if is_due {
            self.call_started = now;
            self.is_answered = false;
        }
        is_due
    }

    /// A member's state or epoch has changed. If the member's process has ended or was replaced, the observations that it
    /// published are dropped. Returns whether pacing is on.
    fn on_member_changed(&mut self, now: Micros, change: Change, view: Option<&View>) -> bool {
        let Some(scheduler) = &mut self.scheduler else { return false };
        let previous = self.epochs.insert(change.place, change.epoch);
        let is_replaced = previous.is_some_and(|epoch| epoch < change.epoch);
        if is_replaced || matches!(change.to, State::Dead | State::Left) {
            scheduler.handle(now, Event::MemberGone(change.place));
        }
        if let Some(view) = view {
            let may_be_alive = |state| matches!(state, State::Alive | State::Suspect);
            let alive = view.iter().map(|(_, member)| may_be_alive(member.state)).collect();
            scheduler.handle(now, Event::Presence(alive));
        }
        true
    }

    /// Another member has published a fact. Returns whether the fact concerns the pacing and is well-formed.
    fn on_fact(&mut self, now: Micros, fact: &OwnedFact) -> bool {
        let (Some(scheduler), Some(observations)) = (&mut self.scheduler, &mut self.observations) else {
            return false;
        };
        if fact.kind != KIND {
            return false;
        }
        let origin = Origin { place: fact.place, epoch: fact.epoch };
        if let Err(error) = observations.absorb(now, origin, fact.slot, fact.number, &fact.bytes) {
            tracing::debug!("cold start: fact of member {} rejected: {error}", fact.place);
            return false;
        }
        for update in observations.take_service_updates() {
            scheduler.handle(now, Event::PeerStatus { place: update.place, status: update.status });
        }
        true
    }

    /// Passes an event of the watch to the scheduler. Returns whether pacing is on.
    fn on_watch_event(&mut self, now: Micros, event: WatchEvent) -> bool {
        let Some(scheduler) = &mut self.scheduler else { return false };
        let waited = now.saturating_sub(self.call_started);
        let was_answered = std::mem::replace(&mut self.is_answered, matches!(event, WatchEvent::List { .. }));
        let event = match (event, was_answered) {
            (WatchEvent::List { generation }, false) => Event::Answered { generation, waited },
            (WatchEvent::List { generation }, true) => Event::ListChanged { generation },
            (WatchEvent::Ended(CallEnd::Silent), true) => {
                Event::WatchSilent { deadline: now + SILENCE_RECOVERY_TIME }
            }
            (WatchEvent::Ended(_), true) => Event::WatchEnded,
            (WatchEvent::Ended(CallEnd::Refused { retry_after }), false) => {
                Event::Refused { waited, retry_after }
            }
            (WatchEvent::Ended(CallEnd::Failed | CallEnd::Unreachable), false) => Event::Failed,
            (WatchEvent::Ended(CallEnd::Silent), false) => Event::TimedOut,
            (WatchEvent::DiscoveryMoved, _) => {
                Event::ServiceMoved { deadline: Some(now + MOVE_RECOVERY_TIME) }
            }
        };
        scheduler.handle(now, event);
        true
    }
}

/// Whether this dispatcher receives facts of other members.
fn receives_facts(settings: &FleetSettings, config: &Config) -> bool {
    settings.membership.is_some() && config.peer_listen.is_some()
}

/// Returns the scheduler's configuration. `None` if pacing is off, lists are pushed, or the place or the number of dispatchers
/// exceeds 16 bits.
fn scheduler_config(settings: &FleetSettings, config: &Config, unix_at_zero: u64) -> Option<SchedulerConfig> {
    let cold_start = settings.cold_start.as_ref().filter(|_| config.settings.list_on_request)?;
    Some(SchedulerConfig {
        place: u16::try_from(config.settings.own_place).ok()?,
        places: u16::try_from(config.settings.dispatcher_count).ok()?,
        service_time: cold_start.call_time,
        poll_within: config.settings.max_poll_interval,
        unix_at_zero,
        seed: config.seed,
        has_membership: receives_facts(settings, config),
        skip_scheduling: false,
    })
}

impl DiscoveryClient {
    /// Publishes this dispatcher's observations of discovery, and sets the pacing timer.
    pub(in crate::server) fn update_pacing(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
    ) {
        self.pacing.update(context.now(), membership, context.core);
    }

    /// Passes a change of a member's state or epoch to the pacing.
    pub(in crate::server) fn on_member_changed(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        change: Change,
    ) {
        if self.pacing.on_member_changed(context.now(), change, membership.view()) {
            self.update_pacing(context, membership);
        }
    }

    /// Passes a fact to the pacing. Facts of other kinds, and those published at this dispatcher's own place, are ignored.
    pub(in crate::server) fn on_fact(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        fact: &OwnedFact,
    ) {
        let is_own = u32::from(fact.place) == context.config.settings.own_place;
        if !is_own && self.pacing.on_fact(context.now(), fact) {
            self.update_pacing(context, membership);
        }
    }

    /// The pacing timer has fired: starts a call for a watch if one is due.
    pub(in crate::server) fn on_pacing_timer(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
    ) {
        if self.pacing.on_timer(context.now()) {
            self.open_call(context, membership, CallKind::Watch);
        }
        self.update_pacing(context, membership);
        membership.apply_outputs(context, self);
    }

    /// Passes an event of the watch to the scheduler, and applies the outputs of the membership.
    pub(super) fn pace_on_watch_event(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        event: WatchEvent,
    ) {
        if self.pacing.on_watch_event(context.now(), event) {
            self.update_pacing(context, membership);
            membership.apply_outputs(context, self);
        }
    }
}
