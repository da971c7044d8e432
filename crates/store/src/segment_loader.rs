//! Loading of one segment: its index is read from the footer, or rebuilt by a scan if there is no intact footer.

use crate::UnixMillis;
use crate::disk::{DiskFile, read_range};
use crate::error::{StoreError, io_error};
use crate::format::{self, DecodedHeader, FOOTER_HEAD_LEN, FRAME_HEAD_LEN, HEADER_LEN, Header, HeaderFault};
use crate::format::{IndexEntry, RecordLocation, TRAILER_LEN};
use crate::index::{DamagedRegion, Layer, RunBuilder, Segment};
use crate::recovery::Damage;
use crate::scan::{Hole, Scan, ScanItem, each_record, scan};
use rustc_hash::FxHashSet;
use std::sync::Arc;

const DAMAGED_FOOTER: &str = "the footer is damaged; the index was rebuilt from the records";

/// A segment that was loaded.
pub struct LoadedSegment {
    pub layers: Vec<Layer>,
    /// Damage to acknowledged writes.
    pub damage: Vec<Damage>,
    /// Damage without loss of data.
    pub warnings: Vec<Damage>,
    /// Bytes at the end that were never acknowledged.
    pub torn_bytes: u64,
    /// The sequence number of the next operation.
    pub next_seq: u64,
    /// The latest time recorded in the segment.
    pub written_at: UnixMillis,
    /// The valid length of the segment, in bytes.
    pub end: u64,
}

/// The state of a segment's successor, whose header states the valid length of the segment.
#[derive(Clone, Copy, Debug)]
pub enum Successor {
    /// The header of the successor is intact and states the valid length of the segment, in bytes.
    Intact { previous_len: u64 },
    /// The header of the successor is damaged, so that the valid length is unknown.
    HeaderLost,
    /// There is no successor: the end of the segment may be torn.
    Missing,
}

impl Successor {
    /// The valid length of the segment in bytes, if the header of its successor states it.
    fn previous_len(self) -> Option<u64> {
        match self {
            Successor::Intact { previous_len } => Some(previous_len),
            Successor::HeaderLost | Successor::Missing => None,
        }
    }
}

/// Reads the header of a segment.
///
/// # Errors
///
/// [`StoreError::Io`] if the file cannot be read. The inner error says why the header cannot be used.
pub fn read_header(
    file: &dyn DiskFile,
    name: &str,
) -> Result<Result<DecodedHeader, HeaderFault>, StoreError> {
    let bytes = read_range(file, 0, HEADER_LEN).map_err(io_error("cannot read", name))?;
    Ok(Header::decode(&bytes))
}

/// Loads the index of a segment.
pub fn load(
    file: &Arc<dyn DiskFile>,
    name: &str,
    header: Header,
    successor: Successor,
) -> Result<LoadedSegment, StoreError> {
    let len = file.len().map_err(io_error("cannot read", name))?;
    let Header { numbers, salt, .. } = header;
    let segment = Arc::new(Segment { name: name.to_owned(), numbers, salt, file: file.clone() });
    let mut loader = Loader { segment, header, len, warnings: Vec::new() };
    if let Some(loaded) = loader.load_from_footer(successor)? {
        return Ok(loaded);
    }
    loader.load_by_scan(successor)
}

struct Loader {
    segment: Arc<Segment>,
    header: Header,
    /// The length of the file in bytes.
    len: u64,
    warnings: Vec<Damage>,
}

impl Loader {
    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, StoreError> {
        read_range(&*self.segment.file, offset, len).map_err(io_error("cannot read", &self.segment.name))
    }

    fn damage(&self, offset: u64, description: &str) -> Damage {
        Damage { file: self.segment.name.clone(), offset, description: description.to_owned() }
    }

    /// Loads the index from the footer, if it is intact. A damaged footer adds a warning.
    fn load_from_footer(&mut self, successor: Successor) -> Result<Option<LoadedSegment>, StoreError> {
        let salt = self.header.salt;
        let trailer_at = self.len.saturating_sub(TRAILER_LEN as u64);
        let tail = self.read(trailer_at, TRAILER_LEN)?;
        let Some((trailer, info)) = format::decode_trailer(&tail, salt) else { return Ok(None) };
        // A footer that contradicts the successor's header was written in an attempt that failed.
        let is_valid = self.header.is_merged
            || successor.previous_len().is_none_or(|previous_len| previous_len == trailer.data_end);
        if !is_valid {
            return Ok(None);
        }
        let start = trailer.data_end + FOOTER_HEAD_LEN as u64;
        let bytes = self.read(start, info.len as usize)?;
        let mut builder = RunBuilder::with_capacity(trailer.count as usize, bytes.len());
        let add = |entry: IndexEntry<'_>| builder.add(entry);
        let fits = start + u64::from(info.len) == trailer_at;
        if !fits || format::decode_entries(&bytes, salt, info.crc, trailer.count, add).is_none() {
            self.warnings.push(self.damage(trailer.data_end, DAMAGED_FOOTER));
            return Ok(None);
        }
        let run = builder.finish_sorted(self.segment.clone(), self.len);
        Ok(Some(LoadedSegment {
            layers: vec![Layer::Run(Arc::new(run))],
            damage: Vec::new(),
            warnings: Vec::new(),
            torn_bytes: 0,
            next_seq: trailer.next_seq,
            written_at: trailer.sealed_at,
            end: trailer.data_end,
        }))
    }

