//! The listening sockets for clients. They are opened or inherited at the start, and not watched while there is no capacity.

use crate::config::SseSettings;
use crate::policy::interface::Micros;
use crate::server::context::Context;
use crate::server::error::ServerError;
use crate::server::poll_history::PollHistory;
use crate::server::reactor::Reactor;
use crate::server::tokens::{ACCEPT_TIMER, PLATFORM, SSE};
use rustix::event::epoll::EventFlags;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// The maximum number of retries of listening on an address that a predecessor still uses.
const MAX_LISTEN_RETRIES: u32 = 100;
/// The interval between these retries.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The time after which accepting is retried if there was no capacity, in microseconds.
const ACCEPT_RETRY_INTERVAL: Micros = 20_000;

/// The client address at which a connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// The platform's address.
    Platform,
    /// The address of event streams.
    Sse,
}

/// The listener for event streams.
pub(super) struct SseListener {
    /// The listening socket.
    pub socket: TcpListener,
    /// The time without an event after which a stream is sent a heartbeat, in microseconds.
    pub heartbeat_interval: Micros,
}

/// The listening sockets for clients.
pub(super) struct Listeners {
    /// The platform's listener.
    pub platform: TcpListener,
    /// The listener for event streams, if it is on.
    pub sse: Option<SseListener>,
    /// Whether epoll watches the listeners for new connections.
    is_accepting: bool,
    /// Since when connections that were left in a listener's queue may have been waiting; `None` if none was left.
    left_since: LeftConnections,
}

/// Since when connections that were left in the queue of each listener may have been waiting, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct LeftConnections {
    platform: Option<Micros>,
    sse: Option<Micros>,
}

impl LeftConnections {
    fn of(&mut self, kind: ListenerKind) -> &mut Option<Micros> {
        match kind {
            ListenerKind::Platform => &mut self.platform,
            ListenerKind::Sse => &mut self.sse,
        }
    }
}

impl Listeners {
    /// The heartbeat interval of event streams, in microseconds; 0 if they are off.
    pub fn heartbeat_interval(&self) -> Micros {
        self.sse.as_ref().map_or(0, |sse| sse.heartbeat_interval)
    }

    /// The listening socket of an address, if the address is on.
    pub fn socket(&self, kind: ListenerKind) -> Option<&TcpListener> {
        match kind {
            ListenerKind::Platform => Some(&self.platform),
            ListenerKind::Sse => self.sse.as_ref().map(|sse| &sse.socket),
        }
    }

    /// Since when a connection that is accepted now may have been waiting, in microseconds.
    pub fn waiting_since(&mut self, kind: ListenerKind, polls: &PollHistory) -> Micros {
        let earliest = polls.earliest_arrival().min(polls.earliest_unreported());
        self.left_since.of(kind).map_or(earliest, |since| since.min(earliest))
    }

    /// Records that a listener's queue is empty.
    pub fn on_all_accepted(&mut self, kind: ListenerKind) {
        *self.left_since.of(kind) = None;
    }

    /// Records that connections may be left in a listener's queue, which have been waiting since `since`.
    pub fn on_some_left(&mut self, kind: ListenerKind, since: Micros) {
        self.left_since.of(kind).get_or_insert(since);
    }

    /// Stops watching the listeners for a while, because there is no capacity. Since epoll is level-triggered, the loop would
    /// otherwise be woken at once in every turn.
    pub fn pause(&mut self, context: &mut Context<'_>) {
        if std::mem::replace(&mut self.is_accepting, false) {
            for kind in [ListenerKind::Platform, ListenerKind::Sse] {
                let since = self.waiting_since(kind, context.polls);
                self.on_some_left(kind, since);
            }
            context.metrics.accept_pauses += 1;
            self.set_interest(context.reactor, EventFlags::empty());
            context.core.set_timer(context.clock.now() + ACCEPT_RETRY_INTERVAL, ACCEPT_TIMER);
        }
    }

