//! Test doubles for the peers of the dispatcher: clients, workers and discovery.
//!
//! The doubles are implemented from the public descriptions of the protocol and of HTTP, independently of the program. All of
//! them listen on loopback, at ports that the system picks. They panic if a test cannot continue.
//!
//! - [`DispatcherProcess`] runs the built program, which connects to [`FakeWorker`] and [`FakeDiscovery`].
//! - [`send`], [`job_request`] and [`read_reply`] implement clients.
//! - [`site`] has the configuration of the test deployment.
//! - [`soak`] plays random, overlapping faults over many dispatchers and thousands of workers, and checks every request.
//! - [`fleet`] runs many dispatchers with relays on all of their connections, and audits the traffic.

mod discovery;
pub mod fleet;
mod http;
mod job_status;
mod process;
pub mod site;
pub mod soak;
mod timestamp;
mod wait;
mod worker;

pub use discovery::{FakeDiscovery, ScriptedResponse, WATCH_RESPONSE_HEAD, list_response};
pub use http::{
    HttpReply, chunk, connect, is_closed, job_request, read_next_reply, read_reply, send, simple_job,
    status_callback_request,
};
pub use process::{DispatcherBuilder, DispatcherProcess, program_path};
pub use timestamp::{micros_since, timestamp_fraction};
pub use wait::{WAIT_TIMEOUT, wait_for_connection_attempt, wait_until};
pub use worker::FakeWorker;
