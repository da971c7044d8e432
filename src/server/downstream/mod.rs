//! Connections of frontends: clients, and workers with their call-backs.

pub(in crate::server) mod event_streams;
pub(in crate::server) mod linger;

use crate::core::{FinalResponse, RequestId};
use crate::http::{self, Chunked, Framing, MAX_BODY, MAX_HEAD, Piece};
use crate::policy::interface::Micros;
use crate::protocol::event_streams::StreamFraming;
use crate::protocol::platform::{self, RawRequest, Reject, Route};
use crate::protocol::{self, sse};
use crate::server::connection::{Conn, ReadEnd};
use crate::server::downstream::event_streams::JOB;
use crate::server::lifecycle::hot_restart::TransferredExchange;
use crate::server::lifecycle::shutdown::FRESH;
use crate::server::{ACCEPT_TIMER, ACCEPTS, Role, Server, Token};
use mothproxy_streams::WatcherId;
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use rustix::net::SocketFlags;
use serde::{Deserialize, Serialize};
use std::net::TcpStream;
use std::rc::Rc;

/// A client that sends what cannot be read, or nothing, is owed an error or a close within 3 s of connecting. Its
/// first request must be complete this long after it connected, later ones this long after their first byte.
const REQUEST_TIME: Micros = 2_500_000;
/// A connection that has asked for nothing whole, and has been silent for this long, gives way to others ...
pub(in crate::server) const UNASKED_GRACE: Micros = 300_000;
/// ... but if it has sent a part of a request, only after idle ones, until it has been silent for this long. Usual clients
/// that write slowly go on writing; those that stop half way do not.
pub(in crate::server) const HALF_GRACE: Micros = 1_000_000;
/// An idle connection is closed after this.
const IDLE: Micros = 120_000_000;
/// A client that reads nothing of a finished answer for this long is given up: it is owed a close within 3 s as well.
const STALL: Micros = 2_500_000;
/// Progress is dropped for a client that has this much left to read; final events never are.
const SLOW_READER: usize = 16 * 1024;
/// Bytes held of what a client sends: a whole request. Clients send one at a time; one that sends as much again before
/// it has its answer is closed, since what comes behind could not be seen, the end of the connection among it.
const MOST: usize = MAX_HEAD + MAX_BODY;
/// No more requests of a client are read while it has this much of its answers left to read.
const UNREAD: usize = 16 * 1024;
/// No attempt may begin for a client that left longer ago than this.
const LEFT: Micros = 100_000;
/// What says that the other side of a connection has ended it.
const ENDED: EventFlags = EventFlags::RDHUP.union(EventFlags::HUP).union(EventFlags::ERR);
/// Accepting is tried again after this where there was no room.
const ACCEPT_PAUSE: Micros = 20_000;

/// When all connections were last looked at for what has come on them.
#[derive(Clone, Copy, Default)]
pub(in crate::server) struct Look {
    at: Micros,
    /// More may have come than was shown.
    partial: bool,
}

impl Look {
    pub fn new(at: Micros, partial: bool) -> Look {
        Look { at, partial }
    }

    /// Whether a client may have left since, or unseen, for so long that it must be looked at before an attempt begins.
    /// The attempt has the other part of the time to get under way.
    pub fn is_old(&self, now: Micros) -> bool {
        self.partial || now > self.at + LEFT / 4
    }
}

pub(in crate::server) enum State {
    Reading,
    Chunks {
        bytes: Rc<Vec<u8>>,
        head: http::RequestHead,
        decoder: Chunked,
        body: Vec<u8>,
    },
    Waiting {
        request_id: RequestId,
        keep_alive: bool,
        stream: Option<Stream>,
    },
    /// It watches a job that was handed in.
    Watching(Watching),
    /// The last answer is being written; then this side has ended `since` so long, and the client's end is awaited.
    Ending {
        since: Option<Micros>,
    },
}

/// A stream of a job that goes its own way.
pub(in crate::server) struct Watching {
    pub watcher: WatcherId,
    pub keep: bool,
    pub frame: StreamFraming,
    /// When something was last written on it.
    pub last: Micros,
}