    /// Watches the listeners again, unless they have been handed over.
    pub fn resume(&mut self, context: &Context<'_>) {
        if context.lifecycle.has_handed_over() {
            return;
        }
        self.is_accepting = true;
        self.set_interest(context.reactor, EventFlags::IN);
    }

    /// Sets the events for which epoll watches the listeners.
    fn set_interest(&self, reactor: &Reactor, flags: EventFlags) {
        let platform = reactor.set_watched_events(&self.platform, PLATFORM, flags);
        let sse = self.sse.as_ref().is_none_or(|sse| reactor.set_watched_events(&sse.socket, SSE, flags));
        mothproxy_invariant::invariant!(platform && sse, "a listener is not registered with epoll");
    }

    /// Removes the listeners from epoll, because the successor accepts connections from now on.
    pub fn hand_over(&mut self, reactor: &Reactor) {
        reactor.unwatch(&self.platform);
        if let Some(sse) = &self.sse {
            reactor.unwatch(&sse.socket);
        }
        self.is_accepting = false;
    }

    /// Watches the listeners again after the successor has ended. Returns false if epoll refuses one of them.
    pub fn take_back(&mut self, reactor: &Reactor) -> bool {
        self.is_accepting = true;
        let is_platform_watched = reactor.watch(&self.platform, PLATFORM).is_ok();
        let is_sse_watched = self.sse.as_ref().is_none_or(|sse| reactor.watch(&sse.socket, SSE).is_ok());
        is_platform_watched && is_sse_watched
    }
}

/// The sockets that a predecessor handed over.
#[derive(Default)]
pub(super) struct InheritedListeners {
    pub platform: Option<TcpListener>,
    pub sse: Option<TcpListener>,
}

impl InheritedListeners {
    /// Returns the client listeners for a configuration. With `should_retry`, waits for an address that is in use, because a
    /// predecessor that hands nothing over may be about to end.
    ///
    /// # Errors
    /// If an address cannot be listened on.
    pub fn into_listeners(
        self,
        platform: SocketAddr,
        sse: Option<&SseSettings>,
        should_retry: bool,
    ) -> Result<Listeners, ServerError> {
        let platform = inherit_or_listen(self.platform, platform, should_retry)?;
        let sse = match sse {
            Some(settings) => Some(SseListener {
                socket: inherit_or_listen(self.sse, settings.listen, should_retry)?,
                heartbeat_interval: settings.heartbeat,
            }),
            None => None,
        };
        Ok(Listeners { platform, sse, is_accepting: true, left_since: LeftConnections::default() })
    }
}

/// Opens a non-blocking listening socket.
///
/// # Errors
/// If the address cannot be listened on.
pub(super) fn listen(address: SocketAddr) -> Result<TcpListener, ServerError> {
    let failed = |error| ServerError::Listen(address, error);
    let listener = TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}

/// Whether an inherited socket has the address that this configuration wants. A wanted port of 0 matches any port.
pub(super) fn has_address(socket: std::io::Result<SocketAddr>, wanted: SocketAddr) -> bool {
    socket.is_ok_and(|address| {
        address.ip() == wanted.ip() && (address.port() == wanted.port() || wanted.port() == 0)
    })
}

/// Returns the predecessor's listening socket, with the connections in its queue, if it has the wanted address; otherwise opens a
/// new one. With `should_retry`, blocks while the address is in use, for at most [`MAX_LISTEN_RETRIES`] retries.
fn inherit_or_listen(
    inherited: Option<TcpListener>,
    address: SocketAddr,
    should_retry: bool,
) -> Result<TcpListener, ServerError> {
    if let Some(inherited) = inherited.filter(|listener| has_address(listener.local_addr(), address)) {
        return Ok(inherited);
    }
    let retries = if should_retry { MAX_LISTEN_RETRIES } else { 0 };
    for _ in 0..retries {
        match listen(address) {
            Err(ServerError::Listen(_, error)) if error.kind() == ErrorKind::AddrInUse => {
                std::thread::sleep(LISTEN_RETRY_INTERVAL);
            }
            other => return other,
        }
    }
    listen(address)
}
