//! Datagrams of peer groups: two groups of dispatchers under a seeded load, and their datagrams in order.

use crate::common::*;
use crate::{assert_matches_golden_file, to_hex};
use mothproxy::*;
use std::collections::{BTreeMap, VecDeque};

const DISPATCHERS: u32 = 20;
const WORKERS: u32 = 40;
const SLOTS: f64 = 24.0;

fn settings(me: u32) -> Settings {
    let class = Class { latency_objective: 250 * MS, deadline: 7_500 * MS, ..class(Idempotency::Idempotent) };
    let base =
        Settings { may_probe: true, may_message_peers: true, reports_start: true, ..Settings::default() };
    Settings {
        own_place: me,
        dispatcher_count: DISPATCHERS,
        classes: vec![class],
        zone: ZoneId((me % 3) as u16),
        ..base
    }
}

/// The dispatchers of two peer groups on a simulated network.
struct PeerGroups {
    dispatchers: Vec<TestDispatcher>,
    /// The sender, receiver and bytes of datagrams that are not delivered yet.
    in_flight: VecDeque<(u32, u32, Vec<u8>)>,
    /// The dispatcher, job and attempt number of the attempts at each worker, the oldest first.
    running: BTreeMap<u32, VecDeque<(u32, u64, u32)>>,
    /// The recorded datagrams, in the format of the golden file.
    sent: String,
    counts_by_kind: BTreeMap<u8, usize>,
}

impl PeerGroups {
    fn new(workers: u32) -> PeerGroups {
        let mut dispatchers: Vec<TestDispatcher> =
            (0..DISPATCHERS).map(|me| TestDispatcher::with_seed(settings(me), u64::from(me))).collect();
        for dispatcher in &mut dispatchers {
            dispatcher.load_cached_list((0..workers).map(worker).collect());
            dispatcher.report_load(0, 0.0, SLOTS);
        }
        let (in_flight, running, sent, counts_by_kind) = Default::default();
        PeerGroups { dispatchers, in_flight, running, sent, counts_by_kind }
    }

    fn apply(&mut self, from: u32, actions: Vec<Action>) {
        let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send { job, worker, .. } => {
                    let attempt = attempts.entry(job.0).or_default();
                    self.running.entry(worker.0).or_default().push_back((from, job.0, *attempt));
                    *attempt += 1;
                }
                Action::Probe(worker) => {
                    let free = SLOTS - self.running.get(&worker.0).map_or(0, VecDeque::len) as f64;
                    let report = LoadReport {
                        cpu: Some(0.2),
                        free_slots: Some(free.max(0.0)),
                        ..LoadReport::default()
                    };
                    let outcome = if worker.0 % 7 == 3 { Outcome::Timeout } else { Outcome::Ok };
                    let report = (outcome == Outcome::Ok).then_some(report);
                    let probe_actions = self.dispatchers[from as usize].end_probe(worker.0, outcome, report);
                    self.apply(from, probe_actions);
                }
                Action::SendToPeer { to, bytes } => self.in_flight.push_back((from, to, bytes)),
                _ => {}
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, bytes)) = self.in_flight.pop_front() {
            let count = self.counts_by_kind.entry(bytes[0]).or_default();
            *count += 1;
            // Records the first datagrams of each kind, and only a few of the rest to limit the size of the file.
            if *count <= 12 || *count % 101 == 0 {
                self.sent += &format!("{from} {to} {}\n", to_hex(&bytes));
            }
            let reply_actions = self.dispatchers[to as usize].feed(Event::PeerMessage { from, bytes });
            self.apply(to, reply_actions);
        }
    }

    fn advance(&mut self, span: Micros) {
        for n in 0..DISPATCHERS {
            let actions = self.dispatchers[n as usize].advance(span);
            self.apply(n, actions);
        }
        self.deliver();
    }

    fn end_some(&mut self, every: u32) {
        for worker in (0..WORKERS).filter(|worker| worker % every == 0) {
            let Some((dispatcher, job, attempt)) = self.running.entry(worker).or_default().pop_front() else {
                continue;
            };
            let outcome = if job % 5 == 0 { Outcome::Reset } else { Outcome::Ok };
            let end_actions =
                self.dispatchers[dispatcher as usize].end_attempt(job, attempt, WorkerId(worker), outcome);
            self.apply(dispatcher, end_actions);
        }
        self.deliver();
    }
}

/// The bytes of the datagrams of two peer groups under load are unchanged, also if a dispatcher has more outstanding work than
/// fits into one datagram.
#[test]
fn group_datagrams_keep_their_bytes() {
    let mut groups = PeerGroups::new(WORKERS);
    for n in 0..160_u32 {
        let dispatcher = n % DISPATCHERS;
        let actions = groups.dispatchers[dispatcher as usize].arrive(u64::from(1_000 + n), 0, 7_000 * MS);
        groups.apply(dispatcher, actions);
        groups.deliver();
        groups.advance(4 * MS);
        if n % 3 == 0 {
            groups.end_some(1 + n % 5);
        }
    }
    // One dispatcher gets more outstanding work than fits into one datagram.
    for n in 0..260_u32 {
        let actions = groups.dispatchers[4].arrive(u64::from(9_000 + n), 0, 7_000 * MS);
        groups.apply(4, actions);
    }
    (0..12).for_each(|_| groups.advance(200 * MS));
    let kinds: String =
        groups.counts_by_kind.iter().map(|(kind, count)| format!("kind {kind:02x}: {count}\n")).collect();
    assert_matches_golden_file("group-datagrams.txt", &(kinds + &groups.sent));
}
