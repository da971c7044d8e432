//! The simulated list service, and the calls and watches of dispatchers.

use super::event_queue::{Event, ProcessId};
use super::{HOP_LATENCY, MS, PollingStrategy, SECOND, SILENCE_TIMEOUT, Simulation};
use crate::poll_scheduler;

/// The wait after which a call is refused.
const MAX_WAIT: u64 = SECOND;
/// The generation of the service's list. The generation of the old list is 1.
const GENERATION: u64 = 2;

/// The state of the service.
pub(super) struct ListService {
    pub is_up: bool,
    /// When the service will have handled all waiting calls.
    free_at: u64,
    /// The number of times that the service went down, which identifies its current run.
    run: u64,
    /// The number of calls in the queue.
    waiting: u64,
}

impl Default for ListService {
    fn default() -> ListService {
        ListService { is_up: true, free_at: 0, run: 0, waiting: 0 }
    }
}

/// A call of a dispatcher to the service.
#[derive(Clone, Copy)]
pub(super) struct Call {
    pub process: ProcessId,
    /// The number of the call at this process, from 1.
    number: u64,
    /// The run of the service that accepted the call.
    service_run: u64,
}

/// The end of a call, as the dispatcher sees it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Reply {
    List,
    Refused,
    Reset,
    /// The service accepted the call and never answers.
    Silence,
    TimedOut,
}

impl Reply {
    /// Whether the service sends the reply, so that the reply is lost if the service goes down first.
    fn depends_on_service(self) -> bool {
        matches!(self, Reply::List | Reply::Refused | Reply::Silence)
    }
}

