//! The event loop. One turn runs the core's commands, waits for events, and passes each event to its handler.
//!
//! The handlers rely on the order of events within a turn. Events of the admin address and of the watch of discovery come
//! first, then those of clients that have disconnected, then all others in the order in which epoll reports them.

use crate::core::{Command, DownstreamId, FinalResponse, RequestId, TimerToken};
use crate::policy::interface::Micros;
use crate::server::Server;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::discovery::CallKind;
use crate::server::downstream::Downstream;
use crate::server::downstream::context::client_context;
use crate::server::error::{ServerError, syscall_failed};
use crate::server::listeners::ListenerKind;
use crate::server::metrics::METRICS_INTERVAL;
use crate::server::poll_history::{MAX_WAIT, Wait};
use crate::server::poller::MAX_EVENTS_PER_WAIT;
use crate::server::tokens::{
    ACCEPT_TIMER, ADMIN, DRAIN_TIMER, FLEET_TIMER, FULL_LIST_TIMER, HANDOVER_TIMER, IDEMPOTENCY_STORE,
    LIST_TIMER, METRICS_TIMER, PACING_TIMER, PEER_PROCESS, PEER_TIMER, PEERS, PLATFORM, RESTART_SOCKET,
    SHUTDOWN_TIMER, SIGNAL, SSE, STALE_LIST_TIMER, STREAM_SWEEP_TIMER, Token, WATCH_TIMER,
};
use crate::server::turn_meter::Activity;
use rustix::event::epoll::{Event, EventFlags};
use std::time::Duration;

impl Server {
    /// Serves until a shutdown is complete.
    ///
    /// # Errors
    /// If epoll fails.
    pub fn serve(&mut self) -> Result<(), ServerError> {
        let mut events = Vec::with_capacity(MAX_EVENTS_PER_WAIT);
        self.clock.update();
        let context = &mut context!(self);
        self.peers.announce_state(context);
        self.membership.apply_outputs(context, &mut self.discovery);
        self.discovery.update_pacing(context, &mut self.membership);
        self.turns.skip_to(self.clock.now());
        while !self.lifecycle.is_done() {
            self.clock.update();
            self.core.turn(self.clock.now());
            self.measure(Activity::Core);
            self.run_commands();
            self.measure(Activity::Commands);
            self.turns.finish_turn();
            self.wait_for_events(&mut events)?;
            self.turns.skip_to(self.clock.now());
            self.handle_events(&events);
        }
        self.turns.log_longest();
        self.logged_metrics.log_changed(&context!(self));
        Ok(())
    }

    /// Assigns the time since the last measurement to an activity.
    fn measure(&mut self, activity: Activity) {
        self.clock.update();
        self.turns.spend(activity, self.clock.now());
    }

    /// Waits for events, at most until the next timer of the core is due or [`MAX_WAIT`] has passed.
    fn wait_for_events(&mut self, events: &mut Vec<Event>) -> Result<(), ServerError> {
        self.clock.update();
        let mut began = self.clock.now();
        self.poll(events, 0)?;
        let until_wake = self.core.next_wake().map(|at| at.saturating_sub(self.clock.now()));
        let timeout = until_wake.unwrap_or(MAX_WAIT).min(MAX_WAIT);
        let had_to_wait = events.is_empty() && timeout > 0;
        if had_to_wait {
            began = self.clock.now();
            self.poll(events, timeout)?;
        }
        let is_partial = events.len() == MAX_EVENTS_PER_WAIT;
        self.polls.record(Wait { had_to_wait, began, ended: self.clock.now(), timeout, is_partial });
        Ok(())
    }

    /// Waits for events for at most `timeout`, in microseconds, and updates the clock.
    fn poll(&mut self, events: &mut Vec<Event>, timeout: Micros) -> Result<(), ServerError> {
        let wait = self.reactor.wait(events, Some(Duration::from_micros(timeout)));
        wait.map_err(syscall_failed("epoll"))?;
        self.clock.update();
        Ok(())
    }

