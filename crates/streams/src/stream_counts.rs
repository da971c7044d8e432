//! The number of streams of each tenant.

use rustc_hash::FxHashMap;

/// The number of streams of each tenant that has any.
#[derive(Default)]
pub(crate) struct StreamCounts(FxHashMap<u32, usize>);

impl StreamCounts {
    pub fn get(&self, tenant: u32) -> usize {
        self.0.get(&tenant).copied().unwrap_or(0)
    }

    pub fn increment(&mut self, tenant: u32) {
        *self.0.entry(tenant).or_default() += 1;
    }

    pub fn decrement(&mut self, tenant: u32) {
        let count = self.get(tenant).saturating_sub(1);
        if count == 0 {
            self.0.remove(&tenant);
        } else {
            self.0.insert(tenant, count);
        }
    }
}
