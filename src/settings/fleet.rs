//! The section `fleet`: what the dispatchers of a site know of each other, and do together.

use super::fault::FaultKind;
use super::reader::{Reader, Section};
use crate::fleet::{
    ColdStartSettings, FairShareSettings, FleetSettings, MembershipSettings, RuntimesSettings,
};
use crate::policy::interface::{MICROS_PER_MS, MICROS_PER_SECOND, Micros};
use mothproxy_fairshare::{Installation, Ledger, Shares, Tenant};
use prost_reflect::Value;
use std::ops::RangeInclusive;

/// The length of a call to discovery, in milliseconds.
const CALL_MS: RangeInclusive<f64> = 1.0..=10_000.0;
/// The points a second that a federation can serve.
const POINTS_PER_S: RangeInclusive<f64> = 0.001..=1e6;
/// The rate of a federation, in thousandths of a point a second.
const MIN_RATE: f64 = 1.0;
const MAX_RATE: f64 = 1e9;
/// The weight of a job beyond its tenant's quota, as a fraction of the weight of its class.
const OVER_SHARE: RangeInclusive<f64> = 0.0..=1.0;
/// That fraction where none is set.
const DEFAULT_OVER_SHARE: f64 = 0.1;
/// The quantile of run times that counts as long.
const LONG_QUANTILE: RangeInclusive<f64> = 0.5..=0.99;
/// The factor of the time for which a member is suspected.
const SUSPICION_MULT: RangeInclusive<f64> = 0.1..=100.0;
/// The interval between probes, in milliseconds.
const PROBE_INTERVAL_MS: RangeInclusive<u32> = 20..=60_000;
/// The time for a probe's response, in milliseconds.
const PROBE_TIMEOUT_MS: RangeInclusive<u32> = 5..=59_999;
/// What is kept of a dead member, in seconds: up to a day.
const RETENTION_S: RangeInclusive<u32> = 1..=86_400;
/// Bytes of datagrams that a member sends a second.
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
    reader.check_range(section, "call_ms", f64::from(ms), CALL_MS);
    ColdStartSettings { call_time: Micros::from(ms) * MICROS_PER_MS }
}

fn read_runtimes(reader: &mut Reader<'_>, section: &Section) -> RuntimesSettings {
    let long = section.real("long").unwrap_or(RuntimesSettings::default().long_quantile);
    reader.check_range(section, "long", long, LONG_QUANTILE);
    RuntimesSettings { long_quantile: long }
}

fn read_fair_share(reader: &mut Reader<'_>, section: &Section) -> FairShareSettings {
    let installations = section.sections("installations");
    let shares = Shares { installations: installations.iter().map(read_installation).collect() };
    let points_per_s = section.real("points_per_s").unwrap_or(0.0);
    reader.check_range(section, "points_per_s", points_per_s, POINTS_PER_S);
    let over_share = section.real("over_share").unwrap_or(DEFAULT_OVER_SHARE);
    reader.check_range(section, "over_share", over_share, OVER_SHARE);
    let millipoints_per_s = (points_per_s * 1_000.0).clamp(MIN_RATE, MAX_RATE) as u64;
    let settings = FairShareSettings { shares, millipoints_per_s, over_quota_weight: over_share };
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
        settings.probe_timeout = settings.probe_interval * 3 / 10;
    }
    if let Some(ms) = number_in(reader, section, "probe_timeout_ms", PROBE_TIMEOUT_MS) {
        settings.probe_timeout = Micros::from(ms) * MICROS_PER_MS;
    }
    let keep_part = number_in(reader, section, "keep_part_s", RETENTION_S);
    settings.dead_assignment_ttl = keep_part.map(|seconds| Micros::from(seconds) * MICROS_PER_SECOND);
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
    reader.check_range(section, "suspicion_mult", settings.suspicion_multiplier, SUSPICION_MULT);
    settings
}

/// A whole number where it is set, moved into its range. One that was out of range is a fault.
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
