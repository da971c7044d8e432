//! The client of discovery: the watch of the endpoint list, and the call for the whole list once.
//!
//! [`DiscoveryClient`] owns what is known of both beside their connections: when the watch is opened (`watch`, `pacing`) and
//! whether a whole list is still to be fetched (`full_list`). [`DiscoveryCall`] (`call`) is the state of one connection. The
//! methods of [`Server`] here drive the connections; those in `lists` hand what arrives to the core.

mod call;
mod full_list;
mod lists;
mod pacing;
mod watch;

pub(in crate::server) use call::{CallKind, DiscoveryCall};

use crate::config::Config;
use crate::core::watch_liveness::{CONNECT_TIMEOUT, DiscoverySettings, WatchLiveness};
use crate::fleet::FleetSettings;
use crate::http::MAX_HEAD;
use crate::policy::interface::Micros;
use crate::protocol::platform;
use crate::server::connection::{Connection, ReadEnd};
use crate::server::timer_slot::TimerSlot;
use crate::server::{FULL_LIST_TIMER, Role, Server, Token, WATCH_TIMER};
use call::{CallEnd, CallError, CallProgress};
use full_list::FullListState;
use pacing::{CallPacing, WatchEvent};
use rustix::event::epoll::EventFlags;

/// Failed calls that were not answered by a list are logged this far apart.
const FAILURE_LOG_INTERVAL: Micros = 1_000_000;

/// This dispatcher's calls to discovery.
pub(in crate::server) struct DiscoveryClient {
    /// The connection of the watch, or of the call for it.
    watch: Option<Token>,
    liveness: WatchLiveness,
    /// When the watch is opened, while none is open.
    watch_timer: TimerSlot,
    full_list: FullListState,
    pacing: CallPacing,
    /// No failure of a call without an answer is logged before this.
    next_failure_log: Micros,
}

impl DiscoveryClient {
    /// A client that has made no call yet; `generation` is that of the endpoint list that is held.
    pub(in crate::server) fn open(
        settings: &FleetSettings,
        config: &Config,
        now: Micros,
        generation: u64,
    ) -> DiscoveryClient {
        DiscoveryClient {
            watch: None,
            liveness: WatchLiveness::new(DiscoverySettings::from(&config.settings), config.seed),
            watch_timer: TimerSlot::new(WATCH_TIMER),
            full_list: FullListState::Known,
            pacing: CallPacing::open(settings, config, now, generation),
            next_failure_log: 0,
        }
    }

    /// The connection of the watch.
    pub(in crate::server) fn watch(&self) -> Option<Token> {
        self.watch
    }

    /// Forgets the watch if this is its connection; returns whether it was.
    fn take_watch(&mut self, token: Token) -> bool {
        self.watch.take_if(|watch| *watch == token).is_some()
    }

    /// A call for the whole list has failed. Returns when to retry it, if it was one that a new service made necessary.
    fn on_full_list_failed(&mut self, now: Micros) -> Option<Micros> {
        self.full_list.on_request_failed().then(|| self.liveness.on_full_list_failed(now))
    }

    /// Whether the failure of a call is logged: always if the call was answered, else at intervals, because an agent on the own
    /// machine is called again at once.
    fn admit_failure_log(&mut self, now: Micros, was_answered: bool) -> bool {
        let is_admitted = was_answered || now >= self.next_failure_log;
        if is_admitted {
            self.next_failure_log = now + FAILURE_LOG_INTERVAL;
        }
        is_admitted
    }
}

impl Server {
    /// The decision module wants a watch. Nothing is done if a time for it is set: the module's own waits grow beyond the time
    /// within which a change must be notified.
    pub(in crate::server) fn on_watch_wanted(&mut self) {
        if !self.discovery.is_watch_scheduled() {
            self.on_watch_timer();
        }
    }

    /// The time to open the watch has come.
    pub(in crate::server) fn on_watch_timer(&mut self) {
        if self.discovery.on_watch_timer() {
            self.open_discovery_call(CallKind::Watch);
        }
    }

    /// The list that the program started with may have become stale, or may be used again.
    pub(in crate::server) fn on_stale_list_timer(&mut self) {
        self.discovery.check_stale_list(&mut self.core, self.now);
    }

