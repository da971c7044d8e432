//! Signals, and the new configuration that SIGHUP asks for.

use crate::core::watch_liveness::DiscoverySettings;
use crate::server::{Budget, Server};
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
    pub(in crate::server) fn signalled(&mut self) {
        let mut buf = [0; 64];
        while matches!(rustix::io::read(&self.signals.woken, &mut buf), Ok(n) if n > 0) {}
        if self.signals.stop.swap(false, Ordering::Relaxed) {
            self.stop();
            self.leave_fleet();
        }
        // Also while stopping: what discovery tells until the end still counts.
        if self.signals.reload.swap(false, Ordering::Relaxed) {
            self.reload();
        }
    }

    /// Rereads the configuration. One that is out of order changes nothing.
    fn reload(&mut self) {
        let taken = self.config.reload(self.core.names()).map_err(|e| e.to_string()).and_then(|mut new| {
            let names = std::mem::take(&mut new.names);
            self.check_fleet_restart(&new).map_err(|e| e.to_string())?;
            self.core.reconfigure(new.settings.clone(), names).map_err(|e| e.to_string())?;
            Ok(new)
        });
        let new = match taken {
            Ok(new) => new,
            Err(why) => {
                self.metrics.bad_reloads += 1;
                return tracing::warn!("reload: {why}; the old configuration stays");
            }
        };
        self.metrics.reloads += 1;
        tracing::info!("reloaded: discovery {}", new.discovery);
        self.classes = new.settings.classes.clone();
        self.budget = Budget::of(
            new.limits,
            if self.records.is_some() { crate::server::idempotency_store::MAX_OPEN_FILES } else { 0 },
        );
        let moved = new.discovery != self.config.discovery;
        let regroup = (new.settings.me, &new.peers) != (self.config.settings.me, &self.config.peers);
        let old = std::mem::replace(&mut self.config, new);
        if regroup {
            self.peers.renumber(&old.peers, &self.config);
            self.restart_fleet();
        }
        if moved {
            self.on_discovery_moved();
            self.core.on_discovery_moved();
        }
        self.discovery.reconfigure(&mut self.core, self.now, DiscoverySettings::from(&self.config.settings));
    }
}
