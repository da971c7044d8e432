//! A new version under load: two processes that are one dispatcher for a while.
//!
//! The elder passes its listening sockets, and then each connection with all that is known of it, over a Unix socket in
//! `$TMPDIR`; see docs/designs.md. Packets keep descriptors and their messages together.

use crate::config::EndpointList;
use crate::core::transfer::{LearnedState, TransferredRequest};
use crate::http::{self, Piece};
use crate::policy::interface::Micros;
use crate::protocol::platform::{self, RawRequest};
use crate::server::connection::Conn;
use crate::server::downstream::event_streams::HandedJob;
use crate::server::downstream::{Front, Handed};
use crate::server::upstream::Back;
use crate::server::{HAND_TIMER, HOME, Role, Server, TWIN, Token};
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::fs::MemfdFlags;
use rustix::io::Errno;
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags, SocketType,
};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::fs::File;
use std::io::{IoSlice, IoSliceMut, Read, Seek, Write};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// The elder answers within this, or the younger goes on without it. The younger has 6 s in all.
const ASK_TIME: Duration = Duration::from_secs(2);
/// What could not be handed over yet is looked at again after this.
const STEP: Micros = 4_000;
/// The longest packet: a request with its body, what was read behind it, and what is known of its session.
const MOST: usize = 256 * 1024;
/// What is longer, or longer than the system lets a packet be, such as the list and what was learned of a thousand workers, goes
/// in a file without a name. This stands for its length, and the file's descriptor comes last.
const IN_FILE: [u8; 4] = [u8::MAX; 4];
/// The longest such file: of lists, `MOST` of src/server/discovery/mod.rs many times over.
const MOST_IN_FILE: u64 = 64 << 20;
/// Packets read in one go.
const PACKETS: usize = 64;
/// Descriptors in one packet at most.
const MOST_FDS: usize = 4;

/// What one process tells the other; bytes of a connection follow in the same packet.
#[derive(Deserialize, Serialize)]
pub(in crate::server) enum Note {
    /// The younger is there and asks for everything.
    Hello,
    /// The elder accepts no more: its listening sockets come with this.
    Listeners {
        sse: bool,
        peers: bool,
        drained: bool,
        table: EndpointList,
        /// That is still to be revalidated.
        #[serde(default)]
        stale: bool,
        open: Open,
        /// What the module has learned; read apart, since another version may word it otherwise.
        lesson: serde_json::Value,
    },
    /// A connection of a client or of a worker that calls back.
    Front(Handed),
    /// An idle connection to a worker, good for so long.
    Back { worker: String, left: Micros },
    /// A call-back for the other.
    #[serde(rename = "News")]
    Status,
    /// What the elder still holds.
    Open(Open),
    /// A job apart from its streams; its session's request follows.
    Job(HandedJob),
    /// The elder wants something noted of a keyed job: the bytes behind it where `kept`, else the key is forgotten.
    Write { ticket: Option<u64>, key: String, kept: bool },
    /// Whether it was.
    Written { ticket: u64, written: bool },
}

/// What a process still holds: the ids open with it, and its connections.
#[derive(Deserialize, Serialize, Clone, PartialEq, Default)]
pub(in crate::server) struct Open {
    names: HashSet<String>,
    live: usize,
}

/// A session that goes over with its client's connection. The request's bytes, its body if that is not among them, and
/// what was read behind it follow.
#[derive(Deserialize, Serialize)]
pub(in crate::server) struct TransferredExchange {
    pub moved: TransferredRequest,
    pub keep_alive: bool,
    /// It answers by a stream, and whether that has begun.
    pub stream: Option<bool>,
    pub broken: bool,
    pub bytes: usize,
    /// Where the body lies apart from those bytes, its length.
    pub body: Option<usize>,
}

impl TransferredExchange {
    /// A session with its request, which goes behind it in the packet.
    pub fn new(
        moved: TransferredRequest,
        request: &RawRequest,
        keep_alive: bool,
        stream: Option<bool>,
        broken: bool,
    ) -> TransferredExchange {
        let apart = !matches!(request.body, Piece::Shared(..));
        let body = apart.then(|| request.body.bytes().len());
        TransferredExchange { moved, keep_alive, stream, broken, bytes: request.bytes.len(), body }
    }

