//! Upstream: connections to workers, for attempts, cancels and load probes, and the pool of idle ones.
//!
//! An exchange is one message to a worker with its response. `start` assigns a connection to an exchange, `write` writes
//! the message, `read` reads the response, and `end` determines the outcome of an exchange whose connection is over. Most
//! functions are methods of [`UpstreamPool`]. They get a [`Context`] and, if they need a request's bytes, the open requests.
//! Operations that involve clients too are methods of the [`Server`].
//!
//! [`Context`]: crate::server::context::Context

mod attribution;
mod connection;
mod end;
mod idle_pool;
mod read;
mod start;
mod unsolicited;
mod write;

pub(in crate::server) use connection::UpstreamConnection;

use crate::config::Config;
use crate::core::{AttemptId, Core, RequestId};
use crate::policy::interface::{Micros, WorkerId};
use crate::server::Server;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::context::client_context;
use crate::server::reactor::Reactor;
use crate::server::tokens::Token;
use connection::{ConnectProgress, Exchange};
use idle_pool::IdlePool;
use rustix::event::epoll::EventFlags;
use std::collections::HashMap;
use unsolicited::UnsolicitedLog;

/// How long the response to a cancel or a load probe may take, in microseconds. The body of a response that has no other
/// deadline may take as long.
const CANCEL_OR_PROBE_TIMEOUT: Micros = 500_000;

/// A load probe whose response is awaited.
struct PendingProbe {
    worker: WorkerId,
    sent_at: Micros,
}

/// The idle connections to workers, and the connections of the exchanges in progress.
#[derive(Default)]
pub(in crate::server) struct UpstreamPool {
    idle: IdlePool,
    /// Connections on which an attempt awaits its first response, or reads an event stream, and those on which the cancel of
    /// an attempt that is ending is sent.
    attempts: HashMap<AttemptId, Token>,
    /// Accepted attempts whose own response may still arrive, with the time by which it has arrived.
    uncertain: HashMap<AttemptId, Micros>,
    /// Connections on which the response to a load probe is awaited.
    probes: HashMap<Token, PendingProbe>,
    unsolicited: UnsolicitedLog,
}

impl UpstreamPool {
    /// Whether an attempt of a request awaits its first response or one that is certain, reads an event stream, or is ending by a
    /// cancel.
    pub fn has_attempt_of(&self, request_id: RequestId, now: Micros) -> bool {
        let mut uncertain = self.uncertain.iter().filter(|(_, until)| **until > now);
        self.attempts.keys().any(|attempt| attempt.request_id == request_id)
            || uncertain.any(|(attempt, _)| attempt.request_id == request_id)
    }

    /// Records that the response by which a worker accepted an attempt may be a copy of an earlier one. The attempt's own response
    /// arrives before `until` then.
    fn record_uncertain(&mut self, attempt: AttemptId, until: Micros, now: Micros) {
        self.uncertain.retain(|_, until| *until > now);
        self.uncertain.insert(attempt, until);
    }

    /// Removes an idle connection that is over or is handed over.
    pub fn remove_idle(&mut self, worker: WorkerId, token: Token) {
        self.idle.remove(worker, token);
    }

    /// Closes one idle connection: the one that has been idle for longest, of the worker with the most idle ones. Returns false
    /// if none is idle.
    pub fn close_idle(&mut self, core: &mut Core, reactor: &mut Reactor) -> bool {
        let Some(token) = self.idle.take_oldest() else { return false };
        reactor.close_token(core, token);
        true
    }
}

/// How long a connection may stay idle, in microseconds: half of the configured idle timeout. Workers close connections that
/// are idle for too long, and a request written to such a connection ends as a reset.
fn max_idle_time(config: &Config) -> Micros {
    config.idle_timeout / 2
}

/// How late a copy of a response may arrive, and how late the own response of a request whose first response was a copy, in
/// microseconds: as long as a response is waited for. At most half of [`max_idle_time`], so that as much time is left for use.
fn copy_window(config: &Config) -> Micros {
    config.connect_timeout.min(max_idle_time(config) / 2)
}

/// Methods of the server, since they involve clients too: the client of an attempt may have disconnected, and a cancel needs a
/// connection.
impl Server {
    /// Handles a connection to a worker that is established now, is readable or writable, or was ended by its worker.
    pub(in crate::server) fn on_upstream_ready(
        &mut self,
        token: Token,
        mut connection: Connection,
        mut upstream: UpstreamConnection,
        flags: EventFlags,
    ) {
        match upstream.connect_progress(&connection.stream, flags) {
            ConnectProgress::Established => {}
            ConnectProgress::Connected(exchange) => {
                if let Exchange::Attempt(attempt) = exchange {
                    // If the request's client has disconnected, no byte of the attempt is written below.
                    self.clients.cancel_if_disconnected(&mut client_context!(self), attempt.request_id);
                }
                let deadline = upstream.on_connected(exchange, self.clock.now());
                connection.set_timer(&mut self.core, token, deadline);
            }
            ConnectProgress::Pending => {
                return self.reactor.put(token, connection, Role::Upstream(upstream));
            }
            ConnectProgress::Failed => {
                let (context, pending) = (&mut context!(self), &mut self.pending);
                return self.upstream.on_closed(context, pending, token, connection, upstream);
            }
        }
        let (context, pending) = (&mut context!(self), &mut self.pending);
        let cancel = self.upstream.on_ready(context, pending, token, connection, upstream, flags);
        if let Some(cancel) = cancel {
            self.send_cancel(&cancel);
        }
    }

    /// Handles the deadline of a connection to a worker.
    pub(in crate::server) fn on_upstream_timer(
        &mut self,
        token: Token,
        connection: Connection,
        upstream: UpstreamConnection,
    ) {
        let (context, pending) = (&mut context!(self), &mut self.pending);
        let cancel = self.upstream.on_timer(context, pending, token, connection, upstream);
        if let Some(cancel) = cancel {
            self.send_cancel(&cancel);
        }
    }
}
