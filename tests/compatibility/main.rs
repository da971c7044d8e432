//! Compatibility with other versions of the program, other dispatchers and scripts, checked with golden files.
//!
//! Each file was written by the program before the names in its sources were changed. The tests read the files with the current
//! code, and check that it writes the same bytes. The messages of a hot restart are private to the program; their files are read
//! by `src/server/lifecycle/hot_restart/tests.rs`.

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

/// The path of a golden file.
fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility").join(name)
}

fn golden_file(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Asserts that the bytes written by the current code are those of the golden file.
fn assert_matches_golden_file(name: &str, written: &str) {
    let golden = golden_file(name);
    for (number, (golden, written)) in golden.lines().zip(written.lines()).enumerate() {
        assert_eq!(written, golden, "{name}, line {}", number + 1);
    }
    assert_eq!(written.len(), golden.len(), "{name}");
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}