    /// The bytes of that request, as [`split`] reads them.
    pub fn request(raw: &RawRequest) -> impl Iterator<Item = &[u8]> {
        let apart = !matches!(raw.body, Piece::Shared(..));
        std::iter::once(raw.bytes.as_slice()).chain(apart.then(|| raw.body.bytes()))
    }
}

/// The socket where the next version asks for what this one has.
pub(in crate::server) struct Home(OwnedFd);

/// The other process.
pub(in crate::server) struct Twin {
    link: OwnedFd,
    /// What it holds, where it is the elder.
    open: Open,
    /// What this one, as the elder, last said that it holds.
    told: Open,
}

impl Twin {
    /// A session of this id is here now.
    pub(in crate::server) fn forget_name(&mut self, name: &str) {
        self.open.names.remove(name);
    }
}

/// What the younger gets at its start.
pub(in crate::server) struct Inherited {
    link: OwnedFd,
    pub platform: Option<TcpListener>,
    pub sse: Option<TcpListener>,
    pub peers: Option<UdpSocket>,
    pub drained: bool,
    pub table: EndpointList,
    pub stale: bool,
    pub lesson: Option<LearnedState>,
    open: Open,
}

/// Where the processes of this dispatcher meet.
pub(in crate::server) fn path(folder: &Path, name: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    folder.join(format!("mothproxy-{}.sock", name.chars().map(plain).collect::<String>()))
}

fn socket() -> Result<OwnedFd, Errno> {
    rustix::net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
}

fn send(link: &OwnedFd, note: &Note, bytes: &[&[u8]], fds: &[BorrowedFd<'_>]) -> Result<(), Errno> {
    let head = serde_json::to_vec(note).map_err(|_| Errno::INVAL)?;
    let length = (head.len() as u32).to_le_bytes();
    let parts: Vec<&[u8]> = [&length[..], &head].into_iter().chain(bytes.iter().copied()).collect();
    let sent = if parts.iter().map(|part| part.len()).sum::<usize>() <= MOST {
        send_packet(link, &parts, fds)
    } else {
        Err(Errno::MSGSIZE)
    };
    if sent != Err(Errno::MSGSIZE) {
        return sent;
    }
    let mut file = File::from(rustix::fs::memfd_create("mothproxy-handover", MemfdFlags::CLOEXEC)?);
    let written = parts.iter().try_for_each(|part| file.write_all(part)).and_then(|()| file.rewind());
    written.map_err(|error| Errno::from_io_error(&error).unwrap_or(Errno::IO))?;
    let fds: Vec<BorrowedFd<'_>> = fds.iter().copied().chain([file.as_fd()]).collect();
    send_packet(link, &[&IN_FILE], &fds)
}

fn send_packet(link: &OwnedFd, parts: &[&[u8]], fds: &[BorrowedFd<'_>]) -> Result<(), Errno> {
    let slices: Vec<IoSlice<'_>> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_FDS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !fds.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(fds)) {
        return Err(Errno::INVAL);
    }
    rustix::net::sendmsg(link, &slices, &mut ancillary, SendFlags::NOSIGNAL).map(|_| ())
}

/// A packet that was read.
type Packet = (Note, Vec<u8>, Vec<OwnedFd>);

/// One packet: its note, the bytes behind it, its descriptors. `Ok(None)` at the end; `INVAL` for what cannot be read.
fn receive(link: &OwnedFd) -> Result<Option<Packet>, Errno> {
    let mut bytes = vec![0; MOST];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_FDS))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let flags = RecvFlags::CMSG_CLOEXEC;
    let got = rustix::net::recvmsg(link, &mut [IoSliceMut::new(&mut bytes)], &mut ancillary, flags)?;
    let mut fds = Vec::new();
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            fds.extend(rights);
        }
    }
    if got.bytes == 0 {
        return Ok(None);
    }
    bytes.truncate(got.bytes);
    if bytes == IN_FILE {
        let file = File::from(fds.pop().ok_or(Errno::INVAL)?);
        bytes.clear();
        file.take(MOST_IN_FILE).read_to_end(&mut bytes).map_err(|_| Errno::INVAL)?;
    }
    let length = bytes.first_chunk::<4>().map_or(usize::MAX, |n| u32::from_le_bytes(*n) as usize);
    let end = length.checked_add(4).filter(|end| *end <= bytes.len()).ok_or(Errno::INVAL)?;
    let note = serde_json::from_slice(&bytes[4..end]).map_err(|_| Errno::INVAL)?;
    bytes.drain(..end);
    bytes.shrink_to_fit();
    Ok(Some((note, bytes, fds)))
}

