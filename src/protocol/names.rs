//! The names of headers, paths, cookies and hosts in this deployment.

/// Header: the id of a request.
pub const REQUEST_ID: &str = "X-Correlation-Id";
/// Header: the class of a request.
pub const CLASS: &str = "X-Service-Class";
/// Header: the tenant of a request.
pub const TENANT: &str = "X-Account";
/// Header: how long the client will wait for the response, in milliseconds.
pub const TIME_LEFT: &str = "X-Time-Left-Ms";
/// Header: `1` marks a client's retry.
pub const REPEAT: &str = "X-Repeat";
/// Header: the client's estimate of the work of a request, in milliseconds.
pub const WORK_HINT: &str = "X-Weight-Hint";
/// Header: further numeric properties of a request, as name=value pairs.
pub const FACTS: &str = "X-Facts";
/// Header: the idempotency key of a request; required by some classes.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Cookie: the key of the object that a request concerns.
pub const OBJECT_COOKIE: &str = "obj";
/// Header of a worker's response: its load report.
pub const LOAD_REPORT: &str = "X-Backend-Load";
/// Header of a worker's response: `1` says that the worker has not started the request.
pub const UNPROCESSED: &str = "X-Unprocessed";
/// Header: what happens to a submitted job once its stream has no watcher: `end` ends the job, `go-on` lets it continue.
pub const UNWATCHED: &str = "X-Unwatched";

/// Path: the readiness check, whether this dispatcher accepts clients.
pub const READY_PATH: &str = "/up";
/// Path: the status callbacks of workers.
pub const STATUS_CALLBACK_PATH: &str = "/_jobs/news";
/// Path on a worker: its load report.
pub const LOAD_PROBE_PATH: &str = "/metrics/load";
/// Path of discovery: the endpoint list.
pub const ENDPOINT_LIST_PATH: &str = "/discovery/hosts";
/// Prefix of the paths of event streams; a job's public id follows.
pub const STREAM_PATH_PREFIX: &str = "/streams/";

/// The value of `Host` in every request that this dispatcher sends.
pub const UPSTREAM_HOST: &str = "origin.svc";
