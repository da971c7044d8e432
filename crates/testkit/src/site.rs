//! The configuration of a small test deployment, in the JSON format that the program reads.

use mothproxy::config::{Config, EndpointList};
use serde_json::{Value, json};

/// The configuration with two classes, one tenant, a batch interval of 2 ms and the given entries of the endpoint list.
pub fn config(listen: &str, discovery: &str, instances: Value) -> Value {
    let mut config = json!({
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": true, "instances": null},
        "settings": {
            "Me": 0, "Siblings": 1, "Zone": "alm 1", "Zones": ["alm 1"], "Kinds": ["k-mid"],
            "GranularityMs": 2.0, "Discovery": "on_request",
            "Grades": [
                {"Name": "balance", "Semantics": "pure", "TargetMs": 250.0, "DeadlineMs": 7500.0, "Points": 3.0,
                 "LateWorth": 1.0},
                {"Name": "redeem", "Semantics": "token", "Group": "cell", "MemorySpanMs": 40000.0,
                 "TargetMs": 600.0, "DeadlineMs": 25000.0, "Points": 9.0, "LateWorth": 1.0}],
            "Projects": [{"Name": "steppe-mart", "QuotaPerS": 15.0, "Portion": 1.0}],
            "Domain": {"ClassStretch": [2.0, 2.5], "ReportX0": "free slots", "TellsStart": true,
                       "ProgressMs": 1000.0},
            "LoadInfo": {"Source": "piggyback", "Fields": ["err_rps", "avg_ms", "cpu", "x0"]},
            "Limits": {"Cancel": true, "MaxAttempts": 3, "Probing": false, "RetryAfter": true,
                       "MaxRetryAfterMs": 2000.0, "SecondCopies": true, "ConnIdleMs": 5000.0,
                       "ConnectTimeoutMs": 250.0},
            "Obligations": {"AnswerSlackMs": 8.0, "AskWithinMs": 400.0, "ColdFrom": 0.38, "ColdMs": 8400.0,
                            "FallMs": 1500.0, "FallMultiple": 4.0, "StopSendingWithinMs": 400.0}
        }
    });
    config["known"]["instances"] = instances;
    config
}

/// An endpoint's entry in a list.
pub fn endpoint_entry(id: &str, address: &str, lifecycle: &str) -> Value {
    json!({"instanceId": id, "hostPort": address, "zone": "alm 1", "machineType": "k-mid", "cell": 1,
           "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// Parses a configuration as the program does.
///
/// # Panics
///
/// If the configuration is invalid.
pub fn read(config: &Value) -> Config {
    Config::read(&config.to_string(), "config.json", |_| None).expect("invalid configuration")
}

/// A snapshot of the endpoint list in the format of discovery: all endpoints of a generation.
pub fn snapshot(generation: u64, instances: &[Value]) -> Value {
    json!({"generation": generation, "reset": true, "instances": instances})
}

/// A delta of the endpoint list in the format of discovery: the endpoints that changed with a generation.
pub fn delta(generation: u64, instances: &[Value]) -> Value {
    json!({"generation": generation, "reset": false, "instances": instances})
}

/// Parses an endpoint list of discovery as the program does.
///
/// # Panics
///
/// If the list is invalid.
pub fn read_list(list: &Value) -> EndpointList {
    EndpointList::from_json(list).expect("invalid endpoint list")
}
