//! Fair shares of federated tenants from late reports; exact, in whatever order the reports arrive.
//!
//! A [`Ledger`] holds what each member of a fleet has reported of each tenant's usage, by the time at which it happened, and
//! this member's own. From that it derives a tenant's [`Position`] (usage as an interval, [`Ledger::position`]) and the value
//! of one more of its jobs ([`Ledger::job_value`]). It decides nothing about jobs, reads no clock, and knows no datagram:
//! facts go out by [`Ledger::publish`] and come in by [`Ledger::absorb`] (docs/design/parts.md). docs/design/fairshare.md has
//! the bounds.
//!
//! Units: time in microseconds; value and work in whole units of the caller's choice, the same at every member (such as
//! thousandths of a point, and milliseconds). An amount *in the account* is decayed: a steady flow stands there as its rate
//! times [`Ledger::memory`].
//!
//! ```
//! use mothproxy_fairshare::{Config, Installation, Ledger, Shares, Tenant, TenantKey, Tier, Usage};
//!
//! let tenant = Tenant { name: "alpha".into(), weight: 1, classes: vec![] };
//! let home = Installation { name: "home".into(), weight: 1, tenants: vec![tenant] };
//! let shares = Shares { installations: vec![home] };
//! let config = Config { unix_at_zero: 1_700_000_000_000_000, rate: 1_000, ..Config::default() };
//! let mut ledger = Ledger::new(config, &shares, 0)?;
//!
//! let alpha = TenantKey::from_name("alpha");
//! ledger.record(0, 0, alpha, 0, Usage { value: 500, work: 20 })?;
//! assert_eq!(ledger.known_usage(alpha, 0), Usage { value: 500, work: 20 });
//! assert_eq!(ledger.job_value(alpha, 0, 10, 0).tier, Tier::Within);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accounts;
mod clock;
mod config;
mod decay;
mod ledger;
mod members;
mod metrics;
mod own_usage;
mod receiver;
mod report_error;
mod share_pool;
mod shares;
mod usage_estimate;
mod valuation;
mod wire;

pub use config::{Config, ConfigError, MAX_PAGES, Measure};
pub use ledger::Ledger;
pub use metrics::Metrics;
pub use report_error::{AbsorbError, RecordError};
pub use shares::{Installation, MAX_CLASSES, MAX_TENANTS, Shares, SharesError, Tenant, TenantKey};
pub use valuation::{Interval, JobValue, Position, Tier};

/// The kind of this crate's facts (docs/design/parts.md).
pub const KIND: u8 = 3;

/// Microseconds of the caller's monotonic clock or, where that is said, of Unix time; or a span of them.
pub type Micros = u64;

/// What a tenant used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Usage {
    /// Value served, in the caller's units.
    pub value: u64,
    /// Work done, in the caller's units.
    pub work: u64,
}

impl Usage {
    pub(crate) fn measured(self, measure: Measure) -> u64 {
        match measure {
            Measure::Value => self.value,
            Measure::Work => self.work,
        }
    }

    pub(crate) fn is_zero(self) -> bool {
        self == Usage::default()
    }
}

impl std::ops::Add for Usage {
    type Output = Usage;

    fn add(self, other: Usage) -> Usage {
        Usage { value: self.value + other.value, work: self.work + other.work }
    }
}

impl std::ops::Sub for Usage {
    type Output = Usage;

    fn sub(self, other: Usage) -> Usage {
        Usage { value: self.value - other.value, work: self.work - other.work }
    }
}

/// A member and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// Its index among the peers.
    pub place: u16,
    /// Its start, milliseconds of Unix time.
    pub epoch: u64,
}
