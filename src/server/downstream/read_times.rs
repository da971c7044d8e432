//! When the bytes in a client's read buffer arrived.

use crate::policy::interface::Micros;
use std::collections::VecDeque;

/// The maximum number of chunks that are told apart. Beyond it, the oldest count as having arrived together.
const MAX_CHUNKS: usize = 32;

/// Bytes that arrived together.
#[derive(Clone, Copy, Debug)]
struct Chunk {
    bytes: usize,
    arrived_at: Micros,
}

/// The times at which the bytes of a read buffer arrived, at the earliest.
#[derive(Debug, Default)]
pub(in crate::server) struct ReadTimes {
    chunks: VecDeque<Chunk>,
    /// The number of bytes in all chunks.
    length: usize,
    /// Since when bytes may wait in the socket that a read has left there; `None` if it has left none.
    unread_since: Option<Micros>,
}

impl ReadTimes {
    /// Records that the bytes of a new connection may have arrived from `since` on.
    pub fn waiting_since(since: Micros) -> ReadTimes {
        ReadTimes { unread_since: Some(since), ..ReadTimes::default() }
    }

    /// Records a read, after which the buffer holds `length` bytes. The new ones arrived at `earliest` or later, or earlier if an
    /// earlier read had left them. `is_complete` says that no bytes are left in the socket.
    pub fn on_read(&mut self, length: usize, earliest: Micros, is_complete: bool) {
        let arrived_at = self.unread_since.map_or(earliest, |since| since.min(earliest));
        self.unread_since = (!is_complete).then_some(arrived_at);
        let Some(bytes) = length.checked_sub(self.length).filter(|bytes| *bytes > 0) else { return };
        self.length = length;
        match self.chunks.back_mut() {
            Some(last) if last.arrived_at == arrived_at => last.bytes += bytes,
            _ => self.chunks.push_back(Chunk { bytes, arrived_at }),
        }
        if self.chunks.len() > MAX_CHUNKS {
            self.merge_oldest();
        }
    }

    /// Records that the socket is not read for a while. Bytes may wait there from `since` on.
    pub fn on_paused(&mut self, since: Micros) {
        self.unread_since.get_or_insert(since);
    }

    /// Removes the first `bytes` bytes of the buffer. Returns when the last of them arrived, at the earliest; `None` if there are
    /// none.
    pub fn consume(&mut self, bytes: usize) -> Option<Micros> {
        let mut left = bytes.min(self.length);
        self.length -= left;
        let mut arrived_at = None;
        while let Some(first) = self.chunks.front_mut().filter(|_| left > 0) {
            arrived_at = Some(first.arrived_at);
            let used = left.min(first.bytes);
            first.bytes -= used;
            left -= used;
            if first.bytes == 0 {
                self.chunks.pop_front();
            }
        }
        arrived_at
    }

    /// Forgets all bytes, because the buffer was cleared.
    pub fn clear(&mut self) {
        *self = ReadTimes::default();
    }

    /// The earliest time at which a byte of the buffer may have arrived; `None` if the buffer is empty.
    pub fn oldest(&self) -> Option<Micros> {
        self.chunks.front().map(|chunk| chunk.arrived_at)
    }

    fn merge_oldest(&mut self) {
        if let Some(first) = self.chunks.pop_front()
            && let Some(second) = self.chunks.front_mut()
        {
            second.bytes += first.bytes;
            second.arrived_at = first.arrived_at;
        }
    }
}

#[cfg(test)]
mod tests;
