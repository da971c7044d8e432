//! The faults of the simulated network.

use crate::Micros;
use std::ops::RangeInclusive;

/// The faults of the network, and its latency.
#[derive(Debug, Clone)]
pub struct Faults {
    /// The fraction of datagrams that is lost, from 0 to 1.
    pub loss: f64,
    /// The fraction of datagrams that arrives twice, from 0 to 1.
    pub duplication: f64,
    /// The range of latencies, in microseconds.
    pub latency: RangeInclusive<Micros>,
    /// The side of the partition that each place is on. Datagrams from one side to another are lost.
    pub sides: Vec<u8>,
    /// Whether no datagram reaches a place, by place. The datagrams that it sends arrive.
    pub inbound_blocked: Vec<bool>,
    /// Directions in which all datagrams are lost.
    pub one_way: Vec<Direction>,
}

/// A direction between two places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Direction {
    /// The place of the sender.
    pub from: u16,
    /// The place of the receiver.
    pub to: u16,
}

impl Faults {
    /// A network without faults, with a latency of 0.2 to 2 ms.
    pub(super) fn none(members: u16) -> Faults {
        Faults {
            loss: 0.0,
            duplication: 0.0,
            latency: 200..=2_000,
            sides: vec![0; members.into()],
            inbound_blocked: vec![false; members.into()],
            one_way: Vec::new(),
        }
    }

    /// Whether all datagrams in this direction are lost.
    pub(super) fn blocks(&self, direction: Direction) -> bool {
        let Direction { from, to } = direction;
        self.sides[usize::from(from)] != self.sides[usize::from(to)]
            || self.inbound_blocked[usize::from(to)]
            || self.one_way.contains(&direction)
    }
}
