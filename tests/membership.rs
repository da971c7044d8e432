//! Membership in the built program: several processes on loopback, datagrams through relays with faults. Stories wait for
//! what is to happen and assert no times; how long things take is `make proof-membership`.

mod common;
#[path = "common/members.rs"]
mod members;

use common::{MS, Node, sends, worker};
use members::*;
use mothproxy::fleet::{Fleet as Parts, FleetOutput, FleetSettings, MembershipSettings, ProcessIdentity};
use mothproxy::policy::interface::PeerPresence::{self, Present, Unreachable};
use mothproxy::policy::interface::{Action, Event, JobId};
use mothproxy_testkit::fleet::*;
use std::time::Duration;

const ON: &str = "fleet { membership { probe_interval_ms: 100 } }";

fn plan(size: usize, seed: u64, settings: Option<&str>) -> Plan {
    let plan = Plan::new(env!("CARGO_BIN_EXE_mothproxy"), size, 2, seed);
    Plan { settings: settings.map(str::to_owned), ..plan }
}

fn agree(fleet: &Fleet, what: &str) {
    fleet.wait_until(&format!("all hold all alive {what}"), || {
        all_believe(fleet, &fleet.all(), &fleet.all(), "alive")
    });
}

/// Rubbish, a kill, a restart, two sides, a one-way cut, a pause and a farewell; jobs are served all along.
#[test]
fn five_processes_agree_on_members_through_faults() {
    let fleet = Fleet::start(plan(5, 0x6d65_6d01, Some(ON))).expect("a fleet");
    agree(&fleet, "at the start");
    let load = fleet.start_plain_load(&[0, 2], 20.0, Duration::from_secs(60));
    // Rubbish: each is refused and nobody dies of it.
    let mut rng = fastrand::Rng::with_seed(5);
    for n in 0..400_usize {
        let mut bytes: Vec<u8> = (0..rng.usize(1..300)).map(|_| rng.u8(..)).collect();
        bytes[0] = if n % 4 == 0 { 0xF2 } else { 0xF1 };
        fleet.datagrams.forge(n % 4, 4, &bytes);
    }
    fleet.wait_until("rubbish is counted", || membership_metric(&fleet, 4, "refused") > 100);
    agree(&fleet, "after rubbish");
    // A kill, and a restart at the same place with a greater epoch.
    let (rest, before) = ([0, 1, 2, 4], member_epoch(&fleet, 0, 3));
    fleet.kill(3);
    fleet.wait_until("the killed one is dead", || all_believe(&fleet, &rest, &[3], "dead"));
    assert!(all_believe(&fleet, &rest, &rest, "alive"), "and no other");
    fleet.restart(3).expect("it starts again");
    agree(&fleet, "after a restart");
    assert!(member_epoch(&fleet, 0, 3) > before, "a new epoch");
    // Two sides: each holds the other dead and none of its own.
    let (few, many) = ([0, 1], [2, 3, 4]);
    fleet.datagrams.partition(&[&few, &many]);
    fleet.wait_until("each side is alone", || {
        all_believe(&fleet, &few, &many, "dead") && all_believe(&fleet, &many, &few, "dead")
    });
    assert!(all_believe(&fleet, &few, &few, "alive") && all_believe(&fleet, &many, &many, "alive"));
    fleet.datagrams.heal();
    agree(&fleet, "after the heal");
    // One cannot reach one other directly: nobody dies, however many probes fail on that way.
    let healed = fleet.now();
    fleet.datagrams.cut_one_way(&[0], &[1]);
    let probes = membership_metric(&fleet, 0, "probes");
    fleet.wait_until("many probes", || membership_metric(&fleet, 0, "probes") > probes + 20);
    fleet.datagrams.heal();
    agree(&fleet, "after a one-way cut");
    assert_eq!(state_changes(&fleet, &fleet.all(), "Dead", healed), [], "nobody died of it");
    // A pause that outlasts the suspicion: it is dead to the others, and they to it are not.
    let paused = fleet.now();
    fleet.pause(1);
    fleet.wait_until("the paused one is dead", || all_believe(&fleet, &[0, 2, 3, 4], &[1], "dead"));
    fleet.resume(1);
    agree(&fleet, "after a pause");
    assert_eq!(state_changes(&fleet, &[1], "Dead", paused), [], "it held nobody dead for its own sleep");
    // A farewell is no death.
    let stopped = fleet.now();
    fleet.terminate(4);
    fleet.wait_until("it has left", || all_believe(&fleet, &[0, 1, 2, 3], &[4], "left"));
    fleet.wait_until_exited(&[4]);
    assert_eq!(state_changes(&fleet, &fleet.all(), "Dead", stopped), [], "who has left is not dead");
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
    let answer = fleet.admin(0, "/control/members").expect("an answer");
    assert_eq!(answer.status, 404);
    assert!(!fleet.counters(0).contains_key("members_alive"));
    let totals = fleet.datagrams.totals();
    assert!(totals.iter().all(|t| !t.by_first_byte.contains_key(&0xF1)), "{totals:?}");
    drop(load.stop());
    assert!(!fleet.log(0).iter().any(|line| line.text.starts_with("member")), "a line of it");
}

