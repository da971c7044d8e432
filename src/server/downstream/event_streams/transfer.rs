//! Handing submitted jobs over from one process to its successor in a hot restart.

use crate::core::{FinalResponse, RequestId};
use crate::protocol::event_streams;
use crate::protocol::platform::RawRequest;
use crate::server::Server;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::context::client_context;
use crate::server::downstream::event_streams::watchers::RECONNECT_DELAY;
use crate::server::downstream::{ClientState, Downstream};
use crate::server::transferred::{TransferredExchange, TransferredJob};
use mothproxy_streams::{JobId, WatcherId};

/// A job that was removed from this process's core and broker in order to hand it over.
pub(in crate::server) struct ReleasedJob {
    /// The message to the successor.
    pub job: TransferredJob,
    /// The request, if it is open: its bytes are handed over too. `request_id` is its id in this process.
    pub raw: Option<RawRequest>,
    pub request_id: Option<RequestId>,
}

/// Methods of the server, since they involve the watchers' connections, the open requests and the other process too.
impl Server {
    /// The ids of all submitted jobs.
    pub(in crate::server) fn stream_jobs(&self) -> Vec<JobId> {
        self.event_streams.as_ref().map_or(Vec::new(), |streams| streams.broker.jobs())
    }

    /// Takes a job out of this process, and ends its watchers' streams; the watchers reconnect to the successor. Returns `None`
    /// if the job cannot be handed over yet.
    pub(in crate::server) fn release_job(&mut self, job: JobId) -> Option<ReleasedJob> {
        let request_id = self.event_streams.as_ref()?.requests.get(&job).copied();
        let mut raw = None;
        let mut exchange = None;
        if let Some(request_id) = request_id {
            if self.upstream.has_attempt_of(request_id, self.clock.now()) {
                return None; // an attempt awaits its first response, reads an event stream, or is ending by a cancel
            }
            let request = self.pending.get(request_id).cloned()?;
            let transferred = self.core.transfer(request_id)?;
            exchange = Some(TransferredExchange {
                has_broken_attempt: self.pending.has_broken_attempt(request_id),
                ..TransferredExchange::new(transferred, &request)
            });
            raw = Some(request);
        }
        self.end_job_streams(job);
        let streams = self.event_streams.as_mut()?;
        let transferred_job = streams.broker.transfer(job)?;
        streams.requests.remove(&job);
        let job = TransferredJob { job: transferred_job, request: exchange };
        Some(ReleasedJob { job, raw, request_id })
    }

    /// Ends the streams of a job's watchers, and tells them to reconnect after [`RECONNECT_DELAY`].
    fn end_job_streams(&mut self, job: JobId) {
        let Some(streams) = &self.event_streams else { return };
        for watcher in streams.broker.watchers(job) {
            self.end_stream(watcher);
        }
    }

    /// Ends a watcher's stream, and tells the watcher to reconnect after [`RECONNECT_DELAY`].
    fn end_stream(&mut self, watcher: WatcherId) {
        let token = self.event_streams.as_ref().and_then(|streams| streams.token(watcher));
        match token.and_then(|token| Some((token, self.reactor.take(token)?))) {
            Some((token, (mut connection, Role::Client(mut client)))) => {
                if let ClientState::Watching(stream) = &client.state {
                    connection.write_queue.push(event_streams::retry(stream.framing, RECONNECT_DELAY));
                    connection.write_queue.push(stream.framing.end());
                }
                client.state = ClientState::Closing;
                self.remove_watcher(watcher);
                self.clients.advance(&mut client_context!(self), token, connection, client);
            }
            Some((token, (connection, role))) => self.reactor.put(token, connection, role),
            None => self.remove_watcher(watcher),
        }
    }

    /// Removes a watcher whose stream is over.
    fn remove_watcher(&mut self, watcher: WatcherId) {
        if let Some(streams) = &mut self.event_streams {
            streams.on_watcher_disconnected(&mut context!(self), watcher);
        }
    }

    /// Takes over a job from the predecessor, or takes back a job that could not be handed over. Counts a reject if event
    /// streams are off here.
    pub(in crate::server) fn adopt_job(&mut self, transferred: TransferredJob, raw: Option<RawRequest>) {
        let Some(streams) = &mut self.event_streams else {
            self.metrics.rejects += 1;
            return;
        };
        let Some(job) = streams.broker.restore(self.clock.now(), transferred.job) else { return };
        if let Some((exchange, raw)) = transferred.request.zip(raw) {
            self.hot_restart.mark_closed_in_peer_process(&exchange.request.name);
            match self.core.adopt(exchange.request, Downstream::Job(job).to_id()) {
                Some(request_id) => {
                    streams.requests.insert(job, request_id);
                    self.pending.insert(request_id, raw);
                    if exchange.has_broken_attempt {
                        self.pending.record_broken_attempt(request_id);
                    }
                }
                // The core cannot serve the request in this process, so the job fails at once.
                None => streams.finish_job(&mut context!(self), job, FinalResponse::Failed),
            }
        }
        streams.schedule_sweep(&mut context!(self));
    }
}
