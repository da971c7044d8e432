//! The simulator's line protocol. This module parses events, prints actions and assigns ids; it makes no decisions.
//!
//! Each instance interns its own ids in order of appearance. The behaviour of an instance therefore never depends on the other
//! instances in its process.

mod error;
mod fields;
mod instance;

pub use error::{LineError, SettingNotANumber, WireError};

use crate::policy::interface::{Action, AttemptEnded, Event, JobId, Micros};
use fields::Fields;
use instance::Instance;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The highest number that a table may have.
const MAX_TABLE: usize = 15;

/// A table that still lacks rows.
#[derive(Clone, Copy)]
struct OpenTable {
    number: usize,
    missing_rows: usize,
}

/// The next step after a line has been handled.
#[derive(PartialEq, Eq)]
enum Step {
    /// Read the next line.
    Continue,
    /// The batch is complete, and the reply must be sent.
    Reply,
}

/// The host of all instances in this process. It keeps the instances by name, and the state of the batch that is being read.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    tables: Vec<Vec<String>>,
    open_table: Option<OpenTable>,
    /// The number of the line that is being read, from 1.
    line: u64,
    /// The time of the open batch; `None` between two batches.
    now: Option<Micros>,
    actions: Vec<Action>,
    /// The instance to which the lines being read belong.
    current: Option<String>,
    /// The instance whose actions were printed last in the reply.
    printed: Option<String>,
    reply: String,
}

impl Host {
    /// Reads batches and writes a reply to each, until the input ends.
    ///
    /// # Errors
    ///
    /// Returns an error if reading or writing fails, or at the first line that is malformed.
    pub fn serve(&mut self, mut input: impl BufRead, output: &mut impl Write) -> Result<(), WireError> {
        let mut line = String::new();
        loop {
            line.clear();
            self.line += 1;
            let length = input.read_line(&mut line).map_err(|error| match error.kind() {
                io::ErrorKind::InvalidData => self.malformed(LineError::NotUtf8),
                _ => WireError::Io(error),
            })?;
            if length == 0 {
                return match self.now {
                    None => Ok(()),
                    Some(_) => Err(self.malformed(LineError::CutShort)),
                };
            }
            let fields = Fields::parse(line.trim_end_matches(['\n', '\r']));
            if self.on_line(&fields).map_err(|error| self.malformed(error))? == Step::Reply {
                self.reply.push_str("done\n");
                output.write_all(self.reply.as_bytes())?;
                output.flush()?;
                self.reply.clear();
                self.current = None;
                self.printed = None;
            }
        }
    }

    /// Adds the number of the line that is being read to an error.
    fn malformed(&self, error: LineError) -> WireError {
        WireError::Malformed { line: self.line, error }
    }

    /// Handles one line. Unknown messages within a batch are ignored.
    fn on_line(&mut self, fields: &Fields) -> Result<Step, LineError> {
        if fields.message == "batch" {
            if self.now.is_some() {
                return Err(LineError::NestedBatch);
            }
            self.now = Some(fields.required_micros("AtTimeMs")?);
            return Ok(Step::Continue);
        }
        let Some(now) = self.now else {
            let is_blank = fields.message.is_empty();
            return if is_blank {
                Ok(Step::Continue)
            } else {
                Err(LineError::OutsideBatch(fields.message.to_owned()))
            };
        };
        if let Some(table) = self.open_table.take() {
            self.on_table_row(fields, table)?;
            return Ok(Step::Continue);
        }
        match fields.message {
            "commit" => {
                self.now = None;
                return Ok(Step::Reply);
            }
            "table" => self.on_table(fields)?,
            "instance" => self.current = Some(fields.text("Who")?.to_owned()),
            "hello" => {
                let name = self.current_name(fields)?.to_owned();
                self.instances.insert(name, Instance::new(fields)?);
            }
            "teardown" => {
                let name = self.current_name(fields)?.to_owned();
                self.instances.remove(&name).ok_or_else(|| unknown_instance(fields, &name))?;
            }
            "announce" | "accept" | "begun" | "change" | "ended" | "hangup" | "wake" | "echo" | "mail" => {
                self.on_event(now, fields)?;
            }
            _ => {}
        }
        Ok(Step::Continue)
    }

    /// Begins a table, whose rows follow. It replaces an earlier table with the same number.
    fn on_table(&mut self, fields: &Fields) -> Result<(), LineError> {
        let number: usize = fields.required("Table")?;
        let rows: usize = fields.required("RowsIn")?;
        if number > MAX_TABLE {
            return Err(LineError::TableOutOfRange(number));
        }
        self.tables.resize(self.tables.len().max(number + 1), Vec::new());
        self.tables[number].clear();
        self.open_table = (rows > 0).then_some(OpenTable { number, missing_rows: rows });
        Ok(())
    }

    /// Adds a row to the open table.
    fn on_table_row(&mut self, fields: &Fields, table: OpenTable) -> Result<(), LineError> {
        let OpenTable { number, missing_rows } = table;
        if fields.message != "executor" {
            let message = fields.message.to_owned();
            return Err(LineError::TableCutShort { message, missing: missing_rows });
        }
        let row = fields.pairs.iter().fold(String::from("executor"), |row, (n, v)| row + "\t" + n + "=" + v);
        self.tables[number].push(row);
        self.open_table = (missing_rows > 1).then_some(OpenTable { number, missing_rows: missing_rows - 1 });
        Ok(())
    }

    /// The name of the instance to which the lines being read belong.
    fn current_name(&self, fields: &Fields) -> Result<&str, LineError> {
        self.current.as_deref().ok_or_else(|| LineError::NoInstance(fields.message.to_owned()))
    }

    /// Passes the event of a line to its instance, and appends the resulting actions to the reply. A panic of the decision module
    /// ends only the handling of that event, and is reported in the reply.
    fn on_event(&mut self, now: Micros, fields: &Fields) -> Result<(), LineError> {
        let Some(name) = &self.current else { return Err(LineError::NoInstance(fields.message.to_owned())) };
        let instance = self.instances.get_mut(name).ok_or_else(|| unknown_instance(fields, name))?;
        let Some(event) = instance.event(fields, &self.tables)? else { return Ok(()) };
        let ended_job = ended_job(&event);
        self.actions.clear();
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| instance.dispatcher.handle(now, event, actions)));
        if !self.actions.is_empty() || handled.is_err() {
            if self.printed.as_ref() != Some(name) {
                self.reply.push_str(&format!("by\tWho={name}\n"));
                self.printed = Some(name.clone());
            }
            for action in &self.actions {
                instance.print(action, &mut self.reply);
            }
        }
        if handled.is_err() {
            self.reply.push_str("bail_out\tMessage=the decision code panicked, see standard error\n");
        }
        let answered = self.actions.iter().filter_map(answered_job);
        for job in answered.chain(ended_job) {
            instance.forget(job);
        }
        Ok(())
    }
}

/// The error for a line whose instance does not exist.
fn unknown_instance(fields: &Fields, name: &str) -> LineError {
    LineError::UnknownInstance { message: fields.message.to_owned(), name: name.to_owned() }
}

/// The job that an event ends, or one of whose attempts it ends. Afterwards the job may have to be removed.
fn ended_job(event: &Event) -> Option<JobId> {
    match event {
        Event::AttemptEnded(AttemptEnded { job, .. }) | Event::ClientDisconnected(job) => Some(*job),
        _ => None,
    }
}

/// The job to which an action gives the final response.
fn answered_job(action: &Action) -> Option<JobId> {
    match action {
        Action::Reject { job, .. } | Action::Fail(job) => Some(*job),
        _ => None,
    }
}
