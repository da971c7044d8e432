//! The reports of the other members, and of this one before a restart: pages by bucket, and the time not yet reported.
//!
//! A page is a register: a page from a later fact replaces it, so the order of reports does not matter.

mod member;

use crate::accounts::{Accounts, Entry, MemberIndex, Source};
use crate::clock::{Bucket, Clock, SUB_STEPS, Step};
use crate::decay::Decay;
use crate::wire::Head;
use crate::{AbsorbError, Config, Origin};
use member::{Member, is_recent};
use std::collections::BTreeMap;

/// The number of whole buckets over which a member's recent rate is computed.
pub(crate) const RATE_WINDOW: u64 = 4;
/// The maximum number of epochs of a place that are kept. Facts of older epochs are refused.
const MAX_EPOCHS: usize = 8;
/// The high estimate for a silent member exceeds its likely usage by at most this many times that usage.
const MAX_WIDENING: u64 = 3;

/// Identifies a page of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PageId {
    pub bucket: Bucket,
    /// The page's number within the bucket, from 0.
    pub number: u8,
}

/// A page that a member reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedPage {
    /// The number of the fact that held the page.
    pub fact_number: u64,
    pub revision: u32,
    pub entries: Vec<Entry>,
}

/// The decayed time that a member has not reported, in buckets with [`crate::decay::SPAN_BITS`] fractional bits.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Unreported {
    pub likely: u64,
    pub high: u64,
}

/// All members that reported something within the horizon.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    config: Config,
    slots: Vec<Option<Member>>,
    by_origin: BTreeMap<Origin, MemberIndex>,
}

impl Members {
    pub fn new(config: Config) -> Members {
        Members { config, slots: Vec::new(), by_origin: BTreeMap::new() }
    }

    fn get(&self, index: MemberIndex) -> Option<&Member> {
        self.slots[index as usize].as_ref()
    }

    fn get_mut(&mut self, index: MemberIndex) -> Option<&mut Member> {
        self.slots[index as usize].as_mut()
    }

    /// The number of known members.
    pub fn count(&self) -> u64 {
        self.slots.iter().flatten().count() as u64
    }

    /// The number of members that have reported nothing for more than `timeout` sub-steps.
    pub fn silent(&self, step: Step, timeout: u64) -> u64 {
        self.slots.iter().flatten().filter(|member| member.reported_until.plus(timeout) < step).count() as u64
    }

    /// The number of buckets of which a published revision has not arrived.
    pub fn gaps(&self, oldest: Bucket) -> u64 {
        self.slots.iter().flatten().map(|member| member.gaps(oldest).count() as u64).sum()
    }

    /// The number of places that reported within the horizon, including this one.
    pub fn active_places(&self) -> u64 {
        let origins = self.by_origin.keys();
        let mut places: Vec<u16> =
            origins.map(|origin| origin.place).filter(|place| *place != self.config.place).collect();
        places.dedup();
        places.len() as u64 + 1
    }

    /// The index of a member, added if it is new.
    pub fn find_or_add(
        &mut self,
        origin: Origin,
        clock: &Clock,
        accounts: &mut Accounts,
    ) -> Result<MemberIndex, AbsorbError> {
        if let Some(index) = self.by_origin.get(&origin) {
            return Ok(*index);
        }
        let first = Origin { epoch: 0, ..origin };
        let epochs = self.by_origin.range(first..).take_while(|(known, _)| known.place == origin.place);
        let known: Vec<(Origin, MemberIndex)> = epochs.map(|(origin, index)| (*origin, *index)).collect();
        // Keep the latest epochs, in any order of arrival.
        if known.len() >= MAX_EPOCHS {
            let (oldest, index) = known[0];
            if origin < oldest {
                return Err(AbsorbError::Epoch);
            }
            self.expire(index, Bucket(u64::MAX), clock, accounts);
        }
        for index in self.by_origin.range(first..origin).map(|(_, index)| *index as usize) {
            if let Some(before) = &mut self.slots[index] {
                before.unreported = None; // the earlier process ended when this one began
            }
        }
        let free = self.slots.iter().position(Option::is_none).unwrap_or(self.slots.len());
        if free == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[free] = Some(Member::new(origin));
        self.by_origin.insert(origin, free as MemberIndex);
        Ok(free as MemberIndex)
    }

