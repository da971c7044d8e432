//! A worker that fails gets nothing until there is a sign that it works again, and a group shares what one of it has found.

use crate::common::*;
use crate::*;

/// A report of a worker that works: a part of its CPU is used, and all its slots are free.
fn healthy() -> Option<LoadReport> {
    load_report(0.1, SLOTS, 0.0)
}

/// A job arrives at a dispatcher and is sent to its worker, to which no connection can be made.
fn fail_to_connect(dispatcher: &mut TestDispatcher) -> Vec<Action> {
    let worker = sends(&dispatcher.arrive(1, 0, TIME_BUDGET))[0].1;
    dispatcher.end_attempt(1, 0, worker, Outcome::ConnectFailed)
}

/// After a failed connection neither the same job nor the next goes to the worker before a probe of it succeeds.
/// 160 connections a second were refused by workers that every dispatcher had to find dead by itself, again and again.
#[test]
fn a_failed_worker_gets_no_job_before_a_sign_of_life() {
    let mut dispatcher = lone_dispatcher();
    let mut actions = fail_to_connect(&mut dispatcher);
    actions.extend(dispatcher.advance(2_000 * MS));
    actions.extend(dispatcher.arrive(2, 0, TIME_BUDGET));
    assert!(sends(&actions).is_empty(), "{actions:?}");
    let sent = sends(&dispatcher.end_probe(0, Outcome::Ok, healthy()));
    assert!(!sent.is_empty(), "it lives again");
}

/// A dispatcher that hears of a peer's failure probes the worker before it sends a job there. Ten dispatchers each found out by
/// themselves that a worker of theirs was dead: 818 refused connections on a day, and 30 since.
#[test]
fn a_worker_that_one_node_suspects_is_avoided_by_its_group() {
    let mut peer = peer_of_lone_dispatcher();
    fail_to_connect(&mut peer);
    let mut dispatcher = lone_dispatcher();
    for bytes in datagrams_to(&peer.advance(5 * MS), OWN_NUMBER) {
        dispatcher.feed(Event::PeerMessage { from: PEER_NUMBER, bytes });
    }
    let actions = dispatcher.arrive(1, 0, TIME_BUDGET);
    assert!(sends(&actions).is_empty(), "{actions:?}");
    assert_eq!(probes(&actions), [WorkerId(0)], "it probes for itself");
    let sent = sends(&dispatcher.end_probe(0, Outcome::Ok, healthy()));
    assert!(!sent.is_empty(), "what it has seen since counts");
}

/// A worker that reports errors gets no job until it reports none. One that fails what it is sent within milliseconds looks
/// idle: 160 jobs a second went to seven of them.
#[test]
fn a_worker_that_reports_errors_counts_as_failing() {
    let mut dispatcher = lone_dispatcher();
    dispatcher.arrive(0, 0, TIME_BUDGET);
    dispatcher.end_attempt(0, 0, WorkerId(0), Outcome::Ok);
    let failing = load_report(0.4, SLOTS, 20.0);
    dispatcher.end_probe(0, Outcome::Ok, failing);
    assert!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)).is_empty());
    dispatcher.advance(6_000 * MS);
    dispatcher.arrive(2, 0, TIME_BUDGET);
    let recovered = load_report(0.4, SLOTS, 0.0);
    let sent = sends(&dispatcher.end_probe(0, Outcome::Ok, recovered));
    assert!(!sent.is_empty(), "it has stopped failing");
}
