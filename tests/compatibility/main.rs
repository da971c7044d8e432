//! Bytes that other versions of the program, other dispatchers and scripts read, kept as files.
//!
//! Each file was written by the sources before the names in them were changed. A test reads it with the present code and writes
//! it again alike. The messages of a handover are private to the program; `src/server/lifecycle/hot_restart/tests.rs` reads those files.

#[path = "../common/mod.rs"]
mod common;

mod adapter;
mod admin;
mod facts;
mod group;
mod learned;
mod membership;
mod process;
mod records;
mod store;

use std::path::PathBuf;

/// Where a kept file is.
fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility").join(name)
}

fn kept(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Asserts that the present code writes what the file holds.
fn assert_kept(name: &str, written: &str) {
    let kept = kept(name);
    for (number, (kept, written)) in kept.lines().zip(written.lines()).enumerate() {
        assert_eq!(written, kept, "{name}, line {}", number + 1);
    }
    assert_eq!(written.len(), kept.len(), "{name}");
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}
