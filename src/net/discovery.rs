//! Calls to discovery: the watch, and the whole list once.

use super::conn::{Conn, ReadEnd};
use super::{Role, Server, Token};
use crate::config::ServerList;
use crate::front::platform;
use crate::http::{self, Body, MAX_HEAD};
use crate::interface::Micros;
use rustix::event::epoll::EventFlags;

/// The call must be answered by then: discovery itself gives up a call that has waited for a second.
const ANSWER_TIME: Micros = 3_000_000;
/// The connection for it must be up by then.
const CONNECT_TIME: Micros = 500_000;
/// A watch sends at least an empty line every 2 s; one that is silent for longer than this is dead.
const SILENCE: Micros = 5_000_000;
/// The longest line of a watch, or whole list.
const MOST: usize = 4 * 1024 * 1024;

pub(super) struct Call {
    watch: bool,
    connecting: bool,
    body: Option<Body>,
    text: Vec<u8>,
    /// Whether the status was 200 and the call counts as answered by a list.
    answered: bool,
}

impl Server {
    /// Starts a watch, or asks for the list once.
    pub(super) fn call(&mut self, watch: bool) {
        if let Some(old) = self.watch.take_if(|_| watch) {
            self.close_token(old);
        }
        let after = watch.then_some(self.core.servers.generation);
        let conn = self.make_room(0).then(|| Conn::connect(self.config.discovery).ok()).flatten();
        let token = conn.and_then(|mut conn| {
            conn.outbox.push(platform::list(after));
            let call = Call { watch, connecting: true, body: None, text: Vec::new(), answered: false };
            self.add(conn, |_| Role::Call(call))
        });
        let Some(token) = token else { return self.core.list_failed() };
        if watch {
            self.watch = Some(token);
        }
        if let Some((mut conn, role)) = self.take(token) {
            self.set_timer(token, &mut conn, Some(self.now + CONNECT_TIME));
            self.watch_for(token, &mut conn, true);
            self.put(token, conn, role);
        }
    }

    pub(super) fn call_ready(&mut self, token: Token, mut conn: Conn, mut call: Call, flags: EventFlags) {
        if call.connecting {
            let failed = conn.stream.take_error().map_or(true, |error| error.is_some());
            if failed || flags.contains(EventFlags::ERR) {
                return self.call_failed(token, conn, call, "no connection");
            }
            call.connecting = false;
            self.set_timer(token, &mut conn, Some(self.now + ANSWER_TIME));
        }
        if !conn.flush() {
            return self.call_failed(token, conn, call, "connection lost");
        }
        loop {
            let end = conn.fill(MAX_HEAD);
            let read_some = !conn.inbox.is_empty();
            match self.call_read(token, &mut conn, &mut call) {
                Ok(false) => {}
                Ok(true) => return self.close(token, conn, Role::Call(call)),
                Err(why) => return self.call_failed(token, conn, call, why),
            }
            match end {
                ReadEnd::Dry => break,
                ReadEnd::Enough if read_some => {}
                _ => return self.call_failed(token, conn, call, "ended"),
            }
        }
        self.watch_for(token, &mut conn, true);
        self.put(token, conn, Role::Call(call));
    }

    /// Uses what was read; true once the call has done its work.
    fn call_read(&mut self, token: Token, conn: &mut Conn, call: &mut Call) -> Result<bool, &'static str> {
        if call.body.is_none() {
            match http::read_response(&conn.inbox) {
                Ok(None) => return Ok(false),
                Ok(Some(head)) if head.status == 200 => {
                    conn.inbox.drain(..head.len);
                    call.body = Some(Body::new(head.framing));
                }
                Ok(Some(_)) => return Err("refused"),
                Err(_) => return Err("not HTTP"),
            }
        }
        let Some(body) = &mut call.body else { return Ok(false) };
        let before = call.text.len();
        body.feed(&mut conn.inbox, &mut call.text).map_err(|_| "broken chunks")?;
        let done = body.is_done();
        if call.watch && call.text.len() > before {
            self.set_timer(token, conn, Some(self.now + SILENCE));
        }
        if call.watch {
            while let Some(end) = call.text.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = call.text.drain(..=end).collect();
                self.listed(call, line.trim_ascii());
            }
        } else if done {
            let text = std::mem::take(&mut call.text);
            self.listed(call, text.trim_ascii());
            return if call.answered { Ok(true) } else { Err("no list in it") };
        }
        match (call.text.len() > MOST, done) {
            (true, _) => Err("line too long"),
            (_, true) => Err("ended"),
            _ => Ok(false),
        }
    }

    fn listed(&mut self, call: &mut Call, line: &[u8]) {
        if line.is_empty() {
            return;
        }
        let list = serde_json::from_slice(line).ok().and_then(|value| ServerList::read(&value));
        match list {
            Some(list) => {
                call.answered = true;
                if self.core.servers.emptied_by(&list) {
                    self.counts.bad_lists += 1;
                    return;
                }
                self.core.listed(self.now, &list, false);
                // A new service may answer with changes though it was asked for everything. Workers that it has
                // never heard of would then stay in the table: the whole list is asked for once.
                if std::mem::take(&mut self.whole_list_due) && !list.reset {
                    self.call(false);
                }
            }
            None => self.counts.bad_lists += 1,
        }
    }

    pub(super) fn call_failed(&mut self, token: Token, conn: Conn, call: Call, why: &str) {
        if self.watch == Some(token) {
            self.watch = None;
        }
        let what = if call.watch { "watch" } else { "list" };
        tracing::warn!("discovery: {what} failed: {why}");
        self.core.list_failed();
        self.close(token, conn, Role::Call(call));
    }
}
