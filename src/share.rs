//! What the nodes of one group tell each other: the work that each has out at the group's part of the workers.
//!
//! The nodes are grouped by number, and every group has its part of the workers, which all nodes work out alike from
//! the list. What a group has out at a worker of its own is then known within a datagram's time, while a report tells
//! of it about a second later. Knowledge only: what follows from it is decided in src/rules.rs.

use crate::interface::*;
use std::collections::BTreeMap;

/// Nodes that tell each other: each message goes to all but one of them.
const GROUP: u32 = 10;
/// What a mate has said counts for this long; whoever has work out says so again in half the time.
const SAID_FOR: Micros = 4_000_000;
/// News is told this late, so that what happens at once is told at once.
const NEWS_WITHIN: Micros = 2_000;
/// The alarm at which a node tells its group what there is to tell.
pub(crate) const TELL_ALARM: u64 = u64::MAX;
/// The first byte of a message.
const MESSAGE: u8 = b'W';
/// The most workers that a message names; it is no longer than a datagram may be.
const MOST: usize = 120;

#[derive(Debug, Default)]
pub(crate) struct Share {
    group: u32,
    groups: u32,
    /// The other nodes of the group.
    pub mates: Vec<u32>,
    /// The group's part of the ready workers, by the short tags that messages name them by.
    workers: BTreeMap<u16, WorkerId>,
    /// What each mate has out, by tag, and when it said so.
    said: BTreeMap<u32, (Micros, Vec<u16>)>,
    /// What was told last, and when.
    told: (Vec<u16>, Micros),
    /// Something has changed that may be worth a message.
    pub news: bool,
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

impl Share {
    /// The group of a node. A node by itself, or one that may tell nothing or ask no worker about itself, has none.
    pub fn of(set: &Settings) -> Share {
        let groups = set.nodes.div_ceil(GROUP).max(1);
        let group = set.me % groups;
        let mates = (0..set.nodes)
            .filter(|n| set.may_tell && set.may_probe && n % groups == group && *n != set.me)
            .collect();
        Share { group, groups, mates, ..Share::default() }
    }

    /// The group under other settings; what was said is kept if it is the same.
    pub fn regroup(&mut self, set: &Settings) {
        let new = Share::of(set);
        if (&new.mates, new.groups) != (&self.mates, self.groups) {
            *self = new;
        }
    }

    /// Whether there is a group.
    pub fn on(&self) -> bool {
        !self.mates.is_empty()
    }

    /// Deals the ready workers out to the groups, zone by zone: each goes to the group that ranks highest for it among
    /// those that have not had their part yet, so that one more or less moves few others.
    pub fn deal(&mut self, ready: &[RosterEntry]) {
        let (mut sorted, groups) = (ready.to_vec(), u64::from(self.groups.max(1)));
        sorted.sort_unstable_by_key(|k| (k.zone, k.tag));
        self.workers.clear();
        for zone in sorted.chunk_by(|a, b| a.zone == b.zone) {
            let part = zone.len().div_ceil(groups as usize);
            let mut had = vec![0; groups as usize];
            for known in zone {
                let open = (0..groups).filter(|g| had[*g as usize] < part);
                let Some(group) = open.max_by_key(|g| mix(known.tag ^ mix(g + 1))) else { continue };
                had[group as usize] += 1;
                if group == u64::from(self.group) {
                    self.workers.insert(short(known.tag), known.worker);
                }
            }
        }
    }

    /// The group's workers.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.workers.values().copied().filter(|_| self.on())
    }

    /// What the mates have out at a worker of the group, in slots; `None` for another worker.
    pub fn load(&self, known: &RosterEntry, now: Micros) -> Option<f64> {
        let tag = short(known.tag);
        self.workers.get(&tag).filter(|w| self.on() && **w == known.worker)?;
        let fresh = self.said.values().filter(|(at, _)| now < at + SAID_FOR);
        Some(fresh.flat_map(|(_, out)| out).filter(|t| **t == tag).count() as f64)
    }

