//! The engine takes timed events, passes them to the decision module in batches, and converts the module's actions to commands.
//!
//! [`Core`] owns the parts (requests, endpoints, timers, idempotency records, ledger). This module constructs and reconfigures
//! the core and gives access to its parts. The submodules handle the events:
//! - `requests`: the arrival and the end of requests;
//! - `turn`: timers, batches, and the module's actions;
//! - `attempts`: reports on attempts, and their ends;
//! - `endpoint_list`: discovery's lists;
//! - `idempotency`: keyed requests and their records;
//! - `restart`: transfer of requests and learned state to a successor process.

mod attempts;
mod endpoint_list;
mod idempotency;
mod requests;
mod restart;
mod turn;

use super::attempt::AttemptId;
use super::clock::{CLOCK_START, UnixClock, UnixMicros};
use super::commands::{Command, RecordTicket};
use super::departed_requests::DepartedRequests;
use super::endpoint_table::EndpointTable;
use super::event_queue::EventQueue;
use super::idempotency::IdempotencyStore;
use super::ledger::{ClassTallies, Ledger, Tally};
use super::request_table::RequestTable;
use super::timers::{Timer, TimerQueue, TimerToken};
use crate::Dispatcher;
use crate::config::NameTable;
use crate::fleet::Learners;
use crate::policy::interface::{
    Action, Class, ClassId, Event, LoadReport, Micros, Outcome, PeerPresence, ProbeResponse, Settings,
    SettingsError, WorkerId,
};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The core of a dispatcher, as one state machine.
///
/// Events come in through `on_*` methods and [`Core::accept`]. [`Core::turn`] is called at the time of [`Core::next_wake`] and
/// runs the timers and the batch that are due. [`Core::next_command`] returns the resulting commands. Each accepted request gets
/// exactly one final response, unless its client disconnects or the request is transferred.
pub struct Core {
    dispatcher: Dispatcher,
    names: NameTable,
    clock: UnixClock,
    /// The minimum interval between batches of events for the decision module.
    batch_interval: Micros,
    endpoints: EndpointTable,
    ledger: Ledger,
    tallies: ClassTallies,
    requests: RequestTable,
    departed: DepartedRequests,
    timers: TimerQueue,
    events: EventQueue,
    /// A buffer for the module's actions, kept to reuse its allocation.
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// The records of keyed requests; `None` if they are not kept.
    idempotency: Option<IdempotencyStore>,
    /// Attempts that wait for their record to be persisted, by ticket.
    unpersisted: HashMap<RecordTicket, AttemptId>,
    /// The enabled learners.
    learners: Learners,
    stale_status_callbacks: u64,
}

