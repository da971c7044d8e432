//! The pages of the admin address.

use crate::assert_matches_golden_file;
use mothproxy::fleet::{LearnerMetrics, LearnersMetrics};
use mothproxy::http::{Piece, read_request};
use mothproxy::protocol::admin::{
    AdminCall, ClassMetrics, IdempotencyMetrics, MemberRow, MembersPage, MetricsSnapshot, StreamMetrics,
    counters_page, members_page, ok_page, route, unavailable_page,
};

fn text(pieces: &[Piece]) -> String {
    let bytes: Vec<u8> = pieces.iter().flat_map(|piece| piece.bytes().to_vec()).collect();
    String::from_utf8(bytes).expect("text")
}

fn members_page_values() -> MembersPage {
    let row = |place: u16, state: &str| MemberRow {
        place,
        address: format!("10.0.0.{place}:7946"),
        state: state.to_owned(),
        epoch: 1_790_000_000_000 + u64::from(place),
        incarnation: u32::from(place),
        state_age_ms: 1_000 * u64::from(place),
    };
    let states = ["unknown", "alive", "suspect", "dead", "left"];
    MembersPage {
        own_place: 1,
        version: 77,
        members: (0..).zip(states).map(|(place, state)| row(place, state)).collect(),
        membership_metrics: mothproxy_membership::Metrics {
            sent: 1,
            sent_bytes: 2,
            received: 3,
            received_bytes: 4,
            refused_long: 5,
            refused_version: 6,
            refused_foreign: 7,
            refused_malformed: 8,
            refused_stale: 9,
            over_budget: 10,
            probes: 11,
            probes_failed: 12,
            suspected: 13,
            declared_dead: 14,
            refuted: 15,
            starved: 16,
            health: 17,
            facts_published: 18,
            facts_received: 19,
            facts_refused: 20,
            facts_held: 21,
            syncs: 22,
        },
    }
}

fn learner(first: u64) -> Option<LearnerMetrics> {
    Some(LearnerMetrics { seen: first, published: first + 1, absorbed: first + 2, refused: first + 3 })
}

fn full_metrics() -> MetricsSnapshot {
    let class = |name: &str, served| ClassMetrics { name: name.to_owned(), served, rejected: 2, failed: 3 };
    MetricsSnapshot {
        classes: vec![class("balance", 40), class("redeem", 41)],
        attempts_written: 50,
        open: 51,
        listed_workers: 52,
        unavailable_workers: 53,
        reloads: 54,
        bad_reloads: 55,
        idempotency: Some(IdempotencyMetrics {
            keys: 60,
            failures: 61,
            repeats_answered: 62,
            restricted_repeats: 63,
            evicted: 64,
        }),
        streams: Some(StreamMetrics {
            jobs: 70,
            watchers: 71,
            bytes: 72,
            submitted: 73,
            missed: 74,
            coalesced: 75,
            evicted: 76,
        }),
        members: Some(members_page_values()),
        learners: LearnersMetrics { runtimes: learner(80), shares: learner(90) },
    }
}

/// The bytes of the admin pages are unchanged.
#[test]
fn pages_keep_their_bytes() {
    assert_matches_golden_file("admin/counters.http", &text(&counters_page(&full_metrics())));
    assert_matches_golden_file(
        "admin/counters-bare.http",
        &text(&counters_page(&MetricsSnapshot::default())),
    );
    assert_matches_golden_file("admin/members.http", &text(&members_page(&members_page_values())));
    assert_matches_golden_file("admin/yes.http", &text(&ok_page()));
    assert_matches_golden_file("admin/no.http", &text(&unavailable_page()));
}

/// The admin methods and paths select the same calls.
#[test]
fn methods_and_paths_keep_their_calls() {
    let table = [
        ("GET /control/ready", AdminCall::Ready),
        ("GET /control/counters", AdminCall::Counters),
        ("GET /control/members", AdminCall::Members),
        ("PUT /control/out-of-service", AdminCall::OutOfService),
        ("PUT /control/in-service", AdminCall::InService),
    ];
    for (line, call) in table {
        let bytes = format!("{line} HTTP/1.1\r\nHost: n0\r\n\r\n").into_bytes();
        let head = read_request(&bytes).expect("a request").expect("whole");
        assert_eq!(route(&bytes, &head), Ok(call), "{line}");
    }
}
