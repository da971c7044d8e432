//! Schedules the watch, and the use of the endpoint list that this process started with. [`WatchLiveness`] decides when the
//! watch is opened and for how long that list may be used. The methods here set the timers and notify the core.
//!
//! [`WatchLiveness`]: crate::core::watch_liveness::WatchLiveness

use super::DiscoveryClient;
use super::call::CallEnd;
use crate::core::Core;
use crate::core::watch_liveness::{DiscoverySettings, WatchFailure};
use crate::policy::interface::Micros;
use crate::server::tokens::STALE_LIST_TIMER;

impl DiscoveryClient {
    /// Schedules the first watch, and the times at which the list that this process started with becomes stale or is used
    /// although it is stale. `newest_start` is the latest start of an endpoint on that list.
    pub(in crate::server) fn start(&mut self, core: &mut Core, now: Micros, newest_start: Option<Micros>) {
        let opens_at = self.liveness.start(now);
        self.schedule_watch(core, opens_at);
        if !core.endpoints().is_stale() {
            return;
        }
        let stale_span = self.liveness.revalidate(now, newest_start);
        core.set_timer(stale_span.end, STALE_LIST_TIMER);
        if stale_span.start > now {
            core.set_timer(stale_span.start, STALE_LIST_TIMER);
            core.use_stale_list();
        }
    }

    /// Another dispatcher received a message of this one's predecessor at `seen_at`. For some time after that, the list that
    /// this process started with lacks no change that counts as notified. The report is ignored once that list is in use,
    /// because the message may then have been sent by this process itself.
    pub(in crate::server) fn on_predecessor_seen(&mut self, core: &mut Core, now: Micros, seen_at: Micros) {
        if !core.endpoints().is_stale() {
            return;
        }
        let stale_from = self.liveness.on_predecessor_seen(seen_at.min(now));
        if let Some(stale_from) = stale_from.filter(|from| *from > now) {
            core.set_timer(stale_from, STALE_LIST_TIMER);
            core.use_stale_list();
        }
    }

    /// Suspends or uses the list that this process started with. The list is suspended while it must be revalidated and
    /// discovery has sent no list. Once discovery cannot be reached, or has not answered in time, the list is used unchanged.
    pub(in crate::server) fn check_stale_list(&self, core: &mut Core, now: Micros) {
        match (core.endpoints().is_stale(), self.liveness.is_stale(now)) {
            (true, false) => {
                tracing::warn!("endpoint list stale: discovery silent since the start, using the known list");
                core.use_stale_list();
            }
            (false, true) => core.suspend_stale_list(),
            _ => {}
        }
    }

    /// Applies changed settings. If a local agent pushes lists and no watch is open, sets the watch timer to `now`.
    pub(in crate::server) fn reconfigure(
        &mut self,
        core: &mut Core,
        now: Micros,
        settings: DiscoverySettings,
    ) {
        if self.liveness.reconfigure(settings) {
            self.schedule_watch(core, now);
        }
    }

    /// Whether the watch timer is set.
    pub(super) fn is_watch_scheduled(&self) -> bool {
        self.watch_timer.is_set()
    }

    /// The watch timer has fired. Returns whether to open the watch, which is the case if none is open and pacing is off.
    pub(super) fn is_watch_due(&mut self) -> bool {
        self.watch_timer.on_fired();
        self.watch.is_none() && !self.pacing.is_enabled()
    }

    /// Sets the watch timer.
    pub(super) fn schedule_watch(&mut self, core: &mut Core, at: Micros) {
        self.watch_timer.set(core, Some(at));
    }

    /// Records that the watch, or the call that opens it, has ended. Returns when to open the next one if pacing is off.
    pub(super) fn record_watch_end(&mut self, now: Micros, end: CallEnd) -> Micros {
        let failure = match end {
            CallEnd::Silent => WatchFailure::Silent,
            CallEnd::Unreachable => WatchFailure::Unreachable,
            CallEnd::Refused { .. } | CallEnd::Failed => WatchFailure::Ended,
        };
        self.liveness.on_watch_failed(now, failure)
    }
}
