//! The clock of silence: when a watch of discovery's list is broken though its connection stands, when a watch is called for
//! (the first one, and the next after any end), since when what was missed counts as told, and whether the list that the
//! program started with is still to be revalidated. It has no clock and no socket of its own. From every state something is due: a dispatcher is never without a watch and without a time for its next call.

use crate::policy::interface::{Micros, Settings};
use std::ops::Range;

/// As long as nothing changes, a watch sends an empty line this often (PROTOCOL, "Discovery").
const HEARTBEAT_INTERVAL: Micros = 2_000_000;
/// A watch that has sent nothing for this long is broken: the empty line, and a quarter of its time for the way and a busy
/// core. More would leave too little of `NOTIFICATION_DEADLINE` to be heard by a service that has many callers.
const LIVENESS_TIMEOUT: Micros = HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / 4;
/// A change counts as told so long after discovery had it and could be reached, and what a silent watch missed so long after
/// it fell silent, whether it arrived or not (PROTOCOL, "Figures"; STANDING, "The whole fleet").
const NOTIFICATION_DEADLINE: Micros = 6_000_000;
/// After SIGHUP it counts so soon (STANDING, "The whole fleet").
const MOVED_NOTIFICATION_DEADLINE: Micros = 4_000_000;
/// From the moment at which discovery can be reached again, [`NOTIFICATION_DEADLINE`] has to hold the rest of a call or wait under way, two
/// tries that are refused, and one that is answered: a quarter each. A call of a few dispatchers begins at the latest so long
/// after the one before it, and is given up so long after it began.
const POLL_INTERVAL: Micros = NOTIFICATION_DEADLINE / 4;
/// So many dispatchers may ask in one period. More of them take turns, or a service that is slow would be kept from answering any
/// by those that ask again; at the most they leave time for one call, which is answered, within [`NOTIFICATION_DEADLINE`].
const MAX_UNCOORDINATED_CALLERS: Micros = 10;
/// A last call, which is answered, is given so much of [`NOTIFICATION_DEADLINE`]: services are known that let none wait for longer.
const LAST_CALL_RESERVE: Micros = 1_000_000;
/// However many there are, a refusal is made good within [`NOTIFICATION_DEADLINE`]: the rest of a wait under way, one call that is refused,
/// and the last.
const MAX_REFUSED_INTERVAL: Micros = (NOTIFICATION_DEADLINE - LAST_CALL_RESERVE) / 2;
/// The connection for a call, of a watch or for the whole list, must be up by then.
pub const CONNECT_TIMEOUT: Micros = 500_000;
/// What the service is taken to need for a call, as where the operators' file says nothing else: it handles calls in turn, so
/// those of n dispatchers that lost their watches together are spread over n times this.
const SERVICE_TIME: Micros = 20_000;
/// An agent of the own machine answers at once, or stays silent while discovery is down. What it has counts as told from
/// the moment it is up again, so it is asked well within the least grace of a drain (400 ms).
const AGENT_ANSWER_TIMEOUT: Micros = 200_000;
/// Nobody is asked in a busy loop: so long after an agent refused, or a call that took its whole time.
const MIN_RETRY_INTERVAL: Micros = 50_000;
/// Where tries draw nearer to each other, a call begins no sooner than this after the one before.
const MIN_CALL_SPACING: Micros = 200_000;
/// An object of a list, once begun, is whole by then; else what follows would be taken for a part of it.
const OBJECT_TIMEOUT: Micros = 1_000_000;
/// A process that has just started waits so long for discovery to revalidate the list that it started with: a service that can be
/// reached, and is not overloaded, has then answered it in the first of its calls or the next. One that says nothing counts as one
/// that cannot be reached, and a list that may be stale is better than none. The process is ready by then, within the 6 s of the
/// shortest days.
const REVALIDATION_TIMEOUT: Micros = 3 * POLL_INTERVAL;

