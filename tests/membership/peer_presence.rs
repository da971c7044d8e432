//! What a dispatcher's policy and log are told of its peers by membership.

use crate::common::MS;
use mothproxy::fleet::{Fleet as Parts, FleetOutput, FleetSettings, MembershipSettings, ProcessIdentity};
use mothproxy::policy::interface::PeerPresence::{self, Present, Unreachable};

/// Which of a pair's datagrams arrive.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Link {
    Connected,
    Cut,
}

/// The fleet parts of two dispatchers that hear each other at once, by their own clock.
struct Pair {
    parts: Vec<Parts>,
    now: u64,
    /// What the policy of each was notified of, in order.
    presence: Vec<Vec<Vec<PeerPresence>>>,
    /// For each line that each logged, how many before it were left out.
    suppressed_before: Vec<Vec<u64>>,
}

impl Pair {
    /// Dispatchers 0 and 1 of this many.
    fn new(places: usize) -> Pair {
        let membership = MembershipSettings {
            probe_interval: 100 * MS,
            probe_timeout: 30 * MS,
            ..MembershipSettings::default()
        };
        let settings = FleetSettings { membership: Some(membership), ..FleetSettings::default() };
        let identity =
            |me| ProcessIdentity { place: me, peers: places, epoch: 1_000 + u64::from(me), seed: 3 };
        let parts = (0..2).map(|me| Parts::new(settings.clone(), identity(me), 0).expect("it starts"));
        Pair {
            parts: parts.collect(),
            now: 0,
            presence: vec![Vec::new(); 2],
            suppressed_before: vec![Vec::new(); 2],
        }
    }

    /// Lets time pass by the millisecond.
    fn run(&mut self, span: u64, link: Link) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            for me in 0..2 {
                if self.parts[me].next_wake(self.now).is_some_and(|at| at <= self.now) {
                    self.parts[me].on_timer(self.now);
                }
                while let Some(output) = self.parts[me].poll() {
                    self.handle(me, output, link);
                }
            }
        }
    }

    fn handle(&mut self, me: usize, output: FleetOutput, link: Link) {
        match output {
            FleetOutput::Send { to, bytes } if link == Link::Connected && to < 2 => {
                let receiver = &mut self.parts[to as usize];
                assert!(receiver.accepts(&bytes) && bytes.len() <= 256);
                receiver.on_datagram(self.now, me as u32, &bytes);
            }
            FleetOutput::Send { .. } | FleetOutput::MemberChanged(_) | FleetOutput::Fact(_) => {}
            FleetOutput::PeerPresence(presence) => self.presence[me].push(presence),
            FleetOutput::LogChange { suppressed, .. } => self.suppressed_before[me].push(suppressed),
        }
    }
}

/// A place that was never heard of holds work for a while, and then no longer; the dead do not; the own place always does.
#[test]
fn policy_is_notified_of_peer_presence() {
    let mut pair = Pair::new(3);
    pair.run(400 * MS, Link::Connected);
    assert_eq!(pair.presence[0], [[Present; 3]], "all may, at first");
    pair.run(10_000 * MS, Link::Connected);
    assert_eq!(pair.presence[0].last(), Some(&vec![Present, Present, Unreachable]), "one was never heard of");
    pair.run(20_000 * MS, Link::Cut);
    let alone = [vec![Present, Unreachable, Unreachable], vec![Unreachable, Present, Unreachable]];
    assert!((0..2).all(|me| pair.presence[me].last() == Some(&alone[me])), "{:?}", pair.presence);
    pair.run(20_000 * MS, Link::Connected);
    assert!(
        pair.presence.iter().all(|presence| presence.last() == Some(&vec![Present, Present, Unreachable])),
        "{:?}",
        pair.presence
    );
    let notified = pair.presence[0].len();
    pair.run(20_000 * MS, Link::Connected);
    assert_eq!(pair.presence[0].len(), notified, "nothing is said twice");
    // Another process speaks for the first: it says nothing more, not that it leaves either, until it begins anew.
    pair.parts[0].suspend();
    pair.parts[0].announce_leave(pair.now);
    assert!(pair.parts[0].next_wake(pair.now).is_none() && pair.parts[0].poll().is_none());
    let identity = ProcessIdentity { place: 0, peers: 3, epoch: 9_000, seed: 4 };
    pair.parts[0].restart(identity, pair.now).expect("it begins anew");
    pair.run(2_000 * MS, Link::Connected);
    let seen = pair.parts[1].view().and_then(|view| view.member(0).copied()).expect("a view");
    assert_eq!((seen.epoch, seen.state), (9_000, mothproxy_membership::State::Alive));
}

/// However often a place comes and goes, lines of the log are few, and those left out are counted.
#[test]
fn limits_log_lines_and_counts_suppressed_ones() {
    let mut pair = Pair::new(2);
    for _ in 0..60 {
        pair.parts[1]
            .restart(ProcessIdentity { place: 1, peers: 2, epoch: 2_000 + pair.now, seed: 3 }, pair.now)
            .expect("anew");
        pair.run(100 * MS, Link::Connected);
    }
    pair.run(3_000 * MS, Link::Connected);
    pair.parts[1].announce_leave(pair.now);
    pair.run(2_000 * MS, Link::Connected);
    let (lines, suppressed) =
        (pair.suppressed_before[0].len() as u64, pair.suppressed_before[0].iter().sum::<u64>());
    let version = pair.parts[0].view().map_or(0, mothproxy_membership::View::version);
    assert!(lines < 40 && suppressed > 0, "{lines} lines, {suppressed} left out");
    assert_eq!(lines + suppressed, version, "each change has a line or is counted");
}
