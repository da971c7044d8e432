//! The loopback addresses of a run: each process and each worker has its own.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The port of the workers.
const WORKER_PORT: u16 = 8_090;
/// The first byte after 127 of the workers' addresses; two blocks follow, so that runs side by side do not collide.
const FIRST_BLOCK: u8 = 130;
/// The number of blocks that are tried.
const BLOCKS: u8 = 100;
/// The number of addresses in one part of a block.
const PART: usize = 250;

/// A block of loopback addresses that no other run uses, reserved by the listeners of its workers.
pub(super) struct WorkerAddresses {
    /// The listeners of the workers, in order.
    pub listeners: Vec<TcpListener>,
}

impl WorkerAddresses {
    /// Binds the listeners of this many workers in a free block.
    ///
    /// # Errors
    /// If no block is free.
    pub(super) fn bind(workers: usize) -> io::Result<WorkerAddresses> {
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        let first = std::process::id() as u8 % BLOCKS;
        for attempt in 0..BLOCKS {
            let block = FIRST_BLOCK + (first + attempt) % BLOCKS;
            match bind_block(block, workers) {
                Ok(listeners) => return Ok(WorkerAddresses { listeners }),
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}

fn bind_block(block: u8, workers: usize) -> io::Result<Vec<TcpListener>> {
    (0..workers).map(|worker| TcpListener::bind(worker_address(block, worker))).collect()
}

fn worker_address(block: u8, worker: usize) -> SocketAddr {
    let (part, last) = (worker / PART, worker % PART + 1);
    SocketAddr::from((Ipv4Addr::new(127, block, part as u8, last as u8), WORKER_PORT))
}
