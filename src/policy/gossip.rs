//! What the nodes of one group tell each other: the work that each has out at the group's part of the workers.
//!
//! The nodes are grouped by number, and every group has its part of the workers, which all nodes work out alike from
//! the list. What a group has out at a worker of its own is then known within a datagram's time, while a report tells
//! of it about a second later. Knowledge only: what follows from it is decided in src/policy/rules.

use crate::policy::interface::*;
use crate::policy::timer::Timer;
use mothproxy_membership::share;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// Nodes that tell each other: each message goes to all but one of them.
const GROUP: u32 = 10;
/// What a mate has said counts for this long; whoever has work out says so again in half the time.
pub const ADVERTISEMENT_TTL: Micros = 4_000_000;
/// Whoever has work out and has not said so again after this, one and a half times the time for it, is missed; for so long,
/// by when a dead one's work has ended and one that is back has spoken.
const MISSED_AFTER: Micros = ADVERTISEMENT_TTL / 4 * 3;
const MISSED_FOR: Micros = 5 * ADVERTISEMENT_TTL / 2;
/// Mates are heard that have spoken within this part of the fall window.
const HEARD_PART: Micros = 4;
/// News is told this late, so that what happens at once is told at once.
const NEWS_WITHIN: Micros = 2_000;
/// A slot that was offered is kept for this long, for a node that does not say whether it uses it.
const OFFERED_FOR: Micros = 60_000;
/// The first byte of a message: what its sender has out at the group's workers, and which of them it doubts; the same of
/// those of the receiver's group, by an offer of the receiver's; a wish for a slot, in this zone if there is one; an offer
/// of a slot at this worker. In the first two the number of doubted ones comes next, then their tags, then those of the work.
/// Either is all that its sender has to say. Where that is more than a message may name it is said in parts, with this bit in
/// the first byte: how many leading bits the tags of the part have in common, the first such tag, and then as above.
const PART: u8 = 0x20;
const OUT: u8 = b'W';
const GUEST: u8 = b'G';
const WISH: u8 = b'A';
const OFFER: u8 = b'O';
/// What the hashes are mixed with that choose which node holds a worker.
const HOLDER: u64 = 0x6d6f_7468_0000_0000;
/// And those by which nodes rank each other for a worker.
const RANK: u64 = 0x7061_7274_0000_0000;
/// The most workers that a message names; it is no longer than a datagram may be.
const MOST: usize = 120;

/// What a message asks of this node.
#[derive(Debug, PartialEq)]
pub(crate) enum PeerRequest {
    /// A node of another group asks for a slot, in this zone if there is one.
    Slot(ZoneId),
    /// A node of another group offers a slot.
    Offer,
}

/// What a node has said of the workers of a range of tags, all of them or a part: when, where it has work out, and which of
/// them it doubts; in order.
#[derive(Debug)]
struct Said {
    at: Micros,
    range: RangeInclusive<u16>,
    out: Vec<u16>,
    doubted: Vec<u16>,
}

impl Said {
    fn new(at: Micros, range: RangeInclusive<u16>, mut out: Vec<u16>, mut doubted: Vec<u16>) -> Said {
        out.sort_unstable();
        doubted.sort_unstable();
        Said { at, range, out, doubted }
    }

    fn is_empty(&self) -> bool {
        self.out.is_empty() && self.doubted.is_empty()
    }

    /// How often this tag is among those of the work.
    fn times(&self, tag: u16) -> usize {
        self.out.partition_point(|t| *t <= tag) - self.out.partition_point(|t| *t < tag)
    }

