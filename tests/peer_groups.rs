//! The assignment of workers to groups, as every node works it out by itself, and what the sides of a partition may use.

use mothproxy::policy::gossip::{ADVERTISEMENT_TTL, GroupGossip};
use mothproxy::*;
use std::collections::{BTreeMap, BTreeSet};

fn settings(me: u32) -> Settings {
    Settings {
        own_index: me,
        dispatcher_count: 100,
        may_message_peers: true,
        may_probe: true,
        ..Settings::default()
    }
}

fn listed(n: u32) -> EndpointEntry {
    EndpointEntry {
        worker: WorkerId(n),
        tag: u64::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: ZoneId((n % 2) as u16),
        kind: KindId(0),
        cell: CellId(0),
        status: Status::Ready,
        weight: 1.0,
        started_at: None,
    }
}

/// Who has which worker, by one node of each group.
fn parts(workers: &[EndpointEntry]) -> BTreeMap<WorkerId, u32> {
    let mut owner = BTreeMap::new();
    for me in 0..10 {
        let mut gossip = GroupGossip::new(&settings(me));
        gossip.assign(workers, &[]);
        let part: Vec<WorkerId> = gossip.workers().collect();
        assert!((3..=8).contains(&part.len()), "group {me} has {part:?}");
        part.into_iter().for_each(|w| assert_eq!(owner.insert(w, me), None, "{w:?} has two groups"));
    }
    owner
}

/// Each worker has one group, and when one leaves hardly any other changes its group.
#[test]
fn assigns_each_worker_to_one_group_and_moves_few_when_one_leaves() {
    let all: Vec<EndpointEntry> = (0..60).map(listed).collect();
    let before = parts(&all);
    assert_eq!(before.len(), 60);
    let after = parts(&all[1..]);
    let moved = after.iter().filter(|(w, group)| before[w] != **group).count();
    assert!(moved <= 6, "{moved} of 59 have another group");
    // The order of the list does not matter.
    assert_eq!(parts(&all.iter().rev().copied().collect::<Vec<_>>()), before);
}

/// Drawing from the part walked all of it with a random number for each worker (a reservoir): at 10,000 workers and
/// 30 dispatchers, 60 % of a job's time in `make bench-decision`. Now as many numbers as workers drawn, distinct,
/// and each worker about as often as any other.
#[test]
fn sampling_draws_only_what_it_returns_and_is_uniform() {
    let mut gossip = GroupGossip::new(&settings(0));
    gossip.assign(&(0..3_000).map(listed).collect::<Vec<_>>(), &[]);
    let size = gossip.assigned().len();
    assert!(size > 100, "{size} in the part");
    let (mut rng, mut counted) = (fastrand::Rng::with_seed(5), fastrand::Rng::with_seed(5));
    let mut times: BTreeMap<WorkerId, u32> = gossip.assigned().iter().map(|w| (*w, 0)).collect();
    for _ in 0..2_000 {
        let drawn = gossip.sample(&mut rng, 8);
        for _ in 0..8 {
            counted.u64(..);
        }
        assert_eq!(rng.u64(..), counted.u64(..), "8 numbers drawn for 8 of {size}");
        let distinct: BTreeSet<WorkerId> = drawn.iter().copied().collect();
        assert_eq!((drawn.len(), distinct.len()), (8, 8));
        drawn.iter().for_each(|w| *times.get_mut(w).expect("one of the part") += 1);
    }
    let mean = 2_000.0 * 8.0 / size as f64;
    let (least, most) = (times.values().min().copied(), times.values().max().copied());
    let (least, most) = (f64::from(least.unwrap_or(0)), f64::from(most.unwrap_or(0)));
    assert!(least > mean * 0.2 && most < mean * 2.5, "{least}..{most} times for {mean:.1} each");
    assert_eq!(gossip.sample(&mut rng, size + 5).len(), size, "all of a part no larger than asked");
}

