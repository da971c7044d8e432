//! The successor's side. At its start, the successor requests the takeover; after that it handles one message after the other.
//!
//! [`Server::on_handover_message`] is used by both sides, because the predecessor also receives messages, such as status
//! callbacks and the results of writing records.

use super::protocol::{HandoverMessage, OpenWork, Packet, ReceiveError, packet_socket, receive, send};
use crate::config::EndpointList;
use crate::core::transfer::LearnedState;
use crate::core::{FinalResponse, PersistOutcome, UnixMicros};
use crate::protocol::platform;
use crate::server::Server;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::context::client_context;
use crate::server::downstream::{ClientConnection, Downstream};
use crate::server::listeners::InheritedListeners;
use crate::server::transferred::{TransferredClient, split_request};
use rustix::event::epoll::EventFlags;
use rustix::io::{Errno, retry_on_intr};
use rustix::net::SocketAddrUnix;
use rustix::net::sockopt::{Timeout, set_socket_timeout};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long the successor waits for the predecessor's answer before it starts without a handover. A process must be ready within
/// 6 s of its start.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The sockets that the successor receives at its start.
#[derive(Default)]
pub(in crate::server) struct InheritedSockets {
    pub listeners: InheritedListeners,
    pub peers: Option<UdpSocket>,
}

/// Everything that the successor receives at its start.
pub(in crate::server) struct PredecessorState {
    pub sockets: InheritedSockets,
    /// The last endpoint list that the predecessor received.
    pub list: EndpointList,
    /// Whether the list must still be revalidated.
    pub is_list_stale: bool,
    /// The state that the decision module has learned; `None` if this version cannot read it.
    pub learned: Option<LearnedState>,
    /// The link to the predecessor.
    pub(super) link: OwnedFd,
    /// The Unix time of the predecessor when it handed over, in microseconds; `None` if its version does not send it.
    pub unix_now: Option<UnixMicros>,
    /// Whether the predecessor is draining.
    pub(super) is_drained: bool,
    /// The work that the predecessor still holds.
    pub(super) open: OpenWork,
}

/// The result of a takeover request.
pub(in crate::server) enum TakeoverResult {
    /// No other process serves this dispatcher.
    NoPredecessor,
    /// Another process serves, or has just stopped, and hands nothing over. Its address may soon be free.
    Refused,
    /// Everything that the predecessor handed over.
    Inherited(Box<PredecessorState>),
}

impl TakeoverResult {
    /// Returns what the predecessor handed over; `None` if it handed nothing over.
    pub fn into_predecessor_state(self) -> Option<PredecessorState> {
        match self {
            TakeoverResult::Inherited(predecessor_state) => Some(*predecessor_state),
            TakeoverResult::Refused | TakeoverResult::NoPredecessor => None,
        }
    }
}

/// Requests a takeover from the process whose restart socket is at `path`. Blocks for at most [`TAKEOVER_TIMEOUT`] until the
/// answer arrives.
pub(in crate::server) fn request_takeover(path: &Path) -> TakeoverResult {
    let Some((link, address)) = packet_socket().ok().zip(SocketAddrUnix::new(path).ok()) else {
        return TakeoverResult::NoPredecessor;
    };
    match retry_on_intr(|| rustix::net::connect(&link, &address)) {
        Ok(()) => {}
        // The queue of the predecessor's socket is full.
        Err(Errno::AGAIN) => return TakeoverResult::Refused,
        // There is no socket file, or its process has ended.
        Err(_) => return TakeoverResult::NoPredecessor,
    }
    let predecessor_state = exchange_hello(&link).and_then(|packet| parse_predecessor_state(link, packet));
    match predecessor_state {
        Some(predecessor_state) => TakeoverResult::Inherited(Box::new(predecessor_state)),
        None => {
            tracing::info!("hot restart: the running process does not hand over");
            TakeoverResult::Refused
        }
    }
}

/// Sends `Hello` and waits for the answer, for at most [`TAKEOVER_TIMEOUT`]. A signal that stops this process for a while
/// interrupts the wait, which goes on then.
fn exchange_hello(link: &OwnedFd) -> Option<Packet> {
    set_socket_timeout(link, Timeout::Recv, Some(TAKEOVER_TIMEOUT)).ok()?;
    send(link, &HandoverMessage::Hello, &[], &[]).ok()?;
    let ends_at = Instant::now() + TAKEOVER_TIMEOUT;
    loop {
        match receive(link) {
            Err(ReceiveError::System(Errno::INTR)) if Instant::now() < ends_at => {}
            answer => return answer.ok().flatten(),
        }
    }
}

