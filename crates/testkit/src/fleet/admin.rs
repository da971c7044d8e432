//! Requests to a fleet's processes: readiness, admin pages and counters.

use super::Fleet;
use super::http::{HttpMessage, HttpReader};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The timeout of a request to a dispatcher.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

impl Fleet {
    /// Whether a process answers `/up` with 200.
    pub fn is_up(&self, dispatcher: usize) -> bool {
        self.get(self.block.listen(dispatcher), "/up").is_some_and(|answer| answer.status == 200)
    }

    /// Sends a GET request to a process's admin address; `None` if it does not answer.
    pub fn call_admin(&self, dispatcher: usize, path: &str) -> Option<HttpMessage> {
        self.get(self.block.admin(dispatcher), path)
    }

    /// The counters of `/control/counters`, by name without `dispatcher.`; empty if the process does not answer.
    pub fn counters(&self, dispatcher: usize) -> BTreeMap<String, f64> {
        let answer = self.call_admin(dispatcher, "/control/counters").filter(|answer| answer.status == 200);
        let body = answer.map_or(String::new(), |answer| answer.body);
        let counter = |line: &str| {
            let (name, value) = line.strip_prefix("dispatcher.")?.rsplit_once(':')?;
            Some((name.to_owned(), value.split('|').next()?.parse().ok()?))
        };
        body.lines().filter_map(counter).collect()
    }

    fn get(&self, address: SocketAddr, path: &str) -> Option<HttpMessage> {
        // The timeout must be created within the runtime.
        let exchange = async { tokio::time::timeout(CALL_TIMEOUT, get(address, path)).await };
        self.runtime().block_on(exchange).ok().flatten()
    }
}

async fn get(address: SocketAddr, path: &str) -> Option<HttpMessage> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: dispatcher\r\nContent-Length: 0\r\n\r\n");
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    HttpReader::default().read_reply(&mut stream).await.ok().flatten()
}
