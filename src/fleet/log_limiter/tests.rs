use super::{LogLimiter, MAX_BURST, REFILL_INTERVAL};

#[test]
fn admits_a_burst_and_counts_what_it_suppresses() {
    let mut limiter = LogLimiter::new(0);
    for _ in 0..MAX_BURST {
        assert_eq!(limiter.admit(0), Some(0));
    }
    assert_eq!(limiter.admit(0), None);
    assert_eq!(limiter.admit(REFILL_INTERVAL - 1), None);
    assert_eq!(limiter.admit(REFILL_INTERVAL), Some(2), "the admitted line reports both suppressed ones");
    assert_eq!(limiter.admit(REFILL_INTERVAL), None, "one line per interval");
}

#[test]
fn refills_to_one_burst_at_most() {
    let mut limiter = LogLimiter::new(0);
    let later = 1_000 * REFILL_INTERVAL;
    let admitted = (0..2 * MAX_BURST).filter(|_| limiter.admit(later).is_some()).count() as u64;
    assert_eq!(admitted, MAX_BURST);
}
