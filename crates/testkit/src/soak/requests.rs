//! Every request of a run, and the rules that hold for it.

use super::report::{Report, Rule};
use super::{MICROS_PER_MS, Micros};
use std::collections::HashMap;
use std::sync::Mutex;

/// An attempt may begin so long after its client has left.
const LEFT_GRACE: Micros = 100 * MICROS_PER_MS;
/// The time told to a worker may exceed the client's by so much.
const TIME_LEFT_SLACK: Micros = 150 * MICROS_PER_MS;
/// The final answer may come so long after the request's time.
const ANSWER_GRACE: Micros = 500 * MICROS_PER_MS;
/// Every time limit on sockets is longer by this.
const SOCKET_SLACK: Micros = 50 * MICROS_PER_MS;

/// Whether and how a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Repeat {
    /// At any worker.
    Anywhere,
    /// Within one cell.
    InCell,
    /// Only if no attempt before can have run.
    Never,
}

/// What is known of the work of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// It is out, and may run.
    Open,
    /// It was turned away and never ran.
    NeverRan,
    /// It has ended or was given up, and may have run.
    Ended,
}

#[derive(Debug)]
struct Attempt {
    worker: usize,
    cell: u32,
    state: AttemptState,
}

#[derive(Debug)]
struct Request {
    process: usize,
    repeat: Repeat,
    sent_at: Micros,
    budget: Micros,
    left_at: Option<Micros>,
    answered_at: Option<Micros>,
    attempts: Vec<Attempt>,
    /// Whether the process was killed, so that nothing is expected any more.
    is_excused: bool,
}

/// A request as its client sends it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest {
    pub process: usize,
    pub repeat: Repeat,
    pub sent_at: Micros,
    pub budget: Micros,
}

/// An attempt as it arrives at a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivedAttempt {
    pub worker: usize,
    pub cell: u32,
    pub at: Micros,
    /// The time that the dispatcher says is left; `None` if it says nothing.
    pub stated_time: Option<Micros>,
    /// By how much the measured times may be too late.
    pub lag: Micros,
}

/// All requests of a run, by id.
#[derive(Debug, Default)]
pub(super) struct Requests {
    by_id: Mutex<HashMap<String, Request>>,
}

impl Requests {
    /// Records a request. Must be called before its last byte is written.
    pub(super) fn on_sent(&self, id: &str, sent: SentRequest) {
        let SentRequest { process, repeat, sent_at, budget } = sent;
        let request = Request {
            process,
            repeat,
            sent_at,
            budget,
            left_at: None,
            answered_at: None,
            attempts: Vec::new(),
            is_excused: false,
        };
        self.by_id.lock().expect("mutex poisoned").insert(id.to_owned(), request);
    }

    /// Records that the last byte of a request was written.
    pub(super) fn on_written(&self, id: &str, at: Micros) {
        if let Some(request) = self.by_id.lock().expect("mutex poisoned").get_mut(id) {
            request.sent_at = at;
        }
    }

    /// Records that the client has closed its connection.
    pub(super) fn on_left(&self, id: &str, at: Micros) {
        if let Some(request) = self.by_id.lock().expect("mutex poisoned").get_mut(id) {
            request.left_at = Some(at);
        }
    }

    /// Records that a killed process can no longer answer, and that its client may send the request again.
    pub(super) fn excuse(&self, id: &str) {
        if let Some(request) = self.by_id.lock().expect("mutex poisoned").get_mut(id) {
            request.is_excused = true;
        }
    }

    /// Records the final answer, and checks its time.
    pub(super) fn on_answered(&self, id: &str, at: Micros, lag: Micros, report: &Report) {
        let mut requests = self.by_id.lock().expect("mutex poisoned");
        let Some(request) = requests.get_mut(id) else { return };
        request.answered_at = Some(at);
        let latest = request.sent_at + request.budget + ANSWER_GRACE + SOCKET_SLACK + lag;
        if at > latest {
            let late = (at - request.sent_at - request.budget) / MICROS_PER_MS;
            report.find(at, Rule::NoAnswer, format!("{id} of n{} {late} ms after its time", request.process));
        }
    }

