//! `mothproxy store` and `mothproxy check` as scripts use them. `STORE_KILLS` sets how often the writer is killed.

use mothproxy_testkit::WAIT_TIMEOUT;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// Runs the program. Returns its exit code, standard output and standard error.
fn mothproxy(args: &[&str], input: &str) -> (i32, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mothproxy"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("mothproxy starts");
    let _ = child.stdin.take().expect("standard input is a pipe").write_all(input.as_bytes()); // fails if the program has ended
    let Output { status, stdout, stderr } = child.wait_with_output().expect("mothproxy ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (status.code().expect("an exit code"), text(stdout), text(stderr))
}

fn line(key: &str, value: &str) -> String {
    format!("{}\n", serde_json::json!({ "key": key, "value": value }))
}

/// A dump contains the last value of each key, in order of keys.
#[test]
fn dumps_what_was_put_in_the_order_of_keys() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let at = dir.path().join("store").display().to_string();
    let input = [
        line("b", "2"),
        line("a", "1"),
        line("c", ""),
        "{\"key\":\"b\",\"value\":null}\n".into(),
        line("a", "3"),
    ];
    let put = mothproxy(&["store", "put", &at], &input.concat());
    assert_eq!(put, (0, "b\na\nc\nb\na\n".to_owned(), String::new()));
    let expected_dump = [line("a", "3"), line("c", "")].concat();
    assert_eq!(mothproxy(&["store", "dump", &at], ""), (0, expected_dump.clone(), String::new()));
    assert_eq!(mothproxy(&["store", "verify", &at], "").0, 0);
    assert_eq!(mothproxy(&["store", "compact", &at], "").0, 0);
    let (code, stat, _) = mothproxy(&["store", "stat", &at, "--json"], "");
    let stat: serde_json::Value = serde_json::from_str(&stat).expect("a JSON object");
    assert_eq!((code, stat["records"].as_u64(), stat["segments"].as_u64()), (0, Some(2), Some(1)));
    assert_eq!(mothproxy(&["store", "dump", &at], "").1, expected_dump);
    // Bytes that are not UTF-8 are read and printed in base64.
    let base64_line = "{\"key_base64\":\"/wA=\",\"value_base64\":\"AP8=\"}\n";
    assert_eq!(mothproxy(&["store", "put", &at], base64_line).0, 0);
    assert!(mothproxy(&["store", "dump", &at], "").1.contains(base64_line.trim()));
}

/// Damage is printed with its file and offset, and all undamaged records are dumped.
#[test]
fn names_damage_with_file_and_offset_and_dumps_the_rest() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let at = dir.path().display().to_string();
    let input: String = (0..50).map(|n| line(&format!("key-{n}"), &format!("value-{n:02}"))).collect();
    assert_eq!(mothproxy(&["store", "put", &at], &input).0, 0);
    let file = dir.path().join("000000000001-000000000001.seg");
    let mut bytes = std::fs::read(&file).expect("segment file");
    let offset = bytes.windows(8).position(|w| w == b"value-25").expect("value-25 is in the segment");
    bytes[offset] ^= 4;
    std::fs::write(&file, &bytes).expect("file is written");
    let (code, report, _) = mothproxy(&["store", "verify", &at], "");
    assert_eq!(code, 1);
    assert!(report.contains("000000000001-000000000001.seg: offset "), "{report}");
    let (code, dump, errors) = mothproxy(&["store", "dump", &at], "");
    assert_eq!((code, dump.lines().count()), (1, 49), "{errors}");
    assert!(!dump.contains("key-25") && errors.contains("damaged"), "{errors}");
    assert_eq!(mothproxy(&["store", "compact", &at], "").0, 1, "a compaction must not hide damage");
    assert_eq!(std::fs::read(&file).expect("segment file").len(), bytes.len());
    assert_eq!(mothproxy(&["store", "compact", &at, "--drop-damaged"], "").0, 0);
    assert_eq!(mothproxy(&["store", "verify", &at], "").0, 0);
    assert_eq!(mothproxy(&["store", "dump", &at], "").1.lines().count(), 49);
}

