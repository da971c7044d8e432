//! The load that the dispatchers of one group advertise to each other: the work that each has outstanding at the group's workers.
//!
//! The dispatchers are grouped by place, and every group has its part of the workers. All dispatchers compute the same parts
//! from the endpoint list. The members of a group thus know each other's outstanding work at its workers as soon as a datagram
//! arrives, whereas a load report shows this work about a second later. This module only keeps this knowledge; the decisions
//! based on it are in `src/policy/rules`.

mod advertisements;
mod assignment;
mod borrowed_slots;
mod group;
mod hash;
mod messages;
mod short_tags;

use crate::policy::interface::{Action, EndpointEntry, Micros, PeerPresence, Settings, WorkerId, ZoneId};
use crate::policy::timer::Timer;
use advertisements::{Advertisements, Recipient};
use assignment::Assignment;
use borrowed_slots::BorrowedSlots;
use group::{PeerGroup, SlowStartRank};
use messages::{Audience, LoadAdvertisement, Message};
use mothproxy_membership::partition;
use short_tags::ShortTags;

/// The time for which an advertisement is valid.
pub const ADVERTISEMENT_TTL: Micros = 4_000_000;
/// The interval at which a dispatcher advertises its outstanding work again.
const REPEAT_INTERVAL: Micros = ADVERTISEMENT_TTL / 2;
/// The delay before a change is advertised, so that changes in quick succession share a message.
const ADVERTISEMENT_DELAY: Micros = 2_000;
/// The time for which an advertisement counts as recent is the collapse window divided by this.
const RECENT_WINDOW_DIVISOR: Micros = 4;
/// The maximum number of slots that are advertised for one attempt.
const MAX_SLOTS_PER_ATTEMPT: f64 = 16.0;

/// A request in another dispatcher's message.
#[derive(Debug, PartialEq)]
pub(crate) enum PeerRequest {
    /// A dispatcher of another group requests a slot, if possible in this zone.
    Slot(ZoneId),
    /// A dispatcher of another group offers a slot.
    Offer,
}

/// The load of this dispatcher at one worker, from which its advertisements are made.
pub(crate) struct OwnLoad {
    pub worker: WorkerId,
    /// The worker's tag ([`EndpointEntry::tag`]).
    pub tag: u64,
    /// The slots of each attempt that this dispatcher has outstanding at the worker.
    pub outstanding: Vec<f64>,
    /// Whether the worker is suspect for this dispatcher.
    pub is_suspect: bool,
}

/// A dispatcher's knowledge about its group: its members, the workers assigned to it, and the load that the peers have
/// advertised.
#[derive(Debug, Default)]
pub struct GroupGossip {
    group: PeerGroup,
    assignment: Assignment,
    tags: ShortTags,
    advertisements: Advertisements,
    slots: BorrowedSlots,
    /// Whether there are changes that may have to be advertised.
    is_changed: bool,
}

/// Dispatchers, groups and the workers assigned to them.
impl GroupGossip {
    /// Creates the group of a dispatcher. A single dispatcher, or one that may not message peers or not probe workers, has no
    /// group.
    pub fn new(settings: &Settings) -> GroupGossip {
        GroupGossip { group: PeerGroup::new(settings), ..GroupGossip::default() }
    }

    /// Adapts the group to new settings. Advertisements are kept if the group has the same members.
    pub fn regroup(&mut self, settings: &Settings) {
        let new = GroupGossip::new(settings);
        if !new.group.has_same_members(&self.group) {
            *self = new;
        }
    }

    /// Applies the presence of each dispatcher, by place. Returns whether anything has changed; the workers must then be
    /// assigned again. A list of the wrong length, or one in which this dispatcher is not present, is ignored.
    pub fn set_presence(&mut self, now: Micros, presence: &[PeerPresence]) -> bool {
        let is_changed = self.group.set_presence(presence);
        if is_changed {
            self.assignment.presence_changed_at = Some(now);
        }
        is_changed
    }

    /// Whether this dispatcher has a group.
    pub fn is_grouped(&self) -> bool {
        self.group.is_grouped()
    }

    /// Whether there are other groups from which slots can be borrowed.
    pub(crate) fn can_borrow(&self) -> bool {
        self.group.can_borrow()
    }

    /// The index of the dispatcher's group.
    pub fn group(&self) -> u32 {
        self.group.index
    }

    /// The places of the other dispatchers of the group.
    pub(crate) fn peers(&self) -> &[u32] {
        &self.group.peers
    }