    /// The length up to which the segment is known to be valid; `None` if its end may be torn.
    fn valid_len(&self, successor: Successor) -> Option<u64> {
        // The successor's header refers to the file before the merge, not to the merged segment.
        if self.header.is_merged {
            return Some(self.len);
        }
        match successor {
            Successor::Intact { previous_len } => Some(previous_len),
            Successor::HeaderLost => Some(self.len),
            Successor::Missing => None,
        }
    }

    fn load_by_scan(mut self, successor: Successor) -> Result<LoadedSegment, StoreError> {
        let valid_len = self.valid_len(successor);
        let bytes = self.read(0, self.len as usize)?;
        let scanned = scan(&bytes, self.header.salt, valid_len, self.header.first_seq);
        if self.warnings.is_empty() && self.has_whole_footer(&bytes, scanned.end) {
            self.warnings.push(self.damage(scanned.end as u64, DAMAGED_FOOTER));
        }
        let mut layers = LayerBuilder::new(&self);
        for item in &scanned.items {
            match item {
                ScanItem::Frame { offset, head } => {
                    let start = offset + FRAME_HEAD_LEN;
                    let body = &bytes[start..start + head.body_len as usize];
                    if layers.add_records(body, start) != Some(head.count) {
                        layers.add_damage(*offset, "a frame with a valid checksum but malformed records");
                    }
                }
                ScanItem::Hole(hole) => layers.add_hole(hole),
            }
        }
        layers.close_run();
        let is_truncated = valid_len.is_some_and(|valid_len| self.len < valid_len);
        // A merged segment gets its name only after its footer is written. Without a footer it was truncated.
        let is_truncated_merge =
            self.header.is_merged && layers.damage.is_empty() && self.warnings.is_empty();
        if is_truncated || is_truncated_merge {
            layers.add_truncation();
        }
        let (layers, damage) = layers.finish();
        Ok(self.into_loaded(layers, damage, &scanned))
    }

    /// Whether a complete footer begins at `end`, even if it is damaged. A footer that was interrupted while it was written
    /// is not damage, since the segment was not sealed yet.
    fn has_whole_footer(&self, bytes: &[u8], end: usize) -> bool {
        let footer_len = format::footer_len(bytes, self.header.salt, end);
        footer_len.is_some_and(|len| end + len == bytes.len()) && bytes.last() != Some(&0)
    }

    fn into_loaded(self, layers: Vec<Layer>, damage: Vec<Damage>, scanned: &Scan) -> LoadedSegment {
        LoadedSegment {
            layers,
            damage,
            warnings: self.warnings,
            torn_bytes: scanned.torn_bytes as u64,
            next_seq: scanned.next_seq,
            written_at: scanned.written_at,
            end: (scanned.end as u64).min(self.len),
        }
    }
}

/// Collects the layers of a scanned segment: runs of records, and damaged regions between them.
struct LayerBuilder<'a> {
    loader: &'a Loader,
    run: RunBuilder,
    layers: Vec<Layer>,
    damage: Vec<Damage>,
}

impl<'a> LayerBuilder<'a> {
    fn new(loader: &'a Loader) -> LayerBuilder<'a> {
        LayerBuilder { loader, run: RunBuilder::default(), layers: Vec::new(), damage: Vec::new() }
    }

    /// Adds the records of a frame's body that begins at `start`. Returns their number, or `None` if the body is malformed.
    fn add_records(&mut self, body: &[u8], start: usize) -> Option<u32> {
        each_record(body, |record, at| {
            let location = RecordLocation {
                offset: (start + at) as u32,
                len: record.len as u32,
                is_tombstone: record.value.is_none(),
                expires_at: record.expires_at,
            };
            self.run.add(IndexEntry { key: record.key, location });
        })
    }

    fn add_damage(&mut self, offset: usize, description: &str) {
        self.damage.push(self.loader.damage(offset as u64, description));
    }

    fn add_region(&mut self, offset: u64, fingerprints: Option<FxHashSet<u64>>) {
        let region = DamagedRegion { file: self.loader.segment.name.clone(), offset, fingerprints };
        self.layers.push(Layer::Damaged(Arc::new(region)));
    }

    fn add_hole(&mut self, hole: &Hole) {
        // The region after the last frame of a sealed segment is its footer, not records.
        if self.loader.warnings.first().is_some_and(|warning| warning.offset == hole.from as u64) {
            return;
        }
        self.close_run();
        let keys = hole.fingerprints.as_ref().map(|known| known.iter().copied().collect::<FxHashSet<u64>>());
        let len = hole.len();
        let description = match &keys {
            Some(keys) => format!("{len} bytes of records are damaged: {} keys", keys.len()),
            None => format!("{len} bytes of records are damaged; their keys are unknown"),
        };
        self.add_damage(hole.from, &description);
        self.add_region(hole.from as u64, keys);
    }

    /// Adds the damage of a file that was truncated.
    fn add_truncation(&mut self) {
        let len = self.loader.len;
        self.damage.push(self.loader.damage(len, "the file is truncated: acknowledged records are missing"));
        self.add_region(len, None);
    }

    /// Ends the current run and adds it as a layer.
    fn close_run(&mut self) {
        if !self.run.is_empty() {
            let run = std::mem::take(&mut self.run).finish(self.loader.segment.clone(), self.loader.len);
            self.layers.push(Layer::Run(Arc::new(run)));
        }
    }

    fn finish(mut self) -> (Vec<Layer>, Vec<Damage>) {
        if self.layers.iter().all(Layer::is_damaged) {
            // An empty run keeps the position of the segment among the layers.
            let run = RunBuilder::default().finish_sorted(self.loader.segment.clone(), self.loader.len);
            self.layers.push(Layer::Run(Arc::new(run)));
        }
        (self.layers, self.damage)
    }
}
