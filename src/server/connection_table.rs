//! All open connections by token, each with its role. The table belongs to the [`Reactor`], and only the reactor changes it.
//!
//! A handler takes a connection out of its slot, and puts it back or closes it before the handler returns. Meanwhile any other
//! lookup of that connection finds nothing.
//!
//! [`Reactor`]: crate::server::reactor::Reactor

use crate::server::admin::AdminConnection;
use crate::server::connection::Connection;
use crate::server::discovery::DiscoveryCall;
use crate::server::downstream::ClientConnection;
use crate::server::tokens::Token;
use crate::server::upstream::UpstreamConnection;
use mothproxy_invariant::invariant;

/// Mask for the 31 bits of a slot's generation. Higher tokens belong to sources of events other than connections.
const GENERATION_MASK: u32 = 0x7fff_ffff;

/// The purpose of a connection.
pub(super) enum Role {
    /// From a client, or from a worker that sends its status callbacks.
    Client(ClientConnection),
    /// To a worker.
    Upstream(UpstreamConnection),
    /// A call to discovery.
    Discovery(DiscoveryCall),
    /// A call to the admin address.
    Admin(AdminConnection),
}

impl Role {
    /// Whether the connection counts against the budget. Calls to discovery and to the admin address use descriptors that are
    /// reserved for them.
    fn is_budgeted(&self) -> bool {
        matches!(self, Role::Client(_) | Role::Upstream(_))
    }

    /// The memory of a partial request beside the connection's buffers, in bytes.
    fn buffered_bytes(&self) -> usize {
        if let Role::Client(client) = self { client.buffered_bytes() } else { 0 }
    }
}

/// A connection with its role.
pub(super) type Entry = (Connection, Role);

/// A slot of the table, which holds at most one connection.
struct Slot {
    /// The number of connections that have used the slot before, in 31 bits.
    generation: u32,
    /// The connection; `None` if the slot is free or a handler has taken the connection out.
    entry: Option<Entry>,
    /// The memory of the connection's buffers when it was last put into the slot, in bytes.
    buffered_bytes: usize,
}

/// The slots of all connections.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: Vec<Slot>,
    /// The indexes of the slots that may be reserved.
    free_slots: Vec<usize>,
    open_connections: usize,
    clients: usize,
    /// The sum over all slots.
    buffered_bytes: usize,
}

impl ConnectionTable {
    /// The number of open connections of clients and to workers.
    pub fn open_connections(&self) -> usize {
        self.open_connections
    }

    /// The number of open connections of clients.
    pub fn clients(&self) -> usize {
        self.clients
    }

    /// The memory of the buffers of all connections, in bytes. For a connection that a handler has taken out of its slot, it is
    /// that before.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// The memory of the buffers of the connection in a slot, in bytes; 0 if a handler has taken the connection out.
    pub fn buffered_bytes_of(&self, token: Token) -> usize {
        if self.get(token).is_some() { self.slots[token.slot()].buffered_bytes } else { 0 }
    }

    /// The number of slots, occupied or not.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// The token of a slot in its current generation. Panics if there is no such slot.
    pub fn token_at(&self, slot: usize) -> Token {
        Token::new(slot, self.slots[slot].generation)
    }

    /// All connections that are in their slots; those that a handler has taken out are skipped.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.slots.iter().filter_map(|slot| slot.entry.as_ref())
    }

    /// Returns a connection; `None` if it is closed or taken out of its slot.
    pub fn get(&self, token: Token) -> Option<&Entry> {
        let slot = self.slots.get(token.slot())?;
        if Token::new(token.slot(), slot.generation) == token { slot.entry.as_ref() } else { None }
    }

    /// Takes a connection out of its slot. The caller must put it back or close it.
    pub fn take(&mut self, token: Token) -> Option<Entry> {
        let slot = self.slots.get_mut(token.slot())?;
        if Token::new(token.slot(), slot.generation) == token { slot.entry.take() } else { None }
    }

    /// Puts back a connection that was taken out.
    pub fn put(&mut self, token: Token, connection: Connection, role: Role) {
        let slot = &mut self.slots[token.slot()];
        let buffered_bytes = connection.buffered_bytes() + role.buffered_bytes();
        self.buffered_bytes = self.buffered_bytes + buffered_bytes - slot.buffered_bytes;
        slot.buffered_bytes = buffered_bytes;
        slot.entry = Some((connection, role));
    }

    /// Reserves a free slot and returns its token. The caller must fill it by [`ConnectionTable::insert`] or free it by
    /// [`ConnectionTable::unreserve`].
    pub fn reserve(&mut self) -> Token {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, entry: None, buffered_bytes: 0 });
            self.slots.len() - 1
        });
        self.token_at(slot)
    }

    /// Frees a reserved slot that was not filled.
    pub fn unreserve(&mut self, token: Token) {
        self.free_slots.push(token.slot());
    }

    /// Fills a reserved slot and counts the connection.
    pub fn insert(&mut self, token: Token, connection: Connection, role: Role) {
        self.open_connections += usize::from(role.is_budgeted());
        self.clients += usize::from(matches!(role, Role::Client(_)));
        self.put(token, connection, role);
    }

    /// Frees the slot of a connection that was taken out. The slot's generation changes, so that the old token finds nothing.
    pub fn remove(&mut self, token: Token, role: &Role) {
        let slot = &mut self.slots[token.slot()];
        invariant!(slot.entry.is_none(), "a connection was removed from the table while it was in its slot");
        slot.generation = slot.generation.wrapping_add(1) & GENERATION_MASK;
        self.buffered_bytes -= std::mem::take(&mut slot.buffered_bytes);
        self.free_slots.push(token.slot());
        self.open_connections -= usize::from(role.is_budgeted());
        self.clients -= usize::from(matches!(role, Role::Client(_)));
    }
}