    /// The time to retry the call for a new service's whole list has come.
    pub(in crate::server) fn on_full_list_timer(&mut self) {
        self.discovery.full_list.on_retry_timer();
        self.fetch_needed_list();
    }

    /// Calls a new service for its whole list, unless that is known or under way.
    fn fetch_needed_list(&mut self) {
        if self.discovery.full_list.start_request() {
            self.open_discovery_call(CallKind::FullList);
        }
    }

    /// Starts a call. One for a watch ends the watch that is open.
    pub(in crate::server) fn open_discovery_call(&mut self, kind: CallKind) {
        if kind == CallKind::Watch
            && let Some(old) = self.discovery.watch.take()
        {
            self.reactor.close_token(&mut self.core, old);
        }
        let token = self.connect_to_discovery(kind);
        let connected_by = match kind {
            CallKind::Watch => self.discovery.liveness.on_call_started(self.now),
            CallKind::FullList => self.now + CONNECT_TIMEOUT,
        };
        let Some(token) = token else { return self.on_discovery_call_ended(kind, CallEnd::Unreachable) };
        if kind == CallKind::Watch {
            self.discovery.watch = Some(token);
        }
        if let Some((mut conn, role)) = self.reactor.take(token) {
            conn.set_timer(&mut self.core, token, Some(connected_by));
            self.reactor.update_interest(token, &mut conn, true);
            self.reactor.put(token, conn, role);
        }
    }

    /// Begins to connect, with the request in the outbox. A watch asks for the changes after the list that is held.
    fn connect_to_discovery(&mut self, kind: CallKind) -> Option<Token> {
        let after = (kind == CallKind::Watch).then_some(self.core.endpoints.generation);
        let mut conn = Connection::connect(self.config.discovery).ok()?; // its descriptor is kept for it: see `RESERVED_DESCRIPTORS`
        conn.outbox.push(platform::discovery_call(after));
        self.reactor.add(conn, Role::Discovery(DiscoveryCall::new(kind)))
    }

    /// The connection of a call is up, readable, writable or closed.
    pub(in crate::server) fn on_discovery_ready(
        &mut self,
        token: Token,
        mut conn: Connection,
        mut call: DiscoveryCall,
        flags: EventFlags,
    ) {
        if call.is_connecting {
            let has_failed = conn.stream.take_error().map_or(true, |error| error.is_some());
            if has_failed || flags.contains(EventFlags::ERR) {
                return self.fail_discovery_call(token, conn, call, CallError::NotConnected);
            }
            self.on_discovery_connected(token, &mut conn, &mut call);
        }
        if !conn.flush() {
            return self.fail_discovery_call(token, conn, call, CallError::ConnectionLost);
        }
        loop {
            let end = conn.fill(MAX_HEAD);
            let has_read = !conn.inbox.is_empty();
            match self.read_discovery_call(token, &mut conn, &mut call) {
                Ok(CallProgress::Pending) => {}
                Ok(CallProgress::Complete) => {
                    return self.reactor.close(&mut self.core, token, conn, Role::Discovery(call));
                }
                Err(error) => return self.fail_discovery_call(token, conn, call, error),
            }
            match end {
                ReadEnd::WouldBlock => break,
                ReadEnd::LimitReached if has_read => {}
                _ => return self.fail_discovery_call(token, conn, call, CallError::Ended),
            }
        }
        self.reactor.update_interest(token, &mut conn, true);
        self.reactor.put(token, conn, Role::Discovery(call));
    }

    fn on_discovery_connected(&mut self, token: Token, conn: &mut Connection, call: &mut DiscoveryCall) {
        call.is_connecting = false;
        let answered_by = match call.kind {
            CallKind::Watch => self.discovery.liveness.on_connected(self.now),
            CallKind::FullList => self.discovery.liveness.full_list_deadline(self.now),
        };
        conn.set_timer(&mut self.core, token, Some(answered_by));
    }

