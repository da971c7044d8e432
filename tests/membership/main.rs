//! Membership in the built program: several processes on loopback, datagrams through relays with faults. Stories wait for
//! what is to happen and assert no times; how long things take is `make proof-membership`.

#[path = "../common/mod.rs"]
mod common;
#[path = "../common/members.rs"]
mod members;

mod partitioned_fleet;
mod peer_presence;

use members::*;
use mothproxy_testkit::fleet::*;
use std::time::Duration;

/// The first byte of a membership datagram, and of one of another version.
const MEMBERSHIP_KIND: u8 = 0xF1;
const OTHER_VERSION_KIND: u8 = 0xF2;

/// Settings with membership on.
const ON: &str = "fleet { membership { probe_interval_ms: 100 } }";

fn plan(size: usize, seed: u64, settings: Option<&str>) -> FleetPlan {
    let plan = FleetPlan::new(env!("CARGO_BIN_EXE_mothproxy"), size, 2, seed);
    FleetPlan { settings: settings.map(str::to_owned), ..plan }
}

fn others(fleet: &Fleet, member: usize) -> Vec<usize> {
    fleet.all().into_iter().filter(|other| *other != member).collect()
}

/// Waits until all hold all alive.
fn agree(fleet: &Fleet, what: &str) {
    fleet.wait_until(&format!("all hold all alive {what}"), || {
        all_observe(fleet, &fleet.all(), &fleet.all(), "alive")
    });
}

/// Random bytes that look like datagrams of this or another version: each is refused and nobody dies of it.
fn send_rubbish(fleet: &Fleet, receiver: usize) {
    let mut rng = fastrand::Rng::with_seed(5);
    for number in 0..400_usize {
        let mut bytes: Vec<u8> = (0..rng.usize(1..300)).map(|_| rng.u8(..)).collect();
        bytes[0] = if number % 4 == 0 { OTHER_VERSION_KIND } else { MEMBERSHIP_KIND };
        fleet.datagrams.forge(number % 4, receiver, &bytes);
    }
    fleet.wait_until("rubbish is counted", || membership_metric(fleet, receiver, "refused") > 100);
    agree(fleet, "after rubbish");
}

/// A kill, and a restart at the same place with a greater epoch.
fn kill_and_restart(fleet: &Fleet, victim: usize) {
    let others = others(fleet, victim);
    let epoch = member_epoch(fleet, 0, victim);
    fleet.kill(victim);
    fleet.wait_until("the killed one is dead", || all_observe(fleet, &others, &[victim], "dead"));
    assert!(all_observe(fleet, &others, &others, "alive"), "and no other");
    fleet.restart(victim).expect("it starts again");
    agree(fleet, "after a restart");
    assert!(member_epoch(fleet, 0, victim) > epoch, "a new epoch");
}

/// Two sides: each holds the other dead and none of its own.
fn partition_and_heal(fleet: &Fleet, one: &[usize], other: &[usize]) {
    fleet.datagrams.partition(&[one, other]);
    fleet.wait_until("each side is alone", || {
        all_observe(fleet, one, other, "dead") && all_observe(fleet, other, one, "dead")
    });
    assert!(all_observe(fleet, one, one, "alive") && all_observe(fleet, other, other, "alive"));
    fleet.datagrams.heal();
    agree(fleet, "after the heal");
}

/// One cannot reach one other directly: nobody dies, however many probes fail on that way.
fn cut_one_way_and_heal(fleet: &Fleet, from: usize, to: usize) {
    let cut_at = fleet.now();
    fleet.datagrams.cut_one_way(&[from], &[to]);
    let probes = membership_metric(fleet, from, "probes");
    fleet.wait_until("many probes", || membership_metric(fleet, from, "probes") > probes + 20);
    fleet.datagrams.heal();
    agree(fleet, "after a one-way cut");
    assert_eq!(state_changes(fleet, &fleet.all(), "Dead", cut_at), [], "nobody died of it");
}

/// A pause that outlasts the suspicion: it is dead to the others, and they to it are not.
fn pause_and_resume(fleet: &Fleet, paused: usize) {
    let paused_at = fleet.now();
    fleet.pause(paused);
    fleet.wait_until("the paused one is dead", || {
        all_observe(fleet, &others(fleet, paused), &[paused], "dead")
    });
    fleet.resume(paused);
    agree(fleet, "after a pause");
    let deaths = state_changes(fleet, &[paused], "Dead", paused_at);
    assert_eq!(deaths, [], "it held nobody dead for its own sleep");
}

