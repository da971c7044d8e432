//! The core without sockets: exactly one final answer, call-backs in any order, drains, deadlines.

use mothproxy::config::EndpointList;
use mothproxy::core::idempotency::IdempotencyKey;
use mothproxy::core::watch_liveness::ObjectSplitter;
use mothproxy::core::{AttemptOutcome, Command, Core, FinalResponse, JobStatus, NewRequest};
use mothproxy::*;
use mothproxy_testkit::site;
use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;

struct Bench {
    core: Core,
    now: Micros,
    next: u64,
}

impl Bench {
    fn new(workers: usize) -> Bench {
        Bench::new_at(workers, 0)
    }

    /// One whose clock starts at this Unix time; two workers a pod.
    fn new_at(workers: usize, unix: u128) -> Bench {
        let rows: Vec<_> = (0..workers)
            .map(|n| site::endpoint_entry(&format!("s-{n}"), &format!("127.0.0.1:{}", 9000 + n), "up"))
            .collect();
        let rows: Vec<_> = rows
            .into_iter()
            .enumerate()
            .map(|(n, mut row)| {
                row["cell"] = json!(1 + n / 2);
                row
            })
            .collect();
        let config = site::read(&site::config("127.0.0.1:0", "127.0.0.1:1", json!(rows)));
        let mut core = Core::new(config.settings, config.names, config.seed, unix).expect("sound settings");
        let now = Core::clock_start();
        core.on_cached_list(now, &config.known_endpoints);
        Bench { core, now, next: 0 }
    }

    fn arrive(&mut self, class: u16, time_budget: Micros) -> Option<u64> {
        self.next += 1;
        let name = format!("job-{}", self.next);
        self.arrive_as(&name, class, time_budget)
    }

    fn arrive_as(&mut self, name: &str, class: u16, time_budget: Micros) -> Option<u64> {
        let arrival = NewRequest {
            name: name.to_owned(),
            downstream: 70,
            class: ClassId(class),
            tenant: Some(TenantId(0)),
            key: None,
            time_budget,
            hint: None,
            slots: 1.0,
            memory: None,
            repeat: false,
            idempotency_key: None,
        };
        self.core.accept(self.now, arrival)
    }

    /// A redeem with a key, from a core that notes such jobs.
    fn arrive_keyed(&mut self, name: &str, key: &str, body: u64) -> Option<u64> {
        let arrival = NewRequest {
            name: name.to_owned(),
            downstream: 70,
            class: ClassId(1),
            tenant: Some(TenantId(0)),
            key: None,
            time_budget: 25_000 * MS,
            hint: None,
            slots: 1.0,
            memory: None,
            repeat: false,
            idempotency_key: Some(IdempotencyKey { key: key.to_owned(), body_fingerprint: body }),
        };
        let reused = self.core.is_key_reused(self.now, &arrival);
        if reused { None } else { self.core.accept(self.now, arrival) }
    }

    /// As after a crash: another core begins with what this one had noted by then.
    fn crashed(&self, notes: &BTreeMap<String, Vec<u8>>, later: Micros, clock_sound: bool) -> Bench {
        let workers = self.core.endpoints.listed();
        let mut next = Bench::new_at(workers, u128::from(self.now - Core::clock_start() + later));
        let bad = next.core.enable_idempotency(next.now, notes.clone().into_iter(), clock_sound);
        assert_eq!(bad, []);
        next
    }

    /// Lets time pass and returns all commands but alarms of the program round the core.
    fn pass(&mut self, span: Micros) -> Vec<Command> {
        let until = self.now + span;
        let mut all = Vec::new();
        loop {
            self.core.turn(self.now);
            all.extend(std::iter::from_fn(|| self.core.next_command()));
            match self.core.next_wake() {
                Some(at) if at <= until => self.now = self.now.max(at),
                _ => break,
            }
        }
        self.now = until;
        all
    }

    fn news(&mut self, name: &str, from: WorkerId, news: JobStatus) -> bool {
        let from = self.core.endpoints.get(from).expect("known").row.instance_id.clone();
        self.core.on_job_status(self.now, name, &from, news, None)
    }
}

fn sent(commands: &[Command]) -> Vec<(u64, u32, WorkerId)> {
    let send = |c: &Command| match c {
        Command::StartAttempt { request_id, attempt, worker, .. } => Some((*request_id, *attempt, *worker)),
        _ => None,
    };
    commands.iter().filter_map(send).collect()
}