/// Reads the predecessor's answer. The descriptors have a fixed order: the platform's listener, the SSE listener if there is
/// one, the peer socket if there is one. Returns `None` if the answer is another message.
fn parse_predecessor_state(link: OwnedFd, packet: Packet) -> Option<PredecessorState> {
    let HandoverMessage::Listeners {
        has_sse,
        has_peers,
        is_drained,
        list,
        is_list_stale,
        open,
        learned,
        unix_now,
    } = packet.message
    else {
        return None;
    };
    let mut descriptors = packet.descriptors.into_iter();
    let platform = descriptors.next().map(TcpListener::from);
    let sse = if has_sse { descriptors.next().map(TcpListener::from) } else { None };
    let peers = if has_peers { descriptors.next().map(UdpSocket::from) } else { None };
    let sockets = InheritedSockets { listeners: InheritedListeners { platform, sse }, peers };
    let learned = serde_json::from_str(learned.get()).ok();
    Some(PredecessorState { sockets, list, is_list_stale, learned, link, unix_now, is_drained, open })
}

impl Server {
    /// Handles a message of the other process. Malformed or unexpected messages are counted as rejects.
    pub(super) fn on_handover_message(&mut self, packet: Packet) {
        let Packet { message, bytes, descriptors } = packet;
        let descriptor = descriptors.into_iter().next();
        match message {
            HandoverMessage::Hello if !self.lifecycle.has_handed_over => self.start_handover(),
            HandoverMessage::Client(transferred) => {
                if let Some(descriptor) = descriptor {
                    self.adopt_client(transferred, &bytes, TcpStream::from(descriptor));
                }
            }
            HandoverMessage::Upstream { worker, idle_time_left } => {
                let worker = self.core.endpoints().find(&worker);
                if let Some((descriptor, worker)) = descriptor.zip(worker) {
                    let connection = Connection::new(TcpStream::from(descriptor));
                    let (context, pending) = (&mut context!(self), &mut self.pending);
                    self.upstream.adopt(context, pending, worker, connection, idle_time_left);
                }
            }
            HandoverMessage::StatusCallback => self.on_forwarded_callback(&bytes),
            HandoverMessage::OpenWork(open) => {
                if let Some(process) = &mut self.hot_restart.peer_process {
                    process.open = open;
                }
            }
            HandoverMessage::Job(transferred) => match split_request(transferred.request.as_ref(), &bytes) {
                Some(split) => self.adopt_job(transferred, split.request),
                None => self.metrics.rejects += 1,
            },
            HandoverMessage::WriteRecord { ticket, key, is_kept } => {
                self.persist_for_predecessor(ticket, &key, is_kept.then_some(bytes));
            }
            HandoverMessage::RecordWritten { ticket, is_written } => {
                let outcome = if is_written { PersistOutcome::Written } else { PersistOutcome::Failed };
                self.core.on_record_persisted(ticket, outcome);
            }
            HandoverMessage::Hello | HandoverMessage::Listeners { .. } => self.metrics.rejects += 1,
        }
    }

    /// Handles a status callback that the other process has forwarded.
    fn on_forwarded_callback(&mut self, body: &[u8]) {
        match platform::parse_status_callback(self.core.names(), body, None) {
            // The job was handed over in the meantime, so its callback goes to the successor, which does not return it.
            Some(callback) if self.lifecycle.has_handed_over && !self.core.has_request(&callback.id) => {
                self.hot_restart.forward_status_callback(body);
            }
            Some(callback) => {
                let (status, report) = (callback.status, callback.report);
                self.core.on_job_status(self.clock.now(), &callback.id, &callback.from, status, report);
            }
            None => self.metrics.rejects += 1,
        }
    }

    /// Takes over a client connection, with the request whose response it awaits.
    fn adopt_client(&mut self, transferred: TransferredClient, bytes: &[u8], stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let Some(split) = split_request(transferred.request.as_ref(), bytes) else {
            self.metrics.rejects += 1;
            return;
        };
        connection.read_buffer = split.rest.to_vec();
        if let Some(process) = &mut self.hot_restart.peer_process {
            process.on_client_transferred(transferred.request.as_ref());
        }
        let now = self.clock.now();
        let earliest = self.polls.earliest_arrival();
        let waiting_since = earliest.min(now.saturating_sub(transferred.unread_for.unwrap_or(0)));
        let mut client = ClientConnection::adopt(&transferred, now, waiting_since);
        client.on_adopted_bytes(connection.read_buffer.len(), waiting_since);
        let Some(token) = self.reactor.add(connection, Role::Client(client)) else { return };
        let Some((mut connection, Role::Client(mut client))) = self.reactor.take(token) else { return };
        if client.is_awaiting_request() {
            self.clients.track_awaiting_request(token, &client); // the time of the last read is unknown here and counts as now
        }
        if let Some((exchange, raw)) = transferred.request.zip(split.request) {
            match self.core.adopt(exchange.request, Downstream::Connection(token).to_id()) {
                Some(request_id) => {
                    self.pending.insert(request_id, raw);
                    if exchange.has_broken_attempt {
                        self.pending.record_broken_attempt(request_id);
                    }
                    client.await_response(request_id, exchange.keep_alive, exchange.has_stream_begun, now);
                }
                // The core cannot take over the request, so it fails at once.
                None => connection.write_queue.push(platform::final_response(FinalResponse::Failed, true)),
            }
        }
        // What has arrived meanwhile is read now: bytes that come later have not waited. The client may also have disconnected.
        let context = &mut client_context!(self);
        self.clients.on_ready(context, token, connection, client, EventFlags::IN);
    }
}
