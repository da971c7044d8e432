//! The predecessor's side. The predecessor first hands over its listening sockets, and then, step by step, each connection and
//! job as soon as no attempt for it is in flight.

use super::protocol::{HandoverMessage, send};
use crate::config::EndpointList;
use crate::core::RequestId;
use crate::policy::interface::Micros;
use crate::protocol::platform::RawRequest;
use crate::server::Server;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::{ClientConnection, Downstream};
use crate::server::tokens::{HANDOVER_TIMER, Token};
use crate::server::transferred::{TransferredExchange, request_bytes};
use crate::server::upstream::UpstreamConnection;
use std::os::fd::AsFd;

/// The interval at which the predecessor tries to hand over the connections and jobs that it still holds, in microseconds.
const HANDOVER_INTERVAL: Micros = 4_000;

/// A client's request that was removed from the core for the handover.
struct ReleasedRequest {
    exchange: TransferredExchange,
    raw: RawRequest,
}

impl Server {
    /// The successor has requested the takeover. Sends the listening sockets to the successor, which accepts connections from
    /// now on, and starts to hand over connections and jobs.
    pub(super) fn start_handover(&mut self) {
        if let Some(records) = &mut self.records {
            records.close_in_background(); // the successor waits until the store is closed
        }
        let open = self.local_open_work();
        let Some(process) = &mut self.hot_restart.peer_process else { return };
        let message = HandoverMessage::Listeners {
            has_sse: self.listeners.sse.is_some(),
            has_peers: self.peer_socket.socket().is_some(),
            is_drained: self.lifecycle.drained_since.is_some(),
            list: EndpointList {
                generation: self.core.endpoints().generation(),
                reset: true,
                rows: self.core.endpoints().rows(),
                workers_with_invalid_rows: Vec::new(),
                bad_rows: 0,
            },
            is_list_stale: self.core.endpoints().is_stale(),
            open: open.clone(),
            learned: serde_json::value::to_raw_value(&self.core.learned_state()).unwrap_or_default(),
            unix_now: Some(self.core.unix_time(self.clock.current_time())),
        };
        let mut descriptors = vec![self.listeners.platform.as_fd()];
        descriptors.extend(self.listeners.sse.as_ref().map(|sse| sse.socket.as_fd()));
        descriptors.extend(self.peer_socket.socket().map(AsFd::as_fd));
        if send(&process.link, &message, &[], &descriptors).is_err() {
            return self.on_peer_process_closed();
        }
        process.last_sent = open;
        // epoll keeps reporting descriptors that the successor also holds open, unless they are removed explicitly.
        self.listeners.hand_over(&self.reactor);
        if let Some(peers) = self.peer_socket.socket() {
            self.reactor.unwatch(peers);
        }
        self.lifecycle.has_handed_over = true;
        self.membership.suspend(&mut context!(self), &mut self.discovery);
        self.hot_restart.socket = None;
        tracing::info!(open = self.core.ledger().open(), "hot restart: handing over to the successor");
        self.core.set_timer(self.clock.now() + 1, HANDOVER_TIMER);
    }

    /// The handover timer has fired: hands over all connections and jobs that can be handed over now.
    pub(in crate::server) fn on_handover_timer(&mut self) {
        if !self.lifecycle.has_handed_over {
            return;
        }
        // The decision module's pending decisions about these requests are carried out first.
        self.core.process_batch(self.clock.now());
        self.run_commands();
        for slot in 0..self.reactor.connections().slot_count() {
            let token = self.reactor.connections().token_at(slot);
            match self.reactor.take(token) {
                Some((connection, Role::Client(client))) => self.transfer_client(token, connection, client),
                Some((connection, Role::Upstream(upstream))) => {
                    self.transfer_upstream(token, connection, upstream);
                }
                Some((connection, role)) => self.reactor.put(token, connection, role),
                None => {}
            }
        }
        self.transfer_jobs();
        self.send_open_work();
        if self.lifecycle.has_handed_over && self.has_work_to_hand_over() {
            self.core.set_timer(self.clock.now() + HANDOVER_INTERVAL, HANDOVER_TIMER);
        }
    }

    /// Whether this process still holds clients, open requests or jobs whose events the successor must have.
    fn has_work_to_hand_over(&self) -> bool {
        self.reactor.connections().clients() > 0
            || self.core.ledger().open() > 0
            || !self.stream_jobs().is_empty()
    }

    /// Reports to the successor the work that this process still holds, if it has changed.
    fn send_open_work(&mut self) {
        let open = self.local_open_work();
        if let Some(process) =
            self.hot_restart.peer_process.as_mut().filter(|process| process.last_sent != open)
            && send(&process.link, &HandoverMessage::OpenWork(open.clone()), &[], &[]).is_ok()
        {
            process.last_sent = open;
        }
    }

