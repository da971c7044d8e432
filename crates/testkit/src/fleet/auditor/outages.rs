//! The times at which processes were down or paused, which excuse violations of some rules.

use crate::fleet::event_log::{Event, LoggedEvent};
use std::collections::HashMap;

/// A span of time in microseconds; the end is `u64::MAX` if it is not known yet.
struct Span {
    begin: u64,
    end: u64,
}

impl Span {
    fn open_from(begin: u64) -> Span {
        Span { begin, end: u64::MAX }
    }
}

/// One dispatcher's kills and pauses.
#[derive(Default)]
struct Outages {
    /// The spans from each kill to the next start. A job that a client writes to a process that is being killed is not accepted.
    down: Vec<Span>,
    paused: Vec<Span>,
}

impl Outages {
    fn on_started(&mut self, at: u64) {
        if let Some(last) = self.down.last_mut() {
            last.end = last.end.min(at);
        }
    }

    fn on_resumed(&mut self, at: u64) {
        if let Some(last) = self.paused.last_mut() {
            last.end = at;
        }
    }
}

/// The kills and pauses of all dispatchers. All times are microseconds of the harness's clock.
pub(super) struct OutageHistory {
    by_dispatcher: HashMap<usize, Outages>,
}

impl OutageHistory {
    /// Collects the outages from events, which must be in order of their times.
    pub(super) fn from_events(events: &[LoggedEvent]) -> OutageHistory {
        let mut history = OutageHistory { by_dispatcher: HashMap::new() };
        for LoggedEvent { at, event } in events {
            let at = *at;
            match *event {
                Event::Killed { dispatcher } => history.of(dispatcher).down.push(Span::open_from(at)),
                Event::Started { dispatcher } => history.of(dispatcher).on_started(at),
                Event::Paused { dispatcher, is_paused: true } => {
                    history.of(dispatcher).paused.push(Span::open_from(at));
                }
                Event::Paused { dispatcher, is_paused: false } => history.of(dispatcher).on_resumed(at),
                _ => {}
            }
        }
        history
    }

    fn of(&mut self, dispatcher: usize) -> &mut Outages {
        self.by_dispatcher.entry(dispatcher).or_default()
    }

    /// Whether a process was down at any time between these two.
    pub(super) fn is_down_within(&self, dispatcher: usize, from: u64, to: u64) -> bool {
        let outages = self.by_dispatcher.get(&dispatcher);
        let mut down = outages.iter().flat_map(|outages| &outages.down);
        down.any(|span| span.begin <= to && from < span.end)
    }

    /// Whether a process was paused at any time between these two.
    pub(super) fn is_paused_within(&self, dispatcher: usize, from: u64, to: u64) -> bool {
        self.pauses(dispatcher).iter().any(|span| span.begin <= to && from <= span.end)
    }

    /// The time at which a process reads what is written to it at `at`: immediately, or at the end of the pause if it is paused.
    pub(super) fn known_at(&self, dispatcher: usize, at: u64) -> u64 {
        let pause = self.pauses(dispatcher).iter().find(|span| (span.begin..=span.end).contains(&at));
        pause.map_or(at, |span| span.end)
    }

    fn pauses(&self, dispatcher: usize) -> &[Span] {
        self.by_dispatcher.get(&dispatcher).map_or(&[], |outages| &outages.paused)
    }
}
