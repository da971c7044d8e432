//! The state machine.

use crate::*;
use std::collections::VecDeque;

/// A member of the group.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    view: View,
    outputs: VecDeque<Output>,
    figures: Figures,
    next_probe: Micros,
    cursor: u16,
}

impl Membership {
    /// A member that has heard of nobody.
    pub fn new(config: Config, now: Micros) -> Result<Membership, ConfigError> {
        config.check()?;
        let mut view = View::new(config.peers, now);
        view.members[usize::from(config.me)] =
            Member { state: State::Alive, epoch: config.epoch, incarnation: 0, since: now };
        let next_probe = now + fastrand::Rng::with_seed(config.seed).u64(0..config.probe_period);
        let cursor = config.me;
        Ok(Membership {
            config,
            view,
            outputs: VecDeque::new(),
            figures: Figures::default(),
            next_probe,
            cursor,
        })
    }

    /// A datagram came from the address of this place.
    pub fn receive(&mut self, now: Micros, from: u16, datagram: &[u8]) {
        if from == self.config.me || from >= self.config.peers {
            self.figures.refused_foreign += 1;
        } else if datagram.len() != 10 || datagram[0] != VERSION {
            self.figures.refused_malformed += 1;
        } else {
            self.figures.received += 1;
            let epoch = datagram[2..].iter().fold(0, |n, b| n << 8 | u64::from(*b));
            let known = &mut self.view.members[usize::from(from)];
            if known.state != State::Alive || known.epoch < epoch {
                let was = known.state;
                *known = Member { state: State::Alive, epoch, incarnation: 0, since: now };
                self.view.version += 1;
                let change =
                    Change { place: from, epoch, from: was, to: State::Alive, version: self.view.version };
                self.outputs.push_back(Output::Changed(change));
            }
            if datagram[1] == 0 {
                self.send(from, 1);
            }
        }
    }

    fn send(&mut self, to: u16, kind: u8) {
        let bytes = [&[VERSION, kind][..], &self.config.epoch.to_be_bytes()].concat();
        self.outputs.push_back(Output::Send { to, bytes });
    }

    /// The time of [`Membership::next_wake`] has come.
    pub fn tick(&mut self, now: Micros) {
        if now >= self.next_probe && self.config.peers > 1 {
            self.next_probe = now + self.config.probe_period;
            self.cursor = (self.cursor + 1) % self.config.peers;
            if self.cursor == self.config.me {
                self.cursor = (self.cursor + 1) % self.config.peers;
            }
            self.send(self.cursor, 0);
        }
    }

    /// When to call [`Membership::tick`] at the latest; changes with every call.
    pub fn next_wake(&self) -> Micros {
        self.next_probe
    }

    /// This member takes its leave: it says so to others, and answers no longer.
    pub fn leave(&mut self, _now: Micros) {}

    /// What there is to do, until `None`; to be asked after each call of the others.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// What this member believes of all places.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Tells a fact to all members. It replaces the one told before of the same kind and slot.
    pub fn tell(&mut self, _now: Micros, _kind: u8, _slot: u32, bytes: &[u8]) -> Result<(), FactError> {
        if bytes.len() > FACT_BYTES {
            return Err(FactError::TooLong(bytes.len()));
        }
        Ok(())
    }

    /// All facts held, own ones too, by place, kind and slot.
    pub fn facts(&self) -> impl Iterator<Item = Fact<'_>> {
        std::iter::empty()
    }

    /// What was counted, and what is now.
    pub fn figures(&self) -> Figures {
        self.figures
    }
}
