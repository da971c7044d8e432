//! Whether this dispatcher may lack changes of discovery's list.

use super::settings::NOTIFICATION_DEADLINE;
use crate::policy::interface::Micros;

/// How long after a move to another service at SIGHUP the changes of that service count as notified, in microseconds (STANDING,
/// "The whole fleet").
const MOVED_NOTIFICATION_DEADLINE: Micros = 4_000_000;

/// Whether this dispatcher may lack changes of discovery's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Freshness {
    /// No changes are known to be missing.
    #[default]
    UpToDate,
    /// A watch fell silent, and no watch has sent data since. The missed changes count as notified from `notified_from` on.
    Behind { notified_from: Micros },
    /// The dispatcher has moved to another service, which has sent no list yet. The changes of that service count as notified
    /// from `notified_from` on.
    Moved { notified_from: Micros },
}

impl Freshness {
    /// The state after a move to another service at `now`.
    pub fn moved(now: Micros) -> Freshness {
        Freshness::Moved { notified_from: now + MOVED_NOTIFICATION_DEADLINE }
    }

    /// The state after a live watch, which last sent data at `last_data_at`, fell silent.
    pub fn after_silence(self, last_data_at: Micros) -> Freshness {
        match self {
            Freshness::UpToDate => Freshness::Behind { notified_from: last_data_at + NOTIFICATION_DEADLINE },
            Freshness::Behind { .. } | Freshness::Moved { .. } => self,
        }
    }

    /// From when on the changes that may be missing count as notified; `None` if no changes are missing.
    pub fn notified_from(self) -> Option<Micros> {
        match self {
            Freshness::UpToDate => None,
            Freshness::Behind { notified_from } | Freshness::Moved { notified_from } => Some(notified_from),
        }
    }
}
