//! Tests of the state machine of one member, driven by datagrams and time.

use super::*;
use crate::wire::{FactRecord, StateRecord, Writer};
use State::{Alive, Dead, Left, Suspect, Unknown};

/// A member at place 0 of 5, started at epoch 100, and the others at epoch 50.
fn member() -> Membership {
    let mut member = Membership::new(Config::new(0, 5, 100, 1), 1_000_000).unwrap();
    member.assume_all_alive(&[100, 50, 50, 50, 50]);
    member
}

fn version(epoch: u64, incarnation: u32) -> MemberVersion {
    MemberVersion { epoch, incarnation }
}

fn gossip(from: u16, sender: MemberVersion, records: &[Record]) -> Vec<u8> {
    let mut writer = Writer::new(sender, &Body::Gossip);
    assert!(records.iter().all(|record| writer.add(record)));
    writer.finish(Route { from, to: 0, peers: 5 })
}

fn record(place: u16, state: State, version: MemberVersion) -> Record {
    let accusers = if state == Suspect { vec![2] } else { Vec::new() };
    Record::State(StateRecord { place, state, version, accusers })
}

/// The state and version of a place in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PlaceEntry {
    state: State,
    version: MemberVersion,
}

const fn place_entry(state: State, epoch: u64, incarnation: u32) -> PlaceEntry {
    PlaceEntry { state, version: MemberVersion { epoch, incarnation } }
}

const UNKNOWN: PlaceEntry = place_entry(Unknown, 0, 0);

const fn alive(epoch: u64, incarnation: u32) -> PlaceEntry {
    place_entry(Alive, epoch, incarnation)
}

const fn suspect(epoch: u64, incarnation: u32) -> PlaceEntry {
    place_entry(Suspect, epoch, incarnation)
}

const fn dead(epoch: u64, incarnation: u32) -> PlaceEntry {
    place_entry(Dead, epoch, incarnation)
}

const fn left(epoch: u64, incarnation: u32) -> PlaceEntry {
    place_entry(Left, epoch, incarnation)
}

/// The entry of place 3 before a record about it arrives from place 1, the record, and the entry afterwards.
#[derive(Clone, Copy, Debug)]
struct RecordCase {
    known: PlaceEntry,
    record: PlaceEntry,
    after: PlaceEntry,
}

const fn case(known: PlaceEntry, record: PlaceEntry, after: PlaceEntry) -> RecordCase {
    RecordCase { known, record, after }
}

fn check_records(cases: &[RecordCase]) {
    cases.iter().for_each(|case| check_record(*case));
}

fn check_record(case: RecordCase) {
    let mut member = member();
    match case.known.state {
        Unknown => {
            member.view.members[3].state = Unknown;
            member.view.members[3].epoch = 0;
            member.present -= 1;
        }
        Suspect => member.suspect(3, case.known.version, &[4]),
        state => member.set_state(3, state, case.known.version),
    }
    let records = [record(3, case.record.state, case.record.version)];
    member.receive(1_000_100, 1, &gossip(1, version(50, 0), &records));
    let entry = member.view().members[3];
    assert_eq!(PlaceEntry { state: entry.state, version: entry.version() }, case.after, "{case:?}");
    let present = member.view().holders().iter().filter(|h| **h).count();
    assert_eq!(present, member.present, "{case:?}");
}

#[test]
fn accepts_any_record_about_an_unknown_place() {
    check_records(&[
        case(UNKNOWN, alive(50, 0), alive(50, 0)),
        case(UNKNOWN, suspect(50, 0), suspect(50, 0)),
        case(UNKNOWN, dead(50, 2), dead(50, 2)),
        case(UNKNOWN, left(50, 2), left(50, 2)),
    ]);
}

/// A member adopts a suspicion from others, but not a death: it probes the accused member itself.
#[test]
fn suspects_an_accused_member_but_does_not_declare_it_dead() {
    check_records(&[
        case(alive(50, 1), suspect(50, 1), suspect(50, 1)),
        case(alive(50, 1), suspect(50, 0), alive(50, 1)),
        case(alive(50, 1), dead(50, 1), alive(50, 1)),
        case(alive(50, 1), dead(50, 3), alive(50, 3)),
        case(alive(50, 1), left(50, 2), left(50, 2)),
    ]);
}

/// Only the suspect itself raises its incarnation, so a record with a later one shows that it has refuted.
#[test]
fn only_a_later_incarnation_refutes_a_suspicion_or_a_death() {
    check_records(&[
        case(suspect(50, 1), alive(50, 1), suspect(50, 1)),
        case(suspect(50, 1), alive(50, 2), alive(50, 2)),
        case(suspect(50, 1), dead(50, 1), suspect(50, 1)),
        case(dead(50, 1), alive(50, 1), dead(50, 1)),
        case(dead(50, 1), suspect(50, 1), dead(50, 1)),
        case(dead(50, 1), alive(50, 2), alive(50, 2)),
    ]);
}

#[test]
fn a_member_that_left_returns_only_with_a_later_epoch() {
    check_records(&[
        case(left(50, 1), alive(50, 9), left(50, 1)),
        case(left(50, 1), dead(50, 9), left(50, 1)),
        case(left(50, 1), alive(51, 0), alive(51, 0)),
    ]);
}