fn answers(commands: &[Command]) -> Vec<(u64, FinalResponse)> {
    let answer = |c: &Command| match c {
        Command::Respond { request_id, response, .. } => Some((*request_id, response.clone())),
        _ => None,
    };
    commands.iter().filter_map(answer).collect()
}

#[test]
fn a_result_is_the_answer_and_its_repeats_change_nothing() {
    let mut bench = Bench::new(2);
    let id = bench.arrive(0, 5_000 * MS).expect("new");
    let (_, _, worker) = sent(&bench.pass(5 * MS))[0];
    // The call-back may come before the worker's 202; each of the ten tries is answered, one counts.
    assert!(bench.news("job-1", worker, JobStatus::Done(b"ok".to_vec())));
    assert!(!bench.news("job-1", worker, JobStatus::Done(b"again".to_vec())));
    let served = FinalResponse::Served(b"ok".to_vec());
    assert_eq!(answers(&bench.pass(20 * MS)), [(id, served)]);
    assert!(!bench.news("job-1", worker, JobStatus::Done(b"late".to_vec())));
    assert_eq!(
        (bench.core.ledger.served, bench.core.ledger.open(), bench.core.stale_status_updates),
        (1, 0, 2)
    );
}

#[test]
fn news_must_match_the_job_and_its_worker() {
    let mut bench = Bench::new(2);
    bench.arrive(0, 5_000 * MS);
    let (_, _, worker) = sent(&bench.pass(5 * MS))[0];
    let other = WorkerId(1 - worker.0);
    assert!(!bench.news("job-1", other, JobStatus::Done(b"no".to_vec())));
    assert!(!bench.core.on_job_status(bench.now, "job-9", "s-0", JobStatus::Lost, None));
    assert!(!bench.core.on_job_status(bench.now, "job-1", "s-9", JobStatus::Lost, None));
    assert_eq!(answers(&bench.pass(5 * MS)), []);
}

#[test]
fn an_id_that_is_still_open_is_not_taken_again() {
    let mut bench = Bench::new(1);
    assert!(bench.arrive_as("x", 0, 5_000 * MS).is_some());
    assert!(bench.arrive_as("x", 0, 5_000 * MS).is_none());
    assert_eq!(bench.core.ledger.accepted, 1);
}

/// A worker that is told to hand nothing on: what may have run is not refused, whatever comes.
#[test]
fn a_redeem_that_may_have_run_is_failed_and_not_refused() {
    let mut bench = Bench::new(1);
    let id = bench.arrive(1, 1_000 * MS).expect("new");
    let (_, attempt, _) = sent(&bench.pass(5 * MS))[0];
    bench.core.on_attempt_ended(bench.now, id, attempt, AttemptOutcome::Unserved(Outcome::Reset), None);
    let all = answers(&bench.pass(1_050 * MS));
    assert!(matches!(all[..], [(_, FinalResponse::Failed | FinalResponse::TimedOut)]), "{all:?}");
}

/// What was decided may no longer hold when the bytes can leave.
#[test]
fn bytes_leave_only_in_time_for_who_waits_and_within_the_window_of_repeat() {
    let mut bench = Bench::new(2);
    let id = bench.arrive(1, 5_000 * MS).expect("new");
    let (_, first, _) = sent(&bench.pass(5 * MS))[0];
    let at = bench.now;
    assert!(bench.core.may_write(at, id, first, 0));
    assert!(!bench.core.may_write(at + 5_000 * MS, id, first, 0), "its time is over");
    bench.core.on_attempt_ended(bench.now, id, first, AttemptOutcome::Unserved(Outcome::Reset), None);
    assert!(!bench.core.may_write(at, id, first, 0), "it has ended");
    let (_, second, _) = (0..100).find_map(|_| sent(&bench.pass(20 * MS)).pop()).expect("in the same cell");
    assert!(bench.core.may_write(bench.now, id, second, 0));
    assert!(!bench.core.may_write(bench.now, id, second, 40_000 * MS), "it would come after the window");
    bench.core.on_client_disconnected(bench.now, id);
    assert!(!bench.core.may_write(bench.now, id, second, 0), "its client has left");
}

