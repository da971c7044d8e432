//! The names of files on the simulated disk: as readers see them, and as they are after a power cut.

use crate::random::Rng;
use std::collections::BTreeMap;

/// Names of files with the indices of their inodes.
pub(super) type Names = BTreeMap<String, usize>;

#[derive(Clone, Debug)]
pub(super) enum NameChange {
    Create { name: String, inode: usize },
    Rename { from: String, to: String },
    Remove { name: String },
}

impl NameChange {
    fn apply_to(&self, names: &mut Names) {
        match self {
            NameChange::Create { name, inode } => drop(names.insert(name.clone(), *inode)),
            NameChange::Rename { from, to } => {
                if let Some(inode) = names.remove(from) {
                    names.insert(to.clone(), inode);
                }
            }
            NameChange::Remove { name } => drop(names.remove(name)),
        }
    }
}

/// A directory.
#[derive(Debug)]
pub(super) struct Directory {
    names: Names,
    /// The names that survive a power cut.
    durable: Names,
    /// The changes since the last sync.
    unsynced: Vec<NameChange>,
}

impl Directory {
    /// A directory whose names are all durable.
    pub fn durable(names: Names) -> Directory {
        Directory { durable: names.clone(), names, unsynced: Vec::new() }
    }

    /// The names as a reader sees them.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The index of the inode of a name.
    pub fn inode(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Applies a change, which readers see at once.
    pub fn change(&mut self, change: NameChange) {
        change.apply_to(&mut self.names);
        self.unsynced.push(change);
    }

    /// Makes all changes durable.
    pub fn sync(&mut self) {
        self.durable = self.names.clone();
        self.unsynced.clear();
    }

    /// The names after a power cut. A random number of the unsynced changes survives, in order, as when a journal is replayed.
    pub fn after_power_cut(&self, rng: &mut Rng) -> Names {
        let mut names = self.durable.clone();
        let kept = rng.below(self.unsynced.len() as u64 + 1) as usize;
        self.unsynced[..kept].iter().for_each(|change| change.apply_to(&mut names));
        names
    }
}
