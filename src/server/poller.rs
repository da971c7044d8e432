//! The epoll instance of the loop.

use crate::server::tokens::Token;
use rustix::event::Timespec;
use rustix::event::epoll::{self, Event, EventData, EventFlags};
use rustix::io::Errno;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// Events taken at a time.
pub(super) const MAX_EVENTS_PER_WAIT: usize = 256;

/// An epoll instance, which watches descriptors by token. Level-triggered.
pub(super) struct Poller(OwnedFd);

impl Poller {
    /// One that watches nothing.
    pub fn new() -> Result<Poller, Errno> {
        epoll::create(epoll::CreateFlags::CLOEXEC).map(Poller)
    }

    /// Watches a descriptor. It is not watched any more once it is closed everywhere.
    pub fn add(&self, fd: impl AsFd, token: Token, flags: EventFlags) -> Result<(), Errno> {
        epoll::add(&self.0, fd, EventData::new_u64(token.0), flags)
    }

    /// Changes what a descriptor is watched for. False where it is not watched.
    pub fn modify(&self, fd: impl AsFd, token: Token, flags: EventFlags) -> bool {
        epoll::modify(&self.0, fd, EventData::new_u64(token.0), flags).is_ok()
    }

    /// Watches a descriptor no more: one that goes on elsewhere would stay, although it is closed here.
    pub fn remove(&self, fd: impl AsFd) {
        let _ = epoll::delete(&self.0, fd); // it may not be watched
    }

    /// Waits for events, at most for this long; a signal ends the wait too.
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
