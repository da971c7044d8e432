//! Hot restart: a new version takes over under load, and two processes are one dispatcher for a while.
//!
//! 1. The successor connects to the predecessor's Unix socket in `$TMPDIR` and says hello ([`receiver`]).
//! 2. The predecessor answers with its listening sockets, its endpoint list, and what the policy has learned; it accepts no
//!    more from then on ([`sender`]).
//! 3. It passes each connection and job, with all that is known of it, as soon as nothing of it is in flight, and reports
//!    after each step what it still holds. Status callbacks and idempotency records go to whichever process they concern.
//! 4. It ends once it has nothing left. Should the successor end first, it takes its listening sockets up again.
//!
//! The messages are in [`protocol`]; see docs/designs.md.

mod protocol;
mod receiver;
mod sender;
#[cfg(test)]
mod tests;

pub(in crate::server) use receiver::{Inheritance, TakeoverResult, request_takeover};

use crate::core::{PersistOutcome, RecordTicket};
use crate::server::Server;
use crate::server::budget::RESERVED_DESCRIPTORS;
use crate::server::context::context;
use crate::server::reactor::Reactor;
use crate::server::tokens::{PEER_PROCESS, PEERS, RESTART_SOCKET};
use crate::server::transferred::TransferredExchange;
use protocol::{HandoverMessage, OpenWork, ReceiveError, packet_socket, receive, send};
use rustix::fs::Mode;
use rustix::io::Errno;
use rustix::net::{SocketAddrUnix, SocketFlags};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};

/// Packets read in one go.
const MAX_PACKETS_PER_TURN: usize = 64;
/// Processes that may wait to be accepted on the restart socket.
const RESTART_BACKLOG: i32 = 4;

/// This process's part in a hot restart.
#[derive(Default)]
pub(in crate::server) struct HotRestart {
    /// The path of the restart socket, if there is a folder for it.
    socket_path: Option<PathBuf>,
    /// The restart socket, on which the next version asks for a takeover, while this process serves.
    socket: Option<OwnedFd>,
    /// The other process of this dispatcher, during an upgrade.
    peer_process: Option<PeerProcess>,
}

/// The other process.
struct PeerProcess {
    link: OwnedFd,
    /// What it holds, where it is the predecessor.
    open: OpenWork,
    /// What this one, as the predecessor, last said that it holds.
    last_sent: OpenWork,
}

impl PeerProcess {
    fn new(link: OwnedFd, open: OpenWork) -> PeerProcess {
        PeerProcess { link, open, last_sent: OpenWork::default() }
    }

    /// A client's connection, and its request if it has one, is here now.
    fn on_client_transferred(&mut self, exchange: Option<&TransferredExchange>) {
        if let Some(exchange) = exchange {
            self.open.request_names.remove(&exchange.request.name);
        }
        self.open.connections = self.open.connections.saturating_sub(1);
    }
}

impl HotRestart {
    /// Listens for the next version, where there is a folder for it.
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

    /// Another process has connected; it says what it wants in its first packet.
    pub fn on_process_connected(&mut self, reactor: &Reactor) {
        let Some(socket) = &self.socket else { return };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let Ok(link) = rustix::net::accept_with(socket, flags) else { return };
        if self.peer_process.is_none() && reactor.watch(&link, PEER_PROCESS).is_ok() {
            self.peer_process = Some(PeerProcess::new(link, OpenWork::default()));
        } // a third one finds its link closed
    }

    /// Whether a request of this id is open with the other process.
    pub fn is_open_in_peer_process(&self, name: &str) -> bool {
        let process = self.peer_process.as_ref();
        process.is_some_and(|process| process.open.request_names.contains(name))
    }

    /// A request of this id is no longer open with the other process.
    pub fn forget_in_peer_process(&mut self, name: &str) {
        if let Some(process) = &mut self.peer_process {
            process.open.request_names.remove(name);
        }
    }

    /// Connections that the other process still holds, with its own few descriptors.
    pub fn connections_in_peer_process(&self) -> usize {
        let process = self.peer_process.as_ref();
        process.map_or(0, |process| process.open.connections + RESERVED_DESCRIPTORS)
    }

