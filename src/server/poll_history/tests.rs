use super::*;

/// A poll that found events waiting.
fn poll(began: Micros, ended: Micros) -> Wait {
    Wait { had_to_wait: false, began, ended, timeout: MAX_WAIT, is_partial: false }
}

/// A poll that found nothing and waited.
fn wait(began: Micros, ended: Micros) -> Wait {
    Wait { had_to_wait: true, ..poll(began, ended) }
}

/// The time of an arrival is that of the event only if the process slept until it.
#[test]
fn arrivals_count_from_the_last_time_when_nothing_had_arrived() {
    let mut polls = PollHistory::new(1_000);
    polls.record(poll(2_000, 2_010));
    assert_eq!(polls.earliest_arrival(), 1_000, "events waited when the poll began");
    polls.record(poll(300_000, 320_000));
    assert_eq!(polls.earliest_arrival(), 2_000, "events waited for the turn, though the poll was held up");
    polls.record(wait(321_000, 340_000));
    assert_eq!(polls.earliest_arrival(), 340_000, "the process slept until the event");
    polls.record(wait(341_000, 900_000));
    assert_eq!(polls.earliest_arrival(), 340_000, "the process was held up in the wait");
    assert_eq!(polls.earliest_unreported(), 341_000);
}

/// What a poll has left out may have waited since before that poll.
#[test]
fn events_left_out_of_a_poll_count_from_before_it() {
    let mut polls = PollHistory::new(0);
    polls.record(wait(1_000, 1_500));
    polls.record(Wait { is_partial: true, ..poll(60_000, 60_010) });
    assert!(polls.is_old(60_020));
    polls.record(poll(70_000, 70_010));
    assert_eq!(polls.earliest_arrival(), 1_500);
    assert!(!polls.is_old(70_010 + MAX_POLL_AGE));
    assert!(polls.is_old(70_011 + MAX_POLL_AGE));
}

/// A poll between two turns, after which requests still wait, does not make them younger. It used to.
#[test]
fn a_refresh_does_not_make_waiting_requests_younger() {
    let mut polls = PollHistory::new(0);
    polls.record(wait(1_000, 1_500));
    polls.record_refresh(200_000, false);
    assert!(!polls.is_old(200_010));
    polls.record(poll(200_100, 200_110));
    assert_eq!(polls.earliest_arrival(), 1_500);
}