impl Simulation<'_> {
    pub(super) fn on_wake(&mut self, place: u16) {
        let now = self.now;
        let pause = self.scenario.pause.map_or(0, |pause| pause.duration);
        let dispatcher = self.dispatcher_mut(place);
        if dispatcher.has_watch {
            return;
        }
        let process = ProcessId { place, incarnation: dispatcher.incarnation };
        if let Some(state_machines) = &mut dispatcher.state_machines {
            let is_due = state_machines.scheduler.next_wake().is_some_and(|at| at <= now);
            if dispatcher.will_pause && is_due {
                dispatcher.will_pause = false;
                dispatcher.paused_until = now + pause;
                return self.schedule(now + pause, Event::Wake(process));
            }
            let call = state_machines.scheduler.tick(now);
            self.publish(place);
            if call.is_none() {
                return self.schedule_wake(place);
            }
        } else if dispatcher.open_calls > 0 {
            return;
        }
        self.call(process);
    }

    fn call(&mut self, process: ProcessId) {
        let now = self.now;
        let dispatcher = self.dispatcher_mut(process.place);
        dispatcher.calls += 1;
        dispatcher.called_at = now;
        dispatcher.open_calls += 1;
        let (number, open_calls) = (dispatcher.calls, dispatcher.open_calls);
        self.measurements.record_call(now, open_calls);
        self.schedule(now + HOP_LATENCY, Event::CallArrives(Call { process, number, service_run: 0 }));
    }

    /// Schedules the next wake of the scheduler, if it has one.
    pub(super) fn schedule_wake(&mut self, place: u16) {
        let dispatcher = self.dispatcher(place);
        let wake = dispatcher
            .state_machines
            .as_ref()
            .and_then(|state_machines| state_machines.scheduler.next_wake());
        let process = ProcessId { place, incarnation: dispatcher.incarnation };
        if let Some(at) = wake {
            self.schedule(at.max(self.now + 1), Event::Wake(process));
        }
    }

    pub(super) fn on_call_arrives(&mut self, call: Call) {
        if !self.service.is_up {
            return self.schedule(self.now + HOP_LATENCY, Event::Reply(call, Reply::Reset));
        }
        self.service.waiting += 1;
        self.measurements.record_queue(self.service.waiting);
        let begins_at = self.now.max(self.service.free_at);
        let (at, reply) = if begins_at - self.now > MAX_WAIT {
            (self.now + MAX_WAIT, Reply::Refused)
        } else {
            self.service.free_at = begins_at + self.scenario.service_time;
            let is_silent = call.number == 1 && self.rng.f64() < self.scenario.silent_first_watches;
            (self.service.free_at, if is_silent { Reply::Silence } else { Reply::List })
        };
        let call = Call { service_run: self.service.run, ..call };
        self.schedule(at, Event::Reply(call, reply));
    }

    pub(super) fn on_reply(&mut self, call: Call, reply: Reply) {
        let now = self.now;
        let place = call.process.place;
        if reply.depends_on_service() {
            if call.service_run != self.service.run {
                return;
            }
            self.service.waiting -= 1;
        }
        let dispatcher = self.dispatcher_mut(place);
        if dispatcher.calls != call.number || dispatcher.open_calls == 0 {
            return;
        }
        if reply == Reply::Silence {
            return self.schedule(now + SILENCE_TIMEOUT, Event::Reply(call, Reply::TimedOut));
        }
        dispatcher.open_calls -= 1;
        let waited = now - dispatcher.called_at;
        let failure = match reply {
            Reply::List => return self.on_list(place, waited),
            Reply::Refused => poll_scheduler::Event::Refused { waited, retry_after: None },
            Reply::TimedOut => poll_scheduler::Event::TimedOut,
            Reply::Reset | Reply::Silence => poll_scheduler::Event::Failed,
        };
        self.measurements.record_failed_call();
        self.on_call_or_watch_failed(place, failure);
    }

    /// Handles a call that was answered with a list; its watch is open.
    fn on_list(&mut self, place: u16, waited: u64) {
        let now = self.now;
        let back_at = self.scenario.outage_end();
        let silence_deadline = self.silence_deadline;
        let dispatcher = &mut self.dispatchers[usize::from(place)];
        dispatcher.has_watch = true;
        dispatcher.failures = 0;
        let was_silent = std::mem::take(&mut dispatcher.is_watch_silent);
        if was_silent && silence_deadline.is_some_and(|deadline| now > deadline) {
            self.measurements.record_late_watch();
        }
        if dispatcher.first_list_at.is_none() {
            dispatcher.first_list_at = Some(now);
            self.measurements.record_first_list(now.saturating_sub(dispatcher.started_at.max(back_at)));
        }
        if let Some(state_machines) = &mut dispatcher.state_machines {
            self.current_list.iter().for_each(|worker| state_machines.confirmation.on_listed(*worker as u64));
            let answered = poll_scheduler::Event::Answered { generation: GENERATION, waited };
            state_machines.scheduler.handle(now, answered);
        }
        self.publish(place);
    }

    /// Handles the failure of a call or the end of a watch, and schedules the next call.
    fn on_call_or_watch_failed(&mut self, place: u16, event: poll_scheduler::Event) {
        let (now, poll_within) = (self.now, self.scenario.poll_within);
        let dispatcher = self.dispatcher_mut(place);
        dispatcher.failures += 1;
        let failures = dispatcher.failures;
        let process = ProcessId { place, incarnation: dispatcher.incarnation };
        if let Some(state_machines) = &mut dispatcher.state_machines {
            state_machines.scheduler.handle(now, event);
            self.publish(place);
            return self.schedule_wake(place);
        }
        let max_wait = match self.strategy {
            PollingStrategy::RandomWait => (poll_within / 8) << failures.min(3),
            _ => ((100 * MS) << failures.min(10)).min(10 * SECOND),
        };
        let at = now + self.rng.u64(0..=max_wait);
        self.schedule(at, Event::Wake(process));
    }

    /// Resets all calls and ends all watches.
    pub(super) fn on_service_down(&mut self) {
        self.service = ListService { is_up: false, run: self.service.run + 1, ..ListService::default() };
        for place in 0..self.scenario.dispatchers {
            let dispatcher = self.dispatcher_mut(place);
            if dispatcher.has_watch {
                dispatcher.has_watch = false;
                self.on_call_or_watch_failed(place, poll_scheduler::Event::WatchEnded);
            } else if dispatcher.open_calls > 0 {
                let process = ProcessId { place, incarnation: dispatcher.incarnation };
                let call = Call { process, number: dispatcher.calls, service_run: 0 };
                self.schedule(self.now + HOP_LATENCY, Event::Reply(call, Reply::Reset));
            }
        }
    }

    pub(super) fn on_watches_fall_silent(&mut self) {
        for place in 0..self.scenario.dispatchers {
            let dispatcher = self.dispatcher_mut(place);
            if dispatcher.has_watch {
                dispatcher.is_watch_silent = true;
                let process = ProcessId { place, incarnation: dispatcher.incarnation };
                self.schedule(self.now + SILENCE_TIMEOUT, Event::SilenceNoticed(process));
            }
        }
    }

    pub(super) fn on_silence_noticed(&mut self, place: u16) {
        let deadline = self.silence_deadline.unwrap_or(self.now + SILENCE_TIMEOUT);
        let deadline = deadline - self.scenario.service_time;
        self.dispatcher_mut(place).has_watch = false;
        self.on_call_or_watch_failed(place, poll_scheduler::Event::WatchSilent { deadline });
    }
}
