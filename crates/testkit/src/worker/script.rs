//! The scripts of jobs, which a [`FakeWorker`] runs.
//!
//! A script is a line of commands separated by spaces, each a word or `word=value`, which run in order:
//!
//! | command | effect |
//! | --- | --- |
//! | `take` | accepts the job (202); the rest runs on a separate thread, so that the connection can take the next job |
//! | `stream` | answers 200 and reports status updates as events on this connection |
//! | `started`, `running=FRACTION`, `done=RESULT`, `failed`, `returned`, `lost` | reports this status |
//! | `full`, `busy`, `error` | answers 503 with `X-Unprocessed`, 503, 500 |
//! | `wait=GATE` | waits for [`FakeWorker::open_gate`] |
//! | `pause=MS` | waits for this time |
//! | `tick=COUNT,MS` | sends COUNT progress updates at this interval, each with its send time |
//! | `flood=COUNT`, `big=BYTES` | sends COUNT progress events at once; sends one event with this many bytes of filler |
//! | `cut`, `half` | closes the connection; closes the connection in the middle of an event |
//! | `hang` | sends nothing until the dispatcher closes the connection; after `take`, reports nothing more |
//! | `mute=NAME`, `stale=NAME` | on the worker of that name: like `hang`; closes a reused connection when the job arrives |

