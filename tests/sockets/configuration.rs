//! Startup with an invalid configuration.

use mothproxy_testkit::*;
use serde_json::json;
use std::path::Path;
use std::process::Command;

/// Asserts that the program exits at once with code 2 and this message.
fn assert_refuses_to_start(config: &Path, args: &[&str], message: &str) {
    let program = Command::new(env!("CARGO_BIN_EXE_mothproxy"))
        .args(args)
        .env("GW_CONFIG", config)
        .env_remove("GW_LISTEN")
        .output()
        .expect("cannot start the program");
    let errors = String::from_utf8_lossy(&program.stderr);
    assert_eq!(program.status.code(), Some(2), "expected {message:?}, printed {errors:?}");
    assert!(
        errors.contains(message) && !errors.contains("panicked"),
        "expected {message:?}, printed {errors:?}"
    );
}

/// An invalid configuration ends the process with code 2 and a message that names the fault.
#[test]
fn reports_bad_configuration_plainly() {
    let folder = tempfile::tempdir().expect("cannot create the temporary directory");
    let file = folder.path().join("config.json");
    let valid = site::config("127.0.0.1:0", "127.0.0.1:1", json!([]));
    let without = |key: &str| {
        let mut config = valid.clone();
        config.as_object_mut().expect("not an object").remove(key);
        config.to_string()
    };
    let replaced = |old: &str, new: &str| valid.to_string().replace(old, new);
    let cases = [
        ("{".to_owned(), "not JSON"),
        (without("settings"), "settings is missing"),
        (without("known"), "known is missing"),
        (replaced("127.0.0.1:0", "here"), "listen is not an address: \"here\""),
        (replaced("\"MaxAttempts\":3", "\"MaxAttempts\":0"), "settings allow no attempt"),
        (replaced("\"Siblings\":1", "\"Siblings\":0"), "not below the number of dispatchers"),
        (replaced("\"Siblings\":1", "\"Siblings\":4e9"), "more than 10,000 dispatchers"),
        (replaced("\"MaxAttempts\":3", "\"MaxAttempts\":\"x\""), "Limits.MaxAttempts is not a number"),
    ];
    for (text, message) in cases {
        std::fs::write(&file, text).expect("cannot write the temporary file");
        assert_refuses_to_start(&file, &[], message);
    }
    std::fs::write(&file, valid.to_string()).expect("cannot write the temporary file");
    assert_refuses_to_start(&file, &["--sse", "/nowhere/sse.toml"], "cannot read /nowhere/sse.toml");
    std::fs::remove_file(&file).expect("cannot remove the file");
    assert_refuses_to_start(&file, &[], "cannot read");
}
