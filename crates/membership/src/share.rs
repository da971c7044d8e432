//! Who deals with which worker, by the view; and how much of a worker's limit one place may take, whatever the views.
//!
//! The two are apart on purpose. Who goes to a worker first follows the view, so that a death moves the dead one's workers
//! and no others. How much it may take there does not: every configured place has its part, by a rank that all work out
//! alike, so that the sum over all places is the limit even while each of them believes something else of the others
//! (docs/design/membership.md has the argument).

use crate::Micros;
use crate::wire::hash;
use std::collections::VecDeque;

/// How much this place wants this worker: the highest of all gets it first (rendezvous hashing, Thaler and Ravishankar 1998).
fn weight(tag: u64, place: u16) -> u64 {
    hash(&[tag, place.into()])
}

/// The place that deals with a worker first: of those that may hold work (`holders`, from [`crate::View::holders`]) the one
/// that ranks highest for it. Where one place dies, its workers move, each to another, and no other worker does.
pub fn owner(tag: u64, holders: &[bool]) -> Option<u16> {
    let all = (0..=u16::MAX).zip(holders).filter(|(_, holds)| **holds);
    all.map(|(place, _)| place).max_by_key(|place| (weight(tag, *place), *place))
}

/// The group of each worker, where place `p` belongs to group `p % groups`: the group of its owner, or of the next in rank
/// as long as groups have had their part. A group's part grows with the members that it has left; one death moves about
/// as many workers as one place has.
pub fn deal(tags: &[u64], holders: &[bool], groups: u16) -> Vec<Option<u16>> {
    let groups = groups.max(1);
    let present: Vec<u16> =
        (0..=u16::MAX).zip(holders).filter(|(_, h)| **h).map(|(place, _)| place).collect();
    let mut size = vec![0_usize; groups.into()];
    present.iter().for_each(|p| size[usize::from(p % groups)] += 1);
    let room = |members: usize| (tags.len() * members).div_ceil(present.len().max(1));
    let mut rooms: Vec<usize> = size.iter().map(|s| room(*s)).collect();
    // In an order that does not depend on the list's, so that one more or less changes little.
    let mut order: Vec<usize> = (0..tags.len()).collect();
    order.sort_unstable_by_key(|n| (hash(&[tags[*n]]), tags[*n], *n));
    let mut dealt = vec![None; tags.len()];
    for n in order {
        let open = present.iter().filter(|p| rooms[usize::from(*p % groups)] > 0);
        if let Some(place) = open.max_by_key(|p| (weight(tags[n], **p), **p)) {
            let group = place % groups;
            rooms[usize::from(group)] -= 1;
            dealt[n] = Some(group);
        }
    }
    dealt
}

/// This place's rank for a worker among all configured places, 0 for the first. Costs time in proportion to `peers`.
pub fn rank(tag: u64, place: u16, peers: u16) -> u16 {
    let of = |p: u16| (weight(tag, p), p);
    (0..peers).filter(|p| of(*p) > of(place)).count() as u16
}

/// The part of `room` that the place of this rank may take: a floor for all, and one more for the first of them. The sum
/// over all ranks is `room` exactly, also where it is smaller than `peers`; and no part falls as `room` grows.
pub fn part(room: u32, peers: u16, rank: u16) -> u32 {
    let peers = u32::from(peers).max(1);
    room / peers + u32::from(u32::from(rank) < room % peers)
}

/// What one place has taken of one worker lately, and may still take, by the room that the worker's own reports show.
///
/// Of the room in a report it may take its [`part`], once: what it took within twice the report's possible lag counts
/// against it. As reports come to show what was taken and what has ended, each gives a new part, so that survivors come to
/// use all of a worker, a part at a time, though nobody ever takes over another's.
#[derive(Debug, Clone, Default)]
pub struct Takes {
    taken: VecDeque<(Micros, u32)>,
    sum: u32,
}

/// The room that a worker's report shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Its limit less what it has.
    pub free: u32,
    /// When it was measured, at the earliest, by this place's clock: when it came, less its time under way.
    pub measured: Micros,
}

impl Takes {
    /// How much more may be taken now. `lag` is the most that may pass from the measuring of a report to the arrival at the
    /// worker of what was decided by it; a report that is too old for that gives nothing.
    pub fn may(&mut self, now: Micros, room: Room, lag: Micros, peers: u16, rank: u16) -> u32 {
        while let Some((_, n)) = self.taken.front().filter(|(at, _)| now.saturating_sub(*at) >= 2 * lag) {
            self.sum -= n;
            self.taken.pop_front();
        }
        if now.saturating_sub(room.measured) >= lag {
            return 0;
        }
        part(room.free, peers, rank).saturating_sub(self.sum)
    }

    /// So much was taken.
    pub fn took(&mut self, now: Micros, n: u32) {
        match self.taken.back_mut().filter(|(at, _)| *at == now) {
            Some((_, had)) => *had += n,
            None => self.taken.push_back((now, n)),
        }
        self.sum += n;
    }
}

