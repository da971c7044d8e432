//! Upstream: connections to workers, for attempts, cancels and load probes, and the pool of idle ones.
//!
//! `start` gives an exchange a connection, `write` writes it, `read` reads its response, and `end` says what became of an
//! exchange whose connection is over.

mod connection;
mod end;
mod read;
mod start;
mod write;

pub(in crate::server) use connection::UpstreamConnection;

use crate::core::RequestId;
use crate::policy::interface::{Micros, WorkerId};
use crate::server::Server;
use crate::server::tokens::Token;
use connection::AttemptId;
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
}

impl Server {
    /// How long a connection may stay idle. Workers close connections that are idle for longer; a request written to one then
    /// ends as a reset.
    fn max_upstream_idle(&self) -> Micros {
        self.config.idle_timeout / 2
    }

    /// Closes the idle connection to a worker that has been idle for longest, of the worker with the most. False where none
    /// is idle.
    pub(in crate::server) fn close_idle_upstream(&mut self) -> bool {
        let Some(token) = self.upstream.pop_oldest_idle() else { return false };
        self.reactor.close_token(&mut self.core, token);
        true
    }
}
