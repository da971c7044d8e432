//! The tree of shares: federation, installations, their tenants, the tenants' classes.

use rustc_hash::FxHashMap;
use thiserror::Error;

/// The maximum number of tenants of a tree.
pub const MAX_TENANTS: usize = 100_000;
/// The maximum number of classes of a tenant.
pub const MAX_CLASSES: usize = 64;

/// The shares of the federation. A weight is relative to the other weights of its level. A participant with a weight of 0 is
/// guaranteed nothing, and gets only capacity that others leave unused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    /// The installations.
    pub installations: Vec<Installation>,
}

/// One installation with its tenants. The usage of a tenant counts wherever it happens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Installation {
    /// The name of the installation, for messages.
    pub name: String,
    /// The weight of the installation within the federation.
    pub weight: u32,
    /// The tenants of the installation.
    pub tenants: Vec<Tenant>,
}

/// One tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// The name of the tenant, the same in the whole federation.
    pub name: String,
    /// The weight of the tenant within its installation.
    pub weight: u32,
    /// The weights of the classes within the tenant's share, by the number of the class. If empty, all classes have one
    /// account.
    pub classes: Vec<u32>,
}

/// The identifier of a tenant in reports: the 32-bit FNV-1a hash of its name, which does not depend on a member's settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(pub u32);

impl TenantKey {
    /// The key of the tenant with this name.
    pub fn from_name(name: &str) -> TenantKey {
        /// The parameters of FNV-1a with 32 bits.
        const OFFSET_BASIS: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        let extend = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(PRIME);
        TenantKey(name.bytes().fold(OFFSET_BASIS, extend))
    }
}

/// Why a tree of shares was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SharesError {
    /// A name is listed twice. Holds the name.
    #[error("tenant {0:?} is listed twice")]
    DuplicateTenant(String),
    /// Two names have the same [`TenantKey`]. Holds the names.
    #[error("tenants {0:?} and {1:?} have the same 32-bit key; rename one of them")]
    KeyCollision(String, String),
    /// There are more than [`MAX_TENANTS`] tenants. Holds their number.
    #[error("there are {0} tenants, and the limit is {MAX_TENANTS}")]
    TooManyTenants(usize),
    /// A tenant has more than [`MAX_CLASSES`] classes. Holds its name and the number of its classes.
    #[error("tenant {0:?} has {1} classes, and the limit is {MAX_CLASSES}")]
    TooManyClasses(String, usize),
}

/// A tenant of the tree, with its share and its allowance as amounts in the account.
#[derive(Clone, Debug)]
pub(crate) struct Leaf {
    pub key: TenantKey,
    pub installation: usize,
    pub weight: u64,
    pub classes: Vec<u32>,
    /// The tenant's part of the capacity by the weights alone.
    pub share: u64,
    /// The share plus the capacity lent to the tenant.
    pub allowance: u64,
}

impl Leaf {
    /// The share of one class.
    pub fn class_share(&self, class: u8) -> u64 {
        let total_weight: u64 = self.classes.iter().map(|weight| u64::from(*weight)).sum();
        let weight = self.classes.get(usize::from(class)).copied().unwrap_or(0);
        proportion(self.share, u64::from(weight), total_weight)
    }
}

/// The tree of shares, with the amounts derived from the weights.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareTree {
    pub leaves: Vec<Leaf>,
    /// The index in `leaves` of each tenant.
    by_key: FxHashMap<TenantKey, u32>,
    installations: Vec<InstallationShare>,
}

#[derive(Clone, Copy, Debug)]
struct InstallationShare {
    weight: u64,
    share: u64,
}

/// The part of `whole` for a weight out of `total_weight`; 0 if the total is 0.
fn proportion(whole: u64, weight: u64, total_weight: u64) -> u64 {
    (u128::from(whole) * u128::from(weight)).checked_div(u128::from(total_weight)).unwrap_or(0) as u64
}

/// A participant of one level of the tree: its weight, its share and its need.
#[derive(Clone, Copy, Debug)]
struct Participant {
    weight: u64,
    share: u64,
    need: u64,
}

impl Participant {
    /// Whether the participant needs its whole share or more.
    fn is_unsatisfied(self) -> bool {
        self.need >= self.share.max(1)
    }
}

/// The demand of one level of the tree.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// The sum of the needs of the participants that need less than their share.
    satisfied_need: u64,
    /// The sum of the weights of the participants that need their share or more.
    unsatisfied_weight: u64,
    /// The number of participants with a weight of 0 and a need.
    zero_weight_participants: u64,
}

impl Demand {
    fn add(&mut self, participant: Participant) {
        if participant.weight == 0 {
            self.zero_weight_participants += u64::from(participant.need > 0);
        } else if participant.is_unsatisfied() {
            self.unsatisfied_weight += participant.weight;
        } else {
            self.satisfied_need += participant.need;
        }
    }

