//! The state machine: probes, suspicion, refuting, and what of it is told. The exchange of digests is in src/sync.rs.

use crate::facts::{Facts, Merged};
use crate::invariant::invariant;
use crate::queue::Queue;
use crate::wire::{self, Body, Datagram, Key, Record, Refusal, Route, Stamp, Writer};
use crate::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The most that wait to be passed on.
const NEWS_MOST: usize = 8_192;
/// The most pings under way for others.
const RELAYS_MOST: usize = 256;
/// Of those first in line so many are tried for the rest of a datagram.
const TRIED: usize = 40;
/// A place that others hold dead is asked one at a time, so long after another.
const CHECK_GAP: Micros = 50_000;
/// Who leaves goes on saying so for this long.
const LEAVES_FOR: Micros = 2_000_000;

/// A member of the group.
#[derive(Debug)]
pub struct Membership {
    pub(crate) config: Config,
    pub(crate) now: Micros,
    pub(crate) rng: fastrand::Rng,
    pub(crate) view: View,
    pub(crate) facts: Facts,
    pub(crate) figures: Figures,
    pub(crate) next_sync: Micros,
    pub(crate) synced_at: Micros,
    /// Whom the next digest goes to.
    pub(crate) sync_with: Option<u16>,
    outputs: VecDeque<Output>,
    /// How many are alive or suspect, this member included.
    present: usize,
    /// When each was heard directly.
    heard: Vec<Micros>,
    heard_any: Micros,
    /// Whom to probe, in turn.
    order: Vec<u16>,
    turn: usize,
    seq: u32,
    probes: Vec<Probe>,
    relays: BTreeMap<u32, Relayed>,
    suspicions: BTreeMap<u16, Suspicion>,
    expiries: BTreeSet<(Micros, u16)>,
    /// Alive here, but held dead elsewhere, at this epoch and incarnation.
    accused: BTreeMap<u16, (u64, u32)>,
    checks: VecDeque<u16>,
    news: Queue<u16>,
    fact_news: Queue<(u16, Key)>,
    /// The number of the last fact told.
    number: u64,
    forgets: BTreeSet<(Micros, u16)>,
    /// What may be sent, in millionths of a byte.
    tokens: u64,
    health: u32,
    left_at: Option<Micros>,
    next_probe: Micros,
    next_gossip: Micros,
    next_meet: Micros,
    next_check: Micros,
    /// The last wake asked for.
    wake: Micros,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// Its turn has come.
    Turn,
    /// Others hold it dead.
    Check,
    /// It may have come back.
    Meet,
}

#[derive(Debug)]
struct Probe {
    seq: u32,
    target: u16,
    reason: Reason,
    begun: Micros,
    indirect_at: Option<Micros>,
    ends_at: Micros,
    relays: Vec<u16>,
    nacks: u32,
}

#[derive(Debug)]
struct Relayed {
    origin: u16,
    seq: u32,
    target: u16,
    nack_at: Micros,
}

/// The most that may be saved up, in millionths of a byte: what half a second allows.
fn budget(config: &Config) -> u64 {
    u64::from(config.budget) * 500_000
}

#[derive(Debug)]
struct Suspicion {
    since: Micros,
    until: Micros,
    /// Who found it not answering, by the first few.
    accusers: Vec<u16>,
}

impl Membership {
    /// A member that has heard of nobody.
    pub fn new(config: Config, now: Micros) -> Result<Membership, ConfigError> {
        config.check()?;
        let mut rng = fastrand::Rng::with_seed(config.seed ^ u64::from(config.me) << 48);
        let mut view = View::new(config.peers, now);
        view.members[usize::from(config.me)] =
            Member { state: State::Alive, epoch: config.epoch, incarnation: 0, since: now };
        // Whoever starts together asks apart.
        let [next_probe, next_sync, next_meet] =
            [config.probe_period, config.sync_period, config.probe_period].map(|span| now + rng.u64(0..span));
        let tokens = budget(&config);
        let mut member = Membership {
            now,
            view,
            facts: Facts::default(),
            figures: Figures::default(),
            next_sync,
            synced_at: 0,
            sync_with: None,
            outputs: VecDeque::new(),
            present: 1,
            heard: vec![0; config.peers.into()],
            heard_any: now,
            order: Vec::new(),
            turn: 0,
            seq: rng.u32(..),
            probes: Vec::new(),
            relays: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            expiries: BTreeSet::new(),
            accused: BTreeMap::new(),
            checks: VecDeque::new(),
            news: Queue::new(NEWS_MOST),
            fact_news: Queue::new(NEWS_MOST),
            number: 0,
            forgets: BTreeSet::new(),
            tokens,
            health: 0,
            left_at: None,
            next_probe,
            next_gossip: now,
            next_meet,
            next_check: now,
            wake: 0,
            rng,
            config,
        };
        member.news.push(member.config.me);
        member.wake = member.next_wake();
        Ok(member)
    }

    /// Takes all places for alive at these epochs, as if they had been heard of long ago. For models that start at rest.
    #[doc(hidden)]
    pub fn assume(&mut self, epochs: &[u64]) {
        for (member, epoch) in self.view.members.iter_mut().zip(epochs) {
            *member = Member { state: State::Alive, epoch: *epoch, incarnation: 0, since: self.now };
        }
        let me = self.config.me;
        self.order = (0..self.config.peers).filter(|p| *p != me).collect();
        self.rng.shuffle(&mut self.order);
        self.present = self.view.members.len();
        self.news.remove(me);
        self.wake = self.next_wake();
    }

