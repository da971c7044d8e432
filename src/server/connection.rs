//! A buffered, non-blocking socket: what was read and not used yet, and what is to be written, in gathered writes.

use crate::core::Core;
use crate::http::Piece;
use crate::policy::interface::Micros;
use crate::server::tokens::Token;
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;

/// The most pieces of one gathered write.
const MAX_GATHERED_PIECES: usize = 16;
/// The most bytes read by one call.
const MAX_READ: usize = 16 * 1024;

/// Why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// All that was there has been read.
    WouldBlock,
    /// The inbox holds as much as the limit allows; there may be more to read.
    LimitReached,
    /// The other side has ended its sending.
    Eof,
    /// The connection broke.
    Broken,
}

/// Pieces of bytes to be written, in order.
#[derive(Debug, Default)]
pub struct Outbox {
    pieces: VecDeque<Piece>,
    /// Bytes of the first piece that are written.
    written: usize,
    /// Bytes still to be written, of all pieces.
    len: usize,
}

impl Outbox {
    /// Adds pieces.
    pub fn push(&mut self, pieces: Vec<Piece>) {
        for piece in pieces {
            let len = piece.bytes().len();
            if len > 0 {
                self.len += len;
                self.pieces.push_back(piece);
            }
        }
    }

    /// Drops what is still to be written.
    pub fn clear(&mut self) {
        *self = Outbox::default();
    }

    /// Bytes still to be written.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether all is written.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// So many bytes more are written.
    fn advance(&mut self, mut count: usize) {
        self.len -= count;
        while let Some(first) = self.pieces.front() {
            let left = first.bytes().len() - self.written;
            if count < left {
                self.written += count;
                return;
            }
            count -= left;
            self.written = 0;
            self.pieces.pop_front();
        }
    }
}

/// A connection with its buffers.
#[derive(Debug)]
pub struct Connection {
    /// Its socket.
    pub stream: TcpStream,
    /// What was read and not used yet.
    pub inbox: Vec<u8>,
    /// What is to be written.
    pub outbox: Outbox,
    /// What epoll watches it for.
    pub interest: EventFlags,
    /// Its deadline, if one is set.
    pub timer: Option<Micros>,
    /// Something was written on it since this was last reset.
    pub has_written: bool,
}

impl Connection {
    /// A connection over a socket that does not block. Small writes are not held back (`TCP_NODELAY`): an accepted socket has
    /// that from its listener on some systems only, and a close over unread bytes takes with it what is held back.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true); // a slower connection is no reason to lose it
        let interest = EventFlags::empty();
        Connection {
            stream,
            inbox: Vec::new(),
            outbox: Outbox::default(),
            interest,
            timer: None,
            has_written: false,
        }
    }

    /// Begins to connect; the socket turns writable once that has succeeded or failed.
    ///
    /// # Errors
    /// Where the system refuses at once.
    pub fn connect(to: SocketAddr) -> Result<Connection, Errno> {
        use rustix::net::{SocketFlags, SocketType, connect, ipproto, socket_with};
        let family = match to {
            SocketAddr::V4(_) => rustix::net::AddressFamily::INET,
            SocketAddr::V6(_) => rustix::net::AddressFamily::INET6,
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd: OwnedFd = socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
        match connect(&fd, &to) {
            Ok(()) | Err(Errno::INPROGRESS) => Ok(Connection::new(TcpStream::from(fd))),
            Err(error) => Err(error),
        }
    }

    /// Sets or drops its deadline: the core's timer of its token. [`Reactor::close`] drops it as well.
    ///
    /// [`Reactor::close`]: crate::server::reactor::Reactor::close
    pub fn set_timer(&mut self, core: &mut Core, token: Token, at: Option<Micros>) {
        if let Some(old) = self.timer.take() {
            core.cancel_timer(old, token.timer());
        }
        if let Some(at) = at {
            core.set_timer(at, token.timer());
        }
        self.timer = at;
    }

    /// Writes what the socket takes. False if the connection broke.
    pub fn flush(&mut self) -> bool {
        while !self.outbox.is_empty() {
            let mut slices = [IoSlice::new(&[]); MAX_GATHERED_PIECES];
            let mut count = 0;
            for (piece, slice) in self.outbox.pieces.iter().zip(&mut slices) {
                let start = if count == 0 { self.outbox.written } else { 0 };
                *slice = IoSlice::new(&piece.bytes()[start..]);
                count += 1;
            }
            match rustix::io::writev(&self.stream, &slices[..count]) {
                Ok(0) => return false,
                Ok(written) => {
                    self.outbox.advance(written);
                    self.has_written = true;
                }
                Err(Errno::AGAIN) => return true,
                Err(Errno::INTR) => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Whether the other side has ended its sending, or the connection is broken. To see that, what is there is read, as long
    /// as the inbox holds less than `limit` bytes.
    pub fn has_ended(&mut self, limit: usize) -> bool {
        loop {
            let length = self.inbox.len();
            match self.fill(limit) {
                ReadEnd::Eof | ReadEnd::Broken => return true,
                ReadEnd::LimitReached => return false,
                ReadEnd::WouldBlock if self.inbox.len() == length => return false,
                ReadEnd::WouldBlock => {} // a short read leaves the end behind it unseen
            }
        }
    }

    /// Reads until the inbox holds `limit` bytes or nothing more is there.
    pub fn fill(&mut self, limit: usize) -> ReadEnd {
        while self.inbox.len() < limit {
            let length = self.inbox.len();
            let wanted = (limit - length).min(MAX_READ);
            self.inbox.resize(length + wanted, 0);
            let read = rustix::io::read(&self.stream, &mut self.inbox[length..]);
            self.inbox.truncate(length + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) => return ReadEnd::Eof,
                Ok(read) if read < wanted => return ReadEnd::WouldBlock,
                Ok(_) | Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return ReadEnd::WouldBlock,
                Err(_) => return ReadEnd::Broken,
            }
        }
        ReadEnd::LimitReached
    }
}
