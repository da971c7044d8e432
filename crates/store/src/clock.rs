//! The store's clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A point in time: milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// Unix time in milliseconds that never goes back, not even across restarts of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    base: UnixMillis,
    started: Instant,
}

impl Clock {
    /// A clock that begins at the system's time, or at `floor` if that is later.
    pub fn new(floor: UnixMillis) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        Clock { base: unix.max(floor), started: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> UnixMillis {
        self.base + self.started.elapsed().as_millis() as u64
    }
}
