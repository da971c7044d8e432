//! Control of a fleet's processes: starts, signals, configurations and logs.

use super::plan::{FIRST_START_SEED, derive_seed};
use super::process::{CONFIG_FILE, LogLine};
use super::{Fleet, FleetError};
use serde_json::{Value, json};
use std::sync::atomic::Ordering;

impl Fleet {
    /// Starts a process with a new seed, at its fixed addresses.
    ///
    /// # Errors
    ///
    /// If the process is already running or cannot be started, or if its files cannot be written.
    pub fn start_process(&self, dispatcher: usize) -> Result<(), FleetError> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let seed = derive_seed(self.seed, FIRST_START_SEED | start);
        self.change_config(dispatcher, |config| config["seed"] = json!(format!("{seed:016x}")));
        self.processes[dispatcher].start(&self.config(dispatcher), self.settings.as_deref())
    }

    /// Starts all processes one after another, without waiting until they are up.
    ///
    /// # Errors
    ///
    /// The errors of [`Fleet::start_process`]. Processes after the first that fails are not started.
    pub fn start_all(&self) -> Result<(), FleetError> {
        (0..self.size()).try_for_each(|dispatcher| self.start_process(dispatcher))
    }

    /// Restarts a process that was killed or has ended, and waits until it is up.
    ///
    /// # Errors
    ///
    /// The errors of [`Fleet::start_process`].
    ///
    /// # Panics
    ///
    /// If it is not up within [`crate::WAIT_TIMEOUT`].
    pub fn restart(&self, dispatcher: usize) -> Result<(), FleetError> {
        self.start_process(dispatcher)?;
        self.wait_until_up(&[dispatcher]);
        Ok(())
    }

    /// Kills a process (SIGKILL), and waits for its end.
    pub fn kill(&self, dispatcher: usize) {
        self.processes[dispatcher].kill();
    }

    /// Begins the graceful shutdown of a process (SIGTERM); [`Fleet::wait_until_exited`] waits for its end.
    pub fn terminate(&self, dispatcher: usize) {
        self.processes[dispatcher].terminate();
    }

    /// Writes the configuration file of a process and makes the process reload it (SIGHUP).
    ///
    /// # Errors
    ///
    /// If the configuration cannot be written.
    pub fn reload(&self, dispatcher: usize) -> Result<(), FleetError> {
        let config = self.config(dispatcher).to_string();
        self.processes[dispatcher].write(CONFIG_FILE, &config)?;
        self.processes[dispatcher].hang_up();
        Ok(())
    }

    /// Pauses a process (SIGSTOP).
    pub fn pause(&self, dispatcher: usize) {
        self.processes[dispatcher].pause();
    }

    /// Resumes a paused process (SIGCONT).
    pub fn resume(&self, dispatcher: usize) {
        self.processes[dispatcher].resume();
    }

    /// Whether a process is running.
    pub fn is_running(&self, dispatcher: usize) -> bool {
        self.processes[dispatcher].is_running()
    }

    /// Logs an event for each process that has exited by itself since the last check.
    pub(super) fn log_exits(&self) {
        for process in &self.processes {
            process.is_running();
        }
    }

    /// Waits until these processes have ended by themselves.
    ///
    /// # Panics
    ///
    /// If they have not ended within [`crate::WAIT_TIMEOUT`].
    pub fn wait_until_exited(&self, dispatchers: &[usize]) {
        self.wait_until("the processes end", || {
            dispatchers.iter().all(|dispatcher| !self.is_running(*dispatcher))
        });
    }

    /// Waits until these processes answer `/up` with 200.
    ///
    /// # Panics
    ///
    /// If they are not up within [`crate::WAIT_TIMEOUT`].
    pub fn wait_until_up(&self, dispatchers: &[usize]) {
        self.wait_until("the processes are up", || {
            dispatchers.iter().all(|dispatcher| self.is_up(*dispatcher))
        });
    }

    /// The system's id of a process; `None` if it does not run.
    pub fn pid(&self, dispatcher: usize) -> Option<u32> {
        self.processes[dispatcher].pid()
    }

    /// The latest lines of a process's log, across all its starts.
    pub fn log(&self, dispatcher: usize) -> Vec<LogLine> {
        self.processes[dispatcher].log()
    }

    /// A process's configuration, as it will be at its next start or reload.
    pub fn config(&self, dispatcher: usize) -> Value {
        self.configs.lock().expect("mutex poisoned")[dispatcher].clone()
    }

    /// Changes the configuration of a process, from its next start or reload on.
    pub fn change_config(&self, dispatcher: usize, change: impl FnOnce(&mut Value)) {
        change(&mut self.configs.lock().expect("mutex poisoned")[dispatcher]);
    }
}
