//! Upstream: connections to workers, for attempts, cancels and load probes, and the pool of idle ones.
//!
//! `start` gives an exchange a connection, `write` writes it, `read` reads its response, and `end` says what became of an
//! exchange whose connection is over. All are methods of [`UpstreamPool`], which is given a [`Context`] and, where a request's
//! bytes are needed, the requests that are open; what concerns clients as well is on the server.
//!
//! [`Context`]: crate::server::context::Context

mod connection;
mod end;
mod read;
mod start;
mod write;

pub(in crate::server) use connection::UpstreamConnection;

use crate::config::Config;
use crate::core::{Core, RequestId};
use crate::policy::interface::{Micros, WorkerId};
use crate::server::Server;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::context::client_context;
use crate::server::reactor::Reactor;
use crate::server::tokens::Token;
use connection::{AttemptId, ConnectProgress, Exchange};
use rustix::event::epoll::EventFlags;
use std::collections::HashMap;

/// A cancel or a load probe must be answered by then.
const SIDE_EXCHANGE_TIMEOUT: Micros = 500_000;

/// A load probe whose response is awaited.
struct PendingProbe {
    worker: WorkerId,
    sent_at: Micros,
}

/// Which connections to workers are idle, and which ones await what.
#[derive(Default)]
pub(in crate::server) struct UpstreamPool {
    /// Idle connections by worker, the freshest last.
    idle: HashMap<WorkerId, Vec<Token>>,
    /// Connections on which an attempt awaits its first response, or streams.
    attempts: HashMap<AttemptId, Token>,
    probes: HashMap<Token, PendingProbe>,
}

impl UpstreamPool {
    /// Whether an attempt of a request awaits its first response, or streams.
    pub fn has_attempt_of(&self, request_id: RequestId) -> bool {
        self.attempts.keys().any(|attempt| attempt.request_id == request_id)
    }

    /// An idle connection to a worker is to be used again, if it is not there already.
    fn add_idle(&mut self, worker: WorkerId, token: Token) {
        let idle = self.idle.entry(worker).or_default();
        if !idle.contains(&token) {
            idle.push(token);
        }
    }

    /// Takes the freshest idle connection to a worker.
    fn pop_idle(&mut self, worker: WorkerId) -> Option<Token> {
        self.idle.get_mut(&worker)?.pop()
    }

    /// An idle connection is over, or goes elsewhere.
    pub fn remove_idle(&mut self, worker: WorkerId, token: Token) {
        if let Some(idle) = self.idle.get_mut(&worker) {
            idle.retain(|other| *other != token);
        }
    }

    /// Takes the connection that has been idle for longest, of the worker with the most.
    fn pop_oldest_idle(&mut self) -> Option<Token> {
        let most = self.idle.values_mut().max_by_key(|idle| idle.len())?;
        if most.is_empty() { None } else { Some(most.remove(0)) }
    }

    /// Closes the idle connection to a worker that has been idle for longest, of the worker with the most. False where none
    /// is idle.
    pub fn close_idle(&mut self, core: &mut Core, reactor: &mut Reactor) -> bool {
        let Some(token) = self.pop_oldest_idle() else { return false };
        reactor.close_token(core, token);
        true
    }
}

/// How long a connection may stay idle. Workers close connections that are idle for longer; a request written to one then ends
/// as a reset.
fn max_idle_time(config: &Config) -> Micros {
    config.idle_timeout / 2
}

/// What concerns clients as well: the client of an attempt may have disconnected, and a cancel needs a connection.
impl Server {
    /// A connection to a worker is up, or can be read or written, or its worker has ended it.
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
                    // Then nothing of it is written from here.
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

    /// The deadline of a connection to a worker has come.
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
