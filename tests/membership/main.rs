//! Membership in the built program: several processes on loopback, whose datagrams pass through relays that inject faults. The
//! tests wait for events and assert no times; times are measured by `make proof-membership`.

#[path = "../common/mod.rs"]
mod common;
#[path = "../common/members.rs"]
mod members;

mod partitioned_fleet;
mod peer_presence;

use members::*;
use mothproxy_testkit::fleet::*;
use std::time::Duration;

/// The first byte of a membership datagram, and of one with another version.
const MEMBERSHIP_KIND: u8 = 0xF1;
const OTHER_VERSION_KIND: u8 = 0xF2;

/// Settings that enable membership.
const MEMBERSHIP_SETTINGS: &str = "fleet { membership { probe_interval_ms: 100 } }";

fn plan(size: usize, seed: u64, settings: Option<&str>) -> FleetPlan {
    let plan = FleetPlan::new(env!("CARGO_BIN_EXE_mothproxy"), size, 2, seed);
    FleetPlan { settings: settings.map(str::to_owned), ..plan }
}

fn others(fleet: &Fleet, member: usize) -> Vec<usize> {
    fleet.all().into_iter().filter(|other| *other != member).collect()
}

/// Waits until all members hold all members alive.
fn wait_for_agreement(fleet: &Fleet, when: &str) {
    fleet.wait_until(&format!("all members hold all alive {when}"), || {
        all_observe(fleet, &fleet.all(), &fleet.all(), "alive")
    });
}

/// Random bytes with the first byte of this or another version are counted as refused, and no member is declared dead.
fn send_malformed_datagrams(fleet: &Fleet, receiver: usize) {
    let mut rng = fastrand::Rng::with_seed(5);
    for number in 0..400_usize {
        let mut bytes: Vec<u8> = (0..rng.usize(1..300)).map(|_| rng.u8(..)).collect();
        bytes[0] = if number % 4 == 0 { OTHER_VERSION_KIND } else { MEMBERSHIP_KIND };
        fleet.datagrams.forge(number % 4, receiver, &bytes);
    }
    fleet.wait_until("malformed datagrams are counted", || {
        membership_metric(fleet, receiver, "refused") > 100
    });
    wait_for_agreement(fleet, "after malformed datagrams");
}

/// A killed member is declared dead, and returns with a greater epoch after a restart at the same place.
fn kill_and_restart(fleet: &Fleet, victim: usize) {
    let others = others(fleet, victim);
    let epoch = member_epoch(fleet, 0, victim);
    fleet.kill(victim);
    fleet.wait_until("the killed member is dead", || all_observe(fleet, &others, &[victim], "dead"));
    assert!(all_observe(fleet, &others, &others, "alive"), "another member is not alive");
    fleet.restart(victim).expect("cannot restart the process");
    wait_for_agreement(fleet, "after a restart");
    assert!(member_epoch(fleet, 0, victim) > epoch, "the restarted member must have a greater epoch");
}

/// During a partition each side holds the other dead and its own members alive; after it all are alive again.
fn partition_and_heal(fleet: &Fleet, one: &[usize], other: &[usize]) {
    fleet.datagrams.partition(&[one, other]);
    fleet.wait_until("each side holds the other dead", || {
        all_observe(fleet, one, other, "dead") && all_observe(fleet, other, one, "dead")
    });
    assert!(all_observe(fleet, one, one, "alive") && all_observe(fleet, other, other, "alive"));
    fleet.datagrams.heal();
    wait_for_agreement(fleet, "after the partition");
}

/// A one-way cut between two members makes no member dead, however many direct probes fail.
fn cut_one_way_and_heal(fleet: &Fleet, from: usize, to: usize) {
    let cut_at = fleet.now();
    fleet.datagrams.cut_one_way(&[from], &[to]);
    let probes = membership_metric(fleet, from, "probes");
    fleet.wait_until("more than 20 probes are sent", || {
        membership_metric(fleet, from, "probes") > probes + 20
    });
    fleet.datagrams.heal();
    wait_for_agreement(fleet, "after a one-way cut");
    assert_eq!(state_changes(fleet, &fleet.all(), "Dead", cut_at), [], "no member may be declared dead");
}

/// A member paused for longer than the suspicion timeout is declared dead, but does not itself declare the others dead.
fn pause_and_resume(fleet: &Fleet, paused: usize) {
    let paused_at = fleet.now();
    fleet.pause(paused);
    fleet.wait_until("the paused member is dead", || {
        all_observe(fleet, &others(fleet, paused), &[paused], "dead")
    });
    fleet.resume(paused);
    wait_for_agreement(fleet, "after a pause");
    let deaths = state_changes(fleet, &[paused], "Dead", paused_at);
    assert_eq!(deaths, [], "the paused member may declare no other dead");
}

/// A member that leaves is held left, not dead.
fn terminate(fleet: &Fleet, leaving: usize) {
    let stopped_at = fleet.now();
    fleet.terminate(leaving);
    fleet.wait_until("the member has left", || {
        all_observe(fleet, &others(fleet, leaving), &[leaving], "left")
    });
    fleet.wait_until_exited(&[leaving]);
    assert_eq!(
        state_changes(fleet, &fleet.all(), "Dead", stopped_at),
        [],
        "a member that left may not be declared dead"
    );
}

