//! Records of requests with an `Idempotency-Key`. A repeat of such a request is answered with the recorded result if there is
//! one. Otherwise it is sent only within the deduplication scope and window of the first attempt that may have run, also after a
//! crash.
//!
//! The module does no input or output. The owner of the [`IdempotencyStore`] writes the bytes that the store returns, and
//! loads them at the next start.

mod record;
mod store;

pub use record::{AttemptRecord, IdempotencyKey, IdempotencyRecord, RecordDecodeError};
pub use store::{IdempotencyStore, LookupResult, PersistedRecord, RECORD_TTL, RecordUpdate};
