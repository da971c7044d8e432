use super::TimerSlot;
use crate::core::{Command, Core, TimerToken};

const TOKEN: TimerToken = TimerToken(7);

/// The tokens of the timers that fire until a time.
fn fired(core: &mut Core, until: u64) -> Vec<TimerToken> {
    core.turn(until);
    let commands = std::iter::from_fn(|| core.next_command());
    commands
        .filter_map(|command| match command {
            Command::TimerFired(token) => Some(token),
            _ => None,
        })
        .collect()
}

#[test]
fn a_slot_fires_once_at_the_time_that_was_set_last() {
    let mut core = Core::new(Default::default(), Default::default(), 1, 0).expect("default settings");
    let start = Core::clock_start();
    let mut slot = TimerSlot::new(TOKEN);
    slot.set(&mut core, Some(start + 10));
    slot.set(&mut core, Some(start + 20));
    slot.set(&mut core, Some(start + 20));
    assert!(slot.is_set());
    assert!(fired(&mut core, start + 15).is_empty(), "the former time is void");
    assert_eq!(fired(&mut core, start + 30), [TOKEN]);
    slot.on_fired();
    assert!(!slot.is_set());
    slot.set(&mut core, Some(start + 40));
    slot.set(&mut core, None);
    assert!(fired(&mut core, start + 50).is_empty(), "it was cancelled");
}
