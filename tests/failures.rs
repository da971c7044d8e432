//! One test for each failure found, without the bench.

mod common;
use common::*;
use mothproxy::*;

fn answers(effect: Idempotency) -> Node {
    Node::new(Settings { classes: vec![class(effect)], ..Settings::default() })
}

/// Found on overloaded days: one free slot read as 0.96 and counted as none.
#[test]
fn rounds_noisy_free_slots() {
    let mut node = answers(Idempotency::Idempotent);
    node.roster((0..2).map(worker).collect());
    node.report(0, 0.4, 0.96);
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)), [(1, WorkerId(0))]);
}

/// Found on deploy days: all attempts were spent on bounces within milliseconds, and the job refused.
#[test]
fn retries_after_rejections_are_spread_over_the_time_left() {
    let mut node = answers(Idempotency::NonIdempotent);
    node.roster((0..8).map(worker).collect());
    let mut sent = sends(&node.arrive(1, 0, 5_000 * MS));
    for attempt in 0..2 {
        let to = sent[attempt as usize].1;
        sent.extend(sends(&node.end(1, attempt, to, Outcome::Full)));
    }
    assert_eq!(sent.len(), 2, "the third try waits");
    assert_eq!(sends(&node.pass(5_000 * MS)).len(), 1);
}

/// What never leaves is no attempt, however often: all of them are left, and are not spent in a rush either.
#[test]
fn an_unsent_attempt_does_not_count() {
    let mut node = answers(Idempotency::NonIdempotent);
    node.roster((0..8).map(worker).collect());
    let mut sent = sends(&node.arrive(1, 0, 5_000 * MS));
    let mut end = |outcome| {
        let (attempt, to) = (sent.len() as u32 - 1, sent[sent.len() - 1].1);
        let (now, later) = (sends(&node.end(1, attempt, to, outcome)), sends(&node.pass(150 * MS)));
        sent.extend(now.iter().chain(&later));
        (now.len(), later.len())
    };
    assert_eq!([0; 6].map(|_| end(Outcome::NeverSent)), [(1, 0), (0, 1), (0, 1), (0, 1), (0, 1), (0, 1)]);
    let left = (0..200).map(|_| end(Outcome::Full)).map(|(now, later)| now + later).sum::<usize>();
    assert_eq!(left + 1, Settings::default().max_attempts as usize, "one of them is out already");
}

/// Found on deploy days: jobs that any kind may run filled the one kind that others need.
#[test]
fn spares_a_kind_that_other_jobs_need() {
    let mut classes = vec![class(Idempotency::Idempotent), class(Idempotency::Idempotent)];
    classes[1].kind = Some(KindId(1));
    let mut node = Node::new(Settings { classes, ..Settings::default() });
    let kinds = |id: u32| EndpointEntry { kind: KindId((id % 2) as u16), ..worker(id) };
    node.roster((0..8).map(kinds).collect());
    let (mut job, mut bound_kind) = (0, 0);
    for _ in 0..200 {
        for class in [0, 1] {
            job += 1;
            let sent = sends(&node.arrive(job, class, 5_000 * MS));
            bound_kind += u32::from(class == 0 && sent[0].1.0 % 2 == 1);
            node.end(job, 0, sent[0].1, Outcome::Ok);
        }
    }
    assert!(bound_kind < 50, "{bound_kind} of 200 went to the kind that the bound jobs fill");
}

/// Found with hung workers: they take work, start nothing and report low.
#[test]
fn ejects_a_worker_that_does_not_start_in_time() {
    let settings = Settings {
        may_probe: true,
        reports_start: true,
        reports: Reports::ProbesOnly,
        classes: vec![class(Idempotency::NonIdempotent)],
        ..Settings::default()
    };
    let mut node = Node::new(settings);
    node.roster((0..2).map(worker).collect());
    node.report(0, 0.0, 4.0);
    node.report(1, 0.7, 2.0);
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)), [(1, WorkerId(0))]);
    node.pass(100 * MS);
    node.report(0, 0.0, 4.0);
    node.report(1, 0.7, 2.0);
    assert_eq!(sends(&node.arrive(2, 0, 5_000 * MS)), [(2, WorkerId(1))]);
    // Its start brings the trust back, once it has rested for as long as the job waited.
    node.feed(Event::Started { job: JobId(1), attempt: 0 });
    node.pass(101 * MS);
    node.report(1, 0.7, 2.0);
    node.report(0, 0.01, 4.0);
    assert_eq!(sends(&node.arrive(3, 0, 5_000 * MS)), [(3, WorkerId(0))]);
}

