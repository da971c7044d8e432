//! Test fixtures: ledgers, members that publish their usage, and a fleet of such members.

use mothproxy_fairshare::{
    AbsorbError, Config, Installation, Ledger, Origin, Shares, Tenant, TenantKey, Usage,
};

pub const SECOND: u64 = 1_000_000;
/// The Unix time of time 0 of the tests, in microseconds.
pub const UNIX_AT_ZERO: u64 = 1_700_000_000 * SECOND;

pub fn shares(weights: &[(&str, u32)]) -> Shares {
    let tenant =
        |(name, weight): &(&str, u32)| Tenant { name: name.to_string(), weight: *weight, classes: vec![] };
    let home = Installation { name: "home".into(), weight: 1, tenants: weights.iter().map(tenant).collect() };
    Shares { installations: vec![home] }
}

pub fn config(place: u16) -> Config {
    Config {
        place,
        epoch: UNIX_AT_ZERO / 1000,
        unix_at_zero: UNIX_AT_ZERO,
        peers: 8,
        rate: 1_000,
        ..Config::default()
    }
}

pub fn ledger(place: u16, shares: &Shares) -> Ledger {
    Ledger::new(config(place), shares, 0).unwrap()
}

pub fn key(name: &str) -> TenantKey {
    TenantKey::from_name(name)
}

#[derive(Clone, Debug)]
pub struct Fact {
    pub origin: Origin,
    pub slot: u32,
    pub number: u64,
    pub bytes: Vec<u8>,
}

impl Fact {
    pub fn absorb_into(&self, ledger: &mut Ledger, now: u64) -> Result<(), AbsorbError> {
        ledger.absorb(now, self.origin, self.slot, self.number, &self.bytes)
    }
}

/// A member and all facts that it published.
pub struct Publisher {
    pub origin: Origin,
    pub ledger: Ledger,
    pub published: Vec<Fact>,
}

impl Publisher {
    pub fn new(config: Config, shares: &Shares, now: u64) -> Publisher {
        let origin = Origin { place: config.place, epoch: config.epoch };
        Publisher { origin, ledger: Ledger::new(config, shares, now).unwrap(), published: Vec::new() }
    }

    pub fn serve(&mut self, now: u64, tenant: &str, value: u64) {
        self.ledger.record(now, now, key(tenant), 0, Usage { value, work: value * 3 }).unwrap();
    }

    /// Publishes all facts that are due, and returns them.
    pub fn publish(&mut self, now: u64) -> Vec<Fact> {
        let from = self.published.len();
        while let Some((slot, bytes)) = self.ledger.publish(now) {
            assert!(bytes.len() <= 160, "{} bytes", bytes.len());
            self.published.push(Fact {
                origin: self.origin,
                slot,
                number: self.published.len() as u64 + 1,
                bytes,
            });
        }
        self.published[from..].to_vec()
    }
}

/// The sum of past uses, decayed to `now` by the definition of the decay.
pub fn decayed(uses: &[(u64, i64)], now: u64) -> f64 {
    let Config { bucket_width: bucket, half_life, .. } = Config::default();
    let bucket_start = |at: u64| ((UNIX_AT_ZERO + at) / bucket * bucket) as f64;
    let now = ((UNIX_AT_ZERO + now) / (bucket / 16) * (bucket / 16)) as f64; // in steps of 1/16 of a bucket
    let age = |at: u64| (now - bucket_start(at)) / (bucket * u64::from(half_life)) as f64;
    uses.iter().map(|(at, amount)| *amount as f64 * (-age(*at)).exp2()).sum()
}

/// Members that serve tenants at even rates and send each other their facts, except those that a test drops.
pub struct Fleet {
    pub members: Vec<Publisher>,
    pub now: u64,
}

impl Fleet {
    pub fn new(members: u16, shares: &Shares) -> Fleet {
        Fleet {
            members: (0..members).map(|place| Publisher::new(config(place), shares, 0)).collect(),
            now: 0,
        }
    }

    /// Runs the fleet for a number of seconds. `rates` has the member, the tenant and the value per second;
    /// `is_delivered(from, to)` is whether the facts of a member arrive at another.
    pub fn run(
        &mut self,
        seconds: u64,
        rates: &[(usize, &str, u64)],
        is_delivered: impl Fn(usize, usize) -> bool,
    ) {
        for _ in 0..seconds * 4 {
            self.now += SECOND / 4;
            for (member, tenant, rate) in rates {
                self.members[*member].serve(self.now, tenant, rate / 4);
            }
            for from in 0..self.members.len() {
                let facts = self.members[from].publish(self.now);
                for to in (0..self.members.len()).filter(|to| *to != from && is_delivered(from, *to)) {
                    facts.iter().for_each(|f| f.absorb_into(&mut self.members[to].ledger, self.now).unwrap());
                }
            }
        }
    }

    /// The low, likely and high usage of a tenant according to a member, as rates in units per second.
    pub fn rates(&mut self, at: usize, tenant: &str) -> [f64; 3] {
        let ledger = &mut self.members[at].ledger;
        let (used, memory) = (ledger.position(key(tenant), self.now).used, ledger.memory() as f64 / 1e6);
        [used.low, used.likely, used.high].map(|n| n as f64 / memory)
    }
}

pub fn is_near(actual: f64, expected: f64) -> bool {
    (actual - expected).abs() <= expected.abs() * 0.03
}