/// The call that hands a job back may come again: its worker gets no other attempt of it, whichever process goes on.
#[test]
fn what_was_handed_back_is_not_tried_again_there_after_a_handover() {
    let mut bench = Bench::new(1);
    let id = bench.arrive(1, 5_000 * MS).expect("new");
    let (_, _, worker) = sent(&bench.pass(5 * MS))[0];
    assert!(bench.news("job-1", worker, JobStatus::Returned));
    bench.core.batch(bench.now);
    let moved = carried(&bench.core.transfer(id).expect("it may go"));
    bench.core.adopt(moved, 70).expect("its worker is known");
    assert_eq!(sent(&bench.pass(2_000 * MS)), []);
}

#[test]
fn a_silent_worker_costs_the_session_no_more_than_its_deadline() {
    let mut bench = Bench::new(1);
    let id = bench.arrive(1, 800 * MS).expect("new");
    let from = bench.now;
    assert_eq!(sent(&bench.pass(5 * MS)).len(), 1);
    assert_eq!(answers(&bench.pass(780 * MS)), []);
    let all = bench.pass(30 * MS);
    assert_eq!(answers(&all), [(id, FinalResponse::TimedOut)]);
    assert!(all.iter().any(|c| matches!(c, Command::CancelAttempt { .. })), "the worker is told");
    assert!(bench.now <= from + 850 * MS);
}

/// On a starved machine a turn comes late. The core then answered by itself, over the module's head, and debug builds
/// stopped with all they had taken.
#[test]
fn a_turn_that_comes_late_still_asks_the_module_first() {
    let mut bench = Bench::new(1);
    let id = bench.arrive(1, 200 * MS).expect("a session");
    let worker = sent(&bench.pass(10 * MS))[0].2;
    assert!(bench.news("job-1", worker, JobStatus::Started));
    bench.pass(0);
    bench.now += 900 * MS;
    assert_eq!(answers(&bench.pass(0)), [(id, FinalResponse::TimedOut)]);
    assert!(answers(&bench.pass(100 * MS)).is_empty());
}

#[test]
fn a_result_of_a_dispatch_that_was_given_up_still_serves_an_open_session() {
    let mut bench = Bench::new(3);
    let id = bench.arrive(0, 7_000 * MS).expect("new");
    let first = sent(&bench.pass(5 * MS))[0].2;
    bench.core.on_attempt_ended(bench.now, id, 0, AttemptOutcome::Unserved(Outcome::Timeout), None);
    assert!(bench.news("job-1", first, JobStatus::Done(b"late".to_vec())));
    assert_eq!(answers(&bench.pass(10 * MS)), [(id, FinalResponse::Served(b"late".to_vec()))]);
    assert_eq!(bench.core.ledger.served, 1);
}

#[test]
fn a_client_that_leaves_is_gone_and_nothing_is_sent_for_it_later() {
    let mut bench = Bench::new(1);
    let id = bench.arrive(0, 5_000 * MS).expect("new");
    bench.core.on_client_disconnected(bench.now, id);
    let all = bench.pass(6_000 * MS);
    assert_eq!((sent(&all), answers(&all)), (vec![], vec![]));
    assert_eq!((bench.core.ledger.disconnected, bench.core.ledger.open()), (1, 0));
}

#[test]
fn a_whole_list_ends_whoever_it_does_not_name_and_numbers_are_not_used_twice() {
    let mut bench = Bench::new(2);
    bench.core.on_endpoint_list(
        bench.now,
        &site::list(2, true, json!([site::endpoint_entry("s-1", "127.0.0.1:9101", "up")])),
    );
    bench.core.on_endpoint_list(
        bench.now,
        &site::list(3, false, json!([site::endpoint_entry("s-7", "127.0.0.1:9107", "up")])),
    );
    let table = &bench.core.endpoints;
    assert!(table.get(WorkerId(0)).is_some_and(|s| s.removed && s.stopped.is_some()));
    assert_eq!(table.get(WorkerId(1)).map(|s| s.address.port()), Some(9101));
    assert_eq!((table.find("s-7"), table.ready()), (Some(WorkerId(2)), 2));
    let bad =
        json!([{"instanceId": "s-8"}, {"hostPort": "x"}, site::endpoint_entry("s-9", "nowhere", "up"), 5]);
    bench.core.on_endpoint_list(bench.now, &site::list(4, false, bad));
    assert_eq!(bench.core.endpoints.bad_rows, 4);
}

