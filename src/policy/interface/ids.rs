//! Time and the ids of jobs, workers and what they belong to.

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// The microseconds of a millisecond, in which messages and settings give their times.
pub const MICROS_PER_MS: Micros = 1_000;

/// The microseconds of a second.
pub const MICROS_PER_SECOND: Micros = 1_000_000;

/// A job (one client request). Never used twice within an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);
/// A worker, numbered densely from 0 in the order in which the instance first saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);
/// A class of jobs: its place in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);
/// A tenant: its place in [`Settings::tenants`](super::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);
/// A kind of machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u16);
/// A zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);
/// A cell: workers that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);
/// The subject of a job (a program or data set); jobs with the same key share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u32);
/// Chosen by the module, returned by [`Event::Timer`](super::Event::Timer).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);