    /// Passes the events of a turn to their handlers, in the order that the module's documentation states.
    fn handle_events(&mut self, events: &[Event]) {
        // Calls to the admin address do not wait for the requests of this turn. Endpoint lists that arrive on the watch of
        // discovery take effect before any request of this turn is forwarded.
        let watch = self.discovery.watch();
        for event in events {
            match (Token(event.data.u64()), event.flags) {
                (ADMIN, _) => self.accept_admin(),
                (token, flags) if self.admin.owns(token) || watch == Some(token) => {
                    self.on_ready(token, flags);
                }
                _ => {}
            }
        }
        self.measure(Activity::Discovery);
        // Disconnected clients are handled before clients with requests, because requests take longer.
        for event in events {
            let context = &mut client_context!(self);
            self.clients.on_hangup(context, Token(event.data.u64()), event.flags);
        }
        self.measure(Activity::Clients);
        for event in events {
            let (data, flags) = (event.data, event.flags);
            let activity = self.activity_of(Token(data.u64()));
            match Token(data.u64()) {
                token if self.admin.owns(token) || watch == Some(token) => {}
                PLATFORM => self.accept_clients(ListenerKind::Platform),
                SSE => self.accept_clients(ListenerKind::Sse),
                SIGNAL => self.on_signal(),
                PEERS => self.on_peers_readable(),
                RESTART_SOCKET => self.hot_restart.on_process_connected(&self.reactor),
                PEER_PROCESS => self.on_peer_process_readable(),
                IDEMPOTENCY_STORE => {
                    if let Some(records) = &mut self.records {
                        records.on_readable(&mut self.core, &self.hot_restart);
                    }
                }
                token => self.on_ready(token, flags),
            }
            self.measure(activity);
        }
    }

    /// What the handler of an event does.
    fn activity_of(&self, token: Token) -> Activity {
        match token {
            PLATFORM | SSE => Activity::Accept,
            SIGNAL => Activity::Signals,
            PEERS => Activity::Peers,
            RESTART_SOCKET | PEER_PROCESS => Activity::HotRestart,
            IDEMPOTENCY_STORE => Activity::Store,
            token => match self.reactor.connections().get(token) {
                Some((_, Role::Upstream(_))) => Activity::Workers,
                Some((_, Role::Discovery(_))) => Activity::Discovery,
                Some((_, Role::Admin(_))) => Activity::Admin,
                _ => Activity::Clients,
            },
        }
    }

    /// Polls all sockets again, and handles what decides whether something may still be sent: endpoint lists of the watch, and
    /// clients that have disconnected. Other events are left for the next turn.
    pub(super) fn refresh_before_send(&mut self) {
        let mut events = Vec::with_capacity(MAX_EVENTS_PER_WAIT);
        if self.poll(&mut events, 0).is_err() {
            return; // the clients of attempts are read one by one then
        }
        self.polls.record_refresh(self.clock.now(), events.len() == MAX_EVENTS_PER_WAIT);
        let watch = self.discovery.watch();
        for event in &events {
            let token = Token(event.data.u64());
            if watch == Some(token) {
                self.on_ready(token, event.flags);
            } else {
                self.clients.on_hangup(&mut client_context!(self), token, event.flags);
            }
        }
    }

    /// Runs all pending commands of the core, then the pending effects of the event streams.
    pub(super) fn run_commands(&mut self) {
        while let Some(command) = self.core.next_command() {
            self.clock.update(); // the commands before may have taken long
            match command {
                Command::StartAttempt { attempt, worker } => self.start_attempt(attempt, worker),
                Command::PersistRecord { ticket, key, record } => self.persist_record(ticket, key, record),
                Command::CancelAttempt { attempt, worker, name } => {
                    self.cancel_attempt(attempt, worker, name);
                }
                Command::Respond { request_id, downstream, response } => {
                    self.respond(request_id, downstream, response);
                }
                Command::NotifyProgress { downstream, fraction } => {
                    self.notify_progress(downstream, fraction);
                }
                Command::Probe(worker) => self.send_load_probe(worker),
                Command::SendToPeer(to, bytes) => context!(self).send_to_peer(to, &bytes),
                Command::OpenWatch => {
                    self.discovery.on_watch_requested(&mut context!(self), &mut self.membership);
                }
                Command::FetchList => {
                    self.discovery.open_call(&mut context!(self), &mut self.membership, CallKind::FullList);
                }
                Command::TimerFired(timer) => self.on_timer(timer),
            }
        }
        self.run_stream_effects();
    }

