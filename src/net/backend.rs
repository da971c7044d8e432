//! Connections to workers: dispatches, cancels and probes, and the pool of idle ones.

use super::conn::{Conn, ReadEnd};
use super::{Role, Server, Token};
use crate::core::{Fate, SessionId};
use crate::front::{names, platform};
use crate::http::{self, Body, EventStream, Framing, MAX_BODY, MAX_HEAD, Piece, StreamEvent};
use crate::interface::{Micros, Outcome, WorkerId};
use rustix::event::epoll::EventFlags;

/// A cancel or a probe must be answered by then.
const SIDE_TIME: Micros = 500_000;
/// A worker answers a dispatch as soon as it has read it, also while its jobs stand still: on all kinds of days none
/// was answered later than after 20 ms, or never. One that has said nothing for this long has a connection that fell
/// silent, and no reset comes. Most jobs can still be in time elsewhere by then.
const TAKE_TIME: Micros = 150_000;
/// A connection that comes up later than this part of the drain's grace after its worker was told to stop is not written to
/// any more: the grace ends at the first byte, and a busy core may be late with it.
const STOPPED_PART: f64 = 5.0 / 8.0;
/// An event stream of a node is read in pieces of this size.
const STREAM_READ: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exchange {
    Dispatch { session: SessionId, dispatch: u32 },
    Cancel,
    Probe,
}

impl Exchange {
    fn is_dispatch(self) -> bool {
        matches!(self, Exchange::Dispatch { .. })
    }

    /// How long its answer may take.
    fn time(self) -> Micros {
        match self {
            Exchange::Dispatch { .. } => TAKE_TIME,
            Exchange::Cancel | Exchange::Probe => SIDE_TIME,
        }
    }
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
        session: SessionId,
        dispatch: u32,
        body: Body,
        events: EventStream,
    },
    Idle,
}

pub(super) struct Back {
    worker: WorkerId,
    state: State,
    /// It has carried an exchange before.
    reused: bool,
    /// Its dispatch's last byte is not written yet.
    unwritten: bool,
}

/// When a probe was sent.
pub(super) struct Probe {
    worker: WorkerId,
    at: Micros,
}

impl Back {
    /// Its worker, if it is idle.
    pub(super) fn idle_worker(&self) -> Option<WorkerId> {
        matches!(self.state, State::Idle).then_some(self.worker)
    }
}

impl Server {
    /// Takes an idle connection over from another process; it may stay idle for so long.
    pub(super) fn take_back(&mut self, worker: WorkerId, conn: Conn, left: Micros) {
        let back = Back { worker, state: State::Idle, reused: true, unwritten: false };
        let Some(token) = self.add(conn, |_| Role::Back(back)) else { return };
        let Some((conn, Role::Back(back))) = self.take(token) else { return };
        self.back_settle(token, conn, back);
        if let Some((mut conn, role)) = self.take(token) {
            let until = self.now + left.min(self.config.conn_idle / 2);
            self.set_timer(token, &mut conn, Some(until));
            self.put(token, conn, role);
        }
    }

    pub(super) fn dispatch(&mut self, session: SessionId, dispatch: u32, worker: WorkerId, left: Micros) {
        if self.looked.is_old(self.reading()) {
            self.client_left(session);
        }
        let Some(raw) = self.requests.get(&session) else {
            // Its client left in the meantime: nothing goes out any more, which shows nothing of the worker.
            let fate = Fate::Without(Outcome::Moot);
            self.core.ended(self.now, session, dispatch, fate, None);
            return;
        };
        let pieces = platform::dispatch(raw, left);
        self.counts.dispatches += 1;
        let exchange = Exchange::Dispatch { session, dispatch };
        // A session has few attempts: once a kept connection has cost it one, the others go out on new ones.
        let fresh = self.broken.contains(&session);
        if let Some(token) = self.exchange(worker, exchange, pieces, fresh) {
            self.dispatching.insert((session, dispatch), token);
            self.back_start(token);
        }
    }