    /// Whether an attempt of a request has arrived at a worker.
    pub(super) fn has_attempts(&self, id: &str) -> bool {
        self.by_id.lock().expect("mutex poisoned").get(id).is_some_and(|request| !request.attempts.is_empty())
    }

    /// Checks an attempt that has arrived at a worker, and records it. Returns the request's process.
    pub(super) fn on_attempt(&self, id: &str, arrived: ArrivedAttempt, report: &Report) -> Option<usize> {
        let mut requests = self.by_id.lock().expect("mutex poisoned");
        let Some(request) = requests.get_mut(id) else {
            report.find(arrived.at, Rule::Duplicate, format!("{id} is not a request of any client"));
            return None;
        };
        request.check_times(id, arrived, report);
        request.check_copies(id, arrived, report);
        request.attempts.push(Attempt {
            worker: arrived.worker,
            cell: arrived.cell,
            state: AttemptState::Open,
        });
        Some(request.process)
    }

    /// Records what has become of the last attempt at a worker.
    pub(super) fn on_attempt_ended(&self, id: &str, worker: usize, state: AttemptState) {
        let mut requests = self.by_id.lock().expect("mutex poisoned");
        let Some(request) = requests.get_mut(id) else { return };
        let open = |attempt: &&mut Attempt| attempt.worker == worker && attempt.state == AttemptState::Open;
        if let Some(attempt) = request.attempts.iter_mut().rev().find(open) {
            attempt.state = state;
        }
    }
}

impl Request {
    fn check_times(&self, id: &str, arrived: ArrivedAttempt, report: &Report) {
        let ArrivedAttempt { at, stated_time, lag, worker, .. } = arrived;
        let ms = |micros: Micros| micros / MICROS_PER_MS;
        let ends_at = self.sent_at + self.budget;
        if let Some(left_at) = self.left_at.filter(|left_at| at > left_at + LEFT_GRACE + lag) {
            let text = format!("{id} of n{} at worker {worker}, {} ms later", self.process, ms(at - left_at));
            report.find(at, Rule::SentAfterClientLeft, text);
        }
        if let Some(answered_at) =
            self.answered_at.filter(|answered_at| at > answered_at + SOCKET_SLACK + lag)
        {
            let text =
                format!("{id} of n{} at worker {worker}, {} ms later", self.process, ms(at - answered_at));
            report.find(at, Rule::SentAfterAnswer, text);
        }
        if at > ends_at + SOCKET_SLACK + lag {
            let text = format!("{id} of n{} at worker {worker}, {} ms later", self.process, ms(at - ends_at));
            report.find(at, Rule::SentAfterDeadline, text);
        }
        let left = ends_at.saturating_sub(at);
        if let Some(stated) = stated_time.filter(|stated| *stated > left + TIME_LEFT_SLACK + lag) {
            let text = format!("{id} of n{}: {} ms told, {} ms left", self.process, ms(stated), ms(left));
            report.find(at, Rule::ToldTooLong, text);
        }
    }

    fn check_copies(&self, id: &str, arrived: ArrivedAttempt, report: &Report) {
        if self.is_excused {
            return;
        }
        let ArrivedAttempt { at, worker, cell, .. } = arrived;
        let is_open_here =
            self.attempts.iter().any(|other| other.worker == worker && other.state == AttemptState::Open);
        let mut may_have_run = self.attempts.iter().filter(|other| other.state != AttemptState::NeverRan);
        let is_forbidden = match self.repeat {
            Repeat::Anywhere => false,
            Repeat::InCell => may_have_run.any(|other| other.cell != cell),
            Repeat::Never => may_have_run.next().is_some(),
        };
        if is_open_here || is_forbidden {
            let text = format!("{id} ({:?}) of n{} at worker {worker}", self.repeat, self.process);
            report.find(at, Rule::Duplicate, format!("{text} after {:?}", self.attempts));
        }
    }
}
