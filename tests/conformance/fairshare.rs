//! Runs conformance tables on the ledgers of a peer group with one installation.
//!
//! Observations:
//!
//! - of a tenant's usage: `low`, `likely` and `high`, in units per second;
//! - of the value of one more job: its tier, and `part`, its value as a percentage of the full value;
//! - of a recorded or absorbed fact: `taken`, or the reason why it was rejected.

use crate::runner::{Machine, MachineError};
use crate::table::out_of_range;
use mothproxy_fairshare::{
    AbsorbError, Config, Installation, Ledger, Origin, RecordError, Shares, Tenant, TenantKey, Tier, Usage,
};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
/// Unix time at time 0, in microseconds.
const UNIX_TIME_AT_START: u64 = 1_700_000_000 * SECOND;
/// The capacity of all workers together, in units per second.
const RATE: u64 = 1_000;
/// The number of members that the ledgers are sized for.
const MAX_MEMBERS: u16 = 8;
/// How often members serve and publish in each second of [`FairshareStep::Serve`].
const ROUNDS_PER_SECOND: u64 = 4;

/// The initial state of a row.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Given {
    members: u16,
    /// The weight of each tenant.
    weights: BTreeMap<String, u32>,
}

/// A member, a tenant, and the rate at which the member serves the tenant, in units per second.
#[derive(Deserialize)]
pub struct ServiceRate(usize, String, u64);

/// Usage that a member records or corrects.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageEntry {
    /// The index of the member.
    by: usize,
    tenant: String,
    #[serde(rename = "worth")]
    units: u64,
    /// Time since the usage, in seconds; negative if it lies in the future.
    ago: i64,
}

/// An input to the members, or a query of their state.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FairshareStep {
    /// Members serve tenants at these rates and exchange facts; members in `cut` neither send nor receive any.
    Serve {
        seconds: u64,
        rates: Vec<ServiceRate>,
        #[serde(default)]
        cut: Vec<usize>,
    },
    /// A member records usage.
    Record(UsageEntry),
    /// A member lowers usage that it recorded before.
    Correct(UsageEntry),
    /// Delivers all facts that a member has published, the given number of times; the newest first if `reversed`.
    #[serde(rename = "hand")]
    DeliverFacts {
        from: usize,
        to: usize,
        #[serde(default, rename = "reversed")]
        is_reversed: bool,
        times: usize,
    },
    /// Delivers a fact with these bytes as if the member at another place had published it.
    Forge {
        to: usize,
        place: u16,
        #[serde(default)]
        bytes: Vec<u8>,
    },
    Restart(usize),
    Weights(BTreeMap<String, u32>),
    /// The usage of a tenant as a member knows it.
    #[serde(rename = "used")]
    UsageOf {
        at: usize,
        tenant: String,
    },
    /// The value of one more job of a tenant.
    #[serde(rename = "worth")]
    JobValue {
        at: usize,
        tenant: String,
        /// Whether the tenant's earlier jobs have used up its credit for jobs of full value.
        #[serde(default, rename = "beyond_pace")]
        is_pace_exceeded: bool,
    },
    /// Whether two members know exactly the same usage of each tenant.
    Same(usize, usize),
}

/// A fact that a member has published.
#[derive(Clone)]
struct PublishedFact {
    origin: Origin,
    slot: u32,
    number: u64,
    bytes: Vec<u8>,
}

struct Member {
    origin: Origin,
    ledger: Ledger,
    /// Facts that the member has published, including those from before a restart.
    published: Vec<PublishedFact>,
}

impl Member {
    fn start(place: u16, shares: &Shares, now: u64) -> Result<Member, MachineError> {
        let epoch = (UNIX_TIME_AT_START + now) / 1_000;
        let config = Config {
            place,
            epoch,
            unix_at_zero: UNIX_TIME_AT_START,
            peers: MAX_MEMBERS,
            rate: RATE,
            ..Config::default()
        };
        let ledger = Ledger::new(config, shares, now).map_err(MachineError::rejected)?;
        Ok(Member { origin: Origin { place, epoch }, ledger, published: Vec::new() })
    }

    /// Publishes all pending facts and returns them.
    fn publish(&mut self, now: u64) -> Vec<PublishedFact> {
        let first = self.published.len();
        while let Some((slot, bytes)) = self.ledger.publish(now) {
            let number = self.published.len() as u64 + 1;
            self.published.push(PublishedFact { origin: self.origin, slot, number, bytes });
        }
        self.published[first..].to_vec()
    }

    fn absorb(&mut self, now: u64, fact: &PublishedFact) -> Result<(), AbsorbError> {
        self.ledger.absorb(now, fact.origin, fact.slot, fact.number, &fact.bytes)
    }

