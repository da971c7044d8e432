//! The intervals between calls to discovery, derived from the protocol's time limits and the settings.

use crate::policy::interface::{Micros, Settings};

/// The time after which a change counts as notified, whether or not it was received, in microseconds. The time runs from when
/// discovery has the change and is reachable. For the changes that a silent watch missed it runs from when the watch fell silent
/// (PROTOCOL, "Figures"; STANDING, "The whole fleet").
pub(super) const NOTIFICATION_DEADLINE: Micros = 6_000_000;
/// The maximum time between the starts of two calls among few dispatchers, and the timeout of their calls, in microseconds. Once
/// discovery is reachable again, [`NOTIFICATION_DEADLINE`] must leave time for the rest of the current call or wait, two refused
/// calls and one that is answered: a quarter each.
pub(super) const POLL_INTERVAL: Micros = NOTIFICATION_DEADLINE / 4;
/// The maximum number of dispatchers that may all call within one [`POLL_INTERVAL`]. A larger number takes turns, because
/// repeated calls would otherwise keep a slow service from answering any of them. With any number, [`NOTIFICATION_DEADLINE`]
/// leaves time for one answered call.
const MAX_UNCOORDINATED_CALLERS: Micros = 10;
/// The assumed time that the service needs for one call, in microseconds, unless the operators' file sets another time. The
/// service handles one call after the other, so the calls of n dispatchers that lost their watches together are spread over n
/// times this.
const SERVICE_TIME: Micros = 20_000;

/// How discovery is reached, and by how many dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoverySettings {
    /// Whether lists are pushed to a local agent, which answers calls at once and puts no load on the service.
    pub is_list_pushed: bool,
    /// The maximum time between polls without a watch, in microseconds; `None` if there is no maximum.
    pub max_poll_interval: Option<Micros>,
    /// The number of dispatchers that share the service.
    pub dispatchers: u32,
}

impl From<&Settings> for DiscoverySettings {
    fn from(settings: &Settings) -> DiscoverySettings {
        DiscoverySettings {
            is_list_pushed: !settings.list_on_request,
            max_poll_interval: settings.max_poll_interval,
            dispatchers: settings.dispatcher_count,
        }
    }
}

impl DiscoverySettings {
    /// The maximum time between the starts of two calls, in microseconds. A failed call and the next one both fit into the
    /// maximum poll interval of the settings, because changes count as notified at a dispatcher that has not called for that
    /// long.
    pub(super) fn call_interval(&self) -> Micros {
        let turn_interval =
            self.slow_service_round().clamp(POLL_INTERVAL, NOTIFICATION_DEADLINE - POLL_INTERVAL);
        self.max_poll_interval.map_or(turn_interval, |max_interval| turn_interval.min(max_interval / 2))
    }

    /// The maximum time between the starts of two calls if the dispatchers do not take turns, in microseconds.
    pub(super) fn uncoordinated_call_interval(&self) -> Micros {
        self.call_interval().min(POLL_INTERVAL)
    }

    /// The duration of one round of calls, one of each dispatcher, at a very slow service, in microseconds.
    pub(super) fn slow_service_round(&self) -> Micros {
        POLL_INTERVAL * Micros::from(self.dispatchers) / MAX_UNCOORDINATED_CALLERS
    }

    /// The span over which the calls of all dispatchers are spread, in microseconds, because all watches may start or end
    /// together. The span is at most one call interval.
    pub(super) fn spread(&self) -> Micros {
        (SERVICE_TIME * Micros::from(self.dispatchers)).min(self.uncoordinated_call_interval())
    }

    /// The span over which calls are spread if missed changes count as notified from a fixed time on, in microseconds. The span
    /// is at most half a call interval, so that the other half is left for a second call.
    pub(super) fn short_spread(&self) -> Micros {
        self.spread().min(self.uncoordinated_call_interval() / 2)
    }

    /// Whether there are so few dispatchers that they need not take turns.
    pub(super) fn may_call_uncoordinated(&self) -> bool {
        Micros::from(self.dispatchers) <= MAX_UNCOORDINATED_CALLERS
    }
}
