//! One dispatcher of the simulator. This module converts lines to events and actions to lines, and assigns ids.

use super::error::{LineError, SettingNotANumber};
use super::fields::{Fields, from_hex};
use crate::policy::Dispatcher;
use crate::policy::interface::{
    Action, AttemptEnded, CellId, ClassId, EndpointEntry, Event, JobId, KindId, ListKind, LoadReport, Micros,
    NewJob, Outcome, ProbeResponse, Status, SubjectId, TenantId, TimerId, WorkerId, ZoneId,
};
use crate::policy::interner::Interner;
use crate::policy::settings_map::{Names, SettingTexts, hash_name, settings, to_ms};
use std::collections::HashMap;
use std::fmt::Write as _;

/// The bit of a job's `Flags` that is set if its hint is valid.
const HAS_HINT: u64 = 1;
/// The bit of a job's `Flags` that is set if the job is a retry.
const IS_RETRY: u64 = 2;

/// A job that is open or has outstanding attempts.
struct OpenJob {
    name: String,
    /// The number of attempts that were sent.
    sent: u32,
    /// The number of attempts that have ended.
    ended: u32,
    /// Whether the final response has been given or is no longer due.
    is_closed: bool,
}

/// A dispatcher, with the names that belong to its ids.
pub(super) struct Instance {
    pub dispatcher: Dispatcher,
    workers: Interner,
    names: Names,
    subjects: Interner,
    job_ids: HashMap<String, JobId>,
    jobs: HashMap<JobId, OpenJob>,
    next_job: u64,
}

impl Instance {
    /// Creates the instance of a `hello` line. Returns an error if the settings cannot be read or are not consistent, or if the
    /// seed is missing.
    pub fn new(fields: &Fields) -> Result<Instance, LineError> {
        let setting_texts = SettingTexts(fields.pairs.iter().copied().collect());
        let (settings, names) = settings(&setting_texts, &Names::default())
            .map_err(|error| LineError::UnreadableSettings(SettingNotANumber::from(error)))?;
        let seed = fields.required("InitSeed")?;
        Ok(Instance {
            dispatcher: Dispatcher::new(settings, seed).map_err(LineError::BadSettings)?,
            workers: Interner::default(),
            names,
            subjects: Interner::default(),
            job_ids: HashMap::new(),
            jobs: HashMap::new(),
            next_job: 0,
        })
    }

    /// The event of a line; `None` if the message stands for no event, or if its job is unknown.
    pub fn event(&mut self, fields: &Fields, tables: &[Vec<String>]) -> Result<Option<Event>, LineError> {
        Ok(match fields.message {
            "announce" => Some(self.endpoint_list(fields, tables)?),
            "accept" => Some(self.arrived(fields)?),
            "begun" => match self.job(fields)? {
                Some(job) => Some(Event::StreamStarted { job, attempt: attempt_index(fields)? }),
                None => None,
            },
            "change" => self.attempt_changed(fields)?,
            "ended" => self.attempt_ended(fields)?,
            "hangup" => self.disconnected(fields)?,
            "wake" => Some(Event::Timer(TimerId(fields.required("Ctx")?))),
            "echo" => Some(Event::ProbeResponse(ProbeResponse {
                worker: self.worker(fields.text("Executor")?),
                outcome: parse_outcome(fields)?,
                elapsed: fields.micros("TimeTakenMs")?.unwrap_or(0),
                report: self.report(fields)?,
            })),
            "mail" => Some(Event::PeerMessage {
                from: fields.required("Who")?,
                bytes: fields.find("Blob").and_then(from_hex).ok_or(LineError::NotHex)?,
            }),
            _ => None,
        })
    }

    /// The id of a worker. A worker without an id gets the next one.
    fn worker(&mut self, name: &str) -> WorkerId {
        WorkerId(self.workers.id(name))
    }

    /// The id of the job that a line names, if the job is known.
    fn job(&self, fields: &Fields) -> Result<Option<JobId>, LineError> {
        Ok(self.job_ids.get(fields.text("Job")?).copied())
    }

