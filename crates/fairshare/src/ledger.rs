//! The ledger: registers of what each member told, exact sums over them, and what follows for a tenant.

use crate::decay::{Decay, SPAN, STEPS};
use crate::own::{Account, Amount, Own, Pace, page_of};
use crate::shares::{Shares, SharesError, Tree};
use crate::wire;
use crate::{
    AbsorbError, Config, ConfigError, Figures, Interval, MOST_PAGES, Measure, Origin, Position, RecordError,
    TenantKey, Tier, Use, Worth,
};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// A member's last rate is over so many whole buckets.
pub(crate) const RECENT: u64 = 4;
/// Epochs of a place that are held: the latest.
const EPOCHS: usize = 8;
/// The band widens up to this many times the reckoned use.
const WIDEST: u64 = 3;
/// Below the worth of a job that may be within the share.
const LENT_BELOW: f64 = 0.1;

/// States what must hold: a debug build stops where it does not, a release build counts it in the figures.
macro_rules! invariant {
    ($figures:expr, $holds:expr, $($what:tt)+) => {
        if !$holds {
            debug_assert!(false, $($what)+);
            $figures.broken += 1;
        }
    };
}

/// One account's sums, each amount times the weight of its bucket.
#[derive(Clone, Debug, Default)]
struct Sums {
    class: u8,
    /// Worth and work of all members.
    all: [i128; 2],
    /// The own use in the measure, over the long and over the short memory.
    own: [i128; 2],
    /// Members that used it of late, and how much in the measure.
    recent: Vec<(u32, u64)>,
}

/// A tenant's accounts, in the tree or not.
#[derive(Clone, Debug, Default)]
struct Book {
    key: u32,
    leaf: Option<u32>,
    accounts: Vec<Sums>,
    /// Lines of members, and own accounts by bucket, that are summed here.
    lines: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    account: Account,
    amount: Amount,
}

#[derive(Clone, Debug, Default)]
struct Page {
    number: u64,
    edit: u32,
    entries: Vec<Entry>,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    pages: BTreeMap<u8, Page>,
    edits: u32,
}

/// What one start of a member told.
#[derive(Clone, Debug)]
struct Member {
    origin: Origin,
    /// Up to when it told, sub-steps.
    at: u64,
    /// Its last rates are those of the buckets before this one.
    rated: u64,
    head: Option<u64>,
    head_bucket: u64,
    told: Vec<u32>,
    buckets: BTreeMap<u64, Bucket>,
    /// It left then.
    left: Option<u64>,
    /// Decayed time untold, likely and high, as of a sub-step.
    untold: (u64, [u64; 2]),
}

/// A book's sums, settled.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    used: Interval,
    own: u64,
    own_short: u64,
}

/// The ledger of one member.
#[derive(Clone, Debug)]
pub struct Ledger {
    set: Config,
    long: Decay,
    short: Decay,
    tree: Tree,
    /// What the federation's rate comes to in the account.
    whole: u64,
    /// Parts of the account that a share has in the short memory.
    short_part: f64,
    books: Vec<Book>,
    free_books: Vec<u32>,
    by_key: FxHashMap<u32, u32>,
    members: Vec<Option<Member>>,
    by_origin: BTreeMap<Origin, u32>,
    own: Own,
    pace: Pace,
    now: u64,
    step: u64,
    lent_at: Option<u64>,
    /// Places heard within the horizon, and this one.
    voices: u64,
    figures: Figures,
}

fn to_part(x: f64) -> f64 {
    x.clamp(0.0, 1.0)
}

