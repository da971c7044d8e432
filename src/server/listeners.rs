//! The listening sockets for clients: opened or inherited at the start, and not watched while there is no capacity.

use crate::config::SseSettings;
use crate::policy::interface::Micros;
use crate::server::context::Context;
use crate::server::error::ServerError;
use crate::server::reactor::Reactor;
use crate::server::tokens::{ACCEPT_TIMER, PLATFORM, SSE};
use rustix::event::epoll::EventFlags;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// An address that a predecessor still holds is tried so often ...
const MAX_LISTEN_ATTEMPTS: u32 = 100;
/// ... at this interval.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Accepting is tried again after this where there was no capacity.
const ACCEPT_RETRY_INTERVAL: Micros = 20_000;

/// Which of the clients' addresses a connection came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// The platform's.
    Platform,
    /// The one with event streams.
    Sse,
}

/// The listener for event streams.
pub(super) struct SseListener {
    /// The listening socket.
    pub socket: TcpListener,
    /// A stream without an event for so long gets a heartbeat.
    pub heartbeat: Micros,
}

/// The listening sockets for clients.
pub(super) struct Listeners {
    /// The platform's.
    pub platform: TcpListener,
    /// The one for event streams, where it is on.
    pub sse: Option<SseListener>,
    /// Whether epoll watches them.
    is_accepting: bool,
}

impl Listeners {
    /// The heartbeat of event streams; 0 where they are off.
    pub fn heartbeat(&self) -> Micros {
        self.sse.as_ref().map_or(0, |sse| sse.heartbeat)
    }

    /// The socket of an address, where it is on.
    pub fn socket(&self, kind: ListenerKind) -> Option<&TcpListener> {
        match kind {
            ListenerKind::Platform => Some(&self.platform),
            ListenerKind::Sse => self.sse.as_ref().map(|sse| &sse.socket),
        }
    }

    /// With a level-triggered listener and no capacity, every turn would end at once: it is not watched for a while.
    pub fn pause(&mut self, context: &mut Context<'_>) {
        if std::mem::replace(&mut self.is_accepting, false) {
            context.metrics.accept_pauses += 1;
            self.set_interest(context.reactor, EventFlags::empty());
            context.core.set_timer(context.clock.now() + ACCEPT_RETRY_INTERVAL, ACCEPT_TIMER);
        }
    }

    /// Accepts again, unless the listeners have been handed over.
    pub fn resume(&mut self, context: &Context<'_>) {
        if context.lifecycle.has_handed_over() {
            return;
        }
        self.is_accepting = true;
        self.set_interest(context.reactor, EventFlags::IN);
    }

    /// Sets what epoll watches the listeners for.
    fn set_interest(&self, reactor: &Reactor, flags: EventFlags) {
        let platform = reactor.set_watched_events(&self.platform, PLATFORM, flags);
        let sse = self.sse.as_ref().is_none_or(|sse| reactor.set_watched_events(&sse.socket, SSE, flags));
        mothproxy_invariant::invariant!(platform && sse, "epoll does not know a listener");
    }

    /// Has epoll forget the listeners: they go on in another process.
    pub fn hand_over(&mut self, reactor: &Reactor) {
        reactor.unwatch(&self.platform);
        if let Some(sse) = &self.sse {
            reactor.unwatch(&sse.socket);
        }
        self.is_accepting = false;
    }

    /// Takes the listeners back from a successor that has ended. False where epoll refuses one of them.
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
    /// The clients' listeners under this configuration. With `should_retry`, an address in use is waited for, since a
    /// predecessor that hands nothing over may be about to end.
    ///
    /// # Errors
    /// Where an address cannot be listened on.
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
                heartbeat: settings.heartbeat,
            }),
            None => None,
        };
        Ok(Listeners { platform, sse, is_accepting: true })
    }
}

/// Listens on an address, without blocking.
pub(super) fn listen(at: SocketAddr) -> Result<TcpListener, ServerError> {
    let failed = |error| ServerError::Listen(at, error);
    let listener = TcpListener::bind(at).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}

/// Whether an inherited socket is where this configuration wants one.
pub(super) fn is_at(socket: std::io::Result<SocketAddr>, wanted: SocketAddr) -> bool {
    socket.is_ok_and(|at| at.ip() == wanted.ip() && (at.port() == wanted.port() || wanted.port() == 0))
}

/// The predecessor's listening socket, with all that waits in its queue, or a new one.
fn inherit_or_listen(
    inherited: Option<TcpListener>,
    at: SocketAddr,
    should_retry: bool,
) -> Result<TcpListener, ServerError> {
    if let Some(inherited) = inherited.filter(|listener| is_at(listener.local_addr(), at)) {
        return Ok(inherited);
    }
    let retries = if should_retry { MAX_LISTEN_ATTEMPTS } else { 0 };
    for _ in 0..retries {
        match listen(at) {
            Err(ServerError::Listen(_, error)) if error.kind() == ErrorKind::AddrInUse => {
                std::thread::sleep(LISTEN_RETRY_INTERVAL);
            }
            other => return other,
        }
    }
    listen(at)
}
