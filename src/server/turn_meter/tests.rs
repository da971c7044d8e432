use super::*;

/// The longest turn is kept with what held it, and waiting belongs to no turn.
#[test]
fn the_longest_turn_is_kept_with_what_held_it() {
    assert!(ALL_ACTIVITIES.iter().enumerate().all(|(number, activity)| number == *activity as usize));
    let mut meter = TurnMeter::default();
    for (start, discovery) in [(1_000, 50), (900_000, 5_000), (2_000_000, 70)] {
        meter.skip_to(start);
        meter.spend(Activity::Discovery, start + discovery);
        meter.spend(Activity::Clients, start + discovery + 100);
        meter.spend(Activity::Core, start + discovery + 1_100);
        meter.finish_turn();
    }
    assert_eq!(meter.to_string(), "longest_us=6100 Core=1000 Discovery=5000");
}
