//! Membership in the built program: several processes on loopback, datagrams through relays with faults. Stories wait for
//! what is to happen and assert no times; how long things take is `make proof-membership`.

mod common;
#[path = "common/members.rs"]
mod members;

use common::{MS, PeerDatagram, TestDispatcher, peer_datagrams, sends, workers};
use members::*;
use mothproxy::fleet::{Fleet as Parts, FleetOutput, FleetSettings, MembershipSettings, ProcessIdentity};
use mothproxy::policy::interface::PeerPresence::{self, Present, Unreachable};
use mothproxy::policy::interface::{Action, Event, JobId};
use mothproxy_testkit::fleet::*;
use std::time::Duration;

/// The first byte of a membership datagram, and of one of another version.
const MEMBERSHIP_KIND: u8 = 0xF1;
const OTHER_VERSION_KIND: u8 = 0xF2;

/// Settings with membership on.
const ON: &str = "fleet { membership { probe_interval_ms: 100 } }";

fn plan(size: usize, seed: u64, settings: Option<&str>) -> Plan {
    let plan = Plan::new(env!("CARGO_BIN_EXE_mothproxy"), size, 2, seed);
    Plan { settings: settings.map(str::to_owned), ..plan }
}

fn others(fleet: &Fleet, member: usize) -> Vec<usize> {
    fleet.all().into_iter().filter(|other| *other != member).collect()
}

/// Waits until all hold all alive.
fn agree(fleet: &Fleet, what: &str) {
    fleet.wait_until(&format!("all hold all alive {what}"), || {
        all_believe(fleet, &fleet.all(), &fleet.all(), "alive")
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
    fleet.wait_until("the killed one is dead", || all_believe(fleet, &others, &[victim], "dead"));
    assert!(all_believe(fleet, &others, &others, "alive"), "and no other");
    fleet.restart(victim).expect("it starts again");
    agree(fleet, "after a restart");
    assert!(member_epoch(fleet, 0, victim) > epoch, "a new epoch");
}

/// Two sides: each holds the other dead and none of its own.
fn partition_and_heal(fleet: &Fleet, one: &[usize], other: &[usize]) {
    fleet.datagrams.partition(&[one, other]);
    fleet.wait_until("each side is alone", || {
        all_believe(fleet, one, other, "dead") && all_believe(fleet, other, one, "dead")
    });
    assert!(all_believe(fleet, one, one, "alive") && all_believe(fleet, other, other, "alive"));
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
        all_believe(fleet, &others(fleet, paused), &[paused], "dead")
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
    fleet.wait_until("it has left", || all_believe(fleet, &others(fleet, leaving), &[leaving], "left"));
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

/// Twenty dispatchers in two groups before twelve workers with four slots each, partitioned into two sides that hold members of
/// both groups and do not hear each other.
struct PartitionedFleet {
    dispatchers: Vec<TestDispatcher>,
    /// The jobs at each worker.
    running: Vec<usize>,
}

/// Jobs that run in a [`PartitionedFleet`].
struct RunningJobs {
    /// At the fullest worker.
    max_per_worker: usize,
    in_all: usize,
}

impl PartitionedFleet {
    const DISPATCHERS: u32 = 20;
    const WORKERS: u32 = 12;
    const SLOTS: usize = 4;

    fn side(dispatcher: u32) -> u32 {
        dispatcher / 2 % 2
    }

    fn settings(me: u32) -> mothproxy::Settings {
        let default = mothproxy::Settings::default();
        let class = mothproxy::Class {
            latency_objective: 20_000 * MS,
            deadline: 60_000 * MS,
            ..default.classes[0].clone()
        };
        mothproxy::Settings {
            me,
            nodes: PartitionedFleet::DISPATCHERS,
            classes: vec![class],
            may_probe: true,
            reports_start: true,
            may_message_peers: true,
            ..default
        }
    }

    /// A fleet whose dispatchers take each other for present.
    fn unaware() -> PartitionedFleet {
        PartitionedFleet::with_presence(|_, _| None)
    }

    /// A fleet whose dispatchers have each seen those of the other side die.
    fn aware() -> PartitionedFleet {
        let is_near = |me, other| PartitionedFleet::side(me) == PartitionedFleet::side(other);
        PartitionedFleet::with_presence(|me, other| {
            Some(if is_near(me, other) { Present } else { Unreachable })
        })
    }

    /// A fleet in which each dispatcher is notified of what it believes of each, if of anything.
    fn with_presence(presence: impl Fn(u32, u32) -> Option<PeerPresence>) -> PartitionedFleet {
        let count = PartitionedFleet::DISPATCHERS;
        let dispatcher = |me| {
            let settings = PartitionedFleet::settings(me);
            let mut dispatcher = TestDispatcher::with_seed(settings, u64::from(me));
            dispatcher.load_cached_list(workers(PartitionedFleet::WORKERS));
            // One report says how many slots workers of this kind have.
            dispatcher.report_load(0, 0.0, PartitionedFleet::SLOTS as f64);
            let believed: Option<Vec<PeerPresence>> = (0..count).map(|other| presence(me, other)).collect();
            if let Some(believed) = believed {
                dispatcher.feed(Event::Peers(believed));
            }
            dispatcher
        };
        let mut fleet = PartitionedFleet {
            dispatchers: (0..count).map(dispatcher).collect(),
            running: vec![0; PartitionedFleet::WORKERS as usize],
        };
        fleet.advance(5_000 * MS); // workers that came from the other group are let rest
        fleet
    }

    /// Does what a dispatcher wants done, and what follows from that.
    fn perform(&mut self, from: u32, actions: &[Action]) {
        for (job, worker) in sends(actions) {
            self.running[worker.0 as usize] += 1;
            self.feed(from, Event::Started { job: JobId(job), attempt: 0 });
        }
        for PeerDatagram { to, bytes } in peer_datagrams(actions) {
            if PartitionedFleet::side(to) == PartitionedFleet::side(from) {
                self.feed(to, Event::PeerMessage { from, bytes });
            }
        }
    }

    fn feed(&mut self, dispatcher: u32, event: Event) {
        let actions = self.dispatchers[dispatcher as usize].feed(event);
        self.perform(dispatcher, &actions);
    }

    fn advance(&mut self, span: u64) {
        for number in 0..PartitionedFleet::DISPATCHERS {
            let actions = self.dispatchers[number as usize].advance(span);
            self.perform(number, &actions);
        }
    }

    /// Far more jobs than there are slots arrive within 2 s.
    fn fill(mut self) -> RunningJobs {
        for job in 0..400 {
            let number = job % PartitionedFleet::DISPATCHERS;
            let actions = self.dispatchers[number as usize].arrive(u64::from(job), 0, 60_000 * MS);
            self.perform(number, &actions);
            self.advance(5 * MS);
        }
        RunningJobs {
            max_per_worker: self.running.iter().copied().max().unwrap_or(0),
            in_all: self.running.iter().sum(),
        }
    }
}

/// What both sides of a partition take is within each worker's slots once each has seen it, and nearly all of them are used;
/// without the view both fill every worker by themselves.
#[test]
fn partitioned_sides_stay_within_worker_slots() {
    let RunningJobs { max_per_worker, in_all } = PartitionedFleet::aware().fill();
    assert!(max_per_worker <= 4, "{max_per_worker} jobs at once on one worker with four slots");
    assert!(in_all >= 36, "{in_all} of 48 slots are used");
    let RunningJobs { max_per_worker, .. } = PartitionedFleet::unaware().fill();
    assert!(max_per_worker > 4, "the measure: without the view {max_per_worker} at once");
}
