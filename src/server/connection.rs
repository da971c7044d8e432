//! One connection: its socket, what was read and not used yet, what is to be written.

use crate::http::Piece;
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;

/// Pieces handed to one gathered write at most.
const MAX_GATHERED_PIECES: usize = 16;
/// Bytes read at a time.
const MAX_READ: usize = 16 * 1024;

/// What reading brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// All there was for now.
    WouldBlock,
    /// As much as was asked for; there may be more.
    LimitReached,
    /// The other side has ended its sending.
    Eof,
    /// The connection broke.
    Broken,
}

/// Pieces to be written, in order.
#[derive(Debug, Default)]
pub struct Outbox {
    pieces: VecDeque<Piece>,
    /// Bytes of the first piece that are written.
    done: usize,
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

    fn advance(&mut self, mut written: usize) {
        self.len -= written;
        while let Some(first) = self.pieces.front() {
            let left = first.bytes().len() - self.done;
            if written < left {
                self.done += written;
                return;
            }
            written -= left;
            self.done = 0;
            self.pieces.pop_front();
        }
    }
}

/// A connection.
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
    pub timer: Option<u64>,
    /// Something was written on it since this was last looked at.
    pub wrote: bool,
}

impl Connection {
    /// A connection over a socket that does not block. Each is told not to hold small writes back: an accepted one has that
    /// from its listener on some systems only, and a close over unread bytes takes with it what is held back.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true); // a slower connection is no reason to lose it
        let interest = EventFlags::empty();
        Connection {
            stream,
            inbox: Vec::new(),
            outbox: Outbox::default(),
            interest,
            timer: None,
            wrote: false,
        }
    }

    /// Begins to connect; the socket turns writable once that is settled.
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

    /// Writes what it can. False if the connection broke.
    pub fn flush(&mut self) -> bool {
        while !self.outbox.is_empty() {
            let mut slices = [IoSlice::new(&[]); MAX_GATHERED_PIECES];
            let mut count = 0;
            for (piece, slice) in self.outbox.pieces.iter().zip(&mut slices) {
                let from = if count == 0 { self.outbox.done } else { 0 };
                *slice = IoSlice::new(&piece.bytes()[from..]);
                count += 1;
            }
            match rustix::io::writev(&self.stream, &slices[..count]) {
                Ok(0) => return false,
                Ok(written) => {
                    self.outbox.advance(written);
                    self.wrote = true;
                }
                Err(Errno::AGAIN) => return true,
                Err(Errno::INTR) => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Whether the other side has ended its sending, or the connection is broken: what is there is read for it, as long
    /// as the inbox holds less than `most` bytes.
    pub fn has_ended(&mut self, most: usize) -> bool {
        loop {
            let held = self.inbox.len();
            match self.fill(most) {
                ReadEnd::Eof | ReadEnd::Broken => return true,
                ReadEnd::LimitReached => return false,
                ReadEnd::WouldBlock if self.inbox.len() == held => return false,
                ReadEnd::WouldBlock => {} // a short read leaves the end behind it unseen
            }
        }
    }

    /// Reads until the inbox holds `most` bytes or nothing more is there.
    pub fn fill(&mut self, most: usize) -> ReadEnd {
        while self.inbox.len() < most {
            let held = self.inbox.len();
            let room = (most - held).min(MAX_READ);
            self.inbox.resize(held + room, 0);
            let read = rustix::io::read(&self.stream, &mut self.inbox[held..]);
            self.inbox.truncate(held + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) => return ReadEnd::Eof,
                Ok(read) if read < room => return ReadEnd::WouldBlock,
                Ok(_) | Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return ReadEnd::WouldBlock,
                Err(_) => return ReadEnd::Broken,
            }
        }
        ReadEnd::LimitReached
    }
}
