//! A dispatcher's connection to the scripted discovery service: calls, and the watch that one of them may open.

use super::endpoint_table::ListFor;
use super::script::CallHandling;
use super::{DiscoveryMode, DiscoveryScript, ScriptedDiscovery, Turn};
use crate::fleet::ConnectionFailed;
use crate::fleet::http::{self, HttpMessage, HttpReader};
use crate::fleet::link::RelayedConnection;
use crate::fleet::tcp_relay::reset_on_drop;
use crate::http::chunk;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const WATCH_RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A call to the service.
enum Call {
    /// A watch of the changes after a generation.
    Watch { after: u64 },
    /// A call for the full list.
    FullList,
    /// A call for an unknown resource.
    Unknown,
}

impl Call {
    fn from_request(request: &HttpMessage) -> Call {
        match watch_index(request) {
            Some(after) => Call::Watch { after },
            None if request.target.starts_with("/discovery/hosts") => Call::FullList,
            None => Call::Unknown,
        }
    }
}

/// The generation after which a request opens a watch; `None` if it opens none.
fn watch_index(request: &HttpMessage) -> Option<u64> {
    let query = request.target.split_once('?')?.1;
    let value = |name: &str| {
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|field| field.0 == name).map(|field| field.1)
    };
    value("stream").filter(|stream| *stream == "1")?;
    Some(value("index").and_then(|index| index.parse().ok()).unwrap_or(0))
}

/// A connection accepted by the service.
pub(super) struct DiscoveryConnection {
    discovery: Arc<ScriptedDiscovery>,
    relayed: Arc<RelayedConnection>,
    stream: TcpStream,
    /// The number of bytes written to the stream.
    written: u64,
}

impl DiscoveryConnection {
    pub(super) fn new(
        discovery: Arc<ScriptedDiscovery>,
        relayed: Arc<RelayedConnection>,
        stream: TcpStream,
    ) -> DiscoveryConnection {
        DiscoveryConnection { discovery, relayed, stream, written: 0 }
    }

    /// Answers calls until the connection ends.
    pub(super) async fn serve(mut self) {
        if self.answer_calls().await.is_err() {
            reset_on_drop(&self.stream);
        }
    }

    fn dispatcher(&self) -> usize {
        self.relayed.link.dispatcher
    }

    /// Answers calls until the connection ends. An error resets the connection.
    async fn answer_calls(&mut self) -> Result<(), ConnectionFailed> {
        let _ = self.stream.set_nodelay(true);
        let mut reader = HttpReader::default();
        while let Some(request) = reader.read_request(&mut self.stream).await? {
            self.count_call();
            let script = self.discovery.script();
            let call = Call::from_request(&request);
            match script.handling_of(matches!(call, Call::Watch { .. })) {
                CallHandling::Reset => {
                    self.discovery.inner().metrics.reset += 1;
                    return Err(ConnectionFailed);
                }
                CallHandling::Hang => return self.hang().await,
                CallHandling::Answer => {}
            }
            if !script.is_local_agent && matches!(self.discovery.wait_for_turn(&script).await?, Turn::Refused)
            {
                self.refuse(&script).await?;
                continue;
            }
            match call {
                Call::Watch { after } => return self.serve_watch(after).await,
                Call::FullList => self.send_full_list().await?,
                Call::Unknown => self.write(&http::response("404 Not Found", "", "")).await?,
            }
        }
        Ok(())
    }

    fn count_call(&self) {
        let now = self.discovery.event_log.clock.now();
        self.discovery.inner().metrics.count_call(self.dispatcher(), now);
    }

    /// Writes nothing until the mode changes or the dispatcher closes the connection. The connection is then reset.
    async fn hang(&mut self) -> Result<(), ConnectionFailed> {
        let mut script = self.discovery.script.subscribe();
        let mode = script.borrow_and_update().mode;
        let mut byte = [0];
        tokio::select! {
            _ = script.wait_for(|script| script.mode != mode) => {}
            _ = self.stream.read(&mut byte) => {}
        }
        Err(ConnectionFailed)
    }