    /// Has the alarm set at which news is told.
    pub fn tell_soon(&mut self, acts: &mut Vec<Action>) {
        if std::mem::take(&mut self.news) && self.on() {
            acts.push(Action::SetAlarm(AlarmId(TELL_ALARM), NEWS_WITHIN));
        }
    }

    /// Tells the mates what is out, by tag and slots, if that is news or is to be said again.
    pub fn tell(&mut self, now: Micros, out: Vec<(u64, f64)>, acts: &mut Vec<Action>) {
        let times = |slots: f64| slots.ceil().clamp(1.0, 16.0) as usize;
        let tags = out.into_iter().flat_map(|(tag, slots)| std::iter::repeat_n(short(tag), times(slots)));
        let mut tags: Vec<u16> = tags.collect();
        tags.sort_unstable();
        tags.truncate(MOST);
        let again = !tags.is_empty() && now >= self.told.1 + SAID_FOR / 2;
        if self.on() && (again || tags != self.told.0) {
            let bytes: Vec<u8> =
                std::iter::once(MESSAGE).chain(tags.iter().flat_map(|t| t.to_be_bytes())).collect();
            acts.extend(self.mates.iter().map(|to| Action::Tell { to: *to, bytes: bytes.clone() }));
            if !tags.is_empty() {
                acts.push(Action::SetAlarm(AlarmId(TELL_ALARM), SAID_FOR / 2));
            }
            self.told = (tags, now);
        }
    }

    /// A mate's message. Others are not understood, and say nothing.
    pub fn hear(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        if let Some((&MESSAGE, tags)) = bytes.split_first()
            && tags.len() % 2 == 0
            && self.mates.contains(&from)
        {
            let tags = tags.chunks_exact(2).map(|t| u16::from_be_bytes([t[0], t[1]])).collect();
            self.said.insert(from, (now, tags));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings(me: u32) -> Settings {
        Settings { me, nodes: 100, may_tell: true, may_probe: true, ..Settings::default() }
    }

    fn listed(n: u32) -> RosterEntry {
        RosterEntry {
            worker: WorkerId(n),
            tag: u64::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            zone: ZoneId((n % 2) as u16),
            kind: KindId(0),
            cell: CellId(0),
            status: Status::Ready,
            weight: 1.0,
            started_at: None,
        }
    }

    /// Who has which worker, by one node of each group.
    fn parts(workers: &[RosterEntry]) -> BTreeMap<WorkerId, u32> {
        let mut owner = BTreeMap::new();
        for me in 0..10 {
            let mut share = Share::of(&settings(me));
            share.deal(workers);
            let part: Vec<WorkerId> = share.workers().collect();
            assert!((4..=8).contains(&part.len()), "group {me} has {part:?}");
            part.into_iter().for_each(|w| assert_eq!(owner.insert(w, me), None, "{w:?} has two groups"));
        }
        owner
    }

    #[test]
    fn every_worker_has_one_group_and_one_that_leaves_moves_few() {
        let all: Vec<RosterEntry> = (0..60).map(listed).collect();
        let before = parts(&all);
        assert_eq!(before.len(), 60);
        let after = parts(&all[1..]);
        let moved = after.iter().filter(|(w, group)| before[w] != **group).count();
        assert!(moved <= 6, "{moved} of 59 have another group");
        // The order of the list does not matter.
        assert_eq!(parts(&all.iter().rev().copied().collect::<Vec<_>>()), before);
    }

    #[test]
    fn a_node_by_itself_or_without_messages_has_no_group() {
        for set in [Settings { nodes: 1, ..settings(0) }, Settings { may_tell: false, ..settings(0) }] {
            let mut share = Share::of(&set);
            share.deal(&[listed(1)]);
            assert!(!share.on() && share.workers().next().is_none() && share.load(&listed(1), 0).is_none());
        }
    }
}
