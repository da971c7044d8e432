//! A simulated disk in memory that fails like a real one. A seed determines its faults.
//!
//! After a power cut, unsynced writes may be lost, torn at any byte, or kept while older ones are lost. Changes of names are
//! durable only after a sync of the directory. Any call can be made to fail. After a failed `sync`, lost bytes can still be
//! read, as from a page cache, but never reach the disk.

mod directory;
mod inode;

use crate::disk::{DirectoryLock, Disk, DiskFile, LockMode};
pub use crate::random::Rng;
use directory::{Directory, NameChange, Names};
use inode::{Change, Inode};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

/// The error number of an I/O error.
const EIO: i32 = 5;
/// The error number of a full disk.
const ENOSPC: i32 = 28;

/// Random faults: each occurs once in this many calls on average; 0 for never.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A write is short.
    pub short: u64,
    /// A write fails because the disk is full.
    pub full: u64,
    /// Any call fails with an I/O error.
    pub io_error: u64,
    /// A sync fails.
    pub sync: u64,
}

#[derive(Debug)]
struct State {
    inodes: Vec<Inode>,
    directory: Directory,
    faults: Faults,
    rng: Rng,
    calls: u64,
    /// The number of the call at which the power is cut. If that call is a write, it is torn. All later calls fail.
    cut_at: Option<u64>,
    /// The maximum size of all files together, in bytes.
    capacity: u64,
}

/// A simulated disk. Clones share the same disk.
#[derive(Clone, Debug)]
pub struct SimDisk(Arc<Mutex<State>>);

struct SimFile {
    disk: SimDisk,
    inode: usize,
}

impl SimDisk {
    /// An empty disk.
    pub fn new(seed: u64) -> SimDisk {
        SimDisk::with_files(Vec::new(), Names::new(), Rng::new(seed), u64::MAX)
    }

    /// A disk with durable files.
    fn with_files(inodes: Vec<Inode>, names: Names, rng: Rng, capacity: u64) -> SimDisk {
        SimDisk(Arc::new(Mutex::new(State {
            inodes,
            directory: Directory::durable(names),
            faults: Faults::default(),
            rng,
            calls: 0,
            cut_at: None,
            capacity,
        })))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Sets the maximum size of all files together, in bytes.
    pub fn set_capacity(&self, capacity: u64) {
        self.state().capacity = capacity;
    }

    /// Cuts the power at the call with this number, counted from now. If that call is a write, it is torn. All later calls
    /// fail.
    pub fn cut_after(&self, calls: u64) {
        let mut state = self.state();
        state.cut_at = Some(state.calls + calls);
    }

    /// The number of calls so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// A disk as this one would be after a power cut now; `seed` determines what survives.
    pub fn reboot(&self, seed: u64) -> SimDisk {
        let (mut rng, state) = (Rng::new(seed), self.state());
        let names = state.directory.after_power_cut(&mut rng);
        let inodes = state.inodes.iter().map(|inode| inode.after_power_cut(&mut rng)).collect();
        SimDisk::with_files(inodes, names, rng, state.capacity)
    }

    /// The bytes of a file, as a reader sees them; `None` if there is no file with this name.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.directory.inode(name).map(|inode| state.inodes[inode].bytes().to_vec())
    }

    /// Replaces the bytes of a file, and makes them durable. Does nothing if there is no file with this name.
    pub fn replace(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        if let Some(inode) = state.directory.inode(name) {
            state.inodes[inode] = Inode::durable(bytes);
        }
    }

    /// Another disk without faults that has the same files, all of them durable.
    pub fn copy(&self) -> SimDisk {
        let state = self.state();
        let inodes = state.inodes.iter().map(|inode| Inode::durable(inode.bytes().to_vec())).collect();
        SimDisk::with_files(inodes, state.directory.names().clone(), state.rng.clone(), state.capacity)
    }
}

impl State {
    /// Counts a call, and decides whether it fails.
    fn call(&mut self) -> io::Result<()> {
        self.calls += 1;
        if self.cut_at.is_some_and(|at| self.calls > at) {
            return Err(io::Error::other("simulated power cut"));
        }
        if self.faults.io_error > 0 && self.rng.once_in(self.faults.io_error) {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        Ok(())
    }

    fn used(&self) -> u64 {
        self.directory.names().values().map(|inode| self.inodes[*inode].len()).sum()
    }
}

impl DiskFile for SimFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.disk.state();
        let cut = state.cut_at.is_some_and(|at| state.calls + 1 == at);
        state.call()?;
        let (full, faults) = (io::Error::from_raw_os_error(ENOSPC), state.faults);
        if faults.full > 0 && state.rng.once_in(faults.full) {
            return Err(full);
        }
        let mut take = bytes.len();
        if cut || (faults.short > 0 && state.rng.once_in(faults.short)) {
            take = state.rng.below(bytes.len() as u64 + 1) as usize;
        }
        let grows = (offset + take as u64).saturating_sub(state.inodes[self.inode].len());
        let free = state.capacity.saturating_sub(state.used());
        if grows > free {
            take = take.saturating_sub((grows - free) as usize);
            if take == 0 {
                return Err(full);
            }
        }
        state.inodes[self.inode].change(Change::Write { offset, bytes: bytes[..take].to_vec() });
        if cut { Err(io::Error::other("simulated power cut")) } else { Ok(take) }
    }

    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        let state = self.disk.state();
        let bytes = state.inodes[self.inode].bytes();
        let from = (offset as usize).min(bytes.len());
        let len = into.len().min(bytes.len() - from);
        into[..len].copy_from_slice(&bytes[from..from + len]);
        Ok(len)
    }

    fn len(&self) -> io::Result<u64> {
        Ok(self.disk.state().inodes[self.inode].len())
    }

    fn truncate(&self, len: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        state.call()?;
        state.inodes[self.inode].change(Change::Truncate { len });
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.call()?;
        let faults = state.faults;
        let fails = faults.sync > 0 && state.rng.once_in(faults.sync);
        let State { inodes, rng, .. } = &mut *state;
        let inode = &mut inodes[self.inode];
        if fails {
            inode.sync_partially(rng);
            return Err(io::Error::from_raw_os_error(EIO));
        }
        inode.sync();
        Ok(())
    }
}

impl Disk for SimDisk {
    fn name(&self) -> String {
        "simulated disk".to_owned()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().directory.names().keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let mut state = self.state();
        state.call()?;
        if state.directory.inode(name).is_some() {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.directory.change(NameChange::Create { name: name.to_owned(), inode });
        Ok(Arc::new(SimFile { disk: self.clone(), inode }))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let inode = self.state().directory.inode(name);
        let inode = inode.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        Ok(Arc::new(SimFile { disk: self.clone(), inode }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.call()?;
        state.directory.change(NameChange::Rename { from: from.to_owned(), to: to.to_owned() });
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.call()?;
        if state.directory.inode(name).is_none() {
            return Err(io::ErrorKind::NotFound.into());
        }
        state.directory.change(NameChange::Remove { name: name.to_owned() });
        Ok(())
    }

    fn sync_dir(&self) -> io::Result<()> {
        let mut state = self.state();
        state.call()?;
        let faults = state.faults;
        if faults.sync > 0 && state.rng.once_in(faults.sync) {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        state.directory.sync();
        Ok(())
    }

    fn lock(&self, _mode: LockMode) -> io::Result<Option<DirectoryLock>> {
        Ok(Some(Box::new(())))
    }
}