#[test]
fn a_later_epoch_replaces_the_entry_and_an_earlier_one_is_refused() {
    check_records(&[
        case(dead(50, 7), alive(51, 0), alive(51, 0)),
        case(alive(50, 7), suspect(51, 0), suspect(51, 0)),
        case(alive(50, 7), dead(51, 0), alive(51, 0)),
        case(alive(50, 0), suspect(49, 9), alive(50, 0)),
        case(alive(50, 0), left(49, 9), alive(50, 0)),
    ]);
}

#[test]
fn refutes_wrong_records_about_itself() {
    // Records about this member, which has epoch 100 and incarnation 0, and its version afterwards.
    let table = [
        (suspect(100, 0), version(100, 1)),
        (dead(100, 4), version(100, 5)),
        (alive(100, 0), version(100, 0)),
        (left(100, 0), version(101, 0)),
        (suspect(99, 5), version(100, 0)),
        // The clock of its host went back: it raises its epoch above the known one.
        (alive(200, 0), version(201, 0)),
    ];
    for (claimed, after) in table {
        let mut member = member();
        member.publish(1_000_000, 1, 7, b"x").unwrap();
        member.receive(
            1_000_100,
            1,
            &gossip(1, version(50, 0), &[record(0, claimed.state, claimed.version)]),
        );
        assert_eq!(member.own_version(), after, "{claimed:?}");
        assert_eq!(member.view().state(0), Alive);
        // The published facts move to the new epoch.
        assert_eq!(member.facts().map(|f| f.epoch).collect::<Vec<_>>(), [after.epoch]);
    }
}

/// A datagram from an earlier epoch of its sender changes nothing, and the answer has the epoch that is known.
#[test]
fn refuses_a_datagram_of_an_earlier_epoch_and_answers_with_the_known_one() {
    let mut member = member();
    let mut writer = Writer::new(version(49, 9), &Body::Ping { seq: 3 });
    assert!(writer.add(&record(3, Suspect, version(50, 0))));
    member.receive(1_000_100, 1, &writer.finish(Route { from: 1, to: 0, peers: 5 }));
    assert_eq!((member.view().state(3), member.metrics().refused_stale), (Alive, 1));
    let Some(Output::Send { to: 1, bytes }) = member.poll() else {
        panic!("no answer to a ping from an earlier epoch")
    };
    let answer = wire::read(&bytes, Route { from: 0, to: 1, peers: 5 }).unwrap();
    assert_eq!(answer.records.first(), Some(&record(1, Alive, version(50, 0))));
}

/// A flood of pings does not raise the sending rate beyond the budget, and facts beyond their limits are refused.
#[test]
fn keeps_to_the_send_budget_and_the_limits_of_facts() {
    let mut member = member();
    let (mut now, mut sent) = (1_000_000, 0);
    let ping =
        |seq| Writer::new(version(50, 0), &Body::Ping { seq }).finish(Route { from: 1, to: 0, peers: 5 });
    for n in 0..10_000 {
        now += 200;
        member.receive(now, 1, &ping(n));
        member.tick(now);
        while let Some(output) = member.poll() {
            sent += if let Output::Send { bytes, .. } = output { bytes.len() } else { 0 };
        }
    }
    assert!(sent <= member.config.budget as usize * 5 / 2, "{sent} bytes sent in 2 s exceed the budget");
    assert!(member.metrics().over_budget > 0);
    assert_eq!(
        member.publish(now, 1, 0, &[0; MAX_FACT_BYTES + 1]),
        Err(FactError::TooLong(MAX_FACT_BYTES + 1))
    );
    assert!((0..MAX_FACTS_PER_MEMBER as u32).all(|slot| member.publish(now, 1, slot, b"x").is_ok()));
    assert_eq!(member.publish(now, 2, 0, b"x"), Err(FactError::Full));
    assert_eq!(member.publish(now, 1, 0, b"y"), Ok(()));
    member.leave(now);
    assert_eq!(member.publish(now, 1, 0, b"y"), Err(FactError::Left));
}

/// The facts of a member that left are kept for `forget_after`, then refused until the member returns.
#[test]
fn forgets_facts_of_a_member_that_left_after_their_retention() {
    let mut member = member();
    let fact = Record::Fact(FactRecord {
        place: 3,
        key: FactKey { kind: 1, slot: 7 },
        stamp: Stamp { epoch: 50, number: 1 },
        bytes: vec![1],
    });
    member.receive(
        1_000_100,
        1,
        &gossip(1, version(50, 0), &[fact.clone(), record(3, Left, version(50, 1))]),
    );
    let forgotten_at = 1_000_100 + member.config.forget_after;
    for (now, held) in [(forgotten_at - 1, 1), (forgotten_at, 0)] {
        member.tick(now);
        assert_eq!(member.facts().count(), held);
    }
    member.receive(forgotten_at + 10, 1, &gossip(1, version(50, 0), std::slice::from_ref(&fact)));
    assert_eq!(member.facts().count(), 0);
    member.receive(
        forgotten_at + 20,
        1,
        &gossip(1, version(50, 0), &[record(3, Alive, version(60, 0)), fact]),
    );
    assert_eq!(member.facts().count(), 1);
}

/// A process that did not run for a while declares no suspect dead, since it could not receive refutations.
#[test]
fn a_starved_member_extends_suspicions_by_the_lost_time() {
    let mut member = member();
    member.suspect(3, version(50, 0), &[1, 2, 4]);
    member.tick(member.next_wake());
    let until = member.suspicions.next_expiry().unwrap();
    member.tick(until + 10_000_000);
    assert_eq!((member.view().state(3), member.metrics().starved, member.metrics().health), (Suspect, 1, 1));
}
