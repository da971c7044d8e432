//! A view: all layers of the index at one point in time.

use super::run::{Run, Segment};
use super::walk::{Source, Walk};
use crate::UnixMillis;
use crate::disk::read_range;
use crate::error::{StoreError, io_error};
use crate::format::{self, RecordLocation};
use rustc_hash::FxHashSet;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// A damaged region of the log that may hide newer values than the layers below it.
#[derive(Debug)]
pub struct DamagedRegion {
    /// The name of the file.
    pub file: String,
    /// The offset of the damage, in bytes.
    pub offset: u64,
    /// The fingerprints of the lost keys, if the frame after the damage records them; `None` if they are unknown.
    pub fingerprints: Option<FxHashSet<u64>>,
}

impl DamagedRegion {
    /// Whether a newer value of this key may be lost.
    pub fn may_hide(&self, key: &[u8]) -> bool {
        self.fingerprints.as_ref().is_none_or(|known| known.contains(&format::fingerprint(key)))
    }

    /// The error for a key whose newer value may be lost.
    pub fn error(&self) -> StoreError {
        StoreError::InDoubt { file: self.file.clone(), offset: self.offset }
    }
}

/// One layer of the index.
#[derive(Clone, Debug)]
pub enum Layer {
    /// The keys of a segment, or of a part of one.
    Run(Arc<Run>),
    /// A damaged region; its lost records may have overwritten those of the layers below.
    Damaged(Arc<DamagedRegion>),
}

impl Layer {
    /// The run, unless this is a damaged region.
    pub fn run(&self) -> Option<&Arc<Run>> {
        match self {
            Layer::Run(run) => Some(run),
            Layer::Damaged(_) => None,
        }
    }

    /// Whether this is a damaged region.
    pub fn is_damaged(&self) -> bool {
        matches!(self, Layer::Damaged(_))
    }
}

/// The runs of these layers.
pub fn runs(layers: &[Layer]) -> impl Iterator<Item = &Arc<Run>> {
    layers.iter().filter_map(Layer::run)
}

/// The newest record of a key.
#[derive(Clone, Debug)]
pub struct Hit {
    pub segment: Arc<Segment>,
    pub location: RecordLocation,
}

impl Hit {
    /// Reads the value; `None` if the record is a tombstone.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the record is damaged, and [`StoreError::Io`] if the file cannot be read.
    pub fn read(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        if self.location.is_tombstone {
            return Ok(None);
        }
        let offset = u64::from(self.location.offset);
        let bytes = read_range(&*self.segment.file, offset, self.location.len as usize)
            .map_err(io_error("cannot read", &self.segment.name))?;
        let record = format::decode_record(&bytes);
        let record = record.filter(|record| record.has_valid_checksum(self.segment.salt));
        match record.filter(|record| record.key == key && record.len == bytes.len()) {
            Some(record) => Ok(record.value.map(<[u8]>::to_vec)),
            None => Err(self.segment.damaged(offset)),
        }
    }
}

/// The keys that were written to the active segment.
pub type ActiveKeys = BTreeMap<Box<[u8]>, RecordLocation>;

/// The index at one point in time. A copy is cheap.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The layers, the oldest first.
    pub layers: Vec<Layer>,
    /// The keys written to the active segment. The first write after a copy of the view has to copy this map.
    pub active_keys: Arc<ActiveKeys>,
    /// The active segment.
    pub active: Option<Arc<Segment>>,
}

impl View {
    /// The newest record of a key, even if it is a tombstone or has expired.
    ///
    /// # Errors
    ///
    /// [`StoreError::InDoubt`] if damage may hide a newer record.
    pub fn find(&self, key: &[u8]) -> Result<Option<Hit>, StoreError> {
        if let Some((location, segment)) = self.active_keys.get(key).zip(self.active.as_ref()) {
            return Ok(Some(Hit { segment: segment.clone(), location: *location }));
        }
        for layer in self.layers.iter().rev() {
            match layer {
                Layer::Run(run) => {
                    if let Some(entry) = run.find(key) {
                        return Ok(Some(Hit { segment: run.segment.clone(), location: entry.location }));
                    }
                }
                Layer::Damaged(region) if region.may_hide(key) => return Err(region.error()),
                Layer::Damaged(_) => {}
            }
        }
        Ok(None)
    }

    /// The value of a key at time `now`.
    ///
    /// # Errors
    ///
    /// The errors of [`View::find`], [`StoreError::Damaged`] and [`StoreError::Io`].
    pub fn get(&self, key: &[u8], now: UnixMillis) -> Result<Option<Vec<u8>>, StoreError> {
        match self.find(key)? {
            Some(hit) if !hit.location.is_expired(now) => hit.read(key),
            _ => Ok(None),
        }
    }

    /// A walk through all keys from `from` on, in order.
    pub fn walk(&self, from: &[u8]) -> Walk {
        let mut sources = Vec::new();
        let mut damaged = Vec::new();
        for (rank, layer) in self.layers.iter().enumerate() {
            match layer {
                Layer::Run(run) => sources.push(Source::of_run(rank, run.lower_bound(from), run.clone())),
                Layer::Damaged(region) => damaged.push((rank, region.clone())),
            }
        }
        if let Some(segment) = &self.active {
            let range: (Bound<&[u8]>, Bound<&[u8]>) = (Bound::Included(from), Bound::Unbounded);
            let keys = self.active_keys.range::<[u8], _>(range);
            let keys = keys.map(|(key, location)| (key.clone(), *location)).collect();
            sources.push(Source::of_active(segment.clone(), keys));
        }
        Walk::new(sources, damaged)
    }
}
