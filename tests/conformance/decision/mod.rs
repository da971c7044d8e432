//! Runs conformance tables on the decision module of one dispatcher.
//!
//! Observations:
//!
//! - `J to W`: job J is sent to worker W;
//! - `J waits`: job J has no outstanding attempt and no final response;
//! - `J refused`, `J failed`: job J gets this final response;
//! - `J calls off N`: attempt N of job J is cancelled;
//! - `probe W`: a load probe is sent to worker W;
//! - `watch`, `fetch`: a watch of the endpoint list is opened, or the list is fetched;
//! - `spread N`: the number of different workers that the latest jobs were sent to;
//! - `score X`: the capability score.

pub mod simple_balancers;
mod situation;
mod steps;

use crate::common::{MS, TestDispatcher};
use crate::runner::{Machine, MachineError};
use crate::table::out_of_range;
use mothproxy::*;
use simple_balancers::{ChooseWorker, ReadyWorker};
use situation::{ListedWorker, Situation, endpoint_list};
use std::collections::{BTreeMap, BTreeSet};
use steps::{DecisionStep, EndedAttempt, NewRequest, WorkerLoad};

/// The time at which a row starts.
const START: Micros = 1_000_000 * MS;

/// The state of a job, as the test driver tracks it.
#[derive(Default)]
struct JobState {
    /// The worker of each attempt, by attempt number.
    sent_to: Vec<WorkerId>,
    outstanding: usize,
    is_over: bool,
}

impl JobState {
    fn is_waiting(&self) -> bool {
        self.outstanding == 0 && !self.is_over
    }

    /// The number of the latest attempt; 0 if there is none.
    fn latest_attempt(&self) -> usize {
        self.sent_to.len().saturating_sub(1)
    }
}

/// The decision module of one dispatcher.
pub struct DecisionMachine {
    dispatcher: TestDispatcher,
    jobs: BTreeMap<u64, JobState>,
    /// The workers of all attempts, in order.
    sent_to: Vec<WorkerId>,
    /// A simple balancer whose choice replaces that of the module.
    balancer: Option<ChooseWorker>,
    /// The workers of the initial endpoint list.
    ready: Vec<ReadyWorker>,
}

impl Machine for DecisionMachine {
    type Given = Situation;
    type Step = DecisionStep;

    fn new(situation: Situation, seed: u64) -> Result<DecisionMachine, MachineError> {
        let settings = situation.settings();
        settings.check().map_err(MachineError::rejected)?;
        let mut dispatcher = TestDispatcher::with_seed(settings, seed);
        dispatcher.now = START;
        let list = endpoint_list(&situation.workers, START);
        let ready = list.iter().map(|entry| ReadyWorker { id: entry.worker.0, outstanding: 0 }).collect();
        dispatcher.feed(Event::EndpointList(ListKind::Snapshot, list));
        Ok(DecisionMachine { dispatcher, jobs: BTreeMap::new(), sent_to: Vec::new(), balancer: None, ready })
    }

    fn step(&mut self, step: DecisionStep) -> Result<Vec<String>, MachineError> {
        let actions = match step {
            DecisionStep::Arrive(new) => return Ok(self.arrive(&new)),
            DecisionStep::End(ended) => return self.end_attempt(&ended),
            DecisionStep::Spread(last) => return Ok(vec![self.spread(last)]),
            DecisionStep::Score(cpu, load) => return Ok(vec![self.score(cpu, load)]),
            DecisionStep::Report(load) => self.report(load),
            DecisionStep::ProbeEnded { worker, outcome } => {
                self.dispatcher.end_probe(worker, outcome.into(), None)
            }
            DecisionStep::Reports { every, times, of } => self.report_repeatedly(every, times, &of),
            DecisionStep::Start { job } => self.start(job),
            DecisionStep::Disconnect(job) => {
                self.jobs.entry(job).or_default().is_over = true;
                self.dispatcher.feed(Event::ClientDisconnected(JobId(job)))
            }
            DecisionStep::List(workers) => self.receive_list(ListKind::Snapshot, &workers),
            DecisionStep::Changes(workers) => self.receive_list(ListKind::Delta, &workers),
            DecisionStep::ListFailed(times) => {
                (0..times).flat_map(|_| self.dispatcher.feed(Event::ListFailed)).collect()
            }
            DecisionStep::Advance(span) => self.dispatcher.advance(span * MS),
        };
        Ok(self.perform(&actions))
    }

    fn inverse(observation: &str) -> String {
        let (head, last) = observation.rsplit_once(' ').unwrap_or(("", observation));
        let job = observation.split(' ').next().filter(|job| !job.is_empty()).unwrap_or("1");
        match last {
            "waits" => format!("{job} to 0"),
            "refused" => format!("{job} failed"),
            "failed" => format!("{job} refused"),
            "" => "1 to 0".to_owned(),
            _ if head == "score" => {
                let high: f64 = last.split("..").last().and_then(|high| high.parse().ok()).unwrap_or(0.0);
                format!("score {}..{}", high + 0.001, high + 1.0)
            }
            _ => out_of_range(observation),
        }
    }
}

impl DecisionMachine {
    /// Replaces the module's choice of workers by that of a balancer.
    pub fn with_balancer(self, choose: ChooseWorker) -> DecisionMachine {
        DecisionMachine { balancer: Some(choose), ..self }
    }

    fn report(&mut self, load: WorkerLoad) -> Vec<Action> {
        self.dispatcher.end_probe(load.worker, Outcome::Ok, Some(load.into()))
    }