/// What became of asking.
pub(in crate::server) enum Asked {
    /// Nobody serves.
    Nobody,
    /// Somebody does or did, and hands nothing over: its address may be free in a moment.
    NoAnswer,
    /// All of it.
    All(Box<Inherited>),
}

/// Asks a process that serves already for all it has.
pub(in crate::server) fn ask(path: &Path) -> Asked {
    let Some((link, address)) = socket().ok().zip(SocketAddrUnix::new(path).ok()) else {
        return Asked::Nobody;
    };
    // No file, or one that a process left behind: there is nobody to ask.
    if rustix::net::connect(&link, &address).is_err() {
        return Asked::Nobody;
    }
    let timeout = rustix::net::sockopt::Timeout::Recv;
    let limited = rustix::net::sockopt::set_socket_timeout(&link, timeout, Some(ASK_TIME));
    let answer = limited.and_then(|()| send(&link, &Note::Hello, &[], &[])).and_then(|()| receive(&link));
    let Ok(Some((Note::Listeners { sse, peers, drained, table, stale, open, lesson }, _, fds))) = answer
    else {
        tracing::info!("upgrade: the running process hands nothing over");
        return Asked::NoAnswer;
    };
    let mut fds = fds.into_iter();
    let platform = fds.next().map(TcpListener::from);
    let sse = fds.next_if_some(sse).map(TcpListener::from);
    let peers = fds.next_if_some(peers).map(UdpSocket::from);
    let lesson = serde_json::from_value(lesson).ok();
    Asked::All(Box::new(Inherited { link, platform, sse, peers, drained, table, stale, lesson, open }))
}

trait NextIf {
    fn next_if_some(&mut self, there: bool) -> Option<OwnedFd>;
}

impl<I: Iterator<Item = OwnedFd>> NextIf for I {
    fn next_if_some(&mut self, there: bool) -> Option<OwnedFd> {
        if there { self.next() } else { None }
    }
}

impl Server {
    /// Takes up its place in the folder where the next version will look, and the link to the elder if there is one.
    pub(in crate::server) fn settle_in(&mut self, path: Option<PathBuf>, inherited: Option<Inherited>) {
        self.home_path = path;
        self.open_home();
        let Some(Inherited { link, drained, open, .. }) = inherited else { return };
        self.drained = drained.then_some(self.now);
        let watched = rustix::io::ioctl_fionbio(&link, true).is_ok() && self.watch_fd(link.as_fd(), TWIN);
        if watched {
            tracing::info!("upgrade: taking over from the running process, open={}", open.names.len());
            self.twin = Some(Twin { link, open, told: Open::default() });
        }
        if drained {
            self.drain_again();
        }
    }

    fn watch_fd(&self, fd: BorrowedFd<'_>, token: Token) -> bool {
        epoll::add(&self.epoll, fd, EventData::new_u64(token.0), EventFlags::IN).is_ok()
    }

    fn open_home(&mut self) {
        let Some(path) = self.home_path.clone() else { return };
        let listening = || -> Result<OwnedFd, Errno> {
            let _ = std::fs::remove_file(&path); // left behind, or the elder's, which needs no name any more
            let listener = socket()?;
            rustix::net::bind(&listener, &SocketAddrUnix::new(&path)?)?;
            rustix::fs::chmod(&path, rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR)?;
            rustix::net::listen(&listener, 4)?;
            rustix::io::ioctl_fionbio(&listener, true)?;
            Ok(listener)
        };
        match listening() {
            Ok(listener) if self.watch_fd(listener.as_fd(), HOME) => {
                self.home = Some(Home(listener));
            }
            Ok(_) => {}
            Err(error) => {
                tracing::info!("upgrade: no handover from this process: {}: {error}", path.display())
            }
        }
    }

