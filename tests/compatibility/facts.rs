//! The facts that the crates for run times, fair shares and cold starts publish to other dispatchers.

use crate::{assert_matches_golden_file, to_hex};
use mothproxy_coldstart::{Fault, Observation, Report, ServiceStatus, SharedObservations};
use mothproxy_fairshare::{Installation, Ledger, Shares, Tenant, TenantKey, Usage};
use mothproxy_runtimes::{
    AttemptId, JobFeatures, Outcome, Placement, RuntimeEstimator, WorkerKey, WorkerKind,
};

const SECOND: u64 = 1_000_000;
/// Unix time at time 0, in microseconds.
const UNIX_TIME: u64 = 1_790_000_000 * SECOND;

fn line((slot, bytes): (u32, Vec<u8>)) -> String {
    format!("{slot} {}\n", to_hex(&bytes))
}

/// The bytes of facts about run times are unchanged.
#[test]
fn runtimes_facts_keep_their_bytes() {
    let config = mothproxy_runtimes::Config {
        facts_per_s: 40.0,
        ..mothproxy_runtimes::Config::new(3, UNIX_TIME / 1000)
    };
    let mut runtimes = RuntimeEstimator::new(config, 0).expect("the defaults hold");
    let mut rng = fastrand::Rng::with_seed(9);
    let mut written = String::new();
    for id in 0..60 {
        let now = id * SECOND / 4;
        let features = JobFeatures {
            tenant: Some(rng.u64(..3)),
            subject: Some(rng.u64(..4)),
            attributes: [Some(rng.u64(..2)), None],
            ..JobFeatures::from_class(rng.u64(..2))
        };
        let placement = Placement { kind: WorkerKind(rng.u32(..3)), worker: WorkerKey(rng.u64(..4)) };
        runtimes.on_started(now, AttemptId(id), &features, placement);
        let outcome = if rng.u8(..10) == 0 { Outcome::Censored } else { Outcome::Done };
        runtimes.on_ended(now + rng.u64(1_000..SECOND / 5), AttemptId(id), outcome);
        written.extend(std::iter::from_fn(|| runtimes.publish(now + SECOND / 4)).map(line));
    }
    assert_matches_golden_file("facts/runtimes.txt", &written);
}

/// The bytes of facts about fair shares are unchanged.
#[test]
fn fair_share_facts_keep_their_bytes() {
    let tenant = |name: &str, weight| Tenant { name: name.to_owned(), weight, classes: vec![] };
    let tenants = vec![tenant("a", 3), tenant("b", 1)];
    let shares = Shares { installations: vec![Installation { name: "home".into(), weight: 1, tenants }] };
    let config = mothproxy_fairshare::Config {
        place: 2,
        epoch: UNIX_TIME / 1000,
        unix_at_zero: UNIX_TIME,
        peers: 8,
        rate: 1_000,
        ..mothproxy_fairshare::Config::default()
    };
    let mut ledger = Ledger::new(config, &shares, 0).expect("sound shares");
    let mut written = String::new();
    for n in 0..60 {
        let now = n * SECOND * 2;
        let key = TenantKey::from_name(if n % 3 == 0 { "a" } else { "b" });
        let class = u8::try_from(n % 2).expect("small");
        ledger.record(now, now, key, class, Usage { value: 1_000 + n, work: 300 * n }).expect("in time");
        written.extend(std::iter::from_fn(|| ledger.publish(now)).map(line));
    }
    assert_matches_golden_file("facts/fairshare.txt", &written);
}

/// The bytes of facts about a cold start are unchanged.
#[test]
fn cold_start_facts_keep_their_bytes() {
    let mut observations = SharedObservations::new(2, UNIX_TIME, 0);
    let mut written = String::new();
    for n in 0..40_u64 {
        let now = n * SECOND;
        let observation = match n % 6 {
            0 => Observation::Alive,
            1 => Observation::Fault(Fault::Refuses),
            2 => Observation::Fault(Fault::Hangs),
            3 => Observation::Fault(Fault::Resets),
            4 => Observation::WarmingUp,
            _ => Observation::Report(Report { cpu: 40, free: 3 }),
        };
        observations.record(now, n * 7 % 11, observation);
        if n % 10 == 4 {
            let service =
                ServiceStatus { generation: n, is_watching: n % 20 == 4, ..ServiceStatus::default() };
            observations.set_service_status(service, n == 14);
        }
        written.extend(std::iter::from_fn(|| observations.publish(now)).map(line));
    }
    assert_matches_golden_file("facts/coldstart.txt", &written);
}