    /// Passes the final response of a request to the client connection or the job that awaits it.
    fn respond(&mut self, request_id: RequestId, downstream: DownstreamId, response: FinalResponse) {
        self.pending.remove(request_id);
        match Downstream::from_id(downstream) {
            Downstream::Connection(token) => {
                let context = &mut client_context!(self);
                self.clients.send_response(context, token, request_id, response);
            }
            Downstream::Job(job) => {
                if let Some(streams) = &mut self.event_streams {
                    streams.finish_job(&mut context!(self), job, response);
                }
            }
        }
    }

    /// Passes the progress of a request to the client connection or the job that awaits its response.
    fn notify_progress(&mut self, downstream: DownstreamId, fraction: Option<f64>) {
        match Downstream::from_id(downstream) {
            Downstream::Connection(token) => {
                self.clients.send_progress(&mut client_context!(self), token, fraction);
            }
            Downstream::Job(job) => {
                if let Some(streams) = &mut self.event_streams {
                    streams.publish_progress(job, fraction);
                }
            }
        }
    }

    /// Passes a timer of the core to its handler.
    fn on_timer(&mut self, timer: TimerToken) {
        match timer {
            WATCH_TIMER => self.discovery.on_watch_timer(&mut context!(self), &mut self.membership),
            FULL_LIST_TIMER => self.discovery.on_full_list_timer(&mut context!(self), &mut self.membership),
            LIST_TIMER => {
                self.measure(Activity::Commands);
                self.discovery.on_list_timer(&mut context!(self), &mut self.membership);
                self.measure(Activity::Discovery);
            }
            STALE_LIST_TIMER => self.discovery.on_stale_list_timer(&mut context!(self)),
            METRICS_TIMER => {
                self.logged_metrics.log_changed(&context!(self));
                self.turns.log_longest();
                self.core.set_timer(self.clock.now() + METRICS_INTERVAL, METRICS_TIMER);
            }
            STREAM_SWEEP_TIMER => self.on_stream_sweep_timer(),
            SHUTDOWN_TIMER => self.on_shutdown_timer(),
            HANDOVER_TIMER => self.on_handover_timer(),
            DRAIN_TIMER => self.on_drain_timer(),
            FLEET_TIMER => self.membership.on_timer(&mut context!(self), &mut self.discovery),
            PACING_TIMER => self.discovery.on_pacing_timer(&mut context!(self), &mut self.membership),
            PEER_TIMER => self.peers.on_timer(&mut context!(self)),
            ACCEPT_TIMER => self.listeners.resume(&context!(self)),
            timer => self.on_connection_timer(Token::from_timer(timer)),
        }
    }

    /// Passes an epoll event of a connection to the handler of its role.
    pub(super) fn on_ready(&mut self, token: Token, flags: EventFlags) {
        let Some((connection, role)) = self.reactor.take(token) else { return };
        match role {
            Role::Client(client) => {
                let context = &mut client_context!(self);
                self.clients.on_ready(context, token, connection, client, flags);
            }
            Role::Upstream(upstream) => self.on_upstream_ready(token, connection, upstream, flags),
            Role::Discovery(call) => {
                let context = &mut context!(self);
                self.discovery.on_ready(context, &mut self.membership, token, connection, call, flags);
            }
            Role::Admin(caller) => self.on_admin_ready(token, connection, caller, flags),
        }
    }

    /// Passes the deadline of a connection to the handler of its role.
    fn on_connection_timer(&mut self, token: Token) {
        let Some((mut connection, role)) = self.reactor.take(token) else { return };
        connection.timer = None;
        match role {
            Role::Client(client) => {
                let context = &mut client_context!(self);
                self.clients.on_timer(context, token, connection, client);
            }
            Role::Upstream(upstream) => self.on_upstream_timer(token, connection, upstream),
            Role::Discovery(call) => {
                let context = &mut context!(self);
                self.discovery.on_call_timer(context, &mut self.membership, token, connection, call);
            }
            Role::Admin(caller) => self.admin.close(&mut context!(self), token, connection, caller),
        }
    }
}
