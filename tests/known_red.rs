//! The handling of tests that are known to fail by `.ci/test`. The script runs this test program as its test command.

use std::path::Path;
use std::process::Command;

/// Environment variable that is set in runs started by the test below. The failing test fails only if it is set.
const INNER_RUN_VARIABLE: &str = "KNOWN_RED_INNER";

/// Fails in the runs that the test below starts, and passes otherwise.
#[test]
fn inner_test_that_fails() {
    assert!(std::env::var_os(INNER_RUN_VARIABLE).is_none(), "this test fails on purpose");
}

/// Passes in all runs.
#[test]
fn inner_test_that_passes() {}

/// Skips and names the listed tests. Any other failing test and an invalid list fail the run.
#[test]
fn skips_only_listed_tests_and_rejects_an_invalid_list() {
    if std::env::var_os(INNER_RUN_VARIABLE).is_some() {
        return; // otherwise the test would start itself again
    }
    let dir = tempfile::tempdir().expect("a temporary directory");
    let this = std::env::current_exe().expect("the path of this program");
    // Passes the arguments after `--` to the program, as cargo does.
    let run = format!("shift; exec '{}' \"$@\"\n", this.display());
    let (program, list) = (dir.path().join("run"), dir.path().join("KNOWN-RED.txt"));
    // Without arguments there is no `--` to drop.
    std::fs::write(&program, format!("[ $# -eq 0 ] && set -- --\n{run}")).expect("the file is written");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/test");
    let ci = |lines: Option<&str>| {
        let _ = std::fs::remove_file(&list);
        if let Some(lines) = lines {
            std::fs::write(&list, lines).expect("the file is written");
        }
        let command = format!("sh '{}'", program.display());
        let mut ci = Command::new("bash");
        let out =
            ci.arg(&script).arg(command).arg(&list).env(INNER_RUN_VARIABLE, "1").output().expect("bash runs");
        (out.status.success(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    let (failing, passing) = ("inner_test_that_fails", "inner_test_that_passes");
    let cases = [
        (None, false, "inner_test_that_fails ... FAILED"),
        (Some(""), false, "inner_test_that_fails ... FAILED"),
        (Some("\n  \n"), false, "inner_test_that_fails ... FAILED"),
        (
            Some(&*format!("{failing} | red on purpose | issue 30\n")),
            true,
            "passed over: inner_test_that_fails",
        ),
        // The list names another test, so the failing one is not skipped.
        (Some(&*format!("{passing} | a cause | issue 30")), false, "inner_test_that_fails ... FAILED"),
        (Some(&*format!("{failing}\n")), false, "not 'test name | cause | issue'"),
        (Some("inner_test | a part of a name | issue 30\n"), false, "0 tests are called"),
        (Some("no_such_test | a cause | issue 30\n"), false, "0 tests are called 'no_such_test'"),
        (
            Some(&*format!("{failing} | a | 1\n{passing} | b | 2\nx | c | 3\ny | d | 4\n")),
            false,
            "has 4 lines, 3 at most",
        ),
    ];
    for (lines, passes, expected) in cases {
        let (passed, text) = ci(lines);
        assert!(
            passed == passes && text.contains(expected),
            "{lines:?}: expected passed {passes} and {expected:?}, got passed {passed}: {text}"
        );
    }
    let (_, text) = ci(Some(&format!("{failing} | red on purpose | issue 30\n")));
    assert!(text.contains("inner_test_that_passes ... ok"), "the other tests must run: {text}");
}
