#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

pub mod config;
pub mod core;
pub mod fleet;
pub mod http;
pub mod policy;
pub mod protocol;
pub mod server;
pub mod settings;

pub use policy::Dispatcher;
pub use policy::interface::*;
