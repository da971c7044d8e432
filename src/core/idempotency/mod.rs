//! Records of requests with an `Idempotency-Key`, so that a repeat is answered, or is sent only where and as long as the rules
//! allow, also after a crash.
//!
//! Pure: whoever owns the [`IdempotencyStore`] writes the bytes that it returns, and loads what was written at the next start.

mod record;
mod store;

pub use record::{AttemptRecord, IdempotencyKey, IdempotencyRecord, RecordDecodeError};
pub use store::{IdempotencyStore, LookupResult, RECORD_TTL, RecordUpdate};
