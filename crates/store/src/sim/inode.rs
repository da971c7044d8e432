//! A file of the simulated disk: the bytes that readers see, and those that survive a power cut.

use crate::random::Rng;

/// A change that may not be durable yet.
#[derive(Clone, Debug)]
pub(super) enum Change {
    Write { offset: u64, bytes: Vec<u8> },
    Truncate { len: u64 },
}

impl Change {
    /// Applies the change to the bytes of a file.
    fn apply_to(&self, file: &mut Vec<u8>) {
        match self {
            Change::Write { offset, bytes } => {
                let start = *offset as usize;
                let end = start + bytes.len();
                if file.len() < end {
                    file.resize(end, 0);
                }
                file[start..end].copy_from_slice(bytes);
            }
            Change::Truncate { len } => file.resize(*len as usize, 0),
        }
    }
}

/// A file.
#[derive(Clone, Debug, Default)]
pub(super) struct Inode {
    /// The bytes that readers see, as in a page cache.
    cached: Vec<u8>,
    /// The bytes that survive a power cut.
    durable: Vec<u8>,
    /// The changes since the last sync.
    unsynced: Vec<Change>,
}

impl Inode {
    /// A file whose bytes are all durable.
    pub fn durable(bytes: Vec<u8>) -> Inode {
        Inode { cached: bytes.clone(), durable: bytes, unsynced: Vec::new() }
    }

    /// The bytes as a reader sees them.
    pub fn bytes(&self) -> &[u8] {
        &self.cached
    }

    pub fn len(&self) -> u64 {
        self.cached.len() as u64
    }

    /// Applies a change, which readers see at once.
    pub fn change(&mut self, change: Change) {
        change.apply_to(&mut self.cached);
        self.unsynced.push(change);
    }

    /// Makes all changes durable.
    pub fn sync(&mut self) {
        for change in std::mem::take(&mut self.unsynced) {
            change.apply_to(&mut self.durable);
        }
    }

    /// Simulates a failed sync: some of the changes become durable, and the others never do.
    pub fn sync_partially(&mut self, rng: &mut Rng) {
        for change in std::mem::take(&mut self.unsynced) {
            if rng.once_in(2) {
                change.apply_to(&mut self.durable);
            }
        }
    }

    /// The file after a power cut. A random selection of the unsynced changes survives, and others survive in part.
    pub fn after_power_cut(&self, rng: &mut Rng) -> Inode {
        let mut bytes = self.durable.clone();
        let selection = Selection::random(rng);
        for change in &self.unsynced {
            let is_whole = match selection {
                Selection::All => true,
                Selection::Some => rng.once_in(2),
                Selection::Partial => false,
            };
            match change {
                _ if is_whole => change.apply_to(&mut bytes),
                Change::Write { offset, bytes: written } if rng.once_in(2) => {
                    tear_write(&mut bytes, *offset, written, rng);
                }
                _ => {}
            }
        }
        Inode::durable(bytes)
    }
}

/// Applies the first part of a write. The file may get its full length although bytes are missing.
fn tear_write(file: &mut Vec<u8>, offset: u64, written: &[u8], rng: &mut Rng) {
    let part = rng.below(written.len() as u64 + 1) as usize;
    Change::Write { offset, bytes: written[..part].to_vec() }.apply_to(file);
    let end = offset as usize + written.len();
    if rng.once_in(4) && file.len() < end {
        file.resize(end, 0);
    }
}

/// Which unsynced writes of a file survive a power cut in full.
#[derive(Clone, Copy, Debug)]
enum Selection {
    All,
    /// About half of them, chosen at random. Some of the others are torn.
    Some,
    /// None of them, but some are torn.
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