impl Ledger {
    /// An empty ledger at time `now`. What was told before, by this place too, comes back as facts.
    pub fn new(set: Config, shares: &Shares, now: u64) -> Result<Ledger, ConfigError> {
        let halves = [set.half_life, set.short_half_life];
        let spans = [set.bucket, set.publish_every, set.widen];
        let parts = [set.over_share_worth, set.doubt, set.floor];
        if set.me >= set.peers {
            return Err(ConfigError::Place);
        } else if spans.contains(&0) {
            return Err(ConfigError::NoTime);
        } else if halves.iter().any(|h| !h.is_power_of_two() || *h > 32) {
            return Err(ConfigError::HalfLife);
        } else if set.horizon == 0
            || set.horizon > (30 * set.short_half_life.min(set.half_life)).min(wire::HEAD_BUCKETS as u32)
            || set.future.max(set.reckon) > wire::HEAD_BUCKETS as u32
        {
            return Err(ConfigError::Horizon);
        } else if parts.iter().any(|p| !(0.0..=1.0).contains(p)) {
            return Err(ConfigError::Part);
        } else if set.pages == 0 || set.pages > MOST_PAGES || set.facts_a_round == 0 {
            return Err(ConfigError::Pages);
        }
        let step = step_of(&set, now);
        let landmark = (step / STEPS).saturating_sub(u64::from(set.horizon));
        let long = Decay::new(set.half_life, set.horizon, landmark);
        let short = Decay::new(set.short_half_life, set.horizon, landmark);
        let whole =
            u128::from(set.rate) * u128::from(set.bucket) * u128::from(long.memory()) / (1_000_000 << SPAN);
        if set.rate.max(set.grain) > 1 << 36 || whole > 1 << 56 {
            return Err(ConfigError::Rate);
        }
        let short_part = short.memory() as f64 / long.memory() as f64;
        let pace = Pace { every: set.publish_every, facts: set.facts_a_round, horizon: set.horizon.into() };
        let mut ledger = Ledger {
            long,
            short,
            tree: Tree::default(),
            whole: whole as u64,
            short_part,
            books: Vec::new(),
            free_books: Vec::new(),
            by_key: FxHashMap::default(),
            members: Vec::new(),
            by_origin: BTreeMap::new(),
            own: Own::default(),
            pace,
            now,
            step,
            lent_at: None,
            voices: 1,
            figures: Figures::default(),
            set,
        };
        ledger.reshare(shares)?;
        Ok(ledger)
    }

    /// Goes on with other shares. Use that was told stays, also of tenants that come only now; tenants that are gone have
    /// no share from now on.
    pub fn reshare(&mut self, shares: &Shares) -> Result<(), SharesError> {
        let tree = Tree::of(shares, self.whole)?;
        let old = std::mem::replace(&mut self.tree, tree);
        for leaf in &old.leaves {
            if let Some(book) = self.by_key.get(&leaf.key) {
                self.books[*book as usize].leaf = None;
            }
        }
        for leaf in 0..self.tree.leaves.len() {
            let book = self.book(self.tree.leaves[leaf].key);
            self.books[book as usize].leaf = Some(leaf as u32);
        }
        for leaf in &old.leaves {
            if let Some(book) = self.by_key.get(&leaf.key) {
                self.release(*book, 0);
            }
        }
        self.lent_at = None;
        Ok(())
    }

    /// The place of a tenant's book, opened if it is not.
    fn book(&mut self, key: u32) -> u32 {
        *self.by_key.entry(key).or_insert_with(|| {
            let book = Book { key, ..Book::default() };
            match self.free_books.pop() {
                Some(at) => {
                    self.books[at as usize] = book;
                    at
                }
                None => {
                    self.books.push(book);
                    self.books.len() as u32 - 1
                }
            }
        })
    }

    /// Lets go of so many lines, and of the book once nothing is left of it.
    fn release(&mut self, at: u32, lines: u32) {
        let book = &mut self.books[at as usize];
        invariant!(self.figures, book.lines >= lines, "a book lost more lines than it had");
        book.lines = book.lines.saturating_sub(lines);
        if book.lines == 0 && book.leaf.is_none() {
            self.by_key.remove(&book.key);
            self.books[at as usize] = Book::default();
            self.free_books.push(at);
        }
    }

    fn measured(&self, amount: Amount) -> u64 {
        amount[usize::from(self.set.measure == Measure::Work)]
    }