    /// Assigns the ready workers to the groups. `warming_up` lists those that are warming up, by ascending id.
    pub fn assign(&mut self, ready: &[EndpointEntry], warming_up: &[WorkerId]) {
        if self.is_grouped() {
            self.is_changed |= self.can_borrow();
            self.tags.assign(ready);
            self.assignment.assign(&self.group, &self.tags, ready, warming_up);
        }
    }

    /// The ready workers that are assigned to the group, by ascending id.
    pub fn assigned(&self) -> &[WorkerId] {
        self.assignment.assigned()
    }

    /// The group's workers, in the order of their short tags; empty if there is no group.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.assignment.workers().filter(|_| self.is_grouped())
    }

    /// Draws `max` of the group's workers at random, and returns them in the order of their ids. If there are no more than `max`
    /// workers, returns all of them without drawing a random number; empty if there is no group.
    pub fn sample(&self, random: &mut fastrand::Rng, max: usize) -> Vec<WorkerId> {
        if self.is_grouped() { self.assignment.sample(random, max) } else { Vec::new() }
    }

    /// The number of a worker's slots that are reserved for unreachable dispatchers: no dispatcher on this side of a network
    /// partition may use them. If the worker was reassigned from another group because of a change of presence, which other
    /// dispatchers may not know yet, all its slots are reserved for [`ADVERTISEMENT_TTL`].
    ///
    /// The slots that the sides of a partition use thus never add up to more than `slots`: the parts of all dispatchers add up
    /// to `slots`, and each dispatcher is present on one side only.
    pub fn reserved_slots(&self, worker: WorkerId, slots: u32, now: Micros) -> u32 {
        if self.assignment.is_newly_gained(worker, now) {
            return slots;
        }
        let dispatcher_count = self.group.dispatcher_count.min(u32::from(u16::MAX)) as u16;
        let ranks = self.assignment.reserved_ranks(worker).iter();
        let reserved = ranks.map(|rank| partition::allotment(slots, dispatcher_count, *rank)).sum();
        mothproxy_invariant::invariant!(
            reserved <= slots,
            "{worker:?} has {slots} slots, but {reserved} are reserved for unreachable dispatchers"
        );
        reserved
    }

    /// This dispatcher's rank for the worker with this tag while it is warming up; `None` for a worker of another group.
    pub(crate) fn slow_start_rank(&self, tag: u64) -> Option<SlowStartRank> {
        self.group.slow_start_rank(tag)
    }

    /// The short tag that messages use for a worker.
    fn short_tag(&self, listed: &EndpointEntry) -> u16 {
        self.tags.short_tag(listed.worker, listed.tag)
    }
}

/// The load that other dispatchers have advertised.
impl GroupGossip {
    /// The number of slots at a worker that other dispatchers occupy according to their advertisements, or that this dispatcher
    /// has offered to others. `None` if the worker is not assigned to the group.
    pub fn peer_load(&self, listed: &EndpointEntry, now: Micros) -> Option<f64> {
        if !self.is_grouped() || !self.assignment.is_member(listed.worker) {
            return None;
        }
        let tag = self.short_tag(listed);
        let reserved = self.slots.reserved_tags(now).filter(|reserved| *reserved == tag).count();
        let occupied: usize = self.advertisements.valid(now).map(|(_, load)| load.slots_at(tag)).sum();
        Some((occupied + reserved) as f64)
    }

    /// Whether another dispatcher has advertised after `since` that this worker is suspect.
    pub(crate) fn is_suspect(&self, listed: &EndpointEntry, since: Micros, now: Micros) -> bool {
        let tag = self.short_tag(listed);
        self.advertisements.valid(now).any(|(_, load)| load.at > since && load.suspects.contains(&tag))
    }

    /// Whether a peer that had outstanding work when it last advertised has not advertised it again in time. The peer may be
    /// unreachable or dead, so its outstanding work at the group's workers is unknown.
    pub(crate) fn has_silent_peer(&self, now: Micros) -> bool {
        self.advertisements.has_silent(self.peers(), now)
    }

    /// Whether at least half of the peers have advertised recently. The work that they have sent since then is a small part of
    /// the work that a worker can bear within its collapse window while it is warming up.
    pub(crate) fn has_recent_advertisements(&self, now: Micros, window: Micros) -> bool {
        let recent = self.advertisements.recent_count(self.peers(), now, window / RECENT_WINDOW_DIVISOR);
        self.is_grouped() && 2 * recent >= self.peers().len()
    }
}

/// Borrowed slots.
impl GroupGossip {
    /// The workers at which other dispatchers offer a slot now.
    pub(crate) fn offered_workers(&self, now: Micros) -> impl Iterator<Item = WorkerId> {
        self.slots.offered_workers(now)
    }

