//! A buffered, non-blocking socket: the bytes read but not used yet, and the bytes still to be written. Several pieces are
//! written by one system call (`writev`).

use crate::core::Core;
use crate::http::Piece;
use crate::policy::interface::Micros;
use crate::server::tokens::Token;
use rustix::event::epoll::EventFlags;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;

/// The maximum number of pieces in one gathered write.
const MAX_GATHERED_PIECES: usize = 16;
/// The maximum number of bytes read by one system call.
const MAX_READ: usize = 16 * 1024;

/// Why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// All available bytes have been read.
    WouldBlock,
    /// The read buffer is at its limit; there may be more to read.
    LimitReached,
    /// The other side has stopped sending.
    Eof,
    /// The connection broke.
    Broken,
}

/// The pieces of bytes still to be written, in order.
#[derive(Debug, Default)]
pub struct WriteQueue {
    pieces: VecDeque<Piece>,
    /// Bytes of the first piece that have already been written.
    written: usize,
    /// Bytes still to be written, over all pieces.
    len: usize,
}

impl WriteQueue {
    /// Appends pieces; empty ones are dropped.
    pub fn push(&mut self, pieces: Vec<Piece>) {
        for piece in pieces {
            let len = piece.bytes().len();
            if len > 0 {
                self.len += len;
                self.pieces.push_back(piece);
            }
        }
    }

    /// Drops all bytes still to be written.
    pub fn clear(&mut self) {
        *self = WriteQueue::default();
    }

    /// Bytes still to be written.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes the next `count` bytes, which have been written.
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
    /// The non-blocking socket.
    pub stream: TcpStream,
    /// Bytes read but not used yet.
    pub read_buffer: Vec<u8>,
    /// Bytes still to be written.
    pub write_queue: WriteQueue,
    /// The events for which epoll watches the socket.
    pub interest: EventFlags,
    /// The deadline on the loop's clock, in microseconds, if one is set.
    pub timer: Option<Micros>,
    /// Whether anything has been written since this flag was last reset.
    pub has_written: bool,
}

impl Connection {
    /// Creates a connection over a non-blocking socket, and sets `TCP_NODELAY` so that the kernel does not hold back small
    /// writes. An accepted socket inherits that option from its listener on some systems only. Closing the socket while received
    /// bytes are unread would also discard bytes held back.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true); // without the option, writes are only slower
        let interest = EventFlags::empty();
        Connection {
            stream,
            read_buffer: Vec::new(),
            write_queue: WriteQueue::default(),
            interest,
            timer: None,
            has_written: false,
        }
    }

    /// Starts to connect. The socket becomes writable once connecting has succeeded or failed.
    ///
    /// # Errors
    /// If the socket cannot be created, or connecting fails at once.
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

    /// Sets the deadline, or cancels it if `at` is `None`. The deadline is the core's timer for `token`. [`Reactor::close`]
    /// cancels it too.
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

    /// Writes as much as the socket accepts. Returns false if the connection broke.
    pub fn flush(&mut self) -> bool {
        while !self.write_queue.is_empty() {
            let mut slices = [IoSlice::new(&[]); MAX_GATHERED_PIECES];
            let mut count = 0;
            for (piece, slice) in self.write_queue.pieces.iter().zip(&mut slices) {
                let start = if count == 0 { self.write_queue.written } else { 0 };
                *slice = IoSlice::new(&piece.bytes()[start..]);
                count += 1;
            }
            match rustix::io::writev(&self.stream, &slices[..count]) {
                Ok(0) => return false,
                Ok(written) => {
                    self.write_queue.advance(written);
                    self.has_written = true;
                }
                Err(Errno::AGAIN) => return true,
                Err(Errno::INTR) => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Returns whether the other side has stopped sending or the connection is broken. To find out, it reads the available
    /// bytes, as long as the read buffer holds less than `limit` bytes, and asks the system if more bytes are unread.
    pub fn has_ended(&mut self, limit: usize) -> bool {
        loop {
            let length = self.read_buffer.len();
            match self.fill(limit) {
                ReadEnd::Eof | ReadEnd::Broken => return true,
                ReadEnd::LimitReached => return self.is_hung_up(),
                ReadEnd::WouldBlock if self.read_buffer.len() == length => return false,
                ReadEnd::WouldBlock => {} // after a short read the end of the stream may still follow
            }
        }
    }

    /// The memory of the buffered bytes, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.read_buffer.capacity() + self.write_queue.len()
    }

    /// Whether the other side has stopped sending or the connection is broken, according to the system. Bytes may still be unread.
    fn is_hung_up(&self) -> bool {
        let hangup = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut streams = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let is_polled = poll(&mut streams, Some(&Timespec::default())).is_ok();
        is_polled && streams[0].revents().intersects(hangup)
    }

    /// Reads until the read buffer holds `limit` bytes or no more bytes are available.
    pub fn fill(&mut self, limit: usize) -> ReadEnd {
        let mut space = [MaybeUninit::<u8>::uninit(); MAX_READ];
        while self.read_buffer.len() < limit {
            let wanted = (limit - self.read_buffer.len()).min(MAX_READ);
            match rustix::io::read(&self.stream, &mut space[..wanted]) {
                Ok(([], _)) => return ReadEnd::Eof,
                Ok((read, _)) => {
                    let is_short = read.len() < wanted;
                    append_within(&mut self.read_buffer, read, limit);
                    if is_short {
                        return ReadEnd::WouldBlock;
                    }
                }
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return ReadEnd::WouldBlock,
                Err(_) => return ReadEnd::Broken,
            }
        }
        ReadEnd::LimitReached
    }
}

/// Appends bytes to a buffer. Its capacity grows to twice the length at most, and not beyond `limit` as long as the bytes fit.
fn append_within(buffer: &mut Vec<u8>, bytes: &[u8], limit: usize) {
    let length = buffer.len() + bytes.len();
    if length > buffer.capacity() {
        let capacity = (buffer.capacity() * 2).min(limit).max(length);
        buffer.reserve_exact(capacity - buffer.len());
    }
    buffer.extend_from_slice(bytes);
}