    /// A datagram came from the address of this place. A longer one may be cut to [`MOST`] plus one byte.
    pub fn receive(&mut self, now: Micros, from: u16, datagram: &[u8]) {
        self.advance(now);
        self.figures.received_bytes += datagram.len() as u64;
        let route = Route { from, to: self.config.me, peers: self.config.peers };
        match wire::read(datagram, route) {
            Ok(datagram) => {
                self.figures.received += 1;
                if self.left_at.is_none() {
                    self.hear(from, datagram);
                }
            }
            Err(Refusal::Long) => self.figures.refused_long += 1,
            Err(Refusal::Version) => self.figures.refused_version += 1,
            Err(Refusal::Foreign) => self.figures.refused_foreign += 1,
            Err(Refusal::Malformed) => self.figures.refused_malformed += 1,
        }
        self.wake = self.next_wake();
    }

    /// The time of [`Membership::next_wake`] has come.
    pub fn tick(&mut self, now: Micros) {
        self.advance(now);
        let now = self.now;
        while let Some((_, place)) = self.forgets.first().copied().filter(|(at, _)| *at <= now) {
            self.forgets.pop_first();
            self.facts.forget(place);
        }
        if let Some(left) = self.left_at {
            if now < left + LEAVES_FOR && !self.news.is_empty() {
                self.gossip();
            }
        } else {
            self.expire();
            self.follow_probes();
            if now >= self.next_probe {
                self.probe_next();
            }
            if now >= self.next_check && !self.checks.is_empty() {
                self.check_next();
            }
            if now >= self.next_meet {
                self.meet();
            }
            self.gossip();
            if now >= self.next_sync {
                self.sync();
            }
        }
        self.wake = self.next_wake();
    }

    /// When to call [`Membership::tick`], at the latest; `u64::MAX` if there is nothing more to do. Each call may change it.
    pub fn next_wake(&self) -> Micros {
        let news = !self.news.is_empty() || !self.fact_news.is_empty();
        let gossip = Some(self.next_gossip).filter(|_| news && self.present > 1);
        let forget = self.forgets.first().map(|(at, _)| *at);
        if let Some(left) = self.left_at {
            return gossip
                .filter(|at| *at < left + LEAVES_FOR)
                .into_iter()
                .chain(forget)
                .min()
                .unwrap_or(u64::MAX);
        }
        let probes = self.probes.iter().map(|p| p.indirect_at.unwrap_or(p.ends_at).min(p.ends_at));
        let relays = self.relays.values().map(|r| r.nack_at);
        let check = Some(self.next_check).filter(|_| !self.checks.is_empty());
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let timers = [self.next_probe, self.next_meet, self.next_sync].into_iter();
        let timers = timers.chain(gossip).chain(forget).chain(check).chain(expiry);
        timers.chain(probes).chain(relays).min().unwrap_or(u64::MAX)
    }

    /// This member takes its leave: it says so, answers nothing from now on, and is never held dead for it.
    pub fn leave(&mut self, now: Micros) {
        self.advance(now);
        if self.left_at.is_some() {
            return;
        }
        self.left_at = Some(self.now);
        let me = self.me();
        self.set(self.config.me, State::Left, me.epoch, me.incarnation + 1);
        self.probes.clear();
        self.relays.clear();
        for _ in 0..self.enough(self.config.gossip_factor) {
            let to = self.someone(&[]);
            to.into_iter().for_each(|to| self.send(to, &Body::Gossip, true));
        }
        self.next_gossip = self.now + self.config.gossip_period;
        self.wake = self.next_wake();
    }

    /// What there is to do, until `None`; to be asked after each call of the others.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// This member's own place.
    pub fn place(&self) -> u16 {
        self.config.me
    }

    /// What this member believes of all places.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Tells a fact to all members. It replaces the one told before of the same kind and slot.
    pub fn tell(&mut self, now: Micros, kind: u8, slot: u32, bytes: &[u8]) -> Result<(), FactError> {
        self.advance(now);
        if bytes.len() > FACT_BYTES {
            return Err(FactError::TooLong(bytes.len()));
        }
        if self.left_at.is_some() {
            return Err(FactError::Left);
        }
        let (me, epoch) = (self.config.me, self.me().epoch);
        let full = self.facts.of(me) >= FACT_SLOTS && self.facts.get(me, (kind, slot)).is_none();
        if full && self.facts.least(me).is_none_or(|least| least.epoch == epoch) {
            return Err(FactError::Full);
        }
        self.number += 1;
        self.facts.merge(me, (kind, slot), Stamp { epoch, number: self.number }, bytes);
        self.figures.facts_told += 1;
        self.fact_news.push((me, (kind, slot)));
        self.wake = self.next_wake();
        Ok(())
    }