/// A process that leaves is not dead.
fn terminate(fleet: &Fleet, leaving: usize) {
    let stopped_at = fleet.now();
    fleet.terminate(leaving);
    fleet.wait_until("it has left", || all_observe(fleet, &others(fleet, leaving), &[leaving], "left"));
    fleet.wait_until_exited(&[leaving]);
    assert_eq!(state_changes(fleet, &fleet.all(), "Dead", stopped_at), [], "who has left is not dead");
}

/// Rubbish, a kill, a restart, two sides, a one-way cut, a pause and a shutdown; jobs are served all along.
#[test]
fn five_processes_agree_on_members_through_faults() {
    let fleet = Fleet::start(plan(5, 0x6d65_6d01, Some(ON))).expect("a fleet");
    agree(&fleet, "at the start");
    let load = fleet.start_plain_load(&[0, 2], 20.0, Duration::from_secs(60));
    send_rubbish(&fleet, 4);
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
    fleet.wait_until("the last figures", || membership_metric(&fleet, 0, "declared_dead") > 0);
}

/// What one learns of run times reaches the others as facts, and a restarted one is taught anew.
#[test]
fn learned_facts_reach_peers() {
    let on = "fleet { membership { probe_interval_ms: 100 } runtimes {} fair_share { points_per_s: 100 \
              installations { name: \"a\" weight: 1 tenants { name: \"steppe-mart\" weight: 1 } } } }";
    let fleet = Fleet::start(plan(3, 0x6d65_6d04, Some(on))).expect("a fleet");
    let load = fleet.start_plain_load(&[0], 40.0, Duration::from_secs(60));
    let figure = |i: usize, name: &str| fleet.counters(i).get(name).copied().unwrap_or(0.0);
    fleet.wait_until("ends are seen", || figure(0, "runtimes_seen") > 10.0);
    fleet.wait_until("the others know the use", || (1..3).all(|i| figure(i, "shares_taken") > 0.0));
    fleet.wait_until("the others are told", || (1..3).all(|i| figure(i, "runtimes_taken") > 0.0));
    assert_eq!(
        (figure(1, "runtimes_seen"), figure(1, "runtimes_told")),
        (0.0, 0.0),
        "it has nothing of its own"
    );
    fleet.kill(1);
    fleet.restart(1).expect("it starts again");
    fleet.wait_until("the new one is told", || figure(1, "runtimes_taken") > 0.0);
    assert!(
        (0..3).all(|i| figure(i, "runtimes_refused") + figure(i, "shares_refused") == 0.0),
        "a fact that cannot be read"
    );
    drop(load.stop());
}

/// SIGHUP with other peers begins anew, with a new epoch, and a file that cannot be changes nothing.
#[test]
fn reload_with_other_peers_starts_new_membership() {
    let fleet = Fleet::start(plan(3, 0x6d65_6d02, Some(ON))).expect("a fleet");
    agree(&fleet, "at the start");
    let before = member_epoch(&fleet, 0, 0);
    let peers = fleet.config(0)["peers"].clone();
    fleet.change_config(0, |config| config["peers"] = serde_json::json!([]));
    fleet.reload(0).expect("written");
    fleet.wait_until("it is turned down", || fleet.counters(0).get("reconfig_failed") == Some(&1.0));
    assert_eq!(member_epoch(&fleet, 0, 0), before, "nothing has changed");
    agree(&fleet, "still");
    // The third is taken out of every file.
    for i in 0..2 {
        fleet.change_config(i, |config| {
            config["peers"] = serde_json::json!([peers[0], peers[1]]);
            config["settings"]["Siblings"] = serde_json::json!(2);
        });
        fleet.reload(i).expect("written");
    }
    fleet.wait_until("two are left", || (0..2).all(|i| member_states(&fleet, i) == ["alive", "alive"]));
    assert!(member_epoch(&fleet, 1, 0) > before, "a new epoch");
}

/// Off is off: no datagram of it, no page, no line.
#[test]
fn disabled_membership_leaves_no_trace() {
    let fleet = Fleet::start(plan(3, 0x6d65_6d03, None)).expect("a fleet");
    let load = fleet.start_plain_load(&fleet.all(), 50.0, Duration::from_secs(10));
    fleet.wait_until("jobs are served", || load.summary().served() > 20);
    let answer = fleet.call_admin(0, "/control/members").expect("an answer");
    assert_eq!(answer.status, 404);
    assert!(!fleet.counters(0).contains_key("members_alive"));
    let totals = fleet.datagrams.totals();
    assert!(totals.iter().all(|t| !t.by_first_byte.contains_key(&0xF1)), "{totals:?}");
    drop(load.stop());
    assert!(!fleet.log(0).iter().any(|line| line.text.starts_with("member")), "a line of it");
}
