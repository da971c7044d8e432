//! Load advertisements: the dispatchers of a group know each other's outstanding work and place jobs by it.

use crate::common::*;
use crate::simulation::{ARRIVAL_INTERVAL, Fleet};
use crate::*;
use std::collections::BTreeSet;

/// A datagram of more bytes has a higher price.
const CHEAP_DATAGRAM_LEN: usize = 16;

/// If each dispatcher gets two jobs, they are spread over the workers, none of which gets more jobs than it has slots; slots that
/// become free are used again. Without advertisements, all dispatchers chose the same worker by the same old report: 33 jobs in
/// 1.5 s were sent to one with five slots, and none to similar ones.
#[test]
fn a_group_knows_the_outstanding_work_of_its_dispatchers() {
    let mut fleet = Fleet::new();
    fleet.submit_to_each(2);
    let used = fleet.busy_workers();
    fleet.assert_within_slots();
    assert!(used > 50, "200 jobs went to {used} of 60 workers");
    // Two jobs start at each dispatcher and none ends, which takes two messages to each of nine peers.
    let max_datagrams = 2 * DISPATCHERS as usize * (GROUP_SIZE as usize - 1);
    assert!(fleet.counters.datagrams <= max_datagrams, "{} messages", fleet.counters.datagrams);
    // The ends of jobs are advertised as well.
    for worker in 0..WORKERS {
        for _ in 0..4 {
            fleet.end_oldest_job(worker);
        }
    }
    fleet.advance(ARRIVAL_INTERVAL);
    fleet.submit_to_each(2);
    fleet.assert_within_slots();
}

/// The counterpart of the test above: without messages, the same reports lead to more jobs at one worker than it has slots.
#[test]
fn work_piles_up_without_peer_messages() {
    let mut fleet = Fleet::without_messages();
    fleet.submit_to_each(2);
    let max = fleet.counters.max_jobs_per_worker;
    assert!(max > SLOTS as usize, "{max} jobs at once on one worker");
}

/// Messages that cannot be decoded, or that come from an unknown sender, are ignored: the next job is sent as without them.
#[test]
fn ignores_messages_that_cannot_be_decoded() {
    let mut dispatcher = single_worker_dispatcher();
    dispatcher.report_load(0, 0.0, 1.0);
    let from_peer: [&[u8]; 11] = [
        &[],
        &[9; 300],
        b"W",
        &[b'W', 2, 0, 1],
        &[b'W', 0, 0, 1],
        // Parts with no or too many common bits, a first tag inside a range, a tag outside the range, and half a tag.
        &[b'w', 0, 0, 0, 0, 0, 0],
        &[b'w', 17, 0, 0, 0, 0, 0],
        &[b'w', 1, 0, 1, 0, 0, 0],
        &[b'w', 1, 128, 0, 0, 0, 0],
        &[b'w', 1, 0, 0, 0, 0, 0, 0],
        &[b'w', 1, 0, 0, 2, 0, 0],
    ];
    for bytes in from_peer {
        let message = Event::PeerMessage { from: PEER_PLACE, bytes: bytes.to_vec() };
        assert!(dispatcher.feed(message).is_empty(), "{bytes:?}");
    }
    let from_unknown = Event::PeerMessage { from: 999, bytes: b"W".to_vec() };
    assert!(dispatcher.feed(from_unknown).is_empty());
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)).len(), 1);
}

/// The work that a peer advertises occupies slots. The peer repeats the advertisement while it is alive; once it has been silent
/// for too long, its work is forgotten.
#[test]
fn load_advertisements_are_repeated_or_expire() {
    let (mut sender, mut dispatcher) = (single_worker_peer(), single_worker_dispatcher());
    for member in [&mut sender, &mut dispatcher] {
        member.report_load(0, 0.0, 1.0); // The worker has a single slot.
    }
    sender.arrive(1, 0, 60_000 * MS);
    let first = datagrams_to(&sender.advance(10 * MS), OWN_PLACE);
    let bytes = first.first().cloned().expect("no load advertisement");
    assert!(
        bytes.len() <= CHEAP_DATAGRAM_LEN,
        "datagram longer than {CHEAP_DATAGRAM_LEN} bytes, which has a higher price: {bytes:?}"
    );
    dispatcher.feed(Event::PeerMessage { from: PEER_PLACE, bytes });
    dispatcher.arrive(1, 0, 60_000 * MS);
    let sent = sends(&dispatcher.advance(100 * MS));
    assert!(sent.is_empty(), "sent although the only slot is occupied: {sent:?}");
    sender.feed(Event::Started { job: JobId(1), attempt: 0 });
    let repeated = datagrams_to(&sender.advance(2_500 * MS), OWN_PLACE);
    assert!(!repeated.is_empty(), "the work was not advertised again");
    // While the peer counts as silent, load reports count as well; afterwards it counts as dead.
    dispatcher.advance(11_000 * MS);
    let sent = sends(&dispatcher.arrive(2, 0, TIME_BUDGET));
    assert!(!sent.is_empty(), "no job was sent although the peer has been silent for too long");
}

