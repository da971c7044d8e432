//! Accepting connections of clients, within the capacity for connections.

use crate::policy::interface::Micros;
use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::context::client_context;
use crate::server::downstream::{ClientConnection, MAX_UNREAD_PROGRESS, MIN_IDLE_BEFORE_CLOSE};
use crate::server::listeners::ListenerKind;
use crate::server::{MAX_ARRIVALS_PER_TURN, Server};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use rustix::net::SocketFlags;
use std::net::TcpStream;

/// Methods of the server, since a new connection needs a descriptor: idle connections of clients and to workers may be closed
/// to free one.
impl Server {
    /// Accepts the connections that wait at a listener, at most [`MAX_ARRIVALS_PER_TURN`] of them. Pauses the listener when
    /// there is no capacity left.
    pub(in crate::server) fn accept_clients(&mut self, kind: ListenerKind) {
        let waiting_since = self.listeners.waiting_since(kind, &self.polls);
        for _ in 0..MAX_ARRIVALS_PER_TURN {
            if !self.ensure_accept_capacity() {
                return self.listeners.pause(&mut context!(self));
            }
            let Some(listener) = self.listeners.socket(kind) else { return };
            let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
            match rustix::net::accept_with(listener, flags) {
                Ok(fd) => self.on_accepted(kind, TcpStream::from(fd), waiting_since),
                Err(Errno::AGAIN) => return self.listeners.on_all_accepted(kind),
                Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    // This process or the machine has no descriptors or memory left, although the budget allows more.
                    let _ = self.upstream.close_idle(&mut self.core, &mut self.reactor)
                        || self.clients.close_any_idle(&mut client_context!(self), MIN_IDLE_BEFORE_CLOSE);
                    return self.listeners.pause(&mut context!(self));
                }
                Err(_) => {}
            }
        }
        self.listeners.on_some_left(kind, waiting_since);
    }

    /// Makes room for one more client. Returns false if there is none. Idle connections are closed before a new one is
    /// refused, since a client without a request loses nothing. Connections that never sent a request are closed first;
    /// otherwise they would use up the descriptors that well-behaved clients need.
    fn ensure_accept_capacity(&mut self) -> bool {
        let is_full = self.clients.active(&self.reactor) >= self.budget.clients
            && !self.clients.close_any_idle(&mut client_context!(self), MIN_IDLE_BEFORE_CLOSE);
        let is_at_limit = is_full && self.reactor.connections().clients() >= self.budget.max_accepted_clients;
        if is_at_limit && !self.clients.close_oldest_lingering(&mut client_context!(self)) {
            return false;
        }
        self.ensure_descriptor(MIN_IDLE_BEFORE_CLOSE)
    }

    /// Registers an accepted connection, which may have been waiting since `waiting_since`, and reads the bytes that have already
    /// arrived.
    fn on_accepted(&mut self, kind: ListenerKind, stream: TcpStream, waiting_since: Micros) {
        let is_from_sse_listener = kind == ListenerKind::Sse;
        if is_from_sse_listener {
            // Progress events that queue in the kernel for a slow reader are stale by the time they are read, and without a
            // bound the queue grows to megabytes. If the bound cannot be set, only more memory is used.
            let _ = rustix::net::sockopt::set_socket_send_buffer_size(&stream, MAX_UNREAD_PROGRESS);
        }
        let client = ClientConnection::new(is_from_sse_listener, self.clock.now(), waiting_since);
        let Some(token) = self.reactor.add(Connection::new(stream), Role::Client(client)) else { return };
        // Often the request has already arrived.
        if let Some((connection, Role::Client(client))) = self.reactor.take(token) {
            self.clients.track_awaiting_request(token, &client);
            let context = &mut client_context!(self);
            self.clients.on_ready(context, token, connection, client, EventFlags::IN);
            self.clients.close_if_disconnected(context, token); // the client may have disconnected already, too
        }
    }
}