    /// The part of `whole` that a participant could get at most, by max-min fairness (water-filling). A participant that needs
    /// less than its share is satisfied at once, since the level only rises. The others divide the rest by their weights.
    fn allowance(&self, whole: u64, participant: Participant) -> u64 {
        let Participant { weight, share, need } = participant;
        let left = whole.saturating_sub(self.satisfied_need);
        if weight == 0 {
            return if self.unsatisfied_weight > 0 { 0 } else { left / self.zero_weight_participants.max(1) };
        }
        if participant.is_unsatisfied() {
            return proportion(left, weight, self.unsatisfied_weight);
        }
        proportion(left.saturating_add(need), weight, self.unsatisfied_weight + weight).max(share)
    }
}

impl ShareTree {
    /// Validates the shares, and divides `whole` by them.
    pub fn new(shares: &Shares, whole: u64) -> Result<ShareTree, SharesError> {
        let tenants = shares.installations.iter().map(|installation| installation.tenants.len()).sum();
        if tenants > MAX_TENANTS {
            return Err(SharesError::TooManyTenants(tenants));
        }
        let mut tree = ShareTree::default();
        let mut names: FxHashMap<TenantKey, &str> = FxHashMap::default();
        let weights = shares.installations.iter().map(|installation| u64::from(installation.weight));
        let total_weight: u64 = weights.sum();
        for installation in &shares.installations {
            let weight = u64::from(installation.weight);
            let share = proportion(whole, weight, total_weight);
            let tenant_weight: u64 = installation.tenants.iter().map(|tenant| u64::from(tenant.weight)).sum();
            for tenant in &installation.tenants {
                let key = checked_key(tenant, &mut names)?;
                let share = proportion(share, u64::from(tenant.weight), tenant_weight);
                tree.add_leaf(key, tenant, share);
            }
            tree.installations.push(InstallationShare { weight, share });
        }
        Ok(tree)
    }

    /// Adds a tenant of the installation that will be added to `installations` next.
    fn add_leaf(&mut self, key: TenantKey, tenant: &Tenant, share: u64) {
        self.by_key.insert(key, self.leaves.len() as u32);
        self.leaves.push(Leaf {
            key,
            installation: self.installations.len(),
            weight: u64::from(tenant.weight),
            classes: tenant.classes.clone(),
            share,
            allowance: share,
        });
    }

    /// The tenant of a key, if it has a share.
    pub fn leaf(&self, key: TenantKey) -> Option<&Leaf> {
        self.by_key.get(&key).map(|leaf| &self.leaves[*leaf as usize])
    }

    /// Lends unused capacity: first within each installation, then between installations. `needs` are the high ends of the
    /// usage of the leaves, in their order, so capacity that may be in use is not lent.
    pub fn lend(&mut self, whole: u64, needs: &[u64]) {
        let mut within = vec![Demand::default(); self.installations.len()];
        for (leaf, need) in self.leaves.iter().zip(needs) {
            within[leaf.installation].add(leaf.participant(*need));
        }
        let mut level = Demand::default();
        for (installation, demand) in self.installations.iter().zip(&within) {
            let mut participant = installation.participant(demand);
            participant.need = participant.need.max(u64::from(demand.zero_weight_participants > 0));
            level.add(participant);
        }
        let wholes: Vec<u64> = (self.installations.iter().zip(&within))
            .map(|(installation, demand)| level.allowance(whole, installation.participant(demand)))
            .collect();
        for (leaf, need) in self.leaves.iter_mut().zip(needs) {
            let whole = wholes[leaf.installation];
            let allowance = within[leaf.installation].allowance(whole, leaf.participant(*need));
            leaf.allowance = allowance.max(leaf.share);
        }
    }
}

impl Leaf {
    fn participant(&self, need: u64) -> Participant {
        Participant { weight: self.weight, share: self.share, need }
    }
}

impl InstallationShare {
    /// An installation with an unsatisfied tenant is unsatisfied itself.
    fn participant(&self, demand: &Demand) -> Participant {
        let is_unsatisfied =
            demand.unsatisfied_weight > 0 || (demand.zero_weight_participants > 0 && self.weight > 0);
        let need = if is_unsatisfied { u64::MAX } else { demand.satisfied_need };
        Participant { weight: self.weight, share: self.share, need }
    }
}

/// The key of a tenant, after checking that the tenant and its key are listed only once and that it has at most
/// [`MAX_CLASSES`] classes.
fn checked_key<'a>(
    tenant: &'a Tenant,
    names: &mut FxHashMap<TenantKey, &'a str>,
) -> Result<TenantKey, SharesError> {
    let key = TenantKey::from_name(&tenant.name);
    match names.insert(key, &tenant.name) {
        Some(other) if other == tenant.name => Err(SharesError::DuplicateTenant(other.to_owned())),
        Some(other) => Err(SharesError::KeyCollision(other.to_owned(), tenant.name.clone())),
        None if tenant.classes.len() > MAX_CLASSES => {
            Err(SharesError::TooManyClasses(tenant.name.clone(), tenant.classes.len()))
        }
        None => Ok(key),
    }
}

#[cfg(test)]
mod tests;
