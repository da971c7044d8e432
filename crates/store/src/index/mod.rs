//! The index: sorted runs of keys, one a segment, oldest first, and on top what has been written since.
//!
//! A run holds keys and locations, never values. A damaged region stands between runs where newer values than those below it
//! may be lost: a look-up that comes past it fails, and never returns the older value.

mod run;
mod view;
mod walk;

pub use run::{Run, RunBuilder, Segment};
pub use view::{DamagedRegion, Layer, View, runs};
pub use walk::{Step, Walk};
