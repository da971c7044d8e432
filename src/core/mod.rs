//! The request engine: a state machine between the server's sockets and the decision module.
//!
//! The engine handles no wire formats and no file descriptors. Timed events go in through the methods of [`Core`]; [`Command`]s
//! come out through [`Core::next_command`]. All times are [`Micros`](crate::Micros) on the clock of the decision module, which
//! starts at [`Core::clock_start`].
//!
//! The parts of the engine, each of which owns its state:
//! - [`commands`](Command): the messages between the engine and the server;
//! - `request`, `request_table` and `attempt`: a client's request with its phase, the table of all requests, and an attempt at a
//!   worker with its phase;
//! - [`endpoint_table`]: the workers that discovery has listed, by id;
//! - [`idempotency`]: records of requests with an idempotency key;
//! - `event_queue`, `timers` and `clock`: batches of events for the decision module, timers, and conversion to Unix time;
//! - [`ledger`]: counts of how requests ended;
//! - [`transfer`]: the messages by which requests and learned state pass to a successor process.
//!
//! The server itself drives three further state machines: [`watch_liveness`] for a watch of discovery's list, [`shutdown_plan`]
//! for a graceful shutdown, and [`peer_lifecycle`] for the announcements of the other dispatchers.

mod attempt;
mod clock;
mod commands;
mod departed_requests;
pub mod endpoint_table;
mod engine;
mod event_queue;
pub mod idempotency;
mod job_labels;
pub mod ledger;
pub mod peer_lifecycle;
mod request;
mod request_table;
pub mod send_gate;
pub mod shutdown_plan;
mod timers;
pub mod transfer;
pub mod watch_liveness;

pub use attempt::AttemptId;
pub use clock::UnixMicros;
pub use commands::{
    AttemptOutcome, Command, DownstreamId, FinalResponse, JobStatus, NewRequest, PersistOutcome, RecordTicket,
};
pub use engine::Core;
pub use request::RequestId;
pub use timers::TimerToken;
