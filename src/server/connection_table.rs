//! All open connections by token, with what each is for, their timers and what epoll watches them for.
//!
//! A handler takes a connection out of its slot, and puts it back or closes it before it returns. While it is out, whatever
//! else looks for it finds nothing.

use crate::policy::interface::Micros;
use crate::server::Server;
use crate::server::admin::AdminConnection;
use crate::server::connection::Connection;
use crate::server::discovery::DiscoveryCall;
use crate::server::downstream::{self, ClientConnection};
use crate::server::tokens::Token;
use crate::server::upstream::UpstreamConnection;
use mothproxy_invariant::invariant;
use rustix::event::epoll::EventFlags;

/// The bits of a slot's generation. Tokens above them belong to what is no connection.
const GENERATION_MASK: u32 = 0x7fff_ffff;

/// What a connection is for.
pub(super) enum Role {
    /// A client's, or that of a worker with its callbacks.
    Client(ClientConnection),
    /// One to a worker.
    Upstream(UpstreamConnection),
    /// A call to discovery.
    Discovery(DiscoveryCall),
    /// A call of the admin address.
    Admin(AdminConnection),
}

impl Role {
    /// Whether the connection counts against the budget. Calls to discovery and of the admin address have descriptors of
    /// their own.
    fn is_budgeted(&self) -> bool {
        matches!(self, Role::Client(_) | Role::Upstream(_))
    }
}

/// A connection with what it is for.
type Entry = (Connection, Role);

/// Where one connection at a time lives.
struct Slot {
    generation: u32,
    entry: Option<Entry>,
}

/// The slots of all connections.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: Vec<Slot>,
    free: Vec<usize>,
    open_connections: usize,
    clients: usize,
}

impl ConnectionTable {
    /// Connections of clients and to workers.
    pub fn open_connections(&self) -> usize {
        self.open_connections
    }

    /// Connections of clients.
    pub fn clients(&self) -> usize {
        self.clients
    }

    /// Slots, with a connection or without.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// The token that a slot's connection has now.
    pub fn token_at(&self, slot: usize) -> Token {
        Token::new(slot, self.slots[slot].generation)
    }

    /// All connections that are in their slots.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.slots.iter().filter_map(|slot| slot.entry.as_ref())
    }

    /// A connection, if it is in its slot.
    pub fn get(&self, token: Token) -> Option<&Entry> {
        let slot = self.slots.get(token.slot())?;
        if Token::new(token.slot(), slot.generation) == token { slot.entry.as_ref() } else { None }
    }

    /// Takes a connection out of its slot, to be put back or closed.
    pub fn take(&mut self, token: Token) -> Option<Entry> {
        let slot = self.slots.get_mut(token.slot())?;
        if Token::new(token.slot(), slot.generation) == token { slot.entry.take() } else { None }
    }

    /// Puts a connection back that was taken.
    pub fn put(&mut self, token: Token, connection: Connection, role: Role) {
        self.slots[token.slot()].entry = Some((connection, role));
    }

    /// A free slot's token. It is to be filled by [`ConnectionTable::insert`] or freed by [`ConnectionTable::unreserve`].
    fn reserve(&mut self) -> Token {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, entry: None });
            self.slots.len() - 1
        });
        self.token_at(slot)
    }

    fn unreserve(&mut self, token: Token) {
        self.free.push(token.slot());
    }

    fn insert(&mut self, token: Token, connection: Connection, role: Role) {
        self.open_connections += usize::from(role.is_budgeted());
        self.clients += usize::from(matches!(role, Role::Client(_)));
        self.put(token, connection, role);
    }

    /// Frees the slot of a connection that was taken out of it.
    fn remove(&mut self, token: Token, role: &Role) {
        let slot = &mut self.slots[token.slot()];
        invariant!(slot.entry.is_none(), "a connection closed while in its slot");
        slot.generation = slot.generation.wrapping_add(1) & GENERATION_MASK;
        self.free.push(token.slot());
        self.open_connections -= usize::from(role.is_budgeted());
        self.clients -= usize::from(matches!(role, Role::Client(_)));
    }
}