    /// The event of an `announce` line: an endpoint list, or a failed request for one.
    fn endpoint_list(&mut self, fields: &Fields, tables: &[Vec<String>]) -> Result<Event, LineError> {
        let kind = match fields.required::<i64>("Kind")? {
            0 => ListKind::Delta,
            1 => ListKind::Snapshot,
            2 => ListKind::Cached,
            3 => return Ok(Event::ListFailed),
            code => return Err(LineError::UnknownCode { message: "announce", field: "Kind", code }),
        };
        let number: usize = fields.required("Table")?;
        let rows = tables.get(number).ok_or(LineError::UnknownTable(number))?;
        let entries = rows.iter().map(|row| self.endpoint(&Fields::parse(row)));
        Ok(Event::EndpointList(kind, entries.collect::<Result<_, _>>()?))
    }

    /// The list entry of an `executor` row.
    fn endpoint(&mut self, fields: &Fields) -> Result<EndpointEntry, LineError> {
        let name = fields.text("Executor")?;
        Ok(EndpointEntry {
            worker: self.worker(name),
            tag: hash_name(name),
            zone: ZoneId(self.names.zones.id(fields.find("RackZone").unwrap_or("")) as u16),
            kind: KindId(self.names.kinds.id(fields.find("Shape").unwrap_or("")) as u16),
            cell: CellId(fields.parsed("Group")?.unwrap_or(0)),
            status: match fields.required::<i64>("Status")? {
                0 => Status::Draining,
                1 => Status::Gone,
                2 => Status::Ready,
                code => return Err(LineError::UnknownCode { message: "executor", field: "Status", code }),
            },
            weight: fields.finite("Heft")?.unwrap_or(1.0),
            started_at: fields.micros("StartedAtMs")?.filter(|start| *start > 0),
        })
    }

    /// The event of an `accept` line: the arrival of a job, which gets a new id.
    fn arrived(&mut self, fields: &Fields) -> Result<Event, LineError> {
        let name = fields.text("Job")?;
        let job = JobId(self.next_job);
        let flags: u64 = fields.parsed("Flags")?.unwrap_or(0);
        let hint = fields.micros("HintMs")?;
        let tenant = fields.find("Party").filter(|party| !party.is_empty() && *party != "0");
        let request = NewJob {
            job,
            class: ClassId(self.names.classes.id(fields.find("Lane").unwrap_or("")) as u16),
            tenant: tenant.map(|party| TenantId(self.names.tenants.id(party) as u16)),
            subject: fields.find("NameKey").map(|subject| SubjectId(self.subjects.id(subject))),
            deadline: fields.required_micros("ValidUntilMs")?,
            hint: hint.filter(|hint| flags & HAS_HINT != 0 && *hint > 0),
            slots: fields.finite("Needs")?.unwrap_or(1.0),
            memory: fields.finite("MemNeeded")?,
            is_retry: flags & IS_RETRY != 0,
            estimate: None,
            tenant_weight: None,
        };
        self.next_job += 1;
        self.job_ids.insert(name.to_owned(), job);
        self.jobs.insert(job, OpenJob { name: name.to_owned(), sent: 0, ended: 0, is_closed: false });
        Ok(Event::Arrived(request))
    }

    /// The event of a `change` line: the start or the progress of an attempt; `None` for other topics.
    fn attempt_changed(&self, fields: &Fields) -> Result<Option<Event>, LineError> {
        Ok(match (self.job(fields)?, fields.required::<i64>("Topic")?) {
            (Some(job), 1) => Some(Event::Started { job, attempt: attempt_index(fields)? }),
            (Some(job), 2) => {
                let attempt = attempt_index(fields)?;
                Some(Event::Progress { job, attempt, done: fields.finite("Level")?.unwrap_or(0.0) })
            }
            _ => None,
        })
    }

    /// The event of an `ended` line: the end of an attempt.
    fn attempt_ended(&mut self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let elapsed = fields.micros("TimeTakenMs")?.unwrap_or(0);
        let outcome = parse_outcome(fields)?;
        let report = self.report(fields)?;
        let attempt = attempt_index(fields)?;
        let worker = self.worker(fields.text("Executor")?);
        let is_job_closed = fields.parsed::<u8>("Closed")?.unwrap_or(0) == 1;
        let Some(job) = self.job(fields)? else { return Ok(None) };
        if let Some(open) = self.jobs.get_mut(&job) {
            open.ended += 1;
            open.is_closed |= is_job_closed;
        }
        Ok(Some(Event::AttemptEnded(AttemptEnded {
            job,
            attempt,
            worker,
            elapsed,
            is_job_closed,
            outcome,
            report,
        })))
    }

