//! The configuration of a dispatcher: nested JSON under the simulator's names, and the file of the SSE listener.

use mothproxy::config::{Config, FilePresence, SseConfig, SseSettings, flatten};
use mothproxy::http;
use mothproxy::protocol::platform;
use mothproxy::*;
use mothproxy_testkit::site;
use serde_json::json;

/// The settings of the file are mapped for the decision module, each converted to the module's unit.
#[test]
fn maps_settings_for_the_decision_module() {
    let config = site::read(&site::config(
        "127.0.0.1:1",
        "127.0.0.1:2",
        json!([site::endpoint_entry("s", "127.0.0.1:3", "up")]),
    ));
    let settings = &config.settings;
    assert_eq!(
        (settings.batch_interval, settings.classes.len(), settings.tenants.len(), settings.max_attempts),
        (2_000, 2, 1, 3)
    );
    assert_eq!((settings.classes[0].latency_factor, settings.classes[1].latency_objective), (2.0, 600_000));
    assert_eq!(
        settings.classes[1].idempotency,
        Idempotency::IdempotentWithKey { scope: DeduplicationScope::Cell, window: 40_000_000 }
    );
    assert_eq!((settings.max_poll_interval, settings.max_retry_after), (Some(400_000), Some(2_000_000)));
    assert_eq!(
        (config.idle_timeout, config.connect_timeout, config.known_endpoints.rows.len()),
        (5_000_000, 250_000, 1)
    );
}

/// Regression: the name "free slots" has a space in the settings but "_" in the simulator's protocol. The free slots of every
/// report were dropped, and no worker ever counted as full.
#[test]
fn reads_the_free_slots_of_a_load_report() {
    let config = site::read(&site::config("127.0.0.1:1", "127.0.0.1:2", json!([])));
    let expected =
        LoadReport { cpu: Some(0.5), free_slots: Some(3.0), err_rps: Some(0.1), ..LoadReport::default() };
    let report = |text| platform::load_report_from_pairs(&config.names, http::load::parse_pairs(text));
    assert_eq!(report("eps=0.1,util=0.5,x0=3,unheard=9"), Some(expected));
    assert_eq!(report("err_rps=0.1,cpu=0.5,x0=3"), Some(expected));
    assert_eq!(report("unheard=9,x0=many"), None);
    let callback = json!({"id": "a", "from": "s", "state": "done", "result": "r", "load": {"x0": 3.0, "util": 0.5, "eps": 0.1}});
    let callback = platform::parse_status_callback(&config.names, callback.to_string().as_bytes(), None);
    assert_eq!(callback.expect("the callback is valid").report, Some(expected));
}

/// Nested settings are flattened to the pairs of the simulator's protocol.
#[test]
fn flattens_lists_and_objects_and_keeps_spaces_in_names() {
    let flat =
        flatten(&json!({"A": [1, 2.5], "B": [{"C": true}, {"C": "x y"}], "Domain": {"D": "x y"}, "N": null}));
    let flat: Vec<(&str, &str)> = flat.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    for pair in [("A", "1,2.5"), ("B.count", "2"), ("B.0.C", "true"), ("B.1.C", "x y"), ("Domain.D", "x_y")] {
        assert!(flat.contains(&pair), "{pair:?} in {flat:?}");
    }
    assert_eq!(flat.len(), 5);
}

/// A peer group that cannot reach one of its dispatchers would take the lack of messages from it for idle workers.
#[test]
fn messages_peers_only_if_every_address_is_known() {
    let mut text = site::config("127.0.0.1:1", "127.0.0.1:2", json!([]));
    text["settings"]["Siblings"] = json!(3);
    text["settings"]["Limits"]["Peers"] = json!(true);
    text["peer_listen"] = json!("127.0.0.1:7");
    let read_with_peers = |count: u16, listens: bool| {
        let mut text = text.clone();
        text["peers"] = (0..count).map(|n| json!(format!("127.0.0.1:{}", 7 + n))).collect();
        if !listens {
            text.as_object_mut().map(|text| text.remove("peer_listen"));
        }
        let config = site::read(&text);
        (config.settings.may_message_peers, config.may_announce_lifecycle)
    };
    assert_eq!(read_with_peers(3, true), (true, true));
    assert_eq!(
        (read_with_peers(2, true), read_with_peers(0, true), read_with_peers(3, false)),
        ((false, true), (false, true), (false, true))
    );
    for (count, why) in [(0, "not below the number of dispatchers"), (100_000, "more than 10,000")] {
        text["settings"]["Siblings"] = json!(count);
        let refused = Config::read(&text.to_string(), "config.json", |_| None).err().map(|e| e.to_string());
        assert!(refused.as_ref().is_some_and(|e| e.contains(why)), "{refused:?}");
    }
}

/// An address in the environment takes precedence over that in the file.
#[test]
fn prefers_the_environment_to_the_file() {
    let config = site::config("127.0.0.1:1", "127.0.0.1:2", json!([])).to_string();
    let env = |name: &str| (name == "GW_LISTEN").then(|| "127.0.0.1:9".to_owned());
    let config = Config::read(&config, "config.json", env).expect("the configuration is valid");
    assert_eq!((config.listen.port(), config.discovery.port(), config.name.as_str()), (9, 2, "n0"));
}

/// The file of the SSE listener is read with its defaults, or refused with a reason.
#[test]
fn reads_the_file_of_the_sse_listener() {
    let file = std::env::temp_dir().join(format!("mothproxy-sse-{}.toml", std::process::id()));
    let read = |text: &str| {
        std::fs::write(&file, text).expect("write the temporary file");
        SseConfig::load(&file, FilePresence::Required).map_err(|e| e.to_string())
    };
    assert_eq!(read(""), Ok(None));
    let on = Some(SseSettings {
        listen: "127.0.0.1:8444".parse().expect("a valid address"),
        heartbeat: 250_000,
        origins: Vec::new(),
        streams_per_tenant: 1024,
    });
    assert_eq!(read("listen = \"127.0.0.1:8444\"\nheartbeat_ms = 250"), Ok(on));
    assert!(read("listen = \"here\"").is_err_and(|e| e.contains("is not an address")));
    assert!(read("origins = [\"pay.example/x\"]").is_err_and(|e| e.contains("pay.example/x")));
    assert!(read("streams_per_tenant = 0").is_err_and(|e| e.contains("streams_per_tenant")));
    assert!(read("lisen = \"127.0.0.1:8444\"").is_err_and(|e| e.contains("lisen")));
    std::fs::remove_file(&file).expect("remove the temporary file");
    assert_eq!(
        SseConfig::load(&file, FilePresence::Optional).expect("an optional file may be missing"),
        None
    );
    assert!(SseConfig::load(&file, FilePresence::Required).is_err());
}