    /// Hands over a client connection without unwritten bytes if it is idle, has read a part of a request, or awaits a response
    /// to a request that has no attempt in flight. Otherwise this process keeps the connection.
    fn transfer_client(&mut self, token: Token, connection: Connection, mut client: ClientConnection) {
        let awaited = client.awaited_request();
        let now = self.clock.now();
        let is_in_flight = awaited.is_some_and(|request_id| self.upstream.has_attempt_of(request_id, now));
        let is_transferable = client.is_reading() || awaited.is_some();
        if is_in_flight || !connection.write_queue.is_empty() || !is_transferable {
            return self.reactor.put(token, connection, Role::Client(client));
        }
        let mut transferred = client.to_transferred(now, self.polls.earliest_unreported());
        let mut raw = None;
        if let Some(request_id) = awaited {
            let Some(released) = self.release_request(request_id, &client) else {
                return self.reactor.put(token, connection, Role::Client(client));
            };
            transferred.request = Some(released.exchange);
            raw = Some(released.raw);
        }
        let mut bytes: Vec<&[u8]> = raw.iter().flat_map(request_bytes).collect();
        bytes.push(&connection.read_buffer);
        let message = HandoverMessage::Client(transferred);
        let is_sent = self.hot_restart.send(&message, &bytes, &[connection.stream.as_fd()]);
        if let Some(request_id) = awaited {
            self.pending.remove(request_id);
        }
        if is_sent {
            self.reactor.unwatch(&connection.stream);
            return self.clients.release(&mut context!(self), token, connection, client);
        }
        // The link is full or closed: this process keeps the request, under a new id.
        if let (HandoverMessage::Client(transferred), Some(raw)) = (message, raw)
            && let Some(exchange) = transferred.request
            && let Some(request_id) = self.core.adopt(exchange.request, Downstream::Connection(token).to_id())
        {
            self.pending.insert(request_id, raw);
            client.replace_awaited_request(request_id);
        }
        self.reactor.put(token, connection, Role::Client(client));
    }

    /// Removes a request from the core, to be handed over with its client's connection. Returns `None` if the request is unknown
    /// or the core cannot release it.
    fn release_request(
        &mut self,
        request_id: RequestId,
        client: &ClientConnection,
    ) -> Option<ReleasedRequest> {
        let raw = self.pending.get(request_id).cloned()?;
        let request = self.core.transfer(request_id)?;
        let exchange = TransferredExchange {
            keep_alive: client.keeps_alive(),
            has_stream_begun: client.has_stream_begun(),
            has_broken_attempt: self.pending.has_broken_attempt(request_id),
            ..TransferredExchange::new(request, &raw)
        };
        Some(ReleasedRequest { exchange, raw })
    }

    /// Hands over a connection to a worker if the connection is idle and may carry an exchange. Otherwise this process keeps it.
    fn transfer_upstream(&mut self, token: Token, connection: Connection, upstream: UpstreamConnection) {
        let is_unused = connection.read_buffer.is_empty() && connection.write_queue.is_empty();
        let worker = upstream.rested_worker(self.clock.now()).filter(|_| is_unused);
        let endpoint = worker.and_then(|worker| Some((worker, self.core.endpoints().get(worker)?)));
        let Some((worker, endpoint)) = endpoint else {
            return self.reactor.put(token, connection, Role::Upstream(upstream));
        };
        let message = HandoverMessage::Upstream {
            worker: endpoint.instance_id().to_owned(),
            idle_time_left: connection.timer.map_or(0, |at| at.saturating_sub(self.clock.now())),
        };
        if self.hot_restart.send(&message, &[], &[connection.stream.as_fd()]) {
            self.reactor.unwatch(&connection.stream);
            self.upstream.remove_idle(worker, token);
            return self.reactor.close(&mut self.core, token, connection, Role::Upstream(upstream));
        }
        self.reactor.put(token, connection, Role::Upstream(upstream));
    }

    /// Hands over the jobs of the event streams, as many as the link has room for. Their watchers reconnect to the successor.
    fn transfer_jobs(&mut self) {
        for job in self.stream_jobs() {
            if !self.hot_restart.can_send() {
                return;
            }
            let Some(released) = self.release_job(job) else { continue };
            let bytes: Vec<&[u8]> = released.raw.iter().flat_map(request_bytes).collect();
            let message = HandoverMessage::Job(released.job);
            let is_sent = self.hot_restart.send(&message, &bytes, &[]);
            if let Some(request_id) = released.request_id {
                self.pending.remove(request_id);
            }
            if !is_sent && let HandoverMessage::Job(job) = message {
                return self.adopt_job(job, released.raw); // the link is full or closed: this process keeps the job
            }
        }
    }
}