/// Why a watch is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// It, or its call, said nothing for too long.
    Silent,
    /// It was refused, or its connection ended.
    Ended,
    /// No connection came up: nobody listens there, or nothing comes through.
    Unreachable,
}

/// What the settings say of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryTerms {
    /// Lists are pushed to an agent of the own machine, which answers at once and at no cost.
    pub pushed: bool,
    /// Without a watch, the list must be asked for within this.
    pub ask_within: Option<Micros>,
    /// How many dispatchers share the service.
    pub nodes: u32,
}

impl DiscoveryTerms {
    /// As these settings have it.
    pub fn of(set: &Settings) -> DiscoveryTerms {
        DiscoveryTerms { pushed: !set.list_on_request, ask_within: set.ask_within, nodes: set.nodes }
    }

    /// The longest time between the beginnings of two calls. A dispatcher that has not asked for as long as the settings say
    /// counts as told then, if that is sooner: both a call that failed and the next one lie within it.
    fn period(&self) -> Micros {
        let fair = self.slow_turn().clamp(POLL_INTERVAL, NOTIFICATION_DEADLINE - POLL_INTERVAL);
        self.ask_within.map_or(fair, |within| fair.min(within / 2))
    }

    /// How long all take whose calls are handled in turn, by a service that is very slow.
    fn slow_turn(&self) -> Micros {
        POLL_INTERVAL * Micros::from(self.nodes) / MAX_UNCOORDINATED_CALLERS
    }

    /// All watches may end at once, and all may start at once: their dispatchers call within this, a period at most.
    fn spread(&self) -> Micros {
        (SERVICE_TIME * Micros::from(self.nodes)).min(self.period().min(POLL_INTERVAL))
    }

    /// What was missed has a time by which it counts: then half a period is left for more dispatchers than that.
    fn hurried_spread(&self) -> Micros {
        self.spread().min(self.period().min(POLL_INTERVAL) / 2)
    }