    /// A call has received nothing for too long.
    pub(in crate::server) fn on_discovery_timer(
        &mut self,
        token: Token,
        mut conn: Connection,
        mut call: DiscoveryCall,
    ) {
        // After a long turn of the loop, data may have arrived that was not read yet.
        if !call.is_connecting && conn.fill(MAX_HEAD) != ReadEnd::Broken {
            match self.read_discovery_call(token, &mut conn, &mut call) {
                Ok(CallProgress::Pending) if conn.timer.is_none() => {}
                Ok(CallProgress::Pending) => return self.reactor.put(token, conn, Role::Discovery(call)),
                Ok(CallProgress::Complete) => {
                    return self.reactor.close(&mut self.core, token, conn, Role::Discovery(call));
                }
                Err(error) => return self.fail_discovery_call(token, conn, call, error),
            }
        }
        let error = if call.is_answered { CallError::FellSilent } else { CallError::TimedOut };
        self.fail_discovery_call(token, conn, call, error);
    }

    /// Processes what has been read of a call.
    fn read_discovery_call(
        &mut self,
        token: Token,
        conn: &mut Connection,
        call: &mut DiscoveryCall,
    ) -> Result<CallProgress, CallError> {
        if !call.read_head(&mut conn.inbox)? {
            return Ok(CallProgress::Pending);
        }
        let had_partial_object = call.has_partial_object();
        let framing = call.read_body(&mut conn.inbox);
        let (has_lists, lists) = self.take_discovery_lists(call);
        let has_data = call.take_heartbeat() || has_lists;
        if call.is_watch() {
            self.on_watch_data(token, conn, call, has_data, had_partial_object);
        }
        lists.and(framing)?;
        let progress = call.progress();
        // A list that has begun is counted at the call's end.
        if let Err(CallError::TooLong | CallError::NoList) = progress
            && !call.has_partial_object()
        {
            self.metrics.bad_lists += 1;
        }
        progress
    }

    /// Ends a call that has failed, and schedules the next one.
    fn fail_discovery_call(&mut self, token: Token, conn: Connection, call: DiscoveryCall, error: CallError) {
        self.report_failed_call(&call, error);
        if !call.is_watch() || self.discovery.take_watch(token) {
            self.on_discovery_call_ended(call.kind, call.end(error));
        }
        self.reactor.close(&mut self.core, token, conn, Role::Discovery(call));
    }

    /// Logs a call that failed, and counts the list that broke off with it.
    fn report_failed_call(&mut self, call: &DiscoveryCall, error: CallError) {
        if call.has_partial_object() {
            self.metrics.bad_lists += 1;
        }
        if self.discovery.admit_failure_log(self.now, call.is_answered) {
            tracing::warn!("discovery: {} failed: {error}", call.kind.log_name());
        }
    }

    /// A call has ended: schedules the next one.
    fn on_discovery_call_ended(&mut self, kind: CallKind, end: CallEnd) {
        match kind {
            CallKind::Watch => self.on_watch_ended(end),
            CallKind::FullList => match self.discovery.on_full_list_failed(self.now) {
                Some(retry_at) => self.core.set_timer(retry_at, FULL_LIST_TIMER),
                None => self.core.on_list_failed(),
            },
        }
    }

    fn on_watch_ended(&mut self, end: CallEnd) {
        let reopen_at = self.discovery.on_watch_ended(self.now, end);
        if self.discovery.pacing.is_enabled() {
            self.pace_on_watch_event(WatchEvent::Ended(end));
        } else {
            self.discovery.schedule_watch(&mut self.core, reopen_at);
        }
        self.discovery.check_stale_list(&mut self.core, self.now);
    }

    /// The address of discovery has changed: drops all calls to the former service, with whatever they may still bring.
    pub(in crate::server) fn on_discovery_moved(&mut self) {
        self.discovery.watch = None;
        let opens_at = self.discovery.liveness.on_discovery_moved(self.now);
        self.discovery.schedule_watch(&mut self.core, opens_at);
        self.pace_on_watch_event(WatchEvent::DiscoveryMoved);
        for slot in 0..self.reactor.connections().slot_count() {
            let token = self.reactor.connections().token_at(slot);
            if let Some((_, Role::Discovery(_))) = self.reactor.connections().get(token) {
                self.reactor.close_token(&mut self.core, token);
            }
        }
        self.discovery.full_list = FullListState::Needed;
    }
}
