//! The messages between the two processes, and their packet format.
//!
//! A packet holds the length of its message (four bytes, little-endian), the message as JSON, and the bytes that the message
//! refers to. Descriptors are sent as ancillary data. The JSON names must stay those of the versions in operation.

use crate::config::EndpointList;
use crate::core::{RecordTicket, UnixMicros};
use crate::policy::interface::Micros;
use crate::server::transferred::{TransferredClient, TransferredJob};
use rustix::fs::MemfdFlags;
use rustix::io::{Errno, retry_on_intr};
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketFlags, SocketType,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::HashSet;
use std::fs::File;
use std::io::{IoSlice, IoSliceMut, Read, Seek, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

/// The maximum length of a packet, in bytes. It holds a request with its body, the bytes read after it, and its state.
const MAX_PACKET_BYTES: usize = 256 * 1024;
/// Marks a packet whose content is in a memory file. A file is used for content longer than [`MAX_PACKET_BYTES`] or than the
/// system allows for a packet, such as the list and the learned state of a thousand workers. The marker replaces the length,
/// and the file's descriptor is the last one of the packet.
const FILE_MARKER: [u8; 4] = [u8::MAX; 4];
/// The maximum number of bytes read from a memory file. It is many times the length of the longest list that discovery may send.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// The size of the length field before a message, in bytes.
const LENGTH_BYTES: usize = 4;
/// The maximum number of descriptors in one packet.
const MAX_DESCRIPTORS: usize = 4;

/// A message from one process to the other. The bytes that it refers to follow in the same packet.
#[derive(Deserialize, Serialize)]
pub(super) enum HandoverMessage {
    /// The successor requests the takeover.
    Hello,
    /// The predecessor has stopped accepting connections. Its listening sockets are the descriptors of this message.
    Listeners {
        #[serde(rename = "sse")]
        has_sse: bool,
        #[serde(rename = "peers")]
        has_peers: bool,
        #[serde(rename = "drained")]
        is_drained: bool,
        #[serde(rename = "table")]
        list: EndpointList,
        /// Whether the list must still be revalidated.
        #[serde(rename = "stale", default)]
        is_list_stale: bool,
        open: OpenWork,
        /// The state that the decision module has learned. It is parsed separately, because another version may encode it
        /// differently.
        #[serde(rename = "lesson")]
        learned: Box<RawValue>,
        /// The Unix time of the predecessor, in microseconds; `None` if its version does not send it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        unix_now: Option<UnixMicros>,
    },
    /// A connection of a client, or of a worker that sends status callbacks.
    #[serde(rename = "Front")]
    Client(TransferredClient),
    /// An idle connection to a worker, which may stay open for `idle_time_left` more microseconds.
    #[serde(rename = "Back")]
    Upstream {
        worker: String,
        #[serde(rename = "left")]
        idle_time_left: Micros,
    },
    /// A status callback for a request of the other process; its body follows.
    #[serde(rename = "News")]
    StatusCallback,
    /// The work that the predecessor still holds.
    #[serde(rename = "Open")]
    OpenWork(OpenWork),
    /// A job of the event streams; the bytes of its request follow.
    Job(TransferredJob),
    /// The predecessor requests that an idempotency record is written. If `is_kept`, the record follows; otherwise the key is
    /// deleted.
    #[serde(rename = "Write")]
    WriteRecord {
        ticket: Option<RecordTicket>,
        key: String,
        #[serde(rename = "kept")]
        is_kept: bool,
    },
    /// The successor reports whether the record of a `WriteRecord` message was written.
    #[serde(rename = "Written")]
    RecordWritten {
        ticket: RecordTicket,
        #[serde(rename = "written")]
        is_written: bool,
    },
}

/// The work that a process still holds: the ids of its open requests, and the number of its connections.
#[derive(Deserialize, Serialize, Clone, PartialEq, Default)]
pub(super) struct OpenWork {
    #[serde(rename = "names")]
    pub request_names: HashSet<String>,
    #[serde(rename = "live")]
    pub connections: usize,
}

/// A received packet.
pub(super) struct Packet {
    pub message: HandoverMessage,
    /// The bytes after the message.
    pub bytes: Vec<u8>,
    pub descriptors: Vec<OwnedFd>,
}

/// Why no packet was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReceiveError {
    #[error("malformed handover packet")]
    Malformed,
    /// The system returned an error.
    #[error("{0}")]
    System(#[source] Errno),
}

impl From<Errno> for ReceiveError {
    fn from(error: Errno) -> ReceiveError {
        if error == Errno::INVAL { ReceiveError::Malformed } else { ReceiveError::System(error) }
    }
}

/// Creates a Unix socket that keeps the boundaries of packets.
pub(super) fn packet_socket() -> Result<OwnedFd, Errno> {
    rustix::net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
}

/// Sends a message with its bytes and descriptors. A message too long for a packet goes in a memory file.
///
/// # Errors
/// If the message cannot be encoded, or the system refuses to send it, for example because the link is full or closed.
pub(super) fn send(
    link: &OwnedFd,
    message: &HandoverMessage,
    bytes: &[&[u8]],
    descriptors: &[BorrowedFd<'_>],
) -> Result<(), Errno> {
    let message = serde_json::to_vec(message).map_err(|_| Errno::INVAL)?;
    let length = (message.len() as u32).to_le_bytes();
    let parts: Vec<&[u8]> = [&length[..], &message].into_iter().chain(bytes.iter().copied()).collect();
    let total: usize = parts.iter().map(|part| part.len()).sum();
    if total <= MAX_PACKET_BYTES {
        match send_packet(link, &parts, descriptors) {
            Err(Errno::MSGSIZE) => {}
            sent => return sent,
        }
    }
    send_in_file(link, &parts, descriptors)
}

/// Sends a message in a memory file, whose descriptor is the last one of the packet.
fn send_in_file(link: &OwnedFd, parts: &[&[u8]], descriptors: &[BorrowedFd<'_>]) -> Result<(), Errno> {
    let mut file = File::from(rustix::fs::memfd_create("mothproxy-handover", MemfdFlags::CLOEXEC)?);
    let written = parts.iter().try_for_each(|part| file.write_all(part)).and_then(|()| file.rewind());
    written.map_err(|error| Errno::from_io_error(&error).unwrap_or(Errno::IO))?;
    let descriptors: Vec<BorrowedFd<'_>> = descriptors.iter().copied().chain([file.as_fd()]).collect();
    send_packet(link, &[&FILE_MARKER], &descriptors)
}

/// Sends one packet with its descriptors.
fn send_packet(link: &OwnedFd, parts: &[&[u8]], descriptors: &[BorrowedFd<'_>]) -> Result<(), Errno> {
    let slices: Vec<IoSlice<'_>> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(Errno::INVAL);
    }
    retry_on_intr(|| rustix::net::sendmsg(link, &slices, &mut ancillary, SendFlags::NOSIGNAL)).map(|_| ())
}

/// Reads one packet. Returns `Ok(None)` if the other process has closed the link.
///
/// # Errors
/// If the packet is malformed, or the system returns an error (`EAGAIN` if no packet has arrived on a non-blocking link).
pub(super) fn receive(link: &OwnedFd) -> Result<Option<Packet>, ReceiveError> {
    let mut bytes = vec![0; MAX_PACKET_BYTES];
    let mut descriptors = Vec::new();
    let length = receive_packet(link, &mut bytes, &mut descriptors)?;
    if length == 0 {
        return Ok(None);
    }
    bytes.truncate(length);
    if bytes == FILE_MARKER {
        let file = File::from(descriptors.pop().ok_or(ReceiveError::Malformed)?);
        bytes.clear();
        file.take(MAX_FILE_BYTES).read_to_end(&mut bytes).map_err(|_| ReceiveError::Malformed)?;
    }
    let length = bytes.first_chunk().map_or(usize::MAX, |length| u32::from_le_bytes(*length) as usize);
    let end = length.checked_add(LENGTH_BYTES).filter(|end| *end <= bytes.len());
    let end = end.ok_or(ReceiveError::Malformed)?;
    let message = serde_json::from_slice(&bytes[LENGTH_BYTES..end]).map_err(|_| ReceiveError::Malformed)?;
    bytes.drain(..end);
    bytes.shrink_to_fit();
    Ok(Some(Packet { message, bytes, descriptors }))
}

/// Reads a raw packet into `bytes` and appends its descriptors to `descriptors`. Returns its length; 0 if the other process has
/// closed the link.
fn receive_packet(link: &OwnedFd, bytes: &mut [u8], descriptors: &mut Vec<OwnedFd>) -> Result<usize, Errno> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let flags = RecvFlags::CMSG_CLOEXEC;
    let received = rustix::net::recvmsg(link, &mut [IoSliceMut::new(bytes)], &mut ancillary, flags)?;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            descriptors.extend(rights);
        }
    }
    Ok(received.bytes)
}
