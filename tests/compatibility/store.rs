//! A small store directory, as the version before left it on disk.

use crate::{assert_kept, kept, path};
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

fn copy(from: &Path, to: &Path) {
    for file in std::fs::read_dir(from).expect("a folder") {
        let file = file.expect("a file").path();
        std::fs::copy(&file, to.join(file.file_name().expect("a name"))).expect("copied");
    }
}

/// A store that the version before wrote is read, and written to.
#[test]
fn a_store_of_the_version_before_is_read_and_goes_on() {
    let folder = tempfile::tempdir().expect("a folder");
    copy(&path("store"), folder.path());
    let at = folder.path().display().to_string();
    assert_eq!(mothproxy(&["store", "verify", &at], "").0, 0);
    assert_kept("store.dump", &mothproxy(&["store", "dump", &at], "").1);
    let more = "{\"key\":\"later\",\"value\":\"4\"}\n";
    assert_eq!(mothproxy(&["store", "put", &at], more), (0, "later\n".to_owned()));
    let dump = mothproxy(&["store", "dump", &at], "").1;
    assert!(
        kept("store.dump").lines().chain(["{\"key\":\"later\",\"value\":\"4\"}"]).all(|l| dump.contains(l)),
        "{dump}"
    );
    assert_eq!(mothproxy(&["store", "compact", &at], "").0, 0);
    assert_eq!(mothproxy(&["store", "dump", &at], "").1, dump);
}