impl Server {
    /// Takes a connection out of its slot, to be put back or closed.
    pub(super) fn take(&mut self, token: Token) -> Option<Entry> {
        self.connections.take(token)
    }

    /// Puts a connection back that was taken.
    pub(super) fn put(&mut self, token: Token, connection: Connection, role: Role) {
        self.connections.put(token, connection, role);
    }

    /// Gives a connection a slot and has epoll watch it. `None` where epoll refuses it; it is closed then.
    pub(super) fn add(&mut self, connection: Connection, role: impl FnOnce(Token) -> Role) -> Option<Token> {
        let token = self.connections.reserve();
        if self.epoll.add(&connection.stream, token, EventFlags::empty()).is_err() {
            self.connections.unreserve(token);
            return None;
        }
        self.connections.insert(token, connection, role(token));
        Some(token)
    }

    /// Closes a connection that was taken out of its slot.
    pub(super) fn close(&mut self, token: Token, connection: Connection, role: Role) {
        if let Some(at) = connection.timer {
            self.core.cancel_timer(at, token.timer());
        }
        self.connections.remove(token, &role);
        if matches!(role, Role::Admin(_)) {
            self.admin.on_closed(token);
        }
        drop((connection, role)); // closing the socket takes it out of epoll as well
    }

    /// Closes a connection, if it is in its slot.
    pub(super) fn close_token(&mut self, token: Token) {
        if let Some((connection, role)) = self.take(token) {
            self.close(token, connection, role);
        }
    }

    /// Sets or drops a connection's deadline.
    pub(super) fn set_timer(&mut self, token: Token, connection: &mut Connection, at: Option<Micros>) {
        if let Some(old) = connection.timer.take() {
            self.core.cancel_timer(old, token.timer());
        }
        if let Some(at) = at {
            self.core.set_timer(at, token.timer());
        }
        connection.timer = at;
    }

    /// Has epoll watch a connection for what can be read, if wanted, and for being writable where something is to be written.
    pub(super) fn update_interest(&mut self, token: Token, connection: &mut Connection, read: bool) {
        let write = !connection.outbox.is_empty();
        self.set_interest(token, connection, read, write);
    }

    /// Has epoll watch a connection for this.
    pub(super) fn set_interest(
        &mut self,
        token: Token,
        connection: &mut Connection,
        read: bool,
        write: bool,
    ) {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, read);
        flags.set(EventFlags::OUT, write);
        if flags != connection.interest {
            let is_changed = self.epoll.modify(&connection.stream, token, flags);
            invariant!(is_changed, "epoll does not know a connection");
            connection.interest = flags;
        }
    }

    /// Finds a descriptor for a new connection: where the budget is used up, by closing one that has been idle for
    /// `min_idle`. False where there is none.
    pub(super) fn ensure_descriptor(&mut self, min_idle: Micros) -> bool {
        if !self.is_budget_used_up() {
            return true;
        }
        // Partial requests that grew lately come last: well-behaved clients may be writing them.
        let is_closed = self.close_oldest_lingering()
            || self.close_silent_client(downstream::PARTIAL_REQUEST_GRACE)
            || self.close_idle_upstream()
            || self.close_oldest_served_client(min_idle)
            || self.close_oldest_idle_client(min_idle)
            || self.close_silent_client(downstream::SILENT_GRACE);
        // A connection that only began to linger still holds its descriptor: it is closed now.
        is_closed && (!self.is_budget_used_up() || self.close_oldest_lingering() && !self.is_budget_used_up())
    }

    fn is_budget_used_up(&self) -> bool {
        let open = self.connections.open_connections() + self.hot_restart.connections_in_peer_process();
        open >= self.budget.connections
    }
}
