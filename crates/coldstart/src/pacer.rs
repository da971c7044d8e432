//! When this dispatcher calls the list service.
//!
//! Time is cut into **rounds** of `count x service time`, by Unix time; in each round every place has one slot as long as
//! the service takes for a call, so calls of all places in their slots come one after another however the processes
//! started. A failure is followed by a wait with decorrelated jitter (as described by M. Brooker, "Exponential Backoff And
//! Jitter", 2015: each wait is drawn between a base and three times the wait before, up to a cap), moved on to the next
//! own slot. A refusal after a wait in the queue doubles the round: the service is slower than was thought.
//!
//! Where dispatchers hear of each other, and two of them found the service down, they ask by turns of a much slower round
//! until one is answered; then all spread over one round. What a peer says moves only *when* this one asks.

use crate::{ConfigError, check_place, invariant, mix};
use serde::{Deserialize, Serialize};

/// Without a word about it, a call costs the service this long.
pub const SERVICE_TIME: u64 = 20_000;
/// The longest wait after a failure is two rounds, yet at least this.
const LEAST_CAP: u64 = 2_000_000;
/// No wait after a failure is drawn below this.
const LEAST_BASE: u64 = 50_000;
/// While the service is known to be down, each member calls it once in this time ...
const TURN: u64 = 26_000_000;
/// ... and the whole group once in this time at least.
const GROUP_TURN: u64 = 1_000_000;
/// Rounds are doubled at most this often.
const MOST_LEVEL: u8 = 4;
/// A refusal after so many services of waiting, and this long, is of a busy service; a quicker one is of one that is down.
const BUSY_SERVICES: u64 = 5;
const BUSY_LEAST: u64 = 100_000;
/// A refusal by a busy service lengthens rounds for so long.
const BUSY_AGE: u64 = 10_000_000;
/// News of the service older than this say nothing of its present.
const NEWS_AGE: u64 = 60_000_000;
/// What calls took says what they take for so long; it takes so many members to tell a long service from a long queue.
const TIME_AGE: u64 = 15_000_000;
const TIME_TOLD: usize = 8;
/// A service that is kept just busy has a queue of so many, the call itself included.
const SHORT_QUEUE: u64 = 3;
/// Rounds that have changed by less than this factor since the slot was taken leave it where it is.
const CHANGED: f64 = 1.5;
/// The first asks of a start are stretched until this part of a round, within these bounds: one that finds the service
/// down is heard of before most have asked.
const HEAR_PART: f64 = 1.0;
const HEAR: [u64; 2] = [100_000, 600_000];
/// Slots of a call that has to be made by a certain time end this long before it.
const MARGIN: u64 = 20_000;

/// What a pacer has to know.
#[derive(Clone, Debug)]
pub struct Config {
    /// This dispatcher's place, from 0.
    pub place: u16,
    /// How many places there are, whether or not anybody is there.
    pub count: u16,
    /// What a call costs the service, in microseconds; [`SERVICE_TIME`] where nobody knows.
    pub service_time: u64,
    /// Without a watch a dispatcher is held to its list for this long from its last call, and four times as long from one
    /// that failed, in microseconds.
    pub ask_within: Option<u64>,
    /// The Unix time of the caller's zero, in microseconds.
    pub unix: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether others can be heard at all (membership is on).
    pub hears: bool,
    /// Asks with no pacer at all, for proofs that such a fault is caught.
    #[doc(hidden)]
    pub ask_without_pacer: bool,
}

/// One call that has to be made now. Its end comes back as an [`Event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Its number at this pacer, from 1.
    pub number: u64,
}

/// What one member says of the list service, the payload of slot 0 of this crate's facts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The list that it holds.
    pub generation: u64,
    /// It has a watch.
    pub watching: bool,
    /// When a call of it was last answered, in Unix milliseconds; 0 for never.
    pub answered: u64,
    /// When a call of it last found the service down.
    pub failed: u64,
    /// When a call of it was last refused by a busy service.
    pub refused: u64,
    /// How long its last answered call took, in milliseconds.
    pub waited: u32,
    /// How often it has doubled its rounds.
    pub level: u8,
}

