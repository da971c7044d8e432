//! Test doubles for what surrounds the dispatcher: clients, workers and discovery, written from the protocol's and HTTP's
//! public descriptions. All of them listen on loopback at ports that the system picks. They panic where a test cannot go on.
//!
//! - [`DispatcherProcess`] runs the built program; [`FakeWorker`] and [`FakeDiscovery`] are what it calls;
//! - [`send`], [`job_request`] and [`read_reply`] play its clients;
//! - [`site`] is the configuration that they share;
//! - [`fleet`] runs many dispatchers with relays between them and everything else, and audits what crossed the wires.

mod discovery;
pub mod fleet;
mod http;
mod job_status;
mod process;
pub mod site;
mod timestamp;
mod wait;
mod worker;

pub use discovery::{FakeDiscovery, ScriptedResponse, WATCH_RESPONSE_HEAD, list_response};
pub use http::{
    HttpReply, chunk, connect, is_closed, job_request, read_next_reply, read_reply, send, simple_job,
    status_update_request,
};
pub use process::{DispatcherBuilder, DispatcherProcess, program_path};
pub use timestamp::{micros_since, timestamp_fraction};
pub use wait::{WAIT_TIMEOUT, wait_for_connection_attempt, wait_until};
pub use worker::FakeWorker;
