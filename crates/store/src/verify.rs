//! Verification: reads and checks every byte of every valid segment.

use crate::disk::{Disk, read_range};
use crate::error::{StoreError, io_error};
use crate::format::{self, FRAME_HEAD_LEN, Probe};
use crate::index::{Segment, runs};
use crate::recovery::{self, Damage, Recovery};
use crate::scan::{ScanItem, each_record, scan};
use crate::segment_loader::read_header;
use rustc_hash::FxHashSet;

/// The result of a verification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verification {
    /// What recovery found, and all further damage.
    pub recovery: Recovery,
    /// The number of records read.
    pub records: u64,
}

/// Reads and checks every byte of every valid segment. Nothing is changed.
///
/// ```
/// # use mothproxy_store::{Batch, Options, Store, StoreError, sim::SimDisk};
/// # use std::sync::Arc;
/// let disk = SimDisk::new(1);
/// let (store, _) = Store::open_on(Arc::new(disk.clone()), Options::default())?;
/// store.write(Batch::new().put("key", "value"))?;
/// store.close()?;
/// let verification = mothproxy_store::verify(&disk)?;
/// assert_eq!((verification.records, verification.recovery.damage.len()), (1, 0));
/// # Ok::<(), StoreError>(())
/// ```
///
/// # Errors
///
/// A [`StoreError`] if a file cannot be read or is of another version. Damage is not an error.
pub fn verify(disk: &dyn Disk) -> Result<Verification, StoreError> {
    let opened = recovery::open(disk)?;
    let mut verification = Verification { recovery: opened.recovery, records: 0 };
    verification.recovery.damage.append(&mut verification.recovery.warnings);
    let mut seen = FxHashSet::default();
    for run in runs(&opened.layers) {
        if seen.insert(run.segment.name.clone()) {
            verification.verify_segment(&run.segment)?;
        }
    }
    Ok(verification)
}

impl Verification {
    fn add_damage(&mut self, segment: &Segment, offset: u64, description: &str) {
        let damage = Damage { file: segment.name.clone(), offset, description: description.to_owned() };
        self.recovery.damage.push(damage);
    }

    fn has_damage(&self, segment: &Segment, matches_offset: impl Fn(u64) -> bool) -> bool {
        self.recovery.damage.iter().any(|damage| damage.file == segment.name && matches_offset(damage.offset))
    }

    fn verify_segment(&mut self, segment: &Segment) -> Result<(), StoreError> {
        if read_header(&*segment.file, &segment.name)?.is_ok_and(|decoded| !decoded.has_both_copies) {
            self.add_damage(segment, 0, "one of the two copies of the header is damaged");
        }
        let io = || io_error("cannot read", &segment.name);
        let len = segment.file.len().map_err(io())?;
        let bytes = read_range(&*segment.file, 0, len as usize).map_err(io())?;
        let data_end = format::decode_trailer(&bytes, segment.salt).map(|(trailer, _)| trailer.data_end);
        self.verify_records(segment, &bytes, data_end);
        let has_damaged_head =
            data_end.is_some_and(|end| format::probe(&bytes, segment.salt, end as usize) != Probe::Footer);
        if has_damaged_head && !self.has_damage(segment, |_| true) {
            self.add_damage(segment, data_end.unwrap_or(0), "the head of the footer is damaged");
        }
        Ok(())
    }

    fn verify_records(&mut self, segment: &Segment, bytes: &[u8], data_end: Option<u64>) {
        for item in &scan(bytes, segment.salt, data_end, 0).items {
            match item {
                ScanItem::Frame { offset, head } => {
                    let body = &bytes[offset + FRAME_HEAD_LEN..][..head.body_len as usize];
                    self.records += u64::from(each_record(body, |_, _| {}).unwrap_or(0));
                }
                ScanItem::Hole(hole) => {
                    let offset = hole.from as u64;
                    if data_end.is_some() && !self.has_damage(segment, |known| known == offset) {
                        let description = format!("{} bytes of records are damaged", hole.len());
                        self.add_damage(segment, offset, &description);
                    }
                }
            }
        }
    }
}
