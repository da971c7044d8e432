//! Signals, and reload: the new configuration that SIGHUP asks for.
//!
//! 1. The configuration is read again and checked, also by the membership and the core; one that is out of order changes
//!    nothing.
//! 2. The core takes the new settings, then the network side its budget and classes.
//! 3. Where the peers have changed, this dispatcher's place among them is taken anew; where discovery has moved, the calls to
//!    the service before are dropped and the new one is called.

use crate::config::Config;
use crate::server::Server;
use crate::server::budget::Budget;
use crate::server::idempotency_store;
use rustix::fd::OwnedFd;
use rustix::pipe::{PipeFlags, pipe_with};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook::{flag, low_level::pipe};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What signals have asked for. Each raises its flag before it wakes the loop, so that two close together, in
/// either order, are both seen. The loop is woken through a pipe, not a socket pair: on the fleet's bench only TCP
/// and UDP sockets over IPv4 may be made (STANDING, "In step with the bench").
pub(in crate::server) struct Signals {
    pub woken: OwnedFd,
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl Signals {
    pub fn register() -> std::io::Result<Signals> {
        let (woken, waker) = pipe_with(PipeFlags::NONBLOCK | PipeFlags::CLOEXEC)?;
        let (reload, stop) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        for (signal, raised) in [(SIGHUP, &reload), (SIGTERM, &stop), (SIGINT, &stop)] {
            flag::register(signal, raised.clone())?;
            pipe::register(signal, waker.try_clone()?)?;
        }
        // A file at its limit is an error of the write that meets it, not the end of the program.
        flag::register(SIGXFSZ, Arc::default())?;
        Ok(Signals { woken, reload, stop })
    }
}

impl Server {
    /// A signal has come.
    pub(in crate::server) fn on_signal(&mut self) {
        let mut buffer = [0; 64];
        while matches!(rustix::io::read(&self.signals.woken, &mut buffer), Ok(read) if read > 0) {}
        if self.signals.stop.swap(false, Ordering::Relaxed) {
            self.start_shutdown();
            self.fleet_leaves();
        }
        // Also while shutting down: what discovery sends until the end still counts.
        if self.signals.reload.swap(false, Ordering::Relaxed) {
            self.reload();
        }
    }

    /// Reads the configuration again. One that is out of order changes nothing.
    fn reload(&mut self) {
        match self.load_new_config() {
            Ok(config) => self.apply_config(config),
            Err(why) => {
                self.metrics.bad_reloads += 1;
                tracing::warn!("reload: {why}; the old configuration stays");
            }
        }
    }

    /// The new configuration, once the core has taken its settings; an error is a text for the log.
    fn load_new_config(&mut self) -> Result<Config, String> {
        let mut config = self.config.reread(self.core.names()).map_err(|error| error.to_string())?;
        let names = std::mem::take(&mut config.names);
        self.fleet_could_begin(&config).map_err(|error| error.to_string())?;
        self.core.reconfigure(config.settings.clone(), names).map_err(|error| error.to_string())?;
        Ok(config)
    }

    fn apply_config(&mut self, config: Config) {
        self.metrics.reloads += 1;
        tracing::info!("reloaded: discovery {}", config.discovery);
        self.classes = config.settings.classes.clone();
        let reserved = if self.notes.is_some() { idempotency_store::FDS } else { 0 };
        self.budget = Budget::new(config.limits, reserved);
        let has_discovery_moved = config.discovery != self.config.discovery;
        let old = std::mem::replace(&mut self.config, config);
        let own_place = self.config.settings.me;
        if own_place != old.settings.me || self.config.peers != old.peers {
            self.standing.renumber(&old.peers, &self.config);
            self.fleet_speaks_again();
        }
        if has_discovery_moved {
            self.leave_discovery();
            self.core.on_discovery_moved();
        }
        self.watch_retuned();
    }
}
