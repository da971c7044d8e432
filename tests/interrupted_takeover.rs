//! A takeover whose system calls are interrupted.

use mothproxy_testkit::*;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A process that is killed at the end of the test.
struct Successor(Child);

impl Successor {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.0.id() as i32).expect("no process id");
        kill_process(pid, signal).expect("cannot send the signal");
    }

    fn wait_for_state(&self, states: &str) {
        let stat = format!("/proc/{}/stat", self.0.id());
        wait_until(&format!("the successor is in one of the states {states}"), || {
            let text = std::fs::read_to_string(&stat).unwrap_or_default();
            let state = text.rsplit_once(") ").and_then(|(_, rest)| rest.chars().next());
            state.is_some_and(|state| states.contains(state))
        });
    }
}

impl Drop for Successor {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A successor that is stopped and continued while it waits for its predecessor's answer takes over all the same. The wait ends
/// with `EINTR` then, which used to count as a refusal: the successor ended, since its address was in use.
#[test]
fn a_successor_that_is_interrupted_takes_over() {
    const WAIT_IN_CALL: Duration = Duration::from_millis(150);
    let worker = FakeWorker::start("s-1");
    let temp_dir = tempfile::tempdir().expect("cannot create the temporary directory");
    let predecessor =
        DispatcherProcess::builder(std::slice::from_ref(&worker)).temp_dir(temp_dir.path()).start();
    let mut config = predecessor.config.clone();
    config["listen"] = json!(predecessor.platform.to_string());
    let file = temp_dir.path().join("successor.json");
    std::fs::write(&file, config.to_string()).expect("cannot write the configuration");
    predecessor.suspend();
    let child = Command::new(program_path())
        .env("TMPDIR", temp_dir.path())
        .env("GW_CONFIG", &file)
        .env_remove("GW_DISCOVERY")
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot start the program");
    let mut successor = Successor(child);
    let log = BufReader::new(successor.0.stderr.take().expect("standard error is not piped"));
    std::thread::sleep(WAIT_IN_CALL);
    successor.wait_for_state("S");
    for _ in 0..3 {
        successor.signal(Signal::STOP);
        successor.wait_for_state("T");
        successor.signal(Signal::CONT);
        std::thread::sleep(WAIT_IN_CALL / 3);
    }
    predecessor.resume();
    let line = log.lines().map_while(Result::ok).find(|line| line.starts_with("hot restart: "));
    assert!(line.as_deref().is_some_and(|line| line.starts_with("hot restart: taking over")), "{line:?}");
}