/// Who has which worker where only these nodes hold work, by the word of each of them.
fn held(nodes: u32, holders: &[bool], workers: &[EndpointEntry]) -> BTreeMap<WorkerId, u32> {
    let mut owner: BTreeMap<WorkerId, u32> = BTreeMap::new();
    let believed = |here: &bool| if *here { PeerPresence::Present } else { PeerPresence::Gone };
    let peers: Vec<PeerPresence> = holders.iter().map(believed).collect();
    for me in (0..nodes).filter(|n| holders[*n as usize]) {
        let mut gossip = GroupGossip::new(&Settings { dispatcher_count: nodes, ..settings(me) });
        gossip.set_presence(1, &peers);
        gossip.assign(workers, &[]);
        for worker in gossip.assigned().iter().copied() {
            let group = *owner.entry(worker).or_insert(gossip.group());
            assert_eq!(group, gossip.group(), "{worker:?} has two groups by the word of {me}");
        }
    }
    owner
}

/// One death moves the workers that the dead node held, one in n, and its return moves these back; whole groups may die.
#[test]
fn moves_only_the_workers_of_a_node_that_is_gone() {
    let (nodes, all): (u32, Vec<EndpointEntry>) = (30, (0..300).map(listed).collect());
    let mut rng = fastrand::Rng::with_seed(11);
    let mut holders = vec![true; nodes as usize];
    let (mut moved, mut deaths, mut before) = (0, 0, held(nodes, &holders, &all));
    assert_eq!(before.len(), 300);
    let whole = before.clone();
    for step in 0..40 {
        let node = rng.usize(0..nodes as usize);
        let left = holders.iter().filter(|held| **held).count();
        if left == 1 && holders[node] {
            continue;
        }
        holders[node] = !holders[node];
        let after = held(nodes, &holders, &all);
        assert_eq!(after.len(), 300, "step {step}: a worker that no group has");
        let changed = after.iter().filter(|(w, group)| before[*w] != **group).count();
        let (least, most) = (left - usize::from(!holders[node]), 300.0);
        assert!(
            changed as f64 <= 3.0 * most / least.max(1) as f64,
            "step {step}: {changed} moved, {least} left"
        );
        (moved, deaths, before) = (moved + changed, deaths + 1, after);
    }
    assert!(deaths > 30 && moved > 0, "{moved} moved at {deaths} changes");
    assert_eq!(held(nodes, &vec![true; nodes as usize], &all), whole, "as if nothing had been");
    // One after the other until one is left: never a worker without a group, and nobody is assigned to a dead node's.
    let mut holders = vec![true; nodes as usize];
    for node in 1..nodes as usize {
        holders[node] = false;
        let owner = held(nodes, &holders, &all);
        assert_eq!(owner.len(), 300, "after {node} deaths");
    }
}

/// Whatever the sides of a cut, and whoever of each has left by the word of that side: what all sides may take of a worker
/// is never above its slots, and all of it while nobody is away.
#[test]
fn sides_of_a_partition_stay_within_the_slots() {
    let mut rng = fastrand::Rng::with_seed(3);
    let all: Vec<EndpointEntry> = (0..40).map(listed).collect();
    for round in 0..60 {
        let (nodes, sides, slots) = (rng.u32(2..40), rng.u32(1..4), rng.u32(1..12));
        let side: Vec<u32> = (0..nodes).map(|_| rng.u32(0..sides)).collect();
        // Some have left. Who is on a side may have heard of it or not; they themselves take nothing any more.
        let left: Vec<bool> = (0..nodes).map(|_| rng.u8(0..8) == 0).collect();
        let mut taken: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for here in 0..sides {
            let heard: Vec<bool> = left.iter().map(|left| *left && rng.bool()).collect();
            let believed = |n: usize| match (side[n] == here && !left[n], heard[n]) {
                (true, _) => PeerPresence::Present,
                (_, true) => PeerPresence::Gone,
                _ => PeerPresence::Unreachable,
            };
            let peers: Vec<PeerPresence> = (0..nodes as usize).map(believed).collect();
            // One node of each group that has somebody on this side; the rest of it does what it does.
            let mut groups = BTreeSet::new();
            for me in (0..nodes).filter(|n| peers[*n as usize] == PeerPresence::Present) {
                let mut gossip = GroupGossip::new(&Settings { dispatcher_count: nodes, ..settings(me) });
                if gossip.is_grouped() && groups.insert(gossip.group()) {
                    gossip.assign(&all, &[]);
                    let before = gossip.assigned().to_vec();
                    gossip.set_presence(1, &peers);
                    gossip.assign(&all, &[]);
                    let later = 1 + ADVERTISEMENT_TTL;
                    for worker in gossip.assigned() {
                        *taken.entry(*worker).or_default() +=
                            slots - gossip.reserved_slots(*worker, slots, later);
                        let came = !before.contains(worker);
                        assert!(
                            !came || gossip.reserved_slots(*worker, slots, later - 1) == slots,
                            "taken at once"
                        );
                    }
                }
            }
        }
        let whole = sides == 1 && !left.contains(&true) && nodes > 1;
        for (worker, taken) in taken {
            assert!(taken <= slots, "round {round}: {taken} of {slots} slots at {worker:?}, {nodes} nodes");
            assert!(!whole || taken == slots, "round {round}: {taken} of {slots} with nobody away");
        }
    }
}

