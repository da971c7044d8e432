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

/// How late things may be, and what is kept back for it. All places must use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// How many places are configured, whether they are there or not.
    pub peers: u16,
    /// The oldest report that anybody decides by, counted from its measuring.
    pub age: Micros,
    /// The longest from a decision until the worker's reports would show it.
    pub flight: Micros,
    /// What all places together may take within `age + flight`; so much of the limit stays free in return.
    pub reserve: u32,
}

/// The room that a worker's report shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Its limit less what it has.
    pub free: u32,
    /// When it was measured, at the earliest, by this place's clock: when it came, less its time under way.
    pub measured: Micros,
}

/// What one place has taken of one worker lately, and may still take by the room that the worker's own reports show.
///
/// What it took within `age + flight` and has not ended may be at most its [`part`] of the reserve, and at most its part of
/// the room in the report less the reserve. Then no worker ever has more than its limit, whatever each place believes of the
/// others: docs/design/membership.md has the proof. As reports come to show what was taken and what has ended, each gives
/// new room, so that survivors come to use all of a worker but the reserve, though nobody takes over another's part.
#[derive(Debug, Clone, Default)]
pub struct Takes {
    taken: VecDeque<(Micros, u32)>,
}

impl Takes {
    /// How much more may be taken now, by the place of this rank.
    pub fn may(&mut self, now: Micros, room: Room, bound: &Bound, rank: u16) -> u32 {
        let lag = bound.age + bound.flight;
        while self.taken.front().is_some_and(|(at, _)| now.saturating_sub(*at) >= lag) {
            self.taken.pop_front();
        }
        if now.saturating_sub(room.measured) >= bound.age {
            return 0;
        }
        let least = bound.reserve.min(room.free.saturating_sub(bound.reserve));
        let open: u32 = self.taken.iter().map(|(_, n)| n).sum();
        part(least, bound.peers, rank).saturating_sub(open)
    }

    /// So much was taken.
    pub fn took(&mut self, now: Micros, n: u32) {
        match self.taken.back_mut().filter(|(at, _)| *at == now) {
            Some((_, had)) => *had += n,
            None if n > 0 => self.taken.push_back((now, n)),
            None => {}
        }
    }

    /// One that was taken then has ended, as the worker's reports show from now on (or it never arrived and never will).
    pub fn ended(&mut self, taken: Micros) {
        if let Some((_, n)) = self.taken.iter_mut().find(|(at, _)| *at == taken) {
            *n = n.saturating_sub(1);
        }
    }
}

/// A worker and the places that take of it, each by a report of its own choice: the most that was ever over the limit.
/// For proofs. With a `window` of 1 nothing may ever be over; with less, a place forgets too early what it took.
#[doc(hidden)]
pub fn adversary(seed: u64, window: f64) -> u32 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let peers = [2, 3, 4, 6, 10, 30][rng.usize(0..6)];
    let limit = [3, 10, 37, 100, u32::from(peers) * 8][rng.usize(0..5)];
    let (lag, flight) = (1_000_u64, [0, 300][rng.usize(0..2)]);
    let bound = Bound { peers, age: lag - flight, flight, reserve: limit / [2, 3, 4, 8][rng.usize(0..4)] };
    let ends = rng.bool();
    let ranks: Vec<u16> = (0..peers).map(|place| rank(seed, place, peers)).collect();
    // Who is there at all, in whosever view.
    let live: Vec<u16> = (0..peers).filter(|_| rng.u8(0..10) < 6).collect();
    let mut takes: Vec<Takes> = vec![Takes::default(); peers.into()];
    // By whom, decided when, at the worker from when until when.
    let mut jobs: Vec<(usize, Micros, Micros, Micros)> = Vec::new();
    let (mut now, mut over) = (10 * lag, 0);
    for _ in 0..80 {
        let before = now;
        now += [0, 0, 50, 300, 950, 999, rng.u64(0..2_000)][rng.usize(0..7)];
        for (place, decided, _, _) in jobs.iter().filter(|j| before < j.3 && j.3 <= now) {
            takes[*place].ended(*decided);
        }
        let Some(place) = rng.choice(&live).map(|p| usize::from(*p)) else { break };
        let measured = now - [0, rng.u64(0..bound.age), bound.age - 1][rng.usize(0..3)];
        let used = jobs.iter().filter(|j| j.2 <= measured && measured < j.3).count() as u32;
        let room = Room { free: limit.saturating_sub(used), measured };
        let kept = (window * lag as f64) as u64;
        takes[place].taken.retain(|(at, _)| now - at < kept);
        let may = takes[place].may(now, room, &bound, ranks[place]);
        let n = if rng.u8(0..10) < 8 { may } else { rng.u32(0..=may) };
        takes[place].took(now, n);
        for _ in 0..n {
            let from = now + [0, flight, rng.u64(0..=flight)][rng.usize(0..3)];
            let to = if ends { from + rng.u64(1..6_000) } else { u64::MAX };
            jobs.push((place, now, from, to));
        }
        let open = jobs.iter().filter(|j| j.3 > now).count() as u32;
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

    /// Nothing is over the limit; where places forget earlier what they took, the same search finds it over.
    #[test]
    fn takes_stay_within_the_limit() {
        for seed in 0..3_000 {
            assert_eq!(adversary(seed, 1.0), 0, "seed {seed}");
        }
        let over = (0..3_000).filter(|seed| adversary(*seed, 0.0) > 0).count();
        assert!(over > 0, "the search finds nothing, so it says nothing");
    }
}
