//! A batch: writes that take effect together or not at all.

use crate::BatchError;
use crate::format::{self, Operation};

/// Writes that take effect together or not at all.
///
/// ```
/// use mothproxy_store::Batch;
///
/// let batch = Batch::new().put("a", "1").put_with_ttl("b", "2", 60_000).delete("c");
/// assert_eq!(batch.len(), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Batch {
    operations: Vec<Operation>,
    /// Times to live in milliseconds, by operation; counted from when the store takes the batch.
    ttls: Vec<Option<u64>>,
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

    /// Sets a value that expires after so many milliseconds.
    pub fn put_with_ttl(mut self, key: impl Into<Vec<u8>>, value: impl Into<Vec<u8>>, ttl: u64) -> Batch {
        self.push(key.into(), Some(value.into()), Some(ttl));
        self
    }

    /// Deletes a key.
    pub fn delete(mut self, key: impl Into<Vec<u8>>) -> Batch {
        self.push(key.into(), None, None);
        self
    }

    /// Adds one operation: `value` `None` deletes; `ttl` in milliseconds.
    pub fn push(&mut self, key: Vec<u8>, value: Option<Vec<u8>>, ttl: Option<u64>) {
        self.operations.push(Operation { key, value, expires_at: None });
        self.ttls.push(ttl);
    }

    /// How many operations it has.
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// The operations as of a Unix time in milliseconds, if they are within bounds.
    pub(crate) fn into_operations(self, now: u64) -> Result<Vec<Operation>, BatchError> {
        let mut operations = self.operations;
        for (operation, ttl) in operations.iter_mut().zip(self.ttls) {
            operation.expires_at = ttl.map(|ttl| now.saturating_add(ttl));
        }
        format::check_batch(&operations)?;
        Ok(operations)
    }
}
