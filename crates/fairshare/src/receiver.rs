//! Reception of facts: checks a report of another member, and applies it to the state of that member and to the accounts.

use crate::accounts::{AccountId, Accounts, Entry, Source};
use crate::clock::{Bucket, Clock, SUB_STEPS};
use crate::members::{Members, PageId, ReportedPage};
use crate::wire::{self, Line, Page};
use crate::{AbsorbError, Config, Origin};

/// The maximum number of buckets that a page may cover. It keeps the arithmetic on a received number in range.
const MAX_PAGE_BUCKETS: u64 = 1 << 20;

/// A received fact.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedFact<'a> {
    pub origin: Origin,
    pub slot: u32,
    pub number: u64,
    pub bytes: &'a [u8],
}

/// The result of absorbing a valid fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Absorbed {
    /// The fact was later than the known one of its slot.
    New,
    /// The fact was not later than the known one of its slot, and changed nothing.
    Stale,
}

/// The parts of a ledger that a received fact changes, with the settings and the clock for its checks.
pub(crate) struct Receiver<'a> {
    pub config: &'a Config,
    pub clock: &'a Clock,
    pub accounts: &'a mut Accounts,
    pub members: &'a mut Members,
}

impl Receiver<'_> {
    /// Absorbs a fact. Facts may arrive in any order. A refused fact changes no account.
    pub fn absorb(&mut self, fact: ReceivedFact) -> Result<Absorbed, AbsorbError> {
        let own = Origin { place: self.config.place, epoch: self.config.epoch };
        if fact.origin.place >= self.config.peers {
            Err(AbsorbError::Place)
        } else if fact.origin == own {
            Ok(Absorbed::New) // the own accounts include it already
        } else if fact.slot == wire::HEAD_SLOT {
            self.absorb_head(fact)
        } else {
            self.absorb_page(fact)
        }
    }

    fn absorb_head(&mut self, fact: ReceivedFact) -> Result<Absorbed, AbsorbError> {
        let head = wire::decode_head(fact.bytes)?;
        self.check_time(head.at.bucket())?;
        let member = self.members.find_or_add(fact.origin, self.clock, self.accounts)?;
        let is_new = self.members.apply_head(member, fact.number, head, self.clock, self.accounts);
        Ok(if is_new { Absorbed::New } else { Absorbed::Stale })
    }

    fn absorb_page(&mut self, fact: ReceivedFact) -> Result<Absorbed, AbsorbError> {
        let page = wire::decode_page(fact.bytes)?;
        let bucket = page.bucket;
        self.check_time(bucket)?;
        let until = bucket.start().plus(page.through.min(MAX_PAGE_BUCKETS * SUB_STEPS));
        if self.is_future(until.bucket()) {
            return Err(AbsorbError::Future);
        }
        let number = wire::page_of_slot(bucket, fact.slot).ok_or(AbsorbError::Malformed)?;
        let id = PageId { bucket, number };
        let member = self.members.find_or_add(fact.origin, self.clock, self.accounts)?;
        if self.members.has_page(member, id, fact.number) {
            return Ok(Absorbed::Stale);
        }
        self.check_room(&page)?;
        self.members.record_reported_until(member, until);
        let entries = self.add_entries(&page);
        let reported = ReportedPage { fact_number: fact.number, revision: page.revision, entries };
        let replaced = self.members.replace_page(member, id, reported, self.accounts);
        self.subtract_replaced(replaced, bucket);
        self.members.update_rate(member, self.clock, self.accounts);
        Ok(Absorbed::New)
    }

    /// Adds the lines of a page to the accounts.
    fn add_entries(&mut self, page: &Page) -> Vec<Entry> {
        let mut entries = Vec::with_capacity(page.lines.len());
        for line in &page.lines {
            let key = line.key();
            let account = AccountId { tenant: self.accounts.open(key.tenant), class: key.class };
            let entry = Entry { account, usage: line.usage() };
            self.accounts.retain(account.tenant);
            self.accounts.add(entry, page.bucket, Source::Reported);
            entries.push(entry);
        }
        entries
    }

    /// Subtracts the entries of a replaced page from the accounts.
    fn subtract_replaced(&mut self, entries: Vec<Entry>, bucket: Bucket) {
        for entry in entries {
            if !self.config.count_twice {
                self.accounts.subtract(entry, bucket, Source::Reported);
            }
            self.accounts.release(entry.account.tenant, 1);
        }
    }

    /// Refuses a page whose new tenants would exceed the limit.
    fn check_room(&self, page: &Page) -> Result<(), AbsorbError> {
        let is_unknown = |line: &&Line| self.accounts.find(line.key().tenant).is_none();
        let added = page.lines.iter().filter(is_unknown).count();
        if self.accounts.len() + added > self.config.max_tenants { Err(AbsorbError::Full) } else { Ok(()) }
    }

    fn is_future(&self, bucket: Bucket) -> bool {
        bucket > self.clock.bucket().plus(self.config.max_buckets_ahead.into())
    }

    /// Refuses a bucket that is before the horizon or too far ahead.
    fn check_time(&self, bucket: Bucket) -> Result<(), AbsorbError> {
        if bucket < self.clock.oldest_bucket() {
            Err(AbsorbError::Late)
        } else if self.is_future(bucket) {
            Err(AbsorbError::Future)
        } else {
            Ok(())
        }
    }
}
