//! Reads the section `fleet`: membership of the dispatchers, and the state that they share with each other.

use super::fault::FaultKind;
use super::reader::{Reader, Section};
use crate::fleet::{
    ColdStartSettings, FairShareSettings, FleetSettings, MembershipSettings, RuntimesSettings,
};
use crate::policy::interface::{MICROS_PER_MS, MICROS_PER_SECOND, Micros};
use mothproxy_fairshare::{Installation, Ledger, Shares, Tenant};
use prost_reflect::Value;
use std::ops::RangeInclusive;

/// The range of the time that a call to discovery takes, in milliseconds.
const CALL_TIME_MS: RangeInclusive<f64> = 1.0..=10_000.0;
/// The range of the rate that a federation can serve, in points per second.
const POINTS_PER_S: RangeInclusive<f64> = 0.001..=1e6;
/// Thousandths of a point in one point.
const MILLIPOINTS_PER_POINT: f64 = 1_000.0;
/// The range of the rate that a federation can serve, in thousandths of a point per second.
const MIN_MILLIPOINTS_PER_S: f64 = 1.0;
const MAX_MILLIPOINTS_PER_S: f64 = 1e9;
/// The range of the weight of a job beyond its tenant's quota, as a fraction of the weight of its class.
const OVER_QUOTA_WEIGHT: RangeInclusive<f64> = 0.0..=1.0;
/// The default weight of a job beyond its tenant's quota, as a fraction of the weight of its class.
const DEFAULT_OVER_QUOTA_WEIGHT: f64 = 0.1;
/// The range of the quantile of run times that is taken as a long run time.
const LONG_QUANTILE: RangeInclusive<f64> = 0.5..=0.99;
/// The range of the multiplier of a suspicion's duration.
const SUSPICION_MULTIPLIER: RangeInclusive<f64> = 0.1..=100.0;
/// The range of the interval between probes, in milliseconds.
const PROBE_INTERVAL_MS: RangeInclusive<u32> = 20..=60_000;
/// The range of the timeout of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: RangeInclusive<u32> = 5..=59_999;
/// The default of the probe timeout, in percent of a probe interval that the file sets.
const DEFAULT_PROBE_TIMEOUT_PERCENT: Micros = 30;
/// The range of the retention times of a dead member's state, in seconds; at most a day.
const RETENTION_S: RangeInclusive<u32> = 1..=86_400;
/// The range of the budget for a member's datagrams, in bytes per second.
const BYTES_PER_S: RangeInclusive<u32> = 1_024..=100_000_000;

/// Reads `fleet`.
pub(super) fn read_fleet(reader: &mut Reader<'_>, section: &Section) -> FleetSettings {
    FleetSettings {
        membership: section.section("membership").map(|section| read_membership(reader, &section)),
        cold_start: section.section("cold_start").map(|section| read_cold_start(reader, &section)),
        runtimes: section.section("runtimes").map(|section| read_runtimes(reader, &section)),
        fair_share: section.section("fair_share").map(|section| read_fair_share(reader, &section)),
    }
}

fn read_cold_start(reader: &mut Reader<'_>, section: &Section) -> ColdStartSettings {
    let Some(ms) = section.number("call_ms") else { return ColdStartSettings::default() };
    reader.check_range(section, "call_ms", f64::from(ms), CALL_TIME_MS);
    ColdStartSettings { call_time: Micros::from(ms) * MICROS_PER_MS }
}

fn read_runtimes(reader: &mut Reader<'_>, section: &Section) -> RuntimesSettings {
    let long_quantile = section.real("long").unwrap_or(RuntimesSettings::default().long_quantile);
    reader.check_range(section, "long", long_quantile, LONG_QUANTILE);
    RuntimesSettings { long_quantile }
}