/// A view of another number of dispatchers, or in which the dispatcher itself is gone, changes nothing.
#[test]
fn ignores_presence_of_another_size_or_without_the_node_itself() {
    let mut gossip = GroupGossip::new(&settings(3));
    let here = PeerPresence::Present;
    assert!(
        !gossip.set_presence(1, &[here; 7]) && !gossip.set_presence(1, &[PeerPresence::Gone; 100]),
        "neither is heeded"
    );
    assert!(!gossip.set_presence(1, &[here; 100]), "all hold work anyway");
    let mut peers = vec![here; 100];
    peers[4] = PeerPresence::Gone;
    assert!(gossip.set_presence(1, &peers) && !gossip.set_presence(1, &peers), "heeded once");
    let mut actions = Vec::new();
    (0..1_000).for_each(|random| gossip.request_slot(ZoneId(0), random, &mut actions));
    let asked = |node| actions.iter().any(|act| matches!(act, Action::SendToPeer { to, .. } if *to == node));
    assert!(
        !asked(4) && (14..100).step_by(10).all(asked),
        "no wish goes to one that is gone, of its group's"
    );
}

/// Workers that are new on the list do not change the group of older ones.
#[test]
fn new_workers_do_not_move_older_ones() {
    let mut all: Vec<EndpointEntry> = (0..52).map(listed).collect();
    let before = parts(&all);
    all.extend((52..60).map(|n| EndpointEntry { started_at: Some(1), ..listed(n) }));
    let after = parts(&all);
    let moved = before.iter().filter(|(w, group)| after[w] != **group).count();
    assert_eq!(moved, 0, "the older ones stay where they are");
}

/// The group of node 0 is the same with 92 nodes and with 91; who may be asked for a slot is not.
#[test]
fn requests_no_slot_from_a_removed_node() {
    let mut gossip = GroupGossip::new(&Settings { dispatcher_count: 92, ..settings(0) });
    gossip.regroup(&Settings { dispatcher_count: 91, ..settings(0) });
    let mut actions = Vec::new();
    (0..1_000).for_each(|random| gossip.request_slot(ZoneId(0), random, &mut actions));
    assert!(
        actions.iter().all(|act| matches!(act, Action::SendToPeer { to, .. } if *to < 91)),
        "{actions:?}"
    );
}

/// A dispatcher that is alone, or may not message its peers, has no group.
#[test]
fn has_no_group_alone_or_without_messages() {
    for set in [
        Settings { dispatcher_count: 1, ..settings(0) },
        Settings { may_message_peers: false, ..settings(0) },
    ] {
        let mut gossip = GroupGossip::new(&set);
        gossip.assign(&[listed(1)], &[]);
        assert!(
            !gossip.is_grouped()
                && gossip.workers().next().is_none()
                && gossip.peer_load(&listed(1), 0).is_none()
        );
    }
}