#[derive(Clone, Copy)]
pub(in crate::server) struct Stream {
    begun: bool,
    /// When something was last written on it.
    last: Micros,
}

pub(in crate::server) struct Front {
    sse: bool,
    pub(in crate::server) state: State,
    idle_since: Option<Micros>,
    /// When it was accepted, until its first whole request; and when a later one began, until that is whole.
    unasked_since: Option<Micros>,
    /// When that was, or its last bytes came.
    heard: Micros,
    /// A worker tells of its jobs on it.
    pub(in crate::server) calls_back: bool,
}

/// What another process must know of a connection to go on with it.
#[derive(Deserialize, Serialize)]
pub(in crate::server) struct Handed {
    sse: bool,
    unasked: bool,
    calls_back: bool,
    #[serde(rename = "session")]
    pub request: Option<TransferredExchange>,
}

impl Front {
    /// Whether it holds no session: idle, or with a part of a request.
    pub(in crate::server) fn is_reading(&self) -> bool {
        matches!(self.state, State::Reading)
    }

    /// The session whose answer it waits for.
    pub(in crate::server) fn waits_for(&self) -> Option<RequestId> {
        if let State::Waiting { request_id, .. } = self.state { Some(request_id) } else { None }
    }

    /// Whether it is kept after that answer, and whether that is a stream that has begun.
    pub(in crate::server) fn answers_how(&self) -> (bool, Option<bool>) {
        match &self.state {
            State::Waiting { keep_alive, stream, .. } => (*keep_alive, stream.map(|s| s.begun)),
            _ => (true, None),
        }
    }

    /// What it waited for goes by another number now.
    pub(in crate::server) fn waits_now_for(&mut self, new: RequestId) {
        if let State::Waiting { request_id, .. } = &mut self.state {
            *request_id = new;
        }
    }

    pub(in crate::server) fn waits_from_now(
        &mut self,
        request_id: RequestId,
        keep_alive: bool,
        stream: Option<bool>,
        now: Micros,
    ) {
        let stream = stream.map(|begun| Stream { begun, last: now });
        self.state = State::Waiting { request_id, keep_alive, stream };
    }

    /// Whether an answer, or a job's events, are awaited on it.
    fn waits(&self) -> bool {
        matches!(self.state, State::Waiting { .. } | State::Watching(_))
    }

    pub(in crate::server) fn is_unasked(&self) -> bool {
        self.unasked_since.is_some()
    }

    pub(in crate::server) fn handed(&self) -> Handed {
        let (sse, unasked, calls_back) = (self.sse, self.unasked_since.is_some(), self.calls_back);
        Handed { sse, unasked, calls_back, request: None }
    }

    pub(in crate::server) fn taken(handed: &Handed, now: Micros) -> Front {
        let unasked_since = handed.unasked.then_some(now);
        let (sse, calls_back) = (handed.sse, handed.calls_back);
        Front { sse, state: State::Reading, idle_since: None, unasked_since, heard: now, calls_back }
    }

    /// Whether it holds a request that is not answered, or a part of one, or its client has not ended yet, or was idle
    /// later than `settled`.
    pub(in crate::server) fn is_busy(&self, settled: Micros) -> bool {
        self.idle_since.is_none_or(|since| since > settled)
    }
}

