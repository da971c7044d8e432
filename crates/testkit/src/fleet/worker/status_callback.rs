//! Status callbacks, by which a scripted worker reports the status of a job on persistent connections.

use crate::fleet::ConnectionFailed;
use crate::fleet::http::HttpReader;
use crate::fleet::link::Link;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const MAX_ATTEMPTS: u32 = 10;
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of idle connections to one dispatcher.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A connection for callbacks, with its reader.
struct CallbackConnection {
    stream: TcpStream,
    reader: HttpReader,
}

impl CallbackConnection {
    async fn open(address: SocketAddr) -> Result<CallbackConnection, ConnectionFailed> {
        let stream = TcpStream::connect(address).await.map_err(|_| ConnectionFailed)?;
        let _ = stream.set_nodelay(true);
        Ok(CallbackConnection { stream, reader: HttpReader::default() })
    }
}

/// One worker's callbacks to all dispatchers.
pub(super) struct CallbackClient {
    dispatchers: Vec<SocketAddr>,
    /// Idle connections, by dispatcher.
    idle: Mutex<HashMap<usize, Vec<CallbackConnection>>>,
}

impl CallbackClient {
    /// `dispatchers` are the addresses of the dispatchers for callbacks.
    pub(super) fn new(dispatchers: Vec<SocketAddr>) -> CallbackClient {
        CallbackClient { dispatchers, idle: Mutex::default() }
    }

    /// Sends a callback until it is answered, at most [`MAX_ATTEMPTS`] times. Returns false if it was never answered. While
    /// the link is cut, an attempt takes as long as a connect that times out.
    pub(super) async fn deliver(&self, link: &Link, update: &Value) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            let is_reachable =
                tokio::time::timeout(ATTEMPT_TIMEOUT, link.wait_until_not_silent()).await.is_ok();
            if is_reachable && self.call_back(link.dispatcher, update).await.is_ok() {
                return true;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        false
    }

    async fn call_back(&self, dispatcher: usize, update: &Value) -> Result<(), ConnectionFailed> {
        let idle = self.idle.lock().expect("mutex poisoned").get_mut(&dispatcher).and_then(Vec::pop);
        let exchange = async {
            let connection = match idle {
                Some(idle) => idle,
                None => CallbackConnection::open(self.dispatchers[dispatcher]).await?,
            };
            self.exchange(dispatcher, connection, update).await
        };
        tokio::time::timeout(ATTEMPT_TIMEOUT, exchange).await.map_err(|_| ConnectionFailed)?
    }

    /// Sends one callback and reads the reply. The connection is kept if it stays open.
    async fn exchange(
        &self,
        dispatcher: usize,
        mut connection: CallbackConnection,
        update: &Value,
    ) -> Result<(), ConnectionFailed> {
        let text = update.to_string();
        let head = "POST /_jobs/news HTTP/1.1\r\nHost: dispatcher\r\nContent-Type: application/json\r\n";
        let call = format!("{head}Content-Length: {}\r\n\r\n{text}", text.len());
        connection.stream.write_all(call.as_bytes()).await.map_err(|_| ConnectionFailed)?;
        let reply = connection.reader.read_reply(&mut connection.stream).await?;
        let reply = reply.ok_or(ConnectionFailed)?;
        if !reply.closes_connection() {
            self.keep(dispatcher, connection);
        }
        if matches!(reply.status, 200 | 204) { Ok(()) } else { Err(ConnectionFailed) }
    }

    fn keep(&self, dispatcher: usize, connection: CallbackConnection) {
        let mut idle = self.idle.lock().expect("mutex poisoned");
        let idle = idle.entry(dispatcher).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }
}