/// Two parts that hear each other at once, by their own clock.
struct Pair {
    parts: Vec<Parts>,
    now: u64,
    peers: Vec<Vec<Vec<PeerPresence>>>,
    lines: Vec<Vec<u64>>,
}

impl Pair {
    fn new(places: usize) -> Pair {
        let set =
            MembershipSettings { probe_interval: 100 * MS, probe_timeout: 30 * MS, ..Default::default() };
        let settings = FleetSettings { membership: Some(set), ..FleetSettings::default() };
        let birth = |me| ProcessIdentity { place: me, peers: places, epoch: 1_000 + u64::from(me), seed: 3 };
        let parts = (0..2).map(|me| Parts::new(settings.clone(), birth(me), 0).expect("it starts"));
        Pair { parts: parts.collect(), now: 0, peers: vec![Vec::new(); 2], lines: vec![Vec::new(); 2] }
    }

    fn run(&mut self, span: u64, connected: bool) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            for me in 0..2 {
                if self.parts[me].next_wake(self.now).is_some_and(|at| at <= self.now) {
                    self.parts[me].on_timer(self.now);
                }
                while let Some(effect) = self.parts[me].poll() {
                    match effect {
                        FleetOutput::Send { to, bytes } if connected && to < 2 => {
                            assert!(self.parts[to as usize].accepts(&bytes) && bytes.len() <= 256);
                            self.parts[to as usize].on_datagram(self.now, me as u32, &bytes);
                        }
                        FleetOutput::Send { .. } | FleetOutput::MemberChanged(_) | FleetOutput::Fact(_) => {}
                        FleetOutput::PeerPresence(peers) => self.peers[me].push(peers),
                        FleetOutput::LogChange { suppressed: hidden, .. } => self.lines[me].push(hidden),
                    }
                }
            }
        }
    }
}

/// A place that was never heard of holds work for a while, and then no longer; the dead do not; the own place always does.
#[test]
fn policy_is_notified_of_peer_presence() {
    let mut pair = Pair::new(3);
    pair.run(400 * MS, true);
    assert_eq!(pair.peers[0], [[Present; 3]], "all may, at first");
    pair.run(10_000 * MS, true);
    assert_eq!(pair.peers[0].last(), Some(&vec![Present, Present, Unreachable]), "one was never heard of");
    pair.run(20_000 * MS, false);
    let alone = [vec![Present, Unreachable, Unreachable], vec![Unreachable, Present, Unreachable]];
    assert!((0..2).all(|me| pair.peers[me].last() == Some(&alone[me])), "{:?}", pair.peers);
    pair.run(20_000 * MS, true);
    assert!(
        pair.peers.iter().all(|told| told.last() == Some(&vec![Present, Present, Unreachable])),
        "{:?}",
        pair.peers
    );
    let told = pair.peers[0].len();
    pair.run(20_000 * MS, true);
    assert_eq!(pair.peers[0].len(), told, "nothing is said twice");
    // Another process speaks for the first: it says nothing more, no farewell either, until it begins anew.
    pair.parts[0].suspend();
    pair.parts[0].announce_leave(pair.now);
    assert!(pair.parts[0].next_wake(pair.now).is_none() && pair.parts[0].poll().is_none());
    let birth = ProcessIdentity { place: 0, peers: 3, epoch: 9_000, seed: 4 };
    pair.parts[0].restart(birth, pair.now).expect("it begins anew");
    pair.run(2_000 * MS, true);
    let seen = pair.parts[1].view().and_then(|view| view.member(0).copied()).expect("a view");
    assert_eq!((seen.epoch, seen.state), (9_000, mothproxy_membership::State::Alive));
}

