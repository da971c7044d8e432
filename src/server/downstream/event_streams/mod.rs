//! Event streams: jobs apart from their clients' connections. What `mothproxy_streams` decides is written here, and nothing is
//! decided.
//!
//! A client submits a job and gets its id and a secret token; with those it watches the job's events, on as many connections
//! as it likes. [`watchers`] serves these, [`transfer`] moves jobs to another process.

mod transfer;
mod watchers;

use crate::config::SseSettings;
use crate::core::{FinalResponse, NewRequest, RequestId};
use crate::policy::interface::Micros;
use crate::protocol::platform::{RawRequest, Reject};
use crate::protocol::{admin::StreamMetrics, watch};
use crate::server::Server;
use crate::server::connection::Connection;
use crate::server::tokens::{STREAM_SWEEP_TIMER, Token};
use mothproxy_streams::{Effect, JobId, Limits, Relay, WatcherId};
use std::collections::HashMap;
use std::rc::Rc;

/// The core's number of the client of a request that no connection waits for: this and the job's number.
pub(in crate::server) const JOB_FLAG: u64 = 1 << 63;
/// Time passes for the relay this often.
const SWEEP_INTERVAL: Micros = 500_000;

/// An event as it was written to a watcher.
struct EncodedEvent {
    job: JobId,
    event_id: u64,
    frame: watch::Frame,
    bytes: Rc<Vec<u8>>,
}

/// Jobs and their watchers, where the SSE address is on.
pub(in crate::server) struct EventStreams {
    relay: Relay,
    /// Pages of these origins may use the address.
    origins: Vec<String>,
    /// The requests of jobs that are open.
    requests: HashMap<JobId, RequestId>,
    /// Connections by watcher.
    tokens: HashMap<WatcherId, Token>,
    is_sweep_scheduled: bool,
    /// What the relay wants done at the end of the turn.
    effects: Vec<Effect>,
    /// The event that was encoded last: a job's watchers get the same bytes.
    last_encoded: Option<EncodedEvent>,
    /// Jobs submitted so far.
    submitted: u64,
}

impl EventStreams {
    /// Without a job.
    pub fn new(settings: SseSettings) -> EventStreams {
        let limits = Limits { streams_per_tenant: settings.streams_per_tenant, ..Limits::default() };
        EventStreams {
            relay: Relay::new(limits),
            origins: settings.origins,
            requests: HashMap::new(),
            tokens: HashMap::new(),
            is_sweep_scheduled: false,
            effects: Vec::new(),
            last_encoded: None,
            submitted: 0,
        }
    }
}

/// Random bytes that nobody can guess; `None` where the system gives none.
fn random_bytes<const N: usize>() -> Option<[u8; N]> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).ok()?;
    Some(bytes)
}

impl Server {
    /// Takes a job whose client will watch it later, and writes its id and token.
    ///
    /// # Errors
    /// Why it is refused.
    pub(super) fn submit_job(
        &mut self,
        connection: &mut Connection,
        raw: RawRequest,
        mut request: NewRequest,
        keep_alive: bool,
    ) -> Result<(), Reject> {
        let ends_unwatched = watch::ends_unwatched(&raw).ok_or(Reject::BadRequest)?;
        let streams = self.event_streams.as_mut().ok_or(Reject::NoSuchPath)?;
        let cors = watch::cors(&raw, &streams.origins);
        let public_id = random_bytes().map(u64::from_le_bytes);
        let secret = random_bytes().map(u128::from_le_bytes);
        let (public_id, secret) = public_id.zip(secret).ok_or(Reject::Overloaded)?;
        let tenant = request.tenant.map_or(0, |tenant| 1 + u32::from(tenant.0));
        let job = streams.relay.take(self.now, public_id, secret, tenant, ends_unwatched);
        let job = job.map_err(|_| Reject::Overloaded)?;
        request.downstream = JOB_FLAG | job;
        let Some(request_id) = self.core.accept(self.now, request) else {
            streams.relay.carry(job);
            return Err(Reject::DuplicateId);
        };
        streams.requests.insert(job, request_id);
        streams.submitted += 1;
        self.pending.insert(request_id, raw);
        self.schedule_stream_sweep();
        connection.outbox.push(watch::handed_in(public_id, secret, &cors, keep_alive));
        Ok(())
    }

    /// A job has started, or this share of it is done.
    pub(in crate::server) fn publish_job_progress(&mut self, job: JobId, share: Option<f64>) {
        let Some(streams) = &mut self.event_streams else { return };
        let effects = &mut streams.effects;
        match share {
            None => streams.relay.publish(job, "started", "{}".to_owned(), false, effects),
            Some(share) => {
                let data = serde_json::json!({ "share": share }).to_string();
                streams.relay.publish(job, "progress", data, true, effects);
            }
        }
    }

    /// A job has its final response.
    pub(in crate::server) fn finish_job(&mut self, job: JobId, response: FinalResponse) {
        let now = self.now;
        let Some(streams) = &mut self.event_streams else { return };
        streams.requests.remove(&job);
        let (name, data) = watch::final_event(response);
        streams.relay.finish(now, job, name, data, &mut streams.effects);
        self.schedule_stream_sweep();
    }

    fn schedule_stream_sweep(&mut self) {
        let Some(streams) = &mut self.event_streams else { return };
        if !streams.is_sweep_scheduled && streams.relay.next_due().is_some() {
            streams.is_sweep_scheduled = true;
            self.core.set_timer(self.now + SWEEP_INTERVAL, STREAM_SWEEP_TIMER);
        }
    }

    /// Lets time pass for jobs and watchers.
    pub(in crate::server) fn on_stream_sweep_timer(&mut self) {
        let now = self.now;
        let Some(streams) = &mut self.event_streams else { return };
        streams.is_sweep_scheduled = false;
        streams.relay.sweep(now, &mut streams.effects);
        self.run_stream_effects();
        self.schedule_stream_sweep();
    }

    /// What the admin address shows of streams, where they are on.
    pub(in crate::server) fn stream_metrics(&self) -> Option<StreamMetrics> {
        let streams = self.event_streams.as_ref()?;
        let (jobs, watchers) = streams.relay.counts();
        Some(StreamMetrics {
            jobs,
            watchers,
            bytes: streams.relay.bytes(),
            handed_in: streams.submitted,
            missed: streams.relay.missed,
            coalesced: streams.relay.coalesced,
            evicted: streams.relay.evicted,
        })
    }
}
