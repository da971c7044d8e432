//! The whole list, which a new service is asked for beside the watch.

use crate::*;

/// SIGHUP names this service.
fn move_to(program: &mut DispatcherProcess, to: &FakeDiscovery) {
    let mut config = program.config.clone();
    config["discovery"] = json!(to.address.to_string());
    program.replace_config(&config.to_string());
    program.signal("-HUP");
}

fn raw_response(value: &Value) -> ScriptedResponse {
    ScriptedResponse::Raw(list_response(value).into_bytes())
}

/// The whole list is asked for until one can be used; that may end with its connection. Cut in the middle, or answered with changes
/// or a list of nobody, it was never asked for again, and a worker that the new service does not know stayed in the table for
/// good.
#[test]
fn retries_full_list_that_is_truncated_or_unusable() {
    let workers = Workers::start();
    // The versions of the first service mean nothing at the other.
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
    wait_until("the whole list is asked for again", || second.list_call_count() == responses.len());
    send_until_unused(&program, &workers.old, &workers.new); // its answer has been read
    let metrics = program.shut_down_for_metrics();
    assert_eq!(metrics["workers"], 1, "the old one is not of this service");
    assert_eq!((metrics["bad_lists"], second.list_call_count()), (4, responses.len()));
}

/// The whole list travels beside the watch, and does not count if it is older than what that has said meanwhile: it took back a
/// drain.
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
    wait_until("the whole list is asked for", || second.list_call_count() == 1);
    let drains = site::delta(10, &[workers.old.endpoint_entry("draining")]);
    second.push_change(&drains.to_string(), drains.clone());
    // The drain has been received, and the older list arrives.
    let used = send_until_unused(&program, &workers.old, &workers.new);
    second.release_list_calls(&site::snapshot(9, &workers.entries("up", "up")));
    wait_until("the whole list is asked for again", || second.list_call_count() == 2);
    for number in 0..20 {
        send_until_used(&program, &workers.new, &format!("c{number}-"));
    }
    assert_eq!(job_count(&workers.old), used, "it drains");
}
