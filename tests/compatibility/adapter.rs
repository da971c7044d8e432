//! The simulator's line protocol: the adapter's answer to a batch that holds every kind of message.

use crate::path;
use std::io::Write;
use std::process::{Command, Stdio};

/// The simulator's batch has the same answer, byte for byte.
#[test]
fn answers_its_batch_as_before() {
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
