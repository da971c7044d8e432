//! The built program as a child process with real sockets and a configuration from [`crate::site`].

use crate::{FakeWorker, HttpReply, WAIT_TIMEOUT, send, site, wait_until};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// The path of the built program: in the directory of the running executable, or in the parent of that.
///
/// # Panics
///
/// If it has not been built.
pub fn program_path() -> PathBuf {
    let own_path = std::env::current_exe().expect("no path of this executable");
    let folders = own_path.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join("mothproxy")).find(|path| path.is_file());
    found.expect("mothproxy is not built: run cargo build")
}

/// The flag that names the settings file of the event-stream listener.
const EVENT_STREAMS_FLAG: &str = "--sse";
const EVENT_STREAM_SETTINGS: &str = "listen = \"127.0.0.1:0\"\nheartbeat_ms = 200\n";
/// An address at which nothing listens.
const NO_DISCOVERY: &str = "127.0.0.1:1";

/// Changes a configuration before it is written.
type ConfigChange<'a> = Box<dyn FnOnce(&mut Value) + 'a>;

/// The parameters of a [`DispatcherProcess`].
pub struct DispatcherBuilder<'a> {
    workers: &'a [Arc<FakeWorker>],
    discovery: Option<SocketAddr>,
    has_event_streams: bool,
    temp_dir: Option<&'a Path>,
    args: &'a [&'a OsStr],
    configure: Option<ConfigChange<'a>>,
}

impl<'a> DispatcherBuilder<'a> {
    /// Uses this discovery service. By default, nothing listens at the configured address.
    #[must_use]
    pub fn discovery(mut self, address: SocketAddr) -> Self {
        self.discovery = Some(address);
        self
    }

    /// Sets whether the process has an SSE listener, with a heartbeat of 200 ms.
    #[must_use]
    pub fn event_streams(mut self, on: bool) -> Self {
        self.has_event_streams = on;
        self
    }

    /// Sets `$TMPDIR`, which must be the same for the predecessor and the successor of a hot restart.
    #[must_use]
    pub fn temp_dir(mut self, folder: impl Into<Option<&'a Path>>) -> Self {
        self.temp_dir = folder.into();
        self
    }

    /// Passes further arguments. If `--sse FILE` is among them, the settings of [`Self::event_streams`] are not used.
    #[must_use]
    pub fn args(mut self, args: &'a [&'a OsStr]) -> Self {
        self.args = args;
        self
    }

    /// Changes the configuration before it is written.
    #[must_use]
    pub fn configure(mut self, change: impl FnOnce(&mut Value) + 'a) -> Self {
        self.configure = Some(Box::new(change));
        self
    }

    /// Starts the process and waits until it serves. Without discovery, also waits until it has logged that its endpoint list
    /// is stale.
    ///
    /// # Panics
    ///
    /// If the process cannot be started or does not serve within [`WAIT_TIMEOUT`].
    pub fn start(mut self) -> DispatcherProcess {
        let discovery = self.discovery.map_or(NO_DISCOVERY.to_owned(), |address| address.to_string());
        let config = self.config(&discovery);
        let files = ProcessFiles::write(&config, self.has_event_streams);
        let mut child = self.command(&discovery, &files).spawn().expect("cannot start the program");
        let mut log = ProcessLog::follow(&mut child);
        let listeners = Listeners::wait(&mut log, self.discovery.is_none());
        let _ = std::fs::remove_file(&files.streams);
        for worker in self.workers {
            worker.set_callback_address(listeners.platform);
        }
        let Listeners { platform, sse, admin } = listeners;
        DispatcherProcess { child, config_file: files.config, config, platform, sse, admin, log }
    }

    fn config(&mut self, discovery: &str) -> Value {
        let entries: Vec<Value> = self.workers.iter().map(|worker| worker.endpoint_entry("up")).collect();
        let mut config = site::config("127.0.0.1:0", discovery, json!(entries));
        if let Some(configure) = self.configure.take() {
            configure(&mut config);
        }
        config
    }

    fn command(&self, discovery: &str, files: &ProcessFiles) -> Command {
        let mut command = Command::new(program_path());
        if !self.args.contains(&OsStr::new(EVENT_STREAMS_FLAG)) {
            command.arg(EVENT_STREAMS_FLAG).arg(&files.streams);
        }
        command
            .args(self.args)
            .env_remove("GW_NAME")
            .env_remove("GW_LISTEN")
            .env_remove("GW_ADMIN_ADDR")
            .env_remove("TMPDIR")
            .envs(self.temp_dir.map(|folder| ("TMPDIR", folder)))
            .env("GW_DISCOVERY", discovery) // as on the platform, where it equals the address in the file
            .env("GW_CONFIG", &files.config)
            .stderr(Stdio::piped());
        command
    }
}