    pub(super) fn give_up(&mut self, session: SessionId, dispatch: u32, worker: WorkerId, name: &str) {
        match self.dispatching.remove(&(session, dispatch)) {
            // Not taken yet, or streaming: closing the connection says it all.
            Some(token) => self.close_token(token),
            None if self.core.servers.get(worker).is_none_or(|s| s.removed) => {}
            None => {
                if let Some(token) = self.exchange(worker, Exchange::Cancel, platform::give_up(name), false) {
                    self.back_start(token);
                }
            }
        }
    }

    pub(super) fn probe(&mut self, worker: WorkerId) {
        if let Some(token) = self.exchange(worker, Exchange::Probe, platform::probe(), false) {
            self.probes.insert(token, Probe { worker, at: self.now });
            self.back_start(token);
        }
    }

    /// Hands a message to an idle connection, or to a new one. None if there can be none: that is told already.
    fn exchange(
        &mut self,
        worker: WorkerId,
        exchange: Exchange,
        pieces: Vec<Piece>,
        fresh: bool,
    ) -> Option<Token> {
        while let Some(token) = self.pool.get_mut(&worker).filter(|_| !fresh).and_then(Vec::pop) {
            if let Some((mut conn, Role::Back(mut back))) = self.take(token) {
                conn.outbox.push(pieces);
                (back.state, back.reused) = (State::Awaiting(exchange), true);
                back.unwritten = exchange.is_dispatch();
                self.put(token, conn, Role::Back(back));
                return Some(token);
            }
        }
        let address = self.core.servers.get(worker).map(|s| s.address);
        let room = address.is_none() || self.make_room(0);
        let conn = address.filter(|_| room).and_then(|address| Conn::connect(address).ok());
        self.counts.connects += 1;
        let token = conn.and_then(|mut conn| {
            conn.outbox.push(pieces);
            let (state, unwritten) = (State::Connecting(exchange), exchange.is_dispatch());
            self.add(conn, |_| Role::Back(Back { worker, state, reused: false, unwritten }))
        });
        if token.is_none() {
            self.counts.connect_failures += 1;
            // That all descriptors are at work here shows nothing of the worker.
            let outcome = if room { Outcome::ConnectFailed } else { Outcome::Moot };
            self.exchange_failed(None, worker, exchange, outcome);
        }
        token
    }

    /// Sets an exchange going on its connection.
    fn back_start(&mut self, token: Token) {
        let Some((mut conn, Role::Back(back))) = self.take(token) else { return };
        let time = match back.state {
            State::Connecting(_) => Some(self.config.connect_timeout),
            State::Awaiting(exchange) => Some(exchange.time()),
            _ => None,
        };
        self.set_timer(token, &mut conn, time.map(|t| self.now + t));
        if matches!(back.state, State::Connecting(_)) {
            // Writable once it is up; the message waits until then.
            self.watch_for(token, &mut conn, true);
            return self.put(token, conn, Role::Back(back));
        }
        self.back_settle(token, conn, back);
    }

