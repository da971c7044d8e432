//! The tree of shares: federation, installations, their tenants, the tenants' classes.

use rustc_hash::FxHashMap;
use thiserror::Error;

/// The most tenants of a tree, and the most classes of a tenant.
pub const MOST_TENANTS: usize = 100_000;
/// The most classes of a tenant.
pub const MOST_CLASSES: usize = 64;

/// Who has a share of the federation, and how much of it. Weights count beside those of the same level only; a weight of 0
/// is promised nothing and gets what is left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    /// The installations.
    pub installations: Vec<Installation>,
}

/// One installation and the tenants whose home it is. Their use counts wherever it happens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Installation {
    /// Its name, for messages.
    pub name: String,
    /// Its part of the federation.
    pub weight: u32,
    /// Its tenants.
    pub tenants: Vec<Tenant>,
}

/// One tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, the same in the whole federation.
    pub name: String,
    /// Its part of its installation.
    pub weight: u32,
    /// The parts that its classes have of its share, by the number of the class. Empty: its classes have one account.
    pub classes: Vec<u32>,
}

/// What names a tenant in reports: FNV-1a over its name, the same at every member whatever its file lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(pub u32);

impl TenantKey {
    /// The key of a name.
    pub fn of(name: &str) -> TenantKey {
        TenantKey(name.bytes().fold(0x811c_9dc5, |hash, b| (hash ^ u32::from(b)).wrapping_mul(0x0100_0193)))
    }
}

/// Why a tree of shares was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SharesError {
    /// A name is listed twice.
    #[error("tenant {0:?} is listed twice")]
    Twice(String),
    /// Two names have the same key.
    #[error("tenants {0:?} and {1:?} have the same key: rename one")]
    SameKey(String, String),
    /// There are more than [`MOST_TENANTS`].
    #[error("there are {0} tenants, {MOST_TENANTS} at most")]
    TooMany(usize),
    /// A tenant has more than [`MOST_CLASSES`].
    #[error("tenant {0:?} has {1} classes, {MOST_CLASSES} at most")]
    TooManyClasses(String, usize),
}

/// A tenant of the tree, with what it is promised and what it may have, in units as they stand in the account.
#[derive(Clone, Debug)]
pub(crate) struct Leaf {
    pub key: u32,
    pub installation: usize,
    pub weight: u64,
    pub classes: Vec<u32>,
    /// What the weights alone give it.
    pub share: u64,
    /// The share, and what is lent to it on top.
    pub due: u64,
}

