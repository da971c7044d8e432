//! The line protocol: it parses events, prints actions and hands out ids, and decides nothing.
//!
//! Each instance interns its own ids in order of appearance, so what one instance does never depends on
//! which others share its process.

use crate::policy::Dispatcher;
use crate::policy::interface::*;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Why the adapter stopped.
#[derive(Debug)]
pub enum WireError {
    /// Reading or writing failed.
    Io(io::Error),
    /// The input is malformed: the line's number and what is wrong there.
    Malformed(u64, String),
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "input or output failed: {error}"),
            WireError::Malformed(line, what) => write!(f, "line {line}: {what}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        WireError::Io(error)
    }
}

/// The name=value parts of one line.
struct Fields<'a> {
    message: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

/// A value, or what is wrong with its text.
pub(crate) type Parsed<T> = Result<T, String>;

/// A span or time of fractional milliseconds.
pub(crate) fn to_micros(ms: f64) -> Micros {
    (ms * 1000.0).round().clamp(0.0, 9e18) as Micros
}

fn ms(span: Micros) -> f64 {
    span as f64 / 1000.0
}

impl<'a> Fields<'a> {
    fn parse(line: &'a str) -> Self {
        let mut parts = line.split('\t');
        let message = parts.next().unwrap_or("");
        Fields { message, pairs: parts.filter_map(|p| p.split_once('=')).collect() }
    }

    fn find(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    fn text(&self, name: &str) -> Parsed<&'a str> {
        self.find(name).filter(|v| !v.is_empty()).ok_or_else(|| format!("{}: no {name}", self.message))
    }

    fn parsed<T: std::str::FromStr>(&self, name: &str) -> Parsed<Option<T>> {
        match self.find(name) {
            None => Ok(None),
            Some(v) => match v.parse() {
                Ok(t) => Ok(Some(t)),
                Err(_) => Err(format!("{}: {name} is not a number: {v:?}", self.message)),
            },
        }
    }

    fn need<T: std::str::FromStr>(&self, name: &str) -> Parsed<T> {
        self.parsed(name)?.ok_or_else(|| format!("{}: no {name}", self.message))
    }

    fn finite(&self, name: &str) -> Parsed<Option<f64>> {
        let value = self.parsed::<f64>(name)?;
        match value {
            Some(v) if !v.is_finite() => Err(format!("{}: {name} is not finite", self.message)),
            _ => Ok(value),
        }
    }

    fn micros(&self, name: &str) -> Parsed<Option<Micros>> {
        Ok(self.finite(name)?.map(to_micros))
    }
}

/// Hands out numbers in order of appearance. A number is never given to another name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Interner {
    current: HashMap<String, u32>,
    /// The name of each number, those included that names have left behind.
    names: Vec<String>,
}

impl Interner {
    pub(crate) fn id(&mut self, name: &str) -> u32 {
        if let Some(id) = self.current.get(name) {
            return *id;
        }
        let id = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.current.insert(name.to_owned(), id);
        id
    }

    /// The names by number.
    pub(crate) fn names(&self) -> &[String] {
        &self.names
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// The same names under the numbers that they had in `older`, where what they stand for is the `same` (by the new
    /// number and the old), else under new ones; and the number of each. Names that are missing here lose theirs.
    pub(crate) fn after(
        &self,
        older: &Interner,
        same: impl Fn(usize, usize) -> bool,
    ) -> (Interner, Vec<usize>) {
        let (mut names, mut current, mut places) = (older.names.clone(), HashMap::new(), Vec::new());
        for (n, name) in self.names.iter().enumerate() {
            let had = (0..older.names.len()).rev().find(|old| older.names[*old] == *name && same(n, *old));
            let place = had.unwrap_or_else(|| {
                names.push(name.clone());
                names.len() - 1
            });
            current.insert(name.clone(), place as u32);
            places.push(place);
        }
        (Interner { current, names }, places)
    }

    /// The number of a name that has one now.
    pub(crate) fn find(&self, name: &str) -> Option<u32> {
        self.current.get(name).copied()
    }
}

struct OpenJob {
    name: String,
    sent: u32,
    ended: u32,
    closed: bool,
}

/// What a value of a load report stands for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Value {
    Cpu,
    FreeSlots,
    FreeMemory,
    Active,
    Waiting,
    AvgMs,
    Rps,
    ErrRps,
    Unknown,
}

