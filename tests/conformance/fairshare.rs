//! Ledgers of a few members over the tenants of one installation, driven by a table. Words: of a tenant's use `low`, `likely`
//! and `high` in units a second; of one more job's worth its tier and `part` in hundredths; of facts what became of them.

use crate::runner::{Machine, MachineError};
use crate::table::beyond;
use mothproxy_fairshare::{
    AbsorbError, Config, Installation, Ledger, Origin, RecordError, Shares, Tenant, TenantKey, Tier, Usage,
};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
/// Unix time at time 0, in microseconds.
const WALL: u64 = 1_700_000_000 * SECOND;
/// What all together can do, in units a second.
const RATE: u64 = 1_000;
/// Members that the ledgers have room for.
const MAX_MEMBERS: u16 = 8;
/// In each second of [`FairshareStep::Serve`] members serve and publish so many times.
const ROUNDS_PER_SECOND: u64 = 4;

/// The situation in which a row begins.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Given {
    members: u16,
    /// The tenants' weights.
    weights: BTreeMap<String, u32>,
}

/// A member serves a tenant at this rate, in units a second.
#[derive(Deserialize)]
pub struct ServiceRate(usize, String, u64);

/// Usage that a member records or corrects.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageEntry {
    /// The member.
    by: usize,
    tenant: String,
    #[serde(rename = "worth")]
    units: u64,
    /// How many seconds ago it happened, to come if negative.
    ago: i64,
}

/// What happens to the members, or what is asked of them.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FairshareStep {
    /// For so many seconds members serve tenants at these rates; facts reach everybody but those that are `cut` off.
    Serve {
        seconds: u64,
        rates: Vec<ServiceRate>,
        #[serde(default)]
        cut: Vec<usize>,
    },
    /// A member serves so much.
    Record(UsageEntry),
    /// A member takes so much back.
    Correct(UsageEntry),
    /// All that a member ever published, the newest first if `reversed`, so many times.
    Hand {
        from: usize,
        to: usize,
        #[serde(default, rename = "reversed")]
        is_reversed: bool,
        times: usize,
    },
    /// A fact of these bytes as if another place had published it.
    Forge {
        to: usize,
        place: u16,
        #[serde(default)]
        bytes: Vec<u8>,
    },
    Restart(usize),
    Weights(BTreeMap<String, u32>),
    Used {
        at: usize,
        tenant: String,
    },
    Worth {
        at: usize,
        tenant: String,
        /// Asked when its jobs of this second have used up what it may have at full worth.
        #[serde(default, rename = "beyond_pace")]
        is_beyond_pace: bool,
    },
    /// Whether two hold the same of every tenant, in every bit.
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
    /// What it has published, also before it restarted.
    published: Vec<PublishedFact>,
}

impl Member {
    fn start(place: u16, shares: &Shares, now: u64) -> Result<Member, MachineError> {
        let epoch = (WALL + now) / 1_000;
        let config =
            Config { place, epoch, unix_at_zero: WALL, peers: MAX_MEMBERS, rate: RATE, ..Config::default() };
        let ledger = Ledger::new(config, shares, now).map_err(MachineError::refused)?;
        Ok(Member { origin: Origin { place, epoch }, ledger, published: Vec::new() })
    }

    /// Publishes what it has to say now.
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

    /// Records usage of the present moment.
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

fn record_word(result: Result<(), RecordError>) -> &'static str {
    match result {
        Ok(()) => "taken",
        Err(RecordError::Late) => "too old",
        Err(RecordError::Future) => "from the future",
        Err(RecordError::Full) => "too many",
    }
}

fn absorb_word(result: Result<(), AbsorbError>) -> &'static str {
    match result {
        Ok(()) => "taken",
        Err(AbsorbError::Late) => "too old",
        Err(AbsorbError::Future) => "from the future",
        Err(AbsorbError::Place | AbsorbError::Epoch) => "of nobody listed",
        Err(AbsorbError::Full) => "too many",
        Err(AbsorbError::TooLong | AbsorbError::Version | AbsorbError::Malformed) => "not to be read",
    }
}

