//! Times, and the ids of jobs, workers, classes, tenants, kinds, zones, cells, subjects and timers.

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// The number of microseconds in a millisecond. Times in messages and settings are in milliseconds.
pub const MICROS_PER_MS: Micros = 1_000;

/// The number of microseconds in a second.
pub const MICROS_PER_SECOND: Micros = 1_000_000;

/// A job, which is one client request. An id is never used twice within an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);
/// A worker, numbered densely from 0 in the order in which the instance first saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);
/// A class of jobs: its index in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);
/// A tenant: its index in [`Settings::tenants`](super::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);
/// A kind of machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u16);
/// A zone of the deployment, such as a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);
/// A cell: workers that share one record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);
/// The subject of a job, such as a program or data set. Jobs that concern the same object have the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubjectId(pub u32);
/// A timer. The module chooses the id, and [`Event::Timer`](super::Event::Timer) returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);