impl Value {
    /// Puts a number where it belongs in a report; one that is not finite counts as absent.
    pub(crate) fn enter(self, report: &mut LoadReport, number: f64) {
        let slot = match self {
            Value::Cpu => &mut report.cpu,
            Value::FreeSlots => &mut report.free_slots,
            Value::FreeMemory => &mut report.free_memory,
            Value::Active => &mut report.active,
            Value::Waiting => &mut report.waiting,
            Value::AvgMs => &mut report.avg_ms,
            Value::Rps => &mut report.rps,
            Value::ErrRps => &mut report.err_rps,
            Value::Unknown => return,
        };
        *slot = Some(number).filter(|n| n.is_finite());
    }
}

/// The names that a deployment's settings give to classes, tenants, kinds, zones and report values.
#[derive(Debug, Default)]
pub(crate) struct Names {
    pub(crate) classes: Interner,
    pub(crate) tenants: Interner,
    pub(crate) kinds: Interner,
    pub(crate) zones: Interner,
    /// The values of a load report, in the order in which the settings name them.
    pub(crate) values: Vec<(String, Value)>,
}

struct Instance {
    dispatcher: Dispatcher,
    workers: Interner,
    worker_names: Vec<String>,
    names: Names,
    keys: Interner,
    job_ids: HashMap<String, JobId>,
    jobs: HashMap<JobId, OpenJob>,
    next_job: u64,
}

/// The settings of a `hello` line or of a configuration file, read by name.
pub(crate) struct Profile<'a>(pub(crate) HashMap<&'a str, &'a str>);

impl<'a> Profile<'a> {
    fn text(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied()
    }

    pub(crate) fn number(&self, path: &str, default: f64) -> Parsed<f64> {
        self.text(path)
            .map_or(Ok(default), |v| v.parse().map_err(|_| format!("{path} is not a number: {v:?}")))
    }

    fn micros(&self, path: &str, default: f64) -> Parsed<Micros> {
        Ok(to_micros(self.number(path, default)?))
    }

    fn flag(&self, path: &str, default: bool) -> bool {
        self.text(path).map_or(default, |v| v == "true" || v == "1")
    }

    fn list(&self, path: &str) -> Vec<&'a str> {
        self.text(path).map_or(Vec::new(), |v| v.split(',').filter(|s| !s.is_empty()).collect())
    }
}

