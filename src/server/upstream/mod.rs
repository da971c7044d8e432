//! Connections to workers: dispatches, cancels and probes, and the pool of idle ones.

use crate::core::{AttemptOutcome, RequestId, endpoint_table};
use crate::http::{self, Body, EventStream, Framing, MAX_BODY, MAX_HEAD, Piece, StreamEvent};
use crate::policy::interface::{Micros, Outcome, WorkerId};
use crate::protocol::{names, platform};
use crate::server::connection::{Conn, ReadEnd};
use crate::server::{Role, Server, Token};
use rustix::event::epoll::EventFlags;
use std::net::SocketAddr;

/// A cancel or a probe must be answered by then.
const SIDE_TIME: Micros = 500_000;
/// The last byte of a dispatch on a new connection may arrive so many times later as the connection took: that is one
/// round trip, and a handshake is up to two more (PROTOCOL, "Dispatchers to workers").
const HANDSHAKE_TRIPS: Micros = 3;
/// An event stream of a node is read in pieces of this size.
const STREAM_READ: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exchange {
    Dispatch {
        request_id: RequestId,
        attempt: u32,
    },
    /// With the dispatch that counts as ended only once its worker has been told.
    Cancel {
        ends: Option<(RequestId, u32)>,
    },
    Probe,
}

enum State {
    Connecting(Exchange),
    /// The answer's head is awaited.
    Awaiting(Exchange),
    /// The rest of an answer; a probe's is its report.
    Body {
        exchange: Exchange,
        status: u16,
        body: Body,
        read: Vec<u8>,
        keep_alive: bool,
    },
    /// A node tells of a job in an event stream.
    Stream {
        request_id: RequestId,
        attempt: u32,
        body: Body,
        events: EventStream,
    },
    Idle,
}

pub(in crate::server) struct Back {
    worker: WorkerId,
    /// Where it leads: its worker may have come back elsewhere since.
    address: Option<SocketAddr>,
    state: State,
    /// It has carried an exchange before.
    reused: bool,
    /// The length of its dispatch while the last byte is not written; 0 before it is worded.
    unwritten: Option<usize>,
    /// How long its exchange's first answer may take; a dispatch's deadline ends it in any case.
    time: Option<Micros>,
    /// When it was begun, and how long the last byte of a dispatch may be on its way.
    begun: Micros,
    way: Micros,
    /// How long it rests before it is used again.
    rest: Micros,
}

/// When a probe was sent.
pub(in crate::server) struct Probe {
    worker: WorkerId,
    at: Micros,
}

impl Back {
    /// Its worker, if it is idle and may be used.
    pub(in crate::server) fn idle_worker(&self) -> Option<WorkerId> {
        (matches!(self.state, State::Idle) && self.rest == 0).then_some(self.worker)
    }
}

/// Whether an answer may be that of an exchange. To a dispatch no success is answered but 202 and an event stream: another is what
/// a probe or a cancel got before it, said twice.
fn is_of(exchange: Exchange, head: &http::ResponseHead, conn: &Conn) -> bool {
    let stream =
        || head.fields.text(&conn.inbox, "content-type").unwrap_or("").trim_start().to_ascii_lowercase();
    match (exchange, head.status) {
        (Exchange::Dispatch { .. }, 200) => stream().starts_with("text/event-stream"),
        (Exchange::Dispatch { .. }, status) => status == 202 || status >= 300,
        _ => true,
    }
}

impl Server {
    /// Takes an idle connection over from another process; it may stay idle for so long.
    pub(in crate::server) fn take_back(&mut self, worker: WorkerId, conn: Conn, left: Micros) {
        let back = Back {
            worker,
            address: conn.stream.peer_addr().ok(),
            state: State::Idle,
            reused: true,
            unwritten: None,
            time: None,
            begun: self.now,
            way: 0,
            rest: 0,
        };
        let Some(token) = self.add(conn, |_| Role::Back(back)) else { return };
        let Some((conn, Role::Back(back))) = self.take(token) else { return };
        self.back_settle(token, conn, back);
        if let Some((mut conn, role)) = self.take(token) {
            let until = self.now + left.min(self.config.idle_timeout / 2);
            self.set_timer(token, &mut conn, Some(until));
            self.put(token, conn, role);
        }
    }

