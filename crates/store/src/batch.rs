//! A batch of writes that take effect together or not at all.

use crate::BatchError;
use crate::UnixMillis;
use crate::format::{self, Operation};
use std::time::Duration;

/// A batch of writes that take effect together or not at all.
///
/// ```
/// use mothproxy_store::Batch;
/// use std::time::Duration;
///
/// let batch = Batch::new().put("a", "1").put_with_ttl("b", "2", Duration::from_secs(60)).delete("c");
/// assert_eq!(batch.len(), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Batch {
    operations: Vec<Operation>,
    /// The time to live of each operation, from the time at which the store accepts the batch.
    ttls: Vec<Option<Duration>>,
}

impl Batch {
    /// An empty batch.
    pub fn new() -> Batch {
        Batch::default()
    }

    /// Sets a value.
    pub fn put(mut self, key: impl Into<Vec<u8>>, value: impl Into<Vec<u8>>) -> Batch {
        self.push(key.into(), Some(value.into()), None);
        self
    }

    /// Sets a value that expires after `ttl`, which is truncated to milliseconds.
    pub fn put_with_ttl(
        mut self,
        key: impl Into<Vec<u8>>,
        value: impl Into<Vec<u8>>,
        ttl: Duration,
    ) -> Batch {
        self.push(key.into(), Some(value.into()), Some(ttl));
        self
    }

    /// Deletes a key.
    pub fn delete(mut self, key: impl Into<Vec<u8>>) -> Batch {
        self.push(key.into(), None, None);
        self
    }

    /// Adds one operation; a `value` of `None` deletes the key.
    pub fn push(&mut self, key: Vec<u8>, value: Option<Vec<u8>>, ttl: Option<Duration>) {
        self.operations.push(Operation { key, value, expires_at: None });
        self.ttls.push(ttl);
    }

    /// The number of operations.
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Whether the batch has no operations.
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Checks the bounds and returns the operations, with times to live that count from `now`.
    pub(crate) fn into_operations(self, now: UnixMillis) -> Result<Vec<Operation>, BatchError> {
        let mut operations = self.operations;
        for (operation, ttl) in operations.iter_mut().zip(self.ttls) {
            operation.expires_at = ttl.map(|ttl| now.saturating_add(ttl.as_millis() as u64));
        }
        format::check_batch(&operations)?;
        Ok(operations)
    }
}