/// Maps settings names to [`Settings`]; the names met on the way come back beside them. Zones and kinds that
/// already have a number in `known` keep it.
pub(crate) fn settings(p: &Profile, known: &Names) -> Parsed<(Settings, Names)> {
    let (zones, kinds) = (known.zones.clone(), known.kinds.clone());
    let mut names = Names { zones, kinds, ..Names::default() };
    for zone in p.list("Zones") {
        names.zones.id(zone);
    }
    for kind in p.list("Kinds") {
        names.kinds.id(kind);
    }
    let class_kinds = p.list("Domain.ClassKind");
    let priorities = p.list("Domain.ClassPriority");
    let stretches = p.list("Domain.ClassStretch");
    let count = p.number("Grades.count", 0.0)? as usize;
    let mut classes = Vec::new();
    for i in 0..count.min(p.0.len()) {
        let at = |name: &str| format!("Grades.{i}.{name}");
        let deadline = p.micros(&at("DeadlineMs"), 1e12)?;
        let idempotency = match p.text(&at("Semantics")) {
            Some("pure") => Idempotency::Idempotent,
            Some("token") => Idempotency::IdempotentWithKey {
                scope: match p.text(&at("Group")) {
                    Some("all") => DeduplicationScope::All,
                    Some("zone") => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Cell,
                },
                window: p.micros(&at("MemorySpanMs"), 0.0)?,
            },
            _ => Idempotency::NonIdempotent,
        };
        let own_stretch = p.number(&at("AimStretch"), 0.0)?;
        let stretch = stretches.get(i).and_then(|s| s.parse().ok()).unwrap_or(own_stretch);
        names.classes.id(p.text(&at("Name")).unwrap_or(""));
        classes.push(Class {
            latency_objective: p.micros(&at("TargetMs"), ms(deadline))?,
            latency_factor: stretch,
            deadline,
            idempotency,
            weight: p.number(&at("Points"), 1.0)?,
            late_weight: p.number(&at("LateWorth"), 0.0)?,
            stream: p.flag(&at("Stream"), false),
            kind: class_kinds.get(i).and_then(|s| s.parse::<u16>().ok()).map(KindId),
            priority: priorities.get(i).and_then(|s| s.parse().ok()).unwrap_or(0),
        });
    }
    let mut tenants = Vec::new();
    for i in 0..(p.number("Projects.count", 0.0)? as usize).min(p.0.len()) {
        names.tenants.id(p.text(&format!("Projects.{i}.Name")).unwrap_or(""));
        tenants.push(Tenant {
            quota_per_s: p.number(&format!("Projects.{i}.QuotaPerS"), 0.0)?,
            share_weight: p.number(&format!("Projects.{i}.Portion"), 0.0)?,
        });
    }
    let progress = p.micros("Domain.ProgressMs", 0.0)?;
    let on_request = p.text("Discovery") == Some("on_request");
    for name in p.list("LoadInfo.Fields") {
        let value = match name {
            "cpu" => Value::Cpu,
            "active" => Value::Active,
            "waiting" => Value::Waiting,
            "avg_ms" => Value::AvgMs,
            "rps" => Value::Rps,
            "err_rps" => Value::ErrRps,
            "x0" if p.text("Domain.ReportX0") == Some("free_slots") => Value::FreeSlots,
            "x1" if p.text("Domain.ReportX1") == Some("free_memory") => Value::FreeMemory,
            _ => Value::Unknown,
        };
        names.values.push((name.to_owned(), value));
    }
    let settings = Settings {
        me: p.number("Me", 0.0)? as u32,
        nodes: p.number("Siblings", 1.0)? as u32,
        zone: ZoneId(names.zones.id(p.text("Zone").unwrap_or("")) as u16),
        classes,
        tenants,
        over_quota_weight: p.number("OverShareWorth", 1.0)?,
        tick: p.micros("GranularityMs", 1.0)?,
        weight_by_work: p.text("CountedBy") == Some("work"),
        reports: match p.text("LoadInfo.Source") {
            Some("piggyback") => Reports::Answers,
            Some("pull") => Reports::Probes,
            _ => Reports::Silent,
        },
        reports_start: p.flag("Domain.TellsStart", false),
        progress: (progress > 0).then_some(progress),
        list_on_request: on_request,
        may_cancel: p.flag("Limits.Cancel", false),
        may_probe: p.flag("Limits.Probing", false),
        may_message_peers: p.flag("Limits.Peers", false),
        may_hedge: p.flag("Limits.SecondCopies", false),
        max_attempts: p.number("Limits.MaxAttempts", 1.0)? as u32,
        max_retry_after: match p.flag("Limits.RetryAfter", false) {
            true => Some(p.micros("Limits.MaxRetryAfterMs", 1000.0)?),
            false => None,
        },
        answer_slack: p.micros("Obligations.AnswerSlackMs", 20.0)?,
        drain_grace: p.micros("Obligations.StopSendingWithinMs", 0.0)?,
        ask_within: match on_request {
            true => Some(p.micros("Obligations.AskWithinMs", 10_000.0)?),
            false => None,
        },
        initial_capacity: p.number("Obligations.ColdFrom", 0.1)?,
        warm_up_time: p.micros("Obligations.ColdMs", 0.0)?,
        collapse_multiple: p.number("Obligations.FallMultiple", 1.0)?,
        collapse_window: p.micros("Obligations.FallMs", 1000.0)?,
        price_cross_zone: p.number("Prices.CrossZone", 0.0)?,
        price_probe: p.number("Prices.Probe", 0.0)?,
        price_waste: p.number("Prices.Waste", 0.0)?,
        price_late_fail: p.number("Prices.LateFail", 0.0)?,
    };
    Ok((settings, names))
}