    /// The event of a `hangup` line: the disconnection of a client.
    fn disconnected(&mut self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let Some(job) = self.job(fields)? else { return Ok(None) };
        if let Some(open) = self.jobs.get_mut(&job) {
            open.is_closed = true;
        }
        Ok(Some(Event::ClientDisconnected(job)))
    }

    /// The load report of a line, if there is one. The values are separated by commas, in the order of the settings; an empty
    /// text stands for an absent value.
    fn report(&self, fields: &Fields) -> Result<Option<LoadReport>, LineError> {
        let Some(row) = fields.find("Feedback").filter(|row| !row.is_empty() && *row != "-") else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        for (text, (_, value)) in row.split(',').zip(&self.names.values).filter(|(text, _)| !text.is_empty())
        {
            value.store(&mut report, fields.parse_number("Feedback", text)?);
        }
        Ok(Some(report))
    }

    /// Forgets a job that is closed and has no outstanding attempt.
    pub fn forget(&mut self, job: JobId) {
        if self.jobs.get(&job).is_some_and(|open| open.is_closed && open.sent == open.ended)
            && let Some(open) = self.jobs.remove(&job)
        {
            self.job_ids.remove(&open.name);
        }
    }

    /// Appends the line of an action to the reply. An action of an unknown job is ignored.
    pub fn print(&mut self, action: &Action, reply: &mut String) {
        let line = match action {
            Action::Send { job, worker, timeout } => self.print_send(*job, *worker, *timeout, reply),
            Action::Cancel { job, attempt } => {
                let Some(open) = self.jobs.get(job) else { return };
                writeln!(reply, "abandon\tJob={}\tRoundNo={attempt}", open.name)
            }
            Action::Reject { job, retry_after } => {
                let Some(name) = self.close(*job) else { return };
                let retry_after = to_ms(retry_after.unwrap_or(0));
                writeln!(reply, "push_back\tJob={name}\tStayAwayMs={retry_after}")
            }
            Action::Fail(job) => {
                let Some(name) = self.close(*job) else { return };
                writeln!(reply, "surrender\tJob={name}")
            }
            Action::SetTimer(id, after) => {
                writeln!(reply, "set_alarm\tCtx={}\tInMs={}", id.0, to_ms(*after))
            }
            Action::Probe(worker) => writeln!(reply, "inspect\tExecutor={}", self.worker_name(*worker)),
            Action::SendToPeer { to, bytes } => {
                let hex = bytes.iter().fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"));
                writeln!(reply, "notify\tWhom={to}\tBlob={}", if hex.is_empty() { "-" } else { &hex })
            }
            Action::OpenWatch => writeln!(reply, "stream_changes\tWant=1"),
            Action::FetchList => writeln!(reply, "reload"),
        };
        line.expect("writing to a string cannot fail");
    }

    /// Appends the line that sends an attempt. An attempt of an unknown job is ignored.
    fn print_send(
        &mut self,
        job: JobId,
        worker: WorkerId,
        timeout: Option<Micros>,
        reply: &mut String,
    ) -> std::fmt::Result {
        let Some(open) = self.jobs.get_mut(&job) else { return Ok(()) };
        open.sent += 1;
        write!(reply, "transmit\tJob={}", open.name)?;
        if let Some(timeout) = timeout {
            write!(reply, "\tLimitMs={}", to_ms(timeout))?;
        }
        writeln!(reply, "\tExecutor={}", self.worker_name(worker))
    }

    /// The name of a worker.
    ///
    /// # Panics
    ///
    /// Panics if this instance has not assigned the id.
    fn worker_name(&self, worker: WorkerId) -> &str {
        &self.workers.names()[worker.0 as usize]
    }

    /// Closes a job that gets its final response, and returns the job's name; `None` if the job is unknown.
    fn close(&mut self, job: JobId) -> Option<&str> {
        let open = self.jobs.get_mut(&job)?;
        open.is_closed = true;
        Some(&open.name)
    }
}

/// The index of the attempt that a line names; 0 if the line has none.
fn attempt_index(fields: &Fields) -> Result<u32, LineError> {
    Ok(fields.parsed("RoundNo")?.unwrap_or(0))
}

/// Parses the outcome of an attempt or a probe, from the field `Ending` of a line.
fn parse_outcome(fields: &Fields) -> Result<Outcome, LineError> {
    Ok(match fields.text("Ending")? {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Rejected,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::NeverSent,
        other => {
            return Err(LineError::UnknownEnding {
                message: fields.message.to_owned(),
                ending: other.to_owned(),
            });
        }
    })
}