    /// Whether another dispatcher offers a slot at this worker now.
    pub(crate) fn has_offer(&self, worker: WorkerId, now: Micros) -> bool {
        self.slots.offered_by(worker, now).is_some()
    }

    /// Whether a slot at a worker that is warming up is offered by the group that may use the worker. Another group may offer
    /// one because its endpoint list does not show yet that the worker has started.
    pub(crate) fn is_offered_by_slow_start_group(&self, listed: &EndpointEntry, now: Micros) -> bool {
        let owner = self.slots.offered_by(listed.worker, now);
        owner.is_some_and(|owner| self.group.group_of(owner) == self.group.slow_start_group(listed.tag))
    }

    /// Uses the offer for this worker, if there is one.
    pub(crate) fn use_offer(&mut self, worker: WorkerId) {
        self.slots.use_offer(worker);
    }

    /// Requests a slot from a dispatcher of another group, which is chosen by a random number.
    pub fn request_slot(&self, zone: ZoneId, random: u32, actions: &mut Vec<Action>) {
        if self.can_borrow() {
            let count = self.group.count;
            let group = (self.group.index + 1 + random % (count - 1)) % count;
            let to = self.group.member_of(group, random / count);
            actions.push(Action::SendToPeer { to, bytes: messages::encode_slot_request(zone) });
        }
    }

    /// Offers a slot at a worker of the group.
    pub(crate) fn offer_slot(
        &mut self,
        now: Micros,
        to: u32,
        listed: &EndpointEntry,
        actions: &mut Vec<Action>,
    ) {
        let tag = self.short_tag(listed);
        self.slots.record_sent(now, to, tag);
        self.is_changed = true;
        actions.push(Action::SendToPeer { to, bytes: messages::encode_slot_offer(tag) });
    }

    /// Updates the slot owners of this dispatcher's outstanding work: its work at workers of other groups is treated as if these
    /// groups had offered the slots. A worker may have been assigned to another group while this dispatcher had work there.
    fn update_slot_owners(&mut self, own_loads: &[OwnLoad]) {
        if !self.can_borrow() {
            return;
        }
        for worker in own_loads.iter().filter(|load| !load.outstanding.is_empty()).map(|load| load.worker) {
            let Some(group) = self.assignment.owning_group(worker) else { continue };
            if group == self.group.index {
                self.slots.clear_slot_owner(worker);
            } else if self.slots.slot_owner(worker).is_none_or(|owner| self.group.group_of(owner) != group) {
                let owner = self.group.member_of(group, hash::mix(u64::from(self.group.own_place)) as u32);
                self.slots.set_slot_owner(worker, owner);
            }
        }
    }
}

