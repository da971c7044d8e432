#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

pub mod config;
pub mod core;
pub mod fleet;
pub mod front;
pub mod http;
pub mod interface;
pub mod invariant;
pub mod net;
pub mod rules;
pub mod settings;
pub mod share;
mod state;
pub mod wire;

pub use interface::*;
pub use rules::Dispatcher;
