//! Encoding of datagrams.

use super::{
    Body, CHECKSUM_BYTES, FACT_TAG, FactKey, FactList, FactRecord, KIND_OFFSET, MemberPage, MemberRow,
    Record, Route, Stamp, StateRecord, kind,
};
use crate::view::MemberVersion;
use crate::{MAX_DATAGRAM_BYTES, State, VERSION};

/// A datagram under construction.
#[derive(Debug, Clone)]
pub(crate) struct Writer {
    bytes: Vec<u8>,
    /// The sender's epoch, to which other epochs are relative.
    base_epoch: u64,
}

impl Writer {
    /// Begins a datagram. The body may exceed the maximum length of a datagram: the caller has to check [`Writer::len`].
    pub fn new(sender: MemberVersion, body: &Body) -> Writer {
        let mut writer = Writer::begin(sender, body.kind());
        writer.body(body);
        writer
    }

    fn begin(sender: MemberVersion, kind: u8) -> Writer {
        let mut writer = Writer { bytes: Vec::with_capacity(64), base_epoch: sender.epoch };
        writer.bytes.extend([VERSION, 0, 0, 0, 0, kind]);
        writer.varint(sender.epoch);
        writer.varint(sender.incarnation.into());
        writer
    }

    /// The length so far, in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends a record if it fits into the datagram. Returns whether it did.
    pub fn add(&mut self, record: &Record) -> bool {
        let before = self.bytes.len();
        match record {
            Record::State(record) => self.state_record(record),
            Record::Fact(record) => self.fact_record(record),
        }
        let fits = self.bytes.len() <= MAX_DATAGRAM_BYTES;
        if !fits {
            self.bytes.truncate(before);
        }
        fits
    }

    /// Adds the checksum for this route and returns the datagram.
    pub fn finish(mut self, route: Route) -> Vec<u8> {
        let checksum = route.checksum(&self.bytes[KIND_OFFSET..]);
        self.bytes[CHECKSUM_BYTES].copy_from_slice(&checksum);
        self.bytes
    }

    fn body(&mut self, body: &Body) {
        match body {
            Body::Ping { seq } | Body::Ack { seq } | Body::Nack { seq } => self.varint((*seq).into()),
            Body::PingRequest { seq, target } => {
                self.varint((*target).into());
                self.varint((*seq).into());
            }
            Body::Gossip => {}
            Body::Digest { salt, hashes } => {
                self.bytes.extend(salt.to_le_bytes());
                hashes.iter().for_each(|hash| self.bytes.extend(hash.to_le_bytes()));
            }
            Body::MemberPage(page) => self.member_page(page),
            Body::FactList(list) => self.fact_list(list),
            Body::FactRequest { place, keys } => {
                self.varint((*place).into());
                self.bytes.push(keys.len() as u8);
                keys.iter().for_each(|key| self.fact_key(*key));
            }
        }
    }

    fn member_page(&mut self, page: &MemberPage) {
        self.bytes.extend(page.salt.to_le_bytes());
        self.varint(page.first.into());
        self.bytes.push(page.rows.len() as u8);
        page.rows.iter().for_each(|row| self.member_row(row));
    }

    fn fact_list(&mut self, list: &FactList) {
        self.bytes.extend(list.salt.to_le_bytes());
        self.varint(list.place.into());
        self.bytes.push(list.below.is_some().into());
        list.below.into_iter().for_each(|below| self.stamp(below));
        self.bytes.extend(list.rest_hash.to_le_bytes());
        self.bytes.push(list.held.len() as u8);
        for fact in &list.held {
            self.fact_key(fact.key);
            self.stamp(fact.stamp);
        }
    }

    fn state_record(&mut self, record: &StateRecord) {
        self.bytes.push(record.state as u8);
        self.varint(record.place.into());
        self.version(record.version);
        if record.state == State::Suspect {
            self.bytes.push(record.accusers.len() as u8);
            record.accusers.iter().for_each(|accuser| self.varint((*accuser).into()));
        }
    }

    fn fact_record(&mut self, record: &FactRecord) {
        self.bytes.push(FACT_TAG);
        self.varint(record.place.into());
        self.fact_key(record.key);
        self.stamp(record.stamp);
        self.bytes.push(record.bytes.len() as u8);
        self.bytes.extend(&record.bytes);
    }

    fn member_row(&mut self, row: &MemberRow) {
        let has_facts = row.facts_hash != 0;
        self.bytes.push(row.state as u8 | u8::from(has_facts) << 3);
        if row.state != State::Unknown {
            self.version(row.version);
        }
        if has_facts {
            self.bytes.extend(row.facts_hash.to_le_bytes());
        }
    }

    fn fact_key(&mut self, key: FactKey) {
        self.bytes.push(key.kind);
        self.varint(key.slot.into());
    }

    fn stamp(&mut self, stamp: Stamp) {
        self.epoch(stamp.epoch);
        self.varint(stamp.number);
    }

    fn version(&mut self, version: MemberVersion) {
        self.epoch(version.epoch);
        self.varint(version.incarnation.into());
    }

    /// Appends an epoch as its zigzag-encoded difference from the sender's epoch.
    fn epoch(&mut self, epoch: u64) {
        let difference = epoch.wrapping_sub(self.base_epoch) as i64;
        self.varint((difference << 1 ^ difference >> 63) as u64);
    }

    /// Appends a varint.
    fn varint(&mut self, mut number: u64) {
        while number >= 0x80 {
            self.bytes.push(number as u8 | 0x80);
            number >>= 7;
        }
        self.bytes.push(number as u8);
    }
}

impl MemberPage {
    /// The length of a datagram with this page and no records, in bytes.
    pub fn datagram_len(&self, sender: MemberVersion) -> usize {
        let mut writer = Writer::begin(sender, kind::MEMBER_PAGE);
        writer.member_page(self);
        writer.len()
    }
}

impl FactList {
    /// The length of a datagram with this list and no records, in bytes.
    pub fn datagram_len(&self, sender: MemberVersion) -> usize {
        let mut writer = Writer::begin(sender, kind::FACT_LIST);
        writer.fact_list(self);
        writer.len()
    }
}
