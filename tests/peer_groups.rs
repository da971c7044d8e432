//! The assignment of workers to groups, which every dispatcher computes by itself, and the slots that the sides of a network
//! partition may use.

use mothproxy::policy::gossip::{ADVERTISEMENT_TTL, GroupGossip};
use mothproxy::*;
use std::collections::{BTreeMap, BTreeSet};

fn settings(index: u32) -> Settings {
    Settings {
        own_place: index,
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

/// The group of each worker, as computed by one dispatcher of each of the ten groups.
fn groups_of(workers: &[EndpointEntry]) -> BTreeMap<WorkerId, u32> {
    let mut owner = BTreeMap::new();
    for group in 0..10 {
        let mut gossip = GroupGossip::new(&settings(group));
        gossip.assign(workers, &[]);
        let part: Vec<WorkerId> = gossip.workers().collect();
        assert!((3..=8).contains(&part.len()), "group {group} has {part:?}");
        part.into_iter().for_each(|w| assert_eq!(owner.insert(w, group), None, "{w:?} has two groups"));
    }
    owner
}

/// Each worker is assigned to one group, and the removal of one worker moves few others.
#[test]
fn assigns_each_worker_to_one_group_and_moves_few_when_one_leaves() {
    let all: Vec<EndpointEntry> = (0..60).map(listed).collect();
    let before = groups_of(&all);
    assert_eq!(before.len(), 60);
    let after = groups_of(&all[1..]);
    let moved = after.iter().filter(|(w, group)| before[w] != **group).count();
    assert!(moved <= 6, "{moved} of 59 have another group");
    // The assignment does not depend on the order of the list.
    assert_eq!(groups_of(&all.iter().rev().copied().collect::<Vec<_>>()), before);
}

/// A sample takes as many random numbers as it has workers; the workers are distinct, and each is drawn about as often as any
/// other. Reservoir sampling, which draws a random number for each worker of the group, took 60 % of the time per job at 10,000
/// workers and 30 dispatchers (`make bench-decision`).
#[test]
fn sampling_draws_only_what_it_returns_and_is_uniform() {
    let mut gossip = GroupGossip::new(&settings(0));
    gossip.assign(&(0..3_000).map(listed).collect::<Vec<_>>(), &[]);
    let size = gossip.assigned().len();
    assert!(size > 100, "the group has {size} workers");
    let (mut rng, mut counted) = (fastrand::Rng::with_seed(5), fastrand::Rng::with_seed(5));
    let mut times: BTreeMap<WorkerId, u32> = gossip.assigned().iter().map(|w| (*w, 0)).collect();
    for _ in 0..2_000 {
        let drawn = gossip.sample(&mut rng, 8);
        for _ in 0..8 {
            counted.u64(..);
        }
        assert_eq!(rng.u64(..), counted.u64(..), "8 random numbers are drawn for 8 of {size} workers");
        let distinct: BTreeSet<WorkerId> = drawn.iter().copied().collect();
        assert_eq!((drawn.len(), distinct.len()), (8, 8));
        drawn.iter().for_each(|w| *times.get_mut(w).expect("not a worker of the group") += 1);
    }
    let mean = 2_000.0 * 8.0 / size as f64;
    let (least, most) = (times.values().min().copied(), times.values().max().copied());
    let (least, most) = (f64::from(least.unwrap_or(0)), f64::from(most.unwrap_or(0)));
    assert!(least > mean * 0.2 && most < mean * 2.5, "drawn {least} to {most} times, on average {mean:.1}");
    assert_eq!(gossip.sample(&mut rng, size + 5).len(), size, "a larger sample has all workers");
}

/// The group of each worker if only some dispatchers are present, as computed by each of these.
fn groups_by_presence(
    dispatchers: u32,
    is_present: &[bool],
    workers: &[EndpointEntry],
) -> BTreeMap<WorkerId, u32> {
    let mut owner: BTreeMap<WorkerId, u32> = BTreeMap::new();
    let presence = |present: &bool| if *present { PeerPresence::Present } else { PeerPresence::Gone };
    let peers: Vec<PeerPresence> = is_present.iter().map(presence).collect();
    for index in (0..dispatchers).filter(|n| is_present[*n as usize]) {
        let mut gossip = GroupGossip::new(&Settings { dispatcher_count: dispatchers, ..settings(index) });
        gossip.set_presence(1, &peers);
        gossip.assign(workers, &[]);
        for worker in gossip.assigned().iter().copied() {
            let group = *owner.entry(worker).or_insert(gossip.group());
            assert_eq!(group, gossip.group(), "dispatcher {index} assigns {worker:?} to a second group");
        }
    }
    owner
}

/// The loss of one of n dispatchers moves only the workers that it held, about one n-th of all, and its return moves them back.
/// Whole groups may be lost.
#[test]
fn moves_only_the_workers_of_a_dispatcher_that_is_gone() {
    let (dispatchers, all): (u32, Vec<EndpointEntry>) = (30, (0..300).map(listed).collect());
    let mut rng = fastrand::Rng::with_seed(11);
    let mut is_present = vec![true; dispatchers as usize];
    let (mut moved, mut changes, mut before) = (0, 0, groups_by_presence(dispatchers, &is_present, &all));
    assert_eq!(before.len(), 300);
    let initial = before.clone();
    for step in 0..40 {
        let changed = rng.usize(0..dispatchers as usize);
        let left = is_present.iter().filter(|present| **present).count();
        if left == 1 && is_present[changed] {
            continue;
        }
        is_present[changed] = !is_present[changed];
        let after = groups_by_presence(dispatchers, &is_present, &all);
        assert_eq!(after.len(), 300, "step {step}: a worker has no group");
        let moved_now = after.iter().filter(|(w, group)| before[*w] != **group).count();
        let (least, most) = (left - usize::from(!is_present[changed]), 300.0);
        assert!(
            moved_now as f64 <= 3.0 * most / least.max(1) as f64,
            "step {step}: {moved_now} workers moved, {least} dispatchers are left"
        );
        (moved, changes, before) = (moved + moved_now, changes + 1, after);
    }
    assert!(changes > 30 && moved > 0, "{moved} workers moved at {changes} changes");
    assert_eq!(
        groups_by_presence(dispatchers, &vec![true; dispatchers as usize], &all),
        initial,
        "the same as at first"
    );
    // One dispatcher after the other is lost until one is left: every worker has a group with a dispatcher that is present.
    let mut is_present = vec![true; dispatchers as usize];
    for lost in 1..dispatchers as usize {
        is_present[lost] = false;
        let owner = groups_by_presence(dispatchers, &is_present, &all);
        assert_eq!(owner.len(), 300, "after the loss of {lost} dispatchers");
    }
}

/// For any sides of a network partition, and any knowledge of each side about which dispatchers are gone: the slots of a worker
/// that all sides may use never add up to more than it has, and to all of them while all dispatchers are present.
#[test]
fn sides_of_a_partition_stay_within_the_slots() {
    let mut rng = fastrand::Rng::with_seed(3);
    let all: Vec<EndpointEntry> = (0..40).map(listed).collect();
    for round in 0..60 {
        let (dispatchers, sides, slots) = (rng.u32(2..40), rng.u32(1..4), rng.u32(1..12));
        let side: Vec<u32> = (0..dispatchers).map(|_| rng.u32(0..sides)).collect();
        // Some dispatchers are gone and use no slots any more. Each side may or may not know that.
        let is_gone: Vec<bool> = (0..dispatchers).map(|_| rng.u8(0..8) == 0).collect();
        let mut used: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for own_side in 0..sides {
            let is_known_gone: Vec<bool> = is_gone.iter().map(|gone| *gone && rng.bool()).collect();
            let presence = |n: usize| match (side[n] == own_side && !is_gone[n], is_known_gone[n]) {
                (true, _) => PeerPresence::Present,
                (_, true) => PeerPresence::Gone,
                _ => PeerPresence::Unreachable,
            };
            let peers: Vec<PeerPresence> = (0..dispatchers as usize).map(presence).collect();
            // One dispatcher of each group that has a member on this side; the other members compute the same result.
            let mut groups = BTreeSet::new();
            for index in (0..dispatchers).filter(|n| peers[*n as usize] == PeerPresence::Present) {
                let mut gossip =
                    GroupGossip::new(&Settings { dispatcher_count: dispatchers, ..settings(index) });
                if gossip.is_grouped() && groups.insert(gossip.group()) {
                    gossip.assign(&all, &[]);
                    let before = gossip.assigned().to_vec();
                    gossip.set_presence(1, &peers);
                    gossip.assign(&all, &[]);
                    let later = 1 + ADVERTISEMENT_TTL;
                    for worker in gossip.assigned() {
                        *used.entry(*worker).or_default() +=
                            slots - gossip.reserved_slots(*worker, slots, later);
                        let is_gained = !before.contains(worker);
                        assert!(
                            !is_gained || gossip.reserved_slots(*worker, slots, later - 1) == slots,
                            "the slots of a reassigned worker are used at once"
                        );
                    }
                }
            }
        }
        let are_all_present = sides == 1 && !is_gone.contains(&true) && dispatchers > 1;
        for (worker, used) in used {
            assert!(
                used <= slots,
                "round {round}: {used} of {slots} slots are used at {worker:?}, {dispatchers} dispatchers"
            );
            assert!(
                !are_all_present || used == slots,
                "round {round}: {used} of {slots} slots are used although all dispatchers are present"
            );
        }
    }
}

/// A list of presences with another number of dispatchers, or in which the dispatcher itself is gone, is ignored.
#[test]
fn ignores_presence_of_another_size_or_without_the_dispatcher_itself() {
    let mut gossip = GroupGossip::new(&settings(3));
    let present = PeerPresence::Present;
    assert!(
        !gossip.set_presence(1, &[present; 7]) && !gossip.set_presence(1, &[PeerPresence::Gone; 100]),
        "a presence list that must be ignored was applied"
    );
    assert!(!gossip.set_presence(1, &[present; 100]), "an unchanged presence list counts as a change");
    let mut peers = vec![present; 100];
    peers[4] = PeerPresence::Gone;
    assert!(
        gossip.set_presence(1, &peers) && !gossip.set_presence(1, &peers),
        "the change was not applied, or was applied twice"
    );
    let mut actions = Vec::new();
    (0..1_000).for_each(|random| gossip.request_slot(ZoneId(0), random, &mut actions));
    let is_asked =
        |peer| actions.iter().any(|act| matches!(act, Action::SendToPeer { to, .. } if *to == peer));
    assert!(
        !is_asked(4) && (14..100).step_by(10).all(is_asked),
        "a slot was requested from the member that is gone, or none from a member that is present"
    );
}

/// New workers on the list do not change the group of older ones.
#[test]
fn new_workers_do_not_move_older_ones() {
    let mut all: Vec<EndpointEntry> = (0..52).map(listed).collect();
    let before = groups_of(&all);
    all.extend((52..60).map(|n| EndpointEntry { started_at: Some(1), ..listed(n) }));
    let after = groups_of(&all);
    let moved = before.iter().filter(|(w, group)| after[w] != **group).count();
    assert_eq!(moved, 0, "older workers moved to another group");
}

/// The group of dispatcher 0 is the same with 92 dispatchers and with 91, but slots must not be requested from the removed one.
#[test]
fn requests_no_slot_from_a_removed_dispatcher() {
    let mut gossip = GroupGossip::new(&Settings { dispatcher_count: 92, ..settings(0) });
    gossip.regroup(&Settings { dispatcher_count: 91, ..settings(0) });
    let mut actions = Vec::new();
    (0..1_000).for_each(|random| gossip.request_slot(ZoneId(0), random, &mut actions));
    assert!(
        actions.iter().all(|act| matches!(act, Action::SendToPeer { to, .. } if *to < 91)),
        "{actions:?}"
    );
}

/// A single dispatcher, or one that may not message its peers, has no group.
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