    /// Applies a head. Returns false, and changes nothing, if the head is not later than the known one.
    pub fn apply_head(
        &mut self,
        index: MemberIndex,
        number: u64,
        head: Head,
        clock: &Clock,
        accounts: &mut Accounts,
    ) -> bool {
        let Some(member) = self.get_mut(index) else { return true };
        if member.head_number >= Some(number) {
            return false;
        }
        member.head_number = Some(number);
        member.head_bucket = head.at.bucket();
        member.head_revisions = head.revisions;
        self.record_reported_until(index, head.at);
        self.update_rate(index, clock, accounts);
        true
    }

    /// Whether this page is known from the fact with this number, or from a later one.
    pub fn has_page(&self, index: MemberIndex, id: PageId, fact_number: u64) -> bool {
        let bucket = self.get(index).and_then(|member| member.buckets.get(&id.bucket));
        let reported = bucket.and_then(|bucket| bucket.pages.get(&id.number));
        reported.is_some_and(|reported| reported.fact_number >= fact_number)
    }

    /// Replaces a page. The caller must have added the entries of the new page to the accounts, and must subtract the returned
    /// entries, which are those of the replaced page.
    pub fn replace_page(
        &mut self,
        index: MemberIndex,
        id: PageId,
        new: ReportedPage,
        accounts: &mut Accounts,
    ) -> Vec<Entry> {
        let Some(member) = self.get_mut(index) else { return Vec::new() };
        let is_recent = member.is_recent(id.bucket);
        if is_recent {
            accounts.add_recent(index, &new.entries);
        }
        let reported = member.buckets.entry(id.bucket).or_default();
        let revision = new.revision;
        let old = reported.pages.insert(id.number, new).unwrap_or_default();
        reported.revisions = reported.revisions.wrapping_sub(old.revision).wrapping_add(revision);
        member.unreported = None;
        if is_recent {
            accounts.subtract_recent(index, &old.entries);
        }
        old.entries
    }

    /// Records that a member has reported everything up to this sub-step.
    pub fn record_reported_until(&mut self, index: MemberIndex, until: Step) {
        if let Some(member) = self.get_mut(index) {
            member.reported_until = member.reported_until.max(until);
            member.unreported = None;
        }
    }

    /// Updates the recent rate of a member, which is that of the latest whole buckets without missing revisions.
    pub fn update_rate(&mut self, index: MemberIndex, clock: &Clock, accounts: &mut Accounts) {
        let Some(member) = self.get_mut(index) else { return };
        let after = member.complete_until(clock.oldest_bucket());
        let before = std::mem::replace(&mut member.rated_before, after);
        if before == after {
            return;
        }
        let first = before.min(after).minus(RATE_WINDOW);
        for (bucket, reported) in member.buckets.range(first..before.max(after)) {
            let is_recent_now = is_recent(after, *bucket);
            if is_recent(before, *bucket) == is_recent_now {
                continue;
            }
            for page in reported.pages.values() {
                if is_recent_now {
                    accounts.add_recent(index, &page.entries);
                } else {
                    accounts.subtract_recent(index, &page.entries);
                }
            }
        }
    }

    /// Drops the reports of all members on buckets before `oldest`.
    pub fn expire_all(&mut self, oldest: Bucket, clock: &Clock, accounts: &mut Accounts) {
        for index in 0..self.slots.len() as MemberIndex {
            self.expire(index, oldest, clock, accounts);
        }
    }

