//! The client of discovery: the watch of the endpoint list, and the single call for the full list.
//!
//! [`DiscoveryClient`] owns the state of both apart from their connections: when the watch is opened (`watch`, `pacing`) and
//! whether a full list must still be fetched (`full_list`). [`DiscoveryCall`] (`call`) is the state of one connection. The
//! methods here start and schedule calls, those in `transport` drive their connections, and those in `lists` pass received lists
//! to the core. Handlers that may schedule a paced call take the membership as an argument, because the pacing publishes facts
//! through it.

mod call;
mod full_list;
mod list_intake;
mod lists;
mod pacing;
mod transport;
mod watch;

pub(in crate::server) use call::{CallKind, DiscoveryCall};

use crate::config::Config;
use crate::core::watch_liveness::{CONNECT_TIMEOUT, DiscoverySettings, WatchLiveness};
use crate::fleet::FleetSettings;
use crate::policy::interface::Micros;
use crate::protocol::platform;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::Context;
use crate::server::membership::MembershipLink;
use crate::server::reactor::Reading;
use crate::server::timer_slot::TimerSlot;
use crate::server::tokens::{FULL_LIST_TIMER, Token, WATCH_TIMER};
use call::CallEnd;
use full_list::FullListState;
use pacing::{CallPacing, WatchEvent};

/// The minimum time between two log lines about calls that failed before a list was accepted, in microseconds.
const FAILURE_LOG_INTERVAL: Micros = 1_000_000;

/// The state of this dispatcher's calls to discovery.
pub(in crate::server) struct DiscoveryClient {
    /// The connection of the watch, or of the call that opens it; `None` if there is neither.
    watch: Option<Token>,
    liveness: WatchLiveness,
    /// The timer for opening the next watch; set only while no watch is open.
    watch_timer: TimerSlot,
    full_list: FullListState,
    pacing: CallPacing,
    /// The earliest time at which the next failure of an unanswered call is logged.
    next_failure_log: Micros,
    /// The calls with an unfinished list.
    busy_calls: Vec<Token>,
    /// The call whose list is being applied. Lists are applied one after the other, so that an older row never replaces a newer.
    applying: Option<Token>,
}

