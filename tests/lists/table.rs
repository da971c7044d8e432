//! The cases of [`crate::case`], run on one program.

use crate::case::{self, Case, ListCounts, ListText, NextWatch, SentPart, TableWorkers, When};
use crate::*;

/// The difference between the held generations of two successive cases, which is so large that no list of one case applies in
/// another.
const GENERATIONS_PER_CASE: u64 = 100;
/// The generation of the last list of a case relative to the held one, if the watch stays open.
const LAST_GENERATION: u64 = 50;
/// An empty line that keeps a watch alive.
const HEARTBEAT: &str = "1\r\n\n\r\n";

/// The program with its discovery service and the workers of the table.
struct Site {
    workers: TableWorkers,
    discovery: Arc<FakeDiscovery>,
    program: DispatcherProcess,
}

impl Site {
    fn start() -> Site {
        let workers = TableWorkers::start();
        let known = workers.known()[0].endpoint_entry("up");
        let discovery = FakeDiscovery::start(site::snapshot(1, &[known]));
        let program = DispatcherProcess::builder(workers.known())
            .discovery(discovery.address)
            .configure(|config| config["settings"]["Discovery"] = json!("pushed")) // an agent is called again at once
            .start();
        for worker in &workers.0 {
            worker.set_callback_address(program.platform);
        }
        Site { workers, discovery, program }
    }

    fn list(&self, held_generation: u64, text: &'static str) -> Value {
        ListText(text).to_list(held_generation, &self.workers)
    }

    /// The bytes that a watch sends in a case.
    fn sent_bytes(&self, case: &Case, held_generation: u64) -> Vec<u8> {
        let to_bytes = |part: &SentPart| part.to_bytes(held_generation, &self.workers);
        let mut bytes: Vec<u8> = case.sent.iter().flat_map(to_bytes).collect();
        if case.next_watch == NextWatch::SameWatch {
            // The next watch shows whether this list was received on the same watch.
            bytes.extend(SentPart::List(ListText("+50 change")).to_bytes(held_generation, &self.workers));
        }
        bytes
    }

    /// Waits until more than this many watches have been opened, and returns the generation that the next one was opened after.
    /// The open watch is kept alive meanwhile by these bytes.
    fn next_watch_index(&self, watches: usize, keep_alive: &str, what: &str) -> u64 {
        wait_until(what, || {
            self.discovery.write_to_watches(keep_alive.as_bytes());
            self.discovery.watch_indices().len() > watches
        });
        self.discovery.watch_indices()[watches]
    }

    fn watch_count(&self) -> usize {
        self.discovery.watch_indices().len()
    }

    /// Opens a new watch, by which the program gets a list of this generation with s-1 draining and s-2 up. Returns the number of
    /// watches so far, including the new one.
    fn prepare(&self, held_generation: u64, case: &Case) -> usize {
        let watches = self.watch_count();
        self.discovery.script_watches(&[], self.list(held_generation, "+0 whole 1d 2u"));
        self.discovery.close_watches();
        self.next_watch_index(watches, "", case.line);
        watches + 1
    }

    /// Sends the data of a case on the newest of this many watches, or on the next one. Returns the generation that another watch
    /// is then opened after.
    fn send_case(&self, case: &Case, held_generation: u64, watches: usize, next_list: Value) -> u64 {
        let bytes = self.sent_bytes(case, held_generation);
        let is_first = case.when == When::First;
        if is_first {
            self.discovery.script_watches(&[ScriptedResponse::Raw(bytes)], next_list);
            self.discovery.close_watches();
            let index = self.next_watch_index(watches, "", case.line);
            assert_eq!(index, held_generation, "before {}", case.line);
        } else {
            self.discovery.script_watches(&[], next_list);
            self.discovery.write_to_watches(&bytes);
        }
        if case.next_watch == NextWatch::SameWatch {
            self.discovery.close_watches();
        }
        let (watches, keep_alive) = if is_first { (watches + 1, "") } else { (watches, HEARTBEAT) };
        self.next_watch_index(watches, keep_alive, case.line)
    }

    /// Asserts that each of these workers, and no other, gets jobs.
    fn assert_used_workers(&self, expected: &str, held_generation: u64, case: &str) {
        let job_counts = || self.workers.0.each_ref().map(|worker| job_count(worker));
        let before = job_counts();
        for (number, name) in expected.split(' ').cycle().take(6).enumerate() {
            let id_prefix = format!("t{held_generation}-{number}-");
            send_until_used(&self.program, self.workers.get(name), &id_prefix);
        }
        let after = job_counts();
        let used = (0..before.len()).filter(|index| after[*index] > before[*index]);
        let used: Vec<&str> = used.map(|index| TableWorkers::NAMES[index]).collect();
        assert_eq!(used.join(" "), expected, "{case}");
    }
}

/// For any data of a watch: refused data is counted and changes nothing, workers of other rows are not affected, and the next
/// call requests the changes since the held list.
#[test]
fn endpoint_table_stays_consistent_for_any_data_of_a_watch() {
    let site = Site::start();
    wait_until("a watch is open", || site.watch_count() > 0);
    let mut held_generation = 0;
    let mut expected_counts = ListCounts::default();
    for case in case::all() {
        held_generation += GENERATIONS_PER_CASE;
        let watches = site.prepare(held_generation, &case);
        let expected_index = match case.next_watch {
            NextWatch::SameWatch => held_generation + LAST_GENERATION,
            NextWatch::After(generations) => held_generation + generations,
            NextWatch::FromStart => 0,
        };
        let next_list = match case.next_list {
            Some(text) => text.to_list(held_generation, &site.workers),
            None => site.list(expected_index, "+0 change"),
        };
        let index = site.send_case(&case, held_generation, watches, next_list);
        assert_eq!(index, expected_index, "{}", case.line);
        site.assert_used_workers(case.used_workers, held_generation, case.line);
        expected_counts += case.counts;
    }
    let metrics = site.program.shut_down_for_metrics();
    let counts = ListCounts {
        bad_lists: metrics["bad_lists"],
        stale_lists: metrics["stale_lists"],
        bad_rows: metrics["bad_rows"],
    };
    assert_eq!(counts, expected_counts, "{metrics:?}");
}