    /// Records usage at the current time.
    fn serve(&mut self, now: u64, tenant: &str, units: u64) -> Result<(), RecordError> {
        self.ledger.record(now, now, TenantKey::from_name(tenant), 0, usage(units))
    }
}

/// The members of a group with their ledgers.
pub struct FairshareMachine {
    members: Vec<Member>,
    shares: Shares,
    tenants: BTreeSet<String>,
    now: u64,
}

fn usage(units: u64) -> Usage {
    Usage { value: units, work: units }
}

fn shares(weights: &BTreeMap<String, u32>) -> Shares {
    let tenant =
        |(name, weight): (&String, &u32)| Tenant { name: name.clone(), weight: *weight, classes: vec![] };
    let home = Installation { name: "home".into(), weight: 1, tenants: weights.iter().map(tenant).collect() };
    Shares { installations: vec![home] }
}

fn record_observation(result: Result<(), RecordError>) -> &'static str {
    match result {
        Ok(()) => "taken",
        Err(RecordError::Late) => "too old",
        Err(RecordError::Future) => "from the future",
        Err(RecordError::Full) => "too many",
    }
}

fn absorb_observation(result: Result<(), AbsorbError>) -> &'static str {
    match result {
        Ok(()) => "taken",
        Err(AbsorbError::Late) => "too old",
        Err(AbsorbError::Future) => "from the future",
        Err(AbsorbError::Place | AbsorbError::Epoch) => "of nobody listed",
        Err(AbsorbError::Full) => "too many",
        Err(AbsorbError::TooLong | AbsorbError::Version | AbsorbError::Malformed) => "not to be read",
    }
}

fn tier_name(tier: Tier) -> &'static str {
    match tier {
        Tier::Within => "within",
        Tier::Floor => "floor",
        Tier::Lent => "lent",
        Tier::Over => "over",
    }
}

impl Machine for FairshareMachine {
    const SEEDS: u64 = 1; // nothing is random

    type Given = Given;
    type Step = FairshareStep;

    fn new(given: Given, _: u64) -> Result<FairshareMachine, MachineError> {
        let shares = shares(&given.weights);
        let members = (0..given.members).map(|place| Member::start(place, &shares, 0));
        let members = members.collect::<Result<_, _>>()?;
        Ok(FairshareMachine { members, shares, tenants: given.weights.into_keys().collect(), now: 0 })
    }

    fn step(&mut self, step: FairshareStep) -> Result<Vec<String>, MachineError> {
        match step {
            FairshareStep::Serve { seconds, rates, cut } => self.serve(seconds, &rates, &cut)?,
            FairshareStep::Restart(place) => self.restart(place)?,
            FairshareStep::Weights(weights) => self.set_weights(weights)?,
            FairshareStep::Record(entry) => return Ok(vec![self.record(entry)]),
            FairshareStep::Correct(entry) => return Ok(vec![self.correct(&entry)]),
            FairshareStep::DeliverFacts { from, to, is_reversed, times } => {
                let mut facts = self.members[from].published.clone();
                if is_reversed {
                    facts.reverse();
                }
                return Ok(self.absorb_all(to, &facts, times));
            }
            FairshareStep::Forge { to, place, bytes } => {
                let origin = Origin { place, epoch: UNIX_TIME_AT_START / 1_000 };
                let forged = PublishedFact { origin, slot: 1, number: 1, bytes };
                return Ok(vec![absorb_observation(self.members[to].absorb(self.now, &forged)).to_owned()]);
            }
            FairshareStep::UsageOf { at, tenant } => return Ok(self.usage_of(at, &tenant)),
            FairshareStep::JobValue { at, tenant, is_pace_exceeded } => {
                if is_pace_exceeded {
                    self.exhaust_pace(at, &tenant);
                }
                return Ok(self.job_value(at, &tenant));
            }
            FairshareStep::Same(one, other) => {
                let is_same = self.known_usage(one) == self.known_usage(other);
                return Ok(vec![if is_same { "same" } else { "different" }.to_owned()]);
            }
        }
        Ok(Vec::new())
    }

    fn inverse(observation: &str) -> String {
        let inverse = match observation {
            "same" => "different",
            "within" | "floor" => "over",
            "lent" | "over" => "within",
            "taken" => "too old",
            "too old" | "from the future" | "of nobody listed" | "not to be read" => "taken",
            _ => return out_of_range(observation),
        };
        inverse.to_owned()
    }
}