    /// Drops a member's reports on buckets before `oldest`, and the member itself once it has no relevant report left.
    fn expire(&mut self, index: MemberIndex, oldest: Bucket, clock: &Clock, accounts: &mut Accounts) {
        let extrapolation = u64::from(self.config.max_extrapolation);
        let Some(member) = self.get_mut(index) else { return };
        let kept = member.buckets.split_off(&oldest);
        let expired = std::mem::replace(&mut member.buckets, kept);
        for (bucket, reported) in expired {
            let is_recent = member.is_recent(bucket);
            for entries in reported.pages.into_values().map(|page| page.entries) {
                if is_recent {
                    accounts.subtract_recent(index, &entries);
                }
                for entry in entries {
                    accounts.subtract(entry, bucket, Source::Reported);
                    accounts.release(entry.account.tenant, 1);
                }
            }
        }
        let last = member.reported_until.bucket();
        if member.buckets.is_empty() && last.plus(extrapolation) < oldest {
            let origin = member.origin;
            self.slots[index as usize] = None;
            self.by_origin.remove(&origin);
        }
        self.update_rate(index, clock, accounts);
    }

    /// Records that a member left at this sub-step: its usage is not extrapolated beyond it.
    pub fn record_left(&mut self, origin: Origin, step: Step) {
        let Some(index) = self.by_origin.get(&origin).copied() else { return };
        if let Some(member) = self.get_mut(index) {
            member.left_at = Some(member.left_at.map_or(step, |earlier| earlier.min(step)));
            member.unreported = None;
        }
    }

    /// The sub-step at which a member ended, because its place restarted or it left; `None` if it has not ended.
    fn ended_at(&self, member: &Member, clock: &Clock) -> Option<Step> {
        let Origin { place, epoch } = member.origin;
        let after = Origin { epoch: epoch.saturating_add(1), place };
        let next = self.by_origin.range(after..).next().map(|(origin, _)| *origin);
        let next = next.filter(|origin| origin.place == place).map(|origin| origin.epoch);
        let is_own = place == self.config.place && self.config.epoch > epoch;
        let own = is_own.then_some(self.config.epoch);
        let restarted = next.into_iter().chain(own).min();
        let restarted = restarted.map(|millis| clock.step_of_unix(u128::from(millis) * 1000));
        restarted.into_iter().chain(member.left_at).min()
    }

    /// The decayed time that a member has not reported; cached for the current sub-step.
    pub fn unreported(&mut self, index: MemberIndex, clock: &Clock, decay: &Decay) -> Unreported {
        let Some(member) = self.get(index) else { return Unreported::default() };
        if let Some((_, unreported)) = member.unreported.filter(|(step, _)| *step == clock.step()) {
            return unreported;
        }
        let unreported = self.compute_unreported(member, clock, decay);
        if let Some(member) = self.get_mut(index) {
            member.unreported = Some((clock.step(), unreported));
        }
        unreported
    }

    fn compute_unreported(&self, member: &Member, clock: &Clock, decay: &Decay) -> Unreported {
        let step = clock.step();
        let from = member.reported_until;
        let extrapolated = from.plus(u64::from(self.config.max_extrapolation) * SUB_STEPS);
        let ended = self.ended_at(member, clock).unwrap_or(Step(u64::MAX));
        let until = step.min(extrapolated).min(ended).max(from);
        let decayed = |from: Step, to: Step| decay.span(step.since(to), step.since(from));
        let silence = clock.micros(until.since(from));
        let mut likely = decayed(from, until);
        let widened = u128::from(likely) * u128::from(silence) / u128::from(self.config.widening_time);
        let mut high = likely + (widened as u64).min(MAX_WIDENING * likely);
        for gap in member.gaps(clock.oldest_bucket()) {
            let begin = gap.bucket.start();
            let span = decayed(begin, gap.bucket.plus(1).start().min(from.max(begin)));
            likely += span * u64::from(gap.missing) / u64::from(gap.published.max(1));
            high += span;
        }
        Unreported { likely, high }
    }
}
