//! The operators' file: the settings that it sets, and the report of its faults with file, line and field.

use mothproxy::config::FilePresence;
use mothproxy::settings::{load, parse};
use mothproxy_store::SyncMode;
use std::path::Path;
use std::time::Duration;

const ALL_SECTIONS: &str = r#"# a comment
streams {
  listen: "127.0.0.1:8444"
  heartbeat_ms: 250
  origins: ["https://pay.example", "http://localhost:3000"]
  streams_per_tenant: 7
}
state { directory: "/var/lib/mothproxy" sync: INTERVAL interval_ms: 20 }
log { form: JSON }
fleet { membership { probe_interval_ms: 100 suspicion_mult: 2 bytes_per_s: 4096 } }
"#;

/// Each section in the file is read, and the parts without a section stay off.
#[test]
fn reads_what_is_set_and_leaves_the_rest_off() {
    let settings = parse(ALL_SECTIONS, "f").expect("the file is valid");
    let streams = settings.streams.expect("the section is set");
    assert_eq!((streams.listen.port(), streams.heartbeat, streams.streams_per_tenant), (8444, 250_000, 7));
    assert_eq!(streams.origins, ["https://pay.example", "http://localhost:3000"]);
    let state = settings.state.expect("the section is set");
    assert_eq!(
        (state.dir.as_path(), state.sync),
        (Path::new("/var/lib/mothproxy"), SyncMode::Interval(Duration::from_millis(20)))
    );
    assert!(settings.json_log);
    let members = settings.fleet.membership.expect("the section is set");
    assert_eq!(
        (members.probe_interval, members.probe_timeout, members.bytes_per_s),
        (100_000, 30_000, 4_096)
    );
    let config = members.config(2, 9, 7, 1);
    let same =
        config.suspicion_factor == 2.0 && config.probe_period == 100_000 && config.gossip_period < 100_000;
    assert!(same && (config.place, config.peers, config.epoch) == (2, 9, 7), "{config:?}");
    let plain = parse("fleet { membership {} }", "f").expect("the file is valid").fleet;
    assert_eq!(
        plain.membership,
        Some(Default::default()),
        "an empty section turns the part on with its defaults"
    );
    let none = parse("", "f").expect("the file is valid");
    assert_eq!(
        (&none.fleet, parse("fleet {}", "f").expect("the file is valid").fleet),
        (&Default::default(), Default::default())
    );
    assert_eq!((none.streams, none.state, none.json_log), (None, None, false));
    let shipped =
        load(Path::new("deploy/mothproxy.txtpb"), FilePresence::Required).expect("the file is valid");
    assert_eq!(
        (shipped.streams, shipped.state, shipped.json_log),
        (None, None, false),
        "deploy/mothproxy.txtpb turns everything off"
    );
    let nowhere = Path::new("/nowhere.txtpb");
    assert!(
        load(nowhere, FilePresence::Optional).expect("an optional file may be missing").streams.is_none()
    );
    let missing = load(nowhere, FilePresence::Required);
    assert!(missing.is_err_and(|e| e.to_string().contains("cannot read the file")));
}

/// All faults of a file are reported together, each with its line and field.
#[test]
fn reports_each_fault_with_its_line_and_field() {
    let cases: [(&str, &[&str]); 12] = [
        ("streams {\n  lisen: \"x\"\n}\n", &["f:2: ", "lisen"]),
        (
            "streams {\n  listen: \"here\"\n  heartbeat_ms: 0\n}\n",
            &["f:2: streams.listen: \"here\"", "f:3: streams.heartbeat_ms: "],
        ),
        ("\n\nstreams {\n  heartbeat_ms: -3\n}\n", &["f:4: "]),
        (
            "streams { listen: \"127.0.0.1:1\"\n\n  origins: \"pay.example/x\" }",
            &["f:3: streams.origins: \"pay.example/x\""],
        ),
        ("# heartbeat_ms: 0\nstreams {\n heartbeat_ms: 0 }", &["f:3: streams.heartbeat_ms: "]),
        (
            "state {\n  sync: INTERVAL\n  directory: \"/x\"\n}",
            &["f:2: state.sync: INTERVAL needs interval_ms"],
        ),
        ("state {\n  sync: NEVER\n}", &["f:1: state: directory is not set"]),
        ("state { directory: \"/x\"\n interval_ms: 5 }", &["f:2: state.interval_ms: "]),
        (
            "fleet {\n membership {\n  probe_interval_ms: 3\n  suspicion_mult: 1e9\n }\n}",
            &["f:3: fleet.membership.probe_interval_ms: ", "f:4: fleet.membership.suspicion_mult: "],
        ),
        (
            "fleet { membership {\n  probe_interval_ms: 100\n  probe_timeout_ms: 100 }\n runtimes {\n long: 1 } }",
            &["f:3: fleet.membership.probe_timeout_ms: ", "f:5: fleet.runtimes.long: "],
        ),
        (
            "fleet { fair_share {\n installations { name: \"a\" weight: 1\n  tenants { name: \"x\" weight: 1 }\n  \
             tenants { name: \"x\" weight: 2 } } } }",
            &["f:1: fleet.fair_share.points_per_s: ", "f:1: fleet.fair_share: tenant \"x\" is listed twice"],
        ),
        ("log {\n  form: XML\n}\n", &["f:2: ", "XML"]),
    ];
    for (text, messages) in cases {
        let faults = parse(text, "f").expect_err(text).to_string();
        for message in messages {
            assert!(faults.contains(message), "{text:?}: {message:?} is not in {faults:?}");
        }
    }
}