/// What a pacer is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The call was answered by a list; its watch is up.
    Answered {
        /// The list's generation.
        generation: u64,
        /// From the call's first byte to the list, in microseconds.
        waited: u64,
    },
    /// The watch told a newer list.
    Listed {
        /// Its generation.
        generation: u64,
    },
    /// The call was refused (503).
    Refused {
        /// From the call's first byte to the refusal, in microseconds.
        waited: u64,
        /// What the answer's `Retry-After` says, in microseconds.
        retry_after: Option<u64>,
    },
    /// The call failed: no connection, a reset, an end.
    Failed,
    /// No answer came in time. That says nothing of the service for others: a watch may be silent by itself.
    TimedOut,
    /// The watch has ended.
    WatchEnded,
    /// The watch has fallen silent and counts as broken; the next call has to be made by then.
    WatchSilent {
        /// The latest time for the call, in the caller's microseconds.
        by: u64,
    },
    /// The service is another one from now on; what was learned of the old one is void.
    Moved {
        /// The latest time for the call, if there is one.
        by: Option<u64>,
    },
    /// Which places may be there.
    View(Vec<bool>),
    /// The process at this place has ended, or another has taken its place: what it said is void.
    Gone(u16),
    /// A member said this of the service.
    Peer {
        /// Its place.
        place: u16,
        /// Its words.
        news: Service,
    },
}

/// Counts since the making.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Calls asked for.
    pub asks: u64,
    /// Of these, answered by a list.
    pub answered: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Times that an ask was put off because of what others said.
    pub put_off: u64,
    /// Events that fitted no call.
    pub stray: u64,
}

/// The pacer of one dispatcher.
#[derive(Debug)]
pub struct Pacer {
    config: Config,
    rng: fastrand::Rng,
    /// The part of a round at which the own slot begins, with its place within the slot.
    phase: f64,
    now: u64,
    due: u64,
    out: Option<u64>,
    /// The reason for asking arose then: the start, the end of the watch.
    since: u64,
    by: Option<u64>,
    /// The present `due` is a turn while the service is down.
    turn: bool,
    /// The round by which the slot was taken.
    slot_round: u64,
    deferred: bool,
    /// Others may hold a list since before `since`: they are not waited for.
    start: bool,
    recheck: u64,
    rechecks: u32,
    /// Processes that ended since the reason to ask arose.
    gone: u64,
    /// What the last `Retry-After` said.
    not_before: u64,
    /// The last wait after a failure.
    wait: u64,
    least_waited: Option<u64>,
    own: Service,
    peers: Vec<Option<Service>>,
    alive: Vec<bool>,
    asked: u64,
    figures: Figures,
}

impl Pacer {
    /// A pacer that starts now, with no watch; its first call is due in its slot of this round.
    pub fn new(config: Config, now: u64, generation: u64) -> Result<Pacer, ConfigError> {
        check_place(config.place, config.count)?;
        if config.service_time == 0 {
            return Err(ConfigError::Zero("service_time"));
        }
        let mut rng = fastrand::Rng::with_seed(config.seed ^ mix(u64::from(config.place)));
        let phase = (f64::from(config.place) + 0.5 * rng.f64()) / f64::from(config.count);
        let mut pacer = Pacer {
            phase,
            rng,
            now,
            due: now,
            out: None,
            since: now,
            by: None,
            turn: false,
            slot_round: 0,
            deferred: false,
            start: true,
            recheck: u64::MAX,
            rechecks: 0,
            gone: 0,
            not_before: 0,
            wait: 0,
            least_waited: None,
            own: Service { generation, ..Service::default() },
            peers: vec![None; usize::from(config.count)],
            alive: vec![false; usize::from(config.count)],
            asked: 0,
            figures: Figures::default(),
            config,
        };
        pacer.begin(true);
        Ok(pacer)
    }

    /// When [`Pacer::tick`] is to be called next, if nothing comes before; never earlier than now. `None` while a call is
    /// out or a watch is up.
    pub fn next_wake(&self) -> Option<u64> {
        (self.out.is_none() && !self.own.watching).then(|| self.due.min(self.recheck).max(self.now))
    }

    /// Lets time pass; a call where one is due. At most one is out at any time.
    pub fn tick(&mut self, now: u64) -> Option<Ask> {
        self.now = self.now.max(now);
        if self.out.is_some() || self.own.watching {
            return None;
        }
        if self.now >= self.recheck {
            self.look_again();
        }
        if self.now < self.due {
            return None;
        }
        if self.by.is_none() && !self.config.ask_without_pacer && self.put_off() {
            return None;
        }
        invariant!(self.out.is_none(), "a second call at once");
        self.asked += 1;
        self.figures.asks += 1;
        self.out = Some(self.now);
        Some(Ask { number: self.asked })
    }