/// Wherever what a watch sends is cut, the table is that of the last whole list and never between two.
#[test]
fn no_part_of_a_list_is_in_the_table_before_all_of_it_has_come() {
    let row = |n: u64, state| site::endpoint_entry(&format!("s-{n}"), &format!("127.0.0.1:910{n}"), state);
    let lists = [
        json!({"generation": 2, "reset": false, "instances": [row(0, "draining"), row(2, "up")]}),
        json!({"generation": 3, "reset": true, "instances": [row(1, "draining"), row(3, "up")]}),
        json!({"generation": 4, "reset": false, "instances": [row(3, "removed"), row(0, "up")]}),
    ];
    let texts = [format!("{}\n\n", lists[0]), format!("{:#}\r\n", lists[1]), format!("{:#}\n", lists[2])];
    let text = texts.concat();
    let ends = [texts[0].len() - 2, texts[0].len() + texts[1].len() - 2, text.len() - 1];
    let feed = |bench: &mut Bench, objects: &mut ObjectSplitter, bytes: &[u8]| {
        objects.feed(bytes);
        while let Some(object) = objects.next_object() {
            let value = serde_json::from_slice(&object).expect("JSON");
            bench.core.on_endpoint_list(bench.now, &EndpointList::from_json(&value).expect("a list"));
        }
        bench.core.endpoints.rows()
    };
    let mut sound = vec![Bench::new(2).core.endpoints.rows()];
    sound.extend(
        (0..3).map(|n| {
            feed(&mut Bench::new(2), &mut ObjectSplitter::default(), texts[..=n].concat().as_bytes())
        }),
    );
    for cut in 0..=text.len() {
        let (mut bench, mut objects) = (Bench::new(2), ObjectSplitter::default());
        let (before, after) = text.as_bytes().split_at(cut);
        let whole = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(feed(&mut bench, &mut objects, before), sound[whole], "cut at {cut}");
        assert_eq!(feed(&mut bench, &mut objects, after), sound[3], "cut at {cut}");
    }
}

#[test]
fn the_batch_waits_for_the_tick_and_deadlines_do_not() {
    let mut bench = Bench::new(1);
    bench.pass(10 * MS);
    bench.core.turn(bench.now);
    bench.arrive(0, 5_000 * MS);
    bench.core.turn(bench.now);
    let first = std::iter::from_fn(|| bench.core.next_command()).count();
    assert!(first > 0, "a quiet core takes the event at once");
    bench.arrive(0, 5_000 * MS);
    bench.core.turn(bench.now + MS);
    assert_eq!(bench.core.next_command(), None, "the next batch is 2 ms later");
    bench.core.turn(bench.now + 2 * MS);
    assert!(bench.core.next_command().is_some());
}

#[test]
fn all_that_is_open_can_be_failed_before_the_machine_goes() {
    let mut bench = Bench::new(1);
    for _ in 0..5 {
        bench.arrive(0, 5_000 * MS);
    }
    bench.pass(10 * MS);
    bench.core.fail_all(bench.now);
    assert_eq!((bench.core.ledger.failed, bench.core.ledger.open()), (5, 0));
}