    pub(in crate::server) fn attempt(&mut self, request_id: RequestId, attempt: u32, worker: WorkerId) {
        if self.looked.is_old(self.reading()) {
            self.client_left(request_id);
        }
        if !self.requests.contains_key(&request_id) {
            // Its client left in the meantime: nothing goes out any more, which shows nothing of the worker.
            let fate = AttemptOutcome::Unserved(Outcome::NeverSent);
            self.core.on_attempt_ended(self.now, request_id, attempt, fate, None);
            return;
        }
        self.metrics.attempts += 1;
        let exchange = Exchange::Dispatch { request_id, attempt };
        // A session has few attempts: once a kept connection has cost it one, the others go out on new ones.
        let fresh = self.broken.contains(&request_id);
        // A worker answers as soon as it has read: one that says nothing for as long as its machine may take to answer
        // a connection has one that fell silent, and no reset comes. What could not be sent again is waited for.
        let time = self.core.accept_timeout(request_id, self.config.connect_timeout);
        // It is worded at its first byte.
        if let Some(token) = self.exchange(worker, exchange, time, Vec::new(), fresh) {
            self.dispatching.insert((request_id, attempt), token);
            self.back_start(token);
        }
    }

    pub(in crate::server) fn give_up(
        &mut self,
        request_id: RequestId,
        attempt: u32,
        worker: WorkerId,
        name: &str,
    ) {
        match self.dispatching.remove(&(request_id, attempt)) {
            // Not taken yet, or streaming: closing the connection says it all.
            Some(token) => self.close_token(token),
            None => self.call_off(worker, name, None),
        }
    }

    /// Tells a worker to give a job up, where that is allowed; the dispatch that `ends` with that has ended then.
    fn call_off(&mut self, worker: WorkerId, name: &str, ends: Option<(RequestId, u32)>) {
        let cancel = Exchange::Cancel { ends };
        match self.core.endpoints.get(worker) {
            Some(server) if !server.removed && self.config.settings.may_cancel => {
                let pieces = platform::cancel(name);
                if let Some(token) = self.exchange(worker, cancel, Some(SIDE_TIME), pieces, false) {
                    self.dispatching.extend(ends.map(|attempt| (attempt, token)));
                    self.back_start(token);
                }
            }
            _ => self.exchange_failed(None, worker, cancel, Outcome::Cancelled),
        }
    }

    pub(in crate::server) fn probe(&mut self, worker: WorkerId) {
        if let Some(token) =
            self.exchange(worker, Exchange::Probe, Some(SIDE_TIME), platform::load_probe(), false)
        {
            self.probes.insert(token, Probe { worker, at: self.now });
            self.back_start(token);
        }
    }

    /// Hands a message to an idle connection, or to a new one. None if there can be none: that is told already.
    fn exchange(
        &mut self,
        worker: WorkerId,
        exchange: Exchange,
        time: Option<Micros>,
        pieces: Vec<Piece>,
        fresh: bool,
    ) -> Option<Token> {
        let is_dispatch = matches!(exchange, Exchange::Dispatch { .. });
        let address = self.core.endpoints.get(worker).map(|s| s.address);
        while let Some(token) = self.pool.get_mut(&worker).filter(|_| !fresh).and_then(Vec::pop) {
            if let Some((mut conn, Role::Back(mut back))) = self.take(token) {
                // Its worker has come back elsewhere, or has ended it, or has said what nobody asked for: whatever is here before
                // a request cannot be its answer.
                if back.address != address || conn.has_ended(1) || !conn.inbox.is_empty() {
                    self.close(token, conn, Role::Back(back));
                    continue;
                }
                conn.outbox.push(pieces);
                (back.state, back.reused) = (State::Awaiting(exchange), true);
                (back.time, back.way) = (time, 0);
                back.unwritten = is_dispatch.then_some(0);
                self.put(token, conn, Role::Back(back));
                return Some(token);
            }
        }
        let room = address.is_none() || self.make_room(0);
        let conn = address.filter(|_| room).and_then(|address| Conn::connect(address).ok());
        self.metrics.connects += 1;
        let token = conn.and_then(|mut conn| {
            conn.outbox.push(pieces);
            let (state, begun) = (State::Connecting(exchange), self.now);
            let unwritten = is_dispatch.then_some(0);
            let back =
                Back { worker, address, state, reused: false, unwritten, time, begun, way: 0, rest: 0 };
            self.add(conn, |_| Role::Back(back))
        });
        if token.is_none() {
            self.metrics.connect_failures += 1;
            // That all descriptors are at work here shows nothing of the worker.
            let outcome = if room { Outcome::ConnectFailed } else { Outcome::NeverSent };
            self.exchange_failed(None, worker, exchange, outcome);
        }
        token
    }

