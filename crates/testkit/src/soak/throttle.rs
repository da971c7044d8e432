//! Grants processes a part of a core: they are stopped and continued in short turns.

use rustix::process::{Pid, Signal, kill_process};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The length of a turn, in which each process runs once and is stopped once.
const TURN: Duration = Duration::from_millis(20);

/// The processes that get a part of a core.
#[derive(Debug, Default)]
pub(super) struct Throttle {
    pids: Mutex<Vec<i32>>,
    is_stopped: AtomicBool,
}

impl Throttle {
    /// Adds a process.
    pub(super) fn add(&self, pid: u32) {
        self.pids.lock().expect("mutex poisoned").push(pid as i32);
    }

    /// Removes a process before it is reaped, and lets it run.
    pub(super) fn remove(&self, pid: u32) {
        let mut pids = self.pids.lock().expect("mutex poisoned");
        pids.retain(|other| *other != pid as i32);
        signal(pid as i32, Signal::CONT);
    }

    /// Stops and continues the processes until [`Throttle::stop`] is called. They run for `share` of the time.
    pub(super) fn run(&self, share: f64) {
        let running = TURN.mul_f64(share);
        while !self.is_stopped.load(Ordering::Relaxed) {
            let begun = Instant::now();
            self.signal_all(Signal::CONT);
            std::thread::sleep(running.saturating_sub(begun.elapsed()));
            self.signal_all(Signal::STOP);
            std::thread::sleep(TURN.saturating_sub(begun.elapsed()));
        }
        self.signal_all(Signal::CONT);
    }

    /// Ends the turns.
    pub(super) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    fn signal_all(&self, which: Signal) {
        let pids = self.pids.lock().expect("mutex poisoned");
        pids.iter().for_each(|pid| signal(*pid, which));
    }
}

fn signal(pid: i32, which: Signal) {
    if let Some(pid) = Pid::from_raw(pid) {
        let _ = kill_process(pid, which); // the process may have ended
    }
}
