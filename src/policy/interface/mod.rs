//! The whole interface of the decision module: settings, events, actions, ids.
//!
//! Time is a whole number of microseconds on any clock that only goes forward. Ids are small numbers that the host hands
//! out; the module compares them and never interprets them. Whatever a deployment may leave out is an `Option`.

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
    CellId, ClassId, JobId, KeyId, KindId, MICROS_PER_MS, MICROS_PER_SECOND, Micros, TenantId, TimerId,
    WorkerId, ZoneId,
};
pub use settings::{
    Class, DeduplicationScope, Idempotency, MAX_DISPATCHERS, Reports, Settings, SettingsError, Tenant,
};
