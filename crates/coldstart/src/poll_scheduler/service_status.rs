//! What the members say of the list service, and what follows from all of it together.

use crate::{Micros, Millis};
use serde::{Deserialize, Serialize};

/// Statuses older than this say nothing of whether the service is down now, in milliseconds.
const OUTAGE_EVIDENCE_TTL_MS: Millis = 60_000;
/// A refusal by a busy service lengthens rounds for this long, in milliseconds.
const BUSY_EVIDENCE_TTL_MS: Millis = 10_000;
/// How long a call took says what calls take for this long, in milliseconds.
const ANSWER_TIME_TTL_MS: Millis = 15_000;
/// So many members have to say how long their calls took: a slow service can then be distinguished from a long queue.
const MIN_ANSWER_TIMES: usize = 8;
/// A service that is kept just busy has a queue of so many, the call itself included.
const SHORT_QUEUE: u64 = 3;
/// Rounds are doubled at most this often.
pub(super) const MAX_BACKOFF_LEVEL: u8 = 4;
/// A length that differs by less than this factor counts as the same.
pub(super) const SIGNIFICANT_CHANGE: f64 = 1.5;
/// A member that sees the service down need not say so once so many others have.
const ENOUGH_OUTAGE_REPORTS: usize = 3;
/// An answer is news if it is this much later than the last that others have said, in milliseconds.
const ANSWER_NEWS_MS: Millis = 1_000;

/// What one member says of the list service, the payload of slot 0 of this crate's facts. It is encoded by position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The generation of the list that it holds.
    pub generation: u64,
    /// It has a watch.
    pub is_watching: bool,
    /// When a call of it was last answered, in Unix milliseconds; 0 for never.
    pub answered_at_ms: Millis,
    /// When a call of it last found the service down, in Unix milliseconds; 0 for never.
    pub failed_at_ms: Millis,
    /// When a call of it was last refused by a busy service, in Unix milliseconds; 0 for never.
    pub refused_at_ms: Millis,
    /// How long its last answered call took, in milliseconds.
    pub waited_ms: u32,
    /// How often it has doubled its rounds.
    pub backoff_level: u8,
}

/// The statuses of all members, and which of them are there. Times are Unix milliseconds.
#[derive(Debug)]
pub(super) struct MemberStatuses {
    place: usize,
    pub own: ServiceStatus,
    /// By place; none for the own.
    peers: Vec<Option<ServiceStatus>>,
    /// By place.
    is_present: Vec<bool>,
}

impl MemberStatuses {
    /// The member at this place, which holds this list; nothing is known of the others.
    pub fn new(place: u16, places: u16, generation: u64) -> MemberStatuses {
        MemberStatuses {
            place: usize::from(place),
            own: ServiceStatus { generation, ..ServiceStatus::default() },
            peers: vec![None; usize::from(places)],
            is_present: vec![false; usize::from(places)],
        }
    }

    /// All of it is void but the list that is held.
    pub fn reset(&mut self) {
        self.own = ServiceStatus { generation: self.own.generation, ..ServiceStatus::default() };
        self.peers.fill(None);
    }

    /// Which places are there; those beyond the list are not.
    pub fn set_present(&mut self, is_present: &[bool]) {
        for (place, present) in self.is_present.iter_mut().enumerate() {
            *present = is_present.get(place).copied().unwrap_or(false);
        }
    }

    /// Takes in a status; false where there is no such place.
    pub fn set_peer(&mut self, place: u16, status: ServiceStatus) -> bool {
        let known = self.peers.get_mut(usize::from(place));
        known.is_some_and(|known| {
            *known = Some(status);
            true
        })
    }

    /// Drops the status of a place; false where there is no such place.
    pub fn remove_peer(&mut self, place: u16) -> bool {
        let known = self.peers.get_mut(usize::from(place));
        known.is_some_and(|known| {
            *known = None;
            true
        })
    }

    /// How many others are there.
    pub fn present_others(&self) -> u64 {
        let others = self.is_present.iter().enumerate().filter(|(place, _)| *place != self.place);
        others.filter(|(_, is_present)| **is_present).count() as u64
    }

    /// How many others hold a newer list.
    pub fn others_with_newer_list(&self) -> u64 {
        self.peers().filter(|status| status.generation > self.own.generation).count() as u64
    }