    /// All facts held, own ones too, by place, kind and slot.
    pub fn facts(&self) -> impl Iterator<Item = Fact<'_>> {
        self.facts.iter()
    }

    /// What was counted, and what is now.
    pub fn figures(&self) -> Figures {
        Figures { health: self.health, facts_held: self.facts.held() as u64, ..self.figures }
    }

    pub(crate) fn me(&self) -> Member {
        self.view.members[usize::from(self.config.me)]
    }

    /// Time goes on, never back. A wake that comes much too late means that this process did not run, so that what it
    /// did not hear says nothing: everybody gets the time that was lost here.
    fn advance(&mut self, now: Micros) {
        let now = now.max(self.now);
        let full = budget(&self.config);
        let gained = (now - self.now).saturating_mul(self.config.budget.into());
        self.tokens = self.tokens.saturating_add(gained).min(full);
        self.now = now;
        let lost = now.saturating_sub(self.wake);
        if lost <= self.config.late || self.left_at.is_some() {
            return;
        }
        self.figures.starved += 1;
        self.ail();
        self.wake = now;
        self.expiries.clear();
        for (place, suspicion) in &mut self.suspicions {
            suspicion.since += lost;
            suspicion.until += lost;
            self.expiries.insert((suspicion.until, *place));
        }
        for probe in &mut self.probes {
            probe.indirect_at = probe.indirect_at.map(|at| at + lost);
            probe.ends_at += lost;
        }
        // Who asked through this member has given up.
        self.relays.clear();
        self.next_probe = self.next_probe.max(now + self.config.probe_timeout);
    }

    fn ail(&mut self) {
        self.health = (self.health + 1).min(self.config.health_most);
    }

    /// A span as long as local health makes it.
    fn lengthened(&self, span: Micros) -> Micros {
        span * (u64::from(self.health) + 1)
    }

    /// How often news is passed on.
    fn enough(&self, factor: f64) -> u32 {
        (factor * (self.present as f64 + 1.0).ln()).ceil().max(1.0) as u32
    }

    /// The confirmations that are asked for.
    fn confirmations(&self) -> usize {
        (self.config.confirmations as usize).min(self.present.saturating_sub(2))
    }

    /// How long a suspicion lasts that so many others have confirmed (Lifeguard's rule: each one counts less).
    fn suspicion_span(&self, confirmed: usize) -> Micros {
        let least = self.config.suspicion_span(self.present) as f64;
        let most = least * self.config.suspicion_spread;
        let asked = self.confirmations();
        let part = match asked {
            0 => 1.0,
            _ => (confirmed as f64 + 1.0).ln() / (asked as f64 + 1.0).ln(),
        };
        (most - (most - least) * part).max(least) as Micros
    }

    fn hear(&mut self, from: u16, datagram: Datagram) {
        let Datagram { epoch, incarnation, body, records } = datagram;
        let known = self.view.members[usize::from(from)];
        if epoch < known.epoch {
            // Its clock went back, or it was long under way. Who is there learns that its epoch is not the latest.
            self.figures.refused_stale += 1;
            if matches!(body, Body::Ping { .. } | Body::Relay { .. }) {
                self.send_with(from, &Body::Gossip, true, &[self.state_record(from)]);
            }
            return;
        }
        let met = !matches!(known.state, State::Alive | State::Suspect);
        self.heard[usize::from(from)] = self.now;
        self.heard_any = self.now;
        self.hear_state(from, from, State::Alive, epoch, incarnation, &[]);
        if met && self.view.state(from) == State::Alive {
            self.sync_with = Some(from);
            self.sync_soon();
        }
        let before = self.me();
        for record in records {
            match record {
                Record::State { place, state, epoch, incarnation, accusers } => {
                    self.hear_state(from, place, state, epoch, incarnation, &accusers);
                }
                Record::Fact { place, key, stamp, bytes } => self.hear_fact(place, key, stamp, &bytes),
            }
        }
        if self.me() != before && !matches!(body, Body::Ping { .. }) {
            self.send(from, &Body::Gossip, true);
        }
        match body {
            Body::Ping { seq } => self.send(from, &Body::Ack { seq }, true),
            Body::Ack { seq } => self.hear_ack(from, seq),
            Body::Nack { seq } => {
                let probe = self.probes.iter_mut().find(|p| p.seq == seq && p.relays.contains(&from));
                probe.into_iter().for_each(|p| p.nacks += 1);
            }
            Body::Relay { seq, target } if target == self.config.me => {
                self.send(from, &Body::Ack { seq }, true)
            }
            Body::Relay { seq, target } => {
                if self.relays.len() < RELAYS_MOST && target != from {
                    let mine = self.next_seq();
                    let nack_at = self.now + self.config.probe_timeout;
                    self.relays.insert(mine, Relayed { origin: from, seq, target, nack_at });
                    self.send(target, &Body::Ping { seq: mine }, true);
                }
            }
            Body::Gossip => {}
            Body::Roots { salt, roots } => self.hear_roots(from, salt, &roots),
            Body::Page { salt, lo, rows } => self.hear_page(from, salt, lo, &rows),
            Body::Have { salt, place, below, rest, held } => {
                self.hear_have(from, salt, place, below, rest, &held)
            }
            Body::Want { place, keys } => self.hear_want(from, place, &keys),
        }
    }

    fn hear_ack(&mut self, from: u16, seq: u32) {
        let answers = |p: &Probe| p.seq == seq && (p.target == from || p.relays.contains(&from));
        if let Some(at) = self.probes.iter().position(answers) {
            let probe = self.probes.swap_remove(at);
            if probe.reason != Reason::Meet {
                self.health = self.health.saturating_sub(1);
            }
        } else if self.relays.get(&seq).is_some_and(|r| r.target == from) {
            let relayed = self.relays.remove(&seq);
            relayed.into_iter().for_each(|r| self.send(r.origin, &Body::Ack { seq: r.seq }, true));
        }
    }

    /// Somebody's word on a place.
    pub(crate) fn hear_state(
        &mut self,
        from: u16,
        place: u16,
        state: State,
        epoch: u64,
        incarnation: u32,
        accusers: &[u16],
    ) {
        if place == self.config.me {
            return self.hear_of_me(state, epoch, incarnation);
        }
        let known = self.view.members[usize::from(place)];
        if epoch < known.epoch {
            self.figures.refused_stale += 1;
            return;
        }
        if epoch == known.epoch && (known.state == State::Left || incarnation < known.incarnation) {
            return;
        }
        let newer = known.state == State::Unknown || (epoch, incarnation) > (known.epoch, known.incarnation);
        match (state, known.state) {
            (State::Unknown, _) => {}
            (State::Alive, _) if newer => self.set(place, State::Alive, epoch, incarnation),
            (State::Alive, _) => {}
            // Its own word alone.
            (State::Left, _) => self.set(place, State::Left, epoch, incarnation),
            (State::Suspect, State::Dead) if !newer => {}
            (State::Suspect, _) => {
                if newer {
                    self.end_suspicion(place);
                }
                let from = [from];
                let accusers = if accusers.is_empty() { &from[..] } else { accusers };
                self.suspect(place, epoch, incarnation, accusers);
            }
            // No one's word is enough for a death here: it shortens a suspicion, or makes this member ask for itself.
            (State::Dead, State::Suspect) if !newer => self.confirm(place),
            (State::Dead, State::Alive | State::Suspect) => {
                if newer {
                    self.set(place, State::Alive, epoch, incarnation);
                }
                if self.accused.insert(place, (epoch, incarnation)).is_none() {
                    self.checks.push_back(place);
                }
            }
            (State::Dead, _) if newer => self.set(place, State::Dead, epoch, incarnation),
            (State::Dead, _) => {}
        }
    }

    /// Somebody's word on this member: refuted where it is wrong.
    fn hear_of_me(&mut self, state: State, epoch: u64, incarnation: u32) {
        let me = self.me();
        let above = epoch + 1 < config::EPOCH_BOUND;
        if (epoch > me.epoch || epoch == me.epoch && state == State::Left) && above {
            self.figures.refuted += 1;
            self.raise_epoch(epoch + 1);
        } else if epoch == me.epoch && incarnation >= me.incarnation && state > State::Alive {
            self.figures.refuted += 1;
            self.ail();
            self.set(self.config.me, State::Alive, epoch, incarnation + 1);
        } else if epoch == me.epoch && incarnation > me.incarnation {
            self.set(self.config.me, State::Alive, epoch, incarnation);
        }
    }

    fn raise_epoch(&mut self, epoch: u64) {
        let (me, was) = (self.config.me, self.me().epoch);
        self.set(me, State::Alive, epoch, 0);
        for key in self.facts.move_epoch(me, was, epoch) {
            self.fact_news.push((me, key));
        }
    }

    pub(crate) fn hear_fact(&mut self, place: u16, key: Key, stamp: Stamp, bytes: &[u8]) {
        if place == self.config.me {
            let epoch = self.me().epoch;
            if stamp.epoch == epoch {
                return;
            }
            if stamp.epoch > epoch && stamp.epoch + 1 < config::EPOCH_BOUND {
                self.raise_epoch(stamp.epoch + 1);
            }
        } else if self.forgotten(place) {
            return;
        }
        match self.facts.merge(place, key, stamp, bytes) {
            Merged::New => {
                self.figures.facts_taken += 1;
                self.fact_news.push((place, key));
                let Stamp { epoch, number } = stamp;
                let (kind, slot) = key;
                let fact = OwnedFact { kind, place, epoch, slot, number, bytes: bytes.to_vec() };
                self.outputs.push_back(Output::Fact(fact));
            }
            Merged::Known => {}
            Merged::Cut => self.figures.facts_refused += 1,
        }
        invariant!(self.facts.of(place) <= FACT_SLOTS, "place {place} has more facts than slots");
    }

    /// Whether a place has been gone for so long that its facts are forgotten.
    pub(crate) fn forgotten(&self, place: u16) -> bool {
        let member = &self.view.members[usize::from(place)];
        matches!(member.state, State::Dead | State::Left)
            && self.now >= member.since + self.config.forget_after
    }

    /// A place is believed to be something else from now on.
    fn set(&mut self, place: u16, to: State, epoch: u64, incarnation: u32) {
        let holds = |state| matches!(state, State::Alive | State::Suspect);
        let gone = |state| matches!(state, State::Dead | State::Left);
        let was = self.view.members[usize::from(place)];
        invariant!((epoch, incarnation) >= (was.epoch, was.incarnation), "news of place {place} went back");
        let since = if was.state == to { was.since } else { self.now };
        self.view.members[usize::from(place)] = Member { state: to, epoch, incarnation, since };
        if was.state != to || was.epoch != epoch {
            self.view.version += 1;
            let version = self.view.version;
            self.outputs.push_back(Output::Changed(Change { place, epoch, from: was.state, to, version }));
        }
        if to != State::Suspect {
            self.end_suspicion(place);
        }
        if gone(was.state) {
            self.forgets.remove(&(was.since + self.config.forget_after, place));
        }
        if gone(to) && place != self.config.me {
            self.forgets.insert((since + self.config.forget_after, place));
        }
        match (holds(was.state), holds(to)) {
            (false, true) => {
                self.present += 1;
                let at = self.rng.usize(self.turn.min(self.order.len())..=self.order.len());
                self.order.insert(at, place);
            }
            (true, false) => self.present -= 1,
            _ => {}
        }
        self.accused.remove(&place);
        self.news.push(place);
    }

    fn suspect(&mut self, place: u16, epoch: u64, incarnation: u32, accusers: &[u16]) {
        if self.view.state(place) != State::Suspect
            || self.view.members[usize::from(place)].incarnation != incarnation
        {
            self.set(place, State::Suspect, epoch, incarnation);
        }
        let most = self.confirmations() + 1;
        let now = self.now;
        let begun = !self.suspicions.contains_key(&place);
        self.figures.suspected += u64::from(begun);
        let new = Suspicion { since: now, until: u64::MAX, accusers: Vec::new() };
        let suspicion = self.suspicions.entry(place).or_insert(new);
        let before = suspicion.accusers.len();
        for accuser in accusers {
            if suspicion.accusers.len() < most && !suspicion.accusers.contains(accuser) {
                suspicion.accusers.push(*accuser);
            }
        }
        if suspicion.accusers.len() > before || begun {
            let confirmed = suspicion.accusers.len().saturating_sub(1);
            self.shorten(place, confirmed);
            self.news.push(place);
        }
    }

    /// Somebody has held it dead already: all the confirmations there could be.
    fn confirm(&mut self, place: u16) {
        self.shorten(place, self.confirmations());
    }

    /// A suspicion ends by then; but word of it that made it shorter leaves a period for the other to refute.
    fn shorten(&mut self, place: u16, confirmed: usize) {
        let (span, grace) = (self.suspicion_span(confirmed), self.now + self.config.probe_period);
        let Some(suspicion) = self.suspicions.get_mut(&place) else { return };
        let until = (suspicion.since + span).max(grace).min(suspicion.until);
        self.expiries.remove(&(suspicion.until, place));
        suspicion.until = until;
        self.expiries.insert((until, place));
    }

    fn end_suspicion(&mut self, place: u16) {
        if let Some(suspicion) = self.suspicions.remove(&place) {
            self.expiries.remove(&(suspicion.until, place));
        }
    }

    fn expire(&mut self) {
        while let Some((_, place)) = self.expiries.first().copied().filter(|(at, _)| *at <= self.now) {
            let (member, suspicion) = (self.view.members[usize::from(place)], self.suspicions.get(&place));
            let least = self.config.suspicion_span(self.present);
            let held = suspicion.is_some_and(|s| self.now >= s.since + least.min(self.config.probe_period));
            invariant!(member.state == State::Suspect && held, "place {place} dies before its time");
            self.expiries.pop_first();
            self.figures.declared_dead += 1;
            self.set(place, State::Dead, member.epoch, member.incarnation);
        }
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq & 0xffff
    }

    fn probe(&mut self, target: u16, reason: Reason) {
        let (seq, now) = (self.next_seq(), self.now);
        let indirect_at =
            Some(now + self.lengthened(self.config.probe_timeout)).filter(|_| reason != Reason::Meet);
        let ends_at = now + self.lengthened(self.config.probe_period);
        let (relays, nacks) = (Vec::new(), 0);
        self.figures.probes += 1;
        self.probes.push(Probe { seq, target, reason, begun: now, indirect_at, ends_at, relays, nacks });
        let accusation = self.accused.get(&target).map(|(epoch, incarnation)| Record::State {
            place: target,
            state: State::Dead,
            epoch: *epoch,
            incarnation: *incarnation,
            accusers: Vec::new(),
        });
        self.send_with(target, &Body::Ping { seq }, true, accusation.as_slice());
    }

    fn probe_next(&mut self) {
        let period = self.lengthened(self.config.probe_period);
        self.next_probe = self.now + period;
        for round in 0..2 {
            while let Some(target) = self.order.get(self.turn).copied() {
                self.turn += 1;
                let holds = matches!(self.view.state(target), State::Alive | State::Suspect);
                // One whose accusers are enough has its time, and what it says will be heard.
                let enough = self.confirmations() + 1;
                let settled = self.suspicions.get(&target).is_some_and(|s| s.accusers.len() >= enough);
                if holds && !settled && self.probes.iter().all(|p| p.target != target) {
                    return self.probe(target, Reason::Turn);
                }
            }
            if round == 0 {
                let me = self.config.me;
                let present = self
                    .view
                    .iter()
                    .filter(|(p, m)| *p != me && matches!(m.state, State::Alive | State::Suspect));
                self.order = present.map(|(place, _)| place).collect();
                self.rng.shuffle(&mut self.order);
                self.turn = 0;
            }
        }
    }

    fn check_next(&mut self) {
        while let Some(place) = self.checks.pop_front() {
            if self.accused.contains_key(&place) && self.view.state(place) == State::Alive {
                self.next_check = self.now + self.lengthened(CHECK_GAP);
                return self.probe(place, Reason::Check);
            }
        }
    }

    /// One of those who are not here is looked up; that is how the two sides of a cut find each other again.
    fn meet(&mut self) {
        let alone = self.present == 1;
        let period = if alone { self.config.probe_period } else { self.config.meet_period };
        self.next_meet = self.now + self.rng.u64(period - period / 4..=period + period / 4);
        let peers = self.config.peers;
        let start = self.rng.u16(0..peers);
        let absent = |p: &u16| !matches!(self.view.state(*p), State::Alive | State::Suspect);
        if let Some(place) = (start..peers).chain(0..start).find(absent) {
            self.probe(place, Reason::Meet);
        }
    }

    fn follow_probes(&mut self) {
        let now = self.now;
        let late: Vec<u32> =
            self.relays.iter().filter(|(_, r)| r.nack_at <= now).map(|(seq, _)| *seq).collect();
        for seq in late {
            let relayed = self.relays.remove(&seq);
            relayed.into_iter().for_each(|r| self.send(r.origin, &Body::Nack { seq: r.seq }, true));
        }
        for at in 0..self.probes.len() {
            if self.probes[at].indirect_at.is_some_and(|due| due <= now) {
                let (seq, target) = (self.probes[at].seq, self.probes[at].target);
                self.probes[at].indirect_at = None;
                self.probes[at].relays = self.relays_to(target);
                for relay in self.probes[at].relays.clone() {
                    self.send(relay, &Body::Relay { seq, target }, true);
                }
            }
        }
        let probes = std::mem::take(&mut self.probes);
        let (ended, probes) = probes.into_iter().partition::<Vec<_>, _>(|p| p.ends_at <= now);
        self.probes = probes;
        ended.into_iter().for_each(|probe| self.fail(probe));
    }

    /// Those to ask through: of twice as many by lot, the ones heard last.
    fn relays_to(&mut self, target: u16) -> Vec<u16> {
        let wanted = self.config.relays as usize;
        let mut some = vec![target];
        for _ in 0..2 * wanted {
            let next = self.someone(&some);
            some.extend(next);
        }
        let mut some = some.split_off(1);
        some.sort_by_key(|p| std::cmp::Reverse(self.heard[usize::from(*p)]));
        some.truncate(wanted);
        some
    }

    fn fail(&mut self, probe: Probe) {
        if probe.reason == Reason::Meet {
            return;
        }
        self.figures.probes_failed += 1;
        // Nobody at all was heard meanwhile: rather this member's fault.
        if probe.nacks == 0 && self.heard_any <= probe.begun && self.present > 2 {
            self.ail();
        }
        let target = probe.target;
        let member = self.view.members[usize::from(target)];
        let accused = self.accused.remove(&target).is_some() && probe.reason == Reason::Check;
        if !matches!(member.state, State::Alive | State::Suspect) {
            return;
        }
        if self.config.skip_suspicion {
            self.figures.declared_dead += 1;
            return self.set(target, State::Dead, member.epoch, member.incarnation);
        }
        self.suspect(target, member.epoch, member.incarnation, &[self.config.me]);
        if accused {
            self.confirm(target);
        }
        self.send(target, &Body::Gossip, true);
    }

    /// Another who is present, by lot, none of these.
    pub(crate) fn someone(&mut self, but: &[u16]) -> Option<u16> {
        let (me, peers) = (self.config.me, self.config.peers);
        let fits = |m: &Membership, p: u16| {
            p != me && matches!(m.view.state(p), State::Alive | State::Suspect) && !but.contains(&p)
        };
        for _ in 0..8 {
            let place = self.rng.u16(0..peers);
            if fits(self, place) {
                return Some(place);
            }
        }
        let start = self.rng.u16(0..peers);
        (start..peers).chain(0..start).find(|p| fits(self, *p))
    }

    /// While there is news, it goes to a few.
    fn gossip(&mut self) {
        if self.now < self.next_gossip || self.present < 2 {
            return;
        }
        // Where many die at once, there is more to say than fits into a few datagrams.
        let fanout = self.config.gossip_fanout * if self.news.len() > TRIED { 2 } else { 1 };
        for _ in 0..fanout {
            if (!self.news.is_empty() || !self.fact_news.is_empty()) && self.may_send_more() {
                // A suspect is most likely gone; whoever accuses it tells it so.
                let to = self.someone(&[]).filter(|to| self.view.state(*to) == State::Alive);
                let to = to.or_else(|| self.someone(&[]));
                to.into_iter().for_each(|to| self.send(to, &Body::Gossip, false));
            }
        }
        self.next_gossip = self.now + self.config.gossip_period;
    }

    pub(crate) fn state_record(&self, place: u16) -> Record {
        let Member { state, epoch, incarnation, .. } = self.view.members[usize::from(place)];
        let accusers = self.suspicions.get(&place).map(|s| s.accusers.clone()).unwrap_or_default();
        Record::State { place, state, epoch, incarnation, accusers }
    }

    pub(crate) fn fact_record(&self, place: u16, key: Key) -> Option<Record> {
        let (stamp, bytes) = self.facts.get(place, key)?;
        Some(Record::Fact { place, key, stamp, bytes: bytes.to_vec() })
    }

    /// Whether the budget has room for what can wait: a quarter of it is kept for probes and what refutes.
    pub(crate) fn may_send_more(&self) -> bool {
        self.tokens >= budget(&self.config) / 4 + MOST as u64 * 1_000_000
    }

    pub(crate) fn send(&mut self, to: u16, body: &Body, urgent: bool) {
        self.send_with(to, body, urgent, &[]);
    }

    /// Sends these records and as much news as there is room for. Returns how many of the records went along.
    pub(crate) fn send_with(&mut self, to: u16, body: &Body, urgent: bool, records: &[Record]) -> usize {
        let more = self.may_send_more();
        if !urgent && !more {
            self.figures.over_budget += 1;
            return 0;
        }
        let me = self.me();
        let mut writer = Writer::new(me.epoch, me.incarnation, body);
        // Whoever is doubted hears it from everyone, so that it can refute.
        if matches!(self.view.state(to), State::Suspect | State::Dead | State::Left) {
            writer.add(&self.state_record(to));
        }
        let went = records.iter().take_while(|record| writer.add(record)).count();
        if more {
            self.fill(&mut writer, to);
        }
        let cost = writer.len() as u64 * 1_000_000;
        if cost > self.tokens {
            self.figures.over_budget += 1;
            return 0;
        }
        self.tokens -= cost;
        invariant!(writer.len() <= MOST, "a datagram of {} bytes", writer.len());
        self.figures.sent += 1;
        self.figures.sent_bytes += writer.len() as u64;
        let route = Route { from: self.config.me, to, peers: self.config.peers };
        self.outputs.push_back(Output::Send { to, bytes: writer.finish(route) });
        went
    }

    fn fill(&mut self, writer: &mut Writer, to: u16) {
        let enough = self.enough(self.config.gossip_factor);
        for place in self.news.first(TRIED) {
            if place != to && writer.add(&self.state_record(place)) {
                self.news.sent(place, enough);
            }
        }
        let enough = self.enough(self.config.fact_factor);
        for (place, key) in self.fact_news.first(TRIED) {
            match self.fact_record(place, key) {
                None => self.fact_news.remove((place, key)),
                Some(record) if place != to && writer.add(&record) => {
                    self.fact_news.sent((place, key), enough)
                }
                Some(_) => {}
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use State::{Alive, Dead, Left, Suspect, Unknown};

    /// A member at place 0 of 5, started at epoch 100, and the others at epoch 50.
    fn member() -> Membership {
        let mut member = Membership::new(Config::new(0, 5, 100, 1), 1_000_000).unwrap();
        member.assume(&[100, 50, 50, 50, 50]);
        member
    }

    fn datagram(from: u16, epoch: u64, incarnation: u32, records: &[Record]) -> Vec<u8> {
        let mut writer = Writer::new(epoch, incarnation, &Body::Gossip);
        assert!(records.iter().all(|record| writer.add(record)));
        writer.finish(Route { from, to: 0, peers: 5 })
    }

    fn word(place: u16, state: State, epoch: u64, incarnation: u32) -> Record {
        let accusers = if state == Suspect { vec![2] } else { Vec::new() };
        Record::State { place, state, epoch, incarnation, accusers }
    }

    /// What is known of place 3, what place 1 says of it, and what is believed then.
    #[test]
    fn words_on_a_place() {
        let table = [
            // Of somebody unknown anything is believed.
            ((Unknown, 0, 0), (Alive, 50, 0), (Alive, 50, 0)),
            ((Unknown, 0, 0), (Suspect, 50, 0), (Suspect, 50, 0)),
            ((Unknown, 0, 0), (Dead, 50, 2), (Dead, 50, 2)),
            ((Unknown, 0, 0), (Left, 50, 2), (Left, 50, 2)),
            // A doubt counts, a death alone does not: this member asks for itself.
            ((Alive, 50, 1), (Suspect, 50, 1), (Suspect, 50, 1)),
            ((Alive, 50, 1), (Suspect, 50, 0), (Alive, 50, 1)),
            ((Alive, 50, 1), (Dead, 50, 1), (Alive, 50, 1)),
            ((Alive, 50, 1), (Dead, 50, 3), (Alive, 50, 3)),
            ((Alive, 50, 1), (Left, 50, 2), (Left, 50, 2)),
            // Only what the suspect itself has said since clears it.
            ((Suspect, 50, 1), (Alive, 50, 1), (Suspect, 50, 1)),
            ((Suspect, 50, 1), (Alive, 50, 2), (Alive, 50, 2)),
            ((Suspect, 50, 1), (Dead, 50, 1), (Suspect, 50, 1)),
            ((Dead, 50, 1), (Alive, 50, 1), (Dead, 50, 1)),
            ((Dead, 50, 1), (Suspect, 50, 1), (Dead, 50, 1)),
            ((Dead, 50, 1), (Alive, 50, 2), (Alive, 50, 2)),
            // Who has left is back with another epoch only.
            ((Left, 50, 1), (Alive, 50, 9), (Left, 50, 1)),
            ((Left, 50, 1), (Dead, 50, 9), (Left, 50, 1)),
            ((Left, 50, 1), (Alive, 51, 0), (Alive, 51, 0)),
            // A restart replaces whatever was before it; news of an earlier epoch is refused.
            ((Dead, 50, 7), (Alive, 51, 0), (Alive, 51, 0)),
            ((Alive, 50, 7), (Suspect, 51, 0), (Suspect, 51, 0)),
            ((Alive, 50, 7), (Dead, 51, 0), (Alive, 51, 0)),
            ((Alive, 50, 0), (Suspect, 49, 9), (Alive, 50, 0)),
            ((Alive, 50, 0), (Left, 49, 9), (Alive, 50, 0)),
        ];
        for (known, said, then) in table {
            let mut m = member();
            let (state, epoch, incarnation) = known;
            if state == Unknown {
                m.view.members[3].state = Unknown;
                m.view.members[3].epoch = 0;
                m.present -= 1;
            } else {
                if state == Suspect {
                    m.suspect(3, epoch, incarnation, &[4]);
                } else {
                    m.set(3, state, epoch, incarnation);
                }
            }
            let (state, epoch, incarnation) = said;
            m.receive(1_000_100, 1, &datagram(1, 50, 0, &[word(3, state, epoch, incarnation)]));
            let is = m.view().members[3];
            assert_eq!((is.state, is.epoch, is.incarnation), then, "{known:?} and {said:?}");
            let holds = m.view().holders().iter().filter(|h| **h).count();
            assert_eq!(holds, m.present, "{known:?} and {said:?}");
        }
    }

    /// What is said of this member, at epoch 100 and incarnation 0, and what it is then.
    #[test]
    fn words_on_oneself() {
        let table = [
            ((Suspect, 100, 0), (100, 1)),
            ((Dead, 100, 4), (100, 5)),
            ((Alive, 100, 0), (100, 0)),
            ((Left, 100, 0), (101, 0)),
            ((Suspect, 99, 5), (100, 0)),
            // Its clock went back: it raises its epoch above the one it is known by.
            ((Alive, 200, 0), (201, 0)),
        ];
        for ((state, epoch, incarnation), then) in table {
            let mut m = member();
            m.tell(1_000_000, 1, 7, b"x").unwrap();
            m.receive(1_000_100, 1, &datagram(1, 50, 0, &[word(0, state, epoch, incarnation)]));
            assert_eq!((m.me().epoch, m.me().incarnation), then, "{state:?} {epoch} {incarnation}");
            assert_eq!(m.me().state, Alive);
            // What it told goes along to the new epoch.
            assert_eq!(m.facts().map(|f| f.epoch).collect::<Vec<_>>(), [then.0]);
        }
    }

    /// A datagram of a sender's earlier epoch has no effect, and its sender hears why.
    #[test]
    fn an_earlier_epoch_is_refused() {
        let mut m = member();
        let mut writer = Writer::new(49, 9, &Body::Ping { seq: 3 });
        assert!(writer.add(&word(3, Suspect, 50, 0)));
        m.receive(1_000_100, 1, &writer.finish(Route { from: 1, to: 0, peers: 5 }));
        assert_eq!((m.view().state(3), m.figures().refused_stale), (Alive, 1));
        let Some(Output::Send { to: 1, bytes }) = m.poll() else { panic!("nothing was said") };
        let said = wire::read(&bytes, Route { from: 0, to: 1, peers: 5 }).unwrap();
        assert_eq!(said.records.first(), Some(&word(1, Alive, 50, 0)));
    }

    /// Whatever comes, no more is sent than the budget allows; and facts are refused beyond their bounds.
    #[test]
    fn bounds_hold() {
        let mut m = member();
        let (mut now, mut sent) = (1_000_000, 0);
        let ping = |seq| Writer::new(50, 0, &Body::Ping { seq }).finish(Route { from: 1, to: 0, peers: 5 });
        for n in 0..10_000 {
            now += 200;
            m.receive(now, 1, &ping(n));
            m.tick(now);
            while let Some(output) = m.poll() {
                sent += if let Output::Send { bytes, .. } = output { bytes.len() } else { 0 };
            }
        }
        assert!(sent <= m.config.budget as usize * 5 / 2, "{sent} bytes in two seconds");
        assert!(m.figures().over_budget > 0);
        assert_eq!(m.tell(now, 1, 0, &[0; FACT_BYTES + 1]), Err(FactError::TooLong(FACT_BYTES + 1)));
        assert!((0..FACT_SLOTS as u32).all(|slot| m.tell(now, 1, slot, b"x").is_ok()));
        assert_eq!(m.tell(now, 2, 0, b"x"), Err(FactError::Full));
        assert_eq!(m.tell(now, 1, 0, b"y"), Ok(()));
        m.leave(now);
        assert_eq!(m.tell(now, 1, 0, b"y"), Err(FactError::Left));
    }

    /// Facts of the dead stay for a while, and come anew with who comes back.
    #[test]
    fn facts_of_the_dead_are_forgotten_late() {
        let mut m = member();
        let fact =
            Record::Fact { place: 3, key: (1, 7), stamp: Stamp { epoch: 50, number: 1 }, bytes: vec![1] };
        m.receive(1_000_100, 1, &datagram(1, 50, 0, &[fact.clone(), word(3, Left, 50, 1)]));
        let gone = 1_000_100 + m.config.forget_after;
        for (now, held) in [(gone - 1, 1), (gone, 0)] {
            m.tick(now);
            assert_eq!(m.facts().count(), held);
        }
        m.receive(gone + 10, 1, &datagram(1, 50, 0, std::slice::from_ref(&fact)));
        assert_eq!(m.facts().count(), 0);
        m.receive(gone + 20, 1, &datagram(1, 50, 0, &[word(3, Alive, 60, 0), fact]));
        assert_eq!(m.facts().count(), 1);
    }

    /// A process that did not run blames nobody for what it did not hear.
    #[test]
    fn who_was_starved_doubts_itself() {
        let mut m = member();
        let epoch = 50;
        m.suspect(3, epoch, 0, &[1, 2, 4]);
        m.tick(m.next_wake());
        let until = m.expiries.first().unwrap().0;
        m.tick(until + 10_000_000);
        assert_eq!((m.view().state(3), m.figures().starved, m.figures().health), (Suspect, 1, 1));
    }
}
