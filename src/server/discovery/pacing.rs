//! When discovery is called, where the operators' file has `fleet.cold_start`: the pacer decides it, beside the calls.
//!
//! The module's and the clock of silence's own waits are then not added: what they wish for, the pacer has scheduled.

use crate::config::Config;
use crate::fleet::FleetSettings;
use crate::policy::interface::Micros;
use crate::server::{ASK_TIMER, Server};
use mothproxy_coldstart::poll_scheduler::{Config as SchedulerConfig, Event, PollScheduler};
use mothproxy_coldstart::{KIND, Origin, SharedObservations};
use mothproxy_membership::{Change, OwnedFact, State};
use std::collections::HashMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// A watch is noticed to be silent this long before what it missed counts as told; a call and its answer take a part of that.
const AFTER_SILENCE: Micros = 2_500_000;
/// A service that has just taken over is asked within this.
const MOVED: Micros = 2_000_000;

/// How a call, or the watch that it opened, came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::server) enum CallEnd {
    /// Refused; with what `Retry-After` says.
    Refused(Option<Micros>),
    /// No connection came up.
    Unreachable,
    /// The connection ended.
    Failed,
    /// It said nothing for too long.
    Silent,
}

/// The pacer of this dispatcher, where it is on.
#[derive(Default)]
pub(in crate::server) struct Asker {
    pacer: Option<PollScheduler>,
    /// What the members say of the service, where membership is on.
    findings: Option<SharedObservations>,
    /// The epochs of the members by place, as last heard.
    epochs: HashMap<u16, u64>,
    timer: Option<Micros>,
    asked: Micros,
    /// The present watch has told a list.
    told: bool,
}

impl Asker {
    /// The pacer begins now, holding this generation. Where lists are pushed there is nothing to pace.
    pub fn open(set: &FleetSettings, config: &Config, now: Micros, generation: u64) -> Asker {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let unix = unix.saturating_sub(now);
        let hears = set.membership.is_some() && config.peer_listen.is_some();
        let wanted = set.cold_start.as_ref().filter(|_| config.settings.list_on_request);
        let pacer = wanted.and_then(|set| {
            let pace = SchedulerConfig {
                place: u16::try_from(config.settings.me).ok()?,
                places: u16::try_from(config.settings.nodes).ok()?,
                service_time: set.call_time,
                poll_within: config.settings.ask_within,
                unix_at_zero: unix,
                seed: config.seed,
                has_membership: hears,
                skip_scheduling: false,
            };
            let made = PollScheduler::new(pace, now, generation);
            made.inspect_err(|error| tracing::warn!("cold start: the pacer is off: {error}")).ok()
        });
        let place = u16::try_from(config.settings.me).unwrap_or(u16::MAX);
        let findings = pacer.as_ref().filter(|_| hears).map(|_| SharedObservations::new(place, unix, now));
        Asker { pacer, findings, ..Asker::default() }
    }

    /// Whether the pacer decides when discovery is called.
    pub fn on(&self) -> bool {
        self.pacer.is_some()
    }
}

impl Server {
    /// Tells the others what the pacer found, and sets the timer; called after each event for it.
    pub(in crate::server) fn ask_go_on(&mut self) {
        let mut told = None;
        if let (Some(pacer), Some(findings)) = (&self.ask.pacer, &mut self.ask.findings) {
            findings.set_service_status(pacer.status(), pacer.has_news());
            while let Some((slot, bytes)) = findings.publish(self.now) {
                self.link.fleet.tell(self.now, KIND, slot, &bytes);
            }
            told = findings.next_wake();
        }
        let asks = self.ask.pacer.as_ref().and_then(PollScheduler::next_wake);
        let wake = asks.into_iter().chain(told).min();
        if wake == self.ask.timer {
            return;
        }
        if let Some(old) = self.ask.timer.take() {
            self.core.cancel_timer(old, ASK_TIMER);
        }
        if let Some(at) = wake {
            self.core.set_timer(at, ASK_TIMER);
        }
        self.ask.timer = wake;
    }

    /// A member's state or epoch has changed: what it said counts no longer if it is another process, or none.
    pub(in crate::server) fn ask_changed(&mut self, change: Change) {
        let Some(pacer) = &mut self.ask.pacer else { return };
        let before = self.ask.epochs.insert(change.place, change.epoch);
        let another = before.is_some_and(|epoch| epoch < change.epoch);
        if another || matches!(change.to, State::Dead | State::Left) {
            pacer.handle(self.now, Event::MemberGone(change.place));
        }
        let here = |state| matches!(state, State::Alive | State::Suspect);
        if let Some(view) = self.link.fleet.view() {
            let alive = view.iter().map(|(_, member)| here(member.state)).collect();
            pacer.handle(self.now, Event::Presence(alive));
        }
        self.ask_go_on();
    }

    /// A fact has come; those of other kinds are not for this.
    pub(in crate::server) fn ask_hears(&mut self, fact: &OwnedFact) {
        let (Some(pacer), Some(findings)) = (&mut self.ask.pacer, &mut self.ask.findings) else { return };
        let origin = Origin { place: fact.place, epoch: fact.epoch };
        if fact.kind != KIND || u32::from(fact.place) == self.config.settings.me {
            return;
        }
        if let Err(error) = findings.absorb(self.now, origin, fact.slot, fact.number, &fact.bytes) {
            return tracing::debug!("cold start: a fact of member {}: {error}", fact.place);
        }
        for update in findings.take_service_updates() {
            pacer.handle(self.now, Event::PeerStatus { place: update.place, status: update.status });
        }
        self.ask_go_on();
    }

    pub(in crate::server) fn ask_due(&mut self) {
        self.ask.timer = None;
        if self.ask.pacer.as_mut().is_some_and(|pacer| pacer.tick(self.now).is_some()) {
            (self.ask.asked, self.ask.told) = (self.now, false);
            self.call(true);
        }
        self.ask_go_on();
        self.fleet_go_on();
    }

    /// The watch told a list.
    pub(in crate::server) fn ask_listed(&mut self, generation: u64) {
        let waited = self.now.saturating_sub(self.ask.asked);
        let first = !std::mem::replace(&mut self.ask.told, true);
        self.ask_event(match first {
            true => Event::Answered { generation, waited },
            false => Event::ListChanged { generation },
        });
    }

    /// The call for a watch, or the watch, is over.
    pub(in crate::server) fn ask_over(&mut self, end: CallEnd) {
        let waited = self.now.saturating_sub(self.ask.asked);
        let told = std::mem::take(&mut self.ask.told);
        self.ask_event(match (told, end) {
            (true, CallEnd::Silent) => Event::WatchSilent { deadline: self.now + AFTER_SILENCE },
            (true, _) => Event::WatchEnded,
            (false, CallEnd::Refused(retry_after)) => Event::Refused { waited, retry_after },
            (false, CallEnd::Failed | CallEnd::Unreachable) => Event::Failed,
            (false, CallEnd::Silent) => Event::TimedOut,
        });
    }

    /// Another service counts from now on.
    pub(in crate::server) fn ask_moved(&mut self) {
        self.ask.told = false;
        self.ask_event(Event::ServiceMoved { deadline: Some(self.now + MOVED) });
    }

    fn ask_event(&mut self, event: Event) {
        if let Some(pacer) = &mut self.ask.pacer {
            pacer.handle(self.now, event);
            self.ask_go_on();
            self.fleet_go_on();
        }
    }
}