fn hello(f: &Fields) -> Parsed<Instance> {
    let profile = Profile(f.pairs.iter().copied().collect());
    let (settings, names) = settings(&profile, &Names::default()).map_err(|e| format!("hello: {e}"))?;
    Ok(Instance {
        dispatcher: Dispatcher::new(settings, f.need("InitSeed")?).map_err(|e| format!("hello: {e}"))?,
        workers: Interner::default(),
        worker_names: Vec::new(),
        names,
        keys: Interner::default(),
        job_ids: HashMap::new(),
        jobs: HashMap::new(),
        next_job: 0,
    })
}

/// A number that any node would give to this name (FNV-1a).
pub(crate) fn tag(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if text == "-" {
        return Some(Vec::new());
    }
    let digits = text.as_bytes();
    let value = |d: u8| (d as char).to_digit(16).map(|v| v as u8);
    if digits.len() % 2 == 1 {
        return None;
    }
    digits.chunks(2).map(|pair| Some(value(pair[0])? << 4 | value(pair[1])?)).collect()
}

impl Instance {
    fn worker(&mut self, name: &str) -> WorkerId {
        let id = self.workers.id(name);
        if id as usize == self.worker_names.len() {
            self.worker_names.push(name.to_owned());
        }
        WorkerId(id)
    }

    fn report(&self, f: &Fields) -> Parsed<Option<LoadReport>> {
        let Some(row) = f.find("Feedback").filter(|row| !row.is_empty() && *row != "-") else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        for (text, (_, value)) in row.split(',').zip(&self.names.values) {
            if text.is_empty() {
                continue;
            }
            let number: f64 =
                text.parse().map_err(|_| format!("{}: Feedback is not a number: {text:?}", f.message))?;
            value.enter(&mut report, number);
        }
        Ok(Some(report))
    }

    fn outcome(f: &Fields) -> Parsed<Outcome> {
        Ok(match f.text("Ending")? {
            "ok" => Outcome::Ok,
            "error" => Outcome::Error,
            "full" => Outcome::Full,
            "timeout" => Outcome::Timeout,
            "connect_failed" => Outcome::ConnectFailed,
            "reset" => Outcome::Reset,
            "cancelled" => Outcome::Cancelled,
            "moot" => Outcome::NeverSent,
            other => return Err(format!("{}: unknown Ending {other:?}", f.message)),
        })
    }

    fn roster_entry(&mut self, f: &Fields) -> Parsed<EndpointEntry> {
        let name = f.text("Executor")?;
        Ok(EndpointEntry {
            worker: self.worker(name),
            tag: tag(name),
            zone: ZoneId(self.names.zones.id(f.find("RackZone").unwrap_or("")) as u16),
            kind: KindId(self.names.kinds.id(f.find("Shape").unwrap_or("")) as u16),
            cell: CellId(f.parsed("Group")?.unwrap_or(0)),
            status: match f.need::<i64>("Status")? {
                0 => Status::Draining,
                1 => Status::Gone,
                2 => Status::Ready,
                other => return Err(format!("executor: unknown Status {other}")),
            },
            weight: f.finite("Heft")?.unwrap_or(1.0),
            started_at: f.micros("StartedAtMs")?.filter(|t| *t > 0),
        })
    }

