//! The time of the operations of a ledger on this machine, and the size of its reports.

use crate::setup::{SECOND, UNIX_AT_ZERO};
use mothproxy_fairshare::{Config, Installation, Ledger, Origin, Shares, Tenant, TenantKey, Usage};
use serde_json::{Value, json};
use std::time::Instant;

const MEMBERS: u16 = 30;
const SECONDS: u64 = 20;
const QUERIES: u32 = 200_000;

/// A fact, and the second in which it was published.
struct PublishedFact {
    second: u64,
    origin: Origin,
    slot: u32,
    number: u64,
    bytes: Vec<u8>,
}

fn ledger(place: u16, shares: &Shares) -> Ledger {
    let config = Config { place, peers: 40, unix_at_zero: UNIX_AT_ZERO, rate: 1 << 20, ..Config::default() };
    Ledger::new(config, shares, 0).expect("the configuration is valid")
}

/// The facts that all members publish during the run, in order of the second.
fn publish_facts(names: &[String], shares: &Shares, rng: &mut fastrand::Rng) -> Vec<PublishedFact> {
    let mut facts = Vec::new();
    for place in 0..MEMBERS {
        let mut member = ledger(place, shares);
        let mut number = 0;
        for second in 1..SECONDS {
            for _ in 0..200 {
                let name = &names[rng.usize(0..names.len())];
                let used = Usage { value: rng.u64(1..100_000), work: rng.u64(1..1_000) };
                let _ = member.record(second * SECOND, second * SECOND, TenantKey::from_name(name), 0, used);
            }
            while let Some((slot, bytes)) = member.publish(second * SECOND) {
                number += 1;
                let origin = Origin { place, epoch: 0 };
                facts.push(PublishedFact { second, origin, slot, number, bytes });
            }
        }
    }
    facts.sort_by_key(|fact| fact.second);
    facts
}

fn micros_since(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e6
}

/// Measures, with this number of tenants, the microseconds to absorb a fact, to answer a query and to lend unused shares, and
/// the bytes that a member publishes per second.
pub fn measure(tenants: usize) -> Value {
    let names: Vec<String> = (0..tenants).map(|n| format!("tenant-{n}")).collect();
    let listed = names.iter().map(|n| Tenant { name: n.clone(), weight: 1, classes: vec![] }).collect();
    let shares =
        Shares { installations: vec![Installation { name: "home".into(), weight: 1, tenants: listed }] };
    let mut reader = ledger(39, &shares);
    let mut rng = fastrand::Rng::with_seed(7);
    let facts = publish_facts(&names, &shares, &mut rng);
    let bytes: usize = facts.iter().map(|fact| fact.bytes.len()).sum();
    let started = Instant::now();
    for fact in &facts {
        let _ = reader.absorb(fact.second * SECOND, fact.origin, fact.slot, fact.number, &fact.bytes);
    }
    let us_per_fact = micros_since(started) / facts.len() as f64;
    let keys: Vec<TenantKey> = names.iter().map(|n| TenantKey::from_name(n)).collect();
    let started = Instant::now();
    let mut sum = reader.job_value(keys[0], 0, 1, 21 * SECOND).fraction;
    let us_per_lending = micros_since(started);
    let started = Instant::now();
    for _ in 0..QUERIES {
        sum += reader.job_value(keys[rng.usize(0..tenants)], 0, 1, 21 * SECOND).fraction;
    }
    let us_per_query = micros_since(started) / f64::from(QUERIES);
    let member_seconds = f64::from(MEMBERS) * (SECONDS - 1) as f64;
    json!({
        "tenants": tenants, "members": MEMBERS, "facts": facts.len(), "us_a_report": us_per_fact,
        "us_a_query": us_per_query, "us_lending_a_bucket": us_per_lending,
        "bytes_a_second_a_member": bytes as f64 / member_seconds, "mean_part": sum / f64::from(QUERIES),
    })
}
