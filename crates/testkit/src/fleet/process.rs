//! One process of the program: its folder, its configuration, its log, its signals.

use super::FleetError;
use super::record::{Clock, Event, Record};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

/// Lines of a log that are kept at most, the oldest give way.
const LINES: usize = 20_000;

/// A line of a process's log, and when it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Microseconds of the harness's clock.
    pub at: u64,
    /// The line.
    pub text: String,
}

pub(super) struct Process {
    number: usize,
    program: PathBuf,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    log: Arc<Mutex<VecDeque<Line>>>,
    clock: Clock,
    record: Arc<Record>,
}

impl Process {
    pub(super) fn new(
        number: usize,
        program: &Path,
        folder: PathBuf,
        record: Arc<Record>,
    ) -> Result<Process, FleetError> {
        let file = |error| FleetError::File(folder.clone(), error);
        std::fs::create_dir_all(&folder).map_err(file)?;
        let program = program.canonicalize().map_err(|error| FleetError::File(program.to_owned(), error))?;
        let (child, log) = (Mutex::new(None), Arc::default());
        Ok(Process { number, program, folder, child, log, clock: record.clock, record })
    }

    /// Its own file of such a name.
    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Puts a file in the place of the one that is there.
    pub(super) fn write(&self, name: &str, text: &str) -> Result<(), FleetError> {
        let (file, fresh) = (self.file(name), self.file(&format!("{name}.new")));
        let done = std::fs::write(&fresh, text).and_then(|()| std::fs::rename(&fresh, &file));
        done.map_err(|error| FleetError::File(file, error))
    }

    pub(super) fn start(&self, config: &Value, settings: Option<&str>) -> Result<(), FleetError> {
        let mut held = self.child.lock().expect("a lock");
        if held.is_some() {
            return Err(FleetError::Runs(self.number));
        }
        self.write("config.json", &config.to_string())?;
        let mut command = Command::new(&self.program);
        if let Some(text) = settings {
            self.write("settings.txtpb", text)?;
            command.arg("--settings").arg(self.file("settings.txtpb"));
        }
        for name in ["GW_NAME", "GW_LISTEN", "GW_ADMIN_ADDR", "GW_DISCOVERY"] {
            command.env_remove(name);
        }
        // It finds nobody else's files: neither the operators' of where the test runs nor another process's socket.
        command.current_dir(&self.folder).env("TMPDIR", &self.folder);
        command.env("GW_CONFIG", self.file("config.json")).stdin(Stdio::null());
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        self.record.add(Event::Started { dispatcher: self.number });
        let mut child = command.spawn().map_err(|error| FleetError::Start(self.number, error))?;
        if let Some(stderr) = child.stderr.take() {
            let (log, clock) = (self.log.clone(), self.clock);
            std::thread::spawn(move || {
                for text in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let mut log = log.lock().expect("a lock");
                    if log.len() >= LINES {
                        log.pop_front();
                    }
                    log.push_back(Line { at: clock.now(), text });
                }
            });
        }
        *held = Some(child);
        Ok(())
    }

    fn signal(child: &Child, signal: Signal) {
        // It was not waited for yet, so its number is nobody else's.
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends a signal, if it runs, after having noted it.
    fn send(&self, signal: Signal, event: Event) {
        if let Some(child) = self.child.lock().expect("a lock").as_ref() {
            self.record.add(event);
            Process::signal(child, signal);
        }
    }

    pub(super) fn kill(&self) {
        let child = self.child.lock().expect("a lock").take();
        if let Some(mut child) = child {
            self.record.add(Event::Killed { dispatcher: self.number });
            Process::signal(&child, Signal::KILL);
            let _ = child.wait();
        }
    }

    pub(super) fn terminate(&self) {
        self.send(Signal::TERM, Event::Terminated { dispatcher: self.number });
    }

    pub(super) fn hang_up(&self) {
        if let Some(child) = self.child.lock().expect("a lock").as_ref() {
            Process::signal(child, Signal::HUP);
        }
    }

    pub(super) fn pause(&self, on: bool) {
        let signal = if on { Signal::STOP } else { Signal::CONT };
        self.send(signal, Event::Paused { dispatcher: self.number, on });
    }

    /// Whether it runs; notes its end if it has ended by itself.
    pub(super) fn runs(&self) -> bool {
        let mut held = self.child.lock().expect("a lock");
        let Some(child) = held.as_mut() else { return false };
        match child.try_wait() {
            Ok(None) => true,
            ended => {
                let clean = ended.is_ok_and(|status| status.is_some_and(|status| status.success()));
                self.record.add(Event::Ended { dispatcher: self.number, clean });
                *held = None;
                false
            }
        }
    }

    pub(super) fn pid(&self) -> Option<u32> {
        self.child.lock().expect("a lock").as_ref().map(Child::id)
    }

    pub(super) fn log(&self) -> Vec<Line> {
        self.log.lock().expect("a lock").iter().cloned().collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().expect("a lock").take() {
            Process::signal(&child, Signal::KILL);
            let _ = child.wait();
        }
    }
}