    /// Sets an exchange going on its connection.
    fn back_start(&mut self, token: Token) {
        let Some((mut conn, Role::Back(back))) = self.take(token) else { return };
        let time = match back.state {
            State::Connecting(_) => Some(self.config.connect_timeout),
            State::Awaiting(_) => back.time,
            _ => None,
        };
        self.set_timer(token, &mut conn, time.map(|t| self.now + t));
        if matches!(back.state, State::Connecting(_)) {
            // Writable once it is up; the message waits until then.
            self.watch_both(token, &mut conn, true, true);
            return self.put(token, conn, Role::Back(back));
        }
        self.back_settle(token, conn, back);
    }

    pub(in crate::server) fn back_ready(
        &mut self,
        token: Token,
        mut conn: Conn,
        mut back: Back,
        flags: EventFlags,
    ) {
        if let State::Connecting(exchange) = back.state {
            let failed = conn.stream.take_error().map_or(true, |error| error.is_some());
            if failed || flags.contains(EventFlags::ERR) {
                return self.back_broken(token, conn, back);
            }
            if !flags.contains(EventFlags::OUT) {
                return self.put(token, conn, Role::Back(back));
            }
            if let Exchange::Dispatch { request_id, .. } = exchange {
                self.client_left(request_id); // then nothing of it is written below
            }
            back.state = State::Awaiting(exchange);
            back.way = HANDSHAKE_TRIPS * self.now.saturating_sub(back.begun);
            self.set_timer(token, &mut conn, back.time.map(|t| self.now + t));
        }
        if !self.back_flush(token, &mut conn, &mut back) {
            return self.back_broken(token, conn, back);
        }
        if !flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
            return self.back_settle(token, conn, back);
        }
        loop {
            let most = match back.state {
                State::Stream { .. } => STREAM_READ,
                _ => MAX_HEAD + MAX_BODY,
            };
            let end = conn.fill(most);
            let before = conn.inbox.len();
            if !self.back_read(token, &mut conn, &mut back) {
                return self.back_spoilt(token, conn, back);
            }
            match end {
                ReadEnd::Dry => return self.back_settle(token, conn, back),
                ReadEnd::Enough if conn.inbox.len() < before => {}
                _ => return self.back_ended(token, conn, back),
            }
        }
    }

    /// Uses what was read. False if the other side does not keep to the protocol.
    fn back_read(&mut self, token: Token, conn: &mut Conn, back: &mut Back) -> bool {
        loop {
            match &mut back.state {
                State::Connecting(_) => return true,
                State::Idle => return conn.inbox.is_empty(),
                State::Awaiting(exchange) => {
                    let exchange = *exchange;
                    match http::read_response(&conn.inbox) {
                        Ok(None) => return true,
                        Ok(Some(head)) if head.status == 100 => drop(conn.inbox.drain(..head.len)),
                        Ok(Some(head)) if is_of(exchange, &head, conn) => {
                            (back.state, back.rest) = self.answered(conn, exchange, head);
                        }
                        _ => return false,
                    }
                }
                State::Body { exchange, status, body, read, keep_alive } => {
                    if body.feed(&mut conn.inbox, read).is_err() || read.len() > MAX_BODY {
                        return false;
                    }
                    if !body.is_done() {
                        return true;
                    }
                    if *exchange == Exchange::Probe {
                        let (status, read) = (*status, std::mem::take(read));
                        self.echoed(token, status, &read);
                    }
                    if !*keep_alive {
                        return false;
                    }
                    back.state = State::Idle;
                }
                State::Stream { request_id, attempt, body, events } => {
                    let mut read = Vec::new();
                    let (request_id, attempt) = (*request_id, *attempt);
                    // What came before the framing broke is as good as any: the final event may be in it.
                    let framed = body.feed(&mut conn.inbox, &mut read).is_ok();
                    let mut seen: Vec<StreamEvent> = Vec::new();
                    let fed = events.feed(&read, |event| seen.push(event));
                    let over = body.is_done();
                    for event in seen {
                        self.streamed(request_id, attempt, &event);
                    }
                    // The stream may end only after the final event: then this changes nothing any more.
                    return framed && fed.is_ok() && !over;
                }
            }
        }
    }

    /// The head of a worker's answer: what it says of a dispatch counts at once. With it, how long its connection is to rest: an
    /// answer that turns a job away would turn away the next one too, were it said twice, so the second has time to come.
    fn answered(&mut self, conn: &mut Conn, exchange: Exchange, head: http::ResponseHead) -> (State, Micros) {
        let text = |name| head.fields.text(&conn.inbox, name);
        let mut rest = 0;
        if let Exchange::Dispatch { request_id, attempt } = exchange {
            if head.status == 200 {
                conn.inbox.drain(..head.len);
                let (body, events) = (Body::new(head.framing), EventStream::default());
                return (State::Stream { request_id, attempt, body, events }, 0);
            }
            self.dispatching.remove(&(request_id, attempt));
            let unprocessed = text(names::UNPROCESSED) == Some("1");
            let outcome = match head.status {
                202 => None,
                503 | 504 if unprocessed => Some(Outcome::Full),
                _ => Some(Outcome::Error),
            };
            if let Some(outcome) = outcome {
                rest = self.config.connect_timeout;
                let report = platform::load_report_from_head(self.core.names(), &conn.inbox, &head.fields);
                self.core.on_attempt_ended(
                    self.now,
                    request_id,
                    attempt,
                    AttemptOutcome::Unserved(outcome),
                    report,
                );
            }
        }
        conn.inbox.drain(..head.len);
        let keep_alive = head.keep_alive && head.framing != Framing::Absent;
        let (status, body) = (head.status, Body::new(head.framing));
        (State::Body { exchange, status, body, read: Vec::new(), keep_alive }, rest)
    }

    fn echoed(&mut self, token: Token, status: u16, body: &[u8]) {
        let Some(Probe { worker, at }) = self.probes.remove(&token) else { return };
        let outcome = if status == 200 { Outcome::Ok } else { Outcome::Error };
        let report = platform::load_report_from_body(self.core.names(), body);
        self.core.on_probe_response(worker, outcome, self.now.saturating_sub(at), report);
    }

    /// An event of a node's stream; its data has the form of a call-back.
    fn streamed(&mut self, request_id: RequestId, attempt: u32, event: &StreamEvent) {
        let state = Some(event.name.as_str()).filter(|n| !n.is_empty() && *n != "message");
        match platform::parse_status_callback(self.core.names(), event.data.as_bytes(), state) {
            Some(told) => {
                self.core.on_attempt_status(self.now, request_id, attempt, told.status, told.report);
            }
            None => self.metrics.rejects += 1,
        }
    }

    /// Writes what it can, and counts a dispatch at its last byte. Here alone bytes of a dispatch leave, so here it is
    /// settled whether they still may. False if the connection is of no more use.
    fn back_flush(&mut self, token: Token, conn: &mut Conn, back: &mut Back) -> bool {
        if let Some(worded) = back.unwritten
            && let State::Awaiting(exchange @ Exchange::Dispatch { request_id, attempt }) = back.state
        {
            let begun = conn.outbox.len() < worded;
            self.clock(); // a turn may be long, and the last bytes of it late
            let server = self.core.endpoints.get(back.worker);
            let takes = |s: &endpoint_table::Endpoint| s.stopped.is_none() && back.address == Some(s.address);
            let usable = !self.core.endpoints.stale && server.is_some_and(takes);
            let may = self.core.may_write(self.now, request_id, attempt, back.way);
            if !may || !(usable || begun) {
                // Its last byte has not left, so it never ran, and nobody is to blame. Nothing of it has: then the
                // connection can carry another one.
                conn.outbox.clear();
                (back.state, back.unwritten) = (State::Idle, None);
                self.metrics.withheld += 1;
                self.exchange_failed(Some(token), back.worker, exchange, Outcome::NeverSent);
                return usable && !begun;
            }
            if let Some(raw) = self.requests.get(&request_id).filter(|_| !begun) {
                // What its worker is told is left to the client is so now; its connection may have been long in coming.
                conn.outbox.clear();
                conn.outbox.push(platform::forwarded_request(
                    raw,
                    self.core.time_left(self.now, request_id, attempt),
                ));
                back.unwritten = Some(conn.outbox.len());
            }
        }
        let whole = conn.flush();
        if whole && conn.outbox.is_empty() {
            self.metrics.attempts_written += u64::from(back.unwritten.take().is_some());
            if let State::Awaiting(cancel @ Exchange::Cancel { ends: Some(_) }) = back.state {
                back.state = State::Awaiting(Exchange::Cancel { ends: None });
                self.exchange_failed(None, back.worker, cancel, Outcome::Cancelled);
            }
        }
        whole
    }

    /// Writes what is there to write and settles what to wait for.
    fn back_settle(&mut self, token: Token, mut conn: Conn, mut back: Back) {
        if !self.back_flush(token, &mut conn, &mut back) {
            return self.back_broken(token, conn, back);
        }
        if matches!(back.state, State::Stream { .. }) {
            self.set_timer(token, &mut conn, None); // its session's deadline ends it
        }
        if matches!(back.state, State::Body { .. }) && conn.timer.is_none() {
            self.set_timer(token, &mut conn, Some(self.now + SIDE_TIME)); // an answer may never end
        }
        if matches!(back.state, State::Idle) {
            // Workers close connections idle for this long; a request written to one then ends as a reset.
            let idle_time = self.config.idle_timeout / 2;
            let rest = back.rest.min(idle_time / 2);
            let until = self.now + if rest > 0 { rest } else { idle_time };
            self.set_timer(token, &mut conn, Some(until));
            let idle = self.pool.entry(back.worker).or_default();
            if rest == 0 && conn.outbox.is_empty() && !idle.contains(&token) {
                idle.push(token);
            }
        }
        self.watch_for(token, &mut conn, true);
        self.put(token, conn, Role::Back(back));
    }

    /// The other side has ended its sending.
    fn back_ended(&mut self, token: Token, conn: Conn, mut back: Back) {
        if let State::Body { exchange: Exchange::Probe, status, body, read, .. } = &mut back.state
            && body.ends_with_connection()
        {
            let (status, read) = (*status, std::mem::take(read));
            self.echoed(token, status, &read);
        }
        self.back_broken(token, conn, back);
    }

    /// The other side does not keep to the protocol. Where that was its answer to a dispatch it may have taken it, and then only
    /// being told stops it.
    fn back_spoilt(&mut self, token: Token, conn: Conn, back: Back) {
        let told = match back.state {
            State::Awaiting(Exchange::Dispatch { request_id, attempt }) if conn.outbox.is_empty() => {
                self.core.request_name(request_id, attempt)
            }
            _ => None,
        };
        let worker = back.worker;
        self.back_broken(token, conn, back);
        told.iter().for_each(|name| self.call_off(worker, name, None));
    }

    /// The connection is over; so is what it was used for.
    fn back_broken(&mut self, token: Token, conn: Conn, back: Back) {
        let written = conn.outbox.is_empty();
        let worker = back.worker;
        match &back.state {
            State::Idle => self.unpool(worker, token),
            State::Connecting(exchange) => {
                self.metrics.connect_failures += 1;
                self.exchange_failed(Some(token), worker, *exchange, Outcome::ConnectFailed);
            }
            State::Awaiting(exchange) => {
                // Before its last byte is written a request has not begun anywhere.
                if let Exchange::Dispatch { request_id, .. } = exchange
                    && back.reused
                {
                    self.note_broken(*request_id);
                }
                // A kept connection that breaks under the next request was closed in the meantime, which shows nothing
                // of the worker: not held against it. If its process died, new connections are refused, which is.
                let outcome = match (written, back.reused) {
                    (true, true) => Outcome::Cancelled,
                    (true, false) => Outcome::Reset,
                    (false, true) => Outcome::NeverSent,
                    (false, false) => Outcome::ConnectFailed,
                };
                self.metrics.resets += 1;
                self.exchange_failed(Some(token), worker, *exchange, outcome);
            }
            State::Stream { request_id, attempt, .. } => {
                let exchange = Exchange::Dispatch { request_id: *request_id, attempt: *attempt };
                self.exchange_failed(Some(token), worker, exchange, Outcome::Reset);
            }
            State::Body { exchange: Exchange::Probe, .. } => {
                self.exchange_failed(Some(token), worker, Exchange::Probe, Outcome::Reset);
            }
            State::Body { .. } => {} // what its head said has been told
        }
        self.close(token, conn, Role::Back(back));
    }

    fn exchange_failed(&mut self, token: Option<Token>, worker: WorkerId, what: Exchange, outcome: Outcome) {
        match what {
            Exchange::Dispatch { request_id, attempt } => {
                self.dispatching.remove(&(request_id, attempt));
                self.core.on_attempt_ended(
                    self.now,
                    request_id,
                    attempt,
                    AttemptOutcome::Unserved(outcome),
                    None,
                );
            }
            Exchange::Probe => {
                let probe = token.map(|token| self.probes.remove(&token));
                // Without a token it never went out; with one it fails once.
                if !matches!(probe, Some(None)) {
                    let at = probe.flatten().map_or(self.now, |p| p.at);
                    self.core.on_probe_response(worker, outcome, self.now.saturating_sub(at), None);
                }
            }
            // StatusCallback or not, its connection is closed and its time over.
            Exchange::Cancel { ends } => {
                if let Some((request_id, attempt)) = ends {
                    self.dispatching.remove(&(request_id, attempt));
                    self.core.on_attempt_ended(
                        self.now,
                        request_id,
                        attempt,
                        AttemptOutcome::Unserved(Outcome::Cancelled),
                        None,
                    );
                }
            }
        }
    }

    pub(in crate::server) fn back_due(&mut self, token: Token, mut conn: Conn, mut back: Back) {
        if conn.outbox.is_empty()
            && let State::Awaiting(Exchange::Dispatch { .. }) = back.state
        {
            // After a long turn its answer may be here, unread.
            let end = conn.fill(MAX_HEAD);
            let sound = self.back_read(token, &mut conn, &mut back);
            match (&back.state, sound, end) {
                (State::Awaiting(_), ..) => {}
                (_, true, ReadEnd::Dry | ReadEnd::Enough) => return self.back_settle(token, conn, back),
                _ => return self.back_ended(token, conn, back),
            }
        }
        match back.state {
            State::Idle if back.rest > 0 => {
                back.rest = 0;
                self.back_settle(token, conn, back);
            }
            // The worker may have read it. Closing the connection gives it up, and the session goes on elsewhere
            // instead of being waited for until its deadline. Where an answer is lost or on its way, the worker has
            // taken it: then only being told stops it.
            State::Awaiting(exchange @ Exchange::Dispatch { request_id, attempt })
                if conn.outbox.is_empty() =>
            {
                // That is no fault of the worker, whose other connections serve: it is not held against it. If its
                // machine is gone, new connections to it will not come up, which is.
                self.metrics.untaken += 1;
                self.note_broken(request_id);
                // Where no two attempts may be out, the next one leaves only after it was told.
                let (worker, name) = (back.worker, self.core.request_name(request_id, attempt));
                let ends = Some((request_id, attempt)).filter(|_| !self.config.settings.may_hedge);
                self.dispatching.remove(&(request_id, attempt));
                self.close(token, conn, Role::Back(back));
                if ends.is_none() || name.is_none() {
                    self.exchange_failed(None, worker, exchange, Outcome::Cancelled);
                }
                name.iter().for_each(|name| self.call_off(worker, name, ends));
            }
            _ => self.back_broken(token, conn, back),
        }
    }

    pub(in crate::server) fn unpool(&mut self, worker: WorkerId, token: Token) {
        if let Some(idle) = self.pool.get_mut(&worker) {
            idle.retain(|t| *t != token);
        }
    }

    /// Closes the idle connection to a worker that has been idle for longest, of the worker with the most.
    pub(in crate::server) fn drop_idle_backend(&mut self) -> bool {
        let most = self.pool.values_mut().max_by_key(|idle| idle.len()).filter(|idle| !idle.is_empty());
        let Some(token) = most.map(|idle| idle.remove(0)) else { return false };
        self.close_token(token);
        true
    }
}
