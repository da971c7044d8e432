//! A thousand dispatchers and a thousand workers: what one may not do because all do it, what no list may be too long for.

#[path = "../common/mod.rs"]
mod common;
#[path = "../common/process_memory.rs"]
mod process_memory;

mod cost;
mod groups;
mod process;
mod shutdown;

use common::{MS, TestDispatcher, class};
use mothproxy::*;

/// Dispatchers, and workers on the list.
const SIZE: u32 = 1_024;

/// Settings of one of this many dispatchers, which may message its peers.
fn settings(me: u32, nodes: u32) -> Settings {
    let class = Class { latency_objective: 250 * MS, deadline: 7_500 * MS, ..class(Idempotency::Idempotent) };
    Settings {
        own_place: me,
        dispatcher_count: nodes,
        classes: vec![class],
        may_probe: true,
        may_message_peers: true,
        reports_start: true,
        ..Settings::default()
    }
}

/// One of this many dispatchers, among workers that have one slot each.
fn dispatcher_among(me: u32, nodes: u32, workers: &[EndpointEntry]) -> TestDispatcher {
    let mut dispatcher = TestDispatcher::with_seed(settings(me, nodes), me.into());
    dispatcher.load_cached_list(workers.to_vec());
    dispatcher.report_load(0, 0.0, 1.0);
    dispatcher
}
