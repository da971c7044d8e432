//! What is remembered of keyed jobs, so that a repeat of an `Idempotency-Key` is answered, or sent on only where and as long as
//! the rules allow, also after a crash. Pure: whoever owns it writes what it hands out, and gives back what was written.

use crate::policy::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// The first byte of a note: the version of its form.
const VERSION: u8 = 1;
/// A note is kept for so long after it was last written: far beyond what clients wait and workers remember.
pub const RECORD_TTL: Micros = 3_600_000_000;
/// Notes and their bytes kept at most; beyond that the oldest go.
const MAX_RECORDS: usize = 50_000;
const MAX_RECORD_BYTES: usize = 16 << 20;

/// The key that a client gave a job, under its tenant, and a fingerprint of the job's body.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct IdempotencyKey {
    /// Tenant and key.
    pub key: String,
    /// The body's fingerprint: one key means one body.
    pub body: u64,
}

/// One dispatch of a keyed job.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct AttemptRecord {
    /// The worker, by discovery's name.
    pub worker: String,
    /// Its pod.
    pub cell: u32,
    /// Its zone.
    pub zone: String,
    /// When it was decided, Unix time in microseconds.
    pub at: i64,
    /// It is known that it never ran.
    pub never_ran: bool,
}

/// What is noted of one key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct IdempotencyRecord {
    /// The class, by name.
    pub class: String,
    /// The body's fingerprint.
    pub body: u64,
    /// The newest request's id, as workers name it in call-backs.
    pub id: String,
    /// Where it was sent, oldest first.
    pub sent: Vec<AttemptRecord>,
    /// A worker's result.
    pub result: Option<Vec<u8>>,
}

impl IdempotencyRecord {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![VERSION]);
        crate::invariant!(bytes.is_ok(), "a note that cannot be written");
        bytes.unwrap_or_default()
    }

    /// Reads such bytes, or says why it cannot.
    pub fn decode(bytes: &[u8]) -> Result<IdempotencyRecord, String> {
        match bytes.split_first() {
            Some((&VERSION, rest)) => postcard::from_bytes(rest).map_err(|e| format!("not a note: {e}")),
            Some((other, _)) => {
                Err(format!("a note of version {other}; this program reads version {VERSION}"))
            }
            None => Err("an empty note".to_owned()),
        }
    }

    /// Whether any dispatch may have run.
    pub fn may_have_run(&self) -> bool {
        self.sent.iter().any(|sent| !sent.never_ran)
    }

    /// Enters what became of dispatches; those that are not there yet are added.
    fn merge(&mut self, own: Vec<AttemptRecord>) {
        for sent in own {
            match self.sent.iter_mut().find(|s| s.worker == sent.worker && s.at == sent.at) {
                Some(known) => known.never_ran = sent.never_ran,
                None => self.sent.push(sent),
            }
        }
    }
}

/// What is known of a key that a client brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing: it goes like any other.
    Unknown,
    /// A worker's result.
    Answered(Vec<u8>),
    /// It may have run; the first dispatch that may have.
    MayHaveRun(AttemptRecord),
}

struct Kept {
    note: IdempotencyRecord,
    bytes: usize,
    expires: Micros,
}

/// The notes that are kept.
#[derive(Default)]
pub struct IdempotencyStore {
    notes: HashMap<String, Kept>,
    by_id: HashMap<String, String>,
    order: BTreeSet<(Micros, String)>,
    bytes: usize,
    /// Notes dropped before their time, for want of room.
    pub evicted: u64,
    /// Repeats that got a kept result.
    pub repeats_answered: u64,
    /// Repeats of jobs that may have run.
    pub repeats_bound: u64,
}

impl IdempotencyStore {
    /// How many notes there are.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// The note of a key.
    pub fn note(&self, key: &str) -> Option<&IdempotencyRecord> {
        self.notes.get(key).map(|kept| &kept.note)
    }

    /// The key whose newest request has this id.
    pub fn key_of(&self, id: &str) -> Option<String> {
        self.by_id.get(id).cloned()
    }

