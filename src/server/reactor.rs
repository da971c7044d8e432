//! Everything that the loop watches: epoll, and the connections with their epoll registrations and timers.
//!
//! Only this module manages the lifecycle of a connection. [`Reactor::add`] registers it. A handler takes it out of its slot,
//! and puts it back or closes it. [`Reactor::close`] cancels its timer and removes its registration.

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

/// Whether the loop should read from a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reading {
    /// Read as bytes arrive.
    Wanted,
    /// Leave the bytes in the socket until another event resumes reading.
    Paused,
}

/// The epoll instance of the loop, and all connections.
pub(super) struct Reactor {
    epoll: Poller,
    connections: ConnectionTable,
}

impl Reactor {
    /// Creates a reactor that watches nothing.
    ///
    /// # Errors
    /// If the system cannot create an epoll instance.
    pub fn new() -> Result<Reactor, Errno> {
        Ok(Reactor { epoll: Poller::new()?, connections: ConnectionTable::default() })
    }

    /// The connections, read only.
    pub fn connections(&self) -> &ConnectionTable {
        &self.connections
    }

    /// Waits for events for at most `timeout`, or without limit if it is `None`. A signal ends the wait too.
    ///
    /// # Errors
    /// If epoll fails.
    pub fn wait(&self, events: &mut Vec<Event>, timeout: Option<Duration>) -> Result<(), Errno> {
        self.epoll.wait(events, timeout)
    }

    /// Watches a descriptor that is not a connection for being readable.
    ///
    /// # Errors
    /// If epoll refuses the descriptor.
    pub fn watch(&self, fd: impl AsFd, token: Token) -> Result<(), Errno> {
        self.epoll.add(fd, token, EventFlags::IN)
    }

    /// Changes the events for which a descriptor that is not a connection is watched. Returns false if it is not watched.
    pub fn set_watched_events(&self, fd: impl AsFd, token: Token, flags: EventFlags) -> bool {
        self.epoll.modify(fd, token, flags)
    }

    /// Stops watching a descriptor. A descriptor that another process also holds would otherwise stay in epoll after it is
    /// closed here.
    pub fn unwatch(&self, fd: impl AsFd) {
        self.epoll.remove(fd);
    }

    /// Assigns a slot to a connection and registers it with epoll. If epoll refuses it, closes it and returns `None`.
    pub fn add(&mut self, connection: Connection, role: Role) -> Option<Token> {
        let token = self.connections.reserve();
        if self.epoll.add(&connection.stream, token, EventFlags::empty()).is_err() {
            self.connections.unreserve(token);
            return None;
        }
        self.connections.insert(token, connection, role);
        Some(token)
    }

    /// Takes a connection out of its slot. The caller must put it back or close it.
    pub fn take(&mut self, token: Token) -> Option<Entry> {
        self.connections.take(token)
    }

    /// Puts back a connection that was taken out.
    pub fn put(&mut self, token: Token, connection: Connection, role: Role) {
        self.connections.put(token, connection, role);
    }

    /// Closes a connection that was taken out of its slot, and cancels its timer in the core.
    pub fn close(&mut self, core: &mut Core, token: Token, connection: Connection, role: Role) {
        if let Some(at) = connection.timer {
            core.cancel_timer(at, token.timer());
        }
        self.connections.remove(token, &role);
        drop((connection, role)); // closing the socket also removes it from epoll
    }

    /// Closes a connection, if it is in its slot.
    pub fn close_token(&mut self, core: &mut Core, token: Token) {
        if let Some((connection, role)) = self.take(token) {
            self.close(core, token, connection, role);
        }
    }

    /// Watches a connection for being readable, unless reading is paused, and for being writable if its write queue is not empty.
    pub fn update_interest(&self, token: Token, connection: &mut Connection, reading: Reading) {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, reading == Reading::Wanted);
        flags.set(EventFlags::OUT, !connection.write_queue.is_empty());
        self.set_interest(token, connection, flags);
    }

    /// Watches a connection that is being established. It becomes writable once connecting has succeeded or failed.
    pub fn await_connected(&self, token: Token, connection: &mut Connection) {
        self.set_interest(token, connection, EventFlags::RDHUP | EventFlags::IN | EventFlags::OUT);
    }

    /// Sets the events for which a connection is watched; calls epoll only if they change.
    fn set_interest(&self, token: Token, connection: &mut Connection, flags: EventFlags) {
        if flags != connection.interest {
            let is_changed = self.epoll.modify(&connection.stream, token, flags);
            invariant!(is_changed, "a connection is not registered with epoll");
            connection.interest = flags;
        }
    }
}