fn tier_word(tier: Tier) -> &'static str {
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
            FairshareStep::Hand { from, to, is_reversed, times } => {
                let mut facts = self.members[from].published.clone();
                if is_reversed {
                    facts.reverse();
                }
                return Ok(self.absorb_all(to, &facts, times));
            }
            FairshareStep::Forge { to, place, bytes } => {
                let origin = Origin { place, epoch: WALL / 1_000 };
                let forged = PublishedFact { origin, slot: 1, number: 1, bytes };
                return Ok(vec![absorb_word(self.members[to].absorb(self.now, &forged)).to_owned()]);
            }
            FairshareStep::Used { at, tenant } => return Ok(self.used(at, &tenant)),
            FairshareStep::Worth { at, tenant, is_beyond_pace } => {
                if is_beyond_pace {
                    self.use_up_pace(at, &tenant);
                }
                return Ok(self.worth(at, &tenant));
            }
            FairshareStep::Same(one, other) => {
                let is_same = self.known_usage(one) == self.known_usage(other);
                return Ok(vec![if is_same { "same" } else { "different" }.to_owned()]);
            }
        }
        Ok(Vec::new())
    }

    fn contrary(word: &str) -> String {
        let contrary = match word {
            "same" => "different",
            "within" | "floor" => "over",
            "lent" | "over" => "within",
            "taken" => "too old",
            "too old" | "from the future" | "of nobody listed" | "not to be read" => "taken",
            _ => return beyond(word),
        };
        contrary.to_owned()
    }
}

impl FairshareMachine {
    /// The time so many seconds ago.
    fn seconds_ago(&self, seconds: i64) -> u64 {
        self.now.saturating_add_signed(-seconds * SECOND as i64)
    }

    fn record(&mut self, entry: UsageEntry) -> String {
        let UsageEntry { by, tenant, units, ago } = entry;
        let (at, key) = (self.seconds_ago(ago), TenantKey::from_name(&tenant));
        let recorded = self.members[by].ledger.record(self.now, at, key, 0, usage(units));
        self.tenants.insert(tenant);
        record_word(recorded).to_owned()
    }

    fn correct(&mut self, entry: &UsageEntry) -> String {
        let UsageEntry { by, tenant, units, ago } = entry;
        let (at, key) = (self.seconds_ago(*ago), TenantKey::from_name(tenant));
        match self.members[*by].ledger.correct(self.now, at, key, 0, usage(*units)) {
            Ok(taken) => format!("took {}", taken.value),
            Err(error) => record_word(Err(error)).to_owned(),
        }
    }

    /// A member absorbs these facts so many times: what became of them, each word once.
    fn absorb_all(&mut self, to: usize, facts: &[PublishedFact], times: usize) -> Vec<String> {
        let mut words = BTreeSet::new();
        for fact in std::iter::repeat_n(facts, times).flatten() {
            words.insert(absorb_word(self.members[to].absorb(self.now, fact)));
        }
        words.into_iter().map(str::to_owned).collect()
    }

    /// A new process of a member, which knows nothing.
    fn restart(&mut self, place: usize) -> Result<(), MachineError> {
        let published = std::mem::take(&mut self.members[place].published);
        let member = Member::start(place as u16, &self.shares, self.now)?;
        self.members[place] = Member { published, ..member };
        Ok(())
    }

    fn set_weights(&mut self, weights: BTreeMap<String, u32>) -> Result<(), MachineError> {
        self.shares = shares(&weights);
        for member in &mut self.members {
            member.ledger.set_shares(&self.shares).map_err(MachineError::refused)?;
        }
        self.tenants.extend(weights.into_keys());
        Ok(())
    }

    fn used(&mut self, at: usize, tenant: &str) -> Vec<String> {
        let ledger = &mut self.members[at].ledger;
        let used = ledger.position(TenantKey::from_name(tenant), self.now).used;
        let memory = ledger.memory() as f64 / SECOND as f64;
        let word = |name: &str, units: u64| format!("{name} {:.0}", units as f64 / memory);
        vec![word("low", used.low), word("likely", used.likely), word("high", used.high)]
    }

    /// A tenant's jobs of this second use up what it may have at full worth.
    fn use_up_pace(&mut self, at: usize, tenant: &str) {
        let all_of_it = u64::MAX >> 16;
        self.members[at].ledger.job_value(TenantKey::from_name(tenant), 0, all_of_it, self.now);
    }

    fn worth(&mut self, at: usize, tenant: &str) -> Vec<String> {
        let worth = self.members[at].ledger.job_value(TenantKey::from_name(tenant), 0, 1, self.now);
        vec![tier_word(worth.tier).to_owned(), format!("part {:.0}", worth.fraction * 100.0)]
    }

    /// What a member knows of each tenant's usage.
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
                served.map_err(MachineError::refused)?;
            }
            self.exchange_facts(cut)?;
        }
        Ok(())
    }

    /// Each member publishes, and all others absorb that but those that are cut off.
    fn exchange_facts(&mut self, cut: &[usize]) -> Result<(), MachineError> {
        let count = self.members.len();
        for from in 0..count {
            let facts = self.members[from].publish(self.now);
            for to in (0..count).filter(|to| *to != from && !cut.contains(to) && !cut.contains(&from)) {
                for fact in &facts {
                    self.members[to].absorb(self.now, fact).map_err(MachineError::refused)?;
                }
            }
        }
        Ok(())
    }
}