impl Core {
    /// Creates a core without endpoints and requests. `unix_now` is the Unix time at which its clock starts, in microseconds.
    ///
    /// # Errors
    /// [`SettingsError`] if the settings contradict themselves.
    pub fn new(
        settings: Settings,
        names: NameTable,
        seed: u64,
        unix_now: u128,
    ) -> Result<Core, SettingsError> {
        let batch_interval = settings.batch_interval;
        Ok(Core {
            dispatcher: Dispatcher::new(settings, seed)?,
            names,
            clock: UnixClock::starting_at(unix_now),
            batch_interval,
            endpoints: EndpointTable::default(),
            ledger: Ledger::default(),
            tallies: ClassTallies::default(),
            requests: RequestTable::default(),
            departed: DepartedRequests::default(),
            timers: TimerQueue::default(),
            events: EventQueue::default(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            idempotency: None,
            unpersisted: HashMap::new(),
            learners: Learners::default(),
            stale_status_callbacks: 0,
        })
    }

    /// Applies new settings. Classes and tenants must have kept their ids. A class or tenant that was removed or redefined keeps
    /// its old id for the open requests.
    ///
    /// # Errors
    /// [`SettingsError`] if the settings contradict themselves or lack a class; nothing changes then.
    pub fn reconfigure(&mut self, settings: Settings, names: NameTable) -> Result<(), SettingsError> {
        let batch_interval = settings.batch_interval;
        let known_classes = self.names.class_names().len();
        self.dispatcher.reconfigure(settings)?;
        self.copy_redefined_classes(known_classes, names.class_names());
        self.batch_interval = batch_interval;
        self.names = names;
        Ok(())
    }

    /// Copies the learned state of a class to its redefinition, whose id is `known_classes` or higher.
    fn copy_redefined_classes(&mut self, known_classes: usize, classes: &[String]) {
        for new in known_classes..classes.len() {
            if let Some(old) = (0..new).rev().find(|old| classes[*old] == classes[new]) {
                self.dispatcher.copy_class(new, old);
            }
        }
    }

    /// Replaces the learners.
    pub fn enable_learners(&mut self, learners: Learners) {
        self.learners = learners;
    }

    /// The enabled learners.
    pub fn learners(&self) -> &Learners {
        &self.learners
    }

    /// Mutable access to the learners, to publish their facts and to absorb facts of other dispatchers.
    pub fn learners_mut(&mut self) -> &mut Learners {
        &mut self.learners
    }

    /// The endpoint table.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// The ledger of all requests.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The number of status callbacks since the start that were for unknown attempts or for attempts that had ended.
    pub fn stale_status_callbacks(&self) -> u64 {
        self.stale_status_callbacks
    }

    /// The first reading of the module's clock, in microseconds.
    pub fn clock_start() -> Micros {
        CLOCK_START
    }

    /// Converts a time of this clock to Unix time, both in microseconds.
    pub fn unix_time(&self, at: Micros) -> UnixMicros {
        self.clock.unix_time(at)
    }

    /// The names of the ids in the settings.
    pub fn names(&self) -> &NameTable {
        &self.names
    }

    /// Removes and returns the next command, in order of issue.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Core::turn`] must run next; `None` if nothing is scheduled.
    pub fn next_wake(&self) -> Option<Micros> {
        self.events.next_batch().into_iter().chain(self.timers.next_due()).min()
    }

    /// Sets a timer for the server: [`Command::TimerFired`] is issued when the timer is due.
    pub fn set_timer(&mut self, at: Micros, token: TimerToken) {
        self.timers.schedule(at, Timer::Server(token));
    }

    /// Cancels a timer that was set by [`Core::set_timer`].
    pub fn cancel_timer(&mut self, at: Micros, token: TimerToken) {
        self.timers.cancel(at, Timer::Server(token));
    }

    /// Handles the response to a load probe, or its failure.
    pub fn on_probe_response(
        &mut self,
        worker: WorkerId,
        outcome: Outcome,
        elapsed: Micros,
        report: Option<LoadReport>,
    ) {
        self.events.push(Event::ProbeResponse(ProbeResponse { worker, outcome, elapsed, report }));
    }

    /// Handles a message of another dispatcher, by its place.
    pub fn on_peer_message(&mut self, from: u32, bytes: Vec<u8>) {
        self.events.push(Event::PeerMessage { from, bytes });
    }

    /// Handles a change of presence. `peers` has the presence of each dispatcher, by place.
    pub fn on_peer_presence(&mut self, peers: Vec<PeerPresence>) {
        self.events.push(Event::Peers(peers));
    }

    fn class_settings(&self, class: ClassId) -> Option<&Class> {
        self.dispatcher.settings().classes.get(usize::from(class.0))
    }

    /// The counts of how requests ended, by class name. Classes without requests and removed classes are included.
    pub fn tallies_by_class(&self) -> BTreeMap<&str, Tally> {
        self.tallies.by_name(self.names.class_names())
    }

    /// The places of the other dispatchers in this one's peer group.
    pub fn peer_group(&self) -> &[u32] {
        self.dispatcher.group_peers()
    }

    /// The number of listed workers that the decision module sends no jobs to.
    pub fn unavailable_workers(&self, now: Micros) -> usize {
        self.dispatcher.unavailable_count(now)
    }
}
