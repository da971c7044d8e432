//! The epoll instance of the event loop.

use crate::server::tokens::Token;
use rustix::event::Timespec;
use rustix::event::epoll::{self, Event, EventData, EventFlags};
use rustix::io::Errno;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// The maximum number of events taken by one wait.
pub(super) const MAX_EVENTS_PER_WAIT: usize = 256;

/// A level-triggered epoll instance, which watches descriptors by token.
pub(super) struct Poller(OwnedFd);

impl Poller {
    /// Creates an instance that watches nothing.
    ///
    /// # Errors
    /// If the system cannot create an epoll instance.
    pub fn new() -> Result<Poller, Errno> {
        epoll::create(epoll::CreateFlags::CLOEXEC).map(Poller)
    }

    /// Watches a descriptor, until every process that holds it has closed it.
    ///
    /// # Errors
    /// If epoll refuses it.
    pub fn add(&self, fd: impl AsFd, token: Token, flags: EventFlags) -> Result<(), Errno> {
        epoll::add(&self.0, fd, EventData::new_u64(token.0), flags)
    }

    /// Changes the events for which a descriptor is watched. Returns false if it is not watched.
    pub fn modify(&self, fd: impl AsFd, token: Token, flags: EventFlags) -> bool {
        epoll::modify(&self.0, fd, EventData::new_u64(token.0), flags).is_ok()
    }

    /// Stops watching a descriptor. A descriptor that another process also holds would otherwise stay in epoll after it is
    /// closed here.
    pub fn remove(&self, fd: impl AsFd) {
        let _ = epoll::delete(&self.0, fd); // it may not be watched
    }

    /// Waits for events for at most `timeout`, or without limit if it is `None`. A signal ends the wait too. Replaces the
    /// content of `events`.
    ///
    /// # Errors
    /// If epoll fails.
    pub fn wait(&self, events: &mut Vec<Event>, timeout: Option<Duration>) -> Result<(), Errno> {
        let timeout = timeout.map(|timeout| Timespec {
            tv_sec: timeout.as_secs() as i64,
            tv_nsec: i64::from(timeout.subsec_nanos()),
        });
        events.clear();
        match epoll::wait(&self.0, rustix::buffer::spare_capacity(events), timeout.as_ref()) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(error) => Err(error),
        }
    }
}