    /// Whether a key was given to a job of another body or class.
    pub fn reused(&mut self, now: Micros, token: &IdempotencyKey, class: &str) -> bool {
        self.expire(now);
        self.note(&token.key).is_some_and(|note| note.body != token.body || note.class != class)
    }

    /// What is known of a key that comes with a job of this class.
    pub fn look(&mut self, now: Micros, token: &IdempotencyKey, class: &str) -> Lookup {
        self.expire(now);
        let Some(note) = self.note(&token.key) else { return Lookup::Unknown };
        if note.body != token.body || note.class != class {
            return Lookup::Unknown; // the front has refused it, see `reused`
        }
        if let Some(result) = note.result.clone() {
            self.repeats_answered += 1;
            return Lookup::Answered(result);
        }
        // The oldest settles how long a repeat is safe; by the rules all of them went to one pod.
        match note.sent.iter().filter(|s| !s.never_ran).min_by_key(|s| s.at).cloned() {
            Some(first) => {
                self.repeats_bound += 1;
                Lookup::MayHaveRun(first)
            }
            None => Lookup::Unknown,
        }
    }

    /// Enters where a job was sent and what came of it, and gives the bytes to be written: `None` where nothing needs to be
    /// remembered any more.
    pub fn enter(
        &mut self,
        now: Micros,
        token: &IdempotencyKey,
        (class, id): (&str, &str),
        sent: Vec<AttemptRecord>,
        result: Option<Vec<u8>>,
    ) -> Option<Vec<u8>> {
        let mut note = self.forget(&token.key).unwrap_or_default();
        (note.class, note.id, note.body) = (class.to_owned(), id.to_owned(), token.body);
        note.merge(sent);
        note.result = result.or(note.result);
        if note.result.is_none() && !note.may_have_run() {
            return None;
        }
        let bytes = note.encode();
        self.put(now, token.key.clone(), note, bytes.len());
        Some(bytes)
    }

    /// A worker told the result of a job whose session is gone; the bytes to be written.
    pub fn enter_result(&mut self, now: Micros, key: &str, result: Vec<u8>) -> Option<Vec<u8>> {
        let mut note = self.forget(key)?;
        note.result.get_or_insert(result);
        let bytes = note.encode();
        self.put(now, key.to_owned(), note, bytes.len());
        Some(bytes)
    }

    /// Takes in what was written earlier, or by another process of this dispatcher.
    pub fn take(&mut self, now: Micros, key: &str, bytes: Option<&[u8]>) -> Result<(), String> {
        let note = bytes.map(IdempotencyRecord::decode).transpose()?;
        self.forget(key);
        if let Some((note, bytes)) = note.zip(bytes) {
            self.put(now, key.to_owned(), note, bytes.len());
        }
        Ok(())
    }

    /// All spans are over for what is known now: how much time has passed cannot be told.
    pub fn distrust_clock(&mut self) {
        for kept in self.notes.values_mut() {
            kept.note.sent.iter_mut().for_each(|sent| sent.at = i64::MIN);
        }
    }

    fn put(&mut self, now: Micros, key: String, note: IdempotencyRecord, bytes: usize) {
        let expires = now + RECORD_TTL;
        self.by_id.insert(note.id.clone(), key.clone());
        self.order.insert((expires, key.clone()));
        self.bytes += bytes + key.len();
        self.notes.insert(key, Kept { note, bytes, expires });
        while self.notes.len() > MAX_RECORDS || self.bytes > MAX_RECORD_BYTES {
            let Some((_, oldest)) = self.order.first().cloned() else { return };
            self.forget(&oldest);
            self.evicted += 1;
        }
    }

    fn expire(&mut self, now: Micros) {
        while let Some((_, key)) = self.order.first().filter(|(at, _)| *at <= now).cloned() {
            self.forget(&key);
        }
    }

    fn forget(&mut self, key: &str) -> Option<IdempotencyRecord> {
        let kept = self.notes.remove(key)?;
        self.order.remove(&(kept.expires, key.to_owned()));
        if self.by_id.get(&kept.note.id).is_some_and(|k| k == key) {
            self.by_id.remove(&kept.note.id);
        }
        self.bytes -= kept.bytes + key.len();
        Some(kept.note)
    }
}
