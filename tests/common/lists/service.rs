//! The queue of the simulated discovery service, which handles one call at a time.

use super::scenario::{AbandonedCallCost, RunConfig};
use mothproxy::Micros;
use std::collections::VecDeque;

/// Identifies a call or the wait before one: the caller, and the caller's number of the turn. Events for an earlier turn are
/// ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    pub caller: usize,
    pub turn: u64,
}

/// A call in the queue.
#[derive(Clone, Copy)]
struct QueuedCall {
    id: CallId,
    arrived_at: Micros,
}

/// The state of a caller that the service needs.
#[derive(Clone, Copy)]
pub struct CallerView {
    /// Whether the caller has closed the call.
    pub is_gone: bool,
    /// Whether the caller has no list.
    pub needs_full_list: bool,
}

/// A call that the service handles now.
pub struct HandledCall {
    pub id: CallId,
    /// The service's time for the call, in microseconds.
    pub service_time: Micros,
    /// Whether the response is a list; otherwise the call is refused.
    pub is_answered: bool,
    /// Whether nobody reads the response.
    pub is_wasted: bool,
}

/// The simulated service.
#[derive(Default)]
pub struct Service {
    queue: VecDeque<QueuedCall>,
    pub is_busy: bool,
    pub is_down: bool,
}

impl Service {
    pub fn enqueue(&mut self, id: CallId, now: Micros) {
        self.queue.push_back(QueuedCall { id, arrived_at: now });
    }

    /// Removes a call from the queue. Returns whether the call was in the queue.
    pub fn remove(&mut self, id: CallId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued.id != id);
        self.queue.len() < before
    }

    /// Removes and returns the next call that the service spends time on. Calls before it that cost no time are dropped.
    pub fn take_next(
        &mut self,
        config: &RunConfig,
        now: Micros,
        caller: impl Fn(CallId) -> CallerView,
    ) -> Option<HandledCall> {
        loop {
            let QueuedCall { id, arrived_at } = self.queue.pop_front()?;
            let CallerView { is_gone, needs_full_list } = caller(id);
            let is_late = now - arrived_at > config.max_wait;
            let costs_nothing = match config.abandoned_call_cost {
                AbandonedCallCost::Nothing => is_gone,
                AbandonedCallCost::Gone => is_gone && is_late,
                AbandonedCallCost::Late => false,
            };
            if costs_nothing {
                continue;
            }
            let service_time = if is_late { config.call_time } else { config.service_time(needs_full_list) };
            let is_wasted = is_gone || is_late;
            return Some(HandledCall { id, service_time, is_answered: !is_late, is_wasted });
        }
    }
}
