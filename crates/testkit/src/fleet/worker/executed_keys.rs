//! The idempotency keys that the workers of a cell share: the first job with a key is executed, and repeats wait for its
//! result.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// The maximum number of keys that the workers of a fleet remember. Jobs with further keys run without deduplication.
const MAX_KEYS: usize = 1 << 18;

/// The state of a key within a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum KeyState {
    /// The key's job waits or runs.
    Open,
    /// The key's job ended without having run.
    NeverRan,
    /// The key's job ran, and its result is unknown.
    Lost,
    /// The key's job ran with this result.
    Result(String),
}

/// A key within a cell.
#[derive(Clone, PartialEq, Eq, Hash)]
struct CellKey {
    cell: u32,
    key: String,
}

/// The keys of all cells.
#[derive(Default)]
pub(super) struct ExecutedKeys {
    states: Mutex<HashMap<CellKey, Arc<watch::Sender<KeyState>>>>,
}

/// How a worker must handle a job with a key.
pub(super) enum KeyClaim<'a> {
    /// The job is the first one with the key, and is executed.
    Execute(KeyExecution<'a>),
    /// Another job with the key is being executed or was.
    Repeat(Arc<watch::Sender<KeyState>>),
    /// The maximum number of keys is remembered: the job is executed without deduplication.
    Untracked,
}

impl ExecutedKeys {
    /// Claims a key for a job; the first claim gets to execute it.
    pub(super) fn claim(&self, cell: u32, key: &str) -> KeyClaim<'_> {
        let cell_key = CellKey { cell, key: key.to_owned() };
        let mut states = self.states.lock().expect("mutex poisoned");
        if let Some(state) = states.get(&cell_key) {
            return KeyClaim::Repeat(state.clone());
        }
        if states.len() >= MAX_KEYS {
            return KeyClaim::Untracked;
        }
        let state = Arc::new(watch::Sender::new(KeyState::Open));
        states.insert(cell_key.clone(), state.clone());
        KeyClaim::Execute(KeyExecution { keys: self, cell_key, state, has_run: false })
    }
}

/// The one execution of a key. If it ends before the job ran, the key is removed from the cell's keys.
pub(super) struct KeyExecution<'a> {
    keys: &'a ExecutedKeys,
    cell_key: CellKey,
    state: Arc<watch::Sender<KeyState>>,
    has_run: bool,
}

impl KeyExecution<'_> {
    /// Records that the job begins to run.
    pub(super) fn on_run(&mut self) {
        self.has_run = true;
    }

    /// Records the result of the job, which repeats get.
    pub(super) fn on_result(&self, result: &str) {
        self.state.send_replace(KeyState::Result(result.to_owned()));
    }
}

impl Drop for KeyExecution<'_> {
    fn drop(&mut self) {
        if *self.state.borrow() != KeyState::Open {
            return;
        }
        if !self.has_run {
            self.keys.states.lock().expect("mutex poisoned").remove(&self.cell_key);
        }
        self.state.send_replace(if self.has_run { KeyState::Lost } else { KeyState::NeverRan });
    }
}
