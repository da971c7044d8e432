//! The request engine: a state machine between the server's sockets and the decision module.
//!
//! It knows no wire format and no file descriptor. Timed events go in through the methods of [`Core`]; [`Command`]s come out
//! through [`Core::next_command`]. All times are [`Micros`](crate::Micros) on the module's clock, which starts at
//! [`Core::clock_start`].
//!
//! The parts of the engine, each of which owns its state:
//! - [`commands`](Command): the messages in and out;
//! - `request` and `attempt`: a client's request and its phase, an attempt at a worker and its phase;
//! - [`endpoint_table`]: the workers that discovery has listed, by number;
//! - [`idempotency`]: records of requests with an idempotency key;
//! - `event_queue`, `timers` and `clock`: batches of events for the decision module, what is due, and Unix time;
//! - [`ledger`]: counts of how requests ended;
//! - [`transfer`]: the form in which requests and learned state pass to a successor process.
//!
//! Three state machines stand beside it, which the server drives itself: [`watch_liveness`] of a watch of discovery's list,
//! [`shutdown_plan`] of a graceful shutdown, and [`peer_lifecycle`] of what the other dispatchers announce.

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
mod timers;
pub mod transfer;
pub mod watch_liveness;

pub use commands::{
    AttemptOutcome, Command, FinalResponse, JobStatus, NewRequest, PersistOutcome, RecordTicket,
};
pub use engine::Core;
pub use request::RequestId;
pub use timers::TimerToken;
