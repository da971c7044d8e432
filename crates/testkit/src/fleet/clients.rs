//! Scripted clients, which send jobs on persistent connections and expect one final reply to each.

use super::ConnectionFailed;
use super::event_log::{Event, EventLog};
use super::http::{HttpMessage, HttpReader};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How much longer than its timeout a client waits before its job counts as unanswered, so that late replies are recorded.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(3);
/// The timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of idle connections to a dispatcher.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// A job as a client sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The class of the job, one of the settings.
    pub class: String,
    /// The tenant of the job.
    pub tenant: String,
    /// The idempotency key, if the class needs one.
    pub key: Option<String>,
    /// The object that the job concerns.
    pub subject: Option<String>,
    /// The client's timeout, which it sends with the job.
    pub timeout: Duration,
    /// The job's time at a worker of speed 1; if not given, the worker's script determines it.
    pub work: Option<Duration>,
    /// `X-Facts`, such as `slots=2`.
    pub facts: Option<String>,
}

impl Job {
    /// An unkeyed job of the small deployment of [`crate::site`].
    pub fn plain() -> Job {
        Job {
            class: "balance".to_owned(),
            tenant: "steppe-mart".to_owned(),
            key: None,
            subject: None,
            timeout: Duration::from_millis(7_500),
            work: None,
            facts: None,
        }
    }

    /// A keyed job of the small deployment of [`crate::site`].
    pub fn keyed(key: &str) -> Job {
        let timeout = Duration::from_secs(25);
        Job { class: "redeem".to_owned(), key: Some(key.to_owned()), timeout, ..Job::plain() }
    }

    fn to_request(&self, id: &str) -> String {
        let mut head = format!(
            "POST /{} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {}\r\n\
             X-Account: {}\r\nX-Time-Left-Ms: {}\r\n",
            self.class,
            self.class,
            self.tenant,
            self.timeout.as_millis()
        );
        let mut field = |name: &str, value: Option<String>| {
            if let Some(value) = value {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
        };
        field("Idempotency-Key", self.key.clone());
        field("Cookie", self.subject.as_ref().map(|subject| format!("obj={subject}")));
        field("X-Facts", self.facts.clone());
        let body = self.work.map_or("work=own".to_owned(), |work| format!("work_us={}", work.as_micros()));
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
    }
}

/// How a job ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The client received a complete reply.
    Answer {
        /// The status code of the reply.
        status: u16,
        /// The body of the reply.
        body: String,
        /// The time from the sending of the job until the reply.
        latency: Duration,
    },
    /// No process accepted the job.
    Unreachable,
    /// The job was sent, and the client received no complete reply.
    NoAnswer,
}

impl JobOutcome {
    /// The status code of the reply; `None` without a reply.
    pub fn status(&self) -> Option<u16> {
        match self {
            JobOutcome::Answer { status, .. } => Some(*status),
            JobOutcome::Unreachable | JobOutcome::NoAnswer => None,
        }
    }
}

/// A client's connection to a dispatcher.
struct ClientConnection {
    stream: TcpStream,
    reader: HttpReader,
    /// The job that was sent last.
    last_id: String,
}

/// A job that is being sent to a dispatcher.
struct Sending {
    dispatcher: usize,
    id: String,
    /// The time at which the client began to send the job, in microseconds of the harness's clock.
    begun_at: u64,
}

/// The result of an exchange on a connection.
enum Exchange {
    /// The client received a complete reply.
    Reply(HttpMessage),
    /// The job could not be written.
    NotWritten,
    /// The connection closed or broke after the job was written, or the received bytes are not HTTP.
    Failed,
    /// The client received no complete reply in time.
    TimedOut,
}

/// The clients of a fleet.
pub struct Clients {
    dispatchers: Vec<SocketAddr>,
    /// Idle connections, by dispatcher.
    idle: Vec<Mutex<Vec<ClientConnection>>>,
    next: AtomicU64,
    seed: u64,
    event_log: Arc<EventLog>,
}

impl Clients {
    pub(super) fn new(dispatchers: Vec<SocketAddr>, seed: u64, event_log: Arc<EventLog>) -> Arc<Clients> {
        let idle = dispatchers.iter().map(|_| Mutex::default()).collect();
        Arc::new(Clients { dispatchers, idle, next: AtomicU64::new(0), seed, event_log })
    }

