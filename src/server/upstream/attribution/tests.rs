use super::Attribution;
use crate::policy::interface::Micros;

const WINDOW: Micros = 250;

/// A row: when each exchange starts and its response is read, the response's status, and whether the connection then rests.
type Exchange = (Micros, Micros, u16, bool);

#[test]
fn rests_after_uncertain_response_and_after_failure() {
    let cases: [&[Exchange]; 6] = [
        // The second 202 may be a copy of the first; the third exchange starts when no copy can arrive any more.
        &[(0, 2, 202, false), (3, 5, 202, true), (255, 257, 202, false)],
        &[(0, 2, 202, false), (252, 260, 202, false)],
        &[(0, 2, 202, false), (3, 5, 204, true)],
        &[(0, 2, 503, true), (252, 254, 202, false), (255, 257, 202, true)],
        &[(0, 2, 202, false), (3, 5, 503, true)],
        &[(0, 2, 404, true)],
    ];
    for case in cases {
        let mut attribution = Attribution::default();
        for &(starts_at, read_at, status, rests) in case {
            assert!(attribution.rested_at() <= starts_at, "{case:?}: the connection rests at {starts_at}");
            attribution.on_exchange_started(starts_at);
            attribution.on_response(status, read_at, WINDOW);
            assert_eq!(
                attribution.rested_at() == read_at + WINDOW,
                rests,
                "{case:?}: after {status} at {read_at}"
            );
        }
    }
}

#[test]
fn adopted_connection_is_usable_but_not_settled() {
    let mut attribution = Attribution::adopted(10, WINDOW);
    assert_eq!((attribution.rested_at(), attribution.settled_at()), (0, 10 + WINDOW));
    attribution.on_exchange_started(11);
    assert!(attribution.is_uncertain());
    attribution.on_exchange_started(10 + WINDOW);
    assert!(!attribution.is_uncertain());
}
