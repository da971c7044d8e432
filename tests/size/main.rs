//! Fleets of a thousand dispatchers and a thousand workers: costs that add up over all dispatchers, and limits on the length of
//! lists and messages.

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

/// The number of dispatchers, and of workers on the endpoint list.
const SIZE: u32 = 1_024;

/// The settings of dispatcher `index` of `dispatchers`, which may message its peers.
fn settings(index: u32, dispatchers: u32) -> Settings {
    let class = Class { latency_objective: 250 * MS, deadline: 7_500 * MS, ..class(Idempotency::Idempotent) };
    Settings {
        own_place: index,
        dispatcher_count: dispatchers,
        classes: vec![class],
        may_probe: true,
        may_message_peers: true,
        reports_start: true,
        ..Settings::default()
    }
}

/// Dispatcher `index` of `dispatchers`, with workers that have one slot each.
fn dispatcher_among(index: u32, dispatchers: u32, workers: &[EndpointEntry]) -> TestDispatcher {
    let mut dispatcher = TestDispatcher::with_seed(settings(index, dispatchers), index.into());
    dispatcher.load_cached_list(workers.to_vec());
    dispatcher.report_load(0, 0.0, 1.0);
    dispatcher
}