fn read_fair_share(reader: &mut Reader<'_>, section: &Section) -> FairShareSettings {
    let installations = section.sections("installations");
    let shares = Shares { installations: installations.iter().map(read_installation).collect() };
    let points_per_s = section.real("points_per_s").unwrap_or(0.0);
    reader.check_range(section, "points_per_s", points_per_s, POINTS_PER_S);
    let over_quota_weight = section.real("over_share").unwrap_or(DEFAULT_OVER_QUOTA_WEIGHT);
    reader.check_range(section, "over_share", over_quota_weight, OVER_QUOTA_WEIGHT);
    let millipoints_per_s =
        (points_per_s * MILLIPOINTS_PER_POINT).clamp(MIN_MILLIPOINTS_PER_S, MAX_MILLIPOINTS_PER_S) as u64;
    let settings = FairShareSettings { shares, millipoints_per_s, over_quota_weight };
    let mut tenants = settings.shares.installations.iter().flat_map(|installation| &installation.tenants);
    if tenants.any(|tenant| tenant.name.is_empty()) {
        reader.field_fault(section, "installations.tenants", FaultKind::TenantNameMissing);
    }
    if let Err(error) = Ledger::new(settings.config(0, 1, 0, 0), &settings.shares, 0) {
        reader.section_fault(section, FaultKind::BadShares(error));
    }
    settings
}

fn read_installation(section: &Section) -> Installation {
    Installation {
        name: section.text("name"),
        weight: section.number("weight").unwrap_or(0),
        tenants: section.sections("tenants").iter().map(read_tenant).collect(),
    }
}

fn read_tenant(section: &Section) -> Tenant {
    Tenant {
        name: section.text("name"),
        weight: section.number("weight").unwrap_or(0),
        classes: section.list("class_weights").iter().filter_map(Value::as_u32).collect(),
    }
}

fn read_membership(reader: &mut Reader<'_>, section: &Section) -> MembershipSettings {
    let mut settings = MembershipSettings::default();
    if let Some(ms) = number_in(reader, section, "probe_interval_ms", PROBE_INTERVAL_MS) {
        settings.probe_interval = Micros::from(ms) * MICROS_PER_MS;
        settings.probe_timeout = settings.probe_interval * DEFAULT_PROBE_TIMEOUT_PERCENT / 100;
    }
    if let Some(ms) = number_in(reader, section, "probe_timeout_ms", PROBE_TIMEOUT_MS) {
        settings.probe_timeout = Micros::from(ms) * MICROS_PER_MS;
    }
    let dead_assignment_ttl = number_in(reader, section, "keep_part_s", RETENTION_S);
    settings.dead_assignment_ttl =
        dead_assignment_ttl.map(|seconds| Micros::from(seconds) * MICROS_PER_SECOND);
    if let Some(bytes) = number_in(reader, section, "bytes_per_s", BYTES_PER_S) {
        settings.bytes_per_s = bytes;
    }
    if let Some(seconds) = number_in(reader, section, "forget_after_s", RETENTION_S) {
        settings.dead_facts_ttl = Micros::from(seconds) * MICROS_PER_SECOND;
    }
    if settings.probe_timeout >= settings.probe_interval {
        reader.field_fault(section, "probe_timeout_ms", FaultKind::ProbeTimeoutTooLong);
    }
    if let Some(factor) = section.real("suspicion_mult") {
        settings.suspicion_multiplier = factor;
    }
    reader.check_range(section, "suspicion_mult", settings.suspicion_multiplier, SUSPICION_MULTIPLIER);
    settings
}

/// A whole number, if it is set. A number out of range is recorded as a fault and clamped.
fn number_in(
    reader: &mut Reader<'_>,
    section: &Section,
    field: &str,
    range: RangeInclusive<u32>,
) -> Option<u32> {
    let value = section.number(field)?;
    let (min, max) = range.into_inner();
    reader.check_range(section, field, f64::from(value), f64::from(min)..=f64::from(max));
    Some(value.clamp(min, max))
}