/// The files with which a process is started.
struct ProcessFiles {
    config: PathBuf,
    /// The settings of the SSE listener, which the process reads only at its start.
    streams: PathBuf,
}

impl ProcessFiles {
    /// Writes the files under unique names.
    fn write(config: &Value, has_event_streams: bool) -> ProcessFiles {
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let stem = std::env::temp_dir().join(format!("mothproxy-test-{}-{number}", std::process::id()));
        let files =
            ProcessFiles { config: stem.with_extension("json"), streams: stem.with_extension("toml") };
        std::fs::write(&files.config, config.to_string()).expect("cannot write the temporary file");
        let streams = if has_event_streams { EVENT_STREAM_SETTINGS } else { "" };
        std::fs::write(&files.streams, streams).expect("cannot write the temporary file");
        files
    }
}

/// The lines of a process's standard error.
struct ProcessLog {
    lines: Receiver<String>,
    /// The lines that have been read so far.
    read: Vec<String>,
}

impl ProcessLog {
    fn follow(child: &mut Child) -> ProcessLog {
        let stderr = BufReader::new(child.stderr.take().expect("standard error is not piped"));
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line))
        });
        ProcessLog { lines, read: Vec::new() }
    }

    /// The next line while the process starts.
    fn next_startup_line(&mut self) -> String {
        let line = self.lines.recv_timeout(WAIT_TIMEOUT);
        let line =
            line.unwrap_or_else(|_| panic!("not serving within {WAIT_TIMEOUT:?}, log: {:?}", self.read));
        self.read.push(line.clone());
        line
    }
}

/// The addresses of a process, as logged.
struct Listeners {
    platform: SocketAddr,
    sse: Option<SocketAddr>,
    admin: Option<SocketAddr>,
}

impl Listeners {
    /// Waits until the process serves. Without discovery, it is ready for clients only once it has logged that its endpoint list
    /// is stale.
    fn wait(log: &mut ProcessLog, is_without_discovery: bool) -> Listeners {
        let first = loop {
            let line = log.next_startup_line();
            if !line.starts_with("hot restart: ") && !line.starts_with("idempotency store: ") {
                break line;
            }
        };
        let is_successor = log.read.iter().any(|line| line.starts_with("hot restart: taking over"));
        while is_without_discovery
            && !is_successor
            && !log.next_startup_line().starts_with("endpoint list stale: ")
        {}
        Listeners::parse(&first).unwrap_or_else(|| panic!("not a line of listener addresses: {first}"))
    }

    fn parse(line: &str) -> Option<Listeners> {
        let (platform, rest) = line.strip_prefix("serving: n0 on ")?.split_once(", SSE ")?;
        let (sse, admin) = rest.split_once(", control ")?;
        Some(Listeners { platform: platform.parse().ok()?, sse: sse.parse().ok(), admin: admin.parse().ok() })
    }
}

/// A running dispatcher. Dropping it kills the process; after a panic, its log is printed to standard error.
pub struct DispatcherProcess {
    child: Child,
    /// The path of the configuration file.
    pub config_file: PathBuf,
    /// The configuration with which the process was started.
    pub config: Value,
    /// The address for jobs and status callbacks.
    pub platform: SocketAddr,
    /// The address of the SSE listener, if there is one.
    pub sse: Option<SocketAddr>,
    /// The admin address for readiness, counters and drain, if there is one.
    pub admin: Option<SocketAddr>,
    log: ProcessLog,
}