    /// Takes one event.
    pub fn handle(&mut self, now: u64, event: Event) {
        self.now = self.now.max(now);
        let out = match event {
            Event::Answered { .. } | Event::Refused { .. } | Event::Failed | Event::TimedOut => {
                self.out.take()
            }
            _ => None,
        };
        match event {
            Event::Answered { .. } | Event::Refused { .. } | Event::Failed | Event::TimedOut
                if out.is_none() =>
            {
                self.figures.stray += 1;
            }
            Event::TimedOut => {
                self.figures.failed += 1;
                self.again(true, 0);
            }
            Event::Answered { generation, waited } => {
                self.figures.answered += 1;
                let unix = self.unix_ms();
                let waited_ms = u32::try_from(waited.div_ceil(1_000)).unwrap_or(u32::MAX);
                if waited < BUSY_SERVICES * self.config.service_time {
                    self.own.level = 0;
                }
                self.own =
                    Service { generation, watching: true, answered: unix, waited: waited_ms, ..self.own };
                self.least_waited = Some(self.least_waited.map_or(waited, |least| least.min(waited)));
                (self.wait, self.by, self.turn) = (0, None, false);
            }
            Event::Listed { generation } => self.own.generation = generation,
            Event::Refused { waited, retry_after } => {
                self.figures.refused += 1;
                let busy = waited >= BUSY_LEAST.max(BUSY_SERVICES * self.config.service_time);
                if busy {
                    (self.own.level, self.own.refused) =
                        ((self.own.level + 1).min(MOST_LEVEL), self.unix_ms());
                } else {
                    self.own.failed = self.unix_ms();
                }
                self.again(busy, retry_after.unwrap_or(0));
            }
            Event::Failed => {
                self.figures.failed += 1;
                self.own.failed = self.unix_ms();
                self.again(false, 0);
            }
            Event::WatchEnded | Event::WatchSilent { .. } if !self.own.watching => self.figures.stray += 1,
            Event::WatchEnded => {
                self.own.watching = false;
                self.begin(false);
            }
            Event::WatchSilent { by } => {
                self.own.watching = false;
                self.by = Some(by);
                self.begin(false);
            }
            Event::Moved { by } => {
                (self.out, self.by, self.least_waited, self.not_before) = (None, by, None, 0);
                self.own = Service { generation: self.own.generation, ..Service::default() };
                self.peers.fill(None);
                self.begin(true);
            }
            Event::View(alive) => {
                for (place, here) in self.alive.iter_mut().enumerate() {
                    *here = alive.get(place).copied().unwrap_or(false);
                }
            }
            Event::Gone(place) => {
                if let Some(held) = self.peers.get_mut(usize::from(place)) {
                    *held = None;
                    self.gone += 1;
                }
            }
            Event::Peer { place, news } if place != self.config.place => self.hear(place, news),
            Event::Peer { .. } => {}
        }
    }

    /// What this dispatcher would say of the service.
    pub fn news(&self) -> Service {
        self.own
    }

    /// Counts since the making.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Whether it is taken for known that the service is down: two members found it so since anybody was last answered, or
    /// one did and nobody else is known to have a watch.
    pub fn knows_down(&self) -> bool {
        let (mut failed, mut last, mut answered, mut watching) = (0, 0, 0, false);
        for news in self.all_news() {
            answered = answered.max(news.answered);
            last = last.max(news.failed);
            watching |= news.watching;
        }
        for news in self.all_news() {
            failed += usize::from(news.failed > answered);
        }
        let fresh = self.unix_ms().saturating_sub(last) < NEWS_AGE / 1_000;
        fresh && (failed >= 2 || failed == 1 && !watching)
    }

    /// Whether it would tell the others something that changes what they do: they have no word of the present state of
    /// the service from enough of them, or of this generation.
    pub fn is_news(&self) -> bool {
        let others = || self.peers.iter().flatten();
        if self.level(std::iter::once(&self.own)) > self.level(others()) {
            return true;
        }
        let answered = others().map(|n| n.answered).max().unwrap_or(0);
        let failed = others().filter(|n| n.failed > answered).count();
        if self.own.failed > self.own.answered {
            return self.own.failed > answered && failed < 3;
        }
        let newest = others().map(|n| n.generation).max().unwrap_or(0);
        self.own.answered > 0
            && (self.own.generation > newest || failed > 0 || self.own.answered > answered + 1_000)
    }

    fn all_news(&self) -> impl Iterator<Item = &Service> {
        std::iter::once(&self.own).chain(self.peers.iter().flatten())
    }