/// Members agree after malformed datagrams, a kill and restart, a partition, a one-way cut, a pause and a shutdown, while jobs
/// are served.
#[test]
fn five_processes_agree_on_members_through_faults() {
    let fleet =
        Fleet::start(plan(5, 0x6d65_6d01, Some(MEMBERSHIP_SETTINGS))).expect("cannot start the fleet");
    wait_for_agreement(&fleet, "at the start");
    let load = fleet.start_plain_load(&[0, 2], 20.0, Duration::from_secs(60));
    send_malformed_datagrams(&fleet, 4);
    kill_and_restart(&fleet, 3);
    partition_and_heal(&fleet, &[0, 1], &[2, 3, 4]);
    cut_one_way_and_heal(&fleet, 0, 1);
    pause_and_resume(&fleet, 1);
    terminate(&fleet, 4);
    let report = load.stop();
    let found = fleet.audit(&AuditRules::default());
    assert!(found.is_empty(), "{found:#?}");
    assert!(report.served() > 10, "{report:?}");
    assert!(fleet.counters(0)["members_left"] == 1.0, "{:?}", fleet.counters(0));
    fleet.wait_until("the final metrics", || membership_metric(&fleet, 0, "declared_dead") > 0);
}

/// Run times and usage observed by one dispatcher reach the others as facts, also a dispatcher that restarts later.
#[test]
fn learned_facts_reach_peers() {
    let settings = "fleet { membership { probe_interval_ms: 100 } runtimes {} fair_share { points_per_s: 100 \
              installations { name: \"a\" weight: 1 tenants { name: \"steppe-mart\" weight: 1 } } } }";
    let fleet = Fleet::start(plan(3, 0x6d65_6d04, Some(settings))).expect("cannot start the fleet");
    let load = fleet.start_plain_load(&[0], 40.0, Duration::from_secs(60));
    let counter = |i: usize, name: &str| fleet.counters(i).get(name).copied().unwrap_or(0.0);
    fleet.wait_until("ended jobs are observed", || counter(0, "runtimes_seen") > 10.0);
    fleet.wait_until("the others have received usage", || (1..3).all(|i| counter(i, "shares_taken") > 0.0));
    fleet.wait_until("the others have received run times", || {
        (1..3).all(|i| counter(i, "runtimes_taken") > 0.0)
    });
    assert_eq!(
        (counter(1, "runtimes_seen"), counter(1, "runtimes_told")),
        (0.0, 0.0),
        "dispatcher 1 must not have observed any job itself"
    );
    fleet.kill(1);
    fleet.restart(1).expect("cannot restart the process");
    fleet
        .wait_until("the restarted dispatcher has received run times", || counter(1, "runtimes_taken") > 0.0);
    assert!(
        (0..3).all(|i| counter(i, "runtimes_refused") + counter(i, "shares_refused") == 0.0),
        "a fact was refused"
    );
    drop(load.stop());
}

/// SIGHUP with a different list of peers starts a new membership with a new epoch; an invalid configuration changes nothing.
#[test]
fn reload_with_other_peers_starts_new_membership() {
    let fleet =
        Fleet::start(plan(3, 0x6d65_6d02, Some(MEMBERSHIP_SETTINGS))).expect("cannot start the fleet");
    wait_for_agreement(&fleet, "at the start");
    let before = member_epoch(&fleet, 0, 0);
    let peers = fleet.config(0)["peers"].clone();
    fleet.change_config(0, |config| config["peers"] = serde_json::json!([]));
    fleet.reload(0).expect("cannot write the configuration");
    fleet.wait_until("the configuration is rejected", || {
        fleet.counters(0).get("reconfig_failed") == Some(&1.0)
    });
    assert_eq!(member_epoch(&fleet, 0, 0), before, "a rejected configuration must not change the epoch");
    wait_for_agreement(&fleet, "after a rejected configuration");
    // Removes the third dispatcher from the configurations of the other two.
    for i in 0..2 {
        fleet.change_config(i, |config| {
            config["peers"] = serde_json::json!([peers[0], peers[1]]);
            config["settings"]["Siblings"] = serde_json::json!(2);
        });
        fleet.reload(i).expect("cannot write the configuration");
    }
    fleet.wait_until("two members remain", || (0..2).all(|i| member_states(&fleet, i) == ["alive", "alive"]));
    assert!(member_epoch(&fleet, 1, 0) > before, "the new membership must have a greater epoch");
}

/// Without membership settings there are no membership datagrams, no admin page, no counters and no log lines.
#[test]
fn disabled_membership_leaves_no_trace() {
    let fleet = Fleet::start(plan(3, 0x6d65_6d03, None)).expect("cannot start the fleet");
    let load = fleet.start_plain_load(&fleet.all(), 50.0, Duration::from_secs(10));
    fleet.wait_until("jobs are served", || load.summary().served() > 20);
    let response = fleet.call_admin(0, "/control/members").expect("no response from the admin address");
    assert_eq!(response.status, 404);
    assert!(!fleet.counters(0).contains_key("members_alive"));
    let totals = fleet.datagrams.totals();
    assert!(totals.iter().all(|t| !t.by_first_byte.contains_key(&0xF1)), "{totals:?}");
    drop(load.stop());
    assert!(!fleet.log(0).iter().any(|line| line.text.starts_with("member")), "a log line about membership");
}