/// Found with hung workers: a job waits where nothing moves. It is copied, and the first start wins. Found on
/// `almaty-cards`: where a cancel stops nothing a copy costs a whole job, so it waits for half of the slack, and
/// a worker that was heard of since keeps the job.
#[test]
fn hedges_an_unstarted_job_at_a_silent_worker_and_cancels_the_loser() {
    let settings = Settings {
        reports_start: true,
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let mut node = Node::new(settings.clone());
    node.roster((0..3).map(worker).collect());
    let first = sends(&node.arrive(1, 0, 5_000 * MS))[0].1;
    assert_eq!(sends(&node.pass(30 * MS)), [], "not at the first delay");
    (0..3).for_each(|id| drop(node.report_unless(id, first)));
    let second = sends(&node.pass(250 * MS))[0].1;
    assert_ne!(first, second);
    let actions = node.feed(Event::Started { job: JobId(1), attempt: 1 });
    assert!(actions.contains(&Action::Cancel { job: JobId(1), attempt: 0 }));

    let mut node = Node::new(settings);
    node.roster((0..3).map(worker).collect());
    let first = sends(&node.arrive(1, 0, 5_000 * MS))[0].1;
    node.pass(30 * MS);
    (0..3).for_each(|id| drop(node.report(id, 0.1, 4.0)));
    assert_eq!(sends(&node.pass(250 * MS)), [], "worker {first:?} was heard of");
}

/// Found in overload: work that starts too late to count delays all the rest.
#[test]
fn gives_up_jobs_that_can_no_longer_earn() {
    let mut node = answers(Idempotency::Idempotent);
    let mut classes = vec![class(Idempotency::Idempotent)];
    classes[0].late_weight = 0.0;
    node.dispatcher =
        Dispatcher::new(Settings { classes, ..Settings::default() }, 7).expect("settings agree");
    node.roster(vec![]);
    node.arrive(1, 0, 5_000 * MS);
    let actions = node.pass(1_000 * MS);
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { .. })), "{actions:?}");
}

/// Found with a cut zone: each attempt into it costs a connect time-out.
#[test]
fn ejects_an_unreachable_zone() {
    let mut node = answers(Idempotency::Idempotent);
    let zones = |id: u32| EndpointEntry { zone: ZoneId(u16::from(id > 0)), ..worker(id) };
    node.roster((0..6).map(zones).collect());
    node.report(0, 1.0, 0.0);
    let to = sends(&node.arrive(1, 0, 5_000 * MS))[0].1;
    assert_ne!(to, WorkerId(0));
    // Four more workers of that zone are unknown, yet the job rather waits for the own zone.
    let mut again = sends(&node.end(1, 0, to, Outcome::ConnectFailed));
    again.extend(sends(&node.pass(100 * MS)));
    assert!(again.iter().all(|s| s.1 == WorkerId(0)), "{again:?}");
}

