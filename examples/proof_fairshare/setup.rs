//! What is simulated: dispatchers, tenants and their traffic, policies and scenarios.

use mothproxy_fairshare::{Config, Installation, Shares, Tenant};

pub const SECOND: u64 = 1_000_000;
/// The simulation's step, in microseconds.
pub const TICK: u64 = 20_000;
pub const TICKS_PER_SECOND: u64 = SECOND / TICK;
/// Unix time at the model's time 0.
pub const WALL: u64 = 1_700_000_000 * SECOND;
pub const DISPATCHERS: usize = 12;
/// Jobs a second that all workers together can do.
pub const CAPACITY: u64 = 1_200;
/// A job's work in the ledger's units.
pub const JOB: u64 = 1_000;
/// A job runs for this many ticks; then it is answered and counts.
pub const SERVICE_TICKS: u64 = 15;
/// Clients give up after this many ticks.
pub const TIMEOUT_TICKS: u64 = TICKS_PER_SECOND;
pub const OVER_QUOTA_WEIGHT: f64 = 0.1;

/// A tenant and its traffic.
pub struct Traffic {
    pub name: &'static str,
    pub weight: u32,
    /// Jobs a second, by second.
    pub rate: fn(u64) -> f64,
    /// The dispatchers that get them.
    pub at: fn(usize) -> bool,
}

const fn everywhere(_: usize) -> bool {
    true
}

/// Whether a dispatcher is in the west, one of the two sides of a cut.
pub fn west(at: usize) -> bool {
    at < DISPATCHERS / 2
}

fn east(at: usize) -> bool {
    !west(at)
}

/// Of 1,200 a second a weight of 1 in 101 has 11.9.
pub const TENANTS: [Traffic; 8] = [
    Traffic { name: "flood", weight: 10, rate: |_| 6_000.0, at: everywhere },
    Traffic { name: "steady", weight: 20, rate: |_| 214.0, at: west },
    Traffic { name: "both", weight: 20, rate: |_| 600.0, at: everywhere },
    Traffic { name: "west", weight: 15, rate: |_| 270.0, at: west },
    Traffic { name: "east", weight: 15, rate: |_| 270.0, at: east },
    Traffic { name: "lender", weight: 20, rate: |s| if s < 40 { 0.0 } else { 285.0 }, at: west },
    Traffic { name: "small", weight: 1, rate: |_| 6.0, at: |at| at == 3 },
    Traffic { name: "nothing", weight: 0, rate: |_| 100.0, at: everywhere },
];
/// The tenant that lends its quota for 40 s, and the one without a quota.
pub const LENDER: usize = 5;
pub const WITHOUT_QUOTA: usize = 7;

pub fn shares() -> Shares {
    let tenant = |t: &Traffic| Tenant { name: t.name.into(), weight: t.weight, classes: vec![] };
    let tenants = TENANTS.iter().map(tenant).collect();
    Shares { installations: vec![Installation { name: "home".into(), weight: 1, tenants }] }
}

pub fn config(place: usize, epoch: u64) -> Config {
    Config {
        place: place as u16,
        epoch: WALL / 1000 + epoch / 1000,
        unix_at_zero: WALL,
        peers: DISPATCHERS as u16,
        rate: CAPACITY * JOB,
        over_quota_value: OVER_QUOTA_WEIGHT,
        ..Config::default()
    }
}

/// How dispatchers weigh jobs. The names are part of the proof's output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The module as it is: it does not look at a job's tenant.
    Today,
    /// Each dispatcher holds each tenant to its part of the quota.
    QuotaByNode,
    /// The crate under proof.
    FairShare,
    /// The crate, with one ledger that all dispatchers see at once.
    OneLedger,
    /// The crate with the seeded fault.
    Mutated,
}

impl Policy {
    /// Whether dispatchers send each other facts.
    pub fn is_shared_by_facts(self) -> bool {
        matches!(self, Policy::FairShare | Policy::Mutated)
    }
}

/// Seconds from the first on, up to the second.
#[derive(Clone, Copy, Debug)]
pub struct Seconds {
    pub from: u64,
    pub to: u64,
}

/// A dispatcher whose facts are late.
#[derive(Clone, Copy, Debug)]
pub struct LateFacts {
    pub dispatcher: usize,
    pub from_second: u64,
    pub by_seconds: u64,
}

/// A dispatcher that is killed, with what it has not published, and starts anew.
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
    /// The fraction of facts that is lost.
    pub loss: f64,
    /// The longest usual delay of a fact, in microseconds.
    pub delay: u64,
    /// A cut between west and east.
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
/// The scenario in which the seeded fault must be caught.
pub const LOSSY: &Scenario = &SCENARIOS[3];

impl Scenario {
    pub fn is_cut(&self, second: u64) -> bool {
        self.cut.is_some_and(|cut| (cut.from..cut.to).contains(&second))
    }

    /// Seconds until everything that was published has arrived.
    pub fn seconds_with_quiet_end(&self) -> u64 {
        self.seconds + 15 + self.late.map_or(0, |late| late.by_seconds)
    }

    /// How late the facts of a dispatcher are, in microseconds.
    pub fn lateness(&self, dispatcher: usize, second: u64) -> u64 {
        let late = self.late.filter(|late| late.dispatcher == dispatcher && second >= late.from_second);
        late.map_or(0, |late| late.by_seconds * SECOND)
    }
}
