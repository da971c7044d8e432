//! The status of a job as workers report it, and its JSON format.

use serde_json::{Value, json};

/// The status of a job that a worker has accepted.
pub(crate) enum JobStatus {
    Started,
    /// The job made progress, as a fraction from 0 to 1.
    Running {
        fraction: f64,
    },
    /// The job is done, with its result and the worker's load report.
    Done {
        result: String,
        load: Value,
    },
    Failed,
    /// The job was returned and never ran.
    Returned,
    /// The worker died while the job waited or ran.
    Lost,
}

impl JobStatus {
    fn state(&self) -> &'static str {
        match self {
            JobStatus::Started => "started",
            JobStatus::Running { .. } => "running",
            JobStatus::Done { .. } => "done",
            JobStatus::Failed => "failed",
            JobStatus::Returned => "returned",
            JobStatus::Lost => "lost",
        }
    }

    /// The update as the data of an event on the job's own connection.
    pub(crate) fn to_update(&self) -> Value {
        let state = self.state();
        match self {
            JobStatus::Running { fraction } => json!({"state": state, "share": fraction}),
            JobStatus::Done { result, load } => json!({"state": state, "result": result, "load": load}),
            _ => json!({"state": state}),
        }
    }

    /// The update as the body of a status callback.
    pub(crate) fn to_callback(&self, job_id: &str, worker: &str) -> Value {
        let mut update = self.to_update();
        update["id"] = json!(job_id);
        update["from"] = json!(worker);
        update
    }
}