/// A restarted or replaced worker: all nodes together stay within the budget, and it still gets work.
#[test]
fn all_nodes_keep_a_warming_up_worker_within_its_budget() {
    let nodes = 12;
    let base = Settings {
        dispatcher_count: nodes,
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let mut fleet: Vec<Node> =
        (0..nodes).map(|me| Node::new(Settings { own_index: me, ..base.clone() })).collect();
    let start = fleet[0].now;
    let cold = EndpointEntry { started_at: Some(start), ..worker(0) };
    let mut sent: Vec<(Micros, f64)> = Vec::new();
    let mut job = 0;
    for node in &mut fleet {
        node.roster(vec![cold, worker(1)]);
        node.report(1, 0.5, 4.0); // workers of this kind have four slots
    }
    for step in 0..100 {
        for node in &mut fleet {
            node.now = start + step * 100 * MS;
            job += 1;
            for (job, to) in sends(&node.arrive(job, 0, 5_000 * MS)) {
                if to == WorkerId(0) {
                    sent.push((node.now, 0.1));
                }
                node.end(job, 0, to, Outcome::Ok);
            }
        }
    }
    assert!(!sent.is_empty(), "a cold worker takes work as its turns come");
    for &(from, _) in &sent {
        let until = from + base.collapse_window;
        let work: f64 = sent.iter().filter(|s| s.0 >= from && s.0 < until).map(|s| s.1).sum();
        let grown = (from - start) as f64 / base.warm_up_time as f64;
        let share = base.initial_capacity + (1.0 - base.initial_capacity) * grown;
        assert!(work <= base.collapse_multiple * share * 4.0, "{work} from {from}");
    }
}

/// Found on overloaded days: the small jobs that a small turn admits pushed a cold worker over in numbers.
#[test]
fn small_jobs_count_as_the_class_mean_on_a_warming_up_worker() {
    let mut node = answers(Idempotency::Idempotent);
    let start = node.now;
    node.roster(vec![EndpointEntry { started_at: Some(start), ..worker(0) }, worker(1)]);
    node.report(1, 0.5, 4.0); // workers of this kind have four slots
    let mut taken = 0.0;
    for job in 0..100 {
        node.now = start + job * 10 * MS;
        // Work of 1 ms and 199 ms in turn: 100 ms on the mean.
        let sent = sends(&node.arrive_sized(job, 0, 5_000 * MS, if job % 2 == 0 { 199 * MS } else { MS }));
        let cold = sent.iter().filter(|s| s.1 == WorkerId(0)).count();
        taken += 0.1 * cold as f64;
        sent.iter().for_each(|s| drop(node.end(job, 0, s.1, Outcome::Ok)));
    }
    let settings = Settings::default();
    assert!(taken > 0.0 && taken <= settings.collapse_multiple * settings.initial_capacity * 4.0, "{taken}");
}

#[test]
fn requests_the_list_with_jitter_and_again_after_failure() {
    let settings =
        Settings { list_on_request: true, max_poll_interval: Some(10_000 * MS), ..Settings::default() };
    let mut node = Node::new(settings);
    node.roster(vec![worker(0)]);
    assert!(node.pass(10_000 * MS).contains(&Action::OpenWatch));
    node.feed(Event::ListFailed);
    assert!(node.pass(10_000 * MS).contains(&Action::OpenWatch));
}

#[test]
fn rejects_inconsistent_settings() {
    let refused = |s: Settings| Dispatcher::new(s, 1).err();
    assert_eq!(refused(Settings { classes: vec![], ..Settings::default() }), Some(SettingsError::NoClasses));
    assert_eq!(
        refused(Settings { own_index: 3, dispatcher_count: 3, ..Settings::default() }),
        Some(SettingsError::NotAmongDispatchers)
    );
    assert_eq!(
        refused(Settings { dispatcher_count: u32::MAX, ..Settings::default() }),
        Some(SettingsError::TooManyDispatchers)
    );
    assert_eq!(refused(Settings { max_attempts: 0, ..Settings::default() }), Some(SettingsError::NoAttempts));
    assert_eq!(
        refused(Settings { collapse_multiple: f64::NAN, ..Settings::default() }),
        Some(SettingsError::OutOfRange)
    );
}

/// Found on overloaded days: with the usual wait as the measure, queues at the workers grew with what was usual.
#[test]
fn sends_no_second_job_to_a_worker_that_has_not_started_the_first() {
    let settings = Settings {
        reports_start: true,
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let mut node = Node::new(settings);
    node.roster(vec![worker(0)]);
    node.report(0, 0.2, 8.0);
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)).len(), 1);
    node.pass(25 * MS);
    node.report(0, 0.2, 8.0);
    assert_eq!(sends(&node.arrive(2, 0, 5_000 * MS)), [], "the first has not started yet");
    // Its start shows room again, and the job that waits here is sent once that has rested for as long.
    assert_eq!(sends(&node.feed(Event::Started { job: JobId(1), attempt: 0 })), []);
    assert_eq!(sends(&node.pass(60 * MS)), [(2, WorkerId(0))]);
}