impl DiscoveryClient {
    /// Creates a client that has made no call yet. `generation` is that of the current endpoint list.
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
            busy_calls: Vec::new(),
            applying: None,
        }
    }

    /// The connection of the watch, or of the call that opens it.
    pub(in crate::server) fn watch(&self) -> Option<Token> {
        self.watch
    }

    /// Clears the watch if `token` is its connection. Returns whether it was.
    fn take_watch(&mut self, token: Token) -> bool {
        self.watch.take_if(|watch| *watch == token).is_some()
    }

    /// Records that a call for the full list has failed. Returns when to retry it if it was made because of a new service;
    /// `None` if the decision module requested it.
    fn record_full_list_failure(&mut self, now: Micros) -> Option<Micros> {
        self.full_list.on_request_failed().then(|| self.liveness.on_full_list_failed(now))
    }

    /// Returns whether to log the failure of a call: always if the call was answered, otherwise at most once per
    /// [`FAILURE_LOG_INTERVAL`], because calls to an agent on the same machine are retried without delay.
    fn admit_failure_log(&mut self, now: Micros, was_answered: bool) -> bool {
        let is_admitted = was_answered || now >= self.next_failure_log;
        if is_admitted {
            self.next_failure_log = now + FAILURE_LOG_INTERVAL;
        }
        is_admitted
    }

    /// Opens a watch at the request of the decision module. If the watch timer is already set, the request is ignored and the
    /// timer decides: the module's retry delays can grow beyond the time within which a change must be notified.
    pub(in crate::server) fn on_watch_requested(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
    ) {
        if !self.is_watch_scheduled() {
            self.on_watch_timer(context, membership);
        }
    }

    /// The watch timer has fired: opens the watch if it is due.
    pub(in crate::server) fn on_watch_timer(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
    ) {
        if self.is_watch_due() {
            self.open_call(context, membership, CallKind::Watch);
        }
    }

    /// The stale-list timer has fired: the list that this process started with may have become stale, or may be used again.
    pub(in crate::server) fn on_stale_list_timer(&self, context: &mut Context<'_>) {
        self.check_stale_list(context.core, context.now());
    }

    /// The full-list timer has fired: retries the call for a new service's full list.
    pub(in crate::server) fn on_full_list_timer(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
    ) {
        self.full_list.on_retry_timer();
        self.fetch_needed_list(context, membership);
    }

    /// Requests the full list of a new service, if that is needed and no such call is in progress.
    fn fetch_needed_list(&mut self, context: &mut Context<'_>, membership: &mut MembershipLink) {
        if self.full_list.start_request() {
            self.open_call(context, membership, CallKind::FullList);
        }
    }

    /// Starts a call. A call for a watch first closes the watch that is open.
    pub(in crate::server) fn open_call(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        kind: CallKind,
    ) {
        if kind == CallKind::Watch
            && let Some(old) = self.watch.take()
        {
            self.applying.take_if(|applying| *applying == old);
            context.reactor.close_token(context.core, old);
        }
        let token = connect(context, kind);
        let connected_by = match kind {
            CallKind::Watch => self.liveness.on_call_started(context.now()),
            CallKind::FullList => context.now() + CONNECT_TIMEOUT,
        };
        let Some(token) = token else {
            return self.on_call_ended(context, membership, kind, CallEnd::Unreachable);
        };
        if kind == CallKind::Watch {
            self.watch = Some(token);
        }
        if let Some((mut connection, role)) = context.reactor.take(token) {
            connection.set_timer(context.core, token, Some(connected_by));
            context.reactor.update_interest(token, &mut connection, Reading::Wanted);
            context.reactor.put(token, connection, role);
        }
    }

    /// A call has ended: schedules the next one.
    fn on_call_ended(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        kind: CallKind,
        end: CallEnd,
    ) {
        match kind {
            CallKind::Watch => self.on_watch_ended(context, membership, end),
            CallKind::FullList => match self.record_full_list_failure(context.now()) {
                Some(retry_at) => context.core.set_timer(retry_at, FULL_LIST_TIMER),
                None => context.core.on_list_failed(),
            },
        }
    }

    /// The watch, or the call that opens it, has ended: schedules the next one.
    fn on_watch_ended(&mut self, context: &mut Context<'_>, membership: &mut MembershipLink, end: CallEnd) {
        let reopen_at = self.record_watch_end(context.now(), end);
        if self.pacing.is_enabled() {
            self.pace_on_watch_event(context, membership, WatchEvent::Ended(end));
        } else {
            self.schedule_watch(context.core, reopen_at);
        }
        self.check_stale_list(context.core, context.now());
    }

    /// The address of discovery has changed: schedules a watch of the new service and closes all connections to the old one,
    /// whose unread data is discarded.
    pub(in crate::server) fn on_service_moved(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
    ) {
        self.watch = None;
        self.applying = None;
        let opens_at = self.liveness.on_discovery_moved(context.now());
        self.schedule_watch(context.core, opens_at);
        self.pace_on_watch_event(context, membership, WatchEvent::DiscoveryMoved);
        for slot in 0..context.reactor.connections().slot_count() {
            let token = context.reactor.connections().token_at(slot);
            if let Some((_, Role::Discovery(_))) = context.reactor.connections().get(token) {
                context.reactor.close_token(context.core, token);
            }
        }
        self.full_list = FullListState::Needed;
    }
}

/// Starts to connect, with the request in the write queue. A watch requests the changes after the current list. Returns `None` if
/// the system refuses the connection.
fn connect(context: &mut Context<'_>, kind: CallKind) -> Option<Token> {
    let after = (kind == CallKind::Watch).then_some(context.core.endpoints().generation());
    let mut connection = Connection::connect(context.config.discovery).ok()?; // uses a descriptor of `RESERVED_DESCRIPTORS`
    connection.write_queue.push(platform::discovery_call(after));
    context.reactor.add(connection, Role::Discovery(DiscoveryCall::new(kind)))
}