/// Random lives of sessions: each gets exactly one entry and one answer at most, and nothing goes out after it. Nor does anything
/// to a worker that may have an attempt of it, whatever that says again.
#[test]
fn each_session_gets_exactly_one_final_answer() {
    for seed in 0..150 {
        let g = &mut Gen::from_size_and_seed(32, seed);
        let mut bench = Bench::new(3);
        let mut out: Vec<(u64, u32, WorkerId)> = Vec::new();
        let mut answered = BTreeMap::<u64, u32>::new();
        let mut gone = Vec::new();
        let mut with = BTreeSet::new();
        for _ in 0..80 {
            match u8::arbitrary(g) % 9 {
                0..=2 => drop(bench.arrive(u16::from(bool::arbitrary(g)), 400 * MS)),
                3 if bench.next > 0 => {
                    let id = u64::arbitrary(g) % bench.next;
                    bench.core.on_client_disconnected(bench.now, id);
                    gone.push(id);
                }
                4 | 5 if !out.is_empty() => {
                    let (id, attempt, worker) = out[usize::arbitrary(g) % out.len()];
                    let free = [Outcome::Full, Outcome::ConnectFailed, Outcome::NeverSent];
                    let outcomes = [&free[..], &[Outcome::Reset, Outcome::Error]].concat();
                    let fate = match g.choose(&outcomes) {
                        Some(outcome) if bool::arbitrary(g) => AttemptOutcome::Unserved(*outcome),
                        _ => AttemptOutcome::Done(Vec::new()),
                    };
                    let never = matches!(fate, AttemptOutcome::Unserved(outcome) if free.contains(&outcome));
                    if bench.core.on_attempt_ended(bench.now, id, attempt, fate, None) && never {
                        with.remove(&(id, worker));
                    }
                }
                7 if !out.is_empty() => {
                    let (id, _, worker) = out[usize::arbitrary(g) % out.len()];
                    bench.news(&format!("job-{}", id + 1), worker, JobStatus::Returned);
                }
                6 if !out.is_empty() => {
                    let (id, attempt, _) = out[usize::arbitrary(g) % out.len()];
                    bench.core.on_attempt_status(bench.now, id, attempt, JobStatus::Started, None);
                }
                _ => {}
            }
            let all = bench.pass(u64::from(u8::arbitrary(g)) * MS);
            check(&all, &mut out, &mut with, &mut answered);
        }
        let all = bench.pass(1_000 * MS);
        check(&all, &mut out, &mut with, &mut answered);
        let ledger = bench.core.ledger;
        assert_eq!((ledger.accepted, ledger.open()), (bench.next, 0), "seed {seed}: {ledger:?}");
        assert!(answered.values().all(|n| *n == 1), "seed {seed}");
        assert_eq!(answered.len() as u64 + ledger.disconnected, ledger.accepted, "seed {seed}");
    }
}

fn check(
    all: &[Command],
    out: &mut Vec<(u64, u32, WorkerId)>,
    with: &mut BTreeSet<(u64, WorkerId)>,
    answered: &mut BTreeMap<u64, u32>,
) {
    for command in all {
        match command {
            Command::StartAttempt { request_id, attempt, worker, .. } => {
                assert!(!answered.contains_key(request_id), "sent after its final answer");
                assert!(with.insert((*request_id, *worker)), "a second attempt where the first may be");
                out.push((*request_id, *attempt, *worker));
            }
            Command::Respond { request_id, .. } => *answered.entry(*request_id).or_default() += 1,
            _ => {}
        }
    }
}

/// Through the bytes that go from one process to another.
fn carried<T: serde::Serialize + serde::de::DeserializeOwned>(what: &T) -> T {
    serde_json::from_str(&serde_json::to_string(what).expect("it can be written")).expect("and read")
}

/// A module that starts from nothing at each upgrade sends to workers that are known to be full.
#[test]
fn what_the_elder_has_learned_guides_the_younger() {
    for full in [WorkerId(0), WorkerId(1)] {
        let (mut elder, mut younger) = (Bench::new(2), Bench::new(2));
        // Some jobs on each, so that both tell of themselves at the end.
        let mut under_way = Vec::new();
        for _ in 0..8 {
            elder.arrive(0, 5_000 * MS).expect("a session");
            under_way.extend(sent(&elder.pass(10 * MS)));
        }
        assert!([0, 1].iter().all(|n| under_way.iter().any(|sent| sent.2 == WorkerId(*n))), "{under_way:?}");
        for (id, _, worker) in under_way {
            let (cpu, free) = if worker == full { (1.0, 0.0) } else { (0.1, 4.0) };
            let report = LoadReport { cpu: Some(cpu), free_slots: Some(free), ..LoadReport::default() };
            let (name, from) = (format!("job-{}", id + 1), format!("s-{}", worker.0));
            assert!(elder.core.on_job_status(
                elder.now,
                &name,
                &from,
                JobStatus::Done(b"x".to_vec()),
                Some(report)
            ));
        }
        elder.pass(10 * MS);
        younger.pass(1);
        younger.now = elder.now;
        younger.core.restore(carried(&elder.core.learned_state()));
        for _ in 0..3 {
            younger.arrive(0, 5_000 * MS).expect("a session");
            for (id, _, to) in sent(&younger.pass(10 * MS)) {
                assert_ne!(to, full, "it is full");
                assert!(younger.news(&format!("job-{}", id + 1), to, JobStatus::Started));
            }
        }
    }
}

