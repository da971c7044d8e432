//! A dispatcher's connection to a scripted worker: probes, jobs and cancellations, answered one after another.

use super::job::{ArrivedJob, JobRun};
use super::{ScriptedWorker, WorkerBehavior, WorkerScript};
use crate::fleet::ConnectionFailed;
use crate::fleet::event_log::Event;
use crate::fleet::http::{self, HttpMessage, HttpReader};
use crate::fleet::link::RelayedConnection;
use crate::fleet::tcp_relay::reset_on_drop;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// How a connection continues after a request.
enum Reply {
    Send(String),
    CloseConnection,
}

/// A connection accepted by a worker.
pub(super) struct WorkerConnection {
    worker: Arc<ScriptedWorker>,
    relayed: Arc<RelayedConnection>,
}

impl WorkerConnection {
    pub(super) fn new(worker: Arc<ScriptedWorker>, relayed: Arc<RelayedConnection>) -> WorkerConnection {
        WorkerConnection { worker, relayed }
    }

    /// Answers requests until the connection ends or the worker dies.
    pub(super) async fn serve(self, mut stream: TcpStream) {
        self.on_connected();
        let mut deaths = self.worker.subscribe_to_deaths();
        let done = tokio::select! {
            done = self.answer_requests(&mut stream) => done,
            _ = deaths.changed() => Err(ConnectionFailed),
        };
        self.worker.count(|metrics| metrics.open -= 1);
        if done.is_err() {
            reset_on_drop(&stream);
        }
    }

    fn dispatcher(&self) -> usize {
        self.relayed.link.dispatcher
    }

    fn log(&self, event: Event) {
        self.worker.context.event_log.add(event);
    }

    fn on_connected(&self) {
        let dispatcher = self.dispatcher();
        self.log(Event::Connected { dispatcher, worker: self.worker.number });
        self.worker.count(|metrics| {
            metrics.connects[dispatcher] += 1;
            metrics.open += 1;
            metrics.max_open = metrics.max_open.max(metrics.open);
        });
    }

    /// Answers requests until the connection ends. An error resets the connection.
    async fn answer_requests(&self, stream: &mut TcpStream) -> Result<(), ConnectionFailed> {
        let _ = stream.set_nodelay(true);
        let mut reader = HttpReader::default();
        while let Some(request) = reader.read_request(stream).await? {
            let text = match self.on_request(stream, &request).await? {
                Reply::Send(text) => text,
                Reply::CloseConnection => return Ok(()),
            };
            stream.write_all(text.as_bytes()).await.map_err(|_| ConnectionFailed)?;
        }
        Ok(())
    }

    async fn on_request(
        &self,
        stream: &mut TcpStream,
        request: &HttpMessage,
    ) -> Result<Reply, ConnectionFailed> {
        let received_at = self.relayed.received_at(request.offset);
        match request.method.as_str() {
            "POST" => self.on_job(stream, request, received_at).await,
            "DELETE" => Ok(self.on_cancel(request)),
            _ => Ok(self.on_probe(request)),
        }
    }

    fn on_probe(&self, request: &HttpMessage) -> Reply {
        let path = request.target.split('?').next().unwrap_or("");
        if !self.worker.script().answers_probes || !matches!(path, "/alive" | "/metrics/load") {
            return not_found();
        }
        let dispatcher = self.dispatcher();
        self.worker.count(|metrics| metrics.probes[dispatcher] += 1);
        self.log(Event::Probed { dispatcher, worker: self.worker.number });
        let report = self.worker.load_report().to_string();
        Reply::Send(http::response("200 OK", "Content-Type: application/json\r\n", &report))
    }

    fn on_cancel(&self, request: &HttpMessage) -> Reply {
        let id = request.target.rsplit('/').next().unwrap_or("");
        if self.worker.pending.cancel(id) {
            self.worker.count(|metrics| metrics.cancelled += 1);
        }
        Reply::Send("HTTP/1.1 204 No Content\r\n\r\n".to_owned())
    }

    /// Handles a job according to the worker's behavior. An error resets the connection.
    async fn on_job(
        &self,
        stream: &mut TcpStream,
        request: &HttpMessage,
        received_at: u64,
    ) -> Result<Reply, ConnectionFailed> {
        let script = self.worker.script();
        let Some(job) = self.read_job(request, &script) else { return Ok(not_found()) };
        self.on_job_arrived(&job, received_at);
        match script.behavior {
            WorkerBehavior::Error => Ok(Reply::Send(http::response("500 Internal Server Error", "", ""))),
            WorkerBehavior::Reset => Err(ConnectionFailed),
            WorkerBehavior::Hang => {
                let _ = stream.read(&mut [0]).await;
                Ok(Reply::CloseConnection)
            }
            WorkerBehavior::Forget => Ok(accepted()),
            WorkerBehavior::Reject => Ok(self.reject()),
            WorkerBehavior::Serve => Ok(self.start_or_reject(job, script)),
            WorkerBehavior::AcceptLate(wait) => {
                tokio::time::sleep(wait).await;
                Ok(self.start_or_reject(job, script))
            }
        }
    }

    /// The job of a request; `None` if it has no id.
    fn read_job(&self, request: &HttpMessage, script: &WorkerScript) -> Option<ArrivedJob> {
        let id = request.field("x-correlation-id")?.to_owned();
        let key = request.field("idempotency-key").map(str::to_owned);
        Some(ArrivedJob { id, key, work: self.draw_work(script, &request.body) })
    }

    /// The work of a job: the one in its body, or else that of the script.
    fn draw_work(&self, script: &WorkerScript, body: &str) -> Duration {
        let own = body.split_whitespace().find_map(|word| word.strip_prefix("work_us=")?.parse().ok());
        let mean = own.map_or(script.work, Duration::from_micros);
        if own.is_some() || !script.random_work {
            return mean;
        }
        let draw = 1.0 - self.worker.rng.lock().expect("mutex poisoned").f64();
        mean.mul_f64(-draw.ln())
    }

    /// Logs and counts a job. `received_at` is the time of its first byte at the relay.
    fn on_job_arrived(&self, job: &ArrivedJob, received_at: u64) {
        let dispatcher = self.dispatcher();
        let work = job.work.as_micros() as u64;
        let reached = Event::Reached { dispatcher, worker: self.worker.number, id: job.id.clone(), work };
        self.worker.context.event_log.add_at(received_at, reached);
        self.worker.count(|metrics| {
            metrics.jobs[dispatcher] += 1;
            *metrics.jobs_per_second.entry(received_at / MICROS_PER_SECOND).or_default() += 1;
        });
    }

    /// Starts a job, unless too many are pending.
    fn start_or_reject(&self, job: ArrivedJob, script: WorkerScript) -> Reply {
        let Some(enqueued) = self.worker.pending.enqueue(&job.id, script.slots + script.queue) else {
            return self.reject();
        };
        let count = enqueued.count;
        self.worker.count(|metrics| metrics.max_pending = metrics.max_pending.max(count));
        let run = JobRun {
            worker: self.worker.clone(),
            link: self.relayed.link.clone(),
            job,
            script,
            pending: enqueued.job,
        };
        tokio::spawn(run.run_until_death());
        accepted()
    }

    fn reject(&self) -> Reply {
        self.worker.count(|metrics| metrics.rejected += 1);
        Reply::Send(http::response("503 Service Unavailable", "X-Unprocessed: 1\r\n", ""))
    }
}

fn accepted() -> Reply {
    Reply::Send(http::response("202 Accepted", "", ""))
}

fn not_found() -> Reply {
    Reply::Send(http::response("404 Not Found", "", ""))
}
