//! What makes two jobs alike: a chain of cells from the class down to the very same request.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The most facts of a request that count, beside class, tenant and subject.
pub const FACTS: usize = 2;

/// Cells on a job's chain, at most.
pub const CHAIN: usize = 4 + FACTS;

/// A number for a name that is the same in every process and version: names of classes, tenants, subjects, kinds.
/// (SipHash-1-3 with a fixed key.)
pub fn number(name: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6d6f_7468, 0x7275_6e73);
    hasher.write(name);
    hasher.finish()
}

/// What a request carries that tells how long it will run. All numbers must mean the same in each dispatcher, as those
/// of [`number`] do; an index into one process's table does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Likeness {
    /// Its class.
    pub class: u64,
    /// Whose it is.
    pub tenant: Option<u64>,
    /// The program or data set that it is about.
    pub subject: Option<u64>,
    /// What else it carries, such as the power of two of its size; each place is a dimension of its own.
    pub facts: [Option<u64>; FACTS],
}

impl Likeness {
    /// A job of which only the class is known.
    pub fn of_class(class: u64) -> Self {
        Likeness { class, tenant: None, subject: None, facts: [None; FACTS] }
    }
}

/// What the jobs of a cell have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Level {
    Class,
    Tenant,
    Subject,
    Fact(u8),
    All,
    Worker,
}

impl Level {
    pub fn index(self) -> usize {
        match self {
            Level::Class => 0,
            Level::Tenant => 1,
            Level::Subject => 2,
            Level::Fact(place) => 3 + usize::from(place),
            Level::All => 3 + FACTS,
            Level::Worker => 4 + FACTS,
        }
    }

    pub fn from_index(index: u8) -> Option<Self> {
        Some(match usize::from(index) {
            0 => Level::Class,
            1 => Level::Tenant,
            2 => Level::Subject,
            n if n < 3 + FACTS => Level::Fact(index - 3),
            n if n == 3 + FACTS => Level::All,
            n if n == 4 + FACTS => Level::Worker,
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

/// Takes a cell's hash as it is: it is one already, with a key. (A member that tells made-up cells could make others' tables
/// slow; their number is bounded.)
#[derive(Default)]
pub(crate) struct Ready(u64);

impl Hasher for Ready {
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

pub(crate) fn worker(tag: u64) -> CellId {
    cell(Level::Worker, &[tag])
}

/// The cells that a job belongs to, the widest first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chain {
    cells: [CellId; CHAIN],
    len: u8,
}

impl Chain {
    pub fn new(of: &Likeness) -> Self {
        let class = cell(Level::Class, &[of.class]);
        let mut chain = Chain { cells: [class; CHAIN], len: 1 };
        let mut push = |cell| {
            chain.cells[usize::from(chain.len)] = cell;
            chain.len += 1;
        };
        // An absent part and a part of any value must not meet: each part is hashed with its presence.
        let parts = [of.tenant, of.subject, of.facts[0], of.facts[1]];
        let levels = [Level::Tenant, Level::Subject, Level::Fact(0), Level::Fact(1)];
        for (level, part) in levels.into_iter().zip(parts) {
            if let Some(part) = part {
                push(cell(level, &[of.class, part]));
            }
        }
        if parts.iter().flatten().count() > 1 {
            let mut all = vec![of.class];
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
