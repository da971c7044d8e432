//! Many dispatchers that call one slow discovery service.

use crate::calls::{
    CallOutcome, MOVED_NOTIFICATION_DEADLINE, NOTIFICATION_DEADLINE, Simulation, settings_for,
};
use crate::lists::scenario::{AbandonedCallCost, MS, RunConfig, Scenario};
use crate::lists::simulation::run;
use mothproxy::Micros;
use mothproxy::core::watch_liveness::WatchFailure;

/// The number of dispatchers, and the service's time for each call.
#[derive(Clone, Copy)]
struct Load {
    callers: u32,
    call_ms: u64,
}

impl Load {
    /// The service's time for one call of each dispatcher, in microseconds.
    fn service_time(self) -> Micros {
        u64::from(self.callers) * self.call_ms * MS
    }
}

/// Guards against calls that are given up although the service answers them in time: a service that takes up to 2.8 s for an
/// answer was called four times in 6 s after a move, each time for 1.5 s, and jobs went to a draining worker past its grace.
#[test]
fn a_slow_answer_is_awaited_while_it_can_arrive_in_time() {
    for dispatchers in 1..=300 {
        for seed in 0..20 {
            let mut moved = Simulation::new(settings_for(dispatchers), seed);
            moved.call(CallOutcome::List(0));
            let deadline = moved.now + MOVED_NOTIFICATION_DEADLINE;
            moved.now = moved.move_discovery();
            let latency = (deadline - 1_100 * MS).saturating_sub(moved.now).min(2_800 * MS);
            assert_eq!(moved.call(CallOutcome::List(latency)), None, "{dispatchers} dispatchers, a move");

            let mut silent = Simulation::new(settings_for(dispatchers), seed);
            silent.call(CallOutcome::List(0));
            let deadline = silent.now + NOTIFICATION_DEADLINE;
            silent.now = silent.fail(silent.now + 2_500 * MS, WatchFailure::Silent);
            let latency = (deadline - 1_100 * MS).saturating_sub(silent.now);
            assert_eq!(silent.call(CallOutcome::List(latency)), None, "{dispatchers} dispatchers, a silence");
        }
    }
}

/// How the service handles waiting calls.
#[derive(Clone, Copy)]
struct Queue {
    max_wait_ms: u64,
    abandoned_call_cost: AbandonedCallCost,
}

fn run_config(scenario: Scenario, load: Load, queue: Queue) -> RunConfig {
    RunConfig {
        scenario,
        callers: load.callers,
        call_time: load.call_ms * MS,
        max_wait: queue.max_wait_ms * MS,
        abandoned_call_cost: queue.abandoned_call_cost,
        seed: 11,
    }
}

/// Asserts that a run with many callers has an outcome close to what the service's own time allows.
fn assert_served_as_the_service_allows(config: RunConfig, load: Load, queue: Queue) {
    let outcome = run(config);
    // A whole list takes twice the time of a call.
    let service_time = load.service_time() * 2;
    // With a maximum wait of 6 s, a call times out at the caller before the service handles it, and loses its place in the queue.
    let loses_places = queue.max_wait_ms > 4_500;
    let has_short_deadline = matches!(config.scenario, Scenario::Silent | Scenario::Moved);
    let max_wasted = if loses_places { 2 } else { 1 };
    let late_divisor = match (loses_places, has_short_deadline) {
        (true, _) => 2,
        (false, true) => 3,
        (false, false) => 4,
    };
    let is_served = outcome.never == 0 && outcome.max <= 4 * service_time;
    assert!(is_served && outcome.wasted <= max_wasted * service_time, "{config:?}: {outcome:?}");
    let max_late = match config.scenario {
        Scenario::Restarts => config.callers,
        _ => outcome.beyond_capacity + config.callers / late_divisor,
    };
    assert!(outcome.late <= max_late && outcome.calls <= 10 * config.callers, "{config:?}: {outcome:?}");
}

/// Hundreds of dispatchers call a service that cannot answer all of them within the 6 s. As many as it can answer are notified in
/// time, the last one not long after the service's own time for all, and little of that time is spent on calls that nobody reads.
#[test]
fn hundreds_of_callers_are_all_served_by_a_slow_service() {
    let loads = [
        Load { callers: 300, call_ms: 20 },
        Load { callers: 350, call_ms: 50 },
        Load { callers: 1_024, call_ms: 20 },
    ];
    let queues = [
        Queue { max_wait_ms: 500, abandoned_call_cost: AbandonedCallCost::Gone },
        Queue { max_wait_ms: 2_500, abandoned_call_cost: AbandonedCallCost::Gone },
        Queue { max_wait_ms: 6_000, abandoned_call_cost: AbandonedCallCost::Gone },
        Queue { max_wait_ms: 3_000, abandoned_call_cost: AbandonedCallCost::Nothing },
    ];
    for scenario in Scenario::ALL {
        for load in loads {
            for queue in queues {
                assert_served_as_the_service_allows(run_config(scenario, load, queue), load, queue);
            }
        }
    }
}

/// A few dispatchers are enough to overload a very slow service. In one deployment a service took 0.2 s for a call and let calls
/// wait for 3 s. The calls of the dispatchers timed out after 1.5 s each, so that the service was busy with responses that nobody
/// read, and some dispatchers were never notified.
#[test]
fn a_few_callers_are_all_served_by_a_very_slow_service() {
    let loads = [
        Load { callers: 5, call_ms: 500 },
        Load { callers: 10, call_ms: 250 },
        Load { callers: 10, call_ms: 400 },
    ];
    let queue = Queue { max_wait_ms: 3_000, abandoned_call_cost: AbandonedCallCost::Gone };
    for scenario in Scenario::ALL {
        for load in loads {
            let config = run_config(scenario, load, queue);
            let outcome = run(config);
            let is_served = outcome.never == 0 && outcome.max <= 6 * load.service_time();
            assert!(is_served && outcome.calls <= 10 * load.callers, "{config:?}: {outcome:?}");
        }
    }
}
