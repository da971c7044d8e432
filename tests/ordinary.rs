//! The design's ordinary path: the fuzzy score, the ranks, the back-to-back rule, the fallback.

mod common;
use common::*;
use mothproxy::rules::capability;
use mothproxy::*;

#[test]
fn score_has_the_points_worked_out_by_hand() {
    // Corners are single rules; the centre is the middle rule (3 of 5).
    for (cpu, load, score) in
        [(0.0, 0.0, 1.0), (1.0, 1.0, 0.0), (0.5, 0.5, 0.6), (0.0, 1.0, 0.4), (1.0, 0.0, 0.4)]
    {
        assert!((capability(cpu, load) - score).abs() < 1e-9, "{cpu} {load}");
    }
    // A quarter of the way on both inputs: (5 + 4 + 4 + 3) / 4 of 5.
    assert!((capability(0.25, 0.25) - 0.8).abs() < 1e-9);
}

#[test]
fn less_used_is_never_worse() {
    let grid: Vec<f64> = (0..=40).map(|n| f64::from(n) / 40.0).collect();
    for &cpu in &grid {
        for pair in grid.windows(2) {
            assert!(capability(cpu, pair[0]) >= capability(cpu, pair[1]));
            assert!(capability(pair[0], cpu) >= capability(pair[1], cpu));
            assert!((0.0..=1.0).contains(&capability(cpu, pair[0])));
        }
    }
}

fn patient(effect: Effect) -> Class {
    Class { aim: 2_000 * MS, ..class(effect) }
}

fn probing_node() -> Node {
    let settings = Settings {
        reports: Reports::Probes,
        may_probe: true,
        classes: vec![patient(Effect::SideEffect), patient(Effect::Pure)],
        ..Settings::default()
    };
    Node::new(settings)
}

#[test]
fn best_fresh_score_wins() {
    let mut node = probing_node();
    node.roster((0..3).map(worker).collect());
    node.report(0, 0.9, 1.0);
    node.report(1, 0.1, 4.0);
    node.report(2, 0.6, 2.0);
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)), [(1, WorkerId(1))]);
}

#[test]
fn unknown_ranks_after_fresh_and_before_full() {
    let mut node = Node::new(Settings { classes: vec![class(Effect::Pure)], ..Settings::default() });
    node.roster((0..2).map(worker).collect());
    node.report(0, 0.9, 1.0);
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)), [(1, WorkerId(0))]);
    let mut node = Node::new(Settings { classes: vec![class(Effect::Pure)], ..Settings::default() });
    node.roster((0..2).map(worker).collect());
    node.report(0, 0.9, 0.0);
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)), [(1, WorkerId(1))]);
}

#[test]
fn entries_go_stale() {
    let mut node = probing_node();
    node.roster((0..2).map(worker).collect());
    node.report(0, 0.1, 4.0);
    node.report(1, 0.9, 1.0);
    node.pass(10_000 * MS);
    // The old reports do not decide: both workers are asked again and the job waits for that.
    let actions = node.arrive(1, 0, 5_000 * MS);
    assert_eq!((probes(&actions).len(), sends(&actions).len()), (2, 0));
}

#[test]
fn no_second_grant_in_a_row_unless_utilisation_changed_and_is_lowest() {
    let mut node = probing_node();
    node.roster((0..2).map(worker).collect());
    node.report(0, 0.1, 8.0);
    node.report(1, 0.3, 8.0);
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)), [(1, WorkerId(0))]);
    // Same report: the next best wins though the first still scores higher.
    assert_eq!(sends(&node.arrive(2, 0, 5_000 * MS)), [(2, WorkerId(1))]);
    assert_eq!(sends(&node.arrive(3, 0, 5_000 * MS)), [(3, WorkerId(0))]);
    // Changed, and lowest of all: it may have the next one too.
    node.report(0, 0.05, 8.0);
    assert_eq!(sends(&node.arrive(4, 0, 5_000 * MS)), [(4, WorkerId(0))]);
}

#[test]
fn when_all_read_full_the_quickest_answerer_decides() {
    let mut node = probing_node();
    node.roster((0..2).map(worker).collect());
    for (job, slow, elapsed) in [(1, 0, 700 * MS), (2, 1, 90 * MS)] {
        node.report(slow, 0.1, 4.0);
        node.report(1 - slow, 0.9, 1.0);
        assert_eq!(sends(&node.arrive(job, 1, 5_000 * MS)), [(job, WorkerId(slow))]);
        let (job, worker, outcome) = (JobId(job), WorkerId(slow), Outcome::Ok);
        let end = Ended { job, attempt: 0, worker, elapsed, closed: true, outcome, report: None };
        node.feed(Event::Ended(end));
    }
    node.report(0, 1.0, 0.0);
    node.report(1, 1.0, 0.0);
    let mut sent = sends(&node.arrive(3, 0, 5_000 * MS));
    for _ in 0..300 {
        node.report(0, 1.0, 0.0);
        node.report(1, 1.0, 0.0);
        sent.extend(sends(&node.pass(5 * MS)));
    }
    assert_eq!(sent.first(), Some(&(3, WorkerId(1))));
}

#[test]
fn a_worker_with_fewer_free_slots_than_needed_reads_as_full() {
    let mut node = Node::new(Settings { classes: vec![class(Effect::Pure)], ..Settings::default() });
    node.roster((0..2).map(worker).collect());
    node.report(0, 0.0, 1.0);
    node.report(1, 0.8, 3.0);
    let new = NewJob {
        job: JobId(1),
        class: ClassId(0),
        tenant: None,
        key: None,
        deadline: node.now + 5_000 * MS,
        hint: None,
        slots: 2.0,
        memory: None,
        repeat: false,
        estimate: None,
        worth: None,
    };
    assert_eq!(sends(&node.feed(Event::Arrived(new))), [(1, WorkerId(1))]);
}