    fn sums(&mut self, (book, class): Account) -> &mut Sums {
        let accounts = &mut self.books[book as usize].accounts;
        let at = accounts.iter().position(|a| a.class == class).unwrap_or_else(|| {
            accounts.push(Sums { class, ..Sums::default() });
            accounts.len() - 1
        });
        &mut accounts[at]
    }

    /// Adds an amount `sign` times to the sums.
    fn add(&mut self, account: Account, bucket: u64, amount: Amount, sign: i128, own: bool) {
        let (long, short) = (self.long.weight(bucket) * sign, self.short.weight(bucket) * sign);
        let measured = i128::from(self.measured(amount));
        let sums = self.sums(account);
        for (sum, amount) in sums.all.iter_mut().zip(amount) {
            *sum += long * i128::from(amount);
        }
        if own {
            sums.own = [sums.own[0] + long * measured, sums.own[1] + short * measured];
        }
    }

    /// Adds what a member used of late to its last rates, or takes it away.
    fn add_recent(&mut self, member: u32, entries: &[Entry], more: bool) {
        for entry in entries {
            let measured = self.measured(entry.amount);
            if measured == 0 {
                continue;
            }
            let recent = &mut self.sums(entry.account).recent;
            match recent.iter().position(|(of, _)| *of == member) {
                Some(at) if more => recent[at].1 += measured,
                Some(at) => {
                    recent[at].1 = recent[at].1.saturating_sub(measured);
                    if recent[at].1 == 0 {
                        recent.swap_remove(at);
                    }
                }
                None if more => recent.push((member, measured)),
                None => invariant!(self.figures, false, "a last rate that was never added"),
            }
        }
    }

    /// Time goes on: what is beyond the horizon is dropped, what had no room goes into the present bucket.
    fn advance(&mut self, now: u64) {
        self.now = self.now.max(now);
        let (step, before) = (step_of(&self.set, self.now), self.step / STEPS);
        self.step = self.step.max(step);
        let bucket = self.step / STEPS;
        if bucket == before {
            return;
        }
        let oldest = self.oldest();
        for (at, old) in self.own.expire(oldest) {
            for (account, amount) in old.totals() {
                self.add(account, at, amount, -1, true);
                self.release(account.0, 1);
            }
        }
        for at in 0..self.members.len() as u32 {
            self.expire(at, oldest);
        }
        for (of, account, amount) in self.own.spilled_before(bucket) {
            self.add(account, of, amount, -1, true);
            let pages = Own::carried_pages(self.set.pages);
            self.put(bucket, account, amount, pages);
            self.figures.carried += 1;
        }
        let shift = self.long.advance(oldest);
        let short = self.short.advance(oldest);
        if shift > 0 || short > 0 {
            for sums in self.books.iter_mut().flat_map(|b| &mut b.accounts) {
                let lost = sums.all.iter().chain(&sums.own[..1]).any(|s| s & ((1 << shift) - 1) != 0)
                    || sums.own[1] & ((1 << short) - 1) != 0;
                invariant!(self.figures, !lost, "a moved landmark lost a part of a sum");
                sums.all.iter_mut().for_each(|s| *s >>= shift);
                sums.own = [sums.own[0] >> shift, sums.own[1] >> short];
            }
        }
        let mut places: Vec<u16> =
            self.by_origin.keys().map(|o| o.place).filter(|p| *p != self.set.me).collect();
        places.dedup();
        self.voices = places.len() as u64 + 1;
    }

    /// The oldest bucket that counts.
    fn oldest(&self) -> u64 {
        (self.step / STEPS + 1).saturating_sub(self.set.horizon.into())
    }

