//! Suspicion: a member that does not answer has some time to refute before it is declared dead (SWIM's suspicion
//! subprotocol).
//!
//! The timeout is dynamic, as in Lifeguard: it shrinks as independent members confirm the suspicion. Its minimum is
//! [`Config::suspicion_span`](crate::Config::suspicion_span), its maximum `suspicion_spread` times that.

use super::Membership;
use crate::view::MemberVersion;
use crate::{Micros, State};
use mothproxy_invariant::invariant;
use std::collections::{BTreeMap, BTreeSet};

/// One suspicion.
#[derive(Debug)]
struct Suspicion {
    since: Micros,
    expires_at: Micros,
    /// The first few members that got no answer from the suspect.
    accusers: Vec<u16>,
}

/// What an accusation changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Accusation {
    /// A suspicion was started.
    Started,
    /// Accusers were added to a suspicion.
    Confirmed,
    /// Nothing: all accusers were known already, or the suspicion has enough of them.
    Redundant,
}

/// All current suspicions, by place.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    by_place: BTreeMap<u16, Suspicion>,
    expiries: BTreeSet<(Micros, u16)>,
}

impl Suspicions {
    /// Postpones all timeouts by the lost time.
    pub fn postpone(&mut self, lost: Micros) {
        self.expiries.clear();
        for (place, suspicion) in &mut self.by_place {
            suspicion.since += lost;
            suspicion.expires_at += lost;
            self.expiries.insert((suspicion.expires_at, *place));
        }
    }

    /// The members that accuse a place.
    pub fn accusers(&self, place: u16) -> &[u16] {
        self.by_place.get(&place).map_or(&[], |suspicion| &suspicion.accusers)
    }

    /// The time of the next timeout.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Ends the suspicion of a place, if there is one.
    pub fn end(&mut self, place: u16) {
        if let Some(suspicion) = self.by_place.remove(&place) {
            self.expiries.remove(&(suspicion.expires_at, place));
        }
    }

    fn accuse(&mut self, place: u16, accusers: &[u16], max_accusers: usize, now: Micros) -> Accusation {
        let is_new = !self.by_place.contains_key(&place);
        let new = Suspicion { since: now, expires_at: u64::MAX, accusers: Vec::new() };
        let suspicion = self.by_place.entry(place).or_insert(new);
        let before = suspicion.accusers.len();
        for accuser in accusers {
            if suspicion.accusers.len() < max_accusers && !suspicion.accusers.contains(accuser) {
                suspicion.accusers.push(*accuser);
            }
        }
        if is_new {
            Accusation::Started
        } else if suspicion.accusers.len() > before {
            Accusation::Confirmed
        } else {
            Accusation::Redundant
        }
    }

    /// Sets the timeout of a suspicion to `span` after its start, but not before `earliest`. A timeout is never moved to a
    /// later time.
    fn shorten(&mut self, place: u16, span: Micros, earliest: Micros) {
        let Some(suspicion) = self.by_place.get_mut(&place) else { return };
        let expires_at = (suspicion.since + span).max(earliest).min(suspicion.expires_at);
        self.expiries.remove(&(suspicion.expires_at, place));
        suspicion.expires_at = expires_at;
        self.expiries.insert((expires_at, place));
    }

    fn next_expired(&self, now: Micros) -> Option<u16> {
        self.expiries.first().filter(|(at, _)| *at <= now).map(|(_, place)| *place)
    }
}

impl Membership {
    /// Starts or confirms the suspicion of a place by these accusers.
    pub(super) fn suspect(&mut self, place: u16, version: MemberVersion, accusers: &[u16]) {
        let known = self.view.at(place);
        if known.state != State::Suspect || known.incarnation != version.incarnation {
            self.set_state(place, State::Suspect, version);
        }
        let max_accusers = self.required_confirmations() + 1;
        let accusation = self.suspicions.accuse(place, accusers, max_accusers, self.now);
        if accusation == Accusation::Started {
            self.metrics.suspected += 1;
        }
        if accusation != Accusation::Redundant {
            let confirmations = self.suspicions.accusers(place).len().saturating_sub(1);
            self.shorten_suspicion(place, confirmations);
            self.dissemination.push_state(place);
        }
    }

    /// Shortens the suspicion of a place that another member has declared dead. That counts as all required confirmations.
    pub(super) fn confirm_suspicion(&mut self, place: u16) {
        self.shorten_suspicion(place, self.required_confirmations());
    }

    /// Whether a suspicion has all required accusers, so that one more probe would change nothing.
    pub(super) fn is_fully_accused(&self, place: u16) -> bool {
        self.suspicions.accusers(place).len() > self.required_confirmations()
    }

    /// Shortens a suspicion by its confirmations, but leaves the suspect one probe period to refute.
    fn shorten_suspicion(&mut self, place: u16, confirmations: usize) {
        let span = self.suspicion_timeout(confirmations);
        self.suspicions.shorten(place, span, self.now + self.config.probe_period);
    }

    /// The number of confirmations after which a suspicion lasts the minimum time.
    fn required_confirmations(&self) -> usize {
        (self.config.confirmations as usize).min(self.present.saturating_sub(2))
    }

    /// The duration of a suspicion with this number of confirmations (Lifeguard's rule: each further one shortens it less).
    fn suspicion_timeout(&self, confirmations: usize) -> Micros {
        let min_span = self.config.suspicion_span(self.present) as f64;
        let max_span = min_span * self.config.suspicion_spread;
        let fraction = match self.required_confirmations() {
            0 => 1.0,
            required => (confirmations as f64 + 1.0).ln() / (required as f64 + 1.0).ln(),
        };
        (max_span - (max_span - min_span) * fraction).max(min_span) as Micros
    }

    /// Declares dead the suspects that did not refute in time.
    pub(super) fn expire_suspicions(&mut self) {
        while let Some(place) = self.suspicions.next_expired(self.now) {
            let member = self.view.at(place);
            let min_span = self.config.suspicion_span(self.present).min(self.config.probe_period);
            let suspicion = self.suspicions.by_place.get(&place);
            let had_time = suspicion.is_some_and(|suspicion| self.now >= suspicion.since + min_span);
            invariant!(
                member.state == State::Suspect && had_time,
                "place {place} was declared dead before its minimum suspicion time"
            );
            self.suspicions.expiries.pop_first();
            self.metrics.declared_dead += 1;
            self.set_state(place, State::Dead, member.version());
        }
    }
}
