//! Many clients that send the same bytes over and over, each as fast as its connection takes them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What each client of a crowd sends.
pub struct Pattern {
    pub name: &'static str,
    /// Sent once on each connection.
    pub head: Vec<u8>,
    /// Sent after that, over and over. If empty, the client stops after the head and stays.
    pub repeated: Vec<u8>,
}

struct Client {
    stream: Option<TcpStream>,
    sent: usize,
}

impl Client {
    /// Sends as much as the connection takes, and reads what has arrived. A connection that has ended is opened anew.
    fn advance(&mut self, to: SocketAddr, pattern: &Pattern) {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&to, Duration::from_millis(50)).ok();
            self.stream = stream.filter(|stream| stream.set_nonblocking(true).is_ok());
            self.sent = 0;
        }
        let Some(stream) = &mut self.stream else { return };
        let is_open = match stream.read(&mut [0; 4096]) {
            Ok(read) => read > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        };
        if !is_open || !write_next(stream, &mut self.sent, pattern) {
            self.stream = None;
        }
    }
}

/// Writes the next bytes of a pattern. Returns false if the connection has ended.
fn write_next(stream: &mut TcpStream, sent: &mut usize, pattern: &Pattern) -> bool {
    let rest = match pattern.head.get(*sent..).filter(|rest| !rest.is_empty()) {
        Some(rest) => rest,
        None if pattern.repeated.is_empty() => return true,
        None => &pattern.repeated[(*sent - pattern.head.len()) % pattern.repeated.len()..],
    };
    match stream.write(rest) {
        Ok(written) => *sent += written,
        Err(error) => return error.kind() == ErrorKind::WouldBlock,
    }
    true
}

/// Lets `clients` send a pattern for this long.
pub fn send_for(duration: Duration, clients: usize, to: SocketAddr, pattern: &Pattern) {
    let mut crowd: Vec<Client> = (0..clients).map(|_| Client { stream: None, sent: 0 }).collect();
    let end = Instant::now() + duration;
    while Instant::now() < end {
        crowd.iter_mut().for_each(|client| client.advance(to, pattern));
    }
}
