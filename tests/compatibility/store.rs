//! A small store directory, as written by the previous version.

use crate::{assert_matches_golden_file, golden_file, path};
use std::path::Path;
use std::process::{Command, Output, Stdio};

fn mothproxy(args: &[&str], input: &str) -> (i32, String) {
    use std::io::Write;
    let mut child = Command::new(env!("CARGO_BIN_EXE_mothproxy"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let _ = child.stdin.take().expect("a pipe").write_all(input.as_bytes());
    let Output { status, stdout, .. } = child.wait_with_output().expect("it ends");
    (status.code().expect("a code"), String::from_utf8(stdout).expect("text"))
}

fn copy_files(from: &Path, to: &Path) {
    for file in std::fs::read_dir(from).expect("a folder") {
        let file = file.expect("a file").path();
        std::fs::copy(&file, to.join(file.file_name().expect("a name"))).expect("copied");
    }
}

/// A store of the previous version can be read and written.
#[test]
fn store_of_previous_version_can_be_read_and_written() {
    let store_dir = tempfile::tempdir().expect("a folder");
    copy_files(&path("store"), store_dir.path());
    let location = store_dir.path().display().to_string();
    assert_eq!(mothproxy(&["store", "verify", &location], "").0, 0);
    assert_matches_golden_file("store.dump", &mothproxy(&["store", "dump", &location], "").1);
    let more = "{\"key\":\"later\",\"value\":\"4\"}\n";
    assert_eq!(mothproxy(&["store", "put", &location], more), (0, "later\n".to_owned()));
    let dump = mothproxy(&["store", "dump", &location], "").1;
    assert!(
        golden_file("store.dump")
            .lines()
            .chain(["{\"key\":\"later\",\"value\":\"4\"}"])
            .all(|l| dump.contains(l)),
        "{dump}"
    );
    assert_eq!(mothproxy(&["store", "compact", &location], "").0, 0);
    assert_eq!(mothproxy(&["store", "dump", &location], "").1, dump);
}
