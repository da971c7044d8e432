//! Numbers for names, in order of appearance.

use std::collections::HashMap;

/// Assigns numbers to names, in order of appearance. A number is never assigned to another name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Interner {
    current: HashMap<String, u32>,
    /// The name of each number, including the numbers that no name has any more.
    names: Vec<String>,
}

impl Interner {
    /// The number of a name. A name without a number gets the next one.
    pub(crate) fn id(&mut self, name: &str) -> u32 {
        if let Some(id) = self.current.get(name) {
            return *id;
        }
        let id = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.current.insert(name.to_owned(), id);
        id
    }

    /// The number of a name, if it has one now.
    pub(crate) fn find(&self, name: &str) -> Option<u32> {
        self.current.get(name).copied()
    }

    /// The names by number, including those that have no number any more.
    pub(crate) fn names(&self) -> &[String] {
        &self.names
    }

    /// Whether no name has a number now.
    pub(crate) fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// The names of this interner with the numbers that they have in `older`, so that the older numbers stay valid. `is_same`
    /// gets a name's number here and its number in `older`, and says whether both mean the same thing. If so, the name keeps its
    /// number in `older`; otherwise it gets a new one. Names that are missing here have no number any more.
    pub(crate) fn keep_numbers(
        &self,
        older: &Interner,
        is_same: impl Fn(usize, usize) -> bool,
    ) -> RenumberedNames {
        let mut names = older.names.clone();
        let mut current = HashMap::new();
        let mut numbers = Vec::new();
        for (here, name) in self.names.iter().enumerate() {
            let is_kept = |there: &usize| older.names[*there] == *name && is_same(here, *there);
            let number = (0..older.names.len()).rev().find(is_kept).unwrap_or(names.len());
            if number == names.len() {
                names.push(name.clone());
            }
            current.insert(name.clone(), number as u32);
            numbers.push(number);
        }
        RenumberedNames { interner: Interner { current, names }, numbers }
    }
}

/// The names of one interner with the numbers of an older one.
pub(crate) struct RenumberedNames {
    pub(crate) interner: Interner,
    /// The new number of each name, indexed by its number before.
    pub(crate) numbers: Vec<usize>,
}
