//! The features by which jobs are grouped, and the chain of cells that a job belongs to: from its class down to all of its
//! features together.

use crate::WorkerKey;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Number of attributes of a request that count, beside class, tenant and subject.
pub const ATTRIBUTES: usize = 2;

/// Most cells of a job's chain.
pub(crate) const MAX_CHAIN: usize = 4 + ATTRIBUTES;

/// A hash of a name that is the same in every process and version: for names of classes, tenants, subjects and kinds.
/// (SipHash-1-3 with a fixed key.)
pub fn stable_hash(name: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6d6f_7468, 0x7275_6e73);
    hasher.write(name);
    hasher.finish()
}

/// The features of a request from which its run time is estimated. All numbers must mean the same in each dispatcher, as
/// those of [`stable_hash`] do; an index into one process's table does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobFeatures {
    /// The class.
    pub class: u64,
    /// The tenant that it belongs to.
    pub tenant: Option<u64>,
    /// The program or data set that it is about.
    pub subject: Option<u64>,
    /// Other attributes, such as the power of two of its size; each index is a dimension of its own.
    pub attributes: [Option<u64>; ATTRIBUTES],
}

impl JobFeatures {
    /// The features of a job of which only the class is known.
    pub fn from_class(class: u64) -> Self {
        JobFeatures { class, tenant: None, subject: None, attributes: [None; ATTRIBUTES] }
    }
}

/// What the jobs of a cell have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Level {
    Class,
    Tenant,
    Subject,
    Attribute(u8),
    All,
    Worker,
}

impl Level {
    pub fn index(self) -> usize {
        match self {
            Level::Class => 0,
            Level::Tenant => 1,
            Level::Subject => 2,
            Level::Attribute(place) => 3 + usize::from(place),
            Level::All => 3 + ATTRIBUTES,
            Level::Worker => 4 + ATTRIBUTES,
        }
    }

    pub fn from_index(index: u8) -> Option<Self> {
        Some(match usize::from(index) {
            0 => Level::Class,
            1 => Level::Tenant,
            2 => Level::Subject,
            n if n < 3 + ATTRIBUTES => Level::Attribute(index - 3),
            n if n == 3 + ATTRIBUTES => Level::All,
            n if n == 4 + ATTRIBUTES => Level::Worker,
            _ => return None,
        })
    }
}

/// A cell: its level and a hash of what its jobs have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CellId {
    pub level: Level,
    pub hash: u64,
}

impl std::hash::Hash for CellId {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash);
    }
}

/// Returns a cell's hash as it is: it is a keyed hash already. (A member that publishes made-up cells could cause collisions
/// in the others' tables; the number of cells is bounded.)
#[derive(Default)]
pub(crate) struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.0 = self.0.rotate_left(8) ^ u64::from(*byte));
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}

fn cell(level: Level, parts: &[u64]) -> CellId {
    let mut hasher = SipHasher13::new_with_keys(0x6365_6c6c, 1);
    hasher.write_u8(level.index() as u8);
    parts.iter().for_each(|part| hasher.write(&part.to_le_bytes()));
    CellId { level, hash: hasher.finish() }
}

/// The cell of a worker.
pub(crate) fn worker_cell(worker: WorkerKey) -> CellId {
    cell(Level::Worker, &[worker.0])
}

/// The cells that a job belongs to, the widest first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CellChain {
    cells: [CellId; MAX_CHAIN],
    len: u8,
}

impl CellChain {
    pub fn new(features: &JobFeatures) -> Self {
        let class = cell(Level::Class, &[features.class]);
        let mut chain = CellChain { cells: [class; MAX_CHAIN], len: 1 };
        let mut push = |cell| {
            chain.cells[usize::from(chain.len)] = cell;
            chain.len += 1;
        };
        // Each part is hashed with its presence, so that an absent part and a part of value 0 differ.
        let parts = [features.tenant, features.subject, features.attributes[0], features.attributes[1]];
        let levels = [Level::Tenant, Level::Subject, Level::Attribute(0), Level::Attribute(1)];
        for (level, part) in levels.into_iter().zip(parts) {
            if let Some(part) = part {
                push(cell(level, &[features.class, part]));
            }
        }
        if parts.iter().flatten().count() > 1 {
            let mut all = vec![features.class];
            parts.iter().for_each(|part| all.extend([u64::from(part.is_some()), part.unwrap_or(0)]));
            push(cell(Level::All, &all));
        }
        chain
    }

    pub fn cells(&self) -> &[CellId] {
        &self.cells[..usize::from(self.len)]
    }

    pub fn class(&self) -> CellId {
        self.cells[0]
    }
}