/// Messages sent and received.
impl GroupGossip {
    /// Records that there is a change to advertise.
    pub(crate) fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Sets the timer of the next advertisement, if there are changes to advertise.
    pub(crate) fn schedule_advertisement(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.is_changed) && self.is_grouped() {
            actions.push(Action::SetTimer(Timer::Advertise.into(), ADVERTISEMENT_DELAY));
        }
    }

    /// Advertises this dispatcher's load to the peers and to the owners of borrowed slots, if it has changed or is due again.
    /// Also drops expired offers and advertisements.
    pub(crate) fn advertise(&mut self, now: Micros, own_loads: &[OwnLoad], actions: &mut Vec<Action>) {
        if !self.is_grouped() {
            return;
        }
        self.update_slot_owners(own_loads);
        let to_group = self.group_advertisement(now, own_loads);
        let to_slot_owners = self.slot_owner_advertisements(now, own_loads);
        self.slots.drop_expired(now);
        self.advertisements.drop_expired(now, &self.group.peers);
        self.publish(Recipient::Group, to_group, actions);
        for (owner, advertisement) in to_slot_owners {
            self.publish(Recipient::SlotOwner(owner), advertisement, actions);
        }
    }

    /// The advertisement to the group. It contains the outstanding work of this dispatcher and of those that borrow its slots at
    /// the group's workers, and the slots that this dispatcher has offered.
    fn group_advertisement(&self, now: Micros, own_loads: &[OwnLoad]) -> LoadAdvertisement {
        let is_own =
            |load: &OwnLoad| self.assignment.has(self.tags.short_tag(load.worker, load.tag), load.worker);
        let mut advertisement = self.advertisement_of(now, own_loads, is_own);
        let outstanding = &mut advertisement.outstanding;
        outstanding.extend(self.slots.reserved_tags(now));
        let borrowers = self.advertisements.valid(now).filter(|(sender, _)| !self.peers().contains(sender));
        outstanding.extend(borrowers.flat_map(|(_, load)| &load.outstanding));
        outstanding.sort_unstable();
        advertisement
    }

    /// The advertisement to each slot owner. It contains this dispatcher's outstanding work in the slots borrowed from that owner.
    fn slot_owner_advertisements(&self, now: Micros, own_loads: &[OwnLoad]) -> Vec<(u32, LoadAdvertisement)> {
        let for_owner = |owner: u32| {
            let is_borrowed = |load: &OwnLoad| self.slots.slot_owner(load.worker) == Some(owner);
            (owner, self.advertisement_of(now, own_loads, is_borrowed))
        };
        self.slots.slot_owners().into_iter().map(for_owner).collect()
    }

    /// An advertisement of this dispatcher's load at the workers that meet a condition. Each attempt counts for whole slots, at
    /// least 1 and at most [`MAX_SLOTS_PER_ATTEMPT`].
    fn advertisement_of(
        &self,
        now: Micros,
        own_loads: &[OwnLoad],
        is_included: impl Fn(&OwnLoad) -> bool,
    ) -> LoadAdvertisement {
        let whole_slots = |slots: &f64| slots.ceil().clamp(1.0, MAX_SLOTS_PER_ATTEMPT) as usize;
        let mut outstanding = Vec::new();
        let mut suspects = Vec::new();
        for load in own_loads.iter().filter(|load| is_included(load)) {
            let tag = self.tags.short_tag(load.worker, load.tag);
            outstanding.extend(std::iter::repeat_n(tag, load.outstanding.iter().map(whole_slots).sum()));
            suspects.extend(load.is_suspect.then_some(tag));
        }
        LoadAdvertisement::new(now, 0..=u16::MAX, outstanding, suspects)
    }

    /// Sends the parts of an advertisement that have changed or are due again, and schedules the next advertisement if one of
    /// these parts contains outstanding work. A slot owner is forgotten once it has been sent an advertisement without
    /// outstanding work.
    fn publish(&mut self, recipient: Recipient, advertisement: LoadAdvertisement, actions: &mut Vec<Action>) {
        let is_idle = advertisement.outstanding.is_empty();
        let parts = self.advertisements.parts_for(recipient, advertisement);
        let due = || parts.due.iter().map(|index| &parts.all[*index]);
        due().for_each(|part| self.send(recipient, part, actions));
        if due().any(|part| !part.outstanding.is_empty()) {
            actions.push(Action::SetTimer(Timer::Advertise.into(), REPEAT_INTERVAL));
        }
        match recipient {
            Recipient::SlotOwner(owner) if is_idle && !parts.due.is_empty() => {
                self.slots.forget_slot_owner(owner);
            }
            _ => self.advertisements.record_sent(recipient, parts.all),
        }
    }

    /// Sends one part of an advertisement: to the slot owner, or to every peer that is present.
    fn send(&self, recipient: Recipient, part: &LoadAdvertisement, actions: &mut Vec<Action>) {
        match recipient {
            Recipient::SlotOwner(to) => {
                actions.push(Action::SendToPeer { to, bytes: part.encode(Audience::SlotOwner) });
            }
            Recipient::Group => {
                let bytes = part.encode(Audience::Group);
                let present = self.peers().iter().copied().filter(|peer| self.group.is_present(*peer));
                actions.extend(present.map(|to| Action::SendToPeer { to, bytes: bytes.clone() }));
            }
        }
    }

    /// Handles a message, and returns the request that it contains, if there is one. A message that is not valid, or that its
    /// sender may not send, is ignored.
    pub(crate) fn receive(&mut self, now: Micros, from: u32, bytes: &[u8]) -> Option<PeerRequest> {
        let is_peer = self.peers().contains(&from);
        match Message::decode(now, bytes)? {
            Message::Load(audience, load) => {
                if self.is_grouped() && is_peer == (audience == Audience::Group) {
                    self.receive_load(from, is_peer, load);
                }
                None
            }
            Message::SlotRequest(zone) => (!is_peer).then_some(PeerRequest::Slot(zone)),
            Message::SlotOffer(_) if is_peer => None,
            Message::SlotOffer(tag) => {
                let worker = self.tags.worker(tag).filter(|worker| !self.assignment.has(tag, *worker))?;
                self.slots.record_received(now, worker, from);
                Some(PeerRequest::Offer)
            }
        }
    }

    /// Stores a load advertisement of a peer or of a borrower. A borrower's advertisement also ends the offers to it.
    fn receive_load(&mut self, from: u32, is_peer: bool, load: LoadAdvertisement) {
        self.advertisements.receive(from, load);
        if !is_peer {
            self.slots.end_offers_to(from);
            self.is_changed = true;
        }
    }
}
