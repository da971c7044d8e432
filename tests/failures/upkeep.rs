//! Settings, timers and requests for the endpoint list.

use crate::TIME_BUDGET;
use crate::common::*;
use mothproxy::*;

/// A dispatcher without pushed lists requests the endpoint list within the poll interval, also after a failed request.
#[test]
fn requests_the_list_with_jitter_and_again_after_failure() {
    const POLL_INTERVAL: Micros = 10_000 * MS;
    let settings =
        Settings { list_on_request: true, max_poll_interval: Some(POLL_INTERVAL), ..Settings::default() };
    let mut dispatcher = TestDispatcher::new(settings);
    dispatcher.load_cached_list(vec![worker(0)]);
    assert!(dispatcher.advance(POLL_INTERVAL).contains(&Action::OpenWatch));
    dispatcher.feed(Event::ListFailed);
    assert!(dispatcher.advance(POLL_INTERVAL).contains(&Action::OpenWatch));
}

/// Inconsistent settings are refused with the reason.
#[test]
fn rejects_inconsistent_settings() {
    let error = |settings: Settings| Dispatcher::new(settings, 1).err();
    let base = Settings::default;
    assert_eq!(error(Settings { classes: vec![], ..base() }), Some(SettingsError::NoClasses));
    assert_eq!(
        error(Settings { own_place: 3, dispatcher_count: 3, ..base() }),
        Some(SettingsError::OwnPlaceOutOfRange)
    );
    assert_eq!(
        error(Settings { dispatcher_count: u32::MAX, ..base() }),
        Some(SettingsError::TooManyDispatchers)
    );
    assert_eq!(error(Settings { max_attempts: 0, ..base() }), Some(SettingsError::NoAttempts));
    let not_a_number = Settings { collapse_multiple: f64::NAN, ..base() };
    assert_eq!(error(not_a_number), Some(SettingsError::OutOfRange));
}

/// A job that waits for its start keeps few timers pending. When each review of an unstarted job set two timers, and each timer
/// caused another review, the number of timers grew without bound.
#[test]
fn a_waiting_job_does_not_multiply_its_timers() {
    let mut dispatcher = TestDispatcher::new(settings_with_start_reports());
    dispatcher.load_cached_list(workers(3));
    dispatcher.arrive(1, 0, TIME_BUDGET);
    dispatcher.advance(4_900 * MS);
    assert!(dispatcher.pending_timers() < 20, "{} timers are pending", dispatcher.pending_timers());
}
