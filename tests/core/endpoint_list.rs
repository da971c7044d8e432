//! The application of discovery's lists to the endpoint table.

use crate::harness::CoreHarness;
use mothproxy::WorkerId;
use mothproxy::config::EndpointList;
use mothproxy::core::watch_liveness::ObjectSplitter;
use mothproxy_testkit::site;
use serde_json::json;

#[test]
fn removes_unlisted_workers_and_never_reuses_their_ids() {
    let mut harness = CoreHarness::new(2);
    let whole = site::read_list(&site::snapshot(2, &[site::endpoint_entry("s-1", "127.0.0.1:9101", "up")]));
    harness.core.on_endpoint_list(&whole);
    let changes = site::read_list(&site::delta(3, &[site::endpoint_entry("s-7", "127.0.0.1:9107", "up")]));
    harness.core.on_endpoint_list(&changes);
    let table = harness.core.endpoints();
    assert!(table.get(WorkerId(0)).is_some_and(|endpoint| endpoint.is_removed() && !endpoint.takes_work()));
    assert_eq!(table.get(WorkerId(1)).map(|endpoint| endpoint.address().port()), Some(9101));
    assert_eq!((table.find("s-7"), table.ready_count()), (Some(WorkerId(2)), 2));
    let bad = [
        json!({"instanceId": "s-8"}),
        json!({"hostPort": "x"}),
        site::endpoint_entry("s-9", "nowhere", "up"),
        json!(5),
    ];
    harness.core.on_endpoint_list(&site::read_list(&site::delta(4, &bad)));
    assert_eq!(harness.core.endpoints().bad_rows(), 4);
}

/// Wherever the data of a watch is split, the table is that of the last complete list, and never a mixture of two lists.
#[test]
fn applies_no_part_of_a_list_before_all_of_it_has_arrived() {
    let row = |n: u64, state| site::endpoint_entry(&format!("s-{n}"), &format!("127.0.0.1:910{n}"), state);
    let lists = [
        site::delta(2, &[row(0, "draining"), row(2, "up")]),
        site::snapshot(3, &[row(1, "draining"), row(3, "up")]),
        site::delta(4, &[row(3, "removed"), row(0, "up")]),
    ];
    let texts = [format!("{}\n\n", lists[0]), format!("{:#}\r\n", lists[1]), format!("{:#}\n", lists[2])];
    let text = texts.concat();
    let ends = [texts[0].len() - 2, texts[0].len() + texts[1].len() - 2, text.len() - 1];
    let feed = |harness: &mut CoreHarness, objects: &mut ObjectSplitter, bytes: &[u8]| {
        objects.feed(bytes);
        while let Some(object) = objects.next_object() {
            let value = serde_json::from_slice(&object).expect("not JSON");
            harness.core.on_endpoint_list(&EndpointList::from_json(&value).expect("not an endpoint list"));
        }
        harness.core.endpoints().rows()
    };
    let after_lists = |count: usize| {
        let text = texts[..count].concat();
        feed(&mut CoreHarness::new(2), &mut ObjectSplitter::default(), text.as_bytes())
    };
    let expected: Vec<_> = (0..=3).map(after_lists).collect();
    for split_at in 0..=text.len() {
        let (mut harness, mut objects) = (CoreHarness::new(2), ObjectSplitter::default());
        let (before, after) = text.as_bytes().split_at(split_at);
        let whole = ends.iter().filter(|end| **end <= split_at).count();
        assert_eq!(feed(&mut harness, &mut objects, before), expected[whole], "split at byte {split_at}");
        assert_eq!(feed(&mut harness, &mut objects, after), expected[3], "split at byte {split_at}");
    }
}
