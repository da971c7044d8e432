//! A simulated worker: its slots, its queue, and the calls that it gets while it is warming up.

use crate::scenario::{COLLAPSE_WINDOW, END, INITIAL_CAPACITY, SLOTS, WARM_UP_TIME};
use mothproxy::*;
use std::collections::VecDeque;

/// The number of calls that wait at a worker before it rejects more.
const MAX_QUEUED: usize = 40;

/// An attempt on its way to a worker or at the worker.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub dispatcher: u32,
    /// The process of this dispatcher that sent the call, as the number of its restarts before.
    pub process: u64,
    pub job: JobId,
    pub attempt: u32,
}

/// A collapse window at a worker that is warming up.
#[derive(Clone, Copy)]
pub struct Window {
    /// The calls that arrived, as a fraction of those that the budget allows.
    pub fill: f64,
    /// The number of calls that arrived.
    pub calls: usize,
}

pub struct Worker {
    /// The worker's list entry. Its weight is N; the module only compares weights.
    pub entry: EndpointEntry,
    /// The worker's present process, as the number of its restarts in place.
    pub process: u64,
    /// The number of running calls.
    pub running: usize,
    pub queue: VecDeque<Call>,
    /// The arrival times of the calls of dispatchers that had been notified of the worker's start.
    pub notified_calls: Vec<Micros>,
}

impl Worker {
    pub fn new(entry: EndpointEntry) -> Worker {
        Worker { entry, process: 0, running: 0, queue: VecDeque::new(), notified_calls: Vec::new() }
    }

    /// Whether the worker has started during the simulation.
    pub fn has_started_during_simulation(&self) -> bool {
        self.entry.started_at.is_some()
    }

    /// Restarts the worker in place. Returns the queued calls, which are lost with the old process.
    pub fn restart(&mut self, entry: EndpointEntry) -> VecDeque<Call> {
        self.entry = entry;
        self.process += 1;
        self.running = 0;
        std::mem::take(&mut self.queue)
    }

    /// Queues a call, unless the queue is full.
    pub fn enqueue(&mut self, call: Call) -> Result<(), QueueFull> {
        if self.queue.len() >= MAX_QUEUED {
            return Err(QueueFull);
        }
        self.queue.push_back(call);
        Ok(())
    }

    /// Starts the oldest queued call, if a slot is free.
    pub fn start_next(&mut self) -> Option<Call> {
        if self.running == SLOTS {
            return None;
        }
        let call = self.queue.pop_front()?;
        self.running += 1;
        Some(call)
    }

    /// The worker's load report.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            cpu: Some(self.running as f64 / SLOTS as f64),
            free_slots: Some((SLOTS - self.running) as f64),
            ..LoadReport::default()
        }
    }

    /// The fraction of its full capacity that the worker has at a time.
    pub fn capacity(&self, at: Micros) -> f64 {
        let Some(start) = self.entry.started_at else { return 1.0 };
        let warmed_up = at.saturating_sub(start) as f64 / WARM_UP_TIME as f64;
        INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * warmed_up.min(1.0)
    }

    /// The arrival times of the calls that arrived during the warm-up.
    fn warm_up_calls(&self) -> Vec<Micros> {
        let Some(start) = self.entry.started_at else { return Vec::new() };
        let warm_up = start..start + WARM_UP_TIME;
        self.notified_calls.iter().copied().filter(|at| warm_up.contains(at)).collect()
    }

    /// The number of calls that arrived during the warm-up.
    pub fn warm_up_call_count(&self) -> usize {
        self.warm_up_calls().len()
    }

    /// The number of calls that the worker could have run during its warm-up, up to the end of the simulation.
    pub fn warm_up_capacity(&self, mean_job_duration: f64) -> f64 {
        let age = END.saturating_sub(self.entry.started_at.unwrap_or(0)).min(WARM_UP_TIME) as f64;
        let mean_capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age / WARM_UP_TIME as f64 / 2.0;
        mean_capacity * age * SLOTS as f64 / mean_job_duration
    }

    /// The window with the greatest fill.
    pub fn fullest_window(&self) -> Window {
        let calls = self.warm_up_calls();
        let mut fullest = Window { fill: 0.0, calls: 0 };
        for from in &calls {
            let window = *from..*from + COLLAPSE_WINDOW;
            let count = calls.iter().filter(|at| window.contains(at)).count();
            let fill = count as f64 / self.max_window_calls(*from);
            if fill > fullest.fill {
                fullest = Window { fill, calls: count };
            }
        }
        fullest
    }

    /// The number of calls that the budget allows in a window that starts at this time.
    fn max_window_calls(&self, from: Micros) -> f64 {
        let budget = self.capacity(from) / INITIAL_CAPACITY * self.entry.weight;
        budget + 2.0 * budget.sqrt() + 2.0
    }
}

/// The error for a call that arrives while the worker's queue is full.
pub struct QueueFull;