    async fn refuse(&mut self, script: &DiscoveryScript) -> Result<(), ConnectionFailed> {
        let retry_after =
            script.retry_after.map_or(String::new(), |seconds| format!("Retry-After: {seconds}\r\n"));
        self.write(&http::response("503 Service Unavailable", &retry_after, "")).await
    }

    async fn send_full_list(&mut self) -> Result<(), ConnectionFailed> {
        let answer = self.discovery.answer_call(self.dispatcher(), None);
        let text = http::response("200 OK", "", &self.discovery.format(&answer.list));
        self.send_list(&text, answer).await
    }

    /// Sends a list that is encoded as `text`. Once the relay has written its last byte to the dispatcher, the notification is
    /// logged.
    async fn send_list(&mut self, text: &str, list: ListFor) -> Result<(), ConnectionFailed> {
        let end = self.written + text.len() as u64;
        self.relayed.log_once_written(end, list.notified, &self.discovery.event_log);
        self.write(text).await
    }

    async fn write(&mut self, text: &str) -> Result<(), ConnectionFailed> {
        self.stream.write_all(text.as_bytes()).await.map_err(|_| ConnectionFailed)?;
        self.written += text.len() as u64;
        Ok(())
    }

    /// Sends the changes after a generation until the dispatcher closes the watch. An error resets the connection.
    async fn serve_watch(&mut self, after: u64) -> Result<(), ConnectionFailed> {
        let mut changes = WatchedChanges {
            generation: self.discovery.generation.subscribe(),
            script: self.discovery.script.subscribe(),
        };
        self.write(WATCH_RESPONSE_HEAD).await?;
        let (mut is_first, mut sent) = (true, after);
        loop {
            let script = *changes.script.borrow_and_update();
            if script.resets_connections() {
                return Err(ConnectionFailed);
            }
            let newest = *changes.generation.borrow_and_update();
            if script.mode == DiscoveryMode::Up && (is_first || newest != sent) {
                let list = if is_first {
                    self.discovery.answer_call(self.dispatcher(), Some(sent))
                } else {
                    self.discovery.list_for(self.dispatcher(), Some(sent))
                };
                (is_first, sent) = (false, list.generation);
                let text = chunk(&(self.discovery.format(&list.list) + "\n"));
                self.send_list(&text, list).await?;
                continue;
            }
            match self.wait_for_change(&mut changes, &script).await {
                WatchEvent::Changed => {}
                WatchEvent::HeartbeatDue => self.write(&chunk("\n")).await?,
                WatchEvent::Closed => return Ok(()),
            }
        }
    }

    /// Waits until there may be something to send on a watch.
    async fn wait_for_change(
        &mut self,
        changes: &mut WatchedChanges,
        script: &DiscoveryScript,
    ) -> WatchEvent {
        let mut byte = [0];
        tokio::select! {
            _ = changes.generation.changed() => WatchEvent::Changed,
            _ = changes.script.changed() => WatchEvent::Changed,
            read = self.stream.read(&mut byte) => match read {
                Ok(1..) => WatchEvent::Changed,
                _ => WatchEvent::Closed,
            },
            () = tokio::time::sleep(script.heartbeat_interval) => {
                if script.mode == DiscoveryMode::Up { WatchEvent::HeartbeatDue } else { WatchEvent::Changed }
            }
        }
    }
}

/// The signals for which a watch waits.
struct WatchedChanges {
    generation: watch::Receiver<u64>,
    script: watch::Receiver<DiscoveryScript>,
}

/// An event on a watch without pending changes.
enum WatchEvent {
    /// There may be changes to send; if not, the watch continues to wait.
    Changed,
    /// Nothing has changed for the heartbeat interval, and the service is up.
    HeartbeatDue,
    /// The dispatcher has closed the watch.
    Closed,
}
