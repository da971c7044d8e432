//! Calls to discovery: the watch, and the whole list once.

pub(in crate::server) mod pacing;

use crate::config::EndpointList;
use crate::core::endpoint_table::{ListRejection, ListSource};
use crate::core::watch_liveness::{
    CONNECT_TIMEOUT, DiscoveryTerms, ObjectSplitter, WatchFailure, WatchLiveness,
};
use crate::http::{self, Body, MAX_HEAD};
use crate::policy::interface::Micros;
use crate::protocol::platform;
use crate::server::connection::{Connection, ReadEnd};
use crate::server::discovery::pacing::CallEnd;
use crate::server::{FULL_LIST_TIMER, Role, STALE_LIST_TIMER, Server, Token, WATCH_TIMER};
use rustix::event::epoll::EventFlags;

/// The longest object of a watch, or whole list.
const MOST: usize = 4 * 1024 * 1024;

/// A longer `Retry-After` is not heeded, in seconds: what changes meanwhile counts as told.
const MOST_RETRY_AFTER: f64 = 10.0;
/// Failed calls that told nothing are logged this far apart.
const QUIET: Micros = 1_000_000;

pub(in crate::server) struct Call {
    watch: bool,
    connecting: bool,
    body: Option<Body>,
    text: ObjectSplitter,
    /// It counts as answered by a list.
    answered: bool,
    /// It was refused, and when to come again if the answer says so.
    refused: Option<Option<Micros>>,
}

/// Whether a new service of discovery has told its whole list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Whole {
    Known,
    /// Its watch has told nothing yet.
    Due,
    /// It is asked for.
    TakeoverResult,
    /// That failed; it is asked for again soon.
    Again,
}

/// The watch of this dispatcher.
pub(in crate::server) struct Lists {
    /// Its connection.
    watch: Option<Token>,
    clock: WatchLiveness,
    /// When it is opened, as long as none is.
    again: Option<Micros>,
    whole: Whole,
    /// No failure of a call that told nothing is logged before this.
    quiet_until: Micros,
}

impl Lists {
    /// Nothing is asked for yet.
    pub fn new(terms: DiscoveryTerms, seed: u64) -> Lists {
        let clock = WatchLiveness::new(terms, seed);
        Lists { watch: None, clock, again: None, whole: Whole::Known, quiet_until: 0 }
    }

    /// The watch's connection.
    pub fn watch(&self) -> Option<Token> {
        self.watch
    }
}

impl Server {
    /// The program begins: from now on the clock of silence says when a watch is opened.
    /// `newest` is when the last worker started of the list that is known so far.
    pub(in crate::server) fn watch_begins(&mut self, newest: Option<Micros>) {
        let at = self.lists.clock.start(self.now);
        self.watch_at(at);
        if self.core.endpoints.stale {
            let span = self.lists.clock.revalidate(self.now, newest);
            self.core.set_timer(span.end, STALE_LIST_TIMER);
            if span.start > self.now {
                self.core.set_timer(span.start, STALE_LIST_TIMER);
                self.core.use_stale_list();
            }
        }
    }

    /// Another dispatcher heard of this one's work at this time, before it started: until some time after that the list that it
    /// started with lacks nothing that counts. Once that is used the work heard of may be this process's own.
    pub(in crate::server) fn was_heard(&mut self, at: Micros) {
        if !self.core.endpoints.stale {
            return;
        }
        if let Some(from) =
            self.lists.clock.on_predecessor_seen(at.min(self.now)).filter(|from| *from > self.now)
        {
            self.core.set_timer(from, STALE_LIST_TIMER);
            self.core.use_stale_list();
        }
    }

    /// As long as the list that the program started with is to be revalidated, and discovery has not told one, nothing is sent by
    /// it. Where discovery cannot be reached, or has had its time, it is used as it is.
    pub(in crate::server) fn check_stale(&mut self) {
        match (self.core.endpoints.stale, self.lists.clock.is_stale(self.now)) {
            (true, false) => {
                tracing::warn!(
                    "discovery: not heard since the start; the list known before it is used as it is"
                );
                self.core.use_stale_list();
            }
            (false, true) => self.core.suspend_stale_list(),
            _ => {}
        }
    }