impl Server {
    pub(in crate::server) fn accept(&mut self, sse: bool) {
        for _ in 0..ACCEPTS {
            // Idle connections give way before accepting fails; a client with nothing to say loses nothing. Those
            // that never asked for anything go first, or they would use up what usual clients need.
            let full = self.served_fronts() >= self.budget.fronts && !self.drop_front(FRESH);
            let last = full && self.fronts >= self.budget.last_fronts;
            if last && !self.drop_lingering() || !self.make_room(FRESH) {
                return self.pause_accepting();
            }
            let listener = match (sse, &self.sse) {
                (false, _) => &self.platform,
                (true, Some((listener, _))) => listener,
                (true, None) => return,
            };
            let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
            let stream = match rustix::net::accept_with(listener, flags) {
                Ok(fd) => TcpStream::from(fd),
                Err(Errno::AGAIN) => return,
                Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    // None left, here or on the machine, though the budget has some.
                    let _ = self.drop_idle_backend() || self.drop_front(FRESH);
                    return self.pause_accepting();
                }
                Err(_) => continue,
            };
            if sse {
                // Progress that waits in the kernel for a slow reader is stale when it is read, and it holds
                // memory; without a bound it grows to megabytes. Where it cannot be set, only that is lost.
                let _ = rustix::net::sockopt::set_socket_send_buffer_size(&stream, SLOW_READER);
            }
            let (now, conn) = (self.now, Conn::new(stream));
            let front = Front {
                sse,
                state: State::Reading,
                idle_since: None,
                unasked_since: Some(now),
                heard: now,
                calls_back: false,
            };
            let Some(token) = self.add(conn, |_| Role::Front(front)) else { continue };
            self.unasked_fronts.insert((now, token));
            // Often the request is there already.
            if let Some((conn, Role::Front(front))) = self.take(token) {
                self.front_ready(token, conn, front, EventFlags::IN);
                self.has_left(token); // so may its end be
            }
        }
    }

    /// With a level-triggered listener and no room, every turn would end at once: it is not watched for a while.
    fn pause_accepting(&mut self) {
        if std::mem::replace(&mut self.accepting, false) {
            self.metrics.accept_pauses += 1;
            self.listen_for(EventFlags::empty());
            self.core.set_timer(self.now + ACCEPT_PAUSE, ACCEPT_TIMER);
        }
    }

    pub(in crate::server) fn accept_again(&mut self) {
        if self.handed {
            return;
        }
        self.accepting = true;
        self.listen_for(EventFlags::IN);
    }

    fn listen_for(&mut self, flags: EventFlags) {
        use rustix::event::epoll::{EventData, modify};
        let platform =
            modify(&self.epoll, &self.platform, EventData::new_u64(crate::server::PLATFORM.0), flags);
        let sse = self.sse.as_ref().map_or(Ok(()), |(listener, _)| {
            modify(&self.epoll, listener, EventData::new_u64(crate::server::SSE.0), flags)
        });
        crate::invariant!(platform.is_ok() && sse.is_ok(), "epoll does not know a listener");
    }

    pub(in crate::server) fn front_ready(
        &mut self,
        token: Token,
        mut conn: Conn,
        mut front: Front,
        flags: EventFlags,
    ) {
        if let Some(since) = front.idle_since.take() {
            self.idle_fronts.remove(&(since, token));
            self.set_timer(token, &mut conn, None); // what comes now has a time of its own
        }
        if flags.contains(EventFlags::OUT) && !conn.flush() {
            return self.front_gone(token, conn, front);
        }
        let mut ended = false;
        if flags.intersects(EventFlags::IN | ENDED) {
            let before = conn.inbox.len();
            let end = conn.fill(MOST);
            if front.unasked_since.is_some() && conn.inbox.len() > before {
                self.unasked_fronts.remove(&(front.heard, token));
                front.heard = self.now;
                self.unasked_fronts.insert((self.now, token));
            }
            match end {
                ReadEnd::Dry => ended = flags.intersects(ENDED),
                ReadEnd::Enough if front.waits() || conn.outbox.len() >= UNREAD => {
                    self.metrics.rejects += 1;
                    return self.front_gone(token, conn, front);
                }
                ReadEnd::Enough => {}
                // What it had asked for is asked for no more.
                ReadEnd::Eof | ReadEnd::Broken => return self.front_gone(token, conn, front),
            }
        }
        self.front_go_on(token, conn, front);
        // A short read shows no end behind it. What came before the end is used; no attempt may begin for it.
        if ended && let Some((conn, role)) = self.take(token) {
            match role {
                Role::Front(front) => self.front_gone(token, conn, front),
                role => self.put(token, conn, role),
            }
        }
    }

    /// Where a client has left, as these flags say, that counts before what other connections bring.
    pub(in crate::server) fn front_left(&mut self, token: Token, flags: EventFlags) {
        let held = self.slots.get(token.slot()).and_then(|slot| slot.held.as_ref());
        if flags.intersects(ENDED) && matches!(held, Some((_, Role::Front(_)))) {
            self.ready(token, flags);
        }
    }

    /// Looks whether the client has gone that awaits an answer on this connection; then its session has lost it.
    pub(in crate::server) fn has_left(&mut self, token: Token) -> bool {
        let Some((mut conn, role)) = self.take(token) else { return false };
        match role {
            Role::Front(front) if front.waits() => {
                let left = conn.has_ended(MOST);
                match left {
                    true => self.front_gone(token, conn, front),
                    false => self.put(token, conn, Role::Front(front)),
                }
                left
            }
            role => {
                self.put(token, conn, role);
                false
            }
        }
    }

    /// Whether the client of a session has gone, as a look at its connection shows; nothing more is sent for it then.
    pub(in crate::server) fn client_left(&mut self, request_id: RequestId) -> bool {
        let token = self.core.downstream(request_id).filter(|to| to & JOB == 0).map(Token);
        token.is_some_and(|token| self.has_left(token)) || !self.requests.contains_key(&request_id)
    }

    /// Uses what was read, writes what is there to write, and settles what to wait for.
    pub(in crate::server) fn front_go_on(&mut self, token: Token, mut conn: Conn, mut front: Front) {
        loop {
            match &mut front.state {
                State::Ending { .. } => {
                    conn.inbox.clear();
                    break;
                }
                State::Waiting { .. } => break,
                State::Watching(_) => {
                    self.pump(&mut conn, &mut front);
                    // What the socket takes at once makes room for more.
                    if !conn.flush() {
                        return self.front_gone(token, conn, front);
                    }
                    if !matches!(front.state, State::Watching(_)) {
                        self.set_timer(token, &mut conn, None); // it was the heartbeat's
                    }
                    let more = conn.outbox.is_empty() && matches!(front.state, State::Watching(_));
                    if !more || !self.has_more(&front) {
                        break;
                    }
                }
                State::Reading if conn.inbox.is_empty() || self.handed => break,
                State::Reading if conn.outbox.len() >= UNREAD => {
                    if !conn.flush() {
                        return self.front_gone(token, conn, front);
                    }
                    if conn.outbox.len() >= UNREAD {
                        break;
                    }
                }
                State::Reading => match http::read_request(&conn.inbox) {
                    Ok(None) => break,
                    Err(error) => self.reject(&mut conn, &mut front, error.into()),
                    Ok(Some(head)) => {
                        // Once the body has begun, nobody waits for this.
                        let waits = conn.inbox.len() == head.len;
                        if waits && head.fields.lists(&conn.inbox, "expect", "100-continue") {
                            conn.outbox.push(vec!["HTTP/1.1 100 Continue\r\n\r\n".into()]);
                        }
                        let length = match head.framing {
                            Framing::Length(length) => head.len + length,
                            _ => head.len,
                        };
                        if head.framing == Framing::Chunked {
                            let rest = conn.inbox.split_off(head.len);
                            let bytes = Rc::new(std::mem::replace(&mut conn.inbox, rest));
                            let (decoder, body) = (Chunked::default(), Vec::new());
                            front.state = State::Chunks { bytes, head, decoder, body };
                        } else if conn.inbox.len() < length {
                            break;
                        } else {
                            let rest = conn.inbox.split_off(length);
                            let bytes = Rc::new(std::mem::replace(&mut conn.inbox, rest));
                            let body = Piece::Shared(bytes.clone(), head.len..length);
                            self.requested(token, &mut conn, &mut front, RawRequest { bytes, head, body });
                        }
                    }
                },
                State::Chunks { decoder, body, .. } => {
                    let used = decoder.decode(&conn.inbox, body);
                    match used {
                        Err(_) => self.reject(&mut conn, &mut front, Reject::BadRequest),
                        Ok(_) if body.len() > MAX_BODY => {
                            self.reject(&mut conn, &mut front, Reject::BodyTooLarge);
                        }
                        Ok(used) => {
                            conn.inbox.drain(..used);
                            if !decoder.is_done() {
                                break;
                            }
                            let state = std::mem::replace(&mut front.state, State::Reading);
                            if let State::Chunks { bytes, head, body, .. } = state {
                                let raw = RawRequest { bytes, head, body: Piece::Owned(body) };
                                self.requested(token, &mut conn, &mut front, raw);
                            }
                        }
                    }
                }
            }
        }
        self.front_settle(token, conn, front);
    }

    /// A request that is not taken gets its answer.
    fn reject(&mut self, conn: &mut Conn, front: &mut Front, why: Reject) {
        self.metrics.rejects += u64::from(why != Reject::NotReady);
        conn.outbox.push(platform::reject(why, false));
        front.state = State::Ending { since: None };
    }

    fn requested(&mut self, token: Token, conn: &mut Conn, front: &mut Front, raw: RawRequest) {
        if self.handed {
            // Its last chunk came after the handover began: it goes over as it came, to be taken there.
            let mut inbox = raw.bytes.to_vec();
            let body = raw.body.bytes();
            if !body.is_empty() {
                inbox.extend(
                    format!("{:x}\r\n", body.len()).bytes().chain(body.iter().copied()).chain(*b"\r\n"),
                );
            }
            inbox.extend(b"0\r\n\r\n");
            inbox.append(&mut conn.inbox);
            (conn.inbox, front.state) = (inbox, State::Reading);
            return;
        }
        if front.unasked_since.take().is_some() {
            self.unasked_fronts.remove(&(front.heard, token));
            self.set_timer(token, conn, None);
        }
        let keep_alive = raw.head.keep_alive && self.keeps_clients();
        front.state = if keep_alive { State::Reading } else { State::Ending { since: None } };
        // A body longer than its stated length: what was cut off of it must not run as though it were whole.
        if raw.head.framing != Framing::Absent && !http::may_begin_request(&conn.inbox) {
            return self.reject(conn, front, Reject::BadRequest);
        }
        if front.sse && self.watch_request(token, conn, front, &raw, keep_alive) {
            return;
        }
        let mut refused_news = false;
        let mut route = platform::route(self.core.names(), &self.classes, &raw, !front.sse);
        if let (Ok(Route::Submit(arrival)), Some(plan)) = (&mut route, self.stopping) {
            arrival.time_budget = plan.time_budget(self.now, arrival.time_budget);
        }
        let refused = match route {
            Ok(Route::Ready) if self.takes_leave() || self.core.endpoints.stale => Some(Reject::NotReady),
            Ok(Route::Ready) => {
                conn.outbox.push(platform::ready());
                None
            }
            Ok(Route::StatusCallback) => {
                match platform::parse_status_callback(self.core.names(), raw.body.bytes(), None) {
                    Some(told) if self.open_elsewhere(&told.id) && !self.core.knows(&told.id) => {
                        front.calls_back = true;
                        match self.pass_news(raw.body.bytes()) {
                            true => conn.outbox.push(platform::callback_accepted(keep_alive)),
                            false => refused_news = true, // the worker tries again
                        }
                        None
                    }
                    Some(told) => {
                        front.calls_back = true;
                        let keep_alive = raw.head.keep_alive && (keep_alive || self.stopping.is_none());
                        if keep_alive {
                            front.state = State::Reading;
                        }
                        self.core.on_job_status(self.now, &told.id, &told.from, told.status, told.report);
                        conn.outbox.push(platform::callback_accepted(keep_alive));
                        None
                    }
                    None => Some(Reject::BadRequest),
                }
            }
            // All descriptors for frontends are at work: this one is turned away before anything has run, since
            // one left in the queue of connections would be lost at its deadline.
            Ok(Route::Submit(arrival)) if !self.front_fits() => {
                self.core.count_rejected(arrival.class);
                Some(Reject::Overloaded)
            }
            Ok(Route::Submit(arrival)) if front.sse && protocol::event_streams::prefers_async(&raw) => {
                let elsewhere = self.open_elsewhere(&arrival.name);
                let mut arrival = arrival;
                if self.core.idempotency().is_some() {
                    arrival.idempotency_key = platform::idempotency_key(&self.classes, &raw, arrival.class);
                }
                match (elsewhere, self.core.is_key_reused(self.now, &arrival)) {
                    (true, _) => Some(Reject::DuplicateId),
                    (_, true) => Some(Reject::KeyReused),
                    _ => self.hand_in(conn, raw, arrival, keep_alive).err(),
                }
            }
            Ok(Route::Submit(mut arrival)) => {
                arrival.downstream = token.0;
                if self.core.idempotency().is_some() {
                    arrival.idempotency_key = platform::idempotency_key(&self.classes, &raw, arrival.class);
                }
                let stream =
                    (front.sse && sse::wants_stream(&raw)).then_some(Stream { begun: false, last: self.now });
                let elsewhere = self.open_elsewhere(&arrival.name);
                let reused = self.core.is_key_reused(self.now, &arrival);
                match if elsewhere || reused { None } else { self.core.accept(self.now, arrival) } {
                    Some(request_id) => {
                        self.requests.insert(request_id, raw);
                        front.state = State::Waiting { request_id, keep_alive, stream };
                        None
                    }
                    None if reused => Some(Reject::KeyReused),
                    None => Some(Reject::DuplicateId),
                }
            }
            Err(why) => Some(why),
        };
        if let Some(why) = refused.or(refused_news.then_some(Reject::Overloaded)) {
            if why.closes() {
                return self.reject(conn, front, why);
            }
            self.metrics.rejects += u64::from(why != Reject::NotReady);
            conn.outbox.push(platform::reject(why, keep_alive));
        }
    }

    fn front_settle(&mut self, token: Token, mut conn: Conn, mut front: Front) {
        if !conn.flush() {
            return self.front_gone(token, conn, front);
        }
        let written = conn.outbox.is_empty();
        if matches!(front.state, State::Ending { since: None }) && written {
            self.half_close(token, &mut conn, &mut front);
        }
        let reading = matches!(front.state, State::Reading);
        let half = reading && !conn.inbox.is_empty() || matches!(front.state, State::Chunks { .. });
        if half && written && front.unasked_since.is_none() {
            // A later request has begun: it has as long as a first one, and gives way like it.
            (front.unasked_since, front.heard) = (Some(self.now), self.now);
            self.unasked_fronts.insert((self.now, token));
        }
        let heartbeat = self.sse.as_ref().map_or(0, |(_, every)| *every);
        let wrote = std::mem::take(&mut conn.wrote);
        let stalled = conn.timer.filter(|_| !wrote);
        let at = match &front.state {
            State::Ending { since: Some(_) } => conn.timer,
            State::Reading | State::Chunks { .. } if front.unasked_since.is_some() => {
                Some(front.unasked_since.unwrap_or(self.now) + REQUEST_TIME)
            }
            State::Reading if written => Some(self.now + IDLE),
            State::Ending { .. } | State::Reading | State::Chunks { .. } => {
                Some(stalled.unwrap_or(self.now + STALL))
            }
            State::Waiting { stream: Some(stream), .. } if stream.begun => Some(stream.last + heartbeat),
            // Set anew only once it is due: an event more does not move it.
            State::Watching(held) => Some(conn.timer.unwrap_or(held.last + heartbeat)),
            State::Waiting { .. } => None,
        };
        if at != conn.timer {
            self.set_timer(token, &mut conn, at);
        }
        let idle = matches!(front.state, State::Reading) && conn.inbox.is_empty() && written;
        if idle {
            front.idle_since = Some(self.now);
            self.idle_fronts.insert((self.now, token));
        }
        let read = !matches!(front.state, State::Reading) || conn.outbox.len() < UNREAD;
        self.watch_for(token, &mut conn, read);
        self.put(token, conn, Role::Front(front));
    }

    /// The connection is over; a session it waited for has lost its client.
    pub(in crate::server) fn front_gone(&mut self, token: Token, conn: Conn, front: Front) {
        match &front.state {
            State::Waiting { request_id, .. } => {
                self.drop_request(*request_id);
                self.core.on_client_disconnected(self.now, *request_id);
            }
            State::Watching(held) => self.watcher_gone(held.watcher),
            State::Ending { since: Some(since) } => self.lingering.forget(*since, token),
            _ => {}
        }
        if front.unasked_since.is_some() {
            self.unasked_fronts.remove(&(front.heard, token));
        }
        self.close(token, conn, Role::Front(front));
    }

    /// Drops a connection that has gone over to another process.
    pub(in crate::server) fn forget_front(&mut self, token: Token, conn: Conn, mut front: Front) {
        self.settle_idle(token, &mut front);
        self.close(token, conn, Role::Front(front));
    }

    /// It is neither idle nor without a request any more.
    pub(in crate::server) fn settle_idle(&mut self, token: Token, front: &mut Front) {
        if let Some(since) = front.idle_since.take() {
            self.idle_fronts.remove(&(since, token));
        }
        if front.unasked_since.take().is_some() {
            self.unasked_fronts.remove(&(front.heard, token));
        }
    }

    /// Ends an idle connection, unless a request has arrived on it that was not read yet: that one is taken.
    pub(in crate::server) fn close_idle(&mut self, token: Token, mut conn: Conn, mut front: Front) -> bool {
        match conn.stream.peek(&mut [0]) {
            Ok(read) if read > 0 => {
                self.front_ready(token, conn, front, EventFlags::IN);
                return false;
            }
            // What comes from now on crosses the end.
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                self.half_close(token, &mut conn, &mut front);
                self.put(token, conn, Role::Front(front));
            }
            // Its client has ended it.
            _ => {
                self.settle_idle(token, &mut front);
                self.front_gone(token, conn, front);
            }
        }
        true
    }

    /// Connections of frontends whose end has not begun.
    fn served_fronts(&self) -> usize {
        self.fronts - self.lingering.len()
    }

    /// Closes the connection of a frontend that has been idle for longest, and for at least so long, of those that have
    /// been served: a request that the close crosses is sent once more, while a new client would count it as refused.
    pub(in crate::server) fn drop_kept_front(&mut self, least: Micros) -> bool {
        loop {
            let mut idle = self.idle_fronts.iter().take_while(|(since, _)| since + least <= self.now);
            let kept = idle.find(|(_, token)| {
                let held = &self.slots[token.slot()].held;
                matches!(held, Some((_, Role::Front(front))) if !front.is_unasked())
            });
            match kept.copied().and_then(|(_, token)| Some((token, self.take(token)?))) {
                Some((token, (conn, Role::Front(front)))) => {
                    if self.close_idle(token, conn, front) {
                        return true;
                    }
                }
                Some((token, (conn, role))) => self.put(token, conn, role),
                None => return false,
            }
        }
    }

    /// Whether the connections of frontends keep within their budget, once those that wait for nothing are closed.
    fn front_fits(&mut self) -> bool {
        while self.served_fronts() > self.budget.fronts {
            // A whole request outranks a connection that may have one on its way.
            if !self.drop_front(0) {
                return false;
            }
        }
        true
    }

    /// Closes a connection of a frontend to make room: one that is silent, one that is idle, or a half request.
    fn drop_front(&mut self, least: Micros) -> bool {
        self.drop_unasked(HALF_GRACE)
            || self.drop_kept_front(least)
            || self.drop_idle_front(least)
            || self.drop_unasked(UNASKED_GRACE)
    }

    /// Closes the connection that has been silent for longest of those that have had their time to ask: with a part of a
    /// request that is `half`.
    pub(in crate::server) fn drop_unasked(&mut self, half: Micros) -> bool {
        let due = |heard: Micros, grace: Micros| heard + grace <= self.now;
        let silent = self.unasked_fronts.iter().take_while(|(heard, _)| due(*heard, UNASKED_GRACE));
        let silent: Vec<(Micros, Token)> = silent.copied().collect();
        for (heard, token) in silent {
            match self.take(token) {
                Some((conn, Role::Front(front))) if front.idle_since.is_some() => {
                    let closed = self.close_idle(token, conn, front);
                    if closed {
                        return true;
                    }
                }
                Some((conn, Role::Front(front))) if heard + half > self.now => {
                    self.put(token, conn, Role::Front(front));
                }
                // What comes of the rest of its request is not taken, and its client is told that it may try again.
                Some((mut conn, Role::Front(mut front))) if !matches!(front.state, State::Ending { .. }) => {
                    self.reject(&mut conn, &mut front, Reject::Overloaded);
                    self.front_settle(token, conn, front);
                    return true;
                }
                Some((conn, Role::Front(front))) => {
                    self.front_gone(token, conn, front);
                    return true;
                }
                Some((conn, role)) => {
                    crate::invariant!(false, "a connection that asked for nothing is none of a frontend's");
                    self.put(token, conn, role);
                    self.unasked_fronts.remove(&(heard, token));
                }
                None => {
                    // Closed, or in use right now; in the first case it is not in the set any more.
                }
            }
        }
        false
    }

    pub(in crate::server) fn front_due(&mut self, token: Token, mut conn: Conn, mut front: Front) {
        if front.idle_since.is_some() {
            self.close_idle(token, conn, front);
            return;
        }
        match &mut front.state {
            State::Ending { .. } => self.linger_over(token, conn, front),
            State::Waiting { stream: Some(stream), .. } => {
                stream.last = self.now;
                if conn.outbox.is_empty() {
                    conn.outbox.push(sse::heartbeat());
                }
                self.front_settle(token, conn, front);
            }
            State::Watching(held) => {
                let every = self.sse.as_ref().map_or(0, |(_, every)| *every);
                if held.last + every <= self.now {
                    held.last = self.now;
                    if conn.outbox.is_empty() {
                        conn.outbox.push(protocol::event_streams::heartbeat(held.frame));
                    }
                }
                self.front_settle(token, conn, front);
            }
            State::Waiting { .. } => self.front_settle(token, conn, front),
            State::Reading | State::Chunks { .. } if !conn.outbox.is_empty() => {
                self.front_gone(token, conn, front); // it does not read its answer
            }
            State::Reading | State::Chunks { .. } => {
                self.reject(&mut conn, &mut front, Reject::TooSlow);
                self.front_settle(token, conn, front);
            }
        }
    }

    /// Writes the final answer of a session.
    pub(in crate::server) fn answer(&mut self, token: Token, request_id: RequestId, answer: FinalResponse) {
        let Some((mut conn, role)) = self.take(token) else { return };
        let Role::Front(mut front) = role else {
            crate::invariant!(false, "an answer for a connection that is no frontend's");
            return self.put(token, conn, role);
        };
        let State::Waiting { request_id: waiting, keep_alive, stream } = front.state else {
            crate::invariant!(false, "an answer for a frontend that waits for none");
            return self.put(token, conn, Role::Front(front));
        };
        crate::invariant!(waiting == request_id, "an answer for another session");
        let keep_alive = keep_alive && (self.keeps_clients() || stream.is_some_and(|s| s.begun));
        match (stream, &answer) {
            (Some(stream), _) if stream.begun => conn.outbox.push(sse::final_event(answer)),
            (Some(_), FinalResponse::Served(_)) => {
                conn.outbox.push(sse::head(keep_alive));
                conn.outbox.push(sse::started());
                conn.outbox.push(sse::final_event(answer));
            }
            _ => conn.outbox.push(platform::final_response(answer, keep_alive)),
        }
        front.state = if keep_alive { State::Reading } else { State::Ending { since: None } };
        self.set_timer(token, &mut conn, None);
        self.front_go_on(token, conn, front);
    }

    /// Tells a client that listens for it how its job gets on.
    pub(in crate::server) fn tell(&mut self, token: Token, share: Option<f64>) {
        let Some((mut conn, mut role)) = self.take(token) else { return };
        let Role::Front(Front { state: State::Waiting { keep_alive, stream: Some(stream), .. }, .. }) =
            &mut role
        else {
            return self.put(token, conn, role);
        };
        if !std::mem::replace(&mut stream.begun, true) {
            conn.outbox.push(sse::head(*keep_alive));
            conn.outbox.push(sse::started());
        }
        if let Some(share) = share.filter(|_| conn.outbox.len() < SLOW_READER) {
            conn.outbox.push(sse::progress(share));
        }
        stream.last = self.now;
        let Role::Front(front) = role else { return };
        self.front_settle(token, conn, front);
    }
}
