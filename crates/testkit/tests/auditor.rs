//! The auditor with synthetic event logs: a valid one in which it finds nothing, and for each rule changes of that log, in which
//! it finds exactly the expected violations.

use mothproxy_testkit::fleet::event_log::NotifiedEndpoint;
use mothproxy_testkit::fleet::{AuditRules, Event, Finding, Lifecycle, LoggedEvent, audit};

const MS: u64 = 1_000;

fn endpoint(worker: usize, lifecycle: Lifecycle, started_ms: u64) -> NotifiedEndpoint {
    NotifiedEndpoint { worker, lifecycle, started_ms }
}

fn notified(dispatcher: usize, generation: u64, is_full: bool, endpoints: Vec<NotifiedEndpoint>) -> Event {
    Event::Notified { dispatcher, generation, is_full, endpoints }
}

fn sent(id: &str) -> Event {
    Event::Sent { dispatcher: 0, id: id.into(), timeout: 500 * MS }
}

fn reached(worker: usize, id: &str) -> Event {
    Event::Reached { dispatcher: 0, worker, id: id.into(), work: 20 * MS }
}

fn executed(id: &str, key: Option<&str>) -> Event {
    Event::Executed { worker: 0, id: id.into(), key: key.map(str::to_owned) }
}

fn completed(id: &str) -> Event {
    Event::Completed { worker: 0, id: id.into(), result: format!("{id} by w0") }
}

fn answered(id: &str) -> Event {
    Event::Answered { dispatcher: 0, id: id.into(), status: 200, body: format!("{id} by w0") }
}

/// A valid event log, with times in milliseconds: two jobs, one of them keyed; worker 1 drains at 1,000 ms; worker 2 starts at
/// 2,000 ms and gets its first job.
fn valid_log() -> Vec<(u64, Event)> {
    let up = |worker| endpoint(worker, Lifecycle::Up, 0);
    vec![
        (0, Event::Started { dispatcher: 0 }),
        (10, notified(0, 1, true, vec![up(0), up(1)])),
        (100, sent("a")),
        (101, reached(0, "a")),
        (102, executed("a", None)),
        (120, completed("a")),
        (121, answered("a")),
        (200, sent("b")),
        (201, reached(0, "b")),
        (202, executed("b", Some("key"))),
        (220, completed("b")),
        (221, answered("b")),
        (999, Event::EndpointChanged { generation: 2, endpoint: endpoint(1, Lifecycle::Draining, 0) }),
        (1_000, notified(0, 2, false, vec![endpoint(1, Lifecycle::Draining, 0)])),
        (1_440, reached(1, "c")),
        (1_999, Event::EndpointChanged { generation: 3, endpoint: endpoint(2, Lifecycle::Up, 77) }),
        (2_000, notified(0, 3, false, vec![endpoint(2, Lifecycle::Up, 77)])),
        (2_050, reached(2, "d")),
        (3_000, Event::Terminated { dispatcher: 0 }),
        (3_100, Event::Exited { dispatcher: 0, is_clean: true }),
    ]
}

fn findings(events: Vec<(u64, Event)>, rules: &AuditRules) -> Vec<Finding> {
    let mut entries: Vec<LoggedEvent> =
        events.into_iter().map(|(ms, event)| LoggedEvent { at: ms * MS, event }).collect();
    entries.sort_by_key(|entry| entry.at);
    audit(&entries, rules)
}

/// The findings in the valid log without the events at the times `removed`, and with the events `added`.
fn findings_with_changes(removed: &[u64], added: Vec<(u64, Event)>) -> Vec<Finding> {
    let events = valid_log().into_iter().filter(|(at, _)| !removed.contains(at)).chain(added).collect();
    findings(events, &AuditRules { answer_slack: Some(58 * MS), ..AuditRules::default() })
}

fn names(found: &[Finding]) -> Vec<String> {
    let name = |finding: &Finding| format!("{finding:?}").split([' ', '{']).next().unwrap_or("").to_owned();
    found.iter().map(name).collect()
}