impl FairshareMachine {
    /// The time this many seconds before now.
    fn seconds_ago(&self, seconds: i64) -> u64 {
        self.now.saturating_add_signed(-seconds * SECOND as i64)
    }

    fn record(&mut self, entry: UsageEntry) -> String {
        let UsageEntry { by, tenant, units, ago } = entry;
        let (at, key) = (self.seconds_ago(ago), TenantKey::from_name(&tenant));
        let recorded = self.members[by].ledger.record(self.now, at, key, 0, usage(units));
        self.tenants.insert(tenant);
        record_observation(recorded).to_owned()
    }

    fn correct(&mut self, entry: &UsageEntry) -> String {
        let UsageEntry { by, tenant, units, ago } = entry;
        let (at, key) = (self.seconds_ago(*ago), TenantKey::from_name(tenant));
        match self.members[*by].ledger.correct(self.now, at, key, 0, usage(*units)) {
            Ok(taken) => format!("took {}", taken.value),
            Err(error) => record_observation(Err(error)).to_owned(),
        }
    }

    /// Delivers facts to a member the given number of times, and returns the distinct results.
    fn absorb_all(&mut self, to: usize, facts: &[PublishedFact], times: usize) -> Vec<String> {
        let mut observations = BTreeSet::new();
        for fact in std::iter::repeat_n(facts, times).flatten() {
            observations.insert(absorb_observation(self.members[to].absorb(self.now, fact)));
        }
        observations.into_iter().map(str::to_owned).collect()
    }

    /// Replaces a member by a new process with an empty ledger.
    fn restart(&mut self, place: usize) -> Result<(), MachineError> {
        let published = std::mem::take(&mut self.members[place].published);
        let member = Member::start(place as u16, &self.shares, self.now)?;
        self.members[place] = Member { published, ..member };
        Ok(())
    }

    fn set_weights(&mut self, weights: BTreeMap<String, u32>) -> Result<(), MachineError> {
        self.shares = shares(&weights);
        for member in &mut self.members {
            member.ledger.set_shares(&self.shares).map_err(MachineError::rejected)?;
        }
        self.tenants.extend(weights.into_keys());
        Ok(())
    }

    fn usage_of(&mut self, at: usize, tenant: &str) -> Vec<String> {
        let ledger = &mut self.members[at].ledger;
        let used = ledger.position(TenantKey::from_name(tenant), self.now).used;
        let memory = ledger.memory() as f64 / SECOND as f64;
        let bound = |name: &str, units: u64| format!("{name} {:.0}", units as f64 / memory);
        vec![bound("low", used.low), bound("likely", used.likely), bound("high", used.high)]
    }

    /// Uses up the tenant's credit for jobs of full value.
    fn exhaust_pace(&mut self, at: usize, tenant: &str) {
        let excessive_work = u64::MAX >> 16;
        self.members[at].ledger.job_value(TenantKey::from_name(tenant), 0, excessive_work, self.now);
    }

    fn job_value(&mut self, at: usize, tenant: &str) -> Vec<String> {
        let value = self.members[at].ledger.job_value(TenantKey::from_name(tenant), 0, 1, self.now);
        vec![tier_name(value.tier).to_owned(), format!("part {:.0}", value.fraction * 100.0)]
    }

    /// The usage of each tenant as a member knows it.
    fn known_usage(&mut self, at: usize) -> Vec<Usage> {
        let ledger = &mut self.members[at].ledger;
        let keys = self.tenants.iter().map(|name| TenantKey::from_name(name));
        keys.map(|tenant| ledger.known_usage(tenant, self.now)).collect()
    }

    fn serve(&mut self, seconds: u64, rates: &[ServiceRate], cut: &[usize]) -> Result<(), MachineError> {
        for _ in 0..seconds * ROUNDS_PER_SECOND {
            self.now += SECOND / ROUNDS_PER_SECOND;
            for ServiceRate(member, tenant, rate) in rates {
                let served = self.members[*member].serve(self.now, tenant, rate / ROUNDS_PER_SECOND);
                served.map_err(MachineError::rejected)?;
            }
            self.exchange_facts(cut)?;
        }
        Ok(())
    }

    /// Each member publishes its facts, and every other member absorbs them, except where either is cut off.
    fn exchange_facts(&mut self, cut: &[usize]) -> Result<(), MachineError> {
        let count = self.members.len();
        for from in 0..count {
            let facts = self.members[from].publish(self.now);
            for to in (0..count).filter(|to| *to != from && !cut.contains(to) && !cut.contains(&from)) {
                for fact in &facts {
                    self.members[to].absorb(self.now, fact).map_err(MachineError::rejected)?;
                }
            }
        }
        Ok(())
    }
}