    fn are_few(&self) -> bool {
        Micros::from(self.nodes) <= MAX_UNCOORDINATED_CALLERS
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchPhase {
    /// No watch is open.
    Closed,
    /// Its connection is on the way.
    Connecting,
    /// It is asked for.
    Requested,
    /// The service has begun to answer; it has told nothing yet.
    Partial,
    /// It has told something, last at this time.
    Live(Micros),
}

/// Calls that waited in the service's queue, as it seems, and were not answered.
#[derive(Clone, Copy, Debug)]
struct Overload {
    /// When the first of them had failed.
    since: Micros,
    /// How many.
    calls: u32,
}

/// One dispatcher's watch, as time passes over it.
#[derive(Debug)]
pub struct WatchLiveness {
    terms: DiscoveryTerms,
    phase: WatchPhase,
    /// When the last call began.
    called: Option<Micros>,
    /// What was missed since a silence, or a move, counts as told from then on; no watch has told anything since.
    behind: Option<Micros>,
    /// Another service counts, and has told no list yet.
    moved: bool,
    /// What the program started with is still to be revalidated: in this span it may lack what counts as told.
    stale: Option<Range<Micros>>,
    /// The longest that the service has let a call wait before it answered or refused it.
    longest_wait: Micros,
    /// Its calls have waited in vain, one after another: perhaps the service is overloaded.
    overload: Option<Overload>,
    rng: fastrand::Rng,
}

impl WatchLiveness {
    /// No watch yet; `seed` settles the random waits.
    pub fn new(terms: DiscoveryTerms, seed: u64) -> WatchLiveness {
        let rng = fastrand::Rng::with_seed(seed);
        WatchLiveness {
            terms,
            phase: WatchPhase::Closed,
            called: None,
            behind: None,
            moved: false,
            stale: None,
            longest_wait: 0,
            overload: None,
            rng,
        }
    }

    /// The program begins. Returns when the first watch is to be opened: where lists are pushed at once.
    pub fn start(&mut self, now: Micros) -> Micros {
        now + if self.terms.pushed { 0 } else { self.rng.u64(0..=self.terms.spread()) }
    }

    /// The list that the program starts with is to be revalidated: it may lack changes that count as told (a process that comes
    /// back after a while knows what its predecessor knew). `newest` is the latest start of a worker on it: the list is no older,
    /// so what it lacks counts as told [`NOTIFICATION_DEADLINE`] that at the soonest. Returns from when on, and until when at the latest,
    /// nothing may be sent by it.
    pub fn revalidate(&mut self, now: Micros, newest: Option<Micros>) -> Range<Micros> {
        let from =
            newest.filter(|_| !self.terms.pushed).map_or(now, |start| start.min(now) + NOTIFICATION_DEADLINE);
        self.stale.insert(from.max(now)..now + REVALIDATION_TIMEOUT).clone()
    }

    /// The process before this one was heard of by another dispatcher at this time. What it knew then lacked no more than what it
    /// had not noticed to miss, within [`LIVENESS_TIMEOUT`], and that counts [`NOTIFICATION_DEADLINE`] after. Returns from when on, now, nothing may be
    /// sent by that list, if it is still to be revalidated; what an agent has counts at once.
    pub fn on_predecessor_seen(&mut self, at: Micros) -> Option<Micros> {
        let span = self.stale.as_mut().filter(|_| !self.terms.pushed)?;
        span.start = span.start.max(at + NOTIFICATION_DEADLINE - LIVENESS_TIMEOUT);
        Some(span.start)
    }

    /// Whether nothing may be sent by that list: discovery has told none, what it would tell may count as told, and nothing shows
    /// that it cannot be reached (an agent of the own machine says nothing as long as that is so).
    pub fn is_stale(&self, now: Micros) -> bool {
        self.stale.as_ref().is_some_and(|span| span.contains(&now))
    }

    /// Other settings count. True if a watch is to be opened now: where lists are pushed one always is.
    pub fn reconfigure(&mut self, terms: DiscoveryTerms) -> bool {
        self.terms = terms;
        terms.pushed && self.phase == WatchPhase::Closed
    }

    /// Another service counts from now on; until it tells something, this dispatcher is behind. Returns when its watch is to
    /// be opened.
    pub fn on_discovery_moved(&mut self, now: Micros) -> Micros {
        (self.phase, self.behind, self.moved) =
            (WatchPhase::Closed, Some(now + MOVED_NOTIFICATION_DEADLINE), true);
        (self.longest_wait, self.overload) = (0, None);
        now + if self.terms.pushed { 0 } else { self.rng.u64(0..=self.terms.hurried_spread()) }
    }

    /// A watch is called for. Returns when its connection must be up.
    pub fn on_call_started(&mut self, now: Micros) -> Micros {
        (self.phase, self.called) = (WatchPhase::Connecting, Some(now));
        now + if self.terms.pushed { AGENT_ANSWER_TIMEOUT } else { CONNECT_TIMEOUT }
    }

    /// Its connection is up. Returns when it must have said something.
    pub fn on_connected(&mut self, now: Micros) -> Micros {
        self.phase = WatchPhase::Requested;
        if self.terms.pushed { now + AGENT_ANSWER_TIMEOUT } else { self.answer_by(now) }
    }

    /// A call for the whole list begins. Returns when it must be answered.
    pub fn full_list_deadline(&self, now: Micros) -> Micros {
        now + self.answer_timeout(now)
    }

    fn answer_by(&self, now: Micros) -> Micros {
        let called = self.called.unwrap_or(now);
        called + self.answer_timeout(called)
    }

    /// How long a call that began then may wait for its answer, once its connection is up. Given up it would lose its place in
    /// the service's queue, and many services would answer it though nobody reads it. So it is given up only once the next one
    /// is due, twice as late with each that was in vain as long as a call after it has time to be answered, and later where the
    /// service has let a call wait for longer; but while what was missed can still be told in time, there must be time for another.
    fn answer_timeout(&self, called: Micros) -> Micros {
        let in_vain = self.overload.map_or(0, |o| o.calls.min(2));
        let patient = (POLL_INTERVAL << in_vain).min(NOTIFICATION_DEADLINE - POLL_INTERVAL);
        let longest = self.backoff(called).clamp(patient, 2 * NOTIFICATION_DEADLINE);
        let own = match self.behind {
            Some(by) if called < by => by
                .saturating_sub(called + MIN_RETRY_INTERVAL + LAST_CALL_RESERVE)
                .clamp(POLL_INTERVAL, longest),
            _ => longest,
        };
        own.max(self.longest_wait + self.longest_wait / 4)
    }

    /// The longest time from one call to the next while the service may be overloaded. For two bounds it is held that all can be
    /// told within one; beyond that the wait grows with the time that was in vain, until it would do for a very slow service.
    fn backoff(&self, now: Micros) -> Micros {
        let in_vain = self.overload.map_or(0, |o| now.saturating_sub(o.since));
        // After a call that failed the list is held to for four times the asking time; the next call has the last of them.
        let held = self.terms.ask_within.map_or(Micros::MAX, |within| 3 * within);
        let most = self.terms.slow_turn().min(held);
        in_vain.saturating_sub(2 * NOTIFICATION_DEADLINE).min(most).max(self.terms.period())
    }

    /// It said something: whole lists (taken in before, by [`WatchLiveness::told`]) or empty lines, or the beginning of an object
    /// (`partly`). Returns when it must say more, unless an object began earlier: that one's time stands. `None` leaves the
    /// time that it has.
    pub fn on_data(&mut self, now: Micros, partly: bool) -> Option<Micros> {
        if let (WatchPhase::Requested, Some(called)) = (self.phase, self.called) {
            (self.longest_wait, self.overload) = (self.longest_wait.max(now.saturating_sub(called)), None);
        }
        if partly {
            if let WatchPhase::Live(_) = self.phase {
                return Some(now + OBJECT_TIMEOUT);
            }
            // The first of a call has the rest of the call's time, but half of its own at least.
            self.phase = WatchPhase::Partial;
            return Some(self.answer_by(now).max(now + OBJECT_TIMEOUT / 2).min(now + OBJECT_TIMEOUT));
        }
        if self.moved {
            self.phase = WatchPhase::Partial;
            return None; // a service that has told no list yet cannot say by an empty line that nothing was missed
        }
        (self.phase, self.behind) = (WatchPhase::Live(now), None);
        Some(now + LIVENESS_TIMEOUT)
    }

    /// Since when what it tells now counts as told: after a silence, at the latest from [`NOTIFICATION_DEADLINE`] on. Whoever is told
    /// is no longer behind.
    pub fn on_list(&mut self, now: Micros) -> Micros {
        (self.moved, self.stale) = (false, None);
        self.behind.take().map_or(now, |by| now.min(by))
    }

    /// The watch is over. Returns when it is to be opened anew.
    pub fn on_watch_failed(&mut self, now: Micros, why: WatchFailure) -> Micros {
        let was = std::mem::replace(&mut self.phase, WatchPhase::Closed);
        if why == WatchFailure::Unreachable || self.terms.pushed && why == WatchFailure::Silent {
            self.stale = None;
        }
        if let (WatchPhase::Live(last), WatchFailure::Silent) = (was, why) {
            self.behind.get_or_insert(last + NOTIFICATION_DEADLINE);
        }
        if self.terms.pushed {
            // Also after an end: the agent may say at once what happened since.
            return now + if why == WatchFailure::Silent { 0 } else { MIN_RETRY_INTERVAL };
        }
        let called = self.called.unwrap_or(now);
        let waited = now.saturating_sub(called);
        match (was, why) {
            (WatchPhase::Requested, WatchFailure::Ended) if waited >= MIN_CALL_SPACING => {
                self.longest_wait = self.longest_wait.max(waited);
                self.on_unanswered_call(now);
            }
            (WatchPhase::Requested, WatchFailure::Silent) => self.on_unanswered_call(now),
            _ => self.overload = None,
        }
        // Until what was missed counts, and after a watch that held, turns are not waited for.
        let hurries = self.behind.is_some_and(|by| now < by) || matches!(was, WatchPhase::Live(_));
        let period = match self.overload {
            _ if hurries => self.terms.period().min(POLL_INTERVAL),
            Some(Overload { calls: 2.., .. }) => self.backoff(now),
            _ => self.terms.period().min(MAX_REFUSED_INTERVAL),
        };
        let next = called + period;
        let (mut from, mut to) = match was {
            // One that held: all may have lost theirs. One that did not is like a call that failed.
            WatchPhase::Live(_) if next <= now && why == WatchFailure::Silent => {
                (now, now + self.terms.hurried_spread())
            }
            WatchPhase::Live(_) if next <= now => (now, now + self.terms.spread()),
            _ if next <= now + MIN_RETRY_INTERVAL => return now + MIN_RETRY_INTERVAL,
            // Those that wait for a slow service in vain are spread, or they would come together again.
            _ => {
                let slow = self.overload.is_some() && !self.terms.are_few();
                (next - (next - now) / if slow { 2 } else { 8 }, next)
            }
        };
        // While what was missed can still be told in time, there is time for another try after this one.
        if let Some(room) = self.behind.and_then(|by| by.checked_sub(now + POLL_INTERVAL)) {
            let soon = (now + room / 2).max(called + MIN_CALL_SPACING);
            if soon < to {
                (from, to) = (now.max(called + MIN_CALL_SPACING).min(soon), soon);
            }
        }
        self.rng.u64(from..=to)
    }

    fn on_unanswered_call(&mut self, now: Micros) {
        let before = self.overload.unwrap_or(Overload { since: now, calls: 0 });
        self.overload = Some(Overload { calls: before.calls.saturating_add(1), ..before });
    }

    /// A call for the whole list, which a new service must be asked for, failed. Returns when it is asked for again.
    pub fn on_full_list_failed(&mut self, now: Micros) -> Micros {
        now + self.terms.period()
    }
}

/// Splits what a watch sends into objects, however many lines each takes. Each byte is looked at once.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    text: Vec<u8>,
    /// Bytes of `text` that were looked at.
    seen: usize,
    depth: u32,
    in_string: bool,
    escaped: bool,
    /// An object has ended on the present line.
    after: bool,
    /// An empty line has come that was not asked after yet.
    empty_line: bool,
}

impl ObjectSplitter {
    /// Adds bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.text.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Whether an object has begun and not ended.
    pub fn is_partial(&self) -> bool {
        self.depth > 0
    }

    /// Whether an empty line has come since this was asked last.
    pub fn take_empty_line(&mut self) -> bool {
        std::mem::take(&mut self.empty_line)
    }

    /// The next whole object, or a line that begins none (which is no list); empty lines are dropped.
    pub fn next_object(&mut self) -> Option<Vec<u8>> {
        while let Some(&byte) = self.text.get(self.seen) {
            self.seen += 1;
            if self.in_string {
                self.in_string = self.escaped || byte != b'"';
                self.escaped = !self.escaped && byte == b'\\';
                continue;
            }
            let ends = match byte {
                b'"' if self.depth > 0 => {
                    self.in_string = true;
                    false
                }
                b'{' | b'[' => {
                    self.depth += 1;
                    false
                }
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    self.depth == 0
                }
                b'\n' => self.depth == 0,
                _ => false,
            };
            if ends {
                let object: Vec<u8> = self.text.drain(..std::mem::take(&mut self.seen)).collect();
                let object = object.trim_ascii();
                let after = std::mem::replace(&mut self.after, byte != b'\n');
                if !object.is_empty() {
                    return Some(object.to_vec());
                }
                self.empty_line |= !after;
            }
        }
        None
    }
}
