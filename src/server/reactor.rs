//! Everything that the loop watches: epoll, and the connections with their epoll registration and timers.
//!
//! The lifecycle of a connection is here and nowhere else. [`Reactor::add`] registers it, a handler takes it out of its slot
//! and puts it back or closes it, and [`Reactor::close`] ends its timer and its registration.

use crate::core::Core;
use crate::server::connection::Connection;
use crate::server::connection_table::{ConnectionTable, Entry, Role};
use crate::server::poller::Poller;
use crate::server::tokens::Token;
use mothproxy_invariant::invariant;
use rustix::event::epoll::{Event, EventFlags};
use rustix::io::Errno;
use std::os::fd::AsFd;
use std::time::Duration;

/// Whether what can be read on a connection is wanted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reading {
    /// It is to be read.
    Wanted,
    /// It stays in the socket until something else has happened.
    Paused,
}

/// The epoll instance of the loop, and all connections.
pub(super) struct Reactor {
    epoll: Poller,
    connections: ConnectionTable,
}

impl Reactor {
    /// One that watches nothing.
    ///
    /// # Errors
    /// Where the system gives no epoll instance.
    pub fn new() -> Result<Reactor, Errno> {
        Ok(Reactor { epoll: Poller::new()?, connections: ConnectionTable::default() })
    }

    /// The connections, to look at.
    pub fn connections(&self) -> &ConnectionTable {
        &self.connections
    }

    /// Waits for events, at most for this long; a signal ends the wait too.
    pub fn wait(&self, events: &mut Vec<Event>, timeout: Option<Duration>) -> Result<(), Errno> {
        self.epoll.wait(events, timeout)
    }

    /// Watches a descriptor that is no connection for what can be read.
    pub fn watch(&self, fd: impl AsFd, token: Token) -> Result<(), Errno> {
        self.epoll.add(fd, token, EventFlags::IN)
    }

    /// Changes what a descriptor that is no connection is watched for. False where it is not watched.
    pub fn set_watched_events(&self, fd: impl AsFd, token: Token, flags: EventFlags) -> bool {
        self.epoll.modify(fd, token, flags)
    }

    /// Watches a descriptor no more: one that goes on elsewhere would stay, although it is closed here.
    pub fn unwatch(&self, fd: impl AsFd) {
        self.epoll.remove(fd);
    }

    /// Gives a connection a slot and watches it. `None` where epoll refuses it; it is closed then.
    pub fn add(&mut self, connection: Connection, role: Role) -> Option<Token> {
        let token = self.connections.reserve();
        if self.epoll.add(&connection.stream, token, EventFlags::empty()).is_err() {
            self.connections.unreserve(token);
            return None;
        }
        self.connections.insert(token, connection, role);
        Some(token)
    }

    /// Takes a connection out of its slot, to be put back or closed.
    pub fn take(&mut self, token: Token) -> Option<Entry> {
        self.connections.take(token)
    }

    /// Puts a connection back that was taken.
    pub fn put(&mut self, token: Token, connection: Connection, role: Role) {
        self.connections.put(token, connection, role);
    }

    /// Closes a connection that was taken out of its slot; its timer in the core goes with it.
    pub fn close(&mut self, core: &mut Core, token: Token, connection: Connection, role: Role) {
        if let Some(at) = connection.timer {
            core.cancel_timer(at, token.timer());
        }
        self.connections.remove(token, &role);
        drop((connection, role)); // closing the socket takes it out of epoll as well
    }

    /// Closes a connection, if it is in its slot.
    pub fn close_token(&mut self, core: &mut Core, token: Token) {
        if let Some((connection, role)) = self.take(token) {
            self.close(core, token, connection, role);
        }
    }

    /// Watches a connection for what can be read, unless reading pauses, and for being writable where something is to be
    /// written.
    pub fn update_interest(&self, token: Token, connection: &mut Connection, reading: Reading) {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, reading == Reading::Wanted);
        flags.set(EventFlags::OUT, !connection.outbox.is_empty());
        self.set_interest(token, connection, flags);
    }

    /// Watches a connection that is being established: it is writable once it is up.
    pub fn await_connected(&self, token: Token, connection: &mut Connection) {
        self.set_interest(token, connection, EventFlags::RDHUP | EventFlags::IN | EventFlags::OUT);
    }

    /// Watches a connection for this, where that is not so already.
    fn set_interest(&self, token: Token, connection: &mut Connection, flags: EventFlags) {
        if flags != connection.interest {
            let is_changed = self.epoll.modify(&connection.stream, token, flags);
            invariant!(is_changed, "epoll does not know a connection");
            connection.interest = flags;
        }
    }
}