    /// Drops what a member told of buckets that no longer count, and the member once nothing of it does.
    fn expire(&mut self, at: u32, oldest: u64) {
        let Some(member) = &mut self.members[at as usize] else { return };
        let kept = member.buckets.split_off(&oldest);
        let old = std::mem::replace(&mut member.buckets, kept);
        let (rated, origin) = (member.rated, member.origin);
        let idle = member.buckets.is_empty() && member.at / STEPS + u64::from(self.set.reckon) < oldest;
        for (bucket, held) in old {
            for entries in held.pages.into_values().map(|p| p.entries) {
                if is_recent(rated, bucket) {
                    self.add_recent(at, &entries, false);
                }
                for entry in entries {
                    self.add(entry.account, bucket, entry.amount, -1, false);
                    self.release(entry.account.0, 1);
                }
            }
        }
        if idle {
            self.members[at as usize] = None;
            self.by_origin.remove(&origin);
        }
        self.rate(at);
    }

    fn put(&mut self, bucket: u64, account: Account, amount: Amount, pages: u8) {
        let key = self.books[account.0 as usize].key;
        if self.own.put(bucket, account, key, amount, pages) {
            self.books[account.0 as usize].lines += 1;
        }
        self.add(account, bucket, amount, 1, true);
    }

    /// The bucket of something that happened here at `at`, if it still counts.
    fn own_bucket(&mut self, at: u64) -> Result<u64, RecordError> {
        let bucket = step_of(&self.set, at) / STEPS;
        let refusal = if bucket < self.oldest() {
            RecordError::Late
        } else if bucket > self.step / STEPS {
            RecordError::Future
        } else {
            return Ok(bucket);
        };
        self.figures.own_refused += 1;
        Err(refusal)
    }

    fn class(&self, tenant: TenantKey, class: u8) -> u8 {
        let leaf = self.tree.by_key.get(&tenant.0).map(|leaf| &self.tree.leaves[*leaf as usize]);
        // Classes without a share of their own have one account together.
        class * u8::from(leaf.is_some_and(|l| usize::from(class) < l.classes.len()))
    }

    /// This member served so much of a tenant, at time `at`.
    pub fn record(
        &mut self,
        now: u64,
        at: u64,
        tenant: TenantKey,
        class: u8,
        used: Use,
    ) -> Result<(), RecordError> {
        self.advance(now);
        let bucket = self.own_bucket(at)?;
        if !self.by_key.contains_key(&tenant.0) && self.by_key.len() >= self.set.most_books {
            return Err(RecordError::Full);
        }
        let amount = [used.worth.min(wire::MOST_AMOUNT), used.work.min(wire::MOST_AMOUNT)];
        let account = (self.book(tenant.0), self.class(tenant, class));
        self.put(bucket, account, amount, self.set.pages);
        Ok(())
    }

    /// Takes back so much of what was recorded of `at`, as far as there is any; what was taken.
    pub fn correct(
        &mut self,
        now: u64,
        at: u64,
        tenant: TenantKey,
        class: u8,
        less: Use,
    ) -> Result<Use, RecordError> {
        self.advance(now);
        let bucket = self.own_bucket(at)?;
        let Some(book) = self.by_key.get(&tenant.0).copied() else { return Ok(Use::default()) };
        let account = (book, self.class(tenant, class));
        let taken = self.own.take(bucket, account, tenant.0, [less.worth, less.work]);
        self.add(account, bucket, taken, -1, true);
        Ok(Use { worth: taken[0], work: taken[1] })
    }

    /// The next fact to tell: slot and bytes. Called until `None`; there is nothing before [`Ledger::next_wake`].
    pub fn publish(&mut self, now: u64) -> Option<(u32, Vec<u8>)> {
        self.advance(now);
        let fact = self.own.publish(self.now, self.step, &self.pace)?;
        self.figures.told += 1;
        self.figures.told_bytes += fact.1.len() as u64;
        Some(fact)
    }

    /// When [`Ledger::publish`] has something next.
    pub fn next_wake(&self) -> u64 {
        self.own.next_round()
    }