/// When a third of the workers is replaced, many of the others are assigned to another group, which is informed of their
/// outstanding work. Without that, 161 of 1,041 jobs queued, up to 17 at a worker with five slots, because its new group did not
/// know the outstanding work of the previous group's dispatchers.
#[test]
fn work_at_a_reassigned_worker_is_advertised_to_its_new_group() {
    let mut fleet = Fleet::new();
    fleet.submit_to_each(2);
    let listed: Vec<EndpointEntry> = (20..80).map(worker).collect();
    fleet.for_each(|dispatcher| dispatcher.load_cached_list(listed.clone()));
    fleet.advance(ARRIVAL_INTERVAL);
    fleet.submit_to_each(1);
    // One job too many if it is sent before the message arrives; eight without such messages.
    fleet.assert_overcommitted_by_at_most(1);
}

/// A peer that has not repeated its advertisement may have more outstanding work than it advertised: its workers are probed before
/// a job is sent there. In a simulated network partition, no datagram arrived for 5 s. When each peer counted as idle 4 s after
/// its last message, all dispatchers of a group sent jobs to the same full workers: 22 % of the jobs that arrived 10 to 15 s after
/// the start were late, and the queues outlasted the partition.
#[test]
fn a_silent_peer_does_not_count_as_idle() {
    let (mut dispatcher, mut peer) = (single_worker_dispatcher(), single_worker_peer());
    for member in [&mut dispatcher, &mut peer] {
        member.report_load(0, 0.0, SLOTS);
    }
    assert_eq!(sends(&peer.arrive(1, 0, TIME_BUDGET)).len(), 1);
    let advertised = datagrams_to(&peer.advance(5 * MS), OWN_PLACE);
    let bytes = advertised.first().cloned().expect("no load advertisement");
    dispatcher.feed(Event::PeerMessage { from: PEER_PLACE, bytes: bytes.clone() });
    assert_eq!(sends(&dispatcher.arrive(2, 0, TIME_BUDGET)).len(), 1, "three slots are free");
    dispatcher.end_attempt(2, 0, WorkerId(0), Outcome::Ok);
    // The peer should have repeated its advertisement after 2 s. Its outstanding work is unknown now, and the worker is probed.
    dispatcher.advance(3_500 * MS);
    let actions = dispatcher.arrive(3, 0, TIME_BUDGET);
    assert_eq!(sends(&actions).len(), 0);
    assert_eq!(probes(&actions), [WorkerId(0)]);
    let full = load_report(1.0, 0.0, 0.0);
    assert_eq!(sends(&dispatcher.end_probe(0, Outcome::Ok, full)), [], "the worker is full");
    // Once the peer has advertised again, its advertisement counts.
    dispatcher.feed(Event::PeerMessage { from: PEER_PLACE, bytes });
    let sent = sends(&dispatcher.arrive(4, 0, TIME_BUDGET));
    assert_eq!(sent.len(), 2, "the queued job is sent as well");
}

/// Jobs that start and end within one tick are spread over all workers. A run time of 0 gave all workers a slowness of 0, which
/// cancelled the random tie-break, and the first worker of the list got all jobs.
#[test]
fn spreads_jobs_that_take_no_time() {
    const LISTED: u32 = 8;
    let mut dispatcher = group_member(OWN_PLACE, (0..LISTED).map(worker).collect());
    let mut used = BTreeSet::new();
    for job in 0..100 {
        for (job, worker) in sends(&dispatcher.arrive(job, 0, TIME_BUDGET)) {
            dispatcher.feed(Event::Started { job: JobId(job), attempt: 0 });
            dispatcher.end_attempt(job, 0, worker, Outcome::Ok);
            used.insert(worker);
        }
        dispatcher.advance(MS);
    }
    assert_eq!(used.len(), LISTED as usize, "{used:?}");
}
