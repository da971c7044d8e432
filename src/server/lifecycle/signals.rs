//! The signals that the process handles.

use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::pipe::{PipeFlags, pipe_with};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook::{flag, low_level::pipe};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The requests that signals have made. Each signal raises its flag before it wakes the loop, so that two signals close
/// together, in either order, are both seen. The loop is woken through a pipe, not a socket pair: on the fleet's bench only
/// TCP and UDP sockets over IPv4 may be created (STANDING, "In step with the bench").
pub(in crate::server) struct Signals {
    woken: OwnedFd,
    is_reload_requested: Arc<AtomicBool>,
    is_shutdown_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers of SIGHUP (reload), SIGTERM and SIGINT (shutdown), and SIGXFSZ (ignored).
    ///
    /// # Errors
    /// If the system gives no pipe or refuses a handler.
    pub fn register() -> std::io::Result<Signals> {
        let (woken, waker) = pipe_with(PipeFlags::NONBLOCK | PipeFlags::CLOEXEC)?;
        let is_reload_requested = Arc::<AtomicBool>::default();
        let is_shutdown_requested = Arc::<AtomicBool>::default();
        let handled = [
            (SIGHUP, &is_reload_requested),
            (SIGTERM, &is_shutdown_requested),
            (SIGINT, &is_shutdown_requested),
        ];
        for (signal, raised) in handled {
            flag::register(signal, raised.clone())?;
            pipe::register(signal, waker.try_clone()?)?;
        }
        // If a file reaches its size limit, the write fails and the program continues.
        flag::register(SIGXFSZ, Arc::default())?;
        Ok(Signals { woken, is_reload_requested, is_shutdown_requested })
    }

    /// Empties the pipe, so that the next signal wakes the loop again.
    pub fn clear_wakeups(&self) {
        let mut buffer = [0; 64];
        while matches!(rustix::io::read(&self.woken, &mut buffer), Ok(read) if read > 0) {}
    }

    /// Whether a shutdown has been requested since this was called last.
    pub fn take_shutdown(&self) -> bool {
        self.is_shutdown_requested.swap(false, Ordering::Relaxed)
    }

    /// Whether a reload has been requested since this was called last.
    pub fn take_reload(&self) -> bool {
        self.is_reload_requested.swap(false, Ordering::Relaxed)
    }
}

impl AsFd for Signals {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.woken.as_fd()
    }
}
