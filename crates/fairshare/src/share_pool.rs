//! The shares of a capacity, and the lending of unused shares.

use crate::clock::Bucket;
use crate::shares::{Leaf, ShareTree, Shares, SharesError};
use crate::usage_estimate::UsageEstimator;
use crate::valuation::Interval;
use crate::{TenantKey, accounts::Accounts};

/// The federation's capacity, divided into shares. Unused shares are lent once per bucket.
#[derive(Clone, Debug)]
pub(crate) struct SharePool {
    tree: ShareTree,
    /// The balance of the account at the federation's full rate.
    capacity: u64,
    /// The bucket in which unused shares were last lent.
    lent_in: Option<Bucket>,
}

impl SharePool {
    /// A pool of this capacity without shares.
    pub fn new(capacity: u64) -> SharePool {
        SharePool { tree: ShareTree::default(), capacity, lent_in: None }
    }

    /// Replaces the shares, and opens and closes the accounts that depend on them. Invalid shares change nothing.
    pub fn set_shares(&mut self, shares: &Shares, accounts: &mut Accounts) -> Result<(), SharesError> {
        let tree = ShareTree::new(shares, self.capacity)?;
        let old = std::mem::replace(&mut self.tree, tree);
        for leaf in &old.leaves {
            if let Some(tenant) = accounts.find(leaf.key) {
                accounts.set_share(tenant, false);
            }
        }
        for leaf in &self.tree.leaves {
            let tenant = accounts.open(leaf.key);
            accounts.set_share(tenant, true);
        }
        for leaf in &old.leaves {
            if let Some(tenant) = accounts.find(leaf.key) {
                accounts.release(tenant, 0);
            }
        }
        self.lent_in = None;
        Ok(())
    }

    /// Lends unused shares, unless that was already done in this bucket.
    pub fn lend(&mut self, estimator: &mut UsageEstimator) {
        let bucket = estimator.clock.bucket();
        if self.lent_in == Some(bucket) {
            return;
        }
        self.lent_in = Some(bucket);
        let mut needs = Vec::with_capacity(self.tree.leaves.len());
        let mut total = 0;
        for leaf in &self.tree.leaves {
            let tenant = estimator.accounts.find(leaf.key);
            let used = tenant.map_or(Interval::default(), |tenant| estimator.of_tenant(tenant).used);
            needs.push(used.high);
            total += used.likely;
        }
        self.tree.lend(self.capacity.max(total), &needs);
    }

    /// The share of a tenant, if it has one.
    pub fn leaf(&self, tenant: TenantKey) -> Option<&Leaf> {
        self.tree.leaf(tenant)
    }
}