    /// Takes a fact in, whatever has come before it. One that is no later than what is held changes nothing.
    pub fn absorb(
        &mut self,
        now: u64,
        origin: Origin,
        slot: u32,
        number: u64,
        bytes: &[u8],
    ) -> Result<(), AbsorbError> {
        self.advance(now);
        let done = self.take_in(origin, slot, number, bytes);
        let figures = &mut self.figures;
        *match done {
            Ok(()) => &mut figures.absorbed,
            Err(AbsorbError::Late) => &mut figures.late,
            Err(AbsorbError::Future) => &mut figures.future,
            Err(AbsorbError::Place | AbsorbError::Epoch) => &mut figures.foreign,
            Err(AbsorbError::Full) => &mut figures.full,
            Err(AbsorbError::TooLong | AbsorbError::Version | AbsorbError::Malformed) => {
                &mut figures.malformed
            }
        } += 1;
        done
    }

    fn timely(&self, bucket: u64) -> Result<(), AbsorbError> {
        if bucket < self.oldest() {
            Err(AbsorbError::Late)
        } else if bucket > self.step / STEPS + u64::from(self.set.future) {
            Err(AbsorbError::Future)
        } else {
            Ok(())
        }
    }

    fn take_in(&mut self, origin: Origin, slot: u32, number: u64, bytes: &[u8]) -> Result<(), AbsorbError> {
        if origin.place >= self.set.peers {
            return Err(AbsorbError::Place);
        } else if origin == (Origin { place: self.set.me, epoch: self.set.epoch }) {
            return Ok(()); // the own books know better
        }
        if slot == 0 {
            let head = wire::head(bytes)?;
            self.timely(head.at / STEPS)?;
            let at = self.member(origin)?;
            let Some(member) = &mut self.members[at as usize] else { return Ok(()) };
            if member.head >= Some(number) {
                self.figures.stale += 1;
                return Ok(());
            }
            (member.head, member.head_bucket, member.told) = (Some(number), head.at / STEPS, head.edits);
            self.told_up_to(at, head.at);
            self.rate(at);
            return Ok(());
        }
        let page = wire::page(bytes)?;
        self.timely(page.bucket)?;
        let until = page.bucket * STEPS + page.through.min(STEPS << 20);
        if until / STEPS > self.step / STEPS + u64::from(self.set.future) {
            return Err(AbsorbError::Future);
        }
        let place = page_of(page.bucket, slot).ok_or(AbsorbError::Malformed)?;
        let at = self.member(origin)?;
        let held =
            self.members[at as usize].as_ref().and_then(|m| m.buckets.get(&page.bucket)?.pages.get(&place));
        if held.is_some_and(|held| held.number >= number) {
            self.figures.stale += 1;
            return Ok(());
        }
        let new = |line: &&wire::Line| !self.by_key.contains_key(&line.key().0);
        if self.by_key.len() + page.lines.iter().filter(new).count() > self.set.most_books {
            return Err(AbsorbError::Full);
        }
        self.told_up_to(at, until);
        let mut entries = Vec::with_capacity(page.lines.len());
        for line in &page.lines {
            let (key, class) = line.key();
            let entry = Entry { account: (self.book(key), class), amount: [line.worth, line.work] };
            self.books[entry.account.0 as usize].lines += 1;
            self.add(entry.account, page.bucket, entry.amount, 1, false);
            entries.push(entry);
        }
        let recent = self.members[at as usize].as_ref().is_some_and(|m| is_recent(m.rated, page.bucket));
        if recent {
            self.add_recent(at, &entries, true);
        }
        let Some(member) = &mut self.members[at as usize] else { return Ok(()) };
        let bucket = member.buckets.entry(page.bucket).or_default();
        let old = bucket.pages.insert(place, Page { number, edit: page.edit, entries }).unwrap_or_default();
        bucket.edits = bucket.edits.wrapping_sub(old.edit).wrapping_add(page.edit);
        member.untold.0 = u64::MAX;
        if recent {
            self.add_recent(at, &old.entries, false);
        }
        for entry in old.entries {
            if !self.set.count_twice {
                self.add(entry.account, page.bucket, entry.amount, -1, false);
            }
            self.release(entry.account.0, 1);
        }
        self.rate(at);
        Ok(())
    }

