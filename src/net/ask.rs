//! When discovery is called, where the operators' file has `fleet.cold_start`: the pacer decides it, beside the calls.
//!
//! The module's and the clock of silence's own waits are then not added: what they wish for, the pacer has scheduled.

use super::{ASK_TIMER, Server};
use crate::config::Config;
use crate::fleet::ColdStartSettings;
use crate::interface::Micros;
use mothproxy_coldstart::pacer::{Config as Pace, Event, Pacer};
use std::time::{SystemTime, UNIX_EPOCH};

/// A watch is noticed to be silent this long before what it missed counts as told; a call and its answer take a part of that.
const AFTER_SILENCE: Micros = 2_500_000;
/// A service that has just taken over is asked within this.
const MOVED: Micros = 2_000_000;

/// How a call, or the watch that it opened, came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// Refused; with what `Retry-After` says.
    Refused(Option<Micros>),
    /// No connection, or it ended.
    Failed,
    /// It said nothing for too long.
    Silent,
}

/// The pacer of this dispatcher, where it is on.
#[derive(Default)]
pub(super) struct Asker {
    pacer: Option<Pacer>,
    timer: Option<Micros>,
    asked: Micros,
    /// The present watch has told a list.
    told: bool,
}

impl Asker {
    /// The pacer begins now, holding this generation. Where lists are pushed there is nothing to pace.
    pub fn open(set: Option<&ColdStartSettings>, config: &Config, now: Micros, generation: u64) -> Asker {
        let made = set.filter(|_| config.settings.roster_on_request).and_then(|set| {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
            let pace = Pace {
                place: u16::try_from(config.settings.me).ok()?,
                count: u16::try_from(config.settings.nodes).ok()?,
                service_time: set.call_time,
                ask_within: config.settings.ask_within,
                unix: unix.saturating_sub(now),
                seed: config.seed,
                hears: false,
                ask_without_pacer: false,
            };
            let made = Pacer::new(pace, now, generation);
            made.inspect_err(|error| tracing::warn!("cold start: the pacer is off: {error}")).ok()
        });
        Asker { pacer: made, ..Asker::default() }
    }

    /// Whether the pacer decides when discovery is called.
    pub fn on(&self) -> bool {
        self.pacer.is_some()
    }
}

impl Server {
    /// Sets the pacer's timer; called after each event for it.
    pub(super) fn ask_go_on(&mut self) {
        let wake = self.ask.pacer.as_ref().and_then(Pacer::next_wake);
        if wake == self.ask.timer {
            return;
        }
        if let Some(old) = self.ask.timer.take() {
            self.core.unremind(old, ASK_TIMER);
        }
        if let Some(at) = wake {
            self.core.remind(at, ASK_TIMER);
        }
        self.ask.timer = wake;
    }

    pub(super) fn ask_due(&mut self) {
        self.ask.timer = None;
        if self.ask.pacer.as_mut().is_some_and(|pacer| pacer.tick(self.now).is_some()) {
            (self.ask.asked, self.ask.told) = (self.now, false);
            self.call(true);
        }
        self.ask_go_on();
    }

    /// The watch told a list.
    pub(super) fn ask_listed(&mut self, generation: u64) {
        let waited = self.now.saturating_sub(self.ask.asked);
        let first = !std::mem::replace(&mut self.ask.told, true);
        self.ask_event(match first {
            true => Event::Answered { generation, waited },
            false => Event::Listed { generation },
        });
    }

    /// The call for a watch, or the watch, is over.
    pub(super) fn ask_over(&mut self, end: CallEnd) {
        let waited = self.now.saturating_sub(self.ask.asked);
        let told = std::mem::take(&mut self.ask.told);
        self.ask_event(match (told, end) {
            (true, CallEnd::Silent) => Event::WatchSilent { by: self.now + AFTER_SILENCE },
            (true, _) => Event::WatchEnded,
            (false, CallEnd::Refused(retry_after)) => Event::Refused { waited, retry_after },
            (false, CallEnd::Failed) => Event::Failed,
            (false, CallEnd::Silent) => Event::TimedOut,
        });
    }

    /// Another service counts from now on.
    pub(super) fn ask_moved(&mut self) {
        self.ask.told = false;
        self.ask_event(Event::Moved { by: Some(self.now + MOVED) });
    }

    fn ask_event(&mut self, event: Event) {
        if let Some(pacer) = &mut self.ask.pacer {
            pacer.handle(self.now, event);
            self.ask_go_on();
        }
    }
}
