//! The processes of the program: start, signals, log.

use super::report::{Report, Rule};
use super::run::Shared;
use super::worker::report_broken_invariants;
use crate::{program_path, site};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The time within which a process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a single call for readiness may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// What clients and workers may know of a process.
#[derive(Debug, Default)]
pub(super) struct ProcessState {
    /// Whether clients may open connections.
    pub is_open: AtomicBool,
    /// When the last SIGTERM was sent; 0 if the process was not told to end.
    pub terminated_at: AtomicU64,
    /// Whether SIGKILL has been sent, so that answers may be missing.
    pub is_killed: AtomicBool,
}

/// A running process.
pub(super) struct Process {
    pub child: Child,
    pub number: usize,
}

/// The settings and addresses of a process.
pub(super) fn configuration(shared: &Shared, number: usize, discovery: &str) -> Value {
    let plan = &shared.plan;
    let mut config = site::config(&shared.listen[number].to_string(), discovery, json!([]));
    config["name"] = json!(format!("n{number}"));
    config["known"] = shared.discovery.whole_list();
    config["seed"] = json!(format!("{:016x}", plan.seed.wrapping_add(number as u64 + 1)));
    let settings = &mut config["settings"];
    settings["Me"] = json!(number);
    settings["Siblings"] = json!(plan.siblings);
    let deadline = plan.deadline_ms as f64;
    settings["Grades"][0]["DeadlineMs"] = json!(deadline);
    settings["Grades"][1]["DeadlineMs"] = json!(deadline);
    settings["Grades"][1]["TargetMs"] = json!(deadline / 2.0);
    let unsafe_class = json!({"Name": "transfer", "Semantics": "side_effect", "TargetMs": 250.0, "DeadlineMs": deadline,
                              "Points": 5.0, "LateWorth": 1.0});
    if let Some(classes) = settings["Grades"].as_array_mut() {
        classes.push(unsafe_class);
    }
    settings["Domain"]["ClassStretch"] = json!([2.0, 2.5, 2.0]);
    if plan.siblings > 1 {
        settings["Limits"]["Peers"] = json!(true);
        settings["Limits"]["Probing"] = json!(true);
        config["peer_listen"] = json!(shared.peers[number].to_string());
        let peer = |place: usize| match shared.peers.get(place) {
            Some(address) => json!(address.to_string()),
            None => json!(format!("127.9.{}.{}:9", place / 250, place % 250 + 1)),
        };
        config["peers"] = (0..plan.siblings).map(peer).collect();
    }
    config
}

/// The folder and configuration file of a process.
pub(super) fn config_file(shared: &Shared, number: usize) -> PathBuf {
    shared.folder.join(number.to_string()).join("config.json")
}

/// Writes the configuration of a process.
pub(super) fn write_config(shared: &Shared, number: usize) -> std::io::Result<()> {
    let config = configuration(shared, number, &shared.discovery_addresses[number].to_string());
    let file = config_file(shared, number);
    let fresh = file.with_extension("new");
    std::fs::write(&fresh, config.to_string())?;
    std::fs::rename(fresh, file)
}

impl Process {
    /// Starts a process. `known` in its configuration is the list as it is now.
    pub(super) fn start(shared: &Arc<Shared>, number: usize) -> std::io::Result<Process> {
        write_config(shared, number)?;
        let folder = shared.folder.join(number.to_string());
        let mut child = Command::new(program_path())
            .env_remove("GW_NAME")
            .env_remove("GW_LISTEN")
            .env_remove("GW_ADMIN_ADDR")
            .env_remove("GW_DISCOVERY")
            .env("TMPDIR", &folder)
            .env("GW_CONFIG", config_file(shared, number))
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        let log = child.stderr.take();
        let shared_log = shared.clone();
        std::thread::spawn(move || {
            if let Some(log) = log {
                BufReader::new(log)
                    .lines()
                    .map_while(Result::ok)
                    .for_each(|line| read_line(&shared_log, number, &line));
            }
        });
        if shared.plan.share < 1.0 {
            shared.throttle.add(child.id());
        }
        Ok(Process { child, number })
    }

    /// Waits until the process answers that it is ready.
    pub(super) fn wait_until_ready(&mut self, shared: &Shared) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < READY_TIMEOUT {
            if is_ready(shared.listen[self.number]) {
                return true;
            }
            if !matches!(self.child.try_wait(), Ok(None)) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a signal.
    pub(super) fn signal(&self, which: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, which);
        }
    }

    /// Whether the process has ended.
    pub(super) fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits for its end.
    pub(super) fn kill(&mut self, shared: &Shared) {
        shared.throttle.remove(self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Whether a dispatcher answers that it is ready.
fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, PROBE_TIMEOUT) else { return false };
    let request = "GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
    let mut reply = Vec::new();
    let _ = stream.set_read_timeout(Some(PROBE_TIMEOUT));
    let is_read = stream.write_all(request.as_bytes()).is_ok() && stream.read_to_end(&mut reply).is_ok();
    is_read && reply.starts_with(b"HTTP/1.1 200")
}

/// Reads a line of a process's log: counters that the run reports, and panics.
fn read_line(shared: &Shared, number: usize, line: &str) {
    if let Some(folder) = &shared.log_folder {
        let file =
            std::fs::File::options().create(true).append(true).open(folder.join(format!("n{number}.log")));
        if let Ok(mut file) = file {
            let _ = writeln!(file, "{:>9.3} {line}", shared.now() as f64 / 1e6);
        }
    }
    if line.contains("panicked") || line.contains("broken invariant") {
        shared.report.find(shared.now(), Rule::Crash, format!("n{number}: {line}"));
    }
    if let Some(figures) = line.strip_prefix("figures ") {
        let broken = figures.split(' ').find_map(|part| part.strip_prefix("broken_invariants="));
        let broken = broken.and_then(|count| count.parse().ok()).unwrap_or(0);
        report_broken_invariants(&shared.report, shared.now(), number, broken);
    }
    if let Some(turns) = line.strip_prefix("turns ") {
        let longest = turns.split(' ').find_map(|part| part.strip_prefix("longest_us="));
        let longest = longest.and_then(|count| count.parse().ok()).unwrap_or(0);
        shared.report.raise("longest_turn_us", longest);
    }
}

/// Records that a process ended although nobody ended it.
pub(super) fn report_crash(report: &Report, at: super::Micros, number: usize, what: &str) {
    report.find(at, Rule::Crash, format!("n{number} {what}"));
}

impl ProcessState {
    /// Whether answers may be missing because the process was killed.
    pub(super) fn was_killed(&self) -> bool {
        self.is_killed.load(Ordering::SeqCst)
    }
}
