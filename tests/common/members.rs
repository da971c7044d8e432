//! The dispatchers' views of the membership, from their admin pages and logs. Shared by `tests/membership` and
//! `examples/proof_membership.rs`.
#![allow(dead_code)] // each of the crates uses only a part

use mothproxy_testkit::fleet::Fleet;
use serde_json::Value;

/// The membership page of one dispatcher; `None` if it does not answer.
pub fn members_page(fleet: &Fleet, i: usize) -> Option<Value> {
    let answer = fleet.call_admin(i, "/control/members").filter(|answer| answer.status == 200)?;
    serde_json::from_str(&answer.body).ok()
}

/// The state of each member in the view of one dispatcher, by member number; empty if the dispatcher does not answer.
pub fn member_states(fleet: &Fleet, i: usize) -> Vec<String> {
    let page = members_page(fleet, i).unwrap_or_default();
    let rows = page["members"].as_array().cloned().unwrap_or_default();
    rows.iter().map(|row| row["state"].as_str().unwrap_or("?").to_owned()).collect()
}

/// A metric of one dispatcher's membership page; 0 if the dispatcher does not answer.
pub fn membership_metric(fleet: &Fleet, i: usize, name: &str) -> u64 {
    members_page(fleet, i).and_then(|page| page["figures"][name].as_u64()).unwrap_or(0)
}

/// The epoch of a member's process in the view of one dispatcher; 0 if the dispatcher does not answer.
pub fn member_epoch(fleet: &Fleet, i: usize, member: usize) -> u64 {
    members_page(fleet, i).and_then(|page| page["members"][member]["epoch"].as_u64()).unwrap_or(0)
}

/// Whether these members are in this state in the view of each of these dispatchers.
pub fn all_observe(fleet: &Fleet, by: &[usize], members: &[usize], state: &str) -> bool {
    by.iter().all(|i| {
        let seen = member_states(fleet, *i);
        members.iter().all(|member| seen.get(*member).is_some_and(|s| s == state))
    })
}

/// A change of a member's state that a dispatcher logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// The dispatcher that logged it.
    pub by: usize,
    /// The member whose state changed.
    pub member: usize,
    /// The time at which the log line was read, in microseconds of the harness's clock.
    pub at: u64,
}

/// Changes to the state `to` in the logs of these dispatchers since a time, in microseconds of the harness's clock.
pub fn state_changes(fleet: &Fleet, by: &[usize], to: &str, since: u64) -> Vec<StateChange> {
    let mut found = Vec::new();
    for &by in by {
        for line in fleet.log(by).iter().filter(|line| line.at >= since) {
            let Some(rest) = line.text.strip_prefix("member ") else { continue };
            let member = rest.split(' ').next().and_then(|number| number.parse().ok());
            if let Some(member) = member.filter(|_| rest.contains(&format!(" to {to},"))) {
                found.push(StateChange { by, member, at: line.at });
            }
        }
    }
    found
}
