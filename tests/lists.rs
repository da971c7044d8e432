//! Discovery's lists, pushed and asked for, however they are cut and whenever they fall silent.

use mothproxy_stand_ins::*;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;

fn list(generation: u64, reset: bool, rows: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": rows})
}

/// Hands in jobs until this node has had one more.
fn until_used(program: &Program, node: &Node, name: &str) {
    let (before, mut n) = (node.jobs.load(Ordering::SeqCst), 0);
    until(&format!("{} gets work", node.name), || {
        n += 1;
        let request = job(&format!("{name}{n}"), "balance", "take started done=x", "");
        assert_eq!(send(program.platform, &request).expect("an answer").status, 200);
        node.jobs.load(Ordering::SeqCst) > before
    });
}

/// Where lists are pushed the program called nobody: it lived on `known` for ever, and went on sending to workers that the
/// agent had long said were draining (on the second deployment's upgrade day 568 times).
#[test]
fn a_pushed_list_is_watched_from_the_start_and_again_whenever_the_watch_ends_or_falls_silent() {
    let (old, new) = (Node::start("s-1"), Node::start("s-2"));
    let agent = Discovery::start(list(2, true, &[old.row("draining"), new.row("up")]));
    let program = start_with(std::slice::from_ref(&old), Some(agent.address), false, |config| {
        config["settings"]["Discovery"] = json!("pushed");
    });
    new.calls_back_to(program.platform);
    until_used(&program, &new, "a");
    let used = old.jobs.load(Ordering::SeqCst);
    // An end is followed by another watch, and so is a silence: this agent sends no empty lines.
    agent.cut();
    until("a watch after the end", || agent.calls.load(Ordering::SeqCst) >= 2);
    until("a watch after the silence", || agent.calls.load(Ordering::SeqCst) >= 3);
    // Changes may come over many lines.
    let change = list(3, false, &[old.row("up"), new.row("draining")]);
    let indented = serde_json::to_string_pretty(&change).expect("JSON");
    agent.push(&indented, list(3, true, &[old.row("up"), new.row("draining")]));
    assert_eq!(old.jobs.load(Ordering::SeqCst), used, "it drained until now");
    until_used(&program, &old, "b");
}

/// An indented list was cut at its line ends into as many bad lists.
#[test]
fn an_indented_list_of_a_watch_that_was_asked_for_is_read_whole() {
    let (old, new) = (Node::start("s-1"), Node::start("s-2"));
    let discovery = Discovery::start(list(1, true, &[old.row("up")]));
    let program = start(std::slice::from_ref(&old), Some(discovery.address), false);
    new.calls_back_to(program.platform);
    until("a watch", || discovery.calls.load(Ordering::SeqCst) > 0);
    let whole = list(2, true, &[new.row("up")]);
    discovery.push(&serde_json::to_string_pretty(&whole).expect("JSON"), whole);
    until_used(&program, &new, "a");
    assert_eq!(program.figures()["bad_lists"], 0);
}