    /// Other settings count.
    pub(in crate::server) fn watch_retuned(&mut self) {
        if self.lists.clock.reconfigure(DiscoveryTerms::of(&self.config.settings)) {
            self.watch_at(self.now);
        }
    }

    fn watch_at(&mut self, at: Micros) {
        if let Some(old) = self.lists.again.replace(at) {
            self.core.cancel_timer(old, WATCH_TIMER);
        }
        self.core.set_timer(at, WATCH_TIMER);
    }

    /// The module wants a watch: it is open, or the clock of silence or the pacer has scheduled it. The module's own waits
    /// grow beyond what a change may take to be told.
    pub(in crate::server) fn watch_wanted(&mut self) {
        if self.lists.again.is_none() {
            self.watch_due();
        }
    }

    pub(in crate::server) fn watch_due(&mut self) {
        self.lists.again = None;
        if self.lists.watch.is_none() && !self.ask.on() {
            self.call(true);
        }
    }

    /// Asks a new service for its whole list, unless that is known or under way.
    fn ask_whole(&mut self) {
        if self.lists.whole == Whole::Due {
            self.lists.whole = Whole::TakeoverResult;
            self.call(false);
        }
    }

    pub(in crate::server) fn whole_due(&mut self) {
        if self.lists.whole == Whole::Again {
            self.lists.whole = Whole::Due;
            self.ask_whole();
        }
    }

    /// Starts a watch, or asks for the list once.
    pub(in crate::server) fn call(&mut self, watch: bool) {
        if let Some(old) = self.lists.watch.take_if(|_| watch) {
            self.close_token(old);
        }
        let after = watch.then_some(self.core.endpoints.generation);
        let conn = Connection::connect(self.config.discovery).ok(); // its descriptor is kept for it: see `RESERVED_DESCRIPTORS`
        let token = conn.and_then(|mut conn| {
            conn.outbox.push(platform::discovery_call(after));
            let call = Call {
                watch,
                connecting: true,
                body: None,
                text: ObjectSplitter::default(),
                answered: false,
                refused: None,
            };
            self.add(conn, |_| Role::Discovery(call))
        });
        let up_by =
            if watch { self.lists.clock.on_call_started(self.now) } else { self.now + CONNECT_TIMEOUT };
        let Some(token) = token else { return self.watch_over(watch, CallEnd::Unreachable) };
        if watch {
            self.lists.watch = Some(token);
        }
        if let Some((mut conn, role)) = self.take(token) {
            self.set_timer(token, &mut conn, Some(up_by));
            self.update_interest(token, &mut conn, true);
            self.put(token, conn, role);
        }
    }

    pub(in crate::server) fn call_ready(
        &mut self,
        token: Token,
        mut conn: Connection,
        mut call: Call,
        flags: EventFlags,
    ) {
        if call.connecting {
            let failed = conn.stream.take_error().map_or(true, |error| error.is_some());
            if failed || flags.contains(EventFlags::ERR) {
                return self.call_failed(token, conn, call, "no connection");
            }
            call.connecting = false;
            let due = match call.watch {
                true => self.lists.clock.on_connected(self.now),
                false => self.lists.clock.full_list_deadline(self.now),
            };
            self.set_timer(token, &mut conn, Some(due));
        }
        if !conn.flush() {
            return self.call_failed(token, conn, call, "connection lost");
        }
        loop {
            let end = conn.fill(MAX_HEAD);
            let read_some = !conn.inbox.is_empty();
            match self.call_read(token, &mut conn, &mut call) {
                Ok(false) => {}
                Ok(true) => return self.close(token, conn, Role::Discovery(call)),
                Err(why) => return self.call_failed(token, conn, call, why),
            }
            match end {
                ReadEnd::WouldBlock => break,
                ReadEnd::LimitReached if read_some => {}
                _ => return self.call_failed(token, conn, call, "ended"),
            }
        }
        self.update_interest(token, &mut conn, true);
        self.put(token, conn, Role::Discovery(call));
    }

