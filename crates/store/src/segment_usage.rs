//! The live and dead bytes of each segment, which determine the gain of a compaction.

use crate::UnixMillis;
use crate::format::HEADER_LEN;
use crate::index::{Layer, Run, View, Walk, runs};
use crate::plan::SegmentUsage;
use std::sync::Arc;

/// The approximate size of a footer's entry without its key, in bytes.
const FOOTER_ENTRY_BYTES: u64 = 6;

/// The names of the segments of these runs, each once, in order.
pub(crate) fn segment_names(runs: &[Arc<Run>]) -> Vec<String> {
    let mut names: Vec<String> = runs.iter().map(|run| run.segment.name.clone()).collect();
    names.dedup();
    names
}

/// The usage of each sealed segment. This visits all keys.
pub(crate) fn segment_usage(view: &View, now: UnixMillis) -> Vec<SegmentUsage> {
    let runs: Vec<Arc<Run>> = runs(&view.layers).cloned().collect();
    let names = segment_names(&runs);
    let index_of = |name: &str| names.iter().position(|known| known == name);
    let segment_of: Vec<usize> = runs.iter().map(|run| index_of(&run.segment.name).unwrap_or(0)).collect();
    let mut usage = vec![SegmentUsage { bytes: 0, dead_bytes: 0, is_damaged: false }; names.len()];
    for (run, segment) in runs.iter().zip(&segment_of) {
        usage[*segment].bytes = run.file_len;
        // Bytes without an entry in the index are dead: records that were overwritten within the segment.
        usage[*segment].dead_bytes = run.file_len.saturating_sub(HEADER_LEN as u64);
    }
    for name in damaged_segments(&view.layers) {
        if let Some(segment) = index_of(name) {
            usage[segment].is_damaged = true;
        }
    }
    for step in Walk::of_runs(&runs) {
        let location = step.hit.location;
        let is_gone = location.is_tombstone || location.is_expired(now);
        if is_gone && !step.has_older {
            continue;
        }
        // The entries of the footers count as live, with their approximate size.
        let live = u64::from(location.len) + step.key.len() as u64 / 2 + FOOTER_ENTRY_BYTES;
        let segment = &mut usage[segment_of[step.rank]];
        segment.dead_bytes = segment.dead_bytes.saturating_sub(live);
    }
    usage
}

/// The names of segments with damage, and of those that follow damage: a merge across lost records would hide the loss.
fn damaged_segments(layers: &[Layer]) -> Vec<&str> {
    let mut names = Vec::new();
    let mut follows_damage = false;
    for layer in layers {
        match layer {
            Layer::Damaged(region) => {
                names.push(region.file.as_str());
                follows_damage = true;
            }
            Layer::Run(run) if std::mem::take(&mut follows_damage) => names.push(&run.segment.name),
            Layer::Run(_) => {}
        }
    }
    names
}
