//! One process of the program, with its directory, configuration, log and signals.

use super::FleetError;
use super::event_log::{Clock, Event, EventLog};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};

/// The maximum number of lines of a log; the oldest are dropped first.
const MAX_LOG_LINES: usize = 20_000;
/// The name of the configuration file in the process's directory.
pub(super) const CONFIG_FILE: &str = "config.json";
/// The name of the operators' settings file in the process's directory.
const SETTINGS_FILE: &str = "settings.txtpb";

/// A line of a process's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The time at which the line was read, in microseconds of the harness's clock.
    pub at: u64,
    /// The text without the line end.
    pub text: String,
}

/// A process that can be started repeatedly, at the same addresses and with the same directory.
pub(super) struct Process {
    number: usize,
    program: PathBuf,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    log: Arc<Mutex<VecDeque<LogLine>>>,
    clock: Clock,
    event_log: Arc<EventLog>,
}

impl Process {
    pub(super) fn new(
        number: usize,
        program: &Path,
        folder: PathBuf,
        event_log: Arc<EventLog>,
    ) -> Result<Process, FleetError> {
        let failed = |source| FleetError::File { path: folder.clone(), source };
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let program =
            program.canonicalize().map_err(|source| FleetError::File { path: program.to_owned(), source })?;
        let (child, log) = (Mutex::new(None), Arc::default());
        Ok(Process { number, program, folder, child, log, clock: event_log.clock, event_log })
    }

    /// The path of a file in the process's directory.
    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Replaces a file in the process's directory.
    pub(super) fn write(&self, name: &str, text: &str) -> Result<(), FleetError> {
        let (file, fresh) = (self.file(name), self.file(&format!("{name}.new")));
        let done = std::fs::write(&fresh, text).and_then(|()| std::fs::rename(&fresh, &file));
        done.map_err(|source| FleetError::File { path: file, source })
    }

    /// Starts the process with this configuration and, if given, this operators' settings file.
    pub(super) fn start(&self, config: &Value, settings: Option<&str>) -> Result<(), FleetError> {
        let mut running = self.child.lock().expect("mutex poisoned");
        if running.is_some() {
            return Err(FleetError::AlreadyRunning(self.number));
        }
        self.write(CONFIG_FILE, &config.to_string())?;
        if let Some(text) = settings {
            self.write(SETTINGS_FILE, text)?;
        }
        let mut command = self.command(settings.is_some());
        self.event_log.add(Event::Started { dispatcher: self.number });
        let mut child =
            command.spawn().map_err(|source| FleetError::Start { process: self.number, source })?;
        if let Some(stderr) = child.stderr.take() {
            self.follow_log(stderr);
        }
        *running = Some(child);
        Ok(())
    }

    fn command(&self, has_settings: bool) -> Command {
        let mut command = Command::new(&self.program);
        if has_settings {
            command.arg("--settings").arg(self.file(SETTINGS_FILE));
        }
        for name in ["GW_NAME", "GW_LISTEN", "GW_ADMIN_ADDR", "GW_DISCOVERY"] {
            command.env_remove(name);
        }
        // The process must find neither a settings file in the test's working directory nor another process's socket in `$TMPDIR`.
        command.current_dir(&self.folder).env("TMPDIR", &self.folder);
        command.env("GW_CONFIG", self.file(CONFIG_FILE)).stdin(Stdio::null());
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        command
    }

    /// Collects the log lines of a started process, on a separate thread.
    fn follow_log(&self, stderr: ChildStderr) {
        let (log, clock) = (self.log.clone(), self.clock);
        std::thread::spawn(move || {
            for text in BufReader::new(stderr).lines().map_while(Result::ok) {
                let mut log = log.lock().expect("mutex poisoned");
                if log.len() >= MAX_LOG_LINES {
                    log.pop_front();
                }
                log.push_back(LogLine { at: clock.now(), text });
            }
        });
    }

    fn signal(child: &Child, signal: Signal) {
        // The child has not been waited for yet, so its process id cannot have been reused.
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Logs an event and sends a signal, if the process runs.
    fn send(&self, signal: Signal, event: Event) {
        if let Some(child) = self.child.lock().expect("mutex poisoned").as_ref() {
            self.event_log.add(event);
            Process::signal(child, signal);
        }
    }

    pub(super) fn kill(&self) {
        let child = self.child.lock().expect("mutex poisoned").take();
        if let Some(mut child) = child {
            self.event_log.add(Event::Killed { dispatcher: self.number });
            Process::signal(&child, Signal::KILL);
            let _ = child.wait();
        }
    }

    pub(super) fn terminate(&self) {
        self.send(Signal::TERM, Event::Terminated { dispatcher: self.number });
    }

    pub(super) fn hang_up(&self) {
        if let Some(child) = self.child.lock().expect("mutex poisoned").as_ref() {
            Process::signal(child, Signal::HUP);
        }
    }

    pub(super) fn pause(&self) {
        self.send(Signal::STOP, Event::Paused { dispatcher: self.number, is_paused: true });
    }

    pub(super) fn resume(&self) {
        self.send(Signal::CONT, Event::Paused { dispatcher: self.number, is_paused: false });
    }

    /// Whether the process is running. Logs an event if it has exited by itself.
    pub(super) fn is_running(&self) -> bool {
        let mut running = self.child.lock().expect("mutex poisoned");
        let Some(child) = running.as_mut() else { return false };
        match child.try_wait() {
            Ok(None) => true,
            exited => {
                let is_clean = exited.is_ok_and(|status| status.is_some_and(|status| status.success()));
                self.event_log.add(Event::Exited { dispatcher: self.number, is_clean });
                *running = None;
                false
            }
        }
    }

    pub(super) fn pid(&self) -> Option<u32> {
        self.child.lock().expect("mutex poisoned").as_ref().map(Child::id)
    }

    pub(super) fn log(&self) -> Vec<LogLine> {
        self.log.lock().expect("mutex poisoned").iter().cloned().collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().expect("mutex poisoned").take() {
            Process::signal(&child, Signal::KILL);
            let _ = child.wait();
        }
    }
}