    /// Uses what was read; true once the call has done its work.
    fn call_read(
        &mut self,
        token: Token,
        conn: &mut Connection,
        call: &mut Call,
    ) -> Result<bool, &'static str> {
        if call.body.is_none() {
            match http::read_response(&conn.inbox) {
                Ok(None) => return Ok(false),
                Ok(Some(head)) if head.status == 200 => {
                    conn.inbox.drain(..head.len);
                    call.body = Some(Body::new(head.framing));
                }
                Ok(Some(head)) => {
                    let seconds =
                        head.fields.text(&conn.inbox, "Retry-After").and_then(|t| t.trim().parse().ok());
                    let within = |s: &f64| (0.0..=MOST_RETRY_AFTER).contains(s);
                    call.refused = Some(seconds.filter(within).map(|s| (s * 1e6) as Micros));
                    return Err("refused");
                }
                Err(_) => return Err("not HTTP"),
            }
        }
        let Some(body) = &mut call.body else { return Ok(false) };
        let (mut read, partly) = (Vec::new(), call.text.is_partial());
        // What came before the framing broke counts.
        let framed = body.feed(&mut conn.inbox, &mut read).map_err(|_| "broken chunks");
        let done = body.is_done();
        call.text.feed(&read);
        let (mut said, mut taken) = (false, Ok(()));
        while taken.is_ok()
            && let Some(object) = call.text.next_object()
        {
            taken = self.listed(call, &object);
            said |= taken.is_ok();
        }
        said |= call.text.take_empty_line();
        // Only lists and empty lines show that it lives. An object that has begun must be whole in the time it was given when
        // it began.
        if call.watch && said {
            match self.lists.clock.on_data(self.now, false) {
                Some(due) => self.set_timer(token, conn, Some(due)),
                None => self.ask_whole(),
            }
        }
        if call.watch && call.text.is_partial() && (said || !partly) {
            let due = self.lists.clock.on_data(self.now, true);
            self.set_timer(token, conn, due);
        }
        taken.and(framed)?;
        let why = match call.watch {
            false if call.answered => return Ok(true),
            _ if call.text.len() > MOST => "list too long",
            false if done => "no list in it",
            true if done => return Err("ended"),
            _ => return Ok(false),
        };
        self.metrics.bad_lists += u64::from(!call.text.is_partial()); // one that has begun is counted at the call's end
        Err(why)
    }

    /// Takes an object in. One that is refused, or cannot be read, may have told a change that no later one tells again: then
    /// the call is over, and the next one asks for what came after the list that is held.
    fn listed(&mut self, call: &mut Call, object: &[u8]) -> Result<(), &'static str> {
        let list = serde_json::from_slice(object).ok().and_then(|value| EndpointList::read(&value));
        let Some(list) = list else {
            self.metrics.bad_lists += 1;
            return Err("not a list");
        };
        let source = match (call.watch, call.answered) {
            (false, _) => ListSource::FullList,
            (true, false) => ListSource::WatchStart,
            (true, true) => ListSource::WatchUpdate,
        };
        let refusal = self.core.endpoints.rejection(&list, source);
        self.metrics.bad_lists +=
            u64::from(matches!(refusal, Some(ListRejection::Empty | ListRejection::Partial)));
        match refusal {
            Some(ListRejection::GenerationReset) if self.lists.whole == Whole::Known => {
                self.lists.whole = Whole::Due
            }
            Some(ListRejection::Empty) if call.watch => {
                self.lists.clock.on_list(self.now);
                self.check_stale();
                return Ok(());
            }
            _ => {}
        }
        if let Some(why) = refusal {
            return Err(match why {
                ListRejection::Stale | ListRejection::GenerationReset => "list out of date",
                ListRejection::Empty | ListRejection::Partial => "no whole list",
            });
        }
        call.answered = true;
        let told = self.lists.clock.on_list(self.now);
        self.core.on_endpoint_list(told, &list, false);
        if call.watch {
            self.ask_listed(list.generation);
        }
        // A new service may answer with changes though it was asked for everything. Workers that it has
        // never heard of would then stay in the table: the whole list is asked for.
        if list.reset {
            self.lists.whole = Whole::Known;
        }
        self.ask_whole();
        Ok(())
    }

    pub(in crate::server) fn call_failed(&mut self, token: Token, conn: Connection, call: Call, why: &str) {
        self.log_failed(&call, why);
        if !call.watch || self.lists.watch.take_if(|watch| *watch == token).is_some() {
            let end = if call.connecting { CallEnd::Unreachable } else { CallEnd::Failed };
            self.watch_over(call.watch, call.refused.map_or(end, CallEnd::Refused));
        }
        self.close(token, conn, Role::Discovery(call));
    }

    /// A call that has said nothing for too long.
    pub(in crate::server) fn call_due(&mut self, token: Token, mut conn: Connection, mut call: Call) {
        // After a long turn what it has said may be here, unread.
        if !call.connecting && conn.fill(MAX_HEAD) != ReadEnd::Broken {
            match self.call_read(token, &mut conn, &mut call) {
                Ok(false) if conn.timer.is_none() => {}
                Ok(false) => return self.put(token, conn, Role::Discovery(call)),
                Ok(true) => return self.close(token, conn, Role::Discovery(call)),
                Err(why) => return self.call_failed(token, conn, call, why),
            }
        }
        if self.lists.watch.take_if(|watch| *watch == token).is_none() {
            return self.call_failed(token, conn, call, "no answer in time");
        }
        self.log_failed(&call, if call.answered { "fell silent" } else { "no answer in time" });
        let end = if call.connecting { CallEnd::Unreachable } else { CallEnd::Silent };
        self.close(token, conn, Role::Discovery(call));
        self.watch_over(true, end);
    }

    /// A line for each call that failed; of those that told nothing, one in so long: an agent is asked again at once. A list that
    /// broke off is a bad one.
    fn log_failed(&mut self, call: &Call, why: &str) {
        self.metrics.bad_lists += u64::from(call.text.is_partial());
        if call.answered || self.now >= self.lists.quiet_until {
            self.lists.quiet_until = self.now + QUIET;
            let what = if call.watch { "watch" } else { "list" };
            tracing::warn!("discovery: {what} failed: {why}");
        }
    }

    /// No call is under way any more: the clock of silence, or the pacer, says when it is asked anew.
    fn watch_over(&mut self, watch: bool, end: CallEnd) {
        if watch {
            let why = match end {
                CallEnd::Silent => WatchFailure::Silent,
                CallEnd::Unreachable => WatchFailure::Unreachable,
                CallEnd::Refused(_) | CallEnd::Failed => WatchFailure::Ended,
            };
            match (self.lists.clock.on_watch_failed(self.now, why), self.ask.on()) {
                (_, true) => self.ask_over(end),
                (again, false) => self.watch_at(again),
            }
            self.check_stale();
        } else if self.lists.whole == Whole::TakeoverResult {
            self.lists.whole = Whole::Again;
            self.core.set_timer(self.lists.clock.on_full_list_failed(self.now), FULL_LIST_TIMER);
        } else {
            self.core.on_list_failed();
        }
    }

    /// Drops all calls to a service of discovery that no longer counts, and whatever it may still say.
    pub(in crate::server) fn leave_discovery(&mut self) {
        self.lists.watch = None;
        let at = self.lists.clock.on_discovery_moved(self.now);
        self.watch_at(at);
        self.ask_moved();
        for slot in 0..self.connections.slot_count() {
            let token = self.connections.token_at(slot);
            if let Some((_, Role::Discovery(_))) = self.connections.get(token) {
                self.close_token(token);
            }
        }
        self.lists.whole = Whole::Due;
    }
}
