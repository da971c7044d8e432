//! The signals that the process handles.

use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::pipe::{PipeFlags, pipe_with};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook::{flag, low_level::pipe};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The reloads and shutdowns that signals have requested. Each signal sets its flag before it wakes the event loop, so that two
/// signals in quick succession, in either order, are both handled. The loop is woken through a pipe and not through a socket
/// pair, because some environments allow a process to create only TCP and UDP sockets over IPv4.
pub(in crate::server) struct Signals {
    woken: OwnedFd,
    is_reload_requested: Arc<AtomicBool>,
    is_shutdown_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers of SIGHUP (reload), SIGTERM and SIGINT (shutdown), and SIGXFSZ (ignored).
    ///
    /// # Errors
    /// If the system cannot create the pipe or install a handler.
    pub fn register() -> std::io::Result<Signals> {
        let (woken, waker) = pipe_with(PipeFlags::NONBLOCK | PipeFlags::CLOEXEC)?;
        let is_reload_requested = Arc::<AtomicBool>::default();
        let is_shutdown_requested = Arc::<AtomicBool>::default();
        let handled = [
            (SIGHUP, &is_reload_requested),
            (SIGTERM, &is_shutdown_requested),
            (SIGINT, &is_shutdown_requested),
        ];
        for (signal, is_requested) in handled {
            flag::register(signal, is_requested.clone())?;
            pipe::register(signal, waker.try_clone()?)?;
        }
        // With SIGXFSZ handled, a write beyond the file size limit returns an error and does not end the process.
        flag::register(SIGXFSZ, Arc::default())?;
        Ok(Signals { woken, is_reload_requested, is_shutdown_requested })
    }

    /// Empties the pipe, so that the next signal wakes the event loop again.
    pub fn clear_wakeups(&self) {
        let mut buffer = [0; 64];
        while matches!(rustix::io::read(&self.woken, &mut buffer), Ok(read) if read > 0) {}
    }

    /// Returns whether a shutdown has been requested since the last call of this function.
    pub fn take_shutdown(&self) -> bool {
        self.is_shutdown_requested.swap(false, Ordering::Relaxed)
    }

    /// Returns whether a reload has been requested since the last call of this function.
    pub fn take_reload(&self) -> bool {
        self.is_reload_requested.swap(false, Ordering::Relaxed)
    }
}

impl AsFd for Signals {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.woken.as_fd()
    }
}
