//! Membership's datagrams: a group of machines under losses and a restart, with all that they send each other in order.

use crate::{assert_kept, to_hex};
use mothproxy_membership::{Config, Membership, Output};
use std::collections::{BTreeMap, VecDeque};

const MEMBERS: u16 = 6;
const STEP: u64 = 100_000;
const EPOCH: u64 = 1_790_000_000_000;

fn start(place: u16, epoch: u64, now: u64) -> Membership {
    Membership::new(Config::new(place, MEMBERS, epoch, u64::from(place)), now).expect("sound settings")
}

/// Membership datagrams are written as before.
#[test]
fn membership_datagrams_keep_their_bytes() {
    let mut machines: Vec<Membership> = (0..MEMBERS).map(|place| start(place, EPOCH, 0)).collect();
    let mut written = String::new();
    let mut kinds: BTreeMap<u8, usize> = BTreeMap::new();
    let mut mail: VecDeque<(u16, u16, Vec<u8>)> = VecDeque::new();
    for step in 0..900_u64 {
        let now = step * STEP;
        if step == 300 {
            machines[2] = start(2, EPOCH + 30_000, now);
        }
        if step == 500 {
            machines[4].leave(now);
        }
        if step % 40 == 7 {
            let fact = step.to_be_bytes();
            machines[usize::from(step as u16 / 40 % 4)].publish(now, 9, (step / 40 % 3) as u32, &fact).ok();
        }
        for place in 0..MEMBERS {
            let machine = &mut machines[usize::from(place)];
            machine.tick(now);
            while let Some(output) = machine.poll() {
                if let Output::Send { to, bytes } = output {
                    mail.push_back((place, to, bytes));
                }
            }
        }
        for (from, to, bytes) in std::mem::take(&mut mail) {
            let seen = kinds.entry(bytes[5]).or_default();
            *seen += 1;
            if *seen <= 8 {
                written += &format!("{from} {to} {}\n", to_hex(&bytes));
            }
            let cut = (200..260).contains(&step) && (from == 1 || to == 1);
            let lost = (step + u64::from(from) * 7 + u64::from(to)) % 13 == 0;
            if !cut && !lost {
                machines[usize::from(to)].receive(now, from, &bytes);
            }
        }
    }
    let counts: String = kinds.iter().map(|(kind, count)| format!("kind {kind}: {count}\n")).collect();
    assert_kept("membership-datagrams.txt", &(counts + &written));
}