    /// The same in as few messages as may name so many, each of a half, a quarter and so on of the tags: what changes at one
    /// worker changes one of them. Only at a single worker is more work out of one node than a message names, and the rest is
    /// left out: it is full in any case.
    fn in_parts(self) -> Vec<Said> {
        let (first, last) = self.range.clone().into_inner();
        if self.out.len() + self.doubted.len() <= MOST || first == last {
            let out = self.out.into_iter().take(MOST - self.doubted.len()).collect();
            return vec![Said { out, ..self }];
        }
        let middle = first + (last - first) / 2;
        let halves = [first..=middle, middle + 1..=last];
        let half = |range: RangeInclusive<u16>| {
            let of = |tags: &[u16]| tags.iter().copied().filter(|tag| range.contains(tag)).collect();
            Said { at: self.at, out: of(&self.out), doubted: of(&self.doubted), range: range.clone() }
        };
        halves.into_iter().flat_map(|range| half(range).in_parts()).collect()
    }

    /// The message that says it.
    fn bytes(&self, kind: u8) -> Vec<u8> {
        let (first, last) = self.range.clone().into_inner();
        let [high, low] = first.to_be_bytes();
        let bits = (last - first).leading_zeros() as u8;
        let head = if bits == 0 { vec![kind] } else { vec![kind | PART, bits, high, low] };
        let tags = self.doubted.iter().chain(&self.out).flat_map(|t| t.to_be_bytes());
        head.into_iter().chain([self.doubted.len() as u8]).chain(tags).collect()
    }

    /// What such a message says, and its kind, if it is one.
    fn read(at: Micros, bytes: &[u8]) -> Option<(u8, Said)> {
        let (kind, range, rest) = match bytes {
            [kind @ (OUT | GUEST), rest @ ..] => (*kind, 0..=u16::MAX, rest),
            [kind, bits @ 1..=16, high, low, rest @ ..] if matches!(kind ^ PART, OUT | GUEST) => {
                let (first, others) =
                    (u16::from_be_bytes([*high, *low]), u16::MAX.checked_shr((*bits).into()).unwrap_or(0));
                (first & others == 0).then_some((kind ^ PART, first..=first | others, rest))?
            }
            _ => return None,
        };
        let (doubted, tags) = rest.split_first()?;
        let whole = tags.len() % 2 == 0;
        let tags: Vec<u16> = tags.chunks_exact(2).map(|t| u16::from_be_bytes([t[0], t[1]])).collect();
        let (doubted, out) = tags.split_at_checked(usize::from(*doubted))?;
        let sound = whole && tags.iter().all(|tag| range.contains(tag));
        sound.then(|| (kind, Said::new(at, range, out.to_vec(), doubted.to_vec())))
    }
}

/// A worker as this node sees it: its tag, the slots of each own attempt that is out there, and whether it is doubted.
pub(crate) struct OwnLoad {
    pub worker: WorkerId,
    pub tag: u64,
    pub outstanding: Vec<f64>,
    pub is_suspect: bool,
}

/// A node's place among those that may send to a worker that is warming up.
pub(crate) struct SlowStartRank {
    pub rank: u32,
    pub nodes: u32,
}

/// What one node knows of its group: who is in it, which workers are the group's, and what its mates have said.
#[derive(Debug, Default)]
pub struct GroupGossip {
    nodes: u32,
    me: u32,
    group: u32,
    groups: u32,
    /// The other nodes of the group.
    mates: Vec<u32>,
    /// What is believed of each node, by their numbers; all of them are here where it is empty.
    peers: Vec<PeerPresence>,
    /// The view has changed at this time, and the workers are not dealt by it yet.
    view_at: Option<Micros>,
    /// Of the group's workers: those that came from another group by a view, and when; and the ranks of parts that are
    /// kept for nodes that are away, where there are any.
    gained: BTreeMap<WorkerId, Micros>,
    kept: BTreeMap<WorkerId, Vec<u16>>,
    /// The group's part of the ready workers, by the short tags that messages name them by.
    workers: BTreeMap<u16, WorkerId>,
    /// The same workers by number.
    part: Vec<WorkerId>,
    /// Where in `part` the first dealt is, the second, and so on: places to draw by.
    places: Vec<usize>,
    /// Whether a worker, by its number, is in `workers`.
    named: Vec<bool>,
    /// The group of each ready worker.
    owners: BTreeMap<WorkerId, u32>,
    /// All ready workers, by their short tags; and those that do not go by what their tag shortens to.
    listed: BTreeMap<u16, WorkerId>,
    aliases: BTreeMap<WorkerId, u16>,
    /// What each mate has said; and each node of another group of workers of this one; in parts that do not overlap.
    said: BTreeMap<u32, Vec<Said>>,
    /// Slots that were offered and are not known to be used: to whom, where, until when.
    offered: Vec<(u32, u16, Micros)>,
    /// Slots that others have offered: where, by whom, until when; once used, by whom.
    offers: BTreeMap<WorkerId, (u32, Micros)>,
    lenders: BTreeMap<WorkerId, u32>,
    /// What was told last: to the mates, and to each lender.
    told: BTreeMap<Option<u32>, Vec<Said>>,
    /// Something has changed that may be worth a message.
    news: bool,
}