    fn report_repeatedly(&mut self, every: u64, times: u64, loads: &[WorkerLoad]) -> Vec<Action> {
        let mut actions = Vec::new();
        for round in 0..times {
            for load in loads {
                actions.extend(self.report(*load));
            }
            let is_last = round + 1 == times;
            if !is_last {
                actions.extend(self.dispatcher.advance(every * MS));
            }
        }
        actions
    }

    fn arrive(&mut self, new: &NewRequest) -> Vec<String> {
        self.jobs.insert(new.job, JobState::default());
        let actions = self.dispatcher.feed(Event::Arrived(NewJob {
            job: JobId(new.job),
            class: ClassId(new.class),
            tenant: None,
            subject: None,
            deadline: self.dispatcher.now + new.time_budget * MS,
            hint: (new.work > 0).then_some(new.work * MS),
            slots: new.slots,
            memory: new.memory,
            is_retry: false,
            estimate: None,
            tenant_weight: None,
        }));
        self.perform_for_job(new.job, &actions)
    }

    fn start(&mut self, job: u64) -> Vec<Action> {
        let attempt = self.jobs.get(&job).map_or(0, JobState::latest_attempt) as u32;
        self.dispatcher.feed(Event::Started { job: JobId(job), attempt })
    }

    fn end_attempt(&mut self, ended: &EndedAttempt) -> Result<Vec<String>, MachineError> {
        let EndedAttempt { job, outcome, attempt, elapsed, report } = *ended;
        let outcome = Outcome::from(outcome);
        let state = self.jobs.get_mut(&job).ok_or(MachineError::Missing("job"))?;
        let attempt = attempt.map_or(state.latest_attempt(), |number| number as usize);
        let worker = *state.sent_to.get(attempt).ok_or(MachineError::Missing("attempt"))?;
        state.outstanding -= 1;
        state.is_over |= outcome == Outcome::Ok;
        let closed = state.is_over;
        if let Some(ready) = self.ready.iter_mut().find(|ready| ready.id == worker.0) {
            ready.outstanding = ready.outstanding.saturating_sub(1);
        }
        let actions = self.dispatcher.feed(Event::AttemptEnded(AttemptEnded {
            job: JobId(job),
            attempt: attempt as u32,
            worker,
            elapsed: elapsed * MS,
            is_job_closed: closed,
            outcome,
            report: report.map(LoadReport::from),
        }));
        Ok(if closed { self.perform(&actions) } else { self.perform_for_job(job, &actions) })
    }

    fn receive_list(&mut self, kind: ListKind, workers: &[ListedWorker]) -> Vec<Action> {
        let list = endpoint_list(workers, self.dispatcher.now);
        self.dispatcher.feed(Event::EndpointList(kind, list))
    }

    fn spread(&self, last: usize) -> String {
        let workers: BTreeSet<WorkerId> = self.sent_to.iter().rev().take(last).copied().collect();
        format!("spread {}", workers.len())
    }

    fn score(&self, cpu: f64, load: f64) -> String {
        let score = match self.balancer {
            Some(_) => 1.0 - cpu,
            None => mothproxy::policy::capability(cpu, load),
        };
        format!("score {score:.3}")
    }

    fn send(&mut self, job: u64, worker: WorkerId) -> String {
        for ready in self.ready.iter_mut().filter(|ready| ready.id == worker.0) {
            ready.outstanding += 1;
        }
        let state = self.jobs.entry(job).or_default();
        state.sent_to.push(worker);
        state.outstanding += 1;
        self.sent_to.push(worker);
        format!("{job} to {}", worker.0)
    }

    fn finish(&mut self, job: u64, response: &str) -> String {
        self.jobs.entry(job).or_default().is_over = true;
        format!("{job} {response}")
    }

    /// The worker that the simple balancer chooses for a job, if there is one.
    fn balancer_choice(&self, job: u64) -> Option<WorkerId> {
        self.balancer.map(|choose| WorkerId(self.ready[choose(&self.ready, job)].id))
    }

    /// Applies the actions of the module, and returns them as observations.
    fn perform(&mut self, actions: &[Action]) -> Vec<String> {
        actions.iter().filter_map(|action| self.perform_one(action)).collect()
    }

    fn perform_one(&mut self, action: &Action) -> Option<String> {
        match *action {
            Action::Send { job, worker, .. } => {
                let worker = self.balancer_choice(job.0).unwrap_or(worker);
                Some(self.send(job.0, worker))
            }
            Action::Reject { job, .. } => Some(self.finish(job.0, "refused")),
            Action::Fail(job) => Some(self.finish(job.0, "failed")),
            Action::Cancel { job, attempt } => Some(format!("{} calls off {attempt}", job.0)),
            Action::Probe(worker) => Some(format!("probe {}", worker.0)),
            Action::OpenWatch => Some("watch".to_owned()),
            Action::FetchList => Some("fetch".to_owned()),
            Action::SetTimer(..) | Action::SendToPeer { .. } => None,
        }
    }

    /// Like [`Self::perform`] after an event of a job; adds an observation if the job is then waiting.
    fn perform_for_job(&mut self, job: u64, actions: &[Action]) -> Vec<String> {
        let mut observations = self.perform(actions);
        if observations.is_empty()
            && let Some(worker) = self.balancer_choice(job)
        {
            observations.push(self.send(job, worker));
        }
        if self.jobs.get(&job).is_some_and(JobState::is_waiting) {
            observations.push(format!("{job} waits"));
        }
        observations
    }
}
