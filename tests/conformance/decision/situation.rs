//! The initial state of a row for the decision module. Times are in milliseconds; settings that are not listed here are as in
//! [`Settings::default`].

use crate::common::{MS, worker};
use mothproxy::*;
use serde::Deserialize;

/// The settings of one dispatcher, and its initial endpoint list.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Situation {
    pub workers: Vec<ListedWorker>,
    classes: Vec<JobClass>,
    zone: u16,
    #[serde(rename = "nodes")]
    dispatcher_count: u32,
    #[serde(rename = "probe")]
    may_probe: bool,
    #[serde(rename = "tells_start")]
    reports_start: bool,
    #[serde(rename = "copies")]
    may_hedge: bool,
    #[serde(rename = "attempts")]
    max_attempts: u32,
    #[serde(rename = "cold_time")]
    warm_up_time: u64,
    #[serde(rename = "cold_from")]
    initial_capacity: f64,
    #[serde(rename = "fall_multiple")]
    collapse_multiple: f64,
    #[serde(rename = "fall_window")]
    collapse_window: u64,
}

impl Default for Situation {
    fn default() -> Situation {
        Situation {
            workers: Vec::new(),
            classes: vec![JobClass::default()],
            zone: 0,
            dispatcher_count: 1,
            may_probe: false,
            reports_start: false,
            may_hedge: true,
            max_attempts: 5,
            warm_up_time: 10_000,
            initial_capacity: 0.2,
            collapse_multiple: 2.5,
            collapse_window: 1_000,
        }
    }
}

impl Situation {
    /// The settings of the module.
    pub fn settings(&self) -> Settings {
        Settings {
            zone: ZoneId(self.zone),
            dispatcher_count: self.dispatcher_count,
            classes: self.classes.iter().map(JobClass::to_class).collect(),
            may_probe: self.may_probe,
            reports_start: self.reports_start,
            may_hedge: self.may_hedge,
            max_attempts: self.max_attempts,
            warm_up_time: self.warm_up_time * MS,
            initial_capacity: self.initial_capacity,
            collapse_multiple: self.collapse_multiple,
            collapse_window: self.collapse_window * MS,
            ..Settings::default()
        }
    }
}

/// An entry of an endpoint list; `id` defaults to its index.
#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListedWorker {
    id: Option<u32>,
    kind: u16,
    zone: u16,
    cell: u32,
    state: Lifecycle,
    /// Time since its start.
    age: Option<u64>,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Lifecycle {
    #[default]
    Ready,
    Draining,
    Gone,
}

impl From<Lifecycle> for Status {
    fn from(lifecycle: Lifecycle) -> Status {
        match lifecycle {
            Lifecycle::Ready => Status::Ready,
            Lifecycle::Draining => Status::Draining,
            Lifecycle::Gone => Status::Gone,
        }
    }
}

/// The endpoint entries of a list received at `now`.
pub fn endpoint_list(workers: &[ListedWorker], now: Micros) -> Vec<EndpointEntry> {
    let entry = |(index, listed): (usize, &ListedWorker)| EndpointEntry {
        zone: ZoneId(listed.zone),
        kind: KindId(listed.kind),
        cell: CellId(listed.cell),
        status: listed.state.into(),
        started_at: listed.age.map(|age| now - age * MS),
        ..worker(listed.id.unwrap_or(index as u32))
    };
    workers.iter().enumerate().map(entry).collect()
}

/// A class of jobs.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct JobClass {
    effect: Effect,
    /// The workers that share idempotency keys.
    group: Scope,
    /// How long they keep a key.
    #[serde(rename = "memory")]
    window: u64,
    #[serde(rename = "aim")]
    latency_objective: u64,
    #[serde(rename = "late_worth")]
    late_weight: f64,
    kind: Option<u16>,
}

impl Default for JobClass {
    fn default() -> JobClass {
        JobClass {
            effect: Effect::Pure,
            group: Scope::All,
            window: 300,
            latency_objective: 200,
            late_weight: 0.5,
            kind: None,
        }
    }
}

impl JobClass {
    fn to_class(&self) -> Class {
        Class {
            idempotency: self.idempotency(),
            latency_objective: self.latency_objective * MS,
            late_weight: self.late_weight,
            kind: self.kind.map(KindId),
            ..Settings::default().classes[0].clone()
        }
    }

    fn idempotency(&self) -> Idempotency {
        let scope = match self.group {
            Scope::All => DeduplicationScope::All,
            Scope::Zone => DeduplicationScope::Zone,
            Scope::Cell => DeduplicationScope::Cell,
        };
        match self.effect {
            Effect::Pure => Idempotency::Idempotent,
            Effect::Unsafe => Idempotency::NonIdempotent,
            Effect::Token => Idempotency::IdempotentWithKey { scope, window: self.window * MS },
        }
    }
}

/// The effect of running a job twice, under the names that the platform uses for it.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Effect {
    Pure,
    Token,
    Unsafe,
}

/// The deduplication scope of idempotency keys.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Scope {
    All,
    Zone,
    Cell,
}