    /// The place of a member, which may be new.
    fn member(&mut self, origin: Origin) -> Result<u32, AbsorbError> {
        if let Some(at) = self.by_origin.get(&origin) {
            return Ok(*at);
        }
        let first = Origin { epoch: 0, ..origin };
        let held: Vec<_> =
            self.by_origin.range(first..).take_while(|(o, _)| o.place == origin.place).collect();
        // The latest ones are held, whichever came first.
        if held.len() >= EPOCHS {
            let (oldest, at) = (*held[0].0, *held[0].1);
            if origin < oldest {
                return Err(AbsorbError::Epoch);
            }
            self.expire(at, u64::MAX);
        }
        for at in self.by_origin.range(first..origin).map(|(_, at)| *at as usize) {
            if let Some(before) = &mut self.members[at] {
                before.untold.0 = u64::MAX; // it ended when this one began
            }
        }
        let member = Member {
            origin,
            at: 0,
            rated: 0,
            head: None,
            head_bucket: 0,
            told: Vec::new(),
            buckets: BTreeMap::new(),
            left: None,
            untold: (u64::MAX, [0; 2]),
        };
        let free = self.members.iter().position(Option::is_none).unwrap_or(self.members.len());
        if free == self.members.len() {
            self.members.push(None);
        }
        self.members[free] = Some(member);
        self.by_origin.insert(origin, free as u32);
        Ok(free as u32)
    }

    /// A member has told all up to here.
    fn told_up_to(&mut self, at: u32, until: u64) {
        if let Some(member) = &mut self.members[at as usize] {
            member.at = member.at.max(until);
            member.untold.0 = u64::MAX;
        }
    }

    /// A member's last rates are those of the latest whole buckets of which nothing told is missing.
    fn rate(&mut self, at: u32) {
        let oldest = self.oldest();
        let Some(member) = &mut self.members[at as usize] else { return };
        let last = member.at / STEPS;
        let mut rated = last;
        for (bucket, ..) in gaps(member, oldest) {
            if bucket + RECENT < rated {
                break;
            }
            rated = rated.min(bucket);
        }
        if rated < oldest + RECENT {
            rated = last; // there is nothing better
        }
        let before = std::mem::replace(&mut member.rated, rated);
        if before == rated {
            return;
        }
        let moved = |bucket: &u64| is_recent(before, *bucket) != is_recent(rated, *bucket);
        let buckets = member.buckets.range(before.min(rated).saturating_sub(RECENT)..before.max(rated));
        let of = |(bucket, held): (&u64, &Bucket)| {
            (*bucket, held.pages.values().flat_map(|p| p.entries.iter().copied()).collect())
        };
        let changes: Vec<(u64, Vec<Entry>)> = buckets.filter(|(b, _)| moved(b)).map(of).collect();
        for (bucket, entries) in changes {
            self.add_recent(at, &entries, is_recent(rated, bucket));
        }
    }

    /// A member has left in order, or is known to have ended: nothing is reckoned for it after this.
    pub fn left(&mut self, now: u64, origin: Origin) {
        self.advance(now);
        let step = self.step;
        if let Some(member) = self.by_origin.get(&origin).and_then(|at| self.members[*at as usize].as_mut()) {
            member.left = Some(member.left.map_or(step, |had| had.min(step)));
            member.untold.0 = u64::MAX;
        }
    }

