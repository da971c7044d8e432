//! The queue of the discovery service, which handles one call at a time.

use super::scenario::{AbandonedCallCost, RunConfig};
use mothproxy::Micros;
use std::collections::VecDeque;

/// A call, or the wait before one: its caller, and the caller's number for it. What was meant for an earlier one is void.
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

/// What the service has to know of a caller.
#[derive(Clone, Copy)]
pub struct CallerView {
    /// It has given the call up.
    pub is_gone: bool,
    /// It holds no list.
    pub needs_full_list: bool,
}

/// A call that the service handles now.
pub struct HandledCall {
    pub id: CallId,
    /// The service's time for it.
    pub service_time: Micros,
    /// Whether it is answered with a list, not refused.
    pub is_answered: bool,
    /// Whether nobody reads what the service answers.
    pub is_wasted: bool,
}

/// The service.
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

    /// Takes a call out of the queue; whether it was there.
    pub fn remove(&mut self, id: CallId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued.id != id);
        self.queue.len() < before
    }

    /// The next call that costs the service time; those before it that cost none are dropped.
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