    /// A unique id for a job.
    fn next_id(&self) -> String {
        // Each step is reversible, so different numbers result in different ids.
        let mut id = self.seed.wrapping_add(self.next.fetch_add(1, Ordering::Relaxed));
        id = (id ^ id >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        id = (id ^ id >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", id ^ id >> 31)
    }

    /// An idle connection that is still usable. Bytes received without a request are logged.
    fn take_idle(&self, dispatcher: usize) -> Option<ClientConnection> {
        loop {
            let connection = self.idle[dispatcher].lock().expect("mutex poisoned").pop()?;
            if self.is_usable(dispatcher, &connection) {
                return Some(connection);
            }
        }
    }

    /// Whether an idle connection is open and has received nothing. Bytes received without a request are logged.
    fn is_usable(&self, dispatcher: usize, connection: &ClientConnection) -> bool {
        let read = connection.stream.try_read(&mut [0; 16]);
        if connection.reader.has_unread_bytes() || matches!(read, Ok(1..)) {
            let id = connection.last_id.clone();
            self.event_log.add(Event::UnexpectedBytes { dispatcher, id });
            return false;
        }
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Checks all idle connections for bytes received without a request.
    pub(super) fn check_idle_connections(&self) {
        for (dispatcher, idle) in self.idle.iter().enumerate() {
            idle.lock().expect("mutex poisoned").retain(|connection| self.is_usable(dispatcher, connection));
        }
    }

    /// Sends a job and waits for its reply.
    pub(super) async fn send(&self, dispatcher: usize, job: &Job) -> JobOutcome {
        let sending = Sending { dispatcher, id: self.next_id(), begun_at: self.event_log.clock.now() };
        let mut idle = self.take_idle(dispatcher);
        loop {
            let is_reused = idle.is_some();
            let connection = match idle.take() {
                Some(idle) => Some(idle),
                None => self.connect(dispatcher).await,
            };
            let Some(mut connection) = connection else { return self.on_unreachable(sending) };
            let exchange = self.exchange(&mut connection, &sending, job).await;
            let may_resend = is_reused && !connection.reader.has_unread_bytes();
            match exchange {
                Exchange::Reply(reply) => return self.on_reply(sending, connection, reply),
                // The close of the idle connection crossed the request, so the job is sent again on a new connection.
                Exchange::NotWritten | Exchange::Failed if may_resend => {}
                Exchange::NotWritten => return self.on_unreachable(sending),
                Exchange::Failed | Exchange::TimedOut => return self.on_unanswered(sending),
            }
        }
    }

    /// Writes a job on a connection and reads its reply.
    async fn exchange(&self, connection: &mut ClientConnection, sending: &Sending, job: &Job) -> Exchange {
        connection.last_id.clone_from(&sending.id);
        let request = job.to_request(&sending.id);
        if connection.stream.write_all(request.as_bytes()).await.is_err() {
            return Exchange::NotWritten;
        }
        let (dispatcher, id) = (sending.dispatcher, sending.id.clone());
        self.event_log.add(Event::Sent { dispatcher, id, timeout: job.timeout.as_micros() as u64 });
        let reply = connection.reader.read_reply(&mut connection.stream);
        match tokio::time::timeout(job.timeout + TIMEOUT_MARGIN, reply).await {
            Ok(Ok(Some(reply))) => Exchange::Reply(reply),
            Ok(Ok(None) | Err(ConnectionFailed)) => Exchange::Failed,
            Err(_) => Exchange::TimedOut,
        }
    }

    async fn connect(&self, dispatcher: usize) -> Option<ClientConnection> {
        let connecting = TcpStream::connect(self.dispatchers[dispatcher]);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(ClientConnection { stream, reader: HttpReader::default(), last_id: String::new() })
    }

    fn on_reply(&self, sending: Sending, connection: ClientConnection, reply: HttpMessage) -> JobOutcome {
        let Sending { dispatcher, id, begun_at } = sending;
        let closes_connection = reply.closes_connection();
        let HttpMessage { status, body, .. } = reply;
        self.event_log.add(Event::Answered { dispatcher, id, status, body: body.clone() });
        if !closes_connection && self.is_usable(dispatcher, &connection) {
            self.keep(dispatcher, connection);
        }
        let latency = Duration::from_micros(self.event_log.clock.now() - begun_at);
        JobOutcome::Answer { status, body, latency }
    }

    fn keep(&self, dispatcher: usize, connection: ClientConnection) {
        let mut idle = self.idle[dispatcher].lock().expect("mutex poisoned");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    fn on_unreachable(&self, sending: Sending) -> JobOutcome {
        let Sending { dispatcher, id, .. } = sending;
        self.event_log.add(Event::Unreachable { dispatcher, id });
        JobOutcome::Unreachable
    }

    fn on_unanswered(&self, sending: Sending) -> JobOutcome {
        let Sending { dispatcher, id, .. } = sending;
        self.event_log.add(Event::Unanswered { dispatcher, id });
        JobOutcome::NoAnswer
    }
}