    /// Decayed time of a member that is not told of, likely and high, in buckets with [`SPAN`] bits behind the point.
    fn untold(&mut self, at: u32) -> [u64; 2] {
        let step = self.step;
        let Some(member) = &self.members[at as usize] else { return [0; 2] };
        if member.untold.0 == step {
            return member.untold.1;
        }
        let place = member.origin.place;
        let after = Origin { epoch: member.origin.epoch.saturating_add(1), place };
        let next = self.by_origin.range(after..).next().map(|(o, _)| *o).filter(|o| o.place == place);
        let mine = (place == self.set.me && self.set.epoch > member.origin.epoch).then_some(self.set.epoch);
        let ended = next.map(|o| o.epoch).into_iter().chain(mine).min();
        let ended =
            ended.map(|ms| sub_steps(&self.set, u128::from(ms) * 1000)).into_iter().chain(member.left).min();
        let reckoned = member.at + u64::from(self.set.reckon) * STEPS;
        let until = step.min(reckoned).min(ended.unwrap_or(u64::MAX)).max(member.at);
        let ages = |from: u64, to: u64| self.long.span(step.saturating_sub(to), step.saturating_sub(from));
        let silence = (until - member.at) * self.set.bucket / STEPS;
        let mut likely = ages(member.at, until);
        let widened = u128::from(likely) * u128::from(silence) / u128::from(self.set.widen);
        let mut high = likely + (widened as u64).min(WIDEST * likely);
        for (bucket, missing, edits) in gaps(member, self.oldest()) {
            let of = ages(bucket * STEPS, ((bucket + 1) * STEPS).min(member.at.max(bucket * STEPS)));
            likely += of * u64::from(missing) / u64::from(edits.max(1));
            high += of;
        }
        if let Some(member) = &mut self.members[at as usize] {
            member.untold = (step, [likely, high]);
        }
        [likely, high]
    }

    fn tally(&mut self, book: u32, class: Option<u8>) -> Tally {
        let measure = usize::from(self.set.measure == Measure::Work);
        let (mut sums, mut own, mut extra) = (0, [0; 2], [0u64; 2]);
        let accounts = std::mem::take(&mut self.books[book as usize].accounts);
        for account in accounts.iter().filter(|a| class.is_none_or(|class| a.class == class)) {
            sums += account.all[measure];
            own = [own[0] + account.own[0], own[1] + account.own[1]];
            for (member, recent) in &account.recent {
                let untold = self.untold(*member);
                for (extra, untold) in extra.iter_mut().zip(untold) {
                    *extra += ((u128::from(*recent) * u128::from(untold)) >> SPAN) as u64 / RECENT;
                }
            }
        }
        self.books[book as usize].accounts = accounts;
        let low = self.long.settle(sums, self.step);
        let used = Interval { low, likely: low + extra[0], high: low + extra[1] };
        Tally {
            used,
            own: self.long.settle(own[0], self.step),
            own_short: self.short.settle(own[1], self.step),
        }
    }

    /// Once a bucket, what is not used is lent anew.
    fn lend(&mut self) {
        let bucket = self.step / STEPS;
        if self.lent_at == Some(bucket) {
            return;
        }
        self.lent_at = Some(bucket);
        let (mut needs, mut all) = (Vec::with_capacity(self.tree.leaves.len()), 0);
        for leaf in 0..self.tree.leaves.len() {
            let book = self.by_key.get(&self.tree.leaves[leaf].key).copied();
            let used = book.map_or(Interval::default(), |book| self.tally(book, None).used);
            needs.push(used.high);
            all += used.likely;
        }
        self.tree.lend(self.whole.max(all), &needs);
    }

    /// Where a tenant stands. A tenant without a share has what it used, and 0.
    pub fn position(&mut self, tenant: TenantKey, now: u64) -> Position {
        self.advance(now);
        self.lend();
        let Some(book) = self.by_key.get(&tenant.0).copied() else { return Position::default() };
        let used = self.tally(book, None).used;
        let leaf = self.tree.by_key.get(&tenant.0).map(|leaf| &self.tree.leaves[*leaf as usize]);
        Position { used, share: leaf.map_or(0, |l| l.share), due: leaf.map_or(0, |l| l.due) }
    }

    /// What is known of a tenant's use in the account, in worth and in work.
    pub fn known(&mut self, tenant: TenantKey, now: u64) -> Use {
        self.advance(now);
        let Some(book) = self.by_key.get(&tenant.0) else { return Use::default() };
        let accounts = &self.books[*book as usize].accounts;
        let [worth, work] =
            [0, 1].map(|i| self.long.settle(accounts.iter().map(|a| a.all[i]).sum(), self.step));
        Use { worth, work }
    }