    fn unix_ms(&self) -> u64 {
        (self.config.unix + self.now) / 1_000
    }

    /// Others that are there, by the view.
    fn others(&self) -> u64 {
        let me = usize::from(self.config.place);
        self.alive.iter().enumerate().filter(|(place, here)| **here && *place != me).count() as u64
    }

    /// Others that are taken to be there: before anybody could be heard, all.
    fn believed(&self) -> u64 {
        let early = self.config.hears && self.rechecks == 0;
        if early { u64::from(self.config.count) - 1 } else { self.others() }
    }

    /// What a call costs the service, where enough members say how long theirs took: the least of that.
    fn told_time(&self) -> Option<u64> {
        let (base, fresh) = (self.config.service_time, self.unix_ms().saturating_sub(TIME_AGE / 1_000));
        let told = self.all_news().filter(|n| n.answered > fresh && n.waited > 0);
        let (count, least) = told.fold((0, u32::MAX), |(count, least), n| (count + 1, least.min(n.waited)));
        let told = (u64::from(least) * 1_000).clamp(base / 8 + 1, base * 16);
        let near = told <= base * SHORT_QUEUE && base as f64 <= told as f64 * CHANGED;
        // Up to a short queue's worth above what is configured counts as configured: rounds of one length have slots that do not overlap.
        (count >= TIME_TOLD).then_some(if near { base } else { told })
    }

    /// What a call costs the service: as the members say, or as configured, less where an own answer came sooner.
    fn service_time(&self) -> u64 {
        let base = self.config.service_time;
        let own = self.least_waited.map_or(base, |own| own.clamp(base / 8 + 1, base));
        self.told_time().unwrap_or(own)
    }

    /// One round: a slot for each place that may lack a list. Those that had theirs before the reason to ask arose do
    /// not ask; those that got it since had a slot in this round.
    fn round(&self) -> u64 {
        let since = (self.config.unix + self.since) / 1_000;
        let failed = self.all_news().map(|n| n.failed).max().unwrap_or(0);
        // Nobody's watch outlives a time at which the service was down, whatever was last said of it.
        let held = |n: &&Service| n.watching && n.answered < since && n.answered > failed;
        let holders = match self.start && self.rechecks > 1 {
            true => self.peers.iter().flatten().filter(held).count() as u64,
            false => 0,
        };
        // Where many go at once others may have gone that are still believed to be there.
        let holders = if self.gone * 8 > holders { 0 } else { holders };
        // Refusals say that a call costs more than was thought; where members say what it costs they add nothing.
        let level = if self.told_time().is_some() { 0 } else { self.level(self.all_news()) };
        (self.service_time() * (u64::from(self.config.count) - holders).max(1)) << level
    }

