//! The intervals between calls to discovery, derived from the protocol's figures and the settings.

use crate::policy::interface::{Micros, Settings};

/// How long after discovery has a change and can be reached the change counts as notified, received or not, in microseconds. The
/// changes that a silent watch missed count this long after it fell silent (PROTOCOL, "Figures"; STANDING, "The whole fleet").
pub(super) const NOTIFICATION_DEADLINE: Micros = 6_000_000;
/// The maximum time between the starts of two calls among few dispatchers, and the timeout of a call there, in microseconds. From
/// the moment at which discovery can be reached again, [`NOTIFICATION_DEADLINE`] must have room for the rest of a current call or
/// wait, two refused calls and one that is answered: a quarter each.
pub(super) const POLL_INTERVAL: Micros = NOTIFICATION_DEADLINE / 4;
/// How many dispatchers may call within one [`POLL_INTERVAL`]. A larger number takes turns, because otherwise repeated calls
/// would keep a slow service from answering any of them. With any number, [`NOTIFICATION_DEADLINE`] has room for one answered
/// call.
const MAX_UNCOORDINATED_CALLERS: Micros = 10;
/// The assumed time that the service needs for one call if the operators' file does not set another, in microseconds. It handles
/// calls in turn, so the calls of n dispatchers that lost their watches together are spread over n times this.
const SERVICE_TIME: Micros = 20_000;

/// How discovery is reached, and by how many dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoverySettings {
    /// Whether lists are pushed to a local agent, which answers at once and at no cost.
    pub is_pushed: bool,
    /// The maximum time between polls without a watch, in microseconds; `None` if there is no maximum.
    pub max_poll_interval: Option<Micros>,
    /// The number of dispatchers that share the service.
    pub dispatchers: u32,
}

impl From<&Settings> for DiscoverySettings {
    fn from(settings: &Settings) -> DiscoverySettings {
        DiscoverySettings {
            is_pushed: !settings.list_on_request,
            max_poll_interval: settings.max_poll_interval,
            dispatchers: settings.dispatcher_count,
        }
    }
}

impl DiscoverySettings {
    /// The maximum time between the starts of two calls, in microseconds. A failed call and the next one both fit into the
    /// maximum poll interval of the settings, because a dispatcher that has not called for that long counts as notified.
    pub(super) fn call_interval(&self) -> Micros {
        let fair = self.slow_service_round().clamp(POLL_INTERVAL, NOTIFICATION_DEADLINE - POLL_INTERVAL);
        self.max_poll_interval.map_or(fair, |within| fair.min(within / 2))
    }

    /// The maximum time between the starts of two calls if the dispatchers do not take turns, in microseconds.
    pub(super) fn uncoordinated_call_interval(&self) -> Micros {
        self.call_interval().min(POLL_INTERVAL)
    }

    /// How long one call of each dispatcher takes at a very slow service, in turn, in microseconds.
    pub(super) fn slow_service_round(&self) -> Micros {
        POLL_INTERVAL * Micros::from(self.dispatchers) / MAX_UNCOORDINATED_CALLERS
    }

    /// The span over which the calls of all dispatchers are spread, in microseconds, because all watches may start or end
    /// together. It is at most one interval.
    pub(super) fn spread(&self) -> Micros {
        (SERVICE_TIME * Micros::from(self.dispatchers)).min(self.uncoordinated_call_interval())
    }

    /// The span if missed changes count as notified from a fixed time on, in microseconds. It is at most half an interval, so
    /// that the other half is left for a second call.
    pub(super) fn short_spread(&self) -> Micros {
        self.spread().min(self.uncoordinated_call_interval() / 2)
    }

    /// Whether the dispatchers are few enough that they need not take turns.
    pub(super) fn may_call_uncoordinated(&self) -> bool {
        Micros::from(self.dispatchers) <= MAX_UNCOORDINATED_CALLERS
    }
}
