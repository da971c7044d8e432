//! The intervals at which discovery is called, from the protocol's figures and the settings.

use crate::policy::interface::{Micros, Settings};

/// A change counts as notified this long after discovery had it and could be reached, and what a silent watch missed this long
/// after it fell silent, whether it arrived or not (PROTOCOL, "Figures"; STANDING, "The whole fleet").
pub(super) const NOTIFICATION_DEADLINE: Micros = 6_000_000;
/// From the moment at which discovery can be reached again, [`NOTIFICATION_DEADLINE`] has to hold the rest of a call or wait under
/// way, two calls that are refused, and one that is answered: a quarter each. Among a few dispatchers a call begins at the latest
/// this long after the one before it, and is given up this long after it began.
pub(super) const POLL_INTERVAL: Micros = NOTIFICATION_DEADLINE / 4;
/// This many dispatchers may call within one [`POLL_INTERVAL`]. More of them take turns, or a slow service would be kept from
/// answering any by those that call again; however many they are, there is time for one call, which is answered, within
/// [`NOTIFICATION_DEADLINE`].
const MAX_UNCOORDINATED_CALLERS: Micros = 10;
/// What the service is taken to need for a call, where the operators' file says nothing else: it handles calls in turn, so
/// those of n dispatchers that lost their watches together are spread over n times this.
const SERVICE_TIME: Micros = 20_000;

/// How discovery is reached, and by how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoverySettings {
    /// Lists are pushed to an agent of the own machine, which answers at once and at no cost.
    pub is_pushed: bool,
    /// Without a watch, the list must be fetched within this.
    pub max_poll_interval: Option<Micros>,
    /// How many dispatchers share the service.
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
    /// The longest time between the beginnings of two calls. Both a call that failed and the next one lie within the settings'
    /// poll interval: a dispatcher that has not called for so long counts as notified.
    pub(super) fn call_interval(&self) -> Micros {
        let fair = self.slow_turn().clamp(POLL_INTERVAL, NOTIFICATION_DEADLINE - POLL_INTERVAL);
        self.max_poll_interval.map_or(fair, |within| fair.min(within / 2))
    }

    /// The same where turns are not waited for.
    pub(super) fn hurried_call_interval(&self) -> Micros {
        self.call_interval().min(POLL_INTERVAL)
    }

    /// How long the calls of all dispatchers take, in turn, at a service that is very slow.
    pub(super) fn slow_turn(&self) -> Micros {
        POLL_INTERVAL * Micros::from(self.dispatchers) / MAX_UNCOORDINATED_CALLERS
    }

    /// All watches may end at once, and all may start at once: their dispatchers call within this, one interval at most.
    pub(super) fn spread(&self) -> Micros {
        (SERVICE_TIME * Micros::from(self.dispatchers)).min(self.hurried_call_interval())
    }

    /// The same where what was missed has a time from which it counts: of one interval, half is left for a second call.
    pub(super) fn hurried_spread(&self) -> Micros {
        self.spread().min(self.hurried_call_interval() / 2)
    }

    /// Whether there are so few dispatchers that they need not take turns.
    pub(super) fn are_few(&self) -> bool {
        Micros::from(self.dispatchers) <= MAX_UNCOORDINATED_CALLERS
    }
}