    /// Another process has connected; it says what it wants in its first packet.
    pub(in crate::server) fn twin_comes(&mut self) {
        let Some(home) = &self.home else { return };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let Ok(link) = rustix::net::accept_with(&home.0, flags) else { return };
        if self.twin.is_none() && self.watch_fd(link.as_fd(), TWIN) {
            self.twin = Some(Twin { link, open: Open::default(), told: Open::default() });
        } // a third one finds its link closed
    }

    pub(in crate::server) fn twin_ready(&mut self) {
        for _ in 0..PACKETS {
            let Some(twin) = &self.twin else { return };
            match receive(&twin.link) {
                Ok(Some((note, bytes, fds))) => self.told(note, &bytes, fds),
                Err(Errno::AGAIN) => return,
                Err(Errno::INTR) => {}
                Err(Errno::INVAL) => self.metrics.rejects += 1,
                Ok(None) | Err(_) => return self.twin_gone(),
            }
        }
    }

    fn told(&mut self, note: Note, bytes: &[u8], fds: Vec<OwnedFd>) {
        let fd = fds.into_iter().next();
        match note {
            Note::Hello if !self.handed => self.hand_over(),
            Note::Front(handed) => {
                if let Some(fd) = fd {
                    self.take_front(handed, bytes, TcpStream::from(fd));
                }
            }
            Note::Back { worker, left } => {
                let worker = self.core.endpoints.find(&worker);
                if let Some((fd, worker)) = fd.zip(worker) {
                    self.take_back(worker, Conn::new(TcpStream::from(fd)), left);
                }
            }
            Note::Status => match platform::parse_status_callback(self.core.names(), bytes, None) {
                // What went over in the meantime is told there; the younger sends nothing back.
                Some(told) if self.handed && !self.core.knows(&told.id) => {
                    self.pass_news(bytes);
                }
                Some(told) => {
                    self.core.on_job_status(self.now, &told.id, &told.from, told.status, told.report);
                }
                None => self.metrics.rejects += 1,
            },
            Note::Open(open) => {
                if let Some(twin) = &mut self.twin {
                    twin.open = open;
                }
            }
            Note::Job(handed) => match split(handed.exchange(), bytes) {
                Some((raw, _)) => self.take_job(handed, raw),
                None => self.metrics.rejects += 1,
            },
            Note::Write { ticket, key, kept } => {
                self.persist_for_predecessor(ticket, &key, kept.then(|| bytes.to_vec()))
            }
            Note::Written { ticket, written } => self.core.on_record_persisted(ticket, written),
            Note::Hello | Note::Listeners { .. } => self.metrics.rejects += 1,
        }
    }

    fn open_here(&self) -> Open {
        Open { names: self.core.open_request_names().into_iter().collect(), live: self.live }
    }

    /// The younger is there: it accepts from now on, and gets one connection after the other.
    fn hand_over(&mut self) {
        if let Some(records) = &mut self.records {
            records.give_up(); // the younger waits until it is closed
        }
        let open = self.open_here();
        let Some(twin) = &mut self.twin else { return };
        let table = EndpointList {
            generation: self.core.endpoints.generation,
            reset: true,
            rows: self.core.endpoints.rows(),
            unread: Vec::new(),
            bad_rows: 0,
        };
        let lesson = serde_json::to_value(self.core.learned_state()).unwrap_or_default();
        let (sse, peers) = (self.sse.is_some(), self.peers.socket().is_some());
        let drained = self.drained.is_some();
        let stale = self.core.endpoints.stale;
        let note = Note::Listeners { sse, peers, drained, table, stale, open: open.clone(), lesson };
        let mut fds = vec![self.platform.as_fd()];
        fds.extend(self.sse.as_ref().map(|(listener, _)| listener.as_fd()));
        fds.extend(self.peers.socket().map(|socket| socket.as_fd()));
        if send(&twin.link, &note, &[], &fds).is_err() {
            return self.twin_gone();
        }
        twin.told = open;
        // Descriptors that go on elsewhere stay in this epoll unless they are taken out.
        for fd in &fds {
            let _ = epoll::delete(&self.epoll, fd);
        }
        (self.handed, self.accepting) = (true, false);
        self.suspend_fleet();
        self.home = None;
        tracing::info!("upgrade: handing over to a new process, open={}", self.core.ledger.open());
        self.core.set_timer(self.now + 1, HAND_TIMER);
    }

