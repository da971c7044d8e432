//! Fair shares of federated tenants, computed from late reports. The result is exact and independent of the order of the reports.
//!
//! A [`Ledger`] holds the usage of each tenant, as this member recorded it and as the other members of the fleet reported
//! it, by the time at which it happened. From that it derives a tenant's [`Position`], with its usage as an interval
//! ([`Ledger::position`]), and the value of one more of its jobs ([`Ledger::job_value`]). The ledger makes no decisions about
//! jobs, reads no clock and has no sockets. The caller publishes its facts ([`Ledger::publish`]) and passes on those of
//! others ([`Ledger::absorb`], see docs/design/parts.md). docs/design/fairshare.md states the error bounds.
//!
//! Units: time is in microseconds. Value and work are in whole units of the caller's choice, the same at every member, for
//! example thousandths of a point, and milliseconds. An amount *in the account* is decayed: the balance of a steady flow is
//! its rate times [`Ledger::memory`].
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

/// Microseconds: a point in time of the caller's monotonic clock (or of Unix time, where stated), or a span.
pub type Micros = u64;

/// The usage of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Usage {
    /// The value of the jobs served, in the caller's units.
    pub value: u64,
    /// The work done, in the caller's units.
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

/// The process that published a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The member's index among the peers.
    pub place: u16,
    /// The start of the process, in milliseconds of Unix time.
    pub epoch: u64,
}
