use super::FullListState;

#[test]
fn a_needed_list_is_requested_once_and_retried_after_a_failure() {
    let mut state = FullListState::Known;
    assert!(!state.start_request(), "a known list is not requested");
    state.on_generation_reset();
    assert!(state.start_request());
    assert!(!state.start_request(), "one request is in progress");
    assert!(state.on_request_failed());
    assert!(!state.start_request(), "the retry waits for its timer");
    state.on_retry_timer();
    assert!(state.start_request());
}

#[test]
fn unrelated_events_do_not_change_the_state() {
    for state in [FullListState::Needed, FullListState::Requested, FullListState::RetryScheduled] {
        let mut after = state;
        after.on_generation_reset();
        assert_eq!(after, state, "a reset while a fetch is pending");
    }
    for state in [FullListState::Known, FullListState::Needed, FullListState::RetryScheduled] {
        let mut after = state;
        assert!(!after.on_request_failed());
        assert_eq!(after, state, "a failure of another call");
    }
    for state in [FullListState::Known, FullListState::Needed, FullListState::Requested] {
        let mut after = state;
        after.on_retry_timer();
        assert_eq!(after, state, "a timer of an earlier fetch");
    }
}
