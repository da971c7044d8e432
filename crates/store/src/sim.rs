//! A disk in memory that fails as real ones do, from a seed.
//!
//! What was not synced may be lost, torn at any byte, or kept while something older is lost; names change durably only when
//! the directory is synced. Any call may be made to fail. After a failed `sync` the lost bytes still read back, as they
//! do from a page cache, and never reach the disk.

use crate::disk::{DirectoryLock, Disk, DiskFile, LockMode};
pub use crate::random::Rng;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

/// The error number for an I/O error.
const EIO: i32 = 5;
/// The error number for a full disk.
const ENOSPC: i32 = 28;

/// Faults that happen at random, each once in so many calls; 0 for never.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A write is short.
    pub short: u64,
    /// A write fails because the disk is full.
    pub full: u64,
    /// Any call fails with an I/O error.
    pub broken: u64,
    /// A sync fails.
    pub sync: u64,
}

#[derive(Clone, Debug)]
enum Pending {
    Write(u64, Vec<u8>),
    Truncate(u64),
}

#[derive(Clone, Debug, Default)]
struct Inode {
    /// What a reader sees, as in a page cache.
    cached: Vec<u8>,
    /// What a power cut does not lose.
    durable: Vec<u8>,
    pending: Vec<Pending>,
}

impl Inode {
    /// A file whose bytes are all durable.
    fn durable(bytes: Vec<u8>) -> Inode {
        Inode { cached: bytes.clone(), durable: bytes, pending: Vec::new() }
    }

    /// The file after a power cut: unsynced bytes may have reached the disk in any selection, and each write in part.
    fn after_power_cut(&self, rng: &mut Rng) -> Inode {
        let mut bytes = self.durable.clone();
        let selection = Selection::random(rng);
        for change in &self.pending {
            let is_whole = match selection {
                Selection::All => true,
                Selection::Some => rng.once_in(2),
                Selection::Partial => false,
            };
            match change {
                _ if is_whole => apply(&mut bytes, change),
                Pending::Write(offset, data) if rng.once_in(2) => {
                    let part = rng.below(data.len() as u64 + 1) as usize;
                    apply(&mut bytes, &Pending::Write(*offset, data[..part].to_vec()));
                    // The length may be there before the bytes are.
                    if rng.once_in(4) && bytes.len() < *offset as usize + data.len() {
                        bytes.resize(*offset as usize + data.len(), 0);
                    }
                }
                _ => {}
            }
        }
        Inode::durable(bytes)
    }
}

/// Which unsynced writes of a file survive a power cut in full.
#[derive(Clone, Copy, Debug)]
enum Selection {
    All,
    Some,
    Partial,
}

impl Selection {
    fn random(rng: &mut Rng) -> Selection {
        match rng.below(3) {
            0 => Selection::All,
            1 => Selection::Some,
            _ => Selection::Partial,
        }
    }
}

#[derive(Clone, Debug)]
enum NameChange {
    Create(String, usize),
    Rename(String, String),
    Remove(String),
}

#[derive(Debug)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    name_changes: Vec<NameChange>,
    faults: Faults,
    rng: Rng,
    calls: u64,
    /// From this call on every call fails: the power was cut.
    cut_at: Option<u64>,
    /// Most bytes of all files together.
    room: u64,
}

/// A simulated disk. Clones are the same disk.
#[derive(Clone, Debug)]
pub struct SimDisk(Arc<Mutex<State>>);

struct SimFile(SimDisk, usize);

/// Applies a change to the bytes of a file.
fn apply(bytes: &mut Vec<u8>, change: &Pending) {
    match change {
        Pending::Write(offset, data) => {
            let (from, to) = (*offset as usize, *offset as usize + data.len());
            if bytes.len() < to {
                bytes.resize(to, 0);
            }
            bytes[from..to].copy_from_slice(data);
        }
        Pending::Truncate(len) => bytes.resize(*len as usize, 0),
    }
}

/// Applies a change to the names of a directory.
fn rename_in(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Create(name, inode) => drop(names.insert(name.clone(), *inode)),
        NameChange::Rename(from, to) => {
            if let Some(inode) = names.remove(from) {
                names.insert(to.clone(), inode);
            }
        }
        NameChange::Remove(name) => drop(names.remove(name)),
    }
}

impl SimDisk {
    /// An empty disk.
    pub fn new(seed: u64) -> SimDisk {
        SimDisk::with_files(Vec::new(), BTreeMap::new(), Rng::new(seed), u64::MAX)
    }