    /// Hands over what can go now.
    pub(in crate::server) fn hand_step(&mut self) {
        if !self.handed {
            return;
        }
        // What the module still has to say of these sessions comes first.
        self.core.batch(self.now);
        self.run_commands();
        for slot in 0..self.slots.len() {
            let token = Token::new(slot, self.slots[slot].used);
            match self.take(token) {
                Some((conn, Role::Front(front))) => self.hand_front(token, conn, front),
                Some((conn, Role::Back(back))) => self.hand_back(token, conn, back),
                Some((conn, role)) => self.put(token, conn, role),
                None => {}
            }
        }
        self.hand_jobs();
        let open = self.open_here();
        if let Some(twin) = self.twin.as_mut().filter(|twin| twin.told != open)
            && send(&twin.link, &Note::Open(open.clone()), &[], &[]).is_ok()
        {
            twin.told = open;
        }
        if self.handed && (self.fronts > 0 || self.core.ledger.open() > 0) {
            self.core.set_timer(self.now + STEP, HAND_TIMER);
        }
    }

    fn hand_front(&mut self, token: Token, conn: Conn, mut front: Front) {
        let waits = front.waits_for();
        let unsettled =
            waits.is_some_and(|request_id| self.dispatching.keys().any(|(s, _)| *s == request_id));
        if unsettled || !conn.outbox.is_empty() || !(front.is_reading() || waits.is_some()) {
            return self.put(token, conn, Role::Front(front));
        }
        let mut handed = front.handed();
        let mut raw = None;
        if let Some(request_id) = waits {
            let Some(request) = self.requests.get(&request_id).cloned() else {
                return self.put(token, conn, Role::Front(front));
            };
            let Some(moved) = self.core.transfer(request_id) else {
                return self.put(token, conn, Role::Front(front));
            };
            let (keep_alive, stream) = front.answers_how();
            let broken = self.broken.contains(&request_id);
            handed.request = Some(TransferredExchange::new(moved, &request, keep_alive, stream, broken));
            raw = Some(request);
        }
        let mut bytes: Vec<&[u8]> = Vec::new();
        bytes.extend(raw.iter().flat_map(TransferredExchange::request));
        bytes.push(&conn.inbox);
        let note = Note::Front(handed);
        let fd = conn.stream.as_fd();
        let sent = self.twin.as_ref().is_some_and(|twin| send(&twin.link, &note, &bytes, &[fd]).is_ok());
        if let Some(request_id) = waits {
            self.drop_request(request_id);
        }
        if sent {
            let _ = epoll::delete(&self.epoll, &conn.stream);
            return self.forget_front(token, conn, front);
        }
        // The link is full or gone: the session stays, under a new number.
        if let (Note::Front(Handed { request: Some(back), .. }), Some(raw)) = (note, raw)
            && let Some(request_id) = self.core.adopt(back.moved, token.0)
        {
            self.requests.insert(request_id, raw);
            front.waits_now_for(request_id);
        }
        self.put(token, conn, Role::Front(front));
    }

    fn take_front(&mut self, handed: Handed, bytes: &[u8], stream: TcpStream) {
        let mut conn = Conn::new(stream);
        let Some((raw, inbox)) = split(handed.request.as_ref(), bytes) else {
            self.metrics.rejects += 1;
            return;
        };
        conn.inbox = inbox.to_vec();
        let name = handed.request.as_ref().map(|s| s.moved.name.clone());
        if let (Some(twin), Some(name)) = (&mut self.twin, &name) {
            twin.open.names.remove(name);
        }
        if let Some(twin) = &mut self.twin {
            twin.open.live = twin.open.live.saturating_sub(1);
        }
        let now = self.now;
        let Some(token) = self.add(conn, |_| Role::Front(Front::taken(&handed, now))) else { return };
        let Some((mut conn, Role::Front(mut front))) = self.take(token) else { return };
        if front.is_unasked() {
            self.unasked_fronts.insert((now, token)); // heard of now, as far as this process knows
        }
        if let Some((request_id, raw)) = handed.request.zip(raw) {
            let (keep_alive, stream, broken) = (request_id.keep_alive, request_id.stream, request_id.broken);
            match self.core.adopt(request_id.moved, token.0) {
                Some(id) => {
                    self.requests.insert(id, raw);
                    if broken {
                        self.note_broken(id);
                    }
                    front.waits_from_now(id, keep_alive, stream, now);
                }
                // It has nothing here that could serve it; its client is told so at once.
                None => conn.outbox.push(platform::final_response(crate::core::FinalResponse::Failed, true)),
            }
        }
        self.front_go_on(token, conn, front);
        self.has_left(token); // its end may have come before it was watched here
    }

