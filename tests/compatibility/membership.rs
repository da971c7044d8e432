//! Membership datagrams: a group of members with losses, a restart and a departure, and their datagrams in order.

use crate::{assert_matches_golden_file, to_hex};
use mothproxy_membership::{Config, Membership, Output};
use std::collections::{BTreeMap, VecDeque};

const MEMBERS: u16 = 6;
/// The time between two steps, in microseconds.
const STEP: u64 = 100_000;
const EPOCH: u64 = 1_790_000_000_000;

fn start(place: u16, epoch: u64, now: u64) -> Membership {
    Membership::new(Config::new(place, MEMBERS, epoch, u64::from(place)), now).expect("sound settings")
}

/// The bytes of membership datagrams are unchanged.
#[test]
fn membership_datagrams_keep_their_bytes() {
    let mut members: Vec<Membership> = (0..MEMBERS).map(|place| start(place, EPOCH, 0)).collect();
    let mut written = String::new();
    let mut counts_by_kind: BTreeMap<u8, usize> = BTreeMap::new();
    let mut in_flight: VecDeque<(u16, u16, Vec<u8>)> = VecDeque::new();
    for step in 0..900_u64 {
        let now = step * STEP;
        if step == 300 {
            members[2] = start(2, EPOCH + 30_000, now);
        }
        if step == 500 {
            members[4].leave(now);
        }
        if step % 40 == 7 {
            let fact = step.to_be_bytes();
            members[usize::from(step as u16 / 40 % 4)].publish(now, 9, (step / 40 % 3) as u32, &fact).ok();
        }
        for place in 0..MEMBERS {
            let member = &mut members[usize::from(place)];
            member.tick(now);
            while let Some(output) = member.poll() {
                if let Output::Send { to, bytes } = output {
                    in_flight.push_back((place, to, bytes));
                }
            }
        }
        for (from, to, bytes) in std::mem::take(&mut in_flight) {
            let count = counts_by_kind.entry(bytes[5]).or_default();
            *count += 1;
            if *count <= 8 {
                written += &format!("{from} {to} {}\n", to_hex(&bytes));
            }
            let cut = (200..260).contains(&step) && (from == 1 || to == 1);
            let lost = (step + u64::from(from) * 7 + u64::from(to)) % 13 == 0;
            if !cut && !lost {
                members[usize::from(to)].receive(now, from, &bytes);
            }
        }
    }
    let counts: String =
        counts_by_kind.iter().map(|(kind, count)| format!("kind {kind}: {count}\n")).collect();
    assert_matches_golden_file("membership-datagrams.txt", &(counts + &written));
}