    /// How often rounds are doubled by the words of these.
    fn level<'a>(&self, news: impl Iterator<Item = &'a Service>) -> u8 {
        let fresh = self.unix_ms().saturating_sub(BUSY_AGE / 1_000);
        news.filter(|n| n.refused > fresh).map(|n| n.level.min(MOST_LEVEL)).max().unwrap_or(0)
    }

    /// How long first asks are stretched where others can be heard.
    fn hear_span(round: u64) -> u64 {
        ((round as f64 * HEAR_PART) as u64).clamp(HEAR[0], HEAR[1])
    }

    /// The first time from `at` on that is the own slot of rounds of this length.
    fn slot(&self, at: u64, round: u64) -> u64 {
        // Stretched first asks come later by as much: so do all, for slots not to overlap.
        let shift = if self.config.hears { Self::hear_span(round) / 4 * 3 } else { 0 };
        let into = (self.config.unix + at) % round;
        let own = ((self.phase * round as f64) as u64 + shift) % round;
        at + (own + round - into) % round
    }

    /// A reason to ask has arisen: the call goes into the own slot of this round. At the start of a process others may hold
    /// a list; where watches ended, theirs may have, and what they said before counts for nothing.
    fn begin(&mut self, start: bool) {
        (self.since, self.turn, self.deferred, self.start) = (self.now, false, false, start);
        (self.rechecks, self.gone) = (0, 0);
        self.recheck = if self.config.hears { self.now + HEAR[1] } else { u64::MAX };
        let round = self.round();
        self.slot_round = round;
        let mut at = self.slot(self.now, round);
        if self.config.hears && self.by.is_none() {
            // One in four of the first slots, at its full distance; the others come in the next round.
            let (hear, wait) = (Self::hear_span(round), at - self.now);
            let unshifted = (wait + round - hear / 4 * 3 % round) % round;
            at = self.now + if unshifted < hear / 4 { unshifted * 4 } else { unshifted + hear / 4 * 3 };
        }
        self.set_due(at);
    }

    fn set_due(&mut self, at: u64) {
        self.due = match self.by {
            _ if self.config.ask_without_pacer => self.now + self.rng.u64(0..LEAST_BASE),
            Some(by) if at + MARGIN > by => {
                let room = by.saturating_sub(self.now + MARGIN);
                self.now + (room as f64 * self.phase) as u64
            }
            _ => at,
        };
    }

    /// Once others could be heard: who lacks a list by now may be far fewer than all, or nobody else may be there.
    fn look_again(&mut self) {
        self.rechecks += 1;
        self.recheck = self.now + 2 * HEAR[1];
        let round = self.round();
        if self.turn && self.others() == 0 && self.now >= self.not_before {
            self.turn = false;
            self.due = self.due.min(self.slot(self.now + self.wait, round));
        } else if !self.turn
            && self.by.is_none()
            && !self.knows_down()
            && (round as f64) * CHANGED < self.slot_round as f64
        {
            self.slot_round = round;
            self.due = self.due.min(self.slot(self.now, round));
        }
    }

    /// A call came to nothing.
    fn again(&mut self, busy: bool, retry_after: u64) {
        if self.by.is_some_and(|by| by <= self.now + MARGIN) {
            self.by = None;
        }
        let round = self.round();
        let base = (round / 4).max(LEAST_BASE);
        // Changes count as told four times the span after a call that failed: half of that is left for the next.
        let held = self.config.ask_within.map_or(u64::MAX, |within| 2 * within);
        let cap = (2 * round).max(LEAST_CAP.min(held)).max(base);
        self.wait = self.rng.u64(base..=(3 * self.wait.max(base)).min(cap));
        let from = self.now + retry_after;
        self.not_before = from;
        self.turn = !busy && self.config.hears && self.believed() > 0 && self.knows_down();
        self.slot_round = round;
        let at = if self.turn {
            self.slot(from + 1, self.turns())
        } else {
            self.slot(from.max(self.now + self.wait), round)
        };
        self.set_due(at);
        if !self.config.ask_without_pacer {
            self.due = self.due.max(from);
        }
    }

    /// The round of the slow turns while the service is down: by it the group asks often enough to see the end soon.
    fn turns(&self) -> u64 {
        TURN.min(GROUP_TURN * (self.believed() + 1)).max(self.round())
    }

    /// Whether a call that is due now is put off because of what was learned since its slot was taken.
    fn put_off(&mut self) -> bool {
        if self.turn {
            return false;
        }
        let round = self.round();
        if self.config.hears && self.believed() > 0 && self.knows_down() {
            self.turn = true;
            self.due = self.slot(self.now + 1, self.turns());
        } else if round as f64 > CHANGED * self.slot_round as f64 {
            // Calls take longer than when the slot was taken.
            self.slot_round = round;
            self.due = self.slot(self.now + 1, round);
        } else if !self.deferred && self.own.answered > 0 && self.newer() * 2 > self.others() {
            // The service is telling them all a new list. This one goes last, and goes.
            self.deferred = true;
            self.due = self.now + self.rng.u64(1..=1 + round / 2);
        } else {
            return false;
        }
        self.figures.put_off += 1;
        true
    }

    /// Others that hold a newer list.
    fn newer(&self) -> u64 {
        self.peers.iter().flatten().filter(|n| n.generation > self.own.generation).count() as u64
    }

    fn hear(&mut self, place: u16, news: Service) {
        let Some(held) = self.peers.get_mut(usize::from(place)) else { return };
        *held = Some(news);
        // Somebody was answered since this one found it down, or since it was put off: one round for all that wait for that.
        let failed = self.wait > 0 && self.own.failed > self.own.answered && news.answered > self.own.failed;
        let waits = self.out.is_none() && !self.own.watching && self.by.is_none();
        if waits && (failed || self.turn && !self.knows_down()) {
            (self.turn, self.wait) = (false, 0);
            self.slot_round = self.round();
            let at = self.slot(self.now.max(self.not_before), self.slot_round);
            // Who hears of it late has no whole round left: its slot, or the turn that it has, whichever is sooner.
            let late = self.unix_ms().saturating_sub(news.answered) * 1_000 > self.slot_round / 8;
            self.due = if late { self.due.min(at) } else { at };
        }
    }
}
