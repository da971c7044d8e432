//! All open connections by token, with what each is for. The table belongs to the [`Reactor`], which alone changes it.
//!
//! A handler takes a connection out of its slot, and puts it back or closes it before it returns. While it is out, whatever
//! else looks for it finds nothing.
//!
//! [`Reactor`]: crate::server::reactor::Reactor

use crate::server::admin::AdminConnection;
use crate::server::connection::Connection;
use crate::server::discovery::DiscoveryCall;
use crate::server::downstream::ClientConnection;
use crate::server::tokens::Token;
use crate::server::upstream::UpstreamConnection;
use mothproxy_invariant::invariant;

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
pub(super) type Entry = (Connection, Role);

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
    pub fn reserve(&mut self) -> Token {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, entry: None });
            self.slots.len() - 1
        });
        self.token_at(slot)
    }

    /// Frees a slot that was reserved and not filled.
    pub fn unreserve(&mut self, token: Token) {
        self.free.push(token.slot());
    }

    /// Fills a slot that was reserved.
    pub fn insert(&mut self, token: Token, connection: Connection, role: Role) {
        self.open_connections += usize::from(role.is_budgeted());
        self.clients += usize::from(matches!(role, Role::Client(_)));
        self.put(token, connection, role);
    }

    /// Frees the slot of a connection that was taken out of it.
    pub fn remove(&mut self, token: Token, role: &Role) {
        let slot = &mut self.slots[token.slot()];
        invariant!(slot.entry.is_none(), "a connection closed while in its slot");
        slot.generation = slot.generation.wrapping_add(1) & GENERATION_MASK;
        self.free.push(token.slot());
        self.open_connections -= usize::from(role.is_budgeted());
        self.clients -= usize::from(matches!(role, Role::Client(_)));
    }
}
