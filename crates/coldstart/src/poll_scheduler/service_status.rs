//! The members' statuses of the list service, and the state of the service that follows from all of them.

use crate::{Micros, Millis};
use serde::{Deserialize, Serialize};

/// The age above which a status is no evidence that the service is down now, in milliseconds.
const OUTAGE_EVIDENCE_TTL_MS: Millis = 60_000;
/// The time for which a refusal by a busy service lengthens rounds, in milliseconds.
const BUSY_EVIDENCE_TTL_MS: Millis = 10_000;
/// The time for which a measured duration of a call is used, in milliseconds.
const ANSWER_TIME_TTL_MS: Millis = 15_000;
/// The number of members that must report the time of their calls before it is used: with fewer, a slow service cannot be
/// distinguished from a long queue.
const MIN_ANSWER_TIMES: usize = 8;
/// The queue length up to which the service counts as kept busy but not overloaded, in calls, including the call itself.
const SHORT_QUEUE: u64 = 3;
/// The maximum number of times that rounds are doubled.
pub(super) const MAX_BACKOFF_LEVEL: u8 = 4;
/// The factor below which a difference between two lengths is ignored.
pub(super) const SIGNIFICANT_CHANGE: f64 = 1.5;
/// The number of outage reports by other members at which a further report is not urgent.
const ENOUGH_OUTAGE_REPORTS: usize = 3;
/// An answer is urgent to report if it is more than this later than the latest one that others reported, in milliseconds.
const MIN_ANSWER_ADVANCE_MS: Millis = 1_000;

/// One member's status of the list service: the payload of slot 0 of this crate's facts. Fields are encoded by position, so
/// they must keep their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The generation of the list that the member holds.
    pub generation: u64,
    /// Whether the member has a watch.
    pub is_watching: bool,
    /// When a call of the member was last answered, in Unix milliseconds; 0 for never.
    pub answered_at_ms: Millis,
    /// When a call of the member last found the service down, in Unix milliseconds; 0 for never.
    pub failed_at_ms: Millis,
    /// When a call of the member was last refused by a busy service, in Unix milliseconds; 0 for never.
    pub refused_at_ms: Millis,
    /// How long the member's last answered call took, in milliseconds.
    pub waited_ms: u32,
    /// How often the member has doubled its rounds.
    pub backoff_level: u8,
}

/// The statuses of all members, and which members are present. Times are Unix milliseconds.
#[derive(Debug)]
pub(super) struct MemberStatuses {
    place: usize,
    pub own: ServiceStatus,
    /// The last status received from each place, indexed by place; `None` if unknown, and for the own place.
    peers: Vec<Option<ServiceStatus>>,
    /// Whether a member is present, indexed by place.
    is_present: Vec<bool>,
}

impl MemberStatuses {
    /// Creates the state of the member at `place`, which holds the list of this generation and knows no other status.
    pub fn new(place: u16, places: u16, generation: u64) -> MemberStatuses {
        MemberStatuses {
            place: usize::from(place),
            own: ServiceStatus { generation, ..ServiceStatus::default() },
            peers: vec![None; usize::from(places)],
            is_present: vec![false; usize::from(places)],
        }
    }

    /// Discards all statuses; only the generation of the own list is kept.
    pub fn reset(&mut self) {
        self.own = ServiceStatus { generation: self.own.generation, ..ServiceStatus::default() };
        self.peers.fill(None);
    }

    /// Sets which members are present, by place; places beyond the end of the slice are absent.
    pub fn set_present(&mut self, is_present: &[bool]) {
        for (place, present) in self.is_present.iter_mut().enumerate() {
            *present = is_present.get(place).copied().unwrap_or(false);
        }
    }

    /// Stores a member's status. Returns false if there is no such place.
    pub fn set_peer(&mut self, place: u16, status: ServiceStatus) -> bool {
        let known = self.peers.get_mut(usize::from(place));
        known.is_some_and(|known| {
            *known = Some(status);
            true
        })
    }