fn short(tag: u64) -> u16 {
    mix(tag) as u16
}

/// A number that looks random and is the same at every node (the finish of splitmix64).
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl GroupGossip {
    /// The group of a node. A node by itself, or one that may tell nothing or ask no worker about itself, has none.
    pub fn new(settings: &Settings) -> GroupGossip {
        let groups = settings.nodes.div_ceil(GROUP).max(1);
        let group = settings.me % groups;
        let mates = (group..settings.nodes).step_by(groups as usize);
        let mates =
            mates.filter(|n| settings.may_message_peers && settings.may_probe && *n != settings.me).collect();
        GroupGossip { nodes: settings.nodes, me: settings.me, group, groups, mates, ..GroupGossip::default() }
    }

    /// The group under other settings; what was said is kept if it is the same.
    pub fn regroup(&mut self, settings: &Settings) {
        let new = GroupGossip::new(settings);
        if (&new.mates, new.nodes) != (&self.mates, self.nodes) {
            *self = new;
        }
    }

    /// What is believed of each node from now on. Whether that has changed anything: the workers are then to be dealt anew.
    /// A list that is not of this many nodes, or lacks this one, says nothing.
    pub fn set_presence(&mut self, now: Micros, peers: &[PeerPresence]) -> bool {
        let sound =
            peers.len() == self.nodes as usize && peers.get(self.me as usize) == Some(&PeerPresence::Present);
        let peers = if peers.iter().all(|p| *p == PeerPresence::Present) { &[][..] } else { peers };
        let changed = sound && self.is_grouped() && self.peers != peers;
        if changed {
            (self.peers, self.view_at) = (peers.to_vec(), Some(now));
        }
        changed
    }

    /// Whether a node may hold work.
    fn holds(&self, node: u32) -> bool {
        self.peers.get(node as usize).is_none_or(|p| *p == PeerPresence::Present)
    }

    /// The group that has a worker which is this group's while all nodes hold work. Each worker is held by one node of its
    /// group; where that one is gone, by the first of a row of nodes, the worker's own, that is not. So the end of one of n
    /// nodes moves the workers it held, about one in n of all, and its return moves these back, and no other.
    fn group_of(&self, tag: u64, group: u32) -> u32 {
        if self.peers.is_empty() {
            return group;
        }
        let size = (self.nodes - group).div_ceil(self.groups);
        let first = group + (mix(tag ^ mix(HOLDER)) % u64::from(size)) as u32 * self.groups;
        let next = |n: u64| (mix(tag ^ mix(HOLDER + n)) % u64::from(self.nodes)) as u32;
        // As many tries as there are nodes find one of three in ten that are left in all but a few cases; then in order.
        let row = std::iter::once(first).chain((1..=u64::from(self.nodes)).map(next)).chain(0..self.nodes);
        row.into_iter().find(|node| self.holds(*node)).map_or(group, |node| node % self.groups)
    }

    /// The ranks of those nodes whose part of a worker is kept for nodes that are away. All nodes rank each other alike for a
    /// worker. The part of a node that is gone is that of the next in rank that is not: whoever believes it gone, on whatever
    /// side of a cut, gives it to the same one.
    fn kept_ranks(&self, tag: u64) -> Vec<u16> {
        let mut order: Vec<u32> = (0..self.nodes).collect();
        order.sort_unstable_by_key(|n| (mix(tag ^ mix(RANK + u64::from(*n))), *n));
        let believed = |n: &u32| self.peers[*n as usize];
        let heir = |at: usize| order.iter().cycle().skip(at).take(order.len()).map(believed);
        let away =
            |at: &usize| heir(*at).find(|p| *p != PeerPresence::Gone) == Some(PeerPresence::Unreachable);
        (0..order.len()).filter(away).filter_map(|rank| u16::try_from(rank).ok()).collect()
    }

    /// How many of a worker's slots nobody of this side may take: those of nodes that are away, and all of them for a while
    /// where the worker came from another group because of a view, which others may not share yet.
    ///
    /// So the sum over the sides of a cut is never above `slots`: the parts of all nodes add up to it, and a node is here on
    /// one side alone.
    pub fn reserved_slots(&self, worker: WorkerId, slots: u32, now: Micros) -> u32 {
        if self.gained.get(&worker).is_some_and(|since| now < since + ADVERTISEMENT_TTL) {
            return slots;
        }
        let part = |rank: u16| share::part(slots, self.nodes.min(u32::from(u16::MAX)) as u16, rank);
        let kept = self.kept.get(&worker).map_or(0, |ranks| ranks.iter().map(|r| part(*r)).sum());
        crate::invariant!(kept <= slots, "{kept} of {slots} slots are kept for others at {worker:?}");
        kept
    }

    /// The number of the node's group.
    pub fn group(&self) -> u32 {
        self.group
    }

    /// The group's part of the ready workers, by their numbers.
    pub fn assigned(&self) -> &[WorkerId] {
        &self.part
    }

    /// The other nodes of the group.
    pub(crate) fn peers(&self) -> &[u32] {
        &self.mates
    }

    /// Something has changed that is worth an advertisement.
    pub(crate) fn mark_changed(&mut self) {
        self.news = true;
    }

    /// Whether there is a group.
    pub fn is_grouped(&self) -> bool {
        !self.mates.is_empty()
    }

    /// Whether there are other groups to ask for a slot.
    pub(crate) fn can_borrow(&self) -> bool {
        self.is_grouped() && self.groups > 1
    }

    /// Deals the ready workers out to the groups, zone by zone, the oldest first: each goes to the group that ranks highest
    /// for it among those that have not had their part yet, so that one more or less moves few others. But a cold one goes to
    /// the group that ranks highest of all: whoever is told of whichever others, and whoever is gone, it has the same group.
    pub fn assign(&mut self, ready: &[EndpointEntry], cold: &[WorkerId]) {
        if !self.is_grouped() {
            return; // there are no parts
        }
        let (mut sorted, groups) = (ready.to_vec(), u64::from(self.groups.max(1)));
        sorted.sort_unstable_by_key(|k| (k.zone, k.started_at, k.tag));
        let (before, view_at) = (std::mem::take(&mut self.owners), self.view_at.take());
        self.kept.clear();
        let (mut dealt, mut owners) = (Vec::new(), Vec::with_capacity(sorted.len()));
        let ranks: Vec<u64> = (0..groups).map(|g| mix(g + 1)).collect();
        self.news |= self.can_borrow();
        self.name(ready);
        for zone in sorted.chunk_by(|a, b| a.zone == b.zone) {
            let part = zone.len().div_ceil(groups as usize);
            let mut had = vec![0; groups as usize];
            for known in zone {
                let is_cold = cold.binary_search(&known.worker).is_ok();
                let open = (0..groups).filter(|g| is_cold || had[*g as usize] < part);
                let Some(group) = open.max_by_key(|g| mix(known.tag ^ ranks[*g as usize])) else { continue };
                had[group as usize] += 1;
                let moved = || u64::from(self.group_of(known.tag, group as u32));
                let group = if is_cold { group } else { moved() };
                owners.push((known.worker, group as u32));
                if group == u64::from(self.group) {
                    dealt.push(known);
                    let came = before.get(&known.worker).is_some_and(|had| *had != self.group);
                    if let Some(now) = view_at.filter(|_| came) {
                        self.gained.insert(known.worker, now);
                    }
                    if self.peers.contains(&PeerPresence::Unreachable) {
                        self.kept.insert(known.worker, self.kept_ranks(known.tag));
                    }
                }
            }
        }
        self.owners = owners.into_iter().collect();
        let (owners, group) = (&self.owners, self.group);
        self.gained.retain(|worker, _| owners.get(worker) == Some(&group));
        self.workers = dealt.iter().map(|k| (self.short(k.worker, k.tag), k.worker)).collect();
        self.part = dealt.iter().map(|known| known.worker).collect();
        self.part.sort_unstable();
        self.places = dealt.iter().filter_map(|known| self.part.binary_search(&known.worker).ok()).collect();
        self.named = vec![false; self.part.last().map_or(0, |worker| worker.0 as usize + 1)];
        self.workers.values().for_each(|worker| self.named[worker.0 as usize] = true);
    }

    /// Gives each ready worker a short tag of its own. Where several would have the same, the first by its whole tag has it, and
    /// the others, in order, the next ones that are free. So whoever holds the same list names all alike, and while lists
    /// differ only workers that share one can be taken for each other. (Beyond 65,536 workers some have none.)
    fn name(&mut self, ready: &[EndpointEntry]) {
        let mut order: Vec<_> = ready.iter().map(|k| (short(k.tag), k.tag, k.worker)).collect();
        order.sort_unstable();
        let mut late = Vec::new();
        order.dedup_by(|next, first| {
            let same = next.0 == first.0;
            late.extend(same.then_some(*next));
            same
        });
        self.listed = order.into_iter().map(|(tag, _, worker)| (tag, worker)).collect();
        self.aliases.clear();
        for (tag, _, worker) in late {
            if self.listed.len() > usize::from(u16::MAX) {
                return;
            }
            let mut next = (1..=u16::MAX).map(|n| tag.wrapping_add(n));
            if let Some(free) = next.find(|tag| !self.listed.contains_key(tag)) {
                self.listed.insert(free, worker);
                self.aliases.insert(worker, free);
            }
        }
    }

    /// The short tag of a worker.
    fn short(&self, worker: WorkerId, tag: u64) -> u16 {
        self.aliases.get(&worker).copied().unwrap_or_else(|| short(tag))
    }

    /// The group of a cold worker.
    fn top(&self, tag: u64) -> u32 {
        (0..self.groups).max_by_key(|g| mix(tag ^ mix(u64::from(*g) + 1))).unwrap_or(0)
    }

    /// Whether a slot at a cold worker is on offer by its group: another one has not been told that it started.
    pub(crate) fn is_offered_by_slow_start_group(&self, known: &EndpointEntry, now: Micros) -> bool {
        let by_group = |(by, until): &(u32, Micros)| now < *until && by % self.groups == self.top(known.tag);
        self.offers.get(&known.worker).is_some_and(by_group)
    }

    /// This node's rank for a cold worker, of so many that may send to it: those of its group, or where there are no groups
    /// all of them; `None` for one of another group. It follows from the settings and the worker's tag alone.
    pub(crate) fn slow_start_rank(&self, tag: u64) -> Option<SlowStartRank> {
        let (nodes, place) = match self.is_grouped() {
            true if self.top(tag) == self.group => (self.mates.len() as u32 + 1, self.me / self.groups),
            true => return None,
            false => (self.nodes.max(1), self.me),
        };
        let first = (mix(tag ^ RANK) % u64::from(nodes)) as u32;
        Some(SlowStartRank { rank: (place + first) % nodes, nodes })
    }

    /// `most` of the group's workers drawn at random, every set of that size as likely; all of them if there are no
    /// more, with no number drawn; in the order of their numbers. Floyd's algorithm (Bentley and Floyd, "A sample of
    /// brilliance", CACM 30(9), 1987): `most` draws and no walk through the part, so the cost does not grow with the fleet.
    pub fn sample(&self, rng: &mut fastrand::Rng, most: usize) -> Vec<WorkerId> {
        let part: &[WorkerId] = if self.is_grouped() { &self.part } else { &[] };
        if part.len() <= most {
            return part.to_vec();
        }
        let mut drawn = vec![0_u64; part.len().div_ceil(64)];
        let bit = |place: usize| (self.places[place] / 64, 1_u64 << (self.places[place] % 64));
        for last in part.len() - most..part.len() {
            let (word, mask) = bit(rng.usize(..=last));
            let (word, mask) = if drawn[word] & mask == 0 { (word, mask) } else { bit(last) };
            drawn[word] |= mask;
        }
        let mut sample = Vec::with_capacity(most);
        for (word, mut bits) in drawn.into_iter().enumerate() {
            while bits != 0 {
                sample.push(part[word * 64 + bits.trailing_zeros() as usize]);
                bits &= bits - 1;
            }
        }
        sample
    }

    /// The group's workers.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.workers.values().copied().filter(|_| self.is_grouped())
    }

    /// Whether this worker, of this short tag, is one of the group's.
    fn has(&self, tag: u16, worker: WorkerId) -> bool {
        self.workers.get(&tag) == Some(&worker)
    }

    /// What others have out, by what they have said, at a worker of the group, in slots; `None` for another worker.
    pub fn peer_load(&self, known: &EndpointEntry, now: Micros) -> Option<f64> {
        // As `has` would say, in one step: this is asked for every worker that is ranked.
        if !self.is_grouped() || !self.named.get(known.worker.0 as usize).is_some_and(|named| *named) {
            return None;
        }
        let tag = self.short(known.worker, known.tag);
        let offered = self.offered.iter().filter(|(_, at, until)| *at == tag && now < *until);
        let out: usize = self.fresh(now).map(|(_, said)| said.times(tag)).sum();
        Some((out + offered.count()) as f64)
    }

    /// Whether a mate that had work out when it last spoke has missed saying so again: it may be cut off, or dead, and what
    /// it has out at the group's workers is not known.
    pub(crate) fn has_silent_peer(&self, now: Micros) -> bool {
        let missed = |said: &Said| now >= said.at + MISSED_AFTER && now < said.at + MISSED_FOR;
        self.mates
            .iter()
            .filter_map(|mate| self.said.get(mate))
            .flatten()
            .any(|said| !said.out.is_empty() && missed(said))
    }

    /// Whether at least half of the mates have spoken so lately that what they have sent since is a small part of what a
    /// cold worker bears in its fall window.
    pub(crate) fn hears_peers(&self, now: Micros, window: Micros) -> bool {
        let late = |parts: &&Vec<Said>| parts.iter().any(|said| now < said.at + window / HEARD_PART);
        let heard = self.mates.iter().filter_map(|mate| self.said.get(mate)).filter(late);
        self.is_grouped() && 2 * heard.count() >= self.mates.len()
    }

    /// Whether another has said that it doubts this worker, later than this.
    pub(crate) fn is_suspect(&self, known: &EndpointEntry, since: Micros, now: Micros) -> bool {
        let tag = self.short(known.worker, known.tag);
        self.fresh(now).any(|(_, said)| said.at > since && said.doubted.contains(&tag))
    }

    fn fresh(&self, now: Micros) -> impl Iterator<Item = (&u32, &Said)> {
        let parts = self.said.iter().flat_map(|(node, parts)| parts.iter().map(move |said| (node, said)));
        parts.filter(move |(_, said)| now < said.at + ADVERTISEMENT_TTL)
    }

    /// The workers at which slots are on offer.
    pub(crate) fn offered_workers(&self, now: Micros) -> impl Iterator<Item = WorkerId> {
        self.offers.iter().filter(move |(_, (_, until))| now < *until).map(|(worker, _)| *worker)
    }

    /// Whether a slot at this worker is on offer.
    pub(crate) fn has_offer(&self, worker: WorkerId, now: Micros) -> bool {
        self.offers.get(&worker).is_some_and(|(_, until)| now < *until)
    }

    /// The offer for this worker, if there is one, is used.
    pub(crate) fn use_offer(&mut self, worker: WorkerId) {
        if let Some((lender, _)) = self.offers.remove(&worker) {
            self.lenders.insert(worker, lender);
        }
    }

    /// Asks a node of another group, any, for a slot.
    pub fn request_slot(&self, zone: ZoneId, random: u32, actions: &mut Vec<Action>) {
        let groups = self.groups;
        if self.can_borrow() {
            // One of the other groups, and one of its nodes.
            let group = (self.group + 1 + random % (groups - 1)) % groups;
            let to = self.one_of(group, random / groups);
            actions.push(Action::SendToPeer { to, bytes: vec![WISH, zone.0 as u8] });
        }
    }

    /// A node of this group, any.
    fn one_of(&self, group: u32, random: u32) -> u32 {
        let size = (self.nodes - group).div_ceil(self.groups);
        let at = |n: u32| group + (random % size + n) % size * self.groups;
        (0..size).map(at).find(|node| self.holds(*node)).unwrap_or_else(|| at(0))
    }

    /// Work at a worker that another group has now, since the list has changed, goes on as if that group had lent it.
    fn follow(&mut self, seen: &[OwnLoad]) {
        for worker in seen.iter().filter(|s| !s.outstanding.is_empty()).map(|s| s.worker) {
            let Some(owner) = self.owners.get(&worker).copied().filter(|_| self.can_borrow()) else {
                continue;
            };
            if owner == self.group {
                self.lenders.remove(&worker);
            } else if self.lenders.get(&worker).is_none_or(|by| by % self.groups != owner) {
                let to = self.one_of(owner, mix(u64::from(self.me)) as u32);
                self.lenders.insert(worker, to);
            }
        }
    }

    /// Offers a slot at a worker of the group.
    pub(crate) fn offer_slot(
        &mut self,
        now: Micros,
        to: u32,
        known: &EndpointEntry,
        actions: &mut Vec<Action>,
    ) {
        let tag = self.short(known.worker, known.tag);
        self.offered.push((to, tag, now + OFFERED_FOR));
        self.news = true;
        let [high, low] = tag.to_be_bytes();
        actions.push(Action::SendToPeer { to, bytes: vec![OFFER, high, low] });
    }

    /// Has the alarm set at which news is told.
    pub(crate) fn schedule_advertisement(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.news) && self.is_grouped() {
            actions.push(Action::SetTimer(Timer::Advertise.into(), NEWS_WITHIN));
        }
    }

    /// Tells the mates, and lenders, what there is to know of their workers if that is news or is to be said again.
    pub(crate) fn advertise(&mut self, now: Micros, seen: &[OwnLoad], actions: &mut Vec<Action>) {
        if !self.is_grouped() {
            return;
        }
        self.follow(seen);
        let times = |slots: &f64| slots.ceil().clamp(1.0, 16.0) as usize;
        let tag = |s: &OwnLoad| self.short(s.worker, s.tag);
        let of = |here: &dyn Fn(&OwnLoad) -> bool| {
            let here: Vec<&OwnLoad> = seen.iter().filter(|s| here(s)).collect();
            let out =
                here.iter().flat_map(|s| std::iter::repeat_n(tag(s), s.outstanding.iter().map(times).sum()));
            let doubted = here.iter().filter(|s| s.is_suspect).map(|s| tag(s));
            (out.collect::<Vec<u16>>(), doubted.collect::<Vec<u16>>())
        };
        let (mut own, doubted) = of(&|s| self.has(tag(s), s.worker));
        own.extend(self.offered.iter().filter(|(.., until)| now < *until).map(|(_, tag, _)| *tag));
        own.extend(self.fresh(now).filter(|(n, _)| !self.mates.contains(n)).flat_map(|(_, said)| &said.out));
        let lenders = self.lenders.values().copied().collect::<BTreeSet<u32>>();
        let lent = |by: u32| (Some(by), of(&|s| self.lenders.get(&s.worker) == Some(&by)));
        let all: Vec<_> =
            std::iter::once((None, (own, doubted))).chain(lenders.into_iter().map(lent)).collect();
        // What is void goes: kept, what every node of a large fleet has ever said would be looked through for each job.
        self.offered.retain(|(.., until)| now < *until);
        self.offers.retain(|_, (_, until)| now < *until);
        let mates = &self.mates;
        let counts = |parts: &[Said]| parts.iter().any(|said| now < said.at + ADVERTISEMENT_TTL);
        self.said.retain(|node, parts| mates.contains(node) || counts(parts));
        for (to, (out, doubted)) in all {
            self.tell_all(to, Said::new(now, 0..=u16::MAX, out, doubted), actions);
        }
    }

    /// Tells the mates, or a lender, those parts of it that are news or are to be said again.
    fn tell_all(&mut self, to: Option<u32>, said: Said, actions: &mut Vec<Action>) {
        let (now, nothing, kind) = (said.at, said.out.is_empty(), if to.is_some() { GUEST } else { OUT });
        let (before, mut told) = (self.told.remove(&to).unwrap_or_default(), Vec::new());
        let (mut news, mut again) = (false, false);
        for part in said.in_parts() {
            let last = before.iter().find(|last| last.range == part.range);
            let same = match last {
                Some(last) => (&last.out, &last.doubted) == (&part.out, &part.doubted),
                None => before.is_empty() && part.is_empty(),
            };
            let at = last.map_or(0, |last| last.at);
            if same && (part.out.is_empty() || now < at + ADVERTISEMENT_TTL / 2) {
                told.push(Said { at, ..part });
                continue;
            }
            let bytes = part.bytes(kind);
            let mates = self.mates.iter().copied().filter(|mate| to.is_none() && self.holds(*mate));
            actions.extend(
                to.into_iter().chain(mates).map(|to| Action::SendToPeer { to, bytes: bytes.clone() }),
            );
            (news, again) = (true, again || !part.out.is_empty());
            told.push(part);
        }
        if again {
            actions.push(Action::SetTimer(Timer::Advertise.into(), ADVERTISEMENT_TTL / 2));
        }
        match to.filter(|_| news && nothing) {
            Some(lender) => self.lenders.retain(|_, by| *by != lender),
            None => drop(self.told.insert(to, told)),
        }
    }

    /// A message. One that is not understood says nothing.
    pub(crate) fn receive(&mut self, now: Micros, from: u32, bytes: &[u8]) -> Option<PeerRequest> {
        let mate = self.mates.contains(&from);
        let said = Said::read(now, bytes).filter(|(kind, _)| mate == (*kind == OUT) && self.is_grouped());
        if let Some((_, said)) = said {
            // What it says of these workers now is all that it has out there and doubts of them.
            let parts = self.said.entry(from).or_default();
            for part in parts.iter_mut() {
                part.out.retain(|tag| !said.range.contains(tag));
                part.doubted.retain(|tag| !said.range.contains(tag));
            }
            parts.retain(|part| !part.is_empty() && now < part.at + MISSED_FOR);
            parts.push(said);
            if !mate {
                self.offered.retain(|(to, ..)| *to != from);
                self.news = true;
            }
            return None;
        }
        match bytes {
            [WISH, zone] if !mate => return Some(PeerRequest::Slot(ZoneId(u16::from(*zone)))),
            [OFFER, high, low] if !mate => {
                let tag = u16::from_be_bytes([*high, *low]);
                if let Some(worker) = self.listed.get(&tag).copied().filter(|w| !self.has(tag, *w)) {
                    self.offers.insert(worker, (from, now + OFFERED_FOR / 2));
                    return Some(PeerRequest::Offer);
                }
            }
            _ => {}
        }
        None
    }
}
