//! The idle connections to workers, and which of them may carry the next exchange.
//!
//! [`Attribution`] says when a connection may be used again.
//!
//! [`Attribution`]: super::attribution::Attribution

use super::connection::UpstreamConnection;
use crate::core::AttemptId;
use crate::policy::interface::{Micros, WorkerId};
use crate::server::tokens::Token;
use std::collections::HashMap;

/// Which connections an exchange may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// Those that have rested.
    Rested,
    /// Of these, only those on which no response to an earlier exchange may still arrive.
    Certain,
}

/// An idle connection.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    token: Token,
    /// From when on the connection may carry an exchange, in microseconds.
    rested_at: Micros,
    /// From when on the response to that exchange cannot be a copy of an earlier one, in microseconds.
    settled_at: Micros,
    /// The attempt whose uncertain acceptance is the reason for the rest.
    uncertain_attempt: Option<AttemptId>,
}

/// The idle connections by worker. Workers without one have no entry.
#[derive(Default)]
pub(super) struct IdlePool {
    /// The connections of each worker, the most recently added last.
    by_worker: HashMap<WorkerId, Vec<IdleConnection>>,
}

impl IdlePool {
    /// Adds a connection. Does nothing if the pool has it already.
    pub fn add(&mut self, token: Token, upstream: &UpstreamConnection) {
        let connections = self.by_worker.entry(upstream.worker).or_default();
        if !connections.iter().any(|connection| connection.token == token) {
            connections.push(IdleConnection {
                token,
                rested_at: upstream.attribution.rested_at(),
                settled_at: upstream.attribution.settled_at(),
                uncertain_attempt: upstream.uncertain_attempt,
            });
        }
    }

    /// Removes the most recently added connection to a worker that may be used at `now`, and returns it. Settled connections
    /// come first. `has_started` says whether the worker has reported the start of an attempt. With [`Reuse::Certain`], a
    /// connection whose last acceptance is uncertain is used only once its attempt has started: a worker that hangs may send
    /// its own response to that attempt at any later time.
    pub fn take_rested(
        &mut self,
        worker: WorkerId,
        now: Micros,
        reuse: Reuse,
        has_started: impl Fn(AttemptId) -> bool,
    ) -> Option<Token> {
        let connections = self.by_worker.get(&worker)?;
        let is_certain = |connection: &IdleConnection| {
            reuse == Reuse::Rested || connection.uncertain_attempt.is_none_or(&has_started)
        };
        let is_rested = |connection: &IdleConnection| {
            let has_rested = connection.rested_at <= now;
            is_certain(connection) && (has_rested || connection.uncertain_attempt.is_some_and(&has_started))
        };
        let is_settled = |connection: &IdleConnection| connection.settled_at <= now && is_certain(connection);
        let settled = connections.iter().rposition(is_settled);
        let position = settled.or_else(|| connections.iter().rposition(is_rested))?;
        self.take_at(worker, position)
    }

    /// Removes the connection that has been idle for longest, of the worker with the most idle connections, and returns it.
    pub fn take_oldest(&mut self) -> Option<Token> {
        let (&worker, _) = self.by_worker.iter().max_by_key(|(_, connections)| connections.len())?;
        self.take_at(worker, 0)
    }

    /// Removes a connection, if the pool has it.
    pub fn remove(&mut self, worker: WorkerId, token: Token) {
        let connections = self.by_worker.get(&worker).into_iter().flatten();
        if let Some(position) = connections.into_iter().position(|connection| connection.token == token) {
            self.take_at(worker, position);
        }
    }

    fn take_at(&mut self, worker: WorkerId, position: usize) -> Option<Token> {
        let connections = self.by_worker.get_mut(&worker)?;
        let connection = (position < connections.len()).then(|| connections.remove(position))?;
        if connections.is_empty() {
            self.by_worker.remove(&worker);
        }
        Some(connection.token)
    }
}

#[cfg(test)]
mod tests;
