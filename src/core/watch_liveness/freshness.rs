//! Whether this dispatcher may lack changes that discovery has.

use super::settings::NOTIFICATION_DEADLINE;
use crate::policy::interface::Micros;

/// After SIGHUP a change counts as notified this soon (STANDING, "The whole fleet").
const MOVED_NOTIFICATION_DEADLINE: Micros = 4_000_000;

/// Whether this dispatcher may lack changes that discovery has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Freshness {
    /// It lacks none that it knows of.
    #[default]
    UpToDate,
    /// A watch fell silent, and none has sent anything since: what it missed counts as notified from this time on.
    Behind { counts_from: Micros },
    /// Another service counts, and has sent no list yet: what it has counts as notified from this time on.
    Moved { counts_from: Micros },
}

impl Freshness {
    /// Another service counts from `now` on.
    pub fn moved(now: Micros) -> Freshness {
        Freshness::Moved { counts_from: now + MOVED_NOTIFICATION_DEADLINE }
    }

    /// The same after a watch that was live fell silent, which last sent something at this time.
    pub fn after_silence(self, last_data_at: Micros) -> Freshness {
        match self {
            Freshness::UpToDate => Freshness::Behind { counts_from: last_data_at + NOTIFICATION_DEADLINE },
            Freshness::Behind { .. } | Freshness::Moved { .. } => self,
        }
    }

    /// From when on what is missing counts as notified, if anything may be missing.
    pub fn counts_from(self) -> Option<Micros> {
        match self {
            Freshness::UpToDate => None,
            Freshness::Behind { counts_from } | Freshness::Moved { counts_from } => Some(counts_from),
        }
    }
}
