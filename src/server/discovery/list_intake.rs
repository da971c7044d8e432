//! The list of a call that is being read or applied, a part in each turn of the event loop.

use crate::config::{EndpointList, ListReader};

/// The maximum number of rows that are read, or applied, in one turn of the event loop.
pub(super) const MAX_ROWS_PER_TURN: usize = 256;

/// The list of a call that is not finished.
#[derive(Debug, Default)]
pub(super) enum ListIntake {
    /// There is none.
    #[default]
    Idle,
    /// The rows are being read.
    Reading(Box<ListReader>),
    /// The list has been read, and waits until another list has been applied.
    Read(EndpointList),
    /// The rows are being applied; those before `next_row` have been.
    Applying {
        /// The list.
        list: EndpointList,
        /// The index of the next row.
        next_row: usize,
    },
}

impl ListIntake {
    /// Whether there is no list.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self, ListIntake::Idle)
    }
}

/// The rows that may still be read or applied in this turn.
#[derive(Debug)]
pub(super) struct RowBudget(usize);

impl RowBudget {
    /// The budget of a turn.
    pub(super) fn of_turn() -> RowBudget {
        RowBudget(MAX_ROWS_PER_TURN)
    }

    /// The number of rows that are left.
    pub(super) fn left(&self) -> usize {
        self.0
    }

    /// Takes rows that were read or applied. Each list counts as one row at least, so that a series of short ones is bounded too.
    pub(super) fn take(&mut self, rows: usize) {
        self.0 = self.0.saturating_sub(rows.max(1));
    }
}