/// Found on overloaded days: sent work was given up while it went on at the worker, where a cancel stops nothing.
#[test]
fn waits_for_a_sent_job() {
    let mut classes = vec![class(Idempotency::Idempotent)];
    classes[0].late_weight = 0.0;
    let mut node = Node::new(Settings { classes, ..Settings::default() });
    node.roster(vec![worker(0)]);
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)).len(), 1);
    let before = node.pass(4_900 * MS);
    assert!(!before.iter().any(|a| matches!(a, Action::Reject { .. } | Action::Cancel { .. })), "{before:?}");
    let last = node.pass(100 * MS);
    assert!(last.iter().any(|a| matches!(a, Action::Reject { .. })), "{last:?}");
}

/// Found by a flood of timers: each look at an unstarted job set two alarms, and each alarm looked again.
#[test]
fn a_waiting_job_does_not_multiply_its_timers() {
    let settings = Settings {
        reports_start: true,
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let mut node = Node::new(settings);
    node.roster((0..3).map(worker).collect());
    node.arrive(1, 0, 5_000 * MS);
    node.pass(4_900 * MS);
    assert!(node.timers.len() < 20, "{} alarms are set", node.timers.len());
}

/// Clients that are turned away are told when to come back, later the more waits here and never beyond the most.
#[test]
fn rejections_carry_retry_after() {
    let mut classes = vec![class(Idempotency::Idempotent)];
    classes[0].late_weight = 0.0;
    let most = Some(2_000 * MS);
    let base = Settings { classes, reports_start: true, max_retry_after: most, ..Settings::default() };
    let after = |jobs: u64| {
        let mut node = Node::new(base.clone());
        node.roster(vec![worker(0)]);
        node.arrive(1_000, 0, 5_000 * MS); // it does not start, so nothing more is sent
        node.pass(25 * MS);
        (0..jobs).for_each(|job| drop(node.arrive(job, 0, 5_000 * MS)));
        let all = node.pass(4_000 * MS);
        let first = all.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(retry_after.expect("the site allows one")),
            _ => None,
        });
        first.expect("nothing has room")
    };
    assert!(after(2) < after(12), "{} {}", after(2), after(12));
    assert!(after(200) <= 2_000 * MS);
    let mut node = Node::new(Settings { max_retry_after: None, ..base.clone() });
    node.arrive(1, 0, 5_000 * MS);
    assert!(node.pass(5_000 * MS).contains(&Action::Reject { job: JobId(1), retry_after: None }));
}

/// Found on overloaded days: a worker with the other nodes' jobs in its queue got the next job as soon as it had
/// started ours, and that one queued for as long again.
#[test]
fn ejects_a_worker_for_as_long_as_a_job_queued_there() {
    let settings = Settings {
        reports_start: true,
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let mut node = Node::new(settings);
    node.roster(vec![worker(0)]);
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)).len(), 1);
    node.pass(100 * MS);
    assert_eq!(sends(&node.arrive(2, 0, 5_000 * MS)), [], "the first waits in the worker's queue");
    assert_eq!(sends(&node.feed(Event::Started { job: JobId(1), attempt: 0 })), [], "a queue is there");
    assert_eq!(sends(&node.pass(90 * MS)), []);
    assert_eq!(sends(&node.pass(60 * MS)), [(2, WorkerId(0))]);
}

