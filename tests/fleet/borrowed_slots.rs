//! Borrowed slots: a dispatcher whose group's workers are full requests slots from other groups.

use crate::common::*;
use crate::simulation::Fleet;
use crate::*;
use std::collections::BTreeSet;

/// The message that requests a slot in zone 0.
const SLOT_REQUEST: [u8; 2] = [b'A', 0];
/// The first byte of a message that offers a slot.
const SLOT_OFFER_KIND: u8 = b'O';

/// If one group gets more jobs than it has slots, the rest runs at workers of other groups that have offered slots, and these
/// groups count the borrowed slots as occupied. Without borrowed slots, 373 jobs in 25 s were sent to workers of other groups at
/// which a probe had shown a free slot; 211 of them queued, and those groups did not know of them.
#[test]
fn a_full_group_borrows_slots_instead_of_overloading_other_workers() {
    const GROUPS: u32 = DISPATCHERS / GROUP_SIZE;
    const JOBS: u32 = 60; // For the ten dispatchers of one group, whose six workers have 24 slots.
    let mut fleet = Fleet::new();
    for job in 0..JOBS {
        let member = job % GROUP_SIZE * GROUPS;
        fleet.submit(member, u64::from(job));
    }
    fleet.advance(100 * MS);
    assert_eq!(fleet.running_jobs(), JOBS as usize, "all jobs must run at once");
    fleet.assert_within_slots();
    assert_eq!(fleet.counters.probes, 0);
    // The lending groups know which slots are borrowed: their own dispatchers send jobs to other workers.
    fleet.submit_to_each(1);
    fleet.assert_within_slots();
}

/// Where reports come with probe responses only, a worker with an unknown number of slots gets one job. Once all workers have
/// one, they are probed; afterwards all their slots are used and no more.
#[test]
fn a_full_group_probes_workers_with_unknown_slots_where_reports_come_with_probes() {
    let settings =
        Settings { dispatcher_count: 20, load_reporting: LoadReporting::ProbesOnly, ..settings(OWN_PLACE) };
    let mut dispatcher = TestDispatcher::new(settings);
    dispatcher.load_cached_list((0..4).map(worker).collect());
    let mut next_job = 0..;
    let mut arrive =
        |dispatcher: &mut TestDispatcher| dispatcher.arrive(next_job.next().unwrap_or(0), 0, 7_500 * MS);
    let mut busy = BTreeSet::new();
    let probed = loop {
        let actions = arrive(&mut dispatcher);
        if sends(&actions).is_empty() {
            break probes(&actions);
        }
        for (job, worker) in sends(&actions) {
            assert!(busy.insert(worker), "a second job at {worker:?}");
            dispatcher.feed(Event::Started { job: JobId(job), attempt: 0 });
        }
    };
    assert!(!probed.is_empty(), "the group's workers may have free slots, and none is probed");
    // This dispatcher's job occupies one of the worker's four slots.
    let one_slot_taken = load_report(0.25, 3.0, 0.0);
    let sent: Vec<_> = probed
        .iter()
        .flat_map(|worker| sends(&dispatcher.end_probe(worker.0, Outcome::Ok, one_slot_taken)))
        .collect();
    assert_eq!(sent.len(), 1, "the waiting job must be sent");
    let more: usize = (0..20).map(|_| sends(&arrive(&mut dispatcher)).len()).sum();
    assert_eq!(busy.len() + 1 + more, busy.len() * SLOTS as usize, "all slots must be used, and no more");
}

/// An offered slot is reserved for a short time, of which the lender's group is informed, and is free again if it is not used.
#[test]
fn reserves_an_offered_slot_until_the_offer_expires() {
    const BORROWER: u32 = 1;
    const LENDER: u32 = 0;
    const LENDERS_PEER: u32 = 10;
    let member = |index| {
        let mut dispatcher = TestDispatcher::new(settings(index));
        dispatcher.load_cached_list((0..WORKERS).map(worker).collect());
        dispatcher.report_load(0, 0.0, 1.0); // Workers of this kind have one slot.
        dispatcher
    };
    let (mut lender, mut peer) = (member(LENDER), member(LENDERS_PEER));
    let request = || Event::PeerMessage { from: BORROWER, bytes: SLOT_REQUEST.to_vec() };
    let offers = |actions: &[Action]| {
        let messages = datagrams_to(actions, BORROWER);
        messages.iter().filter(|bytes| bytes[0] == SLOT_OFFER_KIND).count()
    };
    // The group has six workers with one slot each.
    let made: usize = (0..8).map(|_| offers(&lender.feed(request()))).sum();
    assert_eq!(made, 6);
    for bytes in datagrams_to(&lender.advance(5 * MS), LENDERS_PEER) {
        peer.feed(Event::PeerMessage { from: LENDER, bytes });
    }
    assert_eq!(offers(&peer.feed(request())), 0, "the peer must know the offers");
    assert!(sends(&peer.arrive(1, 0, TIME_BUDGET)).is_empty());
    lender.advance(100 * MS);
    assert_eq!(offers(&lender.feed(request())), 1, "a slot must be free once the offers have expired");
}
