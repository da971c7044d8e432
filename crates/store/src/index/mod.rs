//! The index: sorted runs of keys, one per segment, the oldest first, and above them the keys of the active segment.
//!
//! A run holds keys and locations, never values. A damaged region between runs means that newer values than those below it
//! may be lost. A lookup that would pass such a region fails, and never returns the older value.

mod run;
mod view;
mod walk;

pub use run::{Run, RunBuilder, Segment};
pub use view::{DamagedRegion, Layer, View, runs};
pub use walk::{Step, Walk};
