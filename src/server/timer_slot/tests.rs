use super::TimerSlot;
use crate::core::{Command, Core, TimerToken};

const TOKEN: TimerToken = TimerToken(7);

/// Runs the core until a time, and returns the tokens of the timers that fired.
fn run_until(core: &mut Core, time: u64) -> Vec<TimerToken> {
    core.turn(time);
    let commands = std::iter::from_fn(|| core.next_command());
    commands
        .filter_map(|command| match command {
            Command::TimerFired(token) => Some(token),
            _ => None,
        })
        .collect()
}

#[test]
fn fires_once_at_time_set_last() {
    let mut core = Core::new(Default::default(), Default::default(), 1, 0).expect("default settings");
    let start = Core::clock_start();
    let mut slot = TimerSlot::new(TOKEN);
    slot.set(&mut core, Some(start + 10));
    slot.set(&mut core, Some(start + 20));
    slot.set(&mut core, Some(start + 20));
    assert!(slot.is_set());
    assert!(run_until(&mut core, start + 15).is_empty(), "the timer fired at a replaced time");
    assert_eq!(run_until(&mut core, start + 30), [TOKEN]);
    slot.on_fired();
    assert!(!slot.is_set());
    slot.set(&mut core, Some(start + 40));
    slot.set(&mut core, None);
    assert!(run_until(&mut core, start + 50).is_empty(), "the cancelled timer fired");
}