use super::FakeWorker;
use crate::http::chunk;
use crate::job_status::JobStatus;
use crate::timestamp_fraction;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// One command of a script.
enum Command<'a> {
    Accept,
    BeginStream,
    Report(JobStatus),
    /// Answers 503 to a job that was not run.
    Reject,
    /// Answers 503 to a job that may have run.
    Fail,
    /// Answers 500.
    Error,
    WaitForGate(&'a str),
    Pause(Duration),
    SendProgress {
        count: u32,
        interval: Duration,
    },
    Flood {
        count: u32,
    },
    SendBigEvent {
        bytes: usize,
    },
    Cut,
    SendHalfAnEvent,
    Hang,
    /// Hangs if the worker has this name.
    Mute(&'a str),
    /// Closes a reused connection when the job arrives; [`FakeWorker::serve`] handles this command.
    Stale,
}

impl<'a> Command<'a> {
    /// Parses a command, which is a word or `word=value`; `None` if there is no command with this name.
    ///
    /// # Panics
    ///
    /// If the value is not valid for the command.
    fn parse(text: &'a str) -> Option<Command<'a>> {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        let command = match name {
            "take" => Command::Accept,
            "stream" => Command::BeginStream,
            "started" => Command::Report(JobStatus::Started),
            "running" => {
                Command::Report(JobStatus::Running { fraction: value.parse().expect("not a fraction") })
            }
            "done" => Command::Report(done(value)),
            "failed" => Command::Report(JobStatus::Failed),
            "returned" => Command::Report(JobStatus::Returned),
            "lost" => Command::Report(JobStatus::Lost),
            "full" => Command::Reject,
            "busy" => Command::Fail,
            "error" => Command::Error,
            "wait" => Command::WaitForGate(value),
            "pause" => Command::Pause(milliseconds(value)),
            "tick" => {
                let (count, interval) = value.split_once(',').expect("no comma in COUNT,MS");
                Command::SendProgress { count: number(count), interval: milliseconds(interval) }
            }
            "flood" => Command::Flood { count: number(value) },
            "big" => Command::SendBigEvent { bytes: value.parse().expect("not a number") },
            "cut" => Command::Cut,
            "half" => Command::SendHalfAnEvent,
            "hang" => Command::Hang,
            "mute" => Command::Mute(value),
            "stale" => Command::Stale,
            _ => return None,
        };
        Some(command)
    }
}

/// The status of a finished job, with the load report of a worker that has free slots.
fn done(result: &str) -> JobStatus {
    JobStatus::Done { result: result.to_owned(), load: json!({"cpu": 0.2, "x0": 3.0}) }
}

fn number(text: &str) -> u32 {
    text.parse().expect("not a number")
}

fn milliseconds(text: &str) -> Duration {
    Duration::from_millis(text.parse().expect("not a number"))
}

/// How the connection continues after a command.
enum Next {
    RunNextCommand,
    KeepConnection,
    CloseConnection,
}

impl Next {
    /// Continues with the next command if the last one succeeded, and closes the connection otherwise.
    fn after(succeeded: bool) -> Next {
        if succeeded { Next::RunNextCommand } else { Next::CloseConnection }
    }
}

/// The run of one job's script.
pub(super) struct ScriptRun<'a> {
    worker: &'a Arc<FakeWorker>,
    stream: &'a mut TcpStream,
    job_id: &'a str,
    /// Status updates go out as events on this connection.
    is_streaming: bool,
    /// The job was accepted, so its updates go out as callbacks.
    is_accepted: bool,
}

impl<'a> ScriptRun<'a> {
    pub(super) fn new(
        worker: &'a Arc<FakeWorker>,
        stream: &'a mut TcpStream,
        job_id: &'a str,
    ) -> ScriptRun<'a> {
        ScriptRun { worker, stream, job_id, is_streaming: false, is_accepted: false }
    }

    /// Runs a script to its end. Returns whether the connection stays open.
    pub(super) fn run(&mut self, script: &str) -> bool {
        let mut remaining = Some(script);
        while let Some(commands) = remaining {
            let (command, rest) = match commands.split_once(' ') {
                Some((command, rest)) => (command, Some(rest)),
                None => (commands, None),
            };
            remaining = rest;
            let next = match Command::parse(command) {
                Some(command) => self.run_command(&command, rest),
                None => Next::CloseConnection,
            };
            match next {
                Next::RunNextCommand => {}
                Next::KeepConnection => return true,
                Next::CloseConnection => return false,
            }
        }
        !self.is_streaming
    }

    fn run_command(&mut self, command: &Command<'_>, rest: Option<&str>) -> Next {
        match command {
            Command::Accept => self.accept(rest),
            Command::BeginStream => self.begin_stream(),
            Command::Report(status) => self.report(status),
            Command::Reject => {
                self.write("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
            }
            Command::Fail => self.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
            Command::Error => self.write("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"),
            Command::WaitForGate(gate) => {
                self.worker.wait_for_gate(gate);
                Next::RunNextCommand
            }
            Command::Pause(duration) => {
                std::thread::sleep(*duration);
                Next::RunNextCommand
            }
            Command::SendProgress { count, interval } => self.send_progress(*count, *interval),
            Command::Flood { count } => self.flood(*count),
            Command::SendBigEvent { bytes } => {
                self.write(&event(&json!({"state": "running", "filler": "x".repeat(*bytes)})))
            }
            Command::Cut => self.cut(),
            Command::SendHalfAnEvent => self.send_half_an_event(),
            Command::Hang if self.is_accepted => Next::KeepConnection, // nothing more is reported
            Command::Hang => self.hang(),
            Command::Mute(name) if *name == self.worker.name => self.hang(),
            Command::Mute(_) | Command::Stale => Next::RunNextCommand,
        }
    }

    fn write(&mut self, text: &str) -> Next {
        Next::after(self.stream.write_all(text.as_bytes()).is_ok())
    }

    /// Reports a status, as an event or by a callback.
    fn report(&mut self, status: &JobStatus) -> Next {
        if self.is_streaming {
            self.write(&event(&status.to_update()))
        } else {
            Next::after(self.worker.call_back(self.job_id, status))
        }
    }

    /// Accepts the job. The rest of the script runs on another thread, so the connection is free for the next job.
    fn accept(&mut self, rest: Option<&str>) -> Next {
        let is_written = self.stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").is_ok();
        if let (Some(rest), Ok(mut stream)) = (rest.map(str::to_owned), self.stream.try_clone()) {
            let (worker, job_id) = (self.worker.clone(), self.job_id.to_owned());
            std::thread::spawn(move || {
                let mut run = ScriptRun::new(&worker, &mut stream, &job_id);
                run.is_accepted = true;
                run.run(&rest)
            });
        }
        if is_written { Next::KeepConnection } else { Next::CloseConnection }
    }

    fn begin_stream(&mut self) -> Next {
        self.is_streaming = true;
        self.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
    }

    /// Sends progress updates with their send times.
    fn send_progress(&mut self, count: u32, interval: Duration) -> Next {
        for _ in 0..count {
            std::thread::sleep(interval);
            let next = self.report(&JobStatus::Running { fraction: timestamp_fraction() });
            if !matches!(next, Next::RunNextCommand) {
                return next;
            }
        }
        Next::RunNextCommand
    }

    /// Sends many progress events in one write, so that all of them are sent before a client that reads nothing is
    /// disconnected, after 2.5 s.
    fn flood(&mut self, count: u32) -> Next {
        let progress = |number: u32| JobStatus::Running { fraction: f64::from(number % 100) / 100.0 };
        let events: String = (0..count).map(|number| event(&progress(number).to_update())).collect();
        let next = self.write(&events);
        if matches!(next, Next::RunNextCommand) {
            self.worker.record("flooded".to_owned());
        }
        next
    }

    fn cut(&mut self) -> Next {
        let _ = self.stream.shutdown(Shutdown::Both);
        Next::CloseConnection
    }

    /// Ends the connection in the middle of an event.
    fn send_half_an_event(&mut self) -> Next {
        let text = event(&JobStatus::Running { fraction: 0.5 }.to_update());
        let _ = self.stream.write_all(&text.as_bytes()[..text.len() / 2]);
        self.cut()
    }

    /// Sends nothing until the dispatcher sends further bytes or closes the connection.
    fn hang(&mut self) -> Next {
        let _ = self.stream.read(&mut [0; 64]);
        Next::CloseConnection
    }
}

/// A chunk with one server-sent event.
fn event(update: &Value) -> String {
    let state = update["state"].as_str().expect("no state in the update");
    chunk(&format!("event: {state}\ndata: {update}\n\n"))
}