    pub(super) fn back_ready(&mut self, token: Token, mut conn: Conn, mut back: Back, flags: EventFlags) {
        if let State::Connecting(exchange) = back.state {
            let failed = conn.stream.take_error().map_or(true, |error| error.is_some());
            if failed || flags.contains(EventFlags::ERR) {
                return self.back_broken(token, conn, back);
            }
            if !flags.contains(EventFlags::OUT) {
                return self.put(token, conn, Role::Back(back));
            }
            // A connection that took long to come up must not carry work to a worker that has since been told
            // to stop: the drain's grace counts from being told, not from the decision.
            let told = self.core.servers.get(back.worker).and_then(|s| s.stopped);
            let grace = (self.config.settings.drain_grace as f64 * STOPPED_PART) as Micros;
            if exchange.is_dispatch() && told.is_some_and(|at| self.now > at + grace) {
                return self.back_broken(token, conn, back);
            }
            if let Exchange::Dispatch { session, .. } = exchange
                && self.client_left(session)
            {
                // Nothing of it was written: the connection is as good as new for the next.
                self.exchange_failed(Some(token), back.worker, exchange, Outcome::Moot);
                (conn.outbox, back.state, back.unwritten) = (Default::default(), State::Idle, false);
                return self.back_settle(token, conn, back);
            }
            back.state = State::Awaiting(exchange);
            self.set_timer(token, &mut conn, Some(self.now + exchange.time()));
        }
        if !self.back_flush(&mut conn, &mut back) {
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
                return self.back_broken(token, conn, back);
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
                        Ok(Some(head)) => back.state = self.answered(conn, exchange, head),
                        Err(_) => return false,
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
                State::Stream { session, dispatch, body, events } => {
                    let mut read = Vec::new();
                    let (session, dispatch) = (*session, *dispatch);
                    // What came before the framing broke is as good as any: the final event may be in it.
                    let framed = body.feed(&mut conn.inbox, &mut read).is_ok();
                    let mut seen: Vec<StreamEvent> = Vec::new();
                    let fed = events.feed(&read, |event| seen.push(event));
                    let over = body.is_done();
                    for event in seen {
                        self.streamed(session, dispatch, &event);
                    }
                    // The stream may end only after the final event: then this changes nothing any more.
                    return framed && fed.is_ok() && !over;
                }
            }
        }
    }

    /// The head of a worker's answer: what it says of a dispatch counts at once.
    fn answered(&mut self, conn: &mut Conn, exchange: Exchange, head: http::Response) -> State {
        let text = |name| head.fields.text(&conn.inbox, name);
        if let Exchange::Dispatch { session, dispatch } = exchange {
            let stream = text("content-type").unwrap_or("").trim_start().to_ascii_lowercase();
            if head.status == 200 && stream.starts_with("text/event-stream") {
                conn.inbox.drain(..head.len);
                let (body, events) = (Body::new(head.framing), EventStream::default());
                return State::Stream { session, dispatch, body, events };
            }
            self.dispatching.remove(&(session, dispatch));
            let unprocessed = text(names::UNPROCESSED) == Some("1");
            let outcome = match head.status {
                202 => None,
                503 | 504 if unprocessed => Some(Outcome::Full),
                _ => Some(Outcome::Error),
            };
            if let Some(outcome) = outcome {
                let report = platform::head_report(self.core.names(), &conn.inbox, &head.fields);
                self.core.ended(self.now, session, dispatch, Fate::Without(outcome), report);
            }
        }
        conn.inbox.drain(..head.len);
        let keep_alive = head.keep_alive && head.framing != Framing::Absent;
        let (status, body) = (head.status, Body::new(head.framing));
        State::Body { exchange, status, body, read: Vec::new(), keep_alive }
    }

    fn echoed(&mut self, token: Token, status: u16, body: &[u8]) {
        let Some(Probe { worker, at }) = self.probes.remove(&token) else { return };
        let outcome = if status == 200 { Outcome::Ok } else { Outcome::Error };
        let report = platform::body_report(self.core.names(), body);
        self.core.probed(worker, outcome, self.now.saturating_sub(at), report);
    }

    /// An event of a node's stream; its data has the form of a call-back.
    fn streamed(&mut self, session: SessionId, dispatch: u32, event: &StreamEvent) {
        let state = Some(event.name.as_str()).filter(|n| !n.is_empty() && *n != "message");
        match platform::read_news(self.core.names(), event.data.as_bytes(), state) {
            Some(told) => {
                self.core.dispatch_news(self.now, session, dispatch, told.news, told.report);
            }
            None => self.counts.rejects += 1,
        }
    }

    /// Writes what it can, and counts a dispatch at its last byte.
    fn back_flush(&mut self, conn: &mut Conn, back: &mut Back) -> bool {
        let whole = conn.flush();
        if whole && conn.outbox.is_empty() && std::mem::take(&mut back.unwritten) {
            self.counts.dispatches_written += 1;
        }
        whole
    }

    /// Writes what is there to write and settles what to wait for.
    fn back_settle(&mut self, token: Token, mut conn: Conn, mut back: Back) {
        if !self.back_flush(&mut conn, &mut back) {
            return self.back_broken(token, conn, back);
        }
        if matches!(back.state, State::Stream { .. }) {
            self.set_timer(token, &mut conn, None); // its session's deadline ends it
        }
        if matches!(back.state, State::Idle) {
            // Workers close connections idle for this long; a request written to one then ends as a reset.
            let until = self.now + self.config.conn_idle / 2;
            self.set_timer(token, &mut conn, Some(until));
            let idle = self.pool.entry(back.worker).or_default();
            if !idle.contains(&token) {
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

    /// The connection is over; so is what it was used for.
    fn back_broken(&mut self, token: Token, conn: Conn, back: Back) {
        let written = conn.outbox.is_empty();
        let worker = back.worker;
        match &back.state {
            State::Idle => self.unpool(worker, token),
            State::Connecting(exchange) => {
                self.counts.connect_failures += 1;
                self.exchange_failed(Some(token), worker, *exchange, Outcome::ConnectFailed);
            }
            State::Awaiting(exchange) => {
                // Before its last byte is written a request has not begun anywhere.
                if let Exchange::Dispatch { session, .. } = exchange
                    && back.reused
                {
                    self.note_broken(*session);
                }
                // A kept connection that breaks under the next request was closed in the meantime, which shows nothing
                // of the worker: not held against it. If its process died, new connections are refused, which is.
                let outcome = match (written, back.reused) {
                    (true, true) => Outcome::Cancelled,
                    (true, false) => Outcome::Reset,
                    (false, true) => Outcome::Moot,
                    (false, false) => Outcome::ConnectFailed,
                };
                self.counts.resets += 1;
                self.exchange_failed(Some(token), worker, *exchange, outcome);
            }
            State::Stream { session, dispatch, .. } => {
                let exchange = Exchange::Dispatch { session: *session, dispatch: *dispatch };
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
            Exchange::Dispatch { session, dispatch } => {
                self.dispatching.remove(&(session, dispatch));
                self.core.ended(self.now, session, dispatch, Fate::Without(outcome), None);
            }
            Exchange::Probe => {
                let probe = token.map(|token| self.probes.remove(&token));
                // Without a token it never went out; with one it fails once.
                if !matches!(probe, Some(None)) {
                    let at = probe.flatten().map_or(self.now, |p| p.at);
                    self.core.probed(worker, outcome, self.now.saturating_sub(at), None);
                }
            }
            Exchange::Cancel => {}
        }
    }

    pub(super) fn back_due(&mut self, token: Token, conn: Conn, back: Back) {
        match back.state {
            // The worker may have read it. Closing the connection gives it up, and the session goes on elsewhere
            // instead of being waited for until its deadline.
            State::Awaiting(exchange @ Exchange::Dispatch { .. }) if conn.outbox.is_empty() => {
                // That is no fault of the worker, whose other connections serve: it is not held against it. If its
                // machine is gone, new connections to it will not come up, which is.
                self.counts.untaken += 1;
                if let Exchange::Dispatch { session, .. } = exchange {
                    self.note_broken(session);
                }
                self.exchange_failed(Some(token), back.worker, exchange, Outcome::Cancelled);
                self.close(token, conn, Role::Back(back));
            }
            _ => self.back_broken(token, conn, back),
        }
    }

    pub(super) fn unpool(&mut self, worker: WorkerId, token: Token) {
        if let Some(idle) = self.pool.get_mut(&worker) {
            idle.retain(|t| *t != token);
        }
    }

    /// Closes the idle connection to a worker that has been idle for longest, of the worker with the most.
    pub(super) fn drop_idle_backend(&mut self) -> bool {
        let most = self.pool.values_mut().max_by_key(|idle| idle.len()).filter(|idle| !idle.is_empty());
        let Some(token) = most.map(|idle| idle.remove(0)) else { return false };
        self.close_token(token);
        true
    }
}
