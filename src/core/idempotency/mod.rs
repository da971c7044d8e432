//! Records of requests with an `Idempotency-Key`. With them a repeat is either answered from the record, or sent only where and as
//! long as the rules allow, also after a crash.
//!
//! The module does no input or output. The owner of the [`IdempotencyStore`] writes the bytes that it returns, and loads them at
//! the next start.

mod record;
mod store;

pub use record::{AttemptRecord, IdempotencyKey, IdempotencyRecord, RecordDecodeError};
pub use store::{IdempotencyStore, LookupResult, RECORD_TTL, RecordUpdate};
