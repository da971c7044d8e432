//! What the simulated network does to datagrams.

use crate::Micros;
use std::ops::RangeInclusive;

/// What the network does to datagrams.
#[derive(Debug, Clone)]
pub struct Faults {
    /// This fraction is lost.
    pub loss: f64,
    /// This fraction arrives twice.
    pub repeat: f64,
    /// The least and the most time that a datagram is under way.
    pub latency: RangeInclusive<Micros>,
    /// The side of each place; what would cross from one side to another is lost.
    pub sides: Vec<u8>,
    /// Places that no datagram reaches, though what they send arrives.
    pub inbound_blocked: Vec<bool>,
    /// Directions in which nothing comes through; the other way it does.
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
    /// A network of so many members that loses nothing, with a latency of 0.2 to 2 ms.
    pub(super) fn none(members: u16) -> Faults {
        Faults {
            loss: 0.0,
            repeat: 0.0,
            latency: 200..=2_000,
            sides: vec![0; members.into()],
            inbound_blocked: vec![false; members.into()],
            one_way: Vec::new(),
        }
    }

    /// Whether nothing comes through in this direction.
    pub(super) fn blocks(&self, direction: Direction) -> bool {
        let Direction { from, to } = direction;
        self.sides[usize::from(from)] != self.sides[usize::from(to)]
            || self.inbound_blocked[usize::from(to)]
            || self.one_way.contains(&direction)
    }
}
