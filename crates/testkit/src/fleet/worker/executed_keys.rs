//! The idempotency keys that the workers of a cell know: whoever has a key first executes it, repeats wait for its result.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// Keys that the workers of a fleet remember; later ones run without memory.
const MAX_KEYS: usize = 1 << 18;

/// What became of a key within a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum KeyState {
    /// It waits or runs.
    Open,
    /// It ended without having run.
    NeverRan,
    /// It ran, and nobody knows how it ended.
    Lost,
    /// It ran and gave this.
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

/// What a worker may do with a job that has a key.
pub(super) enum KeyClaim<'a> {
    /// It is the first and executes it.
    Execute(KeyExecution<'a>),
    /// Another one executes it or did.
    Repeat(Arc<watch::Sender<KeyState>>),
    /// Too many keys are remembered: it executes it without memory.
    Unremembered,
}

impl ExecutedKeys {
    /// Has a key executed by whoever claims it first.
    pub(super) fn claim(&self, cell: u32, key: &str) -> KeyClaim<'_> {
        let cell_key = CellKey { cell, key: key.to_owned() };
        let mut states = self.states.lock().expect("a lock");
        if let Some(state) = states.get(&cell_key) {
            return KeyClaim::Repeat(state.clone());
        }
        if states.len() >= MAX_KEYS {
            return KeyClaim::Unremembered;
        }
        let state = Arc::new(watch::Sender::new(KeyState::Open));
        states.insert(cell_key.clone(), state.clone());
        KeyClaim::Execute(KeyExecution { keys: self, cell_key, state, has_run: false })
    }
}

/// The one execution of a key. If it ends without a result, and nothing had run, the cell forgets the key.
pub(super) struct KeyExecution<'a> {
    keys: &'a ExecutedKeys,
    cell_key: CellKey,
    state: Arc<watch::Sender<KeyState>>,
    has_run: bool,
}

impl KeyExecution<'_> {
    /// Its work begins.
    pub(super) fn on_run(&mut self) {
        self.has_run = true;
    }

    /// Its work is done, with this result, which repeats get.
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
            self.keys.states.lock().expect("a lock").remove(&self.cell_key);
        }
        self.state.send_replace(if self.has_run { KeyState::Lost } else { KeyState::NeverRan });
    }
}