impl Leaf {
    /// The share of one class.
    pub fn class_share(&self, class: u8) -> u64 {
        let all: u64 = self.classes.iter().map(|w| u64::from(*w)).sum();
        let weight = self.classes.get(usize::from(class)).copied().unwrap_or(0);
        part(self.share, u64::from(weight), all)
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Tree {
    pub leaves: Vec<Leaf>,
    pub by_key: FxHashMap<u32, u32>,
    weights: Vec<u64>,
    shares: Vec<u64>,
}

/// What a weight is of a whole.
fn part(whole: u64, weight: u64, of: u64) -> u64 {
    (u128::from(whole) * u128::from(weight)).checked_div(u128::from(of)).unwrap_or(0) as u64
}

/// What a level of the tree wants: the needs of those that use less than their share, and the weights of the others.
#[derive(Clone, Copy, Debug, Default)]
struct Wants {
    settled: u64,
    hungry: u64,
    /// Of weight 0, and use something.
    beggars: u64,
}

impl Wants {
    fn add(&mut self, weight: u64, share: u64, need: u64) {
        match (weight, need >= share.max(1)) {
            (0, _) => self.beggars += u64::from(need > 0),
            (_, true) => self.hungry += weight,
            (_, false) => self.settled += need,
        }
    }

    /// What one of the level may have of `whole`, were it to want all it can get. Max-min: who needs less than its share is
    /// satisfied at once, since the level of the water only rises, and the rest divide what is left by their weights.
    fn due(&self, whole: u64, weight: u64, share: u64, need: u64) -> u64 {
        let left = whole.saturating_sub(self.settled);
        match (weight, need >= share.max(1)) {
            (0, _) if self.hungry > 0 => 0,
            (0, _) => left / self.beggars.max(1),
            (_, true) => part(left, weight, self.hungry),
            (_, false) => part(left.saturating_add(need), weight, self.hungry + weight).max(share),
        }
    }
}

impl Tree {
    /// The tree of these shares of `whole`.
    pub fn of(shares: &Shares, whole: u64) -> Result<Tree, SharesError> {
        let all = shares.installations.iter().map(|i| i.tenants.len()).sum();
        if all > MOST_TENANTS {
            return Err(SharesError::TooMany(all));
        }
        let mut tree = Tree::default();
        let mut names: FxHashMap<u32, &str> = FxHashMap::default();
        let sum: u64 = shares.installations.iter().map(|i| u64::from(i.weight)).sum();
        for (installation, listed) in shares.installations.iter().enumerate() {
            let own = part(whole, u64::from(listed.weight), sum);
            let within: u64 = listed.tenants.iter().map(|t| u64::from(t.weight)).sum();
            tree.weights.push(u64::from(listed.weight));
            tree.shares.push(own);
            for tenant in &listed.tenants {
                let TenantKey(key) = TenantKey::of(&tenant.name);
                match names.insert(key, &tenant.name) {
                    Some(other) if other == tenant.name => return Err(SharesError::Twice(other.to_owned())),
                    Some(other) => return Err(SharesError::SameKey(other.to_owned(), tenant.name.clone())),
                    None if tenant.classes.len() > MOST_CLASSES => {
                        return Err(SharesError::TooManyClasses(tenant.name.clone(), tenant.classes.len()));
                    }
                    None => {}
                }
                let weight = u64::from(tenant.weight);
                let share = part(own, weight, within);
                tree.by_key.insert(key, tree.leaves.len() as u32);
                let classes = tenant.classes.clone();
                tree.leaves.push(Leaf { key, installation, weight, classes, share, due: share });
            }
        }
        Ok(tree)
    }

    /// Lends what is not used: first within each installation, then between them. `needs` are the high ends of what the
    /// leaves use, in their order: what may be in use is not lent.
    pub fn lend(&mut self, whole: u64, needs: &[u64]) {
        let mut within = vec![Wants::default(); self.weights.len()];
        for (leaf, need) in self.leaves.iter().zip(needs) {
            within[leaf.installation].add(leaf.weight, leaf.share, *need);
        }
        // An installation with a hungry tenant is hungry itself.
        let need = |i: usize| {
            let w: &Wants = &within[i];
            if w.hungry > 0 || (w.beggars > 0 && self.weights[i] > 0) { u64::MAX } else { w.settled }
        };
        let mut level = Wants::default();
        for (i, wants) in within.iter().enumerate() {
            let least = u64::from(wants.beggars > 0);
            level.add(self.weights[i], self.shares[i], need(i).max(least));
        }
        let wholes = (0..within.len()).map(|i| level.due(whole, self.weights[i], self.shares[i], need(i)));
        let wholes: Vec<u64> = wholes.collect();
        for (leaf, need) in self.leaves.iter_mut().zip(needs) {
            let due =
                within[leaf.installation].due(wholes[leaf.installation], leaf.weight, leaf.share, *need);
            leaf.due = due.max(leaf.share);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tree(installations: &[(u32, &[u32])]) -> Tree {
        let tenant =
            |i: usize, t: usize, weight| Tenant { name: format!("{i}/{t}"), weight, classes: vec![] };
        let installations = installations.iter().enumerate().map(|(i, (weight, tenants))| Installation {
            name: i.to_string(),
            weight: *weight,
            tenants: tenants.iter().enumerate().map(|(t, w)| tenant(i, t, *w)).collect(),
        });
        Tree::of(&Shares { installations: installations.collect() }, 1_200).unwrap()
    }

    /// Weights, needs, then what each may have.
    type Row = (&'static [(u32, &'static [u32])], &'static [u64], &'static [u64]);

    #[test]
    fn what_is_not_used_is_lent_down_the_tree() {
        let rows: &[Row] = &[
            // All hungry: shares.
            (&[(1, &[1, 1]), (2, &[1])], &[900, 900, 900], &[200, 200, 800]),
            // One idle: first to its sibling, which does not need a tree to get it.
            (&[(1, &[1, 1]), (2, &[1])], &[0, 900, 900], &[200, 400, 800]),
            // A whole installation uses half: the rest goes to the other, by weight.
            (&[(1, &[1, 3]), (2, &[1])], &[900, 900, 400], &[200, 600, 800]),
            // Weight 0: nothing while another wants it, else all that is left.
            (&[(1, &[0, 1])], &[500, 1_200], &[0, 1_200]),
            (&[(1, &[0, 1])], &[500, 300], &[900, 1_200]),
            (&[(1, &[0, 0])], &[5, 5], &[600, 600]),
            (&[(0, &[1]), (1, &[1])], &[5, 200], &[1_000, 1_200]),
        ];
        for (n, (weights, needs, dues)) in rows.iter().enumerate() {
            let mut tree = tree(weights);
            tree.lend(1_200, needs);
            let got: Vec<u64> = tree.leaves.iter().map(|l| l.due).collect();
            assert_eq!(&got, dues, "row {n}");
        }
    }
}