    fn event(&mut self, f: &Fields, tables: &[Vec<String>]) -> Parsed<Option<Event>> {
        let job = |this: &Self| Ok::<_, String>(this.job_ids.get(f.text("Job")?).copied());
        let attempt = || Ok::<u32, String>(f.parsed("RoundNo")?.unwrap_or(0));
        Ok(Some(match f.message {
            "announce" => {
                let kind = match f.need::<i64>("Kind")? {
                    0 => ListKind::Delta,
                    1 => ListKind::Snapshot,
                    2 => ListKind::Cached,
                    3 => return Ok(Some(Event::ListFailed)),
                    other => return Err(format!("announce: unknown Kind {other}")),
                };
                let number: usize = f.need("Table")?;
                let Some(lines) = tables.get(number) else {
                    return Err(format!("announce: Table {number} is not defined"));
                };
                let mut entries = Vec::with_capacity(lines.len());
                for line in lines {
                    entries.push(self.roster_entry(&Fields::parse(line))?);
                }
                Event::EndpointList(kind, entries)
            }
            "accept" => {
                let name = f.text("Job")?;
                let id = JobId(self.next_job);
                let flags: u64 = f.parsed("Flags")?.unwrap_or(0);
                let hint = f.micros("HintMs")?;
                let new = NewJob {
                    job: id,
                    class: ClassId(self.names.classes.id(f.find("Lane").unwrap_or("")) as u16),
                    tenant: (f.find("Party").filter(|p| !p.is_empty() && *p != "0"))
                        .map(|p| TenantId(self.names.tenants.id(p) as u16)),
                    key: f.find("NameKey").map(|k| KeyId(self.keys.id(k))),
                    deadline: f.micros("ValidUntilMs")?.ok_or("accept: no ValidUntilMs")?,
                    hint: hint.filter(|h| flags & 1 == 1 && *h > 0),
                    slots: f.finite("Needs")?.unwrap_or(1.0),
                    memory: f.finite("MemNeeded")?,
                    repeat: flags & 2 == 2,
                    estimate: None,
                    tenant_weight: None,
                };
                self.next_job += 1;
                self.job_ids.insert(name.to_owned(), id);
                self.jobs.insert(id, OpenJob { name: name.to_owned(), sent: 0, ended: 0, closed: false });
                Event::Arrived(new)
            }
            "begun" => match job(self)? {
                Some(job) => Event::StreamStarted { job, attempt: attempt()? },
                None => return Ok(None),
            },
            "change" => match (job(self)?, f.need::<i64>("Topic")?) {
                (Some(job), 1) => Event::Started { job, attempt: attempt()? },
                (Some(job), 2) => {
                    Event::Progress { job, attempt: attempt()?, done: f.finite("Level")?.unwrap_or(0.0) }
                }
                _ => return Ok(None),
            },
            "ended" => {
                let (elapsed, outcome) = (f.micros("TimeTakenMs")?.unwrap_or(0), Self::outcome(f)?);
                let (report, attempt) = (self.report(f)?, attempt()?);
                let worker = self.worker(f.text("Executor")?);
                let closed = f.parsed::<u8>("Closed")?.unwrap_or(0) == 1;
                let Some(job) = job(self)? else { return Ok(None) };
                if let Some(open) = self.jobs.get_mut(&job) {
                    open.ended += 1;
                    open.closed |= closed;
                }
                Event::AttemptEnded(AttemptEnded { job, attempt, worker, elapsed, closed, outcome, report })
            }
            "hangup" => match job(self)? {
                Some(job) => {
                    if let Some(open) = self.jobs.get_mut(&job) {
                        open.closed = true;
                    }
                    Event::ClientDisconnected(job)
                }
                None => return Ok(None),
            },
            "wake" => Event::Timer(TimerId(f.need("Ctx")?)),
            "echo" => Event::ProbeResponse(ProbeResponse {
                worker: self.worker(f.text("Executor")?),
                outcome: Self::outcome(f)?,
                elapsed: f.micros("TimeTakenMs")?.unwrap_or(0),
                report: self.report(f)?,
            }),
            "mail" => Event::PeerMessage {
                from: f.need("Who")?,
                bytes: f.find("Blob").and_then(from_hex).ok_or("mail: Blob is not hex")?,
            },
            _ => return Ok(None),
        }))
    }

