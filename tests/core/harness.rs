//! A core on a virtual clock, with workers `s-0`, `s-1`, ... and requests `job-1`, `job-2`, ...

use mothproxy::core::idempotency::{IdempotencyKey, PersistedRecord, RECORD_TTL};
use mothproxy::core::{
    AttemptId, Command, Core, DownstreamId, FinalResponse, JobStatus, NewRequest, RequestId,
};
use mothproxy::{ClassId, Micros, TenantId, WorkerId};
use mothproxy_testkit::site;
use serde_json::json;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;

pub struct CoreHarness {
    pub core: Core,
    pub now: Micros,
    /// The number of calls of [`CoreHarness::accept`].
    pub offered: u64,
}

/// The maximum memory of the records, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Records that an earlier process has persisted just now, by key.
pub fn persisted(records: &BTreeMap<String, Vec<u8>>) -> impl Iterator<Item = PersistedRecord> {
    records.iter().map(|(key, bytes)| PersistedRecord {
        key: key.clone(),
        bytes: bytes.clone(),
        time_to_live: RECORD_TTL,
    })
}

impl CoreHarness {
    pub fn new(workers: usize) -> CoreHarness {
        CoreHarness::starting_at(workers, 0)
    }

    /// Creates a core whose clock starts at this Unix time, in microseconds. Each cell has two workers.
    pub fn starting_at(workers: usize, unix: u128) -> CoreHarness {
        let row = |number: usize| {
            let mut row =
                site::endpoint_entry(&format!("s-{number}"), &format!("127.0.0.1:{}", 9000 + number), "up");
            row["cell"] = json!(1 + number / 2);
            row
        };
        let rows: Vec<_> = (0..workers).map(row).collect();
        let config = site::read(&site::config("127.0.0.1:0", "127.0.0.1:1", json!(rows)));
        let mut core = Core::new(config.settings, config.names, config.seed, unix).expect("invalid settings");
        let now = Core::clock_start();
        core.on_cached_list(&config.known_endpoints);
        CoreHarness { core, now, offered: 0 }
    }

    /// Creates a core that keeps records of keyed requests.
    pub fn with_idempotency(workers: usize) -> CoreHarness {
        let mut harness = CoreHarness::new(workers);
        harness.core.enable_idempotency(harness.now, MAX_RECORD_BYTES, std::iter::empty());
        harness
    }

    pub fn accept(&mut self, class: u16, time_budget: Micros) -> Option<RequestId> {
        self.offered += 1;
        let name = format!("job-{}", self.offered);
        self.accept_named(&name, class, time_budget)
    }

    pub fn accept_named(&mut self, name: &str, class: u16, time_budget: Micros) -> Option<RequestId> {
        self.core.accept(self.now, new_request(name, class, time_budget))
    }

    /// Accepts a request of class 1 with an idempotency key. Returns `None` if the key was used for another body.
    pub fn accept_keyed(&mut self, name: &str, key: &str, body_fingerprint: u64) -> Option<RequestId> {
        let mut request = new_request(name, 1, 25_000 * MS);
        request.idempotency_key = Some(IdempotencyKey { key: key.to_owned(), body_fingerprint });
        let is_reused = self.core.is_key_reused(self.now, &request);
        if is_reused { None } else { self.core.accept(self.now, request) }
    }

    /// Creates a core as after a crash, which begins with the records that this one had persisted before. If the system clock is
    /// not reliable, the deduplication windows of all records are treated as over.
    pub fn restarted_after_crash(
        &self,
        records: &BTreeMap<String, Vec<u8>>,
        elapsed: Micros,
        is_clock_reliable: bool,
    ) -> CoreHarness {
        let workers = self.core.endpoints().listed_count();
        let unix = u128::from(self.now - Core::clock_start() + elapsed);
        let mut next = CoreHarness::starting_at(workers, unix);
        let unreadable = next.core.enable_idempotency(next.now, MAX_RECORD_BYTES, persisted(records));
        if !is_clock_reliable {
            next.core.expire_idempotency_windows();
        }
        assert_eq!(unreadable, []);
        next
    }

    /// Advances the clock and returns all commands that were issued.
    pub fn advance(&mut self, span: Micros) -> Vec<Command> {
        let until = self.now + span;
        let mut all = Vec::new();
        loop {
            self.core.turn(self.now);
            all.extend(std::iter::from_fn(|| self.core.next_command()));
            match self.core.next_wake() {
                Some(at) if at <= until => self.now = self.now.max(at),
                _ => break,
            }
        }
        self.now = until;
        all
    }

    /// Reports a worker's status callback. Returns whether it changed the state of the core.
    pub fn report_status(&mut self, name: &str, from: WorkerId, status: JobStatus) -> bool {
        let from = self
            .core
            .endpoints()
            .get(from)
            .expect("the worker is not in the endpoint table")
            .instance_id()
            .to_owned();
        self.core.on_job_status(self.now, name, &from, status, None)
    }
}

fn new_request(name: &str, class: u16, time_budget: Micros) -> NewRequest {
    NewRequest {
        name: name.to_owned(),
        downstream: DownstreamId(70),
        class: ClassId(class),
        tenant: Some(TenantId(0)),
        subject: None,
        time_budget,
        hint: None,
        slots: 1.0,
        memory: None,
        is_retry: false,
        idempotency_key: None,
    }
}

/// An attempt that the core has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedAttempt {
    pub id: AttemptId,
    pub worker: WorkerId,
}

impl StartedAttempt {
    /// The name of the attempt's request, which [`CoreHarness::accept`] must have accepted.
    pub fn request_name(&self) -> String {
        format!("job-{}", self.id.request_id.0 + 1)
    }
}

pub fn started(commands: &[Command]) -> Vec<StartedAttempt> {
    let started = |command: &Command| match *command {
        Command::StartAttempt { attempt, worker } => Some(StartedAttempt { id: attempt, worker }),
        _ => None,
    };
    commands.iter().filter_map(started).collect()
}

pub fn responses(commands: &[Command]) -> Vec<(RequestId, FinalResponse)> {
    let response = |command: &Command| match command {
        Command::Respond { request_id, response, .. } => Some((*request_id, response.clone())),
        _ => None,
    };
    commands.iter().filter_map(response).collect()
}