    /// How many others hold a list from a watch that they had before a time and that the service has not broken since.
    pub fn others_with_watch_since_before(&self, time_ms: Millis) -> u64 {
        // Nobody's watch outlives a time at which the service was down, whatever was last said of it.
        let last_failure = self.all().map(|status| status.failed_at_ms).max().unwrap_or(0);
        let holds = |status: &&ServiceStatus| {
            status.is_watching && status.answered_at_ms < time_ms && status.answered_at_ms > last_failure
        };
        self.peers().filter(holds).count() as u64
    }

    /// Whether the service counts as down: two members found it so since anybody was last answered, or one did and nobody
    /// is known to have a watch.
    pub fn is_service_down(&self, now_ms: Millis) -> bool {
        // In one pass, since every member does this at every wake over the statuses of all.
        let (mut last_answer, mut last_failure, mut is_watched) = (0, 0, false);
        for status in self.all() {
            last_answer = last_answer.max(status.answered_at_ms);
            last_failure = last_failure.max(status.failed_at_ms);
            is_watched |= status.is_watching;
        }
        let reports = self.all().filter(|status| status.failed_at_ms > last_answer).count();
        let is_fresh = now_ms.saturating_sub(last_failure) < OUTAGE_EVIDENCE_TTL_MS;
        is_fresh && (reports >= 2 || reports == 1 && !is_watched)
    }

    /// Whether the own status changes what others do: too few of them have said the same of the present state of the
    /// service, or none holds this generation.
    pub fn has_news(&self, now_ms: Millis) -> bool {
        if Self::level_of(std::iter::once(&self.own), now_ms) > Self::level_of(self.peers(), now_ms) {
            return true;
        }
        let last_answer = self.peers().map(|status| status.answered_at_ms).max().unwrap_or(0);
        let reports = self.peers().filter(|status| status.failed_at_ms > last_answer).count();
        if self.own.failed_at_ms > self.own.answered_at_ms {
            return self.own.failed_at_ms > last_answer && reports < ENOUGH_OUTAGE_REPORTS;
        }
        let newest = self.peers().map(|status| status.generation).max().unwrap_or(0);
        let is_later = self.own.answered_at_ms > last_answer + ANSWER_NEWS_MS;
        self.own.answered_at_ms > 0 && (self.own.generation > newest || reports > 0 || is_later)
    }

    /// How often rounds are doubled, by what all members say.
    pub fn backoff_level(&self, now_ms: Millis) -> u8 {
        Self::level_of(self.all(), now_ms)
    }

    /// What a call costs the service in microseconds, where enough members say how long theirs took: the least of that.
    /// Up to a short queue above `configured` counts as `configured`: rounds of one length have slots that do not
    /// overlap.
    pub fn answer_time(&self, configured: Micros, now_ms: Millis) -> Option<Micros> {
        let oldest = now_ms.saturating_sub(ANSWER_TIME_TTL_MS);
        let (mut count, mut least) = (0, u32::MAX);
        for status in self.all().filter(|status| status.answered_at_ms > oldest && status.waited_ms > 0) {
            count += 1;
            least = least.min(status.waited_ms);
        }
        if count < MIN_ANSWER_TIMES {
            return None;
        }
        let measured = (u64::from(least) * 1_000).clamp(configured / 8 + 1, configured * 16);
        let is_near =
            measured <= configured * SHORT_QUEUE && configured as f64 <= measured as f64 * SIGNIFICANT_CHANGE;
        Some(if is_near { configured } else { measured })
    }

    fn level_of<'a>(statuses: impl Iterator<Item = &'a ServiceStatus>, now_ms: Millis) -> u8 {
        let oldest = now_ms.saturating_sub(BUSY_EVIDENCE_TTL_MS);
        let busy = statuses.filter(|status| status.refused_at_ms > oldest);
        busy.map(|status| status.backoff_level.min(MAX_BACKOFF_LEVEL)).max().unwrap_or(0)
    }

    fn peers(&self) -> impl Iterator<Item = &ServiceStatus> {
        self.peers.iter().flatten()
    }

    fn all(&self) -> impl Iterator<Item = &ServiceStatus> {
        std::iter::once(&self.own).chain(self.peers())
    }
}