    fn hand_back(&mut self, token: Token, conn: Conn, back: Back) {
        let worker = back.idle_worker().filter(|_| conn.inbox.is_empty() && conn.outbox.is_empty());
        let named = worker.and_then(|w| Some((w, self.core.endpoints.get(w)?.row.instance_id.clone())));
        let Some((worker, name)) = named else { return self.put(token, conn, Role::Back(back)) };
        let note = Note::Back { worker: name, left: conn.timer.map_or(0, |at| at.saturating_sub(self.now)) };
        let fd = conn.stream.as_fd();
        if self.twin.as_ref().is_some_and(|twin| send(&twin.link, &note, &[], &[fd]).is_ok()) {
            let _ = epoll::delete(&self.epoll, &conn.stream);
            self.unpool(worker, token);
            return self.close(token, conn, Role::Back(back));
        }
        self.put(token, conn, Role::Back(back));
    }

    /// Whether a session of this id is open with the other process.
    pub(in crate::server) fn open_elsewhere(&self, name: &str) -> bool {
        self.twin.as_ref().is_some_and(|twin| twin.open.names.contains(name))
    }

    /// Connections that the other process still holds, with its own few descriptors.
    pub(in crate::server) fn held_elsewhere(&self) -> usize {
        self.twin.as_ref().map_or(0, |twin| twin.open.live + crate::server::SPARE_FDS)
    }

    /// Tells the other process something.
    pub(in crate::server) fn send_twin(&mut self, note: &Note, bytes: &[&[u8]]) -> bool {
        self.twin.as_ref().is_some_and(|twin| send(&twin.link, note, bytes, &[]).is_ok())
    }

    /// Passes a call-back to the other process. False if it cannot be: the worker has to try again.
    pub(in crate::server) fn pass_news(&mut self, body: &[u8]) -> bool {
        self.twin.as_ref().is_some_and(|twin| send(&twin.link, &Note::Status, &[body], &[]).is_ok())
    }

    /// The other process has ended, as it should or not.
    fn twin_gone(&mut self) {
        let Some(twin) = self.twin.take() else { return };
        let _ = epoll::delete(&self.epoll, &twin.link);
        if !std::mem::take(&mut self.handed) {
            return tracing::info!("upgrade: the other process has ended");
        }
        // The younger died with what it had. The listening sockets are still open here.
        tracing::info!("upgrade: the new process has ended; this one serves again");
        let platform = self.watch_fd(self.platform.as_fd(), crate::server::PLATFORM);
        let sse =
            self.sse.as_ref().is_none_or(|(listener, _)| self.watch_fd(listener.as_fd(), crate::server::SSE));
        let peers =
            self.peers.socket().is_none_or(|socket| self.watch_fd(socket.as_fd(), crate::server::PEERS));
        crate::invariant!(platform && sse && peers, "epoll does not take its listeners back");
        self.accepting = true;
        self.fail_pending_records();
        self.open_home();
        self.announce_state();
        self.restart_fleet();
    }
}

/// The request of a session and what was read behind it, out of the bytes of a packet.
fn split<'a>(
    request_id: Option<&TransferredExchange>,
    bytes: &'a [u8],
) -> Option<(Option<RawRequest>, &'a [u8])> {
    let Some(request_id) = request_id else { return Some((None, bytes)) };
    let (request, rest) = bytes.split_at_checked(request_id.bytes)?;
    let head = http::read_request(request).ok().flatten()?;
    let request = Rc::new(request.to_vec());
    let (body, rest) = match request_id.body {
        None => (Piece::Shared(request.clone(), head.len..request.len()), rest),
        Some(length) => {
            let (body, rest) = rest.split_at_checked(length)?;
            (Piece::Owned(body.to_vec()), rest)
        }
    };
    Some((Some(RawRequest { bytes: request, head, body }), rest))
}

#[cfg(test)]
mod tests;
