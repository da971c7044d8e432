//! The complete interface of the decision module: settings, events, actions and ids.
//!
//! Times are whole microseconds on any monotonic clock. Ids are small numbers that the host assigns; the module compares them
//! and does not interpret them. A value that a deployment may omit is an `Option`.

mod actions;
mod events;
mod ids;
mod settings;

pub use actions::Action;
pub use events::{
    AttemptEnded, EndpointEntry, Estimate, Event, ListKind, LoadReport, NewJob, Outcome, PeerPresence,
    PriorAttempt, ProbeResponse, Status,
};
pub use ids::{
    CellId, ClassId, JobId, KindId, MICROS_PER_MS, MICROS_PER_SECOND, Micros, SubjectId, TenantId, TimerId,
    WorkerId, ZoneId,
};
pub use settings::{
    Class, DeduplicationScope, Idempotency, LoadReporting, MAX_DISPATCHERS, Settings, SettingsError, Tenant,
};
