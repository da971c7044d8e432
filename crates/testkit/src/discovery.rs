//! A fake discovery service: watches and calls for the full endpoint list, with scripted failures.

use crate::http::chunk;
use crate::wait_until;
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A scripted response to a call, instead of the usual one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScriptedResponse {
    /// Answers 503.
    Refuse,
    /// Does not answer until [`FakeDiscovery::release_list_calls`] or [`FakeDiscovery::release_watches`]. The connection stays
    /// open.
    Hold,
    /// Ends the connection in the middle of the list.
    Truncate,
    /// Answers with these bytes. The connection of a watch stays open.
    Raw(Vec<u8>),
}

/// The number of bytes missing at the end of a truncated response.
const TRUNCATED_BYTES: usize = 30;

/// The scripted responses to the next calls.
#[derive(Default)]
struct ScriptedResponses {
    list_calls: VecDeque<ScriptedResponse>,
    watches: VecDeque<ScriptedResponse>,
}

/// A discovery service. Each watch first gets the full list, then the lines that the test pushes. The methods panic if the
/// thread of the service has panicked.
pub struct FakeDiscovery {
    /// The address of the service.
    pub address: SocketAddr,
    /// The number of calls and watches that were answered.
    pub calls: AtomicU64,
    /// The request line of each call and watch.
    pub request_lines: Mutex<Vec<String>>,
    scripted: Mutex<ScriptedResponses>,
    held: Mutex<Vec<TcpStream>>,
    list: Mutex<Value>,
    /// The list for calls without a watch, if that is a different one.
    full_list: Mutex<Option<Value>>,
    watches: Mutex<Vec<TcpStream>>,
}

impl FakeDiscovery {
    /// Starts a service with this list, on loopback.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub fn start(list: Value) -> Arc<FakeDiscovery> {
        FakeDiscovery::start_on(TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port"), list)
    }

    /// Starts a service on the given listener.
    ///
    /// # Panics
    ///
    /// If the listener has no address.
    pub fn start_on(listener: TcpListener, list: Value) -> Arc<FakeDiscovery> {
        let address = listener.local_addr().expect("no local address");
        let discovery = Arc::new(FakeDiscovery {
            address,
            calls: AtomicU64::new(0),
            request_lines: Mutex::default(),
            scripted: Mutex::default(),
            held: Mutex::default(),
            list: Mutex::new(list),
            full_list: Mutex::default(),
            watches: Mutex::default(),
        });
        let shared = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.answer(stream);
                shared.calls.fetch_add(1, Ordering::SeqCst); // last, since tests may push once the call is counted
            }
        });
        discovery
    }

    fn answer(&self, mut stream: TcpStream) {
        let mut buffer = [0; 2048];
        let length = stream.read(&mut buffer).unwrap_or(0);
        let request_line = String::from_utf8_lossy(&buffer[..length]).lines().next().unwrap_or("").to_owned();
        let is_watch = is_watch(&request_line);
        let scripted = self.next_scripted_response(is_watch);
        self.request_lines.lock().expect("mutex poisoned").push(request_line);
        let usual = self.usual_response(is_watch);
        let response = match scripted {
            Some(ScriptedResponse::Refuse) => {
                let _ = stream.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            Some(ScriptedResponse::Truncate) => {
                let _ = stream.write_all(&usual.as_bytes()[..usual.len() - TRUNCATED_BYTES]);
                return;
            }
            Some(ScriptedResponse::Hold) => {
                self.held.lock().expect("mutex poisoned").push(stream);
                return;
            }
            Some(ScriptedResponse::Raw(bytes)) => bytes,
            None => usual.into_bytes(),
        };
        let _ = stream.write_all(&response);
        if is_watch {
            self.watches.lock().expect("mutex poisoned").push(stream);
        }
    }

    fn next_scripted_response(&self, is_watch: bool) -> Option<ScriptedResponse> {
        let mut scripted = self.scripted.lock().expect("mutex poisoned");
        if is_watch { scripted.watches.pop_front() } else { scripted.list_calls.pop_front() }
    }

    fn usual_response(&self, is_watch: bool) -> String {
        let list = self.list.lock().expect("mutex poisoned").clone();
        if is_watch {
            return watch_response(&list);
        }
        list_response(&self.full_list.lock().expect("mutex poisoned").clone().unwrap_or(list))
    }

    /// Scripts the responses to the next watches. Later watches get `list`.
    pub fn script_watches(&self, responses: &[ScriptedResponse], list: Value) {
        self.scripted.lock().expect("mutex poisoned").watches.extend(responses.iter().cloned());
        *self.list.lock().expect("mutex poisoned") = list;
    }

    /// Scripts the responses to the next calls for the full list. Later calls get `list`.
    pub fn script_list_calls(&self, responses: &[ScriptedResponse], list: Value) {
        self.scripted.lock().expect("mutex poisoned").list_calls.extend(responses.iter().cloned());
        *self.full_list.lock().expect("mutex poisoned") = Some(list);
    }

    /// The number of calls for the full list so far.
    pub fn list_call_count(&self) -> usize {
        self.request_lines.lock().expect("mutex poisoned").iter().filter(|line| !is_watch(line)).count()
    }

    /// The generations from which watches were requested so far. Waits until the last of them was answered.
    pub fn watch_indices(&self) -> Vec<u64> {
        wait_until("all calls are answered", || {
            self.calls.load(Ordering::SeqCst)
                == self.request_lines.lock().expect("mutex poisoned").len() as u64
        });
        let index = |line: &String| line.split_once("index=")?.1.split_once(' ')?.0.parse().ok();
        self.request_lines.lock().expect("mutex poisoned").iter().filter_map(index).collect()
    }

    /// Answers the held calls for the full list.
    pub fn release_list_calls(&self, list: &Value) {
        for mut stream in self.held.lock().expect("mutex poisoned").drain(..) {
            let _ = stream.write_all(list_response(list).as_bytes());
        }
    }

    /// Answers the held watches.
    pub fn release_watches(&self, list: &Value) {
        let mut watches = self.watches.lock().expect("mutex poisoned");
        for mut stream in self.held.lock().expect("mutex poisoned").drain(..) {
            let _ = stream.write_all(watch_response(list).as_bytes());
            watches.push(stream);
        }
    }

    /// Sends a change to all watches, as one line. Later calls get `list`.
    pub fn push_change(&self, change: &str, list: Value) {
        *self.list.lock().expect("mutex poisoned") = list;
        self.write_to_watches(chunk(&format!("{change}\n")).as_bytes());
    }

    /// Sends these bytes to all watches.
    pub fn write_to_watches(&self, bytes: &[u8]) {
        for watch in self.watches.lock().expect("mutex poisoned").iter_mut() {
            let _ = watch.write_all(bytes);
        }
    }

    /// Sends an empty line to all watches every 500 ms until the test's process ends.
    pub fn start_heartbeats(self: &Arc<Self>) {
        const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
        let shared = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT_INTERVAL);
                shared.write_to_watches(chunk("\n").as_bytes());
            }
        });
    }

    /// Closes all watches.
    pub fn close_watches(&self) {
        for watch in self.watches.lock().expect("mutex poisoned").drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }
}

fn is_watch(request_line: &str) -> bool {
    request_line.contains("stream=1")
}

/// The head of the response to a watch.
pub const WATCH_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn watch_response(list: &Value) -> String {
    format!("{WATCH_RESPONSE_HEAD}{}", chunk(&format!("{list}\n")))
}

/// The response to a call for the full list.
pub fn list_response(list: &Value) -> String {
    let text = list.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}
