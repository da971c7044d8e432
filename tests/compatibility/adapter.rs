//! The simulator's line protocol: the adapter's reply to a batch with messages of every kind.

use crate::path;
use std::io::Write;
use std::process::{Command, Stdio};

/// The reply to the simulator's batch is unchanged, byte for byte.
#[test]
fn reply_to_batch_is_unchanged() {
    let batch = std::fs::read(path("../batch.txt")).expect("the batch");
    let mut child = Command::new(env!("CARGO_BIN_EXE_mothproxy-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    child.stdin.take().expect("a pipe").write_all(&batch).expect("written");
    let output = child.wait_with_output().expect("it ends");
    let reply = std::fs::read_to_string(path("../batch.reply")).expect("the reply");
    assert_eq!(String::from_utf8(output.stdout).expect("text"), reply);
}