/// However often a place comes and goes, lines of the log are few, and those left out are counted.
#[test]
fn limits_log_lines_and_counts_suppressed_ones() {
    let mut pair = Pair::new(2);
    for _ in 0..60 {
        pair.parts[1]
            .restart(ProcessIdentity { place: 1, peers: 2, epoch: 2_000 + pair.now, seed: 3 }, pair.now)
            .expect("anew");
        pair.run(100 * MS, true);
    }
    pair.run(3_000 * MS, true);
    pair.parts[1].announce_leave(pair.now);
    pair.run(2_000 * MS, true);
    let (lines, hidden) = (pair.lines[0].len() as u64, pair.lines[0].iter().sum::<u64>());
    let version = pair.parts[0].view().map_or(0, mothproxy_membership::View::version);
    assert!(lines < 40 && hidden > 0, "{lines} lines, {hidden} left out");
    assert_eq!(lines + hidden, version, "each change has a line or is counted");
}

/// Twenty nodes in two groups before twelve workers with four slots each, cut into two sides that hold members of both
/// groups and do not hear each other.
struct Cut {
    nodes: Vec<Node>,
    running: Vec<usize>,
}

impl Cut {
    const NODES: u32 = 20;

    fn side(node: u32) -> u32 {
        node / 2 % 2
    }

    /// `told` of the cut or not: each then has seen the others die.
    fn new(told: bool) -> Cut {
        let base = mothproxy::Settings { may_probe: true, reports_start: true, ..Default::default() };
        let class = mothproxy::Class {
            latency_objective: 20_000 * MS,
            deadline: 60_000 * MS,
            ..base.classes[0].clone()
        };
        let base = mothproxy::Settings {
            dispatcher_count: Cut::NODES,
            may_message_peers: true,
            classes: vec![class],
            ..base
        };
        let node = |me| Node::seeded(mothproxy::Settings { own_index: me, ..base.clone() }, u64::from(me));
        let mut cut = Cut { nodes: (0..Cut::NODES).map(node).collect(), running: vec![0; 12] };
        for me in 0..Cut::NODES {
            let node = &mut cut.nodes[me as usize];
            node.roster((0..12).map(worker).collect());
            node.report(0, 0.0, 4.0); // workers of this kind have four slots
            if told {
                let believed = |n| if Cut::side(n) == Cut::side(me) { Present } else { Unreachable };
                node.feed(Event::Peers((0..Cut::NODES).map(believed).collect()));
            }
        }
        cut.pass(5_000 * MS); // workers that came from the other group are let rest
        cut
    }

    fn act(&mut self, from: u32, actions: Vec<Action>) {
        for (job, to) in sends(&actions) {
            self.running[to.0 as usize] += 1;
            let started = self.nodes[from as usize].feed(Event::Started { job: JobId(job), attempt: 0 });
            self.act(from, started);
        }
        for action in actions {
            if let Action::SendToPeer { to, bytes } = action
                && Cut::side(to) == Cut::side(from)
            {
                let heard = self.nodes[to as usize].feed(Event::PeerMessage { from, bytes });
                self.act(to, heard);
            }
        }
    }

    fn pass(&mut self, span: u64) {
        for n in 0..Cut::NODES {
            let actions = self.nodes[n as usize].pass(span);
            self.act(n, actions);
        }
    }

    /// Far more jobs than there are slots, for 2 s: how many run at the fullest worker, and in all.
    fn fill(mut self) -> (usize, usize) {
        for n in 0..400 {
            let actions = self.nodes[(n % Cut::NODES) as usize].arrive(u64::from(n), 0, 60_000 * MS);
            self.act(n % Cut::NODES, actions);
            self.pass(5 * MS);
        }
        (self.running.iter().copied().max().unwrap_or(0), self.running.iter().sum())
    }
}

/// What both sides of a cut take is within each worker's slots once each has seen the cut, and nearly all of them are used;
/// without the view both fill every worker by themselves.
#[test]
fn partitioned_sides_stay_within_worker_slots() {
    let (most, all) = Cut::new(true).fill();
    assert!(most <= 4, "{most} jobs at once on one worker with four slots");
    assert!(all >= 36, "{all} of 48 slots are used");
    let (most, _) = Cut::new(false).fill();
    assert!(most > 4, "the measure: without the view {most} at once");
}
