//! An interner, which assigns numbers to names.

use std::collections::HashMap;

/// Assigns numbers to names, in order of appearance. A number is never assigned to another name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Interner {
    current: HashMap<String, u32>,
    /// The name of each number, including numbers that are no longer in use.
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

    /// The names by number, including those whose numbers are no longer in use.
    pub(crate) fn names(&self) -> &[String] {
        &self.names
    }

    /// Whether no name has a number now.
    pub(crate) fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// Renumbers the names of this interner so that the numbers assigned by `older` stay valid. `is_same` is given a name's
    /// number here and its number in `older`, and returns whether both mean the same thing. If so, the name keeps its number in
    /// `older`; otherwise it gets a new one. The numbers of names that are missing here are retired.
    pub(crate) fn keep_numbers(
        &self,
        older: &Interner,
        is_same: impl Fn(usize, usize) -> bool,
    ) -> RenumberedNames {
        let mut names = older.names.clone();
        let mut current = HashMap::new();
        let mut numbers = Vec::new();
        for (own_number, name) in self.names.iter().enumerate() {
            let is_kept = |older_number: &usize| {
                older.names[*older_number] == *name && is_same(own_number, *older_number)
            };
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

/// The names of one interner, renumbered so that the numbers of an older one stay valid.
pub(crate) struct RenumberedNames {
    pub(crate) interner: Interner,
    /// The new number of each name, indexed by its previous number.
    pub(crate) numbers: Vec<usize>,
}