    /// What one more job of this tenant and class is worth, as a part of its class's worth.
    ///
    /// Within the share by the low end: never below `1 - doubt`. Beyond it: 1 up to the floor; then from below the doubt down
    /// to `over_share_worth` where all that is lent is used up.
    pub fn worth(&mut self, tenant: TenantKey, class: u8, now: u64) -> Worth {
        self.advance(now);
        self.lend();
        let over = self.set.over_share_worth;
        let found = self.tree.by_key.get(&tenant.0).copied().zip(self.by_key.get(&tenant.0).copied());
        let Some((leaf, book)) = found else {
            self.figures.unknown += 1;
            return Worth { part: over, tier: Tier::Over };
        };
        let tally = self.tally(book, None);
        let leaf = &self.tree.leaves[leaf as usize];
        let (share, due, low) = (leaf.share, leaf.due, tally.used.low);
        let class_share = leaf.class_share(class);
        // The part of the share that is this member's to give without asking: as much as it gave of late.
        let mine = to_part((tally.own as f64 / low.max(1) as f64).max(1.0 / self.voices as f64));
        let short_share = share as f64 * self.short_part * mine;
        if share > 0 && low <= share {
            let likely = tally.used.likely;
            let by_all = if likely > share { (likely - share) as f64 / (likely - low) as f64 } else { 0.0 };
            let room = short_share + 2.0 * self.set.grain as f64;
            let by_own = to_part((tally.own_short as f64 - room) / room.max(1.0));
            return Worth { part: 1.0 - self.set.doubt * by_all.max(by_own), tier: Tier::Within };
        }
        if share > 0 && tally.own_short as f64 <= self.set.floor * short_share {
            return Worth { part: 1.0, tier: Tier::Floor };
        }
        if class_share > 0 && self.tally(book, Some(class)).used.low <= class_share {
            return Worth { part: 1.0 - self.set.doubt, tier: Tier::Within };
        }
        if low < due {
            let left = (due - low) as f64 / (due - share) as f64;
            let most = (1.0 - self.set.doubt - LENT_BELOW).max(over);
            return Worth { part: over + (most - over) * left, tier: Tier::Lent };
        }
        Worth { part: over, tier: Tier::Over }
    }

    /// The account's length in microseconds: a steady flow stands in the account as its rate times this.
    pub fn memory(&self) -> u64 {
        ((u128::from(self.long.memory()) * u128::from(self.set.bucket)) >> SPAN) as u64
    }

    /// What has been seen, and how much is held.
    pub fn figures(&self) -> Figures {
        let members = || self.members.iter().flatten();
        let patience = 2 * sub_steps(&self.set, self.set.publish_every.into()) + STEPS;
        Figures {
            members: members().count() as u64,
            silent: members().filter(|m| m.at + patience < self.step).count() as u64,
            gaps: members().map(|m| gaps(m, self.oldest()).count() as u64).sum(),
            books: self.by_key.len() as u64,
            ..self.figures
        }
    }
}

/// Whether a member whose last rates are those before bucket `rated` has them from this one.
fn is_recent(rated: u64, bucket: u64) -> bool {
    bucket < rated && bucket + RECENT >= rated
}

/// Buckets of which a member's head knows more tellings than have come, the latest first: how many are missing, of how many.
fn gaps(member: &Member, oldest: u64) -> impl Iterator<Item = (u64, u32, u32)> + '_ {
    member.told.iter().enumerate().filter_map(move |(back, edits)| {
        let bucket = member.head_bucket.checked_sub(back as u64).filter(|bucket| *bucket >= oldest)?;
        let held = member.buckets.get(&bucket).map_or(0, |b| b.edits);
        (held < *edits).then(|| (bucket, edits - held, *edits))
    })
}

fn sub_steps(set: &Config, wall: u128) -> u64 {
    (wall * u128::from(STEPS) / u128::from(set.bucket)) as u64
}

fn step_of(set: &Config, now: u64) -> u64 {
    sub_steps(set, u128::from(set.wall_at_zero) + u128::from(now))
}
