//! The process's own life: graceful shutdown and drain, reload of the configuration, hot restart.

pub(in crate::server) mod hot_restart;
pub(in crate::server) mod reload;
pub(in crate::server) mod shutdown;
