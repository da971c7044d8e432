//! Peer groups with a thousand workers: load advertisements, assignment of workers to groups, and borrowed slots.

use crate::common::{MS, TestDispatcher, datagrams_to, sends, worker};
use crate::{SIZE, dispatcher_among, settings};
use mothproxy::policy::gossip::GroupGossip;
use mothproxy::*;
use std::collections::{BTreeMap, BTreeSet};

/// A slot request, and the first byte of a slot offer.
const SLOT_REQUEST: [u8; 2] = [b'A', 0];
const SLOT_OFFER_KIND: u8 = b'O';
/// The maximum length of a datagram that a peer accepts, in bytes.
const MAX_DATAGRAM_LEN: usize = 256;
/// The number of dispatchers in a group.
const GROUP_SIZE: u32 = 10;

/// The short tag that messages use in place of a worker's tag: the low 16 bits of a hash of it.
fn short_tag(tag: u64) -> u16 {
    let mixed = (tag ^ (tag >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) as u16
}

/// Workers in pairs whose tags have the same short tag.
fn workers_with_colliding_tags(count: u32) -> Vec<EndpointEntry> {
    let mut first_of_short_tag = BTreeMap::new();
    let mut tags = Vec::new();
    for tag in 1.. {
        match first_of_short_tag.remove(&short_tag(tag)) {
            Some(first) => tags.extend([first, tag]),
            None => drop(first_of_short_tag.insert(short_tag(tag), tag)),
        }
        if tags.len() >= count as usize {
            break;
        }
    }
    (0..).zip(tags).map(|(id, tag)| EndpointEntry { tag, ..worker(id) }).collect()
}

/// The messages that a dispatcher sends for a series of jobs.
struct SubmissionResult {
    /// The jobs that were sent, with their workers.
    sent: Vec<(u64, WorkerId)>,
    /// The datagrams to one peer.
    datagrams: Vec<Vec<u8>>,
}

/// Submits the jobs with these ids to a dispatcher, one every 3 ms, and returns the sent jobs and the datagrams to `peer`.
fn submit(dispatcher: &mut TestDispatcher, jobs: std::ops::Range<u64>, peer: u32) -> SubmissionResult {
    let mut result = SubmissionResult { sent: Vec::new(), datagrams: Vec::new() };
    for job in jobs {
        let mut actions = dispatcher.arrive(job, 0, 60_000 * MS);
        actions.extend(dispatcher.advance(3 * MS));
        for (job, worker) in sends(&actions) {
            actions.extend(dispatcher.feed(Event::Started { job: JobId(job), attempt: 0 }));
            result.sent.push((job, worker));
        }
        result.datagrams.extend(datagrams_to(&actions, peer));
    }
    result
}

/// Delivers datagrams from dispatcher 0 to a dispatcher.
fn receive(dispatcher: &mut TestDispatcher, datagrams: Vec<Vec<u8>>) -> Vec<Action> {
    let message = |bytes| Event::PeerMessage { from: 0, bytes };
    datagrams.into_iter().flat_map(|bytes| dispatcher.feed(message(bytes))).collect()
}

/// Asserts that a dispatcher sends more than 90 % of these jobs, and none to a worker whose only slot runs a job of its peer.
fn assert_avoids_full_workers(
    dispatcher: &mut TestDispatcher,
    jobs: std::ops::Range<u64>,
    outstanding: &[(u64, WorkerId)],
) {
    let full: BTreeSet<WorkerId> = outstanding.iter().map(|(_, worker)| *worker).collect();
    let count = jobs.end - jobs.start;
    let sent = submit(dispatcher, jobs, 0).sent;
    let at_full = sent.iter().filter(|(_, worker)| full.contains(worker)).count();
    assert!(
        at_full == 0 && sent.len() as u64 > count * 9 / 10,
        "{at_full} of {} sent jobs are at full workers, of {count} submitted",
        sent.len()
    );
}

/// A group knows all outstanding work of a member, also if two workers have the same short tag, if more workers are busy than
/// fit into one message, and if messages are lost. Guards against two faults. A message holds at most 120 workers, and the others
/// were left out: always the same ones, which the peers considered idle. The work of two workers with the same short tag was
/// counted at one of them.
#[test]
fn a_group_knows_all_outstanding_work_at_a_thousand_workers() {
    let workers = workers_with_colliding_tags(SIZE);
    let [mut dispatcher, mut peer] = [0, 1].map(|index| dispatcher_among(index, 2, &workers));
    let SubmissionResult { sent: mut outstanding, datagrams } = submit(&mut dispatcher, 0..600, 1);
    assert_eq!(outstanding.len(), 600);
    assert!(datagrams.iter().all(|bytes| bytes.len() <= MAX_DATAGRAM_LEN));
    // A started job changes one message or splits it in two; no message is due for repetition within 1.8 s.
    assert!((600..=620).contains(&datagrams.len()), "{} messages for 600 started jobs", datagrams.len());
    receive(&mut peer, datagrams);
    assert_avoids_full_workers(&mut peer, 0..300, &outstanding);
    // Lost messages are repeated.
    let lost = submit(&mut dispatcher, 600..650, 1);
    outstanding.extend(lost.sent);
    let repeated = datagrams_to(&dispatcher.advance(2_000 * MS), 1);
    assert!((6..=12).contains(&repeated.len()), "{} messages for 650 outstanding jobs", repeated.len());
    receive(&mut peer, repeated);
    assert_avoids_full_workers(&mut peer, 300..330, &outstanding);
    // Completed jobs leave the messages, and the remaining work is merged into one.
    for (job, worker) in outstanding.split_off(20) {
        dispatcher.end_attempt(job, 0, worker, Outcome::Ok);
    }
    let remaining = datagrams_to(&dispatcher.advance(3 * MS), 1);
    assert_eq!(remaining.len(), 1, "20 outstanding jobs fit into one message");
    receive(&mut peer, remaining);
    assert_avoids_full_workers(&mut peer, 330..630, &outstanding);
}

/// A borrowed slot is used at the worker that the slot offer names, even if another worker has the same short tag. Guards against
/// using it at the other worker, whose group does not know about it.
#[test]
fn an_offer_is_used_at_the_worker_it_names() {
    let workers = workers_with_colliding_tags(300);
    let [mut lender, mut borrower] = [0, 1].map(|index| dispatcher_among(index, 30, &workers));
    let mut lenders_group = GroupGossip::new(&settings(0, 30));
    lenders_group.assign(&workers, &[]);
    let own = submit(&mut borrower, 0..160, 0).sent;
    assert!(
        (90..=110).contains(&own.len()),
        "{} jobs sent to the borrower's own workers, expected 90 to 110",
        own.len()
    );
    let mut offers = Vec::new();
    for _ in 0..50 {
        let request = Event::PeerMessage { from: 1, bytes: SLOT_REQUEST.to_vec() };
        offers.extend(datagrams_to(&lender.feed(request), 1));
    }
    offers.retain(|bytes| bytes[0] == SLOT_OFFER_KIND);
    let borrowed = sends(&receive(&mut borrower, offers));
    assert!(borrowed.len() >= 45, "{} of 50 offers are used, expected at least 45", borrowed.len());
    let strays = borrowed.iter().filter(|(_, worker)| !lenders_group.assigned().contains(worker)).count();
    assert_eq!(strays, 0, "jobs sent to workers outside the lender's group");
}

/// The workers assigned to a group, as computed by its first dispatcher; asserts that its last one computes the same.
fn assigned_to_group(group: u32, dispatchers: u32, listed: &[EndpointEntry]) -> Vec<WorkerId> {
    let groups = dispatchers.div_ceil(GROUP_SIZE);
    let last_of_group = group + (dispatchers - 1 - group) / groups * groups;
    let [first, last] = [group, last_of_group].map(|index| {
        let mut gossip = GroupGossip::new(&settings(index, dispatchers));
        gossip.assign(listed, &[]);
        gossip.assigned().to_vec()
    });
    assert_eq!(
        first, last,
        "assignments of the first and the last dispatcher of group {group} of {dispatchers} dispatchers"
    );
    first
}

/// For each size of the fleet, each worker is assigned to one group, all dispatchers of the group agree, and no group has many
/// more workers than the mean.
#[test]
fn assigns_each_of_a_thousand_workers_to_one_group() {
    let entry = |id: u32| EndpointEntry { zone: ZoneId((id % 3) as u16), ..worker(id) };
    let workers: Vec<EndpointEntry> = (0..SIZE).map(entry).collect();
    for (dispatchers, listed) in [(2, SIZE), (17, SIZE), (300, SIZE), (SIZE, SIZE), (SIZE, 60), (SIZE, 1)] {
        let listed = &workers[..listed as usize];
        let groups = dispatchers.div_ceil(GROUP_SIZE);
        let mut assigned = Vec::new();
        for group in 0..groups.min(dispatchers) {
            let part = assigned_to_group(group, dispatchers, listed);
            // One more than the mean in each of three zones.
            assert!(part.len() <= listed.len() / groups as usize + 3);
            assigned.extend(part);
        }
        assigned.sort_unstable();
        assert!(
            assigned.iter().eq(listed.iter().map(|known| &known.worker)),
            "{dispatchers} dispatchers, {} workers",
            listed.len()
        );
    }
}

/// Random messages and list changes, and the workers that are ready after them.
struct RandomInput {
    rng: fastrand::Rng,
    ready: BTreeSet<WorkerId>,
}

impl RandomInput {
    /// A random change of one worker, which may not be listed yet.
    fn list_change(&mut self) -> Event {
        let status =
            self.rng.choice([Status::Ready, Status::Draining, Status::Gone]).expect("nothing to choose from");
        let entry = EndpointEntry { status, ..worker(self.rng.u32(..SIZE * 2)) };
        self.ready.remove(&entry.worker);
        self.ready.extend((status == Status::Ready).then_some(entry.worker));
        Event::EndpointList(ListKind::Delta, vec![entry])
    }
}

/// With random messages from peers, list changes and reconfigurations, jobs are sent only to ready workers, and no datagram
/// exceeds the maximum length.
#[test]
fn tolerates_any_message_as_one_of_a_thousand() {
    const STEPS: u64 = 2_000;
    const MESSAGE_KINDS: &[u8; 8] = b"WwGgAOUS";
    let workers: Vec<EndpointEntry> = (0..SIZE).map(worker).collect();
    let mut dispatcher = dispatcher_among(0, SIZE, &workers);
    let mut input =
        RandomInput { rng: fastrand::Rng::with_seed(6), ready: (0..SIZE).map(WorkerId).collect() };
    let mut sent = 0;
    for step in 0..STEPS {
        let payload: Vec<u8> = (0..input.rng.usize(..40)).map(|_| input.rng.u8(..)).collect();
        let kind = *input.rng.choice(MESSAGE_KINDS).expect("nothing to choose from");
        let mut actions = Vec::new();
        if step % 10 == 0 {
            let change = input.list_change();
            actions.extend(dispatcher.feed(change));
        }
        let from = input.rng.u32(..SIZE + 9);
        actions.extend(dispatcher.feed(Event::PeerMessage { from, bytes: [&[kind], &payload[..]].concat() }));
        if step % 500 == 499 {
            let fewer = settings(0, SIZE - step as u32 / 20);
            dispatcher.dispatcher.reconfigure(fewer).expect("invalid settings");
        }
        actions.extend(dispatcher.arrive(step, 0, 7_000 * MS));
        actions.extend(dispatcher.advance(3 * MS));
        for (job, worker) in sends(&actions) {
            assert!(input.ready.contains(&worker), "{worker:?} is not ready");
            sent += 1;
            dispatcher.end_attempt(job, 0, worker, Outcome::Ok);
        }
        let is_too_long = |action: &Action| matches!(action, Action::SendToPeer { bytes, .. } if bytes.len() > MAX_DATAGRAM_LEN);
        assert!(!actions.iter().any(is_too_long));
    }
    assert!(sent > 1_000, "{sent} of {STEPS} jobs are sent, expected more than 1,000");
}
