//! The fronts: requests to core events, core answers to bytes, and no more.

pub mod admin;
pub mod platform;
pub mod sse;
pub mod watch;

/// Names that the deployment gives to headers, paths and cookies.
pub mod names {
    /// The id of a request.
    pub const ID: &str = "X-Correlation-Id";
    /// Its class.
    pub const CLASS: &str = "X-Service-Class";
    /// Its tenant.
    pub const TENANT: &str = "X-Account";
    /// How long its client will wait, in milliseconds.
    pub const TIME_LEFT: &str = "X-Time-Left-Ms";
    /// Marks a client's retry.
    pub const REPEAT: &str = "X-Repeat";
    /// Expected work in milliseconds, where clients tell it.
    pub const HINT: &str = "X-Weight-Hint";
    /// Further figures of a request.
    pub const FACTS: &str = "X-Facts";
    /// The key of a keyed class.
    pub const KEY: &str = "Idempotency-Key";
    /// The cookie that says what a request concerns.
    pub const COOKIE: &str = "obj";
    /// A load report in an answer.
    pub const LOAD: &str = "X-Backend-Load";
    /// Says that a worker has not begun a request.
    pub const UNPROCESSED: &str = "X-Unprocessed";
    /// Whether this dispatcher takes requests.
    pub const READY: &str = "/up";
    /// Where workers tell what becomes of a job.
    pub const NEWS: &str = "/_jobs/news";
    /// A worker's load report.
    pub const PROBE: &str = "/metrics/load";
    /// Discovery's list.
    pub const LIST: &str = "/discovery/hosts";
    /// What the workers take for the host of a request.
    pub const SERVICE: &str = "origin.svc";
}
