//! The request engine: a state machine between the server's sockets and the decision module.
//!
//! It knows no wire format and no file descriptor. Timed events go in through the methods of [`Core`]; [`Command`]s come out
//! through [`Core::next_command`]. All times are [`Micros`] on the module's clock, which starts at [`Core::clock_start`].
//!
//! [`Micros`]: crate::Micros

mod attempt;
mod clock;
mod commands;
pub mod endpoint_table;
mod engine;
mod event_queue;
pub mod idempotency;
pub mod ledger;
mod names;
pub mod peer_lifecycle;
mod request;
pub mod shutdown_plan;
pub mod timers;
pub mod transfer;
pub mod watch_liveness;

pub use attempt::AttemptId;
pub use commands::{AttemptOutcome, Command, FinalResponse, JobStatus, NewRequest};
pub use engine::Core;
pub use request::RequestId;