    /// Drops the name of a job that is over and has nothing out.
    fn forget(&mut self, job: JobId) {
        if self.jobs.get(&job).is_some_and(|open| open.closed && open.sent == open.ended)
            && let Some(open) = self.jobs.remove(&job)
        {
            self.job_ids.remove(&open.name);
        }
    }

    fn print(&mut self, action: &Action, out: &mut String) {
        let line = match action {
            Action::Send { job, worker, limit } => {
                let Some(open) = self.jobs.get_mut(job) else { return };
                open.sent += 1;
                let executor = &self.worker_names[worker.0 as usize];
                match limit {
                    Some(limit) => writeln!(
                        out,
                        "transmit\tJob={}\tLimitMs={}\tExecutor={executor}",
                        open.name,
                        ms(*limit)
                    ),
                    None => writeln!(out, "transmit\tJob={}\tExecutor={executor}", open.name),
                }
            }
            Action::Cancel { job, attempt } => {
                let Some(open) = self.jobs.get(job) else { return };
                writeln!(out, "abandon\tJob={}\tRoundNo={attempt}", open.name)
            }
            Action::Reject { job, retry_after } => {
                let Some(open) = self.jobs.get_mut(job) else { return };
                open.closed = true;
                writeln!(out, "push_back\tJob={}\tStayAwayMs={}", open.name, ms(retry_after.unwrap_or(0)))
            }
            Action::Fail(job) => {
                let Some(open) = self.jobs.get_mut(job) else { return };
                open.closed = true;
                writeln!(out, "surrender\tJob={}", open.name)
            }
            Action::SetTimer(id, after) => writeln!(out, "set_alarm\tCtx={}\tInMs={}", id.0, ms(*after)),
            Action::Probe(worker) => {
                writeln!(out, "inspect\tExecutor={}", self.worker_names[worker.0 as usize])
            }
            Action::SendToPeer { to, bytes } => {
                let hex = bytes.iter().fold(String::new(), |hex, b| hex + &format!("{b:02x}"));
                writeln!(out, "notify\tWhom={to}\tBlob={}", if hex.is_empty() { "-" } else { &hex })
            }
            Action::OpenWatch => writeln!(out, "stream_changes\tWant=1"),
            Action::FetchList => writeln!(out, "reload"),
        };
        line.expect("a string takes any text");
    }
}

/// Every instance of this process, by name.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    tables: Vec<Vec<String>>,
    line: u64,
    actions: Vec<Action>,
    current: Option<String>,
    speaking: Option<String>,
}

impl Host {
    /// Answers batch after batch until the input ends.
    pub fn serve(&mut self, mut input: impl BufRead, output: &mut impl Write) -> Result<(), WireError> {
        let (mut line, mut reply, mut now, mut table_left) = (String::new(), String::new(), None, None);
        loop {
            line.clear();
            self.line += 1;
            let read = input.read_line(&mut line).map_err(|error| match error.kind() {
                io::ErrorKind::InvalidData => WireError::Malformed(self.line, "not UTF-8".into()),
                _ => WireError::Io(error),
            })?;
            if read == 0 {
                return match now {
                    None => Ok(()),
                    Some(_) => Err(self.malformed("the batch is cut short: no commit".into())),
                };
            }
            let fields = Fields::parse(line.trim_end_matches(['\n', '\r']));
            let step = self.step(&fields, &mut now, &mut table_left, &mut reply);
            if step.map_err(|what| self.malformed(what))? {
                reply.push_str("done\n");
                output.write_all(reply.as_bytes())?;
                output.flush()?;
                reply.clear();
                self.current = None;
                self.speaking = None;
            }
        }
    }

