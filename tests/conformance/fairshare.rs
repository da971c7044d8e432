//! Ledgers of a few members over the tenants of one installation, driven by a table. Words: of a tenant's use `low`, `likely`
//! and `high` in units a second; of one more job's worth its tier and `part` in hundredths; of facts what became of them.

use crate::table::{Machine, beyond};
use mothproxy_fairshare::{
    AbsorbError, Config, Installation, Ledger, Origin, RecordError, Shares, Tenant, TenantKey, Tier, Usage,
};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use toml::{Table, Value};

const SECOND: u64 = 1_000_000;
/// Unix time at time 0.
const WALL: u64 = 1_700_000_000 * SECOND;
/// What all together can do, in units a second.
const RATE: u64 = 1_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    members: u16,
    /// The tenants' weights.
    weights: BTreeMap<String, u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Verb {
    /// For so many seconds members serve tenants at these rates; facts reach everybody but those that are `cut` off.
    Serve {
        seconds: u64,
        rates: Vec<(usize, String, u64)>,
        #[serde(default)]
        cut: Vec<usize>,
    },
    /// A member serves so much of what happened so many seconds ago (before now if negative), or takes it back.
    Record {
        by: usize,
        tenant: String,
        worth: u64,
        ago: i64,
    },
    Correct {
        by: usize,
        tenant: String,
        worth: u64,
        ago: i64,
    },
    /// All that a member ever told, the newest first if `reversed`, so many times.
    Hand {
        from: usize,
        to: usize,
        #[serde(default)]
        reversed: bool,
        times: usize,
    },
    /// The last fact of a member as if another place, or bytes that cannot be read, had come.
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
    /// `beyond_pace`: asked when its jobs of this second have used up what it may have at full worth.
    Worth {
        at: usize,
        tenant: String,
        #[serde(default)]
        beyond_pace: bool,
    },
    /// Whether two hold the same of every tenant, in every bit.
    Same(usize, usize),
}

struct Member {
    origin: Origin,
    ledger: Ledger,
    told: Vec<(Origin, u32, u64, Vec<u8>)>,
}

pub struct Fair {
    members: Vec<Member>,
    shares: Shares,
    tenants: BTreeSet<String>,
    now: u64,
}

fn shares(weights: &BTreeMap<String, u32>) -> Shares {
    let tenant =
        |(name, weight): (&String, &u32)| Tenant { name: name.clone(), weight: *weight, classes: vec![] };
    let home = Installation { name: "home".into(), weight: 1, tenants: weights.iter().map(tenant).collect() };
    Shares { installations: vec![home] }
}

fn begin(place: u16, shares: &Shares, now: u64) -> Result<Member, String> {
    let epoch = (WALL + now) / 1_000;
    let config = Config { place, epoch, unix_at_zero: WALL, peers: 8, rate: RATE, ..Config::default() };
    let ledger = Ledger::new(config, shares, now).map_err(|e| e.to_string())?;
    Ok(Member { origin: Origin { place, epoch }, ledger, told: Vec::new() })
}

impl Machine for Fair {
    const SEEDS: u64 = 1; // nothing is random

    fn new(given: Value, _: u64) -> Result<Fair, String> {
        let given = Given::deserialize(given).map_err(|e| e.to_string())?;
        let shares = shares(&given.weights);
        let members = (0..given.members).map(|place| begin(place, &shares, 0)).collect::<Result<_, _>>()?;
        Ok(Fair { members, shares, tenants: given.weights.into_keys().collect(), now: 0 })
    }

