//! CI's list of tests that are known to fail, as `.ci/test` handles it: it runs this very program as the test command.

use std::path::Path;
use std::process::Command;

/// Set in the runs that the check starts: only then does the red test fail.
const INNER: &str = "KNOWN_RED_INNER";

/// Fails in the runs that the check below starts, and passes otherwise.
#[test]
fn inner_test_that_fails() {
    assert!(std::env::var_os(INNER).is_none(), "red on purpose");
}

/// Passes in all runs.
#[test]
fn inner_test_that_passes() {}

/// Listed tests may fail and are named; any other failure, and a list that is wrong, fails the run.
#[test]
fn skips_only_listed_tests_and_refuses_a_wrong_list() {
    if std::env::var_os(INNER).is_some() {
        return; // it runs itself
    }
    let dir = tempfile::tempdir().expect("a folder");
    let this = std::env::current_exe().expect("this program");
    // As cargo does: what follows `--` goes to the program.
    let run = format!("shift; exec '{}' \"$@\"\n", this.display());
    let (program, list) = (dir.path().join("run"), dir.path().join("KNOWN-RED.txt"));
    // Without arguments there is no `--` to drop.
    std::fs::write(&program, format!("[ $# -eq 0 ] && set -- --\n{run}")).expect("written");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/test");
    let ci = |lines: Option<&str>| {
        let _ = std::fs::remove_file(&list);
        if let Some(lines) = lines {
            std::fs::write(&list, lines).expect("written");
        }
        let command = format!("sh '{}'", program.display());
        let mut ci = Command::new("bash");
        let out = ci.arg(&script).arg(command).arg(&list).env(INNER, "1").output().expect("bash runs");
        (out.status.success(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    let (red, green) = ("inner_test_that_fails", "inner_test_that_passes");
    let cases = [
        (None, false, "inner_test_that_fails ... FAILED"),
        (Some(""), false, "inner_test_that_fails ... FAILED"),
        (Some("\n  \n"), false, "inner_test_that_fails ... FAILED"),
        (Some(&*format!("{red} | red on purpose | issue 30\n")), true, "passed over: inner_test_that_fails"),
        // Another test on the list leaves the red one to decide.
        (Some(&*format!("{green} | a cause | issue 30")), false, "inner_test_that_fails ... FAILED"),
        (Some(&*format!("{red}\n")), false, "not 'test name | cause | issue'"),
        (Some("inner_test | a part of a name | issue 30\n"), false, "0 tests are called"),
        (Some("no_such_test | a cause | issue 30\n"), false, "0 tests are called 'no_such_test'"),
        (
            Some(&*format!("{red} | a | 1\n{green} | b | 2\nx | c | 3\ny | d | 4\n")),
            false,
            "has 4 lines, 3 at most",
        ),
    ];
    for (lines, passes, says) in cases {
        let (passed, text) = ci(lines);
        assert!(passed == passes && text.contains(says), "{lines:?}: passed {passed}: {text}");
    }
    let (_, text) = ci(Some(&format!("{red} | red on purpose | issue 30\n")));
    assert!(text.contains("inner_test_that_passes ... ok"), "the others run: {text}");
}
