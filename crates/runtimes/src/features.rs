//! The features by which jobs are grouped into cells, and the chain of cells of a job: from its class down to all of its
//! features together.

use crate::WorkerKey;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The number of further attributes of a job, in addition to class, tenant and subject.
pub const ATTRIBUTES: usize = 2;

/// The maximum number of cells in a job's chain.
pub(crate) const MAX_CHAIN: usize = 4 + ATTRIBUTES;

/// A hash of a name that is the same in every process and version (SipHash-1-3 with a fixed key): for the names of classes,
/// tenants, subjects and kinds.
pub fn stable_hash(name: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6d6f_7468, 0x7275_6e73);
    hasher.write(name);
    hasher.finish()
}

/// The features of a job from which its run time is estimated. All numbers must have the same meaning at every dispatcher,
/// like those of [`stable_hash`] and unlike an index into a table of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobFeatures {
    /// The class of the job.
    pub class: u64,
    /// The tenant of the job.
    pub tenant: Option<u64>,
    /// The program or data set that the job concerns.
    pub subject: Option<u64>,
    /// Other attributes, such as the power of two of the job's size. Each index is a separate dimension.
    pub attributes: [Option<u64>; ATTRIBUTES],
}

impl JobFeatures {
    /// The features of a job of which only the class is known.
    pub fn from_class(class: u64) -> Self {
        JobFeatures { class, tenant: None, subject: None, attributes: [None; ATTRIBUTES] }
    }
}

/// The level of a cell: the feature that its jobs have in common.
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
            Level::Attribute(attribute) => 3 + usize::from(attribute),
            Level::All => 3 + ATTRIBUTES,
            Level::Worker => 4 + ATTRIBUTES,
        }
    }

    pub fn from_index(index: u8) -> Option<Self> {
        Some(match usize::from(index) {
            0 => Level::Class,
            1 => Level::Tenant,
            2 => Level::Subject,
            level if level < 3 + ATTRIBUTES => Level::Attribute(index - 3),
            level if level == 3 + ATTRIBUTES => Level::All,
            level if level == 4 + ATTRIBUTES => Level::Worker,
            _ => return None,
        })
    }
}

/// Identifies a cell: its level, and a hash of the features that its jobs have in common.
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

/// Uses the hash of a cell as it is, since that is a keyed hash already. A member that publishes forged cells could cause
/// collisions in the tables of others, but the number of cells is bounded.
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

/// The cells of a job, the widest first.
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
