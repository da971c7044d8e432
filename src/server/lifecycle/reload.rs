//! Signals, and the reload of the configuration at SIGHUP.
//!
//! 1. The configuration is read again and checked, also by the membership and the core; one that is out of order changes
//!    nothing.
//! 2. The core takes the new settings, then the network side its budget and classes.
//! 3. Where the peers have changed, this dispatcher's place among them is taken anew; where discovery has moved, the calls to
//!    the service before are dropped and the new one is called.

use crate::config::{Config, ConfigError};
use crate::core::watch_liveness::DiscoverySettings;
use crate::fleet::FleetError;
use crate::policy::interface::SettingsError;
use crate::server::Server;
use crate::server::budget::Budget;
use crate::server::context::context;
use crate::server::idempotency_store::reserved_files;

/// Why a new configuration was not taken.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// It cannot be read, or is out of order.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The membership cannot begin under it.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The policy did not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl Server {
    /// A signal has come.
    pub(in crate::server) fn on_signal(&mut self) {
        self.signals.clear_wakeups();
        if self.signals.take_shutdown() {
            self.start_shutdown();
            self.membership.leave(&mut context!(self), &mut self.discovery);
        }
        // Also while shutting down: what discovery sends until the end still counts.
        if self.signals.take_reload() {
            self.reload();
        }
    }

    /// Reads the configuration again. One that is out of order changes nothing.
    fn reload(&mut self) {
        match self.load_new_config() {
            Ok(config) => self.apply_config(config),
            Err(why) => {
                self.metrics.bad_reloads += 1;
                tracing::warn!(error = %why, "reload rejected, keeping the old configuration");
            }
        }
    }

    /// The new configuration, once the core has taken its settings.
    fn load_new_config(&mut self) -> Result<Config, ReloadError> {
        let mut config = self.config.reload(self.core.names())?;
        let names = std::mem::take(&mut config.names);
        self.membership.check_restart(&config, self.clock.now())?;
        self.core.reconfigure(config.settings.clone(), names)?;
        Ok(config)
    }

    /// Switches to a configuration that the core has taken.
    fn apply_config(&mut self, config: Config) {
        self.metrics.reloads += 1;
        tracing::info!(discovery = %config.discovery, "configuration reloaded");
        self.budget = Budget::new(config.limits, reserved_files(self.records.is_some()));
        let has_discovery_moved = config.discovery != self.config.discovery;
        let old = std::mem::replace(&mut self.config, config);
        let own_place = self.config.settings.own_index;
        if own_place != old.settings.own_index || self.config.peers != old.peers {
            self.peers.renumber(&mut self.peer_socket, &old.peers, &self.config);
            self.membership.restart(&mut context!(self), &mut self.discovery);
        }
        if has_discovery_moved {
            self.discovery.on_service_moved(&mut context!(self), &mut self.membership);
            self.core.on_discovery_moved();
        }
        self.discovery.reconfigure(
            &mut self.core,
            self.clock.now(),
            DiscoverySettings::from(&self.config.settings),
        );
    }
}
