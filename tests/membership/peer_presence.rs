//! The notifications that membership sends to a dispatcher's policy and log.

use crate::common::MS;
use mothproxy::fleet::{
    Fleet as FleetComponents, FleetOutput, FleetSettings, MembershipSettings, ProcessIdentity,
};
use mothproxy::policy::interface::PeerPresence::{self, Present, Unreachable};

/// The connection between a pair of dispatchers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Link {
    Connected,
    Cut,
}

/// The fleet components of two dispatchers on a simulated clock. Datagrams are delivered without delay.
struct Pair {
    components: Vec<FleetComponents>,
    now: u64,
    /// The presence notifications to the policy of each dispatcher, in order.
    presence: Vec<Vec<Vec<PeerPresence>>>,
    /// For each log line of each dispatcher, the number of lines suppressed before it.
    suppressed_before: Vec<Vec<u64>>,
}

impl Pair {
    /// Dispatchers 0 and 1 of a group with this number of places.
    fn new(places: usize) -> Pair {
        let membership = MembershipSettings {
            probe_interval: 100 * MS,
            probe_timeout: 30 * MS,
            ..MembershipSettings::default()
        };
        let settings = FleetSettings { membership: Some(membership), ..FleetSettings::default() };
        let identity =
            |index| ProcessIdentity { place: index, peers: places, epoch: 1_000 + u64::from(index), seed: 3 };
        let components = (0..2).map(|index| {
            FleetComponents::new(settings.clone(), identity(index), 0).expect("invalid settings")
        });
        Pair {
            components: components.collect(),
            now: 0,
            presence: vec![Vec::new(); 2],
            suppressed_before: vec![Vec::new(); 2],
        }
    }

    /// Advances the time in steps of a millisecond.
    fn run(&mut self, span: u64, link: Link) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            for index in 0..2 {
                if self.components[index].next_wake(self.now).is_some_and(|at| at <= self.now) {
                    self.components[index].on_timer(self.now);
                }
                while let Some(output) = self.components[index].poll() {
                    self.handle(index, output, link);
                }
            }
        }
    }

    fn handle(&mut self, index: usize, output: FleetOutput, link: Link) {
        match output {
            FleetOutput::Send { to, bytes } if link == Link::Connected && to < 2 => {
                let receiver = &mut self.components[to as usize];
                assert!(receiver.accepts(&bytes) && bytes.len() <= 256);
                receiver.on_datagram(self.now, index as u32, &bytes);
            }
            FleetOutput::Send { .. } | FleetOutput::MemberChanged(_) | FleetOutput::Fact(_) => {}
            FleetOutput::PeerPresence(presence) => self.presence[index].push(presence),
            FleetOutput::LogChange { suppressed, .. } => self.suppressed_before[index].push(suppressed),
        }
    }
}

/// An unknown place counts as present for a while and then as unreachable; a dead member is unreachable; the own place is always
/// present.
#[test]
fn policy_is_notified_of_peer_presence() {
    let mut pair = Pair::new(3);
    pair.run(400 * MS, Link::Connected);
    assert_eq!(pair.presence[0], [[Present; 3]], "all places must be present at first");
    pair.run(10_000 * MS, Link::Connected);
    assert_eq!(
        pair.presence[0].last(),
        Some(&vec![Present, Present, Unreachable]),
        "the unknown place must be unreachable"
    );
    pair.run(20_000 * MS, Link::Cut);
    let isolated = [vec![Present, Unreachable, Unreachable], vec![Unreachable, Present, Unreachable]];
    assert!((0..2).all(|index| pair.presence[index].last() == Some(&isolated[index])), "{:?}", pair.presence);
    pair.run(20_000 * MS, Link::Connected);
    assert!(
        pair.presence.iter().all(|presence| presence.last() == Some(&vec![Present, Present, Unreachable])),
        "{:?}",
        pair.presence
    );
    let notified = pair.presence[0].len();
    pair.run(20_000 * MS, Link::Connected);
    assert_eq!(pair.presence[0].len(), notified, "unchanged presence must not be notified again");
    // Another process has taken over the place of dispatcher 0. Until it restarts, dispatcher 0 sends nothing, even if it leaves.
    pair.components[0].suspend();
    pair.components[0].announce_leave(pair.now);
    assert!(pair.components[0].next_wake(pair.now).is_none() && pair.components[0].poll().is_none());
    let identity = ProcessIdentity { place: 0, peers: 3, epoch: 9_000, seed: 4 };
    pair.components[0].restart(identity, pair.now).expect("cannot restart the membership");
    pair.run(2_000 * MS, Link::Connected);
    let known =
        pair.components[1].view().and_then(|view| view.member(0).copied()).expect("the member is unknown");
    assert_eq!((known.epoch, known.state), (9_000, mothproxy_membership::State::Alive));
}

/// Frequent state changes of a member yield few log lines, and the suppressed ones are counted.
#[test]
fn limits_log_lines_and_counts_suppressed_ones() {
    let mut pair = Pair::new(2);
    for _ in 0..60 {
        pair.components[1]
            .restart(ProcessIdentity { place: 1, peers: 2, epoch: 2_000 + pair.now, seed: 3 }, pair.now)
            .expect("cannot restart the membership");
        pair.run(100 * MS, Link::Connected);
    }
    pair.run(3_000 * MS, Link::Connected);
    pair.components[1].announce_leave(pair.now);
    pair.run(2_000 * MS, Link::Connected);
    let (lines, suppressed) =
        (pair.suppressed_before[0].len() as u64, pair.suppressed_before[0].iter().sum::<u64>());
    let version = pair.components[0].view().map_or(0, mothproxy_membership::View::version);
    assert!(lines < 40 && suppressed > 0, "{lines} lines, {suppressed} suppressed");
    assert_eq!(lines + suppressed, version, "each change must be logged or counted as suppressed");
}
