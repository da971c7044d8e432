//! Messages between the two processes, and the packets they go in.
//!
//! A packet is the length of its message in four bytes, the least first, the message as JSON, and the bytes that the message
//! speaks of; descriptors go beside it. The names in JSON are those of the versions that are running.

use crate::config::EndpointList;
use crate::core::RecordTicket;
use crate::policy::interface::Micros;
use crate::server::transferred::{TransferredClient, TransferredJob};
use rustix::fs::MemfdFlags;
use rustix::io::Errno;
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketFlags, SocketType,
};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::fs::File;
use std::io::{IoSlice, IoSliceMut, Read, Seek, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

/// The longest packet: a request with its body, what was read behind it, and what is known of it.
const MAX_PACKET_BYTES: usize = 256 * 1024;
/// What is longer, or longer than the system lets a packet be, such as the list and what was learned of a thousand workers, goes
/// in a file without a name. This stands for its length, and the file's descriptor comes last.
const FILE_MARKER: [u8; 4] = [u8::MAX; 4];
/// The longest such file: of lists, the longest that discovery may send many times over.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// Bytes of the length before a message.
const LENGTH_BYTES: usize = 4;
/// Descriptors in one packet at most.
const MAX_DESCRIPTORS: usize = 4;

/// What one process sends the other; bytes of a connection follow in the same packet.
#[derive(Deserialize, Serialize)]
pub(super) enum HandoverMessage {
    /// The successor is there and asks for everything.
    Hello,
    /// The predecessor accepts no more: its listening sockets come with this.
    Listeners {
        #[serde(rename = "sse")]
        has_sse: bool,
        #[serde(rename = "peers")]
        has_peers: bool,
        #[serde(rename = "drained")]
        is_drained: bool,
        #[serde(rename = "table")]
        list: EndpointList,
        /// That is still to be revalidated.
        #[serde(rename = "stale", default)]
        is_list_stale: bool,
        open: OpenWork,
        /// What the policy has learned; read apart, since another version may encode it otherwise.
        #[serde(rename = "lesson")]
        learned: serde_json::Value,
    },
    /// A connection of a client or of a worker that calls back.
    #[serde(rename = "Front")]
    Client(TransferredClient),
    /// An idle connection to a worker, good for so long.
    #[serde(rename = "Back")]
    Upstream {
        worker: String,
        #[serde(rename = "left")]
        idle_time_left: Micros,
    },
    /// A status callback for the other; its body follows.
    #[serde(rename = "News")]
    StatusCallback,
    /// What the predecessor still holds.
    #[serde(rename = "Open")]
    OpenWork(OpenWork),
    /// A job of the event streams; its request's bytes follow.
    Job(TransferredJob),
    /// The predecessor wants an idempotency record written: the bytes behind this where `kept`, else the key is forgotten.
    #[serde(rename = "Write")]
    WriteRecord {
        ticket: Option<RecordTicket>,
        key: String,
        #[serde(rename = "kept")]
        is_kept: bool,
    },
    /// Whether it was.
    #[serde(rename = "Written")]
    RecordWritten {
        ticket: RecordTicket,
        #[serde(rename = "written")]
        is_written: bool,
    },
}

/// What a process still holds: the ids of its open requests, and how many connections.
#[derive(Deserialize, Serialize, Clone, PartialEq, Default)]
pub(super) struct OpenWork {
    #[serde(rename = "names")]
    pub request_names: HashSet<String>,
    #[serde(rename = "live")]
    pub connections: usize,
}

/// A packet that was read.
pub(super) struct Packet {
    pub message: HandoverMessage,
    /// What followed the message.
    pub bytes: Vec<u8>,
    pub descriptors: Vec<OwnedFd>,
}

/// Why no packet was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReceiveError {
    /// A packet came that cannot be read.
    #[error("a packet that cannot be read")]
    Malformed,
    /// The system gave none.
    #[error("{0}")]
    System(#[source] Errno),
}

impl From<Errno> for ReceiveError {
    fn from(error: Errno) -> ReceiveError {
        if error == Errno::INVAL { ReceiveError::Malformed } else { ReceiveError::System(error) }
    }
}

/// A socket for packets between processes.
pub(super) fn packet_socket() -> Result<OwnedFd, Errno> {
    rustix::net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
}

/// Sends a message with the bytes and descriptors that belong to it. One that is too long for a packet goes in a file.
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

fn send_in_file(link: &OwnedFd, parts: &[&[u8]], descriptors: &[BorrowedFd<'_>]) -> Result<(), Errno> {
    let mut file = File::from(rustix::fs::memfd_create("mothproxy-handover", MemfdFlags::CLOEXEC)?);
    let written = parts.iter().try_for_each(|part| file.write_all(part)).and_then(|()| file.rewind());
    written.map_err(|error| Errno::from_io_error(&error).unwrap_or(Errno::IO))?;
    let descriptors: Vec<BorrowedFd<'_>> = descriptors.iter().copied().chain([file.as_fd()]).collect();
    send_packet(link, &[&FILE_MARKER], &descriptors)
}

fn send_packet(link: &OwnedFd, parts: &[&[u8]], descriptors: &[BorrowedFd<'_>]) -> Result<(), Errno> {
    let slices: Vec<IoSlice<'_>> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(Errno::INVAL);
    }
    rustix::net::sendmsg(link, &slices, &mut ancillary, SendFlags::NOSIGNAL).map(|_| ())
}

/// Reads one packet. `Ok(None)` where the other process has closed the link.
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

/// Reads a packet as it comes; returns its length.
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
