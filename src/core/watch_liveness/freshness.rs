//! Whether this dispatcher may lack changes of discovery's list.

use super::settings::NOTIFICATION_DEADLINE;
use crate::policy::interface::Micros;

/// How long after a move to another service at SIGHUP its changes count as notified, in microseconds (STANDING, "The whole
/// fleet").
const MOVED_NOTIFICATION_DEADLINE: Micros = 4_000_000;

/// Whether this dispatcher may lack changes of discovery's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Freshness {
    /// It lacks no changes, as far as it knows.
    #[default]
    UpToDate,
    /// A watch fell silent, and no watch has sent data since. The missed changes count as notified from this time on.
    Behind { notified_from: Micros },
    /// Another service is used and has sent no list yet. Its changes count as notified from this time on.
    Moved { notified_from: Micros },
}

impl Freshness {
    /// The state after a move to another service at `now`.
    pub fn moved(now: Micros) -> Freshness {
        Freshness::Moved { notified_from: now + MOVED_NOTIFICATION_DEADLINE }
    }

    /// The state after a live watch fell silent that sent its last data at `last_data_at`.
    pub fn after_silence(self, last_data_at: Micros) -> Freshness {
        match self {
            Freshness::UpToDate => Freshness::Behind { notified_from: last_data_at + NOTIFICATION_DEADLINE },
            Freshness::Behind { .. } | Freshness::Moved { .. } => self,
        }
    }

    /// From when on the changes that may be missing count as notified; `None` if none are missing.
    pub fn notified_from(self) -> Option<Micros> {
        match self {
            Freshness::UpToDate => None,
            Freshness::Behind { notified_from } | Freshness::Moved { notified_from } => Some(notified_from),
        }
    }
}
