//! The parameters of the simulation: dispatchers, tenants and their traffic, policies and scenarios.

use mothproxy_fairshare::{Config, Installation, Shares, Tenant};

pub const SECOND: u64 = 1_000_000;
/// The simulation's step, in microseconds.
pub const TICK: u64 = 20_000;
pub const TICKS_PER_SECOND: u64 = SECOND / TICK;
/// The Unix time of time 0 of the simulation, in microseconds.
pub const UNIX_AT_ZERO: u64 = 1_700_000_000 * SECOND;
pub const DISPATCHERS: usize = 12;
/// The number of jobs per second that all workers together can run.
pub const CAPACITY: u64 = 1_200;
/// The value of a job, in the units of the ledger.
pub const JOB_VALUE: u64 = 1_000;
/// The time from the start of a job until its final response, when its usage is recorded, in ticks.
pub const SERVICE_TICKS: u64 = 15;
/// The time that a client waits for the start of its job, in ticks.
pub const TIMEOUT_TICKS: u64 = TICKS_PER_SECOND;
pub const OVER_QUOTA_WEIGHT: f64 = 0.1;

/// A tenant and its traffic.
pub struct Traffic {
    pub name: &'static str,
    pub weight: u32,
    /// The number of jobs per second, as a function of the second.
    pub rate: fn(u64) -> f64,
    /// Whether a dispatcher receives jobs of the tenant.
    pub arrives_at: fn(usize) -> bool,
}

const fn everywhere(_: usize) -> bool {
    true
}

/// Whether a dispatcher is in the west, one of the two sides of a partition.
pub fn west(dispatcher: usize) -> bool {
    dispatcher < DISPATCHERS / 2
}

fn east(dispatcher: usize) -> bool {
    !west(dispatcher)
}

/// The tenants. The weights add up to 101, so a weight of 1 is a quota of 11.9 jobs per second out of 1,200.
pub const TENANTS: [Traffic; 8] = [
    Traffic { name: "flood", weight: 10, rate: |_| 6_000.0, arrives_at: everywhere },
    Traffic { name: "steady", weight: 20, rate: |_| 214.0, arrives_at: west },
    Traffic { name: "both", weight: 20, rate: |_| 600.0, arrives_at: everywhere },
    Traffic { name: "west", weight: 15, rate: |_| 270.0, arrives_at: west },
    Traffic { name: "east", weight: 15, rate: |_| 270.0, arrives_at: east },
    Traffic { name: "lender", weight: 20, rate: |s| if s < 40 { 0.0 } else { 285.0 }, arrives_at: west },
    Traffic { name: "small", weight: 1, rate: |_| 6.0, arrives_at: |at| at == 3 },
    Traffic { name: "nothing", weight: 0, rate: |_| 100.0, arrives_at: everywhere },
];
/// The tenant that has no jobs in the first 40 s, so that its quota is lent.
pub const LENDER: usize = 5;
/// The tenant without a quota.
pub const WITHOUT_QUOTA: usize = 7;

pub fn shares() -> Shares {
    let tenant = |t: &Traffic| Tenant { name: t.name.into(), weight: t.weight, classes: vec![] };
    let tenants = TENANTS.iter().map(tenant).collect();
    Shares { installations: vec![Installation { name: "home".into(), weight: 1, tenants }] }
}

pub fn config(place: usize, epoch: u64) -> Config {
    Config {
        place: place as u16,
        epoch: UNIX_AT_ZERO / 1000 + epoch / 1000,
        unix_at_zero: UNIX_AT_ZERO,
        peers: DISPATCHERS as u16,
        rate: CAPACITY * JOB_VALUE,
        over_quota_value: OVER_QUOTA_WEIGHT,
        ..Config::default()
    }
}

/// How dispatchers weigh jobs. The names are part of the output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// No shares: the weight of a job does not depend on its tenant.
    Today,
    /// Each dispatcher has an equal part of each tenant's quota. Jobs beyond it have a lower weight.
    QuotaByNode,
    /// A ledger of mothproxy-fairshare at each dispatcher. The dispatchers exchange facts.
    FairShare,
    /// One ledger of mothproxy-fairshare that all dispatchers share without delay.
    OneLedger,
    /// As `FairShare`, with the deliberate fault `count_twice`.
    Mutated,
}

impl Policy {
    /// Whether dispatchers send each other facts.
    pub fn exchanges_facts(self) -> bool {
        matches!(self, Policy::FairShare | Policy::Mutated)
    }
}

/// A span of time in seconds, from `from` to before `to`.
#[derive(Clone, Copy, Debug)]
pub struct Seconds {
    pub from: u64,
    pub to: u64,
}

/// A dispatcher whose facts are delayed by `by_seconds` from `from_second` on.
#[derive(Clone, Copy, Debug)]
pub struct LateFacts {
    pub dispatcher: usize,
    pub from_second: u64,
    pub by_seconds: u64,
}

/// A dispatcher that is killed, which loses its unpublished usage, and starts again. Both times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    pub dispatcher: usize,
    pub killed: u64,
    pub restarted: u64,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub seconds: u64,
    /// The fraction of facts that is lost, from 0 to 1.
    pub loss: f64,
    /// The maximum delay of a fact apart from `late`, in microseconds.
    pub delay: u64,
    /// A network partition between west and east.
    pub cut: Option<Seconds>,
    pub late: Option<LateFacts>,
    pub restart: Option<Restart>,
}

const UNDISTURBED: Scenario =
    Scenario { name: "", seconds: 150, loss: 0.1, delay: SECOND, cut: None, late: None, restart: None };

pub const SCENARIOS: [Scenario; 4] = [
    Scenario { name: "cut", seconds: 230, cut: Some(Seconds { from: 80, to: 140 }), ..UNDISTURBED },
    Scenario {
        name: "late",
        late: Some(LateFacts { dispatcher: 2, from_second: 60, by_seconds: 50 }),
        ..UNDISTURBED
    },
    Scenario {
        name: "killed",
        restart: Some(Restart { dispatcher: 3, killed: 70, restarted: 95 }),
        ..UNDISTURBED
    },
    Scenario { name: "lossy", loss: 0.3, delay: 3 * SECOND, ..UNDISTURBED },
];
/// The scenario in which the checks must detect the deliberate fault.
pub const LOSSY: &Scenario = &SCENARIOS[3];

impl Scenario {
    pub fn is_cut(&self, second: u64) -> bool {
        self.cut.is_some_and(|cut| (cut.from..cut.to).contains(&second))
    }

    /// The duration with a period without new jobs at the end, in which all published facts arrive.
    pub fn seconds_with_quiet_end(&self) -> u64 {
        self.seconds + 15 + self.late.map_or(0, |late| late.by_seconds)
    }

    /// The additional delay of the facts of a dispatcher, in microseconds.
    pub fn lateness(&self, dispatcher: usize, second: u64) -> u64 {
        let late = self.late.filter(|late| late.dispatcher == dispatcher && second >= late.from_second);
        late.map_or(0, |late| late.by_seconds * SECOND)
    }
}
