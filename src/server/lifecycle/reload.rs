//! The handling of signals, and the reload of the configuration at SIGHUP.
//!
//! 1. The configuration is read again and validated, also by the membership and the core. An invalid one changes nothing.
//! 2. The core applies the new settings, then the server computes its descriptor budget from the new limits.
//! 3. If the peers or this dispatcher's place have changed, the peer link is renumbered and the membership restarts. If the
//!    address of discovery has changed, the calls to the old service are closed and the new service is called.

use crate::config::{Config, ConfigError};
use crate::core::watch_liveness::DiscoverySettings;
use crate::fleet::FleetError;
use crate::policy::interface::SettingsError;
use crate::server::Server;
use crate::server::budget::Budget;
use crate::server::context::context;
use crate::server::idempotency_store::reserved_files;

/// Why a new configuration was rejected.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The configuration cannot be read, or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The membership cannot start with the configuration.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The decision module rejected the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl Server {
    /// Handles the signals that have arrived.
    pub(in crate::server) fn on_signal(&mut self) {
        self.signals.clear_wakeups();
        if self.signals.take_shutdown() {
            self.start_shutdown();
            self.membership.leave(&mut context!(self), &mut self.discovery);
        }
        // The configuration is reloaded during a shutdown too, because endpoint lists are needed until its end.
        if self.signals.take_reload() {
            self.reload();
        }
    }

    /// Reloads the configuration. An invalid one is logged and counted, and changes nothing.
    fn reload(&mut self) {
        match self.load_new_config() {
            Ok(config) => self.apply_config(config),
            Err(error) => {
                self.metrics.bad_reloads += 1;
                tracing::warn!(error = %error, "reload rejected, keeping the old configuration");
            }
        }
    }

    /// Reads and validates the new configuration, and applies its settings to the core.
    ///
    /// # Errors
    /// If the configuration cannot be read, or the membership or the core rejects it.
    fn load_new_config(&mut self) -> Result<Config, ReloadError> {
        let mut config = self.config.reload(self.core.names())?;
        let names = std::mem::take(&mut config.names);
        self.membership.check_restart(&config, self.clock.now())?;
        self.core.reconfigure(config.settings.clone(), names)?;
        Ok(config)
    }

    /// Switches the rest of the server to a configuration whose settings the core has applied.
    fn apply_config(&mut self, config: Config) {
        self.metrics.reloads += 1;
        tracing::info!(discovery = %config.discovery, "configuration reloaded");
        self.budget =
            Budget::new(config.limits, reserved_files(self.records.is_some()), self.budget.base_memory);
        let has_discovery_moved = config.discovery != self.config.discovery;
        let old = std::mem::replace(&mut self.config, config);
        let own_place = self.config.settings.own_place;
        if own_place != old.settings.own_place || self.config.peers != old.peers {
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
