//! Numbers for names, in order of appearance.

use std::collections::HashMap;

/// Hands out numbers in order of appearance. A number is never given to another name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Interner {
    current: HashMap<String, u32>,
    /// The name of each number, those included that names have left behind.
    names: Vec<String>,
}

impl Interner {
    /// The number of a name; a new one if it has none.
    pub(crate) fn id(&mut self, name: &str) -> u32 {
        if let Some(id) = self.current.get(name) {
            return *id;
        }
        let id = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.current.insert(name.to_owned(), id);
        id
    }

    /// The number of a name that has one now.
    pub(crate) fn find(&self, name: &str) -> Option<u32> {
        self.current.get(name).copied()
    }

    /// The names by number.
    pub(crate) fn names(&self) -> &[String] {
        &self.names
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// The same names under the numbers that they had in `older`, where what they stand for is the `same` (by the new number
    /// and the old), else under new ones; and the number of each. Names that are missing here lose theirs.
    pub(crate) fn after(
        &self,
        older: &Interner,
        same: impl Fn(usize, usize) -> bool,
    ) -> (Interner, Vec<usize>) {
        let (mut names, mut current, mut numbers) = (older.names.clone(), HashMap::new(), Vec::new());
        for (new, name) in self.names.iter().enumerate() {
            let kept = (0..older.names.len()).rev().find(|old| older.names[*old] == *name && same(new, *old));
            let number = kept.unwrap_or_else(|| {
                names.push(name.clone());
                names.len() - 1
            });
            current.insert(name.clone(), number as u32);
            numbers.push(number);
        }
        (Interner { current, names }, numbers)
    }
}