    /// A disk with files that are durable.
    fn with_files(inodes: Vec<Inode>, names: BTreeMap<String, usize>, rng: Rng, room: u64) -> SimDisk {
        SimDisk(Arc::new(Mutex::new(State {
            inodes,
            durable_names: names.clone(),
            names,
            name_changes: Vec::new(),
            faults: Faults::default(),
            rng,
            calls: 0,
            cut_at: None,
            room,
        })))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Sets the most bytes of all files together.
    pub fn set_room(&self, room: u64) {
        self.state().room = room;
    }

    /// Cuts the power at the n-th call from now.
    pub fn cut_after(&self, calls: u64) {
        let mut state = self.state();
        state.cut_at = Some(state.calls + calls);
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// The disk as it comes back after a power cut now.
    pub fn reboot(&self, seed: u64) -> SimDisk {
        let (mut rng, state) = (Rng::new(seed), self.state());
        let mut names = state.durable_names.clone();
        // Names change in order, as a journal replays them: some first part of the changes is there.
        let kept = rng.below(state.name_changes.len() as u64 + 1) as usize;
        state.name_changes[..kept].iter().for_each(|change| rename_in(&mut names, change));
        let inodes = state.inodes.iter().map(|inode| inode.after_power_cut(&mut rng)).collect();
        SimDisk::with_files(inodes, names, rng, state.room)
    }

    /// The bytes of a file, to inspect or to damage.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.names.get(name).map(|n| state.inodes[*n].cached.clone())
    }

    /// Replaces the bytes of a file.
    pub fn replace(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        if let Some(n) = state.names.get(name).copied() {
            state.inodes[n] = Inode::durable(bytes);
        }
    }

    /// Another disk with the same files.
    pub fn copy(&self) -> SimDisk {
        let state = self.state();
        let inodes = state.inodes.iter().map(|inode| Inode::durable(inode.cached.clone())).collect();
        SimDisk::with_files(inodes, state.names.clone(), state.rng.clone(), state.room)
    }
}

impl State {
    /// Counts a call, which may fail.
    fn call(&mut self) -> io::Result<()> {
        self.calls += 1;
        if self.cut_at.is_some_and(|at| self.calls > at) {
            return Err(io::Error::other("the power is gone"));
        }
        if self.faults.broken > 0 && self.rng.once_in(self.faults.broken) {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        Ok(())
    }

    fn used(&self) -> u64 {
        self.names.values().map(|n| self.inodes[*n].cached.len() as u64).sum()
    }
}

impl DiskFile for SimFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.state();
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
        let grows = (offset + take as u64).saturating_sub(state.inodes[self.1].cached.len() as u64);
        let room = state.room.saturating_sub(state.used());
        if grows > room {
            take = take.saturating_sub((grows - room) as usize);
            if take == 0 {
                return Err(full);
            }
        }
        let change = Pending::Write(offset, bytes[..take].to_vec());
        let inode = &mut state.inodes[self.1];
        apply(&mut inode.cached, &change);
        inode.pending.push(change);
        if cut { Err(io::Error::other("the power is gone")) } else { Ok(take) }
    }

    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        let state = self.0.state();
        let bytes = &state.inodes[self.1].cached;
        let from = (offset as usize).min(bytes.len());
        let n = into.len().min(bytes.len() - from);
        into[..n].copy_from_slice(&bytes[from..from + n]);
        Ok(n)
    }

    fn len(&self) -> io::Result<u64> {
        Ok(self.0.state().inodes[self.1].cached.len() as u64)
    }

    fn truncate(&self, len: u64) -> io::Result<()> {
        let mut state = self.0.state();
        state.call()?;
        let inode = &mut state.inodes[self.1];
        let change = Pending::Truncate(len);
        apply(&mut inode.cached, &change);
        inode.pending.push(change);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.0.state();
        state.call()?;
        let faults = state.faults;
        let fails = faults.sync > 0 && state.rng.once_in(faults.sync);
        let mut rng = state.rng.clone();
        let inode = &mut state.inodes[self.1];
        for change in std::mem::take(&mut inode.pending) {
            if !fails || rng.once_in(2) {
                apply(&mut inode.durable, &change);
            }
        }
        state.rng = rng;
        if fails { Err(io::Error::from_raw_os_error(EIO)) } else { Ok(()) }
    }
}

impl Disk for SimDisk {
    fn name(&self) -> String {
        "simulated disk".to_owned()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let mut state = self.state();
        state.call()?;
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.names.insert(name.to_owned(), inode);
        state.name_changes.push(NameChange::Create(name.to_owned(), inode));
        Ok(Arc::new(SimFile(self.clone(), inode)))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let inode = self.state().names.get(name).copied();
        let inode = inode.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        Ok(Arc::new(SimFile(self.clone(), inode)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.call()?;
        let change = NameChange::Rename(from.to_owned(), to.to_owned());
        rename_in(&mut state.names, &change);
        state.name_changes.push(change);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.call()?;
        if !state.names.contains_key(name) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let change = NameChange::Remove(name.to_owned());
        rename_in(&mut state.names, &change);
        state.name_changes.push(change);
        Ok(())
    }

    fn sync_dir(&self) -> io::Result<()> {
        let mut state = self.state();
        state.call()?;
        let faults = state.faults;
        if faults.sync > 0 && state.rng.once_in(faults.sync) {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        state.durable_names = state.names.clone();
        state.name_changes.clear();
        Ok(())
    }

    fn lock(&self, _mode: LockMode) -> io::Result<Option<DirectoryLock>> {
        Ok(Some(Box::new(())))
    }
}
