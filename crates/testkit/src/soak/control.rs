//! What is done to the processes: reloads, stops, kills, pauses and hot restarts, in series.

use super::MICROS_PER_MS;
use super::process::{Process, ProcessState, report_crash, write_config};
use super::run::Shared;
use rustix::process::Signal;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The longest deadline that counts for the time of SIGKILL, in milliseconds.
const MAX_COUNTED_DEADLINE_MS: u64 = 3_000;
/// SIGKILL comes no sooner after SIGTERM than the longest deadline and this.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// New connections arrive for so long after SIGTERM.
const ARRIVALS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// The longest time for which a process is held up.
const MAX_PAUSE_MS: u64 = 150;
const RESTART_DELAY: Duration = Duration::from_millis(150);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Keeps a process running, and disturbs it, until the run ends; then ends it.
pub(super) fn run(shared: &Arc<Shared>, number: usize) {
    let mut random = fastrand::Rng::with_seed(shared.plan.seed ^ 0x5160 ^ ((number as u64) << 40));
    let Some(mut process) = start(shared, number) else { return };
    while !shared.is_over.load(Ordering::Relaxed) {
        let pause = if shared.plan.has_signals { random.u64(300..2_500) } else { 200 };
        sleep_unless_over(shared, Duration::from_millis(pause));
        if shared.is_over.load(Ordering::Relaxed) {
            break;
        }
        if process.has_ended() {
            report_crash(&shared.report, shared.now(), number, "ended by itself");
            shared.throttle.remove(process.child.id());
            match start(shared, number) {
                Some(next) => process = next,
                None => return,
            }
            continue;
        }
        if shared.plan.has_signals {
            match disturb(shared, &mut random, process) {
                Some(next) => process = next,
                None => return,
            }
        }
    }
    terminate(shared, &mut process);
}

fn start(shared: &Arc<Shared>, number: usize) -> Option<Process> {
    shared.discovery.on_process_started(number);
    shared.replace_state(number, Arc::new(ProcessState::default()));
    let mut process = match Process::start(shared, number) {
        Ok(process) => process,
        Err(error) => {
            report_crash(&shared.report, shared.now(), number, &format!("did not start: {error}"));
            return None;
        }
    };
    if !process.wait_until_ready(shared) {
        report_crash(&shared.report, shared.now(), number, "was not ready");
        process.kill(shared);
        return None;
    }
    shared.state(number).is_open.store(true, Ordering::SeqCst);
    shared.report.count("starts", 1);
    Some(process)
}

/// Does one thing to a process. Returns the process that serves then.
fn disturb(shared: &Arc<Shared>, random: &mut fastrand::Rng, mut process: Process) -> Option<Process> {
    let number = process.number;
    match random.u32(..10) {
        0..3 => {
            for _ in 0..random.u32(1..4) {
                let _ = write_config(shared, number);
                process.signal(Signal::HUP);
                std::thread::sleep(Duration::from_millis(random.u64(1..60)));
            }
            shared.report.count("reloads", 1);
        }
        3..6 => {
            terminate(shared, &mut process);
            std::thread::sleep(RESTART_DELAY);
            return start(shared, number);
        }
        6 => {
            shared.state(number).is_killed.store(true, Ordering::SeqCst);
            process.kill(shared);
            shared.report.count("kills", 1);
            std::thread::sleep(RESTART_DELAY);
            return start(shared, number);
        }
        7 => {
            process.signal(Signal::STOP);
            std::thread::sleep(Duration::from_millis(random.u64(20..MAX_PAUSE_MS)));
            process.signal(Signal::CONT);
            shared.report.count("pauses", 1);
        }
        _ if shared.plan.has_hot_restarts => return hot_restart(shared, process),
        _ => {}
    }
    Some(process)
}

/// Starts a successor, and ends the predecessor once the successor serves.
fn hot_restart(shared: &Arc<Shared>, mut predecessor: Process) -> Option<Process> {
    let successor = Process::start(shared, predecessor.number).ok()?;
    shared.report.count("hot_restarts", 1);
    std::thread::sleep(Duration::from_millis(400).div_f64(shared.plan.share.sqrt()));
    predecessor.signal(Signal::TERM);
    let killed_at = Instant::now() + kill_delay(shared);
    while !predecessor.has_ended() && Instant::now() < killed_at {
        std::thread::sleep(POLL_INTERVAL);
    }
    if !predecessor.has_ended() {
        shared.state(predecessor.number).is_killed.store(true, Ordering::SeqCst);
        shared.report.count("predecessors_killed", 1);
    }
    predecessor.kill(shared);
    Some(successor)
}

/// Sends SIGTERM, and SIGKILL as early as it may come.
fn terminate(shared: &Shared, process: &mut Process) {
    let state = shared.state(process.number);
    let begun = Instant::now();
    state.terminated_at.store(shared.now().max(1), Ordering::SeqCst);
    process.signal(Signal::TERM);
    shared.report.count("stops", 1);
    while begun.elapsed() < ARRIVALS_AFTER_SIGTERM && !process.has_ended() {
        std::thread::sleep(POLL_INTERVAL);
    }
    state.is_open.store(false, Ordering::SeqCst);
    while begun.elapsed() < kill_delay(shared) && !process.has_ended() {
        std::thread::sleep(POLL_INTERVAL);
    }
    if !process.has_ended() {
        state.is_killed.store(true, Ordering::SeqCst);
        shared.report.count("killed_after_stop", 1);
    }
    let ended_after = begun.elapsed().as_micros() as u64 / MICROS_PER_MS;
    shared.report.raise("longest_stop_ms", ended_after);
    process.kill(shared);
}

fn kill_delay(shared: &Shared) -> Duration {
    Duration::from_millis(shared.plan.deadline_ms.min(MAX_COUNTED_DEADLINE_MS)) + KILL_MARGIN
}

fn sleep_unless_over(shared: &Shared, duration: Duration) {
    let until = Instant::now() + duration;
    while Instant::now() < until && !shared.is_over.load(Ordering::Relaxed) {
        std::thread::sleep(POLL_INTERVAL);
    }
}
