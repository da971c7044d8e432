//! Datagrams of a peer group: two groups of dispatchers under a seeded load, with all that they send each other in order.

use crate::common::*;
use crate::{assert_kept, to_hex};
use mothproxy::*;
use std::collections::{BTreeMap, VecDeque};

const NODES: u32 = 20;
const WORKERS: u32 = 40;
const SLOTS: f64 = 24.0;

fn settings(me: u32) -> Settings {
    let class = Class { latency_objective: 250 * MS, deadline: 7_500 * MS, ..class(Idempotency::Idempotent) };
    let base =
        Settings { may_probe: true, may_message_peers: true, reports_start: true, ..Settings::default() };
    Settings {
        own_place: me,
        dispatcher_count: NODES,
        classes: vec![class],
        zone: ZoneId((me % 3) as u16),
        ..base
    }
}

struct Groups {
    nodes: Vec<TestDispatcher>,
    mail: VecDeque<(u32, u32, Vec<u8>)>,
    running: BTreeMap<u32, VecDeque<(u32, u64, u32)>>,
    sent: String,
    kinds: BTreeMap<u8, usize>,
}

impl Groups {
    fn new(workers: u32) -> Groups {
        let mut nodes: Vec<TestDispatcher> =
            (0..NODES).map(|me| TestDispatcher::with_seed(settings(me), u64::from(me))).collect();
        for node in &mut nodes {
            node.load_cached_list((0..workers).map(worker).collect());
            node.report_load(0, 0.0, SLOTS);
        }
        let (mail, running, sent, kinds) = Default::default();
        Groups { nodes, mail, running, sent, kinds }
    }

    fn act(&mut self, from: u32, actions: Vec<Action>) {
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
                    let echoed = self.nodes[from as usize].end_probe(worker.0, outcome, report);
                    self.act(from, echoed);
                }
                Action::SendToPeer { to, bytes } => self.mail.push_back((from, to, bytes)),
                _ => {}
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, bytes)) = self.mail.pop_front() {
            let seen = self.kinds.entry(bytes[0]).or_default();
            *seen += 1;
            // The first of each kind in full; of the rest a few, or the file would be long.
            if *seen <= 12 || *seen % 101 == 0 {
                self.sent += &format!("{from} {to} {}\n", to_hex(&bytes));
            }
            let heard = self.nodes[to as usize].feed(Event::PeerMessage { from, bytes });
            self.act(to, heard);
        }
    }

    fn pass(&mut self, span: Micros) {
        for n in 0..NODES {
            let actions = self.nodes[n as usize].advance(span);
            self.act(n, actions);
        }
        self.deliver();
    }

    fn end_some(&mut self, every: u32) {
        for worker in (0..WORKERS).filter(|worker| worker % every == 0) {
            let Some((node, job, attempt)) = self.running.entry(worker).or_default().pop_front() else {
                continue;
            };
            let outcome = if job % 5 == 0 { Outcome::Reset } else { Outcome::Ok };
            let ended = self.nodes[node as usize].end_attempt(job, attempt, WorkerId(worker), outcome);
            self.act(node, ended);
        }
        self.deliver();
    }
}

/// Datagrams of two groups under load, and of one with more work out than a datagram names, are written as before.
#[test]
fn group_datagrams_keep_their_bytes() {
    let mut groups = Groups::new(WORKERS);
    for n in 0..160_u32 {
        let node = n % NODES;
        let actions = groups.nodes[node as usize].arrive(u64::from(1_000 + n), 0, 7_000 * MS);
        groups.act(node, actions);
        groups.deliver();
        groups.pass(4 * MS);
        if n % 3 == 0 {
            groups.end_some(1 + n % 5);
        }
    }
    // One dispatcher with more work out than one datagram names.
    for n in 0..260_u32 {
        let actions = groups.nodes[4].arrive(u64::from(9_000 + n), 0, 7_000 * MS);
        groups.act(4, actions);
    }
    (0..12).for_each(|_| groups.pass(200 * MS));
    let kinds: String =
        groups.kinds.iter().map(|(kind, count)| format!("kind {kind:02x}: {count}\n")).collect();
    assert_kept("group-datagrams.txt", &(kinds + &groups.sent));
}