impl DispatcherProcess {
    /// A builder with these workers in `known`.
    pub fn builder(workers: &[Arc<FakeWorker>]) -> DispatcherBuilder<'_> {
        DispatcherBuilder {
            workers,
            discovery: None,
            has_event_streams: false,
            temp_dir: None,
            args: &[],
            configure: None,
        }
    }

    /// Sends a signal, named as an argument of `kill`, such as `-TERM`.
    ///
    /// # Panics
    ///
    /// If the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status().expect("cannot run kill");
        assert!(sent.success());
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Begins a graceful shutdown (SIGTERM).
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops the process (SIGSTOP), and waits until it has stopped.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.pid());
        wait_until("the process has stopped", || {
            std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T "))
        });
    }

    /// Continues the process (SIGCONT).
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Suspends the process for this long, and calls `meanwhile` as soon as it has stopped.
    pub fn suspend_for(&self, duration: Duration, meanwhile: impl FnOnce()) {
        self.suspend();
        let suspended = Instant::now();
        meanwhile();
        wait_until("the suspension time has passed", || suspended.elapsed() > duration);
        self.resume();
    }

    /// Replaces the configuration file.
    ///
    /// # Panics
    ///
    /// If the file cannot be written.
    pub fn replace_config(&self, text: &str) {
        let fresh = self.config_file.with_extension("new");
        std::fs::write(&fresh, text).expect("cannot write the temporary file");
        std::fs::rename(fresh, &self.config_file).expect("cannot replace the configuration file");
    }

    /// The status code of `/up`.
    ///
    /// # Panics
    ///
    /// If the process does not answer.
    pub fn up_status(&self) -> u16 {
        send(self.platform, "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n").expect("no complete response").status
    }

    /// Sends a request to the admin address.
    ///
    /// # Panics
    ///
    /// If the process has no such address or does not answer.
    pub fn call_admin(&self, method: &str, path: &str) -> HttpReply {
        let address = self.admin.expect("no admin address");
        send(address, &format!("{method} {path} HTTP/1.1\r\nHost: n0\r\n\r\n")).expect("no complete response")
    }

    /// Waits for a line of the log with this prefix, and returns it.
    ///
    /// # Panics
    ///
    /// If there is no such line within [`WAIT_TIMEOUT`].
    pub fn wait_for_log(&mut self, prefix: &str) -> String {
        let deadline = Instant::now() + WAIT_TIMEOUT; // for the whole wait, since other lines may keep arriving
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = self.log.lines.recv_timeout(remaining);
            let line = line.unwrap_or_else(|_| panic!("not logged within {WAIT_TIMEOUT:?}: {prefix}"));
            self.log.read.push(line.clone());
            if line.starts_with(prefix) {
                return line;
            }
        }
    }

    /// Waits for the end of the process. Returns whether it exited with code 0, and its log.
    ///
    /// # Panics
    ///
    /// If the system does not report the exit status.
    pub fn wait_for_exit(mut self) -> (bool, Vec<String>) {
        let mut log = std::mem::take(&mut self.log.read);
        log.extend(std::iter::from_fn(|| self.log.lines.recv_timeout(WAIT_TIMEOUT).ok()));
        (self.child.wait().expect("no exit status").success(), log)
    }

    /// Waits for the end of the process, and checks that it exited with code 0 and logged that no request was open.
    ///
    /// # Panics
    ///
    /// If one of these does not hold.
    pub fn wait_for_complete_shutdown(self) {
        let (is_clean, log) = self.wait_for_exit();
        assert!(is_clean && log.iter().any(|line| line == "shutdown complete open=0"), "{log:?}");
    }

    /// Shuts the process down, and returns the metrics of its last `figures` line.
    ///
    /// # Panics
    ///
    /// If the process does not exit with code 0, or logs no such line.
    pub fn shut_down_for_metrics(self) -> BTreeMap<String, u64> {
        self.terminate();
        let (is_clean, log) = self.wait_for_exit();
        assert!(is_clean, "{log:?}");
        let last = log
            .iter()
            .rev()
            .find_map(|line| line.strip_prefix("figures "))
            .expect("no figures line in the log");
        last.split(' ')
            .filter_map(|part| part.split_once('='))
            .map(|(name, value)| (name.into(), value.parse().expect("not a number")))
            .collect()
    }
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.log.read.extend(self.log.lines.iter());
            eprintln!("log of the program:\n{}", self.log.read.join("\n"));
        }
        let _ = std::fs::remove_file(&self.config_file);
    }
}