/// The elder must not call off at the worker what the younger waits for, nor the younger send it there again.
#[test]
fn a_session_that_is_handed_over_keeps_its_dispatches() {
    let (mut elder, mut younger) = (Bench::new(1), Bench::new(1));
    let id = elder.arrive(1, 3_000 * MS).expect("a session");
    assert_eq!(elder.core.transfer(id), None, "the module has not heard of it yet");
    let worker = sent(&elder.pass(10 * MS))[0].2;
    assert!(elder.news("job-1", worker, JobStatus::Started));
    elder.pass(10 * MS);
    let moved = carried(&elder.core.transfer(id).expect("it can go"));
    assert!(!elder.core.knows("job-1") && elder.core.ledger.open() == 0);
    let more = elder.pass(5_000 * MS);
    let for_it = |c: &Command| {
        matches!(c, Command::CancelAttempt { .. } | Command::StartAttempt { .. } | Command::Respond { .. })
    };
    assert!(!more.iter().any(for_it), "nothing more is done for it: {more:?}");
    let id = younger.core.adopt(moved.clone(), 7).expect("taken over");
    assert_eq!(younger.core.adopt(moved, 7), None, "once");
    assert!(sent(&younger.pass(1_000 * MS)).is_empty());
    assert!(younger.news("job-1", worker, JobStatus::Done(b"x".to_vec())));
    assert_eq!(answers(&younger.pass(10 * MS)), [(id, FinalResponse::Served(b"x".to_vec()))]);
    let ledger = younger.core.ledger;
    assert_eq!((ledger.accepted, ledger.served, ledger.open()), (1, 1, 0));
}

/// Enters what the core wants noted, as the store would, and gives the tickets that wait for it.
fn enter(notes: &mut BTreeMap<String, Vec<u8>>, commands: &[Command]) -> Vec<u64> {
    let mut tickets = Vec::new();
    for command in commands {
        if let Command::PersistRecord { ticket, key, record } = command {
            match record {
                Some(record) => drop(notes.insert(key.clone(), record.clone())),
                None => drop(notes.remove(key)),
            }
            tickets.extend(*ticket);
        }
    }
    tickets
}

/// A core that notes keyed jobs, with one that was sent and noted: its worker.
fn noted(workers: usize) -> (Bench, BTreeMap<String, Vec<u8>>, WorkerId) {
    let (mut bench, mut notes) = (Bench::new(workers), BTreeMap::new());
    bench.core.enable_idempotency(bench.now, std::iter::empty(), true);
    bench.arrive_keyed("r-1", "k", 5).expect("new");
    let commands = bench.pass(5 * MS);
    assert_eq!(sent(&commands), [], "it left before it was noted");
    let tickets = enter(&mut notes, &commands);
    assert_eq!(tickets.len(), 1);
    bench.core.on_record_persisted(tickets[0], true);
    let sends = sent(&bench.pass(MS));
    assert_eq!(sends.len(), 1);
    (bench, notes, sends[0].2)
}

#[test]
fn a_keyed_job_leaves_once_it_is_noted_and_an_unkeyed_one_at_once() {
    let (mut bench, _, _) = noted(4);
    bench.arrive(0, 5_000 * MS).expect("new");
    let commands = bench.pass(5 * MS);
    assert_eq!(sent(&commands).len(), 1);
    assert!(!commands.iter().any(|c| matches!(c, Command::PersistRecord { .. })), "an unkeyed job was noted");
}

#[test]
fn a_job_that_cannot_be_noted_is_given_up_at_once() {
    let mut bench = Bench::new(4);
    bench.core.enable_idempotency(bench.now, std::iter::empty(), true);
    let id = bench.arrive_keyed("r-1", "k", 5).expect("new");
    let tickets = enter(&mut BTreeMap::new(), &bench.pass(5 * MS));
    bench.core.on_record_persisted(tickets[0], false);
    let commands = bench.pass(5 * MS);
    assert_eq!(sent(&commands), []);
    // Nothing of it may have run: it may be turned away.
    assert!(
        matches!(answers(&commands)[..], [(of, FinalResponse::Rejected(Some(_)))] if of == id),
        "{commands:?}"
    );
    assert!(bench.core.idempotency().expect("on").is_empty(), "there is nothing to remember");
}

