//! What workers say of the jobs that they have accepted, in the wire's form.

use serde_json::{Value, json};

/// What a worker says of a job.
pub(crate) enum JobStatus {
    Started,
    /// This fraction of it is done, from 0 to 1.
    Running {
        fraction: f64,
    },
    /// It is done, with this result; the worker's load report comes beside.
    Done {
        result: String,
        load: Value,
    },
    Failed,
    /// It never ran.
    Returned,
    /// The worker died while it waited or ran.
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

    /// The update as an event on the job's own connection has it.
    pub(crate) fn to_update(&self) -> Value {
        let state = self.state();
        match self {
            JobStatus::Running { fraction } => json!({"state": state, "share": fraction}),
            JobStatus::Done { result, load } => json!({"state": state, "result": result, "load": load}),
            _ => json!({"state": state}),
        }
    }

    /// The update as a callback has it.
    pub(crate) fn to_callback(&self, job_id: &str, worker: &str) -> Value {
        let mut update = self.to_update();
        update["id"] = json!(job_id);
        update["from"] = json!(worker);
        update
    }
}