/// A worker and the places that take of it, each by a report of its own choice: the most that was ever over the limit.
/// For proofs; with a `window` of twice the lag nothing may ever be over.
#[doc(hidden)]
pub fn adversary(seed: u64, window: f64) -> u32 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let peers = [2, 3, 4, 6, 10, 30][rng.usize(0..6)];
    let limit = [3, 10, 37, 100, u32::from(peers) * 8][rng.usize(0..5)];
    let (lag, flight) = (1_000_u64, [0, 300][rng.usize(0..2)]);
    let ends = rng.bool();
    let ranks: Vec<u16> = (0..peers).map(|place| rank(seed, place, peers)).collect();
    // Who is there at all, in whosever view.
    let live: Vec<u16> = (0..peers).filter(|_| rng.u8(0..10) < 6).collect();
    let mut takes: Vec<Takes> = vec![Takes::default(); peers.into()];
    let mut jobs: Vec<(u64, u64)> = Vec::new(); // from its arrival to its end
    let (mut now, mut over) = (10 * lag, 0_u32);
    for _ in 0..60 {
        now += [0, 0, 50, 300, 950, 999, rng.u64(0..2_000)][rng.usize(0..7)];
        let Some(place) = rng.choice(&live).copied() else { break };
        let measured = now - [0, rng.u64(0..lag - flight), lag - flight - 1][rng.usize(0..3)];
        let used = jobs.iter().filter(|(from, to)| *from <= measured && measured < *to).count() as u32;
        let room = Room { free: limit.saturating_sub(used), measured };
        let at = usize::from(place);
        // What the window is short of is what the place forgets too early.
        let kept = (window * lag as f64) as u64;
        let short = takes[at].taken.iter().filter(|(t, _)| now - t < 2 * lag && now - t >= kept);
        let short: u32 = short.map(|(_, n)| n).sum();
        let before = takes[at].clone();
        let may = takes[at].may(now, room, lag, peers, ranks[at]);
        let may = if short > 0 {
            part(room.free, peers, ranks[at]).saturating_sub(before.sum - short)
        } else {
            may
        };
        let n = if rng.u8(0..10) < 8 { may } else { rng.u32(0..=may) };
        takes[at].took(now, n);
        for _ in 0..n {
            let from = now + [0, flight, rng.u64(0..=flight)][rng.usize(0..3)];
            let to = if ends { from + rng.u64(1..6_000) } else { u64::MAX };
            jobs.push((from, to));
        }
        let open = jobs.iter().filter(|(_, to)| *to > now).count() as u32;
        over = over.max(open.saturating_sub(limit));
    }
    over
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// The parts of all places are the limit, whatever any of them believes of the others, and none falls with more room.
        #[test]
        fn parts_make_up_the_room(room in 0..100_000_u32, more in 0..500_u32, peers in 1..400_u16, tag in any::<u64>()) {
            let mut ranks: Vec<u16> = (0..peers).map(|place| rank(tag, place, peers)).collect();
            prop_assert_eq!(ranks.iter().map(|r| part(room, peers, *r)).sum::<u32>(), room);
            prop_assert!(ranks.iter().all(|r| part(room, peers, *r) <= part(room + more, peers, *r)));
            // Each sees other room, no more than there is: together they still take no more.
            let least = |n: u16| room.saturating_sub(u32::from(n) * 7 % (room + 1));
            prop_assert!((0..peers).map(|n| part(least(n), peers, ranks[usize::from(n)])).sum::<u32>() <= room);
            ranks.sort_unstable();
            prop_assert!(ranks.iter().enumerate().all(|(n, r)| n == usize::from(*r)));
        }

        /// Only a dead place's workers move.
        #[test]
        fn a_death_moves_its_own_workers(tags in prop::collection::vec(any::<u64>(), 1..200), peers in 2..40_usize, dead in any::<prop::sample::Index>()) {
            let all = vec![true; peers];
            let mut fewer = all.clone();
            let dead = dead.index(peers);
            fewer[dead] = false;
            for tag in tags {
                let (before, after) = (owner(tag, &all), owner(tag, &fewer));
                prop_assert!(before == after || before == Some(dead as u16));
                prop_assert_eq!(before.map(|p| rank(tag, p, peers as u16)), Some(0));
            }
        }
    }

    /// Groups get parts after their members, and one death moves about as many workers as one place has.
    #[test]
    fn one_death_moves_few_of_the_dealt() {
        let (mut moved, mut due) = (0, 0.0);
        for seed in 0..20_u64 {
            let tags: Vec<u64> = (0..600).map(|n| hash(&[seed, n])).collect();
            let mut holders = vec![true; 100];
            let before = deal(&tags, &holders, 10);
            for group in 0..10 {
                let has = before.iter().filter(|g| **g == Some(group)).count();
                assert!(has <= 60, "seed {seed}: group {group} has {has}");
            }
            holders[(seed * 7 % 100) as usize] = false;
            let after = deal(&tags, &holders, 10);
            moved += before.iter().zip(&after).filter(|(a, b)| a != b).count();
            due += 600.0 / 100.0;
        }
        println!("moved {moved} where {due} are the dead ones' own");
        assert!(moved as f64 <= 3.0 * due, "moved {moved}, due {due}");
        assert_eq!(deal(&[1, 2], &[false, false], 2), [None, None]);
    }

    /// Nothing is over the limit with the window of twice the lag; with a shorter one the same search finds it over.
    #[test]
    fn takes_stay_within_the_limit() {
        for seed in 0..3_000 {
            assert_eq!(adversary(seed, 2.0), 0, "seed {seed}");
        }
        let over = (0..3_000).filter(|seed| adversary(*seed, 1.0) > 0).count();
        assert!(over > 0, "the search finds nothing, so it says nothing");
    }
}