    fn malformed(&self, what: String) -> WireError {
        WireError::Malformed(self.line, what)
    }

    /// Takes one line; true once the batch is complete.
    fn step(
        &mut self,
        f: &Fields,
        now: &mut Option<Micros>,
        table_left: &mut Option<(usize, usize)>,
        reply: &mut String,
    ) -> Parsed<bool> {
        if f.message == "batch" {
            if now.is_some() {
                return Err("batch: the batch before it has no commit".into());
            }
            *now = Some(f.micros("AtTimeMs")?.ok_or("batch: no AtTimeMs")?);
            return Ok(false);
        }
        let Some(clock) = *now else {
            return if f.message.is_empty() {
                Ok(false)
            } else {
                Err(format!("{} outside a batch", f.message))
            };
        };
        if let Some((table, left)) = table_left {
            if f.message != "executor" {
                return Err(format!("{}: the table lacks {left} of its rows", f.message));
            }
            let row = f.pairs.iter().fold(String::from("executor"), |row, (n, v)| row + "\t" + n + "=" + v);
            self.tables[*table].push(row);
            *table_left = (*left > 1).then_some((*table, *left - 1));
            return Ok(false);
        }
        match f.message {
            "commit" => {
                *now = None;
                return Ok(true);
            }
            "table" => {
                let (number, rows): (usize, usize) = (f.need("Table")?, f.need("RowsIn")?);
                if number > 15 {
                    return Err(format!("table: Table {number} is not 0 to 15"));
                }
                self.tables.resize(self.tables.len().max(number + 1), Vec::new());
                self.tables[number].clear();
                *table_left = (rows > 0).then_some((number, rows));
            }
            "instance" => self.current = Some(f.text("Who")?.to_owned()),
            "hello" => {
                let name = self.current.clone().ok_or("hello: no instance named")?;
                self.instances.insert(name, hello(f)?);
            }
            "teardown" => {
                let name = self.current.as_ref().ok_or("teardown: no instance named")?;
                self.instances.remove(name).ok_or_else(|| format!("teardown: unknown instance {name:?}"))?;
            }
            "announce" | "accept" | "begun" | "change" | "ended" | "hangup" | "wake" | "echo" | "mail" => {
                let name =
                    self.current.as_ref().ok_or_else(|| format!("{}: no instance named", f.message))?;
                let Some(instance) = self.instances.get_mut(name) else {
                    return Err(format!("{}: unknown instance {name:?}", f.message));
                };
                let Some(event) = instance.event(f, &self.tables)? else { return Ok(false) };
                let ended = match event {
                    Event::AttemptEnded(AttemptEnded { job, .. }) | Event::ClientDisconnected(job) => {
                        Some(job)
                    }
                    _ => None,
                };
                self.actions.clear();
                let handled = catch_unwind(AssertUnwindSafe(|| {
                    instance.dispatcher.handle(clock, event, &mut self.actions)
                }));
                if !self.actions.is_empty() || handled.is_err() {
                    if self.speaking.as_ref() != Some(name) {
                        reply.push_str(&format!("by\tWho={name}\n"));
                        self.speaking = Some(name.clone());
                    }
                    for action in &self.actions {
                        instance.print(action, reply);
                    }
                }
                if handled.is_err() {
                    reply.push_str("bail_out\tMessage=the decision code panicked, see standard error\n");
                }
                let answered = self.actions.iter().filter_map(|action| match action {
                    Action::Reject { job, .. } | Action::Fail(job) => Some(*job),
                    _ => None,
                });
                for job in answered.chain(ended) {
                    instance.forget(job);
                }
            }
            _ => {}
        }
        Ok(false)
    }
}