    /// Passes a status callback to the other process. False if it cannot be: the worker has to try again.
    pub fn forward_status_callback(&self, body: &[u8]) -> bool {
        self.send(&HandoverMessage::StatusCallback, &[body], &[])
    }

    /// Has the other process write an idempotency record, or forget the key where there is none. False if it cannot be sent.
    pub fn forward_record(&self, ticket: Option<RecordTicket>, key: String, record: Option<&[u8]>) -> bool {
        let message = HandoverMessage::WriteRecord { ticket, key, is_kept: record.is_some() };
        self.send(&message, &[record.unwrap_or_default()], &[])
    }

    /// Reports to the other process what became of a record that it wanted. False if that cannot be sent.
    pub fn report_record_persisted(&self, ticket: RecordTicket, outcome: PersistOutcome) -> bool {
        let is_written = outcome == PersistOutcome::Written;
        self.send(&HandoverMessage::RecordWritten { ticket, is_written }, &[], &[])
    }

    /// Sends the other process a message. False if it cannot be sent.
    fn send(&self, message: &HandoverMessage, bytes: &[&[u8]], descriptors: &[BorrowedFd<'_>]) -> bool {
        let process = self.peer_process.as_ref();
        process.is_some_and(|process| send(&process.link, message, bytes, descriptors).is_ok())
    }
}

/// Where the processes of a dispatcher of this name meet.
pub(in crate::server) fn socket_path(folder: &Path, name: &str) -> PathBuf {
    let to_plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    folder.join(format!("mothproxy-{}.sock", name.chars().map(to_plain).collect::<String>()))
}

/// Listens on the socket on which the next version asks for a takeover.
fn listen_for_successor(path: &Path) -> Result<OwnedFd, Errno> {
    let _ = std::fs::remove_file(path); // left behind, or the predecessor's, which needs no name any more
    let listener = packet_socket()?;
    rustix::net::bind(&listener, &SocketAddrUnix::new(path)?)?;
    rustix::fs::chmod(path, Mode::RUSR | Mode::WUSR)?;
    rustix::net::listen(&listener, RESTART_BACKLOG)?;
    rustix::io::ioctl_fionbio(&listener, true)?;
    Ok(listener)
}

impl Server {
    /// Listens for the next version, and takes up the link to the predecessor if there is one.
    pub(in crate::server) fn join_hot_restart(
        &mut self,
        path: Option<PathBuf>,
        inheritance: Option<Inheritance>,
    ) {
        self.hot_restart.socket_path = path;
        self.hot_restart.open_socket(&self.reactor);
        let Some(Inheritance { link, is_drained, open, .. }) = inheritance else { return };
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

    /// The other process has sent something, or has closed the link.
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

    /// The other process has ended, as it should or not.
    fn on_peer_process_closed(&mut self) {
        let Some(process) = self.hot_restart.peer_process.take() else { return };
        self.reactor.unwatch(&process.link);
        if !std::mem::take(&mut self.lifecycle.has_handed_over) {
            return tracing::info!("hot restart: the other process has ended");
        }
        // The successor died with what it had. The listening sockets are still open here.
        tracing::info!("hot restart: the successor has ended, serving again");
        let are_listeners_watched = self.listeners.take_back(&self.reactor);
        let peers = self.peer_socket.socket();
        let are_peers_watched = peers.is_none_or(|socket| self.reactor.watch(socket, PEERS).is_ok());
        mothproxy_invariant::invariant!(
            are_listeners_watched && are_peers_watched,
            "epoll does not take its listeners back"
        );
        self.core.fail_unpersisted();
        self.hot_restart.open_socket(&self.reactor);
        let context = &mut context!(self);
        self.peers.announce_state(context);
        self.membership.restart(context, &mut self.discovery);
    }

    /// What this process still holds.
    fn local_open_work(&self) -> OpenWork {
        OpenWork {
            request_names: self.core.open_request_names().into_iter().collect(),
            connections: self.reactor.connections().open_connections(),
        }
    }
}