/// Bad input, or a directory without a store, ends the command with exit code 2 and changes nothing.
#[test]
fn exits_with_2_on_bad_input_and_changes_nothing() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let at = |name: &str| dir.path().join(name).display().to_string();
    std::fs::write(dir.path().join("file"), "x").expect("file is written");
    std::fs::create_dir(dir.path().join("other")).expect("directory created");
    std::fs::write(dir.path().join("other/notes.txt"), "mine").expect("file is written");
    std::fs::write(dir.path().join("bad.json"), "{").expect("file is written");
    let (fresh, file, other, bad) = (at("fresh"), at("file"), at("other"), at("bad.json"));
    let long = format!("{{\"key\":\"{}\",\"value\":\"\"}}\n", "k".repeat(5000));
    let cases: &[(&[&str], &str, &str)] = &[
        (&["store", "put", &fresh], "{\"key\":\"a\"}\n", "line 1: \"value\" is missing"),
        (&["store", "put", &fresh], "{\"value\":\"a\"}\n", "line 1: \"key\" is missing"),
        (&["store", "put", &fresh], "\n\nnonsense\n", "line 3: not JSON"),
        (&["store", "put", &fresh], "[1]\n", "line 1: not an object"),
        (&["store", "put", &fresh], "{\"key\":7,\"value\":\"\"}\n", "\"key\" is not a string"),
        (&["store", "put", &fresh], "{\"key\":\"\",\"value\":\"\"}\n", "line 1: the key is empty"),
        (&["store", "put", &fresh], "{\"key\":\"a\",\"value\":\"\",\"ttl\":3}\n", "unknown field \"ttl\""),
        (&["store", "put", &fresh], "{\"key_base64\":\"%\",\"value\":\"\"}\n", "\"key_base64\""),
        (&["store", "put", &file], "", "Not a directory"),
        (&["store", "put", &other], "", "files that do not belong to a store"),
        (&["store", "dump", &fresh], "", "No such file"),
        (&["store", "dump", &other], "", "the directory contains no store"),
        (&["store", "verify", &fresh], "", "No such file"),
        (&["store", "compact", &other], "", "the directory contains no store"),
        (&["store", "stat", &fresh], "", "No such file"),
        (&["store", "bench", &other], "", "not empty"),
        (&["store", "bench", &fresh, "--records", "1"], "", "--records"),
        (&["store", "nonsense"], "", "nonsense"),
        (&["check", &fresh], "", "cannot read"),
        (&["check", &bad], "", "not JSON"),
        (&["serve", "--state-sync", "sometimes"], "", "interval:MS"),
    ];
    for (args, input, message) in cases {
        let (code, out, errors) = mothproxy(args, input);
        assert_eq!((code, out.as_str()), (2, ""), "{args:?}: {errors}");
        assert!(errors.contains(message), "{args:?} does not print {message:?}: {errors}");
        assert!(!dir.path().join("fresh").exists(), "{args:?} created its directory");
    }
    assert_eq!(std::fs::read_dir(dir.path().join("other")).expect("readable directory").count(), 1);
    // A key that is too long is rejected only after the store was opened. The records before it stay written.
    let (code, out, errors) = mothproxy(&["store", "put", &fresh], &(line("a", "1") + &long));
    assert_eq!((code, out.as_str()), (2, "a\n"), "{errors}");
    assert!(errors.contains("line 2: a key has 5000 bytes"), "{errors}");
    assert_eq!(mothproxy(&["store", "dump", &fresh], "").1, line("a", "1"));
}

/// The event after which the delay until a writer is killed begins.
#[derive(Clone, Copy, PartialEq)]
enum KillAfter {
    Start,
    FirstLine,
}

/// Starts a writer of increasing numbers, and kills it after `delay`. Every key that it printed must be in the store, with the
/// printed value or a later one. Returns the first number of the next writer. Only the first writer may leave no store, and only
/// if it printed nothing.
fn kill_writer(dir: &Path, event: KillAfter, delay: Duration, from: u64) -> u64 {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mothproxy"))
        .args(["store", "put"])
        .arg(dir)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("mothproxy starts");
    let mut input = child.stdin.take().expect("standard input is a pipe");
    let feed = std::thread::spawn(move || {
        // The same 500 keys are written again and again, with increasing values.
        (from..).try_for_each(|n| input.write_all(line(&format!("k{}", n % 500), &n.to_string()).as_bytes()))
    });
    let output = BufReader::new(child.stdout.take().expect("standard output is a pipe"));
    let (line_printed, lines_printed) = mpsc::channel();
    let printed = std::thread::spawn(move || {
        output.lines().map_while(Result::ok).inspect(|_| line_printed.send(()).unwrap_or(())).count() as u64
    });
    if event == KillAfter::FirstLine {
        lines_printed.recv_timeout(WAIT_TIMEOUT).expect("the writer prints a line");
    }
    std::thread::sleep(delay);
    child.kill().expect("writer can be killed");
    child.wait().expect("the writer ended");
    let _ = feed.join().expect("thread does not panic"); // its write fails once the writer is killed
    let acknowledged = printed.join().expect("thread does not panic");
    let (code, dump, errors) = mothproxy(&["store", "dump", &dir.display().to_string()], "");
    if from == 0 && acknowledged == 0 && errors.contains("the directory contains no store") {
        return from; // the writer was killed before it created the store
    }
    assert_eq!((code, errors.as_str()), (0, ""));
    let mut found = BTreeMap::new();
    for line in dump.lines() {
        let record: serde_json::Value = serde_json::from_str(line).expect("a JSON object");
        let text = |name: &str| record[name].as_str().expect("a string").to_owned();
        found.insert(text("key"), text("value").parse::<u64>().expect("a decimal number"));
    }
    for n in from..from + acknowledged {
        let value = found.get(&format!("k{}", n % 500));
        assert!(
            value.is_some_and(|value| *value >= n),
            "the acknowledged value of k{} is {n}, but the store has {value:?}",
            n % 500
        );
    }
    let newest = found.values().max().copied().unwrap_or(from);
    newest.max(from) + 1
}

/// A killed writer loses no record that it acknowledged.
#[test]
fn killed_writer_loses_no_key_that_it_printed() {
    let kills = std::env::var("STORE_KILLS").ok().and_then(|t| t.parse().ok()).unwrap_or(8);
    let dir = tempfile::tempdir().expect("temporary directory");
    let mut from = 0;
    let mut rng = fastrand::Rng::with_seed(7);
    for kill in 0..kills {
        // On a loaded machine a writer may not have started within the longest delay. So every other one is killed only after it
        // has printed a line.
        let event = if kill % 2 == 0 { KillAfter::Start } else { KillAfter::FirstLine };
        from = kill_writer(dir.path(), event, Duration::from_micros(rng.u64(500..40_000)), from);
    }
    println!("killed {kills} times; {from} writes");
    assert!(from > kills, "{kills} writers wrote only {from} records");
}
