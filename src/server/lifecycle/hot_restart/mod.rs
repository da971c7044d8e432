//! Hot restart: a new version takes over under load. During the handover two processes act as one dispatcher.
//!
//! 1. The successor connects to the predecessor's Unix socket in `$TMPDIR` and sends `Hello` ([`receiver`]).
//! 2. The predecessor answers with its listening sockets, its endpoint list and the state that the decision module has
//!    learned. From then on the predecessor accepts no new connections ([`sender`]).
//! 3. The predecessor transfers each connection and job, with all its state, as soon as no attempt for it is in flight and no
//!    bytes to its client are unwritten. After each step it reports the work that it still holds. Status callbacks and
//!    idempotency records are forwarded to the process that they concern.
//! 4. The predecessor ends once it holds no more work. If the successor ends first, the predecessor uses its listening sockets
//!    again.
//!
//! [`protocol`] defines the messages; see also docs/designs.md.

mod protocol;
mod receiver;
mod sender;
#[cfg(test)]
mod tests;

pub(in crate::server) use receiver::{PredecessorState, TakeoverResult, request_takeover};

use crate::core::{PersistOutcome, RecordTicket};
use crate::server::Server;
use crate::server::budget::RESERVED_DESCRIPTORS;
use crate::server::context::context;
use crate::server::reactor::Reactor;
use crate::server::tokens::{PEER_PROCESS, PEERS, RESTART_SOCKET};
use crate::server::transferred::TransferredExchange;
use protocol::{HandoverMessage, OpenWork, ReceiveError, packet_socket, receive, send};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fs::Mode;
use rustix::io::Errno;
use rustix::net::{SocketAddrUnix, SocketFlags};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};

/// The maximum number of packets read from the other process in one turn of the event loop.
const MAX_PACKETS_PER_TURN: usize = 64;
/// The backlog of the restart socket: the number of processes that may wait to be accepted.
const RESTART_BACKLOG: i32 = 4;

/// The state of this process in a hot restart.
#[derive(Default)]
pub(in crate::server) struct HotRestart {
    /// The path of the restart socket; `None` if no directory for it is configured.
    socket_path: Option<PathBuf>,
    /// The restart socket, on which the next version requests a takeover. It is open while this process serves.
    socket: Option<OwnedFd>,
    /// The other process of this dispatcher, during a hot restart.
    peer_process: Option<PeerProcess>,
}

/// The link to the other process, and the open work of both processes.
struct PeerProcess {
    link: OwnedFd,
    /// The work that the other process still holds, if it is the predecessor.
    open: OpenWork,
    /// The open work that this process last reported, if it is the predecessor.
    last_sent: OpenWork,
}

impl PeerProcess {
    fn new(link: OwnedFd, open: OpenWork) -> PeerProcess {
        PeerProcess { link, open, last_sent: OpenWork::default() }
    }

    /// Records that a client connection was transferred to this process, with its request if it has one.
    fn on_client_transferred(&mut self, exchange: Option<&TransferredExchange>) {
        if let Some(exchange) = exchange {
            self.open.request_names.remove(&exchange.request.name);
        }
        self.open.connections = self.open.connections.saturating_sub(1);
    }
}

impl HotRestart {
    /// Listens for the next version, if a directory for the socket is configured. A failure is only logged.
    fn open_socket(&mut self, reactor: &Reactor) {
        let Some(path) = &self.socket_path else { return };
        match listen_for_successor(path) {
            Ok(listener) if reactor.watch(&listener, RESTART_SOCKET).is_ok() => self.socket = Some(listener),
            Ok(_) => {}
            Err(error) => {
                tracing::info!(path = %path.display(), %error, "hot restart: unavailable");
            }
        }
    }

    /// Accepts a process that has connected to the restart socket, unless a hot restart is in progress. The process states its
    /// request in its first packet.
    pub fn on_process_connected(&mut self, reactor: &Reactor) {
        let Some(socket) = &self.socket else { return };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let Ok(link) = rustix::net::accept_with(socket, flags) else { return };
        if self.peer_process.is_none() && reactor.watch(&link, PEER_PROCESS).is_ok() {
            self.peer_process = Some(PeerProcess::new(link, OpenWork::default()));
        } // if a hot restart is in progress, the link of a third process is closed here
    }

    /// Whether there is another process of this dispatcher.
    pub fn has_peer_process(&self) -> bool {
        self.peer_process.is_some()
    }

    /// Whether the other process holds an open request with this id.
    pub fn is_open_in_peer_process(&self, name: &str) -> bool {
        let process = self.peer_process.as_ref();
        process.is_some_and(|process| process.open.request_names.contains(name))
    }

    /// Records that the other process no longer holds the request with this id.
    pub fn mark_closed_in_peer_process(&mut self, name: &str) {
        if let Some(process) = &mut self.peer_process {
            process.open.request_names.remove(name);
        }
    }

    /// The number of connections that the other process still holds, plus the descriptors that it reserves for itself; 0 if
    /// there is no other process.
    pub fn connections_in_peer_process(&self) -> usize {
        let process = self.peer_process.as_ref();
        process.map_or(0, |process| process.open.connections + RESERVED_DESCRIPTORS)
    }

    /// Forwards a status callback to the other process. Returns false if it cannot be sent; the worker must then retry.
    pub fn forward_status_callback(&self, body: &[u8]) -> bool {
        self.send(&HandoverMessage::StatusCallback, &[body], &[])
    }