/// A description of the change, the times of removed events, the added events, and the names of the expected findings.
type Case<'a> = (&'a str, &'a [u64], Vec<(u64, Event)>, &'a [&'a str]);

#[test]
#[allow(clippy::too_many_lines, reason = "one table of cases, read from top to bottom")]
fn finds_and_names_each_violation() {
    assert_eq!(findings_with_changes(&[], vec![]), []);
    let burst =
        |count: u64, from: u64| (0..count).map(move |n| (2_100 + n, reached(2, &format!("f{from}-{n}"))));
    // The budget is 4 x 0.38 x 4 x 1,500 ms / 20 ms = 456 jobs, plus 2 x sqrt(456) + 2 = 44 jobs for random variation.
    let over_budget = burst(505, 0).collect();
    let within_budget = burst(500, 0).collect();
    // Half of the jobs are from a dispatcher that was not notified of the start: less than two thirds of the work is from
    // notified ones.
    let (first, second) = (burst(300, 0), burst(300, 1));
    let from_unnotified = |(at, event): (u64, Event)| match event {
        Event::Reached { worker, id, work, .. } => (at, Event::Reached { dispatcher: 9, worker, id, work }),
        event => (at, event),
    };
    let half_unnotified = first.map(from_unnotified).chain(second).collect();
    let unanswered = || Event::Unanswered { dispatcher: 0, id: "a".into() };
    let restarted = (90, Event::Started { dispatcher: 0 });
    let killed = |at| (at, Event::Killed { dispatcher: 0 });
    let paused = |at, is_paused| (at, Event::Paused { dispatcher: 0, is_paused });
    let table: Vec<Case> = vec![
        ("sent 460 ms after the notification", &[], vec![(1_460, reached(1, "e"))], &["LateSend"]),
        (
            "up again before the job is sent",
            &[],
            vec![
                (1_100, notified(0, 3, false, vec![endpoint(1, Lifecycle::Up, 0)])),
                (1_460, reached(1, "e")),
            ],
            &[],
        ),
        (
            "restarted process without a notification",
            &[],
            vec![(1_200, Event::Started { dispatcher: 0 }), (1_460, reached(1, "e"))],
            &[],
        ),
        (
            "notified during a pause, and known only after it",
            &[],
            vec![paused(990, true), paused(1_300, false), (1_460, reached(1, "e"))],
            &[],
        ),
        (
            "removed by a full list",
            &[1_000],
            vec![
                (1_000, notified(0, 2, true, vec![endpoint(0, Lifecycle::Up, 0)])),
                (1_460, reached(1, "e")),
            ],
            &["LateSend"],
        ),
        ("no reply", &[121], vec![(400, unanswered())], &["NeverAnswered"]),
        ("no reply and no event of the client", &[121], vec![], &["NeverAnswered"]),
        ("killed before the reply", &[121, 3_000, 3_100], vec![killed(130), (140, unanswered())], &[]),
        ("sent to a killed process", &[121, 3_000, 3_100], vec![killed(90), (140, unanswered())], &[]),
        (
            "sent after a kill and a restart",
            &[121],
            vec![killed(80), restarted, (140, unanswered())],
            &["NeverAnswered"],
        ),
        ("two replies", &[], vec![(130, answered("a"))], &["AnsweredTwice"]),
        (
            "bytes without a request",
            &[],
            vec![(130, Event::UnexpectedBytes { dispatcher: 0, id: "a".into() })],
            &["AnsweredTwice"],
        ),
        ("a result that no worker reported", &[120], vec![], &["UnknownResult"]),
        (
            "another job's result",
            &[121],
            vec![(
                121,
                Event::Answered { dispatcher: 0, id: "a".into(), status: 200, body: "b by w0".into() },
            )],
            &["UnknownResult"],
        ),
        ("answered 100 ms late", &[121], vec![(700, answered("a"))], &["AnsweredLate"]),
        ("a key that was executed again", &[], vec![(230, executed("b2", Some("key")))], &["ExecutedTwice"]),
        (
            "a datagram of 257 bytes",
            &[],
            vec![(500, Event::LongDatagram { dispatcher: 0, length: 257 })],
            &["LongDatagram"],
        ),
        ("work over the budget of a worker that is warming up", &[], over_budget, &["WarmUpExceeded"]),
        ("work within the budget of a worker that is warming up", &[], within_budget, &[]),
        ("work over the budget, too much of it from unnotified dispatchers", &[], half_unnotified, &[]),
        ("exited without a request", &[3_000], vec![], &["Crashed"]),
        (
            "exited with an error",
            &[3_100],
            vec![(3_100, Event::Exited { dispatcher: 0, is_clean: false })],
            &["Crashed"],
        ),
    ];
    for (description, removed, added, expected) in table {
        assert_eq!(names(&findings_with_changes(removed, added)), expected, "{description}");
    }
}

/// With `assume_notified_after`, a change counts as notified after that time, even if it was never written to the dispatcher.
#[test]
fn change_that_never_arrived_counts_as_notified() {
    let names_if_sent_at = |at| {
        let without_notification =
            valid_log().into_iter().filter(|(at, _)| *at != 1_000).chain([(at, reached(1, "e"))]);
        let rules = AuditRules { assume_notified_after: Some(6_000 * MS), ..AuditRules::default() };
        names(&findings(without_notification.collect(), &rules))
    };
    assert_eq!(names_if_sent_at(7_440), Vec::<String>::new());
    assert_eq!(names_if_sent_at(7_460), ["LateSend"]);
}