    /// Drops the status of a place. Returns false if there is no such place.
    pub fn remove_peer(&mut self, place: u16) -> bool {
        let known = self.peers.get_mut(usize::from(place));
        known.is_some_and(|known| {
            *known = None;
            true
        })
    }

    /// The number of other members that are present.
    pub fn present_others(&self) -> u64 {
        let others = self.is_present.iter().enumerate().filter(|(place, _)| *place != self.place);
        others.filter(|(_, is_present)| **is_present).count() as u64
    }

    /// The number of other members that hold a newer list.
    pub fn others_with_newer_list(&self) -> u64 {
        self.peers().filter(|status| status.generation > self.own.generation).count() as u64
    }

    /// The number of others whose watch was opened before `time_ms` and has not been broken by an outage since.
    pub fn others_with_watch_since_before(&self, time_ms: Millis) -> u64 {
        // No watch survives an outage of the service, even if the member's last status still claims a watch.
        let last_failure = self.all().map(|status| status.failed_at_ms).max().unwrap_or(0);
        let holds = |status: &&ServiceStatus| {
            status.is_watching && status.answered_at_ms < time_ms && status.answered_at_ms > last_failure
        };
        self.peers().filter(holds).count() as u64
    }

    /// Whether the service counts as down: since the last answer to any member, two members found it down, or one did while
    /// no member is known to have a watch.
    pub fn is_service_down(&self, now_ms: Millis) -> bool {
        // One pass for all three values: every member does this over all statuses at every wake.
        let mut last_answer = 0;
        let mut last_failure = 0;
        let mut is_watched = false;
        for status in self.all() {
            last_answer = last_answer.max(status.answered_at_ms);
            last_failure = last_failure.max(status.failed_at_ms);
            is_watched |= status.is_watching;
        }
        let reports = self.all().filter(|status| status.failed_at_ms > last_answer).count();
        let is_fresh = now_ms.saturating_sub(last_failure) < OUTAGE_EVIDENCE_TTL_MS;
        is_fresh && (reports >= 2 || reports == 1 && !is_watched)
    }

    /// Whether the own status would change the behaviour of other members: too few of them have reported the same state of
    /// the service, or none of them holds this generation of the list.
    pub fn is_status_urgent(&self, now_ms: Millis) -> bool {
        if Self::level_of(std::iter::once(&self.own), now_ms) > Self::level_of(self.peers(), now_ms) {
            return true;
        }
        let last_answer = self.peers().map(|status| status.answered_at_ms).max().unwrap_or(0);
        let reports = self.peers().filter(|status| status.failed_at_ms > last_answer).count();
        if self.own.failed_at_ms > self.own.answered_at_ms {
            return self.own.failed_at_ms > last_answer && reports < ENOUGH_OUTAGE_REPORTS;
        }
        let newest = self.peers().map(|status| status.generation).max().unwrap_or(0);
        let is_later = self.own.answered_at_ms > last_answer + MIN_ANSWER_ADVANCE_MS;
        self.own.answered_at_ms > 0 && (self.own.generation > newest || reports > 0 || is_later)
    }

    /// How often rounds are doubled, by the statuses of all members.
    pub fn backoff_level(&self, now_ms: Millis) -> u8 {
        Self::level_of(self.all(), now_ms)
    }

    /// The time that the service needs for a call, in microseconds: the minimum of the members' measurements, or `None` if
    /// too few members have one. A minimum near `configured`, up to a short queue above it, counts as `configured`: slots
    /// do not overlap as long as all members use rounds of the same length.
    pub fn answer_time(&self, configured: Micros, now_ms: Millis) -> Option<Micros> {
        let oldest = now_ms.saturating_sub(ANSWER_TIME_TTL_MS);
        let mut count = 0;
        let mut min_waited_ms = u32::MAX;
        for status in self.all().filter(|status| status.answered_at_ms > oldest && status.waited_ms > 0) {
            count += 1;
            min_waited_ms = min_waited_ms.min(status.waited_ms);
        }
        if count < MIN_ANSWER_TIMES {
            return None;
        }
        let measured = (u64::from(min_waited_ms) * 1_000).clamp(configured / 8 + 1, configured * 16);
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
