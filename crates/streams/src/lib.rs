//! Event streams of jobs, independent of the connections that watch them.
//!
//! An [`EventBroker`] keeps a bounded log of events for each job. A watcher is a position in such a log. A client that
//! reconnects continues after the last event that it received. The broker has no sockets and reads no clock: time is an
//! argument, in microseconds. The caller pulls a watcher's next event when that watcher's connection is writable.
//!
//! Source: HTML standard, "Server-sent events" (event ids, `Last-Event-ID`, 204 ends reconnecting); docs/design/streams.md.
//!
//! ```
//! use mothproxy_streams::{EventBroker, Limits, NewJob, Next, PublicJobId, WatchToken};
//!
//! let mut broker = EventBroker::new(Limits::default());
//! let (public_id, token) = (PublicJobId(1), WatchToken(77));
//! let job = broker.add_job(0, NewJob { public_id, token, tenant: 0, ends_unwatched: false })?;
//! let watcher = broker.watch(public_id, token, None)?;
//! broker.finish(10, job, "done", "{}".to_owned(), &mut Vec::new());
//! assert!(matches!(broker.pull(watcher), Next::Event { event, is_final: true, .. } if event.name == "done"));
//! # Ok::<(), mothproxy_streams::BrokerError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod broker;
mod error;
mod event_log;
mod ids;
mod job;
mod limits;
mod metrics;
mod stream_counts;
mod watcher;

pub use broker::{Effect, EventBroker, Next};
pub use error::BrokerError;
pub use event_log::JobEvent;
pub use ids::{JobId, PublicJobId, WatchToken};
pub use job::{NewJob, TransferredJob};
pub use limits::Limits;
pub use metrics::Metrics;
pub use watcher::WatcherId;

/// A point in time of the caller's monotonic clock, or a span, in microseconds.
pub type Micros = u64;
