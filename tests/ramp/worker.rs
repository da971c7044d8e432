//! A simulated worker: its slots, its queue, and the calls that it got while it warmed up.

use crate::scenario::{COLLAPSE_WINDOW, END, INITIAL_CAPACITY, SLOTS, WARM_UP_TIME};
use mothproxy::*;
use std::collections::VecDeque;

/// Calls that wait at a worker before it refuses more.
const MAX_QUEUED: usize = 40;

/// An attempt on its way to a worker or there: the process of the dispatcher that sent it, its job and its number.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub dispatcher: u32,
    /// Which process of this dispatcher sent it: the number of restarts before.
    pub process: u64,
    pub job: JobId,
    pub attempt: u32,
}

/// A stretch of the collapse window at a worker that is warming up.
#[derive(Clone, Copy)]
pub struct Window {
    /// The calls that came, as a part of those that may come.
    pub fill: f64,
    pub calls: usize,
}

pub struct Worker {
    /// How discovery lists it. Its weight is N; the module only compares weights.
    pub entry: EndpointEntry,
    /// How often it has started anew in place.
    pub process: u64,
    pub running: usize,
    pub queue: VecDeque<Call>,
    /// When calls came of dispatchers that had been notified of its start.
    pub notified_calls: Vec<Micros>,
}

impl Worker {
    pub fn new(entry: EndpointEntry) -> Worker {
        Worker { entry, process: 0, running: 0, queue: VecDeque::new(), notified_calls: Vec::new() }
    }

    /// Whether it has started during the day.
    pub fn has_started_anew(&self) -> bool {
        self.entry.started_at.is_some()
    }

    /// The calls that wait at it and are lost with its process: it starts anew in place.
    pub fn restart(&mut self, entry: EndpointEntry) -> VecDeque<Call> {
        self.entry = entry;
        self.process += 1;
        self.running = 0;
        std::mem::take(&mut self.queue)
    }

    /// Takes a call in, if its queue is not full.
    pub fn enqueue(&mut self, call: Call) -> Result<(), QueueFull> {
        if self.queue.len() >= MAX_QUEUED {
            return Err(QueueFull);
        }
        self.queue.push_back(call);
        Ok(())
    }

    /// Starts what has waited longest, if a slot is free.
    pub fn start_next(&mut self) -> Option<Call> {
        if self.running == SLOTS {
            return None;
        }
        let call = self.queue.pop_front()?;
        self.running += 1;
        Some(call)
    }

    /// What it says of its load.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            cpu: Some(self.running as f64 / SLOTS as f64),
            free_slots: Some((SLOTS - self.running) as f64),
            ..LoadReport::default()
        }
    }

    /// The part of its capacity that it has at a time.
    pub fn capacity(&self, at: Micros) -> f64 {
        let Some(start) = self.entry.started_at else { return 1.0 };
        let warmed_up = at.saturating_sub(start) as f64 / WARM_UP_TIME as f64;
        INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * warmed_up.min(1.0)
    }

    /// When calls came while it warmed up.
    fn warm_up_calls(&self) -> Vec<Micros> {
        let Some(start) = self.entry.started_at else { return Vec::new() };
        let warm_up = start..start + WARM_UP_TIME;
        self.notified_calls.iter().copied().filter(|at| warm_up.contains(at)).collect()
    }

    /// How many calls came while it warmed up.
    pub fn warm_up_call_count(&self) -> usize {
        self.warm_up_calls().len()
    }

    /// How many calls it could have run while it warmed up, as far as the day goes.
    pub fn warm_up_capacity(&self, mean_job_duration: f64) -> f64 {
        let age = END.saturating_sub(self.entry.started_at.unwrap_or(0)).min(WARM_UP_TIME) as f64;
        let mean_capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age / WARM_UP_TIME as f64 / 2.0;
        mean_capacity * age * SLOTS as f64 / mean_job_duration
    }

    /// The window that held the most of what it may hold.
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

    /// The calls that a window from this time on may hold.
    fn max_window_calls(&self, from: Micros) -> f64 {
        let budget = self.capacity(from) / INITIAL_CAPACITY * self.entry.weight;
        budget + 2.0 * budget.sqrt() + 2.0
    }
}

/// A worker's queue holds no more.
pub struct QueueFull;
