//! Accepting connections of clients, as far as there is capacity.

use crate::server::connection::Connection;
use crate::server::connection_table::Role;
use crate::server::context::context;
use crate::server::downstream::context::client_context;
use crate::server::downstream::{ClientConnection, MAX_UNREAD_PROGRESS, MIN_IDLE_BEFORE_CLOSE};
use crate::server::listeners::ListenerKind;
use crate::server::{MAX_ACCEPTS_PER_TURN, Server};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use rustix::net::SocketFlags;
use std::net::TcpStream;

/// What needs a descriptor, for which idle connections of clients and to workers are closed.
impl Server {
    /// Accepts what waits at a listener, as far as there is capacity.
    pub(in crate::server) fn accept_clients(&mut self, kind: ListenerKind) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.ensure_accept_capacity() {
                return self.listeners.pause(&mut context!(self));
            }
            let Some(listener) = self.listeners.socket(kind) else { return };
            let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
            match rustix::net::accept_with(listener, flags) {
                Ok(fd) => self.on_accepted(kind, TcpStream::from(fd)),
                Err(Errno::AGAIN) => return,
                Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    // None left, here or on the machine, though the budget has some.
                    let _ = self.upstream.close_idle(&mut self.core, &mut self.reactor)
                        || self.clients.close_any_idle(&mut client_context!(self), MIN_IDLE_BEFORE_CLOSE);
                    return self.listeners.pause(&mut context!(self));
                }
                Err(_) => {}
            }
        }
    }

    /// Makes room for one more client. Idle connections are closed before accepting fails: a client without a request loses
    /// nothing. Those that never sent a request go first, or they would use up what well-behaved clients need.
    fn ensure_accept_capacity(&mut self) -> bool {
        let is_full = self.clients.active(&self.reactor) >= self.budget.clients
            && !self.clients.close_any_idle(&mut client_context!(self), MIN_IDLE_BEFORE_CLOSE);
        let is_at_limit = is_full && self.reactor.connections().clients() >= self.budget.max_accepted_clients;
        if is_at_limit && !self.clients.close_oldest_lingering(&mut client_context!(self)) {
            return false;
        }
        self.ensure_descriptor(MIN_IDLE_BEFORE_CLOSE)
    }

    /// A connection has been accepted: adds it and reads what is there.
    fn on_accepted(&mut self, kind: ListenerKind, stream: TcpStream) {
        let is_sse = kind == ListenerKind::Sse;
        if is_sse {
            // Progress that waits in the kernel for a slow reader is stale when it is read, and it holds
            // memory; without a bound it grows to megabytes. Where it cannot be set, only that is lost.
            let _ = rustix::net::sockopt::set_socket_send_buffer_size(&stream, MAX_UNREAD_PROGRESS);
        }
        let client = ClientConnection::new(is_sse, self.clock.now());
        let Some(token) = self.reactor.add(Connection::new(stream), Role::Client(client)) else { return };
        // Often the request is there already.
        if let Some((connection, Role::Client(client))) = self.reactor.take(token) {
            self.clients.track_awaiting_request(token, &client);
            let context = &mut client_context!(self);
            self.clients.on_ready(context, token, connection, client, EventFlags::IN);
            self.clients.close_if_disconnected(context, token); // so may its end be
        }
    }
}
