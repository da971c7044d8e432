//! The call for the whole list, which a new service gets in addition to the call for a watch.

use crate::*;

/// Moves the program to this service by a reload.
fn move_to(program: &mut DispatcherProcess, to: &FakeDiscovery) {
    let mut config = program.config.clone();
    config["discovery"] = json!(to.address.to_string());
    program.replace_config(&config.to_string());
    program.signal("-HUP");
}

fn raw_response(value: &Value) -> ScriptedResponse {
    ScriptedResponse::Raw(list_response(value).into_bytes())
}

/// The call for the whole list is repeated until a list can be used, which may end with the connection. Regression: after a
/// truncated list, a delta or an empty snapshot the call was not repeated, and a worker that the new service does not know stayed
/// in the table forever.
#[test]
fn retries_full_list_that_is_truncated_or_unusable() {
    let workers = Workers::start();
    // The generations of the two services cannot be compared.
    let first = FakeDiscovery::start(site::snapshot(100, &[workers.old.endpoint_entry("up")]));
    let new_entry = [workers.new.endpoint_entry("up")];
    let second = FakeDiscovery::start(site::delta(9, &new_entry));
    let mut program = workers.start_program(&first, |_| {});
    wait_for_watch(&first);
    let whole = site::snapshot(9, &new_entry);
    let ends_with_connection = format!("HTTP/1.1 200 OK\r\n\r\n{whole}");
    let responses = [
        ScriptedResponse::Truncate,
        raw_response(&site::delta(9, &new_entry)),
        raw_response(&site::snapshot(9, &[])),
        raw_response(&json!("busy")),
        ScriptedResponse::Refuse,
        ScriptedResponse::Raw(ends_with_connection.into_bytes()),
    ];
    second.script_list_calls(&responses, whole);
    move_to(&mut program, &second);
    wait_until("the whole list is requested until it can be used", || {
        second.list_call_count() == responses.len()
    });
    send_until_unused(&program, &workers.old, &workers.new); // the response has been read
    let metrics = program.shut_down_for_metrics();
    assert_eq!(
        metrics["workers"], 1,
        "the old worker, which the new service does not list, is still in the table"
    );
    assert_eq!((metrics["bad_lists"], second.list_call_count()), (4, responses.len()));
}

/// A whole list that is older than the latest data of the watch is ignored, because the two arrive on different connections.
/// Regression: an older whole list reverted the start of a drain.
#[test]
fn ignores_full_list_older_than_watch() {
    let workers = Workers::start();
    let first = FakeDiscovery::start(site::snapshot(1, &[workers.old.endpoint_entry("up")]));
    let second = FakeDiscovery::start(site::delta(9, &workers.entries("up", "up")));
    let mut program = workers.start_program(&first, set_long_poll_interval);
    wait_for_watch(&first);
    let newest = site::snapshot(10, &workers.entries("draining", "up"));
    second.script_list_calls(&[ScriptedResponse::Hold], newest);
    move_to(&mut program, &second);
    wait_until("the whole list is requested", || second.list_call_count() == 1);
    let drains = site::delta(10, &[workers.old.endpoint_entry("draining")]);
    second.push_change(&drains.to_string(), drains.clone());
    // The drain has been received, and the older list arrives.
    let used = send_until_unused(&program, &workers.old, &workers.new);
    second.release_list_calls(&site::snapshot(9, &workers.entries("up", "up")));
    wait_until("the whole list is requested again", || second.list_call_count() == 2);
    for number in 0..20 {
        send_until_used(&program, &workers.new, &format!("c{number}-"));
    }
    assert_eq!(job_count(&workers.old), used, "a draining worker got a job");
}
