//! The simulator's line protocol: malformed input gives clear error messages and never a panic.

use mothproxy::policy::simulator::Host;
use proptest::prelude::*;

fn serve(input: &[u8]) -> (Result<(), String>, String) {
    let mut out = Vec::new();
    let result = Host::default().serve(input, &mut out).map_err(|e| e.to_string());
    (result, String::from_utf8_lossy(&out).into_owned())
}

const BATCH: &str = include_str!("batch.txt");

/// Unknown messages and fields are ignored.
#[test]
fn ignores_unknown_messages_and_fields() {
    let (result, out) = serve(BATCH.as_bytes());
    assert_eq!(result, Ok(()));
    assert_eq!(out.matches("done\n").count(), 3);
    assert_eq!(out.matches("transmit\tJob=00000000000000aa").count(), 1);
}

/// The error for malformed input names the line and the field.
#[test]
fn malformed_input_names_line_and_field() {
    let cases = [
        ("batch\tAtTimeMs=x\ncommit\n", "line 1: batch: AtTimeMs is not a number: \"x\""),
        ("batch\ncommit\n", "line 1: batch: no AtTimeMs"),
        ("batch\tAtTimeMs=1\nwake\tCtx=1\ncommit\n", "line 2: wake: no instance named"),
        ("batch\tAtTimeMs=1\ninstance\tWho=n\nwake\tCtx=1\ncommit\n", "line 3: wake: unknown instance \"n\""),
        ("batch\tAtTimeMs=1\n", "line 2: the batch is cut short: no commit"),
        (
            "batch\tAtTimeMs=1\ninstance\tWho=n\nhello\tInitSeed=1\ncommit\n",
            "line 3: hello: settings name no class of jobs",
        ),
        ("wake\tCtx=1\n", "line 1: wake outside a batch"),
    ];
    for (input, message) in cases {
        assert_eq!(serve(input.as_bytes()).0, Err(message.to_owned()));
    }
}

/// Two instances in one batch give the same replies as each of them alone.
#[test]
fn instances_do_not_affect_each_other() {
    let (_, alone) = serve(BATCH.as_bytes());
    let doubled: String = BATCH
        .split_inclusive("commit\n")
        .map(|batch| {
            let (body, other) = (batch.replace("commit\n", ""), batch.replace("node-0", "node-1"));
            let other = other.trim_start_matches('\n');
            let other = other.split_once('\n').map_or("", |(_, rest)| rest);
            format!("{body}{other}")
        })
        .collect();
    let (result, both) = serve(doubled.as_bytes());
    assert_eq!(result, Ok(()));
    let of = |name: &str, text: &str| -> Vec<String> {
        let mut current = String::new();
        let lines = text.lines().filter(|line| {
            if line.starts_with("by\t") {
                current = line.to_string();
            }
            current.ends_with(name) && !line.starts_with("by\t") && *line != "done"
        });
        lines.map(str::to_owned).collect()
    };
    assert_eq!(of("node-0", &alone), of("node-0", &both));
    assert_eq!(of("node-0", &alone), of("node-1", &both));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_128),
        ..ProptestConfig::default()
    })]

    /// Arbitrary bytes give a reply or an error.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = serve(&bytes);
    }

    /// A batch with a few changed bytes gives a reply or an error.
    #[test]
    fn damaged_batches_never_panic(cuts in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6)) {
        let mut bytes = BATCH.as_bytes().to_vec();
        for (at, byte) in cuts {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let (_, out) = serve(&bytes);
        prop_assert!(!out.contains("bail_out"), "{}", out);
    }
}