    #[allow(clippy::too_many_lines, reason = "one history or table of cases, read from top to bottom")]
    fn step(&mut self, step: Table) -> Result<Vec<String>, String> {
        let now = self.now;
        let at = |ago: i64| now.saturating_add_signed(-ago * SECOND as i64);
        let key = |tenant: &str| TenantKey::from_name(tenant);
        match Verb::deserialize(Value::Table(step)).map_err(|e| e.to_string())? {
            Verb::Serve { seconds, rates, cut } => self.serve(seconds, &rates, &cut)?,
            Verb::Record { by, tenant, worth, ago } => {
                let used = Usage { value: worth, work: worth };
                let done = self.members[by].ledger.record(now, at(ago), key(&tenant), 0, used);
                self.tenants.insert(tenant);
                return Ok(vec![recorded(done.err()).to_owned()]);
            }
            Verb::Correct { by, tenant, worth, ago } => {
                let less = Usage { value: worth, work: worth };
                return Ok(match self.members[by].ledger.correct(now, at(ago), key(&tenant), 0, less) {
                    Ok(taken) => vec![format!("took {}", taken.value)],
                    Err(fault) => vec![recorded(Some(fault)).to_owned()],
                });
            }
            Verb::Hand { from, to, reversed, times } => {
                let mut told = self.members[from].told.clone();
                if reversed {
                    told.reverse();
                }
                let mut words = BTreeSet::new();
                for (origin, slot, number, bytes) in std::iter::repeat_n(&told, times).flatten() {
                    let done = self.members[to].ledger.absorb(now, *origin, *slot, *number, bytes);
                    words.insert(absorbed(done.err()).to_owned());
                }
                return Ok(words.into_iter().collect());
            }
            Verb::Forge { to, place, bytes } => {
                let origin = Origin { place, epoch: WALL / 1_000 };
                let done = self.members[to].ledger.absorb(now, origin, 1, 1, &bytes);
                return Ok(vec![absorbed(done.err()).to_owned()]);
            }
            Verb::Restart(place) => {
                let told = std::mem::take(&mut self.members[place].told);
                self.members[place] = begin(place as u16, &self.shares, now)?;
                self.members[place].told = told;
            }
            Verb::Weights(weights) => {
                self.shares = shares(&weights);
                for member in &mut self.members {
                    member.ledger.set_shares(&self.shares).map_err(|e| e.to_string())?;
                }
                self.tenants.extend(weights.into_keys());
            }
            Verb::Used { at, tenant } => {
                let ledger = &mut self.members[at].ledger;
                let (used, memory) = (ledger.position(key(&tenant), now).used, ledger.memory() as f64 / 1e6);
                let words = [("low", used.low), ("likely", used.likely), ("high", used.high)];
                return Ok(words.map(|(name, n)| format!("{name} {:.0}", n as f64 / memory)).to_vec());
            }
            Verb::Worth { at, tenant, beyond_pace } => {
                if beyond_pace {
                    self.members[at].ledger.job_value(key(&tenant), 0, u64::MAX >> 16, now);
                }
                let worth = self.members[at].ledger.job_value(key(&tenant), 0, 1, now);
                let tier = match worth.tier {
                    Tier::Within => "within",
                    Tier::Floor => "floor",
                    Tier::Lent => "lent",
                    Tier::Over => "over",
                };
                return Ok(vec![tier.to_owned(), format!("part {:.0}", worth.fraction * 100.0)]);
            }
            Verb::Same(a, b) => {
                let tenants: Vec<TenantKey> = self.tenants.iter().map(|name| key(name)).collect();
                let mut all = |at: usize| -> Vec<Usage> {
                    tenants.iter().map(|tenant| self.members[at].ledger.known_usage(*tenant, now)).collect()
                };
                return Ok(vec![if all(a) == all(b) { "same" } else { "different" }.to_owned()]);
            }
        }
        Ok(Vec::new())
    }

    fn contrary(word: &str) -> String {
        let pairs = [
            ("same", "different"),
            ("within", "over"),
            ("floor", "over"),
            ("lent", "within"),
            ("over", "within"),
            ("taken", "too old"),
            ("too old", "taken"),
            ("from the future", "taken"),
            ("of nobody listed", "taken"),
            ("not to be read", "taken"),
        ];
        let other = pairs.iter().find(|pair| pair.0 == word);
        other.map_or_else(|| beyond(word), |pair| pair.1.to_owned())
    }
}

fn recorded(fault: Option<RecordError>) -> &'static str {
    match fault {
        None => "taken",
        Some(RecordError::Late) => "too old",
        Some(RecordError::Future) => "from the future",
        Some(RecordError::Full) => "too many",
    }
}

fn absorbed(fault: Option<AbsorbError>) -> &'static str {
    match fault {
        None => "taken",
        Some(AbsorbError::Late) => "too old",
        Some(AbsorbError::Future) => "from the future",
        Some(AbsorbError::Place | AbsorbError::Epoch) => "of nobody listed",
        Some(AbsorbError::Full) => "too many",
        Some(AbsorbError::TooLong | AbsorbError::Version | AbsorbError::Malformed) => "not to be read",
    }
}

impl Fair {
    fn serve(&mut self, seconds: u64, rates: &[(usize, String, u64)], cut: &[usize]) -> Result<(), String> {
        for _ in 0..seconds * 4 {
            self.now += SECOND / 4;
            for (member, tenant, rate) in rates {
                let used = Usage { value: rate / 4, work: rate / 4 };
                let done = self.members[*member].ledger.record(
                    self.now,
                    self.now,
                    TenantKey::from_name(tenant),
                    0,
                    used,
                );
                done.map_err(|e| e.to_string())?;
            }
            for from in 0..self.members.len() {
                let member = &mut self.members[from];
                let before = member.told.len();
                while let Some((slot, bytes)) = member.ledger.publish(self.now) {
                    member.told.push((member.origin, slot, member.told.len() as u64 + 1, bytes));
                }
                let facts = member.told[before..].to_vec();
                let apart = |place: &usize| cut.contains(place);
                for to in (0..self.members.len()).filter(|to| *to != from && !apart(to) && !apart(&from)) {
                    for (origin, slot, number, bytes) in &facts {
                        let done = self.members[to].ledger.absorb(self.now, *origin, *slot, *number, bytes);
                        done.map_err(|e| e.to_string())?;
                    }
                }
            }
        }
        Ok(())
    }
}