    /// Asks the other process to write an idempotency record, or to delete the key if `record` is `None`. Returns false if the
    /// message cannot be sent.
    pub fn forward_record(&self, ticket: Option<RecordTicket>, key: String, record: Option<&[u8]>) -> bool {
        let message = HandoverMessage::WriteRecord { ticket, key, is_kept: record.is_some() };
        self.send(&message, &[record.unwrap_or_default()], &[])
    }

    /// Reports to the other process whether the record that it forwarded was written. Returns false if the message cannot be
    /// sent.
    pub fn report_record_persisted(&self, ticket: RecordTicket, outcome: PersistOutcome) -> bool {
        let is_written = outcome == PersistOutcome::Written;
        self.send(&HandoverMessage::RecordWritten { ticket, is_written }, &[], &[])
    }

    /// Whether the link to the other process has room for a message.
    fn can_send(&self) -> bool {
        let Some(process) = &self.peer_process else { return false };
        let mut links = [PollFd::new(&process.link, PollFlags::OUT)];
        let is_polled = poll(&mut links, Some(&Timespec::default())).is_ok();
        is_polled && links[0].revents().contains(PollFlags::OUT)
    }

    /// Sends a message to the other process. Returns false if there is no other process or the message cannot be sent.
    fn send(&self, message: &HandoverMessage, bytes: &[&[u8]], descriptors: &[BorrowedFd<'_>]) -> bool {
        let process = self.peer_process.as_ref();
        process.is_some_and(|process| send(&process.link, message, bytes, descriptors).is_ok())
    }
}

/// Returns the path of the restart socket of the dispatcher `name`. Characters other than ASCII letters, digits and `-` become
/// `_`.
pub(in crate::server) fn socket_path(directory: &Path, name: &str) -> PathBuf {
    let sanitize = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    directory.join(format!("mothproxy-{}.sock", name.chars().map(sanitize).collect::<String>()))
}

/// Opens the restart socket at `path`. Only processes of the same user may connect.
///
/// # Errors
/// If a system call fails.
fn listen_for_successor(path: &Path) -> Result<OwnedFd, Errno> {
    let _ = std::fs::remove_file(path); // the file of an ended process, or of the predecessor, which no longer uses it
    let listener = packet_socket()?;
    rustix::net::bind(&listener, &SocketAddrUnix::new(path)?)?;
    rustix::fs::chmod(path, Mode::RUSR | Mode::WUSR)?;
    rustix::net::listen(&listener, RESTART_BACKLOG)?;
    rustix::io::ioctl_fionbio(&listener, true)?;
    Ok(listener)
}

impl Server {
    /// Listens for the next version, and watches the link to the predecessor if there is one. If the predecessor was draining,
    /// this process continues the drain.
    pub(in crate::server) fn join_hot_restart(
        &mut self,
        path: Option<PathBuf>,
        predecessor_state: Option<PredecessorState>,
    ) {
        self.hot_restart.socket_path = path;
        self.hot_restart.open_socket(&self.reactor);
        let Some(PredecessorState { link, is_drained, open, .. }) = predecessor_state else { return };
        self.lifecycle.drained_since = is_drained.then_some(self.clock.now());
        let is_nonblocking = rustix::io::ioctl_fionbio(&link, true).is_ok();
        if is_nonblocking && self.reactor.watch(&link, PEER_PROCESS).is_ok() {
            tracing::info!(open = open.request_names.len(), "hot restart: taking over from the predecessor");
            self.hot_restart.peer_process = Some(PeerProcess::new(link, open));
        }
        if is_drained {
            self.resume_drain();
        }
    }

    /// Handles the packets that the other process has sent, or the end of the link.
    pub(in crate::server) fn on_peer_process_readable(&mut self) {
        for _ in 0..MAX_PACKETS_PER_TURN {
            let Some(process) = &self.hot_restart.peer_process else { return };
            match receive(&process.link) {
                Ok(Some(packet)) => self.on_handover_message(packet),
                Err(ReceiveError::System(Errno::AGAIN)) => return,
                Err(ReceiveError::System(Errno::INTR)) => {}
                Err(ReceiveError::Malformed) => self.metrics.rejects += 1,
                Ok(None) | Err(ReceiveError::System(_)) => return self.on_peer_process_closed(),
            }
        }
    }

    /// The other process has ended, normally or by a failure. If it was the successor, this process serves again.
    fn on_peer_process_closed(&mut self) {
        let Some(process) = self.hot_restart.peer_process.take() else { return };
        self.reactor.unwatch(&process.link);
        if !std::mem::take(&mut self.lifecycle.has_handed_over) {
            for name in &process.open.request_names {
                self.core.remember_departed_name(self.clock.now(), name);
            }
            return tracing::info!("hot restart: the other process has ended");
        }
        // The work that was handed over is lost with the successor. The listening sockets are still open in this process.
        tracing::info!("hot restart: the successor has ended, serving again");
        let are_listeners_watched = self.listeners.take_back(&self.reactor);
        let peers = self.peer_socket.socket();
        let are_peers_watched = peers.is_none_or(|socket| self.reactor.watch(socket, PEERS).is_ok());
        mothproxy_invariant::invariant!(
            are_listeners_watched && are_peers_watched,
            "the listening sockets cannot be watched again after the successor has ended"
        );
        self.core.fail_unpersisted();
        self.reopen_record_store();
        self.hot_restart.open_socket(&self.reactor);
        let context = &mut context!(self);
        self.peers.announce_state(context);
        self.membership.restart(context, &mut self.discovery);
    }

    /// The work that this process still holds.
    fn local_open_work(&self) -> OpenWork {
        OpenWork {
            request_names: self.core.reserved_names().cloned().collect(),
            connections: self.reactor.connections().open_connections(),
        }
    }
}
