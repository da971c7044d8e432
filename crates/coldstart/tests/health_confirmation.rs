//! Limits on trials of the unconfirmed workers of an old endpoint list.

use mothproxy_coldstart::{Admission, Fault, HealthConfirmation, Observation, SharedObservations};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const UNIX_AT_ZERO: u64 = 1_764_633_600 * SECOND;

#[test]
fn unconfirmed_workers_are_tried_few_at_a_time() {
    let (mut confirmation, mut now) = (HealthConfirmation::new(0..200, 3, 10), 0);
    let (mut tried, mut max_trials) = (0, 0);
    let mut under_way = Vec::new();
    while tried < 200 {
        now += 10 * MS;
        for tag in 0..200 {
            if confirmation.admission(tag, None, now) == Admission::Trial {
                confirmation.begin_trial(tag);
                under_way.push(tag);
                tried += 1;
            }
        }
        max_trials = max_trials.max(confirmation.trials());
        under_way.drain(..).for_each(|tag| confirmation.on_result(tag, false, now));
        assert!(now < 10 * SECOND, "only {tried} of 200 dead workers were tried within 10 s");
    }
    assert!(max_trials <= 32 && confirmation.trials() == 0 && confirmation.unconfirmed() == 200);
    let mut observations = SharedObservations::new(0, UNIX_AT_ZERO, 0);
    observations.record(now, 7, Observation::Alive);
    observations.record(now, 8, Observation::Fault(Fault::Hangs));
    let admission_of =
        |tag: u64| confirmation.admission(tag, observations.worker_status(tag, now).as_ref(), now);
    assert_eq!(
        (admission_of(7), admission_of(8), admission_of(300)),
        (Admission::Unrestricted, Admission::Refused, Admission::Unrestricted)
    );
    confirmation.on_listed(9);
    assert_eq!(confirmation.admission(9, None, now), Admission::Unrestricted);
}