#[test]
fn after_a_crash_a_repeat_goes_to_the_pod_that_may_have_run_it_or_nowhere() {
    for (later, sound, may_go) in
        [(5_000, true, true), (39_000, true, true), (41_000, true, false), (1_000, false, false)]
    {
        let (bench, notes, worker) = noted(6);
        let mut next = bench.crashed(&notes, later * MS, sound);
        let id = next.arrive_keyed("r-2", "k", 5).expect("new");
        let commands = next.pass(5 * MS);
        let tickets = enter(&mut notes.clone(), &commands);
        if may_go {
            next.core.on_record_persisted(tickets[0], true);
            let to = sent(&next.pass(MS))[0].2;
            assert_eq!(to.0 / 2, worker.0 / 2, "it went to another pod, {later} ms later");
        } else {
            // The pod may have forgotten it: it is failed, and not turned away, since it may have run.
            assert!(tickets.is_empty());
            let given_up = [commands, next.pass(26_000 * MS)].concat();
            assert_eq!(sent(&given_up), []);
            assert!(
                matches!(answers(&given_up)[..], [(of, FinalResponse::Failed | FinalResponse::TimedOut)] if of == id)
            );
        }
    }
}

#[test]
fn a_repeat_of_a_finished_job_gets_its_result_and_another_body_is_refused() {
    let (mut bench, mut notes, worker) = noted(4);
    assert!(bench.news("r-1", worker, JobStatus::Done(b"paid".to_vec())));
    enter(&mut notes, &bench.pass(5 * MS));
    let mut next = bench.crashed(&notes, 100_000 * MS, true);
    assert_eq!(next.arrive_keyed("r-3", "k", 6), None, "another body under the same key");
    let id = next.arrive_keyed("r-2", "k", 5).expect("new");
    let commands = next.pass(5 * MS);
    assert_eq!(answers(&commands), [(id, FinalResponse::Served(b"paid".to_vec()))]);
    assert_eq!((sent(&commands), next.core.ledger.open()), (vec![], 0));
}

#[test]
fn a_result_that_comes_after_the_crash_is_kept_for_the_repeat() {
    let (bench, mut notes, worker) = noted(4);
    let mut next = bench.crashed(&notes, 2_000 * MS, true);
    assert!(!next.news("r-1", worker, JobStatus::Done(b"paid".to_vec())), "its session is gone");
    enter(&mut notes, &next.pass(5 * MS));
    let mut third = next.crashed(&notes, 2_000 * MS, true);
    let id = third.arrive_keyed("r-2", "k", 5).expect("new");
    assert_eq!(answers(&third.pass(5 * MS)), [(id, FinalResponse::Served(b"paid".to_vec()))]);
}

#[test]
fn a_pod_that_was_replaced_whole_gets_nothing_of_what_the_old_one_may_have_run() {
    let (bench, notes, worker) = noted(4);
    let mut next = Bench::new(0);
    next.core.enable_idempotency(next.now, notes.into_iter(), true);
    let row = |n: u32, cell: u32| {
        let mut row = site::endpoint_entry(&format!("new-{n}"), &format!("127.0.0.1:{}", 9500 + n), "up");
        row["cell"] = json!(cell);
        row
    };
    let old = bench.core.endpoints.get(worker).expect("known").row.cell;
    next.core.on_endpoint_list(next.now, &site::list(2, true, json!([row(0, old + 10), row(1, old + 11)])));
    let id = next.arrive_keyed("r-2", "k", 5).expect("new");
    let commands = next.pass(26_000 * MS);
    assert_eq!(sent(&commands), []);
    assert!(
        matches!(answers(&commands)[..], [(of, FinalResponse::Failed | FinalResponse::TimedOut)] if of == id)
    );
}

#[test]
fn notes_that_cannot_be_read_are_named() {
    let mut bench = Bench::new(2);
    let notes = [("a", vec![]), ("b", vec![9, 1, 2]), ("c", vec![1, 0xff, 0xff])];
    let bad =
        bench.core.enable_idempotency(bench.now, notes.into_iter().map(|(k, v)| (k.to_owned(), v)), true);
    let reasons: Vec<String> = bad.iter().map(|(_, error)| error.to_string()).collect();
    assert_eq!(bad.len(), 3, "{bad:?}");
    assert!(reasons[1].contains("version 9") && reasons[0].contains("empty"), "{reasons:?}");
}
