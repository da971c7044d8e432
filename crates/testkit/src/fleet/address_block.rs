//! The addresses of a fleet: a block of 127/8 that no other fleet on this machine uses. The addresses are fixed, so that they
//! are free again for a process after its restart.

use super::FleetError;
use super::plan::derive_seed;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

/// The maximum number of blocks that are tried.
const MAX_ATTEMPTS: u64 = 64;
/// The port of the datagram relay's sockets. Binding it at the broadcast address of a block reserves the block for a fleet.
const RELAY_PORT: u16 = 7000;
const LISTEN_PORT: u16 = 8000;
const ADMIN_PORT: u16 = 8001;
const PEER_PORT: u16 = 8002;
const WORKER_PORT: u16 = 8080;
const DISCOVERY_PORT: u16 = 8500;
/// The port of a dispatcher's link to worker 0; the links to the other workers have the following ports.
const FIRST_WORKER_LINK_PORT: u16 = 9000;
/// The last bytes of the addresses: dispatchers from 1 and workers from 150 on, then one each for discovery and broadcast.
const FIRST_DISPATCHER: usize = 1;
const FIRST_WORKER: usize = 150;
const DISCOVERY: usize = 240;
const BROADCAST: usize = 241;

/// A block, by the two middle bytes of its addresses.
pub(super) struct AddressBlock([u8; 2]);

/// A block, and the sockets of the datagram relay that reserve it.
pub(super) struct TakenBlock {
    pub(super) block: AddressBlock,
    pub(super) relay_sockets: Vec<UdpSocket>,
    pub(super) broadcast: UdpSocket,
}

impl AddressBlock {
    /// Takes a free block for this many dispatchers; `number` differs between the fleets of this process.
    pub(super) fn take(size: usize, number: u64) -> Result<TakenBlock, FleetError> {
        let mut last_error = None;
        let first = derive_seed(u64::from(std::process::id()), number);
        for attempt in 0..MAX_ATTEMPTS {
            let bytes = first.wrapping_add(attempt * 0x9e37) as u16;
            let block = AddressBlock([64 + (bytes >> 8) as u8 % 64, bytes as u8]);
            match block.bind(size) {
                Ok((relay_sockets, broadcast)) => return Ok(TakenBlock { block, relay_sockets, broadcast }),
                Err(error) => last_error = Some(error),
            }
        }
        Err(FleetError::Socket(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into())))
    }

    fn bind(&self, size: usize) -> std::io::Result<(Vec<UdpSocket>, UdpSocket)> {
        let broadcast = UdpSocket::bind(self.at(BROADCAST, RELAY_PORT))?;
        let relay_sockets = (0..size).map(|i| UdpSocket::bind(self.at(FIRST_DISPATCHER + i, RELAY_PORT)));
        Ok((relay_sockets.collect::<Result<Vec<_>, _>>()?, broadcast))
    }

    fn at(&self, last: usize, port: u16) -> SocketAddr {
        let last = u8::try_from(last).unwrap_or(u8::MAX);
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.0[0], self.0[1], last)), port)
    }

    /// The address of a dispatcher for jobs and callbacks.
    pub(super) fn listen(&self, dispatcher: usize) -> SocketAddr {
        self.at(FIRST_DISPATCHER + dispatcher, LISTEN_PORT)
    }

    /// The admin address of a dispatcher.
    pub(super) fn admin(&self, dispatcher: usize) -> SocketAddr {
        self.at(FIRST_DISPATCHER + dispatcher, ADMIN_PORT)
    }

    /// The address of a dispatcher for datagrams of its peers.
    pub(super) fn peer(&self, dispatcher: usize) -> SocketAddr {
        self.at(FIRST_DISPATCHER + dispatcher, PEER_PORT)
    }

    /// The address of a dispatcher's link to discovery.
    pub(super) fn discovery_link(&self, dispatcher: usize) -> SocketAddr {
        self.at(FIRST_DISPATCHER + dispatcher, DISCOVERY_PORT)
    }

    /// The address of a dispatcher's link to a worker.
    pub(super) fn worker_link(&self, dispatcher: usize, worker: usize) -> SocketAddr {
        self.at(FIRST_DISPATCHER + dispatcher, FIRST_WORKER_LINK_PORT + worker as u16)
    }

    /// The address of a worker.
    pub(super) fn worker(&self, worker: usize) -> SocketAddr {
        self.at(FIRST_WORKER + worker, WORKER_PORT)
    }

    /// The address of discovery.
    pub(super) fn discovery(&self) -> SocketAddr {
        self.at(DISCOVERY, DISCOVERY_PORT)
    }
}