/// Found on overloaded days of `haatkhata-bengal`: a worker whose slots all ran our jobs counted those as a queue, so
/// jobs were held until it reported room, up to a second late, while its slots stood free. And with that mended, one
/// that had just failed got them as well: 67 waited at a hung one.
#[test]
fn queues_one_job_at_a_full_worker_and_none_at_a_failed_one() {
    let settings = Settings {
        reports_start: true,
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let mut node = Node::new(settings);
    node.roster(vec![worker(0)]);
    node.report(0, 0.1, 8.0);
    for job in 1..=8 {
        assert_eq!(sends(&node.arrive(job, 0, 5_000 * MS)).len(), 1);
        node.feed(Event::Started { job: JobId(job), attempt: 0 });
    }
    node.report(0, 1.0, 0.0);
    assert_eq!(sends(&node.arrive(9, 0, 5_000 * MS)), [(9, WorkerId(0))], "it follows at once");
    node.pass(25 * MS);
    node.report(0, 1.0, 0.0);
    assert_eq!(sends(&node.arrive(10, 0, 5_000 * MS)), [], "one waits there");
    node.feed(Event::Started { job: JobId(9), attempt: 0 });
    node.end(9, 0, WorkerId(0), Outcome::Error);
    assert_eq!(sends(&node.arrive(11, 0, 5_000 * MS)), [], "it has just failed");
}

/// Found on overloaded days of `haatkhata-bengal`: jobs crossed blindly, half of all, to queue at workers as full as the
/// own ones. Where probes are allowed another zone is asked first.
#[test]
fn crosses_zones_only_to_known_capacity() {
    let settings = Settings { may_probe: true, price_cross_zone: 0.1, ..Settings::default() };
    let mut node = Node::new(Settings { classes: vec![class(Idempotency::Idempotent)], ..settings });
    let zones = |id: u32| EndpointEntry { zone: ZoneId(u16::from(id > 0)), ..worker(id) };
    node.roster((0..2).map(zones).collect());
    node.report(0, 1.0, 0.0);
    let mut seen = node.arrive(1, 0, 5_000 * MS);
    for _ in 0..18 {
        seen.extend(node.pass(5 * MS));
        seen.extend(node.report(0, 1.0, 0.0));
    }
    assert_eq!((sends(&seen).len(), probes(&seen).contains(&WorkerId(1))), (0, true));
    assert_eq!(sends(&node.report(1, 0.1, 4.0)), [(1, WorkerId(1))]);
}

/// Found on days with hung workers: as the last resort came before a full worker, 3,000 jobs in 5 s bounced off one that
/// was known to hang, while the others had slots coming free.
#[test]
fn ejected_workers_rank_after_full_ones() {
    let settings =
        Settings { may_hedge: false, classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let mut node = Node::new(settings);
    node.roster((0..2).map(worker).collect());
    node.report(0, 0.1, 4.0);
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)), [(1, WorkerId(0))]);
    (0..6).for_each(|_| drop(node.echo(1, Outcome::Timeout, None)));
    node.report(0, 1.0, 0.0); // one that is full, and one that is barred for seconds
    node.arrive(2, 0, 5_000 * MS);
    let mut seen = Vec::new();
    for _ in 0..60 {
        seen.extend(node.pass(5 * MS));
        node.report(0, 1.0, 0.0);
    }
    assert_eq!(sends(&seen), [], "the full one's queue is too long, and the other hangs");
}

/// Found on overloaded days of `haatkhata-bengal`: a probe waits there like a job and timed out where the queue was
/// long. Such workers were left alone for seconds, so that 11 of 14 were used and each of those had a longer queue.
#[test]
fn a_probe_timeout_does_not_eject_a_worker_that_responds() {
    for (heard, trusted) in [(true, 1), (false, 0)] {
        let settings = Settings {
            reports_start: true,
            classes: vec![class(Idempotency::Idempotent)],
            ..Settings::default()
        };
        let mut node = Node::new(settings);
        node.roster(vec![worker(0)]);
        node.report(0, 0.1, 4.0);
        node.arrive(1, 0, 5_000 * MS);
        node.pass(5 * MS);
        if heard {
            node.feed(Event::Started { job: JobId(1), attempt: 0 });
        }
        let probed =
            ProbeResponse { worker: WorkerId(0), outcome: Outcome::Timeout, elapsed: 4 * MS, report: None };
        node.feed(Event::ProbeResponse(probed));
        assert_eq!(sends(&node.arrive(2, 0, 5_000 * MS)).len(), trusted, "heard of since: {heard}");
    }
}

/// Found on days with failing workers: they were well again after 12 s and left alone for up to 10 s more, while the
/// others had more than they could run. A node without a group learns it only from a job of its own.
#[test]
fn a_single_node_soon_retries_a_worker_that_failed_often() {
    let mut node = answers(Idempotency::Idempotent);
    node.roster(vec![worker(0)]);
    node.report(0, 0.1, 4.0);
    (0..8).for_each(|_| drop(node.echo(0, Outcome::Timeout, None)));
    node.pass(1_300 * MS); // eight windows
    assert_eq!(sends(&node.arrive(1, 0, 5_000 * MS)), [(1, WorkerId(0))]);
}
